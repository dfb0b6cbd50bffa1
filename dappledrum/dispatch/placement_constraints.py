"""Where the tasks of a job may be placed: machine types, zones, spot or on-demand machines."""

from collections.abc import Callable, Mapping

from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.job import Job
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.user_api.feasibility import fits_machine_type


def allowed_kinds(
    job: Job, types: Mapping[str, MachineType], zones: set[str], spot_only: bool = False
) -> Callable[[InstanceKind], bool]:
    """Test of the instance kinds that tasks of a job may use.

    `zones`, unless empty, holds the only zone that the job may still use.
    """
    spec = job.spec
    fits = {name for name, machine_type in types.items() if fits_machine_type(spec, machine_type)}

    def is_allowed(kind: InstanceKind) -> bool:
        if kind.type not in fits or (not kind.spot if spot_only else kind.spot > spec.spot):
            return False
        if spec.zone is not None and kind.zone != spec.zone:
            return False
        return not zones or zones == {kind.zone}

    return is_allowed


def spread_capacity(job: Job, types: Mapping[str, MachineType]) -> dict[str, int]:
    """How many more tasks of a `spread` job each zone may take: at most half of all tasks."""
    half = -(-job.spec.tasks // 2)
    capacity = {zone: half for machine_type in types.values() for zone in machine_type.zones}
    for placement in job.placements():
        capacity[placement.zone] = capacity.get(placement.zone, half) - 1
    return capacity
