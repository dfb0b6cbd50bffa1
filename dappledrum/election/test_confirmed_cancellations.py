"""When a leader without the store may rely on the cancellations that its peers report.

The real elector runs with scripted answers of peers. If it relied on incomplete answers, it would
renew the leases of workers whose tasks were cancelled, so that those tasks ran on.
"""

import asyncio
import random
from datetime import timedelta

import pytest

from dappledrum.election.confirmed_cancellations import (
    MAX_REMEMBERED_JOBS,
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
NOTHING_CONFIRMED = CancellationWindow(frozenset(), ZERO)


def secs(value):
    return timedelta(seconds=value)


class ScriptedPeers:
    """Peers that all grant a lease; each is a function that returns the cancellations it reports
    for a span before a moment."""

    def __init__(self, peers, clock, delay):
        self.peers = peers
        self.clock = clock
        self.delay = delay

    async def request_lease_grants(self, request, _timeout):
        span = timedelta(milliseconds=request.confirmed_span_ms)
        windows = [confirmed_by(span, self.clock.now()) for confirmed_by in self.peers]
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
    """A leader that does not reach the store, and knew all cancellations until `known_at`."""

    def __init__(self, peers, known_at=95.0, delay=0.0, own_since=0.0):
        self.clock = Clock()
        self.host = RecordingHost()
        self.own = ConfirmedCancellations(secs(own_since))
        self.elector = Elector(
            ElectionContext(
                "controller-0",
                None,
                self.clock,
                random.Random(1),
                LeaseLimits(LEASE_TTL, secs(20), secs(20)),
                ScriptedPeers(peers, self.clock, delay),
                self.host,
                self.own,
            )
        )
        self.term = self.elector.term = Term(1, 1, 1, secs(90))
        self.term.lease_valid_until = secs(101)
        self.term.cancellations_known_at = None if known_at is None else secs(known_at)

    async def request_grants(self):
        """Request lease grants now; returns until when all cancellations are known."""
        await self.elector.lease_keeper.grants.request(self.term)
        return self.term.cancellations_known_at

    async def request_grants_at_100_s(self):
        await asyncio.sleep(100 - self.clock.now().total_seconds())
        return await self.request_grants()


def peer(started_at=0.0, *confirmed):
    cancellations = ConfirmedCancellations(secs(started_at))
    for job, at in confirmed:
        cancellations.note(job, secs(at))
    return cancellations.within


def unreachable_peer(_span, _now):
    return NOTHING_CONFIRMED


def request_grants(peers, **options):
    """Request lease grants once, at 100 s; returns until when all cancellations are known then,
    and the leader."""

    async def main():
        leader = LeaderWithoutStore(peers, **options)
        return (await leader.request_grants_at_100_s()), leader

    return run(main())


def test_cancellations_are_known_until_the_request_if_all_peers_cover_the_gap():
    known_at, leader = request_grants(
        [peer(0, ("j-1", 96)), peer(94.9, ("j-2", 99)), peer(0, ("j-3", 80))]
    )
    assert known_at == secs(100)
    assert leader.host.applied == [frozenset({"j-1", "j-2"})]


@pytest.mark.parametrize("incomplete_peer", [unreachable_peer, peer(95.1), peer(99), peer(100)])
def test_nothing_is_applied_if_one_peer_does_not_cover_the_gap(incomplete_peer):
    known_at, leader = request_grants([peer(), incomplete_peer, peer()])
    assert known_at == secs(95)
    assert leader.host.applied == []


def test_cancellations_are_known_until_the_request_not_until_the_answers():
    """What a peer confirms after it has answered is missing from its answer."""
    known_at, _ = request_grants([peer()], delay=0.7)
    assert known_at == secs(100)


def test_an_answer_that_took_longer_than_the_window_margin_is_ignored():
    """The leader knows only that the covered time ended before now, not when it began."""
    too_long = (CONFIRMED_WINDOW_MARGIN + secs(0.1)).total_seconds()
    assert request_grants([peer()], delay=too_long)[0] == secs(95)


def test_a_leader_includes_its_own_confirmed_cancellations():
    async def main():
        leader = LeaderWithoutStore([peer()])
        leader.own.note("j-9", secs(97))
        assert await leader.request_grants_at_100_s() == secs(100)
        assert leader.host.applied == [frozenset({"j-9"})]
        restarted = LeaderWithoutStore([peer()], own_since=98)
        assert await restarted.request_grants() == secs(95)
        assert restarted.host.applied == []

    run(main())


def test_a_leader_that_has_read_nothing_yet_does_not_rely_on_peers():
    """Without the records it can't apply cancellations, since it has no jobs."""

    async def main():
        leader = LeaderWithoutStore([peer()], known_at=None)
        assert await leader.request_grants_at_100_s() is None
        assert leader.host.applied == []
        assert leader.elector.valid_term() is leader.term
        assert leader.elector.answering_term() is None

    run(main())


def test_a_term_that_has_lapsed_is_not_resumed_by_answers_of_peers():
    """Other controllers rely on a lapsed term staying invalid."""
    # Cancellations may be 20 s old at most: the term lapses by 100.5 s, the answers take 0.7 s.
    known_at, leader = request_grants([peer()], known_at=80.5, delay=0.7)
    assert known_at == secs(80.5)
    assert leader.host.applied == []
    assert leader.term.grants_valid_until == ZERO


@pytest.mark.parametrize("valid_by", ["lease_valid_until", "grants_valid_until"])
def test_a_leader_answers_no_worker_past_the_maximum_age_of_its_cancellations(valid_by):
    async def main():
        leader = LeaderWithoutStore([])
        term, elector = leader.term, leader.elector
        term.lease_valid_until = term.grants_valid_until = ZERO
        setattr(term, valid_by, secs(1000))
        term.cancellations_known_at = leader.clock.now()
        await asyncio.sleep(19.9)
        assert elector.answering_term() is term
        await asyncio.sleep(0.2)
        assert elector.answering_term() is None
        assert elector.valid_term() is None
        term.cancellations_known_at = leader.clock.now()
        assert elector.answering_term() is term

    run(main())


def test_the_window_does_not_cover_dropped_cancellations():
    confirmed = ConfirmedCancellations(secs(0))
    for number in range(MAX_REMEMBERED_JOBS + 10):
        confirmed.note(f"j-{number}", secs(10 + number / 1000))
    now = secs(12)
    job_ids, span = confirmed.within(secs(5), now)
    assert len(job_ids) == MAX_REMEMBERED_JOBS
    assert now - span > secs(10)
    assert confirmed.within(secs(0.5), now) == CancellationWindow(frozenset(), secs(0.5))


def test_only_the_first_confirmation_of_a_job_counts():
    confirmed = ConfirmedCancellations(secs(0))
    confirmed.note("j-1", secs(1))
    confirmed.note("j-1", secs(9))
    assert confirmed.within(secs(5), secs(10)).cancelled == frozenset()


class PeerWithReply:
    """Client of a peer that answers with `reply`, or does not answer if it is None."""

    def __init__(self, reply):
        self.reply = reply

    async def request(self, _method, _path, _body, _timeout):
        if self.reply is None:
            raise NoResponseError("no answer")
        return Reply(200, encode(self.reply))


@pytest.mark.parametrize(
    ("replies", "span_s", "job_count"),
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
def test_the_answers_of_peers_cover_no_time_unless_all_cover_it(replies, span_s, job_count):
    async def main():
        peers = Peers({f"p-{n}": PeerWithReply(reply) for n, reply in enumerate(replies)})
        answers = await peers.request_lease_grants(
            LeaseGrantRequest("controller-0", 1, 2000, 7000), secs(1)
        )
        assert answers.confirmed.span == secs(span_s)
        assert len(answers.confirmed.cancelled) == job_count

    run(main())
