"""Golden bytes of requests to the cloud and of its replies."""

import pytest

from dappledrum.fleet.cloud_client import CloudClient, CloudError, NoCapacityError
from dappledrum.fleet.messages import ListedMachine, MachineType, RentalRequest
from dappledrum.fleet.test_autoscaler import SPOT, make_autoscaler, while_running
from dappledrum.golden.entries import load
from dappledrum.golden.recording_caller import RecordingCaller, as_sent
from dappledrum.timing.clock import Clock

GOLDEN = load("cloud")

TYPES = [
    MachineType(
        name="g8",
        cpus=96.0,
        gpus=8.0,
        memory_gb=768.0,
        cache_gb=200.0,
        fetch_gb_per_s=1.0,
        price=12.0,
        spot_price=4.5,
        boot_s=45.0,
        zones=["a", "b"],
    ),
    MachineType(
        name="c4",
        cpus=4.0,
        gpus=0.0,
        memory_gb=16.0,
        cache_gb=20.0,
        fetch_gb_per_s=0.5,
        price=0.3,
        boot_s=8.0,
        zones=["a"],
    ),
]
LISTED = [
    ListedMachine(
        id="host-000231",
        address="10.1.0.232:9000",
        type="g8",
        zone="a",
        spot=True,
        state="running",
        age_s=61.5,
    ),
    ListedMachine(id="host-000232", type="g8", zone="b", spot=False, state="booting"),
    ListedMachine(
        id="host-000233",
        address="10.1.0.234:9000",
        type="c4",
        zone="a",
        spot=False,
        state="failed",
        age_s=700.0,
    ),
]


def may_command():
    return True


def catalog(cloud):
    return cloud.catalog()


def rent(cloud):
    request = RentalRequest(request="r-3-17", type="g8", zone="a", spot=True, count=12)
    return cloud.rent(request, may_command)


def return_machines(cloud):
    return cloud.return_machines(["host-000231", "host-000232"], may_command)


def machines(cloud):
    return cloud.machines()


#: The call, the entries that it sends and receives, and its result or error.
EXCHANGES = [
    (catalog, ["read-catalog"], ["catalog"], TYPES),
    (rent, ["rent"], ["rented"], ["host-000231", "host-000232"]),
    (rent, ["rent"], ["no-capacity"], NoCapacityError),
    (rent, ["rent"], ["outage"], CloudError),
    (return_machines, ["return"], ["returned"], None),
    (machines, ["list", "list-further"], ["listed", "listed-last"], LISTED),
]


def test_each_entry_is_covered():
    used = {name for _, sent, replies, _ in EXCHANGES for name in (*sent, *replies)}
    assert set(GOLDEN) == used | {"rent-first-of-epoch"}


@pytest.mark.parametrize(
    ("call", "sent", "replies", "expected"),
    EXCHANGES,
    ids=[f"{sent[0]}-{replies[0]}" for _, sent, replies, _ in EXCHANGES],
)
async def test_calls_send_the_golden_requests_and_read_the_golden_replies(
    call, sent, replies, expected
):
    caller = RecordingCaller(GOLDEN[name] for name in replies)
    cloud = CloudClient(caller, 4.0, Clock())
    if isinstance(expected, type):
        with pytest.raises(expected):
            await call(cloud)
    else:
        assert await call(cloud) == expected
    assert caller.sent == [as_sent(GOLDEN[name]) for name in sent]


async def test_names_of_rental_requests_contain_the_epoch():
    caller = RecordingCaller([GOLDEN["rented"]])
    autoscaler, _ = make_autoscaler(CloudClient(caller, 4.0, Clock()))
    autoscaler.order({SPOT: 1}, set(), autoscaler.clock.now())
    await while_running(autoscaler, autoscaler.rent_loop, for_s=0.1)
    assert caller.sent == [as_sent(GOLDEN["rent-first-of-epoch"])]
