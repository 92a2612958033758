"""Every kind of call between the system's own processes, and why a second copy of it is harmless.

A call may reach its receiver more than once, and late: it is sent again after a time-out, through a
peer, or on another connection, and a peer that was frozen forwards it once it goes on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DuplicateSafety(Enum):
    """What makes a second copy harmless."""

    STATE = (
        "it reports a state: a copy reports the same, and an older one is known by its clock, "
        "index or number"
    )
    REMEMBERED = "its request id is remembered with the answer, for as long as a copy may arrive"
    KEYED = "what it orders has an id of its own, which the log remembers"
    ANSWER = "it is accepted once, by the call that waits on its connection"


@dataclass(frozen=True, slots=True)
class CallKind:
    """How one kind of envelope is treated.

    Attributes:
        duplicates: what makes a second copy harmless.
        wants_answer: it is a call, not a message or an answer.
        from_leader: only the leader sends it, with its own term.
    """

    duplicates: DuplicateSafety
    wants_answer: bool = False
    from_leader: bool = False


_LEADER_ANSWER = CallKind(DuplicateSafety.ANSWER, from_leader=True)

# By the name of the body in an envelope.
CALL_KINDS = {
    # The connection's: incarnation and address may not change, a system's name is only learnt.
    "hello": CallKind(DuplicateSafety.STATE),
    # By term and index.
    "log_message": CallKind(DuplicateSafety.STATE),
    # By the leader's clock: one older than the newest is rejected.
    "watch_request": CallKind(DuplicateSafety.STATE, wants_answer=True),
    "watch_response": _LEADER_ANSWER,
    # By the digest of a configuration, the id of an order for a zone, the `seq` of a heartbeat.
    "operation_request": CallKind(DuplicateSafety.KEYED, wants_answer=True),
    "operation_response": _LEADER_ANSWER,
    "quota_request": CallKind(DuplicateSafety.REMEMBERED, wants_answer=True),
    "quota_response": _LEADER_ANSWER,
    # By `seq`.
    "heartbeat_report": CallKind(DuplicateSafety.STATE, wants_answer=True),
    "budget_request": CallKind(DuplicateSafety.REMEMBERED, wants_answer=True),
    "budget_response": _LEADER_ANSWER,
    # By `seq`.
    "endpoint_report": CallKind(DuplicateSafety.STATE, wants_answer=True),
    # By the order's id, in the term that gave it.
    "evacuation_receipt": CallKind(DuplicateSafety.KEYED),
}


class TermFence:
    """Rejects what former leaders say, whichever connection or peer brings it.

    Attributes:
        newest: the newest term of which a leader's message was accepted by this incarnation.
    """

    def __init__(self) -> None:
        self.newest = 0

    def admits(self, term: int) -> bool:
        """Whether a message of that term may be acted upon; it is the newest from then on."""
        if term < self.newest:
            return False
        self.newest = term
        return True
