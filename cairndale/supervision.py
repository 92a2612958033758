"""Background tasks that run for as long as their process.

An unexpected exception must not end such a task while its process goes on acting without it: a
leader that answers no watch request, for one, ends all service. The task is logged and begun again
after a pause. Work that can't go on safely ends its process itself (`control/raft_driver.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from cairndale.events import Event, log_event

RESTART_PAUSE_S = 0.2  # shorter than any lease that a task renews


async def run_restarting(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Runs `work` until cancelled, and begins it again whenever it ends.

    `name` names it in the log (event 900).
    """
    while True:
        try:
            await work()
        except Exception as error:
            log_event(Event.FAILED, "task %s ended, and begins again: %r", name, error)
        await asyncio.sleep(RESTART_PAUSE_S)
