"""Shortens the wait for lease grants that the previous process of a controller may have given."""

import asyncio
from datetime import timedelta

from dappledrum.election.elector import Elector
from dappledrum.peers.client import Peers

HOLDS_TERM_TIMEOUT = timedelta(milliseconds=200)  # also the pause between two attempts


async def wait_for_previous_grants(elector: Elector, peers: Peers) -> None:
    """Ask the peers after a restart whether any leader may still rely on a lease grant of the
    previous process, and skip the rest of the wait if none does.

    Without their replies this controller must wait until such grants have expired, which takes
    most of the time of a restart of all controllers.
    """
    while elector.voter.restart_wait_until > elector.clock.now():
        if peers.clients and await peers.no_term_held(HOLDS_TERM_TIMEOUT):
            elector.skip_restart_wait()
            return
        await asyncio.sleep(HOLDS_TERM_TIMEOUT.total_seconds())
