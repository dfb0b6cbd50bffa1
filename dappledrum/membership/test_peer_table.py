"""The order and the age of delayed heartbeats."""

from datetime import timedelta

from dappledrum.membership.peer_table import PeerTable


def at(seconds):
    return timedelta(seconds=seconds)


def test_a_delayed_heartbeat_is_neither_new_nor_recent(make_heartbeat):
    """When a network partition heals, messages arrive half a minute late with an age of zero."""
    table = PeerTable("a", ["b", "c"])
    table.record(make_heartbeat(uptime_ms=0), at(100), direct=True)
    table.record(make_heartbeat(uptime_ms=40_000, epoch=7), at(140), direct=True)
    late_and_older = make_heartbeat(uptime_ms=10_000, epoch=6)
    table.record(late_and_older, at(141), direct=True)  # 31 s late
    assert table.heartbeat("b", at(141)).epoch == 7
    late_and_newest = make_heartbeat(uptime_ms=42_000, epoch=7)
    table.record(late_and_newest, at(172), direct=True)  # 30 s late
    assert table.heartbeat("b", at(172)) is None
    assert not table.is_connected("b", at(172))
    of_new_process = make_heartbeat(uptime_ms=1, incarnation=2, epoch=8)
    table.record(of_new_process, at(173), direct=True)
    assert table.heartbeat("b", at(173)).epoch == 8


def test_heartbeats_are_relayed_once_and_unknown_members_ignored(make_heartbeat):
    table = PeerTable("a", ["b", "c"])
    table.record(make_heartbeat("b", 1), at(1), direct=True)
    table.record(make_heartbeat("c", 1, age_ms=500), at(1), direct=False)
    table.record(make_heartbeat("a", 1), at(1), direct=True)
    table.record(make_heartbeat("x", 1), at(1), direct=True)
    assert set(table.received) == {"b", "c"}
    assert [heartbeat.member for heartbeat in table.to_relay(at(2))] == ["b"]
    assert table.to_relay(at(2))[0].age_ms == 1000
    assert not table.is_connected("c", at(1))
    assert table.heartbeat("c", at(1)) is not None
