"""Calls to the control plane's leader, found by redirects and reached through a peer if necessary.

A call is retried until it is answered or its timeout is over. Addresses that do not answer are
avoided for a while, with backoff: calls to them are sent to another node, which forwards them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

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
from cairndale.rpc.call_kinds import CALL_KINDS, DuplicateSafety
from cairndale.rpc.compression import decompress_lists
from cairndale.rpc.peer import RpcPeer

MIN_AVOID_S, MAX_AVOID_S = 1.0, 8.0  # for which an address that did not answer is avoided
RETRY_PAUSE_S = (0.03, 0.12)  # between attempts while there is no leader: minimum and maximum
MAX_ATTEMPTS = 24


@dataclass(frozen=True, slots=True)
class AvoidedAddress:
    """An address that did not answer; it is called through another node until `until`.

    Attributes:
        until: seconds on the process's clock.
        span_s: the length of this period in seconds, which doubles with the next failure.
    """

    until: float
    span_s: float


class _RetryError(Exception):
    """One attempt has failed, and the call may be retried.

    Attributes:
        error: the call's error if this was the last attempt; None: that of the attempt before.
        pause_s: before the next attempt.
    """

    def __init__(self, error: CallError | None, pause_s: float) -> None:
        super().__init__(str(error))
        self.error, self.pause_s = error, pause_s


class LeaderClient:
    """Calls the leader, whichever control node that is.

    Args:
        rpc_peer: this process's connections.
        control_addresses: returns the addresses of all known control nodes.
        peer_addresses: returns the addresses of nodes that can forward a call.

    Attributes:
        leader_address: the presumed address of the leader; empty: not known.
    """

    def __init__(
        self,
        rpc_peer: RpcPeer,
        control_addresses: Callable[[], list[str]],
        peer_addresses: Callable[[], list[str]],
    ) -> None:
        self._rpc_peer = rpc_peer
        self._control_addresses, self._peer_addresses = control_addresses, peer_addresses
        self.leader_address = ""
        # Random, so that nodes that start at the same time do not all dial the same address.
        self._next_index = random.getrandbits(16)
        self._last_request_id = 0
        self._avoided: dict[str, AvoidedAddress] = {}

    def send(self, envelope: pb.Envelope) -> None:
        """Send a message to the leader, if it is known.

        It may be lost, and a leader of a later term does not process it.
        """
        envelope.term = self._rpc_peer.fence.newest
        if self.leader_address:
            self._rpc_peer.send(self.leader_address, envelope)

    async def call(
        self, envelope: pb.Envelope, timeout_s: float, attempt_timeout_s: float
    ) -> pb.Envelope:
        """Return the leader's answer.

        The call may reach the leader more than once, and late: `CALL_KINDS` says why that is safe
        for each kind. Once a leader has answered, answers of leaders of earlier terms are rejected.

        Args:
            envelope: the call; it is given a request id if its kind needs one.
            timeout_s: over all attempts.
            attempt_timeout_s: for one attempt.

        Raises:
            RejectedError: the leader has rejected the call.
            StaleCallError: the leader has found the call out of date.
            CallError: the error of the last attempt that failed with one; `may_have_run` refers to
                that attempt only.
        """
        if CALL_KINDS[envelope.WhichOneof("body") or ""].duplicates is DuplicateSafety.REMEMBERED:
            self._last_request_id += 1
            envelope.request_id = self._last_request_id
        deadline = self._rpc_peer.now() + timeout_s
        failure: CallError = UnreachableError()
        for _ in range(MAX_ATTEMPTS):
            if self._rpc_peer.now() >= deadline:
                break
            try:
                return await self._attempt(envelope, deadline, attempt_timeout_s)
            except _RetryError as retry:
                failure = retry.error or failure
                await self._pause(retry.pause_s, deadline)
        raise failure

    async def _attempt(
        self, envelope: pb.Envelope, deadline: float, attempt_timeout_s: float
    ) -> pb.Envelope:
        """Make one attempt. Raises _RetryError, or CallError if a retry would be pointless."""
        now = self._rpc_peer.now()
        address = self.leader_address or self._next_control_address()
        hop = self._next_hop(address, now)
        copy = self._copy_for(envelope, address, hop)
        try:
            answer = await self._rpc_peer.call(hop, copy, min(attempt_timeout_s, deadline - now))
        except CallError as error:
            self._failed(error, address, hop)
            raise _RetryError(error, _pause_s() / 2) from error
        self._avoided.pop(hop, None)
        self._verify(answer, address)
        self.leader_address = address
        return answer

    def _copy_for(self, envelope: pb.Envelope, address: str, hop: str) -> pb.Envelope:
        """Return a copy with the newest term, and with `forward_to` if the hop must forward it."""
        copy = pb.Envelope()
        copy.CopyFrom(envelope)
        copy.term = self._rpc_peer.fence.newest
        if hop != address:
            copy.forward_to = address
        return copy

    def _failed(self, error: CallError, address: str, hop: str) -> None:
        """Update the routing state after a failed attempt. Raises errors of the leader itself."""
        if isinstance(error, RejectedError | StaleCallError):
            raise error
        if isinstance(error, UnreachableError | CallTimeoutError):
            self._avoid(hop, self._rpc_peer.now())
            if hop != address or not self._peer_addresses():
                self.leader_address = ""

    def _verify(self, answer: pb.Envelope, address: str) -> None:
        """Raise _RetryError unless the answer is an intact answer of the leader."""
        if answer.fault_code == FaultCode.NOT_LEADER:
            self.leader_address = answer.forward_to if answer.forward_to != address else ""
            raise _RetryError(None, 0.0 if self.leader_address else _pause_s())
        if self._rpc_peer.is_stale(answer, address):
            self.leader_address = ""
            raise _RetryError(CallTimeoutError("an older leader's answer"), _pause_s())
        try:
            decompress_lists(answer.watch_response)
        except ValueError as error:  # the leader is reachable, so the call is sent to it again
            log_event(Event.MALFORMED_FRAME, "%s: %s", address, error)
            raise _RetryError(CallTimeoutError(str(error)), _pause_s()) from error

    async def _pause(self, pause_s: float, deadline: float) -> None:
        """Sleep, but not beyond the deadline, so that the caller learns of the failure in time."""
        if pause_s:
            await asyncio.sleep(min(pause_s, max(0.0, deadline - self._rpc_peer.now())))

    # Addresses.

    def _next_control_address(self) -> str:
        addresses = [a for a in self._control_addresses() if a != self._rpc_peer.own_address]
        if not addresses:
            raise UnreachableError("no core machine is known")
        self._next_index += 1
        return addresses[self._next_index % len(addresses)]

    def _next_hop(self, address: str, now: float) -> str:
        """Return the next hop to `address`: the address itself, or a peer if it is avoided."""
        if not self._is_avoided(address, now):
            return address
        ends = (address, self._rpc_peer.own_address)
        peers = [
            a for a in self._peer_addresses() if a not in ends and not self._is_avoided(a, now)
        ]
        return random.choice(peers) if peers else address

    def _is_avoided(self, address: str, now: float) -> bool:
        avoided = self._avoided.get(address)
        return avoided is not None and avoided.until > now

    def _avoid(self, address: str, now: float) -> None:
        before = self._avoided.get(address)
        span_s = min(MAX_AVOID_S, 2 * before.span_s) if before else MIN_AVOID_S
        self._avoided[address] = AvoidedAddress(now + span_s * random.uniform(0.8, 1.2), span_s)


def _pause_s() -> float:
    return random.uniform(*RETRY_PAUSE_S)
