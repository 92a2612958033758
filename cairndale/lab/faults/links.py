"""Effects of link faults on data in transit.

Pure functions of times and a random generator: they return delivery times and datagrams."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec


class Conditions(msgspec.Struct, frozen=True):
    """Conditions of one direction of a link. Shares, 0 to 1, are of datagrams."""

    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # mean of the exponential part
    rate: float = 0.0  # bytes a second; 0: unlimited
    cut: bool = False  # nothing passes, and neither end is notified
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # delayed by up to REORDER_WINDOW_S, behind later datagrams
    truncate: float = 0.0
    flip: float = 0.0  # one bit is flipped

    @property
    def passes_through(self) -> bool:
        """Whether bytes are forwarded without delay."""
        return not (self.cut or self.delay_ms or self.jitter_ms or self.rate)


CLEAR = Conditions()
REORDER_WINDOW_S = 0.05  # maximum extra delay of a datagram that is reordered


def _either_probability(a: float, b: float) -> float:
    return 1 - (1 - a) * (1 - b)


def combine(parts: Iterable[Conditions]) -> Conditions:
    """The joint conditions of several faults on a link: delays add up, the lowest rate applies, and
    probabilities are independent."""
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
    """Computes delivery times for one direction of one connection. The order is kept."""

    free_at: float = 0.0  # s: the time at which the link has sent all earlier data
    last_delivery_at: float = 0.0

    def delivery_time(
        self, now: float, size: int, conditions: Conditions, rng: random.Random
    ) -> float:
        """The delivery time in s of `size` bytes sent at `now` (s)."""
        self.free_at = max(now, self.free_at) + (size / conditions.rate if conditions.rate else 0.0)
        delay_ms = conditions.delay_ms + (
            rng.expovariate(1 / conditions.jitter_ms) if conditions.jitter_ms else 0.0
        )
        self.last_delivery_at = max(self.last_delivery_at, self.free_at + delay_ms / 1000)
        return self.last_delivery_at


def impair(data: bytes, conditions: Conditions, rng: random.Random) -> list[tuple[float, bytes]]:
    """Applies loss, duplication, truncation, bit flips and reordering to a datagram.

    Returns, for each copy to deliver, its delay in s beyond the link's own and its bytes."""
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
