"""Voters and learners.

The choice of voters is compared with an exhaustive reference model, and members of a simulated
cluster are replaced one after the other."""

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
from tests.testing.raft_cluster import BOOTSTRAP_ADDRESSES, Disk, RaftCluster


def make_members(*counts: dict[str, int]) -> list[Member]:
    """Learners: one region per argument, which maps each zone to its number of members."""
    return [
        Member(f"{zone}-{n}:1", f"{region}{zone}{n}", f"{region}{zone}", f"r{region}", True)
        for region, zones in enumerate(counts)
        for zone, count in zones.items()
        for n in range(count)
    ]


def min_survivors(voters: list[Member], unavailable: frozenset[str], tolerance: Tolerance) -> int:
    """Reference model: live voters after the worst tolerated failure, found by trying them all."""
    live = [m for m in voters if m.disk_id not in unavailable]
    losses = [set(live[:0])]
    kinds = (("disk_id", tolerance.nodes), ("zone", tolerance.zones), ("region", tolerance.regions))
    for attribute, count in kinds:
        location_ids = {getattr(m, attribute) for m in live}
        for failed in itertools.combinations(location_ids, min(count, len(location_ids))):
            losses.append({m for m in live if getattr(m, attribute) in failed})
    return min(len(live) - len(loss) for loss in losses)


def survives(
    voters: list[Member], tolerance: Tolerance, unavailable: frozenset[str] = frozenset()
) -> bool:
    return min_survivors(voters, unavailable, tolerance) > len(voters) // 2


def converge(
    members: list[Member],
    tolerance: Tolerance,
    unavailable: frozenset[str] = frozenset(),
    rng: random.Random | None = None,
) -> list[Member]:
    """Applies and checks one change after the other until none is left; returns the voters."""
    leader_id = next(m.disk_id for m in members if not m.learner and m.disk_id not in unavailable)
    for _ in range(6):
        before = {m.disk_id for m in members if not m.learner}
        caught_up = {m.disk_id for m in members} - unavailable
        if rng:  # some members have not caught up yet
            caught_up = {d for d in sorted(caught_up) if rng.random() < 0.5}
        health = MemberHealth(
            frozenset(caught_up), frozenset(caught_up), unreachable=unavailable, leaving=frozenset()
        )
        after = next_voters(members, health, leader_id, tolerance)
        assert len(after) % 2 or len(before) % 2 == 0, "a change to an even number of voters"
        if rng is None and after == before:
            return [m for m in members if not m.learner]
        assert leader_id in after and after <= before | caught_up
        choices = [[m for m in members if m.disk_id in ids] for ids in (before, after)]
        shortfalls = [quorum_shortfall(ids, unavailable, tolerance) for ids in choices]
        assert shortfalls[1] <= shortfalls[0], "a change that increases the shortfall"
        members = [replace(m, learner=m.disk_id not in after) for m in members]
    assert rng, "the choice of voters does not converge"
    return [m for m in members if not m.learner]


def with_voters(members: list[Member], count: int) -> list[Member]:
    return [replace(m, learner=n >= count) for n, m in enumerate(members)]


TWELVE_MEMBERS = make_members(*({"a": 2, "b": 1, "c": 1} for _ in range(3)))
FIVE_MEMBERS = make_members({"a": 1, "b": 1}, {"a": 1, "b": 1}, {"a": 1})
TWO_NODES = Tolerance(2, 1, 1)


def test_voters_are_spread_over_zones_and_regions() -> None:
    for seed in range(20):
        members = random.Random(seed).sample(TWELVE_MEMBERS, 12)
        voters = converge(with_voters(members, 3), TWO_NODES)
        assert len(voters) == 5 and survives(voters, TWO_NODES)
        assert max(sum(m.region == r for m in voters) for r in ("r0", "r1", "r2")) <= 2
        assert len({m.zone for m in voters}) == 5


@pytest.mark.parametrize(
    ("members", "tolerance", "count", "survivable"),
    [
        (FIVE_MEMBERS, Tolerance(), 5, True),
        (FIVE_MEMBERS[::2], Tolerance(), 3, True),
        (FIVE_MEMBERS[:1], Tolerance(), 1, False),
        (FIVE_MEMBERS[:2], Tolerance(), 1, False),
        (FIVE_MEMBERS[:4], Tolerance(1, 1, 0), 3, True),
        (make_members({"a": 9}, {"a": 1}, {"a": 1}), Tolerance(), 3, True),  # one region holds most
        (make_members({"a": 3}, {"a": 2}, {"a": 2}), Tolerance(3, 1, 1), 7, True),
        (make_members({"a": 1, "b": 1, "c": 1}), Tolerance(1, 1, 0), 3, True),
        (
            [Member(f"{n}:1", str(n), learner=True) for n in range(5)],
            Tolerance(),
            5,
            True,
        ),  # no location reported
    ],
)
def test_number_of_voters(
    members: list[Member], tolerance: Tolerance, count: int, survivable: bool
) -> None:
    assert target_voter_count(members, tolerance) == count
    voters = converge(with_voters(members, 1), tolerance)
    assert (len(voters), quorum_shortfall(voters, (), tolerance) == 0) == (count, survivable)


def test_excess_voters_of_a_configuration_without_learners_are_removed() -> None:
    voters = converge(with_voters(TWELVE_MEMBERS, 12), TWO_NODES)
    assert len(voters) == 5 and survives(voters, TWO_NODES)


def test_choice_of_voters_agrees_with_the_reference_model() -> None:
    rng, improved = random.Random(0), 0
    for _ in range(1500):
        zones = rng.randint(1, 5)
        region_of_zone = [rng.randrange(3) for _ in range(zones)]
        zone_of_member = [rng.randrange(zones) for _ in range(rng.randint(1, 8))]
        members = [
            Member(f"m{n}:1", str(n), f"z{z}", f"r{region_of_zone[z]}", True)
            for n, z in enumerate(zone_of_member)
        ]
        tolerance = Tolerance(rng.randint(0, 2), rng.randint(0, 1), rng.randint(0, 1))
        for count in range(1, len(members) + 1):
            subset = rng.sample(members, count)
            unavailable = frozenset(
                m.disk_id for m in rng.sample(members, rng.randint(0, min(2, len(members) - 1)))
            )
            shortfall = max(0, count // 2 + 1 - min_survivors(subset, unavailable, tolerance))
            assert quorum_shortfall(subset, unavailable, tolerance) == shortfall
        odd_counts = [n for n in range(1, 10, 2) if 2 * tolerance.nodes < n <= len(members)]
        odd_counts.sort(key=lambda n: (n < MIN_VOTERS, abs(n - MIN_VOTERS)))
        survivable_counts = [
            n
            for n in odd_counts
            if any(survives(list(s), tolerance) for s in itertools.combinations(members, n))
        ]
        if survivable_counts:
            assert target_voter_count(members, tolerance) == survivable_counts[0]
            assert survives(spread(members, survivable_counts[0], tolerance), tolerance)
            voters = converge(
                with_voters(members, 1 if len(members) < 3 else rng.choice((1, 3))), tolerance
            )
            assert survives(voters, tolerance) and len(voters) == survivable_counts[0]
        start = with_voters(members, rng.randint(1, len(members)))
        unavailable = frozenset(m.disk_id for m in rng.sample(members, min(2, len(members) - 1)))
        unavailable -= {start[0].disk_id}
        converge(start, tolerance, unavailable, rng)
        before_and_after = (
            [m for m in start if not m.learner],
            converge(start, tolerance, unavailable),
        )
        margins = [
            min_survivors(subset, unavailable, tolerance) - len(subset) // 2
            for subset in before_and_after
        ]
        improved += margins[1] > margins[0]
    assert improved > 300


# Seconds after the start of a replacement until the next member may fail.
REPAIR_TIME_S = 4.0
MAX_LEADERLESS_S = 3.0  # maximum seconds without a leader; messages are lost here
MAX_STALE_MEMBERS = 8  # maximum members of the configuration that are not running


class LocatedCluster(RaftCluster):
    """Members with locations.

    A failed member is replaced by a new one in the same location, which starts with the addresses
    of three others."""

    def __init__(self, seed: int, locations: list[tuple[str, str]], tolerance: Tolerance) -> None:
        names = [*BOOTSTRAP_ADDRESSES, *(f"m{n}:1" for n in range(len(locations) - 3))]
        self.locations, self.tolerance, self.members_added = (
            dict(zip(names, locations, strict=True)),
            tolerance,
            0,
        )
        self.last_led_at, self.max_leaderless = 0.0, 0.0
        super().__init__(seed, names)

    def start(self, address: str) -> None:
        me, rng = (
            Member(address, self.disks[address].disk_id, *self.locations[address]),
            random.Random(self.rng.random()),
        )
        others = sorted(d for d in self.nodes if d != address)
        addresses = (
            self.rng.sample(others, min(3, len(others))) if self.now else BOOTSTRAP_ADDRESSES
        )
        node = self.nodes[address] = self.node_class(
            me,
            self.disks[address].load(),
            self.now,
            rng,
            addresses=addresses,
            tolerance=self.tolerance,
        )
        self.applied_index[address] = node.commit_index
        self.schedule(0.0, lambda: self.tick(address, node))

    def execute(self, address: str, ready: Ready) -> None:
        super().execute(address, ready)
        if self.nodes[address].leads(self.now):
            self.last_led_at = self.now

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        if (
            message.sender.address in self.nodes
            and self.nodes[message.sender.address].me == message.sender
        ):
            super().deliver(sender, receiver, message)  # messages of removed members are lost

    def remove(self, address: str) -> tuple[str, str]:
        self.kill(address)
        self.addresses.remove(address)
        return self.locations[address]

    def add_member(self, location: tuple[str, str]) -> None:
        """Adds a new member with an empty disk at an unused address."""
        self.members_added += 1
        address = f"new{self.members_added}:1"
        self.locations[address], self.disks[address] = (
            location,
            Disk(f"disk{self.members_added}", bootstrap_state(())),
        )
        self.addresses.append(address)
        self.start(address)

    def run_with_leader(self, seconds: float) -> None:
        """Runs the cluster and checks that it is without a leader for a short time only."""
        end = self.now + seconds
        while self.now < end:
            self.run(0.05)
            self.max_leaderless = max(self.max_leaderless, self.now - self.last_led_at)
            assert self.max_leaderless < MAX_LEADERLESS_S, (
                f"no leader at {self.now:.1f} s, after {self.members_added} replacements"
            )

    def leader(self) -> RaftNode:
        return next(m for m in self.nodes.values() if m.leads(self.now))

    def pick_member(self) -> str:
        """The leader with probability 1/2, else a random member."""
        leads = [d for d, m in self.nodes.items() if m.leads(self.now)]
        return leads[0] if leads and self.rng.random() < 0.5 else self.rng.choice(self.addresses)

    def replace_member(self) -> None:
        """Removes a member for good and adds a new one."""
        location = self.remove(self.pick_member())
        self.propose_command()
        self.run_with_leader(self.rng.uniform(0.0, 1.0))
        self.add_member(location)

    def inject_fault(self) -> None:
        """Makes one member unavailable for a while, or wipes its disk."""
        address = self.pick_member()
        kind = self.rng.choice(("kill", "wipe", "freeze", "partition"))
        if kind == "freeze":
            self.frozen[address] = []
        elif kind == "partition":
            self.partitioned = {
                frozenset((address, other)) for other in self.addresses if other != address
            }
        else:
            (self.kill if kind == "kill" else self.wipe)(address)
        self.run_with_leader(self.rng.uniform(0.3, 2.5))
        self.clear_faults()

    def run_until_change(self) -> None:
        """Runs until a leader has appended a configuration that is not committed yet."""
        end = self.now + REPAIR_TIME_S
        while self.now < end and not any(
            m.role is Role.LEADER and not m._is_configuration_committed()
            for m in self.nodes.values()
        ):
            self.run(0.002)

    def check_voters(self, count: int) -> None:
        leader = self.leader()
        assert len(leader.voters) == count, [m.address for m in leader.voters]
        assert set(leader.voters) <= {m.me for m in self.nodes.values()}, "a voter that was removed"
        assert len(leader.members) <= len(self.addresses) + MAX_STALE_MEMBERS + 1
        assert survives(list(leader.voters), self.tolerance)


FIVE_LOCATIONS = [("a", "x"), ("b", "y"), ("c", "z"), ("d", "x"), ("e", "y")]
TWELVE_LOCATIONS = [(m.zone, m.region) for m in TWELVE_MEMBERS]


def replace_members(
    cluster: LocatedCluster, count: int, second_failure: bool, voters: int = 5
) -> None:
    """Replaces members one after the other.

    With `second_failure`, another member fails during each repair."""
    cluster.run_with_leader(4.0)
    while cluster.members_added < count:
        cluster.replace_member()
        began = cluster.now
        if second_failure:
            if cluster.rng.random() < 0.5:
                cluster.run_with_leader(cluster.rng.uniform(0.0, REPAIR_TIME_S))
            else:
                cluster.run_until_change()
            cluster.inject_fault()
            began = cluster.now
        cluster.propose_command()
        cluster.run_with_leader(max(0.0, began + REPAIR_TIME_S - cluster.now))
        cluster.check_voters(voters)
    cluster.run_with_leader(1.0)
    assert (
        cluster.acknowledged <= {data for _, data in cluster.committed.values()}
        and len(cluster.acknowledged) >= count / 2
    )


def test_two_hundred_members_are_replaced_one_after_the_other() -> None:
    cluster = LocatedCluster(1, FIVE_LOCATIONS, Tolerance())
    replace_members(cluster, 200, second_failure=False)


def test_members_are_replaced_with_three_voters() -> None:
    replace_members(
        LocatedCluster(5, FIVE_LOCATIONS[:4], Tolerance()), 40, second_failure=False, voters=3
    )


@pytest.mark.parametrize("seed", range(3))
def test_second_failure_at_any_point_of_a_repair(seed: int) -> None:
    replace_members(LocatedCluster(seed, TWELVE_LOCATIONS, TWO_NODES), 15, second_failure=True)


def test_leaving_member_transfers_leadership_and_is_removed() -> None:
    cluster = LocatedCluster(1, TWELVE_LOCATIONS, TWO_NODES)
    cluster.run_with_leader(4.0)
    cluster.max_leaderless = 0.0
    for _ in range(12):
        node = (
            cluster.leader()
            if cluster.rng.random() < 0.7
            else cluster.rng.choice(list(cluster.nodes.values()))
        )
        led, voted, term = node.leads(cluster.now), node.may_campaign(), node.term
        cluster.propose_command()
        node.leave()
        for _ in range(20):
            cluster.run(0.05)
            if node.has_left() and any(m.leads(cluster.now) for m in cluster.nodes.values()):
                break
        assert node.has_left() and cluster.leader() is not node, "not removed within a second"
        assert cluster.leader().term == term + led, "another member campaigned"
        assert node.me not in cluster.leader().voters and len(cluster.leader().voters) == 5, voted
        cluster.kill(node.me.address)
        cluster.start(node.me.address)
        cluster.run_with_leader(REPAIR_TIME_S)
        assert node.me in cluster.leader().members
        cluster.check_voters(5)
    assert (
        cluster.acknowledged <= {data for _, data in cluster.committed.values()}
        and len(cluster.acknowledged) == 12
    )
    assert cluster.max_leaderless < 0.45


def test_leaving_leader_without_a_replacement_stays_a_voter_and_transfers_leadership() -> None:
    cluster = LocatedCluster(2, FIVE_LOCATIONS, Tolerance())
    cluster.run_with_leader(4.0)
    leader = cluster.leader()
    leader.leave()
    cluster.run(1.0)
    assert cluster.leader() is not leader and leader.me in cluster.leader().voters
    assert leader.propose(cluster.now, b"late")[0] == 0
    cluster.kill(leader.me.address)
    cluster.start(leader.me.address)
    cluster.run(1.0)
    cluster.check_voters(5)


@pytest.mark.parametrize("frozen_seconds", [10.0, 100.0])
def test_old_members_that_resume_do_not_disturb_the_leader(frozen_seconds: float) -> None:
    """Two voters, one of them the leader, are frozen.

    They resume after they have been replaced as voters (10 s) or removed (100 s), and then handle
    all messages that they received meanwhile."""
    cluster = LocatedCluster(3, TWELVE_LOCATIONS, TWO_NODES)
    cluster.run_with_leader(4.0)
    old_leader = cluster.leader()
    voter = next(m for m in cluster.leader().voters if m != old_leader.me)
    cluster.frozen = {old_leader.me.address: [], voter.address: []}
    cluster.run_with_leader(frozen_seconds)
    leader = cluster.leader()
    assert not {old_leader.me, voter} & set(leader.voters) and (voter in leader.members) == (
        frozen_seconds < 60.0
    )
    cluster.clear_faults()
    cluster.run_with_leader(4.0)
    assert cluster.leader() is leader and leader.term == cluster.nodes[voter.address].term
    assert {old_leader.me, voter} <= set(leader.members)
    cluster.check_voters(5)


def test_a_disk_that_moves_to_another_address_is_the_same_member() -> None:
    cluster = LocatedCluster(6, FIVE_LOCATIONS, Tolerance())
    cluster.run_with_leader(4.0)
    for _ in range(3):
        old_address = cluster.pick_member()
        cluster.locations["moved:1"], cluster.disks["moved:1"] = (
            cluster.remove(old_address),
            cluster.disks[old_address],
        )
        cluster.addresses.append("moved:1")
        cluster.start("moved:1")
        cluster.run_with_leader(REPAIR_TIME_S)
        cluster.check_voters(5)
        assert len(cluster.leader().members) == 5
        cluster.locations[old_address], cluster.disks[old_address] = (
            cluster.remove("moved:1"),
            cluster.disks["moved:1"],
        )
        cluster.addresses.append(old_address)
        cluster.start(old_address)
        cluster.run_with_leader(REPAIR_TIME_S)
        cluster.check_voters(5)


def test_timeout_now_is_accepted_only_from_the_leader_of_the_term() -> None:
    cluster = LocatedCluster(4, FIVE_LOCATIONS, Tolerance())
    cluster.run_with_leader(4.0)
    leader = cluster.leader()
    other, third = [m for m in cluster.nodes.values() if m is not leader][:2]
    for message in (TimeoutNow(leader.term - 1, leader.me), TimeoutNow(leader.term, third.me)):
        assert other.receive(cluster.now, message) == Ready()
    assert other.receive(cluster.now, TimeoutNow(leader.term, leader.me)).sends


def test_members_stored_without_a_role_are_voters() -> None:
    older = pb.Entry(
        index=3, term=2, members=[pb.Member(address="a:1", disk="x")]
    ).SerializeToString()
    assert repr(codec.decode_entry(older).members) == repr((Member("a:1", "x", "", "", False),))


def test_leader_frozen_during_a_transfer_does_not_lead_beside_its_successor() -> None:
    for seed in range(10):
        cluster = LocatedCluster(seed, FIVE_LOCATIONS, Tolerance())
        cluster.run_with_leader(4.0)
        leader = cluster.leader()
        leader.leave()
        while leader._transfer_requested_at < 0:
            cluster.run(0.01)
        cluster.frozen[leader.me.address] = []
        cluster.run_with_leader(1.5)
        assert cluster.leader() is not leader and not leader.leads(cluster.now)


class StopsChangingMembers(RaftNode):
    def _may_change_members(self) -> bool:
        return super()._may_change_members() and self.commit_index < 30


class KeepsLease(RaftNode):
    """Keeps its lease while it transfers leadership."""

    def _transfer_leadership(self, now: float, ready: Ready) -> None:
        super()._transfer_leadership(now, ready)
        self._lease_released = False


class NeverRemovesLearners(RaftNode):
    def _prune_peers(self, now: float) -> None:
        self.timings = replace(self.timings, removal_timeout=1e9)
        membership.MAX_UNRESPONSIVE_LEARNERS = 1000


def test_injected_defects_are_detected_during_replacements(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        membership, "MAX_UNRESPONSIVE_LEARNERS", membership.MAX_UNRESPONSIVE_LEARNERS
    )
    for defective_node in (StopsChangingMembers, NeverRemovesLearners):
        monkeypatch.setattr(LocatedCluster, "node_class", defective_node)
        with pytest.raises(AssertionError):
            replace_members(
                LocatedCluster(1, FIVE_LOCATIONS, Tolerance()), 30, second_failure=False
            )
    monkeypatch.setattr(LocatedCluster, "node_class", KeepsLease)
    with pytest.raises(AssertionError, match="two leaders with a valid lease"):
        test_leader_frozen_during_a_transfer_does_not_lead_beside_its_successor()


def test_voter_is_replaced_under_continuous_writes_and_reads() -> None:
    """Storms 21 and 22: each entry and each read index sends a heartbeat, so that the regular
    heartbeat was never due, and with it the check for configuration changes."""
    locations = [("a", "r0"), ("b", "r0"), ("c", "r1"), ("d", "r1"), ("e", "r0"), ("f", "r1")]
    cluster = LocatedCluster(3, locations, Tolerance())

    def propose_and_read() -> None:
        cluster.propose_command()
        for address, node in list(cluster.nodes.items()):
            cluster.execute(address, node.heartbeat_soon(cluster.now, 0.01))
        cluster.schedule(0.03, propose_and_read)

    cluster.run(6.0)
    lost_address = next(m.address for m in cluster.leader().voters if m != cluster.leader().me)
    cluster.schedule(0.0, propose_and_read)
    cluster.remove(lost_address)
    cluster.run_with_leader(REPAIR_TIME_S)
    assert len(cluster.leader().voters) == 5 and lost_address not in [
        m.address for m in cluster.leader().voters
    ]
