"""What the checks of a run make of requests that are still on their way."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from unittest.mock import Mock

import pytest

from cairndale.chaos import world as world_module
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


# Guards against a run that goes on while an ingress does not know the others yet: once all control
# nodes were killed, edge-1 never named edge-2 to clients.
async def test_a_system_is_ready_once_each_ingress_names_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = World(tmp_path, cores=1, edges=2)
    for machine in world.machines.values():
        machine.process = Mock(**{"poll.return_value": None})
    both = [world.edge("edge-1"), world.edge("edge-2")]
    named = {world.address(world.machines[f"edge-{n}"], 2): both[n - 1 : n] for n in (1, 2)}

    async def answer(address: str, _: str, target: str) -> tuple[int, bytes]:
        if target == "/-/readyz":
            return 200, b"{}"
        return 200, json.dumps({"addrs": named[address]}).encode()

    monkeypatch.setattr(world_module, "http_call", answer)
    for directory in named:
        with pytest.raises(TimeoutError, match="does not name edge-"):
            await world.ready(2, within=0.2)
        named[directory] = both
    await world.ready(2, within=5.0)


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
