"""Requests that show whether this controller reaches the store and the cloud."""

import logging
from datetime import timedelta

from dappledrum.controller.catalog import CATALOG
from dappledrum.controller.environment import Clients
from dappledrum.fleet.cloud_client import CloudError
from dappledrum.store.errors import StoreError
from dappledrum.store.rate_limiter import RequestPriority

log = logging.getLogger(__name__)

STORE_CHECK_TIMEOUT = timedelta(seconds=1)


class LinkChecks:
    """Cheap requests whose outcome the clients record in their link health."""

    def __init__(self, clients: Clients) -> None:
        self.store = clients.store
        self.cloud = clients.cloud

    async def check_store(self) -> None:
        """Read a small key."""
        try:
            await self.store.get(CATALOG, RequestPriority.LEASE, STORE_CHECK_TIMEOUT)
        except StoreError as error:
            log.debug("store not reached: %s", error)

    async def check_cloud(self) -> None:
        """Read the catalog of machine types."""
        try:
            await self.cloud.catalog()
        except CloudError as error:
            log.debug("cloud not reached: %s", error)
