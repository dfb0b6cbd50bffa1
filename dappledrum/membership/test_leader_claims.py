"""The believed leader for random heartbeats, compared with a reference model."""

import random
from datetime import timedelta

from dappledrum.membership.leader_claims import LeaderClaim, believed_leader, collect_claims
from dappledrum.membership.peer_table import ReceivedHeartbeat


def at(seconds):
    return timedelta(seconds=seconds)


def model_believed_leader(claims, heartbeats):
    """Reference model: the member named by the newest strong claim of the highest epoch, or by the
    newest weak claim if there is no strong one, unless its own heartbeat denies that it leads."""
    epoch = max((claim.epoch for claim in claims), default=0)
    if epoch == 0:
        return None
    best = None
    for strong in (True, False):
        for claim in claims:
            if claim.epoch != epoch or claim.strong is not strong:
                continue
            if not strong and claim.member is None:
                continue
            if best is None or claim.at > best.at:
                best = claim
        if best is not None:
            break
    if best is None or best.member is None:
        return None
    own = heartbeats.get(best.member)
    return None if own is not None and not (own.leads and own.epoch >= epoch) else best.member


def test_believed_leader_agrees_with_the_reference_model(make_heartbeat):
    rng = random.Random(5)
    seen = set()
    for _ in range(5000):
        heartbeats = {
            name: make_heartbeat(
                name,
                epoch=rng.randint(0, 3),
                leader=rng.choice([None, "a", "b", "c"]),
                leads=rng.random() < 0.3,
                store_response_age_ms=rng.choice([None, 100, 5000]),
                store_delay_ms=rng.choice([None, 5, 4000]),
            )
            for name in rng.sample("bcd", rng.randint(0, 3))
        }
        received = [
            ReceivedHeartbeat(heartbeat, at(rng.random() * 9), True)
            for heartbeat in heartbeats.values()
        ]
        own = LeaderClaim(
            rng.randint(0, 3), rng.choice([None, "a", "c"]), at(9.5), rng.random() < 0.5
        )
        claims = collect_claims(received, own)
        result = believed_leader(claims, heartbeats)
        assert result == model_believed_leader(claims, heartbeats)
        seen.add(result)
    assert seen == {None, "a", "b", "c", "d"}
