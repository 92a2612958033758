"""The core's log in virtual time: kills, wipes, cuts, freezes and joins, checked against a list."""

from __future__ import annotations

import heapq
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.command_tester import CommandTester

from cairndale.cli.state import StateCommand
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.raft import codec
from cairndale.raft.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Join,
    Leave,
    Member,
    Message,
    PersistedState,
    Ready,
    RequestVote,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotChunk,
    Snapshot,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    Write,
)
from cairndale.raft.node import RaftNode, bootstrap_member, bootstrap_state
from cairndale.raft.storage import RaftStorage, StorageError

SEEDS = ["a:1", "b:1", "c:1"]
ADDRESSES = [*SEEDS, "d:1", "e:1"]


class Disk:
    """What was synced, and by nobody but this plain reading of the writes."""

    def __init__(self, disk: str, persisted: PersistedState) -> None:
        self.disk_id, self.persisted = disk, persisted

    def write(self, writes: list[Write]) -> None:
        persisted = self.persisted
        for write in writes:
            match write:
                case HardState(term, voted_for):
                    persisted.term, persisted.voted_for = term, voted_for
                case SaveEntries(first, entries):
                    persisted.entries = [e for e in persisted.entries if e.index < first] + list(
                        entries
                    )
                case SaveSnapshotChunk(head, offset, data, received=True):
                    persisted.partial_snapshot = (
                        head,
                        persisted.partial_snapshot[1] + data
                        if persisted.partial_snapshot and offset
                        else data,
                    )
                case SaveSnapshot(snapshot, alone):
                    if (
                        persisted.partial_snapshot
                        and persisted.partial_snapshot[0].index <= snapshot.index
                    ):
                        persisted.partial_snapshot = None
                    persisted.entries = (
                        [] if alone else [e for e in persisted.entries if e.index > snapshot.index]
                    )
                    persisted.snapshot = snapshot

    def load(self) -> PersistedState:
        persisted = self.persisted
        return PersistedState(
            persisted.term,
            persisted.voted_for,
            persisted.snapshot,
            list(persisted.entries),
            persisted.partial_snapshot,
        )


class World:
    """Machines under one seed. `order` is the plain model: what was delivered, place by place."""

    node: type[RaftNode] = RaftNode

    def __init__(self, seed: int, addresses: list[str] = ADDRESSES) -> None:
        self.addresses = addresses
        self.rng, self.now, self.count = random.Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Any]] = []
        self.disks: dict[str, Disk] = {}
        self.nodes: dict[str, RaftNode] = {}
        self.delivered: dict[str, int] = {}
        self.order: dict[int, tuple[int, bytes]] = {}
        self.acked: set[bytes] = set()
        self.cut: set[frozenset[str]] = set()
        self.frozen: dict[str, list[Any]] = {}
        self.words = 0
        for address in self.addresses:
            first = address in SEEDS
            persisted = (
                bootstrap_state(bootstrap_member(d) for d in SEEDS)
                if first
                else bootstrap_state(())
            )
            self.disks[address] = Disk(
                bootstrap_member(address).disk_id if first else f"new-{address}", persisted
            )
            self.start(address)

    def later(self, wait: float, what: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, what))

    def start(self, address: str) -> None:
        disk = self.disks[address]
        me, rng = Member(address, disk.disk_id), random.Random(self.rng.random())
        made = self.nodes[address] = self.node(me, disk.load(), self.now, rng, addresses=SEEDS)
        self.delivered[address] = made.commit_index
        self.later(0.0, lambda: self.tick(address, made))

    def tick(self, address: str, made: RaftNode) -> None:
        if self.nodes.get(address) is made:
            if address not in self.frozen:
                self.do(address, made.tick(self.now))
            self.later(0.05 * self.rng.uniform(0.9, 1.1), lambda: self.tick(address, made))

    def do(self, address: str, ready: Ready) -> None:
        self.disks[address].write(ready.writes)
        for to, message in ready.sends:
            if self.rng.random() < 0.98:
                self.later(
                    self.rng.uniform(0.001, 0.03),
                    lambda to=to, message=message: self.pass_on(address, to, message),
                )
        if ready.restored_snapshot:
            self.delivered[address] = ready.restored_snapshot.index
            assert ready.restored_snapshot.index == int(ready.restored_snapshot.state or b"0")
        node = self.nodes[address]
        for entry in ready.committed_entries:
            assert entry.index == self.delivered[address] + 1
            self.delivered[address] = entry.index
            known = self.order.setdefault(entry.index, (entry.term, entry.data))
            assert known == (entry.term, entry.data), "two orders"
            if node.role.value == "leader" and entry.term == node.term and entry.data:
                self.acked.add(entry.data)
        if ready.committed_entries and (len(node.log) > 12 or node.wants_snapshot()):
            self.do(address, node.compact(b"%d" % self.delivered[address]))
        if ready.received_snapshot:
            self.do(address, node.install_snapshot(self.now, ready.received_snapshot))
        leaders = [d for d, m in self.nodes.items() if m.leads(self.now)]
        assert len(leaders) <= 1, "two nodes lead"

    def pass_on(self, sender: str, to: str, message: Message) -> None:
        if frozenset((sender, to)) in self.cut or to not in self.nodes:
            return
        message = codec.decode_message(codec.encode_message(message))
        if to in self.frozen:
            self.frozen[to].append(message)
        else:
            self.do(to, self.nodes[to].receive(self.now, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _, what = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            what()
        self.now = end

    # What happens to them.

    def kill(self, address: str) -> None:
        self.nodes.pop(address, None)
        self.frozen.pop(address, None)

    def wipe(self, address: str) -> None:
        self.kill(address)
        self.disks[address] = Disk(f"wiped-{self.rng.random()}", bootstrap_state(()))

    def thaw(self, address: str) -> None:
        messages = self.frozen.pop(address, [])
        for message in messages:
            if address in self.nodes:
                self.do(address, self.nodes[address].receive(self.now, message))

    def say(self) -> None:
        for address, node in list(self.nodes.items()):
            if node.role.value == "leader" and address not in self.frozen:
                self.words += 1
                _, ready = node.propose(self.now, b"w%d" % self.words)
                self.do(address, ready)

    def heal(self) -> None:
        self.cut.clear()
        for address in list(self.frozen):
            self.thaw(address)
        for address in self.addresses:
            if address not in self.nodes:
                self.start(address)

    def whole(self) -> bool:
        """All are voters with the disks that they have now, and each knows all that was decided."""
        voters = {Member(d, self.disks[d].disk_id) for d in self.addresses}
        leader = next((m for m in self.nodes.values() if m.leads(self.now)), None)
        return leader is not None and all(
            set(m.voters) == voters and m.commit_index == m.last_index == leader.last_index
            for m in self.nodes.values()
        )


def trouble(world: World) -> None:
    """A few things at once, no more than are to be borne: one disk, and a minority away beside
    it."""
    rng = world.rng
    kind = rng.choice(
        ("kill", "kill all", "leader", "wipe", "cut", "alone", "freeze", "wipe after ack", "none")
    )
    leader = next(
        (d for d, m in world.nodes.items() if m.role.value == "leader"),
        rng.choice(world.addresses),
    )
    one = rng.choice(world.addresses)
    if kind == "kill":
        for address in rng.sample(world.addresses, rng.randint(1, 3)):
            world.kill(address)
    elif kind == "kill all":
        for address in world.addresses:
            world.kill(address)
    elif kind == "leader":
        world.say()
        world.kill(leader)
    elif kind in ("wipe", "wipe after ack"):
        if kind == "wipe after ack":
            world.say()
            world.run(0.05)
        world.wipe(leader if rng.random() < 0.5 else one)
        if rng.random() < 0.5:
            for address in world.addresses:  # and all others lose power
                world.kill(address)
    elif kind == "cut":
        side = set(rng.sample(world.addresses, len(world.addresses) // 2))
        world.cut = {frozenset((a, b)) for a in side for b in set(world.addresses) - side}
    elif kind == "alone":  # and what it is told then is on its disk only
        world.say()
        world.cut = {frozenset((leader, b)) for b in world.addresses if b != leader}
        world.say()
    elif kind == "freeze":
        world.frozen[leader] = []


def play(world: World, rounds: int) -> None:
    world.run(4.0)
    for _ in range(rounds):
        trouble(world)
        for _ in range(world.rng.randint(1, 6)):
            world.run(world.rng.uniform(0.02, 0.8))
            world.say()
        if world.rng.random() < 0.5:
            for address in list(world.frozen):
                world.thaw(address)
        world.heal()
        for _ in range(200):
            if world.whole():
                break
            world.run(0.2)
        assert world.whole(), "it does not go on after all is well"
        world.say()
        world.run(1.0)
    said = {data for _, data in world.order.values()}
    assert world.acked <= said
    assert world.words and len(world.acked) >= rounds


@pytest.mark.parametrize("seed", range(60))
def test_one_order_and_nothing_acknowledged_lost(seed: int) -> None:
    play(World(seed), 6)
    play(World(seed, SEEDS), 6)


def test_a_new_disk_that_was_given_the_log_from_its_beginning_can_lead() -> None:
    """Storm 9104: after a start it did not know the members before itself, so that no majority of
    them ever had what it said. Nor are those needed once the change is decided: their wiped disk
    and `a` are gone."""
    world = World(1, SEEDS)
    world.run(2.0)
    world.wipe("b:1")
    world.start("b:1")
    world.run(3.0)
    assert world.whole()
    for address in SEEDS:
        world.kill(address)
    for address in SEEDS[1:]:
        world.start(address)
    world.run(2.0)
    assert any(m.leads(world.now) for m in world.nodes.values())


@pytest.mark.parametrize("seed", range(1, 4))
def test_who_takes_itself_for_a_member_and_is_none_is_taken_in(seed: int) -> None:
    """The leader that had made it one ended before anybody else knew."""
    world = World(seed)
    world.kill("e:1")
    first = ""
    while not first:
        world.run(0.005)
        first = next((d for d, m in world.nodes.items() if m.leads(world.now)), "")
    leader = world.nodes[first]
    while leader._members_index <= leader.commit_index:
        world.run(0.002)
    world.cut = {frozenset((first, d)) for d in SEEDS if d != first}
    world.run(0.25)
    assert world.nodes["d:1"].is_member() and leader._members_index > leader.commit_index
    world.kill(first)
    world.cut.clear()
    world.run(3.0)
    world.heal()
    world.run(10.0)
    assert world.whole()


def test_a_leader_that_never_commits_anything_steps_down() -> None:
    """Of three disks one was exchanged, and does not know who came before it."""
    before = tuple(bootstrap_member(address) for address in SEEDS)
    members = (before[0], Member("b:1", "new"), before[2])
    entries = [Entry(1, 1, is_term_start=True), Entry(2, 1, members=members)]
    disks = {d: PersistedState(1, "new", Snapshot(0, 0, before), list(entries)) for d in SEEDS}
    disks["b:1"].snapshot = Snapshot()
    nodes = {
        m.address: RaftNode(m, disks[m.address], 0.0, random.Random(m.address)) for m in members
    }
    now, messages, held = 0.0, list[tuple[str, Message]](), set[str]()
    for _ in range(300):
        now += 0.05
        steps = [nodes[address].receive(now, message) for address, message in messages]
        steps += [node.tick(now) for node in nodes.values()]
        messages = [sent for ready in steps for sent in ready.sends]
        held |= {d for d, m in nodes.items() if m.leads(now)}
    assert held and "b:1" not in held


def test_a_longer_log_in_an_older_view_is_not_kept_out_for_good() -> None:
    """Storm 5013: one ahead in terms and behind in its log, one the other way round; neither could
    win."""
    members = tuple(bootstrap_member(address) for address in SEEDS)
    entries = [Entry(1, 1, is_term_start=True), Entry(2, 1, b"said")]
    disks = {
        "a:1": PersistedState(2, "", Snapshot(0, 0, members), entries),
        "b:1": PersistedState(
            7, bootstrap_member("b:1").disk_id, Snapshot(0, 0, members), entries[:1]
        ),
    }
    nodes = {d: RaftNode(bootstrap_member(d), k, 0.0, random.Random(d)) for d, k in disks.items()}
    now, messages = 0.0, list[tuple[str, Message]]()
    for _ in range(200):
        now += 0.05
        steps = [
            nodes[address].receive(now, message)
            for address, message in messages
            if address in nodes
        ]
        steps += [node.tick(now) for node in nodes.values()]
        messages = [sent for ready in steps for sent in ready.sends]
    assert [d for d, m in nodes.items() if m.leads(now)] == ["a:1"]
    assert nodes["b:1"].log[1].data == b"said"


class AckEarly(RaftNode):
    def _is_on_majority(self, index: int, among: tuple[Member, ...]) -> bool:
        return True


class WipedVotes(RaftNode):
    """Takes a vote for its address's, whatever disk it comes from, and votes with an empty disk."""

    def _handle_vote_reply(self, now: float, ready: Ready, message: VoteReply) -> None:
        same = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_vote_reply(now, ready, replace(message, sender=same))

    def _handle_append_reply(self, now: float, ready: Ready, message: AppendReply) -> None:
        same = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_append_reply(now, ready, replace(message, sender=same))

    def _handle_vote_request(self, now: float, ready: Ready, message: RequestVote) -> None:
        super()._handle_vote_request(now, ready, message)


class NeverTrims(RaftNode):
    def _handle_append_entries(self, now: float, ready: Ready, message: AppendEntries) -> None:
        fresh = tuple(e for e in message.entries if e.index > self.last_index)
        super()._handle_append_entries(
            now,
            ready,
            replace(message, entries=fresh) if message.entries and not fresh else message,
        )


class TakesOld(RaftNode):
    """What the leader of a term that is over says, is taken and answered all the same."""

    def receive(self, now: float, message: Message) -> Ready:
        old = (
            isinstance(message, AppendEntries)
            and message.term < self.term
            and self.role.value == "follower"
        )
        if not old:
            return super().receive(now, message)
        term, leader, self.term, self.leader = self.term, self.leader, message.term, message.sender
        ready = super().receive(now, message)
        self.term, self.leader = term, leader
        return ready


class NoPromise(RaftNode):
    """Gives its vote though it hears the leader."""

    def _handle_vote_request(self, now: float, ready: Ready, message: RequestVote) -> None:
        self.last_heartbeat_at = float("-inf")
        super()._handle_vote_request(now, ready, message)

    def tick(self, now: float) -> Ready:
        if self.role.value == "follower" and self.rng.random() < 0.05:
            self._election_due = now
        return super().tick(now)


@pytest.mark.parametrize("planted", [AckEarly, WipedVotes, NeverTrims, TakesOld, NoPromise])
def test_planted_defects_are_seen(planted: type[RaftNode]) -> None:
    def found(seed: int) -> bool:
        world = World.__new__(World)
        world.node = planted
        world.__init__(seed)  # type: ignore[misc]
        try:
            play(world, 6)
        except AssertionError:
            return True
        return False

    assert any(found(seed) for seed in range(200))


MESSAGES: list[Message] = [
    RequestVote(3, Member("a:1", "x"), True, 7, 2),
    RequestVote(3, Member("a:1", "x"), False, 7, 2, True),
    VoteReply(3, Member("a:1", "x"), False, True),
    AppendEntries(
        3,
        Member("a:1", "x"),
        4,
        2,
        (
            Entry(5, 3, b"d", (Member("b:1", "y", "zone", "region", True),)),
            Entry(6, 3, is_term_start=True),
        ),
        4,
        99,
    ),
    AppendReply(3, Member("a:1", "x"), True, 6, 99),
    InstallSnapshot(
        3, Member("a:1", "x"), Snapshot(4, 2, (Member("b:1", "y"),), b"s").head, 0, b"s", 7, 9
    ),
    SnapshotReply(3, Member("a:1", "x"), 4, 3, 99),
    Join(0, Member("a:1", "x", "zone", "region")),
    Leave(3, Member("a:1", "x", "zone", "region")),
    TimeoutNow(3, Member("a:1", "x")),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_lines_come_back_as_they_were(message: Message) -> None:
    assert repr(codec.decode_message(codec.encode_message(message))) == repr(
        message
    )  # places and roles as well


def test_a_disk_gives_back_what_was_written_and_refuses_what_it_cannot_read(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path)
    assert store.disk_id() == ""
    plain = Disk("x", bootstrap_state([Member("a:1", "x")]))
    store.initialize("x", plain.load())
    entries = tuple(Entry(n, 1 + n // 5, b"%d" % n) for n in range(1, 10))
    snapshot = Snapshot(4, 1, (Member("a:1", "x"),), b"four")
    for writes in (
        [HardState(2, "y"), SaveEntries(1, entries)],
        [SaveEntries(8, (Entry(8, 3, b"other"),))],
        [SaveSnapshot(snapshot, False)],
    ):
        store.write(writes)  # type: ignore[arg-type]
        plain.write(writes)  # type: ignore[arg-type]
        assert store.load() == plain.load()
    store.close()
    again = RaftStorage(tmp_path)
    assert again.disk_id() == "x" and again.load() == plain.load()
    again.write([SaveSnapshot(Snapshot(20, 4), True)])
    assert again.load().entries == []
    again.write([SaveEntries(23, (Entry(23, 4),))])  # a gap: entries in between are missing
    with pytest.raises(StorageError):
        again.load()
    again.close()


def test_a_damaged_disk_is_told_from_an_empty_one(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path)
    store.initialize("x", bootstrap_state([Member("a:1", "x")]))
    store.write([SaveEntries(1, (Entry(1, 1, b"d"),))])
    with store._env.begin(write=True) as change:
        change.put((1).to_bytes(8, "big"), b"\xff\xff not an entry", db=store._entries)
    assert store.disk_id() == "x"
    with pytest.raises(StorageError, match="cannot be read"):
        store.load()
    store.close()
    data = tmp_path / "promptbook/data.mdb"
    data.write_bytes(b"\0" * 100 + data.read_bytes()[100:])
    with pytest.raises(StorageError):
        RaftStorage(tmp_path)


def test_an_operator_reads_the_state_without_changing_it(tmp_path: Path) -> None:
    content = {"gen": 5, "routes": [], "backends": [], "tenants": []}
    store = RaftStorage(tmp_path)
    state = State()
    assert state.apply(Command(Verb.REPLACE, "d", content | {"parent": 0}))
    members = (Member("a:1", "x"), Member("b:1", "y", "zone", "region", learner=True))
    store.initialize("x", PersistedState(2, "x", Snapshot(3, 1, members, state.encode())))
    store.write([SaveEntries(4, (Entry(4, 2, Command(Verb.EVACUATE, zone="z").encode()),))])
    store.close()
    before = (tmp_path / "promptbook/data.mdb").read_bytes()
    shown = CommandTester(StateCommand())
    assert shown.execute(str(tmp_path)) == 0
    told = shown.io.fetch_output()
    assert "voters: a:1 (x)\nlearners: b:1 (y)" in told
    assert "disk x; term 2" in told and "gen 5, version 2, evacuated ['z']" in told
    assert (
        shown.execute(f"{tmp_path} --config") == 0
        and json.loads(shown.io.fetch_output()) == content
    )
    assert (tmp_path / "promptbook/data.mdb").read_bytes() == before
    assert shown.execute(str(tmp_path / "nowhere")) == 2 and not (tmp_path / "nowhere").exists()
