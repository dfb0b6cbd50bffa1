"""Random schedules of the election violate no invariant, and each condition is necessary."""

from datetime import timedelta

import pytest

from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.voter import Voter
from dappledrum.model.election_conditions import Condition
from dappledrum.model.election_search import search

#: Conditions whose absence random schedules reveal too rarely. The first three are tested below.
RARELY_VIOLATED = (
    Condition.FREE_ANSWERS_BAR_LOWER_EPOCHS,
    Condition.RESTARTED_VOTERS_GRANT_WEAKLY,
    Condition.CAMPAIGNS_PREVENT_GRANTS,
    # Tested in election/test_confirmed_cancellations.py and
    # controller/test_cancellations_in_outage.py, with the code that implements them:
    Condition.READS_COUNT_FROM_THEIR_SENDING,
    Condition.ATTESTATIONS_COUNT_FROM_THE_REQUEST,
    Condition.LEADERS_ATTEST_FOR_THEMSELVES,
)
REQUEST = LeaseGrantRequest("leader", 1, 2000)


def at(seconds):
    return timedelta(seconds=seconds)


@pytest.mark.parametrize("members", [3, 5])
def test_no_former_leader_answers_once_silence_is_taken_as_proof(members):
    assert search(members, 3000, 15) is None


@pytest.mark.long
@pytest.mark.parametrize(
    "condition",
    [condition for condition in Condition if condition not in RARELY_VIOLATED],
    ids=lambda condition: condition.name.lower(),
)
def test_leaving_out_any_condition_violates_an_invariant(condition):
    assert search(3, 4000, 15, condition) or search(5, 4000, 15, condition)


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("guarded", [True, False])
def test_grants_after_a_pre_vote_are_weak_and_do_not_extend_a_term(guarded, restarted):
    """Five controllers. The leader's grants move from A and D to B and D, while a candidate asks B
    before and A after that, so that it sees no grant."""

    def grant(voter, seconds):
        return voter.grant_lease(REQUEST, at(seconds), False, 1)

    a, b, d = (Voter(at(-10)) for _ in range(3))
    assert not grant(a, 0.0).weak
    assert not grant(d, 0.0).weak  # the leader's term lasts until 1.9
    assert b.pre_vote(2, at(1.70), False).free
    if restarted:
        b = Voter(at(1.74))
    if not guarded:
        b.min_grant_epoch, b.weak_grants_until = 0, at(0)
    assert not grant(d, 1.80).weak
    strong = not grant(b, 1.80).weak  # a strong grant extends the term until 3.7
    assert a.pre_vote(2, at(2.05), False).free  # the candidate has a majority
    assert strong is not guarded


@pytest.mark.parametrize("ended", [False, True])
def test_a_voter_that_has_campaigned_grants_nothing_to_the_epoch_it_campaigned_against(ended):
    """Guards against a leader to which all four peers grant, three of them weakly, while the
    campaign transaction of one is in flight: that peer would lead and take all others as stopped.
    If its process has ended, nobody leads by the transaction, and the next process may grant."""
    voter = Voter(at(-10))
    assert voter.pre_vote(2, at(0), False).free
    voter.campaigned_against_epoch = 1
    if ended:
        voter = Voter(at(0))
    reply = voter.grant_lease(REQUEST, at(0.1), False, 1)
    assert reply.granted is ended
    assert reply.weak or not ended
