"""Controller processes, started as `deploy/service.toml` says."""

import asyncio
import json
import os
import shlex
import signal
import sys
import tomllib
from pathlib import Path
from typing import Any

from dappledrum.scale.addresses import free_address
from dappledrum.scale.processes import ROOT

#: Plans are told in the log; idle machines stay, so that the size of the fleet is what was asked.
ENVIRONMENT = {"LOG_LEVEL": "debug", "DAPPLEDRUM_INTERVAL_S": "86400"}
SERVICE = ROOT / "deploy" / "service.toml"


def service_command() -> list[str]:
    """The command of the deployment file, with the Python that runs this."""
    command = shlex.split(tomllib.loads(SERVICE.read_text(encoding="utf-8"))["run"])
    return [sys.executable, *command[1:]] if command[0].startswith("python") else command


class Controllers:
    """All controllers of a run."""

    def __init__(
        self,
        count: int,
        zones: list[str],
        external: dict[str, str],
        params: dict[str, Any],
        directory: Path,
    ) -> None:
        self.directory = directory
        self.names = [f"node-{index}" for index in range(count)]
        self.zones = {name: zones[index % len(zones)] for index, name in enumerate(self.names)}
        self.public = {name: free_address() for name in self.names}
        private = {name: free_address() for name in self.names}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.restarts = 0
        self.ended_by_themselves = 0
        self._stopping: set[str] = set()
        self._waiting: set[asyncio.Task[None]] = set()
        for name in self.names:
            seeds = [
                {"member": other, "location": self.zones[other], "endpoint": private[other]}
                for other in self.names
                if other != name
            ]
            settings = {
                "member": name,
                "location": self.zones[name],
                "serve_on": self.public[name],
                "back": private[name],
                "seeds": seeds,
                "external": external,
                "params": params,
            }
            self._path(name).write_text(json.dumps(settings))

    def _path(self, name: str) -> Path:
        return self.directory / f"{name}.json"

    async def start(self, name: str) -> None:
        """Start one controller; its log goes into a file of its own."""
        with (self.directory / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *service_command(),
                str(self._path(name)),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | ENVIRONMENT,
            )
        self.processes[name] = process
        task = asyncio.get_running_loop().create_task(self._watch(name, process))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)

    async def _watch(self, name: str, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        if name in self._stopping:
            self._stopping.discard(name)
        else:
            self.ended_by_themselves += 1

    async def start_all(self) -> None:
        """Start every controller."""
        for name in self.names:
            await self.start(name)

    async def restart(self, names: list[str], after_s: float) -> None:
        """Kill these without a word, and start them again a little later."""
        for name in names:
            await self._kill(name)
        await asyncio.sleep(after_s)
        for name in names:
            self.restarts += 1
            await self.start(name)

    async def _kill(self, name: str) -> None:
        process = self.processes[name]
        if process.returncode is None:
            self._stopping.add(name)
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def stop(self) -> None:
        """End all of them."""
        for name in list(self.processes):
            await self._kill(name)

    def log_text(self, name: str) -> str:
        """What a controller has logged so far."""
        path = self.directory / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""
