"""The operators' port: status, metrics, reports, and the maintenance of backends."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import httptools

from cairndale.ingress.net.engine import Engine
from cairndale.ingress.net.http import HttpConnection, Message, encode_response

MAX_CALLERS = 8  # beyond it, the oldest connection without a complete call is closed
CALL_TIMEOUT_S = 2.0  # for a call to be received
MAX_NAME_LENGTH = 256
MAX_ITEMS_SHOWN = 200  # requests and tasks listed in a debug report
CALL_METHODS = {
    "/status": b"GET",
    "/discovery": b"GET",
    "/pools": b"GET",
    "/config": b"GET",
    "/metrics": b"GET",
    "/debug/requests": b"GET",
    "/debug/servers": b"GET",
    "/debug/tasks": b"GET",
    "/maintenance/enter": b"POST",
    "/maintenance/exit": b"POST",
}

log = logging.getLogger(__name__)


class Maintenance:
    """Sets backends under maintenance, and saves their names in a file for the next process."""

    def __init__(self, engine: Engine, path: Path) -> None:
        self._engine, self._path, self._lock = engine, path, asyncio.Lock()
        # Called after each change, with the backend's name and whether it is under maintenance.
        self.on_change: Callable[[str, bool], None] = lambda name, in_maintenance: None

    def restore(self) -> None:
        """Restore the maintenance set that an earlier process saved."""
        try:
            names = json.loads(self._path.read_bytes())
            if not (isinstance(names, list) and all(isinstance(n, str) for n in names)):
                raise ValueError("not a list of names")
        except FileNotFoundError:
            return
        except (OSError, ValueError) as error:
            log.warning("maintenance: %s: %s", self._path.name, error)
            return
        self._engine.restore_maintenance(names)

    async def change(self, name: str, in_maintenance: bool) -> None:
        """Start or end maintenance of a backend. Raises OSError if it could not be saved.

        It is saved before it takes effect: a confirmed change survives this process.
        """
        async with self._lock:
            names = (
                self._engine.in_maintenance | {name}
                if in_maintenance
                else self._engine.in_maintenance - {name}
            )
            await asyncio.to_thread(self._save, sorted(names))
            self._engine.set_maintenance(name, in_maintenance)
        self.on_change(name, in_maintenance)
        log.info("maintenance: %s is %s", name, "out" if in_maintenance else "back")

    def _save(self, names: list[str]) -> None:
        temporary_path = self._path.with_suffix(f".{os.getpid()}")
        temporary_path.write_text(json.dumps(names))
        temporary_path.replace(self._path)


class Ops:
    """Serves the operators' calls."""

    def __init__(
        self,
        engine: Engine,
        maintenance: Maintenance,
        serving: Callable[[], bool],
        discovery: Callable[[], dict[str, Any]] = dict,
        pools: Callable[[], list[dict[str, Any]]] = list,
        running: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        self._engine, self._maintenance, self._serving = engine, maintenance, serving
        self._reports: dict[str, Callable[[], Any]] = {
            "/discovery": discovery,
            "/pools": pools,
            "/config": running,
            "/debug/servers": pools,
            "/debug/requests": lambda: engine.open_requests(MAX_ITEMS_SHOWN),
            "/debug/tasks": _task_names,
        }
        self.metrics: Callable[[], bytes] | None = None
        self.callers: dict[Caller, None] = {}  # without a complete call, oldest first
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address. Return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Caller(self), host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def stop(self) -> None:
        """Close the listener and the connections without a complete call."""
        if self._server:
            self._server.close()
        for caller in list(self.callers):
            caller.transport.abort()

    def caller_connected(self, caller: Caller) -> None:
        """Add a connection; evict the oldest one if there are too many."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            next(iter(self.callers)).transport.abort()

    def handle_call(self, caller: Caller, message: Message) -> None:
        """Respond to a call."""
        path, _, query = message.target.decode("latin-1").partition("?")
        method = CALL_METHODS.get(path)
        names = parse_qs(query).get("who", [])
        if method is None:
            caller.reject(404, "no such call")
        elif message.method != method:
            caller.reject(405, f"only {method.decode()} is known here")
        elif path == "/status":
            serving = self._serving()
            caller.respond(200 if serving else 503, "serving" if serving else "not serving")
        elif path == "/metrics":
            if self.metrics:
                caller.respond(200, self.metrics().decode())
            else:
                caller.reject(404, "metrics are off")
        elif path in self._reports:
            caller.respond(200, json.dumps(self._reports[path]()))
        elif len(names) != 1 or len(names[0]) > MAX_NAME_LENGTH:
            caller.reject(400, "who=ID is missing")
        elif not self._engine.is_known(names[0]):
            caller.reject(404, "no such profile server")
        else:
            in_maintenance = path == "/maintenance/enter"
            task = asyncio.get_running_loop().create_task(
                self._change_maintenance(caller, names[0], in_maintenance)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _change_maintenance(self, caller: Caller, name: str, in_maintenance: bool) -> None:
        try:
            await self._maintenance.change(name, in_maintenance)
        except OSError as error:
            log.warning("maintenance: %s stays as it was: %s", name, error)
            caller.reject(500, "could not be kept; nothing has changed")
            return
        caller.respond(200, "out" if in_maintenance else "back")


def _task_names() -> list[str]:
    names = [getattr(t.get_coro(), "__qualname__", "?") for t in asyncio.all_tasks()]
    return sorted(names)[:MAX_ITEMS_SHOWN]


class Caller(HttpConnection):
    """One connection of an operator, for one call."""

    def __init__(self, ops: Ops) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._ops, self._answered = ops, False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._timer = asyncio.get_running_loop().call_later(
            CALL_TIMEOUT_S, self.message_invalid, 408
        )
        self._ops.caller_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()
        self._ops.callers.pop(self, None)

    def message_received(self, message: Message) -> None:
        if not self._answered:
            self._answered = True
            # A complete call is always answered, so its connection is not evicted any more.
            self._ops.callers.pop(self, None)
            self._ops.handle_call(self, message)

    def message_invalid(self, status: int) -> None:
        if not self._answered:
            self._answered = True
            self.reject(status, "not understood")

    def reject(self, status: int, reason: str) -> None:
        """Respond with an error, and close the connection."""
        self.respond(status, json.dumps({"error": reason}))

    def respond(self, status: int, text: str) -> None:
        """Respond, and close the connection."""
        if not self.transport.is_closing():
            self.transport.write(encode_response(status, text.encode() + b"\n", close=True))
            self.transport.close()
