"""KNOWN-RED.txt: just the listed failures pass, and the list has to be true."""

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


def listing(repository, *lines):
    path = repository.path / "KNOWN-RED.txt"
    path.write_text("".join(f"{line}\n" for line in lines))


def line(test_id):
    return f"{test_id} | a fault of the state client | issue 43"


def run(repository, workers="0", *arguments):
    return repository.runpytest_inprocess(
        "-p", "checks.known_red", "-p", "no:cacheprovider", "-n", workers, *arguments
    )


def refused(result, message):
    """The run ended before any test, with an error."""
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*KNOWN-RED.txt: {message}"])
    assert "passed" not in result.stdout.str()
    assert "xfailed" not in result.stdout.str()


@in_one_process_or_two_workers
def test_listed_failures_pass_and_are_printed(repository, workers):
    listing(repository, line(FAILS), line(ALSO_FAILS))
    result = run(repository, workers)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=2)
    result.stdout.fnmatch_lines(
        ["*known failures*", line(FAILS), line(ALSO_FAILS).replace("[", "[[]")]
    )


def test_a_failure_that_is_not_listed_fails(repository):
    listing(repository, line(FAILS))
    result = run(repository)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, xfailed=1, failed=1)


def test_without_a_file_nothing_is_listed(repository):
    result = run(repository)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, failed=2)
    assert "known failures" not in result.stdout.str()


@in_one_process_or_two_workers
def test_a_listed_test_that_passes_fails(repository, workers):
    listing(repository, line(PASSES), line(FAILS), line(ALSO_FAILS))
    result = run(repository, workers)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, xfailed=2)


@in_one_process_or_two_workers
def test_a_listed_test_that_is_not_there_fails(repository, workers):
    listing(repository, line(FAILS), line("test_some.py::test_gone"))
    refused(run(repository, workers), "not collected: test_some.py::test_gone")


@pytest.mark.parametrize("selection", [(FAILS,), ("-k", "test_fails"), ("--deselect", ALSO_FAILS)])
def test_a_run_of_some_tests_misses_none_of_the_others(repository, selection):
    listing(repository, line(FAILS), line(ALSO_FAILS))
    assert run(repository, "0", *selection).ret == pytest.ExitCode.OK


def test_four_lines_are_too_many(repository):
    listing(repository, *(line(f"test_some.py::test_{number}") for number in range(4)))
    refused(run(repository), "4 lines, at most 3 are allowed")


def test_a_test_is_listed_once(repository):
    listing(repository, line(FAILS), line(FAILS))
    refused(run(repository), "a test is listed twice")


@pytest.mark.parametrize(
    "malformed", [FAILS, f"{FAILS} | issue 43", f"{FAILS} |  | issue 43", f"{line(FAILS)} | x", ""]
)
def test_a_malformed_line_is_refused(repository, malformed):
    listing(repository, malformed)
    refused(run(repository), "line 1 is not*")
