"""Tells those who wait within the process that the control node's state has changed."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

MIN_WAIT_S = 0.001  # s


class ChangeNotifier:
    """A condition that is always true again for those who begin to wait after a change.

    What has changed is not said: whoever is woken looks at what it waits for.
    """

    def __init__(self) -> None:
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` at each change, within the call that reports it."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Reports a change: all who wait now go on, and the listeners are called."""
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
