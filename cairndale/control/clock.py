"""The clock that all parts of a control node read."""

from __future__ import annotations

import asyncio


class Clock:
    """Seconds on the event loop's monotonic clock, which uvloop reads once a turn of the loop.

    One object a node, so that a test can hold the whole node's time.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now(self) -> float:
        """The time in seconds; it never goes back, and means nothing to other processes."""
        return self._loop.time()
