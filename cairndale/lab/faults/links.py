"""What a link does to what is sent over it. Pure: times and dice in, moments and datagrams out."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


class Conditions(msgspec.Struct, frozen=True):
    """One direction of a link. Shares are of datagrams, 0 to 1."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # mean of the exponential part
    rate: float = 0.0  # bytes a second; 0: no bound
    cut: bool = False  # nothing passes, and nobody is told
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # held back behind what comes within the next `REORDER` seconds
    truncate: float = 0.0
    flip: float = 0.0  # one bit is another

    @property
    def passes_through(self) -> bool:
        """Whether bytes go on as they come."""
        return not (self.cut or self.delay_ms or self.jitter_ms or self.rate)


CLEAR = Conditions()
REORDER_WINDOW_S = 0.05  # s that a datagram out of order is held back at the most


def _either_probability(a: float, b: float) -> float:
    return 1 - (1 - a) * (1 - b)


def combine(parts: Iterable[Conditions]) -> Conditions:
    """Of faults that lie on one link at once: delays add up, the narrowest rate holds, chances are
    apart."""
    combined = CLEAR
    for part in parts:
        combined = Conditions(
            combined.delay_ms + part.delay_ms,
            combined.jitter_ms + part.jitter_ms,
            min((r for r in (combined.rate, part.rate) if r), default=0.0),
            combined.cut or part.cut,
            _either_probability(combined.loss, part.loss),
            _either_probability(combined.duplicate, part.duplicate),
            _either_probability(combined.reorder, part.reorder),
            _either_probability(combined.truncate, part.truncate),
            _either_probability(combined.flip, part.flip),
        )
    return combined


@dataclass(slots=True)
class Shaper:
    """When each piece of one direction of one connection is through. Order is kept."""

    free_at: float = 0.0  # s: the slow link has sent all that came before
    last_delivery_at: float = 0.0

    def delivery_time(
        self, now: float, size: int, conditions: Conditions, rng: random.Random
    ) -> float:
        """`now` and the answer in s, `size` in bytes."""
        self.free_at = max(now, self.free_at) + (size / conditions.rate if conditions.rate else 0.0)
        delay_ms = conditions.delay_ms + (
            rng.expovariate(1 / conditions.jitter_ms) if conditions.jitter_ms else 0.0
        )
        self.last_delivery_at = max(self.last_delivery_at, self.free_at + delay_ms / 1000)
        return self.last_delivery_at


def impair(data: bytes, conditions: Conditions, rng: random.Random) -> list[tuple[float, bytes]]:
    """What becomes of a datagram: s that each copy is held back beside the link's delay, and its
    bytes."""
    if conditions.cut or rng.random() < conditions.loss:
        return []
    copies = []
    for _ in range(1 + (rng.random() < conditions.duplicate)):
        copy = data
        if copy and rng.random() < conditions.truncate:
            copy = copy[: rng.randrange(len(copy))]
        if copy and rng.random() < conditions.flip:
            index = rng.randrange(len(copy))
            copy = copy[:index] + bytes([copy[index] ^ (1 << rng.randrange(8))]) + copy[index + 1 :]
        copies.append(
            (rng.uniform(0, REORDER_WINDOW_S) if rng.random() < conditions.reorder else 0.0, copy)
        )
    return copies
