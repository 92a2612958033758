"""Cache of answers to calls that must not take effect twice, kept while copies may arrive."""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.rpc import protocol_pb2 as pb

# The sum of a copy's delays: a caller sends copies for 0.5 s, a peer waits 2 s for the answer to a
# forwarded call, and a connection with unacknowledged data is closed after 1.5 s.
ANSWER_TTL_S = 4.0
MAX_CACHED_ANSWERS = 4096  # about 300 bytes each


@dataclass(frozen=True, slots=True)
class _CachedAnswer:
    made_at: float
    data: bytes


class IdempotencyCache:
    """Answers by the caller's incarnation and the call's id (its idempotency key).

    A copy that arrives after ANSWER_TTL_S, for example from a peer whose process was paused, is
    handled as a new call: units are granted again, although nobody uses them. That wastes units but
    never exceeds a quota. Times are seconds on the leader's clock.
    """

    def __init__(self) -> None:
        self._answers: dict[
            tuple[str, int], _CachedAnswer
        ] = {}  # by incarnation and id, oldest first

    def get(self, now: float, origin: str, id: int) -> pb.Envelope | None:
        """The answer that an earlier copy of this call was given, if it is still cached."""
        self._evict(now)
        cached = self._answers.get((origin, id)) if origin and id else None
        return pb.Envelope.FromString(cached.data) if cached else None

    def put(self, now: float, origin: str, id: int, answer: pb.Envelope) -> None:
        """Caches an answer; calls without origin or id have no copies."""
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
