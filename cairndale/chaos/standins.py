"""Servers as the protocol has them: they beat, run requests, and write down every one that ran."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from cairndale.http_api.server import BufferedConnection
from cairndale.ingress.net.http import Message, encode_response

BEAT_WAIT = 1.0  # s for the answer to a beat; then the next ingress is called


@dataclass(slots=True)
class Ran:
    """A line of a server's ledger."""

    request: str
    server: str
    tenant: str
    key: str  # the key itself, which no server is to see
    method: str
    path: str
    at: float


@dataclass(slots=True)
class Arrived:
    """A request at a server, whether it ran or was turned away."""

    request: str
    service: str
    server: str
    cold: bool
    at: float
    zone: str = ""


@dataclass(slots=True)
class Beat:
    """A call of a server that was acknowledged."""

    server: str
    state: str
    address: str
    sent: float
    heard: float


@dataclass(slots=True)
class Ledger:
    """What all servers of a run have run, in order, and what came to them."""

    ran: list[Ran] = field(default_factory=list)
    arrived: list[Arrived] = field(default_factory=list)
    beats: list[Beat] = field(default_factory=list)
    turned_away: int = 0

    def times(self) -> Counter[str]:
        return Counter(line.request for line in self.ran)


class Server:
    """One life of a server. `how` spoils its answers: "late" sends a second answer after each,
    "cut" breaks off in the middle, "mute" runs and never answers, "full" turns all away."""

    def __init__(
        self,
        service: str,
        zone: str,
        at: tuple[str, int],
        ledger: Ledger,
        control: list[str],
        work: float = 0.005,
        beat: float = 0.3,
        warmup: float = 0.0,
    ) -> None:
        """`warmup`: s from its start for which it is cold."""
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.zone, self.at, self.ledger = service, zone, at, ledger
        self.control, self.work, self.beat, self.how = control, work, beat, ""
        self.state, self.seq, self.near = "ready", 0, ""
        self.chunked = False
        self.warm_at = asyncio.get_running_loop().time() + warmup
        self.open: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), *self.at)
        self._beats = loop.create_task(self._beating())

    def crash(self) -> None:
        """Without a word."""
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()
        for connection in list(self.open):
            connection.transport.abort()

    async def drain(self) -> None:
        """Until the beat that says so is acknowledged."""
        self.state = "draining"
        while not await self.say(f"Instances.Heartbeat/{self.id}"):
            await asyncio.sleep(0.05)

    async def _beating(self) -> None:
        while True:
            await self.say(f"Instances.Heartbeat/{self.id}")
            await asyncio.sleep(self.beat * random.uniform(0.8, 1.2))

    async def say(self, call: str) -> bool:
        self.seq += 1
        left = max(0.0, self.warm_at - asyncio.get_running_loop().time())
        body: dict[str, Any] = {
            "addr": f"{self.at[0]}:{self.at[1]}",
            "details": {"backend": self.service, "gen": "v1", "zone": self.zone, "capacity": 4},
            "status": {"state": self.state, "seq": self.seq, "warmupLeft": f"{left * 1000:.0f}ms"},
        }
        loop, near, self.near = asyncio.get_running_loop(), self.near, ""
        for address in [*([near] if near else []), *random.sample(self.control, len(self.control))]:
            sent = loop.time()
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(BEAT_WAIT):
                    status, told = await ask(
                        address, "POST", f"/-/{call}", json.dumps(body).encode()
                    )
                if 200 <= status < 300:
                    self.ledger.beats.append(
                        Beat(self.id, body["status"]["state"], address, sent, loop.time())
                    )
                    self.near = (
                        json.loads(told or b"{}").get("beatUrl", "").removeprefix("http://") or near
                    )
                    return True
            near = ""  # it holds until a beat fails there
        return False


class Connection(BufferedConnection):
    def __init__(self, server: Server) -> None:
        super().__init__(httptools.HttpRequestParser)
        self.server = server
        self._waits: list[asyncio.TimerHandle] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.open.discard(self)

    def message_invalid(self, status: int) -> None:
        self.transport.abort()

    def message_received(self, message: Message) -> None:
        server, headers = self.server, message.headers
        id = headers.get(b"x-request-id", b"")
        echo = b"X-Request-Id: %b\r\n" % id
        target, now = (
            headers.get(b"x-target-instance", b"").decode(),
            asyncio.get_running_loop().time(),
        )
        if target in ("", server.id):
            cold = now < server.warm_at
            came = Arrived(id.decode(), server.service, server.id, cold, now, server.zone)
            server.ledger.arrived.append(came)
        if target not in ("", server.id):
            server.ledger.turned_away += 1
            self.transport.write(encode_response(421, b"", echo))
        elif server.how == "full" or not id:
            server.ledger.turned_away += 1
            self.transport.write(
                encode_response(503 if id else 400, b"", echo + b"X-Not-Run: 1\r\n")
            )
        else:
            loop = asyncio.get_running_loop()
            line = Ran(
                id.decode(),
                server.id,
                headers.get(b"x-tenant", b"").decode(),
                headers.get(b"authorization", b"").decode(),
                message.method.decode(),
                message.target.decode("latin-1"),
                now,
            )
            server.ledger.ran.append(line)
            loop.call_later(server.work, self._answer, id, message.body)

    def _answer(self, id: bytes, body: bytes) -> None:
        server = self.server
        if self.transport.is_closing() or server.how == "mute":
            return
        seal = b"X-Request-Id: %b\r\nX-Seal: %b\r\n" % (id, server.id.encode())
        text = b"%b:%b" % (server.id.encode(), body)
        if server.chunked:
            head = b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n" % seal
            data = (
                head
                + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (text[:5], text[5:]) if p)
                + b"0\r\n\r\n"
            )
        else:
            data = encode_response(200, text, seal)
        if server.how == "cut":
            self.transport.write(data[:-3])
            self.transport.close()
            return
        self.transport.write(data)
        if server.how == "late":  # an answer too many, in the place of the next one
            asyncio.get_running_loop().call_later(0.02, self.transport.write, data)


async def ask(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    count: Callable[[int, int], None] | None = None,
) -> tuple[int, bytes]:
    """One call on a connection of its own. `count` is told the bytes that went out and that came
    in. Raises OSError, or ValueError for what is no whole answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
        named = {"Host": address} | (headers or {})
        lines += [f"{name}: {value}" for name, value in named.items()]
        whole = "\r\n".join([*lines, "", ""]).encode() + body
        writer.write(whole)
        data = await reader.read()
        if count:
            count(len(whole), len(data))
    finally:
        writer.close()
    return parsed(data)


def parsed(data: bytes) -> tuple[int, bytes]:
    """Status and body of a whole answer; ValueError if it is none."""

    class Reader:
        def __init__(self) -> None:
            self.parts: list[bytes] = []
            self.done = False

        def on_body(self, part: bytes) -> None:
            self.parts.append(part)

        def on_message_complete(self) -> None:
            self.done = True

    found = Reader()
    parser = httptools.HttpResponseParser(found)
    try:
        parser.feed_data(data)
    except httptools.HttpParserError as error:
        raise ValueError(str(error)) from None
    if not found.done:
        raise ValueError("the answer ended early")
    return parser.get_status_code(), b"".join(found.parts)
