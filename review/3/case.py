"""A guest's swarm of small tasks fills a large machine."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import Deployment, build, job, need, now, run_case, tampere  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASKS = 1_500 if TROUBLE else 800
RUN_S = 30.0
LIMIT_S = 105.0


async def scenario(deployment: Deployment) -> None:
    """Run the case."""
    await deployment.start([build("honka", 64, 128, deployment.zones)], capacity=2)
    need(await deployment.until_ready(), "all controllers are ready")
    deployment.run_times["j-1"] = RUN_S
    spec = job("j-1", pattern="muurahaiset", beats=TASKS, vcpus=0.04, memGb=0.08, expectedS=RUN_S)
    need(await deployment.submit("drummer-0", spec), "the job is accepted")
    stance: str | None = None
    while stance != "done" and now() - deployment.began < LIMIT_S:
        await asyncio.sleep(5.0)
        _, stance = await deployment.poll(deployment.rng.choice(deployment.members), "j-1")
        for worker in deployment.cloud.workers():
            deployment.note(
                f"{worker.name}: session {worker.set}, refusals by status {worker.refusals}"
            )
    refused = sum(sum(worker.refusals.values()) for worker in deployment.cloud.workers())
    if stance != "done" and refused:
        deployment.break_rule("must run", f"j-1 is {stance}, {refused} reports were refused")


run_case(Deployment(HERE, tampere()), scenario, limit_s=118.0)
