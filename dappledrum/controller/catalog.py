"""Loads the catalog of machine types once after each start."""

import asyncio
import logging

import msgspec

from dappledrum.controller.environment import Clients, Environment
from dappledrum.controller.term_runner import TermRunner
from dappledrum.fleet.cloud_client import CloudError
from dappledrum.fleet.messages import Catalog, MachineType
from dappledrum.store.errors import StoreError
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_size import value_size
from dappledrum.timing.fault_log import FaultLog
from dappledrum.user_api.job_api import JobApi

log = logging.getLogger(__name__)

#: Key of the catalog in the store.
CATALOG = "catalog"
#: Shortest and longest pause between two attempts, in seconds.
RETRY_PAUSE_S = (0.5, 1.5)


class CatalogLoader:
    """Passes the catalog to the job API and to the leader once it is loaded."""

    def __init__(
        self,
        environment: Environment,
        clients: Clients,
        job_api: JobApi,
        term_runner: TermRunner,
    ) -> None:
        self.store = clients.store
        self.cloud = clients.cloud
        self.max_value_bytes = environment.params.state.value_bytes
        self.rng = environment.rng
        self.job_api = job_api
        self.term_runner = term_runner
        self.catalog_fault = FaultLog(log, environment.clock, "no machine types are known yet")

    async def run(self) -> None:
        """Load the catalog, from its copy in the store if there is one, since the cloud may be
        unreachable."""
        while True:
            types = await self._stored_types() or await self._cloud_types()
            if types:
                self.catalog_fault.recovered()
                self.job_api.types = types
                leader = self.term_runner.leader
                if leader is not None:
                    leader.set_machine_types(types)
                    leader.request_plan("catalog")
                log.info("catalog loaded, machine types: %s", ", ".join(t.name for t in types))
                return
            await asyncio.sleep(self.rng.uniform(*RETRY_PAUSE_S))

    async def _stored_types(self) -> list[MachineType]:
        try:
            entry = await self.store.get(CATALOG, RequestPriority.SUBMISSION)
            return (
                msgspec.json.decode(entry.value, type=Catalog).types if entry is not None else []
            )
        except (StoreError, msgspec.DecodeError) as error:
            self.catalog_fault.failed(f"no stored catalog: {error}")
            return []

    async def _cloud_types(self) -> list[MachineType]:
        try:
            types = await self.cloud.catalog()
        except CloudError as error:
            self.catalog_fault.failed(f"no catalog: {error}")
            return []
        value = encode_value(Catalog(types))
        if types and value_size(bytes(value)) <= self.max_value_bytes:
            try:
                await self.store.commit(
                    [Guard(CATALOG, 0)], [Put(CATALOG, value)], RequestPriority.SUBMISSION
                )
            except StoreError as error:
                log.info("catalog not stored: %s", error)
        return types
