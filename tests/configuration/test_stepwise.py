"""Jobs in steps, driven at once or within a time budget."""

from __future__ import annotations

import pytest

from cairndale.configuration import stepwise
from cairndale.configuration.stepwise import Finished, Steps, advance, run_to_completion


def counting(done: list[int], count: int) -> Steps[int]:
    for number in range(count):
        done.append(number)
        yield
    return count


def failing() -> Steps[None]:
    yield
    raise ValueError("the job's")


@pytest.mark.parametrize("count", [0, 1, 5])
def test_all_steps_run_to_the_result(count: int) -> None:
    done: list[int] = []
    assert run_to_completion(counting(done, count)) == count
    assert done == list(range(count))


def test_without_a_budget_one_step_runs_at_a_time() -> None:
    done: list[int] = []
    steps = counting(done, 3)
    for number in range(3):
        assert advance(steps) is None
        assert len(done) == number + 1
    assert advance(steps) == Finished(3)


def test_steps_run_until_the_budget_is_used_up(monkeypatch: pytest.MonkeyPatch) -> None:
    done: list[int] = []
    # A clock on which each step takes a millisecond.
    monkeypatch.setattr(stepwise.time, "perf_counter", lambda: len(done) / 1000)
    steps = counting(done, 10)
    assert advance(steps, budget_s=0.0035) is None
    assert len(done) == 4
    assert advance(steps, budget_s=1.0) == Finished(10)


def test_what_a_job_raises_reaches_its_driver() -> None:
    steps = failing()
    assert advance(steps) is None
    with pytest.raises(ValueError, match="the job's"):
        advance(steps)
    with pytest.raises(ValueError, match="the job's"):
        run_to_completion(failing())
