"""Calls of this process that wait for their answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from cairndale.errors import CallError, CallTimeoutError
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection


@dataclass(slots=True)
class PendingCall:
    """One call in flight.

    Attributes:
        id: the same in the call's envelope and its answer's.
        response: becomes the answer's envelope, or a `CallError`.
        started_at: seconds on the process's clock.
        connection: the one the call went out on; None while it was not sent.
    """

    id: int
    response: asyncio.Future[pb.Envelope]
    started_at: float
    connection: FramedConnection | None = None

    def fail(self, error: CallError) -> None:
        """End the call, unless it has ended already."""
        if not self.response.done():
            self.response.set_exception(error)


class PendingCalls:
    """Calls in flight by their id.

    An answer is accepted only on the connection that its call went out on, which leads to one
    incarnation of one process. Ids begin at a random number, so that two incarnations of this
    process do not use the same ones.
    """

    def __init__(self) -> None:
        self._calls: dict[int, PendingCall] = {}
        self._last_id = random.getrandbits(27)

    def begin(self, envelope: pb.Envelope, now: float) -> PendingCall:
        """Give a call its id and wait for its answer; each is to be ended by `end`."""
        self._last_id += 1
        envelope.call_id = self._last_id
        response: asyncio.Future[pb.Envelope] = asyncio.get_running_loop().create_future()
        self._calls[self._last_id] = call = PendingCall(self._last_id, response, now)
        return call

    def end(self, call: PendingCall) -> None:
        """Forget a call: an answer that comes later is not accepted."""
        del self._calls[call.id]

    def of(self, envelope: pb.Envelope) -> PendingCall | None:
        """The call that this envelope asks; None for an answer and for what wants no answer."""
        if envelope.is_answer or not envelope.call_id:
            return None
        return self._calls.get(envelope.call_id)

    def fail(self, envelope: pb.Envelope, error: CallError) -> None:
        """End the call of an envelope that could not be sent; nothing if it is no call."""
        if call := self.of(envelope):
            call.fail(error)

    def answered(self, connection: FramedConnection, answer: pb.Envelope) -> bool:
        """Resolve a call; False if it is late or came on another connection."""
        call = self._calls.get(answer.call_id)
        if call is None or call.connection is not connection:
            return False
        if not call.response.done():
            call.response.set_result(answer)
        return True

    def connection_closed(self, connection: FramedConnection) -> None:
        """Fail each call that went out on it: the other side may have acted on them."""
        for call in list(self._calls.values()):
            if call.connection is connection:
                call.fail(CallTimeoutError("the connection broke"))
