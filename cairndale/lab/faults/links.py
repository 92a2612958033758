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
    def plain(self) -> bool:
        """Whether bytes go on as they come."""
        return not (self.cut or self.delay_ms or self.jitter_ms or self.rate)


CLEAR = Conditions()
REORDER = 0.05  # s that a datagram out of order is held back at the most


def _either(a: float, b: float) -> float:
    return 1 - (1 - a) * (1 - b)


def together(several: Iterable[Conditions]) -> Conditions:
    """Of faults that lie on one link at once: delays add up, the narrowest rate holds, chances are
    apart."""
    made = CLEAR
    for one in several:
        made = Conditions(
            made.delay_ms + one.delay_ms,
            made.jitter_ms + one.jitter_ms,
            min((r for r in (made.rate, one.rate) if r), default=0.0),
            made.cut or one.cut,
            _either(made.loss, one.loss),
            _either(made.duplicate, one.duplicate),
            _either(made.reorder, one.reorder),
            _either(made.truncate, one.truncate),
            _either(made.flip, one.flip),
        )
    return made


@dataclass(slots=True)
class Shaper:
    """When each piece of one direction of one connection is through. Order is kept."""

    free_at: float = 0.0  # s: the slow link has sent all that came before
    last: float = 0.0

    def due(self, now: float, size: int, on: Conditions, rng: random.Random) -> float:
        """`now` and the answer in s, `size` in bytes."""
        self.free_at = max(now, self.free_at) + (size / on.rate if on.rate else 0.0)
        late = on.delay_ms + (rng.expovariate(1 / on.jitter_ms) if on.jitter_ms else 0.0)
        self.last = max(self.last, self.free_at + late / 1000)
        return self.last


def mangled(data: bytes, on: Conditions, rng: random.Random) -> list[tuple[float, bytes]]:
    """What becomes of a datagram: s that each copy is held back beside the link's delay, and its
    bytes."""
    if on.cut or rng.random() < on.loss:
        return []
    found = []
    for _ in range(1 + (rng.random() < on.duplicate)):
        copy = data
        if copy and rng.random() < on.truncate:
            copy = copy[: rng.randrange(len(copy))]
        if copy and rng.random() < on.flip:
            at = rng.randrange(len(copy))
            copy = copy[:at] + bytes([copy[at] ^ (1 << rng.randrange(8))]) + copy[at + 1 :]
        found.append((rng.uniform(0, REORDER) if rng.random() < on.reorder else 0.0, copy))
    return found
