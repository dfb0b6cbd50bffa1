"""Transfers leadership to another controller."""

import logging
from datetime import timedelta

from dappledrum.controller.environment import Clients
from dappledrum.controller.term_runner import TermRunner
from dappledrum.election.elector import Elector
from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.voter import LEASE_GRANT_DURATION

log = logging.getLogger(__name__)

SERVED_TIMEOUT = timedelta(milliseconds=450)  # peers wait up to 300 ms for the store
MAX_FLUSH_TIME = timedelta(milliseconds=500)  # for writing pending records


class LeadershipTransfer:
    """Transfers leadership to a peer, if the store serves that peer."""

    def __init__(self, clients: Clients, elector: Elector, term_runner: TermRunner) -> None:
        self.store = clients.store
        self.peers = clients.peers
        self.elector = elector
        self.term_runner = term_runner

    async def transfer(self, member: str, reason: str) -> None:
        """Name `member` as the successor, after writing pending records if possible.

        Heartbeats of a peer show only that the store served it up to a second ago. If an outage
        had begun since, no controller could write the leader key, and the leader that had resigned
        could not continue with lease grants: all running tasks were lost. So while this
        controller's requests to the store fail, the peer is asked first whether it is served.
        """
        if self.store.availability.failing_for() is not None and not await self._is_served(member):
            log.info(
                "leadership is not transferred to %s: the store does not serve it now", member
            )
            return
        leader = self.term_runner.leader
        if leader is not None and not self.store.availability.is_failing():
            await leader.flush_records(MAX_FLUSH_TIME)
        self.elector.transfer_leadership(member, reason)

    async def _is_served(self, member: str) -> bool:
        """Whether the store serves a peer at this moment."""
        term = self.elector.valid_term()
        if term is None:
            return False
        grant_ms = int(LEASE_GRANT_DURATION.total_seconds() * 1000)
        request = LeaseGrantRequest(self.elector.member, term.epoch, grant_ms)
        return await self.peers.is_served(member, request, SERVED_TIMEOUT)
