"""How long each registration holds. Pure: names and `now` in, names whose lease has run out as the
answer.

A lease that has run out is overdue for a third of its term before it is acted on, so that a fault
that stops many renewals shows as what it is before the first server is taken off the list. Where a
large share is overdue at once, the fault is likely the service's or the network's, and none is
acted on (self-preservation); what is renewed or removed by a call meanwhile counts as ever."""

from __future__ import annotations

from dataclasses import dataclass, field

GRACE_FRACTION = 1 / 3  # of a lease's term, from running out to being acted on


@dataclass(slots=True)
class Lease:
    ttl: float
    expires_at: float

    def removal_due_at(self) -> float:
        return self.expires_at + self.ttl * GRACE_FRACTION


@dataclass(slots=True)
class Leases:
    max_expired_ratio: float = (
        0.3  # of all leases that may run out within a window; more of them are held back
    )
    window_s: float = 30.0  # s
    min_expired: int = 3  # fewer than that are never held back
    max_check_gap_s: float = (
        2.0  # s between two looks, beyond which this process itself was stopped
    )
    suspended_since: float | None = None  # while running out is held back
    _leases: dict[str, Lease] = field(default_factory=dict)
    _removed_at: list[float] = field(
        default_factory=list
    )  # when leases ran out, within the last window
    _last_check_at: float | None = None

    def grant(self, name: str, ttl: float, now: float) -> None:
        self._leases[name] = Lease(ttl, now + ttl)

    def renew(self, name: str, now: float) -> float | None:
        """The term it holds again, or None if there is no such lease."""
        if lease := self._leases.get(name):
            lease.expires_at = now + lease.ttl
            return lease.ttl
        return None

    def revoke(self, name: str) -> None:
        self._leases.pop(name, None)

    def restart(self, ttls: dict[str, float], now: float) -> None:
        """At a start or a promotion: what was renewed before is not known, so each gets a full
        term."""
        self._leases = {name: Lease(ttl, now + ttl) for name, ttl in ttls.items()}
        self._removed_at, self._last_check_at, self.suspended_since = [], now, None

    def overdue(self, now: float) -> list[str]:
        return [name for name, lease in self._leases.items() if lease.expires_at <= now]

    def remaining(self, name: str, now: float) -> float | None:
        lease = self._leases.get(name)
        return lease.expires_at - now if lease else None

    def take_expired(self, now: float) -> list[str]:
        """Those to be taken off the list now; they have no lease any longer."""
        if self._last_check_at is not None and now - self._last_check_at > self.max_check_gap_s:
            pause = now - self._last_check_at  # nobody could renew meanwhile
            for lease in self._leases.values():
                lease.expires_at += pause
        self._last_check_at = now
        self._removed_at = [
            removed_at for removed_at in self._removed_at if removed_at > now - self.window_s
        ]
        due = [name for name, lease in self._leases.items() if lease.removal_due_at() <= now]
        if not due:
            self.suspended_since = None
            return []
        expired_count = len(self.overdue(now)) + len(self._removed_at)
        if expired_count >= self.min_expired and expired_count > self.max_expired_ratio * (
            len(self._leases) + len(self._removed_at)
        ):
            self.suspended_since = now if self.suspended_since is None else self.suspended_since
            return []
        self.suspended_since = None
        for name in due:
            del self._leases[name]
            self._removed_at.append(now)
        return due
