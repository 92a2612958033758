"""HTTP server for calls of operators and servers.

Each connection carries one request at a time, without pipelining; each request is answered by a
coroutine. Responses are JSON.

A request may arrive long after it was sent: a network partition or a pause of this process holds it
up, and its caller may have given it up since. A call that must not be executed late (an order) is
executed only if the connection shows that it is recent: it was sent after the connection was
accepted, and after the previous response on it. On a connection that was idle for longer the caller
is redirected to the same URL, and repeats the call on a new connection if it still waits. On a
recent connection the call may be old all the same: a proxy, or the last packet of a handshake, was
held up with it. So it waits until the close of a connection that its caller gave up has arrived.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import httptools

from cairndale.events import Event, log_event
from cairndale.ingress.net.http import HttpConnection, Message, encode_response
from cairndale.rpc.framing import detect_dead_peer, received_ago
from cairndale.settings import Address

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_CONNECTIONS = 1024
IDLE_TIMEOUT_S = 10.0  # that a connection may be idle, or take to send a request
HANDLER_TIMEOUT_S = 12.0
MAX_ORDER_AGE_S = 0.4  # of an order at its arrival: half of the time in which it may take effect
ORDER_WAIT_S = (
    0.2  # longer than a round trip, after which the close of a late order's connection comes
)
LINGER_S = 1.5  # that a client may take to close a connection after its last response
MAX_LOGGED_CHARS = 200  # of a request's target
UNACKED_TIMEOUT_MS = 5000  # without a TCP acknowledgement

Response = tuple[int, bytes]  # status and body
RequestHandler = Callable[[str, str, bytes], Awaitable[Response]]  # method, target, body


class OrderHandler(Protocol):
    """Executes calls that must not be executed late."""

    def is_order(self, method: str, target: str) -> bool:
        """Whether a call must not be executed late."""

    async def execute_order(
        self, method: str, target: str, body: bytes, sent_after: float
    ) -> Response:
        """Answers an order that was sent after `sent_after`, in seconds on the loop's clock."""


DeliveryListener = Callable[[str, str, Response], None]  # method, target, response


def json_response(status: int, value: object) -> Response:
    """Return a response with this value as compact JSON."""
    return status, json.dumps(value, separators=(",", ":")).encode()


def error_response(status: int, *errors: str) -> Response:
    """Return a response that lists errors, as `{"errors": [...]}`."""
    return json_response(status, {"errors": list(errors)})


@dataclass(frozen=True, slots=True)
class _Call:
    """A request as its handler gets it."""

    method: str
    target: str
    body: bytes

    def __str__(self) -> str:
        return f"{self.method} {self.target[:MAX_LOGGED_CHARS]}"


@dataclass(frozen=True, slots=True)
class _Delivery:
    """A response that was written, but may not have been received by its client yet."""

    call: _Call
    response: Response


class HttpServer:
    """Accepts connections and answers the requests on them.

    Args:
        handle: answers one request; it is cancelled after `HANDLER_TIMEOUT_S`, and the client
            receives a 503.
        on_delivered: called with each response that its client has certainly received.
        orders: answers orders in place of `handle`; None: there are no orders.

    Attributes:
        connections: the open connections.
        closing: `stop` was called: each connection is closed after its next response.
    """

    def __init__(
        self,
        handle: RequestHandler,
        on_delivered: DeliveryListener | None = None,
        orders: OrderHandler | None = None,
    ) -> None:
        self.handle, self.on_delivered, self.orders = handle, on_delivered, orders
        self.connections: set[ApiConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept connections at the address. Raises OSError if it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ApiConnection(self), *address, backlog=512)

    def stop(self) -> None:
        """Stop accepting, and close all connections once their write buffers are sent."""
        self.closing = True
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.close()


class BufferedConnection(HttpConnection):
    """Collects the body of each request before `message_received` is called.

    A body over `MAX_BODY_BYTES` is answered by `garbage(413)`.
    """

    _chunks: list[bytes]
    _body_bytes = 0

    def body_began(self, message: Message) -> None:
        """Called when the head of a request is complete."""
        self._chunks, self._body_bytes = [], 0

    def body_part_received(self, message: Message, data: bytes) -> None:
        """Called with each received part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._framing_lost = True
            self.message_invalid(413)
        else:
            self._chunks.append(data)

    def body_ended(self, message: Message) -> None:
        """Called when the body is complete."""
        message.body, self._chunks = b"".join(self._chunks), []
        self.message_received(message)


class ApiConnection(BufferedConnection):
    """One connection of an `HttpServer`."""

    def __init__(self, server: HttpServer) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._server, self._busy = server, False
        self._delivery: _Delivery | None = None  # the last one, until its receipt is confirmed
        self._timer: asyncio.TimerHandle | None = None
        # When the connection was accepted, or the last response on it written: the client sent its
        # next request after that.
        self._idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Track the connection, or abort it if more than `MAX_CONNECTIONS` are open."""
        super().connection_made(transport)
        if sock := transport.get_extra_info("socket"):
            detect_dead_peer(sock, UNACKED_TIMEOUT_MS)
        self._server.connections.add(self)
        if len(self._server.connections) > MAX_CONNECTIONS:
            self.transport.abort()
            return
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection. A request that is being processed continues."""
        self._server.connections.discard(self)
        if self._timer:
            self._timer.cancel()

    def _restart_idle_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_since = loop.time()
        self._timer = loop.call_later(IDLE_TIMEOUT_S, self.transport.abort)

    def message_invalid(self, status: int) -> None:
        """Answer an invalid request, and close the connection."""
        if not self.transport.is_closing():
            _, body = error_response(status, self.parse_error or "not understood")
            self._write(status, body, False)

    def message_received(self, message: Message) -> None:
        """Start to process a request; abort the connection if the last one is still unanswered."""
        if self._busy:
            self.transport.abort()
            return
        self._confirm_delivery()
        self._busy = True
        task = asyncio.get_running_loop().create_task(self._answer(message))
        self._server.tasks.add(task)
        task.add_done_callback(self._server.tasks.discard)

    async def _answer(self, message: Message) -> None:
        call = _Call(
            message.method.decode("latin-1"), message.target.decode("latin-1"), message.body
        )
        orders = self._server.orders
        if orders and orders.is_order(call.method, call.target):
            await self._answer_order(orders, message, call)
            return
        # In two turns of the loop everything received with the call is read, also the end of the
        # connection: after a pause of this process the client may be gone.
        for _ in range(2):
            await asyncio.sleep(0)
        if not self.transport.is_closing():
            answer = self._server.handle(call.method, call.target, call.body)
            await self._respond(message, call, answer)

    async def _answer_order(self, orders: OrderHandler, message: Message, call: _Call) -> None:
        now = asyncio.get_running_loop().time()
        sent_after = now - self._request_age(now)
        await asyncio.sleep(ORDER_WAIT_S)
        if self.transport.is_closing():
            log_event(Event.ORDER_EXPIRED, "%s: its connection was closed", call)
        elif now - sent_after > MAX_ORDER_AGE_S:
            self._redirect(message)
        else:
            answer = orders.execute_order(call.method, call.target, call.body, sent_after)
            await self._respond(message, call, answer)

    async def _respond(self, message: Message, call: _Call, answer: Awaitable[Response]) -> None:
        """Writes the answer to a request, or why there is none."""
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                response = await answer
        except TimeoutError:
            response = error_response(503, "no answer in time")
        except Exception as error:
            log_event(Event.FAILED, "%s could not be answered: %r", call, error)
            response = error_response(500, "the call could not be answered")
        self._busy = False
        if not self.transport.is_closing():
            self._delivery = _Delivery(call, response)
            self._write(*response, message.keep_alive and not self._server.closing)

    def _request_age(self, now: float) -> float:
        """The largest time for which a request that was just read may be under way, in seconds."""
        waited_s = received_ago(self.transport.get_extra_info("socket"))
        return max(now - self._idle_since, waited_s)

    def _redirect(self, message: Message) -> None:
        """Asks the client to repeat the request on a new connection, if it still waits."""
        self._busy = False
        host, port = self.transport.get_extra_info("sockname")[:2]
        authority = message.headers.get(b"host") or f"{host}:{port}".encode()
        location = b"Location: http://%b%b\r\n" % (authority, message.target)
        _, body = error_response(307, "the connection was idle: repeat the call on a new one")
        self._write(307, body, False, location)

    def eof_received(self) -> None:
        """The client closes the connection in order: it has received the last response."""
        self._confirm_delivery()

    def _confirm_delivery(self) -> None:
        delivery, self._delivery = self._delivery, None
        if delivery and self._server.on_delivered:
            call = delivery.call
            self._server.on_delivered(call.method, call.target, delivery.response)

    def _write(self, status: int, body: bytes, keep: bool, headers: bytes = b"") -> None:
        headers += b"Content-Type: application/json\r\n"
        self.transport.write(encode_response(status, body, headers, close=not keep))
        if keep:
            self._restart_idle_timer()
        elif self._server.on_delivered and self._timer:
            self.transport.write_eof()
            self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LINGER_S, self.transport.close)
        else:
            self.transport.close()
