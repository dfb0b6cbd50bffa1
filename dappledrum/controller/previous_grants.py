"""Lease grants that the previous process of this controller may have given."""

import asyncio
from datetime import timedelta

from dappledrum.election.elector import Elector
from dappledrum.peers.client import Peers

HOLDS_TERM_TIMEOUT = timedelta(milliseconds=200)  # also the pause between two attempts


async def wait_for_previous_grants(elector: Elector, peers: Peers) -> None:
    """After a restart, ask whether any leader may still rely on a lease grant of the previous
    process.

    Without the replies this controller must wait until such grants have expired, which is most of
    the time that a restart of all controllers takes.
    """
    while elector.voter.restart_wait_until > elector.clock.now():
        if peers.clients and await peers.no_term_held(HOLDS_TERM_TIMEOUT):
            elector.skip_restart_wait()
            return
        await asyncio.sleep(HOLDS_TERM_TIMEOUT.total_seconds())
