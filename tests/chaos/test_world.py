"""What the checks of a run make of requests that are still on their way."""

from __future__ import annotations

import asyncio
from pathlib import Path

from cairndale.chaos.world import World


# Guards against a soak that fails as its checks begin while a request of its load is being served:
# `ran, but no client sent it`.
async def test_a_request_on_its_way_is_known_to_the_checks(tmp_path: Path) -> None:
    world = World(tmp_path)
    server = await world.add_server("tiles", "north-a")
    host, port = server.listen_address
    request = asyncio.ensure_future(world.request("GET", "/tiles/1", key="", at=f"{host}:{port}"))
    while not world.ledger.executions:
        await asyncio.sleep(0)
    assert not request.done() and world.verdict() == []
    request.cancel()
    await world.end()
