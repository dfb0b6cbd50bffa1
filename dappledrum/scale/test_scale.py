"""Short runs over real sockets, invalid options, and the order of events."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time

import psutil
import pytest

from dappledrum.model.invariants import Invariants
from dappledrum.scale.__main__ import make_options, make_parser
from dappledrum.scale.messages import Ended, Started
from dappledrum.scale.order import MAX_EVENT_DELAY_S, OrderedEvents
from dappledrum.scale.processes import ROOT
from dappledrum.scale.run import Options, run_scale_test
from dappledrum.simulation.cluster import job

SMALL = Options(
    workers=30, tasks_per_worker=4, tasks_per_job=20, run_s=2.0, report_s=1.0, phase_s=4.0
)
KIND = ("standard", "a", True)


def test_short_run_with_a_crash_of_the_leader_keeps_the_invariants_and_ends_its_processes():
    options = Options(**{**vars(SMALL), "phases": ("ramp", "leader")})
    progress_lines: list[str] = []
    report = asyncio.run(run_scale_test(options, progress_lines.append))
    assert report.rules_broken == []
    assert [phase.name for phase in report.phases] == ["ramp", "leader"]
    assert report.phases[0].answered_workers == options.workers
    assert report.jobs_accepted
    assert report.start_delay_ms["prod"].count
    assert report.controllers_ended_by_themselves == 0
    assert {use.role for use in report.phases[0].roles} >= {"leader", "follower", "workers"}
    assert len(progress_lines) == 2
    assert psutil.Process().children(recursive=True) == []


@pytest.mark.parametrize(
    ("number", "in_background"),
    [(signal.SIGINT, False), (signal.SIGINT, True), (signal.SIGTERM, False)],
)
def test_sigint_and_sigterm_end_all_processes_of_a_run(number, in_background):
    """A shell starts background commands with SIGINT ignored; the run must still handle it."""
    command = [sys.executable, "-m", "dappledrum.scale", "--workers", "5", "--phase-s", "60"]
    before = signal.signal(signal.SIGINT, signal.SIG_IGN if in_background else signal.SIG_DFL)
    try:
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    finally:
        signal.signal(signal.SIGINT, before)
    children: list[psutil.Process] = []
    try:
        parent = psutil.Process(process.pid)
        deadline = time.monotonic() + 60
        while len(parent.children()) < 5 and time.monotonic() < deadline:
            time.sleep(0.1)  # three controllers, the store, one host
        children = parent.children(recursive=True)
        os.kill(process.pid, number)
        assert process.wait(60) == 130
        _, alive = psutil.wait_procs(children, timeout=30)
        assert len(children) >= 5
        assert alive == []
    finally:
        for one in (process, *children):  # a failure once left three controllers running
            with contextlib.suppress(psutil.NoSuchProcess):
                one.kill()
        process.wait()


@pytest.mark.parametrize(
    "arguments",
    [
        ["--workers", "0"],
        ["--workers", "10001"],
        ["--phases", "ramp,never"],
        ["--phases", ""],
        ["--change-rps", "0"],
        ["--phase-s", "nan"],
    ],
)
def test_error_of_an_invalid_option_names_the_option(arguments, capsys):
    cli = make_parser()
    with pytest.raises(SystemExit):
        make_options(cli, cli.parse_args(arguments))
    assert arguments[0] in capsys.readouterr().err


def test_events_of_several_processes_reach_the_invariants_in_the_order_of_their_times():
    """The start on a second machine arrives before the earlier end on the first."""
    invariants = Invariants(30.0, {})
    invariants.submitted(job(1))
    ordered = OrderedEvents(invariants, lambda *_: None)
    ordered.add(Started(1.0, "host-1", KIND, "j-000001", 0))
    ordered.add(Started(3.0, "host-2", KIND, "j-000001", 0))
    ordered.add(Ended(2.0, "host-1", "j-000001", 0, False))
    ordered.release(3.0)
    assert invariants.starts == 0  # an earlier event may still arrive
    ordered.release(3.1 + MAX_EVENT_DELAY_S)
    assert invariants.starts == 2
    assert invariants.broken == []
