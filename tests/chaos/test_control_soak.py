"""Short soaks of what was acknowledged to operators and servers, over real processes."""

from __future__ import annotations

from cairndale.chaos.control_soak import SoakPlan, run_soak


# Guards against late copies of orders (review/1), departures that a kill of all control processes
# forgets (review/2), and valid configurations that end service (review/3).
async def test_a_short_soak_keeps_what_was_acknowledged() -> None:
    soak, violations = await run_soak(3, SoakPlan(length_s=10.0))
    assert violations == [], soak.actions
    assert soak.departed and any("killed" in action for action in soak.actions), soak.actions
    assert any("late copy" in action for action in soak.actions), soak.actions


# Guards against removed keys that open routes (review/4) beside kills, restarts and signals.
async def test_a_short_soak_runs_no_request_without_tenants() -> None:
    plan = SoakPlan(length_s=8.0, key_removal_share=1.0)
    soak, violations = await run_soak(3, plan)
    assert violations == [], soak.actions
    assert soak.keyless_times, soak.actions
