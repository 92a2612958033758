"""Model of discovery: the current endpoint list, and when each ingress is notified of a change.

Discovery knows whether a process runs, not whether it is healthy.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Protocol


class RandomSource(Protocol):
    def random(self) -> float: ...


@dataclass(frozen=True, slots=True)
class Entry:
    """The state of one server in the list, as of `version`."""

    server: int
    status: str  # up, draining, removed
    started: int  # us since the start of the run; negative: long ago
    version: int


@dataclass(slots=True)
class Discovery:
    """Pure state: `change` and `notification_times` return when to notify each ingress, and
    `take_update` what to send then."""

    ingress_count: int
    period: int  # us; changes are batched over this period
    spread: int  # us between the first and the last notification of a change
    per_s: float  # notifications per second; 0: unlimited
    rng: RandomSource
    up: bool = True
    version: int = 0
    entries: dict[int, Entry] = field(default_factory=dict)
    notified_versions: list[int] = field(default_factory=list)  # by ingress: the version last sent
    _log: list[Entry] = field(default_factory=list)
    _free_at: float = 0.0

    @classmethod
    def from_figures(
        cls, ingress_count: int, figures: dict[str, float], rng: RandomSource
    ) -> Discovery:
        period, spread = int(figures["period_ms"] * 1000), int(figures["spread_ms"] * 1000)
        return cls(
            ingress_count,
            period,
            spread,
            figures["per_s"],
            rng,
            notified_versions=[0] * ingress_count,
        )

    def initialize(self, started: dict[int, int]) -> None:
        """Set the list that all ingresses know at the start of the run."""
        for server, at in started.items():
            self.version += 1
            self.entries[server] = Entry(server, "up", at, self.version)
            self._log.append(self.entries[server])
        self.notified_versions = [self.version] * self.ingress_count

    def change(self, now: int, server: int, status: str, started: int) -> dict[int, int]:
        """Apply a change to the list; return the notification time of each ingress."""
        current = self.entries.get(server)
        if current and (current.status, current.started) == (status, started):
            return {}
        self.version += 1
        entry = Entry(server, status, started, self.version)
        if status == "removed":
            self.entries.pop(server, None)
        else:
            self.entries[server] = entry
        self._log.append(entry)
        return self.notification_times(now)

    def notification_times(self, now: int) -> dict[int, int]:
        """When to notify each ingress: batched over a period, spread, and limited to `per_s`."""
        earliest = now + int(self.period * self.rng.random())
        times = {}
        for ingress_index in range(self.ingress_count):
            at = earliest + int(self.spread * self.rng.random())
            if self.per_s:
                self._free_at = max(self._free_at, float(at)) + 1e6 / self.per_s
                at = int(self._free_at)
            times[ingress_index] = at
        return times

    def take_update(self, ingress_index: int) -> tuple[int, list[Entry]]:
        """Return the version and the latest change of each server that this ingress has not
        received, and mark it as sent. Empty while discovery is down."""
        if not self.up:
            return self.notified_versions[ingress_index], []
        latest: dict[int, Entry] = {}
        for entry in reversed(self._log):
            if entry.version <= self.notified_versions[ingress_index]:
                break
            latest.setdefault(entry.server, entry)
        self.notified_versions[ingress_index] = self.version
        return self.version, [latest[number] for number in sorted(latest)]

    def full_list(self) -> list[Entry]:
        return [replace(self.entries[number]) for number in sorted(self.entries)]

    def list_sent_to(self, ingress_index: int) -> list[Entry]:
        """The list as last sent to this ingress: its cached list after a restart."""
        entries_by_server: dict[int, Entry] = {}
        for entry in self._log:
            if entry.version > self.notified_versions[ingress_index]:
                break
            entries_by_server[entry.server] = entry
        return [
            entries_by_server[number]
            for number in sorted(entries_by_server)
            if entries_by_server[number].status != "removed"
        ]
