"""The conditions under which a leader may go on by lease grants, each left out once."""

from datetime import timedelta

import pytest

from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.voter import Voter
from dappledrum.model.election_conditions import Condition
from dappledrum.model.election_search import search

#: Conditions whose absence random schedules show too rarely. The first three are tested below.
RARELY_VIOLATED = (
    Condition.FREE_ANSWERS_BAR_LOWER_EPOCHS,
    Condition.RESTARTED_VOTERS_GRANT_WEAKLY,
    Condition.CAMPAIGNS_PREVENT_GRANTS,
    # In election/test_confirmed_cancellations.py and controller/test_cancellations_in_outage.py,
    # with the code that has them:
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
def test_each_condition_is_needed(condition):
    assert search(3, 4000, 15, condition) or search(5, 4000, 15, condition)


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("guarded", [True, False])
def test_pre_votes_meet_the_grants_of_a_leader_in_a_rare_schedule(guarded, restarted):
    """Five controllers; the leader's grants pass from A and D to B and D while a candidate asks A
    and B, in the one order in which it misses them."""

    def grant(voter, seconds):
        return voter.grant_lease(REQUEST, at(seconds), False, 1)

    a, b, d = (Voter(at(-10)) for _ in range(3))
    assert not grant(a, 0.0).weak
    assert not grant(d, 0.0).weak  # the leader goes on until 1.9
    assert b.pre_vote(2, at(1.70), False).free
    if restarted:
        b = Voter(at(1.74))
    if not guarded:
        b.min_grant_epoch, b.weak_grants_until = 0, at(0)
    assert not grant(d, 1.80).weak
    strong = not grant(b, 1.80).weak  # with it, the leader goes on until 3.7
    assert a.pre_vote(2, at(2.05), False).free  # and the candidate has a majority
    assert strong is not guarded


@pytest.mark.parametrize("ended", [False, True])
def test_a_voter_that_has_campaigned_grants_nothing_to_the_epoch_it_campaigned_against(ended):
    """All four peers grant, three of them weakly, while the transaction of one is on its way: it
    would lead, and take the others as stopped. When its process has ended nobody leads by that
    transaction, and the next process may grant."""
    voter = Voter(at(-10))
    assert voter.pre_vote(2, at(0), False).free
    voter.campaigned_against_epoch = 1
    if ended:
        voter = Voter(at(0))
    reply = voter.grant_lease(REQUEST, at(0.1), False, 1)
    assert reply.granted is ended
    assert reply.weak or not ended
