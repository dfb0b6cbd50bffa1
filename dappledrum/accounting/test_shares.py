"""Shares by class and team, from the logs of simulated controllers that restart meanwhile."""

import pytest

from dappledrum.accounting.shares import main
from dappledrum.settings import Team
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run


def test_shares_are_computed_from_the_combined_logs_of_all_controllers(caplog, tmp_path, capsys):
    """Two teams and two classes, with a cancelled job and a leader that restarts."""

    async def day():
        cluster = SimulatedCluster(seed=8, teams=(Team("blue"), Team("red")))
        await cluster.until(lambda: cluster.leader() is not None)
        names = []
        for number in range(6):
            team, kind = ("red", "slow") if number % 3 == 0 else ("blue", "plain")
            due = 1.0 if number == 3 else 300.0 if kind == "slow" else None
            spec = job(number, crew=team, pattern=kind, dueS=due)
            names.append(spec["id"])
            assert await cluster.submit(spec) == 201
        await cluster.submit(job(50, crew="red", pattern="slow", runS=500.0))
        await cluster.wait(4)
        await cluster.restart(cluster.leader(), 0.3)
        assert await cluster.cancel("j-000050") == "cancelled"
        await cluster.finish(names)
        await cluster.submit(job(60, crew="blue", runS=500.0, dueS=None))
        await cluster.wait(3)

    caplog.set_level("INFO")
    run(day())
    logs = [tmp_path / "a.log", tmp_path / "b.log"]
    lines = [f"2026 drummer-0 INFO x: {record.getMessage()}" for record in caplog.records]
    logs[0].write_text("\n".join(lines[::2]))
    logs[1].write_text("\n".join(lines[1::2]))
    assert main([str(log) for log in logs]) == 0
    rows = [" ".join(line.split()) for line in capsys.readouterr().out.splitlines()]
    assert [row.partition(", began")[0] for row in rows] == [
        "class plain 5 jobs 0.80 done 0 of 0 in time",
        "class slow 2 jobs 1.00 done 1 of 2 in time",
        "team blue 5 jobs 0.80 done 0 of 0 in time",
        "team red 2 jobs 1.00 done 1 of 2 in time",
        "largest of plain 1 jobs 1.00 done 0 of 0 in time",
        "largest of slow 1 jobs 1.00 done 1 of 1 in time",
        "least: class slow, 0.50",
    ]
    began = [int(row.split("after ")[1].split()[0]) for row in rows[:-1]]
    assert min(began) > 0
    assert max(began) < 60
    assert main(["--least", "0.9", str(logs[0]), str(logs[1])]) == 1
    assert capsys.readouterr().out.count("below") == 4


def test_largest_jobs_that_start_late_or_are_not_done_are_marked(tmp_path, capsys):
    log = tmp_path / "a.log"
    lines = [f"x: accepted j-{n:06d}: {n + 1} tasks of plain for blue" for n in range(11)]
    lines += [f"x: j-{n:06d} began 5.0 s after it came" for n in range(10)]
    lines += [f"x: j-{n:06d} is done: {n + 1} tasks of plain for blue" for n in range(10)]
    late = "x: j-000010 began 241.0 s after it came"
    log.write_text("\n".join([*lines, late]))
    assert main([str(log)]) == 1
    rows = capsys.readouterr().out.splitlines()
    assert "below  late" in rows[2]
    assert rows[2].startswith("largest of plain")
    assert "below" not in rows[0] + rows[1]


def test_logs_without_jobs_are_refused(tmp_path, capsys):
    empty = tmp_path / "empty.log"
    empty.write_text("nothing\n")
    for path in (empty, tmp_path / "missing.log"):
        with pytest.raises(SystemExit) as caught:
            main([str(path)])
        assert caught.value.code == 2
    assert "no jobs in these logs" in capsys.readouterr().err
