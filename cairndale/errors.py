"""Errors of calls between the system's own processes; whether a request may have run.

Each cause has a class of its own under `CallError`. The class carries the code that stands for the
cause on the wire (`Envelope.fault_code`) and says whether the other side may have acted on the
call.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import ClassVar

from cairndale.ingress.policy.interface import Outcome


class FaultCode(IntEnum):
    """The cause of a failed call, as it stands in `Envelope.fault_code`; the protocol's numbers."""

    UNREACHABLE = 1
    TIMED_OUT = 2
    NOT_LEADER = 3
    QUEUE_FULL = 4
    REJECTED = 5
    STALE = 6


class CallError(Exception):
    """A call to another process of the system failed.

    Attributes:
        code: the cause, as it is told to other processes.
        label: how the cause is named in answers to operators and servers.
        may_have_run: whether the receiver may have acted on the call all the same.
    """

    code: ClassVar[FaultCode]
    label: ClassVar[str]
    may_have_run: ClassVar[bool] = False

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"{self.label}: {detail}" if detail else self.label)


class UnreachableError(CallError):
    """No connection came up, or none in time: the call was not sent."""

    code = FaultCode.UNREACHABLE
    label = "unreachable"


class CallTimeoutError(CallError):
    """The call was sent, and no answer came in time."""

    code = FaultCode.TIMED_OUT
    label = "silent"
    may_have_run = True


class NotLeaderError(CallError):
    """The receiver does not lead, or can no longer be sure that it does."""

    code = FaultCode.NOT_LEADER
    label = "not_leader"


class QueueFullError(CallError):
    """A bounded queue has no room for the call."""

    code = FaultCode.QUEUE_FULL
    label = "full"


class RejectedError(CallError):
    """The receiver does not take calls of this kind, or not this one."""

    code = FaultCode.REJECTED
    label = "refused"


class StaleCallError(CallError):
    """The call belongs to a term or an incarnation of a process that is over."""

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
    """The error that a code from the wire stands for. Raises ValueError for an unknown code."""
    if code not in _CLASSES:
        raise ValueError(f"{code} is not a valid FaultCode")
    return _CLASSES[code](detail)


class Verdict(Enum):
    """The one answer to "may this request have run?"."""

    UNSENT = "unsent"  # no byte of it was written, or the server said itself that it has not run it
    SENT = "sent"  # its first byte was written, and nothing says what came of that
    ANSWERED = "answered"

    @classmethod
    def of(cls, outcome: Outcome) -> Verdict:
        """The verdict on an attempt that ended with this outcome."""
        if outcome is Outcome.OK:
            return cls.ANSWERED
        not_sent = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        return cls.UNSENT if outcome in not_sent else cls.SENT
