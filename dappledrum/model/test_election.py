"""The conditions under which a leader may go on for promises, each left out once."""

from datetime import timedelta

import pytest

from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.voter import Voter
from dappledrum.model.election import GUARDS, search

RARE = (
    "free leaves a bar",
    "one that has just begun promises weakly",
    "who has stood does not promise",
    # In election/test_confirmed_cancellations.py and controller/test_cancellations_in_outage.py,
    # with the code that has them:
    "a reading counts from its sending",
    "an attestation counts from the question",
    "a leader attests for itself",
)


@pytest.mark.parametrize("members", [3, 5])
def test_nobody_answers_once_silence_is_taken_for_a_proof(members):
    assert search(members, 3000, 15) is None


@pytest.mark.long
@pytest.mark.parametrize("guard", [guard for guard in GUARDS if guard not in RARE])
def test_each_condition_is_needed(guard):
    assert search(3, 4000, 15, guard) or search(5, 4000, 15, guard)


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("guarded", [True, False])
def test_the_two_that_take_a_rare_schedule(guarded, restarted):
    """Five controllers; the leader's promises pass from A and D to B and D while a candidate asks
    A and B, in the one order in which it misses them."""

    def at(seconds):
        return timedelta(seconds=seconds)

    def promise(peer, seconds):
        return peer.grant_lease(LeaseGrantRequest("leader", 1, 2000), at(seconds), False, 1)

    a, b, d = (Voter(at(-10)) for _ in range(3))
    assert not promise(a, 0.0).weak and not promise(d, 0.0).weak  # the leader goes on until 1.9
    assert b.pre_vote(2, at(1.70), False).free
    if restarted:
        b = Voter(at(1.74))
    if not guarded:
        b.min_grant_epoch, b.weak_grants_until = 0, at(0)
    assert not promise(d, 1.80).weak
    strong = not promise(b, 1.80).weak  # with it, the leader goes on until 3.7
    assert a.pre_vote(2, at(2.05), False).free  # and the candidate has a majority
    assert strong is not guarded


@pytest.mark.parametrize("ended", [False, True])
def test_whoever_has_stood_promises_nothing_against_it(ended):
    """All four peers promise, three of them weakly, while the transaction of one is on its way: it
    would lead, and be clear. When its process has ended nobody leads by that transaction, and the
    next process may promise."""
    peer = Voter(timedelta(seconds=-10))
    assert peer.pre_vote(2, timedelta(0), False).free
    peer.campaigned_against_epoch = 1
    if ended:
        peer = Voter(timedelta(0))
    reply = peer.grant_lease(
        LeaseGrantRequest("leader", 1, 2000), timedelta(seconds=0.1), False, 1
    )
    assert reply.granted is ended and (reply.weak or not ended)
