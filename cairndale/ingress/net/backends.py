"""Connections to the backends, one request on each: attempts, their outcomes, probes."""

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
from cairndale.ingress.net.http import HOP_BY_HOP, HttpConnection, Message
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

# of the time after which a backend closes an idle connection: ours is closed by then
IDLE_TIMEOUT_FRACTION = 0.75
SWEEP_INTERVAL_S = 1.0  # s between looks for such connections
# s beyond that for which the process or the machine has stood still: every link is old then
SUSPENSION_S = 2.0
# links a second opened ahead at a backend by all gateways together: handshakes cost it work
PRECONNECT_RATE_PER_S = 5.0
PROBE_TIMEOUT_S = 0.25
UNKNOWN_LENGTH_DELAY_S = (
    0.05  # s that the first part of an answer of unknown length waits for the rest
)
STREAM_STALL_TIMEOUT_S = (
    6.0  # s without another part of an answer, after which the backend is taken for gone
)

ResultCallback = Callable[[AttemptResult], None]
KEEP_ALIVE_TIMEOUT = re.compile(
    rb"(?:^|[,;\s])timeout=([0-9]{1,6})"
)  # of a Keep-Alive field: whole seconds
ResponseClassifier = Callable[[Message, bytes], AttemptResult]  # an answer, and what was sent
log = logging.getLogger(__name__)


async def _connect_socket(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[str, int], within: float
) -> None:
    """The connection is begun at once, and is up when this returns; `within` s. One that is up when
    the time is over counts: it was this process that stood still, not the backend. Raises OSError,
    TimeoutError."""
    try:
        socket.inet_pton(socket.AF_INET, address[0])
    except OSError:  # a name: others look it up meanwhile
        async with asyncio.timeout(within):
            found = await loop.getaddrinfo(*address, family=socket.AF_INET, type=socket.SOCK_STREAM)
        address = (str(found[0][4][0]), address[1])
    error = sock.connect_ex(address)
    if error == errno.EINPROGRESS:
        writable = asyncio.Event()
        loop.add_writer(sock, writable.set)
        try:
            async with asyncio.timeout(within):
                await writable.wait()
        except TimeoutError:
            look = select.poll()
            look.register(sock, select.POLLOUT)
            if not look.poll(0):
                raise
        finally:
            loop.remove_writer(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


class Exchange:
    """An attempt: waits for its connection, then is written, then answered. Ends once."""

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
        ended: ResultCallback,
        flow: AttemptContext | None = None,
        server: BackendPool | None = None,
    ) -> None:
        self.data, self._on_result, self.context, self._pool = data, ended, flow, server
        self.connection: UpstreamConnection | None = None
        self.sent_at = math.inf
        self.written = self.finished = False
        self.fully_sent = False  # its last byte is written, or waits in the connection's buffer

    def end(self, answer: AttemptResult) -> None:
        if not self.finished:
            self.finished = True
            self._on_result(answer)

    def fail(self) -> None:
        """No answer will come: whether it has run depends on whether its last byte was written."""
        self.end(AttemptResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def fail_unsent(self) -> None:
        """There was no link for it, which says nothing of the backend."""
        self.end(AttemptResult(Outcome.MOOT))

    def write_body(self, data: bytes) -> None:
        if self.connection and not self.connection.closed:
            self.connection.transport.write(data)

    def body_written(self) -> None:
        self.written = self.fully_sent = True

    def pause(self, paused: bool) -> None:
        """The client takes no more of the answer for now, or does again."""
        if self.connection and not self.connection.closed:
            (
                self.connection.transport.pause_reading
                if paused
                else self.connection.transport.resume_reading
            )()
            self.connection.last_part_at = math.inf if paused else self.connection.pool.now()

    def abort(self) -> bool:
        self.finished = True
        if self.connection is None and self._pool:
            self._pool.attempt_cancelled(self)
        if self.connection:
            if self._pool and not self.connection.streaming:
                self._pool.attempt_unanswered(self.sent_at)
            self.connection.disconnect()
        return self.written


class UpstreamConnection(HttpConnection):
    """One connection to a backend. The socket is ours, so that a send tells how much was written, a
    look tells whether the connection still stands, and giving up takes effect before anything else
    is sent."""

    def __init__(self, pool: BackendPool, sock: socket.socket) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.pool, self.sock, self.address = pool, sock, pool.address
        self.keep_fields = pool.relays_responses
        self.exchange: Exchange | None = None
        self.reset_unanswered = False  # it broke under a request of which nothing had been answered
        self.closed = self.streaming = False  # passing: an answer goes on to the client in parts
        self.desynchronized = False  # it has brought an answer that belongs to another request
        self.last_request_id = b""  # id of the request that it answered last
        self.last_part_at = math.inf  # while it does, when the last part came
        self._buffer_timer: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange) -> None:
        if (
            exchange.context
            and exchange.context.request_id
            and exchange.context.request_id == self.last_request_id
        ):
            # a second answer to the attempt before, still on its way, would count for this one
            self.disconnect()
            self.pool.request_connection(exchange)
            return
        data = exchange.data if isinstance(exchange.data, bytes) else exchange.data()
        if data is None:  # what was true when it was begun holds no longer: not a byte has gone
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
        """False if the backend has ended it, or said something nobody asked for."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            pass
        return False

    def disconnect(self) -> None:
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
        # nobody has asked: the rest of it would come under the next request
        if self.exchange is None:
            self.disconnect()
        else:
            super().data_received(data)

    def head_received(self, message: Message) -> None:
        """An answer of unknown length may be short, and can be asked for again until some of it
        goes on; it is not held for long, as it may be large and slow."""
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
        exchange, answer = self.exchange, self._classify(message)
        if answer.outcome is Outcome.MOOT:  # another request's: it passes by
            self.desynchronized = True
        elif answer.outcome is not Outcome.OK or exchange is None or exchange.context is None:
            self._finish_early(exchange, answer)
        elif exchange.context.on_head(answer):
            self.streaming, self.last_part_at = True, self.pool.now()
        else:  # nobody waits for it any longer
            self._finish_early(exchange, answer)

    def body_part_received(self, message: Message, data: bytes) -> None:
        if self.streaming and self.exchange and self.exchange.context:
            if self.last_part_at < math.inf:
                self.last_part_at = self.pool.now()
            self.exchange.context.on_body_part(data)

    def body_ended(self, message: Message) -> None:
        if self.streaming:
            self.streaming = False
            self.message_received(message)

    def _finish_early(self, exchange: Exchange | None, answer: AttemptResult) -> None:
        """The answer's head has said enough: the rest is not waited for."""
        self.exchange = None
        self.disconnect()
        if exchange:
            exchange.end(answer)

    def is_stalled(self, since: float) -> bool:
        return self.streaming and self.last_part_at < since

    def message_received(self, message: Message) -> None:
        exchange = self.exchange
        if self._buffer_timer:
            self._buffer_timer.cancel()
        answer = self._classify(message)
        if (100 <= message.status < 200 or answer.outcome is Outcome.MOOT) and exchange:
            self.desynchronized = self.desynchronized or answer.outcome is Outcome.MOOT
            return
        self.exchange, self.last_request_id = (
            None,
            exchange.context.request_id if exchange and exchange.context else b"",
        )
        if kept := KEEP_ALIVE_TIMEOUT.search(message.headers.get(b"keep-alive", b"")):
            self.pool.keep_alive_announced(int(kept[1]))
        # Answered before it had all been read, or more said than was asked for: a part of a
        # message, what is none, or whole ones read along with this, which the next request would
        # get for its answer.
        unsound = (
            self.transport.get_write_buffer_size() > 0 or self._message_begun or self._framing_lost
        )
        unsound = (
            unsound
            or bool(self._hooks)
            or self.desynchronized
            or not (exchange and exchange.fully_sent)
        )
        self.pool.release(self, message.keep_alive and not unsound)
        if exchange:
            exchange.end(answer)

    def _classify(self, message: Message) -> AttemptResult:
        """200 is served, and where answers are relayed all but those of a server that cannot serve
        now. MOOT: another request's."""
        if judge := self.pool.classifier:
            asked = self.exchange.data if self.exchange else b""
            answer = judge(message, asked if isinstance(asked, bytes) else b"")
            if answer.outcome is Outcome.ERROR and message.status >= 200:
                self.desynchronized = True  # nothing shows whose it is: its own answer may yet come
            return answer
        headers, status = message.headers, message.status
        load = headers.get(b"server-load", b"")
        if self.keep_fields and status not in (502, 503, 504):
            named = {n.strip().lower() for n in headers.get(b"connection", b"").split(b",")}
            left = HOP_BY_HOP | named
            fields = b"".join(
                b"%b: %b\r\n" % (n, v) for n, v in message.fields if n.lower() not in left
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
        return AttemptResult(Outcome.ERROR, load=load)  # nothing says that it never ran

    def message_invalid(self, status: int) -> None:
        log.warning("backend %s: answer not understood: %s", self.pool.name, self.parse_error)
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
    """The connections to one backend: its pool's decisions, carried out on sockets."""

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

    def __init__(self, entry: EndpointEntry, backends: Backends, held: bool) -> None:
        self.name, self.address, self._backends = entry.name, entry.address, backends
        self.up, self.in_maintenance, self.started, self.needs_drain = (
            entry.status == "up",
            held,
            entry.since_us,
            False,
        )
        self.pool = ConnectionPool(
            backends.options, backends.idle_timeout, backends.rng, ready=self.up and not held
        )
        self.last_received_at = -math.inf  # when anything came from it
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
        """The backend says for how long it keeps an idle connection."""
        self.pool.idle_timeout = min(self._backends.idle_timeout, seconds * IDLE_TIMEOUT_FRACTION)

    def request_connection(self, exchange: Exchange) -> None:
        patience = exchange.context.timeout_s if exchange.context else math.inf
        self._execute(
            self.pool.request_connection(
                self.now(), exchange, patience, UpstreamConnection.is_usable
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

    def tick(self, gap: bool = False) -> None:
        self._execute(self.pool.tick(self.now(), gap))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case AssignConnection(waiter, link):
                    link.send(waiter)
                case RejectAttempt(waiter, failed):
                    (waiter.fail if failed else waiter.fail_unsent)()
                case StartDial(dial):
                    self._start_dial(dial)
                case CloseConnection(link):
                    link.disconnect()
                case CancelDial(dial):
                    if task := self._dial_tasks.pop(dial, None):
                        task.cancel()

    # Connections begin.

    def _start_dial(self, dial: int) -> None:
        sockets = self._backends.sockets
        if sockets.has_room_for_upstream() or self._backends.evict():
            sockets.upstream_opened()
            self._dial_tasks[dial] = asyncio.get_running_loop().create_task(self._dial(dial))
        else:
            self._execute(self.pool.dial_failed(self.now(), dial, True))

    async def _dial(self, dial: int) -> None:
        sock: socket.socket | None = None
        link: UpstreamConnection | None = None
        loop, up, refused = asyncio.get_running_loop(), False, False
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            if self._backends.unacked_ms:
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._backends.unacked_ms
                )
            await _connect_socket(loop, sock, self.address, self._backends.connect_timeout)
            link = made = UpstreamConnection(self, sock)
            await loop.create_connection(lambda: made, sock=sock)
            up = True
        except TimeoutError:
            pass
        except (OSError, ValueError):  # refused, out of descriptors
            refused = True
        finally:
            wanted = self._dial_tasks.pop(dial, None) is not None
            if link is None or not hasattr(link, "transport"):
                self._backends.sockets.upstream_closed()
                if sock:
                    sock.close()
            elif not (up and wanted):
                # it came up just as its time was over: its end is counted once
                link.disconnect()
            if up and wanted and link and not link.closed:
                self._execute(self.pool.dial_succeeded(self.now(), dial, link))
            elif wanted:
                self._execute(self.pool.dial_failed(self.now(), dial, refused))

    def preconnect(self) -> None:
        self._execute(self.pool.preconnect(self.now()))

    def close_idle(self, count: int) -> None:
        self._execute(self.pool.close_idle(count))

    # Connections rest and end.

    def release(self, link: UpstreamConnection, reusable: bool) -> None:
        if link.closed:
            return
        reusable = reusable and link.address == self.address
        if reusable and self.pool.waiters:  # it goes on to them as it is, so it is looked at now
            reusable = link.is_usable()
        self._execute(self.pool.release(self.now(), link, reusable))

    def connection_closed(self, link: UpstreamConnection, under_request: bool) -> None:
        """Its socket is closed, by whichever side."""
        self._backends.sockets.upstream_closed()
        self._execute(self.pool.connection_lost(self.now(), link, under_request))

    def attempt_cancelled(self, exchange: Exchange) -> None:
        self.pool.cancel(exchange)

    def attempt_unanswered(self, since: float) -> None:
        """An attempt was given up with no word from this backend since it was written."""
        if self.last_received_at < since and self.now() - since >= self._backends.connect_timeout:
            self.pool.distrust_idle()

    def drain(self) -> None:
        """Attempts that wait for a connection have not been written, and will not be."""
        self._execute(self.pool.drain(self.ready))

    def report(self) -> dict[str, Any]:
        """For operators."""
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
        self.relays_responses = False  # answers go on whatever their status, with their fields
        # what an answer says, where that is not the platform's protocol
        self.classifier: ResponseClassifier | None = None
        self.written_at_first_byte = (
            False  # from its first byte on a request counts as written, not from its last
        )
        self.stream_stall_timeout = STREAM_STALL_TIMEOUT_S
        # without an acknowledgement, after which a link is given up; 0: the kernel's time
        self.unacked_ms = 0
        self._fleet_size = fleet_size
        self.update_limits(conn_idle_us, connect_timeout_us)
        self._in_maintenance: set[int] = set()  # out for maintenance, apart from what is listed
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
        """Other figures from now on, for what is open as well."""
        self.idle_timeout, self.connect_timeout = (
            conn_idle_us / 1e6 * IDLE_TIMEOUT_FRACTION,
            connect_timeout_us / 1e6,
        )
        self.options, self._fleet_size = options or self.options, fleet_size or self._fleet_size
        for server in self._pools.values():
            server.pool.options, server.pool.idle_timeout = self.options, self.idle_timeout
        self._update_bounds()
        for server in list(self._pools.values()):
            server.tick()

    def _update_bounds(self) -> None:
        """The backends' part of the descriptors, shared out over the backends that are in use."""
        used = sum(1 for s in self._pools.values() if s.pool.open())
        for server in self._pools.values():
            server.pool.descriptor_bound = self.sockets.max_upstreams / max(1, used)

    def stop(self) -> None:
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for server in self._pools.values():
            server.up = False
            server.drain()
            for link in list(server.busy):
                link.disconnect()

    # The list.

    def update_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        server = self._pools.get(backend)
        if server is None:
            if entry.status != "removed":
                self._pools[backend] = BackendPool(entry, self, backend in self._in_maintenance)
            return
        server.up = entry.status == "up"
        server.pool.ready = server.ready
        # a new start or address: what was connected leads to the one before
        if entry.status != "removed":
            server.needs_drain = server.address != entry.address or server.started != entry.since_us
            server.address, server.started = entry.address, entry.since_us

    def apply_updates(self, gone: Iterable[int]) -> None:
        for backend in gone:
            if server := self._pools.pop(backend, None):
                server.up = False
                server.drain()
        for server in list(self._pools.values()):
            if server.needs_drain or not server.ready:
                server.needs_drain = False
                server.drain()

    def set_maintenance(self, backend: int, out: bool) -> None:
        (self._in_maintenance.add if out else self._in_maintenance.discard)(backend)
        if server := self._pools.get(backend):
            server.in_maintenance = out
            server.pool.ready = server.ready
            if out:
                server.drain()

    # Attempts.

    def send(
        self,
        backend: int,
        data: RequestData,
        ended: ResultCallback,
        flow: AttemptContext | None = None,
    ) -> Exchange:
        server = self._pools.get(backend)
        exchange = Exchange(data, ended, flow, server)
        if server is None or not server.ready:
            exchange.fail()
        else:
            server.request_connection(exchange)
        return exchange

    def probe(self, backend: int, ended: ResultCallback) -> None:
        exchange = self.send(backend, b"GET /metrics/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", ended)

        def give_up() -> None:
            if not exchange.finished:
                exchange.abort()
                ended(AttemptResult(Outcome.TIMEOUT))

        self._loop.call_later(PROBE_TIMEOUT_S, give_up)

    def close_idle(self, backend: int) -> None:
        if server := self._pools.get(backend):
            server.close_idle(len(server.idle))

    def pool_reports(self) -> list[dict[str, Any]]:
        """For operators: every backend that is known, with what its pool does and why."""
        return [server.report() for server in self._pools.values()]

    # Idle connections.

    def evict(self) -> bool:
        for server in self._pools.values():
            if server.idle:
                server.close_idle(1)
                return True
        return False

    def _sweep_pools(self) -> None:
        now, wall = self._loop.time(), time.time()
        gap = (
            max(now - self._last_sweep[0], abs(wall - self._last_sweep[1]))
            > SWEEP_INTERVAL_S + SUSPENSION_S
        )
        if gap:
            log.info(
                "stood still for %.0f s: idle connections are not trusted",
                now - self._last_sweep[0],
            )
        self._last_sweep = (now, wall)
        self._update_bounds()
        for server in list(self._pools.values()):
            server.tick(gap)
            for link in [
                link for link in server.busy if link.is_stalled(now - self.stream_stall_timeout)
            ]:
                log.warning("backend %s: silent in the middle of an answer", server.name)
                link._connection_gone()
            if (
                self.options.warm
                and self.rng.random() < PRECONNECT_RATE_PER_S * SWEEP_INTERVAL_S / self._fleet_size
            ):
                server.preconnect()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep_pools)
