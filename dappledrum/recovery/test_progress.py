"""The log line with which the recovery of a term ends."""

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run


def outcomes(caplog):
    return [r.getMessage() for r in caplog.records if "recovery finished" in r.getMessage()]


def test_recovery_finishes_when_all_machines_are_back_or_given_up(caplog):
    """Machines that come back, one that is dead, and one that hangs: each is counted once."""

    async def main():
        cluster = SimulatedCluster(seed=3, lease_s=9.0)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(25)
        assert len(outcomes(caplog)) == 1
        assert " 0 machines back" in outcomes(caplog)[0]
        await cluster.submit(job(1, beats=24, runS=60.0, expectedS=60.0, dueS=75.0))
        await cluster.until(lambda: cluster.rules.starts >= 12)
        await cluster.wait(12)
        working = [w for w in cluster.cloud.workers() if w.attempts]
        assert len(working) >= 3
        dead = len(working[0].attempts)
        cluster.network.services.pop(working[0].name)
        working[0].hung = True
        await cluster.restart_all(1.0)
        await cluster.until(lambda: len(outcomes(caplog)) == 2, most=40)
        assert f"{len(working) - 1} machines back within" in outcomes(caplog)[1]
        assert f"{dead} for the machine is silent for longer than its lease" in outcomes(caplog)[1]
        working[0].hung = False
        await cluster.finish(["j-000001"], most=400)
        assert len(outcomes(caplog)) == 2

    caplog.set_level("INFO")
    run(main())
