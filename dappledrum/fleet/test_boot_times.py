"""Boot time estimates from completed and pending boots."""

from datetime import timedelta

from dappledrum.fleet.boot_times import BootTimes, PendingBoot
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import seconds

HERE, THERE = InstanceKind("small", "a", True), InstanceKind("large", "b", False)


def boot_times(factor, number=10, at=100.0):
    """Statistics of boots that took `factor` times the catalog's figure."""
    boots = BootTimes()
    boots.nominal = {"small": seconds(40.0), "large": seconds(80.0)}
    for _ in range(number):
        boots.record_completed(HERE, seconds(at - 40 * factor), seconds(at))
    boots.set_pending([], seconds(at))
    return boots


def test_without_completed_boots_the_catalog_determines_the_estimate():
    assert boot_times(1.0, number=0).expected(HERE) == seconds(50.0)


def test_completed_boots_affect_the_estimate_of_their_own_kind_most():
    for factor in (0.1, 4.0):
        boots = boot_times(factor)
        own_ratio, other_ratio = boots.ratio(HERE), boots.ratio(THERE)
        assert abs(own_ratio - factor) < abs(other_ratio - factor) < abs(1 - factor)
        boots.set_pending([], seconds(1000.0))
        assert abs(boots.ratio(HERE) - 1) < 0.05  # the weight of old boots has decayed


def test_a_pending_boot_counts_as_one_of_its_present_age():
    """Without this, new machines were expected to be up at once for minutes after a period of
    quick boots."""
    boots = boot_times(0.05)
    quick = boots.ratio(HERE)
    pending = [PendingBoot(HERE, seconds(100.0))] * 10
    boots.set_pending(pending, seconds(130.0))
    assert boots.ratio(HERE) > quick * 3
    assert boots.remaining(HERE, seconds(100.0), seconds(130.0)) > timedelta(seconds=5)


def test_a_boot_is_given_up_if_later_ones_are_up_and_otherwise_one_at_a_time():
    boots = boot_times(1.0, at=150.0)
    assert not boots.should_replace(HERE, seconds(105.0), seconds(180.0))
    assert boots.should_replace(HERE, seconds(105.0), seconds(230.0))
    no_completed = boot_times(1.0, number=0)
    assert not no_completed.should_replace(HERE, seconds(100.0), seconds(230.0))
    assert no_completed.should_replace(HERE, seconds(100.0), seconds(300.0))
    no_completed.record_given_up(seconds(300.0))
    assert not no_completed.should_replace(HERE, seconds(100.0), seconds(310.0))
    assert no_completed.should_replace(HERE, seconds(100.0), seconds(400.0))
