"""Which members vote: an odd number, spread over zones and regions. Pure.

Voters are chosen so that a majority remains after the losses of a `Tolerance`. Which members are
lost or caught up is for the caller to say."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cairndale.raft.messages import Member

# Voters, if there are as many members: another may be lost while a lost one is being replaced.
MIN_VOTERS = 5
MAX_VOTERS = 9  # each commit waits for a majority of them
MAX_SWAPS = 2  # voters replaced for a better spread in one change


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at once: so many members, or all in so many zones, or in so many regions."""

    nodes: int = 1
    zones: int = 1
    regions: int = 1


@dataclass(frozen=True, slots=True)
class MemberHealth:
    """Disk ids of members by what the leader knows of them."""

    caught_up: frozenset[str]  # hold all committed entries
    steady: frozenset[str]  # caught up, and known for as long as it takes to call one lost
    lost: frozenset[str]  # have not replied for long
    leaving: frozenset[str]  # have asked to be removed

    @property
    def away(self) -> frozenset[str]:
        """Those not to count on."""
        return self.lost | self.leaving


@dataclass(frozen=True, slots=True)
class VoterChoiceInputs:
    """All that a choice of voters depends on, to be compared with that of the last one."""

    locations: tuple[tuple[str, str, str, bool], ...]  # disk id, zone, region, learner
    health: MemberHealth
    tolerance: Tolerance


class _Crowding(NamedTuple):
    """How many voters share a member's locations; compared field by field, the least is best."""

    in_tolerated_region: int  # 0 where no region is to be lost: zones come first then
    in_zone: int
    in_region: int
    address: str  # makes the choice the same at each member


def _zone(member: Member) -> str:
    # A member that has not reported its location counts as alone in one.
    return member.zone or f" {member.disk_id}"


def _region(member: Member) -> str:
    return member.region or f" {member.disk_id}"


def _largest_loss(locations: Iterable[str], count: int) -> int:
    """Members in the `count` locations that have the most."""
    if not count:
        return 0
    return sum(sorted(Counter(locations).values(), reverse=True)[:count])


def quorum_shortfall(voters: Sequence[Member], lost: Collection[str], tolerance: Tolerance) -> int:
    """How many voters a majority lacks after the worst tolerated loss; 0: it is borne.

    `lost` are the disk ids of those that are lost already."""
    live = [m for m in voters if m.disk_id not in lost]
    worst = max(
        min(tolerance.nodes, len(live)),
        _largest_loss((_zone(m) for m in live), tolerance.zones),
        _largest_loss((_region(m) for m in live), tolerance.regions),
    )
    return max(0, len(voters) // 2 + 1 - (len(live) - worst))


def _crowding(member: Member, voters: Iterable[Member], tolerance: Tolerance) -> _Crowding:
    in_zone = in_region = 0
    for other in voters:
        in_zone += _zone(other) == _zone(member)
        in_region += _region(other) == _region(member)
    in_tolerated_region = in_region if tolerance.regions else 0
    return _Crowding(in_tolerated_region, in_zone, in_region, member.address)


def _shared_locations(voters: Sequence[Member]) -> int:
    """Pairs of voters that share a zone, plus pairs that share a region."""
    counts = (*Counter(map(_zone, voters)).values(), *Counter(map(_region, voters)).values())
    return sum(n * (n - 1) // 2 for n in counts)


def spread(members: Iterable[Member], count: int, tolerance: Tolerance) -> list[Member]:
    """Up to `count` of the members, in as many locations as possible."""
    left, chosen = list(members), list[Member]()
    while left and len(chosen) < count:
        member = min(left, key=lambda m: _crowding(m, chosen, tolerance))
        left.remove(member)
        chosen.append(member)
    return chosen


def target_voter_count(members: Collection[Member], tolerance: Tolerance) -> int:
    """The odd number of voters to aim for.

    `MIN_VOTERS` or more if that bears the tolerance, else fewer that do, else as many as the number
    of members allows."""
    needed = 2 * tolerance.nodes + 1
    least = max(needed, MIN_VOTERS)
    most = max(1, len(members) - 1 + len(members) % 2)
    more = range(min(least, most), min(MAX_VOTERS, most) + 1, 2)
    fewer = range(least - 2, needed - 1, -2)
    counts: list[int] = [*more, *fewer]
    for count in counts:
        if count <= most and not quorum_shortfall(spread(members, count, tolerance), (), tolerance):
            return count
    return min(least, most)


def next_voters(
    members: Collection[Member], health: MemberHealth, keep: str, tolerance: Tolerance
) -> frozenset[str]:
    """Disk ids of the voters of the next configuration; the present ones if none are better.

    `keep` is the leader's disk id, which stays a voter. A set of voters is never replaced by one
    with a larger shortfall."""
    selection = _Selection(members, health, keep, tolerance)
    selection.replace_away()
    selection.drop_leaving()
    selection.grow()
    selection.shrink()
    selection.improve_spread()
    return frozenset(m.disk_id for m in selection.voters)


class _Selection:
    """Voters that are changed step by step, and the learners that may take their place."""

    def __init__(
        self, members: Collection[Member], health: MemberHealth, keep: str, tolerance: Tolerance
    ) -> None:
        self.voters = [m for m in members if not m.learner]
        self._spare = [
            m
            for m in members
            if m.learner and m.disk_id in health.caught_up and m.disk_id not in health.away
        ]
        self._leaving, self._away = health.leaving, health.away
        self._keep, self._tolerance = keep, tolerance
        self._present = [
            m
            for m in members
            if (m.disk_id in health.steady or m.disk_id == keep) and m.disk_id not in health.away
        ]
        # Growth counts members that are there; shrinking does not count silent ones as gone.
        self._target = target_voter_count(self._present, tolerance)
        self._most = max(self._target, target_voter_count(members, tolerance))

    def _shortfall(self, voters: Sequence[Member]) -> int:
        return quorum_shortfall(voters, self._away, self._tolerance)

    def _take(self, voters: list[Member]) -> None:
        self.voters = voters
        self._spare = [m for m in self._spare if m not in voters]

    def _with_replaced(self, replaced: Member) -> list[Member] | None:
        """The voters with the best learner in place of one of them; None if there is none."""
        if not self._spare:
            return None
        rest = [m for m in self.voters if m != replaced]
        best = min(
            self._spare,
            key=lambda m: (self._shortfall([*rest, m]), _crowding(m, rest, self._tolerance)),
        )
        return [*rest, best]

    def replace_away(self) -> None:
        """Learners take the place of voters that leave, then of those that are lost."""
        away = [m for m in self.voters if m.disk_id in self._away and m.disk_id != self._keep]
        for member in sorted(away, key=lambda m: (m.disk_id not in self._leaving, m)):
            if voters := self._with_replaced(member):
                self._take(voters)

    def drop_leaving(self) -> None:
        """Voters that leave without a replacement go if that does not weaken the quorum."""
        leaving = [m for m in self.voters if m.disk_id in self._leaving and m.disk_id != self._keep]
        for member in leaving:
            rest = [m for m in self.voters if m != member]
            is_better = self._shortfall(rest) < self._shortfall(self.voters)
            if rest and (is_better or len(self.voters) > self._most):
                self._take(rest)

    def grow(self) -> None:
        """Adds learners up to the target, to an odd number of voters."""
        if len(self.voters) >= self._target:
            return
        voters = list(self.voters)
        candidates = [m for m in self._spare if m in self._present]
        while candidates and len(voters) < self._target:
            added = min(candidates, key=lambda m: _crowding(m, voters, self._tolerance))
            voters.append(added)
            candidates.remove(added)
        if len(voters) % 2 == 0:
            voters.pop()
        is_larger = len(voters) > len(self.voters)
        if is_larger and self._shortfall(voters) <= self._shortfall(self.voters):
            self._take(voters)

    def shrink(self) -> None:
        """Removes voters beyond the largest useful number, those first that are missed least."""
        if not len(self.voters) > self._most > 2:
            return
        voters = list(self.voters)
        while len(voters) > self._most:
            voters.remove(self._least_missed(voters))
        if self._shortfall(voters) <= self._shortfall(self.voters):
            self._take(voters)

    def _least_missed(self, voters: Sequence[Member]) -> Member:
        return min(
            (m for m in voters if m.disk_id != self._keep),
            key=lambda m: (
                self._shortfall([o for o in voters if o != m]),
                m.disk_id not in self._away,
                m,
            ),
        )

    def improve_spread(self) -> None:
        """Replaces a few voters, as long as each replacement makes the set better."""

        def cost(voters: Sequence[Member]) -> tuple[int, int]:
            return self._shortfall(voters), _shared_locations(voters)

        for _ in range(MAX_SWAPS):
            replaceable = [m for m in self.voters if m.disk_id != self._keep]
            options = [voters for m in replaceable if (voters := self._with_replaced(m))]
            best = min(options, key=cost, default=self.voters)
            if cost(best) >= cost(self.voters):
                return
            self._take(best)
