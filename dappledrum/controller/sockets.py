"""Divides the sockets of a process among its kinds of connections."""

from typing import NamedTuple

from dappledrum.http.server import MAX_ACCEPT_QUEUE

#: Concurrent requests to the store; they come from loops and batches, never one for each user.
MAX_STORE_CONNECTIONS = 40
MAX_CLOUD_CONNECTIONS = 6
MAX_PEER_CONNECTIONS = 12  # to each peer, and from each
RESERVED_SOCKETS = 10  # for listening, and for probes of workers
#: Connections that wait to be accepted use at most `max_sockets // WAITING_DIVISOR` sockets.
WAITING_DIVISOR = 6
#: Outgoing requests use at most `max_sockets // OUTGOING_DIVISOR` sockets, accepted connections of
#: peers at most `max_sockets // PEER_DIVISOR`.
OUTGOING_DIVISOR = 4
PEER_DIVISOR = 8


class SocketShares(NamedTuple):
    """Number of sockets for each kind of connection; the sum is `max_sockets`."""

    outgoing: int  # requests to other services, and listening
    peers: int  # connections of peers
    peers_waiting: int  # connections of peers that are not accepted yet
    public: int  # connections of workers, users and health checks
    public_waiting: int  # such connections that are not accepted yet


def share_sockets(max_sockets: int, peer_count: int) -> SocketShares:
    """Divide `max_sockets` sockets among the kinds of connections.

    Connections that wait to be accepted count, too. They accumulate while a process is suspended,
    also those that their clients have closed: a leader of 900 machines that was resumed after 25 s
    had used all its sockets for them, and got none for the store.
    """
    connections = MAX_STORE_CONNECTIONS + MAX_CLOUD_CONNECTIONS + MAX_PEER_CONNECTIONS * peer_count
    outgoing = min(connections + RESERVED_SOCKETS, max_sockets // OUTGOING_DIVISOR)
    peers = min(MAX_PEER_CONNECTIONS * max(peer_count, 1), max_sockets // PEER_DIVISOR)
    peers_waiting = max(1, peers // WAITING_DIVISOR)
    public_waiting = min(MAX_ACCEPT_QUEUE, max_sockets // WAITING_DIVISOR)
    public = max_sockets - outgoing - peers - peers_waiting - public_waiting
    return SocketShares(outgoing, peers, peers_waiting, public, public_waiting)
