"""Conditions that the safety argument of the election relies on, and the state of its model.

All moments and durations of the model are seconds.
"""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from dappledrum.election.confirmed_cancellations import CancellationWindow
from dappledrum.election.voter import LEASE_GRANT_DURATION

LEASE_TTL = 3.0
LEASE_SAFETY_MARGIN = 0.1
GRANT_REQUEST_TIMEOUT = 0.75
LOOP_INTERVAL = 0.25  # between two steps of a controller
TRANSACTION_TIMEOUT = LEASE_TTL / 2  # for the transaction of a campaign
PRE_VOTE_TIMEOUT = 1.5  # longer than in the program, so that more events happen meanwhile
#: How long after its last renewal a leader may keep its term by grants of only a majority.
MAX_TIME_ON_MAJORITY_GRANTS = 6.0
GRANT_DURATION = LEASE_GRANT_DURATION.total_seconds()
WORKER_LEASE = 4.0
CANCELLATION_DEADLINE = 11.0  # from a user's confirmation until the tasks have terminated
#: How long a leader answers workers after the last moment at which it knew all cancellations.
MAX_CANCELLATIONS_AGE = CANCELLATION_DEADLINE - WORKER_LEASE - LEASE_SAFETY_MARGIN
MAX_READ_TIME = 2.5  # of all records
#: Added to the time since all cancellations were known when peers are asked for confirmed ones.
CONFIRMED_WINDOW_MARGIN = 1.5


class Condition(Enum):
    """A condition that the safety argument relies on; the model can drop one of them, which shows
    that it is necessary."""

    CANDIDATES_ASK_A_MAJORITY = auto()
    CANDIDATES_ARE_INFORMED_OF_GRANTS = auto()
    FREE_ANSWERS_BAR_LOWER_EPOCHS = auto()
    RESTARTED_VOTERS_GRANT_WEAKLY = auto()
    MORE_THAN_HALF_EXTENDS_A_TERM = auto()
    LAPSED_TERMS_ARE_NOT_RESUMED = auto()
    TIME_ON_MAJORITY_GRANTS_IS_BOUNDED = auto()
    GRANTS_PREVENT_CAMPAIGNS = auto()
    SUCCESSORS_ARE_INFORMED_OF_OTHERS = auto()
    CAMPAIGNS_PREVENT_GRANTS = auto()
    ANSWERS_END_WITH_KNOWN_CANCELLATIONS = auto()
    READS_COUNT_FROM_THEIR_SENDING = auto()
    RENEWALS_SHOW_NO_CANCELLATIONS = auto()
    ALL_PEERS_ATTEST = auto()
    PROCESSES_ATTEST_ONLY_THEIR_LIFETIME = auto()
    ATTESTATIONS_LEAVE_NO_GAP = auto()
    ATTESTATIONS_COUNT_FROM_THE_REQUEST = auto()
    LEADERS_ATTEST_FOR_THEMSELVES = auto()


class RequestKind(Enum):
    """What a controller requests from all its peers."""

    GRANT_LEASE = auto()  # by a leader that the store does not serve
    PRE_VOTE = auto()  # by a candidate
    FORMER_LEADERS = auto()  # a pre-vote by a leader that got no majority as a candidate


@dataclass
class ModelTerm:
    """The term of a controller that leads or takes itself for the leader."""

    epoch: int
    lease_valid_until: float
    renewed_at: float
    started_at: float
    grants_valid_until: float = -1.0
    others_stopped_at: float | None = None
    cancellations_known_at: float | None = None
    known_cancelled: set[int] = field(default_factory=set)  # jobs


class Vote(NamedTuple):
    """A peer's answer: whether it grants a lease, or is free of lease grants."""

    agreed: bool
    strong: bool  # agreed, and the lease grant is not weak


@dataclass
class RequestRound:
    """One request to all peers, with the answers received so far."""

    asker: int
    process: int  # of the asker: after a restart it ignores the answers
    kind: RequestKind
    epoch: int
    sent_at: float
    asker_free: bool = True  # whether the asker itself is free of lease grants
    votes: dict[int, Vote] = field(default_factory=dict)
    confirmed_span: float = 0.0  # how far back the peers are asked for confirmed cancellations
    confirmed: dict[int, CancellationWindow] = field(default_factory=dict)
