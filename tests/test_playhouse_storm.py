"""One storm over real processes, and one that a planted defect breaks."""

from __future__ import annotations

from playhouse.rehearsal.storm import one


async def test_nothing_is_broken_in_a_storm() -> None:
    storm = await one(1001, spoilt="books")
    assert storm.broken == [], storm.did
    assert len(storm.acks) >= 1 and sum(heard.status == 200 for heard in storm.heard) > 100


async def test_a_planted_defect_is_seen() -> None:
    storm = await one(1001, "playhouse.rehearsal.plants:broken_promise", spoilt="books")
    assert any("promised not to run, and ran" in line for line in storm.broken), storm.broken
