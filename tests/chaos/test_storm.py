"""One storm over real processes, and one that a planted defect breaks."""

from __future__ import annotations

from cairndale.chaos.storm import Plan, one


async def test_nothing_is_broken_in_a_storm() -> None:
    storm = await one(1001, spoilt="books")
    assert storm.broken == [], storm.did
    assert len(storm.acks) >= 1 and sum(heard.status == 200 for heard in storm.heard) > 100


async def test_planted_defects_are_seen() -> None:
    """All of them in one storm, in which cold servers take the place of others all the time:
    `broken_promise`, `free_starts`, `short_memory`."""
    plan = Plan(kinds=("server",))
    storm = await one(1001, "cairndale.chaos.mutations:several", spoilt="books", plan=plan)
    for said in ("promised not to run, and ran", "cold: ", "refused when it was sent again"):
        assert any(said in line for line in storm.broken), (said, storm.broken)
