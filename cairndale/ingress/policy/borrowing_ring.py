"""The borrowing ring, second stage of the Abacus filter (paper, section 5). Types: interface.py.

A ring of slots of length T0, the present one first. Each slot holds A, the units that are expected
to be spare in it, and B, the requests that were told to come back in it and will have to wait once
more. A request that the token bucket does not cover borrows a spare unit of a slot in which its
retry would arrive (after d_0, d_0 + d_1, ...); where no slot has one left it is refused for good.

What the ring guarantees: no more retries are invited than units are expected, on this ingress's own
estimate. What it does not: that the units are there then, which the first stage decides anew.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Slots that retries arrive in: d_0, then doubling waits (N = 3 retries). The last one is S.
RETRY_OFFSETS = (1, 3, 7)
SLOTS = 1 + RETRY_OFFSETS[-1]


@dataclass(slots=True)
class BorrowingRing:
    """The slots of one customer. Times are microseconds."""

    slot_us: int  # T0, and d_0: the wait that a refused request is told
    position: int = 0  # the number of the present slot since the clock's zero
    # [A, B] of each slot: units spare, and requests that are to wait once more.
    slots: deque[list[float]] = field(default_factory=deque)

    def borrow(self, now: int, units: float, spare: float) -> int:
        """Borrows units from a later slot.

        Args:
            now: the present time, in us.
            units: what the request costs.
            spare: W_a = (r_t - lambda) * T0, the units expected to be spare in a new slot.

        Returns:
            The wait before the retry in us, or 0 for a final refusal.
        """
        self._advance(now, spare)
        present = self.slots[0]
        if present[1] > 0:
            present[1] -= 1
            return self.slot_us
        for tried, offset in enumerate(RETRY_OFFSETS):
            if self.slots[offset][0] > 0:
                self.slots[offset][0] -= units
                for exhausted in RETRY_OFFSETS[:tried]:
                    self.slots[exhausted][1] += 1
                return self.slot_us
        return 0

    def _advance(self, now: int, spare: float) -> None:
        """Drops the slots that are over and appends new ones."""
        for _ in range(min(len(self.slots), now // self.slot_us - self.position)):
            self.slots.popleft()
        self.position = now // self.slot_us
        self.slots.extend([spare, 0] for _ in range(SLOTS - len(self.slots)))
