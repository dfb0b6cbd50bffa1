"""The experiment command with day files."""

import msgspec
import pytest

from dappledrum.simulation.experiment import Report, main
from dappledrum.simulation.faults import KINDS

DAY = """
name = "all kinds"
faults = [
  { at_s = 20.0, kind = "node_crash", count = 1, busiest = true },
  { at_s = 26.0, kind = "machine_hang", count = 2, for_s = 5.0 },
  { at_s = 28.0, kind = "node_cut", count = 1, busiest = true, from_state = true, for_s = 6.0 },
  { at_s = 36.0, kind = "node_freeze", count = 1, for_s = 4.0 },
  { at_s = 42.0, kind = "cloud_outage", for_s = 6.0 },
  { at_s = 44.0, kind = "machine_die", count = 2 },
  { at_s = 50.0, kind = "state_outage", for_s = 4.0 },
  { at_s = 58.0, kind = "node_roll", every_s = 3.0 },
  { at_s = 80.0, kind = "node_down", count = 5, for_s = 20.0 },
  { at_s = 112.0, kind = "late_reports", share = 0.3, for_s = 40.0 },
  { at_s = 114.0, kind = "machine_deaf", share = 0.3, for_s = 25.0 },
  { at_s = 124.0, kind = "node_cut", from_state = true, from_peers = true, for_s = 10.0 },
  { at_s = 140.0, kind = "late_writes", share = 0.2, for_s = 20.0 },
  { at_s = 142.0, kind = "late_commands", share = 0.2, for_s = 20.0 },
  { at_s = 150.0, kind = "machine_mute", count = 2, for_s = 6.0 },
  { at_s = 152.0, kind = "close_looks", for_s = 20.0 },
  { at_s = 154.0, kind = "odd_requests", for_s = 20.0 },
  { at_s = 156.0, kind = "cancel_at_end", share = 0.2, for_s = 15.0 },
  { at_s = 160.0, kind = "cancel_now", count = 1, hang_s = 3.0 },
  { at_s = 162.0, kind = "late_starts", share = 0.5, for_s = 10.0 },
  { at_s = 166.0, kind = "leader_transfer" },
  { at_s = 168.0, kind = "machine_restart", count = 2, for_s = 1.0 },
]
"""


def test_a_day_with_every_kind_of_fault_is_reported(tmp_path):
    day, report = tmp_path / "day.toml", tmp_path / "report.json"
    day.write_text(DAY)
    options = ["--machines", "10", "--seeds", "1", "--until", "180", "--report", str(report)]
    assert main([str(day), *options]) == 0
    result = msgspec.json.decode(report.read_text(), type=Report)
    assert [effects.kind for effects in result.faults]
    assert {fault.kind for fault in result.faults} == KINDS.keys()
    # All controllers are down for 20 s, longer than the workers' leases; the store has an outage
    # of 4 s, of which the leader's lease bridges at most 3 s; and leaders change.
    assert 21 <= result.no_leader_s < 36
    assert result.sessions_ended > 5
    down = next(effects for effects in result.faults if effects.kind == "node_down")
    assert down.back_s is not None
    assert 15 < down.back_s < 25
    assert result.tasks_wanted == result.jobs * 20
    assert result.accepted == result.jobs


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("nonsense", "Expected"),
        ('name = "x"\nfaults = [{ at_s = 1.0, kind = "flood" }]', "not known to the simulation"),
        ('name = "x"\nfaults = [{ at_s = -1.0, kind = "node_crash" }]', "at_s"),
        ('name = "x"\nfaults = [{ at_s = 1.0, kind = "node_crash", hall = "a" }]', "hall"),
        ('name = "x"\nfaults = [{ at_s = 1.0, kind = "node_cut", mode = "drop" }]', "drop"),
        ('name = "x"\nfaults = [{ at_s = 1.0, kind = "late_writes", share = 1.5 }]', "share"),
    ],
)
def test_an_invalid_day_file_is_refused_with_the_reason(tmp_path, capsys, text, why):
    day = tmp_path / "day.toml"
    day.write_text(text)
    with pytest.raises(SystemExit):
        main([str(day)])
    assert why in capsys.readouterr().err
