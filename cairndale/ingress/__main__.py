"""Runs one ingress: reads its configuration, takes over from a running process, and serves.

SIGTERM shuts it down gracefully, SIGHUP reloads the configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from tempfile import gettempdir
from typing import Any

import uvloop

from cairndale.ingress.net.backends import Backends
from cairndale.ingress.net.bodies import BodyMemory
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.config import Config, ConfigError, read_config
from cairndale.ingress.net.counter import QuotaCounterClient
from cairndale.ingress.net.discovery import Discovery, EndpointTable
from cairndale.ingress.net.engine import Clock, Engine, NameTable
from cairndale.ingress.net.handover import HandoverClaim, HandoverOffer
from cairndale.ingress.net.ops import Maintenance, Ops
from cairndale.ingress.net.requests import read_request
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import RequestPolicy

# After SIGTERM, new connections are accepted this long: they continue to arrive for 0.4 s.
ACCEPT_AFTER_STOP_S = 0.55
MAX_DEADLINE_S = 3.0  # the longest deadline that the platform waits for after SIGTERM
STOP_MARGIN_S = 0.4  # for which the platform waits beyond that, less a margin
POLL_INTERVAL_S = 0.05  # between checks whether all requests have ended
COUNTER_WAIT_S = 0.5  # for a connection to the counter before another process is replaced
HANDOVER_SOCKET = "ironledge.sock"  # in $TMPDIR
MAINTENANCE_FILE = "ironledge-maintenance.json"  # in $TMPDIR
NO_ADDRESS = ("127.0.0.1", 0)  # placeholder if discovery is not watched

log = logging.getLogger("cairndale.ingress")

# Reads the configuration again, given the present one. Raises ConfigError.
ConfigReader = Callable[[Config], Config]


def _from_file(before: Config) -> Config:
    return read_config(os.environ.get("EDGE_CONFIG", ""), before)


@dataclass(frozen=True, slots=True)
class IngressParts:
    """The objects of a running ingress that metrics and logs observe."""

    engine: Engine
    policy: RequestPolicy
    sockets: Sockets
    backends: Backends
    discovery: Discovery
    ops: Ops


async def serve(
    config: Config,
    reread: ConfigReader = _from_file,
    on_created: Callable[[IngressParts], None] | None = None,
) -> None:
    """Serve until SIGTERM or until another process has taken over.

    `reread` reads the configuration at SIGHUP. `on_created` is called with the parts of the ingress
    before it starts.
    """
    loop, clock = asyncio.get_running_loop(), Clock()
    sockets = Sockets(config.sockets, config.pool.server_share)
    names = NameTable(config.settings, config.raw)
    policy = RequestPolicy(config.settings, config.seed)
    engine = Engine(policy, config.settings, names, loop, clock.now)
    limits = config.settings.limits
    fleet = config.settings.fleet_size
    backends = Backends(sockets, config.conn_idle, limits.connect_timeout, config.pool, fleet)
    engine.upstreams = backends
    counter = (
        QuotaCounterClient(config.counter, config.settings.counter.timeout)
        if config.counter
        else None
    )
    if counter:
        engine.counter = counter
        counter.start()
    settings, table = config.settings, EndpointTable(config.directory) if config.directory else None
    discovery = Discovery(
        config.discovery or NO_ADDRESS,
        config.known.index,
        engine.update_endpoints,
        settings.fleet_size,
        table,
        settings.ingress_index,
    )
    reader = config.request.reader() if config.request else None
    listener = Listener(engine, sockets, BodyMemory(config.memory_mb), clock.now, reader)
    backends.relays_responses = listener.relays_responses
    temporary_folder = Path(os.environ.get("TMPDIR") or gettempdir())

    def reload() -> None:
        nonlocal config
        try:
            config = reread(config)
        except ConfigError as error:
            log.warning("the configuration stays as it was: %s", error)
            return
        log.info("new settings; discovery at %s", _format_address(config.discovery))
        engine.update_settings(config.settings, config.raw)
        fleet_size = config.settings.fleet_size
        sockets.upstream_share = config.pool.server_share
        sockets.update_limit(config.sockets)
        backends.update_limits(
            config.conn_idle, config.settings.limits.connect_timeout, config.pool, fleet_size
        )
        if config.discovery:
            discovery.update_config(
                config.discovery, fleet_size, config.directory, engine.entries()
            )
        else:
            engine.update_endpoints(config.known)
        listener.request_reader = config.request.reader() if config.request else read_request
        if counter and config.counter:
            counter.update_timeout(config.settings.counter.timeout)
            counter.update_address(config.counter)

    maintenance = Maintenance(engine, temporary_folder / MAINTENANCE_FILE)

    def serving() -> bool:
        return listener.accepting() and engine.can_serve()

    def running() -> dict[str, Any]:
        import hashlib  # imported for this call only, as it loads OpenSSL

        text = json.dumps(config.raw, sort_keys=True)
        return {"hash": hashlib.sha256(text.encode()).hexdigest()[:16], "settings": config.raw}

    ops = Ops(engine, maintenance, serving, discovery.status, backends.pool_reports, running)
    if on_created:
        on_created(IngressParts(engine, policy, sockets, backends, discovery, ops))
    # Started before clients are accepted; /status reports "not serving" until then.
    ops_port = await ops.listen(*config.ops) if config.ops else 0
    claim, index = await HandoverClaim.find(temporary_folder / HANDOVER_SOCKET), None
    if claim:
        if counter:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(counter.connected.wait(), COUNTER_WAIT_S)
        index = await claim.take_over(engine, policy, sockets, discovery)
    if index is None:
        maintenance.restore()
        if table:
            table.load(config.known)
        engine.update_endpoints(config.known, it.ListKind.CACHED)
    gc.collect()
    gc.freeze()
    if config.discovery:
        discovery.start(index)
    else:
        discovery.first_attempt_done.set()
    loop.add_signal_handler(signal.SIGHUP, reload)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The list in the configuration may be old: wait to learn which servers are draining before
    # clients are accepted.
    if index is None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                discovery.first_attempt_done.wait(), settings.safety.drain_grace / 1e6
            )
    if claim:
        port = await listener.listen_on(claim.listening)
        claim.confirm_serving(engine, sockets, maintenance)
    else:
        port = await listener.listen(*config.listen)
    log.info("listening on %s:%d", config.listen[0], port)
    if config.ops:
        log.info("operators' calls on %s:%d", config.ops[0], ops_port)
    handed_over = asyncio.Event()
    offer = HandoverOffer(
        temporary_folder / HANDOVER_SOCKET,
        engine,
        policy,
        listener,
        sockets,
        discovery,
        maintenance,
        handed_over.set,
    )
    offer.open()
    stop_waits = [loop.create_task(event.wait()) for event in (stop, handed_over)]
    await asyncio.wait(stop_waits, return_when=asyncio.FIRST_COMPLETED)
    if handed_over.is_set():
        await _drain_after_handover(engine, listener, stop)
    else:
        await _shut_down(engine, listener, ACCEPT_AFTER_STOP_S)
    for task in stop_waits:
        task.cancel()
    await offer.stop()
    if claim:
        claim.stop()
    discovery.stop()
    if counter:
        counter.stop()
    ops.stop()
    backends.stop()


def _format_address(address: tuple[str, int] | None) -> str:
    return f"{address[0]}:{address[1]}" if address else "no address"


async def _drain_after_handover(engine: Engine, listener: Listener, stop: asyncio.Event) -> None:
    """Finish open requests after a hand-over, without a time limit until SIGTERM."""
    listener.stop_accepting()
    while not stop.is_set() and (engine.open_count or listener.connections):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), POLL_INTERVAL_S)
    if engine.open_count or listener.connections:
        await _shut_down(engine, listener, 0.0)


async def _shut_down(engine: Engine, listener: Listener, accept_for: float) -> None:
    """Accept for `accept_for` seconds, finish open requests, and return before SIGKILL is due."""
    loop = asyncio.get_running_loop()
    max_deadline = min(MAX_DEADLINE_S, max(c.deadline for c in engine.settings.classes) / 1e6)
    ends_at = loop.time() + max_deadline + STOP_MARGIN_S
    listener.start_draining()
    await asyncio.sleep(accept_for)
    listener.stop_listening()
    done = asyncio.Event()
    engine.on_idle = done.set
    if engine.open_count:
        try:
            async with asyncio.timeout_at(ends_at):
                await done.wait()
        except TimeoutError:
            engine.fail_all()
    # Wait until the last responses have been written.
    while listener.connections and loop.time() < ends_at + 0.1:
        await asyncio.sleep(0.005)


def main() -> int:
    """Run the ingress; return the exit status."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s"
    )
    try:
        config = read_config(os.environ.get("EDGE_CONFIG", ""))
        uvloop.run(serve(config))
    except (ConfigError, OSError) as error:
        print(f"ironledge: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
