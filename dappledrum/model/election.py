"""Leaders that go on for promises, and candidates that ask before silence is a proof to them.

The peers' part is the real `Voter`; leader and candidate are the plainest that follow the
rules of docs/membership.md. A schedule is drawn from a seed: messages come late, in any order, or
never, processes end and begin again without memory, at any moment and at once, transactions are
executed late, also when the process that sent them has ended, and the store serves whom it
likes. Users cancel jobs at whoever is served, and are told so there, or later by another. After
each event: once a leader takes silence for a proof, nobody of a lower epoch answers workers; and
nobody answers workers who does not know of a cancellation that is too old for the lease that this
renews.

`without` leaves out one of the conditions that the argument needs, to see that it does.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.voter import LEASE_GRANT_DURATION, Voter
from dappledrum.jobs.confirmed_cancellations import (
    CancellationWindow,
    ConfirmedCancellations,
    merge_windows,
)

LIFE = 3.0
MARGIN = 0.1
ASKING = 0.75
PAUSE = 0.25
WAITING = LIFE / 2  # for the answer to the transaction of an election
PRE_VOTE_TIME = 1.5  # longer than in the program, so that more fits in between
ALONE = 6.0  # how long a leader goes on for the promises of a majority that is not all
PROMISED = LEASE_GRANT_DURATION.total_seconds()
LEASE = 4.0  # of workers
CANCEL = 11.0  # what runs must be gone so long after a user was told
KNOWN = CANCEL - LEASE - MARGIN  # how long a leader answers after it knew of all cancellations
READING = 2.5  # how long a reading of all records takes at most
WINDOW_MARGIN = 1.5  # more than the time since all was known, that peers are asked for

GUARDS = (
    "candidates ask a majority",
    "a promise is told to candidates",
    "free leaves a bar",
    "one that has just begun promises weakly",
    "a majority, not half, is needed to go on",
    "a lapsed term is not taken up again",
    "going on without all is bounded",
    "who has promised does not stand",
    "a successor is told whether it is clear",
    "who has stood does not promise",
    "answers end with what is known",
    "a reading counts from its sending",
    "a renewal tells nothing of cancellations",
    "all attest, not those that answer",
    "a process attests only its own time",
    "an attestation reaches back to what was known",
    "an attestation counts from the question",
    "a leader attests for itself",
)


@dataclass
class Term:
    """Of whoever leads, or thinks so."""

    epoch: int
    valid: float
    renewed: float
    started_at: float
    promised: float = -1.0
    clear: float | None = None
    known: float | None = None  # every cancellation told until then is known
    jobs: set[int] = field(default_factory=set)  # that are known to be cancelled


@dataclass
class Round:
    """One question to all peers, and the answers so far: (promised or free, strong)."""

    asker: int
    process: int  # of the asker: a restarted one knows nothing of it
    kind: str
    epoch: int
    sent: float
    free: bool = True  # whether the asker itself holds to no promise
    answers: dict[int, tuple[bool, bool]] = field(default_factory=dict)
    span: float = 0.0  # how far back the peers are asked for what they have told
    confirmed: dict[int, CancellationWindow] = field(default_factory=dict)


class ElectionModel:
    """Some controllers, the key `leader`, and time."""

    def __init__(self, members: int, rng: random.Random, without: str | None = None) -> None:
        self.members = range(members)
        self.rng = rng
        self.without = without
        self.now = 10.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.voter = [Voter(timedelta(0)) for _ in self.members]
        self.process = [0] * members
        # Who is served changes rarely; the first leader is not, and the others mostly not.
        self.served = [False] + [rng.random() < 0.3 for _ in self.members[1:]]
        self.terms: dict[int, Term] = {0: Term(1, self.now + LIFE - MARGIN, self.now, self.now)}
        self.terms[0].known = self.now
        self.confirmed = [ConfirmedCancellations(timedelta(0)) for _ in self.members]
        self.stored: list[int] = []  # jobs that are cancelled
        self.users: dict[int, float] = {}  # when a user was first told of each
        for _ in range(rng.choice((0, 4, 20))):
            self._after(rng.uniform(0, 8), self._cancel)
        self.key: int | None = 1
        self.key_end = self.now + LIFE
        self.epoch = 1
        self.lost = rng.choice((0.0, 0.2, 0.4, 0.6))
        self.late = rng.choice((0.05, 0.3, 1.2))
        self.cut: set[frozenset[int]] = set()
        for _ in range(rng.choice((0, 10, 40))):
            self._after(rng.uniform(0, 12), self._cut)
        for member in self.members:
            self._after(rng.uniform(0, PAUSE), lambda m=member: self._loop(m))
        for _ in range(rng.choice((0, 1, 8))):
            self._after(rng.uniform(0, 15), self._restart)
        if rng.random() < 0.2:  # one in a loop of ends
            looping, began = rng.choice(self.members), rng.uniform(0, 8)
            for turn in range(20):
                self._after(began + turn * rng.uniform(0.1, 0.4), lambda: self._restart(looping))
        for _ in range(rng.choice((0, 12))):
            self._after(rng.uniform(0, 15), self._transfer_leadership)
        for _ in range(rng.choice((1, 4, 15))):
            self._after(rng.uniform(0, 12), self._serve)

    def _after(self, delay: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, self.rng.getrandbits(32), event))

    def _has(self, guard: str) -> bool:
        return self.without != guard

    def step(self) -> None:
        """The next event."""
        self.now, _, event = heapq.heappop(self.events)
        if self.key is not None and self.now > self.key_end:
            self.key = None
        event()

    def _clock(self) -> timedelta:
        return timedelta(seconds=self.now)

    def _serve(self) -> None:
        self.served[self.rng.choice(self.members)] = self.rng.random() < 0.5

    def _cut(self) -> None:
        """A link between two goes, or comes back."""
        self.cut ^= {frozenset(self.rng.sample(self.members, 2))}

    def _restart(self, member: int | None = None) -> None:
        member = self.rng.choice(self.members) if member is None else member
        self.process[member] += 1
        former = self.terms.pop(member, None)
        if former is not None and self.served[member] and former.epoch == self.key:
            self._after(self.rng.uniform(0, 1), lambda: self._end_hold(former.epoch))
        if self._has("a process attests only its own time"):
            self.confirmed[member] = ConfirmedCancellations(self._clock())
        else:  # it says that it is complete, though it has forgotten all
            self.confirmed[member] = ConfirmedCancellations(timedelta(0))
        voter = self.voter[member] = Voter(self._clock())
        if not self._has("one that has just begun promises weakly"):
            voter.weak_grants_until = timedelta(0)

    def _end_hold(self, epoch: int) -> None:
        """The next process of a member ends the hold that the former one had."""
        if self.key == epoch:
            self.key = None

    def holding(self, member: int) -> bool:
        """Whether a controller may answer workers now, once it has read the records."""
        term = self.terms.get(member)
        if term is None or self.now >= max(term.valid, term.promised):
            return False
        bound = self._has("answers end with what is known") and term.known is not None
        return not bound or self.now < (term.known or 0.0) + KNOWN

    def _transfer_leadership(self) -> None:
        """The leader whose key stands stops, and names a successor that the service serves."""
        leaders = [m for m, term in self.terms.items() if term.epoch == self.key]
        able = [m for m in self.members if self.served[m] and m not in self.terms]
        if not leaders or not able:
            return
        before = self.terms.pop(leaders[0])
        member = self.rng.choice(able)
        known = before.clear is not None
        if not known and not self._may_campaign(member):
            return
        confirmed = known or not self._has("a successor is told whether it is clear")
        self.voter[member].campaigned_against_epoch = self.epoch
        self._lead(member, self.epoch + 1, confirmed)

    def _send(self, one: Round) -> None:
        """The transaction of an election is on its way: executed at once, or a while later."""
        if self._has("who has stood does not promise"):
            self.voter[one.asker].campaigned_against_epoch = self.epoch
        clear, sent = self._all_confirm(one), self.now
        wait = self.rng.choice((0.0, 0.0, self.rng.uniform(0, LIFE)))
        self._after(wait, lambda: self._apply(one, sent, clear))

    def _apply(self, one: Round, sent: float, clear: bool) -> None:
        """It is executed, under a lease that was opened when it was sent."""
        if self.key is not None or self.epoch + 1 != one.epoch or self.now > sent + LIFE:
            return
        if self.process[one.asker] == one.process and self.now < sent + WAITING:
            self._lead(one.asker, one.epoch, clear)
        else:  # whoever sent it has ended, or given it up: nobody leads under this key
            self.epoch = self.key = one.epoch
            self.key_end = sent + LIFE

    def _lead(self, member: int, epoch: int, clear: bool) -> None:
        self.epoch = self.key = epoch
        self.key_end = self.now + LIFE
        term = Term(epoch, self.key_end - MARGIN, self.now, self.now)
        term.clear = self.now if clear else None
        self.terms[member] = term
        self._read(member, term)

    # cancellations

    def _cancel(self) -> None:
        """A user cancels a job at somebody who is served; who is told so at once, or asks again
        later, wherever it is."""
        able = [m for m in self.members if self.served[m]]
        if not able:
            return
        job = len(self.stored)
        self.stored.append(job)
        if self.rng.random() < 0.7:
            self._tell(self.rng.choice(able), job)
        for _ in range(2):
            self._after(self.rng.uniform(0, 3), lambda: self._poll(job))

    def _poll(self, job: int) -> None:
        able = [m for m in self.members if self.served[m]]
        if able:
            self._tell(self.rng.choice(able), job)

    def _tell(self, member: int, job: int) -> None:
        self.confirmed[member].note(str(job), self._clock())
        self.users.setdefault(job, self.now)

    def _read(self, member: int, term: Term) -> None:
        """All records are read: as they are at some moment between the sending and the answer."""
        if not self.served[member]:
            return
        sent, took = self.now, self.rng.uniform(0, READING)
        seen: list[int] = []
        self._after(took * self.rng.random(), lambda: seen.extend(self.stored))
        self._after(took + 1e-6, lambda: self._know(member, term, sent, seen))

    def _know(self, member: int, term: Term, sent: float, jobs: list[int]) -> None:
        if self.terms.get(member) is term:
            term.jobs.update(jobs)
            at = sent if self._has("a reading counts from its sending") else self.now
            term.known = at if term.known is None else max(term.known, at)

    def answering(self, member: int) -> bool:
        """Whether a controller answers workers now."""
        return self.holding(member) and self.terms[member].known is not None

    # what a controller does by itself

    def _loop(self, member: int) -> None:
        """Renew, or ask for promises; stand, when nobody leads."""
        self._after(PAUSE, lambda: self._loop(member))
        term = self.terms.get(member)
        if term is None:
            if self.key is None and self.served[member] and self._may_campaign(member):
                self._ask(member, "standing", self.epoch + 1, PRE_VOTE_TIME)
        elif not self.holding(member) and self._has("a lapsed term is not taken up again"):
            del self.terms[member]
        elif self.served[member] and self.key == term.epoch:
            self.key_end = self.now + LIFE
            term.valid, term.renewed = self.now + LIFE - MARGIN, self.now
            if not self._has("a renewal tells nothing of cancellations"):
                term.known = self.now
            if self.rng.random() < 0.5:  # what it has on its way may be held up
                self._read(member, term)
        elif not self.served[member]:
            self._ask(member, "promise", term.epoch, ASKING)
        if term is not None and term.clear is None:
            if self.now >= term.started_at + ALONE + PROMISED:
                term.clear = self.now
            else:
                self._ask(member, "clear", term.epoch, PRE_VOTE_TIME)

    def _may_campaign(self, member: int) -> bool:
        free = self.voter[member].campaign_allowed_at() <= self._clock()
        return free or not self._has("who has promised does not stand")

    def _ask(self, member: int, kind: str, epoch: int, limit: float) -> None:
        one = Round(member, self.process[member], kind, epoch, self.now)
        term = self.terms.get(member)
        if term is not None and term.known is not None:
            one.span = self.now - term.known + WINDOW_MARGIN
        if kind != "promise":
            free = self.voter[member].pre_vote(epoch, self._clock(), False).free
            one.free = free or not self._has("who has promised does not stand")
        for peer in self.members:
            if peer != member and self.rng.random() >= self.lost:
                self._after(self.rng.uniform(0, self.late), lambda p=peer: self._arrive(one, p))
        self._after(limit * self.rng.choice((0.3, 0.6, 1)), lambda: self._gather(one))

    # what becomes of it

    def _arrive(self, one: Round, peer: int) -> None:
        voter = self.voter[peer]
        if frozenset((one.asker, peer)) in self.cut:
            return
        if one.kind == "promise":
            if self.served[peer]:
                return
            request = LeaseGrantRequest(str(one.asker), one.epoch, int(PROMISED * 1000))
            reply = voter.grant_lease(request, self._clock(), peer in self.terms, 0)
            one.answers[peer] = (reply.granted, reply.granted and not reply.weak)
            one.confirmed[peer] = self.confirmed[peer].within(
                timedelta(seconds=one.span), self._clock()
            )
        elif not self._has("a promise is told to candidates"):
            one.answers[peer] = (True, True)
        else:
            min_grant_epoch = voter.min_grant_epoch
            free = voter.pre_vote(one.epoch, self._clock(), self.holding(peer)).free
            if not self._has("free leaves a bar"):
                voter.min_grant_epoch = min_grant_epoch
            one.answers[peer] = (free, free)

    def _gather(self, one: Round) -> None:
        if self.process[one.asker] == one.process:
            getattr(self, "_gather_" + one.kind)(one)

    def _gather_promise(self, one: Round) -> None:
        term = self.terms.get(one.asker)
        if term is None or term.epoch != one.epoch:
            return
        if not self.holding(one.asker) and self._has("a lapsed term is not taken up again"):
            return
        others = len(self.members) - 1
        self._gather_confirmed(one, term)
        until = one.sent + PROMISED - MARGIN
        yes = sum(granted for granted, _ in one.answers.values())
        strong = sum(strong for _, strong in one.answers.values())
        half = not self._has("a majority, not half, is needed to go on")
        if yes == others:
            term.promised = until
        elif (strong + 1 + half) * 2 > others + 1:
            if self._has("going on without all is bounded"):
                until = min(until, term.renewed + ALONE)
            term.promised = max(term.promised, until)

    def _gather_confirmed(self, one: Round, term: Term) -> None:
        """What all have told, if that is complete since all was known the last time."""
        if term.known is None:
            return
        now, since = self._clock(), timedelta(seconds=term.known)
        said = list(one.confirmed.values())
        if len(said) < len(self.members) - 1 and self._has("all attest, not those that answer"):
            return
        if self._has("a leader attests for itself"):
            span = timedelta(seconds=self.now - term.known + WINDOW_MARGIN)
            said.append(self.confirmed[one.asker].within(span, now))
        if not said:
            return
        all_confirmed = merge_windows(said)
        reaches = all_confirmed.covers(since, now)
        if not reaches and self._has("an attestation reaches back to what was known"):
            return
        term.jobs.update(int(job) for job in all_confirmed.cancelled)
        at = one.sent if self._has("an attestation counts from the question") else self.now
        term.known = max(term.known, at)

    def _all_confirm(self, one: Round) -> bool:
        free = sum(free for free, _ in one.answers.values())
        free += one.free
        return free * 2 > len(self.members) or not self._has("candidates ask a majority")

    def _gather_standing(self, one: Round) -> None:
        if self.key is not None or self.epoch + 1 != one.epoch or not self.served[one.asker]:
            return
        if not self._may_campaign(one.asker):
            return
        self._send(one)

    def _gather_clear(self, one: Round) -> None:
        term = self.terms.get(one.asker)
        if term is not None and term.epoch == one.epoch and self._all_confirm(one):
            term.clear = term.clear or self.now

    # the rule

    def broken(self) -> str | None:
        """What must never be so, if it is."""
        for member, term in self.terms.items():
            for job, at in self.users.items():
                late = self.now + LEASE > at + CANCEL
                if late and job not in term.jobs and self.answering(member):
                    return (
                        f"{member} answers with epoch {term.epoch} at {self.now:.2f}, and does not"
                        f" know that job {job} was called cancelled at {at:.2f}"
                    )
        for member, term in self.terms.items():
            if term.clear is None or self.now < term.clear:
                continue
            for other, former in self.terms.items():
                if former.epoch < term.epoch and self.holding(other):
                    return (
                        f"{other} answers with epoch {former.epoch} at {self.now:.2f}, while"
                        f" {member} takes silence for a proof since {term.clear:.2f}"
                    )
        return None


def search(members: int, schedules: int, seconds: float, without: str | None = None) -> str | None:
    """The first schedule found on which the rule is broken."""
    for seed in range(schedules):
        election = ElectionModel(members, random.Random(seed), without)
        end = election.now + seconds
        while election.now < end:
            election.step()
            broken = election.broken()
            if broken is not None:
                return f"seed {seed}: {broken}"
    return None
