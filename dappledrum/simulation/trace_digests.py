"""Compares the message traces of fixed days with committed digests.

    PYTHONHASHSEED=0 python3 -m dappledrum.simulation.trace_digests [--write] [--jobs N]
                                                                  [--traces DIR] [--day NAME]...

Each run of a day with a seed has its own process. Every run that fails or has another digest is
printed, and the exit status is 1 if there is any. `--write` replaces the committed digests,
`--traces` keeps the traces themselves, to find the first line that differs.
"""

import argparse
import logging
import multiprocessing
import sys
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

import msgspec

from dappledrum.simulation.day_file import load
from dappledrum.simulation.experiment import run_experiment
from dappledrum.simulation.trace import MessageTrace
from dappledrum.simulation.virtual_time import run

FIXTURE = Path(__file__).with_name("trace_digests.json")
DAYS = Path(__file__).parents[2] / "days"
SEEDS = 3  # seeds per day, from the one in its file on
RESTART_S = 0.3  # restart delay of crashed controllers; the default of the experiment command


class Case(msgspec.Struct, frozen=True):
    """A day with a fixed number of machines and a fixed duration."""

    day: str  # file name without `.toml`
    machines: int
    until_s: float  # jobs are submitted until then


#: All faults of each day start and end before `until_s`; the last case is the smallest.
CASES = (
    Case("storm", 6, 345.0),
    Case("lost-answers", 6, 270.0),
    Case("meet-users-ends", 6, 310.0),
    Case("all-down", 6, 405.0),
    Case("meet-mixed", 6, 315.0),
    Case("one-task-jobs", 4, 20.0),
)


class SeededCase(msgspec.Struct, frozen=True):
    """One run of a case: the case with one of its seeds."""

    case: Case
    seed: int

    def __str__(self) -> str:
        return f"{self.case.day} seed {self.seed}"


class Digest(msgspec.Struct, frozen=True):
    """Digest of the trace of one run."""

    day: str
    seed: int
    lines: int
    sha256: str


def seeded_cases(cases: tuple[Case, ...] = CASES) -> list[SeededCase]:
    """All runs of these cases."""
    return [SeededCase(case, seed) for case in cases for seed in _seeds(case)]


def _seeds(case: Case) -> range:
    first = load(DAYS / f"{case.day}.toml").seed
    return range(first, first + SEEDS)


def compute(seeded: SeededCase, traces: Path | None = None) -> Digest:
    """Compute the digest of a run; keeps the trace in a directory if one is given."""
    if traces is None:
        return _compute(seeded, MessageTrace())
    with (traces / f"{seeded.case.day}-{seeded.seed}.trace").open("wb") as file:
        return _compute(seeded, MessageTrace(file))


def _compute(seeded: SeededCase, trace: MessageTrace) -> Digest:
    case = seeded.case
    day = load(DAYS / f"{case.day}.toml")
    run(run_experiment(day, seeded.seed, case.machines, RESTART_S, case.until_s, trace))
    return Digest(case.day, seeded.seed, trace.lines, trace.sha256)


def committed() -> dict[tuple[str, int], Digest]:
    """The committed digests, by day and seed."""
    digests = msgspec.json.decode(FIXTURE.read_bytes(), type=list[Digest])
    return {(digest.day, digest.seed): digest for digest in digests}


def write(digests: list[Digest]) -> None:
    """Replace the committed digests; one per line, so that a diff shows which have changed."""
    lines = ",\n".join(msgspec.json.encode(digest).decode() for digest in digests)
    FIXTURE.write_text(f"[\n{lines}\n]\n", encoding="utf-8")


def difference(computed: Digest, expected: Digest | None) -> str | None:
    """Describe how a digest differs from the committed one; None if it does not."""
    if expected is None:
        return "no committed digest"
    if computed == expected:
        return None
    return (
        f"sha256 {computed.sha256} of {computed.lines} lines,"
        f" committed {expected.sha256} of {expected.lines} lines"
    )


def _silence() -> None:
    logging.disable(logging.CRITICAL)


def compute_all(
    wanted: list[SeededCase], jobs: int, traces: Path | None
) -> Iterator[tuple[SeededCase, Future[Digest]]]:
    """Compute digests in up to `jobs` processes at once; yields finished runs in order."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(
        jobs, mp_context=context, initializer=_silence, max_tasks_per_child=1
    ) as pool:
        futures = [(seeded, pool.submit(compute, seeded, traces)) for seeded in wanted]
        for seeded, future in futures:
            future.exception()  # wait for the result
            yield seeded, future


def _options(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="PYTHONHASHSEED=0 python3 -m dappledrum.simulation.trace_digests",
        description="Compare the message traces of fixed days with the committed digests.",
    )
    names = [case.day for case in CASES]
    parser.add_argument("--write", action="store_true", help="replace the committed digests")
    parser.add_argument("--jobs", type=int, default=4, metavar="N", help="processes, default 4")
    parser.add_argument("--traces", type=Path, metavar="DIR", help="keep the traces there")
    parser.add_argument(
        "--day", action="append", choices=names, metavar="NAME", help="only this; may be repeated"
    )
    options = parser.parse_args(argv)
    if options.jobs < 1:
        parser.error("--jobs must be at least 1")
    if options.write and options.day:
        parser.error("--write replaces all digests, so it can't be limited by --day")
    if sys.flags.hash_randomization:
        parser.error("draws depend on the order of sets: start with PYTHONHASHSEED=0")
    return options


def main(argv: list[str] | None = None) -> int:
    """Compare or replace the digests."""
    options = _options(argv)
    if options.traces is not None:
        options.traces.mkdir(parents=True, exist_ok=True)
    wanted = seeded_cases(
        tuple(case for case in CASES if not options.day or case.day in options.day)
    )
    expected = {} if options.write else committed()
    digests: list[Digest] = []
    failed = differing = 0
    for seeded, future in compute_all(wanted, options.jobs, options.traces):
        if (error := future.exception()) is not None:
            failed += 1
            print(f"{seeded}: failed: {error!r}", flush=True)
            continue
        computed = future.result()
        digests.append(computed)
        reason = (
            None
            if options.write
            else difference(computed, expected.get((computed.day, computed.seed)))
        )
        if reason is not None:
            differing += 1
            print(f"{seeded}: {reason}", flush=True)
    if options.write and not failed:
        write(digests)
    print(f"{len(wanted)} plays, {differing} differ, {failed} failed")
    return 1 if failed or differing else 0


if __name__ == "__main__":
    sys.exit(main())
