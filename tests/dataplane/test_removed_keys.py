"""Removed keys open no route of the system's processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from cairndale.chaos.world import KEY, OTHER_KEY, World
from tests.testing.worlds import configured

NEVER_A_KEY = "never-a-key"
KEYS = (KEY, OTHER_KEY, NEVER_A_KEY, "")


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with configured(World(tmp_path, cores=1, edges=1)) as world:
        yield world


async def statuses(world: World, *keys: str) -> list[int]:
    """Of a read and a change with each key, sent one after the other."""
    found = list[int]()
    for key in keys:
        for method, path in (("GET", "/tiles/1"), ("POST", "/books/1")):
            attempt = await world.request(method, path, key, at=world.edge("edge-1"))
            found.append(attempt.status)
    return found


async def change(world: World, call: str, **parts: Any) -> None:
    answer = await world.change(call, **parts)
    assert answer[0] == 200, answer


async def restart(world: World) -> None:
    names = list(world.machines)
    await asyncio.gather(*(world.kill(name, signal.SIGKILL) for name in names))
    for name in names:
        world.start(name)
    await world.ready(1)


def without_tenants(world: World) -> dict[str, Any]:
    return {name: value for name, value in world.content().items() if name != "tenants"}


# Guards against review/4: once the last tenant was removed, its key and any other opened all
# routes. Ingresses learn of it by a change or by the whole configuration, before or after a restart
# of all processes.
@pytest.mark.parametrize("how", ["Update", "Replace by an empty list", "Replace without a list"])
async def test_removing_the_last_tenant_opens_no_route(world: World, how: str) -> None:
    assert await statuses(world, KEY, NEVER_A_KEY) == [200, 200, 401, 401]
    match how:
        case "Update":
            await change(world, "Update", remove={"tenants": ["north"]})
            assert await statuses(world, *KEYS[:2]) == [401, 401, 200, 200]
            await change(world, "Update", remove={"tenants": ["south"]})
        case "Replace by an empty list":
            await change(world, "Replace", **without_tenants(world), tenants=[])
        case "Replace without a list":
            await change(world, "Replace", **without_tenants(world))
    assert await statuses(world, *KEYS) == [401] * 8
    public = await world.request("GET", "/open/1", "", at=world.edge("edge-1"))
    assert public.status == 200
    _, read = await world.order("GET", "Config.Read")
    assert read.get("tenants") == (None if how == "Replace without a list" else [])
    await restart(world)
    assert await statuses(world, *KEYS) == [401] * 8
    added = {"name": "south", "apiKeys": [OTHER_KEY]}
    await change(world, "Update", upsert={"tenants": [added]})
    assert await statuses(world, *KEYS) == [401, 401, 200, 200, 401, 401, 401, 401]
    assert not world.verdict()


async def test_a_configuration_that_never_had_tenants_needs_no_key(tmp_path: Path) -> None:
    for number, tenants in enumerate(({}, {"tenants": []})):
        world = World(tmp_path / str(number), cores=1, edges=1)
        world.folder.mkdir()
        await world.begin()
        try:
            await change(world, "Replace", **without_tenants(world), **tenants)
            await world.ready(1)
            assert await statuses(world, "") == [200, 200]
        finally:
            await world.end()
