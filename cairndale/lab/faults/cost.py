"""Measures the cost of a relay: round trips and bytes a second through a relay without faults, and
without a relay."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cairndale.lab.faults.relay import Proxy
from cairndale.lab.live.ports import HOST
from cairndale.lab.live.worker import PipedProcess

MESSAGE_BYTES = 100
BULK_BYTES = 64 << 20
MEASUREMENT_TIMEOUT_S = 60.0  # for each measurement


@dataclass(frozen=True, slots=True)
class Cost:
    """Round-trip times and throughput of one path."""

    path: str
    median_us: float  # round trip
    p99_us: float
    mb_per_s: float


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1 << 16):
        writer.write(data)
        await writer.drain()
    writer.close()


async def _sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    left = BULK_BYTES
    while left > 0 and (data := await reader.read(1 << 20)):
        left -= len(data)
    writer.write(b"!")
    writer.close()


async def _measure(path: str, echo: int, sink: int, trips: int) -> Cost:
    async with asyncio.timeout(MEASUREMENT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(HOST, echo)
        trip_times_us = []
        for _ in range(trips):
            begin = time.perf_counter_ns()
            writer.write(bytes(MESSAGE_BYTES))
            await reader.readexactly(MESSAGE_BYTES)
            trip_times_us.append((time.perf_counter_ns() - begin) / 1000)
        writer.close()
        reader, writer = await asyncio.open_connection(HOST, sink)
        begin_s = time.perf_counter()
        writer.write(bytes(BULK_BYTES))
        await reader.readexactly(1)
        span = time.perf_counter() - begin_s
        writer.close()
    trip_times_us.sort()
    return Cost(
        path,
        statistics.median(trip_times_us),
        trip_times_us[int(len(trip_times_us) * 0.99)],
        BULK_BYTES / span / 1e6,
    )


async def cost(trips: int = 3000) -> list[Cost]:
    """Measures direct and relayed connections, one after the other, to the same servers in this
    process."""
    servers = [await asyncio.start_server(serve, HOST, 0) for serve in (_echo, _sink)]
    echo, sink = (int(server.sockets[0].getsockname()[1]) for server in servers)
    opened: asyncio.Future[dict[str, int]] = asyncio.get_running_loop().create_future()

    def on_message(message: dict[str, Any]) -> None:
        if "opened" in message:
            opened.set_result(message["opened"])

    with tempfile.TemporaryDirectory() as folder:
        relay = PipedProcess("relay", [Proxy.__module__], Path(folder), on_message)
        try:
            await relay.ready
            relay.send(tcp=[["a>b#echo", HOST, echo], ["a>b#sink", HOST, sink]])
            relayed = await opened
            return [
                await _measure("direct", echo, sink, trips),
                await _measure("relay", relayed["a>b#echo"], relayed["a>b#sink"], trips),
            ]
        finally:
            await relay.end()
            for server in servers:
                server.close()
