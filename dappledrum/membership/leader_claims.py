"""Which controller leads, according to peer heartbeats.

Pure functions, so that tests can compare them with a reference model. The result only directs
workers: the right to send commands depends on the lease of the key `leader` alone. A wrong
heartbeat delays a worker by at most a second.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from dappledrum.membership.peer_table import ReceivedHeartbeat, from_ms
from dappledrum.peers.heartbeat_messages import PeerHeartbeat

#: How long workers wait because of a leadership transfer (docs/membership.md).
TRANSFER_COST = timedelta(seconds=1)
#: A controller with a store response this recent knows the leader from its own watch.
MAX_STORE_RESPONSE_AGE = timedelta(seconds=2)


class LeaderClaim(NamedTuple):
    """What one controller reports about who leads; `member` is None if nobody does."""

    epoch: int
    member: str | None
    at: timedelta
    strong: bool  # made by the leader itself, or by a controller that the store serves


def collect_claims(
    received: Iterable[ReceivedHeartbeat], own: LeaderClaim | None
) -> list[LeaderClaim]:
    """The claims in all received heartbeats, and this controller's own if there is one."""
    claims = [] if own is None else [own]
    for entry in received:
        heartbeat = entry.heartbeat
        age = heartbeat.store_response_age_ms
        served = age is not None and from_ms(age) <= MAX_STORE_RESPONSE_AGE
        claims.append(
            LeaderClaim(
                heartbeat.epoch,
                heartbeat.member if heartbeat.leads else heartbeat.leader,
                entry.described_at,
                heartbeat.leads or (served and not store_is_slow(heartbeat)),
            )
        )
    return claims


def store_is_slow(heartbeat: PeerHeartbeat) -> bool:
    """Whether the store answers a controller more slowly than a leadership transfer takes."""
    delay = heartbeat.store_delay_ms
    return delay is None or from_ms(delay) > TRANSFER_COST


def believed_leader(
    claims: Iterable[LeaderClaim], heartbeats: Mapping[str, PeerHeartbeat]
) -> str | None:
    """The controller to which workers are redirected; None if it is not known.

    Never a leader of an epoch below the highest claimed, nor a controller whose own heartbeat
    denies that it leads. Within an epoch the newest strong claim decides, since the key may expire
    while its owner's last heartbeat still counts as recent. Weak claims count only if there is no
    strong one, as in a store outage with a leader of a version that sends no heartbeats.
    """
    claims = list(claims)
    epoch = max((claim.epoch for claim in claims), default=0)
    newest = [claim for claim in claims if claim.epoch == epoch and epoch > 0]
    strong = [claim for claim in newest if claim.strong]
    pool = strong or [claim for claim in newest if claim.member is not None]
    if not pool:
        return None
    member = max(pool, key=lambda claim: claim.at).member
    heartbeat = heartbeats.get(member) if member is not None else None
    if heartbeat is not None and (not heartbeat.leads or heartbeat.epoch < epoch):
        return None
    return member
