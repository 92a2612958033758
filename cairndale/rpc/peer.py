"""Connections between the system's own processes: calls with answers, passing on for who is cut
off.

A call that fails says whether the other side may have acted on it (`CallError.may_have_run`).
An answer is taken on the connection that its call went out on, which leads to one life of one
process, and on no other. Every wait is limited, every queue bounded; a connection on which nothing
is acknowledged is given up, as behind a cut it would hang."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cairndale.errors import (
    CallError,
    CallTimeoutError,
    FaultCode,
    QueueFullError,
    UnreachableError,
    error_for_code,
)
from cairndale.events import Event, log_event
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import TermFence
from cairndale.rpc.framing import FORMAT, FramedConnection
from cairndale.rpc.listener import Listener
from cairndale.settings import Address, format_address

# s for a connection to come up: what goes to a machine that is dark is not sent again for seconds
DIAL = 0.3
PAUSE = (0.05, 0.4)  # s between dials of a door that fail: the first, the longest
# calls of others that are worked on at once: an ask of each ingress is kept, and after a
CALLERS = 16_384
# start of all one of each of their lives before
# calls of others that are begun in one turn of the loop: a leader's own beats are due in each
BEGUN = 32
DIALLED = 256  # envelopes that wait for one connection to come up
PASSED = 2.0  # s for the answer to a call that is passed on
REMARK = 5.0  # s between two lines of the log about the same kind of foreign word

Handler = Callable[[pb.Envelope], Awaitable[pb.Envelope]]
Hearer = Callable[[pb.Envelope], None]


@dataclass(slots=True)
class _Waiting:
    future: asyncio.Future[pb.Envelope]
    frames: FramedConnection | None  # the connection it went out on; None: not yet
    sent_at: float


class RpcPeer:
    def __init__(self, own: Address, hear: Hearer, handle: Handler) -> None:
        """`hear` takes what wants no answer, `handle` answers calls."""
        self.own, self._hear, self._handle = format_address(own), hear, handle
        self._at = own
        self._loop = asyncio.get_running_loop()
        self._made: dict[str, FramedConnection] = {}  # by the door they lead to
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._pause: dict[
            str, tuple[float, float]
        ] = {}  # by door: not before, and the pause after that
        self._all: set[FramedConnection] = set()
        self._queued: dict[str, list[pb.Envelope]] = {}  # until a dial is up
        self._calls: dict[int, _Waiting] = {}
        self._next = random.getrandbits(27)  # two lives do not count alike
        self.life = f"{random.getrandbits(48):x}"
        self.system = ""  # its name, once it is known
        self.fence = TermFence()
        self._remarks: dict[
            Event, tuple[float, int]
        ] = {}  # not before when, and how many were left out
        self.lost: Callable[[str], None] = lambda address: (
            None
        )  # told when a connection to a door has ended
        self._tasks: set[asyncio.Task[None]] = set()
        self._come: deque[tuple[FramedConnection, pb.Envelope]] = (
            deque()
        )  # calls of others that are not begun yet
        self._turn: asyncio.Handle | None = None  # the next one in which some of them are
        self._server: Listener | None = None
        self.counts: dict[str, int] = {}  # of what was refused, by why
        self.frames = FramedConnection  # what connections are made as

    def now(self) -> float:
        return self._loop.time()

    async def listen(self) -> None:
        self._server = Listener(self._at, lambda: self.frames(self))

    def stop(self) -> None:
        if self._server:
            self._server.close()
        for frames in list(self._all):
            frames.drop()
        for task in [*self._dials.values(), *self._tasks]:
            task.cancel()
        if self._turn:
            self._turn.cancel()

    # Connections.

    def opened(self, frames: FramedConnection) -> None:
        self._all.add(frames)

    def greeted(self, frames: FramedConnection) -> bool:
        """Who has no name for its system yet may be new to this one. Who has none itself learns it
        from those it dialled: it was told of them."""
        peer = frames.peer
        assert peer
        if peer.format != FORMAT:
            return self._foreign(frames, f"format {peer.format}, where {FORMAT} is known")
        is_for_us = peer.address == frames.address if frames.address else peer.recipient == self.own
        if not (peer.incarnation and peer.address and is_for_us):
            return self._foreign(
                frames, f"{peer.address or 'nobody'} to {peer.recipient or frames.address}"
            )
        if peer.system and self.system and peer.system != self.system:
            return self._foreign(frames, f"system {peer.system}, where this one is {self.system}")
        if frames.address:
            self._pause.pop(frames.address, None)
        if peer.system and not self.system:
            if frames.address:
                self.name_system(peer.system)
            elif not frames.was_greeted:
                frames.is_strange = True
        frames.was_greeted = True
        return True

    def name_system(self, name: str) -> None:
        """The name is known from now on: all who are connected hear of it, and who is of another is
        left."""
        if name == self.system:
            return
        self.system = name
        for frames in list(self._all):
            frames.is_strange = False
            if frames.peer and frames.peer.system not in ("", name):
                self._foreign(frames, f"system {frames.peer.system}, where this one is {name}")
            else:
                frames.regreet()

    def _foreign(self, frames: FramedConnection, why: str) -> bool:
        self._refuse("foreign", Event.FOREIGN_PEER, why)
        if frames.address:
            self._pause_dials(frames.address)
        frames.drop()
        return False

    def garbled(self, frames: FramedConnection, why: str) -> None:
        self._refuse("garbled", Event.MALFORMED_FRAME, why)
        frames.drop()

    def outdated(self, envelope: pb.Envelope, address: str) -> bool:
        """A leader's word of an older term than one that was heard: nothing is to come of it."""
        if envelope.fault_code or self.fence.admits(envelope.term):
            return False
        self._refuse(
            "outdated", Event.STALE_TERM, f"{envelope.term} at {address}, after {self.fence.newest}"
        )
        return True

    def _refuse(self, what: str, event: Event, why: str) -> None:
        """Counted; told of at a bounded rate, as whoever sends it may go on."""
        self.counts[what] = self.counts.get(what, 0) + 1
        due, left_out = self._remarks.get(event, (0.0, 0))
        if self.now() < due:
            self._remarks[event] = (due, left_out + 1)
            return
        self._remarks[event] = (self.now() + REMARK, 0)
        log_event(event, "%s%s", why, f" ({left_out} more before)" if left_out else "")

    def closed(self, frames: FramedConnection) -> None:
        self._all.discard(frames)
        if (
            frames.address and frames.peer is None
        ):  # it was not let in, or nobody is there: not dialled at once
            self._pause_dials(frames.address)
        if frames.address and self._made.get(frames.address) is frames:
            del self._made[frames.address]
            self.lost(frames.address)
        for waiting in list(self._calls.values()):
            if waiting.frames is frames and not waiting.future.done():
                waiting.future.set_exception(CallTimeoutError("the connection broke"))

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(DIAL):
                _, made = await self._loop.create_connection(
                    lambda: self.frames(self, address), host, int(port)
                )
            if made.transport is None:  # it came up and ended before this went on
                raise ConnectionResetError
        except (OSError, TimeoutError):
            self._pause_dials(address)
            for envelope in self._queued.pop(address, ()):
                self._fail(envelope, UnreachableError(address))
            return
        finally:
            self._dials.pop(address, None)
        self._made[address] = made
        for envelope in self._queued.pop(address, ()):
            self._write(made, envelope)

    def _pause_dials(self, address: str) -> None:
        pause = self._pause.get(address, (0.0, PAUSE[0]))[1]
        self._pause[address] = (
            self.now() + pause * (0.5 + random.random()),
            min(PAUSE[1], pause * 2),
        )

    def _write(self, frames: FramedConnection, envelope: pb.Envelope) -> None:
        waiting = (
            self._calls.get(envelope.call_id)
            if envelope.call_id and not envelope.is_answer
            else None
        )
        if frames.write(envelope):
            if waiting:
                waiting.frames = frames
        elif waiting and not waiting.future.done():
            waiting.future.set_exception(QueueFullError(frames.address))

    def _fail(self, envelope: pb.Envelope, error: CallError) -> None:
        """A call of ours was not sent."""
        waiting = self._calls.get(envelope.call_id) if envelope.call_id else None
        if waiting and not waiting.future.done():
            waiting.future.set_exception(error)

    def _send(self, address: str, envelope: pb.Envelope) -> None:
        if made := self._made.get(address):
            self._write(made, envelope)
            return
        if self._pause.get(address, (0.0, 0.0))[0] > self.now():
            self._fail(envelope, UnreachableError(address))
            return
        queue = self._queued.setdefault(address, [])
        if len(queue) < DIALLED:
            queue.append(envelope)
        else:
            self._fail(envelope, QueueFullError(address))
        if address not in self._dials:
            self._dials[address] = self._loop.create_task(self._dial(address))

    # What others send.

    def came(self, frames: FramedConnection, envelope: pb.Envelope) -> None:
        if envelope.is_answer:
            waiting = self._calls.get(envelope.call_id)
            if (
                waiting is None or waiting.frames is not frames
            ):  # late, or by one that was not asked
                self.counts["unasked"] = self.counts.get("unasked", 0) + 1
            elif not waiting.future.done():
                waiting.future.set_result(envelope)
        elif envelope.call_id:
            if len(self._tasks) + len(self._come) >= CALLERS:
                frames.write(
                    pb.Envelope(
                        call_id=envelope.call_id, is_answer=True, fault_code=FaultCode.QUEUE_FULL
                    )
                )
                return
            self._come.append((frames, envelope))
            if self._turn is None:
                self._turn = self._loop.call_soon(self._begin_some)
        elif frames.is_strange:
            self.counts["strange"] = self.counts.get("strange", 0) + 1
        else:
            self._hear(envelope)

    def _begin_some(self) -> None:
        """Some of the calls that have come, and the others in later turns."""
        self._turn = None
        for _ in range(min(BEGUN, len(self._come))):
            task = self._loop.create_task(self._answer(*self._come.popleft()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._come:
            self._turn = self._loop.call_soon(self._begin_some)

    async def _answer(self, frames: FramedConnection, envelope: pb.Envelope) -> None:
        call, life = envelope.call_id, frames.peer.incarnation if frames.peer else ""
        try:
            if envelope.forward_to and envelope.forward_to != self.own:
                address, envelope.forward_to, envelope.origin = envelope.forward_to, "", life
                answer = await self.call(address, envelope, PASSED)
                if self.outdated(answer, address):
                    raise CallTimeoutError("an older leader's word")
            else:
                envelope.origin = envelope.origin or life
                answer = await self._handle(envelope)
        except CallError as failure:
            answer = pb.Envelope(fault_code=failure.code)
        answer.call_id, answer.is_answer = call, True
        frames.write(answer)

    # What we send.

    def tell(self, address: str, envelope: pb.Envelope) -> None:
        """Wants no answer, and may be lost."""
        self._send(address, envelope)

    async def call(self, address: str, envelope: pb.Envelope, within: float) -> pb.Envelope:
        """The answer, within so many seconds. Raises CallError."""
        self._next += 1
        number = envelope.call_id = self._next
        future: asyncio.Future[pb.Envelope] = self._loop.create_future()
        self._calls[number] = waiting = _Waiting(future, None, self.now())
        try:
            self._send(address, envelope)
            async with asyncio.timeout(within):
                answer = await future
        except TimeoutError:
            if (frames := waiting.frames) is None:
                raise UnreachableError(address) from None
            if frames.heard_at < waiting.sent_at:
                frames.drop()
            raise CallTimeoutError(address) from None
        finally:
            del self._calls[number]
        if answer.fault_code and answer.fault_code != FaultCode.NOT_LEADER:
            raise error_for_code(answer.fault_code, address)
        return answer
