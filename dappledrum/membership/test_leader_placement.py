"""Which controller should lead, and which candidate campaigns first."""

from datetime import timedelta

import pytest

from dappledrum.membership.leader_placement import LeaderLinks, better_leader, candidacy_delay


def at(seconds):
    return timedelta(seconds=seconds)


HEALTHY = LeaderLinks(
    now=at(100),
    store_delay=at(0.01),
    store_waiting_since=None,
    cloud_delay=at(0.1),
    cloud_waiting_since=None,
    unreachable_zones={},
    silent_zones={},
    connected_zones=frozenset({"x", "y"}),
)
NO_STORE = {"store_delay": at(2), "store_waiting_since": at(98)}
ZONE_UNREACHABLE = {"unreachable_zones": {"x": at(97)}, "connected_zones": frozenset({"y"})}
ZONE_SILENT = {"silent_zones": {"x": at(90)}, "connected_zones": frozenset()}
NO_CLOUD = {"cloud_delay": at(30), "cloud_waiting_since": at(70)}


@pytest.mark.parametrize(
    ("own", "peer", "transfers"),
    [
        pytest.param(NO_STORE, {}, True, id="store serves the peer"),
        pytest.param(
            NO_STORE,
            {"store_response_age_ms": 3000},
            False,
            id="store served the peer before the fault, which may affect all",
        ),
        pytest.param(NO_STORE, {"store_delay_ms": 1500}, False, id="store is slow for both"),
        pytest.param(NO_STORE, {"unpaused_ms": 500}, False, id="peer was paused just before"),
        pytest.param(
            {"store_delay": at(0.9), "store_waiting_since": at(99.1)},
            {},
            False,
            id="store is slow, but by less than a transfer takes",
        ),
        pytest.param(ZONE_UNREACHABLE, {"probe_ages_ms": {"x": 500}}, True, id="peer probes it"),
        pytest.param(ZONE_UNREACHABLE, {"probe_ages_ms": {"x": 3500}}, False, id="old probe"),
        pytest.param(
            ZONE_UNREACHABLE,
            {"heartbeat_ages_ms": {"x": 500}, "unreachable_zones": ["y"]},
            False,
            id="peer reaches it, but loses another zone",
        ),
        pytest.param(
            ZONE_UNREACHABLE,
            {"probe_ages_ms": {"x": 500}, "store_delay_ms": 4000},
            False,
            id="peer reaches the zone, but not the store",
        ),
        pytest.param(
            ZONE_SILENT, {"probe_ages_ms": {"x": 500}}, False, id="both probe a silent zone"
        ),
        pytest.param(
            ZONE_SILENT, {"heartbeat_ages_ms": {"x": 500}}, True, id="heartbeats reach the peer"
        ),
        pytest.param(NO_CLOUD, {"cloud_delay_ms": 200}, True, id="cloud answers the peer"),
        pytest.param(NO_CLOUD, {}, False, id="peer has not called the cloud"),
        pytest.param(
            {"cloud_delay": at(10), "cloud_waiting_since": at(90)},
            {"cloud_delay_ms": 200},
            False,
            id="cloud has not answered for a short time",
        ),
    ],
)
def test_a_leader_transfers_to_a_peer_that_is_clearly_better(
    make_heartbeat, make_table, own, peer, transfers
):
    links = HEALTHY._replace(**own)
    table = make_table(make_heartbeat("b", 1, **peer), now=100.0)
    successor = better_leader(links, table, ["b"])
    assert (successor is not None and successor.member == "b") is transfers
    # A peer whose version sends no heartbeats never qualifies.
    assert better_leader(links, table, []) is None


def test_a_better_candidate_campaigns_first_and_equals_do_not_wait(make_heartbeat):
    good, bad = make_heartbeat("b", 1), make_heartbeat("c", 1, unreachable_zones=["x"])
    assert candidacy_delay(bad, [good]) > at(0)
    assert candidacy_delay(good, [bad]) == candidacy_delay(good, [good]) == at(0)
