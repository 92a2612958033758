"""Long computations split into steps, so that an event loop can run other tasks in between.

A job is a generator that yields after each step of a few milliseconds at most and returns its
result. The caller decides when the next step runs: `run_to_completion` runs all steps, `advance` as
many as fit in a time budget.
"""

from __future__ import annotations

import math
import time
from collections.abc import Generator
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
Steps = Generator[None, None, T]


@dataclass(frozen=True, slots=True)
class Finished(Generic[T]):
    """The result of a job that has ended."""

    result: T


def advance(steps: Steps[T], budget_s: float = 0.0) -> Finished[T] | None:
    """Runs one step, then further steps until `budget_s` seconds have passed.

    Returns None if steps are left. Raises what the job raises.
    """
    deadline = time.perf_counter() + budget_s
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return Finished(ended.value)
        if time.perf_counter() >= deadline:
            return None


def run_to_completion(steps: Steps[T]) -> T:
    """Runs all steps without a pause and returns the result. Raises what the job raises."""
    while (finished := advance(steps, budget_s=math.inf)) is None:
        pass
    return finished.result
