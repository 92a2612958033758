"""Connections to the backends: sends attempts and probes, and reports their outcomes.

Each connection carries one request at a time. `pool.py` decides which connections are opened,
reused and closed; this module carries its decisions out on sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import math
import os
import random
import re
import select
import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import httptools

from cairndale.ingress.net.bodies import SOCKET_BUFFER_BYTES
from cairndale.ingress.net.discovery import EndpointEntry
from cairndale.ingress.net.engine import AttemptContext, AttemptResult, RequestData
from cairndale.ingress.net.http import HOP_BY_HOP, HttpConnection, Message, ResponseHeadRules
from cairndale.ingress.net.pool import (
    Action,
    AssignConnection,
    CancelDial,
    CloseConnection,
    ConnectionPool,
    PoolOptions,
    RejectAttempt,
    StartDial,
)
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy.interface import Outcome

# An idle connection is closed after this fraction of the time after which the backend closes it.
IDLE_TIMEOUT_FRACTION = 0.75
SWEEP_INTERVAL_S = 1.0
# If a sweep is late by more than this, the process or the machine was suspended, and no idle
# connection is used any more.
SUSPENSION_S = 2.0
# Connections that all ingresses together preconnect to a backend: handshakes cost it work.
PRECONNECT_RATE_PER_S = 5.0
PROBE_TIMEOUT_S = 0.25
# The first part of a response of unknown length is buffered this long before it is streamed.
UNKNOWN_LENGTH_DELAY_S = 0.05
# A streamed response is aborted if no further part is received for this long.
STREAM_STALL_TIMEOUT_S = 6.0

ResultCallback = Callable[[AttemptResult], None]
# The timeout parameter of a Keep-Alive field, in whole seconds.
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,;\s])timeout=([0-9]{1,6})")
# Derives the outcome of an attempt from the response and the request that was sent.
ResponseClassifier = Callable[[Message, bytes], AttemptResult]
log = logging.getLogger(__name__)


async def _connect_socket(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int], timeout: float
) -> None:
    """Connect `sock` within `timeout` seconds. Raises OSError or TimeoutError.

    A connection that is established when the timeout is noticed counts as a success: then this
    process was delayed, not the backend.
    """
    try:
        socket.inet_pton(socket.AF_INET, address[0])
    except OSError:  # a host name: resolved without blocking the loop
        async with asyncio.timeout(timeout):
            resolved = await loop.getaddrinfo(
                *address, family=socket.AF_INET, type=socket.SOCK_STREAM
            )
        address = (str(resolved[0][4][0]), address[1])
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        writable = asyncio.Event()
        loop.add_writer(sock, writable.set)
        try:
            async with asyncio.timeout(timeout):
                await writable.wait()
        except TimeoutError:
            poll = select.poll()
            poll.register(sock, select.POLLOUT)
            if not poll.poll(0):
                raise
        finally:
            loop.remove_writer(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


class Exchange:
    """An attempt: waits for a connection, is written, and ends once, with a result.

    `written`: the attempt may have run at the backend.
    """

    __slots__ = (
        "_on_result",
        "_pool",
        "connection",
        "context",
        "data",
        "finished",
        "fully_sent",
        "sent_at",
        "written",
    )

    def __init__(
        self,
        data: RequestData,
        on_result: ResultCallback,
        context: AttemptContext | None = None,
        pool: BackendPool | None = None,
    ) -> None:
        self.data, self._on_result, self.context, self._pool = data, on_result, context, pool
        self.connection: UpstreamConnection | None = None
        self.sent_at = math.inf
        self.written = self.finished = False
        self.fully_sent = False  # its last byte is written or buffered

    def end(self, result: AttemptResult) -> None:
        """Report the result, unless the attempt has ended already."""
        if not self.finished:
            self.finished = True
            self._on_result(result)

    def fail(self) -> None:
        """End without a response; the attempt may have run only if it was written."""
        self.end(AttemptResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def fail_unsent(self) -> None:
        """End because no connection was available, which is not a fault of the backend."""
        self.end(AttemptResult(Outcome.MOOT))

    def write_body(self, data: bytes) -> None:
        """Write a part of the streamed request body."""
        if self.connection and not self.connection.closed:
            self.connection.transport.write(data)

    def body_written(self) -> None:
        """Note that the last byte of the streamed request body has been written."""
        self.written = self.fully_sent = True

    def pause(self, paused: bool) -> None:
        """Pause or resume reading the response, while the client's write buffer is full."""
        if self.connection and not self.connection.closed:
            (
                self.connection.transport.pause_reading
                if paused
                else self.connection.transport.resume_reading
            )()
            self.connection.last_part_at = math.inf if paused else self.connection.pool.now()

    def abort(self) -> bool:
        """Abort the attempt without a result. Return whether it may have run."""
        self.finished = True
        if self.connection is None and self._pool:
            self._pool.attempt_cancelled(self)
        if self.connection:
            if self._pool and not self.connection.streaming:
                self._pool.attempt_unanswered(self.sent_at)
            self.connection.disconnect()
        return self.written


class UpstreamConnection(HttpConnection):
    """One connection to a backend.

    It uses its socket directly beside the transport: a send shows at once how much was written, a
    peek shows whether the connection is still open, and a shutdown takes effect before anything
    else is sent.
    """

    def __init__(self, pool: BackendPool, sock: socket.socket) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.pool, self.sock, self.address = pool, sock, pool.address
        self.keep_fields = pool.relays_responses
        self.exchange: Exchange | None = None
        self.reset_unanswered = False  # closed under a request, before any response byte
        self.closed = self.streaming = False  # streaming: a response is streamed to the client
        self.desynchronized = False  # it has received a response to another request
        self.last_request_id = b""  # of the last request that was answered on it
        # When the last part of a streamed response was received; inf while reading is paused.
        self.last_part_at = math.inf
        self._buffer_timer: asyncio.TimerHandle | None = None
        self._head_rules = ResponseHeadRules()

    def send(self, exchange: Exchange) -> None:
        """Write an attempt's request, as far as the socket takes it, and buffer the rest."""
        if (
            exchange.context
            and exchange.context.request_id
            and exchange.context.request_id == self.last_request_id
        ):
            # A duplicate response to the previous attempt, which carries the same id and may still
            # be in transit, would be mistaken for the response to this one.
            self.disconnect()
            self.pool.request_connection(exchange)
            return
        data = exchange.data if isinstance(exchange.data, bytes) else exchange.data()
        if data is None:  # the attempt is withdrawn before its first byte is written
            self.pool.release(self, True)
            exchange.fail_unsent()
            return
        exchange.data = data
        self.exchange, exchange.connection, exchange.sent_at = exchange, self, self.pool.now()
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.disconnect()
            exchange.fail()
            return
        upload = exchange.context.upload if exchange.context else None
        exchange.fully_sent = upload is None
        exchange.written = exchange.fully_sent or self.pool.written_at_first_byte
        if sent < len(data):  # from here on the last byte may be written at any time
            self.transport.write(data[sent:])
        if upload:
            self.transport.set_write_buffer_limits(upload.buffer_limit())
            upload.attach(exchange)

    def is_usable(self) -> bool:
        """Return False if the backend has closed the idle connection or sent unexpected data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            pass
        return False

    def disconnect(self) -> None:
        """Close the connection at once."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
            self.pool.connection_closed(self, self.reset_unanswered)

    def pause_writing(self) -> None:
        self._set_upload_paused(True)

    def resume_writing(self) -> None:
        self._set_upload_paused(False)

    def _set_upload_paused(self, paused: bool) -> None:
        if self.exchange and self.exchange.context and self.exchange.context.upload:
            self.exchange.context.upload.pause(paused)

    def data_received(self, data: bytes) -> None:
        self.pool.last_received_at = self.pool.now()
        if self.exchange is None:
            # Unexpected data: the rest of it would be taken for the next response.
            self.disconnect()
            return
        head_begun = self._in_head and self._message_begun
        self._head_rules.read_began(data, head_begun, not self._in_head)
        super().data_received(data)
        self._head_rules.read_ended(self._in_head and self._message_begun)

    def on_status(self, part: bytes) -> None:
        self._head_rules.check_reason(part)

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._head_rules.message_ended()

    def check_head(self, message: Message) -> None:
        version = self._parser.get_http_version()
        self._head_rules.check_head(message.status, version, message.headers)

    def head_received(self, message: Message) -> None:
        """Buffer the start of a response of unknown length for a short time.

        It may be short, and the request can be retried until a part of the response has been
        forwarded. It may also be large and slow, so it is not buffered for long.
        """
        served = self._classify(message).outcome is Outcome.OK
        if message.length is None and served and not message.streamed:
            self._buffer_timer = asyncio.get_running_loop().call_later(
                UNKNOWN_LENGTH_DELAY_S, self._stream_buffered, message
            )

    def _stream_buffered(self, message: Message) -> None:
        if message is self._message and not (self._in_head or message.streamed or self.closed):
            self.stream_body()
            self._run_hooks()

    def body_began(self, message: Message) -> None:
        exchange, result = self.exchange, self._classify(message)
        if result.outcome is Outcome.MOOT:  # a response to another request: ignored
            self.desynchronized = True
        elif result.outcome is not Outcome.OK or exchange is None or exchange.context is None:
            self._finish_early(exchange, result)
        elif exchange.context.on_head(result):
            self.streaming, self.last_part_at = True, self.pool.now()
        else:  # the response is not needed any more
            self._finish_early(exchange, result)

    def body_part_received(self, message: Message, data: bytes) -> None:
        if self.streaming and self.exchange and self.exchange.context:
            if self.last_part_at < math.inf:
                self.last_part_at = self.pool.now()
            self.exchange.context.on_body_part(data)

    def body_ended(self, message: Message) -> None:
        if self.streaming:
            self.streaming = False
            self.message_received(message)

    def _finish_early(self, exchange: Exchange | None, result: AttemptResult) -> None:
        """End the attempt at the response's head, without reading the body."""
        self.exchange = None
        self.disconnect()
        if exchange:
            exchange.end(result)

    def is_stalled(self, since: float) -> bool:
        """Return whether the streamed response has made no progress since `since`."""
        return self.streaming and self.last_part_at < since

    def message_received(self, message: Message) -> None:
        exchange = self.exchange
        if self._buffer_timer:
            self._buffer_timer.cancel()
        result = self._classify(message)
        if (100 <= message.status < 200 or result.outcome is Outcome.MOOT) and exchange:
            self.desynchronized = self.desynchronized or result.outcome is Outcome.MOOT
            return
        self.exchange, self.last_request_id = (
            None,
            exchange.context.request_id if exchange and exchange.context else b"",
        )
        if keep_alive := KEEP_ALIVE_TIMEOUT.search(message.headers.get(b"keep-alive", b"")):
            self.pool.keep_alive_announced(int(keep_alive[1]))
        # The connection cannot be reused if the backend answered before it had read the whole
        # request, or if it sent more than one response: a part of another message, data that is not
        # HTTP, or complete messages. The next request would take them for its response.
        not_reusable = (
            self.transport.get_write_buffer_size() > 0 or self._message_begun or self._framing_lost
        )
        not_reusable = (
            not_reusable
            or bool(self._hooks)
            or self.desynchronized
            or not (exchange and exchange.fully_sent)
        )
        self.pool.release(self, message.keep_alive and not not_reusable)
        if exchange:
            exchange.end(result)

    def _classify(self, message: Message) -> AttemptResult:
        """Return the outcome that a response stands for.

        OK: status 200, or any response of a server that can serve if all responses are relayed.
        MOOT: the response belongs to another request.
        """
        if classify := self.pool.classifier:
            request = self.exchange.data if self.exchange else b""
            result = classify(message, request if isinstance(request, bytes) else b"")
            if result.outcome is Outcome.ERROR and message.status >= 200:
                # The response cannot be attributed: the expected one may still follow.
                self.desynchronized = True
            return result
        headers, status = message.headers, message.status
        load = headers.get(b"server-load", b"")
        if self.keep_fields and status not in (502, 503, 504):
            connection_options = {
                n.strip().lower() for n in headers.get(b"connection", b"").split(b",")
            }
            excluded = HOP_BY_HOP | connection_options
            fields = b"".join(
                b"%b: %b\r\n" % (n, v) for n, v in message.fields if n.lower() not in excluded
            )
            return AttemptResult(
                Outcome.OK, message.body, length=message.length, status=status, fields=fields
            )
        if status == 200:
            return AttemptResult(
                Outcome.OK, message.body, headers.get(b"content-type", b""), load, message.length
            )
        if status in (503, 504) and headers.get(b"not-started") == b"1":
            return AttemptResult(Outcome.FULL, load=load)
        return AttemptResult(Outcome.ERROR, load=load)  # it may have run

    def message_invalid(self, status: int) -> None:
        log.warning("backend %s: invalid response: %s", self.pool.name, self.parse_error)
        self._connection_gone()

    def eof_received(self) -> None:
        self.connection_ended()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection_gone()

    def _connection_gone(self) -> None:
        if self._buffer_timer:
            self._buffer_timer.cancel()
        exchange, self.exchange = self.exchange, None
        self.reset_unanswered = (
            exchange is not None and not self._message_begun and not self.parse_error
        )
        self.disconnect()
        if exchange:
            exchange.fail()


class BackendPool:
    """The connections to one backend: carries out the decisions of its `ConnectionPool`."""

    __slots__ = (
        "_backends",
        "_dial_tasks",
        "_wait_timer",
        "address",
        "in_maintenance",
        "last_received_at",
        "name",
        "needs_drain",
        "pool",
        "started",
        "up",
    )

    def __init__(self, entry: EndpointEntry, backends: Backends, in_maintenance: bool) -> None:
        self.name, self.address, self._backends = entry.name, entry.address, backends
        self.up, self.in_maintenance, self.started, self.needs_drain = (
            entry.status == "up",
            in_maintenance,
            entry.since_us,
            False,
        )
        self.pool = ConnectionPool(
            backends.options,
            backends.idle_timeout,
            backends.rng,
            ready=self.up and not in_maintenance,
        )
        self.last_received_at = -math.inf  # s on the loop's clock, of any data from it
        self._dial_tasks: dict[int, asyncio.Task[None]] = {}
        self._wait_timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> list[UpstreamConnection]:
        return self.pool.idle

    @property
    def busy(self) -> set[UpstreamConnection]:
        return self.pool.busy

    @property
    def ready(self) -> bool:
        """Whether attempts may be sent to the backend."""
        return self.up and not self.in_maintenance

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def relays_responses(self) -> bool:
        return self._backends.relays_responses

    @property
    def classifier(self) -> ResponseClassifier | None:
        return self._backends.classifier

    @property
    def written_at_first_byte(self) -> bool:
        return self._backends.written_at_first_byte

    def keep_alive_announced(self, seconds: int) -> None:
        """Adapt the idle timeout to the one that the backend announces in Keep-Alive."""
        self.pool.idle_timeout = min(self._backends.idle_timeout, seconds * IDLE_TIMEOUT_FRACTION)

    def request_connection(self, exchange: Exchange) -> None:
        """Send the attempt on an idle connection, or queue it for one."""
        timeout = exchange.context.timeout_s if exchange.context else math.inf
        self._execute(
            self.pool.request_connection(
                self.now(), exchange, timeout, UpstreamConnection.is_usable
            )
        )
        if self.pool.waiters and self._wait_timer is None:
            self._wait_timer = asyncio.get_running_loop().call_later(
                max(0.01, min(1.0, self.pool.next_wait_expiry() - self.now())), self._wait_expired
            )

    def _wait_expired(self) -> None:
        self._wait_timer = None
        self.tick()
        if self.pool.waiters:
            wait = max(0.01, min(1.0, self.pool.next_wait_expiry() - self.now()))
            self._wait_timer = asyncio.get_running_loop().call_later(wait, self._wait_expired)

    def tick(self, suspended: bool = False) -> None:
        """Close expired idle connections, and reject attempts that have waited too long."""
        self._execute(self.pool.tick(self.now(), suspended))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case AssignConnection(waiter, connection):
                    connection.send(waiter)
                case RejectAttempt(waiter, failed):
                    (waiter.fail if failed else waiter.fail_unsent)()
                case StartDial(dial):
                    self._start_dial(dial)
                case CloseConnection(connection):
                    connection.disconnect()
                case CancelDial(dial):
                    if task := self._dial_tasks.pop(dial, None):
                        task.cancel()

    # Opening connections.

    def _start_dial(self, dial: int) -> None:
        sockets = self._backends.sockets
        if sockets.has_room_for_upstream() or self._backends.evict():
            sockets.upstream_opened()
            self._dial_tasks[dial] = asyncio.get_running_loop().create_task(self._dial(dial))
        else:
            self._execute(self.pool.dial_failed(self.now(), dial, True))

    async def _dial(self, dial: int) -> None:
        sock: socket.socket | None = None
        connection: UpstreamConnection | None = None
        loop, established, refused = asyncio.get_running_loop(), False, False
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            if self._backends.unacked_ms:
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._backends.unacked_ms
                )
            await _connect_socket(loop, sock, self.address, self._backends.connect_timeout)
            connection = created = UpstreamConnection(self, sock)
            await loop.create_connection(lambda: created, sock=sock)
            established = True
        except TimeoutError:
            pass
        except (OSError, ValueError):  # refused, or out of descriptors
            refused = True
        finally:
            still_wanted = self._dial_tasks.pop(dial, None) is not None
            if connection is None or not hasattr(connection, "transport"):
                self._backends.sockets.upstream_closed()
                if sock:
                    sock.close()
            elif not (established and still_wanted):
                # Established just as the dial was given up; its closing is counted once, by
                # `connection_closed`.
                connection.disconnect()
            if established and still_wanted and connection and not connection.closed:
                self._execute(self.pool.dial_succeeded(self.now(), dial, connection))
            elif still_wanted:
                self._execute(self.pool.dial_failed(self.now(), dial, refused))

    def preconnect(self) -> None:
        """Open a connection ahead of demand, if the expected traffic needs one."""
        self._execute(self.pool.preconnect(self.now()))

    def close_idle(self, count: int) -> None:
        """Close `count` idle connections, the least recently used first."""
        self._execute(self.pool.close_idle(count))

    # Reusing and closing connections.

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """Return a connection to the pool after an exchange."""
        if connection.closed:
            return
        reusable = reusable and connection.address == self.address
        if reusable and self.pool.waiters:  # the pool assigns it at once, without another check
            reusable = connection.is_usable()
        self._execute(self.pool.release(self.now(), connection, reusable))

    def connection_closed(self, connection: UpstreamConnection, under_request: bool) -> None:
        """Account for a connection that either side has closed."""
        self._backends.sockets.upstream_closed()
        self._execute(self.pool.connection_lost(self.now(), connection, under_request))

    def attempt_cancelled(self, exchange: Exchange) -> None:
        """Remove an attempt from the queue for a connection."""
        self.pool.cancel(exchange)

    def attempt_unanswered(self, since: float) -> None:
        """Distrust idle connections if the backend has sent nothing since the time `since`.

        Called when an attempt written at `since` is aborted.
        """
        if self.last_received_at < since and self.now() - since >= self._backends.connect_timeout:
            self.pool.distrust_idle()

    def drain(self) -> None:
        """Close idle connections, and reject attempts that wait for one: none has been written."""
        self._execute(self.pool.drain(self.ready))

    def report(self) -> dict[str, Any]:
        """Return the pool's state and counters, for operators."""
        pool, counts = self.pool, self.pool.counters
        return {
            "name": self.name,
            "open": pool.open(),
            "idle": len(pool.idle),
            "busy": len(pool.busy),
            "waiting": len(pool.waiters),
            "dialling": len(pool.dials),
            "dials": counts.dials,
            "dials_failed": counts.dials_failed,
            "asked": counts.requested,
            "reuse": round(counts.reused / max(1, counts.requested), 3),
            "stale_caught": counts.stale_detected,
            "stale_missed": counts.stale_missed,
            "refused": counts.rejected,
            "bound": pool.bound(),
            "why": pool.bound_reason().value,
            "expected": round(pool.expected_demand(self.now()), 1),
        }


class Backends:
    """The connection pools of all backends."""

    def __init__(
        self,
        sockets: Sockets,
        conn_idle_us: int,
        connect_timeout_us: int,
        options: PoolOptions | None = None,
        fleet_size: int = 1,
    ) -> None:
        self.sockets, self.options, self.rng = sockets, options or PoolOptions(), random.Random()
        self._pools: dict[int, BackendPool] = {}
        self.relays_responses = False  # forward responses of any status, with all fields
        # Classifies responses, unless the backends speak the platform's protocol.
        self.classifier: ResponseClassifier | None = None
        # Whether a request counts as written from its first byte on, rather than from its last.
        self.written_at_first_byte = False
        self.stream_stall_timeout = STREAM_STALL_TIMEOUT_S
        # TCP_USER_TIMEOUT of the connections; 0: the kernel's default.
        self.unacked_ms = 0
        self._fleet_size = fleet_size
        self.update_limits(conn_idle_us, connect_timeout_us)
        self._in_maintenance: set[int] = set()  # numbers; independent of the endpoint list
        self._loop = asyncio.get_running_loop()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._last_sweep = (self._loop.time(), time.time())
        sockets.add_evictor(self.evict)
        self._sweep_pools()

    def update_limits(
        self,
        conn_idle_us: int,
        connect_timeout_us: int,
        options: PoolOptions | None = None,
        fleet_size: int = 0,
    ) -> None:
        """Apply new limits, also to open connections."""
        self.idle_timeout, self.connect_timeout = (
            conn_idle_us / 1e6 * IDLE_TIMEOUT_FRACTION,
            connect_timeout_us / 1e6,
        )
        self.options, self._fleet_size = options or self.options, fleet_size or self._fleet_size
        for pool in self._pools.values():
            pool.pool.options, pool.pool.idle_timeout = self.options, self.idle_timeout
        self._update_bounds()
        for pool in list(self._pools.values()):
            pool.tick()

    def _update_bounds(self) -> None:
        """Divide the descriptors available for backends among the backends in use."""
        used = sum(1 for s in self._pools.values() if s.pool.open())
        for pool in self._pools.values():
            pool.pool.descriptor_bound = self.sockets.max_upstreams / max(1, used)

    def stop(self) -> None:
        """Close all connections."""
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for pool in self._pools.values():
            pool.up = False
            pool.drain()
            for connection in list(pool.busy):
                connection.disconnect()

    # The endpoint list.

    def update_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Store an endpoint's new entry; `apply_updates` carries out what follows from it."""
        pool = self._pools.get(backend)
        if pool is None:
            if entry.status != "removed":
                self._pools[backend] = BackendPool(entry, self, backend in self._in_maintenance)
            return
        pool.up = entry.status == "up"
        pool.pool.ready = pool.ready
        # After a restart or a move, the connections lead to the previous process.
        if entry.status != "removed":
            pool.needs_drain = pool.address != entry.address or pool.started != entry.since_us
            pool.address, pool.started = entry.address, entry.since_us

    def apply_updates(self, removed: Iterable[int]) -> None:
        """Drain the pools whose entries have changed, and drop those of removed backends."""
        for backend in removed:
            if pool := self._pools.pop(backend, None):
                pool.up = False
                pool.drain()
        for pool in list(self._pools.values()):
            if pool.needs_drain or not pool.ready:
                pool.needs_drain = False
                pool.drain()

    def set_maintenance(self, backend: int, in_maintenance: bool) -> None:
        """Start or end maintenance of a backend: its pool is drained meanwhile."""
        (self._in_maintenance.add if in_maintenance else self._in_maintenance.discard)(backend)
        if pool := self._pools.get(backend):
            pool.in_maintenance = in_maintenance
            pool.pool.ready = pool.ready
            if in_maintenance:
                pool.drain()

    # Attempts.

    def send(
        self,
        backend: int,
        data: RequestData,
        on_result: ResultCallback,
        context: AttemptContext | None = None,
    ) -> Exchange:
        """Send an attempt to a backend; it fails at once if the backend is not ready."""
        pool = self._pools.get(backend)
        exchange = Exchange(data, on_result, context, pool)
        if pool is None or not pool.ready:
            exchange.fail()
        else:
            pool.request_connection(exchange)
        return exchange

    def probe(self, backend: int, on_result: ResultCallback) -> None:
        """Query the backend's load."""
        exchange = self.send(
            backend, b"GET /metrics/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", on_result
        )

        def time_out() -> None:
            if not exchange.finished:
                exchange.abort()
                on_result(AttemptResult(Outcome.TIMEOUT))

        self._loop.call_later(PROBE_TIMEOUT_S, time_out)

    def close_idle(self, backend: int) -> None:
        """Close the backend's idle connections."""
        if pool := self._pools.get(backend):
            pool.close_idle(len(pool.idle))

    def pool_reports(self) -> list[dict[str, Any]]:
        """Return the reports of all pools, for operators."""
        return [pool.report() for pool in self._pools.values()]

    # Idle connections.

    def evict(self) -> bool:
        """Close one idle connection of any backend; return False if there is none."""
        for pool in self._pools.values():
            if pool.idle:
                pool.close_idle(1)
                return True
        return False

    def _sweep_pools(self) -> None:
        now, wall = self._loop.time(), time.time()
        suspended = (
            max(now - self._last_sweep[0], abs(wall - self._last_sweep[1]))
            > SWEEP_INTERVAL_S + SUSPENSION_S
        )
        if suspended:
            log.info(
                "process suspended for %.0f s: closing all idle connections",
                now - self._last_sweep[0],
            )
        self._last_sweep = (now, wall)
        self._update_bounds()
        for pool in list(self._pools.values()):
            pool.tick(suspended)
            for connection in [
                connection
                for connection in pool.busy
                if connection.is_stalled(now - self.stream_stall_timeout)
            ]:
                log.warning("backend %s: response stalled, connection closed", pool.name)
                connection._connection_gone()
            if (
                self.options.warm
                and self.rng.random() < PRECONNECT_RATE_PER_S * SWEEP_INTERVAL_S / self._fleet_size
            ):
                pool.preconnect()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep_pools)
