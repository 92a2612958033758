"""The leader's answers to asks: who is told what is new, when, and in which order.

An ask is kept until there is news for it or its hold is over. Changes that come close together are
told together, as each wakes all asks; what is told in a second is bounded, so that it neither fills
the leader's link, behind which the log's beats would wait, nor its processor; those who have
nothing come first. Whoever is not reached in time has its lease renewed and asks again: nothing
that was made for it is thrown away."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import random
from dataclasses import dataclass
from typing import Protocol

from cairndale.configuration.state import Command, State, Verb
from cairndale.control.leadership import Leadership
from cairndale.errors import CallError, CallTimeoutError, QueueFullError, StaleCallError
from cairndale.rpc import protocol_pb2 as pb

LONGEST = 5.0  # s, at the most, that an ask is kept
LATE = 1.0  # s beyond its hold after which an ask is given up
# s, for each ingress, between two rounds in which all are told of servers and nodes ...
GATHER_EACH = 0.0015
GATHER_MOST = 0.5  # ... and no more than so many
BYTES_PER_S = 7_500_000  # told in a second, over a while; half of a link of 120 Mbit/s ...
BYTES = 400_000  # ... and at once
AT_ONCE = 16  # answers made before others have a turn
JOINING = 0.02  # s in which those who come at the same time are enrolled together
ENROLLED = 3.0  # s for which an ask waits for a round of enrolment
STRIKE = 10.0  # s between looks for ingresses that hold no lease any longer


class Leader(Protocol):
    """The process whose duty it is, if it is."""

    @property
    def state(self) -> State: ...
    @property
    def leadership(self) -> Leadership | None: ...
    def now(self) -> float: ...
    def require_leadership(self) -> Leadership:
        """Raises CallError where the duty is not held, or no longer."""

    async def decide(self, command: Command) -> bool:
        """Raises CallError where it is not known what became of it."""

    def notify_change(self) -> None: ...


def gather(edges: int) -> float:
    """s between two rounds of news, with so many ingresses."""
    return min(GATHER_MOST, GATHER_EACH * edges)


@dataclass(slots=True, eq=False)
class _PendingWatch:
    ask: pb.WatchRequest
    until: float
    since: float  # when it first asked for what it has not been told yet
    future: asyncio.Future[pb.WatchResponse]


class WatchServer:
    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._kept: dict[_PendingWatch, None] = {}  # in the order in which they came
        self._newest: dict[
            str, _PendingWatch
        ] = {}  # by name: no other ask of the same one is waited for any longer
        self._ends: list[tuple[float, int, _PendingWatch]] = []  # a heap
        self._ready: list[_PendingWatch] = []  # there is news for these
        self._in_order = True  # they are
        self._since: dict[
            str, float
        ] = {}  # by name: when it first asked for what it has not been told yet
        self._count = 0
        self._woken = asyncio.Event()
        self._changed = False  # since the last round
        self._round_at = float("-inf")
        self._told: tuple[str, int, bool] = ("", -1, False)
        self._room, self._room_at = float(BYTES), float("-inf")  # bytes that may be told now
        self._joining: set[str] = set()
        self._enrolling = False
        self._enrolled = asyncio.Event()  # set when a round of enrolment is over
        self._striking: set[str] = (
            set()
        )  # no lease is granted to these until it is known what became of that
        self._edges: tuple[list[str], frozenset[str]] = ([], frozenset())

    def wake(self) -> None:
        """Something has changed."""
        self._changed = True
        self._woken.set()

    async def ask(self, ask: pb.WatchRequest) -> pb.WatchResponse:
        """Raises CallError."""
        leader = self._leader
        leader.require_leadership()
        if not ask.HasField("node") or ask.node.kind == "edge":
            await self._enrol(ask.name or ask.node.name)
        leadership, now = leader.require_leadership(), leader.now()
        if leadership.asked(now, ask):
            leader.notify_change()
        until = now + min(LONGEST, ask.wait_ms / 1000)
        since = self._since.setdefault(ask.node.name, now)
        kept = _PendingWatch(ask, until, since, asyncio.get_running_loop().create_future())
        self._kept[kept] = None
        if (before := self._newest.get(ask.node.name)) and not before.future.done():
            before.future.set_exception(StaleCallError("asked anew"))
        self._newest[ask.node.name] = kept
        self._count += 1
        heapq.heappush(self._ends, (until, self._count, kept))
        if self._is_urgent(leadership, ask, now):
            self._ready.append(kept)
            self._in_order = False
            self._woken.set()
        elif leadership.has_news(now, ask, leader.state):
            self.wake()
        elif self._ends[0][2] is kept:
            self._woken.set()
        try:
            async with asyncio.timeout(until - now + LATE):
                return await kept.future
        except TimeoutError:
            raise QueueFullError("too many ask") from None
        finally:
            self._kept.pop(kept, None)
            if self._newest.get(ask.node.name) is kept:
                del self._newest[ask.node.name]

    def _is_urgent(self, leadership: Leadership, ask: pb.WatchRequest, now: float) -> bool:
        """It knows nothing of this term, or another configuration than the one in force."""
        return (
            ask.epoch != leadership.epoch(now) or ask.config_version != self._leader.state.version
        )

    async def run(self) -> None:
        while True:
            self._woken.clear()
            wait = self.turn()
            if wait > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self._woken.wait()
            else:
                await asyncio.sleep(0)

    def turn(self) -> float:
        """Answers whom it is time to; the seconds until the next turn, if nothing changes."""
        now = self._leader.now()
        try:
            leadership = self._leader.require_leadership()
        except CallError as failure:
            for kept in self._kept:
                if not kept.future.done():
                    kept.future.set_exception(type(failure)())
            self._ready, self._ends, self._since = [], [], {}
            self._told = ("", -1, False)
            return LONGEST
        self._look(leadership, now)
        self._room = min(BYTES, self._room + (now - max(self._room_at, now - 1.0)) * BYTES_PER_S)
        self._room_at = now
        waits = [LONGEST]
        if self._ready and self._answer(leadership, now):
            waits.append(0.0)
        elif self._ready:
            waits.append(max(0.001, -self._room / BYTES_PER_S))
        over = bool(self._ends) and self._ends[0][0] <= now
        ready = set(self._ready) if over else set()
        while self._ends and (self._ends[0][0] <= now or self._ends[0][2].future.done()):
            kept = heapq.heappop(self._ends)[2]
            if not kept.future.done():
                if kept not in ready:
                    self._since.pop(kept.ask.node.name, None)
                kept.future.set_result(leadership.renew(now, kept.ask))
        if self._ends:
            waits.append(max(0.001, self._ends[0][0] - now))
        if self._changed:
            waits.append(max(0.001, self._round_at + gather(leadership.shared_by(now)) - now))
        return min(waits)

    def _look(self, leadership: Leadership, now: float) -> None:
        """Sorts out for whom there is news, once for all changes of a while."""
        told = (leadership.epoch(now), self._leader.state.version, leadership.counting)
        if told == self._told and not (
            self._changed and now >= self._round_at + gather(leadership.shared_by(now))
        ):
            return
        self._told, self._changed, self._round_at = told, False, now
        state = self._leader.state
        news = [
            k for k in self._kept if not k.future.done() and leadership.has_news(now, k.ask, state)
        ]
        self._ready, self._in_order = news, False

    def _answer(self, leadership: Leadership, now: float) -> bool:
        """Some of those that are ready; True if others may be answered at once."""
        if not self._in_order:
            self._ready.sort(key=lambda kept: (kept.ask.epoch != "", kept.since))
            self._in_order = True
        at = 0
        for at, kept in enumerate(self._ready):
            if self._room <= 0 or at >= AT_ONCE:
                break
            if not kept.future.done():
                watch_response = leadership.watch_response(now, kept.ask, self._leader.state)
                self._room -= watch_response.ByteSize()
                self._since.pop(kept.ask.node.name, None)
                kept.future.set_result(watch_response)
        else:
            at = len(self._ready)
        del self._ready[:at]
        return bool(self._ready) and self._room > 0

    # Who holds leases.

    def _is_enrolled(self, name: str) -> bool:
        edges = self._leader.state.edges
        if self._edges[0] is not edges:
            self._edges = (edges, frozenset(edges))
        return name in self._edges[1] and name not in self._striking

    async def _enrol(self, name: str) -> None:
        """Who is to hold a lease is known to whoever may have the duty next. Raises
        CallError."""
        while not self._is_enrolled(name):
            if name not in self._striking:
                self._joining.add(name)
            if self._enrolling or name in self._striking:
                try:
                    async with asyncio.timeout(ENROLLED):
                        await self._enrolled.wait()
                except TimeoutError:
                    raise CallTimeoutError("not enrolled yet") from None
            else:
                await self._enrol_all()
            self._leader.require_leadership()

    async def _enrol_all(self) -> None:
        self._enrolling = True
        try:
            await asyncio.sleep(JOINING)
            names, self._joining = tuple(sorted(self._joining - self._striking)), set()
            if names:
                await self._leader.decide(Command(Verb.ENROL, added_nodes=names))
        finally:
            self._enrolling = False
            self._round_of_enrolment_over()

    def _round_of_enrolment_over(self) -> None:
        over, self._enrolled = self._enrolled, asyncio.Event()
        over.set()

    async def strike(self) -> None:
        """Those long gone are enrolled no longer."""
        while True:
            await asyncio.sleep(STRIKE * random.uniform(0.8, 1.2))
            if leadership := self._leader.leadership:
                gone = tuple(
                    n for n in self._leader.state.edges if n not in leadership.node_registry.leases
                )
                self._striking = set(gone)
                with contextlib.suppress(CallError):
                    if gone:
                        await self._leader.decide(Command(Verb.ENROL, removed_nodes=gone))
                        self._striking = set()
                self._round_of_enrolment_over()
