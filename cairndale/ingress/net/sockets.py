"""Accounts for the ingress's file descriptors, and evicts idle connections before they run out."""

from __future__ import annotations

import asyncio
import fcntl
import termios
from collections.abc import Callable

# Descriptors that are not connections: standard streams, the loop's own, the listener.
RESERVED_DESCRIPTORS = 24
CAPACITY_FRACTION = 0.8  # of the descriptor limit, up to which connections are opened
DOWNSTREAM_SHARE = 0.4  # of this capacity, which connections to backends may not use
UPSTREAM_SHARE = 0.3  # of this capacity, reserved for connections to backends
# Up to this fraction of the descriptor limit, clients are accepted in order to be rejected; beyond
# it, they wait in the listen backlog.
ACCEPT_FRACTION = 0.93


class Sockets:
    """Counts open connections against the limits of the process."""

    def __init__(self, limit: int, server_share: float = UPSTREAM_SHARE) -> None:
        self.upstream_share = server_share
        self.update_limit(limit)
        self.open_count = 0
        self.upstream_count = 0  # connections to backends, included in open_count
        self.predecessor_count = 0  # open in the process that this one replaces
        self.on_closed: Callable[[], None] = lambda: None  # a descriptor is free again
        self._evictors: list[Callable[[], bool]] = []

    def update_limit(self, limit: int) -> None:
        """Apply a new limit on descriptors."""
        self.capacity, self.accept_limit = (
            int(limit * CAPACITY_FRACTION) - RESERVED_DESCRIPTORS,
            int(limit * ACCEPT_FRACTION) - RESERVED_DESCRIPTORS,
        )
        self.reserved_for_upstreams = int(self.capacity * self.upstream_share)
        self.max_upstreams = int(self.capacity * max(self.upstream_share, 1 - DOWNSTREAM_SHARE))

    def add_evictor(self, evict: Callable[[], bool], first: bool = False) -> None:
        """Register a function that closes one idle connection, or returns False if there is none.

        Client connections are evicted first: a new connection to a backend costs the backend work
        and the next request time.
        """
        self._evictors.insert(0 if first else len(self._evictors), evict)

    def connection_closed(self) -> None:
        """Account for a closed client connection."""
        self.open_count -= 1
        self.on_closed()

    def has_room(self) -> bool:
        """Return whether a connection may be opened; evicts an idle one if necessary."""
        return self.open_count + self.predecessor_count < self.capacity or any(
            evict() for evict in self._evictors
        )

    def has_room_for_upstream(self) -> bool:
        """Return whether a connection to a backend may be opened; a share is reserved for these."""
        if self.upstream_count >= self.max_upstreams:
            return False
        return self.has_room() or (
            self.upstream_count < self.reserved_for_upstreams and not self.is_exhausted()
        )

    def upstream_opened(self) -> None:
        """Account for a new connection to a backend."""
        self.open_count += 1
        self.upstream_count += 1

    def upstream_closed(self) -> None:
        """Account for a closed connection to a backend."""
        self.upstream_count -= 1
        self.connection_closed()

    def is_exhausted(self) -> bool:
        """Return whether no client can be accepted any more, not even to be rejected."""
        return self.open_count + self.predecessor_count >= self.accept_limit


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the number of bytes received by the kernel that the loop has not read yet."""
    descriptor = transport.get_extra_info("socket").fileno()
    return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), "little")
