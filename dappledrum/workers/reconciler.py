"""Reconciles the records with the heartbeats of workers.

An attempt counts as being on its machine until it is proven to have terminated, by one of:

- a heartbeat with a token of this term that shows it ended; a success is final, whoever shows it;
- a heartbeat without it that carries a token of this term (one delayed from a predecessor's term
  proves nothing) and is newer than the one whose answer carried the start (the worker has dropped
  that answer by then);
- a heartbeat with a token of this term that shows another session: an attempt belongs to one
  session of one process;
- the cloud's confirmation that the machine was returned;
- silence for longer than a lease, clock drift included, since the last answer that any controller
  can have given to a worker process that had the attempt. A predecessor may have answered until
  this term began; if a majority of the controllers could not be asked then, until a majority has
  confirmed that it is free of lease grants; or only until an earlier time, if all the others
  inform this leader since when they have had no term.
"""

import logging
from datetime import timedelta

from dappledrum.gangs.all_or_nothing import stop_broken_gangs
from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.job import Job
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import ZERO, longest_local_span
from dappledrum.workers.attempt_ends import AttemptEnds
from dappledrum.workers.commands import WorkerCommands
from dappledrum.workers.cost_recorder import CostRecorder
from dappledrum.workers.heartbeat_order import HeartbeatStanding, standing_of
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.placement_comparison import PlacementComparison
from dappledrum.workers.reachability import LEASE_EXPIRY_MARGIN
from dappledrum.workers.reachability_updates import (
    record_unadopted_token,
    update_reachability,
)
from dappledrum.workers.reconciliation_context import (
    ReconciliationContext,
    ReconciliationObserver,
)
from dappledrum.workers.spot_reclaim import SpotReclaim

log = logging.getLogger(__name__)

#: So many ignored heartbeats in a row are logged: single ones are late copies.
LOGGED_IGNORED_HEARTBEATS = 5


class Reconciler:
    """Updates placements and machines from heartbeats and from missing ones."""

    def __init__(
        self,
        context: ReconciliationContext,
        estimates: Estimates,
        cost_recorder: CostRecorder,
        observer: ReconciliationObserver,
    ) -> None:
        self.context = context
        self.observer = observer
        self.jobs = context.jobs
        self.registry = context.registry
        self.limits = context.limits
        self.clock = context.clock
        self.commands = WorkerCommands(context)
        self.ends = AttemptEnds(context, estimates, cost_recorder, observer)
        self.comparison = PlacementComparison(context, self.ends)
        self.spot_reclaim = SpotReclaim(estimates, context.limits)
        # No predecessor has answered a worker since then; None: not known.
        self.predecessors_stopped_at: timedelta | None = None

    def set_cache_sizes(self, cache_gb: dict[str, float]) -> None:
        """Set the sizes of the image caches in GB, by machine type."""
        self.comparison.cache_gb = cache_gb

    def process_heartbeat(self, heartbeat: WorkerHeartbeat) -> Machine | None:
        """Update the machine and its placements from a heartbeat.

        Returns the machine, or None if nothing may be concluded from the heartbeat (see
        `HeartbeatStanding.OUTDATED`) or its machine has terminated.
        """
        now = self.clock.now()
        if heartbeat.machine in self.registry.terminated:
            return None
        machine = self._machine_of(heartbeat, now)
        match standing_of(machine, heartbeat, self.context, now):
            case HeartbeatStanding.OUTDATED:
                self._record_ignored(machine, heartbeat)
                return None
            case HeartbeatStanding.UNPROVEN:
                self._process_unproven(machine, heartbeat, now)
            case HeartbeatStanding.FIRST:
                self._record_order(machine, heartbeat, now)
                self._record_up(machine, heartbeat, now)
                self.comparison.record_successes(machine, heartbeat)
            case HeartbeatStanding.CURRENT:
                self._process_current(machine, heartbeat, now)
        return machine

    def _process_unproven(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta
    ) -> None:
        record_unadopted_token(machine)
        self._record_order(machine, heartbeat, now)
        self.comparison.record_successes(machine, heartbeat)

    def _process_current(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta
    ) -> None:
        if heartbeat.token != machine.incarnation:
            self._begin_incarnation(machine, heartbeat)
        if heartbeat.session > machine.session and machine.up:
            machine.images.clear()
            log.info("%s began a new session: session=%d", machine.name, heartbeat.session)
        update_reachability(machine, heartbeat, self.context, now)
        self._record_order(machine, heartbeat, now)
        self._record_up(machine, heartbeat, now)
        self._record_reclaim_notice(machine, heartbeat, now)
        self.comparison.apply(machine, heartbeat, now)
        if machine.reclaim_at is not None:
            self.spot_reclaim.stop_unfinishable(machine, machine.reclaim_at - now, now)

    def _begin_incarnation(self, machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        if machine.incarnation:
            log.warning(
                "%s has restarted: placements=%d session=%d former_session=%d",
                machine.name,
                len(machine.placements),
                heartbeat.session,
                machine.session,
            )
        machine.begin_incarnation(heartbeat.token)

    @staticmethod
    def _record_order(machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta) -> None:
        machine.session = heartbeat.session
        machine.sequence = heartbeat.sequence
        machine.last_heartbeat = now
        machine.record_renewal(heartbeat, now)
        machine.ignored_in_a_row = 0
        if machine.unproven_since is None:
            machine.unproven_since = now

    @staticmethod
    def _record_ignored(machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        """Count a heartbeat without effect, and log that there are several in a row."""
        machine.ignored_in_a_row += 1
        if machine.ignored_in_a_row == LOGGED_IGNORED_HEARTBEATS:
            log.warning(
                "the last %d heartbeats of %s were ignored: session=%d sequence=%d token=%d,"
                " the newest had session=%d sequence=%d token=%d",
                machine.ignored_in_a_row,
                machine.name,
                heartbeat.session,
                heartbeat.sequence,
                heartbeat.token,
                machine.session,
                machine.sequence,
                machine.incarnation,
            )

    def _machine_of(self, heartbeat: WorkerHeartbeat, now: timedelta) -> Machine:
        known = self.registry.get(heartbeat.machine)
        only_recorded = known is None or known.kind is None  # records give only the name and zone
        machine = self.registry.ensure(
            heartbeat.machine, InstanceKind(heartbeat.type, heartbeat.zone, heartbeat.spot), now
        )
        if only_recorded:
            machine.unconfirmed = not self.context.gives(heartbeat.token)
        return machine

    def _record_up(self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta) -> None:
        confirmed = self.context.gives(heartbeat.token) or machine.asked_at is not None
        if confirmed and not machine.up:
            machine.up_at = now
            machine.unconfirmed = False
            log.info(
                "%s is up: type=%s zone=%s spot=%s",
                machine.name,
                heartbeat.type,
                heartbeat.zone,
                heartbeat.spot,
            )
            self.observer.planning_needed("machine up")

    def _record_reclaim_notice(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta
    ) -> None:
        if heartbeat.notice_s is None:
            return
        if machine.reclaim_at is None:
            log.info("%s will be reclaimed in %.0f s", machine.name, heartbeat.notice_s)
            self.observer.planning_needed("spot notice")
        machine.reclaim_at = now + timedelta(seconds=heartbeat.notice_s)

    def lose_expired(self) -> None:
        """Remove the placements on machines whose workers have certainly ended their session, and
        stop the rest of gangs that have lost a task."""
        now = self.clock.now()
        stop_broken_gangs(self.jobs.values())
        lease = self.limits.lease_duration
        others_stopped_at = self.context.others_stopped_at()
        if (
            others_stopped_at is None
            or now <= others_stopped_at + longest_local_span(lease) + LEASE_EXPIRY_MARGIN
        ):
            return
        reason = "the machine is silent for longer than its lease"
        for machine in self.registry:
            for placement in list(machine.placements.values()):
                if machine.placement_expired(placement, now, lease):
                    self.ends.lose(machine, placement, reason, CostCategory.LOST_LEASE_EXPIRED)

    def remove_returned(self, machine: Machine) -> None:
        """Remove a machine and its placements, after the cloud has confirmed its return."""
        for placement in list(machine.placements.values()):
            self.ends.lose(
                machine, placement, "the machine was returned", CostCategory.LOST_RECLAIMED
            )
        self.registry.remove_terminated(machine.name)

    def no_answers_since(self, moment: timedelta) -> None:
        """Record that no predecessor has answered any worker since `moment`."""
        self.predecessors_stopped_at = moment
        for machine in self.registry:
            if machine.last_heartbeat is None:
                machine.last_answer = min(machine.last_answer, moment)
                for placement in machine.placements.values():
                    placement.renewed_at = machine.last_answer

    def restore(self, job: Job) -> None:
        """Take over the placements of a job from a predecessor, which may have answered any worker
        until `predecessors_stopped_at`, or until now if that is not known."""
        now = self.clock.now()
        stopped_at = self.predecessors_stopped_at
        for placement in job.placements():
            machine = self.registry.ensure(placement.machine, None, now)
            machine.last_answer = now if stopped_at is None else min(now, stopped_at)
            placement.renewed_at = machine.last_answer
            machine.placements[(job.id, placement.task)] = placement
            age = self.clock.utc_now() - placement.placed_at
            placement.running_since = now - max(age, ZERO)
