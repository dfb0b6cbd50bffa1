"""All machines restart together and are back at once; nothing else happens."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stage2"))

import world as w

WAITING_S = 90.0  # "no job is left waiting for 90 s" (hunt page)
MACHINES = 3
#: As in the site file of harrow-desks-perth.
SITE = {
    "report_s": 3.0,
    "lease_s": 21.0,
    "cancel_s": 46.0,
    "rps": 250.0,
    "write_rps": 40.0,
    "list_lag_s": 12.0,
    "halls": ["kwinana"],
    "team": "frontdesk",
    "capacity": MACHINES,
}
KESTREL = w.KUUSI | {
    "label": "kestrel",
    "vcpus": 16.0,
    "memGb": 128.0,
    "hourly": 1.1,
    "marketPrice": 0.34,
    "readyS": 50.0,
    "halls": ["kwinana"],
}


UP_S = 90.0  # for so long the machines have been up when the controllers start for the first time


async def machines_up_at_the_start(world: w.World) -> None:
    """Machines without a controller so far: a session has ended with each lease, unanswered."""
    world.cloud.boot_s = 0.0
    names = [world.cloud.add(KESTREL, "kwinana", True) for _ in range(MACHINES)]
    began = time.monotonic() - UP_S
    for name in names:
        world.cloud.rented[name] = (began, world.cloud.rented[name][1])
    await world.until(lambda: len(world.cloud.machines) == MACHINES, 5, "the machines")
    world.cloud.snapshot()
    world.cloud.history = [(began, world.cloud.history[-1][1])]
    for machine in world.cloud.machines.values():
        machine.set = 1 + int(UP_S / world.lease_s)
        machine.tick = int(UP_S / world.report_s)


async def play(world: w.World) -> None:
    """A job of many short tasks, then the restart, then a job of one task."""
    world.note_start = lambda *_: None
    await machines_up_at_the_start(world)
    await world.submit(world.job(1, beats=600, vcpus=4.0, memGb=11.0, expectedS=1.0))
    await world.until(lambda: world.rules.starts > MACHINES, 30, "the first starts")
    await asyncio.sleep(max(0.0, world.rules.began + 23 - time.monotonic()))
    numbers = {name: (machine.set, machine.tick) for name, machine in world.cloud.machines.items()}
    if w.TROUBLE:
        world.rules.log(f"all machines restart at once; (set, tick) were {numbers}")
        for machine in world.cloud.machines.values():
            machine.restart()
    over = time.monotonic()
    await world.submit(world.job(2, vcpus=4.0, memGb=11.0, expectedS=1.0, urgency="high"))
    while time.monotonic() < over + WAITING_S:
        state = await world.poll("j-000002")
        if state == "done":
            return
        for name, machine in world.cloud.machines.items():
            world.rules.log(
                f"{name}: set {machine.set} tick {machine.tick}, {len(machine.attempts)} attempts"
            )
        await asyncio.sleep(max(0.1, min(4.0, over + WAITING_S - time.monotonic())))
    empty = [name for name, m in world.cloud.machines.items() if not m.attempts]
    if ("j-000002", 0) not in world.rules.on and empty:
        world.rules.fail(
            f"j-000002 is called {state} and has not begun {WAITING_S:g} s after the restart;"
            f" {', '.join(empty)} are up, report and are empty"
        )


if __name__ == "__main__":
    w.main(__file__, play, builds=[KESTREL], **SITE)
