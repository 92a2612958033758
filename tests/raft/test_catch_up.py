"""Members that were down catch up from the log or from a snapshot in chunks.

Each link carries 2 Mbit/s, and proposals continue meanwhile."""

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
from tests.testing.raft_cluster import BOOTSTRAP_ADDRESSES, RaftCluster

BYTES_PER_SECOND = 250_000  # bytes per second: 2 Mbit/s
DELAY_S = 0.02  # one-way, seconds
# State of a snapshot: 12,000 routes and 160,000 tenants.
STATE_BYTES = 4 * 1024 * 1024
COMMAND_BYTES = 400  # of a small command
PADDING = random.Random(1).randbytes(STATE_BYTES)


class LimitedBandwidthCluster(RaftCluster):
    """Members with an ordered 2 Mbit/s link to each other.

    Each member makes a snapshot of `snapshot_bytes` at every `snapshot_interval`-th entry."""

    snapshot_bytes, snapshot_interval = STATE_BYTES, 128

    def __init__(self, seed: int, addresses: list[str] = BOOTSTRAP_ADDRESSES) -> None:
        self.link_free_at: dict[tuple[str, str], float] = {}
        self.bytes_sent: dict[tuple[str, str], int] = {}
        self.max_queueing_delay = 0.0  # maximum seconds a leader's message was queued
        super().__init__(seed, addresses)

    def execute(self, address: str, ready: Ready) -> None:
        self.disks[address].write(ready.writes)
        for receiver, message in ready.sends:
            self.send(address, receiver, message)
        if ready.restored_snapshot:
            self.applied_index[address] = ready.restored_snapshot.index
        node = self.nodes[address]
        for entry in ready.committed_entries:
            assert entry.index == self.applied_index[address] + 1
            self.applied_index[address] = entry.index
            expected = self.committed.setdefault(entry.index, (entry.term, entry.data))
            assert expected == (entry.term, entry.data), "two entries committed at one index"
            if node.role.value == "leader" and entry.term == node.term and entry.data:
                self.acknowledged.add(entry.data)
            if entry.index % self.snapshot_interval == 0:
                self.schedule(0.0, lambda index=entry.index: self.compact(address, node, index))  # type: ignore[misc]
        if ready.received_snapshot and ready.received_snapshot.index:
            assert ready.received_snapshot.state[-8:] == b"%8d" % ready.received_snapshot.index
        if ready.received_snapshot:
            self.execute(address, node.install_snapshot(self.now, ready.received_snapshot))
        leaders = [d for d, m in self.nodes.items() if m.leads(self.now)]
        assert len(leaders) <= 1, "two leaders with a valid lease"
        for leader in leaders:
            newest = max(self.committed, default=0)
            assert self.nodes[leader].last_index >= newest, "a leader lacks committed entries"

    def compact(self, address: str, node: RaftNode, index: int) -> None:
        state = PADDING[: self.snapshot_bytes - 8] + b"%8d" % index
        if self.nodes.get(address) is node and index > node.base_snapshot.index:
            self.execute(address, node.compact(node.make_snapshot(index, state)))

    def send(self, address: str, receiver: str, message: Message) -> None:
        link = (address, receiver)
        if receiver not in self.nodes:
            return
        size = len(codec.encode_message(message).SerializeToString()) + 16
        started_at = max(self.now, self.link_free_at.get(link, 0.0))
        if isinstance(message, AppendEntries | InstallSnapshot):
            self.max_queueing_delay = max(self.max_queueing_delay, started_at - self.now)
        self.link_free_at[link] = started_at + size / BYTES_PER_SECOND
        self.bytes_sent[link] = self.bytes_sent.get(link, 0) + size
        delay = self.link_free_at[link] + DELAY_S - self.now
        self.schedule(delay, lambda: self.deliver(address, receiver, message))

    def kill(self, address: str) -> None:
        super().kill(address)
        for link in list(self.link_free_at):
            if address in link:
                del self.link_free_at[link]

    def propose_command(self) -> None:
        for address, node in list(self.nodes.items()):
            if node.role.value == "leader" and address not in self.frozen:
                self.proposal_count += 1
                _, ready = node.propose(
                    self.now, (b"w%d " % self.proposal_count).ljust(COMMAND_BYTES, b".")
                )
                self.execute(address, ready)

    def leader(self) -> str:
        return next((d for d, m in self.nodes.items() if m.leads(self.now)), "")

    def run_under_load(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Proposes commands for `seconds`, or until the condition holds; returns the time taken."""
        started_at = self.now
        while self.now - started_at < seconds:
            self.propose_command()
            self.run(0.1)
            if until and until():
                return self.now - started_at
        assert until is None, "condition not reached in time"
        return seconds

    def is_caught_up(self, address: str) -> bool:
        newest = max(self.committed)
        return address in self.nodes and self.nodes[address].commit_index >= newest - 3


def cluster_with_lagging_follower(
    seed: int, changes: int = 1000, size: int = STATE_BYTES
) -> tuple[LimitedBandwidthCluster, str, str]:
    """A cluster, its leader, and a follower that is down and has missed `changes` commands."""
    cluster = LimitedBandwidthCluster(seed)
    cluster.snapshot_bytes = size
    cluster.run(3.0)
    leader = cluster.leader()
    follower = next(d for d in BOOTSTRAP_ADDRESSES if d != leader)
    cluster.run_under_load(2.0)
    cluster.kill(follower)
    for _ in range(changes):
        cluster.propose_command()
        cluster.run(0.06)
    assert cluster.leader() == leader
    cluster.max_queueing_delay, cluster.bytes_sent = 0.0, {}
    return cluster, leader, follower


@pytest.mark.parametrize("seed", [1, 2])
def test_follower_that_missed_a_thousand_commands_catches_up_from_the_log(seed: int) -> None:
    """0.4 MB of entries take less than 5 s, although the snapshot is ten times as large."""
    cluster, leader, follower = cluster_with_lagging_follower(seed)
    cluster.start(follower)
    assert cluster.run_under_load(5.0, until=lambda: cluster.is_caught_up(follower)) < 5.0
    assert cluster.leader() == leader and cluster.max_queueing_delay < 0.2
    assert cluster.bytes_sent[leader, follower] < STATE_BYTES / 4


@pytest.mark.parametrize("seed", [1, 2])
def test_new_disk_receives_the_snapshot_in_chunks(seed: int) -> None:
    """4 MiB at 2 Mbit/s take 16.8 s; the limit is 25 s.

    Heartbeats are queued behind the window at most, and the leader does not change although one
    member is not caught up and its replies are needed for the quorum."""
    cluster, leader, follower = cluster_with_lagging_follower(seed)
    cluster.wipe(follower)
    cluster.start(follower)
    duration = cluster.run_under_load(25.0, until=lambda: cluster.is_caught_up(follower))
    assert 16.0 < duration < 25.0
    assert (
        cluster.leader() == leader
        and cluster.max_queueing_delay < WINDOW_CHUNKS * CHUNK_BYTES / BYTES_PER_SECOND + 0.05
    )
    assert (
        cluster.bytes_sent[leader, follower]
        < 1.1 * STATE_BYTES + cluster.proposal_count * 2 * COMMAND_BYTES
    )


def test_snapshot_receiver_keeps_up_the_lease() -> None:
    """One member of three is down, so the lease depends on the member that is catching up.

    Its replies follow messages on the link that carries the snapshot."""
    cluster, leader, follower = cluster_with_lagging_follower(3)
    node = cluster.nodes[leader]
    node.compacted_tail = type(
        node.compacted_tail
    )()  # the follower needs entries older than the tail
    cluster.start(follower)
    cluster.run_under_load(2.0)
    (other,) = {*BOOTSTRAP_ADDRESSES} - {leader, follower}
    cluster.kill(other)
    polls_with_lease = 0
    for _ in range(3000):
        cluster.run(0.01)
        polls_with_lease += node.leads(cluster.now)
        if (
            node.commit_index == node.last_index
            and cluster.nodes[follower].commit_index == node.last_index
        ):
            break
    assert polls_with_lease / (_ + 1) > 0.999, "leadership was lost"
    assert cluster.leader() == leader
    assert cluster.nodes[follower].commit_index == node.last_index


def test_transfer_resumes_after_a_partition_a_restart_and_a_change_of_leader() -> None:
    cluster, leader, follower = cluster_with_lagging_follower(4)
    (other,) = {*BOOTSTRAP_ADDRESSES} - {leader, follower}
    for address in (leader, other):
        cluster.nodes[address].compacted_tail = type(cluster.nodes[address].compacted_tail)()
    assert (
        cluster.nodes[leader].base_snapshot.head == cluster.nodes[other].base_snapshot.head
    )  # snapshots at the same entry are identical
    cluster.start(follower)
    cluster.run(4.0)
    cluster.partitioned = {frozenset((leader, follower))}
    cluster.run(3.0)
    cluster.partitioned.clear()
    cluster.run(4.0)
    cluster.kill(follower)
    cluster.run(1.0)
    cluster.start(follower)
    cluster.run(4.0)
    received_bytes = len(cluster.disks[follower].persisted.partial_snapshot[1])  # type: ignore[index]
    assert received_bytes > STATE_BYTES / 2, "transfer started over"
    cluster.kill(leader)  # only the third member can become leader
    cluster.run(3.0)
    assert cluster.nodes[other].role is Role.LEADER
    cluster.run_under_load(
        25.0, until=lambda: cluster.is_caught_up(follower) and cluster.leader() == other
    )
    sent_bytes = cluster.bytes_sent[other, follower]
    assert (
        sent_bytes
        < 1.1 * (STATE_BYTES - received_bytes)
        + 4 * CHUNK_BYTES
        + cluster.proposal_count * 2 * COMMAND_BYTES
    ), "transfer started over"


def test_snapshots_made_faster_than_they_are_sent_do_not_prevent_catching_up() -> None:
    """A new snapshot every 3 s, where a transfer takes 17 s.

    A started transfer is completed, and then the log is sent."""
    cluster, _, follower = cluster_with_lagging_follower(5)
    cluster.wipe(follower)
    LimitedBandwidthCluster.snapshot_interval, original_interval = (
        30,
        LimitedBandwidthCluster.snapshot_interval,
    )
    try:
        cluster.start(follower)
        cluster.run_under_load(30.0, until=lambda: cluster.is_caught_up(follower))
    finally:
        LimitedBandwidthCluster.snapshot_interval = original_interval


@pytest.mark.parametrize(
    "defect",
    ["newest snapshot only", "no chunk window", "no resume", "one entry", "no fragment window"],
)
def test_injected_defects_are_detected(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The checks above detect each of these defects.

    A newer snapshot replaces the one being sent; all chunks are sent at once; the receiver starts
    over with each new leader; a command is sent as one entry; all fragments are sent at once."""
    if defect == "newest snapshot only":
        monkeypatch.setattr(
            compaction, "is_still_useful", lambda t, now, base, tail: t.snapshot is base
        )
        check = test_snapshots_made_faster_than_they_are_sent_do_not_prevent_catching_up
    elif defect == "one entry":
        monkeypatch.setattr(fragments, "PAYLOAD_BYTES", 1 << 22)
        check = test_fragmented_command_of_2_mb_delays_neither_heartbeats_nor_other_commands
    elif defect == "no fragment window":
        monkeypatch.setattr(fragments, "MAX_UNCOMMITTED", 1000)
        check = test_fragmented_command_of_2_mb_delays_neither_heartbeats_nor_other_commands
    elif defect == "no chunk window":
        monkeypatch.setattr("cairndale.raft.snapshot_transfer.WINDOW_CHUNKS", 100_000)
        check = test_snapshot_receiver_keeps_up_the_lease
    else:
        receive = SnapshotReceiver.receive

        def receive_without_resume(self: SnapshotReceiver, message: InstallSnapshot) -> object:
            if message.term != self._term:
                self.head = None
            return receive(self, message)

        monkeypatch.setattr(SnapshotReceiver, "receive", receive_without_resume)
        check = test_transfer_resumes_after_a_partition_a_restart_and_a_change_of_leader
    expected_messages = {
        "newest snapshot only": "condition not reached",
        "no chunk window": "leadership was lost",
        "no resume": "transfer started over",
    }
    expected_messages |= {
        "one entry": "max_queueing_delay",
        "no fragment window": "slowest_command",
    }
    with pytest.raises(AssertionError, match=expected_messages[defect]):
        check()


# Large commands.


@dataclass
class LargeCommandResult:
    """Result of proposing a large command where each link carries 2 Mbit/s."""

    cluster: LimitedBandwidthCluster
    seconds: float  # until the command was committed
    leading_fraction: float  # fraction of that time with a valid lease
    slowest_command: float  # seconds, of the other commands proposed meanwhile


def replicate_large_command(
    seed: int,
    data: list[bytes],
    on_poll: Callable[[LimitedBandwidthCluster, str, int], None] | None = None,
) -> LargeCommandResult:
    """Proposes these entries, at most `MAX_UNCOMMITTED` ahead, as `proposals.py` does."""
    cluster = LimitedBandwidthCluster(seed)
    cluster.snapshot_bytes = 8
    cluster.run(3.0)
    leader, started_at, fragment_indexes, proposed_at = (
        cluster.leader(),
        cluster.now,
        list[int](),
        dict[bytes, float](),
    )
    node, remaining, leading_polls, slowest = cluster.nodes[leader], list(data), 0, 0.0
    cluster.max_queueing_delay, polls = 0.0, 0
    while remaining or node.commit_index < fragment_indexes[-1]:
        while remaining and (
            len(fragment_indexes) < fragments.MAX_UNCOMMITTED
            or node.commit_index >= fragment_indexes[-fragments.MAX_UNCOMMITTED]
        ):
            index, ready = node.propose(cluster.now, remaining.pop(0))
            assert index, "not the leader"
            fragment_indexes.append(index)
            cluster.execute(leader, ready)
        if polls % 20 == 0:
            cluster.propose_command()
            proposed_at[(b"w%d " % cluster.proposal_count).ljust(COMMAND_BYTES, b".")] = cluster.now
        cluster.run(0.005)
        polls, leading_polls = polls + 1, leading_polls + node.leads(cluster.now)
        slowest = max(
            [
                slowest,
                *(
                    cluster.now - at
                    for command, at in proposed_at.items()
                    if command in cluster.acknowledged
                ),
            ]
        )
        proposed_at = {
            command: at
            for command, at in proposed_at.items()
            if command not in cluster.acknowledged
        }
        if on_poll:
            on_poll(cluster, leader, polls)
        assert polls < 10_000, "command not committed in time"
    return LargeCommandResult(
        cluster,
        cluster.now - started_at,
        leading_polls / polls,
        max([slowest, *(cluster.now - since for since in proposed_at.values())]),
    )


def encode_fragments(size: int) -> list[bytes]:
    return [data for data in fragments.split([PADDING[:size]]) if data]


def test_fragmented_command_of_2_mb_delays_neither_heartbeats_nor_other_commands() -> None:
    result = replicate_large_command(6, encode_fragments(2_000_000))
    assert (
        result.cluster.max_queueing_delay < 0.2
        and result.leading_fraction == 1.0
        and result.slowest_command < 1.0
    )
    assert result.seconds < 14.0  # the transmission alone takes 8 s


def test_follower_that_restarts_during_a_command_resumes() -> None:
    def restart_follower(cluster: LimitedBandwidthCluster, leader: str, polls: int) -> None:
        follower = next(d for d in BOOTSTRAP_ADDRESSES if d != leader)
        if polls == 400:
            cluster.kill(follower)
        elif polls == 500:
            cluster.bytes_sent.clear()
            cluster.start(follower)

    result = replicate_large_command(7, encode_fragments(1_000_000), restart_follower)
    (leader,) = {result.cluster.leader()}
    follower = next(d for d in BOOTSTRAP_ADDRESSES if d != leader)
    result.cluster.run(6.0)
    assert result.cluster.is_caught_up(follower)
    assert (
        result.cluster.bytes_sent[leader, follower]
        < 700_000 + result.cluster.proposal_count * 2 * COMMAND_BYTES
    ), "replication started over"


# A disk that hangs.


class HangingDiskCluster(RaftCluster):
    """The next write of the member `hangs` blocks its process for 4 s.

    Whether or not the write reaches the disk at its start, the member sends nothing that depends on
    it before it ends."""

    hangs = ""

    def execute(self, address: str, ready: Ready) -> None:
        if address != self.hangs or not ready.writes:
            super().execute(address, ready)
            return
        self.hangs, self.frozen[address] = "", []
        if self.rng.random() < 0.5:
            self.disks[address].write(ready.writes)
            ready = replace(ready, writes=[])
        node = self.nodes[address]
        self.schedule(4.0, lambda: self.end_write(address, node, ready))

    def end_write(self, address: str, node: RaftNode, ready: Ready) -> None:
        if self.nodes.get(address) is node:
            super().execute(address, ready)
            self.thaw(address)


@pytest.mark.parametrize("seed", range(20))
def test_another_member_leads_if_the_leaders_disk_hangs_and_no_commit_is_lost(seed: int) -> None:
    cluster = HangingDiskCluster(seed)
    cluster.run(6.0)
    leader = next(d for d, m in cluster.nodes.items() if m.leads(cluster.now))
    cluster.propose_command()
    cluster.hangs = leader
    cluster.propose_command()
    waited = 0.0
    while not any(m.leads(cluster.now) for d, m in cluster.nodes.items() if d != leader):
        cluster.run(0.05)
        waited += 0.05
        assert waited < 3.0, "no other member became leader"
    cluster.propose_command()
    cluster.run(8.0)
    cluster.propose_command()
    cluster.run(1.0)
    assert sum(m.leads(cluster.now) for m in cluster.nodes.values()) == 1
    assert (
        cluster.acknowledged <= {data for _, data in cluster.committed.values()}
        and len(cluster.acknowledged) >= 3
    )
