"""Outbound connections: one to each address, dialled on demand, with backoff."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from cairndale.errors import QueueFullError, UnreachableError
from cairndale.events import Event, log_event
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.pending_calls import PendingCalls

# To establish a connection. A longer timeout gains little: a SYN without a response is
# retransmitted only after seconds.
DIAL_TIMEOUT_S = 0.3
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.4  # between failed dials of one address
MAX_QUEUED_ENVELOPES = 256  # while a connection is being established


@dataclass(frozen=True, slots=True)
class _Backoff:
    """No dial before `until`; after the next failure the backoff is `next_s` seconds."""

    until: float
    next_s: float


class ConnectionPool:
    """Sends envelopes to addresses over persistent connections.

    Args:
        connect: creates the protocol object of a connection to this address.
        pending: the calls in flight; calls that cannot be sent are failed there.
    """

    def __init__(self, connect: Callable[[str], FramedConnection], pending: PendingCalls) -> None:
        self._connect, self._pending = connect, pending
        self._loop = asyncio.get_running_loop()
        self._connections: dict[str, FramedConnection] = {}
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._queued: dict[str, list[pb.Envelope]] = {}  # until their connection is up

    def send(self, address: str, envelope: pb.Envelope) -> None:
        """Send an envelope, or queue it and dial.

        A call that cannot be sent fails with `UnreachableError` (dials fail) or `QueueFullError` (a
        queue is full). Other envelopes that cannot be sent are dropped.
        """
        if connection := self._connections.get(address):
            self._write(connection, envelope)
            return
        if self.is_backed_off(address):
            self._pending.fail(envelope, UnreachableError(address))
            return
        queue = self._queued.setdefault(address, [])
        if len(queue) < MAX_QUEUED_ENVELOPES:
            queue.append(envelope)
        else:
            self._pending.fail(envelope, QueueFullError(address))
        if address not in self._dials:
            self._dials[address] = self._loop.create_task(self._dial(address))

    def _write(self, connection: FramedConnection, envelope: pb.Envelope) -> None:
        call = self._pending.of(envelope)
        if connection.write(envelope):
            if call:
                call.connection = connection
        elif call:
            call.fail(QueueFullError(connection.dialled_address))

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: self._connect(address), host, int(port)
                )
            if connection.transport is None:  # closed before this task was resumed
                raise ConnectionResetError
        except (OSError, TimeoutError):
            self._fail_dial(address)
            return
        except Exception as error:  # no address, for one: its calls must not wait
            log_event(Event.FAILED, "%r cannot be dialled: %r", address, error)
            self._fail_dial(address)
            return
        finally:
            self._dials.pop(address, None)
        self._connections[address] = connection
        for envelope in self._queued.pop(address, ()):
            self._write(connection, envelope)

    def _fail_dial(self, address: str) -> None:
        self.back_off(address)
        for envelope in self._queued.pop(address, ()):
            self._pending.fail(envelope, UnreachableError(address))

    def is_backed_off(self, address: str) -> bool:
        """Whether the address must not be dialled now."""
        backoff = self._backoffs.get(address)
        return backoff is not None and backoff.until > self._loop.time()

    def back_off(self, address: str) -> None:
        """Suspend dialling the address, with a backoff that doubles per failure, with jitter."""
        previous = self._backoffs.get(address)
        delay_s = previous.next_s if previous else MIN_BACKOFF_S
        self._backoffs[address] = _Backoff(
            self._loop.time() + delay_s * (0.5 + random.random()), min(MAX_BACKOFF_S, 2 * delay_s)
        )

    def reset_backoff(self, address: str) -> None:
        """Allow dialling the address at once, after a successful handshake."""
        self._backoffs.pop(address, None)

    def connection_closed(self, connection: FramedConnection) -> bool:
        """Remove a closed connection; return whether it was the one in use to its address."""
        address = connection.dialled_address
        if connection.peer is None:  # the other side rejected it, or never answered
            self.back_off(address)
        if self._connections.get(address) is not connection:
            return False
        del self._connections[address]
        return True

    def close(self) -> None:
        """Stop dialling. `RpcPeer` closes the established connections."""
        for task in self._dials.values():
            task.cancel()
