"""A listening socket of which many connections are accepted in one turn of the event loop.

The event loop's own server accepts one a turn. A process that many call has long turns, so after a
start of all its queue would be full of connections whose callers have given up before they are
accepted.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from cairndale.events import Event, log_event
from cairndale.settings import Address

# Connections that wait to be accepted: an opening packet that is dropped is sent again after 1 s.
BACKLOG = 4096
ACCEPTED_PER_TURN = 32
ACCEPT_PAUSE_S = 0.2  # after a connection could not be accepted, as no descriptor is free


class Listener:
    """Accepts connections from its construction until `close`.

    Args:
        address: to listen on.
        protocol_factory: makes the protocol object of each connection.

    Raises:
        OSError: the address is not free.
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
        """Accept no more. Connections that are up stay."""
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
        log_event(Event.FAILED, "taking a connection: %s", error)
        self._loop.remove_reader(self._socket.fileno())
        self._resume = self._loop.call_later(ACCEPT_PAUSE_S, self._listen)

    async def _start(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, accepted)
        except OSError:  # it has ended already
            accepted.close()
        except asyncio.CancelledError:
            with contextlib.suppress(OSError):
                accepted.close()
            raise
