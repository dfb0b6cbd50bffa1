"""A test fails when the service logs an exception and goes on, though its assertions hold.

The inner tests share this process and its loggers, so the outer ones see what they log.
"""

import pytest

PLUGIN = "checks.logged_failures"

LOGS_A_FAILURE = """
    import asyncio, logging, pytest

    def log_a_failure(name="dappledrum.leader.leader"):
        try:
            raise ValueError("wrong")
        except ValueError:
            logging.getLogger(name).exception("plan failed, going on")
"""


def outcomes(pytester, test):
    """What becomes of a file with this test."""
    pytester.makeini("[pytest]\nmarkers = logs_failure: see checks/logged_failures.py\n")
    pytester.makepyfile(LOGS_A_FAILURE + test)
    return pytester.runpytest_inprocess("-p", PLUGIN, "-n", "0")


@pytest.mark.logs_failure("plan failed")
def test_an_exception_that_is_logged_fails_the_test(pytester):
    result = outcomes(pytester, "\n    def test_it(): log_a_failure()\n")
    result.assert_outcomes(passed=1, errors=1)
    result.stdout.fnmatch_lines(["*plan failed, going on: ValueError('wrong')*"])


@pytest.mark.logs_failure("plan failed")
def test_an_expected_exception_does_not(pytester):
    mark = '\n    @pytest.mark.logs_failure("plan failed")'
    outcomes(pytester, f"{mark}\n    def test_it(): log_a_failure()\n").assert_outcomes(passed=1)


def test_an_expected_exception_that_is_not_logged_fails_the_test(pytester):
    mark = '\n    @pytest.mark.logs_failure("reading failed")'
    result = outcomes(pytester, f"{mark}\n    def test_it(): pass\n")
    result.assert_outcomes(passed=1, errors=1)


def test_errors_without_an_exception_and_other_loggers_do_not_count(pytester):
    test = """
    def test_it():
        logging.getLogger("dappledrum.main").error("a setting is wrong")
        log_a_failure("elsewhere")
    """
    outcomes(pytester, test).assert_outcomes(passed=1)
