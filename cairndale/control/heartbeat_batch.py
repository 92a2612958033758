"""Batches of heartbeats that report something new, from a follower to the leader.

A server is answered once the leader has registered its heartbeat, confirmed by a majority. The
first heartbeat is sent at once; the ones that arrive within the batch interval after it are sent in
one call. So after a restart of all servers the leader receives a bounded number of calls per
second, instead of one call per server.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from cairndale.control.endpoint_codec import endpoint_from_message, endpoint_to_message
from cairndale.errors import CallError, CallTimeoutError, QueueFullError
from cairndale.events import Event, log_event
from cairndale.json_text import field_error
from cairndale.registry.endpoints import REPORTED_STATES, Endpoint, EndpointRegistry
from cairndale.rpc import protocol_pb2 as pb

# Interval between batches of one node, per control node of the cluster: the leader receives at most
# the reciprocal (100 batches per second) from all of them.
BATCH_INTERVAL_PER_NODE_S = 0.01
MAX_BATCH_INTERVAL_S = 0.25  # a server waits one second for its answer
MAX_BATCH_SIZE = 512


def batch_interval(control_nodes: int) -> float:
    """Seconds between batches of one control node, in a cluster of `control_nodes`."""
    return min(MAX_BATCH_INTERVAL_S, BATCH_INTERVAL_PER_NODE_S * control_nodes)


def register_endpoints(
    endpoint_registry: EndpointRegistry, report: pb.EndpointReport, now: float
) -> bool:
    """Registers a batch at the leader. True if data-plane nodes must be notified."""
    heartbeats = [
        endpoint_from_message(message, now)
        for message in report.endpoints
        if _is_registered(endpoint_registry, message)
    ]
    changed = [h for h in heartbeats if endpoint_registry.record_heartbeat(h)]
    if changed:
        names = ", ".join(f"{e.id} {e.service} {e.state}" for e in changed)
        log_event(Event.ENDPOINTS_CHANGED, "%s", names)
    return bool(changed)


def _is_registered(endpoint_registry: EndpointRegistry, message: pb.Endpoint) -> bool:
    """Whether the leader registers a heartbeat of a follower, which may be of an earlier version.

    Such a follower does not check ids. A leader of that version may have listed a server whose id
    this one refuses; the departure of that server is acknowledged, so it counts.
    """
    if message.state not in REPORTED_STATES:
        return False
    leaves = message.state == "draining" and message.id in endpoint_registry.endpoints
    return leaves or not field_error(message.id)


class HeartbeatBatch:
    """Heartbeats that are sent to the leader in one call."""

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.heartbeats: list[Endpoint] = []
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def fail(self, failure: CallError) -> None:
        """Tells the callers of all heartbeats that they may not be registered."""
        self.done.set_exception(failure)
        self.done.exception()  # marks it as retrieved: the waiters may have been cancelled

    def report(self, now: float) -> pb.EndpointReport:
        """The message for the leader."""
        return pb.EndpointReport(endpoints=[endpoint_to_message(h, now) for h in self.heartbeats])


class HeartbeatBatcher:
    """Collects heartbeats into batches. Times are seconds on this process's clock."""

    def __init__(
        self,
        now: Callable[[], float],
        count_control_nodes: Callable[[], int],
        send: Callable[[HeartbeatBatch], Awaitable[None]],
    ) -> None:
        """`send` calls the leader. It raises CallError if some heartbeat may not be registered."""
        self._now, self._count_control_nodes, self._send = now, count_control_nodes, send
        self._open: HeartbeatBatch | None = None  # still collecting
        self._sent_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    async def register(self, heartbeat: Endpoint) -> None:
        """Returns once the leader has registered a heartbeat.

        Raises QueueFullError if the batch is full, and CallError if the outcome is not known.
        """
        batch, now = self._open, self._now()
        if batch is None:
            batch = self._open = HeartbeatBatch(now)
            next_at = self._sent_at + batch_interval(self._count_control_nodes())
            delay = max(0.0, next_at - now)
            asyncio.get_running_loop().call_later(delay, self._close_batch, batch)
        if len(batch.heartbeats) >= MAX_BATCH_SIZE:
            raise QueueFullError(f"heartbeat batch is full: {MAX_BATCH_SIZE} heartbeats")
        batch.heartbeats.append(heartbeat)
        await asyncio.shield(batch.done)

    def _close_batch(self, batch: HeartbeatBatch) -> None:
        self._open, self._sent_at = None, self._now()
        task = asyncio.get_running_loop().create_task(self._send_batch(batch))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_batch(self, batch: HeartbeatBatch) -> None:
        try:
            await self._send(batch)
        except CallError as failure:
            batch.fail(failure)
        except Exception as error:
            log_event(Event.FAILED, "heartbeats could not be sent: %r", error)
            batch.fail(CallTimeoutError("the heartbeats could not be sent"))
        else:
            batch.done.set_result(None)
        finally:
            batch.done.cancel()  # releases the waiters when the process stops
