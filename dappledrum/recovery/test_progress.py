"""The log line at the end of each term's recovery."""

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run


def recovery_outcomes(caplog):
    return [r.getMessage() for r in caplog.records if "recovery finished" in r.getMessage()]


def test_recovery_finishes_when_all_machines_have_returned_or_are_given_up(caplog):
    """Machines that return and one that hangs and is unreachable are each counted once, and the
    line is logged once in each term."""

    async def main():
        cluster = SimulatedCluster(seed=3, lease_s=9.0)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(25)
        assert len(recovery_outcomes(caplog)) == 1
        assert " 0 machines back" in recovery_outcomes(caplog)[0]
        await cluster.submit(job(1, beats=24, runS=60.0, expectedS=60.0, dueS=75.0))
        await cluster.until(lambda: cluster.rules.starts >= 12)
        await cluster.wait(12)
        working = [w for w in cluster.cloud.workers() if w.attempts]
        assert len(working) >= 3
        lost_tasks = len(working[0].attempts)
        cluster.network.services.pop(working[0].name)
        working[0].hung = True
        await cluster.restart_all(1.0)
        await cluster.until(lambda: len(recovery_outcomes(caplog)) == 2, timeout_s=40)
        assert f"{len(working) - 1} machines back within" in recovery_outcomes(caplog)[1]
        assert (
            f"{lost_tasks} for the machine is silent for longer than its lease"
            in recovery_outcomes(caplog)[1]
        )
        working[0].hung = False
        await cluster.finish(["j-000001"], timeout_s=400)
        assert len(recovery_outcomes(caplog)) == 2

    caplog.set_level("INFO")
    run(main())
