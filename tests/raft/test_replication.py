"""The core's log in virtual time: kills, wipes, cuts, freezes and joins, checked against a list."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from pathlib import Path

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
    Snapshot,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from cairndale.raft.node import RaftNode, bootstrap_member, bootstrap_state
from cairndale.raft.storage import RaftStorage, StorageError
from tests.testing.raft_cluster import SEEDS, Disk, RaftCluster, play


@pytest.mark.parametrize("seed", range(60))
def test_one_order_and_nothing_acknowledged_lost(seed: int) -> None:
    play(RaftCluster(seed), 6)
    play(RaftCluster(seed, SEEDS), 6)


def test_a_new_disk_that_was_given_the_log_from_its_beginning_can_lead() -> None:
    """Storm 9104: after a start it did not know the members before itself, so that no majority of
    them ever had what it said. Nor are those needed once the change is decided: their wiped disk
    and `a` are gone."""
    world = RaftCluster(1, SEEDS)
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
    world = RaftCluster(seed)
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
        world = RaftCluster.__new__(RaftCluster)
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
    with pytest.raises(StorageError, match="cannot read the state"):
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
