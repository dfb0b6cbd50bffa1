"""Model of the election: leaders that keep their term by lease grants, and candidates that ask for
pre-votes before they take a leader's silence as proof that it has stopped.

Peers run the real `Voter`; leader and candidate are minimal implementations of the rules in
docs/membership.md. A schedule is drawn from a seed: messages arrive late, in any order, or never;
processes end and restart without memory, at any moment and several at once; transactions are
executed late, also when the process that sent them has ended; and which controllers the store
serves changes at any moment. Users cancel jobs at a controller that the store serves, and get the
confirmation from it, or later from another one.

The invariants are in `election_search.py`, which also searches schedules for a violation.
"""

import heapq
import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from dappledrum.election.confirmed_cancellations import (
    CancellationWindow,
    ConfirmedCancellations,
    merge_windows,
)
from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.voter import Voter
from dappledrum.model.election_conditions import (
    CONFIRMED_WINDOW_MARGIN,
    GRANT_DURATION,
    GRANT_REQUEST_TIMEOUT,
    LEASE_SAFETY_MARGIN,
    LEASE_TTL,
    LOOP_INTERVAL,
    MAX_CANCELLATIONS_AGE,
    MAX_READ_TIME,
    MAX_TIME_ON_MAJORITY_GRANTS,
    PRE_VOTE_TIMEOUT,
    TRANSACTION_TIMEOUT,
    Condition,
    ModelTerm,
    RequestKind,
    RequestRound,
    Vote,
)


class ElectionModel:
    """Controllers, the key `leader` of the store, and simulated time.

    `without` drops one of the conditions that the safety argument relies on.
    """

    def __init__(self, members: int, rng: random.Random, without: Condition | None = None) -> None:
        self.members = range(members)
        self.rng = rng
        self.without = without
        self.now = 10.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.voters = [Voter(timedelta(0)) for _ in self.members]
        self.processes = [0] * members
        # Whether the store serves a controller changes rarely. It does not serve the first leader,
        # and few of the others.
        self.served = [False] + [rng.random() < 0.3 for _ in self.members[1:]]
        first = ModelTerm(1, self.now + LEASE_TTL - LEASE_SAFETY_MARGIN, self.now, self.now)
        first.cancellations_known_at = self.now
        self.terms: dict[int, ModelTerm] = {0: first}
        self.confirmed = [ConfirmedCancellations(timedelta(0)) for _ in self.members]
        self.cancelled_jobs: list[int] = []  # as stored
        #: By job: when a user first got the confirmation.
        self.first_confirmed_at: dict[int, float] = {}
        self.key_epoch: int | None = 1  # of the key `leader`; None: absent
        self.key_expires_at = self.now + LEASE_TTL
        self.epoch = 1
        self.cut_links: set[frozenset[int]] = set()
        self._draw_cancellations()
        self.loss_rate = rng.choice((0.0, 0.2, 0.4, 0.6))
        self.max_delay = rng.choice((0.05, 0.3, 1.2))
        self._draw_events()

    def _draw_cancellations(self) -> None:
        for _ in range(self.rng.choice((0, 4, 20))):
            self._schedule(self.rng.uniform(0, 8), self._cancel)

    def _draw_events(self) -> None:
        rng = self.rng
        for _ in range(rng.choice((0, 10, 40))):
            self._schedule(rng.uniform(0, 12), self._toggle_link)
        for member in self.members:
            self._schedule(rng.uniform(0, LOOP_INTERVAL), partial(self._run_step, member))
        for _ in range(rng.choice((0, 1, 8))):
            self._schedule(rng.uniform(0, 15), self._restart)
        if rng.random() < 0.2:  # one controller crashes in a loop
            crashing, start = rng.choice(self.members), rng.uniform(0, 8)
            for turn in range(20):
                delay = start + turn * rng.uniform(0.1, 0.4)
                self._schedule(delay, lambda: self._restart(crashing))
        for _ in range(rng.choice((0, 12))):
            self._schedule(rng.uniform(0, 15), self._transfer_leadership)
        for _ in range(rng.choice((1, 4, 15))):
            self._schedule(rng.uniform(0, 12), self._change_served)

    def _schedule(self, delay: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, self.rng.getrandbits(32), event))

    def _has(self, condition: Condition) -> bool:
        return self.without is not condition

    def step(self) -> None:
        """Run the next event."""
        self.now, _, event = heapq.heappop(self.events)
        if self.key_epoch is not None and self.now > self.key_expires_at:
            self.key_epoch = None
        event()

    def _clock(self) -> timedelta:
        return timedelta(seconds=self.now)

    # faults

    def _change_served(self) -> None:
        """The store starts or stops serving a controller."""
        self.served[self.rng.choice(self.members)] = self.rng.random() < 0.5

    def _toggle_link(self) -> None:
        """A link between two controllers fails, or recovers."""
        self.cut_links ^= {frozenset(self.rng.sample(self.members, 2))}

    def _restart(self, member: int | None = None) -> None:
        member = self.rng.choice(self.members) if member is None else member
        self.processes[member] += 1
        former = self.terms.pop(member, None)
        if former is not None and self.served[member] and former.epoch == self.key_epoch:
            self._schedule(self.rng.uniform(0, 1), lambda: self._close_lease(former.epoch))
        if self._has(Condition.PROCESSES_ATTEST_ONLY_THEIR_LIFETIME):
            self.confirmed[member] = ConfirmedCancellations(self._clock())
        else:  # it also attests the time before its restart, though it has no record of it
            self.confirmed[member] = ConfirmedCancellations(timedelta(0))
        voter = self.voters[member] = Voter(self._clock())
        if not self._has(Condition.RESTARTED_VOTERS_GRANT_WEAKLY):
            voter.weak_grants_until = timedelta(0)

    def _close_lease(self, epoch: int) -> None:
        """A restarted controller closes the lease of its previous process."""
        if self.key_epoch == epoch:
            self.key_epoch = None

    # terms

    def has_valid_term(self, member: int) -> bool:
        """Whether a controller may answer workers now, once it has read the records."""
        term = self.terms.get(member)
        if term is None or self.now >= max(term.lease_valid_until, term.grants_valid_until):
            return False
        known_at = term.cancellations_known_at
        if known_at is None or not self._has(Condition.ANSWERS_END_WITH_KNOWN_CANCELLATIONS):
            return True
        return self.now < known_at + MAX_CANCELLATIONS_AGE

    def answers_workers(self, member: int) -> bool:
        """Whether a controller answers workers now."""
        return (
            self.has_valid_term(member) and self.terms[member].cancellations_known_at is not None
        )

    def _transfer_leadership(self) -> None:
        """The leader that holds the key stops, and names a successor that the store serves."""
        leaders = [m for m, term in self.terms.items() if term.epoch == self.key_epoch]
        successors = [m for m in self.members if self.served[m] and m not in self.terms]
        if not leaders or not successors:
            return
        former = self.terms.pop(leaders[0])
        successor = self.rng.choice(successors)
        others_stopped = former.others_stopped_at is not None
        if not others_stopped and not self._may_campaign(successor):
            return
        if not self._has(Condition.SUCCESSORS_ARE_INFORMED_OF_OTHERS):
            others_stopped = True
        self.voters[successor].campaigned_against_epoch = self.epoch
        self._lead(successor, self.epoch + 1, others_stopped)

    def _send_transaction(self, request: RequestRound) -> None:
        """Send the transaction of a campaign; it is executed at once or some time later."""
        if self._has(Condition.CAMPAIGNS_PREVENT_GRANTS):
            self.voters[request.asker].campaigned_against_epoch = self.epoch
        others_stopped, sent_at = self._majority_is_free(request), self.now
        delay = self.rng.choice((0.0, 0.0, self.rng.uniform(0, LEASE_TTL)))
        self._schedule(delay, lambda: self._execute(request, sent_at, others_stopped))

    def _execute(self, request: RequestRound, sent_at: float, others_stopped: bool) -> None:
        """Execute the transaction, under a lease that was opened when it was sent."""
        if self.key_epoch is not None or self.epoch + 1 != request.epoch:
            return
        if self.now > sent_at + LEASE_TTL:
            return
        same_process = self.processes[request.asker] == request.process
        if same_process and self.now < sent_at + TRANSACTION_TIMEOUT:
            self._lead(request.asker, request.epoch, others_stopped)
        else:  # the sender has ended or timed out: the key is written, but nobody leads
            self.epoch = self.key_epoch = request.epoch
            self.key_expires_at = sent_at + LEASE_TTL

    def _lead(self, member: int, epoch: int, others_stopped: bool) -> None:
        self.epoch = self.key_epoch = epoch
        self.key_expires_at = self.now + LEASE_TTL
        valid_until = self.key_expires_at - LEASE_SAFETY_MARGIN
        term = ModelTerm(epoch, valid_until, self.now, self.now)
        term.others_stopped_at = self.now if others_stopped else None
        self.terms[member] = term
        self._read_records(member, term)

    # cancellations

    def _cancel(self) -> None:
        """A user cancels a job at a controller that the store serves; the confirmation arrives at
        once or gets lost. The user polls for it later at any controllers that are served."""
        served = [m for m in self.members if self.served[m]]
        if not served:
            return
        job = len(self.cancelled_jobs)
        self.cancelled_jobs.append(job)
        if self.rng.random() < 0.7:
            self._confirm(self.rng.choice(served), job)
        for _ in range(2):
            self._schedule(self.rng.uniform(0, 3), lambda: self._poll(job))

    def _poll(self, job: int) -> None:
        served = [m for m in self.members if self.served[m]]
        if served:
            self._confirm(self.rng.choice(served), job)

    def _confirm(self, member: int, job: int) -> None:
        self.confirmed[member].note(str(job), self._clock())
        self.first_confirmed_at.setdefault(job, self.now)

    def _read_records(self, member: int, term: ModelTerm) -> None:
        """Read all records, as they are at some moment between the request and the response."""
        if not self.served[member]:
            return
        sent_at, duration = self.now, self.rng.uniform(0, MAX_READ_TIME)
        jobs: list[int] = []
        self._schedule(duration * self.rng.random(), lambda: jobs.extend(self.cancelled_jobs))
        self._schedule(duration + 1e-6, lambda: self._finish_read(member, term, sent_at, jobs))

    def _finish_read(self, member: int, term: ModelTerm, sent_at: float, jobs: list[int]) -> None:
        if self.terms.get(member) is not term:
            return
        term.known_cancelled.update(jobs)
        at = sent_at if self._has(Condition.READS_COUNT_FROM_THEIR_SENDING) else self.now
        known_at = term.cancellations_known_at
        term.cancellations_known_at = at if known_at is None else max(known_at, at)

    # periodic steps of a controller

    def _run_step(self, member: int) -> None:
        """Renew the lease or request lease grants; campaign when nobody leads."""
        self._schedule(LOOP_INTERVAL, lambda: self._run_step(member))
        term = self.terms.get(member)
        if term is None:
            if self.key_epoch is None and self.served[member] and self._may_campaign(member):
                self._ask_peers(member, RequestKind.PRE_VOTE, self.epoch + 1, PRE_VOTE_TIMEOUT)
            return
        self._keep_term(member, term)
        if term.others_stopped_at is not None:
            return
        if self.now >= term.started_at + MAX_TIME_ON_MAJORITY_GRANTS + GRANT_DURATION:
            term.others_stopped_at = self.now
        else:
            self._ask_peers(member, RequestKind.FORMER_LEADERS, term.epoch, PRE_VOTE_TIMEOUT)

    def _keep_term(self, member: int, term: ModelTerm) -> None:
        if not self.has_valid_term(member) and self._has(Condition.LAPSED_TERMS_ARE_NOT_RESUMED):
            del self.terms[member]
        elif self.served[member] and self.key_epoch == term.epoch:
            self._renew(member, term)
        elif not self.served[member]:
            self._ask_peers(member, RequestKind.GRANT_LEASE, term.epoch, GRANT_REQUEST_TIMEOUT)

    def _renew(self, member: int, term: ModelTerm) -> None:
        self.key_expires_at = self.now + LEASE_TTL
        term.lease_valid_until = self.now + LEASE_TTL - LEASE_SAFETY_MARGIN
        term.renewed_at = self.now
        if not self._has(Condition.RENEWALS_SHOW_NO_CANCELLATIONS):
            term.cancellations_known_at = self.now
        if self.rng.random() < 0.5:  # otherwise left to a later step
            self._read_records(member, term)

    def _may_campaign(self, member: int) -> bool:
        allowed = self.voters[member].campaign_allowed_at() <= self._clock()
        return allowed or not self._has(Condition.GRANTS_PREVENT_CAMPAIGNS)

    def _ask_peers(self, member: int, kind: RequestKind, epoch: int, timeout: float) -> None:
        request = RequestRound(member, self.processes[member], kind, epoch, self.now)
        term = self.terms.get(member)
        if term is not None and term.cancellations_known_at is not None:
            request.confirmed_span = (
                self.now - term.cancellations_known_at + CONFIRMED_WINDOW_MARGIN
            )
        if kind is not RequestKind.GRANT_LEASE:
            free = self.voters[member].pre_vote(epoch, self._clock(), False).free
            request.asker_free = free or not self._has(Condition.GRANTS_PREVENT_CAMPAIGNS)
        for peer in self.members:
            if peer != member and self.rng.random() >= self.loss_rate:
                delay = self.rng.uniform(0, self.max_delay)
                self._schedule(delay, partial(self._deliver, request, peer))
        delay = timeout * self.rng.choice((0.3, 0.6, 1))
        self._schedule(delay, lambda: self._finish_round(request))

    # requests to peers

    def _deliver(self, request: RequestRound, peer: int) -> None:
        if frozenset((request.asker, peer)) in self.cut_links:
            return
        if request.kind is RequestKind.GRANT_LEASE:
            self._deliver_grant_request(request, peer)
        elif not self._has(Condition.CANDIDATES_ARE_INFORMED_OF_GRANTS):
            request.votes[peer] = Vote(True, True)
        else:
            self._deliver_pre_vote(request, peer)

    def _deliver_grant_request(self, request: RequestRound, peer: int) -> None:
        if self.served[peer]:
            return
        message = LeaseGrantRequest(str(request.asker), request.epoch, int(GRANT_DURATION * 1000))
        reply = self.voters[peer].grant_lease(message, self._clock(), peer in self.terms, 0)
        request.votes[peer] = Vote(reply.granted, reply.granted and not reply.weak)
        request.confirmed[peer] = self.confirmed[peer].within(
            timedelta(seconds=request.confirmed_span), self._clock()
        )

    def _deliver_pre_vote(self, request: RequestRound, peer: int) -> None:
        voter = self.voters[peer]
        min_grant_epoch = voter.min_grant_epoch
        leads = self.has_valid_term(peer)
        free = voter.pre_vote(request.epoch, self._clock(), leads).free
        if not self._has(Condition.FREE_ANSWERS_BAR_LOWER_EPOCHS):
            voter.min_grant_epoch = min_grant_epoch
        request.votes[peer] = Vote(free, free)

    def _finish_round(self, request: RequestRound) -> None:
        if self.processes[request.asker] != request.process:
            return
        if request.kind is RequestKind.GRANT_LEASE:
            self._finish_grant_request(request)
        elif request.kind is RequestKind.PRE_VOTE:
            self._finish_pre_vote(request)
        else:
            self._finish_former_leader_check(request)

    def _finish_grant_request(self, request: RequestRound) -> None:
        term = self.terms.get(request.asker)
        if term is None or term.epoch != request.epoch:
            return
        lapsed = not self.has_valid_term(request.asker)
        if lapsed and self._has(Condition.LAPSED_TERMS_ARE_NOT_RESUMED):
            return
        self._apply_attestations(request, term)
        peers = len(self.members) - 1
        until = request.sent_at + GRANT_DURATION - LEASE_SAFETY_MARGIN
        granted = sum(vote.agreed for vote in request.votes.values())
        strong = sum(vote.strong for vote in request.votes.values())
        half_suffices = not self._has(Condition.MORE_THAN_HALF_EXTENDS_A_TERM)
        if granted == peers:
            term.grants_valid_until = until
        elif (strong + 1 + half_suffices) * 2 > peers + 1:
            if self._has(Condition.TIME_ON_MAJORITY_GRANTS_IS_BOUNDED):
                until = min(until, term.renewed_at + MAX_TIME_ON_MAJORITY_GRANTS)
            term.grants_valid_until = max(term.grants_valid_until, until)

    def _apply_attestations(self, request: RequestRound, term: ModelTerm) -> None:
        """Apply the cancellations that the controllers attest, if their windows reach back without
        a gap to the moment at which all cancellations were last known."""
        if term.cancellations_known_at is None:
            return
        windows = self._attested_windows(request, term.cancellations_known_at)
        if not windows:
            return
        merged = merge_windows(windows)
        complete = merged.covers(timedelta(seconds=term.cancellations_known_at), self._clock())
        if not complete and self._has(Condition.ATTESTATIONS_LEAVE_NO_GAP):
            return
        term.known_cancelled.update(int(job) for job in merged.cancelled)
        from_request = self._has(Condition.ATTESTATIONS_COUNT_FROM_THE_REQUEST)
        at = request.sent_at if from_request else self.now
        term.cancellations_known_at = max(term.cancellations_known_at, at)

    def _attested_windows(
        self, request: RequestRound, known_at: float
    ) -> list[CancellationWindow]:
        """The windows that the peers and the leader attest; empty if one of them is missing."""
        windows = list(request.confirmed.values())
        if len(windows) < len(self.members) - 1 and self._has(Condition.ALL_PEERS_ATTEST):
            return []
        if self._has(Condition.LEADERS_ATTEST_FOR_THEMSELVES):
            span = timedelta(seconds=self.now - known_at + CONFIRMED_WINDOW_MARGIN)
            windows.append(self.confirmed[request.asker].within(span, self._clock()))
        return windows

    def _majority_is_free(self, request: RequestRound) -> bool:
        free = sum(vote.agreed for vote in request.votes.values()) + request.asker_free
        majority = free * 2 > len(self.members)
        return majority or not self._has(Condition.CANDIDATES_ASK_A_MAJORITY)

    def _finish_pre_vote(self, request: RequestRound) -> None:
        if self.key_epoch is not None or self.epoch + 1 != request.epoch:
            return
        if self.served[request.asker] and self._may_campaign(request.asker):
            self._send_transaction(request)

    def _finish_former_leader_check(self, request: RequestRound) -> None:
        term = self.terms.get(request.asker)
        if term is None or term.epoch != request.epoch:
            return
        if self._majority_is_free(request):
            term.others_stopped_at = term.others_stopped_at or self.now
