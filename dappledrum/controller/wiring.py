"""Connects a controller to real sockets."""

import asyncio
import logging
import random
from datetime import timedelta
from typing import NamedTuple

from dappledrum.controller.controller import Controller
from dappledrum.http.client import NoResponseError, PooledClient
from dappledrum.http.server import MAX_ACCEPT_QUEUE, Server
from dappledrum.settings import Settings, Tuning, split_address
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

STATE_OPEN = 40  # requests to the store at a time; loops and batches, never one a user
CLOUD_OPEN = 6
PEER_OPEN = 12  # to each peer
APART = 10  # for listening, and probes of workers
WAITING = 6  # a share of 1/6 of all sockets may wait to be accepted


class Sockets(NamedTuple):
    """How the sockets of a process are shared out; together never more than there are."""

    own: int  # requests to others, and listening
    peers: int  # connections of peers
    peers_waiting: int  # the same, until they are accepted
    public: int  # connections of workers, users and health checks
    public_waiting: int


def sockets(most: int, peers: int) -> Sockets:
    """Share out at most so many sockets.

    Connections that wait to be accepted count, too. While a process stands still they are all
    that comes, and nothing is read of those that are over: a leader of 900 machines that went on
    after 25 s held all the sockets it could have, and got none for the store.
    """
    own = min(STATE_OPEN + CLOUD_OPEN + PEER_OPEN * peers + APART, most // 4)
    private = min(PEER_OPEN * max(peers, 1), most // 8)
    private_waiting = max(1, private // 6)
    waiting = min(MAX_ACCEPT_QUEUE, most // WAITING)
    return Sockets(
        own, private, private_waiting, most - own - private - private_waiting - waiting, waiting
    )


async def _worker_answers(address: str, timeout: timedelta) -> bool:
    """Whether a worker answers at the address that it has told."""
    try:
        client = PooledClient(*split_address(address), max_idle=0)
        return (await client.request("GET", "/inspect", None, timeout)).status == 200
    except (NoResponseError, OverflowError) as error:  # a port may be any five digits
        log.debug("no answer from the worker at %s: %s", address, error)
        return False


async def run_controller(settings: Settings, tuning: Tuning) -> None:
    """Listen, then run until the process is killed."""
    most = settings.params.machine_limits.max_sockets
    shares = sockets(most, len(settings.seeds))
    public = Server(
        lambda request: controller.serve(request), shares.public, shares.public_waiting
    )
    private = Server(
        lambda request: controller.serve_peer(request), shares.peers, shares.peers_waiting
    )
    # What this process may have forgotten is counted from its beginning; a former one that still
    # has the addresses may be promising yet, so it begins when that one is gone.
    await public.bind(*split_address(settings.serve_on))
    await private.bind(*split_address(settings.back))
    peers = {
        peer.member: PooledClient(*split_address(peer.address), max_open=PEER_OPEN)
        for peer in settings.seeds
    }
    controller = Controller(
        settings,
        tuning,
        Clock(),
        random.Random(),
        PooledClient(*split_address(settings.external.state), max_idle=8, max_open=STATE_OPEN),
        PooledClient(*split_address(settings.external.cloud), max_idle=2, max_open=CLOUD_OPEN),
        dict(peers),
        _worker_answers,
    )
    await public.start(*split_address(settings.serve_on))
    await private.start(*split_address(settings.back))
    log.info("listening on %s, for peers on %s", settings.serve_on, settings.back)
    await asyncio.gather(controller.run())
