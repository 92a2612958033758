"""A bounded queue of inbound calls, started in batches, one in each turn of the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection

# Calls that are queued or being processed. The leader keeps one watch request of each ingress open,
# and after a restart of all ingresses one more of each previous incarnation.
MAX_INBOUND_CALLS = 16_384
# Calls started in one turn of the event loop. The limit keeps periodic work, such as the leader's
# own heartbeats, on time.
STARTED_PER_TURN = 32


class InboundQueue:
    """Starts a task for each call, in the order of arrival.

    Args:
        respond: answers one call on the connection that it was received on; it handles its errors.
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
        """Queue a call; return False if `MAX_INBOUND_CALLS` is reached."""
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
        """Cancel the calls that are being processed and start no more."""
        for task in self._tasks:
            task.cancel()
        if self._next_turn:
            self._next_turn.cancel()
