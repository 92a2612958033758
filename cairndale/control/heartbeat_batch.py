"""Beats that say something new, as they come to a core machine that does not lead: the leader is
told of them together, and whoever sent one is answered once the leader has heard it with a majority
behind it.

The first is told of at once; what comes soon after that goes together, so that after a start of all
the leader is called so many times a second, and not once for each server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from cairndale.control.leadership import server_in, server_out
from cairndale.errors import CallError, QueueFullError
from cairndale.events import Event, log_event
from cairndale.registry.endpoints import REPORTED_STATES, Endpoint, EndpointRegistry
from cairndale.rpc import protocol_pb2 as pb

# s between two calls, for each core machine: the leader takes so many in all a second ...
APART_EACH = 0.01
APART_MOST = 0.25  # ... and no more than so many: a server waits a second for its answer
MOST = 512  # beats in one call


def apart(cores: int) -> float:
    """s between two calls of one core machine, of so many."""
    return min(APART_MOST, APART_EACH * cores)


def hear(endpoint_registry: EndpointRegistry, arrivals: pb.EndpointReport, now: float) -> bool:
    """At the leader. True if there is news for the data plane."""
    told = [
        server_in(server, now) for server in arrivals.endpoints if server.state in REPORTED_STATES
    ]
    news = [seen for seen in told if endpoint_registry.record_heartbeat(seen)]
    if news:
        log_event(
            Event.ENDPOINTS_CHANGED, "%s", ", ".join(f"{s.id} {s.service} {s.state}" for s in news)
        )
    return bool(news)


class HeartbeatBatch:
    """What is told in one call."""

    def __init__(self, now: float) -> None:
        self.began = now
        self.beats: list[Endpoint] = []
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def out(self, now: float) -> pb.EndpointReport:
        return pb.EndpointReport(endpoints=[server_out(seen, now) for seen in self.beats])


class Arrivals:
    """Times are seconds on this process's clock."""

    def __init__(
        self,
        now: Callable[[], float],
        cores: Callable[[], int],
        tell: Callable[[HeartbeatBatch], Awaitable[None]],
    ) -> None:
        """`cores`: how many core machines there are; `tell` calls the leader, and raises
        CallError where it is not known to have heard."""
        self._now, self._cores, self._tell = now, cores, tell
        self._open: HeartbeatBatch | None = None  # not told yet
        self._told_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    async def say(self, seen: Endpoint) -> None:
        """Until the leader has heard it. Raises CallError."""
        batch, now = self._open, self._now()
        if batch is None:
            batch = self._open = HeartbeatBatch(now)
            wait = max(0.0, self._told_at + apart(self._cores()) - now)
            asyncio.get_running_loop().call_later(wait, self._go, batch)
        if len(batch.beats) >= MOST:
            raise QueueFullError("too many servers at once")
        batch.beats.append(seen)
        await asyncio.shield(batch.done)

    def _go(self, batch: HeartbeatBatch) -> None:
        self._open, self._told_at = None, self._now()
        task = asyncio.get_running_loop().create_task(self._end(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end(self, batch: HeartbeatBatch) -> None:
        try:
            await self._tell(batch)
        except CallError as failure:
            batch.done.set_exception(failure)
            batch.done.exception()  # nobody may wait for it any longer
        else:
            batch.done.set_result(None)
        finally:
            batch.done.cancel()  # no other failure leaves anybody waiting
