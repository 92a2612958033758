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
from cairndale.discovery.lines import Reader, Told
from cairndale.discovery.state import Broken, Call, Record, Refused, State, server_from
from cairndale.discovery.store import Store
from cairndale.ingress.net.http import HttpConnection, Message, encode_response

BEAT = 2.0  # s between empty lines
PATIENCE = 2.0  # s for a call to come whole, from connecting or from its first byte
LINGER = 1.0  # s that a connection with more to say is read on after its last answer
IDLE = 30.0  # s that a connection is kept between calls
COALESCE = 0.01  # s that changes are gathered before watches are told
WRITE_TIMEOUT = 5.0  # s that a write waits for the disk before it is told so
PENDING = 1024  # writes that wait for the disk; further ones are turned away
BATCH = 256  # of them that one sync covers
CALLERS = 512  # connections that are no watches
CACHED = 16  # lines for readers that stand alike, kept until the next change
BUFFER = 64 * 1024  # bytes unread by a watch beyond which nothing more is written to it
STALLED = 20.0  # s that a watch may leave them unread
LOOK = 0.5  # s between looks at leases
DRAIN = 2.0  # s at the end for watches to be closed in order
NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
MAX_ID = 128
FROM_DIGITS = 18
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

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
    def __init__(self, store: Store, leases: Leases, terms: tuple[int, int], watchers: int) -> None:
        self.store, self.leases, self.terms, self.max_watchers = store, leases, terms, watchers
        self.counts = Counts()
        self.role = "leader"
        self.leader_at = ""  # where writes go, as a follower or a deposed leader knows it
        self.writes_at = ""  # where they come here
        self.watches: dict[Watch, None] = {}
        self.connections: dict[DirectoryCaller, None] = {}
        self.age: Callable[[], float] = lambda: 0.0  # s since the leader was heard: a follower's
        self.more_status: Callable[[], dict[str, Any]] = dict
        self.promote: Callable[[], Any] | None = None
        self._loop = asyncio.get_running_loop()
        self._pending: deque[tuple[Call, asyncio.Future[int]]] = deque()
        self._wake = asyncio.Event()
        self._turn = asyncio.Lock()  # of whoever writes to the store
        self._flush: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._told: dict[tuple[Reader, int], Told] = {}  # lines made for this state, by who asks
        self._servers: list[asyncio.Server] = []
        self._held_back = False

    @property
    def state(self) -> State:
        return self.store.state

    # Starting and ending.

    async def listen(self, reads: tuple[str, int], writes: tuple[str, int]) -> tuple[int, int]:
        ports: list[int] = []
        for make, address in ((ReadCaller, reads), (WriteCaller, writes)):
            server = await self._loop.create_server(partial(make, self), *address, backlog=1024)
            self._servers.append(server)
            ports.append(server.sockets[0].getsockname()[1])
        self.writes_at = f"{writes[0]}:{ports[1]}"
        return ports[0], ports[1]

    def start(self) -> None:
        if self.role == "leader":
            self.begin_leases()
        for run in (self._keep_writing, self._keep_beating, self._keep_leases):
            self._tasks.append(self._loop.create_task(run()))

    async def stop(self) -> None:
        """Takes nothing new, finishes the writes taken, and ends watches in order: readers go
        elsewhere."""
        for server in self._servers:
            server.close()
        async with self._turn:
            pass
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        while self._pending:
            _, done = self._pending.popleft()
            if not done.done():
                done.set_exception(Refused(503, "stopping"))
        if answering := [c.task for c in self.connections if c.task]:
            await asyncio.wait(answering, timeout=DRAIN)
        if self._flush:
            self._flush.cancel()
        for watch in list(self.watches):
            watch.end()
        for connection in list(self.connections):
            connection.transport.close()
        until = self._loop.time() + DRAIN
        while self.connections and self._loop.time() < until:
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.transport.abort()

    def begin_leases(self) -> None:
        terms = {s.name: s.lease_ms / 1000 for s in self.state.servers.values()}
        self.leases.begin(terms, self._loop.time())

    # Writes.

    async def write(self, call: Call) -> int:
        """The version that holds it, once it is on disk; Refused if it changes nothing."""
        self.must_lead()
        if len(self._pending) >= PENDING:
            raise Refused(503, "too many writes at once")
        done: asyncio.Future[int] = self._loop.create_future()
        self._pending.append((call, done))
        self._wake.set()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT):
                return await done
        except TimeoutError:
            raise Refused(503, "not kept in time; it may be yet") from None

    def must_lead(self) -> None:
        if self.role != "leader":
            status = 409 if self.role == "deposed" else 503
            raise Refused(
                status, f"this is a {self.role}", epoch=self.state.epoch, leader=self.leader_at
            )

    async def _keep_writing(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                async with self._turn:
                    try:
                        await self._write_batch()
                    except Exception:
                        # those who wait are told when their time is over; others go on
                        log.exception("while writing")

    async def _write_batch(self) -> None:
        work, records = self.state.copy(), list[Record]()
        # A refusal may rest on what is written here: it waits for the disk as a yes does.
        answers: list[tuple[Call, asyncio.Future[int], int | Refused]] = []
        while self._pending and len(answers) < BATCH:
            call, done = self._pending.popleft()
            if done.done():  # whoever asked has gone, and nothing was begun
                continue
            try:
                self.must_lead()
                record, version = work.decide(call)
            except Refused as error:
                answers.append((call, done, error))
                continue
            if record:
                work.apply(record)
                records.append(record)
            answers.append((call, done, version))
        failed: Refused | None = None
        if records:
            try:
                await self._durably(self.store.append, records, work)
            except OSError as error:
                failed = Refused(503, f"not kept: {error.strerror}")
                if error.errno in NO_ROOM:
                    failed = Refused(507, "not kept: the disk is full")
        for call, done, answer in answers:
            refused = failed or (answer if isinstance(answer, Refused) else None)
            if refused is None:
                self._settle_lease(call)
            if done.done():
                continue
            if refused:
                done.set_exception(refused)
            elif not isinstance(answer, Refused):
                done.set_result(answer)
        if records and failed is None:
            self.changed()

    async def _durably(self, work: Callable[..., None], *args: Any) -> None:
        """In a thread, and waited for even if whoever asked is cancelled: the store has one
        user."""
        task = self._loop.run_in_executor(None, work, *args)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            await asyncio.wait([task])
            raise

    def _settle_lease(self, call: Call) -> None:
        server = self.state.servers.get(call.name)
        if call.kind == "register" and server:
            self.leases.grant(call.name, server.lease_ms / 1000, self._loop.time())
        elif call.kind == "remove" and server is None:
            self.leases.drop(call.name)

    def renew(self, name: str) -> int:
        self.must_lead()
        server = self.state.servers.get(name)
        if server is None or self.leases.renew(name, self._loop.time()) is None:
            raise Refused(404, "no such server: register it")
        return server.version

    async def copy(self, records: Sequence[Record], whole: State | None = None) -> None:
        """A follower's: what its leader has told."""
        async with self._turn:
            if self.role != "follower":
                raise Broken("promoted meanwhile")
            if whole:
                await self._durably(self.store.reset, whole)
            else:
                work = self.state.copy()
                for record in records:
                    work.apply(record)
                await self._durably(self.store.append, records, work)
        self.changed()

    async def lead(self, old: str) -> None:
        """From now on writes are taken here, in an epoch of its own."""
        async with self._turn:
            if self.role == "leader":
                raise Refused(409, "this is the leader already", epoch=self.state.epoch)
            if not self.knows_any():
                raise Refused(409, "nothing to lead: the leader was never heard")
            record, work = self.state.promoted(), self.state.copy()
            work.apply(record)
            try:
                # The role first: should this process end in between, it leads an epoch that never
                # began.
                await self._durably(lambda: self.store.keep_role(leads=record.epoch, deposes=old))
                await self._durably(self.store.append, [record], work)
            except OSError as error:
                raise Refused(503, f"not kept: {error.strerror}") from None
            self.role = "leader"
            self.begin_leases()
        log.info("promoted: leads epoch %d from version %d", self.state.epoch, self.state.index)
        self.changed()

    async def depose(self, lineage: str, epoch: int, leader: str) -> None:
        """Another process leads a later epoch of this list: nothing is written here any longer."""
        async with self._turn:
            if lineage != self.state.lineage:
                raise Refused(409, "another list", lineage=self.state.lineage)
            if epoch <= self.state.epoch:
                raise Refused(409, "no later epoch", epoch=self.state.epoch)
            if self.role == "follower":
                return
            try:
                await self._durably(lambda: self.store.keep_role(deposed=epoch, leader=leader))
            except OSError as error:
                raise Refused(503, f"not kept: {error.strerror}") from None
            self.role, self.leader_at = "deposed", leader
        log.warning("deposed: %s leads epoch %d; writes are refused from now on", leader, epoch)
        for watch in [w for w in self.watches if w.reader.kind != "plain"]:
            watch.end()  # they know to go elsewhere

    # Leases.

    async def _keep_leases(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            if self.role == "leader":
                await self._take_off(self.leases.run_out(self._loop.time()))
            held = self.leases.held_since is not None
            if held != self._held_back:
                self._held_back = held
                late = len(self.leases.overdue(self._loop.time()))
                said = f"{late} overdue at once, none is acted on" if held else "acted on again"
                log.warning("leases: %s", said)

    async def _take_off(self, names: Sequence[str]) -> None:
        async def one(name: str) -> None:
            server = self.state.servers.get(name)
            if server is None:
                return
            try:
                await self.write(Call("remove", name, expected=server.version))
                log.info("leases: %s has not renewed and is off the list", name)
            except Refused as error:
                log.warning("leases: %s stays on the list: %s", name, error)
                if self.state.servers.get(name):
                    self.leases.grant(name, server.lease_ms / 1000, self._loop.time())

        await asyncio.gather(*map(one, names))

    # Watches.

    def knows_any(self) -> bool:
        """A follower that has never heard its leader has no list to give."""
        return self.role == "leader" or self.state.index > 0

    def serves(self, reader: Reader) -> bool:
        """A deposed leader's list stands still: who understands epochs is sent elsewhere."""
        return self.knows_any() and not (self.role == "deposed" and reader.kind != "plain")

    def told(self, reader: Reader, index: int) -> Told:
        if (found := self._told.get((reader, index))) is None:
            if len(self._told) >= CACHED:
                self._told.clear()
            found = self._told[reader, index] = lines.since(
                self.state, reader, index, self.writes_at
            )
        return found

    def changed(self) -> None:
        self._told.clear()
        if self._flush is None:
            self._flush = self._loop.call_later(COALESCE, self._tell)

    def _tell(self) -> None:
        self._flush = None
        for watch in list(self.watches):
            watch.tell()

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            late = self._loop.time() - STALLED
            for watch in list(self.watches):
                if watch.stalled_since is not None and watch.stalled_since < late:
                    self.counts.stalled += 1
                    log.warning("watch of %s: unread for %.0f s, closed", watch.peer, STALLED)
                    watch.caller.transport.abort()
                else:
                    watch.beat()

    def status(self) -> dict[str, Any]:
        now, state, store, held = self._loop.time(), self.state, self.store, self.leases.held_since
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
                "held_back_s": None if held is None else round(now - held, 1),
            },
            "log": {"bytes": store.log_size, "cut_at_start": store.cut, "replayed": store.replayed},
            "counts": {name: getattr(self.counts, name) for name in Counts.__slots__},
        } | self.more_status()

    def servers(self) -> dict[str, Any]:
        now, shown = self._loop.time(), []
        for server in self.state.servers.values():
            left = self.leases.left(server.name, now)
            lease = {
                "lease_ms": server.lease_ms,
                "lease_left_ms": None if left is None else int(left * 1000),
            }
            shown.append(server.listed(True) | lease)
        return {"index": self.state.index, "epoch": self.state.epoch, "servers": shown}


class Watch:
    """One reader that is told of changes. What it has not read is bounded: while it is over that,
    nothing is written, and once it has been read, all that changed meanwhile comes as one line."""

    def __init__(self, service: Service, caller: ReadCaller, reader: Reader, index: int) -> None:
        self.service, self.caller, self.reader, self.index = service, caller, reader, index
        self.stalled_since: float | None = None
        self.peer = caller.peer()

    def begin(self) -> None:
        transport = self.caller.transport
        transport.set_write_buffer_limits(BUFFER)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
        self._write(HEAD)
        if not self.tell() or self.reader.kind == "follow":  # a beat tells it where writes go
            self.beat()

    def tell(self) -> bool:
        if self.stalled_since is not None:
            return False
        told = self.service.told(self.reader, self.index)
        self.index = told.index
        if self.reader.kind != "plain":
            self.reader = replace(self.reader, epoch=told.epoch, lineage=self.service.state.lineage)
        self.service.counts.wholes += told.whole
        if told.lines:
            self._write(chunk(told.lines))
        return bool(told.lines)

    def beat(self) -> None:
        if self.stalled_since is None:
            age = int(self.service.age() * 1000)
            self._write(
                chunk(lines.beat(self.service.state, self.reader, age, self.service.writes_at))
            )

    def press(self, full: bool) -> None:
        if full:
            self.stalled_since = self.service._loop.time()
        else:
            self.stalled_since = None
            self.tell()

    def end(self) -> None:
        if self.stalled_since is None:
            self._write(b"0\r\n\r\n")
        self.caller.transport.close()

    def _write(self, data: bytes) -> None:
        self.service.counts.bytes_told += len(data)
        self.caller.transport.write(data)


class DirectoryCaller(HttpConnection):
    """One connection: one call at a time, each with its answer, and no more read than is
    answered."""

    def __init__(self, service: Service) -> None:
        super().__init__(httptools.HttpRequestParser)
        self.service = service
        self.task: asyncio.Task[None] | None = None
        self._calls: deque[Message] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._done = self._pressed = self._called = False
        self._bad = 0  # the status owed for what came behind the calls that are being answered

    def peer(self) -> str:
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "?"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.service.connections[self] = None
        self.service.counts.connections += 1
        self._wait(PATIENCE)
        if len(self.service.connections) - len(self.service.watches) > CALLERS:
            self.refuse(Refused(503, "too many connections"), close=True)

    def connection_lost(self, exc: Exception | None) -> None:
        self.service.connections.pop(self, None)
        self._done = True
        if self._timer:
            self._timer.cancel()
        if self.task:
            self.task.cancel()

    def _wait(self, patience: float) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(patience, self._impatient)

    def _impatient(self) -> None:
        if self._pressed or self._done:
            self.transport.abort()
        elif self._message_begun or not self._called:
            self.message_invalid(408)
        else:
            self.transport.close()

    def message_began(self) -> None:
        self._wait(PATIENCE)

    def message_received(self, message: Message) -> None:
        self._called = True
        if not self._done:
            self._calls.append(message)
            self._next()

    def pause_writing(self) -> None:
        self._pressed = True

    def resume_writing(self) -> None:
        self._pressed = False
        self._next()

    def _next(self) -> None:
        if self.task or self._done:
            return
        if self._pressed:
            self._wait(STALLED)
        elif self._calls:
            if self._timer:
                self._timer.cancel()
            self.transport.pause_reading()
            self.task = asyncio.get_running_loop().create_task(self._answer(self._calls.popleft()))
        elif self._bad:
            self.refuse(Refused(self._bad, "not understood"), close=True)
        else:
            self.transport.resume_reading()
            self._wait(PATIENCE if self._message_begun else IDLE)

    async def _answer(self, message: Message) -> None:
        close = not message.keep_alive
        try:
            for name in (b"host", b"content-type", b"request-id", b"if-match"):
                if b"," in message.headers.get(name, b""):
                    raise Refused(400, f"{name.decode()}: given twice")
            answer = await self.call(message)
            if answer is not None:
                self.reply(200, answer, close)
        except Refused as error:
            self.refuse(error, close)
        except Exception:
            # whoever asked is owed an answer, and the next one is none the worse for it
            log.exception("call of %s", self.peer())
            self.refuse(Refused(500, "failed here"), close=True)
        finally:
            self.task = None
        self._next()

    async def call(self, message: Message) -> dict[str, Any] | None:
        raise NotImplementedError

    def message_invalid(self, status: int) -> None:
        self._bad = status
        self._next()

    def refuse(self, error: Refused, close: bool = False) -> None:
        self.service.counts.refused += 1
        log.warning("call of %s: %d %s", self.peer(), error.status, error)
        self.reply(error.status, error.answer, close)

    def reply(self, status: int, answer: dict[str, Any], close: bool) -> None:
        self.send(status, json.dumps(answer).encode() + b"\n", close)

    def send(self, status: int, body: bytes, close: bool) -> None:
        if self._done or self.transport.is_closing():
            return
        self.transport.write(
            encode_response(status, body, b"Content-Type: application/json\r\n", close=close)
        )
        if not close:
            return
        self._done = True
        # what still comes is dropped: closed at once, the answer would be lost
        if self._framing_lost:
            self.transport.write_eof()
            self.transport.resume_reading()
            self._wait(LINGER)
        else:
            self.transport.close()


class ReadCaller(DirectoryCaller):
    _watch: Watch | None = None

    async def call(self, message: Message) -> dict[str, Any] | None:
        path, _, query = message.target.decode("latin-1").partition("?")
        if path not in ("/discovery/hosts", "/discovery/version"):
            raise Refused(404, "no such call")
        if message.method != b"GET":
            raise Refused(405, "only GET is known here")
        asked = parse_qs(query, keep_blank_values=True)
        if any(len(values) > 1 for values in asked.values()):
            raise Refused(400, "a parameter given twice")
        given = {name: values[0] for name, values in asked.items()}
        if path == "/discovery/version":
            return self._version()
        if given.get("watch", "0") not in ("0", "1"):
            raise Refused(400, "watch: 0 or 1")
        index, reader = _number(given, "from") or 0, Reader(epoch=_number(given, "epoch"))
        if "lineage" in given:
            reader = replace(reader, kind="extended", lineage=given["lineage"][:64])
        if given.get("follow") == "1":
            reader = replace(reader, kind="follow")
        if not self.service.serves(reader):
            raise Refused(503, "nothing to tell here", leader=self.service.leader_at)
        if given.get("watch") != "1":
            self.service.counts.lists += 1
            self.service.counts.wholes += 1
            told = lines.whole(self.service.state, reader).lines
            self.service.counts.bytes_told += len(told)
            self.send(200, told, close=not message.keep_alive)
            return None
        if message.minor_version == 0:
            raise Refused(400, "a watch is HTTP/1.1: it has no end that could be announced")
        if len(self.service.watches) >= self.service.max_watchers:
            raise Refused(503, "too many watches")
        self.service.counts.watches += 1
        self._done = True  # nothing more is asked on this connection
        self._watch = Watch(self.service, self, reader, index)
        self.service.watches[self._watch] = None
        self._watch.begin()
        self.transport.resume_reading()  # only its end is of interest
        return None

    def _version(self) -> dict[str, Any]:
        """What is held here: a list of that version is no older than the call, but for `age_ms`
        more."""
        service, state = self.service, self.service.state
        if not service.serves(Reader(kind="follow")):
            raise Refused(503, "nothing to tell here", leader=service.leader_at)
        return {
            "index": state.index,
            "epoch": state.epoch,
            "lineage": state.lineage,
            "age_ms": math.ceil(service.age() * 1000),
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
            self._watch.press(True)
        else:
            super().pause_writing()

    def resume_writing(self) -> None:
        if self._watch:
            self._watch.press(False)
        else:
            super().resume_writing()


def _number(given: dict[str, str], name: str) -> int | None:
    value = given.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= FROM_DIGITS):
        raise Refused(400, f"{name}: no version")
    return int(value)


class WriteCaller(DirectoryCaller):
    """For servers and operators; `PUT /servers/NAME` and so on."""

    async def call(self, message: Message) -> dict[str, Any] | None:
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
                server = server_from(unquote(name), _body(message), service.terms)
                return await self._write(message, "register", server.name, server=server)
            case "POST", ["servers", name, "renew"]:
                return self._version(service.renew(unquote(name)))
            case "POST", ["servers", name, "drain"]:
                return await self._write(message, "drain", unquote(name))
            case "DELETE", ["servers", name]:
                return await self._write(message, "remove", unquote(name))
            case "POST", ["promote"]:
                if service.promote is None:
                    raise Refused(409, "this is no follower", epoch=service.state.epoch)
                await service.promote()
                return self._version(service.state.index)
            case "POST", ["depose"]:
                body = _body(message)
                epoch, leader = body.get("epoch"), body.get("leader")
                if not (
                    isinstance(epoch, int) and isinstance(leader, str) and len(leader) <= MAX_ID
                ):
                    raise Refused(400, "epoch and leader are wanted")
                await service.depose(str(body.get("lineage")), epoch, leader)
                return {"deposed_by": epoch}
            case _, ["status" | "servers" | "promote" | "depose"] | ["servers", _]:
                raise Refused(405, "not with this method")
            case _, ["servers", _, "renew" | "drain"]:
                raise Refused(405, "not with this method")
        raise Refused(404, "no such call")

    def _version(self, version: int) -> dict[str, Any]:
        return {
            "version": version,
            "index": self.service.state.index,
            "epoch": self.service.state.epoch,
        }

    async def _write(self, message: Message, kind: str, name: str, **more: Any) -> dict[str, Any]:
        id, match = (
            message.headers.get(n, b"").decode("latin-1") for n in (b"request-id", b"if-match")
        )
        if len(id) > MAX_ID:
            raise Refused(400, "request-id: too long")
        expected = _number({"if-match": match.strip('"')}, "if-match") if match else None
        version = await self.service.write(Call(kind, name, id=id, expected=expected, **more))
        self.service.counts.writes += 1
        return self._version(version)


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    if len(found := dict(pairs)) < len(pairs):
        raise ValueError("a key given twice")
    return found


def _body(message: Message) -> dict[str, Any]:
    try:
        body = json.loads(message.body, object_pairs_hook=_once)
    except (ValueError, RecursionError):
        raise Refused(400, "the body is no sound JSON") from None
    if not isinstance(body, dict):
        raise Refused(400, "the body is no JSON object")
    return body
