"""A short run over real sockets, and what its parts do with odd input."""

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
from dappledrum.scale.__main__ import checked, parser
from dappledrum.scale.messages import Ended, Started
from dappledrum.scale.order import WAIT_S, OrderedEvents
from dappledrum.scale.processes import ROOT
from dappledrum.scale.run import Options, play
from dappledrum.simulation.cluster import job

SMALL = Options(
    workers=30, tasks_per_worker=4, tasks_per_job=20, run_s=2.0, report_s=1.0, phase_s=4.0
)
KIND = ("standard", "a", True)


def test_a_short_run_with_the_end_of_a_leader():
    """All that it started has ended, no rule is broken, and work goes on after the end."""
    options = Options(**{**vars(SMALL), "phases": ("ramp", "leader")})
    said: list[str] = []
    report = asyncio.run(play(options, said.append))
    assert report.rules_broken == []
    assert [phase.name for phase in report.phases] == ["ramp", "leader"]
    assert report.phases[0].answered_workers == options.workers
    assert report.jobs_accepted
    assert report.start_delay_ms["prod"].count
    assert report.controllers_ended_by_themselves == 0
    assert {use.role for use in report.phases[0].roles} >= {"leader", "follower", "workers"}
    assert len(said) == 2
    assert psutil.Process().children(recursive=True) == []


@pytest.mark.parametrize(
    ("number", "in_background"),
    [(signal.SIGINT, False), (signal.SIGINT, True), (signal.SIGTERM, False)],
)
def test_an_interrupt_ends_all_that_was_started(number, in_background):
    """Also when a shell has started the command in the background, with interrupts ignored."""
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
        for one in (process, *children):  # a failure once left three controllers behind
            with contextlib.suppress(psutil.NoSuchProcess):
                one.kill()
        process.wait()


@pytest.mark.parametrize(
    "words",
    [
        ["--workers", "0"],
        ["--workers", "10001"],
        ["--phases", "ramp,never"],
        ["--phases", ""],
        ["--change-rps", "0"],
        ["--phase-s", "nan"],
    ],
)
def test_bad_options_are_an_error_that_names_them(words, capsys):
    cli = parser()
    with pytest.raises(SystemExit):
        checked(cli, cli.parse_args(words))
    assert words[0] in capsys.readouterr().err


def test_events_of_several_processes_are_told_in_the_order_of_their_times():
    """A start on a second machine arrives before the end on the first."""
    rules = Invariants(30.0, {})
    rules.submitted(job(1))
    ordered = OrderedEvents(rules, lambda *_: None)
    ordered.add(Started(1.0, "host-1", KIND, "j-000001", 0))
    ordered.add(Started(3.0, "host-2", KIND, "j-000001", 0))
    ordered.add(Ended(2.0, "host-1", "j-000001", 0, False))
    ordered.release(3.0)
    assert rules.starts == 0  # an earlier event may still come
    ordered.release(3.1 + WAIT_S)
    assert rules.starts == 2
    assert rules.broken == []
