"""Validation of messages from peers and of worker addresses."""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.controller.process import probe_worker
from dappledrum.peers.heartbeat_messages import PeerHeartbeats
from dappledrum.peers.messages import MalformedError, decode, encode


def test_a_worker_with_an_impossible_port_does_not_answer_probes():
    assert asyncio.run(probe_worker("127.0.0.1:99999", timedelta(seconds=1))) is False


@pytest.mark.parametrize(
    "changes",
    [{"probe_addresses": {"x": ["nowhere"]}}, {"heartbeat_ages_ms": {"x": -1}}, {"epoch": -1}],
    ids=["address", "age", "epoch"],
)
def test_an_invalid_peer_heartbeat_is_refused(make_heartbeat, changes):
    data = encode(PeerHeartbeats(make_heartbeat(**changes)))
    with pytest.raises(MalformedError):
        decode(data, PeerHeartbeats)


def test_a_valid_peer_heartbeat_is_decoded(make_heartbeat):
    data = encode(PeerHeartbeats(make_heartbeat(epoch=3)))
    assert decode(data, PeerHeartbeats).own.epoch == 3
