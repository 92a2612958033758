"""Calls to the control plane's leader: found by its hints, reached through a peer where need be.

A call is attempted until it is answered or its time is over. Addresses that do not answer are
avoided for a while, with a backoff: a call to one goes to another node, which forwards it.
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
RETRY_PAUSE_S = (0.03, 0.12)  # between attempts while there is no leader: least and most
MAX_ATTEMPTS = 24


@dataclass(frozen=True, slots=True)
class AvoidedAddress:
    """One that did not answer: called through another node until `until`, for `span_s` seconds."""

    until: float
    span_s: float


class _RetryError(Exception):
    """One attempt has failed, and the call may be attempted again.

    Attributes:
        error: what the call fails with if this was the last attempt; None: as the one before.
        pause_s: before the next attempt.
    """

    def __init__(self, error: CallError | None, pause_s: float) -> None:
        super().__init__(str(error))
        self.error, self.pause_s = error, pause_s


class LeaderClient:
    """Calls the leader, whichever control node that is.

    Args:
        rpc_peer: this process's connections.
        control_addresses: the addresses of all control nodes that are known.
        peer_addresses: those of nodes that can forward a call.

    Attributes:
        leader_address: where the leader is believed to be; empty: not known.
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
        # Random, so that nodes that start together do not all dial the same address.
        self._next_index = random.getrandbits(16)
        self._last_request_id = 0
        self._avoided: dict[str, AvoidedAddress] = {}

    def send(self, envelope: pb.Envelope) -> None:
        """Send a message to the leader, if it is known.

        It may be lost, and a later leader does not act on it.
        """
        envelope.term = self._rpc_peer.fence.newest
        if self.leader_address:
            self._rpc_peer.send(self.leader_address, envelope)

    async def call(
        self, envelope: pb.Envelope, timeout_s: float, attempt_timeout_s: float
    ) -> pb.Envelope:
        """The leader's answer, within `timeout_s` over all attempts.

        The call may reach the leader more than once, and late: `CALL_KINDS` says why that is safe
        for each kind. An answer of an older leader than one that has answered before is not
        accepted.

        Args:
            envelope: the call; it is given a request id if its kind needs one.
            timeout_s: over all attempts.
            attempt_timeout_s: for one attempt.

        Raises:
            RejectedError: the leader has rejected the call.
            StaleCallError: the leader has found the call out of date.
            CallError: that of the last attempt that says why; `may_have_run` speaks of that
                attempt only.
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
        """One attempt. Raises _RetryError, or CallError where another would be pointless."""
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
        """The call with the newest term, to be forwarded where it does not go straight."""
        copy = pb.Envelope()
        copy.CopyFrom(envelope)
        copy.term = self._rpc_peer.fence.newest
        if hop != address:
            copy.forward_to = address
        return copy

    def _failed(self, error: CallError, address: str, hop: str) -> None:
        """Learn from a call that got no answer. Raises what the leader itself has said."""
        if isinstance(error, RejectedError | StaleCallError):
            raise error
        if isinstance(error, UnreachableError | CallTimeoutError):
            self._avoid(hop, self._rpc_peer.now())
            if hop != address or not self._peer_addresses():
                self.leader_address = ""

    def _verify(self, answer: pb.Envelope, address: str) -> None:
        """Raises _RetryError unless it is the answer of the leader, and undamaged."""
        if answer.fault_code == FaultCode.NOT_LEADER:
            self.leader_address = answer.forward_to if answer.forward_to != address else ""
            raise _RetryError(None, 0.0 if self.leader_address else _pause_s())
        if self._rpc_peer.is_stale(answer, address):
            self.leader_address = ""
            raise _RetryError(CallTimeoutError("an older leader's answer"), _pause_s())
        try:
            decompress_lists(answer.watch_response)
        except ValueError as error:  # the leader has answered, so it is asked again
            log_event(Event.MALFORMED_FRAME, "%s: %s", address, error)
            raise _RetryError(CallTimeoutError(str(error)), _pause_s()) from error

    async def _pause(self, pause_s: float, deadline: float) -> None:
        """Not beyond the deadline: the caller must hear of the failure in time."""
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
        """Whom to call so that the call reaches `address`: itself, or a peer if it is avoided."""
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
