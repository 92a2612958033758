"""One storm over real processes, and one with known defects that the checkers must detect."""

from __future__ import annotations

from cairndale.chaos.storm import StormPlan, run_storm


async def test_a_storm_has_no_violations() -> None:
    storm = await run_storm(1001, faulty_service="books")
    assert storm.violations == [], storm.fault_log
    assert (
        len(storm.acknowledged_orders) >= 1
        and sum(attempt.status == 200 for attempt in storm.attempts) > 100
    )


async def test_planted_defects_are_detected() -> None:
    """`broken_promise`, `free_starts` and `short_memory` in one storm, in which servers in slow
    start replace others all the time."""
    plan = StormPlan(fault_kinds=("server",))
    storm = await run_storm(
        1001, "cairndale.chaos.mutations:several", faulty_service="books", plan=plan
    )
    for expected in (
        "guarantees that it did not run, but it ran",
        "cold: ",
        "rejected when it was sent again",
    ):
        assert any(expected in line for line in storm.violations), (expected, storm.violations)
