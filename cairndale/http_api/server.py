"""HTTP doors for calls: one request at a time on a connection, each answered by a coroutine."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import httptools

from cairndale.ingress.net.http import HttpConnection, Message, plain
from cairndale.rpc.framing import detect_dead_peer
from cairndale.settings import Address

MOST_BODY = 16 * 1024 * 1024
MOST_OPEN = 1024
PATIENCE = 10.0  # s that a connection may take for a call, or stand idle
TOLD = 12.0  # s for an answer to be found, whatever else

Answer = tuple[int, bytes]
Take = Callable[[str, str, bytes], Awaitable[Answer]]  # method, target, body
Read = Callable[[str, str, Answer], None]  # method, target, answer
LINGER = 1.5  # s that a caller may take to end a connection after its last answer


def told(status: int, value: Any) -> Answer:
    return status, json.dumps(value, separators=(",", ":")).encode()


def wrong(status: int, *errors: str) -> Answer:
    return told(status, {"errors": list(errors)})


class HttpServer:
    def __init__(self, take: Take, read: Read | None = None) -> None:
        """`read` is told of each answer that its caller has had for sure."""
        self.take, self.read = take, read
        self.open: set[ApiConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, at: Address) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ApiConnection(self), *at, backlog=512)

    def stop(self) -> None:
        self.closing = True
        if self._server:
            self._server.close()
        for visitor in list(self.open):
            visitor.transport.close()


class BufferedConnection(HttpConnection):
    """Takes requests whose bodies are collected, up to a size."""

    _came: list[bytes]
    _size_come = 0

    def opened(self, message: Message) -> None:
        self._came, self._size_come = [], 0

    def part(self, message: Message, data: bytes) -> None:
        self._size_come += len(data)
        if self._size_come > MOST_BODY:
            self._lost_framing = True
            self.garbage(413)
        else:
            self._came.append(data)

    def ended(self, message: Message) -> None:
        message.body, self._came = b"".join(self._came), []
        self.received(message)


class ApiConnection(BufferedConnection):
    def __init__(self, addresses: HttpServer) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._addresses, self._busy = addresses, False
        # the last answer, until it is known to be read
        self._said: tuple[str, str, Answer] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if sock := transport.get_extra_info("socket"):
            detect_dead_peer(sock, 5000)
        self._addresses.open.add(self)
        if len(self._addresses.open) > MOST_OPEN:
            self.transport.abort()
            return
        self._wait()

    def connection_lost(self, exc: Exception | None) -> None:
        self._addresses.open.discard(self)
        if self._timer:
            self._timer.cancel()

    def _wait(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(PATIENCE, self.transport.abort)

    def garbage(self, status: int) -> None:
        if not self.transport.is_closing():
            self._say(status, wrong(status, self.wrong or "not understood")[1], False)

    def received(self, message: Message) -> None:
        if self._busy:  # no pipelining here
            self.transport.abort()
            return
        self._was_read()
        self._busy = True
        task = asyncio.get_running_loop().create_task(self._take(message))
        self._addresses.tasks.add(task)
        task.add_done_callback(self._addresses.tasks.discard)

    async def _take(self, message: Message) -> None:
        method, target = message.method.decode("latin-1"), message.target.decode("latin-1")
        for _ in range(
            2
        ):  # what came with the call is read: after a freeze its caller may be long gone
            await asyncio.sleep(0)
        if self.transport.is_closing():
            return
        try:
            async with asyncio.timeout(TOLD):
                status, body = await self._addresses.take(method, target, message.body)
        except TimeoutError:
            status, body = wrong(503, "no answer in time")
        self._busy = False
        if not self.transport.is_closing():
            self._said = (method, target, (status, body))
            self._say(status, body, message.keep_alive and not self._addresses.closing)

    def eof_received(self) -> None:
        """In order, and after the answer: whoever sends that has had it."""
        self._was_read()

    def _was_read(self) -> None:
        said, self._said = self._said, None
        if said and self._addresses.read:
            self._addresses.read(*said)

    def _say(self, status: int, body: bytes, keep: bool) -> None:
        self.transport.write(
            plain(status, body, b"Content-Type: application/json\r\n", close=not keep)
        )
        if keep:
            self._wait()
        elif self._addresses.read and self._timer:
            self.transport.write_eof()
            self._timer.cancel()
            self._timer = asyncio.get_running_loop().call_later(LINGER, self.transport.close)
        else:
            self.transport.close()
