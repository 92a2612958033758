"""Passing an ingress on to the process that replaces it, over a Unix socket in $TMPDIR.

The new process gets the listening socket itself, so that its queue is never dropped, and with its
`take` all that the old one knows; from then on new connections are its own. Until the old one ends
they tell each other what one ingress has to know: attempts out, descriptors held, operators' calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cairndale.ingress import handover_state
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.discovery import Discovery
from cairndale.ingress.net.engine import Engine
from cairndale.ingress.net.ops import Maintenance
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy.engine import RequestPolicy

FORMAT_VERSION = 1  # of what is handed over: of another kind of process, nothing is taken
CONNECT_TIMEOUT_S = 1.0  # s for the old process to answer; it has nothing else to wait for
TAKE_TIMEOUT_S = 5.0  # s for the new one to be ready to take over
LOAD_INTERVAL_S = 0.05  # s between what the old one tells
SPARE_DESCRIPTORS = (
    8  # descriptors that the old one may open beyond what it holds, for its last attempts
)
MAX_LINE_BYTES = 1 << 26

log = logging.getLogger(__name__)


class HandoverError(Exception):
    pass


async def _read_json(reader: asyncio.StreamReader, timeout: float) -> Any:
    """One line of JSON, whole and in time."""
    try:
        async with asyncio.timeout(timeout):
            line = await reader.readline()
        if not line.endswith(b"\n"):
            raise HandoverError("the other process has ended")
        return json.loads(line)
    except (OSError, ValueError) as error:  # TimeoutError is one of the first
        raise HandoverError(str(error) or "no answer in time") from None


class HandoverChannel:
    """What both sides have: one JSON value a line."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, what: Any) -> None:
        self.writer.write(json.dumps(what).encode() + b"\n")

    def send_maintenance(self, name: str, out: bool) -> None:
        self.send({"maintenance": [name, out]})


class HandoverOffer:
    """The old process's side: waits for the one that replaces it, and tells `passed` once that one
    serves."""

    def __init__(
        self,
        path: Path,
        engine: Engine,
        gateway: RequestPolicy,
        listener: Listener,
        sockets: Sockets,
        discovery: Discovery,
        maintenance: Maintenance,
        passed: Callable[[], None],
    ) -> None:
        self._path, self._listener, self._sockets = path, listener, sockets
        self._engine, self._policy = engine, gateway
        self._discovery, self._maintenance, self._on_handed_over = discovery, maintenance, passed
        self._handed_over = False
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """In place of a file that an earlier process left, in one step."""
        made = self._path.with_suffix(f".{os.getpid()}")
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:  # where the platform refuses them
            log.warning("no other process can take over: %s", error)
            return
        try:
            sock.bind(str(made))
            sock.listen(1)
            made.replace(self._path)
        except OSError as error:
            sock.close()
            log.warning("no other process can take over: %s", error)
            return
        self._sock = sock
        self._task = asyncio.get_running_loop().create_task(self._accept_successors())

    async def stop(self) -> None:
        if self._task:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._sock:
            self._sock.close()
            if not self._handed_over:  # else the file there is the new process's
                self._path.unlink(missing_ok=True)

    async def _accept_successors(self) -> None:
        loop = asyncio.get_running_loop()
        while self._sock and not self._handed_over:
            try:
                conn, _ = await loop.sock_accept(self._sock)
            except OSError as error:
                log.warning("hand-over: %s", error)
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                continue
            with contextlib.closing(conn):
                await self._serve_successor(conn)

    async def _serve_successor(self, conn: socket.socket) -> None:
        listening = self._listener.socket
        if listening is None or self._listener.stopping:
            return
        try:
            socket.send_fds(conn, [b"\n"], [listening.fileno()])
            reader, writer = await asyncio.open_unix_connection(sock=conn, limit=MAX_LINE_BYTES)
        except OSError as error:
            log.warning("hand-over: %s", error)
            return
        talk = HandoverChannel(reader, writer)
        try:
            if await _read_json(reader, TAKE_TIMEOUT_S) != "take":
                raise HandoverError("not understood")
            await self._transfer(talk)
            self._handed_over = True
            log.info("handed over")
            self._on_handed_over()
            await self._share_updates(talk)
        except (HandoverError, OSError) as error:
            log.warning("hand-over: %s", error)
        finally:
            writer.close()

    async def _transfer(self, talk: HandoverChannel) -> None:
        """All or nothing: if the new process does not get as serving, this one goes on."""
        self._listener.suspend(True)
        state = self._engine.dump_state() | {"module": handover_state.hand_over(self._policy)}
        kept = self._sockets.capacity
        self._sockets.capacity = min(kept, self._sockets.open_count + SPARE_DESCRIPTORS)
        try:
            held = self._discovery.table.dump() if self._discovery.table else None
            told = {
                "version": FORMAT_VERSION,
                "index": self._discovery.index,
                "held": held,
                "ingress": state,
            }
            talk.send(told | self._load())
            if await _read_json(talk.reader, TAKE_TIMEOUT_S) != "serving":
                raise HandoverError("not understood")
        except HandoverError:
            self._sockets.capacity = kept
            handover_state.take_back(self._policy, state["module"])
            self._listener.suspend(False)
            raise

    def _load(self) -> dict[str, Any]:
        return {"sockets": self._sockets.open_count, "busy": self._engine.in_flight_counts()}

    async def _share_updates(self, talk: HandoverChannel) -> None:
        self._maintenance.on_change = talk.send_maintenance
        hears = asyncio.get_running_loop().create_task(
            _receive_maintenance(talk.reader, self._engine)
        )
        try:
            while not hears.done():
                talk.send(self._load())
                await asyncio.wait([hears], timeout=LOAD_INTERVAL_S)
        finally:
            hears.cancel()


async def _receive_maintenance(reader: asyncio.StreamReader, engine: Engine) -> None:
    with contextlib.suppress(OSError, ValueError):
        while (line := await reader.readline()).endswith(b"\n"):
            engine.set_maintenance(*json.loads(line)["maintenance"])


class HandoverClaim:
    """The new process's side."""

    def __init__(self, conn: socket.socket, listening: socket.socket) -> None:
        self.listening, self._conn = listening, conn
        self._channel: HandoverChannel | None = None
        self._task: asyncio.Task[None] | None = None

    @staticmethod
    async def find(path: Path) -> HandoverClaim | None:
        """The old process, if there is one that answers."""
        return await asyncio.to_thread(_connect, path)

    async def take_over(
        self, engine: Engine, gateway: RequestPolicy, sockets: Sockets, discovery: Discovery
    ) -> int | None:
        """Takes all over; the version of the list that came with it, or None if nothing did."""
        try:
            reader, writer = await asyncio.open_unix_connection(
                sock=self._conn, limit=MAX_LINE_BYTES
            )
            self._channel = HandoverChannel(reader, writer)
            self._channel.send("take")
            told = await _read_json(reader, TAKE_TIMEOUT_S)
            if told["version"] != FORMAT_VERSION:
                raise HandoverError(f"version {told['version']}")
            index = int(told["index"])
            state = told["ingress"]
            if discovery.table:
                discovery.table.restore(told.get("held"), state["entries"])
            classes, plans = engine.restore_state(state, index)
            handover_state.take_over(gateway, engine.now(), state["module"], classes, plans)
            sockets.predecessor_count = int(told["sockets"])
            engine.set_predecessor_load(told["busy"])
        except (
            HandoverError,
            OSError,
            LookupError,
            TypeError,
            ValueError,
            AttributeError,
        ) as error:
            log.warning("nothing taken over: %r", error)
            self.stop()
            self._channel = None
            return None
        return index

    def confirm_serving(self, engine: Engine, sockets: Sockets, maintenance: Maintenance) -> None:
        if self._channel:
            self._channel.send("serving")
            maintenance.on_change = self._channel.send_maintenance
            self._task = asyncio.get_running_loop().create_task(
                self._receive_updates(engine, sockets, maintenance)
            )

    async def _receive_updates(
        self, engine: Engine, sockets: Sockets, maintenance: Maintenance
    ) -> None:
        assert self._channel
        try:
            while (line := await self._channel.reader.readline()).endswith(b"\n"):
                told = json.loads(line)
                if "maintenance" in told:
                    engine.set_maintenance(*told["maintenance"])
                else:
                    sockets.predecessor_count = told["sockets"]
                    engine.set_predecessor_load(told["busy"])
        except OSError:
            pass
        finally:  # it has ended: all there is of the ingress is here
            maintenance.on_change = lambda name, out: None
            sockets.predecessor_count = 0
            engine.set_predecessor_load({"attempts": [], "customers": []})
            self.stop()

    def stop(self) -> None:
        if self._task and self._task is not asyncio.current_task():
            self._task.cancel()
        if self._channel:
            self._channel.writer.close()


def _connect(path: Path) -> HandoverClaim | None:
    try:
        conn = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError:  # refused, as the offer is then: that one is logged
        return None
    try:
        conn.settimeout(CONNECT_TIMEOUT_S)
        conn.connect(str(path))
        _, descriptors, _, _ = socket.recv_fds(conn, 1, 1)
        listening = socket.socket(fileno=descriptors[0])
    except (OSError, IndexError) as error:  # none, a stale file, or one that is ending
        if path.exists():
            log.info("no process to take over from: %r", error)
        conn.close()
        return None
    conn.setblocking(False)
    listening.setblocking(False)
    return HandoverClaim(conn, listening)
