"""A machine is back in the middle of an election; a late copy of an old report follows."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))

import world as w

BACK_S = 4.0  # "back about 4 s after an end" (BRIEF)
COPY_AFTER_S = 2.0  # "from 2 s to well over a lease later" (hunt page)


async def play(world: w.World) -> None:
    """One long task on a machine that restarts while the leader changes."""
    world.cloud.boot_s = 0.5
    await world.submit(world.job(1, expectedS=60.0))
    await world.until(lambda: ("j-000001", 0) in world.rules.on, 40, "the start of j-000001/0")
    [name] = world.rules.on["j-000001", 0]
    machine = world.cloud.machines[name]
    await asyncio.sleep(32)
    takes = [attempt.take for attempt in machine.attempts.values()]
    if w.TROUBLE:
        copy = w.compact(machine.report())  # the last report before the machine stops
        sent = time.monotonic()
        leader = world.leader()
        world.rules.log(f"{leader.name}, the leader, ends; {name} restarts; takes {takes}")
        await leader.kill()
        await asyncio.sleep(0.3)
        machine.restart()
        await world.until(lambda: world.rules.on["j-000001", 0], 20, "the task on the machine")
        await asyncio.sleep(max(0.5, sent + COPY_AFTER_S - time.monotonic()))
        now = world.leader()
        shown = {k: v for k, v in json.loads(copy).items() if k in ("set", "tick", "baton")}
        world.rules.log(f"a copy of an old report of {name} arrives at {now.name}: {shown}")
        link = w.Link(now.serve_on)
        answer = await link.request("POST", "/hello", copy, 4.0)
        link.close()
        world.rules.log(f"its answer, which nobody gets: {answer and answer[0]}")
        await asyncio.sleep(max(0.0, sent + BACK_S - time.monotonic()))
        await leader.start()
    end = time.monotonic() + 30
    while time.monotonic() < end:
        if world.rules.broken or await world.poll("j-000001") == "done":
            return
        await asyncio.sleep(3)


if __name__ == "__main__":
    w.main(__file__, play)
