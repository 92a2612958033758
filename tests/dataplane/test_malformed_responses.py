"""No response that breaks RFC 9110 or RFC 9112 reaches a client of the system's processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from pathlib import Path
from urllib.parse import parse_qs, urlencode

import pytest_asyncio

from cairndale.chaos.malformed import MALFORMED, MALFORMED_HEADS
from cairndale.chaos.standins import Connection, Server
from cairndale.chaos.world import KEY, World
from cairndale.ingress.net.http import MAX_BUFFERED_BODY_BYTES, Message

LARGE = MAX_BUFFERED_BODY_BYTES + 1
BYTE_PAUSE_S = 0.0003  # between bytes that the ingress reads one by one
MAX_HEAD_BYTES = 500
BODY_BYTE = b"%"  # of malformed responses; others have none
PARALLEL_REQUESTS = 8
CLIENT_TIMEOUT_S = 10.0
READS_PER_RETRY = 10  # retries are limited to a share of the requests


class ScriptedConnection(Connection):
    """Answers as the query of a request asks: `malformed`, `bytewise`, `size` of the body.

    Only the first execution of a request is answered by a malformed response.
    """

    answered_before = False

    def message_received(self, message: Message) -> None:
        query = message.target.partition(b"?")[2].decode()
        self.script = {name: values[0] for name, values in parse_qs(query).items()}
        super().message_received(message)

    def _answer(self, id: bytes, body: bytes) -> None:
        name, runs = self.script.get("malformed", ""), self.server.ledger.execution_counts()
        if not name or runs[id.decode()] > 1:
            self.answered_before = True
            super()._answer(id, body)
            return
        fields = b"X-Request-Id: %b\r\nX-Seal: %b\r\n" % (id, self.server.id.encode())
        data = MALFORMED[name](fields, BODY_BYTE * int(self.script["size"]))
        assert isinstance(self.server, ScriptedServer)
        self.server.malformed_on_used.append(self.answered_before)
        self.writing = asyncio.ensure_future(self._write(data, "bytewise" in self.script))

    async def _write(self, data: bytes, bytewise: bool) -> None:
        """Write until the ingress closes the connection; after the head, no longer byte by byte."""
        head_end = data.rindex(b"\r\n\r\n", 0, MAX_HEAD_BYTES) + 4 if bytewise else 0
        for part in [*(bytes((byte,)) for byte in data[:head_end]), data[head_end:]]:
            if self.transport.is_closing():
                return
            self.transport.write(part)
            await asyncio.sleep(BYTE_PAUSE_S)


class ScriptedServer(Server):
    async def start(self) -> None:
        await super().start()
        assert self._server
        self._server.close()
        self.malformed_on_used: list[bool] = []
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ScriptedConnection(self), *self.listen_address
        )


class ScriptedWorld(World):
    async def add_server(self, service: str, zone: str) -> Server:
        self._server_port += 1
        address = (self._server_ip, self._server_port)
        server = ScriptedServer(service, zone, address, self.ledger, self.control)
        await server.start()
        self.started_servers.append(server)
        return server

    async def ask(self, method: str, path: str, **script: str | int) -> tuple[str, bytes]:
        """Send a request on a connection of its own; return its id and all bytes received."""
        id = f"{random.getrandbits(64):016x}"
        host, _, port = self.edge("edge-1").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {path}?{urlencode(script)} HTTP/1.1\r\nHost: a.example\r\n"
            head += f"X-Request-Id: {id}\r\nAuthorization: Token {KEY}\r\n"
            writer.write(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                return id, await reader.read(-1)
        except ConnectionResetError:
            return id, b""
        finally:
            writer.close()

    def malformed_on_used(self) -> list[bool]:
        """Return, for each malformed response, whether its connection had been used before."""
        servers = [s for s in self.started_servers if isinstance(s, ScriptedServer)]
        return [used for server in servers for used in server.malformed_on_used]


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncIterator[ScriptedWorld]:
    world = ScriptedWorld(tmp_path, cores=1, edges=1)
    await world.begin()
    try:
        await world.configure()
        await world.ready(1)
        yield world
    finally:
        await world.end()


async def test_malformed_responses_reach_no_client(world: ScriptedWorld) -> None:
    """Whole and byte by byte, buffered and streamed, on new and on used connections."""
    slots, failures = asyncio.Semaphore(PARALLEL_REQUESTS), list[str]()

    async def change(name: str, **script: str | int) -> None:
        """A request that must not run twice."""
        async with slots:
            id, received = await world.ask("POST", "/books/1", malformed=name, **script)
        begun = name not in MALFORMED_HEADS and script["size"] == LARGE
        is_cut = begun and not received.endswith(b"\r\n0\r\n\r\n")
        if not (received.startswith(b"HTTP/1.1 502 ") or is_cut):
            failures.append(f"{name} {script}: {received[:60]!r}")
        if (runs := world.ledger.execution_counts()[id]) != 1:
            failures.append(f"{name} {script}: ran {runs} times")

    scripts = ({"size": size} | more for size in (9, LARGE) for more in ({}, {"bytewise": 1}))
    changes = [change(name, **script) for script in scripts for name in MALFORMED]
    await asyncio.gather(*changes)
    on_used = world.malformed_on_used()
    assert not failures, f"{len(failures)} of {len(on_used)}:\n" + "\n".join(failures)
    assert (world.folder / "edge-1.log").read_text().count("invalid response") >= len(on_used)


async def test_request_that_may_run_twice_is_tried_again(world: ScriptedWorld) -> None:
    """The connection that the malformed response came on had been used before."""
    failures = []
    for name in MALFORMED:
        for _ in range(READS_PER_RETRY):
            await world.ask("GET", "/tiles/1")
        id, received = await world.ask("GET", "/tiles/1", malformed=name, size=9)
        if not received.startswith(b"HTTP/1.1 200 ") or BODY_BYTE in received:
            failures.append(f"{name}: {received[:60]!r}")
        if (runs := world.ledger.execution_counts()[id]) != 2:
            failures.append(f"{name}: ran {runs} times")
    on_used = world.malformed_on_used()
    assert not failures, "\n".join(failures)
    assert sum(on_used) > len(on_used) / 2
