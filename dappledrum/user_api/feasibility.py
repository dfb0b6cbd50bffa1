"""Checks whether a job can ever run within its team's limits and on the catalog's machines."""

from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.messages import Form, Spec
from dappledrum.settings import Params

ROUNDING_TOLERANCE = 1e-9  # CPUs or GPUs, when a demand is compared with a limit


def infeasibility(spec: Spec, params: Params, types: list[MachineType]) -> str | None:
    """Return why a job can never run, or None if it can."""
    team = next((t for t in params.teams if t.name == spec.team), None)
    if team is None:
        return f"unknown team {spec.team}"
    concurrent_tasks = 1 if spec.form is Form.ARRAY else spec.tasks
    for amount, limit, name in (
        (spec.cpus, team.cpus_max, "cpus"),
        (spec.gpus, team.gpus_max, "gpus"),
    ):
        if limit > 0 and amount * concurrent_tasks > limit + ROUNDING_TOLERANCE:
            return f"needs more {name} than the team's limit"
    if not any(fits_machine_type(spec, t) for t in types):
        return "a task fits no allowed machine type"
    return None


def fits_machine_type(spec: Spec, machine_type: MachineType) -> bool:
    """Return whether an empty machine of this type could run a task of the job."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return (
        spec.cpus <= machine_type.cpus
        and spec.gpus <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
    )
