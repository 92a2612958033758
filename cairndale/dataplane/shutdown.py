"""Graceful shutdown: drains an ingress after SIGTERM without losing requests."""

from __future__ import annotations

import asyncio

from cairndale.dataplane.config_watch import ConfigWatch
from cairndale.dataplane.serving_state import ServingState
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.engine import Engine

# Connections are accepted until this long before the end of the grace period, as clients may still
# use an old address list.
ACCEPT_MARGIN_S = 0.9
FLUSH_TIMEOUT_S = 0.2  # after the last response, for clients to receive it
FLUSH_POLL_S = 0.01


async def drain(
    *, listener: Listener, engine: Engine, serving: ServingState, watch: ConfigWatch, grace: float
) -> None:
    """Drain for at most `grace` seconds.

    First the ingress is removed from the address lists: the leader is notified and readiness ends.
    It still accepts connections from clients with an older list. Then it only finishes open
    requests, and at the end aborts the remaining ones. No request that an endpoint works on is
    aborted before the grace period ends.
    """
    serving.begin_drain(grace)
    listener.start_draining()
    notice = asyncio.get_running_loop().create_task(watch.announce_drain())
    try:
        await asyncio.sleep(max(0.0, grace - ACCEPT_MARGIN_S))
        listener.stop_listening()
        await _finish_requests(engine, serving.ends_at)
        while listener.connections and serving.now() < serving.ends_at + FLUSH_TIMEOUT_S:
            await asyncio.sleep(FLUSH_POLL_S)
    finally:
        notice.cancel()


async def _finish_requests(engine: Engine, ends_at: float) -> None:
    """Wait until no request is open; abort those left at `ends_at` (s on the loop's clock)."""
    idle = asyncio.Event()
    engine.on_idle = idle.set
    if not engine.open_count:
        return
    try:
        async with asyncio.timeout_at(ends_at):
            await idle.wait()
    except TimeoutError:
        engine.fail_all()
