"""A test fails when the service logs an exception, even if its assertions hold.

The inner tests run in this process and share its loggers, so the outer tests, which use the same
plugin, must expect the exceptions that the inner ones log.
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


def run_with_plugin(pytester, test):
    """Run a file with this test and the plugin."""
    pytester.makeini("[pytest]\nmarkers = logs_failure: see checks/logged_failures.py\n")
    pytester.makepyfile(LOGS_A_FAILURE + test)
    return pytester.runpytest_inprocess("-p", PLUGIN, "-n", "0")


@pytest.mark.logs_failure("plan failed")
def test_unexpected_logged_exception_fails_the_test(pytester):
    result = run_with_plugin(pytester, "\n    def test_it(): log_a_failure()\n")
    result.assert_outcomes(passed=1, errors=1)
    result.stdout.fnmatch_lines(["*plan failed, going on: ValueError('wrong')*"])


@pytest.mark.logs_failure("plan failed")
def test_expected_logged_exception_does_not_fail_the_test(pytester):
    mark = '\n    @pytest.mark.logs_failure("plan failed")'
    run_with_plugin(pytester, f"{mark}\n    def test_it(): log_a_failure()\n").assert_outcomes(
        passed=1
    )


def test_expected_exception_that_is_not_logged_fails_the_test(pytester):
    mark = '\n    @pytest.mark.logs_failure("reading failed")'
    result = run_with_plugin(pytester, f"{mark}\n    def test_it(): pass\n")
    result.assert_outcomes(passed=1, errors=1)


def test_errors_without_an_exception_and_other_loggers_are_ignored(pytester):
    test = """
    def test_it():
        logging.getLogger("dappledrum.main").error("a setting is wrong")
        log_a_failure("elsewhere")
    """
    run_with_plugin(pytester, test).assert_outcomes(passed=1)
