"""The trace of messages and its digest, and the committed digests."""

import asyncio
import hashlib
import io
import random
from datetime import timedelta

import pytest

from dappledrum.http.client import NoResponseError, NotSentError, Reply
from dappledrum.simulation import trace_digests
from dappledrum.simulation.day_file import Day
from dappledrum.simulation.experiment import main, run_experiment
from dappledrum.simulation.network import LateWrites, Network
from dappledrum.simulation.trace import MessageTrace
from dappledrum.simulation.virtual_time import run

SECOND = timedelta(seconds=1)
SMALL_RUN = ["--machines", "2", "--seeds", "1", "--until", "12"]


async def echo(_source: str, _method: str, _path: str, body: bytes) -> Reply:
    """A service that answers after half a second."""
    await asyncio.sleep(0.5)
    return Reply(200, b"echo of " + body)


def network_with_trace() -> tuple[Network, io.BytesIO]:
    """A network with one service, and the file with the trace of its messages."""
    file = io.BytesIO()
    network = Network(random.Random(1))
    network.services["state"] = echo
    network.trace = MessageTrace(file)
    return network, file


def columns(file: io.BytesIO) -> list[list[str]]:
    """The columns of each line."""
    return [line.split("\t") for line in file.getvalue().decode().splitlines()]


def events(file: io.BytesIO) -> list[str]:
    """The events of all lines."""
    return [line[1] for line in columns(file)]


async def test_a_request_and_its_response_are_recorded_in_four_lines():
    network, file = network_with_trace()
    reply = await network.caller("node", "state").request("POST", "/multi", b"a\tb\n", SECOND)
    assert reply == Reply(200, b"echo of a\tb\n")
    sent, delivered, answered, received = columns(file)
    assert sent == [
        "0.000000",
        "request-sent",
        "node",
        "state",
        "POST /multi",
        "-",
        r"b'a\tb\n'",
    ]
    assert delivered[1:] == ["request-delivered", *sent[2:]]
    response = ["state", "node", "POST /multi", "200", r"b'echo of a\tb\n'"]
    assert answered[1:] == ["response-sent", *response]
    assert received[1:] == ["response-delivered", *response]
    times = [float(line[0]) for line in (sent, delivered, answered, received)]
    assert times == sorted(times)
    assert times[2] - times[1] == pytest.approx(0.5)


async def test_the_digest_covers_all_lines_until_recording_stops():
    network, file = network_with_trace()
    await network.caller("node", "state").request("GET", "/keys", None, SECOND)
    assert network.trace is not None
    assert network.trace.lines == 4
    assert network.trace.sha256 == hashlib.sha256(file.getvalue()).hexdigest()
    network.trace.stop()
    await network.caller("node", "state").request("GET", "/keys", None, SECOND)
    assert network.trace.lines == len(columns(file)) == 4


async def test_a_lost_response_is_sent_but_not_delivered():
    network, file = network_with_trace()
    network.answers_dropped.add(frozenset(("node", "state")))
    with pytest.raises(NoResponseError):
        await network.caller("node", "state").request("GET", "/keys", None, SECOND)
    assert events(file) == [
        "request-sent",
        "request-delivered",
        "response-sent",
        "request-failed",
    ]
    assert columns(file)[-1][2:6] == ["node", "state", "GET /keys", "no-response"]


async def test_a_refused_connection_is_recorded_as_not_sent():
    network, file = network_with_trace()
    network.refusing.add(frozenset(("node", "state")))
    with pytest.raises(NotSentError):
        await network.caller("node", "state").request("GET", "/keys", None, SECOND)
    assert events(file) == ["request-sent", "request-failed"]
    assert columns(file)[-1][5] == "not-sent"


async def test_a_late_request_is_recorded_when_it_is_executed():
    network, file = network_with_trace()
    network.late_writes = LateWrites(1.0, 3.0, 3.0)
    with pytest.raises(NoResponseError):
        await network.caller("node", "state").request("POST", "/multi", b"", SECOND)
    await asyncio.sleep(3)
    assert events(file) == [
        "request-sent",
        "request-failed",
        "request-delivered",
        "response-sent",
    ]
    assert float(columns(file)[2][0]) == pytest.approx(3.0, abs=0.01)


def test_two_runs_of_a_day_with_one_seed_have_the_same_digest():
    traces = [MessageTrace(), MessageTrace(), MessageTrace()]
    for seed, trace in zip((1, 1, 2), traces, strict=True):
        run(run_experiment(Day("small"), seed, 2, 0.3, 12.0, trace))
    assert traces[0].lines == traces[1].lines > 100
    assert traces[0].sha256 == traces[1].sha256 != traces[2].sha256


def test_recording_a_trace_does_not_change_the_report():
    plain = run(run_experiment(Day("small"), 1, 2, 0.3, 12.0))
    assert run(run_experiment(Day("small"), 1, 2, 0.3, 12.0, MessageTrace())) == plain


def test_the_command_writes_the_trace_and_prints_its_digest(tmp_path, capsys):
    day, file = tmp_path / "day.toml", tmp_path / "trace"
    day.write_text('name = "small"')
    assert main([str(day), *SMALL_RUN, "--trace", str(file)]) == 0
    written = file.read_bytes()
    last_line = capsys.readouterr().out.splitlines()[-1]
    digest = hashlib.sha256(written).hexdigest()
    assert last_line == f"trace: {len(written.splitlines())} lines, sha256 {digest}"
    assert b"\trequest-sent\tuser\tdrummer-" in written
    assert b"\tPOST /submissions\t201\t" in written


def test_the_smallest_case_has_the_committed_digest():
    seeded = trace_digests.seeded_cases(trace_digests.CASES[-1:])[0]
    expected = trace_digests.committed()[seeded.case.day, seeded.seed]
    assert trace_digests.difference(trace_digests.compute(seeded), expected) is None


def test_every_seed_of_every_case_has_a_committed_digest():
    wanted = {(seeded.case.day, seeded.seed) for seeded in trace_digests.seeded_cases()}
    assert trace_digests.committed().keys() == wanted
