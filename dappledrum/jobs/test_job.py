"""Task counts of a job, compared with a model that tracks each task."""

from datetime import UTC, datetime

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.jobs.page_encoding import page_record
from dappledrum.simulation.cluster import job

TASKS = 5
PAGE_SIZE = 3  # two pages
EPOCH = datetime.fromtimestamp(0, UTC)

steps = st.lists(
    st.tuples(st.sampled_from(["place", "finish", "remove", "store"]), st.integers(0, TASKS - 1)),
    max_size=40,
)


def stored_again(live):
    """The job as the next leader reads it."""
    result = Job(live.head_record(), 1)
    page = live.page(1)
    result.add_page(1, page_record(page), 1)
    return result


@settings(max_examples=200, derandomize=True, deadline=None)
@given(steps)
def test_tasks_are_waiting_or_running_or_done(drawn):
    """A task that completed in an attempt that was taken for lost is done, although a later
    attempt is on a machine: it neither counts as running nor for another that waits."""
    spec = msgspec.convert(job(7, beats=TASKS), Spec)
    live = Job(JobRecord(spec, 0, PAGE_SIZE, PageRecord()), 1)
    done, placed = set(), set()
    for step, task in drawn:
        page = live.page_of(task)
        if step == "place" and task not in done | placed:
            page.place(task, f"host-{task}", 1, "a", EPOCH)
            placed.add(task)
        elif step == "finish":
            page.finish(task)
            done.add(task)
        elif step == "remove":
            page.remove(task)
            placed.discard(task)
        elif step == "store":
            live = stored_again(live)
        waiting = set(range(TASKS)) - done - placed
        assert live.running() == len(placed - done) == live.head_record().running
        assert live.waiting() == len(waiting)
        assert {
            free for part in live.pages_with_free_tasks() for free in part.free_tasks()
        } == waiting
        assert live.placement_count() == len(placed)
