"""Faults for day files and drawn combinations, with one class for each kind.

A fault is written `{ at_s = 60.0, kind = "node_crash", … }` as in `days/*.toml`. Each kind has its
own options; an unknown option or a value out of range raises FaultError with the kind and the
option.
"""

from typing import Any

import msgspec

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.faults import controllers, key_value_store, machines, users
from dappledrum.simulation.faults.base import Fault


class FaultError(Exception):
    """Invalid options of a fault; the text names the kind and what is wrong."""


#: Fault classes by their kind in day files.
KINDS: dict[str, type[Fault]] = {
    str(kind.__struct_config__.tag): kind
    for kind in (
        controllers.NodeCrash,
        controllers.NodeDown,
        controllers.NodeRoll,
        controllers.NodeFreeze,
        controllers.NodeCut,
        controllers.LeaderTransfer,
        key_value_store.StateOutage,
        key_value_store.LateWritesFault,
        machines.MachineDie,
        machines.MachineHang,
        machines.MachineDeaf,
        machines.MachineMute,
        machines.MachineRestart,
        machines.CloudOutage,
        machines.LateReports,
        machines.LateStarts,
        machines.LateCommandsFault,
        users.CancelNow,
        users.CancelAtEnd,
        users.OddRequests,
        users.CloseLooks,
    )
}


def convert(options: dict[str, Any]) -> Fault:
    """Convert the options of a day file to a fault; raises FaultError."""
    kind = options.get("kind")
    if not isinstance(kind, str):
        raise FaultError(f"no `kind` in {options}")
    if kind not in KINDS:
        raise FaultError(f"kind `{kind}` is not known to the simulation, only {', '.join(KINDS)}")
    try:
        return msgspec.convert(options, KINDS[kind])
    except msgspec.ValidationError as error:
        raise FaultError(f"{kind}: {error}") from error


def end_all(cluster: SimulatedCluster) -> None:
    """End all faults, start all controllers that are down, and let the invariants expect progress
    again."""
    network = cluster.network
    network.heal()
    network.copies = network.start_copies = None
    network.late_writes = network.late_commands = network.watcher = None
    network.copies_for_next_leader.clear()
    cluster.store.refused.clear()
    if cluster.store.in_outage:
        cluster.store.end_outage()
    cluster.cloud.in_outage = False
    cluster.cloud.cancel_restarts()
    for worker in cluster.cloud.workers():
        worker.hung = False
    for member in cluster.members:
        cluster.thaw(member)
        if not cluster.alive(member):
            cluster.start(member)
    cluster.rules.listeners.clear()
    for task in cluster.invalid_request_tasks:
        task.cancel()
    cluster.rules.faults_over_at = cluster.now()
