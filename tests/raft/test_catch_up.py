"""Members that were away catch up by the log, or by a snapshot in parts: 2 Mbit/s, while changes go
on."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest

from cairndale.raft import codec, compaction, fragments
from cairndale.raft.messages import AppendEntries, InstallSnapshot, Message, Ready
from cairndale.raft.node import RaftNode
from cairndale.raft.replica import Role
from cairndale.raft.snapshot_transfer import CHUNK_BYTES, WINDOW_CHUNKS, SnapshotReceiver
from tests.testing.raft_cluster import SEEDS, RaftCluster

RATE = 250_000  # bytes a second: 2 Mbit/s
DELAY = 0.02  # s one way
STATE = 4 * 1024 * 1024  # bytes of a snapshot's state: 12,000 routes and 160,000 tenants
WORD = 400  # bytes of a change
PADDING = random.Random(1).randbytes(STATE)


class Way(RaftCluster):
    """Members with 2 Mbit/s from each to each other, in order; snapshots as large as `size`."""

    size, every = STATE, 128

    def __init__(self, seed: int, addresses: list[str] = SEEDS) -> None:
        self.free: dict[tuple[str, str], float] = {}
        self.carried: dict[tuple[str, str], int] = {}
        self.behind = 0.0  # s that the worst beat waited for what was before it on its way
        super().__init__(seed, addresses)

    def do(self, address: str, ready: Ready) -> None:
        self.disks[address].write(ready.writes)
        for to, message in ready.sends:
            self.put(address, to, message)
        if ready.restored_snapshot:
            self.delivered[address] = ready.restored_snapshot.index
        made = self.nodes[address]
        for entry in ready.committed_entries:
            assert entry.index == self.delivered[address] + 1
            self.delivered[address] = entry.index
            known = self.order.setdefault(entry.index, (entry.term, entry.data))
            assert known == (entry.term, entry.data), "two orders"
            if made.role.value == "leader" and entry.term == made.term and entry.data:
                self.acked.add(entry.data)
            if entry.index % self.every == 0:
                self.later(0.0, lambda index=entry.index: self.compact(address, made, index))  # type: ignore[misc]
        if ready.received_snapshot and ready.received_snapshot.index:
            assert ready.received_snapshot.state[-8:] == b"%8d" % ready.received_snapshot.index
        if ready.received_snapshot:
            self.do(address, made.install_snapshot(self.now, ready.received_snapshot))
        leaders = [d for d, m in self.nodes.items() if m.leads(self.now)]
        assert len(leaders) <= 1, "two nodes lead"
        for leader in leaders:
            newest = max(self.order, default=0)
            assert self.nodes[leader].last_index >= newest, "one with old state leads"

    def compact(self, address: str, made: RaftNode, index: int) -> None:
        state = PADDING[: self.size - 8] + b"%8d" % index
        if self.nodes.get(address) is made and index > made.base_snapshot.index:
            self.do(address, made.compact(made.make_snapshot(index, state)))

    def put(self, address: str, to: str, message: Message) -> None:
        way = (address, to)
        if to not in self.nodes:
            return
        size = len(codec.encode_message(message).SerializeToString()) + 16
        begun = max(self.now, self.free.get(way, 0.0))
        if isinstance(message, AppendEntries | InstallSnapshot):
            self.behind = max(self.behind, begun - self.now)
        self.free[way] = begun + size / RATE
        self.carried[way] = self.carried.get(way, 0) + size
        wait = self.free[way] + DELAY - self.now
        self.later(wait, lambda: self.pass_on(address, to, message))

    def kill(self, address: str) -> None:
        super().kill(address)
        for way in list(self.free):
            if address in way:
                del self.free[way]

    def say(self) -> None:
        for address, made in list(self.nodes.items()):
            if made.role.value == "leader" and address not in self.frozen:
                self.words += 1
                _, ready = made.propose(self.now, (b"w%d " % self.words).ljust(WORD, b"."))
                self.do(address, ready)

    def leader(self) -> str:
        return next((d for d, m in self.nodes.items() if m.leads(self.now)), "")

    def under_load(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Changes go on; s until that is so."""
        begun = self.now
        while self.now - begun < seconds:
            self.say()
            self.run(0.1)
            if until and until():
                return self.now - begun
        assert until is None, "it did not come to that"
        return seconds

    def caught_up(self, address: str) -> bool:
        newest = max(self.order)
        return address in self.nodes and self.nodes[address].commit_index >= newest - 3


def away(seed: int, changes: int = 1000, size: int = STATE) -> tuple[Way, str, str]:
    """A member that has missed so many changes and is just back; the leader."""
    world = Way(seed)
    world.size = size
    world.run(3.0)
    leader = world.leader()
    one = next(d for d in SEEDS if d != leader)
    world.under_load(2.0)
    world.kill(one)
    for _ in range(changes):
        world.say()
        world.run(0.06)
    assert world.leader() == leader
    world.behind, world.carried = 0.0, {}
    return world, leader, one


@pytest.mark.parametrize("seed", [1, 2])
def test_who_missed_a_thousand_changes_catches_up_by_the_log(seed: int) -> None:
    """0.4 MB of them: within 5 s, though the snapshot is ten times as large."""
    world, leader, one = away(seed)
    world.start(one)
    assert world.under_load(5.0, until=lambda: world.caught_up(one)) < 5.0
    assert world.leader() == leader and world.behind < 0.2
    assert world.carried[leader, one] < STATE / 4


@pytest.mark.parametrize("seed", [1, 2])
def test_a_new_disk_is_sent_the_snapshot_in_parts(seed: int) -> None:
    """4 MiB at 2 Mbit/s take 16.8 s: within 25 s, with beats behind no more than the window, and
    the two others go on as they were though one of them is away and each beat of the new one
    counts."""
    world, leader, one = away(seed)
    world.wipe(one)
    world.start(one)
    took = world.under_load(25.0, until=lambda: world.caught_up(one))
    assert 16.0 < took < 25.0
    assert world.leader() == leader and world.behind < WINDOW_CHUNKS * CHUNK_BYTES / RATE + 0.05
    assert world.carried[leader, one] < 1.1 * STATE + world.words * 2 * WORD


def test_who_is_sent_a_snapshot_keeps_the_leader_that_needs_it() -> None:
    """Of three one is gone: the leader's lease rests on the beats of the one that is catching up,
    over the way that carries the snapshot."""
    world, leader, one = away(3)
    made = world.nodes[leader]
    made.compacted_tail = type(
        made.compacted_tail
    )()  # it was away for longer than the log's tail goes back
    world.start(one)
    world.under_load(2.0)
    (third,) = {*SEEDS} - {leader, one}
    world.kill(third)
    held = 0
    for _ in range(3000):
        world.run(0.01)
        held += made.leads(world.now)
        if (
            made.commit_index == made.last_index
            and world.nodes[one].commit_index == made.last_index
        ):
            break
    assert held / (_ + 1) > 0.999, "leadership was lost"
    assert world.leader() == leader
    assert world.nodes[one].commit_index == made.last_index


def test_it_goes_on_where_it_was_after_a_cut_a_restart_and_a_change_of_the_leader() -> None:
    world, leader, one = away(4)
    (third,) = {*SEEDS} - {leader, one}
    for address in (leader, third):
        world.nodes[address].compacted_tail = type(world.nodes[address].compacted_tail)()
    assert (
        world.nodes[leader].base_snapshot.head == world.nodes[third].base_snapshot.head
    )  # made alike at each
    world.start(one)
    world.run(4.0)
    world.cut = {frozenset((leader, one))}
    world.run(3.0)
    world.cut.clear()
    world.run(4.0)
    world.kill(one)
    world.run(1.0)
    world.start(one)
    world.run(4.0)
    got = len(world.disks[one].persisted.partial_snapshot[1])  # type: ignore[index]
    assert got > STATE / 2, "it began anew"
    world.kill(leader)  # nobody but the third can lead
    world.run(3.0)
    assert world.nodes[third].role is Role.LEADER
    world.under_load(25.0, until=lambda: world.caught_up(one) and world.leader() == third)
    told = world.carried[third, one]
    assert told < 1.1 * (STATE - got) + 4 * CHUNK_BYTES + world.words * 2 * WORD, "it began anew"


def test_snapshots_renewed_faster_than_they_are_sent_do_not_keep_it_out() -> None:
    """One every 3 s, where 17 s are needed: the one begun is sent to its end, and then the log."""
    world, _, one = away(5)
    world.wipe(one)
    Way.every, every = 30, Way.every
    try:
        world.start(one)
        world.under_load(30.0, until=lambda: world.caught_up(one))
    finally:
        Way.every = every


@pytest.mark.parametrize("planted", ["renewed", "whole", "no resume", "one entry", "no window"])
def test_planted_defects_are_seen(planted: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each newer snapshot takes the place of the one being sent; all of it is sent at once, as it
    was before; what was received is forgotten with each new leader. A command goes as one entry;
    all its parts at once."""
    if planted == "renewed":
        monkeypatch.setattr(
            compaction, "is_still_useful", lambda t, now, base, tail: t.snapshot is base
        )
        seen = test_snapshots_renewed_faster_than_they_are_sent_do_not_keep_it_out
    elif planted == "one entry":
        monkeypatch.setattr(fragments, "PAYLOAD_BYTES", 1 << 22)
        seen = test_a_command_of_2_mb_in_parts_keeps_beats_lease_and_other_commands
    elif planted == "no window":
        monkeypatch.setattr(fragments, "MAX_UNCOMMITTED", 1000)
        seen = test_a_command_of_2_mb_in_parts_keeps_beats_lease_and_other_commands
    elif planted == "whole":
        monkeypatch.setattr("cairndale.raft.snapshot_transfer.WINDOW_CHUNKS", 100_000)
        seen = test_who_is_sent_a_snapshot_keeps_the_leader_that_needs_it
    else:
        receive = SnapshotReceiver.receive

        def forgets(self: SnapshotReceiver, message: InstallSnapshot) -> object:
            if message.term != self._term:
                self.head = None
            return receive(self, message)

        monkeypatch.setattr(SnapshotReceiver, "receive", forgets)
        seen = test_it_goes_on_where_it_was_after_a_cut_a_restart_and_a_change_of_the_leader
    said = {"renewed": "did not come", "whole": "leadership was lost", "no resume": "it began anew"}
    said |= {"one entry": "behind", "no window": "small"}
    with pytest.raises(AssertionError, match=said[planted]):
        seen()


# Large commands.


@dataclass
class Told:
    """What came of a command of many bytes, given to a leader whose ways all carry 2 Mbit/s."""

    world: Way
    seconds: float  # until it was decided
    held: float  # share of that time in which the leader led
    small: float  # s that the slowest of the commands given meanwhile took


def large(
    seed: int, data: list[bytes], then: Callable[[Way, str, int], None] | None = None
) -> Told:
    """Each of these entries' data once the one `MAX_UNCOMMITTED` before it is in
    force, as proposals do."""
    world = Way(seed)
    world.size = 8
    world.run(3.0)
    leader, begun, ahead, said = world.leader(), world.now, list[int](), dict[bytes, float]()
    made, left, held, small = world.nodes[leader], list(data), 0, 0.0
    world.behind, polls = 0.0, 0
    while left or made.commit_index < ahead[-1]:
        while left and (
            len(ahead) < fragments.MAX_UNCOMMITTED
            or made.commit_index >= ahead[-fragments.MAX_UNCOMMITTED]
        ):
            index, ready = made.propose(world.now, left.pop(0))
            assert index, "nobody leads"
            ahead.append(index)
            world.do(leader, ready)
        if polls % 20 == 0:
            world.say()
            said[(b"w%d " % world.words).ljust(WORD, b".")] = world.now
        world.run(0.005)
        polls, held = polls + 1, held + made.leads(world.now)
        small = max([small, *(world.now - at for word, at in said.items() if word in world.acked)])
        said = {word: at for word, at in said.items() if word not in world.acked}
        if then:
            then(world, leader, polls)
        assert polls < 10_000, "it did not come to that"
    return Told(
        world,
        world.now - begun,
        held / polls,
        max([small, *(world.now - a for a in said.values())]),
    )


def in_parts(size: int) -> list[bytes]:
    return [data for data in fragments.split([PADDING[:size]]) if data]


def test_a_command_of_2_mb_in_parts_keeps_beats_lease_and_other_commands() -> None:
    told = large(6, in_parts(2_000_000))
    assert told.world.behind < 0.2 and told.held == 1.0 and told.small < 1.0
    assert told.seconds < 14.0  # 8 s for the bytes alone


def test_who_starts_again_amid_a_command_goes_on_where_it_was() -> None:
    def again(world: Way, leader: str, polls: int) -> None:
        one = next(d for d in SEEDS if d != leader)
        if polls == 400:
            world.kill(one)
        elif polls == 500:
            world.carried.clear()
            world.start(one)

    told = large(7, in_parts(1_000_000), again)
    (leader,) = {told.world.leader()}
    one = next(d for d in SEEDS if d != leader)
    told.world.run(6.0)
    assert told.world.caught_up(one)
    assert told.world.carried[leader, one] < 700_000 + told.world.words * 2 * WORD, "it began anew"


# A disk that hangs.


class Hanging(RaftCluster):
    """The next write of one member takes so long, and its process is held by it: whether that is on
    disk by then or not, nothing that rests on it is said."""

    hangs = ""

    def do(self, address: str, ready: Ready) -> None:
        if address != self.hangs or not ready.writes:
            super().do(address, ready)
            return
        self.hangs, self.frozen[address] = "", []
        if self.rng.random() < 0.5:
            self.disks[address].write(ready.writes)
            ready = replace(ready, writes=[])
        made = self.nodes[address]
        self.later(4.0, lambda: self.ends(address, made, ready))

    def ends(self, address: str, made: RaftNode, ready: Ready) -> None:
        if self.nodes.get(address) is made:
            super().do(address, ready)
            self.thaw(address)


@pytest.mark.parametrize("seed", range(20))
def test_where_the_leaders_disk_hangs_another_leads_and_nothing_is_lost(seed: int) -> None:
    world = Hanging(seed)
    world.run(6.0)
    leader = next(d for d, m in world.nodes.items() if m.leads(world.now))
    world.say()
    world.hangs = leader
    world.say()
    waited = 0.0
    while not any(m.leads(world.now) for d, m in world.nodes.items() if d != leader):
        world.run(0.05)
        waited += 0.05
        assert waited < 3.0, "nobody else leads"
    world.say()
    world.run(8.0)
    world.say()
    world.run(1.0)
    assert sum(m.leads(world.now) for m in world.nodes.values()) == 1
    assert world.acked <= {data for _, data in world.order.values()} and len(world.acked) >= 3
