"""Draws two or three overlapping faults of any kind from a seed, while users submit, poll and
cancel jobs.

    python3 -m dappledrum.simulation.fault_combinations [--from 0] [--count 100]
        [--kinds KIND,KIND] [--triples]

Runs five complete controllers in virtual time, and checks the invariants on each step, and at the
end that every controller knows every accepted job. Prints the seed of each failure; a seed repeats
the same run if PYTHONHASHSEED=0. Jobs have one to three tasks of very different run times; some
save checkpoints, some are services or gangs, some wait for other jobs. One of the three faults of
a triple is always a change of leader.
"""

import argparse
import asyncio
import logging
import random
import sys
from typing import Any

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.faults import KINDS, convert, end_all
from dappledrum.simulation.faults.base import Fault
from dappledrum.simulation.logged_failures import LoggedFailures
from dappledrum.simulation.virtual_time import run

FIVE = tuple(f"drummer-{index}" for index in range(5))
MACHINES = 10
USERS = 14
#: The first fault starts 5 s before a time drawn from this range; users submit until the end of
#: the range.
FAULT_START_S = (15.0, 50.0)
DURATIONS_S = (0.3, 2.0, 5.0, 12.0, 25.0, 45.0)  # the last one is longer than `cancel_s`
RESTART_DELAYS_S = (0.0, 0.1, 0.3, 1.0, 5.0)
#: Kinds to draw from unless some are named.
DEFAULT_KINDS = (*KINDS, "late_writes:at_once", "late_reports:for_next")
LEADER_CHANGES = ("node_crash", "leader_transfer", "node_freeze", "node_cut")
PROGRESS_INTERVAL = 50  # runs between two progress lines
LEADER_CHANGE_DURATIONS_S = (5.0, 12.0)  # longer than a leader's lease


def draw_fault(name: str, at: float, rng: random.Random) -> Fault:
    """Draw a fault of a kind, or of a kind with a boolean option set ("KIND:OPTION")."""
    kind, _, variant = name.partition(":")
    drawn: dict[str, Any] = {"for_s": rng.choice(DURATIONS_S)}
    drawn["count"] = rng.choice((1, 1, 2, 5))
    drawn["busiest"] = rng.random() < 0.7
    share = rng.choice((0.2, 0.5)) if "late" in kind else rng.choice((0.0, 0.4))
    drawn["every_s"] = rng.choice((0.5, 4.0))
    if kind.startswith("late") or share > 0:
        drawn["share"] = share
    if kind == "node_freeze":
        drawn["for_s"] = min(drawn["for_s"], 12.0)
    if kind == "node_cut":
        drawn |= _draw_cut(rng)
    if kind in ("machine_deaf", "machine_mute", "machine_restart"):
        drawn = _draw_machines(drawn, rng)
    if kind == "machine_restart":
        drawn |= {"back_s": rng.choice(RESTART_DELAYS_S), "twice": rng.random() < 0.3}
    if kind == "cancel_now":
        drawn["hang_s"] = rng.choice((0.0, *DURATIONS_S))
    if kind == "cancel_at_end":
        drawn["share"] = rng.choice((0.5, 1.0))
    supported = KINDS[kind].__struct_fields__
    options = {name: value for name, value in drawn.items() if name in supported}
    if variant:
        options[variant] = True
    return convert(options | {"kind": kind, "at_s": at})


def _draw_cut(rng: random.Random) -> dict[str, Any]:
    """Draw from what a controller is cut off, and how."""
    form = rng.choice(("state", "refused", "alone", "workers", "everything"))
    return {
        "from_state": form in ("state", "refused", "alone"),
        "from_peers": form == "alone",
        "from_workers": form == "workers",
        "mode": "refuse" if form == "refused" or rng.random() < 0.3 else "hold",
    }


def _draw_machines(drawn: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    """Draw whether machines are chosen by zone, or by the drawn share or count."""
    zone = rng.choice(("a", "b")) if rng.random() < 0.3 else None
    by = "zone" if zone is not None else "share" if "share" in drawn else "count"
    others = {name: value for name, value in drawn.items() if name not in ("count", "share")}
    return others | {by: zone if zone is not None else drawn[by]}


def draw_leader_change(kind: str, at: float, rng: random.Random) -> Fault:
    """Draw a fault of a kind that most likely makes another controller lead."""
    options: dict[str, Any] = {"kind": kind, "at_s": at}
    if kind != "leader_transfer":
        options["busiest"] = True
    if kind in ("node_freeze", "node_cut"):
        options["for_s"] = rng.choice(LEADER_CHANGE_DURATIONS_S)
    if kind == "node_cut":
        options |= {"from_state": True, "from_peers": rng.random() < 0.7}
        options["mode"] = rng.choice(("hold", "refuse"))
    return convert(options)


def submission(number: int, rng: random.Random) -> dict[str, object]:
    """Draw a submission."""
    tasks = rng.choice((1, 2, 2, 3))
    runs = [rng.choice((1.0, 6.0, 30.0, 70.0)) for _ in range(tasks)]
    form = rng.choice(("batch",) * 8 + ("service", "ensemble"))
    changes: dict[str, object] = {
        "beats": tasks,
        "vcpus": rng.choice((0.5, 2.0)),
        "runS": runs if form == "batch" else 15.0,
        "expectedS": max(runs),
        "form": form,
        "crew": rng.choice(("blue", "blue", "red")),
        "urgency": rng.choice(("prod", "high", "standard", "best_effort")),
        "dueS": rng.choice((None, 60.0, 300.0)),
        "oneZone": rng.random() < 0.2,
        "loaners": rng.random() < 0.8,
        "markEveryS": rng.choice((0.0, 5.0)),
        "markTakeS": 1.0,
    }
    if number and form == "batch" and rng.random() < 0.2:
        changes["waitsOn"] = [f"j-{rng.randrange(number):06d}"]
    return job(number, **changes)


async def user(
    cluster: SimulatedCluster, spec: dict[str, object], rng: random.Random
) -> str | None:
    """Submit a job, poll it at any controller, and maybe cancel it; its name if accepted."""
    name = str(spec["id"])
    await asyncio.sleep(rng.uniform(0, FAULT_START_S[1]))
    status = await cluster.submit(spec, 60)
    if status not in (200, 201):
        return None
    will_cancel = spec["form"] == "service" or rng.random() < 0.5
    stop_polling_at = asyncio.get_running_loop().time() + rng.uniform(0, 60)
    while (now := asyncio.get_running_loop().time()) < stop_polling_at:
        if await cluster.poll(name) in ("done", "cancelled"):
            break
        await asyncio.sleep(min(rng.uniform(0.5, 3), max(0.1, stop_polling_at - now)))
    if will_cancel:
        await cluster.cancel(name, 200)
    if rng.random() < 0.3:
        await cluster.submit(spec, 60)  # a late retry
    return name


def draw_faults(kinds: tuple[str, ...], triple: bool, rng: random.Random) -> list[Fault]:
    """Draw two faults of these kinds that overlap or follow each other closely, and for a triple
    also a change of leader; sorted by start time."""
    first = draw_fault(kinds[0], rng.uniform(*FAULT_START_S) - 5, rng)
    start_range = (first.at_s, first.at_s + first.lasts_s + 2)
    faults = [first, draw_fault(kinds[1], rng.uniform(*start_range), rng)]
    if triple:
        kind = rng.choice(LEADER_CHANGES)
        faults.append(draw_leader_change(kind, rng.uniform(*start_range), rng))
    return sorted(faults, key=lambda fault: fault.at_s)


async def run_combination(
    seed: int, kinds: tuple[str, ...] = (), exactly: bool = False, triple: bool = False
) -> str:
    """Run one drawn combination; raises AssertionError if an invariant is broken.

    Two kinds are drawn from `kinds` (by default `DEFAULT_KINDS`), or are `kinds` if `exactly`.
    Returns a description of the faults.
    """
    rng = random.Random(seed)
    chosen_kinds = (
        kinds if exactly else tuple(rng.choice(kinds or DEFAULT_KINDS) for _ in range(2))
    )
    cluster = SimulatedCluster(seed=seed, members=FIVE)
    cluster.cloud.max_machines = MACHINES + 4
    for _ in range(MACHINES):
        cluster.cloud.add(("small", rng.choice(("a", "b")), rng.random() < 0.8))
    faults = draw_faults(chosen_kinds, triple, rng)
    description = "; ".join(str(fault) for fault in faults)
    restart_delay_s = rng.choice(RESTART_DELAYS_S)
    await cluster.until(lambda: cluster.leader() is not None)
    users = []
    for number in range(USERS):
        user_rng = random.Random(f"{seed} {number}")
        users.append(asyncio.ensure_future(user(cluster, submission(number, user_rng), user_rng)))
    await _inject(cluster, faults, restart_delay_s)
    assert not cluster.store.in_outage, description
    assert not cluster.store.refused, description
    assert not cluster.network.late_writes, description
    end_all(cluster)
    while cluster.extra_user_tasks or not all(user_task.done() for user_task in users):
        await cluster.wait(1)
    names = [name for user_task in users if (name := user_task.result()) is not None]
    await cluster.finish(names, timeout_s=600)
    for name in names:  # every controller must give the same final answer
        for member in FIVE:
            await cluster.poll(name, member)
    assert not cluster.rules.broken, cluster.rules.broken
    return description


async def _inject(cluster: SimulatedCluster, faults: list[Fault], restart_delay_s: float) -> None:
    """Start faults at their times, and wait until they have ended."""
    pending = list(faults)
    end = max(fault.at_s + fault.lasts_s for fault in faults) + restart_delay_s + 8
    while cluster.now() < end:
        while pending and pending[0].at_s <= cluster.now():
            pending.pop(0).begin(cluster, restart_delay_s)
        await cluster.wait(0.25)


def main(argv: list[str] | None = None) -> int:
    """Run drawn combinations, and print the seed of each failure."""
    parser = argparse.ArgumentParser(prog="python3 -m dappledrum.simulation.fault_combinations")
    parser.add_argument("--from", dest="first", type=int, default=0, metavar="SEED")
    parser.add_argument("--count", type=int, default=100, metavar="N")
    parser.add_argument("--kinds", default="", metavar="KIND,KIND", help="draw from these only")
    parser.add_argument("--triples", action="store_true", help="add a change of leader")
    options = parser.parse_args(argv)
    kinds = tuple(kind for kind in options.kinds.split(",") if kind)
    unknown = sorted(set(kinds) - set(DEFAULT_KINDS))
    if unknown:
        parser.error(f"unknown kinds: {', '.join(unknown)}; known: {', '.join(DEFAULT_KINDS)}")
    logging.disable(logging.WARNING)
    failed = []
    for number in range(options.count):
        seed = options.first + number
        if number and number % PROGRESS_INTERVAL == 0:
            print(f"{number} draws, {len(failed)} failed", flush=True)
        try:
            with LoggedFailures() as failures:
                run(run_combination(seed, kinds, triple=options.triples))
            assert not failures.messages, failures.messages[0]
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
    print(f"{options.count} draws, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
