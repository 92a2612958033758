"""What the checks of a run make of requests that are still on their way."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from cairndale.chaos.standins import Execution
from cairndale.chaos.world import Attempt, World


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


@pytest.mark.parametrize(
    ("attempt", "is_violated"),
    [
        (Attempt("x", "POST", 200, b"sound:"), False),
        (Attempt("x", "POST", 200, b"broken:"), True),
        (Attempt("x", "POST", 204), True),
        (Attempt("x", "POST", 502), False),
        (Attempt("x", "POST", 0, malformed="status 000 is out of range"), True),
    ],
)
def test_a_success_made_of_a_malformed_response_is_reported(
    tmp_path: Path, attempt: Attempt, is_violated: bool
) -> None:
    world = World(tmp_path)
    world.attempts.append(attempt)
    server = "sound" if attempt.body == b"sound:" else "broken"
    world.ledger.executions.append(Execution("x", server, "", "", "POST", "/books/1", 1.0))
    world.ledger.answered_malformed["x", "broken"] = False
    assert bool(world.verdict()) == is_violated
