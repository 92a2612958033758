"""Every kind of call between the system's own processes: whether a copy may be acted on, and why.

A call may reach its receiver more than once, and late: it is sent again after a silence, by a peer,
on another connection, and a frozen peer passes it on whenever it thaws. Each kind bears that by one
of these."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DuplicateSafety(Enum):
    """What makes a second copy harmless."""

    STATE = (
        "it says how things are: a copy says the same, an older one is told by its clock, "
        "index or number"
    )
    REMEMBERED = "its id is remembered with the answer, for as a copy may arrive"
    KEYED = "what it orders has a name of its own, which the log remembers"
    ANSWER = "it is taken once, by the call that waits on its connection"


@dataclass(frozen=True, slots=True)
class CallKind:
    repeat: DuplicateSafety
    answered: bool = False  # it is a call that wants an answer
    leader: bool = False  # only the leader of the duty says it: it carries the leader's term


KINDS = {  # by the name of the body in an envelope
    "hello": CallKind(
        DuplicateSafety.STATE
    ),  # the connection's: life and door may not change, a name is only learnt
    "log_message": CallKind(DuplicateSafety.STATE),  # by term and index
    "watch_request": CallKind(
        DuplicateSafety.STATE, answered=True
    ),  # by the leader's clock: older than what was heard is refused
    "watch_response": CallKind(DuplicateSafety.ANSWER, leader=True),
    "operation_request": CallKind(
        DuplicateSafety.KEYED, answered=True
    ),  # digest of a configuration, id of an order for a zone, `seq`
    "operation_response": CallKind(DuplicateSafety.ANSWER, leader=True),
    "quota_request": CallKind(DuplicateSafety.REMEMBERED, answered=True),
    "quota_response": CallKind(DuplicateSafety.ANSWER, leader=True),
    "heartbeat_report": CallKind(DuplicateSafety.STATE, answered=True),  # by `seq`
    "budget_request": CallKind(DuplicateSafety.REMEMBERED, answered=True),
    "budget_response": CallKind(DuplicateSafety.ANSWER, leader=True),
    "endpoint_report": CallKind(DuplicateSafety.STATE, answered=True),  # by `seq`
    "evacuation_receipt": CallKind(
        DuplicateSafety.KEYED
    ),  # the order's name, in the term that gave it
}


class TermFence:
    """The newest term of which a leader's word was heard in this life: older words are refused,
    whichever connection or peer brings them."""

    def __init__(self) -> None:
        self.newest = 0

    def admits(self, term: int) -> bool:
        if term < self.newest:
            return False
        self.newest = term
        return True
