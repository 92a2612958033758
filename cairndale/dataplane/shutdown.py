"""Graceful shutdown: the drain of an ingress after SIGTERM, in the order that loses no request."""

from __future__ import annotations

import asyncio

from cairndale.dataplane.config_watch import ConfigWatch
from cairndale.dataplane.serving_state import ServingState
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.engine import Engine

# Before the end of the grace period connections are taken until then: old address lists name it.
ACCEPT_MARGIN_S = 0.9
FLUSH_S = 0.2  # after all is answered, for answers to be taken by their clients
FLUSH_POLL_S = 0.01


async def drain(
    *, listener: Listener, engine: Engine, serving: ServingState, watch: ConfigWatch, grace: float
) -> None:
    """Drain for `grace` seconds at the most.

    First the ingress leaves the address lists (the leader is told, readiness is over); it goes on
    accepting connections for those whose list is older; then it only answers what is open, and at
    the end gives up what is left. No request is broken off while an endpoint works on it and the
    grace period lasts.
    """
    serving.begin_drain(grace)
    listener.begin_stop()
    notice = asyncio.get_running_loop().create_task(watch.announce_drain())
    try:
        await asyncio.sleep(max(0.0, grace - ACCEPT_MARGIN_S))
        listener.stop_listening()
        await _finish_requests(engine, serving.ends_at)
        while listener.connections and serving.now() < serving.ends_at + FLUSH_S:
            await asyncio.sleep(FLUSH_POLL_S)
    finally:
        notice.cancel()


async def _finish_requests(engine: Engine, ends_at: float) -> None:
    """Wait until no request is open; give up those that are at `ends_at` (s, the loop's clock)."""
    idle = asyncio.Event()
    engine.idle = idle.set
    if not engine.open:
        return
    try:
        async with asyncio.timeout_at(ends_at):
            await idle.wait()
    except TimeoutError:
        engine.give_up()
