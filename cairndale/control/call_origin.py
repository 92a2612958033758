"""Where and when a call of an operator or server entered the system.

A caller gives up a call after a second without an answer and sends it to another node, and after
the answer it may order the opposite. So an order for a zone takes effect only while its caller must
still be waiting for the first answer: a copy that was delayed, on whichever part of its way, is too
old by then. A call's age is measured on the leader's clock (`leader_clock.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

# After its sending, an order is proposed within this time or never. Callers wait a second; the rest
# is for the answer of the node that they called, which is not given before this time if the outcome
# is not known.
ORDER_VALIDITY_S = 0.8


@dataclass(frozen=True, slots=True)
class CallOrigin:
    """Identifies a call and bounds its age.

    Attributes:
        call_id: assigned by the node that received the call; the same for all copies of it.
        sent_after: seconds on the leader's clock before which the caller did not send the call;
            None: not known, as a node of an earlier version received it.
    """

    call_id: str = ""
    sent_after: float | None = None

    def age(self, now: float) -> float | None:
        """The largest time in seconds for which the call may be under way; None: not known."""
        return None if self.sent_after is None else now - self.sent_after

    def has_expired(self, now: float) -> bool:
        """Whether the caller may have given up an order; False if its age is not known."""
        age = self.age(now)
        return age is not None and age >= ORDER_VALIDITY_S
