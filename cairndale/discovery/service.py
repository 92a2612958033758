"""HTTP for readers, servers and operators, watches, and the one writer that all changes go
through."""

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
from cairndale.ingress.net.http import HttpConnection, Message, plain

HEARTBEAT_INTERVAL = 2.0  # s between empty lines
REQUEST_TIMEOUT = 2.0  # s for a call to come whole, from connecting or from its first byte
LINGER_TIMEOUT = 1.0  # s that a connection with more to say is read on after its last answer
IDLE_TIMEOUT = 30.0  # s that a connection is kept between calls
COALESCE_DELAY = 0.01  # s that changes are gathered before watches are told
WRITE_TIMEOUT = 5.0  # s that a write waits for the disk before it is told so
MAX_PENDING_WRITES = 1024  # writes that wait for the disk; further ones are turned away
MAX_BATCH_WRITES = 256  # of them that one sync covers
MAX_CONNECTIONS = 512  # connections that are no watches
MAX_CACHED_UPDATES = 16  # lines for readers that stand alike, kept until the next change
WATCH_BUFFER_BYTES = 64 * 1024  # bytes unread by a watch beyond which nothing more is written to it
STALL_TIMEOUT = 20.0  # s that a watch may leave them unread
LEASE_CHECK_INTERVAL = 0.5  # s between looks at leases
SHUTDOWN_TIMEOUT = 2.0  # s at the end for watches to be closed in order
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
MAX_REQUEST_ID_LENGTH = 128
MAX_VERSION_DIGITS = 18
WATCH_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)

log = logging.getLogger(__name__)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(slots=True)
class Counts:
    """Since the start, for `GET /status`."""

    lists: int = 0
    watches: int = 0
    connections: int = 0
    bytes_told: int = 0
    wholes: int = 0  # watches and lists answered with the whole list
    writes: int = 0
    refused: int = 0
    stalled: int = 0  # watches closed as they were not read


class Service:
    def __init__(
        self, store: Store, leases: Leases, ttls: tuple[int, int], max_watches: int
    ) -> None:
        self.store, self.leases, self.lease_ms_range, self.max_watches = (
            store,
            leases,
            ttls,
            max_watches,
        )
        self.counts = Counts()
        self.role = "leader"
        self.leader_at = ""  # where writes go, as a follower or a deposed leader knows it
        self.writes_at = ""  # where they come here
        self.watches: dict[Watch, None] = {}
        self.connections: dict[ApiConnection, None] = {}
        self.list_age: Callable[[], float] = lambda: (
            0.0
        )  # s since the leader was heard: a follower's
        self.extra_status: Callable[[], dict[str, Any]] = dict
        self.promote: Callable[[], Any] | None = None
        self._loop = asyncio.get_running_loop()
        self._pending: deque[tuple[WriteRequest, asyncio.Future[int]]] = deque()
        self._writes_pending = asyncio.Event()
        self._store_lock = asyncio.Lock()  # of whoever writes to the store
        self._notify_timer: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._update_cache: dict[
            tuple[Reader, int], WatchUpdate
        ] = {}  # lines made for this state, by who asks
        self._listeners: list[asyncio.Server] = []
        self._removals_suspended = False

    @property
    def state(self) -> State:
        return self.store.state

    # Starting and ending.

    async def listen(self, reads: tuple[str, int], writes: tuple[str, int]) -> tuple[int, int]:
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
        if self.role == "leader":
            self.restart_leases()
        for run in (self._write_loop, self._heartbeat_loop, self._lease_loop):
            self._tasks.append(self._loop.create_task(run()))

    async def stop(self) -> None:
        """Takes nothing new, finishes the writes taken, and ends watches in order: readers go
        elsewhere."""
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
        ttls = {s.name: s.lease_ms / 1000 for s in self.state.servers.values()}
        self.leases.restart(ttls, self._loop.time())

    # Writes.

    async def write(self, request: WriteRequest) -> int:
        """The version that holds it, once it is on disk; Refused if it changes nothing."""
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
            raise RejectedError(503, "not kept in time; it may be yet") from None

    def require_leader(self) -> None:
        if self.role != "leader":
            status = 409 if self.role == "deposed" else 503
            raise RejectedError(
                status, f"this is a {self.role}", epoch=self.state.epoch, leader=self.leader_at
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
                        # those who wait are told when their time is over; others go on
                        log.exception("while writing")

    async def _write_batch(self) -> None:
        new_state, records = self.state.copy(), list[Record]()
        # A refusal may rest on what is written here: it waits for the disk as a yes does.
        answers: list[tuple[WriteRequest, asyncio.Future[int], int | RejectedError]] = []
        while self._pending and len(answers) < MAX_BATCH_WRITES:
            request, future = self._pending.popleft()
            if future.done():  # whoever asked has gone, and nothing was begun
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
                store_error = RejectedError(503, f"not kept: {error.strerror}")
                if error.errno in DISK_FULL_ERRNOS:
                    store_error = RejectedError(507, "not kept: the disk is full")
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
        """In a thread, and waited for even if whoever asked is cancelled: the store has one
        user."""
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
        self.require_leader()
        server = self.state.servers.get(name)
        if server is None or self.leases.renew(name, self._loop.time()) is None:
            raise RejectedError(404, "no such server: register it")
        return server.version

    async def replicate(self, records: Sequence[Record], full_state: State | None = None) -> None:
        """A follower's: what its leader has told."""
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
        """From now on writes are taken here, in an epoch of its own."""
        async with self._store_lock:
            if self.role == "leader":
                raise RejectedError(409, "this is the leader already", epoch=self.state.epoch)
            if not self.has_list():
                raise RejectedError(409, "nothing to lead: the leader was never heard")
            record, new_state = self.state.promotion_record(), self.state.copy()
            new_state.apply(record)
            try:
                # The role first: should this process end in between, it leads an epoch that never
                # began.
                await self._run_store_operation(
                    lambda: self.store.save_role(leads=record.epoch, deposes=deposed_leader)
                )
                await self._run_store_operation(self.store.append, [record], new_state)
            except OSError as error:
                raise RejectedError(503, f"not kept: {error.strerror}") from None
            self.role = "leader"
            self.restart_leases()
        log.info("promoted: leads epoch %d from version %d", self.state.epoch, self.state.index)
        self.schedule_notification()

    async def depose(self, lineage: str, epoch: int, leader: str) -> None:
        """Another process leads a later epoch of this list: nothing is written here any longer."""
        async with self._store_lock:
            if lineage != self.state.lineage:
                raise RejectedError(409, "another list", lineage=self.state.lineage)
            if epoch <= self.state.epoch:
                raise RejectedError(409, "no later epoch", epoch=self.state.epoch)
            if self.role == "follower":
                return
            try:
                await self._run_store_operation(
                    lambda: self.store.save_role(deposed=epoch, leader=leader)
                )
            except OSError as error:
                raise RejectedError(503, f"not kept: {error.strerror}") from None
            self.role, self.leader_at = "deposed", leader
        log.warning("deposed: %s leads epoch %d; writes are refused from now on", leader, epoch)
        for watch in [w for w in self.watches if w.reader.kind != "plain"]:
            watch.close()  # they know to go elsewhere

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
                    f"{overdue_count} overdue at once, none is acted on"
                    if suspended
                    else "acted on again"
                )
                log.warning("leases: %s", outcome)

    async def _remove_expired(self, names: Sequence[str]) -> None:
        async def one(name: str) -> None:
            server = self.state.servers.get(name)
            if server is None:
                return
            try:
                await self.write(WriteRequest("remove", name, expected=server.version))
                log.info("leases: %s has not renewed and is off the list", name)
            except RejectedError as error:
                log.warning("leases: %s stays on the list: %s", name, error)
                if self.state.servers.get(name):
                    self.leases.grant(name, server.lease_ms / 1000, self._loop.time())

        await asyncio.gather(*map(one, names))

    # Watches.

    def has_list(self) -> bool:
        """A follower that has never heard its leader has no list to give."""
        return self.role == "leader" or self.state.index > 0

    def can_serve(self, reader: Reader) -> bool:
        """A deposed leader's list stands still: who understands epochs is sent elsewhere."""
        return self.has_list() and not (self.role == "deposed" and reader.kind != "plain")

    def update_for(self, reader: Reader, index: int) -> WatchUpdate:
        if (cached := self._update_cache.get((reader, index))) is None:
            if len(self._update_cache) >= MAX_CACHED_UPDATES:
                self._update_cache.clear()
            cached = self._update_cache[reader, index] = lines.encode_changes(
                self.state, reader, index, self.writes_at
            )
        return cached

    def schedule_notification(self) -> None:
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
        now, state, store, suspended = (
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
            "leader": self.leader_at or None,
            "watches": len(self.watches),
            "watches_stalled": sum(1 for w in self.watches if w.stalled_since is not None),
            "versions_behind": state.index - slowest,
            "leases": {
                "overdue": len(self.leases.overdue(now)),
                "held_back_s": None if suspended is None else round(now - suspended, 1),
            },
            "log": {
                "bytes": store.log_size,
                "cut_at_start": store.truncated_bytes,
                "replayed": store.replayed,
            },
            "counts": {name: getattr(self.counts, name) for name in Counts.__slots__},
        } | self.extra_status()

    def servers(self) -> dict[str, Any]:
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
    """One reader that is told of changes. What it has not read is bounded: while it is over that,
    nothing is written, and once it has been read, all that changed meanwhile comes as one line."""

    def __init__(
        self, service: Service, connection: ReadConnection, reader: Reader, index: int
    ) -> None:
        self.service, self.connection, self.reader, self.index = service, connection, reader, index
        self.stalled_since: float | None = None
        self.peer = connection.peer()

    def start(self) -> None:
        transport = self.connection.transport
        transport.set_write_buffer_limits(WATCH_BUFFER_BYTES)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, WATCH_BUFFER_BYTES
        )
        self._write(WATCH_RESPONSE_HEAD)
        if not self.notify() or self.reader.kind == "follow":  # a beat tells it where writes go
            self.send_heartbeat()

    def notify(self) -> bool:
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
        if self.stalled_since is None:
            age = int(self.service.list_age() * 1000)
            self._write(
                chunk(
                    lines.encode_heartbeat(
                        self.service.state, self.reader, age, self.service.writes_at
                    )
                )
            )

    def set_write_paused(self, full: bool) -> None:
        if full:
            self.stalled_since = self.service._loop.time()
        else:
            self.stalled_since = None
            self.notify()

    def close(self) -> None:
        if self.stalled_since is None:
            self._write(b"0\r\n\r\n")
        self.connection.transport.close()

    def _write(self, data: bytes) -> None:
        self.service.counts.bytes_told += len(data)
        self.connection.transport.write(data)


class ApiConnection(HttpConnection):
    """One connection: one call at a time, each with its answer, and no more read than is
    answered."""

    def __init__(self, service: Service) -> None:
        super().__init__(httptools.HttpRequestParser)
        self.service = service
        self.task: asyncio.Task[None] | None = None
        self._requests: deque[Message] = deque()
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._closing = self._write_paused = self._any_request_received = False
        self._pending_error_status = (
            0  # the status owed for what came behind the calls that are being answered
        )

    def peer(self) -> str:
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "?"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.service.connections[self] = None
        self.service.counts.connections += 1
        self._set_timeout(REQUEST_TIMEOUT)
        if len(self.service.connections) - len(self.service.watches) > MAX_CONNECTIONS:
            self.reject(RejectedError(503, "too many connections"), close=True)

    def connection_lost(self, exc: Exception | None) -> None:
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
        elif self._begun or not self._any_request_received:
            self.garbage(408)
        else:
            self.transport.close()

    def began(self) -> None:
        self._set_timeout(REQUEST_TIMEOUT)

    def received(self, message: Message) -> None:
        self._any_request_received = True
        if not self._closing:
            self._requests.append(message)
            self._process_next()

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
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
            self.reject(RejectedError(self._pending_error_status, "not understood"), close=True)
        else:
            self.transport.resume_reading()
            self._set_timeout(REQUEST_TIMEOUT if self._begun else IDLE_TIMEOUT)

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
            # whoever asked is owed an answer, and the next one is none the worse for it
            log.exception("call of %s", self.peer())
            self.reject(RejectedError(500, "failed here"), close=True)
        finally:
            self.task = None
        self._process_next()

    async def handle(self, message: Message) -> dict[str, Any] | None:
        raise NotImplementedError

    def garbage(self, status: int) -> None:
        self._pending_error_status = status
        self._process_next()

    def reject(self, error: RejectedError, close: bool = False) -> None:
        self.service.counts.refused += 1
        log.warning("call of %s: %d %s", self.peer(), error.status, error)
        self.reply(error.status, error.answer, close)

    def reply(self, status: int, answer: dict[str, Any], close: bool) -> None:
        self.send(status, json.dumps(answer).encode() + b"\n", close)

    def send(self, status: int, body: bytes, close: bool) -> None:
        if self._closing or self.transport.is_closing():
            return
        self.transport.write(
            plain(status, body, b"Content-Type: application/json\r\n", close=close)
        )
        if not close:
            return
        self._closing = True
        # what still comes is dropped: closed at once, the answer would be lost
        if self._lost_framing:
            self.transport.write_eof()
            self.transport.resume_reading()
            self._set_timeout(LINGER_TIMEOUT)
        else:
            self.transport.close()


class ReadConnection(ApiConnection):
    _watch: Watch | None = None

    async def handle(self, message: Message) -> dict[str, Any] | None:
        path, _, query = message.target.decode("latin-1").partition("?")
        if path not in ("/discovery/hosts", "/discovery/version"):
            raise RejectedError(404, "no such call")
        if message.method != b"GET":
            raise RejectedError(405, "only GET is known here")
        parameters = parse_qs(query, keep_blank_values=True)
        if any(len(values) > 1 for values in parameters.values()):
            raise RejectedError(400, "a parameter given twice")
        arguments = {name: values[0] for name, values in parameters.items()}
        if path == "/discovery/version":
            return self._version()
        if arguments.get("watch", "0") not in ("0", "1"):
            raise RejectedError(400, "watch: 0 or 1")
        index, reader = _number(arguments, "from") or 0, Reader(epoch=_number(arguments, "epoch"))
        if "lineage" in arguments:
            reader = replace(reader, kind="extended", lineage=arguments["lineage"][:64])
        if arguments.get("follow") == "1":
            reader = replace(reader, kind="follow")
        if not self.service.can_serve(reader):
            raise RejectedError(503, "nothing to tell here", leader=self.service.leader_at)
        if arguments.get("watch") != "1":
            self.service.counts.lists += 1
            self.service.counts.wholes += 1
            update = lines.encode_full_list(self.service.state, reader).lines
            self.service.counts.bytes_told += len(update)
            self.send(200, update, close=not message.keep_alive)
            return None
        if message.minor == 0:
            raise RejectedError(400, "a watch is HTTP/1.1: it has no end that could be announced")
        if len(self.service.watches) >= self.service.max_watches:
            raise RejectedError(503, "too many watches")
        self.service.counts.watches += 1
        self._closing = True  # nothing more is asked on this connection
        self._watch = Watch(self.service, self, reader, index)
        self.service.watches[self._watch] = None
        self._watch.start()
        self.transport.resume_reading()  # only its end is of interest
        return None

    def _version(self) -> dict[str, Any]:
        """What is held here: a list of that version is no older than the call, but for `age_ms`
        more."""
        service, state = self.service, self.service.state
        if not service.can_serve(Reader(kind="follow")):
            raise RejectedError(503, "nothing to tell here", leader=service.leader_at)
        return {
            "index": state.index,
            "epoch": state.epoch,
            "lineage": state.lineage,
            "age_ms": math.ceil(service.list_age() * 1000),
        }

    def data_received(self, data: bytes) -> None:
        if self._watch is None:
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self._watch:
            self.service.watches.pop(self._watch, None)

    def pause_writing(self) -> None:
        if self._watch:
            self._watch.set_write_paused(True)
        else:
            super().pause_writing()

    def resume_writing(self) -> None:
        if self._watch:
            self._watch.set_write_paused(False)
        else:
            super().resume_writing()


def _number(arguments: dict[str, str], name: str) -> int | None:
    value = arguments.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= MAX_VERSION_DIGITS):
        raise RejectedError(400, f"{name}: no version")
    return int(value)


class WriteConnection(ApiConnection):
    """For servers and operators; `PUT /servers/NAME` and so on."""

    async def handle(self, message: Message) -> dict[str, Any] | None:
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
                    raise RejectedError(409, "this is no follower", epoch=service.state.epoch)
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
                    raise RejectedError(400, "epoch and leader are wanted")
                await service.depose(str(body.get("lineage")), epoch, leader)
                return {"deposed_by": epoch}
            case _, ["status" | "servers" | "promote" | "depose"] | ["servers", _]:
                raise RejectedError(405, "not with this method")
            case _, ["servers", _, "renew" | "drain"]:
                raise RejectedError(405, "not with this method")
        raise RejectedError(404, "no such call")

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
        raise ValueError("a key given twice")
    return body


def _body(message: Message) -> dict[str, Any]:
    try:
        body = json.loads(message.body, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError):
        raise RejectedError(400, "the body is no sound JSON") from None
    if not isinstance(body, dict):
        raise RejectedError(400, "the body is no JSON object")
    return body
