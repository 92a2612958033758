"""KNOWN-RED.txt by real runs of pytest and behave on small folders, with this project's own
hooks."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import NAME, ListError, read

ROOT = Path(__file__).parent.parent
RED, OTHER, GREEN = (
    f"t/test_it.py::{name}" for name in ("test_red", "test_other[a|b]", "test_green")
)
TESTS = """
import pytest
def test_red(): assert 0
@pytest.mark.parametrize("x", ["a|b"])
def test_other(x): raise OSError
def test_green(): pass
"""
BROKEN = """
import pytest
@pytest.fixture
def before(): assert 0
@pytest.fixture
def after():
    yield
    assert 0
def test_setup(before): pass
def test_teardown(after): assert 0
@pytest.mark.skip
def test_skipped(): pass
def test_skips(): pytest.skip("today")
@pytest.mark.xfail
def test_marked(): assert 0
"""
FEATURE = """Feature: x
  Scenario: red
    Then it is wrong
  Scenario Outline: many
    Then it is <what>
    Examples:
      | what  |
      | raised |
  Scenario: green
    Then it is right
"""
SCENARIO_RED, SCENARIO_RAISED, SCENARIO_GREEN = (
    f"f/x.feature::{name}" for name in ("red", "many -- @1.1", "green")
)
STEPS = """
from behave import then
@then("it is right")
def _(context): pass
@then("it is wrong")
def _(context): assert 0
@then("it is raised")
def _(context): raise OSError
@then("it is skipped")
def _(context): context.scenario.skip()
"""


def listed(*tests: str) -> str:
    return "".join(f"{test} | its cause | #40\n" for test in tests)


def run(folder: Path, *command: str) -> tuple[int, str]:
    env = os.environ | {"PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1"}
    env.pop("PYTEST_ADDOPTS", None)
    done = subprocess.run(
        [sys.executable, "-m", *command],
        cwd=folder,
        env=env,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "t").mkdir()
    (tmp_path / "t/test_it.py").write_text(TESTS)
    (tmp_path / "test_broken.py").write_text(BROKEN)
    shutil.copy(ROOT / "tests/conftest.py", tmp_path)
    settings = "testpaths = t\nasyncio_mode = auto\nasyncio_default_fixture_loop_scope = function\n"
    (tmp_path / "pytest.ini").write_text("[pytest]\n" + settings)
    (tmp_path / "f/steps").mkdir(parents=True)
    (tmp_path / "f/x.feature").write_text(FEATURE)
    (tmp_path / "f/steps/x.py").write_text(STEPS)
    shutil.copy(ROOT / "tests/features/environment.py", tmp_path / "f")
    return tmp_path


def pytest_run(folder: Path, text: str, *more: str) -> tuple[int, str, str]:
    """The status, all that was said, and pytest's closing line."""
    (folder / NAME).write_text(text)
    code, said = run(folder, "pytest", "-q", "-p", "no:cacheprovider", *more)
    return code, said, said.rstrip().splitlines()[-1]


def behave_run(folder: Path, text: str, *more: str) -> tuple[int, str]:
    (folder / NAME).write_text(text)
    return run(
        folder, "behave", "--no-color", "--no-capture", "--format", "plain", *(more or ("f",))
    )


# The list.


@pytest.mark.parametrize(
    "text",
    [
        "t/test_it.py::test_red | its cause\n",
        "t/test_it.py::test_red | | 40\n",
        "t/test_it.py::test_red | its cause |\n",
        "t/test_it.py::test_red | its cause | soon\n",
        "test_red | its cause | 40\n",
        "t/test_it.txt::test_red | its cause | 40\n",
        "# nothing yet\n",
        listed(RED, RED),
        listed(RED, OTHER, SCENARIO_RED, SCENARIO_RAISED),  # four
    ],
)
def test_a_malformed_line_a_second_one_of_a_test_and_a_fourth_are_refused(
    tmp_path: Path, text: str
) -> None:
    (tmp_path / NAME).write_text(text)
    for kind in (".py", ".feature"):
        with pytest.raises(ListError):
            read(tmp_path, kind)


def test_an_absent_list_and_one_of_blank_lines_pass_over_nothing_and_each_runner_takes_its_own(
    tmp_path: Path,
) -> None:
    assert read(tmp_path, ".py") == {}
    (tmp_path / NAME).write_text("\n  \n")
    assert read(tmp_path, ".py") == {}
    (tmp_path / NAME).write_text(listed(OTHER, SCENARIO_RED))
    assert list(read(tmp_path, ".py")) == [OTHER] and list(read(tmp_path, ".feature")) == [
        SCENARIO_RED
    ]
    assert str(read(tmp_path, ".py")[OTHER]) == f"{OTHER}: its cause (issue 40)"


# pytest.

both = pytest.mark.parametrize("jobs", ["0", "2"])


def test_pytest_fails_as_ever_where_nothing_is_listed(folder: Path) -> None:
    code, said, closing = pytest_run(folder, "")
    assert code == 1 and closing.startswith("2 failed, 1 passed in"), said


@both
def test_pytest_passes_over_what_is_listed_and_fails_and_prints_it(folder: Path, jobs: str) -> None:
    code, said, closing = pytest_run(folder, listed(RED, OTHER, SCENARIO_RED), "-n", jobs)
    assert code == 0 and closing.startswith("1 passed, 2 xfailed in"), said
    assert (
        f"{RED}: its cause (issue 40) fails as listed\n" in said and f"{OTHER}: its cause" in said
    )
    assert SCENARIO_RED not in said


@both
def test_pytest_fails_where_a_line_names_no_test(folder: Path, jobs: str) -> None:
    code, said, closing = pytest_run(
        folder, listed(RED, OTHER, "t/test_no.py::test_red"), "-n", jobs
    )
    assert code == 1 and closing.startswith("1 passed, 2 xfailed in"), said
    assert "t/test_no.py::test_red names no test" in said


def test_pytest_fails_where_a_listed_test_passes(folder: Path) -> None:
    code, said, closing = pytest_run(folder, listed(RED, OTHER, GREEN), "-n", "2")
    assert code == 1 and closing.startswith("1 failed, 2 xfailed in"), said
    assert f"{GREEN} passes; take its line out" in said


def test_pytest_asks_nothing_of_a_listed_test_that_was_not_selected(folder: Path) -> None:
    for more in ([GREEN], ["-k", "green", "-n", "2"], ["--deselect", RED, "--deselect", OTHER]):
        code, said, closing = pytest_run(folder, listed(RED, OTHER), *more)
        assert code == 0 and "1 passed" in closing and "did not run" not in said, said


def test_pytest_passes_over_no_skip_no_expected_failure_and_no_error_of_a_fixture(
    folder: Path,
) -> None:
    names = [
        f"test_broken.py::test_{name}"
        for name in ("skipped", "skips", "marked", "setup", "teardown")
    ]
    code, said, closing = pytest_run(folder, listed(*names[:3]), "test_broken.py")
    assert code == 1 and closing.startswith("3 failed, 3 errors in"), said
    assert all(f"{name} is skipped or expected to fail" in said for name in names[:3])
    code, said, closing = pytest_run(
        folder, listed(*names[3:]), "test_broken.py", "-k", "setup or teardown"
    )
    assert code == 1 and closing.startswith("3 deselected, 1 xfailed, 2 errors in"), said


def test_pytest_starts_nothing_with_a_malformed_list(folder: Path) -> None:
    code, said, _ = pytest_run(folder, "test_red\n", "-n", "2")
    assert code == 4 and f"{NAME}:1: 'test_red' is not" in said and "passed" not in said


# behave.


def test_behave_fails_as_ever_where_nothing_is_listed(folder: Path) -> None:
    code, said = behave_run(folder, "")
    assert code == 1 and "KNOWN RED" not in said, said


def test_behave_passes_over_what_is_listed_and_fails_and_prints_it(folder: Path) -> None:
    code, said = behave_run(folder, listed(SCENARIO_RED, SCENARIO_RAISED, RED))
    assert (
        code == 0 and f"KNOWN RED {SCENARIO_RED}: its cause (issue 40) fails as listed" in said
    ), said
    assert "KNOWN RED f/x.feature::many" in said and RED not in said


def test_behave_fails_where_one_is_not_listed_or_a_listed_one_passes_or_is_none(
    folder: Path,
) -> None:
    code, said = behave_run(folder, listed(SCENARIO_RED))
    assert code == 1 and "KNOWN RED f/x.feature::red" in said
    code, said = behave_run(folder, listed(SCENARIO_RED, SCENARIO_RAISED, SCENARIO_GREEN))
    assert code == 1 and f"{SCENARIO_GREEN} passes" in said
    code, said = behave_run(folder, listed(SCENARIO_RED, SCENARIO_RAISED, "f/x.feature::rod"))
    assert code == 1 and "f/x.feature::rod names no test" in said
    code, said = behave_run(folder, "red\n")
    assert code == 1 and f"{NAME}:1: 'red' is not" in said


def test_behave_asks_nothing_of_a_scenario_that_was_not_selected(folder: Path) -> None:
    code, said = behave_run(folder, listed(SCENARIO_RED, SCENARIO_RAISED), "f", "--name", "green")
    assert code == 0 and "KNOWN" not in said, said


@pytest.mark.parametrize(
    "step", ["Then it is not defined", "Then it is skipped", "Given a hook that fails"]
)
def test_behave_passes_over_no_undefined_step_no_skip_and_no_error_of_a_hook(
    folder: Path, step: str
) -> None:
    (folder / "f/x.feature").write_text(f"Feature: x\n  Scenario: red\n    {step}\n")
    if "hook" in step:
        (folder / "f/x.feature").write_text("Feature: x\n  Scenario: red\n    Then it is wrong\n")
        with (folder / "f/environment.py").open("a") as hooks:
            hooks.write("\ndef after_scenario(context, scenario):\n    raise OSError\n")
    code, said = behave_run(folder, listed(SCENARIO_RED))
    assert code == 1 and f"{SCENARIO_RED} is " in said and "without a step that failed" in said, (
        said
    )
