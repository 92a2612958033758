"""One connection between two processes of the system: lengths, frames, and the hello that names
both ends.

The first frame each way is a hello: format, system, life and door of who sends it, and whom it is
meant for. It goes out together with the first call, so that it costs no round trip. What is not
understood, of another system, or meant for another, ends the connection before anything is acted
upon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Protocol

from google.protobuf.message import DecodeError

from cairndale.rpc import protocol_pb2 as pb

FORMAT = 1  # of frames
MOST = 32 * 1024 * 1024  # bytes of a frame
HELLO_MOST = 1024  # bytes of the first one
HELLO_WITHIN = 5.0  # s for it, where another has dialled
QUEUED = 8 * 1024 * 1024  # bytes that wait to be written to one door
UNACKED_MS = 1500  # ms without an acknowledgement after which a connection is given up


def keep_short(sock: socket.socket, unacked_ms: int = UNACKED_MS) -> None:
    """A peer that is cut off or without power is noticed."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Process(Protocol):
    """Whose connections they are."""

    own: str
    life: str
    system: str

    def now(self) -> float: ...
    def opened(self, frames: FramedConnection) -> None: ...
    def closed(self, frames: FramedConnection) -> None: ...
    def greeted(self, frames: FramedConnection) -> bool:
        """The other end has said who it is. False: not one to talk to."""

    def came(self, frames: FramedConnection, envelope: pb.Envelope) -> None: ...
    def garbled(self, frames: FramedConnection, why: str) -> None: ...


class FramedConnection(asyncio.Protocol):
    """One connection, either way round."""

    def __init__(self, process: Process, address: str = "") -> None:
        self._process, self.address = process, address  # whose door it leads to, if we made it
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.heard_at = 0.0
        self.peer: pb.Hello | None = None  # who is at the other end, as it said itself
        self.was_greeted = False  # its first hello was heard
        # it named a system while we knew of none: what it says unasked is not heard
        self.is_strange = False
        self._has_greeted = False
        self._expiry: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        if sock := transport.get_extra_info("socket"):
            keep_short(sock)
        if not self.address:
            self._expiry = asyncio.get_running_loop().call_later(HELLO_WITHIN, self._expired)
        self._process.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self._expiry:
            self._expiry.cancel()
        self._process.closed(self)

    def _expired(self) -> None:
        if self.peer is None:
            self._process.garbled(self, "no hello")

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._process.now()
        self._buffer += data
        at, held = 0, len(self._buffer)
        while held - at >= 4:
            (size,) = struct.unpack_from(">I", self._buffer, at)
            if size > (HELLO_MOST if self.peer is None else MOST):
                self._process.garbled(self, f"a frame of {size} bytes")
                return
            if held - at - 4 < size:
                break
            frame = bytes(self._buffer[at + 4 : at + 4 + size])
            at += 4 + size
            try:
                envelope = pb.Envelope.FromString(frame)
            except DecodeError:
                self._process.garbled(self, "no message")
                return
            if self.peer is None or envelope.HasField("hello"):
                if not self._hear_hello(envelope):
                    return
            else:
                self._process.came(self, envelope)
            if self.transport is None or self.transport.is_closing():
                return
        del self._buffer[:at]

    def _hear_hello(self, envelope: pb.Envelope) -> bool:
        """False if the connection has ended over it. A later one may only bring the system's
        name."""
        if not envelope.HasField("hello"):
            self._process.garbled(self, "no hello")
            return False
        before, self.peer = self.peer, envelope.hello
        if before and (before.incarnation, before.address) != (
            self.peer.incarnation,
            self.peer.address,
        ):
            self._process.garbled(self, "another life on the same connection")
            return False
        if not self._process.greeted(self):
            return False
        if not self._has_greeted:
            self.greet()
        return True

    def _hello(self) -> bytes:
        process = self._process
        made = pb.Hello(
            format=FORMAT,
            system=process.system,
            incarnation=process.life,
            address=process.own,
            recipient=self.address,
        )
        data = pb.Envelope(hello=made).SerializeToString()
        self._has_greeted = True
        return struct.pack(">I", len(data)) + data

    def greet(self) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(self._hello())

    def regreet(self) -> None:
        """The system has its name now."""
        if self._has_greeted:
            self.greet()

    def write(self, envelope: pb.Envelope) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > QUEUED:
            return False
        data = envelope.SerializeToString()
        data = struct.pack(">I", len(data)) + data
        self.transport.write(data if self._has_greeted else self._hello() + data)
        return True

    def drop(self) -> None:
        if self.transport:
            self.transport.abort()
