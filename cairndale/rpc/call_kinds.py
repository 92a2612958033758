"""Every kind of call between the system's own processes: whether a copy may be acted on, and why.

A call may reach its receiver more than once, and late: it is sent again after a silence, by a peer,
on another connection, and a frozen peer passes it on whenever it thaws. Each kind bears that by one
of these."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What makes a second copy harmless."""

    STATE = (
        "it says how things are: a copy says the same, an older one is told by its clock, "
        "index or number"
    )
    REMEMBERED = "its id is remembered with the answer, for as long as a copy may arrive"
    KEYED = "what it orders has a name of its own, which the log remembers"
    ANSWER = "it is taken once, by the call that waits on its connection"


@dataclass(frozen=True, slots=True)
class Kind:
    repeat: Repeat
    answered: bool = False  # it is a call that wants an answer
    leader: bool = False  # only the leader of the duty says it: it carries the leader's term


KINDS = {  # by the name of the body in an envelope
    "hello": Kind(
        Repeat.STATE
    ),  # the connection's: life and door may not change, a name is only learnt
    "log_message": Kind(Repeat.STATE),  # by term and index
    "ask": Kind(
        Repeat.STATE, answered=True
    ),  # by the leader's clock: older than what was heard is refused
    "cue": Kind(Repeat.ANSWER, leader=True),
    "order": Kind(
        Repeat.KEYED, answered=True
    ),  # digest of a configuration, id of an order for a zone, `seq`
    "outcome": Kind(Repeat.ANSWER, leader=True),
    "lease": Kind(Repeat.REMEMBERED, answered=True),
    "leased": Kind(Repeat.ANSWER, leader=True),
    "beats": Kind(Repeat.STATE, answered=True),  # by `seq`
    "deal": Kind(Repeat.REMEMBERED, answered=True),
    "dealt": Kind(Repeat.ANSWER, leader=True),
    "arrivals": Kind(Repeat.STATE, answered=True),  # by `seq`
    "receipt": Kind(Repeat.KEYED),  # the order's name, in the term that gave it
}


class Fence:
    """The newest term of which a leader's word was heard in this life: older words are refused,
    whichever connection or peer brings them."""

    def __init__(self) -> None:
        self.newest = 0

    def admits(self, term: int) -> bool:
        if term < self.newest:
            return False
        self.newest = term
        return True
