"""Streamed request bodies, and the memory budget that all streamed bodies share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MEMORY_FRACTION = 0.15  # of the memory limit, for the buffers of streamed bodies
SOCKET_BUFFER_BYTES = 64 * 1024  # requested size of a socket buffer; the kernel doubles it
# Limits of what one body may buffer before its sender is paused.
MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 8 * 1024, 128 * 1024


class BodyMemory:
    """The memory budget of all streamed bodies, divided equally among those in transit."""

    def __init__(self, limit_mb: float) -> None:
        self._budget, self.active_bodies = int(limit_mb * 1e6 * MEMORY_FRACTION), 0

    def buffer_limit(self) -> int:
        """Return the bytes that one body may buffer at present."""
        return min(
            MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, self._budget // max(1, self.active_bodies))
        )


class BodyWriter(Protocol):
    """The attempt that a request body is written to."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body, framed for HTTP."""
        ...

    def body_written(self) -> None:
        """Note that the body is complete."""
        ...


class Upload:
    """The streamed body of a request.

    Data that is received before an attempt takes it is buffered up to the buffer limit; then
    `pause_client` is called. Once a part has been written to an attempt (`consumed`), no other
    attempt can send the body.
    """

    def __init__(
        self, length: int | None, memory: BodyMemory, pause_client: Callable[[bool], None]
    ) -> None:
        self.length, self.complete, self.consumed = length, False, False
        self.on_complete: Callable[[], None] = lambda: None  # called when the body is complete
        self._memory, self._pause_client = memory, pause_client
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._writer: BodyWriter | None = None
        self._discarded = False

    def buffer_limit(self) -> int:
        """Return the bytes that this body may buffer at present."""
        return self._memory.buffer_limit()

    def feed(self, data: bytes) -> None:
        """Take a received part of the body."""
        if self._discarded:
            return
        if self._writer:
            self._write(self._writer, data)
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= self._memory.buffer_limit():
            self._pause_client(True)

    def finish(self) -> None:
        """Note that the last byte has been received."""
        self.complete = True
        if self._writer:
            self._write_end(self._writer)
        if not self._discarded:
            self.on_complete()

    def attach(self, writer: BodyWriter) -> None:
        """Write the body to this attempt: what is buffered now, the rest as it is received."""
        parts, self._buffered, self._buffered_bytes, self._writer = self._buffered, [], 0, writer
        for part in parts:
            self._write(writer, part)
        if self.complete:
            self._write_end(writer)
        self._pause_client(False)

    def pause(self, paused: bool) -> None:
        """Pause or resume the client, as the write buffer of the attempt's connection is full."""
        if not self.complete:
            self._pause_client(paused)

    def detach(self) -> None:
        """Write no more to the attempt, which has ended."""
        self._writer = None

    def discard(self) -> None:
        """Drop the rest of the body, as the request has been answered.

        It is still read, so that the client receives the response.
        """
        self._discarded, self._writer = True, None
        self._buffered.clear()
        if not self.complete:
            self._pause_client(False)

    def _write(self, writer: BodyWriter, data: bytes) -> None:
        self.consumed = True
        writer.write_body(data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data))

    def _write_end(self, writer: BodyWriter) -> None:
        if self.length is None:
            writer.write_body(b"0\r\n\r\n")
        writer.body_written()
