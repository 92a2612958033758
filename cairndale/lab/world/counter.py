"""Model of the shared counter: named totals with a TTL on partitions that serve one call at a time.

See PROTOCOL, 'The counter', and BENCH, 'counter'.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

MAX_TTL_US = 60_000_000


class CallStatus(Enum):
    """How a call to the counter ended."""

    OK = "ok"
    BUSY = "busy"
    DOWN = "down"  # connection refused; nothing was added
    LOST = "lost"  # added, but the answer was lost
    SPOILT = "spoilt"  # added, but the answer contains no number


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a call, and the total after it."""

    status: CallStatus
    answered_at: int  # us: when the counter sends the answer
    total: float = 0.0


@dataclass(slots=True)
class _Entry:
    total: float
    expires_at: int


@dataclass(slots=True)
class Counter:
    """The shared counter; see the module docstring."""

    partitions: int
    service_us: int  # service time of one call
    max_queue_us: int  # queued work above which a partition rejects calls as busy
    up: bool = True
    invalid_share: float = 0.0  # share of answers that contain no number
    lost_share: float = 0.0  # share of answers that are lost
    calls: int = 0
    _free_at: list[int] = field(default_factory=list)
    _entries: dict[int, _Entry] = field(default_factory=dict)
    _last_sweep: int = 0

    def __post_init__(self) -> None:
        self._free_at = [0] * self.partitions

    @classmethod
    def from_figures(cls, figures: dict[str, float]) -> Counter:
        """Build from the figures drawn for a day. The service time of a call is the longer of `ms`
        and a partition's share of the rate `per_s`."""
        partitions = max(1, int(figures["parts"]))
        service_us = max(figures["ms"] * 1000, 1e6 * partitions / max(1.0, figures["per_s"]))
        return cls(
            partitions,
            int(service_us),
            int(figures["queue_timeouts"] * figures["timeout_ms"] * 1000),
        )

    def add(self, now: int, name: int, amount: float, ttl: int, draw: float = 1.0) -> Answer:
        """Add to the total of a name. Totals follow the order of calls.

        `draw` in [0, 1) decides whether the answer is invalid or lost."""
        self.calls += 1
        if not self.up:
            return Answer(CallStatus.DOWN, now)
        partition = name % self.partitions
        started_at = max(now, self._free_at[partition])
        if started_at - now > self.max_queue_us:
            return Answer(CallStatus.BUSY, now)
        finished_at = self._free_at[partition] = started_at + self.service_us
        if now - self._last_sweep > MAX_TTL_US // 4:
            self._last_sweep = now
            self._entries = {
                key: item for key, item in self._entries.items() if item.expires_at > now
            }
        entry = self._entries.get(name)
        if entry is None or entry.expires_at <= started_at:
            entry = self._entries[name] = _Entry(0.0, started_at + min(max(1, ttl), MAX_TTL_US))
        entry.total += amount
        status = (
            CallStatus.SPOILT
            if draw < self.invalid_share
            else CallStatus.LOST
            if draw < self.invalid_share + self.lost_share
            else CallStatus.OK
        )
        return Answer(status, finished_at, entry.total)

    def stop(self) -> None:
        """Stop the counter; all totals are lost."""
        self.up = False
        self._entries.clear()

    def restart(self, now: int) -> None:
        self.up, self._free_at = True, [now] * self.partitions

    def name_count(self) -> int:
        return len(self._entries)
