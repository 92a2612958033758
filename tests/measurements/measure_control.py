"""Figures of the control side: `python -m tests.measurements.measure_control`.

How long nobody leads after a kill, a freeze and a cut, in virtual time with 20 ms between members;
changes a second with real lmdb folders.
"""

from __future__ import annotations

import random
import statistics
import tempfile
import time
from pathlib import Path

from cairndale.raft.messages import Entry, Member, PersistedState, Ready, SaveEntries, Snapshot
from cairndale.raft.storage import RaftStorage
from tests.testing.raft_cluster import ADDRESSES, RaftCluster

DELAY = (0.018, 0.024)  # s one way


class Far(RaftCluster):
    """Members 20 ms apart; nothing is lost but by what is done to them."""

    def execute(self, address: str, ready: Ready) -> None:
        self.disks[address].write(ready.writes)
        for to, message in ready.sends:
            wait = self.rng.uniform(*DELAY)
            self.schedule(wait, lambda to=to, message=message: self.deliver(address, to, message))  # type: ignore[misc]
        if ready.restored_snapshot:
            self.applied_index[address] = ready.restored_snapshot.index
        for entry in ready.committed_entries:
            self.applied_index[address] = entry.index
        if ready.received_snapshot:
            self.execute(
                address, self.nodes[address].install_snapshot(self.now, ready.received_snapshot)
            )


def without(kind: str, seed: int) -> float:
    """s from the trouble until another, or the same one again, leads."""
    world = Far(seed)
    world.run(6.0 + random.Random(seed).random())
    leader = next(d for d, m in world.nodes.items() if m.leads(world.now))
    began = world.now
    if kind == "kill":
        world.kill(leader)
    elif kind == "freeze":
        world.frozen[leader] = []
    elif kind == "cut":
        world.partitioned = {frozenset((leader, b)) for b in ADDRESSES if b != leader}
    else:
        for address in ADDRESSES:
            world.kill(address)
        world.run(1.0)
        began = world.now
        for address in ADDRESSES:
            world.schedule(world.rng.uniform(0, 0.3), lambda address=address: world.start(address))  # type: ignore[misc]
    for _ in range(2000):
        world.run(0.005)
        if any(m.leads(world.now) for d, m in world.nodes.items() if d != leader or kind == "all"):
            return world.now - began
    return float("inf")


def changes(members: int, count: int = 300) -> tuple[float, float]:
    """Changes a second, one after the other, with all members' disks on this machine; syncs a
    change."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        stores = [RaftStorage(Path(folder) / str(n)) for n in range(members)]
        named = [Member(f"m{n}:1", f"d{n}") for n in range(members)]
        kept = PersistedState(snapshot=Snapshot(0, 0, tuple(named)))
        for store, member in zip(stores, named, strict=True):
            store.initialize(member.disk_id, kept)
        begun, syncs = time.perf_counter(), 0
        for index in range(1, count + 1):
            for store in stores[: members // 2 + 1]:  # what an acknowledgement waits for
                store.write([SaveEntries(index, (Entry(index, 1, b"x" * 400),))])
                syncs += 1
        took = time.perf_counter() - begun
        for store in stores:
            store.close()
        return count / took, syncs / count


def main() -> None:
    for kind in ("kill", "freeze", "cut", "all"):
        found = sorted(without(kind, seed) for seed in range(300))
        print(
            f"{kind}: median {statistics.median(found):.2f} s, 99% "
            f"{found[int(len(found) * 0.99)]:.2f} s"
        )
    for members in (3, 5):
        rate, syncs = changes(members)
        print(
            f"{members} members: {rate:.0f} changes a second, {syncs:.0f} syncs before an "
            "acknowledgement"
        )


if __name__ == "__main__":
    main()
