"""The borrowing ring, second stage of the Abacus filter (paper, section 5). Types: interface.py.

A ring of slots of length T0, starting with the present one. Each slot holds A, the units expected
to be spare in it, and B, the retries that will arrive in it and have to be deferred once more. A
request that the token bucket does not cover borrows spare units from a slot in which one of its
retries would arrive (after d_0, d_0 + d_1, ...). If none of these slots has units left, the request
is rejected for good.

The ring guarantees that no more retries are invited than units are expected, by this ingress's own
estimate. It does not guarantee that the units are available when the retry arrives: the first stage
decides on the retry again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Offsets of the slots in which retries arrive: d_0, then doubling waits (N = 3 retries). The last
# offset is S.
RETRY_OFFSETS = (1, 3, 7)
SLOTS = 1 + RETRY_OFFSETS[-1]


@dataclass(slots=True)
class BorrowingRing:
    """The slots of one customer. Times are microseconds."""

    slot_us: int  # T0, and d_0: the retry-after of a rejected request
    position: int = 0  # number of the present slot since the clock's zero
    # [A, B] of each slot: spare units, and retries to be deferred once more.
    slots: deque[list[float]] = field(default_factory=deque)

    def borrow(self, now: int, units: float, spare: float) -> int:
        """Borrows units from a later slot.

        Args:
            now: the present time, in us.
            units: the request's cost in quota units.
            spare: W_a = (r_t - lambda) * T0, the units expected to be spare in a new slot.

        Returns:
            The wait before the retry in us, or 0 for a final rejection.
        """
        self._advance(now, spare)
        present = self.slots[0]
        if present[1] > 0:
            present[1] -= 1
            return self.slot_us
        for retry, offset in enumerate(RETRY_OFFSETS):
            if self.slots[offset][0] > 0:
                self.slots[offset][0] -= units
                for exhausted in RETRY_OFFSETS[:retry]:
                    self.slots[exhausted][1] += 1
                return self.slot_us
        return 0

    def _advance(self, now: int, spare: float) -> None:
        """Drops past slots and appends new ones."""
        for _ in range(min(len(self.slots), now // self.slot_us - self.position)):
            self.slots.popleft()
        self.position = now // self.slot_us
        self.slots.extend([spare, 0] for _ in range(SLOTS - len(self.slots)))
