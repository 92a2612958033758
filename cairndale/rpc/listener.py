"""A listening socket that accepts many connections in one turn of the event loop.

The event loop's own server accepts one connection per turn. In a process with many callers the
turns are long: when all callers start at once, the backlog would fill up with connections whose
callers time out before they are accepted.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from cairndale.events import Event, log_event
from cairndale.settings import Address

# Large, because a SYN that is dropped when the backlog is full is retransmitted only after 1 s.
BACKLOG = 4096
ACCEPTED_PER_TURN = 32
ACCEPT_PAUSE_S = 0.2  # after a connection could not be accepted for lack of file descriptors


class Listener:
    """Accepts connections from its construction until `close`.

    Args:
        address: to listen on.
        protocol_factory: creates the protocol object of each connection.

    Raises:
        OSError: the address is in use.
    """

    def __init__(self, address: Address, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        self._loop, self._protocol_factory = asyncio.get_running_loop(), protocol_factory
        self._starting: set[asyncio.Task[None]] = set()
        self._resume: asyncio.TimerHandle | None = None  # while accepting is paused
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._listen()

    def _listen(self) -> None:
        self._resume = None
        self._loop.add_reader(self._socket.fileno(), self._accept_batch)

    def close(self) -> None:
        """Stop accepting. Established connections stay open."""
        if self._resume:
            self._resume.cancel()
        else:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for task in self._starting:
            task.cancel()

    def _accept_batch(self) -> None:
        for _ in range(ACCEPTED_PER_TURN):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._pause(error)
                return
            accepted.setblocking(False)
            task = self._loop.create_task(self._start(accepted))
            self._starting.add(task)
            task.add_done_callback(self._starting.discard)

    def _pause(self, error: OSError) -> None:
        log_event(Event.FAILED, "accepting a connection: %s", error)
        self._loop.remove_reader(self._socket.fileno())
        self._resume = self._loop.call_later(ACCEPT_PAUSE_S, self._listen)

    async def _start(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, accepted)
        except OSError:  # already closed by the other side
            accepted.close()
        except asyncio.CancelledError:
            with contextlib.suppress(OSError):
                accepted.close()
            raise
