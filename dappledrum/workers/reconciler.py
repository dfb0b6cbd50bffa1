"""What a heartbeat means for the records.

An attempt counts as on its machine until it is proven gone, by one of:

- a heartbeat that shows it ended;
- a heartbeat without it that carries our own token (one held back under a predecessor proves
  nothing) and is newer than the one whose answer carried the start (the worker has dropped that
  answer by then);
- a heartbeat of a newer session;
- the cloud's word that the machine was returned;
- silence for longer than a lease, drift included, since the last answer that anyone can have
  given: this leader, or one before it until this one took over, or, if a majority of the
  controllers could not be asked then, until it has told that it holds to no promise; or until
  earlier, if all the others tell this leader since when they have held no term.
"""

import logging
from collections.abc import Callable
from datetime import timedelta

from dappledrum.accounting.entries import Entry
from dappledrum.accounting.ledger import Ledger
from dappledrum.gangs.all_or_nothing import stop_broken_gangs
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import Form
from dappledrum.jobs.page import Page
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO, Clock, longest_local_span
from dappledrum.workers.commands import WorkerCommands, wanted
from dappledrum.workers.failure_attribution import Verdict, failed, judge, suspected
from dappledrum.workers.machine_registry import GONE_MARGIN, Machine, MachineRegistry
from dappledrum.workers.messages import (
    Cause,
    TaskState,
    TaskStatus,
    WorkerHeartbeat,
    job_and_number,
)

log = logging.getLogger(__name__)

RETRY = timedelta(seconds=2)
DOUBT = timedelta(seconds=5)  # a machine is left out while its failures are tried elsewhere
MAX_RETRY_PAUSE = timedelta(seconds=60)


class Reconciler:
    """Keeps placements and machines in step with the heartbeats."""

    def __init__(
        self,
        jobs: dict[str, Job],
        registry: MachineRegistry,
        estimates: Estimates,
        limits: WorkerLimits,
        clock: Clock,
        token: int,
        mark: Callable[[Page], None],
        wake: Callable[[str], None],
        ledger: Ledger | None = None,
        others_stopped_at: Callable[[], timedelta | None] = lambda: ZERO,
        running_since: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        self.running_since = running_since
        # nobody else has answered since; None: not known
        self.others_stopped_at = others_stopped_at
        self.ledger = ledger or Ledger(registry, clock)
        self.jobs = jobs
        self.registry = registry
        self.estimates = estimates
        self.limits = limits
        self.clock = clock
        self.token = token
        self.mark = mark
        self.wake = wake
        self.commands = WorkerCommands(jobs, clock)
        self.cache_gb: dict[str, float] = {}
        self.on_lost: Callable[[str], None] = lambda why: None  # told of each placement given up
        # nobody else has answered since; None: not told
        self.last_foreign_answer: timedelta | None = None

    # heartbeats

    def take(self, heartbeat: WorkerHeartbeat) -> Machine | None:
        """Note a heartbeat.

        None: it is older than what is known, or the machine is gone.
        """
        now = self.clock.now()
        if heartbeat.machine in self.registry.gone:
            return None
        known = self.registry.get(heartbeat.machine)
        vague = known is None or known.kind is None  # a record names a machine, and no more
        machine = self.registry.ensure(
            heartbeat.machine, InstanceKind(heartbeat.type, heartbeat.zone, heartbeat.spot), now
        )
        if vague:
            machine.unconfirmed = heartbeat.token != self.token
        if self._copied(machine, heartbeat, now):
            return None
        if heartbeat.session > machine.session and machine.up:
            machine.images.clear()
            log.info("%s is in session %d now", machine.name, heartbeat.session)
        self._update_reachability(machine, heartbeat, now)
        machine.session, machine.sequence, machine.token = (
            heartbeat.session,
            heartbeat.sequence,
            heartbeat.token,
        )
        machine.last_heartbeat = now
        certain = heartbeat.token == self.token or machine.asked_at is not None
        if certain and not machine.up:
            machine.up_at = now
            machine.unconfirmed = False
            log.info("%s is up (%s in %s)", machine.name, heartbeat.type, heartbeat.zone)
            self.wake("machine up")
        if heartbeat.notice_s is not None:
            if machine.recall_at is None:
                log.info("%s will be taken in %.0f s", machine.name, heartbeat.notice_s)
                self.wake("spot notice")
            machine.recall_at = now + timedelta(seconds=heartbeat.notice_s)
        self._compare(machine, heartbeat, now)
        if machine.recall_at is not None:
            self._leave_in_time(machine, machine.recall_at - now, now)
        return machine

    def _copied(self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta) -> bool:
        """Whether a heartbeat can only be a late copy, or one that was held back.

        It is if a newer one has come, which is so for all with an older token than one that was
        shown. And it is if its session should have ended: in one that has never shown our token
        nobody was answered since it began, or since the last moment at which a predecessor may
        have answered, so it lasts a lease from then. A leader that has just taken over knows
        neither: to it a copy looks like a heartbeat, for a lease at the most. So the lease's clock
        may run for longer than it must; a sign of life (`up`) it is not.
        """
        if (heartbeat.session, heartbeat.sequence) <= (machine.session, machine.sequence):
            return True
        if heartbeat.token >= self.token:
            return False
        clear = self.others_stopped_at()
        if heartbeat.session > machine.session or clear is None:
            return False
        return machine.reachability.outlasts_lease(now, self.limits.lease_duration) and now > (
            clear + longest_local_span(self.limits.lease_duration) + GONE_MARGIN
        )

    def _update_reachability(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta
    ) -> None:
        """Whether the machine hears this controller."""
        reachability, lease = machine.reachability, self.limits.lease_duration
        heard = False
        if heartbeat.token == self.token and not reachability.token_shown:
            heard = reachability.token_shown = True
        if heartbeat.session > machine.session:
            if reachability.new_session(now, lease, self.running_since()):
                log.warning("%s lost its session though it was answered", machine.name)
        elif heartbeat.token == self.token and reachability.outlasts_lease(now, lease):
            heard = reachability.unreachable
        elif heartbeat.token < self.token and reachability.answered_at is not None:
            self._note_missed_answer(machine, "does not take this term's token on")
        if heard and reachability.confirm_reachable():
            log.info("%s hears again", machine.name)

    def _note_missed_answer(self, machine: Machine, why: str) -> None:
        if machine.reachability.note_missed_answer():
            log.warning(
                "%s %s: its heartbeats arrive, but no answer reaches it", machine.name, why
            )

    def _leave_in_time(self, machine: Machine, left: timedelta, now: timedelta) -> None:
        """Stop what won't be over when the cloud takes the machine, so that it begins elsewhere
        now and not when the loss is proven; what keeps its progress, when it must save."""
        for placement in machine.placements.values():
            job = placement.page.job
            if placement.lost or job.cancelled or job.spec.form is Form.SERVICE:
                continue
            if job.spec.checkpoint_s > 0:
                doomed = left <= job.spec.save * 1.5 + self.limits.heartbeat_interval * 2
            else:
                mean, deviation = self.estimates.moments(
                    job.id, job.spec.job_class, job.spec.estimate
                )
                ran = ZERO if placement.running_since is None else now - placement.running_since
                # It is worth waiting for what has a fair chance.
                doomed = mean - deviation / 2 - ran > left
            if doomed:
                placement.lost = True
                log.info("%s/%d leaves %s in time", job.id, placement.task, machine.name)

    def _compare(self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta) -> None:
        """Bring the placements in step with what the heartbeat shows."""
        shown: set[tuple[str, int, int]] = set()
        for item in heartbeat.tasks:
            name, number = job_and_number(item.task)
            if number is None:
                continue
            shown.add((name, number, item.attempt))
            job = self.jobs.get(name)
            if job is not None and number < job.spec.tasks:
                self._item(machine, job, number, item, now)
        missed = False
        for placement in list(machine.placements.values()):
            job_id = placement.page.job.id
            missed |= (
                0 <= placement.offered_sequence < heartbeat.sequence
                and not placement.observed
                and not placement.lost
                and placement.session == heartbeat.session
            )
            if placement.session < heartbeat.session:
                self._lost(machine, placement, "its session is over", Entry.LOST_SILENT)
            elif (
                job_id,
                placement.task,
                placement.attempt,
            ) in shown or placement.session > heartbeat.session:
                continue
            elif (
                heartbeat.token == self.token
                and heartbeat.sequence > placement.offered_sequence
                and (placement.observed or placement.lost or not wanted(placement))
            ):
                self._lost(machine, placement, "no longer there", Entry.LOST_STOPPED)
        if missed:
            self._note_missed_answer(machine, "does not begin what it is given")
        # Only once it has shown this term's token: before, old copies look like heartbeats that
        # show neither the token nor what a predecessor has started since, and stopped what was
        # running.
        if machine.reachability.unreachable and machine.up:
            for placement in machine.placements.values():
                # Not offered any more, so the next heartbeat without it proves that it is not
                # there.
                placement.lost |= not placement.observed

    def _item(
        self, machine: Machine, job: Job, task: int, item: TaskStatus, now: timedelta
    ) -> None:
        page = job.page_of(task)
        placement = machine.placements.get((job.id, task))
        if placement is not None and placement.attempt != item.attempt:
            placement = None
        if item.state == TaskState.ENDED:
            self._ended(machine, job, page, task, placement, item, now)
        elif placement is not None:
            if (
                not placement.observed
                and placement.offered_sequence >= 0
                and machine.reachability.confirm_reachable()
            ):
                log.info("%s hears again", machine.name)
            placement.observed = True
            placement.waiting_for_gang = item.state == TaskState.WAITING
            if item.state == TaskState.RUNNING and placement.running_since is None:
                placement.running_since = now
                if not job.has_run:
                    job.has_run = True
                    waited = (self.clock.utc_now() - job.accepted_at).total_seconds()
                    log.info("%s began %.1f s after it came", job.id, waited)
                cache = (
                    self.cache_gb.get(machine.kind.type, 1e9) if machine.kind is not None else 1e9
                )
                machine.remember_image(job.spec.image, job.spec.image_gb, cache)

    def _ended(
        self,
        machine: Machine,
        job: Job,
        page: Page,
        task: int,
        placement: Placement | None,
        item: TaskStatus,
        now: timedelta,
    ) -> None:
        if item.cause == Cause.DONE and not page.is_done(task):
            page.finish(task)
            self._success(machine, job, now)
            if placement is not None and placement.running_since is not None:
                took = now - placement.running_since
                self.estimates.record_task_time(
                    job.id, job.spec.job_class, job.spec.estimate, took
                )
            self.wake("task done")
        elif placement is not None and item.cause == Cause.ERROR:
            self._failure(machine, job, now)
        elif placement is not None and item.cause in (Cause.FULL, Cause.BUSY):
            log.warning("%s refused %s: %s", machine.name, item.task, item.cause)
            machine.blocked_until = now + RETRY
        elif placement is not None and item.cause in (Cause.UNKNOWN, Cause.PEERS, Cause.ALONE):
            job.retry_at = now + RETRY
        if placement is not None:
            self.ledger.settle(placement, self._worth(job, item))
            self._remove(machine, placement)
            self.wake("task ended")
        self.mark(page)

    def _success(self, machine: Machine, job: Job, now: timedelta) -> None:
        """A task has completed, which clears both, and tells on the machines where only its job
        had failed so far."""
        machine.errors.clear()
        if not job.failures_by_machine:
            return
        if suspected(job):
            log.warning("%s no longer fails everywhere", job.id)
        elsewhere = [
            m for name in job.failures_by_machine if (m := self.registry.get(name)) is not None
        ]
        job.failures_by_machine.clear()
        for other in elsewhere:
            if other is not machine:
                self._doubt(other, now)

    def _failure(self, machine: Machine, job: Job, now: timedelta) -> None:
        """A task failed: either the machine is faulty, or the job fails everywhere."""
        before = suspected(job)
        failed(job, machine)
        if suspected(job):
            # Machines that others are content with: it is the job. Try again, ever more rarely.
            tries = sum(job.failures_by_machine.values())
            job.retry_at = now + min(RETRY * 2 ** min(tries // 3, 6), MAX_RETRY_PAUSE)
            if not before:
                log.warning(
                    "%s fails on %d machines, tried rarely from now on",
                    job.id,
                    len(job.failures_by_machine),
                )
        else:
            self._doubt(machine, now)

    def _doubt(self, machine: Machine, now: timedelta) -> None:
        verdict = judge(machine, self.jobs)
        if verdict is Verdict.FAULTY and not machine.draining:
            machine.draining = True
            log.warning("%s fails again and again, draining it", machine.name)
        elif verdict is Verdict.DOUBTFUL:
            # Elsewhere the same tasks will show whether it is the machine or the job.
            machine.blocked_until = max(machine.blocked_until, now + DOUBT)

    def _remove(self, machine: Machine, placement: Placement) -> None:
        machine.placements.pop((placement.page.job.id, placement.task), None)
        page = placement.page
        if page.placements.get(placement.task) is placement:
            page.remove(placement.task)
            self.mark(page)

    @staticmethod
    def _worth(job: Job, item: TaskStatus) -> Entry:
        """Whether the time of an attempt that has ended was kept."""
        if item.cause == Cause.DONE or item.saved:
            return Entry.KEPT
        if job.cancelled:
            return Entry.LOST_CANCELLED
        return Entry.LOST_ERROR if item.cause == Cause.ERROR else Entry.LOST_STOPPED

    def _lost(self, machine: Machine, placement: Placement, why: str, entry: Entry) -> None:
        log.info(
            "%s/%d on %s is gone: %s", placement.page.job.id, placement.task, machine.name, why
        )
        self.ledger.settle(placement, entry)
        self._remove(machine, placement)
        self.on_lost(why)
        self.wake("task lost")

    # time

    def sweep(self) -> None:
        """Give up what was on machines whose workers have certainly ended their session, and what
        is left of gangs that have lost a part."""
        now = self.clock.now()
        stop_broken_gangs(self.jobs.values())
        clear = self.others_stopped_at()
        if (
            clear is None
            or now <= clear + longest_local_span(self.limits.lease_duration) + GONE_MARGIN
        ):
            return
        for machine in self.registry:
            if machine.placements and machine.expired(now, self.limits.lease_duration):
                for placement in list(machine.placements.values()):
                    why = "the machine is silent for longer than its lease"
                    self._lost(machine, placement, why, Entry.LOST_SILENT)

    def returned(self, machine: Machine) -> None:
        """The cloud has confirmed that the machine, with all that was on it, is gone."""
        for placement in list(machine.placements.values()):
            self._lost(machine, placement, "the machine was returned", Entry.LOST_TAKEN)
        self.registry.drop(machine.name)

    def evict(self, placement: Placement) -> None:
        """Have a task stopped; it counts as on its machine until that is proven otherwise."""
        placement.lost = True

    def no_answers_since(self, moment: timedelta) -> None:
        """No predecessor has answered any worker after this."""
        self.last_foreign_answer = moment
        for machine in self.registry:
            if machine.last_heartbeat is None:
                machine.last_answer = min(machine.last_answer, moment)

    def restore(self, job: Job) -> None:
        """Take over the placements of a predecessor, which may have answered any worker until
        now."""
        now = self.clock.now()
        for placement in job.placements():
            machine = self.registry.ensure(placement.machine, None, now)
            machine.last_answer = (
                now if self.last_foreign_answer is None else min(now, self.last_foreign_answer)
            )
            machine.placements[(job.id, placement.task)] = placement
            age = self.clock.utc_now() - placement.placed_at
            placement.running_since = now - max(age, ZERO)
