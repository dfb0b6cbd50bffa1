"""Shares of classes and teams, from the logs of whole controllers that end meanwhile."""

import pytest

from dappledrum.accounts.shares import main
from dappledrum.settings import Team
from dappledrum.standins.time import run
from dappledrum.standins.world import World, job


def test_logs_of_all_controllers_add_up_to_what_users_were_served(caplog, tmp_path, capsys):
    """Two teams, two classes, a cancelled job, and leaders that end meanwhile."""

    async def day():
        world = World(seed=8, teams=(Team("blue"), Team("red")))
        await world.until(lambda: world.leader() is not None)
        names = []
        for number in range(6):
            team, kind = ("red", "slow") if number % 3 == 0 else ("blue", "plain")
            due = 1.0 if number == 3 else 300.0 if kind == "slow" else None
            spec = job(number, crew=team, pattern=kind, dueS=due)
            names.append(spec["id"])
            assert await world.submit(spec) == 201
        await world.submit(job(50, crew="red", pattern="slow", runS=500.0))
        await world.wait(4)
        await world.restart(world.leader(), 0.3)
        assert await world.cancel("j-000050") == "cancelled"
        await world.finish(names)
        await world.submit(job(60, crew="blue", runS=500.0, dueS=None))
        await world.wait(3)

    caplog.set_level("INFO")
    run(day())
    logs = [tmp_path / "a.log", tmp_path / "b.log"]
    lines = [f"2026 drummer-0 INFO x: {record.getMessage()}" for record in caplog.records]
    logs[0].write_text("\n".join(lines[::2]))
    logs[1].write_text("\n".join(lines[1::2]))
    assert main([str(log) for log in logs]) == 0
    rows = [" ".join(line.split()) for line in capsys.readouterr().out.splitlines()]
    assert rows == [
        "class plain 5 jobs 0.80 done 0 of 0 in time",
        "class slow 2 jobs 1.00 done 1 of 2 in time",
        "team blue 5 jobs 0.80 done 0 of 0 in time",
        "team red 2 jobs 1.00 done 1 of 2 in time",
        "least: class slow, 0.50",
    ]
    assert main(["--least", "0.9", str(logs[0]), str(logs[1])]) == 1
    assert capsys.readouterr().out.count("below") == 4


def test_logs_without_jobs_are_refused(tmp_path, capsys):
    empty = tmp_path / "empty.log"
    empty.write_text("nothing\n")
    for path in (empty, tmp_path / "missing.log"):
        with pytest.raises(SystemExit) as caught:
            main([str(path)])
        assert caught.value.code == 2
    assert "no jobs in these logs" in capsys.readouterr().err
