"""Stand-ins for servers: they send heartbeats, run requests and record every one that ran."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import quote

import httptools

from cairndale.chaos.malformed import MALFORMED
from cairndale.chaos.scripted_response import ScriptedResponse
from cairndale.http_api.server import BufferedConnection
from cairndale.ingress.net.http import Message, ResponseReader, encode_response

HEARTBEAT_TIMEOUT_S = 1.0  # for the response to a heartbeat; then the next node is called


@dataclass(slots=True)
class Execution:
    """A request that a server ran."""

    request: str
    server: str
    tenant: str
    key: str  # the API key, which must not reach servers: empty if all is well
    method: str
    path: str
    at: float


@dataclass(slots=True)
class Arrival:
    """A request that reached a server, whether it ran or was rejected."""

    request: str
    service: str
    server: str
    cold: bool
    at: float
    zone: str = ""


@dataclass(slots=True)
class Heartbeat:
    """An acknowledged heartbeat of a server."""

    server: str
    state: str
    address: str
    sent_at: float
    received_at: float


@dataclass(slots=True)
class Ledger:
    """The executions, arrivals and heartbeats of all servers of a run, in order."""

    executions: list[Execution] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    heartbeats: list[Heartbeat] = field(default_factory=list)
    # Requests that a server ran and answered by a malformed response, with that server, and
    # whether the connection had been used before.
    answered_malformed: dict[tuple[str, str], bool] = field(default_factory=dict)
    rejected: int = 0

    def execution_counts(self) -> Counter[str]:
        """Return how often each request ran."""
        return Counter(execution.request for execution in self.executions)


class Server:
    """One incarnation of a server.

    `fault` is how it misbehaves: "late" sends a surplus response after each, "cut" truncates
    responses, "mute" runs requests and never responds, "full" rejects all requests, "malformed"
    breaks RFC 9110 or RFC 9112 in each response. The first execution of a request that asks for a
    malformed response is answered as it asks (`scripted_response.py`).
    """

    def __init__(
        self,
        service: str,
        zone: str,
        listen_address: tuple[str, int],
        ledger: Ledger,
        control: list[str],
        service_time: float = 0.005,
        heartbeat_interval: float = 0.3,
        warmup: float = 0.0,
        id: str = "",
    ) -> None:
        """`warmup`: seconds of slow start; `id`: by default a random one."""
        self.id = id or f"i-{random.getrandbits(40):010x}"
        self.service, self.zone, self.listen_address, self.ledger = (
            service,
            zone,
            listen_address,
            ledger,
        )
        self.control, self.service_time, self.heartbeat_interval, self.fault = (
            control,
            service_time,
            heartbeat_interval,
            "",
        )
        self.state, self.seq, self.preferred_address = "ready", 0, ""
        self.chunked = False
        self.warm_at = asyncio.get_running_loop().time() + warmup
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), *self.listen_address)
        self._heartbeat_task = loop.create_task(self._send_heartbeats())

    def crash(self) -> None:
        """Stop without draining, and abort all connections."""
        if self._heartbeat_task:
            self._heartbeat_task.cancel()
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats, and serve on."""
        if self._heartbeat_task:
            self._heartbeat_task.cancel()

    async def drain(self) -> None:
        """Report the state "draining" until a heartbeat with it is acknowledged."""
        self.state = "draining"
        while not await self.send_status(self._call("Heartbeat")):
            await asyncio.sleep(0.05)

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_status(self._call("Heartbeat"))
            await asyncio.sleep(self.heartbeat_interval * random.uniform(0.8, 1.2))

    async def leave(self, *, by_ending: bool) -> None:
        """Announce the departure until it is acknowledged, and send no heartbeats after it.

        `by_ending`: by `Instances.Deregister`, else by the state "draining". It serves on.
        """
        if not by_ending:
            await self.drain()
            self.stop_heartbeats()
            return
        self.stop_heartbeats()
        while not await self.send_status(self._call("Deregister")):
            await asyncio.sleep(0.1)

    def heartbeat_body(self) -> bytes:
        """The body of the next heartbeat."""
        self.seq += 1
        warmup_left = max(0.0, self.warm_at - asyncio.get_running_loop().time())
        body = {
            "addr": f"{self.listen_address[0]}:{self.listen_address[1]}",
            "details": {"backend": self.service, "gen": "v1", "zone": self.zone, "capacity": 4},
            "status": {
                "state": self.state,
                "seq": self.seq,
                "warmupLeft": f"{warmup_left * 1000:.0f}ms",
            },
        }
        return json.dumps(body).encode()

    async def send_late_heartbeat(self, body: bytes, within: float) -> None:
        """Send a heartbeat that was made earlier to one control node, whatever the answer."""
        with contextlib.suppress(OSError, ValueError, TimeoutError):
            async with asyncio.timeout(within):
                call = f"/-/{self._call('Heartbeat')}"
                await http_call(random.choice(self.control), "POST", call, body)

    def _call(self, call: str) -> str:
        return f"Instances.{call}/{quote(self.id, safe='')}"

    async def send_status(self, call: str) -> bool:
        """Send the state to the first node that accepts it; return whether one did."""
        state, body = self.state, self.heartbeat_body()
        loop, preferred_address, self.preferred_address = (
            asyncio.get_running_loop(),
            self.preferred_address,
            "",
        )
        for address in [
            *([preferred_address] if preferred_address else []),
            *random.sample(self.control, len(self.control)),
        ]:
            sent_at = loop.time()
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    status, answer = await http_call(address, "POST", f"/-/{call}", body)
                if 200 <= status < 300:
                    self.ledger.heartbeats.append(
                        Heartbeat(self.id, state, address, sent_at, loop.time())
                    )
                    self.preferred_address = (
                        json.loads(answer or b"{}").get("beatUrl", "").removeprefix("http://")
                        or preferred_address
                    )
                    return True
            preferred_address = ""  # valid only until a heartbeat fails there
        return False


class Connection(BufferedConnection):
    """A connection from an ingress to a server."""

    def __init__(self, server: Server) -> None:
        super().__init__(httptools.HttpRequestParser)
        self.server = server
        self._used_before = False
        self._timers: list[asyncio.TimerHandle] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)

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
            arrival = Arrival(id.decode(), server.service, server.id, cold, now, server.zone)
            server.ledger.arrivals.append(arrival)
        if target not in ("", server.id):
            server.ledger.rejected += 1
            self.transport.write(encode_response(421, b"", echo))
        elif server.fault == "full" or not id:
            server.ledger.rejected += 1
            self.transport.write(
                encode_response(503 if id else 400, b"", echo + b"X-Not-Run: 1\r\n")
            )
        else:
            loop = asyncio.get_running_loop()
            execution = Execution(
                id.decode(),
                server.id,
                headers.get(b"x-tenant", b"").decode(),
                headers.get(b"authorization", b"").decode(),
                message.method.decode(),
                message.target.decode("latin-1"),
                now,
            )
            server.ledger.executions.append(execution)
            loop.call_later(server.service_time, self._answer, id, message)

    def _answer(self, id: bytes, message: Message) -> None:
        server = self.server
        if self.transport.is_closing() or server.fault == "mute":
            return
        identity_headers = b"X-Request-Id: %b\r\nX-Seal: %b\r\n" % (id, server.id.encode())
        response_body = b"%b:%b" % (server.id.encode(), message.body)
        script = ScriptedResponse.of_target(message.target)
        if script and server.ledger.execution_counts()[id.decode()] == 1:
            self._note_malformed(id)
            self._writing = asyncio.ensure_future(script.write(self.transport, identity_headers))
            return
        if server.chunked:
            head = b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n" % identity_headers
            data = (
                head
                + b"".join(
                    b"%x\r\n%b\r\n" % (len(chunk), chunk)
                    for chunk in (response_body[:5], response_body[5:])
                    if chunk
                )
                + b"0\r\n\r\n"
            )
        else:
            data = encode_response(200, response_body, identity_headers)
        if server.fault == "malformed":
            self._note_malformed(id)
            build = random.choice(list(MALFORMED.values()))
            self.transport.write(build(identity_headers, response_body))
            return
        self._used_before = True
        if server.fault == "cut":
            self.transport.write(data[:-3])
            self.transport.close()
            return
        self.transport.write(data)
        if server.fault == "late":  # a surplus response, where that to the next request is expected
            asyncio.get_running_loop().call_later(0.02, self.transport.write, data)

    def _note_malformed(self, id: bytes) -> None:
        key = (id.decode(), self.server.id)
        self.server.ledger.answered_malformed[key] = self._used_before


async def http_call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    count: Callable[[int, int], None] | None = None,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body of the response.

    `count` is called with the numbers of bytes sent and received. Raises OSError, or ValueError for
    an incomplete or malformed response.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
        all_headers = {"Host": address} | (headers or {})
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        request = "\r\n".join([*lines, "", ""]).encode() + body
        writer.write(request)
        data = await reader.read()
        if count:
            count(len(request), len(data))
    finally:
        writer.close()
    return parse_response(data)


def parse_response(data: bytes) -> tuple[int, bytes]:
    """Return status and body of a response.

    Raises IncompleteResponseError, or InvalidResponseError for a malformed one.
    """
    reader = ResponseReader()
    body = reader.feed(data)
    reader.end()
    return reader.status, body
