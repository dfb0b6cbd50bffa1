"""Runs one controller over real sockets."""

import logging
import random
from datetime import timedelta
from http import HTTPStatus

from dappledrum.controller.assembly import build_controller
from dappledrum.controller.environment import Connections, Environment
from dappledrum.controller.sockets import (
    MAX_CLOUD_CONNECTIONS,
    MAX_PEER_CONNECTIONS,
    MAX_STORE_CONNECTIONS,
    share_sockets,
)
from dappledrum.http.client import NoResponseError, PooledClient
from dappledrum.http.server import Server
from dappledrum.settings import Settings, Tuning, split_address
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

MAX_IDLE_STORE_CONNECTIONS = 8
MAX_IDLE_CLOUD_CONNECTIONS = 2


async def probe_worker(address: str, timeout: timedelta) -> bool:
    """Return whether a worker answers at the address that it has reported."""
    try:
        client = PooledClient(*split_address(address), max_idle=0)
        return (await client.request("GET", "/inspect", None, timeout)).status == HTTPStatus.OK
    except (NoResponseError, OverflowError) as error:  # the reported port may exceed 65535
        log.debug("no answer from the worker at %s: %s", address, error)
        return False


async def run_controller(settings: Settings, tuning: Tuning) -> None:
    """Listen, then run until the process is killed."""
    max_sockets = settings.params.machine_limits.max_sockets
    shares = share_sockets(max_sockets, len(settings.seeds))
    public = Server(
        lambda request: controller.serve(request), shares.public, shares.public_waiting
    )
    private = Server(
        lambda request: controller.serve_peer(request), shares.peers, shares.peers_waiting
    )
    # The controller regards lease grants of its predecessor as expired a fixed time after its own
    # construction. A predecessor that still has the addresses may still grant leases, so the
    # controller is constructed only after that process has exited.
    await public.bind(*split_address(settings.serve_on))
    await private.bind(*split_address(settings.back))
    environment = Environment(settings, tuning, Clock(), random.Random())
    controller = build_controller(environment, _connect(settings))
    await public.start(*split_address(settings.serve_on))
    await private.start(*split_address(settings.back))
    log.info(
        "listening on %s for users and workers, on %s for peers", settings.serve_on, settings.back
    )
    await controller.run()


def _connect(settings: Settings) -> Connections:
    """Create the clients that the controller uses; they connect on the first request."""
    return Connections(
        store=PooledClient(
            *split_address(settings.external.state),
            max_idle=MAX_IDLE_STORE_CONNECTIONS,
            max_open=MAX_STORE_CONNECTIONS,
        ),
        cloud=PooledClient(
            *split_address(settings.external.cloud),
            max_idle=MAX_IDLE_CLOUD_CONNECTIONS,
            max_open=MAX_CLOUD_CONNECTIONS,
        ),
        peers={
            peer.member: PooledClient(*split_address(peer.address), max_open=MAX_PEER_CONNECTIONS)
            for peer in settings.seeds
        },
        probe_worker=probe_worker,
    )
