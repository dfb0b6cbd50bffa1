"""KNOWN-RED.txt: only the listed failures are tolerated, and each listed test must fail."""

import pytest

PASSES = "test_some.py::test_passes"
FAILS = "test_some.py::test_fails"
ALSO_FAILS = "test_some.py::test_also_fails[2]"

in_one_process_or_two_workers = pytest.mark.parametrize("workers", ["0", "2"])


@pytest.fixture
def repository(pytester):
    """A repository with one test that passes and two that fail."""
    pytester.makeini("[pytest]\ntestpaths = test_some.py")
    pytester.makepyfile(
        test_some="""
        import pytest

        def test_passes(): pass
        def test_fails(): assert False
        @pytest.mark.parametrize("number", [2])
        def test_also_fails(number): assert number == 1
        """
    )
    return pytester


def write_list(repository, *lines):
    path = repository.path / "KNOWN-RED.txt"
    path.write_text("".join(f"{line}\n" for line in lines))


def list_line(test_id):
    return f"{test_id} | a fault of the state client | issue 43"


def run(repository, workers="0", *arguments):
    return repository.runpytest_inprocess(
        "-p", "checks.known_red", "-p", "no:cacheprovider", "-n", workers, *arguments
    )


def assert_refused(result, message):
    """Check that the run ended with a usage error before any test."""
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*KNOWN-RED.txt: {message}"])
    assert "passed" not in result.stdout.str()
    assert "xfailed" not in result.stdout.str()


@in_one_process_or_two_workers
def test_listed_failures_are_tolerated_and_printed(repository, workers):
    write_list(repository, list_line(FAILS), list_line(ALSO_FAILS))
    result = run(repository, workers)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=2)
    result.stdout.fnmatch_lines(
        ["*known failures*", list_line(FAILS), list_line(ALSO_FAILS).replace("[", "[[]")]
    )


def test_unlisted_failure_fails_the_run(repository):
    write_list(repository, list_line(FAILS))
    result = run(repository)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, xfailed=1, failed=1)


def test_without_a_list_every_failure_counts(repository):
    result = run(repository)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, failed=2)
    assert "known failures" not in result.stdout.str()


@in_one_process_or_two_workers
def test_listed_test_that_passes_fails_the_run(repository, workers):
    write_list(repository, list_line(PASSES), list_line(FAILS), list_line(ALSO_FAILS))
    result = run(repository, workers)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, xfailed=2)


@in_one_process_or_two_workers
def test_listed_test_that_is_not_collected_fails_the_run(repository, workers):
    write_list(repository, list_line(FAILS), list_line("test_some.py::test_gone"))
    assert_refused(run(repository, workers), "not collected: test_some.py::test_gone")


@pytest.mark.parametrize("selection", [(FAILS,), ("-k", "test_fails"), ("--deselect", ALSO_FAILS)])
def test_run_of_selected_tests_does_not_require_the_other_listed_tests(repository, selection):
    write_list(repository, list_line(FAILS), list_line(ALSO_FAILS))
    assert run(repository, "0", *selection).ret == pytest.ExitCode.OK


def test_list_of_four_lines_is_refused(repository):
    write_list(repository, *(list_line(f"test_some.py::test_{number}") for number in range(4)))
    assert_refused(run(repository), "4 lines, at most 3 are allowed")


def test_test_that_is_listed_twice_is_refused(repository):
    write_list(repository, list_line(FAILS), list_line(FAILS))
    assert_refused(run(repository), "a test is listed twice")


@pytest.mark.parametrize(
    "malformed",
    [FAILS, f"{FAILS} | issue 43", f"{FAILS} |  | issue 43", f"{list_line(FAILS)} | x", ""],
)
def test_malformed_line_is_refused(repository, malformed):
    write_list(repository, malformed)
    assert_refused(run(repository), "line 1 is not*")
