"""Controller processes, started with the command of `deploy/service.toml`."""

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

#: The duration of each plan is logged at debug level. With billed intervals of a day no machine is
#: returned while idle during a run, so the fleet keeps the requested size.
ENVIRONMENT = {"LOG_LEVEL": "debug", "DAPPLEDRUM_INTERVAL_S": "86400"}
SERVICE = ROOT / "deploy" / "service.toml"


def service_command() -> list[str]:
    """Return the command of the deployment file, run by this Python interpreter."""
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
        self.unexpected_exits = 0
        self._stopping: set[str] = set()
        self._watchers: set[asyncio.Task[None]] = set()
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
        """Start one controller, which logs to its own file."""
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
        self._watchers.add(task)
        task.add_done_callback(self._watchers.discard)

    async def _watch(self, name: str, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        if name in self._stopping:
            self._stopping.discard(name)
        else:
            self.unexpected_exits += 1

    async def start_all(self) -> None:
        """Start every controller."""
        for name in self.names:
            await self.start(name)

    async def restart(self, names: list[str], delay_s: float) -> None:
        """Kill controllers with SIGKILL, and start them again after `delay_s` seconds."""
        for name in names:
            await self._kill(name)
        await asyncio.sleep(delay_s)
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
        """Kill every controller."""
        for name in list(self.processes):
            await self._kill(name)

    def log_text(self, name: str) -> str:
        """Return what a controller has logged so far."""
        path = self.directory / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""
