"""Words: their order and age however late they come, and what is concluded from them."""

import asyncio
import random
from datetime import timedelta

import pytest

from dappledrum.controller.process import probe_worker
from dappledrum.membership.heartbeat_forwarding import SERVED, ForwardedWorkers
from dappledrum.membership.leader_placement import (
    Claim,
    Situation,
    candidacy_delay,
    claims,
    successor,
    who_leads,
)
from dappledrum.membership.link_health import LinkHealth, ZoneHealth
from dappledrum.membership.messages import PeerHeartbeat, PeerHeartbeats
from dappledrum.membership.peer_table import PeerTable, ReceivedHeartbeat
from dappledrum.peers.messages import MalformedError, decode, encode
from dappledrum.simulation.virtual_time import SkewedClock, run


def at(seconds):
    return timedelta(seconds=seconds)


def heartbeat(member="b", tick=0, age=0, **changes):
    fields = {"awake_ms": 60_000, "state_ms": 5, "served_ms": 100} | changes
    return PeerHeartbeat(member, fields.pop("born", 1), tick, age, **fields)


def test_a_word_that_was_held_back_is_neither_new_nor_fresh():
    """A cut that heals delivers what was held back for half a minute, and all of it says that it
    is of now."""
    table = PeerTable("a", ["b", "c"])
    table.note(heartbeat(tick=0), at(100), direct=True)
    table.note(heartbeat(tick=40_000, epoch=7), at(140), direct=True)
    table.note(heartbeat(tick=10_000, epoch=6), at(141), direct=True)  # 31 s late, and older
    assert table.heartbeat("b", at(141)).epoch == 7
    table.note(heartbeat(tick=42_000, epoch=7), at(172), direct=True)  # 30 s late, and the newest
    assert table.heartbeat("b", at(172)) is None and not table.is_connected("b", at(172))
    table.note(heartbeat(tick=1, born=2, epoch=8), at(173), direct=True)  # a new process
    assert table.heartbeat("b", at(173)).epoch == 8


def test_words_go_on_once_and_strangers_have_none():
    table = PeerTable("a", ["b", "c"])
    table.note(heartbeat("b", 1), at(1), direct=True)
    table.note(heartbeat("c", 1, age=500), at(1), direct=False)
    table.note(heartbeat("a", 1), at(1), direct=True)
    table.note(heartbeat("x", 1), at(1), direct=True)
    assert set(table.known) == {"b", "c"}
    assert [one.member for one in table.to_forward(at(2))] == ["b"]
    assert table.to_forward(at(2))[0].age_ms == 1000
    assert not table.is_connected("c", at(1)) and table.heartbeat("c", at(1)) is not None


def plain_who_leads(claimed, heartbeats):
    """The same, as slowly as it is said: whom the newest strong claim of the highest epoch names,
    or any other claim where there is none, and who does not deny it."""
    epoch = max((claim.epoch for claim in claimed), default=0)
    if epoch == 0:
        return None
    best = None
    for strong in (True, False):
        for claim in claimed:
            if claim.epoch != epoch or claim.strong is not strong:
                continue
            if not strong and claim.member is None:
                continue
            if best is None or claim.at > best.at:
                best = claim
        if best is not None:
            break
    if best is None or best.member is None:
        return None
    told = heartbeats.get(best.member)
    return None if told is not None and not (told.holds and told.epoch >= epoch) else best.member


def test_who_leads_as_the_plain_model_says():
    rng = random.Random(5)
    seen = set()
    for _ in range(5000):
        heartbeats = {
            name: heartbeat(
                name,
                epoch=rng.randint(0, 3),
                leader=rng.choice([None, "a", "b", "c"]),
                holds=rng.random() < 0.3,
                served_ms=rng.choice([None, 100, 5000]),
                state_ms=rng.choice([None, 5, 4000]),
            )
            for name in rng.sample("bcd", rng.randint(0, 3))
        }
        known = [ReceivedHeartbeat(one, at(rng.random() * 9), True) for one in heartbeats.values()]
        own = Claim(rng.randint(0, 3), rng.choice([None, "a", "c"]), at(9.5), rng.random() < 0.5)
        claimed = claims(known, own)
        result = who_leads(claimed, heartbeats)
        assert result == plain_who_leads(claimed, heartbeats)
        seen.add(result)
    assert seen == {None, "a", "b", "c", "d"}


def situation(**changes):
    base = Situation(at(100), at(0.01), None, at(0.1), None, {}, {}, frozenset({"x", "y"}))
    return base._replace(**changes)


def known_to(heartbeats, now=100.0):
    table = PeerTable("a", [one.member for one in heartbeats])
    for one in heartbeats:
        table.note(one, at(now), direct=True)
    return table, [one.member for one in heartbeats]


STUCK = {"state": at(2), "state_since": at(98)}
APART = {"unreachable_zones": {"x": at(97)}, "heard": frozenset({"y"})}


@pytest.mark.parametrize(
    ("ours", "theirs", "moves"),
    [
        (STUCK, {}, True),
        (STUCK, {"served_ms": 3000}, False),  # before the trouble began: it may be everybody's
        (STUCK, {"state_ms": 1500}, False),
        (STUCK, {"awake_ms": 500}, False),  # it stood still, and judges nobody
        ({"state": at(0.9), "state_since": at(99.1)}, {}, False),  # slow, but less than a move
        (APART, {"probed_ms": {"x": 500}}, True),
        (APART, {"probed_ms": {"x": 3500}}, False),
        (APART, {"heard_ms": {"x": 500}, "lost": ["y"]}, False),  # one zone for another
        (APART, {"probed_ms": {"x": 500}, "state_ms": 4000}, False),
        ({"not_reporting": {"x": at(90)}, "heard": frozenset()}, {"probed_ms": {"x": 500}}, False),
        ({"not_reporting": {"x": at(90)}, "heard": frozenset()}, {"heard_ms": {"x": 500}}, True),
        ({"cloud": at(30), "cloud_since": at(70)}, {"cloud_ms": 200}, True),
        ({"cloud": at(30), "cloud_since": at(70)}, {}, False),  # it has not asked
        ({"cloud": at(10), "cloud_since": at(90)}, {"cloud_ms": 200}, False),
    ],
)
def test_who_had_better_lead(ours, theirs, moves):
    table, heartbeat_peers = known_to([heartbeat("b", 1, **theirs)])
    target = successor(situation(**ours), table, heartbeat_peers)
    assert (target is not None and target[0] == "b") is moves
    assert successor(situation(**ours), table, []) is None  # of a version that tells nothing


def test_a_better_candidate_goes_first_and_equals_do_not_wait():
    good, bad = heartbeat("b", 1), heartbeat("c", 1, lost=["x"])
    assert candidacy_delay(bad, [good]) > at(0)
    assert candidacy_delay(good, [bad]) == candidacy_delay(good, [good]) == at(0)


def test_a_link_counts_by_what_it_delays():
    async def main():
        clock = SkewedClock()
        link = LinkHealth(clock)
        assert link.cost() is None

        sent = link.sent()
        await asyncio.sleep(0.5)
        assert link.cost() == at(0.5)
        link.served(sent)
        assert link.cost() == at(0.5)
        link.sent()
        await asyncio.sleep(3)
        assert link.cost() == at(3)

    run(main())


def test_a_zone_is_apart_only_by_a_probe_that_began_after_the_silence():
    zone = ZoneHealth()
    zone.probed(at(5), at(6), False)
    assert not zone.unreachable_since(at(7)) and not zone.lost()
    zone.probed(at(8), at(9), False)
    assert zone.unreachable_since(at(7)) and zone.lost()
    zone.probed(at(9.5), at(9.6), True)
    assert not zone.unreachable_since(at(7)) and not zone.lost()


def test_nobody_goes_in_a_ring():
    async def main():

        forwarded_workers = ForwardedWorkers(SkewedClock())

        def needed(token, epoch=5, lost=False, late=False):
            return forwarded_workers.needed("m", token, epoch, lost, late)

        assert not needed(4)  # sent to the leader
        await asyncio.sleep(40)
        assert needed(4)  # and back, unanswered, however long that took
        assert needed(5)
        await asyncio.sleep(SERVED.total_seconds() + 1)
        assert not needed(5)  # the link may have healed
        assert needed(5)  # it has not
        await asyncio.sleep(SERVED.total_seconds() + 1)
        assert needed(5)  # tried more rarely
        assert not needed(5, epoch=6)  # another leader
        # never answered: nothing to lose
        assert not forwarded_workers.needed("new", 0, 6, False, True)
        assert forwarded_workers.needed("lost", 0, 6, True, False)
        # once, and then it is sent
        assert forwarded_workers.needed("searching", 5, 6, False, True)
        assert not forwarded_workers.needed("searching", 6, 6, False, True)
        assert forwarded_workers.needed("searching", 6, 6, False, True)

    run(main())


def test_what_a_peer_tells_is_checked():
    """A worker may tell a port that there can't be, and a peer anything at all."""
    assert asyncio.run(probe_worker("127.0.0.1:99999", at(1))) is False
    for bad in ({"samples": {"x": ["nowhere"]}}, {"heard_ms": {"x": -1}}, {"epoch": -1}):
        with pytest.raises(MalformedError):
            decode(encode(PeerHeartbeats(heartbeat(**bad))), PeerHeartbeats)
    assert decode(encode(PeerHeartbeats(heartbeat(epoch=3))), PeerHeartbeats).own.epoch == 3
