"""Loads the catalog of machine types, once after each start."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from dappledrum.fleet.cloud_client import CloudClient, CloudError
from dappledrum.fleet.messages import Catalog, MachineType
from dappledrum.leader.leader import Leader
from dappledrum.settings import Params
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import Clock
from dappledrum.timing.fault_log import FaultLog
from dappledrum.user_api.job_api import JobApi

log = logging.getLogger(__name__)

CATALOG = "catalog"


class CatalogLoader:
    """Passes the catalog to the intake of jobs and to the leader once it is known."""

    def __init__(
        self,
        store: StoreClient,
        cloud: CloudClient,
        params: Params,
        clock: Clock,
        rng: random.Random,
        job_api: JobApi,
        leader: Callable[[], Leader | None],
    ) -> None:
        self.store = store
        self.cloud = cloud
        self.params = params
        self.rng = rng
        self.job_api = job_api
        self.leader = leader
        self.no_catalog = FaultLog(log, clock, "no machine types are known yet")

    async def run(self) -> None:
        """Load the catalog: from its stored copy if there is one, since the cloud may be
        unreachable."""
        while True:
            types = await self._stored_types() or await self._cloud_types()
            if types:
                self.no_catalog.recovered()
                self.job_api.types = types
                leader = self.leader()
                if leader is not None:
                    leader.set_machine_types(types)
                    leader.request_plan("catalog")
                log.info("machine types: %s", ", ".join(t.name for t in types))
                return
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))

    async def _stored_types(self) -> list[MachineType]:
        try:
            entry = await self.store.get(CATALOG, RequestPriority.SUBMISSION)
            return (
                msgspec.json.decode(entry.value, type=Catalog).types if entry is not None else []
            )
        except (StoreError, msgspec.DecodeError) as error:
            self.no_catalog.failed(f"no stored catalog: {error}")
            return []

    async def _cloud_types(self) -> list[MachineType]:
        try:
            types = await self.cloud.catalog()
        except CloudError as error:
            self.no_catalog.failed(f"no catalog: {error}")
            return []
        value = encode_value(Catalog(types))
        if types and len(value) < self.params.state.value_bytes:
            try:
                await self.store.commit(
                    [Guard(CATALOG, 0)], [Put(CATALOG, value)], RequestPriority.SUBMISSION
                )
            except StoreError as error:
                log.info("catalog not stored: %s", error)
        return types
