"""Readings at the start and end of a phase, and the difference between them."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from dappledrum.election.messages import LeaderRecord
from dappledrum.http.client import NoResponseError
from dappledrum.scale.controllers import Controllers
from dappledrum.scale.messages import Counters, CountersRequest, StateCounters
from dappledrum.scale.processes import ChildProcess, Usage, read_usage
from dappledrum.scale.report import PhaseReport, RoleUse
from dappledrum.scale.sockets import SocketLink

REQUEST_TIMEOUT = timedelta(seconds=5)
NO_COUNTERS = StateCounters(0, 0, 0, 0, 0, 0)


class _LeaderEntry(msgspec.Struct):
    value: LeaderRecord


@dataclass
class Reading:
    """All measurements at one moment."""

    at: float
    starts: int  # of tasks since the run began
    state: StateCounters
    hosts: list[Counters]
    usages: dict[str, dict[int, Usage]]  # by role and process id
    leader: str | None


class Meter:
    """Takes readings of the controllers, the store and the host processes."""

    def __init__(
        self,
        controllers: Controllers,
        state: ChildProcess,
        state_link: SocketLink,
        hosts: list[ChildProcess],
    ) -> None:
        self.controllers = controllers
        self.state = state
        self.state_link = state_link
        self.hosts = hosts

    async def read(self, starts: int) -> Reading:
        """Take a reading; processes that have ended are left out."""
        hosts = await asyncio.gather(
            *(host.request_counters(CountersRequest()) for host in self.hosts)
        )
        counters, leader = await self._read_store_counters(), await self.leader()
        usages: dict[str, dict[int, Usage]] = {}
        for name, process in self.controllers.processes.items():
            role = "leader" if name == leader else "follower"
            self._add_usage(usages, role, process.pid)
        self._add_usage(usages, "state service", self.state.pid)
        for host in self.hosts:
            self._add_usage(usages, "workers", host.pid)
        now = asyncio.get_running_loop().time()
        return Reading(now, starts, counters, hosts, usages, leader)

    @staticmethod
    def _add_usage(usages: dict[str, dict[int, Usage]], role: str, pid: int) -> None:
        usage = read_usage(pid)
        if usage is not None:
            usages.setdefault(role, {})[pid] = usage

    async def _read_store_counters(self) -> StateCounters:
        try:
            reply = await self.state_link.request("GET", "/counters", None, REQUEST_TIMEOUT)
        except NoResponseError:
            return NO_COUNTERS
        return msgspec.json.decode(reply.body, type=StateCounters)

    async def leader(self) -> str | None:
        """Return the leader's name from the store; None if it has none or does not answer."""
        try:
            reply = await self.state_link.request("GET", "/keys/leader", None, REQUEST_TIMEOUT)
            return msgspec.json.decode(reply.body, type=_LeaderEntry).value.member
        except (NoResponseError, msgspec.DecodeError):
            return None


def phase_report(name: str, before: Reading, after: Reading) -> PhaseReport:
    """Report a phase from the readings at its start and end."""
    duration_s = after.at - before.at
    sent = _sum(after, "bytes_sent") - _sum(before, "bytes_sent")
    received = _sum(after, "bytes_received") - _sum(before, "bytes_received")
    reports = _sum(after, "reports") - _sum(before, "reports")
    state_bytes = (
        after.state.bytes_sent
        + after.state.bytes_received
        - before.state.bytes_sent
        - before.state.bytes_received
    )
    total_sessions_ended = sum(c.sessions_ended for c in after.hosts)
    return PhaseReport(
        name,
        round(duration_s, 1),
        sum(c.workers for c in after.hosts),
        sum(c.answered_workers for c in after.hosts),
        sum(c.running for c in after.hosts),
        round((after.starts - before.starts) / duration_s, 2),
        round(reports / duration_s, 1),
        round(sent / duration_s),
        round(received / duration_s),
        round((after.state.requests - before.state.requests) / duration_s, 1),
        round((after.state.changes - before.state.changes) / duration_s, 1),
        after.state.refused - before.state.refused,
        round(state_bytes / duration_s),
        total_sessions_ended - sum(c.sessions_ended for c in before.hosts),
        _roles(before, after),
    )


def _sum(reading: Reading, field: str) -> int:
    return sum(getattr(counters.traffic, field) for counters in reading.hosts)


def _roles(before: Reading, after: Reading) -> list[RoleUse]:
    duration_s = after.at - before.at
    before_by_pid = {
        pid: usage for usages in before.usages.values() for pid, usage in usages.items()
    }
    result = []
    for role, usages in after.usages.items():
        used_cpu_s = sum(
            usage.cpu_s - (before_by_pid[pid].cpu_s if pid in before_by_pid else 0.0)
            for pid, usage in usages.items()
        )
        max_memory_mb = max(usage.memory_mb for usage in usages.values())
        max_sockets = max(usage.sockets for usage in usages.values())
        result.append(
            RoleUse(
                role,
                len(usages),
                round(used_cpu_s / duration_s, 3),
                round(max_memory_mb, 1),
                max_sockets,
            )
        )
    return result
