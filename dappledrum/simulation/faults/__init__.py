"""Troubles that days and drawn scenarios bring about, one typed class for each kind.

A trouble is written `{ at_s = 60.0, kind = "node_crash", … }` as in `days/*.toml`. A kind takes
only its own options; a value that it can't use is a `TroubleError` that names the kind and the
option.
"""

from typing import Any

import msgspec

from dappledrum.simulation.cluster import World
from dappledrum.simulation.faults import controllers, machines, state_service, users
from dappledrum.simulation.faults.base import FaultLog


class TroubleError(Exception):
    """A trouble can't be brought about; the text names its kind and what is wrong with it."""


#: By the name that a day's file gives it.
KINDS: dict[str, type[FaultLog]] = {
    str(kind.__struct_config__.tag): kind
    for kind in (
        controllers.NodeCrash,
        controllers.NodeDown,
        controllers.NodeRoll,
        controllers.NodeFreeze,
        controllers.NodeCut,
        controllers.LeaderTransfer,
        state_service.StateOutage,
        state_service.LateWritesTrouble,
        machines.MachineDie,
        machines.MachineHang,
        machines.MachineDeaf,
        machines.MachineMute,
        machines.CloudOutage,
        machines.LateReports,
        machines.LateCommandsTrouble,
        users.CancelNow,
        users.CancelAtEnd,
        users.OddRequests,
        users.CloseLooks,
    )
}


def convert(options: dict[str, Any]) -> FaultLog:
    """The trouble that these options describe, or TroubleError."""
    kind = options.get("kind")
    if not isinstance(kind, str):
        raise TroubleError(f"no `kind` in {options}")
    if kind not in KINDS:
        raise TroubleError(
            f"kind `{kind}` is not known over the stand-ins, only {', '.join(KINDS)}"
        )
    try:
        return msgspec.convert(options, KINDS[kind])
    except msgspec.ValidationError as error:
        raise TroubleError(f"{kind}: {error}") from error


def end_all(world: World) -> None:
    """End every trouble that still lasts; the rules' quiet time begins."""
    network = world.network
    network.heal()
    network.copies = network.late_writes = network.late_commands = network.watcher = None
    network.kept.clear()
    world.state.refused.clear()
    if world.state.out:
        world.state.end_outage()
    world.cloud.out = False
    for worker in world.cloud.workers():
        worker.hung = False
    for member in world.members:
        world.thaw(member)
        if not world.alive(member):
            world.start(member)
    world.rules.listeners.clear()
    for task in world.odd_users:
        task.cancel()
    world.rules.faults_over_at = world.now()
