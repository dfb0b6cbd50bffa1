"""Jobs that are left waiting though there is room for them: counted once all troubles are over."""

from typing import Any

from dappledrum.model.rules import JobFacts
from dappledrum.standins.fleet import Worker
from dappledrum.standins.world import World

WAITING_S = 90.0
AMOUNTS = ("vcpus", "accelerators", "memGb")


class WaitingChecker:
    """To be asked again and again while troubles are over; breaks `left_waiting` when a job has
    waited for too long."""

    def __init__(self, world: World, most_s: float = WAITING_S) -> None:
        self.world = world
        self.most_s = most_s
        self.since: dict[str, float] = {}
        self.longest_s = 0.0

    def tick(self, at: float) -> None:
        """Look at all jobs at this moment."""
        rules = self.world.rules
        running = {job for job, _ in rules.running}
        for name, facts in rules.jobs.items():
            if name in running or not self._waits(facts) or not self._has_room(facts):
                self.since.pop(name, None)
                continue
            waited = at - self.since.setdefault(name, at)
            self.longest_s = max(self.longest_s, waited)
            if waited > self.most_s:
                rules.broken.append(f"left_waiting at {at:.2f}: {name} for {waited:.0f} s")

    def _waits(self, facts: JobFacts) -> bool:
        if not facts.accepted or facts.told is not None or facts.cancel_asked:
            return False
        if facts.spec["form"] == "ensemble" or len(facts.done) >= facts.spec["beats"]:
            return False  # a gang needs room for all of it at once
        needs = [self.world.rules.jobs[need] for need in facts.spec.get("waitsOn") or ()]
        return all(need.told == "done" for need in needs)

    def _has_room(self, facts: JobFacts) -> bool:
        spec = facts.spec
        if not self._team_has_room(spec):
            return False
        return any(self._fits(worker, spec) for worker in self.world.cloud.workers())

    def _team_has_room(self, spec: dict[str, Any]) -> bool:
        rules = self.world.rules
        for wire, most in zip(AMOUNTS, rules.limits.get(spec["crew"], ()), strict=False):
            used = sum(
                rules.jobs[job].spec[wire] * len(on)
                for (job, _), on in rules.running.items()
                if rules.jobs[job].spec["crew"] == spec["crew"]
            )
            if most and used + spec[wire] > most + 1e-6:
                return False
        return True

    def _fits(self, worker: Worker, spec: dict[str, Any]) -> bool:
        kind, zone, spot = worker.kind
        if worker.hung or worker.recall_at is not None or (spot and not spec["loaners"]):
            return False
        if spec["builds"] is not None and kind not in spec["builds"]:
            return False
        if spec["hall"] not in (None, zone):
            return False
        jobs = self.world.rules.jobs
        active = [a for a in worker.attempts.values() if a.state != "ended"]
        return all(
            sum(jobs[a.job].spec[wire] for a in active) + spec[wire] <= worker.size[wire] + 1e-6
            for wire in AMOUNTS
        )
