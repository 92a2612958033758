"""Calls between the system's own processes, with forwarding for partitioned ones.

A failed call says whether the other side may have processed it (`CallError.may_have_run`). An
answer is accepted only on the connection that its call was sent on. Every wait has a timeout and
every queue is bounded; a connection on which nothing is acknowledged is closed, as it would hang
behind a network partition.

Components: `ConnectionPool` dials and queues, `PendingCalls` tracks the calls in flight,
`InboundQueue` the calls of other processes, `handshake` verifies the other side.
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
from cairndale.events import Event, log_event
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
    """The RPC endpoint of this process: calls other processes and answers their calls.

    Args:
        own: the address to listen on, by which other processes know this one.
        handle_message: processes a one-way message.
        handle_call: answers a call; a `CallError` that it raises becomes the answer's fault code.

    Attributes:
        own_address: `own` as text.
        incarnation: chosen at random at each start of the process.
        system: the system's name; empty: not known yet.
        fence: the newest term of an accepted message from a leader.
        on_disconnect: called with the address when a connection dialled to it was closed.
        connection_class: the class of new connections.
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
        """The number of rejected messages and connections of other processes, by kind."""
        return self._rejections.counts

    def now(self) -> float:
        """Return seconds on the event loop's clock."""
        return self._loop.time()

    async def listen(self) -> None:
        """Accept connections. Raises OSError if the address is in use."""
        self._listener = Listener(self._listen_address, lambda: self.connection_class(self))

    def stop(self) -> None:
        """Close all connections and cancel all inbound calls."""
        if self._listener:
            self._listener.close()
        for connection in list(self._open):
            connection.abort()
        self._pool.close()
        self._inbound.close()

    # Connections and the handshake (`ConnectionOwner`).

    def connection_opened(self, connection: FramedConnection) -> None:
        """Track a connection until it is closed."""
        self._open.add(connection)

    def hello_received(self, connection: FramedConnection, hello: pb.Hello) -> bool:
        """Verify the other side; return False if it was rejected and the connection closed.

        A process that does not know its system's name learns it from processes that it has dialled,
        whose addresses it was configured with, but not from processes that have dialled it.
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
        """Set the system's name.

        All connected processes are notified, and connections to another system are closed.
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
        """Close a connection whose other side violated the protocol."""
        self._rejections.add("malformed", Event.MALFORMED_FRAME, reason)
        connection.abort()

    def connection_closed(self, connection: FramedConnection) -> None:
        """Remove a closed connection and fail the calls that were sent on it."""
        self._open.discard(connection)
        if connection.dialled_address and self._pool.connection_closed(connection):
            self.on_disconnect(connection.dialled_address)
        self._pending.connection_closed(connection)

    # Fencing.

    def is_stale(self, envelope: pb.Envelope, address: str) -> bool:
        """Whether a leader's answer is of an older term than one that was accepted before.

        Such an answer must not be processed. Otherwise its term becomes the newest.
        """
        if envelope.fault_code or self.fence.admits(envelope.term):
            return False
        reason = f"term {envelope.term} at {address}, after term {self.fence.newest}"
        self._rejections.add("stale", Event.STALE_TERM, reason)
        return True

    # Inbound envelopes.

    def envelope_received(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        """Resolve a call of this process, queue one of another, or pass on a message."""
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
        except Exception as error:
            kind = envelope.WhichOneof("body")
            log_event(Event.FAILED, "%s could not be answered: %r", kind, error)
            answer = pb.Envelope(fault_code=FaultCode.REJECTED)
        answer.call_id, answer.is_answer = call_id, True
        connection.write(answer)

    async def _forward(self, envelope: pb.Envelope, caller: str) -> pb.Envelope:
        address, envelope.forward_to, envelope.origin = envelope.forward_to, "", caller
        answer = await self.call(address, envelope, FORWARD_TIMEOUT_S)
        if self.is_stale(answer, address):
            raise CallTimeoutError("an older leader's answer")
        return answer

    # Outbound envelopes.

    def send(self, address: str, envelope: pb.Envelope) -> None:
        """Send a one-way message. It may be lost without notice."""
        self._pool.send(address, envelope)

    async def call(self, address: str, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        """Send a call and return the answer, received within `timeout_s` seconds.

        The answer may have the fault code NOT_LEADER; it then names the leader's address, if known.

        Raises:
            UnreachableError: the call was not sent; it has not run.
            QueueFullError: a queue is full on this or the other side; the call has not run.
            CallTimeoutError: no answer in time, or the connection broke; the call may have run.
            CallError: another subclass, by the fault code of the other side's answer.
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
            raise _fault_of(answer, address)
        return answer

    def _timed_out(self, call: PendingCall, address: str) -> CallError:
        """Return the timeout's error; close a connection that received nothing since the call."""
        if call.connection is None:
            return UnreachableError(address)
        if call.connection.last_received_at < call.started_at:
            call.connection.abort()
        return CallTimeoutError(address)


def _fault_of(answer: pb.Envelope, address: str) -> CallError:
    """The error of a fault; one that only later versions know may mean that the call has run."""
    try:
        return error_for_code(answer.fault_code, address)
    except ValueError as error:
        return CallTimeoutError(f"{address}: {error}")


def _answer_to(call_id: int, code: FaultCode) -> pb.Envelope:
    return pb.Envelope(call_id=call_id, is_answer=True, fault_code=code)
