"""Short soaks of what was acknowledged to operators and servers, over real processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from cairndale.chaos.control_soak import ControlSoak, SoakPlan, run_soak


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


class AnswerLosingSoak(ControlSoak):
    """Loses each answer to a change while `loses_answers`: the change comes into force."""

    loses_answers = False
    read: Any = None  # what a read answers in place of the system, if set

    async def order(
        self,
        method: str,
        call: str,
        raw: Any = None,
        within: float = 15.0,
        attempt_timeout: float = 2.0,
    ) -> tuple[int, Any]:
        if call == "Config.Read" and self.read is not None:
            return 200, self.read
        answer = await super().order(method, call, raw, within, attempt_timeout)
        if self.loses_answers and call.startswith("Config.") and method == "POST":
            raise TimeoutError
        return answer


# Guards against a soak that fails though all holds (seed 1119): a change without a clear answer may
# be in force (RULES, CONFIG), so its operator goes on from what is read.
async def test_a_change_without_a_clear_answer_may_be_in_force(tmp_path: Path) -> None:
    soak = AnswerLosingSoak(tmp_path, seed=1, plan=SoakPlan(edges=1))
    await soak.begin()
    try:
        await soak.operator.replace(soak._next_configuration(odd=False))
        soak.loses_answers = True
        with pytest.raises(TimeoutError):
            await soak.operator.replace(soak._next_configuration(odd=True))
        assert soak.operator.gen > 1 and soak.operator.unclear == []
        soak.loses_answers = False
        await soak.operator.replace(soak._next_configuration(odd=False))
        assert (await soak.order("GET", "Config.Read"))[1]["gen"] == soak.operator.gen
        assert soak.violations == []
    finally:
        await soak.end()


@pytest.mark.parametrize("read", ["older", "changed", "never sent"])
async def test_a_read_that_no_operator_allows_is_reported(tmp_path: Path, read: str) -> None:
    soak = AnswerLosingSoak(tmp_path, seed=1)
    operator = soak.operator
    older, unclear = soak._next_configuration(odd=False), soak._next_configuration(odd=True)
    operator.in_force = older | {"gen": 2, "parent": 1}
    operator.unclear = [unclear | {"gen": 9}]
    content = {"older": older, "changed": unclear | {"gen": 9, "limits": {}}}.get(read, {"gen": 7})
    soak.read = json.loads(json.dumps({n: v for n, v in content.items() if n != "parent"}))
    await operator.read_in_force()
    assert len(soak.violations) == 1, soak.violations
    soak.read = {n: v for n, v in operator.unclear[0].items() if n != "parent"}
    await operator.read_in_force()
    assert (len(soak.violations), operator.gen) == (1, 9)
