"""Voters and learners: the policy against a slow plain model, and core machines replaced one after
the other in virtual time."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest

from cairndale.raft import codec, membership
from cairndale.raft.messages import Member, Message, Ready, TimeoutNow
from cairndale.raft.node import RaftNode, bootstrap_state
from cairndale.raft.replica import Role
from cairndale.raft.voters import (
    MIN_VOTERS,
    MemberHealth,
    Tolerance,
    next_voters,
    quorum_shortfall,
    spread,
    target_voter_count,
)
from cairndale.rpc import protocol_pb2 as pb
from tests.testing.raft_cluster import SEEDS, Disk, RaftCluster


def nodes(*counts: dict[str, int]) -> list[Member]:
    """A region for each, with so many machines in each of its zones."""
    return [
        Member(f"{zone}-{n}:1", f"{region}{zone}{n}", f"{region}{zone}", f"r{region}", True)
        for region, zones in enumerate(counts)
        for zone, count in zones.items()
        for n in range(count)
    ]


def worst(voters: list[Member], away: frozenset[str], tolerance: Tolerance) -> int:
    """The plain model: how many are left after the worst of all losses that are to be borne, each
    tried."""
    live = [m for m in voters if m.disk_id not in away]
    losses = [set(live[:0])]
    kinds = (("disk_id", tolerance.nodes), ("zone", tolerance.zones), ("region", tolerance.regions))
    for attribute, count in kinds:
        places = {getattr(m, attribute) for m in live}
        for gone in itertools.combinations(places, min(count, len(places))):
            losses.append({m for m in live if getattr(m, attribute) in gone})
    return min(len(live) - len(loss) for loss in losses)


def bears(voters: list[Member], tolerance: Tolerance, away: frozenset[str] = frozenset()) -> bool:
    return worst(voters, away, tolerance) > len(voters) // 2


def settled(
    members: list[Member],
    tolerance: Tolerance,
    away: frozenset[str] = frozenset(),
    rng: random.Random | None = None,
) -> list[Member]:
    """One change after the other until nothing is to be changed, each of them looked at."""
    keep = next(m.disk_id for m in members if not m.learner and m.disk_id not in away)
    for _ in range(6):
        before = {m.disk_id for m in members if not m.learner}
        fit = {m.disk_id for m in members} - away
        if rng:  # some have not caught up yet
            fit = {d for d in sorted(fit) if rng.random() < 0.5}
        health = MemberHealth(frozenset(fit), frozenset(fit), unreachable=away, leaving=frozenset())
        votes = next_voters(members, health, keep, tolerance)
        assert len(votes) % 2 or len(before) % 2 == 0, "an even number"
        if rng is None and votes == before:
            return [m for m in members if not m.learner]
        assert keep in votes and votes <= before | fit
        now = [[m for m in members if m.disk_id in some] for some in (before, votes)]
        lacks = [quorum_shortfall(some, away, tolerance) for some in now]
        assert lacks[1] <= lacks[0], "a change that bears less"
        members = [replace(m, learner=m.disk_id not in votes) for m in members]
    assert rng, "it never comes to rest"
    return [m for m in members if not m.learner]


def with_voters(members: list[Member], count: int) -> list[Member]:
    return [replace(m, learner=n >= count) for n, m in enumerate(members)]


GROWN = nodes(*({"a": 2, "b": 1, "c": 1} for _ in range(3)))
SMALL = nodes({"a": 1, "b": 1}, {"a": 1, "b": 1}, {"a": 1})
TWO = Tolerance(2, 1, 1)


def test_the_voters_of_a_grown_site_stand_apart() -> None:
    for seed in range(20):
        members = random.Random(seed).sample(GROWN, 12)
        voters = settled(with_voters(members, 3), TWO)
        assert len(voters) == 5 and bears(voters, TWO)
        assert max(sum(m.region == r for m in voters) for r in ("r0", "r1", "r2")) <= 2
        assert len({m.zone for m in voters}) == 5


@pytest.mark.parametrize(
    ("members", "tolerance", "count", "borne"),
    [
        (SMALL, Tolerance(), 5, True),
        (SMALL[::2], Tolerance(), 3, True),
        (SMALL[:1], Tolerance(), 1, False),
        (SMALL[:2], Tolerance(), 1, False),
        (SMALL[:4], Tolerance(1, 1, 0), 3, True),
        (nodes({"a": 9}, {"a": 1}, {"a": 1}), Tolerance(), 3, True),  # one region holds most
        (nodes({"a": 3}, {"a": 2}, {"a": 2}), Tolerance(3, 1, 1), 7, True),
        (nodes({"a": 1, "b": 1, "c": 1}), Tolerance(1, 1, 0), 3, True),
        (
            [Member(f"{n}:1", str(n), learner=True) for n in range(5)],
            Tolerance(),
            5,
            True,
        ),  # no place told
    ],
)
def test_how_many_vote(
    members: list[Member], tolerance: Tolerance, count: int, borne: bool
) -> None:
    assert target_voter_count(members, tolerance) == count
    voters = settled(with_voters(members, 1), tolerance)
    assert (len(voters), quorum_shortfall(voters, (), tolerance) == 0) == (count, borne)


def test_all_that_older_disks_name_are_voters_and_the_surplus_goes() -> None:
    voters = settled(with_voters(GROWN, 12), TWO)
    assert len(voters) == 5 and bears(voters, TWO)


def test_the_policy_is_what_a_slow_plain_model_says() -> None:
    rng, better = random.Random(0), 0
    for _ in range(1500):
        zones = rng.randint(1, 5)
        home = [rng.randrange(3) for _ in range(zones)]
        places = [rng.randrange(zones) for _ in range(rng.randint(1, 8))]
        members = [
            Member(f"m{n}:1", str(n), f"z{z}", f"r{home[z]}", True) for n, z in enumerate(places)
        ]
        tolerance = Tolerance(rng.randint(0, 2), rng.randint(0, 1), rng.randint(0, 1))
        for count in range(1, len(members) + 1):
            some = rng.sample(members, count)
            away = frozenset(
                m.disk_id for m in rng.sample(members, rng.randint(0, min(2, len(members) - 1)))
            )
            lacks = max(0, count // 2 + 1 - worst(some, away, tolerance))
            assert quorum_shortfall(some, away, tolerance) == lacks
        odd = [n for n in range(1, 10, 2) if 2 * tolerance.nodes < n <= len(members)]
        odd.sort(key=lambda n: (n < MIN_VOTERS, abs(n - MIN_VOTERS)))
        able = [
            n
            for n in odd
            if any(bears(list(s), tolerance) for s in itertools.combinations(members, n))
        ]
        if able:
            assert target_voter_count(members, tolerance) == able[0]
            assert bears(spread(members, able[0], tolerance), tolerance)
            voters = settled(
                with_voters(members, 1 if len(members) < 3 else rng.choice((1, 3))), tolerance
            )
            assert bears(voters, tolerance) and len(voters) == able[0]
        start = with_voters(members, rng.randint(1, len(members)))
        away = frozenset(m.disk_id for m in rng.sample(members, min(2, len(members) - 1)))
        away -= {start[0].disk_id}
        settled(start, tolerance, away, rng)
        both = ([m for m in start if not m.learner], settled(start, tolerance, away))
        margins = [worst(some, away, tolerance) - len(some) // 2 for some in both]
        better += margins[1] > margins[0]
    assert better > 300


# s for which a machine counts as lost after its successor's start; then another may be lost
SYNC_TIME = 4.0
WITHOUT = 3.0  # s that nobody leads at the most; lines get lost here
KNOWN = 8  # members at the most that are none of the running machines


class Site(RaftCluster):
    """Machines at places; those that are lost come back elsewhere, and are told three others'
    doors."""

    def __init__(self, seed: int, places: list[tuple[str, str]], tolerance: Tolerance) -> None:
        names = [*SEEDS, *(f"m{n}:1" for n in range(len(places) - 3))]
        self.places, self.tolerance, self.made = dict(zip(names, places, strict=True)), tolerance, 0
        self.led_at, self.without = 0.0, 0.0
        super().__init__(seed, names)

    def start(self, address: str) -> None:
        me, rng = (
            Member(address, self.disks[address].disk_id, *self.places[address]),
            random.Random(self.rng.random()),
        )
        others = sorted(d for d in self.nodes if d != address)
        addresses = self.rng.sample(others, min(3, len(others))) if self.now else SEEDS
        made = self.nodes[address] = self.node(
            me,
            self.disks[address].load(),
            self.now,
            rng,
            addresses=addresses,
            tolerance=self.tolerance,
        )
        self.delivered[address] = made.commit_index
        self.later(0.0, lambda: self.tick(address, made))

    def do(self, address: str, ready: Ready) -> None:
        super().do(address, ready)
        if self.nodes[address].leads(self.now):
            self.led_at = self.now

    def pass_on(self, sender: str, to: str, message: Message) -> None:
        if (
            message.sender.address in self.nodes
            and self.nodes[message.sender.address].me == message.sender
        ):
            super().pass_on(sender, to, message)  # what a machine said that is gone may be lost

    def remove(self, address: str) -> tuple[str, str]:
        self.kill(address)
        self.addresses.remove(address)
        return self.places[address]

    def come(self, place: tuple[str, str]) -> None:
        """A new machine, with an empty disk, at an address that nobody had before."""
        self.made += 1
        address = f"new{self.made}:1"
        self.places[address], self.disks[address] = (
            place,
            Disk(f"disk{self.made}", bootstrap_state(())),
        )
        self.addresses.append(address)
        self.start(address)

    def watch(self, seconds: float) -> None:
        """Nobody leads for a short time only."""
        end = self.now + seconds
        while self.now < end:
            self.run(0.05)
            self.without = max(self.without, self.now - self.led_at)
            assert self.without < WITHOUT, (
                f"nobody leads at {self.now:.1f} s, after {self.made} machines"
            )

    def leader(self) -> RaftNode:
        return next(m for m in self.nodes.values() if m.leads(self.now))

    def victim(self) -> str:
        """The leader as not."""
        leads = [d for d, m in self.nodes.items() if m.leads(self.now)]
        return leads[0] if leads and self.rng.random() < 0.5 else self.rng.choice(self.addresses)

    def lose(self) -> None:
        """One machine is gone for good, and another comes elsewhere."""
        place = self.remove(self.victim())
        self.say()
        self.watch(self.rng.uniform(0.0, 1.0))
        self.come(place)

    def trouble(self) -> None:
        """One of those that run is away for a while, or has lost its disk."""
        address = self.victim()
        kind = self.rng.choice(("kill", "wipe", "freeze", "cut"))
        if kind == "freeze":
            self.frozen[address] = []
        elif kind == "cut":
            self.cut = {frozenset((address, other)) for other in self.addresses if other != address}
        else:
            (self.kill if kind == "kill" else self.wipe)(address)
        self.watch(self.rng.uniform(0.3, 2.5))
        self.heal()

    def until_a_change(self) -> None:
        """A leader has appended a configuration that is not decided yet."""
        end = self.now + SYNC_TIME
        while self.now < end and not any(
            m.role is Role.LEADER and not m._is_configuration_committed()
            for m in self.nodes.values()
        ):
            self.run(0.002)

    def check(self, count: int) -> None:
        leader = self.leader()
        assert len(leader.voters) == count, [m.address for m in leader.voters]
        assert set(leader.voters) <= {m.me for m in self.nodes.values()}, "a voter that is gone"
        assert len(leader.members) <= len(self.addresses) + KNOWN + 1
        assert bears(list(leader.voters), self.tolerance)


FIVE = [("a", "x"), ("b", "y"), ("c", "z"), ("d", "x"), ("e", "y")]
TWELVE = [(m.zone, m.region) for m in GROWN]


def replaced(site: Site, count: int, more: bool, voters: int = 5) -> None:
    """One after the other; with `more`, a second loss at any moment of each repair."""
    site.watch(4.0)
    while site.made < count:
        site.lose()
        began = site.now
        if more:
            if site.rng.random() < 0.5:
                site.watch(site.rng.uniform(0.0, SYNC_TIME))
            else:
                site.until_a_change()
            site.trouble()
            began = site.now
        site.say()
        site.watch(max(0.0, began + SYNC_TIME - site.now))
        site.check(voters)
    site.watch(1.0)
    assert site.acked <= {data for _, data in site.order.values()} and len(site.acked) >= count / 2


def test_two_hundred_machines_are_replaced_one_after_the_other() -> None:
    site = Site(1, FIVE, Tolerance())
    replaced(site, 200, more=False)


def test_machines_are_replaced_where_three_vote() -> None:
    replaced(Site(5, FIVE[:4], Tolerance()), 40, more=False, voters=3)


@pytest.mark.parametrize("seed", range(3))
def test_a_second_loss_comes_at_any_moment_of_a_repair(seed: int) -> None:
    replaced(Site(seed, TWELVE, TWO), 15, more=True)


def test_who_leaves_hands_the_leadership_over_and_is_taken_out() -> None:
    site = Site(1, TWELVE, TWO)
    site.watch(4.0)
    site.without = 0.0
    for _ in range(12):
        node = (
            site.leader() if site.rng.random() < 0.7 else site.rng.choice(list(site.nodes.values()))
        )
        led, voted, term = node.leads(site.now), node.may_campaign(), node.term
        site.say()
        node.leave()
        for _ in range(20):
            site.run(0.05)
            if node.has_left() and any(m.leads(site.now) for m in site.nodes.values()):
                break
        assert node.has_left() and site.leader() is not node, "not out within a second"
        assert site.leader().term == term + led, "nobody but its successor stood"
        assert node.me not in site.leader().voters and len(site.leader().voters) == 5, voted
        site.kill(node.me.address)
        site.start(node.me.address)
        site.watch(SYNC_TIME)
        assert node.me in site.leader().members
        site.check(5)
    assert site.acked <= {data for _, data in site.order.values()} and len(site.acked) == 12
    assert site.without < 0.45


def test_a_leaver_without_a_learner_stays_a_voter_and_hands_over_all_the_same() -> None:
    site = Site(2, FIVE, Tolerance())
    site.watch(4.0)
    leader = site.leader()
    leader.leave()
    site.run(1.0)
    assert site.leader() is not leader and leader.me in site.leader().voters
    assert leader.propose(site.now, b"late")[0] == 0
    site.kill(leader.me.address)
    site.start(leader.me.address)
    site.run(1.0)
    site.check(5)


@pytest.mark.parametrize("away", [10.0, 100.0])
def test_old_members_that_wake_up_disturb_nobody(away: float) -> None:
    """Frozen until its place is another's, or until it is forgotten; then with all that it had
    received."""
    site = Site(3, TWELVE, TWO)
    site.watch(4.0)
    old = site.leader()
    voter = next(m for m in site.leader().voters if m != old.me)
    site.frozen = {old.me.address: [], voter.address: []}
    site.watch(away)
    leader = site.leader()
    assert not {old.me, voter} & set(leader.voters) and (voter in leader.members) == (away < 60.0)
    site.heal()
    site.watch(4.0)
    assert site.leader() is leader and leader.term == site.nodes[voter.address].term
    assert {old.me, voter} <= set(leader.members)
    site.check(5)


def test_a_disk_that_moves_to_another_address_is_the_same_member() -> None:
    site = Site(6, FIVE, Tolerance())
    site.watch(4.0)
    for _ in range(3):
        old = site.victim()
        site.places["moved:1"], site.disks["moved:1"] = site.remove(old), site.disks[old]
        site.addresses.append("moved:1")
        site.start("moved:1")
        site.watch(SYNC_TIME)
        site.check(5)
        assert len(site.leader().members) == 5
        site.places[old], site.disks[old] = site.remove("moved:1"), site.disks["moved:1"]
        site.addresses.append(old)
        site.start(old)
        site.watch(SYNC_TIME)
        site.check(5)


def test_leadership_is_taken_only_from_the_leader_of_this_term() -> None:
    site = Site(4, FIVE, Tolerance())
    site.watch(4.0)
    leader = site.leader()
    other, third = [m for m in site.nodes.values() if m is not leader][:2]
    for message in (TimeoutNow(leader.term - 1, leader.me), TimeoutNow(leader.term, third.me)):
        assert other.receive(site.now, message) == Ready()
    assert other.receive(site.now, TimeoutNow(leader.term, leader.me)).sends


def test_older_disks_name_voters_only() -> None:
    older = pb.Entry(
        index=3, term=2, members=[pb.Member(address="a:1", disk="x")]
    ).SerializeToString()
    assert repr(codec.decode_entry(older).members) == repr((Member("a:1", "x", "", "", False),))


def test_a_leader_that_is_frozen_as_it_hands_over_does_not_lead_beside_the_next() -> None:
    for seed in range(10):
        site = Site(seed, FIVE, Tolerance())
        site.watch(4.0)
        leader = site.leader()
        leader.leave()
        while leader._transfer_requested_at < 0:
            site.run(0.01)
        site.frozen[leader.me.address] = []
        site.watch(1.5)
        assert site.leader() is not leader and not leader.leads(site.now)


class NeverReplaces(RaftNode):
    def _may_change_members(self) -> bool:
        return super()._may_change_members() and self.commit_index < 30


class KeepsItsLease(RaftNode):
    """Goes on as leader while it asks another to take its place."""

    def _transfer_leadership(self, now: float, ready: Ready) -> None:
        super()._transfer_leadership(now, ready)
        self._lease_released = False


class ForgetsNobody(RaftNode):
    def _prune_peers(self, now: float) -> None:
        self.timings = replace(self.timings, removal_timeout=1e9)
        membership.MAX_UNRESPONSIVE_LEARNERS = 1000


def test_defects_are_seen_as_machines_are_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        membership, "MAX_UNRESPONSIVE_LEARNERS", membership.MAX_UNRESPONSIVE_LEARNERS
    )
    for planted in (NeverReplaces, ForgetsNobody):
        monkeypatch.setattr(Site, "node", planted)
        with pytest.raises(AssertionError):
            replaced(Site(1, FIVE, Tolerance()), 30, more=False)
    monkeypatch.setattr(Site, "node", KeepsItsLease)
    with pytest.raises(AssertionError, match="two nodes lead"):
        test_a_leader_that_is_frozen_as_it_hands_over_does_not_lead_beside_the_next()


def test_a_voter_is_replaced_under_changes_and_reads_that_never_pause() -> None:
    """Storms 21 and 22: each entry and each call that waits for contact sends beats, so that the
    next regular one was never due, and with it no change of the configuration was looked at."""
    places = [("a", "r0"), ("b", "r0"), ("c", "r1"), ("d", "r1"), ("e", "r0"), ("f", "r1")]
    site = Site(3, places, Tolerance())

    def ask() -> None:
        site.say()
        for address, node in list(site.nodes.items()):
            site.do(address, node.heartbeat_soon(site.now, 0.01))
        site.later(0.03, ask)

    site.run(6.0)
    lost = next(m.address for m in site.leader().voters if m != site.leader().me)
    site.later(0.0, ask)
    site.remove(lost)
    site.watch(SYNC_TIME)
    assert len(site.leader().voters) == 5 and lost not in [m.address for m in site.leader().voters]
