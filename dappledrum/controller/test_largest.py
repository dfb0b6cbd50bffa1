"""Jobs that would never start, late already or too large, among many others."""

from dappledrum.dispatch.bag_builder import MAX_WAIT_UNSTARTED
from dappledrum.simulation.cluster import SimulatedCluster, job


async def test_a_job_that_has_waited_long_starts_its_first_task_before_all_others():
    """What can still be in time goes before what is late, so in a flood of it a large job that had
    missed its deadline would be put off with each plan. One task of it is enough to begin."""

    cluster = SimulatedCluster(seed=6)
    most, cluster.cloud.most = cluster.cloud.most, 0  # nothing starts, so all stay ready
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
    cluster.cloud.most = most
    await cluster.until(lambda: cluster.rules.jobs["j-000001"].begun_at is not None)
    assert cluster.rules.jobs["j-000001"].begun_at < 240
    await cluster.wait(1)
    assert ("1", 1) not in order(), "begun, it takes its turn"
    await cluster.finish(["j-000001", "j-000002"], most=400)
