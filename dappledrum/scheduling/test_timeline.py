"""Tests the free resources of a machine on which tasks already run."""

from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Size
from dappledrum.timing.clock import seconds

READY = 1_000
CAPACITY = Size(64.0, 8.0, 128.0)

running_tasks = st.lists(
    st.tuples(
        st.integers(READY - 20, READY + 40),  # finish
        st.builds(
            Size,
            st.sampled_from([0.1, 0.5, 2.0]),
            st.sampled_from([0.0, 1.0]),
            st.sampled_from([0.3, 4.3, 11.0]),
        ),
    ),
    max_size=30,
)


def timeline():
    kind = InstanceKind("large", "a", True)
    return MachineTimeline(
        "m", kind, CAPACITY, seconds(READY), seconds(READY - 130), 1.0, 1.0, seconds(60)
    )


@given(running_tasks)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_tasks_reserved_at_once_are_as_those_reserved_one_by_one(tasks):
    starting_now, singly = timeline(), timeline()
    assert singly.billed_until() == seconds(
        READY + 50
    )  # cached before, and moved by what ends later
    starting_now.billed_until()
    starting_now.occupy((seconds(finish), size) for finish, size in tasks)
    for finish, size in tasks:
        singly.reserve(seconds(READY), seconds(max(READY, finish)), size)
    assert starting_now.times == singly.times
    for one, other in zip(starting_now.free, singly.free, strict=True):
        assert all(abs(a - b) < 1e-9 for a, b in zip(one, other, strict=True))
    assert starting_now.committed == singly.committed
    assert starting_now.billed_until() == singly.billed_until()
    gap = starting_now.earliest(Size(4.0, 1.0, 10.0), seconds(30), "i", 0.0)
    assert gap == singly.earliest(Size(4.0, 1.0, 10.0), seconds(30), "i", 0.0)
