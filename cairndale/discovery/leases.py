"""How long each registration holds. Pure: names and `now` in, names whose lease has run out as the
answer.

A lease that has run out is overdue for a third of its term before it is acted on, so that a fault
that stops many renewals shows as what it is before the first server is taken off the list. Where a
large share is overdue at once, the fault is likely the service's or the network's, and none is
acted on (self-preservation); what is renewed or removed by a call meanwhile counts as ever."""

from __future__ import annotations

from dataclasses import dataclass, field

GRACE = 1 / 3  # of a lease's term, from running out to being acted on


@dataclass(slots=True)
class Lease:
    term: float
    ends: float

    def due(self) -> float:
        return self.ends + self.term * GRACE


@dataclass(slots=True)
class Leases:
    share: float = 0.3  # of all leases that may run out within a window; more of them are held back
    window: float = 30.0  # s
    least: int = 3  # fewer than that are never held back
    gap: float = 2.0  # s between two looks, beyond which this process itself was stopped
    held_since: float | None = None  # while running out is held back
    _leases: dict[str, Lease] = field(default_factory=dict)
    _gone: list[float] = field(default_factory=list)  # when leases ran out, within the last window
    _looked: float | None = None

    def grant(self, name: str, term: float, now: float) -> None:
        self._leases[name] = Lease(term, now + term)

    def renew(self, name: str, now: float) -> float | None:
        """The term it holds again, or None if there is no such lease."""
        if lease := self._leases.get(name):
            lease.ends = now + lease.term
            return lease.term
        return None

    def drop(self, name: str) -> None:
        self._leases.pop(name, None)

    def begin(self, terms: dict[str, float], now: float) -> None:
        """At a start or a promotion: what was renewed before is not known, so each gets a full
        term."""
        self._leases = {name: Lease(term, now + term) for name, term in terms.items()}
        self._gone, self._looked, self.held_since = [], now, None

    def overdue(self, now: float) -> list[str]:
        return [name for name, lease in self._leases.items() if lease.ends <= now]

    def left(self, name: str, now: float) -> float | None:
        lease = self._leases.get(name)
        return lease.ends - now if lease else None

    def run_out(self, now: float) -> list[str]:
        """Those to be taken off the list now; they have no lease any longer."""
        if self._looked is not None and now - self._looked > self.gap:
            stopped = now - self._looked  # nobody could renew meanwhile
            for lease in self._leases.values():
                lease.ends += stopped
        self._looked = now
        self._gone = [at for at in self._gone if at > now - self.window]
        due = [name for name, lease in self._leases.items() if lease.due() <= now]
        if not due:
            self.held_since = None
            return []
        lost = len(self.overdue(now)) + len(self._gone)
        if lost >= self.least and lost > self.share * (len(self._leases) + len(self._gone)):
            self.held_since = now if self.held_since is None else self.held_since
            return []
        self.held_since = None
        for name in due:
            del self._leases[name]
            self._gone.append(now)
        return due
