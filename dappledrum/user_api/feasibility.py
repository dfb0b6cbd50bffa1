"""Whether a job can ever run within its team's limit and on the machine types of the catalog."""

from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.messages import Form, Spec
from dappledrum.settings import Params

ROUNDING = 1e-9  # tolerated when amounts are compared with limits


def infeasibility(spec: Spec, params: Params, types: list[MachineType]) -> str | None:
    """Why a job can never run, or None when it can."""
    team = next((t for t in params.teams if t.name == spec.team), None)
    if team is None:
        return f"unknown team {spec.team}"
    at_once = 1 if spec.form is Form.ARRAY else spec.tasks
    for amount, limit, name in (
        (spec.cpus, team.cpus_max, "cpus"),
        (spec.gpus, team.gpus_max, "gpus"),
    ):
        if limit > 0 and amount * at_once > limit + ROUNDING:
            return f"needs more {name} than the team's limit"
    if not any(fits_machine_type(spec, t) for t in types):
        return "a task fits no allowed machine type"
    return None


def fits_machine_type(spec: Spec, kind: MachineType) -> bool:
    """Whether an empty machine of this type could run a task of the job."""
    if spec.types is not None and kind.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.memory_gb <= kind.memory_gb
