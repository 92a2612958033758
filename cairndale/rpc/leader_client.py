"""How the leader of the duty is found and called: straight, or passed on by a peer where the way is
cut."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from cairndale.errors import (
    CallError,
    CallTimeoutError,
    FaultCode,
    RejectedError,
    StaleCallError,
    UnreachableError,
)
from cairndale.events import Event, log_event
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import KINDS, DuplicateSafety
from cairndale.rpc.compression import unpack
from cairndale.rpc.peer import RpcPeer

AVOID = (1.0, 8.0)  # s that a door that did not answer is gone around: at first, and at most
PAUSE = (0.03, 0.12)  # s between tries while nobody holds the duty
TRIES = 24


class LeaderClient:
    def __init__(
        self, rpc_peer: RpcPeer, cores: Callable[[], list[str]], peers: Callable[[], list[str]]
    ) -> None:
        """`cores`: doors where the duty may be held; `peers`: those that may pass calls on."""
        self._rpc_peer, self._cores, self._peers = rpc_peer, cores, peers
        self.hint = ""
        self._turn, self._id = (
            random.getrandbits(16),
            0,
        )  # those that start together do not all dial the same
        self._bad: dict[
            str, tuple[float, float]
        ] = {}  # by door: until when, and for how long that was

    def _next(self) -> str:
        cores = [d for d in self._cores() if d != self._rpc_peer.own]
        if not cores:
            raise UnreachableError("no core machine is known")
        self._turn += 1
        return cores[self._turn % len(cores)]

    def _is_bad(self, address: str, now: float) -> bool:
        return self._bad.get(address, (0.0, 0.0))[0] > now

    def _avoid(self, address: str, now: float) -> None:
        span = min(AVOID[1], 2 * self._bad[address][1]) if address in self._bad else AVOID[0]
        self._bad[address] = (now + span * random.uniform(0.8, 1.2), span)

    def _way(self, address: str, now: float) -> str:
        """Whom to call, so that the call gets to that door."""
        if not self._is_bad(address, now):
            return address
        own = (address, self._rpc_peer.own)
        others = [d for d in self._peers() if d not in own and not self._is_bad(d, now)]
        return random.choice(others) if others else address

    def tell(self, envelope: pb.Envelope) -> None:
        """To the leader, as it is known; may be lost, and means nothing to a later one."""
        envelope.term = self._rpc_peer.fence.newest
        if self.hint:
            self._rpc_peer.tell(self.hint, envelope)

    async def _rest(self, pause: float, end: float) -> None:
        """Not beyond the end of the call: whoever waits for it is to hear in time that it
        failed."""
        await asyncio.sleep(min(pause, max(0.0, end - self._rpc_peer.now())))

    async def call(self, envelope: pb.Envelope, within: float, patience: float) -> pb.Envelope:
        """The leader's answer, in `within` seconds over all tries and `patience` for one. Raises
        CallError. The call may reach the leader more than once, and late: `KINDS` says what
        each kind bears that by. A word of an older leader than one that was heard is no answer."""
        kind = KINDS[envelope.WhichOneof("body") or ""]
        if kind.repeat is DuplicateSafety.REMEMBERED:
            self._id += 1
            envelope.request_id = self._id
        rpc_peer = self._rpc_peer
        end = rpc_peer.now() + within
        failure: CallError = UnreachableError()
        for _ in range(TRIES):
            now = rpc_peer.now()
            if now >= end:
                break
            address = self.hint or self._next()
            way = self._way(address, now)
            made = pb.Envelope()
            made.CopyFrom(envelope)
            made.term = rpc_peer.fence.newest
            if way != address:
                made.forward_to = address
            try:
                answer = await rpc_peer.call(way, made, min(patience, end - now))
            except CallError as error:
                failure = error
                if isinstance(error, RejectedError | StaleCallError):
                    raise  # the leader has said so
                if isinstance(error, UnreachableError | CallTimeoutError):
                    self._avoid(way, rpc_peer.now())
                    if way != address or not self._peers():
                        self.hint = ""
                await self._rest(random.uniform(*PAUSE) / 2, end)
                continue
            self._bad.pop(way, None)
            if answer.fault_code == FaultCode.NOT_LEADER:
                self.hint = answer.forward_to if answer.forward_to != address else ""
                if not self.hint:
                    await self._rest(random.uniform(*PAUSE), end)
                continue
            if rpc_peer.outdated(answer, address):
                failure, self.hint = CallTimeoutError("an older leader's word"), ""
                await self._rest(random.uniform(*PAUSE), end)
                continue
            try:
                unpack(answer.watch_response)
            except (
                ValueError
            ) as error:  # whoever leads has answered: it is asked anew, not believed
                log_event(Event.MALFORMED_FRAME, "%s: %s", address, error)
                failure = CallTimeoutError(str(error))
                await self._rest(random.uniform(*PAUSE), end)
                continue
            self.hint = address
            return answer
        raise failure
