"""Servers and the counter as the fault lab has them, a process each:
`python -m cairndale.lab.faults.standins server|counter PORT FILE`.

A server appends a line to FILE for each request that takes effect there, before it answers: what
has happened is what the places acted upon saw. The servers of the lab's live host model work; these
do not."""

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

WORK = (0.001, 0.03)  # s that a request takes: from, to
FAILING = 0.03  # share of the requests whose connection breaks after the effect
MOST_NAMES = 10_000


class ServerCaller(HttpConnection):
    def __init__(self, out: int, rng: random.Random) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._out, self._rng = out, rng

    def message_received(self, message: Message) -> None:
        id = message.headers.get(b"request-id", b"")
        if not id:
            self.transport.write(encode_response(404, b""))
            return
        asyncio.get_running_loop().call_later(self._rng.uniform(*WORK), self._work, id)

    def _work(self, id: bytes) -> None:
        if self.transport.is_closing():  # given up before it began
            return
        os.write(self._out, b"%b %d\n" % (id, time.monotonic_ns() // 1000))
        if self._rng.random() < FAILING:
            self.transport.abort()
        else:
            self.transport.write(encode_response(200, b"done " + id))

    def message_invalid(self, status: int) -> None:
        self.transport.abort()


class CounterCaller(asyncio.Protocol):
    """Lines as PROTOCOL has them; totals are bounded in number, the oldest name goes first."""

    def __init__(self, totals: dict[bytes, float]) -> None:
        self._totals, self._rest = totals, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        for line in lines:
            self.transport.write(self._answer(line.split(b" ")) + b"\r\n")

    def _answer(self, words: list[bytes]) -> bytes:
        if words == [b"ping"]:
            return b"pong"
        try:
            word, name, amount, _ = words
            if word != b"add":
                return b"error"
            total = self._totals[name] = self._totals.get(name, 0.0) + float(amount)
        except ValueError:
            return b"error"
        if len(self._totals) > MOST_NAMES:
            del self._totals[next(iter(self._totals))]
        return b"ok %.6f" % total


async def serve(what: str, port: int, path: str) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    if what == "server":
        out = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        rng = random.Random(port)
        server = await loop.create_server(lambda: ServerCaller(out, rng), HOST, port)
    else:
        totals: dict[bytes, float] = {}
        server = await loop.create_server(lambda: CounterCaller(totals), HOST, port)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.close()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
