"""Replication in a simulated cluster with faults, the codec, and the stored state."""

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
from tests.testing.raft_cluster import BOOTSTRAP_ADDRESSES, Disk, RaftCluster, run_with_faults


@pytest.mark.parametrize("seed", range(60))
def test_logs_agree_and_no_acknowledged_command_is_lost(seed: int) -> None:
    run_with_faults(RaftCluster(seed), 6)
    run_with_faults(RaftCluster(seed, BOOTSTRAP_ADDRESSES), 6)


def test_new_disk_that_received_the_complete_log_can_lead() -> None:
    """Storm 9104: after a restart the new member did not know the previous configuration, so its
    entries never reached a majority of those voters.

    Once the change is committed, the previous voters are not needed: `a` and the wiped disk are
    gone here."""
    cluster = RaftCluster(1, BOOTSTRAP_ADDRESSES)
    cluster.run(2.0)
    cluster.wipe("b:1")
    cluster.start("b:1")
    cluster.run(3.0)
    assert cluster.is_converged()
    for address in BOOTSTRAP_ADDRESSES:
        cluster.kill(address)
    for address in BOOTSTRAP_ADDRESSES[1:]:
        cluster.start(address)
    cluster.run(2.0)
    assert any(m.leads(cluster.now) for m in cluster.nodes.values())


@pytest.mark.parametrize("seed", range(1, 4))
def test_member_added_by_an_uncommitted_entry_joins_again(seed: int) -> None:
    """The leader crashed before any other member received the configuration that added it."""
    cluster = RaftCluster(seed)
    cluster.kill("e:1")
    leader_address = ""
    while not leader_address:
        cluster.run(0.005)
        leader_address = next((d for d, m in cluster.nodes.items() if m.leads(cluster.now)), "")
    leader = cluster.nodes[leader_address]
    while leader._members_index <= leader.commit_index:
        cluster.run(0.002)
    cluster.partitioned = {
        frozenset((leader_address, d)) for d in BOOTSTRAP_ADDRESSES if d != leader_address
    }
    cluster.run(0.25)
    assert cluster.nodes["d:1"].is_member() and leader._members_index > leader.commit_index
    cluster.kill(leader_address)
    cluster.partitioned.clear()
    cluster.run(3.0)
    cluster.clear_faults()
    cluster.run(10.0)
    assert cluster.is_converged()


def test_a_leader_that_never_commits_anything_steps_down() -> None:
    """One of three disks was replaced, and the new one does not know the previous voters."""
    before = tuple(bootstrap_member(address) for address in BOOTSTRAP_ADDRESSES)
    members = (before[0], Member("b:1", "new"), before[2])
    entries = [Entry(1, 1, is_term_start=True), Entry(2, 1, members=members)]
    disks = {
        d: PersistedState(1, "new", Snapshot(0, 0, before), list(entries))
        for d in BOOTSTRAP_ADDRESSES
    }
    disks["b:1"].snapshot = Snapshot()
    nodes = {
        m.address: RaftNode(m, disks[m.address], 0.0, random.Random(m.address)) for m in members
    }
    now, messages, leaders_seen = 0.0, list[tuple[str, Message]](), set[str]()
    for _ in range(300):
        now += 0.05
        steps = [nodes[address].receive(now, message) for address, message in messages]
        steps += [node.tick(now) for node in nodes.values()]
        messages = [sent for ready in steps for sent in ready.sends]
        leaders_seen |= {d for d, m in nodes.items() if m.leads(now)}
    assert leaders_seen and "b:1" not in leaders_seen


def test_member_with_a_longer_log_in_an_earlier_term_wins_in_the_end() -> None:
    """Storm 5013: one member had the later term and the shorter log, the other one the earlier term
    and the longer log; neither could win an election."""
    members = tuple(bootstrap_member(address) for address in BOOTSTRAP_ADDRESSES)
    entries = [Entry(1, 1, is_term_start=True), Entry(2, 1, b"said")]
    disks = {
        "a:1": PersistedState(2, "", Snapshot(0, 0, members), entries),
        "b:1": PersistedState(
            7, bootstrap_member("b:1").disk_id, Snapshot(0, 0, members), entries[:1]
        ),
    }
    nodes = {
        d: RaftNode(bootstrap_member(d), persisted, 0.0, random.Random(d))
        for d, persisted in disks.items()
    }
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


class CommitsWithoutMajority(RaftNode):
    def _is_on_majority(self, index: int, voters: tuple[Member, ...]) -> bool:
        return True


class IgnoresDiskIds(RaftNode):
    """Attributes replies to the member at the sender's address, whatever the sender's disk is."""

    def _handle_vote_reply(self, now: float, ready: Ready, message: VoteReply) -> None:
        member_at_address = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_vote_reply(now, ready, replace(message, sender=member_at_address))

    def _handle_append_reply(self, now: float, ready: Ready, message: AppendReply) -> None:
        member_at_address = next(
            (m for m in self.members if m.address == message.sender.address), message.sender
        )
        super()._handle_append_reply(now, ready, replace(message, sender=member_at_address))

    def _handle_vote_request(self, now: float, ready: Ready, message: RequestVote) -> None:
        super()._handle_vote_request(now, ready, message)


class NeverTruncates(RaftNode):
    def _handle_append_entries(self, now: float, ready: Ready, message: AppendEntries) -> None:
        new_entries = tuple(e for e in message.entries if e.index > self.last_index)
        super()._handle_append_entries(
            now,
            ready,
            replace(message, entries=new_entries)
            if message.entries and not new_entries
            else message,
        )


class AcceptsStaleTerms(RaftNode):
    """Accepts and acknowledges entries from the leader of a past term."""

    def receive(self, now: float, message: Message) -> Ready:
        is_stale = (
            isinstance(message, AppendEntries)
            and message.term < self.term
            and self.role.value == "follower"
        )
        if not is_stale:
            return super().receive(now, message)
        term, leader, self.term, self.leader = self.term, self.leader, message.term, message.sender
        ready = super().receive(now, message)
        self.term, self.leader = term, leader
        return ready


class IgnoresLease(RaftNode):
    """Grants votes although it receives heartbeats from a leader."""

    def _handle_vote_request(self, now: float, ready: Ready, message: RequestVote) -> None:
        self.last_heartbeat_at = float("-inf")
        super()._handle_vote_request(now, ready, message)

    def tick(self, now: float) -> Ready:
        if self.role.value == "follower" and self.rng.random() < 0.05:
            self._election_due = now
        return super().tick(now)


@pytest.mark.parametrize(
    "defective_node",
    [CommitsWithoutMajority, IgnoresDiskIds, NeverTruncates, AcceptsStaleTerms, IgnoresLease],
)
def test_injected_defects_are_detected(defective_node: type[RaftNode]) -> None:
    def finds_defect(seed: int) -> bool:
        cluster = RaftCluster.__new__(RaftCluster)
        cluster.node_class = defective_node
        cluster.__init__(seed)  # type: ignore[misc]
        try:
            run_with_faults(cluster, 6)
        except AssertionError:
            return True
        return False

    assert any(finds_defect(seed) for seed in range(200))


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
def test_messages_survive_encoding(message: Message) -> None:
    assert repr(codec.decode_message(codec.encode_message(message))) == repr(
        message
    )  # `repr` includes locations and roles, which equality ignores


def test_storage_loads_what_was_written_and_rejects_a_gap(tmp_path: Path) -> None:
    storage = RaftStorage(tmp_path)
    assert storage.disk_id() == ""
    reference = Disk("x", bootstrap_state([Member("a:1", "x")]))
    storage.initialize("x", reference.load())
    entries = tuple(Entry(n, 1 + n // 5, b"%d" % n) for n in range(1, 10))
    snapshot = Snapshot(4, 1, (Member("a:1", "x"),), b"four")
    for writes in (
        [HardState(2, "y"), SaveEntries(1, entries)],
        [SaveEntries(8, (Entry(8, 3, b"other"),))],
        [SaveSnapshot(snapshot, False)],
    ):
        storage.write(writes)  # type: ignore[arg-type]
        reference.write(writes)  # type: ignore[arg-type]
        assert storage.load() == reference.load()
    storage.close()
    reopened = RaftStorage(tmp_path)
    assert reopened.disk_id() == "x" and reopened.load() == reference.load()
    reopened.write([SaveSnapshot(Snapshot(20, 4), True)])
    assert reopened.load().entries == []
    reopened.write([SaveEntries(23, (Entry(23, 4),))])  # a gap: entries in between are missing
    with pytest.raises(StorageError):
        reopened.load()
    reopened.close()


def test_damaged_disk_is_not_taken_for_an_empty_one(tmp_path: Path) -> None:
    storage = RaftStorage(tmp_path)
    storage.initialize("x", bootstrap_state([Member("a:1", "x")]))
    storage.write([SaveEntries(1, (Entry(1, 1, b"d"),))])
    with storage._env.begin(write=True) as transaction:
        transaction.put((1).to_bytes(8, "big"), b"\xff\xff not an entry", db=storage._entries)
    assert storage.disk_id() == "x"
    with pytest.raises(StorageError, match="cannot read the state"):
        storage.load()
    storage.close()
    data = tmp_path / "promptbook/data.mdb"
    data.write_bytes(b"\0" * 100 + data.read_bytes()[100:])
    with pytest.raises(StorageError):
        RaftStorage(tmp_path)


def test_state_command_prints_the_state_without_changing_it(tmp_path: Path) -> None:
    content = {"gen": 5, "routes": [], "backends": [], "tenants": []}
    storage = RaftStorage(tmp_path)
    state = State()
    assert state.apply(Command(Verb.REPLACE, "d", content | {"parent": 0}))
    members = (Member("a:1", "x"), Member("b:1", "y", "zone", "region", learner=True))
    storage.initialize("x", PersistedState(2, "x", Snapshot(3, 1, members, state.encode())))
    storage.write([SaveEntries(4, (Entry(4, 2, Command(Verb.EVACUATE, zone="z").encode()),))])
    storage.close()
    before = (tmp_path / "promptbook/data.mdb").read_bytes()
    command = CommandTester(StateCommand())
    assert command.execute(str(tmp_path)) == 0
    output = command.io.fetch_output()
    assert "voters: a:1 (x)\nlearners: b:1 (y)" in output
    assert "disk x; term 2" in output and "gen 5, version 2, evacuated ['z']" in output
    assert (
        command.execute(f"{tmp_path} --config") == 0
        and json.loads(command.io.fetch_output()) == content
    )
    assert (tmp_path / "promptbook/data.mdb").read_bytes() == before
    assert command.execute(str(tmp_path / "nowhere")) == 2 and not (tmp_path / "nowhere").exists()
