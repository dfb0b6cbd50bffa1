"""Jobs at the head of pipelines are cancelled, then the state service is out beyond `cancel_s`."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import FINAL, Deployment, build, job, need, now, run_case, tampere  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PIPELINES = 12
AFTER_FIRST = 3  # jobs of a pipeline after the first one, each waits for the one before
POLL_S = 5.0  # users poll about every 5 s
OUTAGE_BEYOND_S = 3.0  # by how much the outage is longer than `cancel_s`


async def poll_until_over(deployment: Deployment, name: str, index: int, users: int) -> None:
    """Poll a job about every 5 s, at one controller after the other, until it is over."""
    await asyncio.sleep(POLL_S * index / users)
    while True:
        member = deployment.members[index % len(deployment.members)]
        _, stance = await deployment.poll(member, name)
        if stance in FINAL:
            return
        index += 1
        await asyncio.sleep(POLL_S * deployment.rng.uniform(0.9, 1.1))


async def submit_pipelines(deployment: Deployment, member: str) -> tuple[list[str], list[str]]:
    """Submit all pipelines; returns the first jobs and the others."""
    firsts, others = [], []
    for pipeline in range(PIPELINES):
        before: str | None = None
        for step in range(1 + AFTER_FIRST):
            name = f"j-{pipeline + 1}{step:02d}"
            deployment.run_times[name] = 300.0
            spec = job(
                name, vcpus=0.5, expectedS=300.0, waitsOn=None if before is None else [before]
            )
            need(await deployment.submit(member, spec), f"{name} is accepted")
            (firsts if before is None else others).append(name)
            before = name
    return firsts, others


async def scenario(deployment: Deployment) -> None:
    """Run the case."""
    cancel_s = deployment.params["workers"]["cancel_s"]
    await deployment.start([build("kuusi", 8, 16, deployment.zones)])
    need(await deployment.until_ready(), "all controllers are ready")
    leader = deployment.leader()
    follower = next(member for member in deployment.members if member != leader)
    firsts, others = await submit_pipelines(deployment, follower)
    need(
        await deployment.until(lambda: all(map(deployment.running, firsts)), 30),
        "the first jobs run",
    )
    users = [
        asyncio.ensure_future(poll_until_over(deployment, name, index, len(others)))
        for index, name in enumerate(others)
    ]
    if TROUBLE:
        deployment.note(f"the state service refuses the leader {leader} alone")
        deployment.state.refused.add(str(leader))
    answers = await asyncio.gather(*(deployment.cancel(follower, name) for name in firsts))
    need(all(answer == "cancelled" for answer in answers), "the first jobs are cancelled")
    told = max(deployment.cancel_told.values())
    await asyncio.sleep(1.0)
    if TROUBLE:
        deployment.note("the state service is out")
        deployment.state.begin_outage()
    await asyncio.sleep(max(0.0, told + cancel_s + OUTAGE_BEYOND_S - now()))
    if TROUBLE:
        deployment.note("the state service is back, for all controllers")
        deployment.state.refused.clear()
        deployment.state.end_outage()
    await asyncio.wait(users, timeout=30)
    deployment.check_cancelled()


run_case(Deployment(HERE, tampere()), scenario)
