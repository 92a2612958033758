"""Ctrl-C and SIGTERM, alike for all that the tool carries out: what runs is cancelled, and ends in
order."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

STOPPING = (signal.SIGINT, signal.SIGTERM)

T = TypeVar("T")


def run_until_stopped(what: Coroutine[Any, Any, T]) -> T:
    """Runs it on a loop of its own. Raises KeyboardInterrupt once it was told to stop and has
    ended.

    `asyncio.run` alone is not enough: it leaves SIGINT ignored where it was so at the start (as a
    shell without job control starts what it puts into the background), a second one breaks into the
    end that the first began, and one that comes just before the loop waits is seen only when
    something else wakes it."""
    stopped = False

    async def until_stopped() -> T:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task

        def stop() -> None:
            nonlocal stopped
            if not stopped:  # cancelled again, the end itself would be broken off
                stopped = True
                task.cancel()

        for number in STOPPING:
            loop.add_signal_handler(number, stop)
        return await what

    try:
        result = asyncio.run(until_stopped())
    except asyncio.CancelledError:
        if not stopped:
            raise
    if stopped:  # also where it was through at that very moment: nothing else is to begin
        raise KeyboardInterrupt
    return result


def heed_ctrl_c() -> None:
    """From the tool's start: one that was begun with SIGINT ignored is stopped by it all the
    same."""
    if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
        signal.signal(signal.SIGINT, signal.default_int_handler)


def ignore_stopping() -> None:
    """For the last steps of one that is stopping already: its status stays the one it means to
    leave."""
    for number in STOPPING:
        signal.signal(number, signal.SIG_IGN)
