"""The cheap machines are all in use, and an ordinary one has room: low-priority work waits."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))

import world as w

WAITING_S = 90.0  # "no job is left waiting for 90 s" (hunt page)


async def play(world: w.World) -> None:
    """One cheap machine, filled by a service; one ordinary machine with a small service."""
    world.cloud.capacity = 2
    world.cloud.cheap_capacity = 1
    world.run_s = lambda spec, _number: 1e6 if spec["form"] == "service" else spec["expectedS"]
    service = {"form": "service", "expectedS": 0.0, "memGb": 1.0}
    if w.TROUBLE:
        await world.submit(world.job(1, vcpus=8.0, **service))
        await world.until(lambda: world.rules.starts == 1, 30, "the start of the first service")
    before = world.rules.starts
    await world.submit(world.job(2, vcpus=2.0, loaners=False, **service))
    await world.until(lambda: world.rules.starts > before, 30, "the start of the other service")
    low = {"urgency": "best_effort", "pattern": "muurahaiset", "vcpus": 1.0, "memGb": 1.0}
    over = time.monotonic()
    await world.submit(world.job(3, expectedS=2.0, **low))
    while time.monotonic() < over + WAITING_S:
        state = await world.poll("j-000003")
        if state == "done":
            return
        await asyncio.sleep(3)
    room = {
        f"{name}, {'cheap' if machine.loaners else 'ordinary'}": 8.0
        - sum(world.rules.specs[a.job]["vcpus"] for a in machine.attempts.values())
        for name, machine in world.cloud.machines.items()
    }
    if ("j-000003", 0) not in world.rules.on and max(room.values(), default=0.0) >= 1.0:
        world.rules.fail(
            f"j-000003 is called {state} and has not begun {WAITING_S:g} s after its submission;"
            f" vcpus free on the machines: {room}"
        )


if __name__ == "__main__":
    w.main(__file__, play, builds=[w.KUUSI])
