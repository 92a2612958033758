"""Stand-ins of the fault laboratory for servers and the counter, a process each:
`python -m cairndale.lab.faults.standins server|counter PORT FILE`.

A server appends a line to FILE for each request that takes effect, before it answers, so that the
checker knows the side effects from where they happened. Unlike the servers of the live host, these
do not model work."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from typing import cast

import httptools
import uvloop

from cairndale.ingress.net.http import HttpConnection, Message, encode_response
from cairndale.lab.live.ports import HOST

WORK_S = (0.001, 0.03)  # shortest and longest time that a request takes
FAILURE_SHARE = 0.03  # of the requests: their connection is reset after the side effect
MAX_TOTALS = 10_000


class ServerProtocol(HttpConnection):
    """Serves requests, and records the side effect of each before it answers."""

    def __init__(self, effects_fd: int, rng: random.Random) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._effects_fd, self._rng = effects_fd, rng

    def message_received(self, message: Message) -> None:
        request_id = message.headers.get(b"request-id", b"")
        if not request_id:
            self.transport.write(encode_response(404, b""))
            return
        asyncio.get_running_loop().call_later(
            self._rng.uniform(*WORK_S), self._apply_effect, request_id
        )

    def _apply_effect(self, request_id: bytes) -> None:
        if self.transport.is_closing():  # the client closed the connection before the work began
            return
        os.write(self._effects_fd, b"%b %d\n" % (request_id, time.monotonic_ns() // 1000))
        if self._rng.random() < FAILURE_SHARE:
            self.transport.abort()
        else:
            self.transport.write(encode_response(200, b"done " + request_id))

    def message_invalid(self, status: int) -> None:
        self.transport.abort()


class CounterProtocol(asyncio.Protocol):
    """Serves lines as PROTOCOL defines them. The number of totals is bounded: the oldest is removed
    first."""

    def __init__(self, totals: dict[bytes, float]) -> None:
        self._totals, self._partial_line = totals, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\r\n")
        for line in lines:
            self.transport.write(self._answer(line.split(b" ")) + b"\r\n")

    def _answer(self, words: list[bytes]) -> bytes:
        if words == [b"ping"]:
            return b"pong"
        try:
            verb, name, amount, _ = words
            if verb != b"add":
                return b"error"
            total = self._totals[name] = self._totals.get(name, 0.0) + float(amount)
        except ValueError:
            return b"error"
        if len(self._totals) > MAX_TOTALS:
            del self._totals[next(iter(self._totals))]
        return b"ok %.6f" % total


async def serve(role: str, port: int, path: str) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    if role == "server":
        effects_fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        rng = random.Random(port)
        server = await loop.create_server(lambda: ServerProtocol(effects_fd, rng), HOST, port)
    else:
        totals: dict[bytes, float] = {}
        server = await loop.create_server(lambda: CounterProtocol(totals), HOST, port)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.close()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
