"""A simulated Raft cluster in virtual time, with faults.

Members are killed, wiped, partitioned and frozen. The committed entries of all members are checked
against one reference log."""

from __future__ import annotations

import heapq
import random
from typing import Any

from cairndale.raft import codec
from cairndale.raft.messages import (
    HardState,
    Member,
    Message,
    PersistedState,
    Ready,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotChunk,
    Write,
)
from cairndale.raft.node import RaftNode, bootstrap_member, bootstrap_state

BOOTSTRAP_ADDRESSES = ["a:1", "b:1", "c:1"]
ADDRESSES = [*BOOTSTRAP_ADDRESSES, "d:1", "e:1"]


class Disk:
    """The synced state of a member: a simple reference implementation of the writes."""

    def __init__(self, disk: str, persisted: PersistedState) -> None:
        self.disk_id, self.persisted = disk, persisted

    def write(self, writes: list[Write]) -> None:
        persisted = self.persisted
        for write in writes:
            match write:
                case HardState(term, voted_for):
                    persisted.term, persisted.voted_for = term, voted_for
                case SaveEntries(first_index, entries):
                    persisted.entries = [
                        e for e in persisted.entries if e.index < first_index
                    ] + list(entries)
                case SaveSnapshotChunk(head, offset, data, received=True):
                    persisted.partial_snapshot = (
                        head,
                        persisted.partial_snapshot[1] + data
                        if persisted.partial_snapshot and offset
                        else data,
                    )
                case SaveSnapshot(snapshot, replaces_log):
                    if (
                        persisted.partial_snapshot
                        and persisted.partial_snapshot[0].index <= snapshot.index
                    ):
                        persisted.partial_snapshot = None
                    persisted.entries = (
                        []
                        if replaces_log
                        else [e for e in persisted.entries if e.index > snapshot.index]
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


class RaftCluster:
    """Simulated members, driven by one random seed.

    `committed` is the reference log: term and data of each committed entry, by index."""

    node_class: type[RaftNode] = RaftNode

    def __init__(self, seed: int, addresses: list[str] = ADDRESSES) -> None:
        self.addresses = addresses
        self.rng, self.now, self.event_count = random.Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Any]] = []
        self.disks: dict[str, Disk] = {}
        self.nodes: dict[str, RaftNode] = {}
        self.applied_index: dict[str, int] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.acknowledged: set[bytes] = set()
        self.partitioned: set[frozenset[str]] = set()
        self.frozen: dict[str, list[Any]] = {}
        self.proposal_count = 0
        for address in self.addresses:
            is_bootstrap = address in BOOTSTRAP_ADDRESSES
            persisted = (
                bootstrap_state(bootstrap_member(d) for d in BOOTSTRAP_ADDRESSES)
                if is_bootstrap
                else bootstrap_state(())
            )
            self.disks[address] = Disk(
                bootstrap_member(address).disk_id if is_bootstrap else f"new-{address}", persisted
            )
            self.start(address)

    def schedule(self, delay: float, action: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay, self.event_count, action))

    def start(self, address: str) -> None:
        disk = self.disks[address]
        me, rng = Member(address, disk.disk_id), random.Random(self.rng.random())
        node = self.nodes[address] = self.node_class(
            me, disk.load(), self.now, rng, addresses=BOOTSTRAP_ADDRESSES
        )
        self.applied_index[address] = node.commit_index
        self.schedule(0.0, lambda: self.tick(address, node))

    def tick(self, address: str, node: RaftNode) -> None:
        if self.nodes.get(address) is node:
            if address not in self.frozen:
                self.execute(address, node.tick(self.now))
            self.schedule(0.05 * self.rng.uniform(0.9, 1.1), lambda: self.tick(address, node))

    def execute(self, address: str, ready: Ready) -> None:
        self.disks[address].write(ready.writes)
        for receiver, message in ready.sends:
            if self.rng.random() < 0.98:
                self.schedule(
                    self.rng.uniform(0.001, 0.03),
                    lambda receiver=receiver, message=message: self.deliver(
                        address, receiver, message
                    ),
                )
        if ready.restored_snapshot:
            self.applied_index[address] = ready.restored_snapshot.index
            assert ready.restored_snapshot.index == int(ready.restored_snapshot.state or b"0")
        node = self.nodes[address]
        for entry in ready.committed_entries:
            assert entry.index == self.applied_index[address] + 1
            self.applied_index[address] = entry.index
            expected = self.committed.setdefault(entry.index, (entry.term, entry.data))
            assert expected == (entry.term, entry.data), "two entries committed at one index"
            if node.role.value == "leader" and entry.term == node.term and entry.data:
                self.acknowledged.add(entry.data)
        if ready.committed_entries and (len(node.log) > 12 or node.wants_snapshot()):
            self.execute(address, node.compact(b"%d" % self.applied_index[address]))
        if ready.received_snapshot:
            self.execute(address, node.install_snapshot(self.now, ready.received_snapshot))
        leaders = [d for d, m in self.nodes.items() if m.leads(self.now)]
        assert len(leaders) <= 1, "two leaders with a valid lease"

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        if frozenset((sender, receiver)) in self.partitioned or receiver not in self.nodes:
            return
        message = codec.decode_message(codec.encode_message(message))
        if receiver in self.frozen:
            self.frozen[receiver].append(message)
        else:
            self.execute(receiver, self.nodes[receiver].receive(self.now, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            due, _, action = heapq.heappop(self.queue)
            self.now = max(self.now, due)
            action()
        self.now = end

    # Faults and load.

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
                self.execute(address, self.nodes[address].receive(self.now, message))

    def propose_command(self) -> None:
        for address, node in list(self.nodes.items()):
            if node.role.value == "leader" and address not in self.frozen:
                self.proposal_count += 1
                _, ready = node.propose(self.now, b"w%d" % self.proposal_count)
                self.execute(address, ready)

    def clear_faults(self) -> None:
        self.partitioned.clear()
        for address in list(self.frozen):
            self.thaw(address)
        for address in self.addresses:
            if address not in self.nodes:
                self.start(address)

    def is_converged(self) -> bool:
        """All members are voters with their current disks, and know the same committed entries."""
        voters = {Member(d, self.disks[d].disk_id) for d in self.addresses}
        leader = next((m for m in self.nodes.values() if m.leads(self.now)), None)
        return leader is not None and all(
            set(m.voters) == voters and m.commit_index == m.last_index == leader.last_index
            for m in self.nodes.values()
        )


def inject_fault(cluster: RaftCluster) -> None:
    """Injects faults that the cluster has to survive: one lost disk and a minority unavailable."""
    rng = cluster.rng
    kind = rng.choice(
        (
            "kill",
            "kill all",
            "kill leader",
            "wipe",
            "partition",
            "isolate leader",
            "freeze",
            "wipe after ack",
            "none",
        )
    )
    leader = next(
        (d for d, m in cluster.nodes.items() if m.role.value == "leader"),
        rng.choice(cluster.addresses),
    )
    random_address = rng.choice(cluster.addresses)
    if kind == "kill":
        for address in rng.sample(cluster.addresses, rng.randint(1, 3)):
            cluster.kill(address)
    elif kind == "kill all":
        for address in cluster.addresses:
            cluster.kill(address)
    elif kind == "kill leader":
        cluster.propose_command()
        cluster.kill(leader)
    elif kind in ("wipe", "wipe after ack"):
        if kind == "wipe after ack":
            cluster.propose_command()
            cluster.run(0.05)
        cluster.wipe(leader if rng.random() < 0.5 else random_address)
        if rng.random() < 0.5:
            for address in cluster.addresses:  # the others lose power too
                cluster.kill(address)
    elif kind == "partition":
        partition = set(rng.sample(cluster.addresses, len(cluster.addresses) // 2))
        cluster.partitioned = {
            frozenset((a, b)) for a in partition for b in set(cluster.addresses) - partition
        }
    elif kind == "isolate leader":  # the last proposal is on its disk only
        cluster.propose_command()
        cluster.partitioned = {frozenset((leader, b)) for b in cluster.addresses if b != leader}
        cluster.propose_command()
    elif kind == "freeze":
        cluster.frozen[leader] = []


def run_with_faults(cluster: RaftCluster, rounds: int) -> None:
    cluster.run(4.0)
    for _ in range(rounds):
        inject_fault(cluster)
        for _ in range(cluster.rng.randint(1, 6)):
            cluster.run(cluster.rng.uniform(0.02, 0.8))
            cluster.propose_command()
        if cluster.rng.random() < 0.5:
            for address in list(cluster.frozen):
                cluster.thaw(address)
        cluster.clear_faults()
        for _ in range(200):
            if cluster.is_converged():
                break
            cluster.run(0.2)
        assert cluster.is_converged(), "the cluster did not recover after the faults ended"
        cluster.propose_command()
        cluster.run(1.0)
    committed_data = {data for _, data in cluster.committed.values()}
    assert cluster.acknowledged <= committed_data
    assert cluster.proposal_count and len(cluster.acknowledged) >= rounds
