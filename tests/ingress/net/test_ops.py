"""Operators' calls over loopback sockets: yes and no, silent callers, maintenance and where it is
kept."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from cairndale.ingress.net.discovery import EndpointUpdate
from cairndale.ingress.net.ops import MAX_CALLERS, Maintenance, Ops
from cairndale.ingress.policy import interface as it
from tests.testing.ingress import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    ScriptedPolicy,
    read_answer,
    reply_with,
    request,
    send_first,
)


class Desk:
    """An ingress with one backend, s-1, and its operators' listener."""

    def __init__(self, ingress: Ingress, kept: Path) -> None:
        self.ingress, self.kept, self.serving = ingress, kept, True
        self.maintenance = Maintenance(ingress.engine, kept)
        self.ops = Ops(ingress.engine, self.maintenance, lambda: self.serving)

    async def call(self, text: str, method: str = "POST") -> int:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(f"{method} {text} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        answer = await read_answer(reader)
        assert await reader.read() == b""  # one call a connection
        writer.close()
        return int(answer.split()[1])


def listing(port: int, status: str, index: int = 1, name: str = "s-1") -> EndpointUpdate:
    entry = {
        "name": name,
        "address": f"{HOST}:{port}",
        "status": status,
        "zone": "hall",
        "type": "big",
    }
    return EndpointUpdate({"index": index, "snapshot": True, "endpoints": [entry]})


@pytest_asyncio.fixture
async def desk(tmp_path: Path) -> AsyncIterator[Desk]:
    server = await PeerServer(reply_with(OK)).start()
    ingress = Ingress(ScriptedPolicy(send_first))
    await ingress.start()
    ingress.engine.update_endpoints(listing(server.port, "up"))
    desk = Desk(ingress, tmp_path / "kept.json")
    desk.server = server  # type: ignore[attr-defined]
    desk.port = await desk.ops.listen(HOST, 0)
    yield desk
    desk.ops.stop()
    ingress.stop()
    server.stop()


@pytest.mark.parametrize(
    ("method", "call", "status"),
    [
        ("GET", "/status", 200),
        ("POST", "/status", 405),
        ("GET", "/discovery", 200),
        ("POST", "/discovery", 405),
        ("GET", "/maintenance/enter?who=s-1", 405),
        ("POST", "/maintenance/enter?who=s-9", 404),
        ("POST", "/maintenance/exit?who=s-9", 404),
        ("POST", "/maintenance/enter", 400),
        ("POST", "/maintenance/enter?who=", 400),
        ("POST", "/maintenance/enter?who=s-1&who=s-2", 400),
        ("POST", "/maintenance?who=s-1", 404),
        ("GET", "/up", 404),
    ],
)
async def test_calls_get_a_yes_or_a_plain_no(
    desk: Desk, method: str, call: str, status: int
) -> None:
    assert await desk.call(call, method) == status
    assert not desk.ingress.script.of_kind(it.MaintenanceChanged) and not desk.kept.exists()


async def test_status_is_no_while_the_process_cannot_serve(desk: Desk) -> None:
    desk.serving = False
    assert await desk.call("/status", "GET") == 503


async def test_a_server_out_gets_nothing_new_whatever_the_list_says(desk: Desk) -> None:
    engine, script, port = desk.ingress.engine, desk.ingress.script, desk.server.port  # type: ignore[attr-defined]
    assert (await desk.ingress.ask(request("a"))).startswith(b"HTTP/1.1 200 ")
    for _ in range(2):  # it may arrive twice
        assert await desk.call("/maintenance/enter?who=s-1") == 200
    assert json.loads(desk.kept.read_text()) == ["s-1"] and not engine.can_serve()
    for status in ("draining", "removed", "up"):
        engine.update_endpoints(listing(port, status))
    assert (await desk.ingress.ask(request("b"))).startswith(b"HTTP/1.1 502 ")
    assert await desk.call("/maintenance/exit?who=s-1") == 200  # one call back undoes both
    assert (await desk.ingress.ask(request("c"))).startswith(b"HTTP/1.1 200 ")
    assert [e.in_maintenance for e in script.of_kind(it.MaintenanceChanged)] == [True, True, False]
    assert json.loads(desk.kept.read_text()) == [] and engine.can_serve()


async def test_a_new_process_knows_what_was_out_before_the_list_names_it(tmp_path: Path) -> None:
    kept, script = tmp_path / "kept.json", ScriptedPolicy()
    kept.write_text('["s-1"]')
    ingress = Ingress(script)
    Maintenance(ingress.engine, kept).restore()
    ingress.engine.update_endpoints(listing(1, "up"))
    (told,) = script.of_kind(it.MaintenanceChanged)
    (listed,) = script.of_kind(it.BackendsListed)
    assert (
        told.in_maintenance
        and told.backend == listed.backends[0].id
        and not ingress.engine.can_serve()
    )
    ingress.stop()


@pytest.mark.parametrize("text", ["", '["s-1"', '{"s-1": 1}', "[1]"])
async def test_a_broken_file_is_told_and_passed_over(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, text: str
) -> None:
    (tmp_path / "kept.json").write_text(text)
    ingress = Ingress(ScriptedPolicy())
    Maintenance(ingress.engine, tmp_path / "kept.json").restore()
    assert not ingress.engine.in_maintenance and "kept.json" in caplog.text
    ingress.stop()


async def test_what_cannot_be_kept_is_a_no_and_changes_nothing(desk: Desk, tmp_path: Path) -> None:
    desk.maintenance._path = tmp_path / "missing" / "kept.json"
    assert await desk.call("/maintenance/enter?who=s-1") == 500
    assert not desk.ingress.engine.in_maintenance and not desk.ingress.script.of_kind(
        it.MaintenanceChanged
    )


async def test_silent_and_half_sent_callers_are_bounded_and_hold_up_nobody(desk: Desk) -> None:
    held = [await asyncio.open_connection(HOST, desk.port) for _ in range(2 * MAX_CALLERS)]
    for _, writer in held[MAX_CALLERS:]:
        writer.write(b"POST /maintenance/enter?who=s-1 HTTP/1.1\r\nHo")
    assert await desk.call("/status", "GET") == 200
    assert len(desk.ops.callers) <= MAX_CALLERS
    async with asyncio.timeout(10):
        for number, (reader, writer) in enumerate(held):
            with_answer = await reader.read() if number < MAX_CALLERS else b""
            assert with_answer == b""  # the longest waiting have given way
            writer.close()


async def test_a_caller_that_never_finishes_is_told_so(
    desk: Desk, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cairndale.ingress.net.ops.CALL_TIMEOUT_S", 0.01)
    reader, writer = await asyncio.open_connection(HOST, desk.port)
    writer.write(b"GET /sta")
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 408 ")
    writer.close()
