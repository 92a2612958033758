"""Hot restart: hands an ingress over to a new process by a Unix socket in $TMPDIR.

The new process receives the listening socket itself, so that no connection in its backlog is lost,
and in answer to its `take` the state of the old process. From then on it accepts all new
connections. Until the old process ends, the two exchange what must count for the ingress as a
whole: attempts in flight, open descriptors, and operators' maintenance calls.
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

FORMAT_VERSION = 1  # of the state; nothing is taken over in another version
CONNECT_TIMEOUT_S = 1.0  # for the old process to answer; it has nothing else to wait for
TAKE_TIMEOUT_S = 5.0  # for the new process to be ready to take over
LOAD_INTERVAL_S = 0.05  # between the old process's reports of its load
# Descriptors that the old process may open beyond those in use, for its last attempts.
SPARE_DESCRIPTORS = 8
MAX_LINE_BYTES = 1 << 26

log = logging.getLogger(__name__)


class HandoverError(Exception):
    """The hand-over has failed; the old process continues to serve."""

    pass


async def _read_json(reader: asyncio.StreamReader, timeout: float) -> Any:
    """Read one line of JSON. Raises HandoverError if it is not complete and valid in time."""
    try:
        async with asyncio.timeout(timeout):
            line = await reader.readline()
        if not line.endswith(b"\n"):
            raise HandoverError("the other process has ended")
        return json.loads(line)
    except (OSError, ValueError) as error:  # TimeoutError is one of the first
        raise HandoverError(str(error) or "no answer in time") from None


class HandoverChannel:
    """The connection between both processes, with one JSON value per line."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, value: Any) -> None:
        """Send a JSON value."""
        self.writer.write(json.dumps(value).encode() + b"\n")

    def send_maintenance(self, name: str, in_maintenance: bool) -> None:
        """Send the start or end of a backend's maintenance."""
        self.send({"maintenance": [name, in_maintenance]})


class HandoverOffer:
    """The old process's side: waits for its successor.

    `on_handed_over` is called once the successor serves.
    """

    def __init__(
        self,
        path: Path,
        engine: Engine,
        policy: RequestPolicy,
        listener: Listener,
        sockets: Sockets,
        discovery: Discovery,
        maintenance: Maintenance,
        on_handed_over: Callable[[], None],
    ) -> None:
        self._path, self._listener, self._sockets = path, listener, sockets
        self._engine, self._policy = engine, policy
        self._discovery, self._maintenance, self._on_handed_over = (
            discovery,
            maintenance,
            on_handed_over,
        )
        self._handed_over = False
        self._sock: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Listen on the socket, which atomically replaces one left by an earlier process."""
        temporary_path = self._path.with_suffix(f".{os.getpid()}")
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError as error:  # the platform may refuse Unix sockets
            log.warning("no other process can take over: %s", error)
            return
        try:
            sock.bind(str(temporary_path))
            sock.listen(1)
            temporary_path.replace(self._path)
        except OSError as error:
            sock.close()
            log.warning("no other process can take over: %s", error)
            return
        self._sock = sock
        self._task = asyncio.get_running_loop().create_task(self._accept_successors())

    async def stop(self) -> None:
        """Stop listening, and remove the socket unless the successor has replaced it."""
        if self._task:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._sock:
            self._sock.close()
            if not self._handed_over:  # after a hand-over, the file is the successor's
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
        channel = HandoverChannel(reader, writer)
        try:
            if await _read_json(reader, TAKE_TIMEOUT_S) != "take":
                raise HandoverError("unexpected message in place of 'take'")
            await self._transfer(channel)
            self._handed_over = True
            log.info("handed over")
            self._on_handed_over()
            await self._share_updates(channel)
        except (HandoverError, OSError) as error:
            log.warning("hand-over: %s", error)
        finally:
            writer.close()

    async def _transfer(self, channel: HandoverChannel) -> None:
        """Transfer the state. If the successor does not start serving, this process continues."""
        self._listener.suspend(True)
        state = self._engine.dump_state() | {"module": handover_state.hand_over(self._policy)}
        capacity_before = self._sockets.capacity
        self._sockets.capacity = min(capacity_before, self._sockets.open_count + SPARE_DESCRIPTORS)
        try:
            table = self._discovery.table.dump() if self._discovery.table else None
            message = {
                "version": FORMAT_VERSION,
                "index": self._discovery.index,
                "held": table,
                "ingress": state,
            }
            channel.send(message | self._load())
            if await _read_json(channel.reader, TAKE_TIMEOUT_S) != "serving":
                raise HandoverError("unexpected message in place of 'serving'")
        except HandoverError:
            self._sockets.capacity = capacity_before
            handover_state.take_back(self._policy, state["module"])
            self._listener.suspend(False)
            raise

    def _load(self) -> dict[str, Any]:
        return {"sockets": self._sockets.open_count, "busy": self._engine.in_flight_counts()}

    async def _share_updates(self, channel: HandoverChannel) -> None:
        self._maintenance.on_change = channel.send_maintenance
        receiving = asyncio.get_running_loop().create_task(
            _receive_maintenance(channel.reader, self._engine)
        )
        try:
            while not receiving.done():
                channel.send(self._load())
                await asyncio.wait([receiving], timeout=LOAD_INTERVAL_S)
        finally:
            receiving.cancel()


async def _receive_maintenance(reader: asyncio.StreamReader, engine: Engine) -> None:
    with contextlib.suppress(OSError, ValueError):
        while (line := await reader.readline()).endswith(b"\n"):
            engine.set_maintenance(*json.loads(line)["maintenance"])


class HandoverClaim:
    """The new process's side: takes over from its predecessor."""

    def __init__(self, conn: socket.socket, listening: socket.socket) -> None:
        self.listening, self._conn = listening, conn
        self._channel: HandoverChannel | None = None
        self._task: asyncio.Task[None] | None = None

    @staticmethod
    async def find(path: Path) -> HandoverClaim | None:
        """Connect to the predecessor. Return None if there is none that answers."""
        return await asyncio.to_thread(_connect, path)

    async def take_over(
        self, engine: Engine, policy: RequestPolicy, sockets: Sockets, discovery: Discovery
    ) -> int | None:
        """Restore the predecessor's state.

        Return the version of its endpoint list, or None if nothing could be taken over.
        """
        try:
            reader, writer = await asyncio.open_unix_connection(
                sock=self._conn, limit=MAX_LINE_BYTES
            )
            self._channel = HandoverChannel(reader, writer)
            self._channel.send("take")
            message = await _read_json(reader, TAKE_TIMEOUT_S)
            if message["version"] != FORMAT_VERSION:
                raise HandoverError(f"unknown format version {message['version']}")
            index = int(message["index"])
            state = message["ingress"]
            if discovery.table:
                discovery.table.restore(message.get("held"), state["entries"])
            classes, plans = engine.restore_state(state, index)
            handover_state.take_over(policy, engine.now(), state["module"], classes, plans)
            sockets.predecessor_count = int(message["sockets"])
            engine.set_predecessor_load(message["busy"])
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
        """Confirm to the predecessor that this process serves, and follow its updates."""
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
                message = json.loads(line)
                if "maintenance" in message:
                    engine.set_maintenance(*message["maintenance"])
                else:
                    sockets.predecessor_count = message["sockets"]
                    engine.set_predecessor_load(message["busy"])
        except OSError:
            pass
        finally:  # the predecessor has ended: this process is the whole ingress now
            maintenance.on_change = lambda name, in_maintenance: None
            sockets.predecessor_count = 0
            engine.set_predecessor_load({"attempts": [], "customers": []})
            self.stop()

    def stop(self) -> None:
        """Close the connection to the predecessor."""
        if self._task and self._task is not asyncio.current_task():
            self._task.cancel()
        if self._channel:
            self._channel.writer.close()


def _connect(path: Path) -> HandoverClaim | None:
    try:
        conn = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError:  # refused by the platform; the offer is refused too, and logs it
        return None
    try:
        conn.settimeout(CONNECT_TIMEOUT_S)
        conn.connect(str(path))
        _, descriptors, _, _ = socket.recv_fds(conn, 1, 1)
        listening = socket.socket(fileno=descriptors[0])
    except (OSError, IndexError) as error:  # no predecessor, a stale file, or it is exiting
        if path.exists():
            log.info("no process to take over from: %r", error)
        conn.close()
        return None
    conn.setblocking(False)
    listening.setblocking(False)
    return HandoverClaim(conn, listening)
