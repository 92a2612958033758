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

VERSION = 1  # of what is handed over: of another kind of process, nothing is taken
CALL_TIMEOUT = 1.0  # s for the old process to answer; it has nothing else to wait for
TAKE_TIMEOUT = 5.0  # s for the new one to be ready to take over
TELL = 0.05  # s between what the old one tells
OLD_SPARE = 8  # descriptors that the old one may open beyond what it holds, for its last attempts
LINE = 1 << 26

log = logging.getLogger(__name__)


class HandoverError(Exception):
    pass


async def _line(reader: asyncio.StreamReader, timeout: float) -> Any:
    """One line of JSON, whole and in time."""
    try:
        async with asyncio.timeout(timeout):
            line = await reader.readline()
        if not line.endswith(b"\n"):
            raise HandoverError("the other process has ended")
        return json.loads(line)
    except (OSError, ValueError) as error:  # TimeoutError is one of the first
        raise HandoverError(str(error) or "no answer in time") from None


class Talk:
    """What both sides have: one JSON value a line."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def say(self, what: Any) -> None:
        self.writer.write(json.dumps(what).encode() + b"\n")

    def maintained(self, name: str, out: bool) -> None:
        self.say({"maintenance": [name, out]})


class Offer:
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
        self._engine, self._gateway = engine, gateway
        self._discovery, self._maintenance, self._passed = discovery, maintenance, passed
        self._handed = False
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
        self._task = asyncio.get_running_loop().create_task(self._wait())

    async def stop(self) -> None:
        if self._task:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._sock:
            self._sock.close()
            if not self._handed:  # else the file there is the new process's
                self._path.unlink(missing_ok=True)

    async def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        while self._sock and not self._handed:
            try:
                conn, _ = await loop.sock_accept(self._sock)
            except OSError as error:
                log.warning("hand-over: %s", error)
                await asyncio.sleep(CALL_TIMEOUT)
                continue
            with contextlib.closing(conn):
                await self._meet(conn)

    async def _meet(self, conn: socket.socket) -> None:
        listening = self._listener.socket
        if listening is None or self._listener.stopping:
            return
        try:
            socket.send_fds(conn, [b"\n"], [listening.fileno()])
            reader, writer = await asyncio.open_unix_connection(sock=conn, limit=LINE)
        except OSError as error:
            log.warning("hand-over: %s", error)
            return
        talk = Talk(reader, writer)
        try:
            if await _line(reader, TAKE_TIMEOUT) != "take":
                raise HandoverError("not understood")
            await self._pass_on(talk)
            self._handed = True
            log.info("handed over")
            self._passed()
            await self._accompany(talk)
        except (HandoverError, OSError) as error:
            log.warning("hand-over: %s", error)
        finally:
            writer.close()

    async def _pass_on(self, talk: Talk) -> None:
        """All or nothing: if the new process does not get as serving, this one goes on."""
        self._listener.step_aside(True)
        state = self._engine.hand_over() | {"module": handover_state.hand_over(self._gateway)}
        kept = self._sockets.cap
        self._sockets.cap = min(kept, self._sockets.open + OLD_SPARE)
        try:
            held = self._discovery.held.dump() if self._discovery.held else None
            told = {
                "version": VERSION,
                "index": self._discovery.index,
                "held": held,
                "ingress": state,
            }
            talk.say(told | self._told())
            if await _line(talk.reader, TAKE_TIMEOUT) != "serving":
                raise HandoverError("not understood")
        except HandoverError:
            self._sockets.cap = kept
            handover_state.take_back(self._gateway, state["module"])
            self._listener.step_aside(False)
            raise

    def _told(self) -> dict[str, Any]:
        return {"sockets": self._sockets.open, "busy": self._engine.busy()}

    async def _accompany(self, talk: Talk) -> None:
        self._maintenance.changed = talk.maintained
        hears = asyncio.get_running_loop().create_task(_hear_maintenance(talk.reader, self._engine))
        try:
            while not hears.done():
                talk.say(self._told())
                await asyncio.wait([hears], timeout=TELL)
        finally:
            hears.cancel()


async def _hear_maintenance(reader: asyncio.StreamReader, engine: Engine) -> None:
    with contextlib.suppress(OSError, ValueError):
        while (line := await reader.readline()).endswith(b"\n"):
            engine.maintain(*json.loads(line)["maintenance"])


class Claim:
    """The new process's side."""

    def __init__(self, conn: socket.socket, listening: socket.socket) -> None:
        self.listening, self._conn = listening, conn
        self._talk: Talk | None = None
        self._task: asyncio.Task[None] | None = None

    @staticmethod
    async def find(path: Path) -> Claim | None:
        """The old process, if there is one that answers."""
        return await asyncio.to_thread(_call, path)

    async def take(
        self, engine: Engine, gateway: RequestPolicy, sockets: Sockets, discovery: Discovery
    ) -> int | None:
        """Takes all over; the version of the list that came with it, or None if nothing did."""
        try:
            reader, writer = await asyncio.open_unix_connection(sock=self._conn, limit=LINE)
            self._talk = Talk(reader, writer)
            self._talk.say("take")
            told = await _line(reader, TAKE_TIMEOUT)
            if told["version"] != VERSION:
                raise HandoverError(f"version {told['version']}")
            index = int(told["index"])
            state = told["ingress"]
            if discovery.held:
                discovery.held.take_over(told.get("held"), state["entries"])
            classes, plans = engine.take_over(state, index)
            handover_state.take_over(gateway, engine.now(), state["module"], classes, plans)
            sockets.elsewhere = int(told["sockets"])
            engine.told_busy(told["busy"])
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
            self._talk = None
            return None
        return index

    def serving(self, engine: Engine, sockets: Sockets, maintenance: Maintenance) -> None:
        if self._talk:
            self._talk.say("serving")
            maintenance.changed = self._talk.maintained
            self._task = asyncio.get_running_loop().create_task(
                self._hear(engine, sockets, maintenance)
            )

    async def _hear(self, engine: Engine, sockets: Sockets, maintenance: Maintenance) -> None:
        assert self._talk
        try:
            while (line := await self._talk.reader.readline()).endswith(b"\n"):
                told = json.loads(line)
                if "maintenance" in told:
                    engine.maintain(*told["maintenance"])
                else:
                    sockets.elsewhere = told["sockets"]
                    engine.told_busy(told["busy"])
        except OSError:
            pass
        finally:  # it has ended: all there is of the ingress is here
            maintenance.changed = lambda name, out: None
            sockets.elsewhere = 0
            engine.told_busy({"attempts": [], "customers": []})
            self.stop()

    def stop(self) -> None:
        if self._task and self._task is not asyncio.current_task():
            self._task.cancel()
        if self._talk:
            self._talk.writer.close()


def _call(path: Path) -> Claim | None:
    try:
        conn = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError:  # refused, as the offer is then: that one is logged
        return None
    try:
        conn.settimeout(CALL_TIMEOUT)
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
    return Claim(conn, listening)
