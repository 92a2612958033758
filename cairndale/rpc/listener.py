"""A listening socket of which many connections are taken in one turn of the event loop.

The loop's own server takes one a turn. A process that many call has long turns, so after a start of
all its queue would be full of connections whose callers have given up before they are taken."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from cairndale.events import Event, log_event
from cairndale.settings import Address

# connections that wait to be taken: an opening packet that is dropped is sent again after 1 s
BACKLOG = 4096
EACH_TURN = 32  # connections taken, before others have theirs
PAUSE = 0.2  # s in which none is taken, after one could not be: no descriptor is free


class Listener:
    def __init__(self, at: Address, made: Callable[[], asyncio.Protocol]) -> None:
        """Raises OSError where the door is not free."""
        self._loop, self._made = asyncio.get_running_loop(), made
        self._begun: set[asyncio.Task[None]] = set()
        self._again: asyncio.TimerHandle | None = None
        family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
        self._socket = socket.create_server(at, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._listen()

    def _listen(self) -> None:
        self._again = None
        self._loop.add_reader(self._socket.fileno(), self._take)

    def close(self) -> None:
        if self._again:
            self._again.cancel()
        else:
            self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        for task in self._begun:
            task.cancel()

    def _take(self) -> None:
        for _ in range(EACH_TURN):
            try:
                taken, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                log_event(Event.FAILED, "taking a connection: %s", error)
                self._loop.remove_reader(self._socket.fileno())
                self._again = self._loop.call_later(PAUSE, self._listen)
                return
            taken.setblocking(False)
            task = self._loop.create_task(self._begin(taken))
            self._begun.add(task)
            task.add_done_callback(self._begun.discard)

    async def _begin(self, taken: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._made, taken)
        except OSError:  # it has ended already
            taken.close()
        except asyncio.CancelledError:
            with contextlib.suppress(OSError):
                taken.close()
            raise
