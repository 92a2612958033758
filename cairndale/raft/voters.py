"""Chooses the voters: an odd number, spread over zones and regions. No I/O.

Voters are chosen so that a majority remains after the failures of a `Tolerance`. The caller
determines which members are unreachable or caught up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cairndale.raft.messages import Member

# Preferred minimum: a second voter may fail while the first failed one is being replaced.
MIN_VOTERS = 5
MAX_VOTERS = 9  # each commit waits for a majority of them
MAX_SWAPS = 2  # maximum voters replaced for a better spread in one change


@dataclass(frozen=True, slots=True)
class Tolerance:
    """Failures to survive: this many members, or all members of this many zones or regions."""

    nodes: int = 1
    zones: int = 1
    regions: int = 1


@dataclass(frozen=True, slots=True)
class MemberHealth:
    """Disk ids of members, grouped by the state that the leader sees them in."""

    caught_up: frozenset[str]  # have all committed entries
    stable: frozenset[str]  # caught up, and tracked for longer than the unresponsive timeout
    unreachable: frozenset[str]  # have not replied for longer than the unresponsive timeout
    leaving: frozenset[str]  # have asked to be removed

    @property
    def unavailable(self) -> frozenset[str]:
        """Members that a quorum should not rely on."""
        return self.unreachable | self.leaving


@dataclass(frozen=True, slots=True)
class VoterChoiceInputs:
    """All inputs of a choice of voters, for comparison with the previous choice."""

    locations: tuple[tuple[str, str, str, bool], ...]  # disk id, zone, region, learner
    health: MemberHealth
    tolerance: Tolerance


class _Colocation(NamedTuple):
    """Number of voters that share a member's locations; the smallest tuple is preferred."""

    in_tolerated_region: int  # 0 if no region failure is tolerated: then zones come first
    in_zone: int
    in_region: int
    address: str  # makes the choice deterministic


def _zone(member: Member) -> str:
    # A member that has not reported its zone counts as the only one in its zone.
    return member.zone or f" {member.disk_id}"


def _region(member: Member) -> str:
    return member.region or f" {member.disk_id}"


def _largest_loss(locations: Iterable[str], count: int) -> int:
    """Number of members in the `count` most populated locations."""
    if not count:
        return 0
    return sum(sorted(Counter(locations).values(), reverse=True)[:count])


def quorum_shortfall(
    voters: Sequence[Member], unavailable: Collection[str], tolerance: Tolerance
) -> int:
    """Number of voters that a majority lacks after the worst tolerated failure; 0 if none.

    `unavailable` has the disk ids of the voters that are unavailable already."""
    live = [m for m in voters if m.disk_id not in unavailable]
    worst = max(
        min(tolerance.nodes, len(live)),
        _largest_loss((_zone(m) for m in live), tolerance.zones),
        _largest_loss((_region(m) for m in live), tolerance.regions),
    )
    return max(0, len(voters) // 2 + 1 - (len(live) - worst))


def _colocation(member: Member, voters: Iterable[Member], tolerance: Tolerance) -> _Colocation:
    in_zone = in_region = 0
    for other in voters:
        in_zone += _zone(other) == _zone(member)
        in_region += _region(other) == _region(member)
    in_tolerated_region = in_region if tolerance.regions else 0
    return _Colocation(in_tolerated_region, in_zone, in_region, member.address)


def _shared_locations(voters: Sequence[Member]) -> int:
    """Pairs of voters that share a zone, plus pairs that share a region."""
    counts = (*Counter(map(_zone, voters)).values(), *Counter(map(_region, voters)).values())
    return sum(n * (n - 1) // 2 for n in counts)


def spread(members: Iterable[Member], count: int, tolerance: Tolerance) -> list[Member]:
    """Picks up to `count` of the members, in as many locations as possible."""
    remaining, chosen = list(members), list[Member]()
    while remaining and len(chosen) < count:
        member = min(remaining, key=lambda m: _colocation(m, chosen, tolerance))
        remaining.remove(member)
        chosen.append(member)
    return chosen


def target_voter_count(members: Collection[Member], tolerance: Tolerance) -> int:
    """The target number of voters, which is odd.

    The smallest number from the preferred minimum up that survives the tolerated failures, else the
    largest smaller one that does, else the preferred minimum, or as many as the members allow if
    that is fewer."""
    min_useful_count = 2 * tolerance.nodes + 1
    min_count = max(min_useful_count, MIN_VOTERS)
    max_count = max(1, len(members) - 1 + len(members) % 2)
    more = range(min(min_count, max_count), min(MAX_VOTERS, max_count) + 1, 2)
    fewer = range(min_count - 2, min_useful_count - 1, -2)
    counts: list[int] = [*more, *fewer]
    for count in counts:
        if count <= max_count and not quorum_shortfall(
            spread(members, count, tolerance), (), tolerance
        ):
            return count
    return min(min_count, max_count)


def next_voters(
    members: Collection[Member], health: MemberHealth, leader_id: str, tolerance: Tolerance
) -> frozenset[str]:
    """Disk ids of the voters of the next configuration; the current ones if no change is better.

    `leader_id` is the disk id of the leader, which stays a voter. A set of voters is never
    replaced by one with a larger shortfall."""
    selection = _Selection(members, health, leader_id, tolerance)
    selection.replace_unavailable()
    selection.drop_leaving()
    selection.grow()
    selection.shrink()
    selection.improve_spread()
    return frozenset(m.disk_id for m in selection.voters)


class _Selection:
    """The voters, which are changed step by step, and the learners that may replace them."""

    def __init__(
        self,
        members: Collection[Member],
        health: MemberHealth,
        leader_id: str,
        tolerance: Tolerance,
    ) -> None:
        self.voters = [m for m in members if not m.learner]
        self._eligible_learners = [
            m
            for m in members
            if m.learner and m.disk_id in health.caught_up and m.disk_id not in health.unavailable
        ]
        self._leaving, self._unavailable = health.leaving, health.unavailable
        self._leader_id, self._tolerance = leader_id, tolerance
        self._available = [
            m
            for m in members
            if (m.disk_id in health.stable or m.disk_id == leader_id)
            and m.disk_id not in health.unavailable
        ]
        # The lower bound counts available members only. The upper bound counts unresponsive ones
        # too, since they may come back.
        self._target_count = target_voter_count(self._available, tolerance)
        self._max_count = max(self._target_count, target_voter_count(members, tolerance))

    def _shortfall(self, voters: Sequence[Member]) -> int:
        return quorum_shortfall(voters, self._unavailable, self._tolerance)

    def _set_voters(self, voters: list[Member]) -> None:
        self.voters = voters
        self._eligible_learners = [m for m in self._eligible_learners if m not in voters]

    def _with_replaced(self, replaced: Member) -> list[Member] | None:
        """The voters with the best learner in place of `replaced`; None if there is no learner."""
        if not self._eligible_learners:
            return None
        rest = [m for m in self.voters if m != replaced]
        best = min(
            self._eligible_learners,
            key=lambda m: (self._shortfall([*rest, m]), _colocation(m, rest, self._tolerance)),
        )
        return [*rest, best]

    def replace_unavailable(self) -> None:
        """Replaces voters by learners: first those that are leaving, then unreachable ones."""
        unavailable = [
            m
            for m in self.voters
            if m.disk_id in self._unavailable and m.disk_id != self._leader_id
        ]
        for member in sorted(unavailable, key=lambda m: (m.disk_id not in self._leaving, m)):
            if voters := self._with_replaced(member):
                self._set_voters(voters)

    def drop_leaving(self) -> None:
        """Removes leaving voters without a replacement where that does not weaken the quorum."""
        leaving = [
            m for m in self.voters if m.disk_id in self._leaving and m.disk_id != self._leader_id
        ]
        for member in leaving:
            rest = [m for m in self.voters if m != member]
            is_better = self._shortfall(rest) < self._shortfall(self.voters)
            if rest and (is_better or len(self.voters) > self._max_count):
                self._set_voters(rest)

    def grow(self) -> None:
        """Adds learners up to the target, keeping the number of voters odd."""
        if len(self.voters) >= self._target_count:
            return
        voters = list(self.voters)
        candidates = [m for m in self._eligible_learners if m in self._available]
        while candidates and len(voters) < self._target_count:
            added = min(candidates, key=lambda m: _colocation(m, voters, self._tolerance))
            voters.append(added)
            candidates.remove(added)
        if len(voters) % 2 == 0:
            voters.pop()
        is_larger = len(voters) > len(self.voters)
        if is_larger and self._shortfall(voters) <= self._shortfall(self.voters):
            self._set_voters(voters)

    def shrink(self) -> None:
        """Removes voters in excess of the upper bound, starting with the most dispensable."""
        if not len(self.voters) > self._max_count > 2:
            return
        voters = list(self.voters)
        while len(voters) > self._max_count:
            voters.remove(self._most_dispensable(voters))
        if self._shortfall(voters) <= self._shortfall(self.voters):
            self._set_voters(voters)

    def _most_dispensable(self, voters: Sequence[Member]) -> Member:
        return min(
            (m for m in voters if m.disk_id != self._leader_id),
            key=lambda m: (
                self._shortfall([o for o in voters if o != m]),
                m.disk_id not in self._unavailable,
                m,
            ),
        )

    def improve_spread(self) -> None:
        """Replaces up to `MAX_SWAPS` voters, as long as each replacement improves the set."""

        def cost(voters: Sequence[Member]) -> tuple[int, int]:
            return self._shortfall(voters), _shared_locations(voters)

        for _ in range(MAX_SWAPS):
            replaceable = [m for m in self.voters if m.disk_id != self._leader_id]
            candidate_sets = [voters for m in replaceable if (voters := self._with_replaced(m))]
            best = min(candidate_sets, key=cost, default=self.voters)
            if cost(best) >= cost(self.voters):
                return
            self._set_voters(best)
