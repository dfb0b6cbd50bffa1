"""Stops running tasks so that more urgent ones can start, as far as the protocol allows."""

import logging
from datetime import timedelta
from typing import NamedTuple

from dappledrum.dispatch.context import DispatchContext
from dappledrum.gangs.all_or_nothing import is_gang, stop_gang
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Priority
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.timeline import Size
from dappledrum.scheduling.victim_selection import Host, Victim, choose_victims
from dappledrum.timing.clock import ZERO
from dappledrum.workers.machine_registry import Machine

log = logging.getLogger(__name__)

MAX_PREEMPTING_TASKS = 16  # per job and plan, except gangs
STOP_HEARTBEATS = 2  # one to send the stop, one to confirm it


class PreemptionRights(NamedTuple):
    """Which jobs of one plan may preempt, and which may be preempted."""

    guaranteed: set[str]  # jobs within their teams' guarantees
    preemptible: set[str]  # jobs that may always be stopped, as they lose no work


class Preemption:
    """Frees capacity for tasks that would be late."""

    def __init__(self, context: DispatchContext) -> None:
        self.registry = context.registry
        self.autoscaler = context.autoscaler
        self.params = context.params

    def free_capacity(
        self, job: Job, bag: Bag, late: int, now: timedelta, rights: PreemptionRights
    ) -> None:
        """Stop tasks so that `late` tasks of a bag can start. Jobs within their team's guarantee
        may stop work of lower priority, and other teams' work beyond a guarantee; `prod` jobs may
        stop work of lower priority beyond a guarantee."""
        # Other jobs stop only best-effort tasks that save their progress, though the protocol lets
        # them stop any of lower priority: the stopped work lost twice what they gained.
        guaranteed = job.id in rights.guaranteed
        only_preemptible = (
            not guaranteed and job.effective_rank != PRIORITY_RANKS[Priority.PRODUCTION]
        )
        if only_preemptible and not rights.preemptible:
            return
        stopped_at = now + self.params.workers.heartbeat_interval * STOP_HEARTBEATS
        if stopped_at + bag.run > bag.due and not guaranteed:
            return
        hosts = []
        for machine in self.registry:
            capacity = self._usable_capacity(machine, bag)
            if capacity is not None:
                hosts.append(
                    self._preemption_host(machine, capacity, job, now, rights, only_preemptible)
                )
        limit = late if bag.gang else min(late, MAX_PREEMPTING_TASKS)
        for victim in choose_victims(bag.size, limit, hosts, all_or_none=bag.gang):
            assert isinstance(victim, Placement)
            log.info(
                "stopping task %s/%d to free capacity for %s",
                victim.page.job.id,
                victim.task,
                job.id,
            )
            victim.lost = True
            if is_gang(victim.page.job):
                stop_gang(victim.page.job)

    def _usable_capacity(self, machine: Machine, bag: Bag) -> Size | None:
        """All resources of a machine, if tasks of the bag may be placed there."""
        kind = machine.kind
        machine_type = None if kind is None else self.autoscaler.types.get(kind.type)
        if kind is None or machine_type is None or not machine.up or not bag.allowed(kind):
            return None
        if machine.returning or machine.draining or machine.reclaim_at is not None:
            return None
        return Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)

    def _preemption_host(
        self,
        machine: Machine,
        capacity: Size,
        job: Job,
        now: timedelta,
        rights: PreemptionRights,
        only_preemptible: bool,
    ) -> Host:
        """The free resources of a machine, and the tasks that may be stopped there for a job."""
        free = capacity
        victims = []
        for placement in machine.placements.values():
            running_job = placement.page.job
            size = Size(running_job.spec.cpus, running_job.spec.gpus, running_job.spec.memory_gb)
            free = free.minus(size)
            if placement.lost or (only_preemptible and running_job.id not in rights.preemptible):
                continue
            if _may_preempt(running_job, job, rights.guaranteed):
                victims.append(Victim(placement, size, _lost_work(placement, now)))
        return Host(machine.name, free, victims)


def _lost_work(placement: Placement, now: timedelta) -> timedelta:
    """Run time that is lost if a task is stopped."""
    job = placement.page.job
    ran = ZERO if placement.running_since is None else now - placement.running_since
    if job.spec.checkpoint_s > 0:
        ran = min(ran, job.spec.save)
    # Stopping one task of a gang stops all of them.
    return ran * (job.placement_count() if is_gang(job) else 1)


def _may_preempt(running_job: Job, job: Job, guaranteed: set[str]) -> bool:
    """Whether the protocol allows a task of `running_job` to be stopped for `job`."""
    if running_job.id in guaranteed and job.id not in guaranteed:
        return False
    if running_job.effective_rank > job.effective_rank:
        return True
    return (
        job.id in guaranteed
        and running_job.id not in guaranteed
        and running_job.spec.team != job.spec.team
    )
