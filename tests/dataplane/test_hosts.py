"""Requests of the system's processes are run by the service of their own host."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from cairndale.chaos.world import World
from tests.testing.worlds import configured

PORTED = "a.example:8206"


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncIterator[World]:
    async with configured(World(tmp_path, cores=1, edges=1)) as world:
        yield world


async def service_that_ran(world: World, host: str, path: str) -> str:
    """The service that a request reached; the status where it reached none."""
    attempt = await world.request("POST", path, at=world.edge("edge-1"), Host=host)
    services = {one.service for one in world.ledger.arrivals if one.request == attempt.request}
    return services.pop() if services else str(attempt.status)


# Guards against review/6: the service of the host without a port ran the requests of the host with
# one, and where that was the only host, they got 404.
@pytest.mark.parametrize("written", [PORTED, "A.Example.:08206"])
async def test_a_route_of_a_host_with_a_port_gets_its_requests(world: World, written: str) -> None:
    common = {"kind": "mutating", "backend": "tiles", "tries": 2}
    routes = [
        {"name": "trial", "host": written, "pathPrefix": "/books/", **common},
        {"name": "alone", "host": "alone.example:8206", "pathPrefix": "/", **common},
    ]
    status, answer = await world.change("Update", upsert={"routes": routes})
    assert status == 200, answer
    for host in (PORTED, "A.EXAMPLE:8206", "a.example.:8206"):
        assert await service_that_ran(world, host, "/books/1") == "tiles"
    for host in ("a.example", "a.example.", "a.example:", "a.example:80"):
        assert await service_that_ran(world, host, "/books/1") == "books"
    assert await service_that_ran(world, "alone.example:8206", "/books/1") == "tiles"
    assert await service_that_ran(world, "alone.example:8207", "/books/1") == "404"
    assert not world.verdict()
