"""Answers to calls that are not to be acted on twice: remembered for as a copy may
arrive."""

from __future__ import annotations

from cairndale.rpc import protocol_pb2 as pb

# A caller sends copies for 0.5 s, a peer waits 2 s for the answer to what it passes on, and bytes
# that nobody acknowledges are given up after 1.5 s.
KEEP = 4.0  # s
MOST = 4096  # answers; about 300 bytes each


class IdempotencyCache:
    """A copy that comes later than this, as from a peer that stood still, is taken for another
    call: units are granted once more, to nobody. That wastes them and never exceeds a bound.

    Times are seconds on the leader's clock."""

    def __init__(self) -> None:
        self._answers: dict[tuple[str, int], tuple[float, bytes]] = {}  # by life and id, in order

    def answer(self, now: float, origin: str, id: int) -> pb.Envelope | None:
        """What a copy of this call was answered before."""
        self._forget(now)
        found = self._answers.get((origin, id)) if origin and id else None
        return pb.Envelope.FromString(found[1]) if found else None

    def keep(self, now: float, origin: str, id: int, answer: pb.Envelope) -> None:
        if origin and id:
            self._answers[origin, id] = (now, answer.SerializeToString())

    def _forget(self, now: float) -> None:
        answers = self._answers
        while answers:
            first = next(iter(answers))
            if answers[first][0] + KEEP > now and len(answers) < MOST:
                return
            del answers[first]
