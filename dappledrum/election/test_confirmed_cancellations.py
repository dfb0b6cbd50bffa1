"""The cancellations that all controllers have confirmed to users, and when a leader may rely on
what peers attest: the real elector, with answers of peers as they may arrive."""

import asyncio
import random
from datetime import timedelta

import pytest

from dappledrum.election.confirmed_cancellations import (
    KEPT,
    CancellationWindow,
    ConfirmedCancellations,
    merge_windows,
)
from dappledrum.election.context import ElectionContext, LeaseLimits
from dappledrum.election.elector import Elector
from dappledrum.election.messages import LeaseGrantReply, LeaseGrantRequest
from dappledrum.election.peer_lease_grants import CONFIRMED_WINDOW_MARGIN
from dappledrum.election.quorum import UNLIMITED_SPAN, PeerAnswers
from dappledrum.election.terms import Term
from dappledrum.http.client import NoResponseError, Reply
from dappledrum.peers.client import Peers
from dappledrum.peers.messages import encode
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import ZERO, Clock

LEASE_TTL = timedelta(seconds=3)
NOTHING_ATTESTED = CancellationWindow(frozenset(), ZERO)


def s(value):
    return timedelta(seconds=value)


class PeersByScript:
    """Peers that all grant; each attests what its function returns for a span, at a moment."""

    def __init__(self, peers, clock, delay):
        self.peers = peers
        self.clock = clock
        self.delay = delay

    async def request_lease_grants(self, request, _timeout):
        span = timedelta(milliseconds=request.confirmed_span_ms)
        windows = [peer(span, self.clock.now()) for peer in self.peers]
        await asyncio.sleep(self.delay)
        windows.append(CancellationWindow(frozenset(), UNLIMITED_SPAN))
        count = len(self.peers)
        return PeerAnswers(count, count, count, confirmed=merge_windows(windows))


class RecordingHost:
    """A controller that records which cancellations it is asked to apply."""

    def __init__(self):
        self.applied = []

    def apply_confirmed_cancellations(self, cancelled):
        self.applied.append(cancelled)
        return True

    def all_peers_pre_vote(self):
        return False


class LeaderWithoutStore:
    """A leader without the store, at 100 s, that knew of all cancellations at 95 s."""

    def __init__(self, peers, known_at=95.0, delay=0.0, own_since=0.0):
        self.clock = Clock()
        self.host = RecordingHost()
        self.own = ConfirmedCancellations(s(own_since))
        self.elector = Elector(
            ElectionContext(
                "controller-0",
                None,
                self.clock,
                random.Random(1),
                LeaseLimits(LEASE_TTL, s(20), s(20)),
                PeersByScript(peers, self.clock, delay),
                self.host,
                self.own,
            )
        )
        self.term = self.elector.term = Term(1, 1, 1, s(90))
        self.term.lease_valid_until = s(101)
        self.term.cancellations_known_at = None if known_at is None else s(known_at)

    async def request_grants(self):
        """Request lease grants now; returns since when all cancellations are known."""
        await self.elector.lease_keeper.grants.request(self.term)
        return self.term.cancellations_known_at

    async def request_grants_at_100_s(self):
        await asyncio.sleep(100 - self.clock.now().total_seconds())
        return await self.request_grants()


def peer(started_at=0.0, *confirmed):
    memory = ConfirmedCancellations(s(started_at))
    for job, at in confirmed:
        memory.note(job, s(at))
    return memory.within


def silent(_span, _now):
    return NOTHING_ATTESTED


def request_grants(peers, **options):
    """Since when all cancellations are known after one request, and the leader."""

    async def main():
        leader = LeaderWithoutStore(peers, **options)
        return (await leader.request_grants_at_100_s()), leader

    return run(main())


def test_all_attest_from_what_was_known_to_the_request():
    known_at, leader = request_grants(
        [peer(0, ("j-1", 96)), peer(94.9, ("j-2", 99)), peer(0, ("j-3", 80))]
    )
    assert known_at == s(100)
    assert leader.host.applied == [frozenset({"j-1", "j-2"})]


@pytest.mark.parametrize("one", [silent, peer(95.1), peer(99), peer(100)])
def test_a_peer_that_does_not_cover_the_time_attests_nothing(one):
    known_at, leader = request_grants([peer(), one, peer()])
    assert known_at == s(95)
    assert leader.host.applied == []


def test_the_moment_is_that_of_the_request_not_of_the_answers():
    """What a peer confirms after it has answered is not in its answer."""
    known_at, _ = request_grants([peer()], delay=0.7)
    assert known_at == s(100)


def test_an_answer_that_took_longer_than_the_margin_of_the_window_is_void():
    """When the time that it covers begins is not known, only that it ended before now."""
    too_long = (CONFIRMED_WINDOW_MARGIN + s(0.1)).total_seconds()
    assert request_grants([peer()], delay=too_long)[0] == s(95)


def test_a_leader_counts_its_own_confirmed_cancellations():
    async def main():
        leader = LeaderWithoutStore([peer()])
        leader.own.note("j-9", s(97))
        assert await leader.request_grants_at_100_s() == s(100)
        assert leader.host.applied == [frozenset({"j-9"})]
        restarted = LeaderWithoutStore([peer()], own_since=98)
        assert await restarted.request_grants() == s(95)
        assert restarted.host.applied == []

    run(main())


def test_a_leader_that_has_read_nothing_yet_does_not_rely_on_peers():
    """It has not read the records, so names of jobs mean nothing to it."""

    async def main():
        leader = LeaderWithoutStore([peer()], known_at=None)
        assert await leader.request_grants_at_100_s() is None
        assert leader.host.applied == []
        assert leader.elector.valid_term() is leader.term
        assert leader.elector.answering_term() is None

    run(main())


def test_a_term_that_has_lapsed_is_not_resumed_by_attestations():
    """It may no longer be valid, and other controllers rely on that."""
    # known for 20 s: lapsed when they answer
    known_at, leader = request_grants([peer()], known_at=80.5, delay=0.7)
    assert known_at == s(80.5)
    assert leader.host.applied == []
    assert leader.term.grants_valid_until == ZERO


@pytest.mark.parametrize("valid_by", ["lease_valid_until", "grants_valid_until"])
def test_nobody_answers_longer_than_the_bound_however_the_term_is_valid(valid_by):
    async def main():
        leader = LeaderWithoutStore([])
        term, elector = leader.term, leader.elector
        term.lease_valid_until = term.grants_valid_until = ZERO
        setattr(term, valid_by, s(1000))
        term.cancellations_known_at = leader.clock.now()
        await asyncio.sleep(19.9)
        assert elector.answering_term() is term
        await asyncio.sleep(0.2)
        assert elector.answering_term() is None
        assert elector.valid_term() is None
        term.cancellations_known_at = leader.clock.now()
        assert elector.answering_term() is term

    run(main())


def test_what_was_dropped_is_not_covered():
    confirmed = ConfirmedCancellations(s(0))
    for number in range(KEPT + 10):
        confirmed.note(f"j-{number}", s(10 + number / 1000))
    now = s(12)
    names, span = confirmed.within(s(5), now)
    assert len(names) == KEPT
    assert now - span > s(10)
    assert confirmed.within(s(0.5), now) == CancellationWindow(frozenset(), s(0.5))


def test_only_the_first_confirmation_of_a_job_counts():
    confirmed = ConfirmedCancellations(s(0))
    confirmed.note("j-1", s(1))
    confirmed.note("j-1", s(9))
    assert confirmed.within(s(5), s(10)).cancelled == frozenset()


class PeerWithReply:
    """Client of a peer that answers with this reply, or not at all."""

    def __init__(self, reply):
        self.reply = reply

    async def request(self, _method, _path, _body, _timeout):
        if self.reply is None:
            raise NoResponseError("no answer")
        return Reply(200, encode(self.reply))


@pytest.mark.parametrize(
    ("replies", "span", "names"),
    [
        (
            [
                LeaseGrantReply(True, "", False, ["j-1"], 7000),
                LeaseGrantReply(True, "", True, [], 6000),
            ],
            6,
            1,
        ),
        ([LeaseGrantReply(True, "", False, ["j-1"], 7000), None], 0, 1),
        ([LeaseGrantReply(True), LeaseGrantReply(False, "leading", False, ["j-1"], 7000)], 0, 1),
        ([], UNLIMITED_SPAN.total_seconds(), 0),
    ],
    ids=["all", "one does not answer", "one is of an older version", "there is no other"],
)
def test_peers_attest_together_or_not_at_all(replies, span, names):
    async def main():
        peers = Peers({f"p-{n}": PeerWithReply(reply) for n, reply in enumerate(replies)})
        answers = await peers.request_lease_grants(
            LeaseGrantRequest("controller-0", 1, 2000, 7000), s(1)
        )
        assert answers.confirmed.span == s(span)
        assert len(answers.confirmed.cancelled) == names

    run(main())
