"""Counts the ingress's descriptors, and makes room before they run out."""

from __future__ import annotations

import asyncio
import fcntl
import termios
from collections.abc import Callable

RESERVED_DESCRIPTORS = (
    24  # descriptors that are not connections: standard streams, the loop's own, the listener
)
CAPACITY_FRACTION = 0.8  # of the limit: connections are opened up to here ...
DOWNSTREAM_SHARE = 0.4  # of these are the clients' for sure, and ...
UPSTREAM_SHARE = 0.3  # ... this part is for connections to backends, whatever clients hold
# ... and clients let in up to here, to be told no; then they wait in the listener's line
ACCEPT_FRACTION = 0.93


class Sockets:
    def __init__(self, limit: int, server_share: float = UPSTREAM_SHARE) -> None:
        self.upstream_share = server_share
        self.update_limit(limit)
        self.open_count = 0
        self.upstream_count = 0  # of these, to backends
        self.predecessor_count = 0  # held by the process that this one takes over from
        self.on_closed: Callable[[], None] = lambda: None  # called when one has been closed
        self._evictors: list[Callable[[], bool]] = []

    def update_limit(self, limit: int) -> None:
        self.capacity, self.accept_limit = (
            int(limit * CAPACITY_FRACTION) - RESERVED_DESCRIPTORS,
            int(limit * ACCEPT_FRACTION) - RESERVED_DESCRIPTORS,
        )
        self.reserved_for_upstreams = int(
            self.capacity * self.upstream_share
        )  # theirs for sure, and ...
        # ... all they may have
        self.max_upstreams = int(self.capacity * max(self.upstream_share, 1 - DOWNSTREAM_SHARE))

    def add_evictor(self, evict: Callable[[], bool], first: bool = False) -> None:
        """`evict` closes one idle connection, or returns False where there is none. Clients' go
        first: one to a backend costs it work to make anew, and the next request time."""
        self._evictors.insert(0 if first else len(self._evictors), evict)

    def connection_closed(self) -> None:
        self.open_count -= 1
        self.on_closed()

    def has_room(self) -> bool:
        """True if one more may be opened, if need be for an idle one that is closed."""
        return self.open_count + self.predecessor_count < self.capacity or any(
            evict() for evict in self._evictors
        )

    def has_room_for_upstream(self) -> bool:
        """The same for a connection to a backend: it may have its part whatever clients hold."""
        if self.upstream_count >= self.max_upstreams:
            return False
        return self.has_room() or (
            self.upstream_count < self.reserved_for_upstreams and not self.is_exhausted()
        )

    def upstream_opened(self) -> None:
        self.open_count += 1
        self.upstream_count += 1

    def upstream_closed(self) -> None:
        self.upstream_count -= 1
        self.connection_closed()

    def is_exhausted(self) -> bool:
        """True if not even refusals can be afforded now."""
        return self.open_count + self.predecessor_count >= self.accept_limit


def unread_bytes(transport: asyncio.Transport) -> int:
    """Bytes that have come and that the loop has not read yet."""
    descriptor = transport.get_extra_info("socket").fileno()
    return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), "little")
