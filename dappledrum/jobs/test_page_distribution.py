"""Large pages are rewritten in steps, each of which leaves values that a new leader may read."""

from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.jobs.messages import TaskFigures, TaskRow
from dappledrum.jobs.page_distribution import distribute
from dappledrum.jobs.page_encoding import rows_record
from dappledrum.store.value_size import encoded_size

MAX_PART_BYTES = 200
TASKS = 40


@st.composite
def placements(draw):
    """Placements of some tasks, each on one of a few machines."""
    offsets = draw(st.sets(st.integers(0, TASKS - 1)))
    return {
        offset: TaskRow(
            f"host-{draw(st.integers(0, 30)):06d}", 1, "a", TaskFigures(offset, offset + 1, 5)
        )
        for offset in sorted(offsets)
    }


def merged(parts):
    """All placements in the parts, none of which may be in two."""
    rows = {}
    for part in parts:
        assert not rows.keys() & part.keys()
        rows.update(part)
    return rows


@settings(max_examples=150, derandomize=True, deadline=None)
@given(placements(), placements(), st.integers(1, 5))
def test_each_step_loses_no_placement_and_the_last_one_holds_just_the_wanted_ones(
    first, wanted, max_changed
):
    """Guards against a task that a new leader starts elsewhere while it runs, since a step has
    removed it from one part and not yet added it to another."""
    stored = distribute([], first, max_changed, MAX_PART_BYTES).parts
    assert merged(stored) == first
    for _ in range(2 * len(stored) + 2):
        before = merged(stored)
        step = distribute(stored, wanted, max_changed, MAX_PART_BYTES)
        assert len(step.changed) <= max_changed
        untouched = set(range(min(len(stored), len(step.parts)))) - set(step.changed)
        assert all(step.parts[number] == stored[number] for number in untouched)
        assert all(encoded_size(rows_record(p.values())) <= MAX_PART_BYTES for p in step.parts)
        after = merged(step.parts)
        for offset in before.keys() & wanted.keys():
            assert before[offset] != wanted[offset] or after[offset] == wanted[offset]
        for offset in after:
            assert after[offset] in (before.get(offset), wanted.get(offset))
        stored = step.parts
        if step.complete:
            break
    assert merged(stored) == wanted
