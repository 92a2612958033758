"""One short soak of acknowledged orders and departures over real processes."""

from __future__ import annotations

from cairndale.chaos.control_soak import SoakPlan, run_soak


# Guards against late copies of orders (review/1), departures that a kill of all control processes
# forgets (review/2), and valid configurations that end service (review/3).
async def test_a_short_soak_keeps_what_was_acknowledged() -> None:
    soak, violations = await run_soak(3, SoakPlan(length_s=10.0))
    assert violations == [], soak.actions
    assert soak.departed and any("killed" in action for action in soak.actions), soak.actions
    assert any("late copy" in action for action in soak.actions), soak.actions
