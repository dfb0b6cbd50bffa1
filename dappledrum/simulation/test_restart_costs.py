"""All machines restart together: when they have work again, and what that costs in requests."""

import pytest

from dappledrum.simulation.restart_costs import LEASE_S, REQUESTS_WITHIN_S, main, measure

MACHINES = 100
#: The first heartbeat of a new process, one that shows its token, two as a task fetches its image
#: and runs.
MAX_FURTHER_HEARTBEATS = 4
CLOUD_RPS = 4.0
STORE_PATHS = ("holds", "keys", "multi", "watch")
#: A page has the placements of up to 256 tasks: losses and starts of a job are two changes each.
MAX_FURTHER_STORE_REQUESTS = 100


@pytest.mark.parametrize("again_s", [None, 0.4])
async def test_machines_that_are_back_together_have_work_at_once_without_a_storm(again_s):
    costs = await measure(MACHINES, again_s)
    assert costs.work_again_s[1.0] <= 2 * LEASE_S
    assert costs.leader_kept
    assert costs.rented == 0
    before, after = costs.requests_before, costs.requests_after
    restarts = 1 if again_s is None else 2
    assert after["hello"] - before["hello"] <= MACHINES * MAX_FURTHER_HEARTBEATS * restarts
    assert after["rentals"] <= CLOUD_RPS * REQUESTS_WITHIN_S
    further = sum(after[path] - before[path] for path in STORE_PATHS)
    assert further <= MAX_FURTHER_STORE_REQUESTS


def test_a_number_of_machines_that_the_jobs_do_not_fill_is_refused(capsys):
    with pytest.raises(SystemExit):
        main(["--machines", "60"])
    assert "multiple of 50" in capsys.readouterr().err


def test_the_command_reports_times_and_requests(capsys):
    assert main(["--machines", "50"]) == 0
    output = capsys.readouterr().out
    assert "100% of 50 machines have work again after" in output
    assert "requests in 10 s after: hello=" in output
