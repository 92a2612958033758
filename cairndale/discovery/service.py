"""The HTTP interface of the list service, its watches, and the single writer that commits all
changes."""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import math
import socket
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote

import httptools

from cairndale.discovery import lines
from cairndale.discovery.leases import Leases
from cairndale.discovery.lines import Reader, WatchUpdate
from cairndale.discovery.state import (
    InvalidDataError,
    Record,
    RejectedError,
    State,
    WriteRequest,
    parse_registration,
)
from cairndale.discovery.store import Store
from cairndale.ingress.net.http import HttpConnection, Message, encode_response

HEARTBEAT_INTERVAL = 2.0  # s
REQUEST_TIMEOUT = 2.0  # s to receive a complete request, from connecting or from its first byte
LINGER_TIMEOUT = 1.0  # s that input is still read and dropped after the last answer
IDLE_TIMEOUT = 30.0  # s that a connection is kept between requests
COALESCE_DELAY = 0.01  # s that changes are collected before watches are notified
WRITE_TIMEOUT = 5.0  # s that a write waits for the disk before it is answered with an error
MAX_PENDING_WRITES = 1024  # writes waiting for the disk; further ones are rejected
MAX_BATCH_WRITES = 256  # writes committed by one sync
MAX_CONNECTIONS = 512  # without watches
MAX_CACHED_UPDATES = 16  # shared by readers at the same version, until the next change
WATCH_BUFFER_BYTES = 64 * 1024  # unread by a watch, beyond which writing to it is paused
STALL_TIMEOUT = 20.0  # s that writing to a connection may be paused
LEASE_CHECK_INTERVAL = 0.5  # s
SHUTDOWN_TIMEOUT = 2.0  # s for running requests, and then for connections to close
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
MAX_REQUEST_ID_LENGTH = 128
MAX_VERSION_DIGITS = 18
WATCH_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)

log = logging.getLogger(__name__)


def chunk(data: bytes) -> bytes:
    """Returns the data as one chunk of a chunked HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True)
class Counts:
    """Counters since the start, for `GET /status`."""

    lists: int = 0
    watches: int = 0
    connections: int = 0
    bytes_told: int = 0
    wholes: int = 0  # full lists sent, on watches or as answers
    writes: int = 0
    refused: int = 0
    stalled: int = 0  # watches closed because they were not read


class Service:
    """One replica of the list service: serves reads and watches, commits writes while it leads."""

    def __init__(
        self, store: Store, leases: Leases, lease_ms_range: tuple[int, int], max_watches: int
    ) -> None:
        self.store, self.leases, self.lease_ms_range, self.max_watches = (
            store,
            leases,
            lease_ms_range,
            max_watches,
        )
        self.counts = Counts()
        self.role = "leader"
        self.leader_address = ""  # address for writes, as known to a follower or a deposed leader
        self.writes_at = ""  # this replica's own address for writes
        self.watches: dict[Watch, None] = {}
        self.connections: dict[ApiConnection, None] = {}
        # s that the list may be behind the leader's; set by a follower
        self.list_age: Callable[[], float] = lambda: 0.0
        self.extra_status: Callable[[], dict[str, Any]] = dict
        self.promote: Callable[[], Any] | None = None
        self._loop = asyncio.get_running_loop()
        self._pending: deque[tuple[WriteRequest, asyncio.Future[int]]] = deque()
        self._writes_pending = asyncio.Event()
        self._store_lock = asyncio.Lock()  # held by the task that writes to the store
        self._notify_timer: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        # updates encoded for the current state, by reader and the version that it is at
        self._update_cache: dict[tuple[Reader, int], WatchUpdate] = {}
        self._listeners: list[asyncio.Server] = []
        self._removals_suspended = False

    @property
    def state(self) -> State:
        """The committed state."""
        return self.store.state

    # Start and shutdown.

    async def listen(self, reads: tuple[str, int], writes: tuple[str, int]) -> tuple[int, int]:
        """Listens on the two addresses; returns their ports."""
        ports: list[int] = []
        for protocol_class, address in ((ReadConnection, reads), (WriteConnection, writes)):
            server = await self._loop.create_server(
                partial(protocol_class, self), *address, backlog=1024
            )
            self._listeners.append(server)
            ports.append(server.sockets[0].getsockname()[1])
        self.writes_at = f"{writes[0]}:{ports[1]}"
        return ports[0], ports[1]

    def start(self) -> None:
        """Starts the tasks for writes, heartbeats and leases."""
        if self.role == "leader":
            self.restart_leases()
        for run in (self._write_loop, self._heartbeat_loop, self._lease_loop):
            self._tasks.append(self._loop.create_task(run()))

    async def stop(self) -> None:
        """Accepts no new connections, completes the running batch of writes, and ends watches with
        a final chunk, so that readers reconnect elsewhere."""
        for server in self._listeners:
            server.close()
        async with self._store_lock:
            pass
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        while self._pending:
            _, future = self._pending.popleft()
            if not future.done():
                future.set_exception(RejectedError(503, "stopping"))
        if answering := [c.task for c in self.connections if c.task]:
            await asyncio.wait(answering, timeout=SHUTDOWN_TIMEOUT)
        if self._notify_timer:
            self._notify_timer.cancel()
        for watch in list(self.watches):
            watch.close()
        for connection in list(self.connections):
            connection.transport.close()
        until = self._loop.time() + SHUTDOWN_TIMEOUT
        while self.connections and self._loop.time() < until:
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.transport.abort()

    def restart_leases(self) -> None:
        """Gives every server's lease a full TTL."""
        ttls = {s.name: s.lease_ms / 1000 for s in self.state.servers.values()}
        self.leases.restart(ttls, self._loop.time())

    # Writes.

    async def write(self, request: WriteRequest) -> int:
        """Returns the version to answer with, once the write is on disk. Raises RejectedError if it
        is not carried out."""
        self.require_leader()
        if len(self._pending) >= MAX_PENDING_WRITES:
            raise RejectedError(503, "too many writes at once")
        future: asyncio.Future[int] = self._loop.create_future()
        self._pending.append((request, future))
        self._writes_pending.set()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT):
                return await future
        except TimeoutError:
            raise RejectedError(503, "not committed in time; it may be committed later") from None

    def require_leader(self) -> None:
        """Raises RejectedError, with the leader's address, unless this replica leads."""
        if self.role != "leader":
            status = 409 if self.role == "deposed" else 503
            raise RejectedError(
                status, f"this is a {self.role}", epoch=self.state.epoch, leader=self.leader_address
            )

    async def _write_loop(self) -> None:
        while True:
            await self._writes_pending.wait()
            self._writes_pending.clear()
            while self._pending:
                async with self._store_lock:
                    try:
                        await self._write_batch()
                    except Exception:
                        # the requests of this batch time out; later ones go on
                        log.exception("committing a batch of writes failed")

    async def _write_batch(self) -> None:
        new_state, records = self.state.copy(), list[Record]()
        # A rejection may be based on a write of this batch, so it waits for the sync as well.
        answers: list[tuple[WriteRequest, asyncio.Future[int], int | RejectedError]] = []
        while self._pending and len(answers) < MAX_BATCH_WRITES:
            request, future = self._pending.popleft()
            if future.done():  # its client timed out or disconnected
                continue
            try:
                self.require_leader()
                record, version = new_state.decide(request)
            except RejectedError as error:
                answers.append((request, future, error))
                continue
            if record:
                new_state.apply(record)
                records.append(record)
            answers.append((request, future, version))
        store_error: RejectedError | None = None
        if records:
            try:
                await self._run_store_operation(self.store.append, records, new_state)
            except OSError as error:
                store_error = RejectedError(503, f"not committed: {error.strerror}")
                if error.errno in DISK_FULL_ERRNOS:
                    store_error = RejectedError(507, "not committed: the disk is full")
        for request, future, answer in answers:
            rejection = store_error or (answer if isinstance(answer, RejectedError) else None)
            if rejection is None:
                self._update_lease(request)
            if future.done():
                continue
            if rejection:
                future.set_exception(rejection)
            elif not isinstance(answer, RejectedError):
                future.set_result(answer)
        if records and store_error is None:
            self.schedule_notification()

    async def _run_store_operation(self, operation: Callable[..., None], *args: Any) -> None:
        """Runs a store operation in a thread, and waits for it even if cancelled: the store takes
        one operation at a time."""
        task = self._loop.run_in_executor(None, operation, *args)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            await asyncio.wait([task])
            raise

    def _update_lease(self, request: WriteRequest) -> None:
        server = self.state.servers.get(request.name)
        if request.kind == "register" and server:
            self.leases.grant(request.name, server.lease_ms / 1000, self._loop.time())
        elif request.kind == "remove" and server is None:
            self.leases.revoke(request.name)

    def renew(self, name: str) -> int:
        """Renews a server's lease; returns the server's version."""
        self.require_leader()
        server = self.state.servers.get(name)
        if server is None or self.leases.renew(name, self._loop.time()) is None:
            raise RejectedError(404, "no such server: register it")
        return server.version

    async def replicate(self, records: Sequence[Record], full_state: State | None = None) -> None:
        """Commits what a follower received from its leader: records, or a full state."""
        async with self._store_lock:
            if self.role != "follower":
                raise InvalidDataError("promoted meanwhile")
            if full_state:
                await self._run_store_operation(self.store.reset, full_state)
            else:
                new_state = self.state.copy()
                for record in records:
                    new_state.apply(record)
                await self._run_store_operation(self.store.append, records, new_state)
        self.schedule_notification()

    async def become_leader(self, deposed_leader: str) -> None:
        """Promotes this replica: it takes writes from now on, in a new epoch."""
        async with self._store_lock:
            if self.role == "leader":
                raise RejectedError(409, "this is the leader already", epoch=self.state.epoch)
            if not self.has_list():
                raise RejectedError(409, "nothing to lead: no list was ever received from a leader")
            record, new_state = self.state.promotion_record(), self.state.copy()
            new_state.apply(record)
            try:
                # The role is stored first. After a crash between the two writes, the role names an
                # epoch that never started, and the replica does not lead.
                await self._run_store_operation(
                    lambda: self.store.save_role(leads=record.epoch, deposes=deposed_leader)
                )
                await self._run_store_operation(self.store.append, [record], new_state)
            except OSError as error:
                raise RejectedError(503, f"not committed: {error.strerror}") from None
            self.role = "leader"
            self.restart_leases()
        log.info("promoted: leads epoch %d from version %d", self.state.epoch, self.state.index)
        self.schedule_notification()

    async def depose(self, lineage: str, epoch: int, leader: str) -> None:
        """Ends leadership: another replica leads a later epoch, so no more writes are taken."""
        async with self._store_lock:
            if lineage != self.state.lineage:
                raise RejectedError(409, "another lineage", lineage=self.state.lineage)
            if epoch <= self.state.epoch:
                raise RejectedError(409, "not a later epoch", epoch=self.state.epoch)
            if self.role == "follower":
                return
            try:
                await self._run_store_operation(
                    lambda: self.store.save_role(deposed=epoch, leader=leader)
                )
            except OSError as error:
                raise RejectedError(503, f"not committed: {error.strerror}") from None
            self.role, self.leader_address = "deposed", leader
        log.warning("deposed: %s leads epoch %d; writes are rejected from now on", leader, epoch)
        for watch in [w for w in self.watches if w.reader.kind != "plain"]:
            watch.close()  # these readers reconnect elsewhere

    # Leases.

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL)
            if self.role == "leader":
                await self._remove_expired(self.leases.take_expired(self._loop.time()))
            suspended = self.leases.suspended_since is not None
            if suspended != self._removals_suspended:
                self._removals_suspended = suspended
                overdue_count = len(self.leases.overdue(self._loop.time()))
                outcome = (
                    f"{overdue_count} expired at once, removals suspended"
                    if suspended
                    else "removals resumed"
                )
                log.warning("leases: %s", outcome)

    async def _remove_expired(self, names: Sequence[str]) -> None:
        async def remove(name: str) -> None:
            server = self.state.servers.get(name)
            if server is None:
                return
            try:
                await self.write(WriteRequest("remove", name, expected=server.version))
                log.info("leases: %s did not renew and was removed", name)
            except RejectedError as error:
                log.warning("leases: %s not removed: %s", name, error)
                if self.state.servers.get(name):
                    self.leases.grant(name, server.lease_ms / 1000, self._loop.time())

        await asyncio.gather(*map(remove, names))

    # Watches.

    def has_list(self) -> bool:
        """Returns whether there is a list to serve. A new follower has none until it receives its
        leader's."""
        return self.role == "leader" or self.state.index > 0

    def can_serve(self, reader: Reader) -> bool:
        """Returns whether this reader is served here. A deposed leader's list is out of date, so
        readers that understand epochs have to go elsewhere."""
        return self.has_list() and not (self.role == "deposed" and reader.kind != "plain")

    def update_for(self, reader: Reader, index: int) -> WatchUpdate:
        """Returns the update for a reader at version `index`, encoded once for equal readers."""
        if (cached := self._update_cache.get((reader, index))) is None:
            if len(self._update_cache) >= MAX_CACHED_UPDATES:
                self._update_cache.clear()
            cached = self._update_cache[reader, index] = lines.encode_changes(
                self.state, reader, index, self.writes_at
            )
        return cached

    def schedule_notification(self) -> None:
        """Notifies watches of a change soon, together with changes that follow meanwhile."""
        self._update_cache.clear()
        if self._notify_timer is None:
            self._notify_timer = self._loop.call_later(COALESCE_DELAY, self._notify_watches)

    def _notify_watches(self) -> None:
        self._notify_timer = None
        for watch in list(self.watches):
            watch.notify()

    async def _heartbeat_loop(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            stalled_before = self._loop.time() - STALL_TIMEOUT
            for watch in list(self.watches):
                if watch.stalled_since is not None and watch.stalled_since < stalled_before:
                    self.counts.stalled += 1
                    log.warning("watch of %s: unread for %.0f s, closed", watch.peer, STALL_TIMEOUT)
                    watch.connection.transport.abort()
                else:
                    watch.send_heartbeat()

    def status(self) -> dict[str, Any]:
        """Returns the answer to `GET /status`."""
        now, state, store, suspended_since = (
            self._loop.time(),
            self.state,
            self.store,
            self.leases.suspended_since,
        )
        slowest = min(
            (w.index for w in self.watches if w.stalled_since is None), default=state.index
        )
        return {
            "role": self.role,
            "lineage": state.lineage,
            "epoch": state.epoch,
            "index": state.index,
            "servers": len(state.servers),
            "leader": self.leader_address or None,
            "watches": len(self.watches),
            "watches_stalled": sum(1 for w in self.watches if w.stalled_since is not None),
            "versions_behind": state.index - slowest,
            "leases": {
                "overdue": len(self.leases.overdue(now)),
                "held_back_s": None if suspended_since is None else round(now - suspended_since, 1),
            },
            "log": {
                "bytes": store.log_size,
                "cut_at_start": store.truncated_bytes,
                "replayed": store.replayed,
            },
            "counts": {name: getattr(self.counts, name) for name in Counts.__slots__},
        } | self.extra_status()

    def servers(self) -> dict[str, Any]:
        """Returns the answer to `GET /servers`: each server with its lease."""
        now, entries = self._loop.time(), []
        for server in self.state.servers.values():
            remaining = self.leases.remaining(server.name, now)
            lease = {
                "lease_ms": server.lease_ms,
                "lease_left_ms": None if remaining is None else int(remaining * 1000),
            }
            entries.append(server.listing_entry(True) | lease)
        return {"index": self.state.index, "epoch": self.state.epoch, "servers": entries}


class Watch:
    """One reader's watch. Its unread data is bounded: above the bound writing pauses, and once the
    data has been read, all changes made meanwhile are sent as one update."""

    def __init__(
        self, service: Service, connection: ReadConnection, reader: Reader, index: int
    ) -> None:
        self.service, self.connection, self.reader, self.index = service, connection, reader, index
        self.stalled_since: float | None = None
        self.peer = connection.peer()

    def start(self) -> None:
        """Sends the head of the answer and the first update or heartbeat."""
        transport = self.connection.transport
        transport.set_write_buffer_limits(WATCH_BUFFER_BYTES)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, WATCH_BUFFER_BYTES
        )
        self._write(WATCH_RESPONSE_HEAD)
        # A follower always gets a heartbeat: it names the address for writes.
        if not self.notify() or self.reader.kind == "follow":
            self.send_heartbeat()

    def notify(self) -> bool:
        """Sends the changes since the last update; returns whether there were any."""
        if self.stalled_since is not None:
            return False
        update = self.service.update_for(self.reader, self.index)
        self.index = update.index
        if self.reader.kind != "plain":
            self.reader = replace(
                self.reader, epoch=update.epoch, lineage=self.service.state.lineage
            )
        self.service.counts.wholes += update.is_full
        if update.lines:
            self._write(chunk(update.lines))
        return bool(update.lines)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat, unless writing is paused."""
        if self.stalled_since is None:
            age = int(self.service.list_age() * 1000)
            self._write(
                chunk(
                    lines.encode_heartbeat(
                        self.service.state, self.reader, age, self.service.writes_at
                    )
                )
            )

    def set_write_paused(self, paused: bool) -> None:
        """Pauses writing while the transport's buffer is full, and catches up afterwards."""
        if paused:
            self.stalled_since = self.service._loop.time()
        else:
            self.stalled_since = None
            self.notify()

    def close(self) -> None:
        """Ends the watch with the final chunk."""
        if self.stalled_since is None:
            self._write(b"0\r\n\r\n")
        self.connection.transport.close()

    def _write(self, data: bytes) -> None:
        self.service.counts.bytes_told += len(data)
        self.connection.transport.write(data)


class ApiConnection(HttpConnection):
    """One HTTP connection. It handles one request at a time, and reads no further while it does."""

    def __init__(self, service: Service) -> None:
        super().__init__(httptools.HttpRequestParser)
        self.service = service
        self.task: asyncio.Task[None] | None = None
        self._requests: deque[Message] = deque()
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._closing = self._write_paused = self._any_request_received = False
        # HTTP status for malformed input, sent after the answers to the requests before it
        self._pending_error_status = 0

    def peer(self) -> str:
        """Returns the client's address, for the log."""
        address = self.transport.get_extra_info("peername")
        return f"{address[0]}:{address[1]}" if address else "?"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout of the first request; rejects a connection above the limit."""
        super().connection_made(transport)
        self.service.connections[self] = None
        self.service.counts.connections += 1
        self._set_timeout(REQUEST_TIMEOUT)
        if len(self.service.connections) - len(self.service.watches) > MAX_CONNECTIONS:
            self.reject(RejectedError(503, "too many connections"), close=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timer and the running request."""
        self.service.connections.pop(self, None)
        self._closing = True
        if self._timeout_timer:
            self._timeout_timer.cancel()
        if self.task:
            self.task.cancel()

    def _set_timeout(self, delay: float) -> None:
        if self._timeout_timer:
            self._timeout_timer.cancel()
        self._timeout_timer = asyncio.get_running_loop().call_later(delay, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._write_paused or self._closing:
            self.transport.abort()
        elif self._message_begun or not self._any_request_received:
            self.message_invalid(408)
        else:
            self.transport.close()

    def message_began(self) -> None:
        """Starts the timeout for the rest of a request."""
        self._set_timeout(REQUEST_TIMEOUT)

    def message_received(self, message: Message) -> None:
        """Queues a complete request."""
        self._any_request_received = True
        if not self._closing:
            self._requests.append(message)
            self._process_next()

    def pause_writing(self) -> None:
        """Handles no further request until the client reads its answers."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Handles requests again."""
        self._write_paused = False
        self._process_next()

    def _process_next(self) -> None:
        if self.task or self._closing:
            return
        if self._write_paused:
            self._set_timeout(STALL_TIMEOUT)
        elif self._requests:
            if self._timeout_timer:
                self._timeout_timer.cancel()
            self.transport.pause_reading()
            self.task = asyncio.get_running_loop().create_task(
                self._respond(self._requests.popleft())
            )
        elif self._pending_error_status:
            self.reject(
                RejectedError(self._pending_error_status, "invalid or incomplete request"),
                close=True,
            )
        else:
            self.transport.resume_reading()
            self._set_timeout(REQUEST_TIMEOUT if self._message_begun else IDLE_TIMEOUT)

    async def _respond(self, message: Message) -> None:
        close = not message.keep_alive
        try:
            for name in (b"host", b"content-type", b"request-id", b"if-match"):
                if b"," in message.headers.get(name, b""):
                    raise RejectedError(400, f"{name.decode()}: given twice")
            answer = await self.handle(message)
            if answer is not None:
                self.reply(200, answer, close)
        except RejectedError as error:
            self.reject(error, close)
        except Exception:
            # The client gets an answer, and other connections are not affected.
            log.exception("request of %s", self.peer())
            self.reject(RejectedError(500, "internal error"), close=True)
        finally:
            self.task = None
        self._process_next()

    async def handle(self, message: Message) -> dict[str, Any] | None:
        """Returns the answer to a request, or None if the answer was sent already."""
        raise NotImplementedError

    def message_invalid(self, status: int) -> None:
        """Rejects malformed input, after the answers to the requests before it."""
        self._pending_error_status = status
        self._process_next()

    def reject(self, error: RejectedError, close: bool = False) -> None:
        """Answers with an error, and logs it."""
        self.service.counts.refused += 1
        log.warning("request of %s: %d %s", self.peer(), error.status, error)
        self.reply(error.status, error.answer, close)

    def reply(self, status: int, answer: dict[str, Any], close: bool) -> None:
        """Answers with JSON."""
        self.send(status, json.dumps(answer).encode() + b"\n", close)

    def send(self, status: int, body: bytes, close: bool) -> None:
        """Sends an answer, and closes the connection if asked to."""
        if self._closing or self.transport.is_closing():
            return
        self.transport.write(
            encode_response(status, body, b"Content-Type: application/json\r\n", close=close)
        )
        if not close:
            return
        self._closing = True
        # If input is still arriving, an immediate close would reset the connection and lose the
        # answer, so the input is read and dropped for a while.
        if self._framing_lost:
            self.transport.write_eof()
            self.transport.resume_reading()
            self._set_timeout(LINGER_TIMEOUT)
        else:
            self.transport.close()


class ReadConnection(ApiConnection):
    """A connection of readers: lists, watches, and the version."""

    _watch: Watch | None = None

    async def handle(self, message: Message) -> dict[str, Any] | None:
        """Answers a read, or starts a watch."""
        path, _, query = message.target.decode("latin-1").partition("?")
        if path not in ("/discovery/hosts", "/discovery/version"):
            raise RejectedError(404, "no such resource")
        if message.method != b"GET":
            raise RejectedError(405, "only GET is supported")
        parameters = parse_qs(query, keep_blank_values=True)
        if any(len(values) > 1 for values in parameters.values()):
            raise RejectedError(400, "a parameter given twice")
        arguments = {name: values[0] for name, values in parameters.items()}
        if path == "/discovery/version":
            return self._version()
        if arguments.get("watch", "0") not in ("0", "1"):
            raise RejectedError(400, "watch: must be 0 or 1")
        index, reader = _number(arguments, "from") or 0, Reader(epoch=_number(arguments, "epoch"))
        if "lineage" in arguments:
            reader = replace(reader, kind="extended", lineage=arguments["lineage"][:64])
        if arguments.get("follow") == "1":
            reader = replace(reader, kind="follow")
        if not self.service.can_serve(reader):
            raise RejectedError(503, "no current list here", leader=self.service.leader_address)
        if arguments.get("watch") != "1":
            self.service.counts.lists += 1
            self.service.counts.wholes += 1
            body = lines.encode_full_list(self.service.state, reader).lines
            self.service.counts.bytes_told += len(body)
            self.send(200, body, close=not message.keep_alive)
            return None
        if message.minor_version == 0:
            raise RejectedError(400, "a watch needs HTTP/1.1: it has no known length")
        if len(self.service.watches) >= self.service.max_watches:
            raise RejectedError(503, "too many watches")
        self.service.counts.watches += 1
        self._closing = True  # no more requests on this connection
        self._watch = Watch(self.service, self, reader, index)
        self.service.watches[self._watch] = None
        self._watch.start()
        self.transport.resume_reading()  # to see the client close it
        return None

    def _version(self) -> dict[str, Any]:
        """Returns the version of the list here, and its maximum age, `age_ms`."""
        service, state = self.service, self.service.state
        if not service.can_serve(Reader(kind="follow")):
            raise RejectedError(503, "no current list here", leader=service.leader_address)
        return {
            "index": state.index,
            "epoch": state.epoch,
            "lineage": state.lineage,
            "age_ms": math.ceil(service.list_age() * 1000),
        }

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, but ignores what a client sends on a watch."""
        if self._watch is None:
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the watch, too."""
        super().connection_lost(exc)
        if self._watch:
            self.service.watches.pop(self._watch, None)

    def pause_writing(self) -> None:
        """Pauses the watch, or the handling of requests."""
        if self._watch:
            self._watch.set_write_paused(True)
        else:
            super().pause_writing()

    def resume_writing(self) -> None:
        """Resumes the watch, or the handling of requests."""
        if self._watch:
            self._watch.set_write_paused(False)
        else:
            super().resume_writing()


def _number(arguments: dict[str, str], name: str) -> int | None:
    value = arguments.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= MAX_VERSION_DIGITS):
        raise RejectedError(400, f"{name}: not a version")
    return int(value)


class WriteConnection(ApiConnection):
    """A connection of servers and operators: registration, leases, drains, promotion, status."""

    async def handle(self, message: Message) -> dict[str, Any] | None:
        """Answers a request of a server or an operator."""
        path, _, _ = message.target.decode("latin-1").partition("?")
        parts, method, service = (
            path.strip("/").split("/"),
            message.method.decode("latin-1"),
            self.service,
        )
        match method, parts:
            case "GET", ["status"]:
                return service.status()
            case "GET", ["servers"]:
                return service.servers()
            case "PUT", ["servers", name]:
                server = parse_registration(unquote(name), _body(message), service.lease_ms_range)
                return await self._write(message, "register", server.name, server=server)
            case "POST", ["servers", name, "renew"]:
                return self._version(service.renew(unquote(name)))
            case "POST", ["servers", name, "drain"]:
                return await self._write(message, "drain", unquote(name))
            case "DELETE", ["servers", name]:
                return await self._write(message, "remove", unquote(name))
            case "POST", ["promote"]:
                if service.promote is None:
                    raise RejectedError(409, "not a follower", epoch=service.state.epoch)
                await service.promote()
                return self._version(service.state.index)
            case "POST", ["depose"]:
                body = _body(message)
                epoch, leader = body.get("epoch"), body.get("leader")
                if not (
                    isinstance(epoch, int)
                    and isinstance(leader, str)
                    and len(leader) <= MAX_REQUEST_ID_LENGTH
                ):
                    raise RejectedError(400, "epoch and leader are required")
                await service.depose(str(body.get("lineage")), epoch, leader)
                return {"deposed_by": epoch}
            case _, ["status" | "servers" | "promote" | "depose"] | ["servers", _]:
                raise RejectedError(405, "method not allowed")
            case _, ["servers", _, "renew" | "drain"]:
                raise RejectedError(405, "method not allowed")
        raise RejectedError(404, "no such resource")

    def _version(self, version: int) -> dict[str, Any]:
        return {
            "version": version,
            "index": self.service.state.index,
            "epoch": self.service.state.epoch,
        }

    async def _write(
        self, message: Message, kind: str, name: str, **details: Any
    ) -> dict[str, Any]:
        id, match = (
            message.headers.get(n, b"").decode("latin-1") for n in (b"request-id", b"if-match")
        )
        if len(id) > MAX_REQUEST_ID_LENGTH:
            raise RejectedError(400, "request-id: too long")
        expected = _number({"if-match": match.strip('"')}, "if-match") if match else None
        version = await self.service.write(
            WriteRequest(kind, name, id=id, expected=expected, **details)
        )
        self.service.counts.writes += 1
        return self._version(version)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    if len(body := dict(pairs)) < len(pairs):
        raise ValueError("duplicate key")
    return body


def _body(message: Message) -> dict[str, Any]:
    try:
        body = json.loads(message.body, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError):
        raise RejectedError(400, "the body is not valid JSON") from None
    if not isinstance(body, dict):
        raise RejectedError(400, "the body is not a JSON object")
    return body
