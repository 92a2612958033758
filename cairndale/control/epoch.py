"""The epoch within which versions of the leader's registries are comparable."""

from __future__ import annotations

# Heartbeat intervals after the start of a leader with an empty registry, until which there may be
# endpoints that it does not know yet.
SETTLING_INTERVALS = 2.5
UNSETTLED_SUFFIX = "~"


class Epoch:
    """A leader's term, in two parts: before and after its registry of endpoints has settled.

    Until then no node is told that an endpoint is not there. Times are seconds on the leader's
    clock.
    """

    def __init__(self, term: int, began: float, is_empty: bool, heartbeat_interval: float) -> None:
        """`is_empty`: the leader began without any endpoint."""
        self.term, self.began = term, began
        self._settled_after = SETTLING_INTERVALS * heartbeat_interval if is_empty else None

    def has_settled(self, now: float) -> bool:
        """Whether every endpoint there is had time to send a heartbeat to this leader."""
        return self._settled_after is None or now - self.began > self._settled_after

    def name(self, now: float) -> str:
        """The epoch's name, as nodes repeat it in their requests."""
        return f"{self.term}" if self.has_settled(now) else self.unsettled_name

    @property
    def unsettled_name(self) -> str:
        """The name of the part before the registry has settled."""
        return f"{self.term}{UNSETTLED_SUFFIX}"

    def is_of_term(self, name: str) -> bool:
        """Whether a name is that of either part of this term."""
        return name.rstrip(UNSETTLED_SUFFIX) == f"{self.term}"

    def elapsed_ms(self, now: float) -> int:
        """Ms since the term began, 1 at the least: 0 stands for none on the wire."""
        return max(1, int((now - self.began) * 1000))
