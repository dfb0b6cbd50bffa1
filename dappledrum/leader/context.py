"""What the parts of a leader share during one term: limits, services, and state in memory."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from dappledrum.accounting.ledger import Ledger
from dappledrum.accounting.served_counts import ServedCounts
from dappledrum.election.terms import Term
from dappledrum.fleet.cloud_client import CloudClient
from dappledrum.jobs.job import Job
from dappledrum.leader.plan_trigger import PlanTrigger
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import Params, Tuning
from dappledrum.store.client import StoreClient
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry


@dataclass(frozen=True)
class TermContext:
    """The term, the services that its leader uses, and the limits that it keeps to.

    `may_command`: whether this controller may give commands at this moment; false while its term
        rests on lease grants of peers, by which it only renews its workers' leases.
    `running_since`: since when this process has been running without a pause (steady time).
    """

    term: Term
    may_command: Callable[[], bool]
    store: StoreClient
    value_limit: ValueLimit
    cloud: CloudClient
    params: Params
    tuning: Tuning
    clock: Clock
    running_since: Callable[[], timedelta]


class TermState:
    """The leader's state in memory. A successor derives all of it from the records, the cloud's
    list of machines and the workers' heartbeats."""

    def __init__(self, clock: Clock) -> None:
        self.jobs: dict[str, Job] = {}  # live jobs by id
        self.registry = MachineRegistry()
        self.estimates = Estimates()
        self.ledger = Ledger(self.registry, clock)
        self.served = ServedCounts()
        self.plan_trigger = PlanTrigger()
        self.loaded = asyncio.Event()  # set when the records are read
        self.watch_revision = 0  # store revision up to which changes are contained in `jobs`
