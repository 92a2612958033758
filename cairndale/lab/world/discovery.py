"""Discovery: the true list, and when each gateway is told of a change. It knows only whether a
process runs."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Protocol


class RandomSource(Protocol):
    def random(self) -> float: ...


@dataclass(frozen=True, slots=True)
class Entry:
    server: int
    status: str  # up, draining, removed
    started: int  # us from the start; negative: long ago
    version: int


@dataclass(slots=True)
class Discovery:
    """Pure: `change` and `tick` say at which moments which gateway is to be told; `news` says
    what."""

    ingress_count: int
    period: int  # us that changes are gathered
    spread: int  # us from the first gateway told to the last
    per_s: float  # gateways told a second; 0: no bound
    rng: RandomSource
    up: bool = True
    version: int = 0
    entries: dict[int, Entry] = field(default_factory=dict)
    notified_versions: list[int] = field(default_factory=list)  # version that each gateway has
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
        """What everybody knows when the day begins."""
        for server, at in started.items():
            self.version += 1
            self.entries[server] = Entry(server, "up", at, self.version)
            self._log.append(self.entries[server])
        self.notified_versions = [self.version] * self.ingress_count

    def change(self, now: int, server: int, status: str, started: int) -> dict[int, int]:
        """The list holds a change from now on; for each gateway the moment at which it is to be
        told."""
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
        """When each gateway is told: gathered over a period, spread, and no faster than the service
        can."""
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
        """The changes that this gateway has not been told of, latest word a server; it counts as
        told now. Nothing while discovery is down."""
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
        """The list as that gateway last had it: what it starts from."""
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
