"""What all controllers have told users, and when a leader may rely on it: the real elector, with
answers of peers as they may come."""

import asyncio
import random
from datetime import timedelta

import pytest

from dappledrum.election.elector import Elector
from dappledrum.election.lease_keeper import CONFIRMED_WINDOW_MARGIN, LeaseKeeper
from dappledrum.election.messages import LeaseGrantReply, LeaseGrantRequest
from dappledrum.election.quorum import ALWAYS, PeerAnswers
from dappledrum.election.terms import Term
from dappledrum.http.client import NoResponseError, Reply
from dappledrum.jobs.confirmed_cancellations import (
    KEPT,
    CancellationWindow,
    ConfirmedCancellations,
    merge_windows,
)
from dappledrum.peers.client import Peers
from dappledrum.peers.messages import encode
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import ZERO, Clock

LIFE = timedelta(seconds=3)
NOBODY = CancellationWindow(frozenset(), ZERO)


def s(value):
    return timedelta(seconds=value)


class ElectionModel:
    """A leader without the store, at 100 s, that knew of all cancellations at 95 s."""

    def __init__(self, peers, known=95.0, takes=0.0):
        self.clock = Clock()
        self.peers = peers  # what each says when it is asked for a span, at a moment
        self.takes = takes
        self.heard = []
        self.own = ConfirmedCancellations(s(0))
        lease_keeper = LeaseKeeper(
            "drummer-0", None, self.clock, random.Random(1), LIFE, self.ask, s(20), s(20)
        )
        lease_keeper.confirmed = lambda span: self.own.within(span, self.clock.now())
        lease_keeper.on_confirmed = lambda names: bool(self.heard.append(names)) or True
        self.elector = Elector(lease_keeper, None, None)
        self.term = self.elector.term = Term(1, 1, 1, s(90))
        self.term.lease_valid_until = s(101)
        self.term.cancellations_known_at = None if known is None else s(known)

    async def ask(self, request, _timeout):
        span = timedelta(milliseconds=request.confirmed_span_ms)
        said = [peer(span, self.clock.now()) for peer in self.peers]
        await asyncio.sleep(self.takes)
        said.append(CancellationWindow(frozenset(), ALWAYS))
        return PeerAnswers(
            len(self.peers), len(self.peers), len(self.peers), confirmed=merge_windows(said)
        )

    async def asked(self):
        await asyncio.sleep(100 - self.clock.now().total_seconds())
        await self.elector.lease_keeper.request_lease_grants(self.term)
        return self.term.cancellations_known_at


def peer(born=0.0, *confirmed):
    memory = ConfirmedCancellations(s(born))
    for job, at in confirmed:
        memory.note(job, s(at))
    return memory.within


def silent(_span, _now):
    return NOBODY


def known(peers, **options):
    async def main():
        election = ElectionModel(peers, **options)
        return (await election.asked()), election

    return run(main())


def test_all_attest_from_what_was_known_to_the_question():
    at, election = known([peer(0, ("j-1", 96)), peer(94.9, ("j-2", 99)), peer(0, ("j-3", 80))])
    assert at == s(100) and election.heard == [frozenset({"j-1", "j-2"})]


@pytest.mark.parametrize("one", [silent, peer(95.1), peer(99), peer(100)])
def test_one_that_does_not_cover_the_time_attests_nothing(one):
    at, election = known([peer(), one, peer()])
    assert at == s(95) and election.heard == []


def test_it_counts_from_the_question_not_from_the_answers():
    """Whatever a peer tells after it has answered is not in its answer."""
    at, _ = known([peer()], takes=0.7)
    assert at == s(100)


def test_an_answer_that_took_longer_than_what_was_asked_for_more_is_void():
    """From when to when it covers can't be told, but that it ended before now."""
    over = (CONFIRMED_WINDOW_MARGIN + s(0.1)).total_seconds()
    assert known([peer()], takes=over)[0] == s(95)


def test_a_leader_counts_what_it_has_told_itself():
    async def main():
        election = ElectionModel([peer()])
        election.own.note("j-9", s(97))
        assert await election.asked() == s(100) and election.heard == [frozenset({"j-9"})]
        young = ElectionModel([peer()])
        young.own = ConfirmedCancellations(s(98))
        await young.elector.lease_keeper.request_lease_grants(young.term)
        assert young.term.cancellations_known_at == s(95) and young.heard == []

    run(main())


def test_who_has_read_nothing_yet_learns_nothing_from_peers():
    """It does not know the records, so names of jobs mean nothing to it."""

    async def main():
        election = ElectionModel([peer()], known=None)
        assert await election.asked() is None and election.heard == []
        assert (
            election.elector.valid_term() is election.term
            and election.elector.answering_term() is None
        )

    run(main())


def test_a_term_that_has_lapsed_is_not_taken_up_again_by_what_peers_tell():
    """Its right may be over, too, and others act on that."""
    # known for 20 s: lapsed when they answer
    at, election = known([peer()], known=80.5, takes=0.7)
    assert at == s(80.5) and election.heard == [] and election.term.grants_valid_until == ZERO


def test_nobody_answers_longer_than_the_bound_however_the_term_is_held():
    async def main():
        election = ElectionModel([])
        term, elector = election.term, election.elector
        for held in ("lease_valid_until", "grants_valid_until"):
            term.lease_valid_until = term.grants_valid_until = ZERO
            setattr(term, held, s(1000))
            term.cancellations_known_at = election.clock.now()
            await asyncio.sleep(19.9)
            assert elector.answering_term() is term
            await asyncio.sleep(0.2)
            assert elector.answering_term() is None and elector.valid_term() is None
            term.cancellations_known_at = election.clock.now()
            assert elector.answering_term() is term

    run(main())


def test_what_was_dropped_is_not_covered():
    confirmed = ConfirmedCancellations(s(0))
    for number in range(KEPT + 10):
        confirmed.note(f"j-{number}", s(10 + number / 1000))
    now = s(12)
    names, span = confirmed.within(s(5), now)
    assert len(names) == KEPT and now - span > s(10)
    assert confirmed.within(s(0.5), now) == CancellationWindow(frozenset(), s(0.5))


def test_only_the_first_telling_counts():
    confirmed = ConfirmedCancellations(s(0))
    confirmed.note("j-1", s(1))
    confirmed.note("j-1", s(9))
    assert confirmed.within(s(5), s(10)).cancelled == frozenset()


class Says:
    """A peer's address: it answers with this, or not at all."""

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
        ([], ALWAYS.total_seconds(), 0),
    ],
    ids=["all", "one is silent", "one is of an older version", "there is no other"],
)
def test_peers_attest_together_or_not_at_all(replies, span, names):
    async def main():
        peers = Peers({f"p-{n}": Says(reply) for n, reply in enumerate(replies)})
        answers = await peers.request_lease_grants(
            LeaseGrantRequest("drummer-0", 1, 2000, 7000), s(1)
        )
        assert answers.confirmed.span == s(span) and len(answers.confirmed.cancelled) == names

    run(main())
