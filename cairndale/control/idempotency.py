"""Answers to calls that must not take effect twice, cached for as long as a copy may arrive."""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.rpc import protocol_pb2 as pb

# A caller sends copies for 0.5 s, a peer waits 2 s for the answer to what it forwards, and bytes
# that nobody acknowledges are given up after 1.5 s.
ANSWER_TTL_S = 4.0
MAX_CACHED_ANSWERS = 4096  # about 300 bytes each


@dataclass(frozen=True, slots=True)
class _CachedAnswer:
    made_at: float
    data: bytes


class IdempotencyCache:
    """Answers by the caller's life and the call's id (its idempotency key).

    A copy that comes later than ANSWER_TTL_S, as from a peer that stood still, is taken for
    another call: units are granted once more, to nobody. That wastes them and never exceeds a
    bound. Times are seconds on the leader's clock.
    """

    def __init__(self) -> None:
        self._answers: dict[tuple[str, int], _CachedAnswer] = {}  # by life and id, the oldest first

    def get(self, now: float, origin: str, id: int) -> pb.Envelope | None:
        """The answer that a copy of this call was given before."""
        self._evict(now)
        cached = self._answers.get((origin, id)) if origin and id else None
        return pb.Envelope.FromString(cached.data) if cached else None

    def put(self, now: float, origin: str, id: int, answer: pb.Envelope) -> None:
        """Remember an answer; calls without origin or id have no copies."""
        if origin and id:
            self._answers[origin, id] = _CachedAnswer(now, answer.SerializeToString())

    def _evict(self, now: float) -> None:
        answers = self._answers
        while answers:
            oldest = next(iter(answers))
            is_alive = answers[oldest].made_at + ANSWER_TTL_S > now
            if is_alive and len(answers) < MAX_CACHED_ANSWERS:
                return
            del answers[oldest]
