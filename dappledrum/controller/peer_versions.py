"""Asks the other controllers for their versions: the oldest one decides how records are written
and whether gangs are accepted."""

import asyncio
import logging
from datetime import timedelta

from dappledrum import __version__
from dappledrum.controller.environment import Clients
from dappledrum.membership.service import Membership
from dappledrum.peers.versions import MIN_VERSION_WITH_GANGS, MIN_VERSION_WITH_HEARTBEATS, at_least
from dappledrum.store.errors import StoreError
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.user_api.job_api import JobApi

log = logging.getLogger(__name__)

#: Key of the record that says that all controllers support gangs.
GANGS_SUPPORTED_KEY = "gangs"
MIN_QUERY_INTERVAL = timedelta(milliseconds=250)
MAX_QUERY_INTERVAL = timedelta(seconds=2)
VERSION_TIMEOUT = timedelta(milliseconds=900)


class PeerVersions:
    """Enables features that may be used only once every controller supports them."""

    def __init__(
        self,
        clients: Clients,
        membership: Membership,
        value_limit: ValueLimit,
        job_api: JobApi,
    ) -> None:
        self.store = clients.store
        self.peers = clients.peers
        self.membership = membership
        self.value_limit = value_limit
        self.job_api = job_api
        self.versions: dict[str, str] = {}  # of the peers that have answered

    async def run(self) -> None:
        """Ask every other controller for its version until all of them have answered.

        Versions before 0.3.0 do not answer, and can't read records that are split into parts; a
        controller is never downgraded. Gangs are accepted once all controllers run a version that
        supports them; this is stored, since a controller may be down for long afterwards.
        """
        gangs_recorded = False
        interval = MIN_QUERY_INTERVAL
        while True:
            for member in self.peers.clients:
                if not self._supports(member, MIN_VERSION_WITH_HEARTBEATS):
                    await self._ask(member)
            if len(self.versions) == len(self.peers.clients):
                self.value_limit.reduce("all controllers read them")
            if self._all_support(MIN_VERSION_WITH_GANGS):
                self.job_api.gangs_supported = True
            gangs_recorded = gangs_recorded or await self._record_gang_support()
            if gangs_recorded and self._all_support(MIN_VERSION_WITH_HEARTBEATS):
                return
            await asyncio.sleep(interval.total_seconds())
            interval = min(interval * 2, MAX_QUERY_INTERVAL)

    def _supports(self, member: str, version: tuple[int, ...]) -> bool:
        return at_least(self.versions.get(member, ""), version)

    def _all_support(self, version: tuple[int, ...]) -> bool:
        return all(self._supports(member, version) for member in self.peers.clients)

    async def _ask(self, member: str) -> None:
        version = await self.peers.version(member, VERSION_TIMEOUT)
        if version is None or version == self.versions.get(member):
            return
        self.versions[member] = version
        log.info("%s runs version %.40s", member, version)
        if at_least(version, MIN_VERSION_WITH_HEARTBEATS):
            self.membership.heartbeat_peers.add(member)
            # Immediately: without messages from a peer this controller may not be ready.
            self.membership.announce()

    async def _record_gang_support(self) -> bool:
        """Read, or store if it is true, the record that all controllers support gangs.

        Returns whether that is known and the value limit is reduced, so that both are settled.
        """
        try:
            entry = await self.store.get(GANGS_SUPPORTED_KEY, RequestPriority.RECORD)
            if entry is None and self.job_api.gangs_supported:
                value = encode_value({"version": __version__})
                guards, changes = (
                    [Guard(GANGS_SUPPORTED_KEY, 0)],
                    [Put(GANGS_SUPPORTED_KEY, value)],
                )
                await self.store.commit(guards, changes, RequestPriority.RECORD)
            self.job_api.gangs_supported = self.job_api.gangs_supported or entry is not None
            # Until the value limit is reduced, the upgrade of an older peer can still reduce it.
            return self.job_api.gangs_supported and self.value_limit.is_reduced
        except StoreError as error:
            log.debug("record of gang support not read or stored: %s", error)
            return False
