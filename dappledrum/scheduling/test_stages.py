"""Tests the stages of workflows against the plain model, and on very large workflows."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.model.dds import plain_stages
from dappledrum.scheduling.stages import WorkflowJob, stages
from dappledrum.timing.clock import seconds

OPTIMISTIC_RUN_TIME_SHARE = 0.8

drawn_jobs = st.lists(
    st.tuples(
        st.sets(st.integers(1, 4), max_size=3),  # needs: distance back to each job it waits for
        st.integers(1, 60),  # run time
        st.lists(st.integers(1, 300), max_size=2),  # deadlines
        st.integers(0, 3),  # rank
        st.integers(1, 9),  # tasks
    ),
    min_size=1,
    max_size=9,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(drawn_jobs)
def test_stages_are_those_of_the_plain_model(rows):
    plain = {}
    for index, (back, run, dues, rank, tasks) in enumerate(rows):
        needs = sorted({f"j{index - step}" for step in back if index >= step})
        depth = max((plain[need]["depth"] + 1 for need in needs), default=0)
        plain[f"j{index}"] = {
            "needs": needs,
            "depth": depth,
            "run": run,
            "dues": sorted(dues),
            "rank": rank,
            "tasks": tasks,
            "ready": 0 if needs else tasks,
        }
    links = {
        name: WorkflowJob(
            job["needs"],
            job["depth"],
            seconds(job["run"]),
            [seconds(due) for due in job["dues"]],
            job["rank"],
            job["tasks"],
            job["ready"],
        )
        for name, job in plain.items()
    }
    real, cycle = stages(links, OPTIMISTIC_RUN_TIME_SHARE)
    assert not cycle
    for name, (due, rank, ready, tasks) in plain_stages(plain, OPTIMISTIC_RUN_TIME_SHARE).items():
        stage = real[name]
        assert (stage.rank, stage.ready, stage.tasks) == (rank, ready, tasks)
        if due is None:
            assert stage.due is None
        else:
            assert stage.due.total_seconds() == pytest.approx(due, abs=1e-3)


def test_a_chain_divides_the_time_left_by_estimated_work():
    workflow = {
        "a": WorkflowJob((), 0, seconds(10), (), 3, 6, 6),
        "b": WorkflowJob(("a",), 1, seconds(30), (), 3, 6, 0),
        "c": WorkflowJob(("b",), 2, seconds(10), [seconds(100)], 1, 2, 0),
    }
    found, _ = stages(workflow, OPTIMISTIC_RUN_TIME_SHARE)
    assert [found[name].due for name in "abc"] == [seconds(20), seconds(80), seconds(100)]
    assert {stage.rank for stage in found.values()} == {1}


def test_cycles_and_the_jobs_that_wait_for_them_are_reported():
    workflow = {
        "a": WorkflowJob(("b",), 0, seconds(1), (), 3, 1, 0),
        "b": WorkflowJob(("a",), 0, seconds(1), (), 3, 1, 0),
        "c": WorkflowJob(("b",), 0, seconds(1), [seconds(9)], 3, 1, 0),
        "d": WorkflowJob((), 0, seconds(1), [seconds(9)], 3, 1, 1),
    }
    found, cycle = stages(workflow, OPTIMISTIC_RUN_TIME_SHARE)
    assert cycle == {"a", "b", "c"}
    assert set(found) == {"d"}


def test_long_chains_and_wide_dependencies_need_no_recursion():
    """Tries a chain of thousands of jobs, and thousands of jobs between one that they all wait for
    and one that waits for all of them."""
    size = 3000
    deep = {
        f"{n}": WorkflowJob((f"{n - 1}",) if n else (), n, seconds(1), [seconds(9e6)], 3, 1, 0)
        for n in range(size)
    }
    wide = {
        f"{n}": WorkflowJob(("0",) if n else (), min(n, 1), seconds(1), (), 3, 1, 0)
        for n in range(size)
    }
    others = tuple(name for name in wide if name != "0")
    wide["last"] = WorkflowJob(others, 2, seconds(1), (seconds(90),), 1, 1, 0)
    for workflow in (deep, wide):
        found, _ = stages(workflow, OPTIMISTIC_RUN_TIME_SHARE)
        assert len(found) == len(workflow)
    assert found["1"].due == timedelta(seconds=60)
