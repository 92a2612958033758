"""Failures with codes, and the verdict on whether a request may have run."""

from __future__ import annotations

from enum import Enum, IntEnum

from cairndale.ingress.policy.interface import Outcome


class Code(IntEnum):
    """What went wrong between the system's own processes."""

    UNREACHABLE = 1  # no connection, or none in time: the call was not taken
    SILENT = 2  # it was sent, and no answer came in time
    NOT_LEADER = 3  # who was asked does not hold the duty
    FULL = 4  # a bounded queue is
    REFUSED = 5
    STALE = 6  # what was asked belongs to a life or term that is over


class SystemFailure(Exception):
    """A failure with its code; `may_have_run` where the other side may have acted all the same."""

    def __init__(self, code: Code, what: str = "") -> None:
        super().__init__(f"{code.name.lower()}{': ' if what else ''}{what}")
        self.code = code

    @property
    def may_have_run(self) -> bool:
        return self.code is Code.SILENT


class Verdict(Enum):
    """The one answer to "may this request have run?"."""

    UNSENT = "unsent"  # no byte of it was written, or the server said itself that it has not run it
    SENT = "sent"  # its first byte was written, and nothing says what came of that
    ANSWERED = "answered"

    @classmethod
    def of(cls, outcome: Outcome) -> Verdict:
        """Of an attempt's outcome, as the module hears it."""
        if outcome is Outcome.OK:
            return cls.ANSWERED
        return (
            cls.UNSENT
            if outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
            else cls.SENT
        )
