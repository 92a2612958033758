"""Runs the state machine of a member: datagrams over UDP, exchanges of full state over TCP on the
same port, and the state on disk."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import msgspec

from cairndale.durable import replace_file
from cairndale.gossip.core import (
    Action,
    Core,
    MembershipChanged,
    Persist,
    PersistentState,
    RequestExchange,
    Send,
    Timing,
    summarize_names,
)
from cairndale.gossip.wire import MAX_STATE_BYTES, Address, Codec, FullState, InvalidMessage, Peer

CONNECT_TIMEOUT = 1.0  # s, for the connection of an exchange
EXCHANGE_TIMEOUT = 5.0  # s, for an exchange once it is connected
# Exchanges in flight. Incoming ones above their maximum are rejected; outgoing ones are skipped
# while as many are in flight as both maxima together.
MAX_OUTGOING_EXCHANGES = 8
MAX_INCOMING_EXCHANGES = 32
LEAVE_GRACE = 0.5  # s, between announcing that this member leaves and closing its sockets
STATE_FILE = "member"
LENGTH_BYTES = 4  # size of the length prefix of a full state

log = logging.getLogger(__name__)

ChangeListener = Callable[[MembershipChanged], None]


class MemberError(Exception):
    """A member cannot start; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of a member."""

    name: str
    fleet: str
    listen: Address
    seeds: tuple[Address, ...]
    folder: Path
    key: bytes = b""
    zone: str = ""
    may_bootstrap: bool = False
    timing: Timing = field(default_factory=Timing)


def load_state(folder: Path) -> PersistentState | None:
    """Loads what an earlier process of this member persisted. Raises MemberError if the file cannot
    be read or decoded."""
    path = folder / STATE_FILE
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=PersistentState)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.MsgspecError) as error:
        raise MemberError(f"{path}: {error}") from None


@dataclass(slots=True)
class Member(asyncio.DatagramProtocol):
    """A running member. `on_change` is called on each change of the view or standing. The caller of
    `start` has to call `stop`."""

    config: Config
    on_change: ChangeListener
    core: Core = field(init=False)
    # set when the state cannot be written to disk: the member sends nothing from then on
    failed: asyncio.Event = field(default_factory=asyncio.Event)
    _codec: Codec = field(init=False)
    _transport: asyncio.DatagramTransport | None = None
    _server: asyncio.Server | None = None
    _timer: asyncio.TimerHandle | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _incoming_exchanges: int = 0
    _stopped: bool = False

    def __post_init__(self) -> None:
        config = self.config
        self._codec = Codec(config.fleet, config.key)
        peer = Peer(config.name, 0, *config.listen, config.zone)
        self.core = Core(
            peer, config.fleet, config.timing, random.Random(), config.seeds, config.may_bootstrap
        )

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    async def start(self) -> None:
        """Starts to listen, then joins the fleet. Raises MemberError, or OSError if the address is
        in use."""
        self.config.folder.mkdir(parents=True, exist_ok=True)
        stored = load_state(self.config.folder)
        if stored is not None and stored.name != self.config.name:
            raise MemberError(
                f"{self.config.folder / STATE_FILE}: state of member {stored.name!r}, "
                f"not of {self.config.name!r}"
            )
        self._server = await asyncio.start_server(
            self._serve, *self.config.listen, limit=MAX_STATE_BYTES
        )
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        self._carry_out(self.core.start(self._loop.time(), stored))

    async def stop(self, leave: bool = True) -> None:
        """Closes all sockets. Unless `leave` is False, first announces that this member leaves, so
        that others neither suspect it nor report it as failed."""
        if leave and self._transport is not None and not self.failed.is_set():
            self._carry_out(self.core.leave(self._loop.time()))
            await asyncio.sleep(LEAVE_GRACE)
        self._stopped = True
        if self._timer:
            self._timer.cancel()
        if self._server:
            self._server.close()
        if self._transport:
            self._transport.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def remove(self, name: str) -> bool:
        """Removes a member at an operator's request. Returns False if there is no such member."""
        known = name in self.core.others or name in self.core.unreachable
        self._carry_out(self.core.remove(self._loop.time(), name))
        return known

    # Datagrams.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if self._stopped or self.failed.is_set():
            return
        try:
            packet = self._codec.decode(data, addr[0])
        except InvalidMessage as error:
            self._count_drop(str(error))
            return
        self._carry_out(self.core.receive(self._loop.time(), (addr[0], addr[1]), packet))

    def _count_drop(self, reason: str) -> None:
        self.core.drop_counts[reason] = self.core.drop_counts.get(reason, 0) + 1

    # Actions of the state machine.

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if self._stopped or self.failed.is_set():
                return
            match action:
                case Send(to, packet):
                    if self._transport is not None:
                        self._transport.sendto(self._codec.encode(packet), to)
                case RequestExchange():
                    if len(self._tasks) < MAX_OUTGOING_EXCHANGES + MAX_INCOMING_EXCHANGES:
                        self._spawn(self._exchange(action))
                case Persist(stored):
                    self._persist(stored)
                case MembershipChanged():
                    self._log_change(action)
                    self.on_change(action)
        self._schedule_tick()

    def _persist(self, stored: PersistentState) -> None:
        """Writes and syncs the state before any further action. This blocks the event loop, which
        guarantees the order; it is acceptable because views change rarely."""
        try:
            replace_file(self.config.folder / STATE_FILE, msgspec.msgpack.encode(stored))
        except OSError as error:
            log.error(
                "members: cannot write state to disk: %s; this member sends nothing more",
                error.strerror,
            )
            self.failed.set()

    def _log_change(self, changed: MembershipChanged) -> None:
        view, standing = changed.view, changed.standing
        parts = (
            [f"{len(changed.added)} added: {summarize_names(changed.added)}"]
            if changed.added
            else []
        )
        parts += (
            [f"{len(changed.removed)} removed: {summarize_names(changed.removed)}"]
            if changed.removed
            else []
        )
        log.info(
            "members: view %d with %d members, standing %s%s",
            view.number,
            len(view.members),
            standing.status,
            "; " + "; ".join(parts) if parts else "",
        )

    def _schedule_tick(self) -> None:
        if self._timer:
            self._timer.cancel()
        if not self._stopped and not self.failed.is_set():
            self._timer = self._loop.call_at(self.core.wake_at(), self._tick)

    def _tick(self) -> None:
        self._carry_out(self.core.tick(self._loop.time()))

    # Exchanges of full state.

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, action: RequestExchange) -> None:
        try:
            answer = await self._exchange_over_tcp(action)
        except (OSError, InvalidMessage, asyncio.IncompleteReadError) as error:
            if isinstance(error, InvalidMessage):
                self._count_drop(str(error))
            return
        self._carry_out(self.core.receive_exchange_answer(self._loop.time(), action.to, answer))

    async def _exchange_over_tcp(self, action: RequestExchange) -> FullState:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*action.to, limit=MAX_STATE_BYTES)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                self._send_state(writer, action.state)
                return self._codec.decode_state(await _read_state(reader), action.to[0])
        finally:
            writer.transport.abort()

    def _send_state(self, writer: asyncio.StreamWriter, state: FullState) -> None:
        data = self._codec.encode_state(state)
        writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an incoming exchange. A request that is not authentic, or that exceeds the maximum
        of exchanges, gets no answer."""
        host = writer.get_extra_info("peername")[0]
        self._incoming_exchanges += 1
        try:
            if self._incoming_exchanges > MAX_INCOMING_EXCHANGES or self._stopped:
                self._count_drop("busy")
                return
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                state = self._codec.decode_state(await _read_state(reader), host)
                answer, actions = self.core.receive_exchange(self._loop.time(), state)
                self._carry_out(actions)
                self._send_state(writer, answer)
                await writer.drain()
                await reader.read(1)  # until the other end has read the answer and closes
        except InvalidMessage as error:
            self._count_drop(str(error))
        except (OSError, asyncio.IncompleteReadError):  # TimeoutError is an OSError
            self._count_drop("cut off")
        finally:
            self._incoming_exchanges -= 1
            with contextlib.suppress(OSError):
                writer.transport.abort()

    def status(self) -> dict[str, object]:
        """The operator's page."""
        now, core = self._loop.time(), self.core
        view, standing = core.view, core.standing
        return {
            "name": core.local.name,
            "standing": standing.status,
            "age_s": round(max(0.0, standing.age), 2),
            "acts": standing.may_act,
            "health": core.health_score,
            "incarnation": core.incarnation,
            "view": view.number if view else 0,
            "digest": view.digest if view else "",
            "size": len(view.members) if view else 0,
            "refused": core.refusal or None,
            "members": core.member_rows(now),
            "dropped": dict(core.drop_counts),
            "pid": os.getpid(),
        }


async def _read_state(reader: asyncio.StreamReader) -> bytes:
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if size > MAX_STATE_BYTES:
        raise InvalidMessage("oversized")
    return await reader.readexactly(size)
