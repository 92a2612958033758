"""Which members of the core are to vote: an odd number, spread over zones and regions so that what
may be lost leaves a majority. Pure; who is lost or up to date is the caller's to say."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from cairndale.raft.messages import Member

# voters, where there are as many: one more may be lost while the first one's place is taken
MIN_VOTERS = 5
MAX_VOTERS = 9  # a change waits for a majority of them
MAX_SWAPS = 2  # at once, for the sake of the spread


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at once: so many members, or all in so many zones, or in so many regions."""

    nodes: int = 1
    zones: int = 1
    regions: int = 1


def _zone(member: Member) -> str:
    return member.zone or f" {member.disk_id}"  # not told: a place of its own


def _region(member: Member) -> str:
    return member.region or f" {member.disk_id}"


def _largest_loss(places: Iterable[str], count: int) -> int:
    return sum(sorted(Counter(places).values(), reverse=True)[:count]) if count else 0


def quorum_shortfall(voters: Sequence[Member], lost: Collection[str], tolerance: Tolerance) -> int:
    """How many voters a majority lacks after the worst loss, with those disks lost already; 0:
    none."""
    live = [m for m in voters if m.disk_id not in lost]
    worst = max(
        min(tolerance.nodes, len(live)),
        _largest_loss((_zone(m) for m in live), tolerance.zones),
        _largest_loss((_region(m) for m in live), tolerance.regions),
    )
    return max(0, len(voters) // 2 + 1 - (len(live) - worst))


def _crowding(
    member: Member, among: Iterable[Member], tolerance: Tolerance
) -> tuple[int, int, int, str]:
    """How many share its places; the fewer, the better it spreads them."""
    zone = region = 0
    for other in among:
        zone += _zone(other) == _zone(member)
        region += _region(other) == _region(member)
    return (region if tolerance.regions else 0, zone, region, member.address)


def _shared_locations(voters: Sequence[Member]) -> int:
    """How many share a zone, and how many a region."""
    counts = (*Counter(map(_zone, voters)).values(), *Counter(map(_region, voters)).values())
    return sum(n * (n - 1) // 2 for n in counts)


def spread(members: Iterable[Member], count: int, tolerance: Tolerance) -> list[Member]:
    """So many of them, in as many places as there are."""
    left, found = list(members), list[Member]()
    while left and len(found) < count:
        one = min(left, key=lambda m: _crowding(m, found, tolerance))
        left.remove(one)
        found.append(one)
    return found


def target_voter_count(members: Collection[Member], tolerance: Tolerance) -> int:
    """The odd number of voters to aim for.

    `MIN_VOTERS` or more if that bears the tolerance, else fewer that do, else as many as the number
    of members allows."""
    needed = 2 * tolerance.nodes + 1
    least, most = max(needed, MIN_VOTERS), max(1, len(members) - 1 + len(members) % 2)
    more, fewer = (
        range(min(least, most), min(MAX_VOTERS, most) + 1, 2),
        range(least - 2, needed - 1, -2),
    )
    counts: list[int] = [*more, *fewer]
    for count in counts:
        if count <= most and not quorum_shortfall(spread(members, count, tolerance), (), tolerance):
            return count
    return min(least, most)


def next_voters(
    members: Collection[Member],
    fit: Collection[str],
    steady: Collection[str],
    lost: Collection[str],
    leaving: Collection[str],
    keep: str,
    tolerance: Tolerance,
) -> frozenset[str]:
    """The disks that are to vote from the next configuration on; those of now, where nothing is
    better.

    `fit`: disks that are up to date; `steady`: of those heard for as it takes to call one
    lost; `lost`: of members that were silent for so long; `leaving`: of those that said so; `keep`:
    the leader's, which stays. No set that bears less takes the place of another."""
    away = frozenset((*lost, *leaving))
    before = [m for m in members if not m.learner]
    spare = [m for m in members if m.learner and m.disk_id in fit and m.disk_id not in away]
    # As many as those give that are there, and no fewer because some are silent.
    there = [
        m for m in members if (m.disk_id in steady or m.disk_id == keep) and m.disk_id not in away
    ]
    now, count = list(before), target_voter_count(there, tolerance)
    most = max(count, target_voter_count(members, tolerance))

    def lacks(voters: Sequence[Member]) -> int:
        return quorum_shortfall(voters, away, tolerance)

    def swapped(out: Member) -> list[Member] | None:
        """The best learner in the place of that one."""
        rest = [m for m in now if m != out]
        if not spare:
            return None
        return [*rest, min(spare, key=lambda m: (lacks([*rest, m]), _crowding(m, rest, tolerance)))]

    def take(voters: list[Member]) -> None:
        nonlocal now
        now = voters
        spare[:] = [m for m in spare if m not in now]

    for one in sorted(
        (m for m in before if m.disk_id in away), key=lambda m: (m.disk_id not in leaving, m)
    ):
        if one.disk_id != keep and (other := swapped(one)):
            take(other)
    for one in [
        m for m in now if m.disk_id in leaving and m.disk_id != keep
    ]:  # nobody can take its place
        rest = [m for m in now if m != one]
        if rest and (lacks(rest) < lacks(now) or len(now) > most):
            take(rest)
    if len(now) < count:
        more, free = list(now), [m for m in spare if m in there]
        while free and len(more) < count:
            more.append(min(free, key=lambda m: _crowding(m, more, tolerance)))
            free.remove(more[-1])
        if len(more) % 2 == 0:
            more.pop()
        if len(more) > len(now) and lacks(more) <= lacks(now):
            take(more)
    if len(now) > most > 2:
        fewer = list(now)
        while len(fewer) > most:
            out = min(
                (m for m in fewer if m.disk_id != keep),
                key=lambda m: (lacks([o for o in fewer if o != m]), m.disk_id not in away, m),
            )
            fewer.remove(out)
        if lacks(fewer) <= lacks(now):
            take(fewer)
    for _ in range(MAX_SWAPS):
        options = [o for m in now if m.disk_id != keep and (o := swapped(m))]
        best = min(options, key=lambda o: (lacks(o), _shared_locations(o)), default=now)
        if (lacks(best), _shared_locations(best)) >= (lacks(now), _shared_locations(now)):
            break
        take(best)
    return frozenset(m.disk_id for m in now)
