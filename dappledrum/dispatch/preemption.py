"""Stops running tasks for more urgent ones, as far as the protocol allows."""

import logging
from datetime import timedelta

from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.gangs.all_or_nothing import give_up, is_gang
from dappledrum.jobs.job import Job, Placement
from dappledrum.jobs.messages import PRIORITY_RANKS, Priority
from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.timeline import Size
from dappledrum.scheduling.victim_selection import Host, Victim, choose
from dappledrum.settings import Params
from dappledrum.timing.clock import ZERO
from dappledrum.workers.machine_registry import MachineRegistry

log = logging.getLogger(__name__)

MAX_STOPPED = 16  # tasks of one job for which one plan stops others


class Preemption:
    """Frees capacity for tasks that would be late."""

    def __init__(self, registry: MachineRegistry, autoscaler: Autoscaler, params: Params) -> None:
        self.registry = registry
        self.autoscaler = autoscaler
        self.params = params

    def free_capacity(
        self,
        job: Job,
        bag: Bag,
        late: int,
        now: timedelta,
        guaranteed: set[str],
        yielding: set[str],
    ) -> None:
        """Stop tasks so that late ones can start: for jobs within their team's guarantee those
        beyond theirs, for `prod` jobs those of lower urgency. `yielding` jobs may always be
        stopped, as they lose no work."""
        # High urgency may stop lower work, too, but what it gained the stopped work lost twice;
        # unless the work keeps its progress, and nobody waits for it.
        gentle = (
            job.id not in guaranteed and job.effective_rank != PRIORITY_RANKS[Priority.PRODUCTION]
        )
        if gentle and not yielding:
            return
        # A stop takes one report to be sent, and one more to be confirmed.
        if now + self.params.workers.report * 2 + bag.run > bag.due and job.id not in guaranteed:
            return
        hosts = []
        for machine in self.registry:
            model = (
                self.autoscaler.types.get(machine.kind.type) if machine.kind is not None else None
            )
            if (
                model is None
                or machine.kind is None
                or not machine.up
                or not bag.allowed(machine.kind)
            ):
                continue
            if machine.returning or machine.draining or machine.recall_at is not None:
                continue
            free = Size(model.cpus, model.gpus, model.memory_gb)
            victims = []
            for placement in machine.placements.values():
                other = placement.page.job
                size = Size(other.spec.cpus, other.spec.gpus, other.spec.memory_gb)
                free = free.minus(size)
                if placement.lost or (gentle and other.id not in yielding):
                    continue
                if self._yields(other, job, guaranteed):
                    ran = (
                        ZERO if placement.running_since is None else now - placement.running_since
                    )
                    if other.spec.checkpoint_s > 0:
                        ran = min(ran, other.spec.save)
                    # A gang goes whole, so each of its tasks costs all of them.
                    ran *= other.placement_count() if is_gang(other) else 1
                    victims.append(Victim(placement, size, ran))
            hosts.append(Host(machine.name, free, victims))
        most = late if bag.gang else min(late, MAX_STOPPED)
        for victim in choose(bag.size, most, hosts, whole=bag.gang):
            assert isinstance(victim, Placement)
            log.info("stopping %s/%d for %s", victim.page.job.id, victim.task, job.id)
            victim.lost = True
            if is_gang(victim.page.job):
                give_up(victim.page.job)

    @staticmethod
    def _yields(other: Job, job: Job, guaranteed: set[str]) -> bool:
        """Whether the protocol allows a task of the one job to be stopped for the other."""
        if other.id in guaranteed and job.id not in guaranteed:
            return False
        if other.effective_rank > job.effective_rank:
            return True
        return (
            job.id in guaranteed
            and other.id not in guaranteed
            and other.spec.team != job.spec.team
        )
