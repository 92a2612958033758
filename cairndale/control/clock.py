"""The clock that all parts of a control node read."""

from __future__ import annotations

import asyncio


class Clock:
    """The event loop's monotonic clock, in seconds; uvloop reads it once per loop iteration.

    A node has a single instance, so that a test can stop the time of the whole node.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """The time in seconds: never decreases, and is not comparable between processes."""
        return self._loop.time()
