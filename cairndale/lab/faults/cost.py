"""What a relay costs: round trips and bytes a second through one with no fault on it, beside
none."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cairndale.lab.faults.relay import Front
from cairndale.lab.live.ports import HOST
from cairndale.lab.live.worker import Piped

SIZE = 100  # bytes of a message
BULK = 64 << 20  # bytes
TIMEOUT = 60.0  # s for each measurement


@dataclass(frozen=True, slots=True)
class Cost:
    way: str
    median_us: float  # of a round trip
    p99_us: float
    mb_per_s: float


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1 << 16):
        writer.write(data)
        await writer.drain()
    writer.close()


async def _sink(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    left = BULK
    while left > 0 and (data := await reader.read(1 << 20)):
        left -= len(data)
    writer.write(b"!")
    writer.close()


async def _measured(way: str, echo: int, sink: int, trips: int) -> Cost:
    async with asyncio.timeout(TIMEOUT):
        reader, writer = await asyncio.open_connection(HOST, echo)
        took = []
        for _ in range(trips):
            begin = time.perf_counter_ns()
            writer.write(bytes(SIZE))
            await reader.readexactly(SIZE)
            took.append((time.perf_counter_ns() - begin) / 1000)
        writer.close()
        reader, writer = await asyncio.open_connection(HOST, sink)
        begin_s = time.perf_counter()
        writer.write(bytes(BULK))
        await reader.readexactly(1)
        span = time.perf_counter() - begin_s
        writer.close()
    took.sort()
    return Cost(way, statistics.median(took), took[int(len(took) * 0.99)], BULK / span / 1e6)


async def cost(trips: int = 3000) -> list[Cost]:
    """Direct, and through a relay, in turns: the same ends, on this process's loop."""
    ends = [await asyncio.start_server(serve, HOST, 0) for serve in (_echo, _sink)]
    echo, sink = (int(end.sockets[0].getsockname()[1]) for end in ends)
    opened: asyncio.Future[dict[str, int]] = asyncio.get_running_loop().create_future()

    def heard(said: dict[str, Any]) -> None:
        if "opened" in said:
            opened.set_result(said["opened"])

    with tempfile.TemporaryDirectory() as folder:
        relay = Piped("relay", [Front.__module__], Path(folder), heard)
        try:
            await relay.ready
            relay.tell(tcp=[["a>b#echo", HOST, echo], ["a>b#sink", HOST, sink]])
            through = await opened
            return [
                await _measured("direct", echo, sink, trips),
                await _measured("relay", through["a>b#echo"], through["a>b#sink"], trips),
            ]
        finally:
            await relay.end()
            for end in ends:
                end.close()
