"""No response that breaks RFC 9110 or RFC 9112 reaches a client of the system's processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from pathlib import Path
from urllib.parse import urlencode

import pytest_asyncio

from cairndale.chaos.malformed import MALFORMED, MALFORMED_HEADS
from cairndale.chaos.scripted_response import BODY_BYTE
from cairndale.chaos.world import KEY, World
from cairndale.ingress.net.http import MAX_BUFFERED_BODY_BYTES
from tests.testing.worlds import configured

LARGE = MAX_BUFFERED_BODY_BYTES + 1
PARALLEL_REQUESTS = 8
CLIENT_TIMEOUT_S = 10.0
READS_PER_RETRY = 10  # retries are limited to a share of the requests


class IngressWorld(World):
    """One control node, one ingress, two servers of each service."""

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


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncIterator[IngressWorld]:
    async with configured(IngressWorld(tmp_path, cores=1, edges=1)) as world:
        yield world


async def test_malformed_responses_reach_no_client(world: IngressWorld) -> None:
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
    on_used = world.ledger.answered_malformed.values()
    assert not failures, f"{len(failures)} of {len(on_used)}:\n" + "\n".join(failures)
    assert (world.folder / "edge-1.log").read_text().count("invalid response") >= len(on_used)


async def test_request_that_may_run_twice_is_tried_again(world: IngressWorld) -> None:
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
    on_used = world.ledger.answered_malformed.values()
    assert not failures, "\n".join(failures)
    assert sum(on_used) > len(on_used) / 2
