"""Learns which versions the other controllers run, since records and gangs depend on the oldest
one."""

import asyncio
import logging
from datetime import timedelta

from dappledrum import __version__
from dappledrum.membership.service import Membership
from dappledrum.peers.client import Peers
from dappledrum.peers.versions import MIN_VERSION_WITH_GANGS, MIN_VERSION_WITH_HEARTBEATS, at_least
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.user_api.job_api import JobApi

log = logging.getLogger(__name__)

GANGS_KNOWN = "gangs"
PAUSES = (timedelta(milliseconds=250), timedelta(seconds=2))  # the first, the longest
ANSWER_TIME = timedelta(milliseconds=900)


class PeerVersions:
    """Enables what every controller must support before it may be used."""

    def __init__(
        self,
        store: StoreClient,
        peers: Peers,
        membership: Membership,
        value_limit: ValueLimit,
        job_api: JobApi,
    ) -> None:
        self.store = store
        self.peers = peers
        self.membership = membership
        self.value_limit = value_limit
        self.job_api = job_api

    async def run(self) -> None:
        """Ask every other controller for its version until all of them have answered.

        Versions before 0.3.0 do not answer, and can't read records that are split into parts; a
        controller is never downgraded. Gangs are accepted once all controllers run a version that
        supports them; that this was so is stored, since a controller may be down for long.
        """
        versions: dict[str, str] = {}
        settled = False
        pause, longest = PAUSES
        while True:
            for member in self.peers.callers:
                if at_least(versions.get(member, ""), MIN_VERSION_WITH_HEARTBEATS):
                    continue
                version = await self.peers.version(member, ANSWER_TIME)
                if version is not None and version != versions.get(member):
                    versions[member] = version
                    log.info("%s runs version %.40s", member, version)
                    if at_least(version, MIN_VERSION_WITH_HEARTBEATS):
                        self.membership.heartbeat_peers.add(member)
                        # At once: without messages of a peer this controller may not be ready.
                        self.membership.announce()
            if len(versions) == len(self.peers.callers):
                self.value_limit.reduce("all controllers read them")
            if all(
                at_least(versions.get(member, ""), MIN_VERSION_WITH_GANGS)
                for member in self.peers.callers
            ):
                self.job_api.gangs = True
            settled = settled or await self._gangs_known()
            if settled and all(
                at_least(versions.get(m, ""), MIN_VERSION_WITH_HEARTBEATS)
                for m in self.peers.callers
            ):
                return
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, longest)

    async def _gangs_known(self) -> bool:
        """Whether it is stored, now or from before, that all controllers support gangs."""
        try:
            entry = await self.store.get(GANGS_KNOWN, RequestPriority.RECORD)
            if entry is None and self.job_api.gangs:
                value = encode_value({"version": __version__})
                await self.store.commit(
                    [Guard(GANGS_KNOWN, 0)], [Put(GANGS_KNOWN, value)], RequestPriority.RECORD
                )
            self.job_api.gangs = self.job_api.gangs or entry is not None
            # An older peer may yet be upgraded, which settles how records are written.
            return self.job_api.gangs and self.value_limit.is_reduced
        except StoreError as error:
            log.debug("not known whether all know gangs: %s", error)
            return False
