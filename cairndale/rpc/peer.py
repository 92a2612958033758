"""Calls between the system's own processes, with forwarding for those that are cut off.

A call that fails says whether the other side may have acted on it (`CallError.may_have_run`). An
answer is accepted on the connection that its call went out on, and on no other. Every wait has a
limit and every queue a bound; a connection on which nothing is acknowledged is given up, as it
would hang behind a network partition.

The parts: `ConnectionPool` dials and queues, `PendingCalls` holds the calls in flight,
`InboundQueue` the calls of others, `handshake` verifies who is at the other end.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from cairndale.errors import (
    CallError,
    CallTimeoutError,
    FaultCode,
    UnreachableError,
    error_for_code,
)
from cairndale.events import Event
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import TermFence
from cairndale.rpc.connection_pool import ConnectionPool
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.handshake import hello_error, system_error
from cairndale.rpc.inbound_queue import InboundQueue
from cairndale.rpc.listener import Listener
from cairndale.rpc.pending_calls import PendingCall, PendingCalls
from cairndale.rpc.rejection_log import RejectionLog
from cairndale.settings import Address, format_address

FORWARD_TIMEOUT_S = 2.0  # for the answer to a call that is forwarded

CallHandler = Callable[[pb.Envelope], Awaitable[pb.Envelope]]
MessageHandler = Callable[[pb.Envelope], None]


class RpcPeer:
    """One process of the system, as the others call it and as it calls them.

    Args:
        own: the address that it listens on, by which the others know it.
        handle_message: takes an envelope that wants no answer.
        handle_call: answers a call; a `CallError` that it raises becomes the answer's fault code.

    Attributes:
        own_address: `own` in text.
        incarnation: drawn at random for this start of the process.
        system: the system's name; empty: not known yet.
        fence: the newest term of which a leader's message was accepted.
        on_disconnect: called with the address, once a connection dialled to it has ended.
        connection_class: what new connections are made as.
    """

    def __init__(
        self, own: Address, handle_message: MessageHandler, handle_call: CallHandler
    ) -> None:
        self._listen_address = own
        self._handle_message, self._handle_call = handle_message, handle_call
        self._loop = asyncio.get_running_loop()
        self.own_address = format_address(own)
        self.incarnation = f"{random.getrandbits(48):x}"
        self.system = ""
        self.fence = TermFence()
        self.on_disconnect: Callable[[str], None] = lambda address: None
        self.connection_class = FramedConnection
        self._pending = PendingCalls()
        self._pool = ConnectionPool(
            lambda address: self.connection_class(self, address), self._pending
        )
        self._inbound = InboundQueue(self._respond)
        self._rejections = RejectionLog(self.now)
        self._open: set[FramedConnection] = set()  # dialled and accepted
        self._listener: Listener | None = None

    @property
    def rejected(self) -> dict[str, int]:
        """How many were rejected of what others sent, by the kind of rejection."""
        return self._rejections.counts

    def now(self) -> float:
        """Seconds on the event loop's clock."""
        return self._loop.time()

    async def listen(self) -> None:
        """Accept connections. Raises OSError where the address is not free."""
        self._listener = Listener(self._listen_address, lambda: self.connection_class(self))

    def stop(self) -> None:
        """End all connections and cancel all work on calls of others."""
        if self._listener:
            self._listener.close()
        for connection in list(self._open):
            connection.abort()
        self._pool.close()
        self._inbound.close()

    # Connections and the handshake (`ConnectionOwner`).

    def connection_opened(self, connection: FramedConnection) -> None:
        """Keep a connection until it ends."""
        self._open.add(connection)

    def hello_received(self, connection: FramedConnection, hello: pb.Hello) -> bool:
        """Verify who is at the other end; False if the connection was ended over it.

        A process that knows no name of its system learns it from those it has dialled: it was
        configured with their addresses. From those that have dialled it, it does not.
        """
        dialled_address = connection.dialled_address
        if reason := hello_error(
            hello,
            own_address=self.own_address,
            dialled_address=dialled_address,
            own_system=self.system,
        ):
            self._reject_foreign(connection, reason)
            return False
        if dialled_address:
            self._pool.reset_backoff(dialled_address)
        if hello.system and not self.system:
            if dialled_address:
                self.set_system_name(hello.system)
            elif not connection.handshake_done:
                connection.is_untrusted = True
        connection.handshake_done = True
        return True

    def set_system_name(self, name: str) -> None:
        """Know the system's name from now on.

        All connected processes are notified, and connections to another system are ended.
        """
        if name == self.system:
            return
        self.system = name
        for connection in list(self._open):
            connection.is_untrusted = False
            if connection.peer and (reason := system_error(connection.peer, name)):
                self._reject_foreign(connection, reason)
            else:
                connection.resend_hello()

    def _reject_foreign(self, connection: FramedConnection, reason: str) -> None:
        self._rejections.add("foreign", Event.FOREIGN_PEER, reason)
        if connection.dialled_address:
            self._pool.back_off(connection.dialled_address)
        connection.abort()

    def protocol_error(self, connection: FramedConnection, reason: str) -> None:
        """End a connection whose other side broke the protocol."""
        self._rejections.add("malformed", Event.MALFORMED_FRAME, reason)
        connection.abort()

    def connection_closed(self, connection: FramedConnection) -> None:
        """Forget a connection and fail the calls that went out on it."""
        self._open.discard(connection)
        if connection.dialled_address and self._pool.connection_closed(connection):
            self.on_disconnect(connection.dialled_address)
        self._pending.connection_closed(connection)

    # Fencing.

    def is_stale(self, envelope: pb.Envelope, address: str) -> bool:
        """Whether a leader's answer is of an older term than one that was accepted before.

        Such an answer must not be acted upon. Else its term is the newest from now on.
        """
        if envelope.fault_code or self.fence.admits(envelope.term):
            return False
        reason = f"{envelope.term} at {address}, after {self.fence.newest}"
        self._rejections.add("stale", Event.STALE_TERM, reason)
        return True

    # What others send.

    def envelope_received(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        """Resolve a call of this process, queue one of another, or hand on a message."""
        if envelope.is_answer:
            if not self._pending.answered(connection, envelope):
                self._rejections.counts["unsolicited"] += 1
        elif envelope.call_id:
            if not self._inbound.put(connection, envelope):
                connection.write(_answer_to(envelope.call_id, FaultCode.QUEUE_FULL))
        elif connection.is_untrusted:
            self._rejections.counts["untrusted"] += 1
        else:
            self._handle_message(envelope)

    async def _respond(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        call_id = envelope.call_id
        caller = connection.peer.incarnation if connection.peer else ""
        try:
            if envelope.forward_to and envelope.forward_to != self.own_address:
                answer = await self._forward(envelope, caller)
            else:
                envelope.origin = envelope.origin or caller
                answer = await self._handle_call(envelope)
        except CallError as error:
            answer = pb.Envelope(fault_code=error.code)
        answer.call_id, answer.is_answer = call_id, True
        connection.write(answer)

    async def _forward(self, envelope: pb.Envelope, caller: str) -> pb.Envelope:
        address, envelope.forward_to, envelope.origin = envelope.forward_to, "", caller
        answer = await self.call(address, envelope, FORWARD_TIMEOUT_S)
        if self.is_stale(answer, address):
            raise CallTimeoutError("an older leader's answer")
        return answer

    # What this process sends.

    def send(self, address: str, envelope: pb.Envelope) -> None:
        """Send a message that wants no answer. It may be lost, and nobody hears of that."""
        self._pool.send(address, envelope)

    async def call(self, address: str, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        """The answer to a call, within `timeout_s` seconds.

        The answer may have the fault code NOT_LEADER, which tells where the leader is.

        Raises:
            UnreachableError: the call was not sent; it has not run.
            QueueFullError: too much waits for that address, here or there; it has not run.
            CallTimeoutError: no answer in time, or the connection broke; it may have run.
            CallError: another class, by the fault code that the other side answered.
        """
        call = self._pending.begin(envelope, self.now())
        try:
            self._pool.send(address, envelope)
            async with asyncio.timeout(timeout_s):
                answer = await call.response
        except TimeoutError:
            raise self._timed_out(call, address) from None
        finally:
            self._pending.end(call)
        if answer.fault_code and answer.fault_code != FaultCode.NOT_LEADER:
            raise error_for_code(answer.fault_code, address)
        return answer

    def _timed_out(self, call: PendingCall, address: str) -> CallError:
        """End a connection on which nothing has come since the call went out."""
        if call.connection is None:
            return UnreachableError(address)
        if call.connection.last_received_at < call.started_at:
            call.connection.abort()
        return CallTimeoutError(address)


def _answer_to(call_id: int, code: FaultCode) -> pb.Envelope:
    return pb.Envelope(call_id=call_id, is_answer=True, fault_code=code)
