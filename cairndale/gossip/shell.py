"""A member on sockets: datagrams over UDP, whole states over TCP at the same port, and what it
keeps on disk."""

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
from cairndale.gossip.core import Action, Ask, Changed, Core, Keep, Send, Stored, Timing, bounded
from cairndale.gossip.wire import MAX_STATE, Address, Bad, Codec, Peer, State

CONNECT = 1.0  # s for another member to take a connection
EXCHANGE = 5.0  # s for a whole exchange of states
ASKING = 8  # exchanges of its own that a member has under way; more are left out
ASKED = 32  # of others'; more are turned away
LEAVE = 0.5  # s that others are given to hear of it
FILE = "member"
HEAD = 4  # bytes of a state's length

log = logging.getLogger(__name__)

Told = Callable[[Changed], None]


class MemberError(Exception):
    """It cannot start: what is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    fleet: str
    listen: Address
    seeds: tuple[Address, ...]
    folder: Path
    key: bytes = b""
    zone: str = ""
    founds: bool = False
    timing: Timing = field(default_factory=Timing)


def recalled(folder: Path) -> Stored | None:
    """What an earlier process of this member kept. Raises MemberError if that is damaged."""
    path = folder / FILE
    try:
        return msgspec.msgpack.decode(path.read_bytes(), type=Stored)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.MsgspecError) as error:
        raise MemberError(f"{path}: {error}") from None


@dataclass(slots=True)
class Member(asyncio.DatagramProtocol):
    """`told` hears each change of view and standing. Whoever starts it stops it."""

    config: Config
    told: Told
    core: Core = field(init=False)
    failed: asyncio.Event = field(default_factory=asyncio.Event)  # the disk: it says nothing more
    _codec: Codec = field(init=False)
    _transport: asyncio.DatagramTransport | None = None
    _server: asyncio.Server | None = None
    _timer: asyncio.TimerHandle | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _asked: int = 0
    _stopped: bool = False

    def __post_init__(self) -> None:
        config = self.config
        self._codec = Codec(config.fleet, config.key)
        peer = Peer(config.name, 0, *config.listen, config.zone)
        self.core = Core(
            peer, config.fleet, config.timing, random.Random(), config.seeds, config.founds
        )

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    async def start(self) -> None:
        """Listens, then joins. Raises MemberError, or OSError for an address that is taken."""
        self.config.folder.mkdir(parents=True, exist_ok=True)
        stored = recalled(self.config.folder)
        if stored is not None and stored.name != self.config.name:
            raise MemberError(
                f"{self.config.folder / FILE}: is {stored.name!r}'s, not {self.config.name!r}'s"
            )
        self._server = await asyncio.start_server(self._serve, *self.config.listen, limit=MAX_STATE)
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        self._carry_out(self.core.begin(self._loop.time(), stored))

    async def stop(self, leave: bool = True) -> None:
        """Leaves in order, so that nobody is suspected, unless told not to."""
        if leave and self._transport is not None and not self.failed.is_set():
            self._carry_out(self.core.leave(self._loop.time()))
            await asyncio.sleep(LEAVE)
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
        """An operator's call; False if there is no such member."""
        known = name in self.core.others or name in self.core.lost
        self._carry_out(self.core.remove(self._loop.time(), name))
        return known

    # Datagrams.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if self._stopped or self.failed.is_set():
            return
        try:
            packet = self._codec.read(data, addr[0])
        except Bad as error:
            self._drop(str(error))
            return
        self._carry_out(self.core.heard(self._loop.time(), (addr[0], addr[1]), packet))

    def _drop(self, why: str) -> None:
        self.core.counts[why] = self.core.counts.get(why, 0) + 1

    # What the machine wants.

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if self._stopped or self.failed.is_set():
                return
            match action:
                case Send(to, packet):
                    if self._transport is not None:
                        self._transport.sendto(self._codec.write(packet), to)
                case Ask():
                    if len(self._tasks) < ASKING + ASKED:
                        self._task(self._ask(action))
                case Keep(stored):
                    self._keep(stored)
                case Changed():
                    self._say(action)
                    self.told(action)
        self._plan()

    def _keep(self, stored: Stored) -> None:
        """Synced before anything else is said. Views change seldom: that the loop waits for the
        disk is the price of an order that cannot be wrong."""
        try:
            replace_file(self.config.folder / FILE, msgspec.msgpack.encode(stored))
        except OSError as error:
            log.error("members: not kept: %s; this member says nothing more", error.strerror)
            self.failed.set()

    def _say(self, changed: Changed) -> None:
        view, standing = changed.view, changed.standing
        parts = [f"{len(changed.added)} came: {bounded(changed.added)}"] if changed.added else []
        parts += [f"{len(changed.gone)} went: {bounded(changed.gone)}"] if changed.gone else []
        log.info(
            "members: view %d of %d, %s%s",
            view.number,
            len(view.members),
            standing.word,
            "; " + "; ".join(parts) if parts else "",
        )

    def _plan(self) -> None:
        if self._timer:
            self._timer.cancel()
        if not self._stopped and not self.failed.is_set():
            self._timer = self._loop.call_at(self.core.wake_at(), self._tick)

    def _tick(self) -> None:
        self._carry_out(self.core.tick(self._loop.time()))

    # Whole states.

    def _task(self, what: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, action: Ask) -> None:
        try:
            answer = await self._exchanged(action)
        except (OSError, Bad, asyncio.IncompleteReadError) as error:
            if isinstance(error, Bad):
                self._drop(str(error))
            return
        self._carry_out(self.core.answered(self._loop.time(), action.to, answer))

    async def _exchanged(self, action: Ask) -> State:
        async with asyncio.timeout(CONNECT):
            reader, writer = await asyncio.open_connection(*action.to, limit=MAX_STATE)
        try:
            async with asyncio.timeout(EXCHANGE):
                self._write(writer, action.state)
                return self._codec.read_state(await _read(reader), action.to[0])
        finally:
            writer.transport.abort()

    def _write(self, writer: asyncio.StreamWriter, state: State) -> None:
        data = self._codec.write_state(state)
        writer.write(len(data).to_bytes(HEAD, "big") + data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Strangers, and whoever comes while too many are here, get no answer."""
        host = writer.get_extra_info("peername")[0]
        self._asked += 1
        try:
            if self._asked > ASKED or self._stopped:
                self._drop("busy")
                return
            async with asyncio.timeout(EXCHANGE):
                state = self._codec.read_state(await _read(reader), host)
                answer, actions = self.core.asked(self._loop.time(), state)
                self._carry_out(actions)
                self._write(writer, answer)
                await writer.drain()
                await reader.read(1)  # until the other end has it and closes
        except Bad as error:
            self._drop(str(error))
        except (OSError, asyncio.IncompleteReadError):  # TimeoutError is one of the first
            self._drop("cut off")
        finally:
            self._asked -= 1
            with contextlib.suppress(OSError):
                writer.transport.abort()

    def status(self) -> dict[str, object]:
        """For operators."""
        now, core = self._loop.time(), self.core
        view, standing = core.view, core.standing
        return {
            "name": core.me.name,
            "standing": standing.word,
            "age_s": round(max(0.0, standing.age), 2),
            "acts": standing.acts,
            "health": core.health,
            "incarnation": core.incarnation,
            "view": view.number if view else 0,
            "digest": view.digest if view else "",
            "size": len(view.members) if view else 0,
            "refused": core.refused or None,
            "members": core.shown(now),
            "dropped": dict(core.counts),
            "pid": os.getpid(),
        }


async def _read(reader: asyncio.StreamReader) -> bytes:
    size = int.from_bytes(await reader.readexactly(HEAD), "big")
    if size > MAX_STATE:
        raise Bad("oversized")
    return await reader.readexactly(size)
