"""Tolerates the test failures listed in KNOWN-RED.txt, and no others.

Each line of that file is `test id | cause | issue`. The run fails if a listed test passes or is
listed twice, if a run of all tests does not collect it, if a line is malformed, or if the file has
more than three lines.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest
from xdist.workermanage import WorkerController

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True)
class KnownFailure:
    """A test that fails because of a fault that is not fixed yet."""

    test_id: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.test_id, self.cause, self.issue))


def parse(text: str) -> list[KnownFailure]:
    """Parse the contents of the file; raises `pytest.UsageError` if they are invalid."""
    lines = text.splitlines()
    if len(lines) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{FILE_NAME}: {len(lines)} lines, at most {MAX_KNOWN_FAILURES} are allowed"
        )
    failures = [_parse_line(number, line) for number, line in enumerate(lines, start=1)]
    if len({failure.test_id for failure in failures}) < len(failures):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return failures


def _parse_line(number: int, line: str) -> KnownFailure:
    fields = [part.strip() for part in line.split(SEPARATOR)]
    if len(fields) != 3 or not all(fields):
        expected = SEPARATOR.join(("test id", "cause", "issue"))
        raise pytest.UsageError(f"{FILE_NAME}: line {number} is not `{expected}`: {line!r}")
    return KnownFailure(*fields)


def read(root: Path) -> list[KnownFailure]:
    """Read the file at the root of a repository; returns no failures if there is none."""
    path = root / FILE_NAME
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


class KnownRed:
    """pytest hooks that expect the listed tests to fail."""

    def __init__(self, failures: list[KnownFailure]) -> None:
        self.failures = failures

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark each listed test as an expected failure, which fails if it passes."""
        listed = {failure.test_id: failure for failure in self.failures}
        for item in items:
            failure = listed.get(item.nodeid)
            if failure is not None:
                reason = f"{FILE_NAME}: {failure.cause} ({failure.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True), append=False)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Check the list in a run without workers; otherwise the process that starts them does."""
        has_workers = session.config.getoption("dist", "no") != "no"
        if not has_workers and not hasattr(session.config, "workerinput"):
            self._check_collected(session.config, [item.nodeid for item in session.items])

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(
        self, node: WorkerController, ids: list[str]
    ) -> None:
        """Check the list against the tests that a worker of pytest-xdist has collected."""
        self._check_collected(node.config, ids)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed failures."""
        if self.failures:
            terminalreporter.section(f"known failures ({FILE_NAME})")
            for failure in self.failures:
                terminalreporter.line(str(failure))

    def _check_collected(self, config: pytest.Config, collected: Iterable[str]) -> None:
        if not _collects_everything(config):
            return
        missing = {failure.test_id for failure in self.failures} - set(collected)
        if missing:
            raise pytest.UsageError(f"{FILE_NAME}: not collected: {', '.join(sorted(missing))}")


def _collects_everything(config: pytest.Config) -> bool:
    selects_tests = config.option.keyword or config.option.markexpr or config.option.deselect
    return config.args_source is pytest.Config.ArgsSource.TESTPATHS and not selects_tests


def pytest_configure(config: pytest.Config) -> None:
    """Read the list before any test runs, and register the hooks."""
    config.pluginmanager.register(KnownRed(read(config.rootpath)), "known-red")
