"""Bodies that pass through in parts: a request's on its way to a backend, and the memory all
share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

PART = 0.15  # of the memory limit, for what bodies hold in buffers
KERNEL = 64 * 1024  # bytes that wait in a socket, asked for; the kernel takes twice that
LEAST, MOST = 8 * 1024, 128 * 1024  # bytes that one body may hold before its sender is paused


class Memory:
    """One budget: the more bodies are under way, the less each may hold."""

    def __init__(self, limit_mb: float) -> None:
        self._budget, self.bodies = int(limit_mb * 1e6 * PART), 0

    def share(self) -> int:
        return min(MOST, max(LEAST, self._budget // max(1, self.bodies)))


class Taker(Protocol):
    """An attempt that the body is written to."""

    def more(self, data: bytes) -> None: ...
    def all_written(self) -> None: ...


class Upload:
    """A request's body while it comes in. What no attempt has had yet is kept, and no more than a
    share: the client is paused by `hold`. Once an attempt has had some of it, no other can have it
    whole."""

    def __init__(self, length: int | None, memory: Memory, hold: Callable[[bool], None]) -> None:
        self.length, self.whole, self.spent = length, False, False
        self.came: Callable[[], None] = lambda: None  # called once it has come whole
        self._memory, self._hold = memory, hold
        self._parts: list[bytes] = []
        self._kept = 0
        self._taker: Taker | None = None
        self._unwanted = False

    def share(self) -> int:
        return self._memory.share()

    def feed(self, data: bytes) -> None:
        if self._unwanted:
            return
        if self._taker:
            self._write(self._taker, data)
            return
        self._parts.append(data)
        self._kept += len(data)
        if self._kept >= self._memory.share():
            self._hold(True)

    def finish(self) -> None:
        self.whole = True
        if self._taker:
            self._end(self._taker)
        if not self._unwanted:
            self.came()

    def attach(self, taker: Taker) -> None:
        parts, self._parts, self._kept, self._taker = self._parts, [], 0, taker
        for part in parts:
            self._write(taker, part)
        if self.whole:
            self._end(taker)
        self._hold(False)

    def pause(self, paused: bool) -> None:
        """The attempt's connection takes no more for now, or does again."""
        if not self.whole:
            self._hold(paused)

    def detach(self) -> None:
        self._taker = None

    def discard(self) -> None:
        """The request is over: what still comes is read and dropped, so that the client hears its
        answer."""
        self._unwanted, self._taker = True, None
        self._parts.clear()
        if not self.whole:
            self._hold(False)

    def _write(self, taker: Taker, data: bytes) -> None:
        self.spent = True
        taker.more(data if self.length is not None else b"%x\r\n%b\r\n" % (len(data), data))

    def _end(self, taker: Taker) -> None:
        if self.length is None:
            taker.more(b"0\r\n\r\n")
        taker.all_written()
