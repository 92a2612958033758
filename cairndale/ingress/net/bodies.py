"""Bodies that pass through in parts: a request's on its way to a backend, and the memory all
share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MEMORY_FRACTION = 0.15  # of the memory limit, for what bodies hold in buffers
SOCKET_BUFFER_BYTES = (
    64 * 1024
)  # bytes that wait in a socket, asked for; the kernel takes twice that
MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = (
    8 * 1024,
    128 * 1024,
)  # bytes that one body may hold before its sender is paused


class BodyMemory:
    """One budget: the more bodies are under way, the less each may hold."""

    def __init__(self, limit_mb: float) -> None:
        self._budget, self.active_bodies = int(limit_mb * 1e6 * MEMORY_FRACTION), 0

    def buffer_limit(self) -> int:
        return min(
            MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, self._budget // max(1, self.active_bodies))
        )


class BodyWriter(Protocol):
    """An attempt that the body is written to."""

    def write_body(self, data: bytes) -> None: ...
    def body_written(self) -> None: ...


class Upload:
    """A request's body while it comes in. What no attempt has had yet is kept, and no more than a
    share: the client is paused by `hold`. Once an attempt has had some of it, no other can have it
    whole."""

    def __init__(
        self, length: int | None, memory: BodyMemory, hold: Callable[[bool], None]
    ) -> None:
        self.length, self.complete, self.consumed = length, False, False
        self.on_complete: Callable[[], None] = lambda: None  # called once it has come whole
        self._memory, self._pause_client = memory, hold
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._writer: BodyWriter | None = None
        self._discarded = False

    def buffer_limit(self) -> int:
        return self._memory.buffer_limit()

    def feed(self, data: bytes) -> None:
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
        self.complete = True
        if self._writer:
            self._write_end(self._writer)
        if not self._discarded:
            self.on_complete()

    def attach(self, taker: BodyWriter) -> None:
        parts, self._buffered, self._buffered_bytes, self._writer = self._buffered, [], 0, taker
        for part in parts:
            self._write(taker, part)
        if self.complete:
            self._write_end(taker)
        self._pause_client(False)

    def pause(self, paused: bool) -> None:
        """The attempt's connection takes no more for now, or does again."""
        if not self.complete:
            self._pause_client(paused)

    def detach(self) -> None:
        self._writer = None

    def discard(self) -> None:
        """The request is over: what still comes is read and dropped, so that the client hears its
        answer."""
        self._discarded, self._writer = True, None
        self._buffered.clear()
        if not self.complete:
            self._pause_client(False)

    def _write(self, taker: BodyWriter, data: bytes) -> None:
        self.consumed = True
        taker.write_body(data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data))

    def _write_end(self, taker: BodyWriter) -> None:
        if self.length is None:
            taker.write_body(b"0\r\n\r\n")
        taker.body_written()
