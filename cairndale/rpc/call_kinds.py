"""Every kind of call between the system's own processes, and why a duplicate of it is harmless.

A call may reach its receiver more than once, and late: it is retried after a timeout, through a
peer or on another connection, and a peer whose process was paused forwards it once it resumes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DuplicateSafety(Enum):
    """What makes a duplicate harmless."""

    STATE = (
        "it reports a state: a duplicate reports the same, and an outdated one is recognized by "
        "its clock, index or number"
    )
    REMEMBERED = "its request id is kept with the response for as long as duplicates may arrive"
    KEYED = "the operation that it requests has an id of its own, which the log records"
    ANSWER = "it is accepted once, by the call that is in flight on its connection"


@dataclass(frozen=True, slots=True)
class CallKind:
    """How one kind of envelope is treated.

    Attributes:
        duplicates: what makes a duplicate harmless.
        wants_answer: whether it is a call, not a one-way message or a response.
        from_leader: whether only the leader sends it, with its own term.
    """

    duplicates: DuplicateSafety
    wants_answer: bool = False
    from_leader: bool = False


_LEADER_ANSWER = CallKind(DuplicateSafety.ANSWER, from_leader=True)

# By the name of the body in an envelope. A comment says how a duplicate is recognized.
CALL_KINDS = {
    # State of the connection: incarnation and address may not change; only the system's name may be
    # added.
    "hello": CallKind(DuplicateSafety.STATE),
    # By term and index.
    "log_message": CallKind(DuplicateSafety.STATE),
    # By the leader's clock: a request older than the newest one is rejected.
    "watch_request": CallKind(DuplicateSafety.STATE, wants_answer=True),
    "watch_response": _LEADER_ANSWER,
    # By the digest of a configuration, the id and the age of an order for a zone, the `seq` of a
    # heartbeat, the id of a server, which no later server has.
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
    # By the order's id, in the term that assigned it.
    "evacuation_receipt": CallKind(DuplicateSafety.KEYED),
}


class TermFence:
    """Rejects messages of former leaders, on whichever connection or through whichever peer.

    Attributes:
        newest: the newest term of a leader's message that this incarnation has accepted.
    """

    def __init__(self) -> None:
        self.newest = 0

    def admits(self, term: int) -> bool:
        """Whether a message of that term may be processed; if so, it becomes the newest term."""
        if term < self.newest:
            return False
        self.newest = term
        return True
