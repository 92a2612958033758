"""Outbound calls in flight."""

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
        id: the same in the envelopes of the call and of its answer.
        response: resolves to the answer's envelope, or to a `CallError`.
        started_at: seconds on the process's clock.
        connection: the connection that the call was sent on; None before that.
    """

    id: int
    response: asyncio.Future[pb.Envelope]
    started_at: float
    connection: FramedConnection | None = None

    def fail(self, error: CallError) -> None:
        """Fail the call, unless it has been resolved already."""
        if not self.response.done():
            self.response.set_exception(error)


class PendingCalls:
    """Calls in flight by their id.

    An answer is accepted only on the connection that its call was sent on, which leads to one
    incarnation of one process. Ids start at a random number, so that two incarnations of this
    process do not use the same ids.
    """

    def __init__(self) -> None:
        self._calls: dict[int, PendingCall] = {}
        self._last_id = random.getrandbits(27)

    def begin(self, envelope: pb.Envelope, now: float) -> PendingCall:
        """Assign an id to a call and register it. The caller must finish it with `end`."""
        self._last_id += 1
        envelope.call_id = self._last_id
        response: asyncio.Future[pb.Envelope] = asyncio.get_running_loop().create_future()
        self._calls[self._last_id] = call = PendingCall(self._last_id, response, now)
        return call

    def end(self, call: PendingCall) -> None:
        """Remove a call: a later answer is not accepted."""
        del self._calls[call.id]

    def of(self, envelope: pb.Envelope) -> PendingCall | None:
        """Return the pending call of an envelope; None for answers and one-way messages."""
        if envelope.is_answer or not envelope.call_id:
            return None
        return self._calls.get(envelope.call_id)

    def fail(self, envelope: pb.Envelope, error: CallError) -> None:
        """Fail the call of an envelope that could not be sent; do nothing if it is not a call."""
        if call := self.of(envelope):
            call.fail(error)

    def answered(self, connection: FramedConnection, answer: pb.Envelope) -> bool:
        """Resolve a call; return False if the answer is late or came on another connection."""
        call = self._calls.get(answer.call_id)
        if call is None or call.connection is not connection:
            return False
        if not call.response.done():
            call.response.set_result(answer)
        return True

    def connection_closed(self, connection: FramedConnection) -> None:
        """Fail each call that was sent on the connection; the other side may have run them."""
        for call in list(self._calls.values()):
            if call.connection is connection:
                call.fail(CallTimeoutError("the connection broke"))
