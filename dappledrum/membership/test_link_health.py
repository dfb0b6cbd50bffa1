"""The expected delay of a link, and whether probes show a zone as unreachable."""

import asyncio
from datetime import timedelta

from dappledrum.http.link_health import LinkHealth
from dappledrum.membership.zone_health import ZoneHealth
from dappledrum.simulation.virtual_time import SkewedClock, run


def at(seconds):
    return timedelta(seconds=seconds)


def test_the_expected_delay_of_a_link_grows_while_a_request_is_unanswered():
    async def main():
        clock = SkewedClock()
        link = LinkHealth(clock)
        assert link.expected_delay() is None

        sent = link.request_sent()
        await asyncio.sleep(0.5)
        assert link.expected_delay() == at(0.5)
        link.response_received(sent)
        assert link.expected_delay() == at(0.5)
        link.request_sent()
        await asyncio.sleep(3)
        assert link.expected_delay() == at(3)

    run(main())


def test_a_zone_is_unreachable_only_if_a_probe_sent_during_the_silence_failed():
    zone = ZoneHealth()
    zone.record_probe(at(5), at(6), False)
    assert not zone.unreachable_since(at(7))
    assert not zone.is_unreachable()
    zone.record_probe(at(8), at(9), False)
    assert zone.unreachable_since(at(7))
    assert zone.is_unreachable()
    zone.record_probe(at(9.5), at(9.6), True)
    assert not zone.unreachable_since(at(7))
    assert not zone.is_unreachable()
