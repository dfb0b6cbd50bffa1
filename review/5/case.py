"""A job of many small tasks: a machine gets more of them than it may report."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))

import world as w

RUN_S = 15.0  # longer than the lease of 11 s
WATCHED_S = 90.0  # "no job is left waiting for 90 s" (hunt page)
SMALL = {"vcpus": 0.05, "memGb": 0.08, "beats": 1500}
USUAL = {"vcpus": 0.25, "memGb": 0.5, "beats": 300}  # as `pebblerun` of the ops page


async def play(world: w.World) -> None:
    """One job, one machine, nothing else."""
    world.cloud.capacity = 1
    world.note_start = lambda *_: None  # thousands of lines
    size = SMALL if w.TROUBLE else USUAL
    await world.submit(world.job(1, expectedS=RUN_S, builds=["honka"], **size))
    await world.until(lambda: world.rules.starts, 25, "the first start")
    began = time.monotonic()
    while time.monotonic() < began + WATCHED_S:
        if await world.poll("j-000001") == "done":
            return
        for name, machine in world.cloud.machines.items():
            world.rules.log(
                f"{name}: set {machine.set}, {len(machine.attempts)} attempts,"
                f" {len(world.rules.done.get('j-000001', ()))} tasks done,"
                f" {world.rules.starts} starts, largest report {world.largest_report} bytes"
            )
        await asyncio.sleep(3)
    if not world.rules.done.get("j-000001") and world.largest_report > w.BODY_LIMIT:
        world.rules.fail(
            f"none of {size['beats']} tasks of {RUN_S:g} s is done {WATCHED_S:g} s after the first"
            f" start: {world.rules.starts} starts on one machine that is up and reachable, whose"
            f" reports ({world.largest_report} bytes) exceed {w.BODY_LIMIT} bytes"
        )


if __name__ == "__main__":
    w.main(__file__, play)
