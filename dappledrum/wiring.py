"""Connects a controller to real sockets."""

import asyncio
import logging
import random
from datetime import timedelta

from dappledrum.clock import Clock
from dappledrum.dispatch import Tuning
from dappledrum.http.client import Client, NoResponseError
from dappledrum.http.server import Server
from dappledrum.node import Node
from dappledrum.settings import Settings, split_address

log = logging.getLogger(__name__)

OWN_SOCKETS = (
    80  # kept for requests to the state service, the cloud and the peers, and for listening
)


async def _worker_answers(address: str, timeout: timedelta) -> bool:
    """Whether a worker answers at the address that it has told."""
    try:
        client = Client(*split_address(address), max_idle=0)
        return (await client.request("GET", "/inspect", None, timeout)).status == 200
    except (NoResponseError, OverflowError) as error:  # a port may be any five digits
        log.debug("no answer from the worker at %s: %s", address, error)
        return False


async def run_node(settings: Settings, tuning: Tuning) -> None:
    """Listen, then run until the process is killed."""
    most = settings.params.machine_limits.max_sockets
    peers = {peer.member: Client(*split_address(peer.address)) for peer in settings.seeds}
    node = Node(
        settings,
        tuning,
        Clock(),
        random.Random(),
        Client(*split_address(settings.external.state), max_idle=8),
        Client(*split_address(settings.external.cloud), max_idle=2),
        dict(peers),
        _worker_answers,
    )
    reserve = min(OWN_SOCKETS, most // 3)
    public = Server(node.serve, max(8, most - 2 * reserve))
    private = Server(node.serve_peer, reserve)
    await public.start(*split_address(settings.serve_on))
    await private.start(*split_address(settings.back))
    log.info("listening on %s, for peers on %s", settings.serve_on, settings.back)
    await asyncio.gather(node.run())
