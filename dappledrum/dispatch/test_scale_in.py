"""Room on spot machines, for which ordinary machines are retired."""

from types import SimpleNamespace

import pytest

from dappledrum.dispatch.scale_in import SPOT_HEADROOM, ScaleIn
from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Size
from dappledrum.timing.clock import seconds

CPUS = 16.0
NOW = seconds(1_000)


def spare(until, booting=False):
    """Spare CPUs of one empty spot machine."""
    model = SimpleNamespace(cpus=CPUS, gpus=0.0, memory_gb=64.0)
    autoscaler = SimpleNamespace(types={"large": model})
    machines = SimpleNamespace(sizes={Size(2.0, 0.0, 2.0)})
    view = MachineTimeline(
        *(
            "m",
            InstanceKind("large", "a", True),
            Size(CPUS, 0.0, 64.0),
            NOW,
            NOW,
            1.0,
            1.0,
            seconds(60),
        ),
        until=until,
        booting=booting,
    )
    context = SimpleNamespace(jobs={}, registry=None, autoscaler=autoscaler, params=None)
    return ScaleIn(context, machines)._spare_spot_cpus([view])


@pytest.mark.parametrize(
    ("until", "booting", "expected"),
    [
        (None, False, CPUS * (1 - SPOT_HEADROOM)),
        (NOW + seconds(20), False, 0.0),
        (None, True, 0.0),
    ],
    ids=["up", "about to be taken", "booting"],
)
def test_only_machines_that_are_up_and_stay_have_room(until, booting, expected):
    assert spare(until, booting) == pytest.approx(expected)
