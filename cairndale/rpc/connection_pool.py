"""Connections that this process dials: one to each address, dialled on demand, with backoff."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from cairndale.errors import QueueFullError, UnreachableError
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.pending_calls import PendingCalls

# For a connection to come up. Long enough: a SYN that a dark machine does not answer is sent again
# only after seconds.
DIAL_TIMEOUT_S = 0.3
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.4  # between dials of one address that fail
MAX_QUEUED_ENVELOPES = 256  # that wait for one connection to come up


@dataclass(frozen=True, slots=True)
class _Backoff:
    """No dial before `until`; the next failure backs off for `next_s` seconds."""

    until: float
    next_s: float


class ConnectionPool:
    """Sends envelopes to addresses over connections that are kept open.

    Args:
        connect: makes the protocol object of a connection to this address.
        pending: the calls in flight; those that cannot be sent are failed there.
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

        A call that cannot be sent fails with `UnreachableError` (dials fail) or `QueueFullError`
        (the bound of a queue is reached). Other envelopes are dropped then.
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
            if connection.transport is None:  # it came up and ended before this went on
                raise ConnectionResetError
        except (OSError, TimeoutError):
            self.back_off(address)
            for envelope in self._queued.pop(address, ()):
                self._pending.fail(envelope, UnreachableError(address))
            return
        finally:
            self._dials.pop(address, None)
        self._connections[address] = connection
        for envelope in self._queued.pop(address, ()):
            self._write(connection, envelope)

    def is_backed_off(self, address: str) -> bool:
        """Whether the address is not to be dialled now."""
        backoff = self._backoffs.get(address)
        return backoff is not None and backoff.until > self._loop.time()

    def back_off(self, address: str) -> None:
        """Do not dial the address for a while, which doubles with each failure, with jitter."""
        previous = self._backoffs.get(address)
        delay_s = previous.next_s if previous else MIN_BACKOFF_S
        self._backoffs[address] = _Backoff(
            self._loop.time() + delay_s * (0.5 + random.random()), min(MAX_BACKOFF_S, 2 * delay_s)
        )

    def reset_backoff(self, address: str) -> None:
        """Dial the address again at once: it has shaken hands."""
        self._backoffs.pop(address, None)

    def connection_closed(self, connection: FramedConnection) -> bool:
        """Forget a connection that was dialled; whether it was the one in use to its address."""
        address = connection.dialled_address
        if connection.peer is None:  # it was rejected, or nobody is there
            self.back_off(address)
        if self._connections.get(address) is not connection:
            return False
        del self._connections[address]
        return True

    def close(self) -> None:
        """Stop dialling. Connections that are up are the peer's to end."""
        for task in self._dials.values():
            task.cancel()
