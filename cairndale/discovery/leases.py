"""Leases of registered servers, by server name. Free of I/O: each method takes the current time in
seconds.

A lease that is not renewed expires, and its server is removed a third of the lease's TTL later. A
fault that stops many renewals therefore shows as many expired leases before the first server is
removed. If a large share of the leases has expired at once, the fault is likely in the list service
or the network, and no server is removed (self-preservation). Renewals and explicit removals still
take effect meanwhile."""

from __future__ import annotations

from dataclasses import dataclass, field

GRACE_FRACTION = 1 / 3  # of a lease's TTL, from its expiry to the removal of its server


@dataclass(slots=True)
class Lease:
    """A lease's TTL in seconds, and when it expires unless it is renewed."""

    ttl: float
    expires_at: float

    def removal_due_at(self) -> float:
        """When the server is to be removed: the expiry plus the grace period."""
        return self.expires_at + self.ttl * GRACE_FRACTION


@dataclass(slots=True)
class Leases:
    """The leases of all servers, with the limits of self-preservation."""

    # Removals are suspended if more than this share of the leases expires within a window ...
    max_expired_ratio: float = 0.3
    window_s: float = 30.0
    min_expired: int = 3  # ... and these are at least this many
    # A longer gap between two checks means that this process itself was stopped.
    max_check_gap_s: float = 2.0
    suspended_since: float | None = None  # None: removals are not suspended
    _leases: dict[str, Lease] = field(default_factory=dict)
    _removed_at: list[float] = field(default_factory=list)  # removals within the last window
    _last_check_at: float | None = None

    def grant(self, name: str, ttl: float, now: float) -> None:
        """Starts a lease, in place of an earlier one of that name."""
        self._leases[name] = Lease(ttl, now + ttl)

    def renew(self, name: str, now: float) -> float | None:
        """Returns the TTL of the renewed lease, or None if there is no such lease."""
        if lease := self._leases.get(name):
            lease.expires_at = now + lease.ttl
            return lease.ttl
        return None

    def revoke(self, name: str) -> None:
        """Ends a lease whose server was removed by a request."""
        self._leases.pop(name, None)

    def restart(self, ttls: dict[str, float], now: float) -> None:
        """Gives every server a full TTL, at a start or a promotion: earlier renewals are
        unknown."""
        self._leases = {name: Lease(ttl, now + ttl) for name, ttl in ttls.items()}
        self._removed_at, self._last_check_at, self.suspended_since = [], now, None

    def overdue(self, now: float) -> list[str]:
        """Returns the names whose lease has expired and whose server is not removed yet."""
        return [name for name, lease in self._leases.items() if lease.expires_at <= now]

    def remaining(self, name: str, now: float) -> float | None:
        """Returns the seconds until the lease expires, or None if there is no such lease."""
        lease = self._leases.get(name)
        return lease.expires_at - now if lease else None

    def take_expired(self, now: float) -> list[str]:
        """Returns the servers to remove now, and ends their leases."""
        if self._last_check_at is not None and now - self._last_check_at > self.max_check_gap_s:
            pause = now - self._last_check_at  # no server could renew meanwhile
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
