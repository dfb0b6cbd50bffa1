"""Restarts all machines of a simulated cluster at once, and reports when each has work again, and
the requests that it costs.

    PYTHONHASHSEED=0 python3 -m dappledrum.simulation.restart_costs [--machines 600] [--again S]

Each machine runs one long task that fills it. All worker processes end within half a second, and
new ones begin after 0.3 s; with `--again` they restart once more after these seconds. All figures
are simulated.
"""

import argparse
import logging
import sys
from collections import Counter
from typing import NamedTuple

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

FIVE = tuple(f"drummer-{index}" for index in range(5))
LEASE_S = 15.0
TASKS_PER_JOB = 50
TASK_RUN_S = 3_600.0
RESTART_WITHIN_S = 0.5
BACK_AFTER_S = 0.3
OBSERVED_S = 90.0
REQUESTS_WITHIN_S = 10.0
SAMPLE_INTERVAL_S = 0.25
SHARES = (0.5, 0.9, 0.99, 1.0)


async def _busy_cluster(machines: int) -> SimulatedCluster:
    """A cluster in which every machine runs a task that fills it."""
    cluster = SimulatedCluster(seed=1, members=FIVE, lease_s=LEASE_S, write_rps=80.0)
    cluster.cloud.max_machines = machines
    for _ in range(machines):
        cluster.cloud.add(("small", "a", True))
    await cluster.until_led()
    for number in range(machines // TASKS_PER_JOB):
        spec = job(
            number,
            beats=TASKS_PER_JOB,
            vcpus=4.0,
            runS=TASK_RUN_S,
            expectedS=TASK_RUN_S,
            dueS=TASK_RUN_S * 1.1,
        )
        await cluster.accept(spec)
    await cluster.until(lambda: len(cluster.rules.running) == machines, 200)
    await cluster.wait(2 * REQUESTS_WITHIN_S)
    return cluster


class RestartCosts(NamedTuple):
    """What a restart of all machines costs."""

    #: Seconds until a share of the machines has work again; a share is missing if it takes longer
    #: than `OBSERVED_S`.
    work_again_s: dict[float, float]
    #: Requests by the first part of their path, in `REQUESTS_WITHIN_S` before and after it.
    requests_before: Counter[str]
    requests_after: Counter[str]
    leader_kept: bool
    rented: int


async def measure(machines: int, again_s: float | None = None) -> RestartCosts:
    """Restart all machines, once or twice, and observe until all have work again."""
    cluster = await _busy_cluster(machines)
    sent = cluster.network.sent.copy()
    await cluster.wait(REQUESTS_WITHIN_S)
    requests_before = cluster.network.sent - sent
    leader = cluster.leader()
    _restart_all(cluster, again_s)
    began, sent = cluster.now(), cluster.network.sent.copy()
    await cluster.wait(RESTART_WITHIN_S)
    work_again_s: dict[float, float] = {}
    requests_after: Counter[str] | None = None
    while (elapsed := cluster.now() - began) < OBSERVED_S:
        for share in SHARES:
            if len(cluster.rules.running) >= share * machines:
                work_again_s.setdefault(share, elapsed)
        if elapsed >= REQUESTS_WITHIN_S and requests_after is None:
            requests_after = cluster.network.sent - sent
        if len(work_again_s) == len(SHARES) and requests_after is not None:
            break
        await cluster.wait(SAMPLE_INTERVAL_S)
    return RestartCosts(
        work_again_s,
        requests_before,
        requests_after or Counter(),
        cluster.leader() == leader,
        cluster.cloud.last_number - machines,
    )


def _restart_all(cluster: SimulatedCluster, again_s: float | None) -> None:
    for worker in cluster.cloud.workers():
        delay_s = cluster.rng.uniform(0, RESTART_WITHIN_S)
        cluster.cloud.restart_later(delay_s, worker.name, BACK_AFTER_S)
        if again_s is not None:
            cluster.cloud.restart_later(delay_s + BACK_AFTER_S + again_s, worker.name, 0.0)


def _counts(requests: Counter[str]) -> str:
    return " ".join(f"{path}={count}" for path, count in sorted(requests.items()))


def main(argv: list[str] | None = None) -> int:
    """Run the measurement."""
    parser = argparse.ArgumentParser(prog="python3 -m dappledrum.simulation.restart_costs")
    parser.add_argument("--machines", type=int, default=600, metavar="N", help="default 600")
    parser.add_argument("--again", type=float, metavar="S", help="restart once more")
    options = parser.parse_args(argv)
    if options.machines < 1 or options.machines % TASKS_PER_JOB:
        parser.error(f"--machines must be a multiple of {TASKS_PER_JOB}")
    logging.disable(logging.CRITICAL)
    costs = run(measure(options.machines, options.again))
    print(f"requests in 10 s before: {_counts(costs.requests_before)}")
    print(f"requests in 10 s after: {_counts(costs.requests_after)}")
    for share in SHARES:
        after_s = costs.work_again_s.get(share)
        moment = "not in 90 s" if after_s is None else f"after {after_s:.2f} s"
        print(f"{share:.0%} of {options.machines} machines have work again {moment}")
    leader = "the same leader" if costs.leader_kept else "another leader"
    print(f"{leader}; machines rented: {costs.rented}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
