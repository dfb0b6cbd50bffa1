"""Two or three faults of all kinds that overlap, drawn from a seed, while users submit, ask and
cancel.

    python3 -m dappledrum.simulation.fault_combinations [--from 0] [--count 100]
        [--kinds KIND,KIND] [--triples]

Five whole controllers in virtual time, rules checked after each step, also that every accepted job
is known once all is over. The seed of each failure is printed; the same seed plays the same again
(with PYTHONHASHSEED=0). Jobs have one to three tasks whose ends lie far apart, some save, some are
services or gangs, some wait for others. One of the three faults of a triple is always a change
of leader.
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
FAULTS_BEGIN = (15.0, 50.0)  # the first fault begins, the second at the latest
SPANS = (0.3, 2.0, 5.0, 12.0, 25.0, 45.0)  # the last one is longer than `cancel_s`
BACK = (0.0, 0.1, 0.3, 1.0, 5.0)
#: What is drawn of unless kinds are named.
DRAWN = (*KINDS, "late_writes:at_once", "late_reports:for_next")
CHANGES_OF_LEADER = ("node_crash", "leader_transfer", "node_freeze", "node_cut")
PROGRESS = 50  # draws between two lines
CHANGE_SPANS = (5.0, 12.0)  # longer than a leader's lease


def draw(name: str, at: float, rng: random.Random) -> Fault:
    """One fault of a kind, or of one with an option that is always set ("KIND:OPTION")."""
    kind, _, variant = name.partition(":")
    drawn: dict[str, Any] = {"for_s": rng.choice(SPANS)}
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
    if kind in ("machine_deaf", "machine_mute"):
        drawn = _draw_machines(drawn, rng)
    if kind == "cancel_now":
        drawn["hang_s"] = rng.choice((0.0, *SPANS))
    if kind == "cancel_at_end":
        drawn["share"] = rng.choice((0.5, 1.0))
    taken = KINDS[kind].__struct_fields__
    options = {name: value for name, value in drawn.items() if name in taken}
    if variant:
        options[variant] = True
    return convert(options | {"kind": kind, "at_s": at})


def _draw_cut(rng: random.Random) -> dict[str, Any]:
    """What a controller loses, and how."""
    form = rng.choice(("state", "refused", "alone", "workers", "everything"))
    return {
        "from_state": form in ("state", "refused", "alone"),
        "from_peers": form == "alone",
        "from_workers": form == "workers",
        "mode": "refuse" if form == "refused" or rng.random() < 0.3 else "hold",
    }


def _draw_machines(drawn: dict[str, Any], rng: random.Random) -> dict[str, Any]:
    """Machines by zone, share or number; one of these."""
    zone = rng.choice(("a", "b")) if rng.random() < 0.3 else None
    by = "zone" if zone is not None else "share" if "share" in drawn else "count"
    left = {name: value for name, value in drawn.items() if name not in ("count", "share")}
    return left | {by: zone if zone is not None else drawn[by]}


def draw_change_of_leader(kind: str, at: float, rng: random.Random) -> Fault:
    """One fault after which, most likely, another controller leads."""
    options: dict[str, Any] = {"kind": kind, "at_s": at}
    if kind != "leader_transfer":
        options["busiest"] = True
    if kind in ("node_freeze", "node_cut"):
        options["for_s"] = rng.choice(CHANGE_SPANS)
    if kind == "node_cut":
        options |= {"from_state": True, "from_peers": rng.random() < 0.7}
        options["mode"] = rng.choice(("hold", "refuse"))
    return convert(options)


def submission(number: int, rng: random.Random) -> dict[str, object]:
    """A job as a user may send it."""
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
    """Submits a job, asks about it at any controller, and may cancel it; its name if accepted."""
    name = str(spec["id"])
    await asyncio.sleep(rng.uniform(0, FAULTS_BEGIN[1]))
    status = await cluster.submit(spec, 60)
    if status not in (200, 201):
        return None
    cancels = spec["form"] == "service" or rng.random() < 0.5
    at = asyncio.get_running_loop().time() + rng.uniform(0, 60)
    while (now := asyncio.get_running_loop().time()) < at:
        if await cluster.poll(name) in ("done", "cancelled"):
            break
        await asyncio.sleep(min(rng.uniform(0.5, 3), max(0.1, at - now)))
    if cancels:
        await cluster.cancel(name, 200)
    if rng.random() < 0.3:
        await cluster.submit(spec, 60)  # a late retry
    return name


def draw_faults(kinds: tuple[str, ...], triple: bool, rng: random.Random) -> list[Fault]:
    """Two faults of these kinds that overlap or follow each other closely, and for a triple a
    change of leader beside them; in the order of their beginnings."""
    first = draw(kinds[0], rng.uniform(*FAULTS_BEGIN) - 5, rng)
    near = (first.at_s, first.at_s + first.lasts_s + 2)
    faults = [first, draw(kinds[1], rng.uniform(*near), rng)]
    if triple:
        kind = rng.choice(CHANGES_OF_LEADER)
        faults.append(draw_change_of_leader(kind, rng.uniform(*near), rng))
    return sorted(faults, key=lambda fault: fault.at_s)


async def play(
    seed: int, kinds: tuple[str, ...] = (), exactly: bool = False, triple: bool = False
) -> str:
    """One draw, of these kinds or of exactly these two; ends with an assertion when a rule is
    broken. Says what was drawn."""
    rng = random.Random(seed)
    chosen = kinds if exactly else tuple(rng.choice(kinds or DRAWN) for _ in range(2))
    cluster = SimulatedCluster(seed=seed, members=FIVE)
    cluster.cloud.most = MACHINES + 4
    for _ in range(MACHINES):
        cluster.cloud.add(("small", rng.choice(("a", "b")), rng.random() < 0.8))
    faults = draw_faults(chosen, triple, rng)
    said = "; ".join(str(fault) for fault in faults)
    back = rng.choice(BACK)
    await cluster.until(lambda: cluster.leader() is not None)
    users = []
    for number in range(USERS):
        one = random.Random(f"{seed} {number}")
        users.append(asyncio.ensure_future(user(cluster, submission(number, one), one)))
    await _inject(cluster, faults, back)
    assert not cluster.store.out, said
    assert not cluster.store.refused, said
    assert not cluster.network.late_writes, said
    end_all(cluster)
    while cluster.extra_user_tasks or not all(one.done() for one in users):
        await cluster.wait(1)
    names = [name for one in users if (name := one.result()) is not None]
    await cluster.finish(names, most=600)
    for name in names:  # once over, the same at each controller
        for member in FIVE:
            await cluster.poll(name, member)
    assert not cluster.rules.broken, cluster.rules.broken
    return said


async def _inject(cluster: SimulatedCluster, faults: list[Fault], back: float) -> None:
    """Let faults begin at their times, and wait until they are over."""
    left = list(faults)
    end = max(fault.at_s + fault.lasts_s for fault in faults) + back + 8
    while cluster.now() < end:
        while left and left[0].at_s <= cluster.now():
            left.pop(0).begin(cluster, back)
        await cluster.wait(0.25)


def main(argv: list[str] | None = None) -> int:
    """Play draws, and print the seed of each failure."""
    parser = argparse.ArgumentParser(prog="python3 -m dappledrum.simulation.fault_combinations")
    parser.add_argument("--from", dest="first", type=int, default=0, metavar="SEED")
    parser.add_argument("--count", type=int, default=100, metavar="N")
    parser.add_argument("--kinds", default="", metavar="KIND,KIND", help="drawn of these only")
    parser.add_argument("--triples", action="store_true", help="with a change of leader besides")
    options = parser.parse_args(argv)
    kinds = tuple(kind for kind in options.kinds.split(",") if kind)
    unknown = sorted(set(kinds) - set(DRAWN))
    if unknown:
        parser.error(f"unknown kinds: {', '.join(unknown)}; known: {', '.join(DRAWN)}")
    logging.disable(logging.WARNING)
    failed = []
    for number in range(options.count):
        seed = options.first + number
        if number and number % PROGRESS == 0:
            print(f"{number} draws, {len(failed)} failed", flush=True)
        try:
            with LoggedFailures() as failures:
                run(play(seed, kinds, triple=options.triples))
            assert not failures.messages, failures.messages[0]
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {error}", flush=True)
    print(f"{options.count} draws, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
