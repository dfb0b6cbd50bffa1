"""What is expected of boots, from those that are over and those that are not."""

from datetime import timedelta

from dappledrum.fleet.boot_times import BootTimes, PendingBoot
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import seconds

HERE, THERE = InstanceKind("small", "a", True), InstanceKind("large", "b", False)


def seen(factor, number=10, at=100.0):
    boots = BootTimes()
    boots.nominal = {"small": seconds(40.0), "large": seconds(80.0)}
    for _ in range(number):
        boots.finished(HERE, seconds(at - 40 * factor), seconds(at))
    boots.refresh([], seconds(at))
    return boots


def test_before_anything_is_seen_the_catalog_counts():
    assert seen(1.0, number=0).expected(HERE) == seconds(50.0)


def test_what_boots_took_is_expected_first_of_their_own_kind():
    for factor in (0.1, 4.0):
        boots = seen(factor)
        own, other = boots.ratio(HERE), boots.ratio(THERE)
        assert abs(own - factor) < abs(other - factor) < abs(1 - factor)
        boots.refresh([], seconds(1000.0))
        assert abs(boots.ratio(HERE) - 1) < 0.05  # old ones fade


def test_a_boot_that_is_not_over_counts_as_one_of_its_present_age():
    """After a time of quick boots, new ones were expected at once for minutes."""
    boots = seen(0.05)
    quick = boots.ratio(HERE)
    waiting = [PendingBoot(HERE, seconds(100.0))] * 10
    boots.refresh(waiting, seconds(130.0))
    assert boots.ratio(HERE) > quick * 3
    assert boots.left(HERE, seconds(100.0), seconds(130.0)) > timedelta(seconds=5)


def test_a_boot_is_given_up_when_later_ones_are_up_and_else_one_at_a_time():
    boots = seen(1.0, at=150.0)
    assert not boots.hopeless(HERE, seconds(105.0), seconds(180.0))
    assert boots.hopeless(HERE, seconds(105.0), seconds(230.0))
    alone = seen(1.0, number=0)
    assert not alone.hopeless(HERE, seconds(100.0), seconds(230.0))
    assert alone.hopeless(HERE, seconds(100.0), seconds(300.0))
    alone.given_up(seconds(300.0))
    assert not alone.hopeless(HERE, seconds(100.0), seconds(310.0))
    assert alone.hopeless(HERE, seconds(100.0), seconds(400.0))
