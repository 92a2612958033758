"""Operators' calls over loopback sockets: statuses, incomplete calls, saved maintenance."""

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


class OpsPort:
    """An ingress with one backend, s-1, and its operators' port."""

    def __init__(self, ingress: Ingress, saved: Path) -> None:
        self.ingress, self.saved, self.serving = ingress, saved, True
        self.maintenance = Maintenance(ingress.engine, saved)
        self.ops = Ops(ingress.engine, self.maintenance, lambda: self.serving)

    async def call(self, text: str, method: str = "POST") -> int:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(f"{method} {text} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        answer = await read_answer(reader)
        assert await reader.read() == b""  # one call per connection
        writer.close()
        return int(answer.split()[1])


def endpoint_update(port: int, status: str, index: int = 1, name: str = "s-1") -> EndpointUpdate:
    entry = {
        "name": name,
        "address": f"{HOST}:{port}",
        "status": status,
        "zone": "hall",
        "type": "big",
    }
    return EndpointUpdate({"index": index, "snapshot": True, "endpoints": [entry]})


@pytest_asyncio.fixture
async def ops_port(tmp_path: Path) -> AsyncIterator[OpsPort]:
    server = await PeerServer(reply_with(OK)).start()
    ingress = Ingress(ScriptedPolicy(send_first))
    await ingress.start()
    ingress.engine.update_endpoints(endpoint_update(server.port, "up"))
    ops_port = OpsPort(ingress, tmp_path / "kept.json")
    ops_port.server = server  # type: ignore[attr-defined]
    ops_port.port = await ops_port.ops.listen(HOST, 0)
    yield ops_port
    ops_port.ops.stop()
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
async def test_statuses_of_calls(ops_port: OpsPort, method: str, call: str, status: int) -> None:
    assert await ops_port.call(call, method) == status
    assert (
        not ops_port.ingress.script.of_kind(it.MaintenanceChanged) and not ops_port.saved.exists()
    )


async def test_status_is_503_while_the_process_cannot_serve(ops_port: OpsPort) -> None:
    ops_port.serving = False
    assert await ops_port.call("/status", "GET") == 503


async def test_backend_in_maintenance_gets_no_request_whatever_its_status(
    ops_port: OpsPort,
) -> None:
    engine, script, port = ops_port.ingress.engine, ops_port.ingress.script, ops_port.server.port  # type: ignore[attr-defined]
    assert (await ops_port.ingress.ask(request("a"))).startswith(b"HTTP/1.1 200 ")
    for _ in range(2):  # the call may arrive twice
        assert await ops_port.call("/maintenance/enter?who=s-1") == 200
    assert json.loads(ops_port.saved.read_text()) == ["s-1"] and not engine.can_serve()
    for status in ("draining", "removed", "up"):
        engine.update_endpoints(endpoint_update(port, status))
    assert (await ops_port.ingress.ask(request("b"))).startswith(b"HTTP/1.1 502 ")
    assert await ops_port.call("/maintenance/exit?who=s-1") == 200  # one exit call undoes both
    assert (await ops_port.ingress.ask(request("c"))).startswith(b"HTTP/1.1 200 ")
    assert [e.in_maintenance for e in script.of_kind(it.MaintenanceChanged)] == [True, True, False]
    assert json.loads(ops_port.saved.read_text()) == [] and engine.can_serve()


async def test_maintenance_is_restored_before_the_backend_is_listed(tmp_path: Path) -> None:
    saved, script = tmp_path / "kept.json", ScriptedPolicy()
    saved.write_text('["s-1"]')
    ingress = Ingress(script)
    Maintenance(ingress.engine, saved).restore()
    ingress.engine.update_endpoints(endpoint_update(1, "up"))
    (event,) = script.of_kind(it.MaintenanceChanged)
    (listed,) = script.of_kind(it.BackendsListed)
    assert (
        event.in_maintenance
        and event.backend == listed.backends[0].id
        and not ingress.engine.can_serve()
    )
    ingress.stop()


@pytest.mark.parametrize("text", ["", '["s-1"', '{"s-1": 1}', "[1]"])
async def test_invalid_maintenance_file_is_logged_and_ignored(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, text: str
) -> None:
    (tmp_path / "kept.json").write_text(text)
    ingress = Ingress(ScriptedPolicy())
    Maintenance(ingress.engine, tmp_path / "kept.json").restore()
    assert not ingress.engine.in_maintenance and "kept.json" in caplog.text
    ingress.stop()


async def test_maintenance_that_cannot_be_saved_is_rejected(
    ops_port: OpsPort, tmp_path: Path
) -> None:
    ops_port.maintenance._path = tmp_path / "missing" / "kept.json"
    assert await ops_port.call("/maintenance/enter?who=s-1") == 500
    assert not ops_port.ingress.engine.in_maintenance and not ops_port.ingress.script.of_kind(
        it.MaintenanceChanged
    )


async def test_incomplete_calls_are_limited_and_block_no_others(ops_port: OpsPort) -> None:
    connections = [
        await asyncio.open_connection(HOST, ops_port.port) for _ in range(2 * MAX_CALLERS)
    ]
    for _, writer in connections[MAX_CALLERS:]:
        writer.write(b"POST /maintenance/enter?who=s-1 HTTP/1.1\r\nHo")
    assert await ops_port.call("/status", "GET") == 200
    assert len(ops_port.ops.callers) <= MAX_CALLERS
    async with asyncio.timeout(10):
        for number, (reader, writer) in enumerate(connections):
            with_answer = await reader.read() if number < MAX_CALLERS else b""
            assert with_answer == b""  # the oldest ones were evicted
            writer.close()


async def test_call_that_is_never_completed_times_out(
    ops_port: OpsPort, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cairndale.ingress.net.ops.CALL_TIMEOUT_S", 0.01)
    reader, writer = await asyncio.open_connection(HOST, ops_port.port)
    writer.write(b"GET /sta")
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 408 ")
    writer.close()
