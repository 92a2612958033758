"""Servers of the system's processes read the name of the tenant that holds the key."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from cairndale.chaos.world import KEY, World
from tests.testing.worlds import configured

NEW_KEY = "kéy of the added tenant"


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with configured(World(tmp_path, cores=1, edges=1)) as world:
        yield world


async def add_tenant(world: World, name: str) -> tuple[int, Any]:
    tenant = {"name": name, "apiKeys": [NEW_KEY]}
    return await world.change("Update", upsert={"tenants": [tenant]})


async def tenant_of(world: World, key: str) -> str:
    attempt = await world.request("POST", "/books/1", key, at=world.edge("edge-1"))
    tenants = [e.tenant for e in world.ledger.executions if e.request == attempt.request]
    return tenants[0] if tenants else str(attempt.status)


# Guards against review/7: requests with the key of `north ` ran as those of `north`.
@pytest.mark.parametrize("name", ["north ", " north", "north\u00a0"])
async def test_requests_run_as_the_tenant_that_holds_the_key(world: World, name: str) -> None:
    status, answer = await add_tenant(world, name)
    assert status == 400 and answer["errors"][0].startswith(f"tenants[2].name: {name!r} ")
    assert await tenant_of(world, NEW_KEY) == "401"
    assert (await add_tenant(world, "Nörd lich"))[0] == 200
    assert await tenant_of(world, NEW_KEY) == "Nörd lich"
    assert await tenant_of(world, KEY) == "north"
    assert not world.verdict()
