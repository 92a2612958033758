"""One connection between two processes of the system: length-prefixed frames and the handshake.

A frame is four bytes of length (big-endian) and one `Envelope`. The first frame in each direction
is a `Hello`: frame format, system, incarnation and address of its sender, and the address of its
intended recipient. It is sent together with the first call, so that it costs no round trip. A frame
that cannot be parsed, or a hello that the owner rejects, closes the connection before anything of
it is processed.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Protocol, cast

from google.protobuf.message import DecodeError

from cairndale.rpc import protocol_pb2 as pb

FRAME_FORMAT = 1
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_HELLO_BYTES = 1024
HELLO_TIMEOUT_S = 5.0  # for the first frame of an accepted connection
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # in the write buffer of one connection
UNACKED_TIMEOUT_MS = 1500  # without a TCP acknowledgement, after which a connection is closed

_LENGTH = struct.Struct(">I")
# `struct tcp_info` of Linux up to `tcpi_last_data_recv`, in ms.
_LAST_DATA_RECEIVED = struct.Struct("=52xI")


class FrameError(Exception):
    """The other side violated the protocol; the connection must be closed."""


def detect_dead_peer(sock: socket.socket, unacked_ms: int = UNACKED_TIMEOUT_MS) -> None:
    """Make a TCP connection fail soon after its peer was partitioned or lost power.

    Options that the platform does not support are skipped.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def received_ago(sock: socket.socket | None) -> float:
    """Seconds since the kernel last received data on a TCP connection; 0 if it doesn't say.

    After a pause of this process, data that it reads only now may be old.
    """
    if sock is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
        (milliseconds,) = _LAST_DATA_RECEIVED.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return float(milliseconds) / 1000


class ConnectionOwner(Protocol):
    """The interface of the process that a connection belongs to."""

    own_address: str
    incarnation: str
    system: str

    def now(self) -> float:
        """Return seconds on a monotonic clock."""

    def connection_opened(self, connection: FramedConnection) -> None:
        """Called when the connection is established, before any hello was received."""

    def connection_closed(self, connection: FramedConnection) -> None:
        """Called when the connection was closed, for whatever reason."""

    def hello_received(self, connection: FramedConnection, hello: pb.Hello) -> bool:
        """Verify a hello; return False if it was rejected and the connection closed."""

    def envelope_received(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        """Process one envelope received after the handshake."""

    def protocol_error(self, connection: FramedConnection, reason: str) -> None:
        """Close the connection: the other side violated the protocol."""


class FramedConnection(asyncio.Protocol):
    """One connection, dialled or accepted.

    Args:
        owner: the process that is notified of all events.
        dialled_address: the address that was dialled; empty for an accepted connection.

    Attributes:
        transport: None before the connection is established and after it was closed.
        peer: the other side's newest hello; None before the first.
        last_received_at: when bytes were last received, in seconds on the owner's clock.
        handshake_done: whether the owner has accepted the first hello.
        is_untrusted: the other side named a system while this process knew of none, so its one-way
            messages are not processed.
    """

    def __init__(self, owner: ConnectionOwner, dialled_address: str = "") -> None:
        self._owner, self.dialled_address = owner, dialled_address
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self.last_received_at = 0.0
        self.peer: pb.Hello | None = None
        self.handshake_done = False
        self.is_untrusted = False
        self._hello_sent = False
        self._hello_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake timeout of an accepted connection."""
        self.transport = cast(asyncio.Transport, transport)
        if sock := transport.get_extra_info("socket"):
            detect_dead_peer(sock)
        if not self.dialled_address:
            loop = asyncio.get_running_loop()
            self._hello_timer = loop.call_later(HELLO_TIMEOUT_S, self._hello_timed_out)
        self._owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner, to which `exc` does not matter."""
        self.transport = None
        if self._hello_timer:
            self._hello_timer.cancel()
        self._owner.connection_closed(self)

    def _hello_timed_out(self) -> None:
        if self.peer is None:
            self._owner.protocol_error(self, f"no hello within {HELLO_TIMEOUT_S} s")

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; the first invalid one closes the connection."""
        self.last_received_at = self._owner.now()
        self._buffer += data
        offset = 0
        try:
            while (frame := self._frame_at(offset)) is not None:
                offset += _LENGTH.size + len(frame)
                if not self._frame_received(frame):
                    return
        except FrameError as error:
            self._owner.protocol_error(self, str(error))
            return
        del self._buffer[:offset]

    def _frame_at(self, offset: int) -> bytes | None:
        """Return the frame at `offset` of the buffer; None if it is not complete."""
        start = offset + _LENGTH.size
        if len(self._buffer) < start:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer, offset)
        if size > (MAX_HELLO_BYTES if self.peer is None else MAX_FRAME_BYTES):
            raise FrameError(f"frame of {size} bytes is too large")
        if len(self._buffer) < start + size:
            return None
        return bytes(self._buffer[start : start + size])

    def _frame_received(self, frame: bytes) -> bool:
        """Return False if the connection was closed and no more frames must be read from it."""
        try:
            envelope = pb.Envelope.FromString(frame)
        except DecodeError as error:
            raise FrameError("frame is not a valid envelope") from error
        if self.peer is None or envelope.HasField("hello"):
            if not self._accept_hello(envelope):
                return False
        else:
            self._owner.envelope_received(self, envelope)
        return self.transport is not None and not self.transport.is_closing()

    def _accept_hello(self, envelope: pb.Envelope) -> bool:
        """Return False if the owner rejected it. A later hello may only add the system's name."""
        if not envelope.HasField("hello"):
            raise FrameError("first frame is not a hello")
        previous, self.peer = self.peer, envelope.hello
        if previous and (previous.incarnation, previous.address) != (
            self.peer.incarnation,
            self.peer.address,
        ):
            raise FrameError("incarnation or address changed on the same connection")
        if not self._owner.hello_received(self, self.peer):
            return False
        if not self._hello_sent:
            self.send_hello()
        return True

    def _hello_frame(self) -> bytes:
        owner = self._owner
        hello = pb.Hello(
            format=FRAME_FORMAT,
            system=owner.system,
            incarnation=owner.incarnation,
            address=owner.own_address,
            recipient=self.dialled_address,
        )
        data = pb.Envelope(hello=hello).SerializeToString()
        self._hello_sent = True
        return _LENGTH.pack(len(data)) + data

    def send_hello(self) -> None:
        """Send this side's hello, if the connection is established."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(self._hello_frame())

    def resend_hello(self) -> None:
        """Send the hello again, now with the system's name, if one was sent before."""
        if self._hello_sent:
            self.send_hello()

    def write(self, envelope: pb.Envelope) -> bool:
        """Send one envelope, after the hello; return False if it was not accepted.

        It is not accepted if the connection is closed or its write buffer exceeds
        `MAX_UNSENT_BYTES`. True does not mean that the other side has received it.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        data = envelope.SerializeToString()
        data = _LENGTH.pack(len(data)) + data
        self.transport.write(data if self._hello_sent else self._hello_frame() + data)
        return True

    def abort(self) -> None:
        """Close the connection at once, discarding its write buffer."""
        if self.transport:
            self.transport.abort()
