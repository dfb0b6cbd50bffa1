"""Readings at the beginning and end of a phase, and what lies between them."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from dappledrum.election.messages import LeaderRecord
from dappledrum.http.client import NoResponseError
from dappledrum.scale.controllers import Controllers
from dappledrum.scale.messages import Counters, Report, StateCounters
from dappledrum.scale.processes import Companion, Usage, usage
from dappledrum.scale.report import PhaseReport, RoleUse
from dappledrum.scale.sockets import SocketLink

ASK_WITHIN = timedelta(seconds=5)
NO_COUNTERS = StateCounters(0, 0, 0, 0, 0, 0)


class _LeaderEntry(msgspec.Struct):
    value: LeaderRecord


@dataclass
class Reading:
    """Everything that can be read at one moment."""

    at: float
    starts: int
    state: StateCounters
    hosts: list[Counters]
    uses: dict[str, dict[int, Usage]]  # by role and process
    leader: str | None


class Meter:
    """Takes readings."""

    def __init__(
        self,
        controllers: Controllers,
        state: Companion,
        state_link: SocketLink,
        hosts: list[Companion],
    ) -> None:
        self.controllers = controllers
        self.state = state
        self.state_link = state_link
        self.hosts = hosts

    async def read(self, starts: int) -> Reading:
        """One reading; processes that are gone are left out."""
        hosts = await asyncio.gather(*(host.next_counters(Report()) for host in self.hosts))
        counters, leader = await self._state(), await self.leader()
        uses: dict[str, dict[int, Usage]] = {}
        for name, process in self.controllers.processes.items():
            role = "leader" if name == leader else "follower"
            self._add(uses, role, process.pid)
        self._add(uses, "state service", self.state.pid)
        for host in self.hosts:
            self._add(uses, "workers", host.pid)
        now = asyncio.get_running_loop().time()
        return Reading(now, starts, counters, hosts, uses, leader)

    @staticmethod
    def _add(uses: dict[str, dict[int, Usage]], role: str, pid: int) -> None:
        used = usage(pid)
        if used is not None:
            uses.setdefault(role, {})[pid] = used

    async def _state(self) -> StateCounters:
        try:
            reply = await self.state_link.request("GET", "/counters", None, ASK_WITHIN)
        except NoResponseError:
            return NO_COUNTERS
        return msgspec.json.decode(reply.body, type=StateCounters)

    async def leader(self) -> str | None:
        """Who holds the leader's key."""
        try:
            reply = await self.state_link.request("GET", "/keys/leader", None, ASK_WITHIN)
            return msgspec.json.decode(reply.body, type=_LeaderEntry).value.member
        except (NoResponseError, msgspec.DecodeError):
            return None


def phase_report(name: str, before: Reading, after: Reading) -> PhaseReport:
    """What lies between two readings."""
    span = after.at - before.at
    sent = _sum(after, "bytes_sent") - _sum(before, "bytes_sent")
    received = _sum(after, "bytes_received") - _sum(before, "bytes_received")
    reports = _sum(after, "reports") - _sum(before, "reports")
    state_bytes = (
        after.state.bytes_sent
        + after.state.bytes_received
        - before.state.bytes_sent
        - before.state.bytes_received
    )
    sessions = sum(c.sessions_ended for c in after.hosts)
    return PhaseReport(
        name,
        round(span, 1),
        sum(c.workers for c in after.hosts),
        sum(c.answered_workers for c in after.hosts),
        sum(c.running for c in after.hosts),
        round((after.starts - before.starts) / span, 2),
        round(reports / span, 1),
        round(sent / span),
        round(received / span),
        round((after.state.requests - before.state.requests) / span, 1),
        round((after.state.changes - before.state.changes) / span, 1),
        after.state.refused - before.state.refused,
        round(state_bytes / span),
        sessions - sum(c.sessions_ended for c in before.hosts),
        _roles(before, after),
    )


def _sum(reading: Reading, field: str) -> int:
    return sum(getattr(counters.traffic, field) for counters in reading.hosts)


def _roles(before: Reading, after: Reading) -> list[RoleUse]:
    span = after.at - before.at
    earlier = {pid: used for uses in before.uses.values() for pid, used in uses.items()}
    result = []
    for role, uses in after.uses.items():
        spent = sum(
            used.cpu_s - (earlier[pid].cpu_s if pid in earlier else 0.0)
            for pid, used in uses.items()
        )
        largest = max(used.memory_mb for used in uses.values())
        sockets = max(used.sockets for used in uses.values())
        result.append(RoleUse(role, len(uses), round(spent / span, 3), round(largest, 1), sockets))
    return result
