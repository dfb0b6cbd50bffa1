"""Invariants of the election, and a search for schedules of its model that violate one.

Once a leader takes silence as proof that former leaders have stopped, no controller with a lower
epoch answers workers. No controller answers workers while it is unaware of a cancellation whose
deadline is before the end of the worker lease that the answer renews.
"""

import random

from dappledrum.model.election import ElectionModel
from dappledrum.model.election_conditions import CANCELLATION_DEADLINE, WORKER_LEASE, Condition


def violation(model: ElectionModel) -> str | None:
    """Description of the invariant that is violated now, or None."""
    return _missed_cancellation(model) or _former_leader_answers(model)


def _missed_cancellation(model: ElectionModel) -> str | None:
    for member, term in model.terms.items():
        for job, confirmed_at in model.first_confirmed_at.items():
            too_late = model.now + WORKER_LEASE > confirmed_at + CANCELLATION_DEADLINE
            if not too_late or job in term.known_cancelled:
                continue
            if model.answers_workers(member):
                return (
                    f"{member} answers with epoch {term.epoch} at {model.now:.2f}, and is not"
                    f" aware of the cancellation of job {job}, confirmed at {confirmed_at:.2f}"
                )
    return None


def _former_leader_answers(model: ElectionModel) -> str | None:
    for member, term in model.terms.items():
        stopped_at = term.others_stopped_at
        if stopped_at is None or model.now < stopped_at:
            continue
        for other, former in model.terms.items():
            if former.epoch < term.epoch and model.has_valid_term(other):
                return (
                    f"{other} answers with epoch {former.epoch} at {model.now:.2f}, while"
                    f" {member} takes silence as proof since {stopped_at:.2f}"
                )
    return None


def search(
    members: int, schedules: int, duration: float, without: Condition | None = None
) -> str | None:
    """The first violation found in `schedules` schedules of `duration` seconds, or None."""
    for seed in range(schedules):
        election = ElectionModel(members, random.Random(seed), without)
        end = election.now + duration
        while election.now < end:
            election.step()
            found = violation(election)
            if found is not None:
                return f"seed {seed}: {found}"
    return None
