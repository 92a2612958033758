"""Serialises changes of the replicated state and waits until ingresses acknowledge them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cairndale.control.leader import Leader
from cairndale.errors import CallTimeoutError
from cairndale.http_api.server import Response, error_response

MAX_QUEUED_CHANGES = 64
ACKNOWLEDGEMENT_POLL_S = 0.03  # needed because the end of a lease triggers no notification


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """The answer to a change, and the version to wait for before it is given."""

    answer: Response
    version: int = 0  # that all ingresses must have first; 0: no wait


class ChangeQueue:
    """Decides one change at a time; waits for acknowledgement run concurrently."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._lock = asyncio.Lock()
        self._length = 0

    async def run(self, change: Callable[[], Awaitable[ChangeOutcome]]) -> Response:
        """Runs a change and returns its answer, or 503 if the queue is full.

        Raises CallError if the outcome is not known, or not acknowledged in time.
        """
        if self._length >= MAX_QUEUED_CHANGES:
            return error_response(
                503, f"change queue is full: {MAX_QUEUED_CHANGES} changes are waiting"
            )
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
        """Returns once no ingress can serve by an older version.

        Each ingress has acknowledged the version, or has stopped serving because its lease has
        expired. Raises CallTimeoutError after the configured `ack` time, and CallError if this
        process no longer leads.
        """
        leader = self._leader
        deadline = leader.now() + leader.settings.bounds.ack
        while True:
            node_registry = leader.require_leadership().node_registry
            if node_registry.all_ingresses_at_version(leader.now(), version):
                return
            if leader.now() > deadline:
                raise CallTimeoutError(f"not all ingresses have acknowledged version {version}")
            await leader.wait_for_change(ACKNOWLEDGEMENT_POLL_S)
