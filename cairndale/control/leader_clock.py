"""A node's estimate of the leader's clock, for the times that it sends to the leader.

Clocks of processes are not comparable. The leader states its time since the term began in each
response to a watch request; from then on this node's own clock counts, shortened or extended by the
drift that two clocks may have. So the estimate is never ahead of the leader's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.lease_timing import MAX_CLOCK_DRIFT


@dataclass(frozen=True, slots=True)
class _Reading:
    term: int
    elapsed_ms: int
    received_at: float


class LeaderClock:
    """The newest reading of a leader's clock. Times are seconds on this process's clock."""

    def __init__(self) -> None:
        self._reading: _Reading | None = None

    def record(self, term: int, elapsed_ms: int, received_at: float) -> None:
        """Adopts a reading: the leader of `term` led for `elapsed_ms` when it responded.

        0 means that the leader gave none.
        """
        if elapsed_ms:
            self._reading = _Reading(term, elapsed_ms, received_at)

    def at(self, time: float) -> pb.TermTime:
        """The leader's clock at `time` or a little before it; of term 0 if no leader is known."""
        if self._reading is None:
            return pb.TermTime()
        since_ms = (time - self._reading.received_at) * 1000
        drift_ms = abs(since_ms) * MAX_CLOCK_DRIFT
        return pb.TermTime(
            term=self._reading.term,
            elapsed_ms=int(self._reading.elapsed_ms + since_ms - drift_ms) - 1,
        )
