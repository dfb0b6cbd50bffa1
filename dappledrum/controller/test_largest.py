"""Large jobs that have missed their deadline, and could be postponed for ever by others."""

from dappledrum.dispatch.bag_builder import MAX_WAIT_UNSTARTED
from dappledrum.simulation.cluster import SimulatedCluster, job


async def test_a_job_that_has_waited_long_starts_its_first_task_before_all_other_tasks():
    """Guards against starvation: work that can still be in time is planned before late work, so a
    large job that has missed its deadline could be postponed by each plan. It is enough that one
    of its tasks comes first."""

    cluster = SimulatedCluster(seed=6)
    max_machines, cluster.cloud.max_machines = (
        cluster.cloud.max_machines,
        0,
    )  # so that all tasks stay ready
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.submit(job(1, beats=30, dueS=5.0, urgency="best_effort"))
    await cluster.wait(60)
    await cluster.submit(job(2, beats=9, dueS=900.0, urgency="high"))
    work = cluster.controllers[cluster.leader()].leader.dispatcher.work

    def order():
        now = work.clock.now()
        return [(b.id[-1], b.ready) for b in sorted(work.bags(now, 0.0), key=lambda b: b.rank)]

    assert order() == [("2", 9), ("1", 30)]
    await cluster.wait(MAX_WAIT_UNSTARTED.total_seconds() - 50)
    assert order() == [("1", 1), ("2", 9)]
    cluster.cloud.max_machines = max_machines
    await cluster.until(lambda: cluster.rules.jobs["j-000001"].begun_at is not None)
    assert cluster.rules.jobs["j-000001"].begun_at < 240
    await cluster.wait(1)
    assert ("1", 1) not in order(), "a job that has started is no longer ranked first"
    await cluster.finish(["j-000001", "j-000002"], timeout_s=400)
