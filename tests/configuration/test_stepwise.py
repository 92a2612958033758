"""Jobs in steps, run to completion or within a time budget."""

from __future__ import annotations

import pytest

from cairndale.configuration import stepwise
from cairndale.configuration.stepwise import Finished, Steps, advance, run_to_completion


def counting_job(done: list[int], count: int) -> Steps[int]:
    for number in range(count):
        done.append(number)
        yield
    return count


def failing_job() -> Steps[None]:
    yield
    raise ValueError("failure of the job")


@pytest.mark.parametrize("count", [0, 1, 5])
def test_all_steps_run_to_the_result(count: int) -> None:
    done: list[int] = []
    assert run_to_completion(counting_job(done, count)) == count
    assert done == list(range(count))


def test_without_a_budget_one_step_runs_at_a_time() -> None:
    done: list[int] = []
    steps = counting_job(done, 3)
    for number in range(3):
        assert advance(steps) is None
        assert len(done) == number + 1
    assert advance(steps) == Finished(3)


def test_steps_run_until_the_budget_is_exhausted(monkeypatch: pytest.MonkeyPatch) -> None:
    done: list[int] = []
    # A clock on which each step takes a millisecond.
    monkeypatch.setattr(stepwise.time, "perf_counter", lambda: len(done) / 1000)
    steps = counting_job(done, 10)
    assert advance(steps, budget_s=0.0035) is None
    assert len(done) == 4
    assert advance(steps, budget_s=1.0) == Finished(10)


def test_an_exception_of_a_job_is_raised_to_the_caller() -> None:
    steps = failing_job()
    assert advance(steps) is None
    with pytest.raises(ValueError, match="failure of the job"):
        advance(steps)
    with pytest.raises(ValueError, match="failure of the job"):
        run_to_completion(failing_job())
