"""A Raft cluster in virtual time: kills, wipes, cuts and freezes, checked against a plain list."""

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


class RaftCluster:
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


def trouble(world: RaftCluster) -> None:
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


def play(world: RaftCluster, rounds: int) -> None:
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
