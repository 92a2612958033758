"""Connections to the backends: sends attempts and probes, and reports their outcomes.

`pool.py` decides which connections (`upstream_connection.py`) are opened, reused and closed; this
module carries its decisions out on sockets.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import os
import random
import select
import socket
import time
from collections.abc import Iterable
from typing import Any

from cairndale.ingress.net.bodies import SOCKET_BUFFER_BYTES
from cairndale.ingress.net.discovery import EndpointEntry
from cairndale.ingress.net.engine import AttemptContext, AttemptResult, RequestData
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
from cairndale.ingress.net.upstream_connection import (
    Exchange,
    ResponseClassifier,
    ResultCallback,
    UpstreamConnection,
)
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
# A streamed response is aborted if no further part is received for this long.
STREAM_STALL_TIMEOUT_S = 6.0

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
