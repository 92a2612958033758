"""Leases under a simulated clock: TTLs, restarts, faults that stop many renewals at once."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.discovery.leases import Leases

TTL = 9.0


def granted_leases(count: int) -> Leases:
    leases = Leases()
    leases.restart({}, 0.0)
    for number in range(count):
        leases.grant(f"s{number}", TTL, 0.0)
    return leases


def run(leases: Leases, start: float, end: float, renewing: set[str]) -> dict[str, float]:
    """Checks twice a second and renews every third of the TTL; returns when each was removed."""
    removed: dict[str, float] = {}
    for tick in range(int(start * 2), int(end * 2)):
        now = tick / 2
        if tick % 6 == 0:
            for name in renewing:
                leases.renew(name, now)
        removed |= {name: now for name in leases.take_expired(now)}
    return removed


def test_a_server_is_removed_a_third_of_the_ttl_after_its_lease_expired() -> None:
    leases = granted_leases(10)
    removed = run(leases, 0, 40, {f"s{n}" for n in range(1, 10)})
    assert (
        removed == {"s0": TTL * 4 / 3}
        and leases.renew("s0", 41) is None
        and leases.renew("s1", 41) == TTL
    )


def test_removals_are_suspended_while_many_leases_have_expired() -> None:
    leases = granted_leases(10)
    renewing_names = {f"s{n}" for n in range(6)}
    assert run(leases, 0, 100, renewing_names) == {} and leases.suspended_since is not None
    assert len(leases.overdue(100)) == 4
    everyone = {f"s{n}" for n in range(10)}
    assert run(leases, 100, 140, everyone) == {} and leases.suspended_since is None


def test_the_few_that_do_not_renew_after_a_suspension_are_removed() -> None:
    leases = granted_leases(10)
    run(leases, 0, 50, set())
    removed = run(leases, 50, 100, {f"s{n}" for n in range(8)})
    assert removed.keys() == {"s8", "s9"}


def test_expiries_spread_over_time_are_counted_together() -> None:
    """If renewals stop for all servers, their leases expire over a third of the TTL."""
    leases = Leases()
    leases.restart({}, 0.0)
    for number in range(30):
        leases.grant(f"s{number}", TTL, number / 10)
    assert run(leases, 3, 60, set()) == {}


def test_fewer_expired_leases_than_the_minimum_are_removed() -> None:
    leases = granted_leases(3)
    assert run(leases, 0, 40, {"s0"}).keys() == {"s1", "s2"}


def test_a_lease_can_be_revoked_while_removals_are_suspended() -> None:
    leases = granted_leases(10)
    run(leases, 0, 50, set())
    leases.revoke("s3")
    assert leases.renew("s3", 50) is None and len(leases.overdue(50)) == 9


def test_a_restart_gives_every_lease_a_full_ttl() -> None:
    leases = Leases()
    leases.restart({f"s{n}": TTL for n in range(5)}, 1000.0)
    assert run(leases, 1000, 1000 + TTL, set()) == {} and leases.remaining("s0", 1000 + TTL) == 0


def test_leases_are_extended_by_the_time_that_the_process_was_stopped() -> None:
    leases = granted_leases(1)
    assert run(leases, 0, 5, {"s0"}) == {}
    assert leases.take_expired(300.0) == [] and (leases.remaining("s0", 300.0) or 0) > 0
    assert run(leases, 300.5, 320, set()).keys() == {"s0"}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 19), st.floats(0, 4)), max_size=120), st.integers(1, 20))
def test_no_more_servers_are_removed_within_a_window_than_the_ratio_allows(
    renewals: list[tuple[int, float]], size: int
) -> None:
    leases, now = granted_leases(size), 0.0
    removed_at: list[float] = []
    for number, step in renewals:
        now += step
        leases.renew(f"s{number}", now)
        removed_at += [now] * len(leases.take_expired(now))
        recent = [at for at in removed_at if at > now - leases.window_s]
        overdue_count = len(leases.overdue(now))
        total = size - len(removed_at) + len(recent)
        assert (
            len(recent) < leases.min_expired or len(recent) <= leases.max_expired_ratio * total
        ), (
            recent,
            overdue_count,
        )
