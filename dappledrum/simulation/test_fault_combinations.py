"""A fixed selection of concurrent faults, which covers all kinds. More are drawn by
`python3 -m dappledrum.simulation.fault_combinations`."""

import random

import pytest

from dappledrum.simulation.fault_combinations import (
    DEFAULT_KINDS,
    LEADER_CHANGES,
    draw_faults,
    main,
    run_combination,
)
from dappledrum.simulation.virtual_time import run

#: Pairs of kinds; together with those of `TRIPLES` they cover all kinds.
PAIRS = (
    ("node_cut", "state_outage"),
    ("late_writes", "node_crash"),
    ("late_writes", "state_outage"),
    ("late_reports", "node_crash"),
    ("machine_hang", "node_crash"),
    ("machine_deaf", "node_cut"),
    ("machine_die", "node_down"),
    ("node_roll", "late_writes"),
    ("node_freeze", "state_outage"),
    ("cloud_outage", "node_crash"),
    ("late_reports", "machine_hang"),
    ("node_cut", "late_writes"),
    ("late_starts", "node_crash"),
    ("late_starts", "machine_hang"),
    ("machine_restart", "node_crash"),
    ("machine_restart", "late_reports"),
    ("machine_restart", "state_outage"),
    ("machine_restart", "cancel_now"),
    ("machine_restart", "machine_deaf"),
    ("machine_restart", "machine_mute"),
    ("machine_restart", "late_reports:for_next"),
)

#: Seeds, and pairs of kinds that are combined with a change of leader.
TRIPLES = (
    (107, ("cancel_now", "machine_hang")),
    (200, ("cancel_at_end", "late_writes:at_once")),
    (303, ("machine_mute", "late_commands")),
    (403, ("odd_requests", "state_outage")),
    (504, ("close_looks", "late_writes:at_once")),
    (608, ("late_reports:for_next", "leader_transfer")),
    (704, ("late_starts", "cancel_now")),
    (800, ("machine_restart", "late_reports:for_next")),
    (801, ("machine_restart", "late_reports")),
    (802, ("machine_restart", "state_outage")),
    (803, ("machine_restart", "cancel_now")),
)


def test_pairs_and_triples_cover_all_kinds():
    triples = [kinds for _, kinds in TRIPLES]
    assert {kind for kinds in (*PAIRS, *triples) for kind in kinds} == set(DEFAULT_KINDS)


def test_triples_cover_all_changes_of_leader():
    changes = set()
    for seed, kinds in TRIPLES:
        drawn = [fault.kind for fault in draw_faults(kinds, True, random.Random(seed))]
        for kind in kinds:
            drawn.remove(kind.partition(":")[0])
        changes.update(drawn)
        assert len(drawn) == 1
    assert changes == set(LEADER_CHANGES)


@pytest.mark.parametrize(("seed", "kinds"), list(enumerate(PAIRS)))
def test_all_jobs_finish_after_two_concurrent_faults(seed, kinds):
    """The invariants hold on each step; at the end all accepted jobs are known and finished."""
    run(run_combination(seed, kinds, exactly=True))


@pytest.mark.parametrize(("seed", "kinds"), TRIPLES)
def test_all_jobs_finish_after_two_faults_and_a_change_of_leader(seed, kinds):
    run(run_combination(seed, kinds, exactly=True, triple=True))


def test_an_unknown_kind_is_named_in_the_error(capsys):
    with pytest.raises(SystemExit):
        main(["--kinds", "node_cut,flood"])
    assert "flood" in capsys.readouterr().err


def test_the_command_draws_triples_from_the_given_kinds(capsys):
    kinds = "odd_requests,late_reports:for_next"
    assert main(["--from", "5", "--count", "1", "--triples", "--kinds", kinds]) == 0
    assert "1 draws, 0 failed: []" in capsys.readouterr().out
