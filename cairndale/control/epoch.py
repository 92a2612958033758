"""The epoch within which versions of the leader's registries are comparable."""

from __future__ import annotations

# Heartbeat intervals that a leader which started with an empty registry waits before it takes the
# registry as complete.
SETTLING_INTERVALS = 2.5
UNSETTLED_SUFFIX = "~"


class Epoch:
    """A leader's term, in two parts: before and after its endpoint registry has settled.

    The registry has settled once every running server had time to send a heartbeat. Until then no
    node is notified that an endpoint is missing. Times are seconds on the leader's clock.
    """

    def __init__(self, term: int, began: float, is_empty: bool, heartbeat_interval: float) -> None:
        """`is_empty`: the leader started its term without any known endpoint."""
        self.term, self.began = term, began
        self._settled_after = SETTLING_INTERVALS * heartbeat_interval if is_empty else None

    def has_settled(self, now: float) -> bool:
        """Whether every running server had time to send this leader a heartbeat."""
        return self._settled_after is None or now - self.began > self._settled_after

    def name(self, now: float) -> str:
        """The epoch's name, which nodes send back in their requests."""
        return f"{self.term}" if self.has_settled(now) else self.unsettled_name

    @property
    def unsettled_name(self) -> str:
        """The name of the part before the registry has settled."""
        return f"{self.term}{UNSETTLED_SUFFIX}"

    def is_of_term(self, name: str) -> bool:
        """Whether a name is that of either part of this term."""
        return name.rstrip(UNSETTLED_SUFFIX) == f"{self.term}"

    def elapsed_ms(self, now: float) -> int:
        """Milliseconds since the term began, at least 1: on the wire 0 means that none is given."""
        return max(1, int((now - self.began) * 1000))
