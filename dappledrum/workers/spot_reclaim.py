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

#: Saving a checkpoint may take this much longer than the owner has said.
SAVE_TIME_FACTOR = 1.5
#: A stop takes one heartbeat to be sent, and one more to be confirmed.
STOP_HEARTBEATS = 2


class SpotReclaim:
    """Decides which tasks must leave a machine whose reclaim was announced."""

    def __init__(self, estimates: Estimates, limits: WorkerLimits) -> None:
        self.estimates = estimates
        self.limits = limits

    def stop_unfinishable(self, machine: Machine, left: timedelta, now: timedelta) -> None:
        """Stop what won't have ended after `left`, when the cloud reclaims the machine.

        So it begins elsewhere now and not when the loss is proven; what keeps its progress stops
        only when it must save. Services stay until the end.
        """
        for placement in machine.placements.values():
            job = placement.page.job
            if placement.lost or job.cancelled or job.spec.form is Form.SERVICE:
                continue
            if self._must_stop(job, placement, left, now):
                placement.lost = True
                log.info("%s/%d leaves %s in time", job.id, placement.task, machine.name)

    def _must_stop(self, job: Job, placement: Placement, left: timedelta, now: timedelta) -> bool:
        if job.spec.checkpoint_s > 0:
            save_time = job.spec.save * SAVE_TIME_FACTOR
            return left <= save_time + self.limits.heartbeat_interval * STOP_HEARTBEATS
        mean, deviation = self.estimates.moments(job.id, job.spec.job_class, job.spec.estimate)
        ran = ZERO if placement.running_since is None else now - placement.running_since
        # It is worth waiting for what has a fair chance.
        return mean - deviation / 2 - ran > left
