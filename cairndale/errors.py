"""Errors of calls between the system's own processes, and whether a failed request may have run.

Each cause has its own subclass of `CallError`. The class has the code that identifies the cause on
the wire (`Envelope.fault_code`) and says whether the other side may have processed the call.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import ClassVar

from cairndale.ingress.policy.interface import Outcome


class FaultCode(IntEnum):
    """The cause of a failed call, with its number in `Envelope.fault_code`."""

    UNREACHABLE = 1
    TIMED_OUT = 2
    NOT_LEADER = 3
    QUEUE_FULL = 4
    REJECTED = 5
    STALE = 6


class CallError(Exception):
    """A call to another process of the system failed.

    Attributes:
        code: the cause, as sent to other processes.
        label: the name of the cause in responses to operators and servers.
        may_have_run: whether the receiver may have processed the call nevertheless.
    """

    code: ClassVar[FaultCode]
    label: ClassVar[str]
    may_have_run: ClassVar[bool] = False

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"{self.label}: {detail}" if detail else self.label)


class UnreachableError(CallError):
    """No connection could be established, or not in time: the call was not sent."""

    code = FaultCode.UNREACHABLE
    label = "unreachable"


class CallTimeoutError(CallError):
    """The call was sent, but no answer was received in time."""

    code = FaultCode.TIMED_OUT
    label = "silent"
    may_have_run = True


class NotLeaderError(CallError):
    """The receiver is not the leader, or can no longer be sure that it is."""

    code = FaultCode.NOT_LEADER
    label = "not_leader"


class QueueFullError(CallError):
    """A bounded queue has no capacity left for the call."""

    code = FaultCode.QUEUE_FULL
    label = "full"


class RejectedError(CallError):
    """The receiver does not accept calls of this kind, or not this call."""

    code = FaultCode.REJECTED
    label = "refused"


class StaleCallError(CallError):
    """The call belongs to an earlier term, or to an earlier incarnation of a process."""

    code = FaultCode.STALE
    label = "stale"


_CLASSES: dict[int, type[CallError]] = {
    error.code: error
    for error in (
        UnreachableError,
        CallTimeoutError,
        NotLeaderError,
        QueueFullError,
        RejectedError,
        StaleCallError,
    )
}


def error_for_code(code: int, detail: str = "") -> CallError:
    """Return the error for a code from the wire. Raises ValueError for an unknown code."""
    if code not in _CLASSES:
        raise ValueError(f"{code} is not a valid FaultCode")
    return _CLASSES[code](detail)


class Verdict(Enum):
    """The only definition of whether a request may have run."""

    UNSENT = "unsent"  # no byte was written, or the server said that it has not run it
    SENT = "sent"  # its first byte was written, and its result is unknown
    ANSWERED = "answered"

    @classmethod
    def of(cls, outcome: Outcome) -> Verdict:
        """Return the verdict on an attempt that ended with this outcome."""
        if outcome is Outcome.OK:
            return cls.ANSWERED
        not_sent = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        return cls.UNSENT if outcome in not_sent else cls.SENT
