"""A machine is back at once after it stopped, in the middle of an election."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))

import world as w

BACK_S = 4.0  # "back about 4 s after an end" (BRIEF)
WAITING_S = 90.0  # "no job is left waiting for 90 s" (hunt page)


async def play(world: w.World) -> None:
    """One machine, whose worker is in its second session; then it and the leader stop."""
    world.cloud.capacity = 1
    world.cloud.boot_s = 1.0  # "at times machines are up within a second or two"
    await world.submit(world.job(1, expectedS=1.0))
    await world.until(lambda: world.cloud.machines, 20, "a machine")
    machine = next(iter(world.cloud.machines.values()))
    if w.TROUBLE:
        world.rules.log("all controllers end, for longer than the lease")
        nodes = list(world.controllers.values())
        for node in nodes:
            await node.kill()
        await world.until(lambda: machine.set == 2, 20, "the second session")
        for node in nodes:
            await node.start()
        await world.ready()
    await world.submit(world.job(2, expectedS=8.0))
    await world.until(lambda: ("j-000002", 0) in world.rules.on, 40, "the start of j-000002/0")
    if w.TROUBLE:
        leader = world.leader()
        world.rules.log(f"{leader.name}, the leader, ends; {machine.name} restarts")
        await leader.kill()
        await asyncio.sleep(0.3)
        machine.restart()
        await asyncio.sleep(BACK_S - 0.3)
        await leader.start()
    over = time.monotonic()
    while time.monotonic() < over + WAITING_S:
        state = await world.poll("j-000002")
        if state == "done":
            return
        await asyncio.sleep(3)
    if not world.rules.on["j-000002", 0] and machine.set == 1 and not machine.attempts:
        world.rules.fail(
            f"j-000002 is called {state} {WAITING_S:g} s after the troubles; none of its tasks"
            f" is on a machine, and {machine.name}, which fits, is up, answered and empty"
        )


if __name__ == "__main__":
    w.main(__file__, play)
