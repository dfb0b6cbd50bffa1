"""Moves tasks away from a spot machine before the cloud reclaims it."""

import logging
from datetime import timedelta

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import Form
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO
from dappledrum.workers.machine_registry import Machine

log = logging.getLogger(__name__)

#: Saving a checkpoint may take this many times as long as the owner stated.
SAVE_TIME_FACTOR = 1.5
#: A stop is sent in the answer to one heartbeat and confirmed by the next.
HEARTBEATS_PER_STOP = 2


class SpotReclaim:
    """Decides which tasks to stop on a machine whose reclaim the cloud has announced."""

    def __init__(self, estimates: Estimates, limits: WorkerLimits) -> None:
        self.estimates = estimates
        self.limits = limits

    def stop_unfinishable(self, machine: Machine, left: timedelta, now: timedelta) -> None:
        """Stop the tasks that can't end within `left`, when the cloud reclaims the machine.

        They then start elsewhere now, and not only after their loss is proven. A task with
        checkpoints is stopped only when it has to save its progress. Services run until the end.
        """
        for placement in machine.placements.values():
            job = placement.page.job
            if placement.lost or job.cancelled or job.spec.form is Form.SERVICE:
                continue
            if self._must_stop(job, placement, left, now):
                placement.lost = True
                log.info(
                    "stopping %s/%d on %s before the machine is reclaimed",
                    job.id,
                    placement.task,
                    machine.name,
                )

    def _must_stop(self, job: Job, placement: Placement, left: timedelta, now: timedelta) -> bool:
        if job.spec.checkpoint_s > 0:
            save_time = job.spec.save * SAVE_TIME_FACTOR
            return left <= save_time + self.limits.heartbeat_interval * HEARTBEATS_PER_STOP
        mean, deviation = self.estimates.moments(job.id, job.spec.job_class, job.spec.estimate)
        ran = ZERO if placement.running_since is None else now - placement.running_since
        # A task with a fair chance to end in time continues.
        return mean - deviation / 2 - ran > left
