"""Counts rejected messages and connections of other processes, and logs them at a bounded rate."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from cairndale.events import Event, log_event

LOG_INTERVAL_S = 5.0  # between two log lines about the same event


@dataclass(frozen=True, slots=True)
class _Suppression:
    """No log line before `until`; `omitted` lines were suppressed since the last one."""

    until: float = 0.0
    omitted: int = 0


class RejectionLog:
    """Counts rejections by kind, with a rate limit on log lines as a sender may repeat itself.

    Args:
        now: returns seconds on a monotonic clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self.counts: Counter[str] = Counter()
        self._suppressions: dict[Event, _Suppression] = {}

    def add(self, kind: str, event: Event, reason: str) -> None:
        """Count a rejection, and log it unless that event was logged within `LOG_INTERVAL_S`."""
        self.counts[kind] += 1
        now, suppression = self._now(), self._suppressions.get(event, _Suppression())
        if now < suppression.until:
            self._suppressions[event] = _Suppression(suppression.until, suppression.omitted + 1)
            return
        self._suppressions[event] = _Suppression(now + LOG_INTERVAL_S)
        omitted = f" ({suppression.omitted} more before)" if suppression.omitted else ""
        log_event(event, "%s%s", reason, omitted)
