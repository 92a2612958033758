"""Wakes tasks of this process when the control node's state has changed."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

MIN_WAIT_S = 0.001


class ChangeNotifier:
    """Notifies waiting tasks and listeners of each change.

    A notification does not say what has changed: each task checks its own condition again. A wait
    that begins after a change returns at the next one.
    """

    def __init__(self) -> None:
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` synchronously within each `notify`."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Wakes all tasks that wait now, and calls the listeners."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        for listener in self._listeners:
            listener()

    async def wait(self, timeout: float) -> None:
        """Returns at the next change, or after `timeout` seconds without one."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(MIN_WAIT_S, timeout)):
                await changed.wait()
