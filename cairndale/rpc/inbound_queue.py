"""Calls of other processes: a bounded queue, of which some are begun in each turn of the loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection

# Calls that are queued or worked on at once. The leader holds a watch request of each ingress, and
# after all have been restarted one more of each previous incarnation.
MAX_INBOUND_CALLS = 16_384
# Calls begun in one turn of the event loop, so that what is due in each turn, such as the leader's
# own heartbeats, is not delayed.
STARTED_PER_TURN = 32


class InboundQueue:
    """Starts a task for each call, in the order that they came.

    Args:
        respond: answers one call on the connection that it came on; it handles its own errors.
    """

    def __init__(
        self, respond: Callable[[FramedConnection, pb.Envelope], Coroutine[Any, Any, None]]
    ) -> None:
        self._respond = respond
        self._loop = asyncio.get_running_loop()
        self._queued: deque[tuple[FramedConnection, pb.Envelope]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_turn: asyncio.Handle | None = None

    def put(self, connection: FramedConnection, envelope: pb.Envelope) -> bool:
        """Queue a call; False if `MAX_INBOUND_CALLS` is reached."""
        if len(self._tasks) + len(self._queued) >= MAX_INBOUND_CALLS:
            return False
        self._queued.append((connection, envelope))
        if self._next_turn is None:
            self._next_turn = self._loop.call_soon(self._start_batch)
        return True

    def _start_batch(self) -> None:
        self._next_turn = None
        for _ in range(min(STARTED_PER_TURN, len(self._queued))):
            task = self._loop.create_task(self._respond(*self._queued.popleft()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._queued:
            self._next_turn = self._loop.call_soon(self._start_batch)

    def close(self) -> None:
        """Cancel the calls that are worked on and begin no more."""
        for task in self._tasks:
            task.cancel()
        if self._next_turn:
            self._next_turn.cancel()
