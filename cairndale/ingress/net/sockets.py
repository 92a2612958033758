"""Counts the ingress's descriptors, and makes room before they run out."""

from __future__ import annotations

import asyncio
import fcntl
import termios
from collections.abc import Callable

BASE = 24  # descriptors that are not connections: standard streams, the loop's own, the listener
CAP = 0.8  # of the limit: connections are opened up to here ...
CLIENT_SHARE = 0.4  # of these are the clients' for sure, and ...
SERVER_SHARE = 0.3  # ... this part is for connections to backends, whatever clients hold
# ... and clients let in up to here, to be told no; then they wait in the listener's line
TOP = 0.93


class Sockets:
    def __init__(self, limit: int, server_share: float = SERVER_SHARE) -> None:
        self.server_share = server_share
        self.tune(limit)
        self.open = 0
        self.servers = 0  # of these, to backends
        self.elsewhere = 0  # held by the process that this one takes over from
        self.freed: Callable[[], None] = lambda: None  # called when one has been closed
        self._evict: list[Callable[[], bool]] = []

    def tune(self, limit: int) -> None:
        self.cap, self.top = int(limit * CAP) - BASE, int(limit * TOP) - BASE
        self.for_servers = int(self.cap * self.server_share)  # theirs for sure, and ...
        # ... all they may have
        self.most_servers = int(self.cap * max(self.server_share, 1 - CLIENT_SHARE))

    def on_crowded(self, evict: Callable[[], bool], first: bool = False) -> None:
        """`evict` closes one idle connection, or returns False where there is none. Clients' go
        first: one to a backend costs it work to make anew, and the next request time."""
        self._evict.insert(0 if first else len(self._evict), evict)

    def closed(self) -> None:
        self.open -= 1
        self.freed()

    def room(self) -> bool:
        """True if one more may be opened, if need be for an idle one that is closed."""
        return self.open + self.elsewhere < self.cap or any(evict() for evict in self._evict)

    def room_for_server(self) -> bool:
        """The same for a connection to a backend: it may have its part whatever clients hold."""
        if self.servers >= self.most_servers:
            return False
        return self.room() or (self.servers < self.for_servers and not self.at_top())

    def opened_to_server(self) -> None:
        self.open += 1
        self.servers += 1

    def closed_to_server(self) -> None:
        self.servers -= 1
        self.closed()

    def at_top(self) -> bool:
        """True if not even refusals can be afforded now."""
        return self.open + self.elsewhere >= self.top


def unread(transport: asyncio.Transport) -> int:
    """Bytes that have come and that the loop has not read yet."""
    descriptor = transport.get_extra_info("socket").fileno()
    return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), "little")
