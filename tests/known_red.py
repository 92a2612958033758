"""Tests that fail for a known fault, listed in KNOWN-RED.txt: pytest and behave pass over and print
them.

A line is `test | cause | issue`, three at most. A test is named as pytest does,
`tests/test_x.py::test_y[z]`, a scenario by its file and name, `tests/features/x.feature::Name`.
What is listed has to run, and to fail in the test's own body or in a step. One that passes, is
skipped or breaks elsewhere, a line that names no test, and a list that is not of this form fail the
check. No file, or an empty one: nothing is passed over."""

from __future__ import annotations

import re
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
TEST = re.compile(r"(?P<file>\S+\.(?:py|feature))::.+")
ISSUE = re.compile(r"#?\d+")
UNDEFINED = (
    "undefined",
    "untested_undefined",
    "pending",
    "untested_pending",
)  # statuses of a behave step


class ListError(Exception):
    """The list is not of the form it must have."""


@dataclass(frozen=True, slots=True)
class Line:
    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} (issue {self.issue.lstrip('#')})"


def read(folder: Path, kind: str) -> dict[str, Line]:
    """The list of a folder by test, of it those of a kind of file (`.py`, `.feature`). Raises
    ListError."""
    try:
        text = (folder / NAME).read_text()
    except FileNotFoundError:
        return {}
    except (OSError, UnicodeDecodeError) as error:
        raise ListError(f"{NAME}: {error}") from None
    lines: dict[str, Line] = {}
    for number, raw in enumerate(text.splitlines(), 1):
        if not raw.strip():
            continue
        fields = [field.strip() for field in raw.rsplit("|", 2)]
        if len(fields) != 3 or not (
            TEST.fullmatch(fields[0]) and fields[1] and ISSUE.fullmatch(fields[2])
        ):
            raise ListError(f"{NAME}:{number}: {raw!r} is not `test | cause | issue`")
        if fields[0] in lines:
            raise ListError(f"{NAME}:{number}: {fields[0]} is listed twice")
        lines[fields[0]] = Line(*fields)
    if len(lines) > MOST:
        raise ListError(f"{NAME}: {len(lines)} lines, {MOST} at most")
    return {test: line for test, line in lines.items() if test.partition("::")[0].endswith(kind)}


class Known:
    """What has become of the listed tests of one kind."""

    def __init__(self, lines: dict[str, Line]) -> None:
        self.lines = lines
        self.found: set[str] = set()  # collected
        self.unselected: set[str] = set()
        self.seen: dict[str, str] = {}  # failed, passed, or why it counts as neither

    def faults(self, whole: bool) -> list[str]:
        """Why the check fails. Of a part of the tests nothing is asked that may lie in the
        others."""
        told = []
        for test in self.lines:
            what = self.seen.get(test, "")
            if what == "passed":
                told.append(f"{NAME}: {test} passes; take its line out")
            elif what and what != "failed":
                told.append(f"{NAME}: {test} {what}")
            elif not what and test in self.found and test not in self.unselected:
                told.append(f"{NAME}: {test} did not run")
            elif not what and whole and test not in self.found:
                told.append(f"{NAME}: {test} names no test")
        return told

    def passed_over(self) -> list[str]:
        return [
            f"{line} fails as listed"
            for test, line in self.lines.items()
            if self.seen.get(test) == "failed"
        ]


class Plugin(Known):
    """For pytest, with pytest-xdist or without: workers run tests, the one that began them
    judges."""

    def __init__(self, config: pytest.Config) -> None:
        super().__init__(read(config.rootpath, ".py"))
        self.config = config
        narrowed = ("ignore", "ignore_glob", "collectonly")
        self.whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not any(
            config.getoption(name, None) for name in narrowed
        )

    def pytest_itemcollected(self, item: pytest.Item) -> None:
        self.found.add(item.nodeid)

    def pytest_deselected(self, items: Sequence[pytest.Item]) -> None:
        self.unselected.update(item.nodeid for item in items)

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # the last word on each report
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if line := self.lines.get(item.nodeid):
            judge(line, report)
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if what := getattr(report, "known_red", ""):
            self.seen[report.nodeid] = what

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        found, unselected = getattr(node, "workeroutput", {}).get("known_red", ([], []))
        self.found.update(found)
        self.unselected.update(unselected)

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if (output := getattr(self.config, "workeroutput", None)) is not None:
            output["known_red"] = [
                sorted(s & self.lines.keys()) for s in (self.found, self.unselected)
            ]
        elif (
            session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)
            and self._faults()
        ):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def _faults(self) -> list[str]:
        return [] if self.config.getoption("collectonly") else self.faults(self.whole)

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        if told := self.passed_over() + self._faults():
            terminalreporter.section("known red")
            for line in told:
                terminalreporter.write_line(line)


def judge(line: Line, report: Any) -> None:
    """A failure of the test's body is passed over; that it passes or is skipped is a failure."""
    if report.skipped:
        report.known_red = "is skipped or expected to fail; it has to run"
    elif report.when == "call":
        report.known_red = report.outcome
    if report.skipped or (report.when == "call" and report.passed):
        vars(report).pop("wasxfail", None)
        report.outcome, report.longrepr = "failed", f"{NAME} lists it: {report.known_red}"
    elif report.when == "call":
        report.outcome, report.wasxfail = (
            "skipped",
            f"{NAME}: {line.cause} (issue {line.issue.lstrip('#')})",
        )


class Scenarios(Known):
    """For behave, from its hooks."""

    def __init__(self, config: Any, folder: Path) -> None:
        super().__init__(read(folder, ".feature"))
        part = config.name or config.tags or config.include_re or config.exclude_re or config.stop
        self.whole = not part and all(Path(path).is_dir() for path in config.paths)

    def before_feature(self, feature: Any) -> None:
        for scenario in feature.walk_scenarios():
            test = f"{scenario.filename}::{scenario.name.strip()}"
            if test in self.lines:
                self.found.add(test)
                if not self.whole:
                    self.unselected.add(test)  # or it will be seen
                scenario.run = partial(self._run, test, scenario.run, scenario)

    def _run(self, test: str, run: Callable[[Any], bool], scenario: Any, runner: Any) -> bool:
        """Whether the scenario counts as failed."""
        failed = run(runner)
        status, steps = scenario.status.name, [step.status.name for step in scenario.all_steps]
        if status == "passed":
            self.seen[test] = "passed"
        elif status == "skipped" and not failed and not self.whole:
            pass  # not selected
        elif status not in ("failed", "error") or any(s in UNDEFINED for s in steps):
            self.seen[test] = f"is {status} without a step that failed"
        else:
            self.seen[test] = "failed"
            return False
        return failed

    def after_all(self) -> None:
        """Raises ListError where the check fails."""
        for line in self.passed_over():
            print(f"KNOWN RED {line}")
        if told := self.faults(self.whole):
            raise ListError("; ".join(told))
