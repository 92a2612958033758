"""How the leader of the duty is found and called: straight, or passed on by a peer where the way is
cut."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from cairndale.errors import Code, SystemFailure
from cairndale.events import Event, note
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import KINDS, Repeat
from cairndale.rpc.compression import unpack
from cairndale.rpc.peer import Wings

AVOID = (1.0, 8.0)  # s that a door that did not answer is gone around: at first, and at most
PAUSE = (0.03, 0.12)  # s between tries while nobody holds the duty
TRIES = 24


class Reach:
    def __init__(
        self, wings: Wings, cores: Callable[[], list[str]], peers: Callable[[], list[str]]
    ) -> None:
        """`cores`: doors where the duty may be held; `peers`: those that may pass calls on."""
        self._wings, self._cores, self._peers = wings, cores, peers
        self.hint = ""
        self._turn, self._id = (
            random.getrandbits(16),
            0,
        )  # those that start together do not all dial the same
        self._bad: dict[
            str, tuple[float, float]
        ] = {}  # by door: until when, and for how long that was

    def _next(self) -> str:
        cores = [d for d in self._cores() if d != self._wings.own]
        if not cores:
            raise SystemFailure(Code.UNREACHABLE, "no core machine is known")
        self._turn += 1
        return cores[self._turn % len(cores)]

    def _is_bad(self, door: str, now: float) -> bool:
        return self._bad.get(door, (0.0, 0.0))[0] > now

    def _avoid(self, door: str, now: float) -> None:
        span = min(AVOID[1], 2 * self._bad[door][1]) if door in self._bad else AVOID[0]
        self._bad[door] = (now + span * random.uniform(0.8, 1.2), span)

    def _way(self, door: str, now: float) -> str:
        """Whom to call, so that the call gets to that door."""
        if not self._is_bad(door, now):
            return door
        own = (door, self._wings.own)
        others = [d for d in self._peers() if d not in own and not self._is_bad(d, now)]
        return random.choice(others) if others else door

    def tell(self, envelope: pb.Envelope) -> None:
        """To the leader, as far as it is known; may be lost, and means nothing to a later one."""
        envelope.term = self._wings.fence.newest
        if self.hint:
            self._wings.tell(self.hint, envelope)

    async def _rest(self, pause: float, end: float) -> None:
        """Not beyond the end of the call: whoever waits for it is to hear in time that it
        failed."""
        await asyncio.sleep(min(pause, max(0.0, end - self._wings.now())))

    async def call(self, envelope: pb.Envelope, within: float, patience: float) -> pb.Envelope:
        """The leader's answer, in `within` seconds over all tries and `patience` for one. Raises
        SystemFailure. The call may reach the leader more than once, and late: `KINDS` says what
        each kind bears that by. A word of an older leader than one that was heard is no answer."""
        kind = KINDS[envelope.WhichOneof("body") or ""]
        if kind.repeat is Repeat.REMEMBERED:
            self._id += 1
            envelope.id = self._id
        end, wings, failure = (
            self._wings.now() + within,
            self._wings,
            SystemFailure(Code.UNREACHABLE),
        )
        for _ in range(TRIES):
            now = wings.now()
            if now >= end:
                break
            door = self.hint or self._next()
            way = self._way(door, now)
            made = pb.Envelope()
            made.CopyFrom(envelope)
            made.term = wings.fence.newest
            if way != door:
                made.pass_to = door
            try:
                answer = await wings.call(way, made, min(patience, end - now))
            except SystemFailure as error:
                failure = error
                if error.code in (Code.REFUSED, Code.STALE):
                    raise  # the leader has said so
                if error.code in (Code.UNREACHABLE, Code.SILENT):
                    self._avoid(way, wings.now())
                    if way != door or not self._peers():
                        self.hint = ""
                await self._rest(random.uniform(*PAUSE) / 2, end)
                continue
            self._bad.pop(way, None)
            if answer.fault == Code.NOT_LEADER:
                self.hint = answer.pass_to if answer.pass_to != door else ""
                if not self.hint:
                    await self._rest(random.uniform(*PAUSE), end)
                continue
            if wings.outdated(answer, door):
                failure, self.hint = SystemFailure(Code.SILENT, "an older leader's word"), ""
                await self._rest(random.uniform(*PAUSE), end)
                continue
            try:
                unpack(answer.cue)
            except (
                ValueError
            ) as error:  # whoever leads has said something: it is asked anew, not believed
                note(Event.GARBLED_FRAME, "%s: %s", door, error)
                failure = SystemFailure(Code.SILENT, str(error))
                await self._rest(random.uniform(*PAUSE), end)
                continue
            self.hint = door
            return answer
        raise failure
