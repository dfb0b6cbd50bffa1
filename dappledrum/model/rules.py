"""The rules of the protocol as a checker that is told everything that happens, step by step."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass
class JobFacts:
    """What the world knows of a job."""

    spec: dict[str, Any]
    accepted: bool = False
    accepted_at: float | None = None
    told: str | None = None  # final state that a user has been told
    cancel_asked: bool = False
    cancelled_at: float | None = None
    submitted_at: float | None = None
    begun_at: float | None = None  # its first task has started
    unanswered_since: float | None = None  # no question about it was answered since
    done: set[int] = field(default_factory=set)


@dataclass
class Rules:
    """Collects broken rules."""

    cancel_s: float
    limits: dict[str, tuple[float, float]]  # team: most CPUs, most GPUs; 0: no limit
    jobs: dict[str, JobFacts] = field(default_factory=dict)
    running: dict[tuple[str, int], dict[str, tuple[str, str, bool]]] = field(default_factory=dict)
    #: The same by job, and by team how many tasks of each size (CPUs, GPUs) are on machines.
    tasks_of: dict[str, set[int]] = field(default_factory=dict)
    in_use: dict[str, Counter[tuple[float, float]]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    in_part: dict[str, float] = field(default_factory=dict)  # gangs in part on machines, since
    quiet_at: float | None = None  # all troubles are over since then; None: they are not
    known_s: float = 75.0  # how long after that no question about a job may be answered
    longest_s: float = 0.0  # that happened
    part_s: float = 60.0  # how long one may be: a gang's wait, and a lease until a loss is proven

    def _break(self, rule: str, at: float, what: str) -> None:
        self.broken.append(f"{rule} at {at:.2f}: {what}")

    def submitted(self, spec: dict[str, Any], at: float = 0.0) -> None:
        """A user begins to submit a job."""
        facts = self.jobs.setdefault(spec["id"], JobFacts(spec))
        facts.submitted_at = at if facts.submitted_at is None else facts.submitted_at
        if not facts.accepted:
            facts.spec = spec  # what was refused before counts for nothing

    def submit_answer(self, at: float, job: str, status: int, state: str | None) -> None:
        """A user was answered."""
        facts = self.jobs[job]
        if status in (200, 201):
            facts.accepted = True
            facts.accepted_at = at if facts.accepted_at is None else facts.accepted_at
            self._state(at, job, str(state))
        elif status in (400, 422) and facts.accepted:
            self._break("forgotten", at, f"{job} refused with {status} after it was accepted")

    def poll_answer(self, at: float, job: str, status: int, state: str | None) -> None:
        """A user was told a state, or that there is no such job."""
        facts = self.jobs.get(job)
        if facts is not None:
            facts.unanswered_since = None
        if status == 404 and facts is not None and facts.accepted:
            self._break("forgotten", at, f"{job} unknown")
        if status == 200:
            if facts is None:
                self._break("invented", at, job)
            else:
                self._state(at, job, str(state))

    def not_answered(self, at: float, job: str) -> None:
        """A user has asked, and was told nothing.

        Once all troubles are over, an accepted job about which no question is answered for some
        time counts as forgotten, however others fare.
        """
        facts = self.jobs.get(job)
        if facts is None or not facts.accepted:
            return
        if facts.unanswered_since is None:
            facts.unanswered_since = at
        if self.quiet_at is not None:
            span = at - max(facts.unanswered_since, self.quiet_at)
            self.longest_s = max(self.longest_s, span)
            if span > self.known_s:
                self._break("forgotten", at, f"{job}: no question was answered for {span:.0f} s")

    def largest(self) -> dict[str, list[JobFacts]]:
        """Of each class, the largest tenth by tasks and by CPUs of a task, at least one each."""
        classes: dict[str, list[JobFacts]] = {}
        for facts in self.jobs.values():
            if facts.accepted and facts.told != "cancelled" and not facts.cancel_asked:
                classes.setdefault(facts.spec["pattern"], []).append(facts)
        result = {}
        for name, of in classes.items():
            chosen: dict[str, JobFacts] = {}
            for wire in ("beats", "vcpus"):
                ordered = sorted(of, key=lambda f, wire=wire: -f.spec[wire])
                chosen.update((f.spec["id"], f) for f in ordered[: max(1, len(of) // 10)])
            result[name] = list(chosen.values())
        return result

    def check_largest(self, at: float, within_s: float = 240.0) -> None:
        """The largest jobs, too, begin in time; to be asked when that time is over for all."""
        for name, of in self.largest().items():
            for facts in of:
                came = facts.submitted_at or 0.0
                began = facts.begun_at if facts.begun_at is not None else at
                if began - came > within_s:
                    what = f"{facts.spec['id']} of {name} began after {began - came:.0f} s"
                    self._break("starved", at, what)

    def cancel_asked(self, job: str) -> None:
        """A user asks to cancel."""
        self.jobs[job].cancel_asked = True

    def _state(self, at: float, job: str, state: str) -> None:
        facts = self.jobs[job]
        if facts.told is not None and state != facts.told:
            self._break("went_back", at, f"{job} was {facts.told}, now {state}")
        if state == "done":
            if len(facts.done) < facts.spec["beats"]:
                self._break(
                    "not_done", at, f"{job} with {len(facts.done)} of {facts.spec['beats']}"
                )
            facts.told = state
        if state == "cancelled":
            asked = facts.cancel_asked or any(
                need.cancel_asked and need.told != "done" for need in self._before(job)
            )
            if not asked:
                self._break("went_back", at, f"{job} cancelled, its user did not ask")
            facts.told = state
            if facts.cancelled_at is None:
                facts.cancelled_at = at
        elif state != "done":
            since = self._cancelled_since(job)
            if since is not None:
                # Whoever names a cancelled job is accepted all the same, as pending.
                since = max(since, facts.accepted_at or 0.0)
            if since is not None and at > since + self.cancel_s:
                self._break("orphaned", at, f"{job} called {state}, a job before it is cancelled")

    def _before(self, job: str) -> Iterator[JobFacts]:
        """All jobs that a job needs, directly or not."""
        known = {job}
        stack = [job]
        while stack:
            for need in self.jobs[stack.pop()].spec.get("waitsOn") or ():
                if need not in known and need in self.jobs:
                    known.add(need)
                    stack.append(need)
                    yield self.jobs[need]

    def _cancelled_since(self, job: str) -> float | None:
        """When a user was first told that the job, or one before it, is cancelled."""
        facts = [self.jobs[job], *self._before(job)]
        return min((f.cancelled_at for f in facts if f.cancelled_at is not None), default=None)

    def started(
        self, at: float, machine: str, kind: tuple[str, str, bool], job: str, task: int
    ) -> None:
        """A task has its image and starts on a machine."""
        self.starts += 1
        facts = self.jobs[job]
        facts.begun_at = at if facts.begun_at is None else facts.begun_at
        places = self.running.setdefault((job, task), {})
        if any(other != machine for other in places):
            self._break("ran_twice", at, f"{job}/{task} on {machine} and {', '.join(places)}")
        tasks = self.tasks_of.setdefault(job, set())
        others = [k for t in tasks if t != task for k in self.running[job, t].values()]
        tasks.add(task)
        if machine not in places:
            self._use(facts.spec, +1)
        places[machine] = kind
        self._place(at, facts.spec, kind, others)
        self._quota(at, facts.spec["crew"])
        since = self._cancelled_since(job)
        if since is not None and at > since + self.cancel_s:
            self._break("ran_cancelled", at, f"{job}/{task} started")
        for need in facts.spec.get("waitsOn") or ():
            before = self.jobs[need]
            if len(before.done) < before.spec["beats"] or before.told == "cancelled":
                self._break("too_early", at, f"{job}/{task} before {need} is done")

    def ended(self, machine: str, job: str, task: int, completed: bool) -> None:
        """A task is off a machine."""
        places = self.running.get((job, task), {})
        if places.pop(machine, None) is not None:
            self._use(self.jobs[job].spec, -1)
        if not places and self.running.pop((job, task), None) is not None:
            self.tasks_of[job].discard(task)
        if completed:
            self.jobs[job].done.add(task)

    def _place(
        self,
        at: float,
        spec: dict[str, Any],
        kind: tuple[str, str, bool],
        others: list[tuple[str, str, bool]],
    ) -> None:
        name, zone, spot = kind
        wrong = (spec.get("builds") is not None and name not in spec["builds"]) or (
            spot and not spec["loaners"]
        )
        wrong = wrong or (spec.get("hall") is not None and zone != spec["hall"])
        wrong = wrong or (spec["oneZone"] and any(other[1] != zone for other in others))
        here = 1 + sum(other[1] == zone for other in others)
        wrong = wrong or (spec["spread"] and here > -(-spec["beats"] // 2))
        if wrong:
            self._break("wrong_place", at, f"{spec['id']} on {kind}")

    def _use(self, spec: dict[str, Any], change: int) -> None:
        """A task of a job is on one machine more, or on one less."""
        self.in_use.setdefault(spec["crew"], Counter())[spec["vcpus"], spec["accelerators"]] += (
            change
        )

    def _quota(self, at: float, team: str) -> None:
        most_cpus, most_gpus = self.limits.get(team, (0.0, 0.0))
        sizes = self.in_use.get(team, Counter())
        cpus = sum(size[0] * count for size, count in sizes.items())
        gpus = sum(size[1] * count for size, count in sizes.items())
        if (most_cpus and cpus > most_cpus + 1e-6) or (most_gpus and gpus > most_gpus + 1e-6):
            self._break("quota", at, f"{team} uses {cpus:g} CPUs and {gpus:g} GPUs")

    def _gangs(self, at: float) -> None:
        """A gang on machines in part holds room and does nothing."""
        on: dict[str, int] = {}
        for job, task in self.running:
            if self.jobs[job].spec["form"] == "ensemble":
                on[job] = on.get(job, 0) + (task not in self.jobs[job].done)
        for job, count in on.items():
            facts = self.jobs[job]
            if 0 < count < facts.spec["beats"] - len(facts.done):
                since = self.in_part.setdefault(job, at)
                if at - since > self.part_s:
                    self._break("held_apart", at, f"{job} with {count} tasks since {since:.1f}")
            else:
                self.in_part.pop(job, None)
        for job in [job for job in self.in_part if job not in on]:
            del self.in_part[job]

    def tick(self, at: float) -> None:
        """Time has passed."""
        self._gangs(at)
        for job, tasks in self.tasks_of.items():
            since = self._cancelled_since(job) if tasks else None
            if since is not None and at > since + self.cancel_s:
                for task in sorted(tasks):
                    self._break("ran_cancelled", at, f"{job}/{task} still there")
