"""Shares the sockets of a process out between its connections."""

from typing import NamedTuple

from dappledrum.http.server import MAX_ACCEPT_QUEUE

#: Requests to the store at a time; they come from loops and batches, never one for each user.
MAX_STORE_CONNECTIONS = 40
MAX_CLOUD_CONNECTIONS = 6
MAX_PEER_CONNECTIONS = 12  # to each peer, and from each
RESERVED_SOCKETS = 10  # for listening, and for probes of workers
#: At most one socket in so many may belong to a connection that waits to be accepted.
WAITING_DIVISOR = 6
#: At most one socket in so many is for requests to others, and for connections of peers.
OWN_DIVISOR = 4
PEER_DIVISOR = 8


class SocketShares(NamedTuple):
    """How the sockets of a process are shared out; together never more than there are."""

    own: int  # requests to others, and listening
    peers: int  # connections of peers
    peers_waiting: int  # the same, until they are accepted
    public: int  # connections of workers, users and health checks
    public_waiting: int  # the same, until they are accepted


def share_sockets(max_sockets: int, peer_count: int) -> SocketShares:
    """Share out at most `max_sockets` sockets.

    Connections that wait to be accepted count, too. While a process is suspended they are all
    that arrives, and nothing is read of those that have ended: a leader of 900 machines that was
    resumed after 25 s held all the sockets it could have, and got none for the store.
    """
    outgoing = MAX_STORE_CONNECTIONS + MAX_CLOUD_CONNECTIONS + MAX_PEER_CONNECTIONS * peer_count
    own = min(outgoing + RESERVED_SOCKETS, max_sockets // OWN_DIVISOR)
    peers = min(MAX_PEER_CONNECTIONS * max(peer_count, 1), max_sockets // PEER_DIVISOR)
    peers_waiting = max(1, peers // WAITING_DIVISOR)
    public_waiting = min(MAX_ACCEPT_QUEUE, max_sockets // WAITING_DIVISOR)
    public = max_sockets - own - peers - peers_waiting - public_waiting
    return SocketShares(own, peers, peers_waiting, public, public_waiting)
