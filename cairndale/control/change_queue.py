"""Changes of the replicated state, one after the other, and the wait for their acknowledgement."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cairndale.control.leader import Leader
from cairndale.errors import CallTimeoutError
from cairndale.http_api.server import Response, error_response

MAX_QUEUED_CHANGES = 64
ACKNOWLEDGEMENT_POLL_S = 0.03  # leases end without a change that wakes those who wait


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """The answer to a change, and what it waits for."""

    answer: Response
    version: int = 0  # that all ingresses have to serve by before the answer is given; 0: none


class ChangeQueue:
    """Decides one change at a time; then all wait together until every ingress has them."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._lock = asyncio.Lock()
        self._length = 0

    async def run(self, change: Callable[[], Awaitable[ChangeOutcome]]) -> Response:
        """The answer to a change, which is 503 if too many wait already.

        Raises CallError where the outcome is not known, or not everywhere in time.
        """
        if self._length >= MAX_QUEUED_CHANGES:
            return error_response(503, "too many changes wait")
        self._length += 1
        try:
            async with self._lock:
                outcome = await change()
        finally:
            self._length -= 1
        if outcome.version:
            await self.wait_until_acknowledged(outcome.version)
        return outcome.answer

    async def wait_until_acknowledged(self, version: int) -> None:
        """Return once no ingress can serve by an older version.

        Each has acknowledged it, or has stopped as its lease is over. Raises CallTimeoutError after
        the time that is allowed for it, and CallError where this process leads no longer.
        """
        leader = self._leader
        deadline = leader.now() + leader.settings.bounds.ack
        while True:
            node_registry = leader.require_leadership().node_registry
            if node_registry.all_ingresses_at_version(leader.now(), version):
                return
            if leader.now() > deadline:
                raise CallTimeoutError("some ingresses have not got it yet")
            await leader.wait_for_change(ACKNOWLEDGEMENT_POLL_S)
