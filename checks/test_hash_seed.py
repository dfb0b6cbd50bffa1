"""Every test runs with the same hash seed; a run with another seed is refused."""

import os
import sys

import pytest


def test_this_process_started_with_the_fixed_seed():
    assert os.environ["PYTHONHASHSEED"] == "0"
    assert not sys.flags.hash_randomization


@pytest.fixture
def other_seed(pytester, monkeypatch):
    """A test that fails unless the hash seed is 0, and an environment that sets it to 1."""
    pytester.makepyfile("import sys\ndef test_seed(): assert not sys.flags.hash_randomization")
    monkeypatch.setenv("PYTHONHASHSEED", "1")
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join(sys.path))
    return pytester


def test_workers_run_with_the_fixed_seed(other_seed):
    result = other_seed.runpytest_subprocess("-p", "checks.hash_seed", "-n", "1")
    result.assert_outcomes(passed=1)


def test_run_without_workers_and_with_another_seed_is_refused(other_seed):
    result = other_seed.runpytest_subprocess("-p", "checks.hash_seed", "-n", "0")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*start pytest with PYTHONHASHSEED=0"])
    assert "passed" not in result.stdout.str()
