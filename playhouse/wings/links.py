"""Connections between the system's own processes: frames, calls with answers, passing on for who is cut off.

A call that fails says whether the other side may have acted on it (`SystemFailure.may_have_run`). Every
wait is limited, every queue bounded; a connection on which nothing is acknowledged is given up, as behind a
cut it would hang.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from playhouse.errors import Code, SystemFailure
from playhouse.settings import Door, shown
from playhouse.wings import cues_pb2 as pb

MOST = 32 * 1024 * 1024  # bytes of a frame
QUEUED = 8 * 1024 * 1024  # bytes that wait to be written to one door
UNACKED_MS = 1500  # ms without an acknowledgement after which a connection is given up
DIAL = 0.3  # s for a connection to come up: what goes to a machine that is dark is not sent again for seconds
PAUSE = (0.05, 0.4)  # s between dials of a door that fail: the first, the longest
CALLERS = 1024  # calls of others that are worked on at once

Handler = Callable[[pb.Envelope], Awaitable[pb.Envelope]]
Hearer = Callable[[pb.Envelope], None]


def keep_short(sock: socket.socket, unacked_ms: int = UNACKED_MS) -> None:
    """A peer that is cut off or without power is noticed."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Frames(asyncio.Protocol):
    """One connection, either way round."""

    def __init__(self, wings: Wings, door: str = "") -> None:
        self._wings, self.door = wings, door  # whose door it leads to, if we made it
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.heard_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        if sock := transport.get_extra_info("socket"):
            keep_short(sock)
        self._wings.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._wings.closed(self)

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._wings.now()
        self._buffer += data
        at = 0
        while len(self._buffer) - at >= 4:
            (size,) = struct.unpack_from(">I", self._buffer, at)
            if size > MOST:
                self.drop()
                return
            if len(self._buffer) - at - 4 < size:
                break
            frame = bytes(self._buffer[at + 4 : at + 4 + size])
            at += 4 + size
            try:
                envelope = pb.Envelope.FromString(frame)
            except DecodeError:
                self._wings.counts["foreign"] = self._wings.counts.get("foreign", 0) + 1
                self.drop()
                return
            self._wings.came(self, envelope)
        del self._buffer[:at]

    def write(self, envelope: pb.Envelope) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > QUEUED:
            return False
        data = envelope.SerializeToString()
        self.transport.write(struct.pack(">I", len(data)) + data)
        return True

    def drop(self) -> None:
        if self.transport:
            self.transport.abort()


@dataclass(slots=True)
class _Waiting:
    future: asyncio.Future[pb.Envelope]
    frames: Frames | None  # the connection it went out on; None: not yet
    sent_at: float


class Wings:
    def __init__(self, own: Door, hear: Hearer, handle: Handler) -> None:
        """`hear` takes what wants no answer, `handle` answers calls."""
        self.own, self._hear, self._handle = shown(own), hear, handle
        self._at = own
        self._loop = asyncio.get_running_loop()
        self._made: dict[str, Frames] = {}  # by the door they lead to
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._pause: dict[str, tuple[float, float]] = {}  # by door: not before, and the pause after that
        self._all: set[Frames] = set()
        self._queued: dict[str, list[pb.Envelope]] = {}  # until a dial is up
        self._calls: dict[int, _Waiting] = {}
        self._next = 0
        self.lost: Callable[[str], None] = lambda door: None  # told when a connection to a door has ended
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.counts: dict[str, int] = {}
        self.frames = Frames  # what connections are made as

    def now(self) -> float:
        return self._loop.time()

    async def listen(self) -> None:
        self._server = await self._loop.create_server(lambda: self.frames(self), *self._at)

    def stop(self) -> None:
        if self._server:
            self._server.close()
        for frames in list(self._all):
            frames.drop()
        for task in [*self._dials.values(), *self._tasks]:
            task.cancel()

    # Connections.

    def opened(self, frames: Frames) -> None:
        self._all.add(frames)

    def closed(self, frames: Frames) -> None:
        self._all.discard(frames)
        if frames.door and self._made.get(frames.door) is frames:
            del self._made[frames.door]
            self.lost(frames.door)
        for waiting in list(self._calls.values()):
            if waiting.frames is frames and not waiting.future.done():
                waiting.future.set_exception(SystemFailure(Code.SILENT, "the connection broke"))

    async def _dial(self, door: str) -> None:
        host, _, port = door.rpartition(":")
        try:
            async with asyncio.timeout(DIAL):
                _, made = await self._loop.create_connection(lambda: self.frames(self, door), host, int(port))
            if made.transport is None:  # it came up and ended before this went on
                raise ConnectionResetError
        except (OSError, TimeoutError):
            pause = self._pause.get(door, (0.0, PAUSE[0]))[1]
            self._pause[door] = (self.now() + pause * (0.5 + random.random()), min(PAUSE[1], pause * 2))
            for envelope in self._queued.pop(door, ()):
                waiting = self._calls.get(envelope.call)
                if waiting and not envelope.answer and not waiting.future.done():
                    waiting.future.set_exception(SystemFailure(Code.UNREACHABLE, door))
            return
        finally:
            self._dials.pop(door, None)
        self._pause.pop(door, None)
        self._made[door] = made
        for envelope in self._queued.pop(door, ()):
            self._write(made, envelope)

    def _write(self, frames: Frames, envelope: pb.Envelope) -> None:
        waiting = self._calls.get(envelope.call) if envelope.call and not envelope.answer else None
        if frames.write(envelope):
            if waiting:
                waiting.frames = frames
        elif waiting and not waiting.future.done():
            waiting.future.set_exception(SystemFailure(Code.FULL, frames.door))

    def _send(self, door: str, envelope: pb.Envelope) -> None:
        if made := self._made.get(door):
            self._write(made, envelope)
            return
        if self._pause.get(door, (0.0, 0.0))[0] > self.now():
            waiting = self._calls.get(envelope.call)
            if waiting and not waiting.future.done():
                waiting.future.set_exception(SystemFailure(Code.UNREACHABLE, door))
            return
        queue = self._queued.setdefault(door, [])
        if len(queue) < 256:
            queue.append(envelope)
        if door not in self._dials:
            self._dials[door] = self._loop.create_task(self._dial(door))

    # What others send.

    def came(self, frames: Frames, envelope: pb.Envelope) -> None:
        if envelope.answer:
            waiting = self._calls.get(envelope.call)
            if waiting and not waiting.future.done():
                waiting.future.set_result(envelope)
        elif envelope.call:
            if len(self._tasks) >= CALLERS:
                frames.write(pb.Envelope(call=envelope.call, answer=True, fault=Code.FULL))
                return
            task = self._loop.create_task(self._answer(frames, envelope))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._hear(envelope)

    async def _answer(self, frames: Frames, envelope: pb.Envelope) -> None:
        call = envelope.call
        try:
            if envelope.pass_to and envelope.pass_to != self.own:
                door, envelope.pass_to = envelope.pass_to, ""
                answer = await self.call(door, envelope, 2.0)
            else:
                answer = await self._handle(envelope)
        except SystemFailure as failure:
            answer = pb.Envelope(fault=failure.code)
        answer.call, answer.answer = call, True
        frames.write(answer)

    # What we send.

    def tell(self, door: str, envelope: pb.Envelope) -> None:
        """Wants no answer, and may be lost."""
        self._send(door, envelope)

    async def call(self, door: str, envelope: pb.Envelope, within: float) -> pb.Envelope:
        """The answer, within so many seconds. Raises SystemFailure."""
        self._next += 1
        number = envelope.call = self._next
        future: asyncio.Future[pb.Envelope] = self._loop.create_future()
        self._calls[number] = waiting = _Waiting(future, None, self.now())
        try:
            self._send(door, envelope)
            async with asyncio.timeout(within):
                answer = await future
        except TimeoutError:
            if (frames := waiting.frames) is None:
                raise SystemFailure(Code.UNREACHABLE, door) from None
            if frames.heard_at < waiting.sent_at:
                frames.drop()
            raise SystemFailure(Code.SILENT, door) from None
        finally:
            del self._calls[number]
        if answer.fault and answer.fault != Code.NOT_LEADER:
            raise SystemFailure(Code(answer.fault), door)
        return answer
