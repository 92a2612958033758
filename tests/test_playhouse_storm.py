"""One storm over real processes, and one that a planted defect breaks."""

from __future__ import annotations

import pytest

from playhouse.rehearsal.storm import one


async def test_nothing_is_broken_in_a_storm() -> None:
    storm = await one(1001, spoilt="books")
    assert storm.broken == [], storm.did
    assert len(storm.acks) >= 1 and sum(heard.status == 200 for heard in storm.heard) > 100


@pytest.mark.parametrize(
    ("plant", "said"), [("broken_promise", "promised not to run, and ran"), ("free_starts", "cold: ")]
)
async def test_planted_defects_are_seen(plant: str, said: str) -> None:
    storm = await one(1001, f"playhouse.rehearsal.plants:{plant}", spoilt="books")
    assert any(said in line for line in storm.broken), storm.broken
