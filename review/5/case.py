"""Two jobs with a mistake fail where there is room; afterwards nothing runs there any more."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))

import world as w

WAITING_S = 90.0  # "no job is left waiting for 90 s" (hunt page)


async def play(world: w.World) -> None:
    """Two services, one of which leaves room on its machine; then two broken jobs."""
    world.cloud.capacity = 2
    world.run_s = lambda spec, _number: 1e6 if spec["form"] == "service" else spec["expectedS"]
    service = {"form": "service", "expectedS": 0.0, "memGb": 1.0, "builds": ["kuusi"]}
    await world.submit(world.job(1, vcpus=8.0, **service))
    await world.submit(world.job(2, vcpus=2.0, **service))
    await world.until(lambda: world.rules.starts == 2, 30, "the start of both services")
    if w.TROUBLE:
        world.broken_jobs = {"j-000003", "j-000004"}
    jobs = {"beats": 2, "vcpus": 1.0, "memGb": 1.0, "expectedS": 2.0}
    for number in (3, 4):
        await world.submit(world.job(number, **jobs))
    await asyncio.sleep(10)
    for number in (3, 4):
        await world.cancel(f"j-{number:06d}")
    over = time.monotonic()
    await world.submit(world.job(5, **jobs))
    while time.monotonic() < over + WAITING_S:
        state = await world.poll("j-000005")
        if state == "done":
            return
        await asyncio.sleep(3)
    room = {
        name: 8.0 - sum(world.rules.specs[a.job]["vcpus"] for a in machine.attempts.values())
        for name, machine in world.cloud.machines.items()
    }
    if ("j-000005", 0) not in world.rules.on and max(room.values(), default=0.0) >= 1.0:
        world.rules.fail(
            f"j-000005 is called {state} and has not begun {WAITING_S:g} s after its submission;"
            f" vcpus free on the machines: {room}"
        )


if __name__ == "__main__":
    w.main(__file__, play)
