"""How long each step of a snapshot and of a large command holds the loop.

`python -m tests.measurements.measure_snapshots [ROUTES TENANTS]`. Wall clock and processor, the
longest of each kind, with an lmdb folder here; and catching up and a large command over 2 Mbit/s.
"""

from __future__ import annotations

import gc
import json
import random
import sys
import tempfile
import time
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.json_stream import loads_steps
from cairndale.configuration.state import State
from cairndale.configuration.validation import content_errors_steps
from cairndale.control.applier import Applier, encode_command
from cairndale.control.gc_pause import gc_paused
from cairndale.control.snapshot_worker import SnapshotWorker
from cairndale.raft import codec, fragments
from cairndale.raft.messages import (
    Entry,
    InstallSnapshot,
    Member,
    PersistedState,
    Ready,
    SaveEntries,
    Snapshot,
)
from cairndale.raft.node import RaftNode, bootstrap_state
from cairndale.raft.snapshot_transfer import SnapshotTransfer, chunk_messages
from cairndale.raft.storage import RaftStorage
from tests.raft.test_catch_up import (
    PADDING,
    cluster_with_lagging_follower,
    encode_fragments,
    replicate_large_command,
)

T = TypeVar("T")

ME, OTHER = Member("a:1", "x"), Member("b:1", "y")
held: dict[str, list[tuple[float, float]]] = {}
made_of: dict[str, Any] = {}  # what work in steps came to


@contextmanager
def step(name: str) -> Iterator[None]:
    wall, cpu = time.perf_counter(), time.thread_time()
    yield
    held.setdefault(name, []).append((time.perf_counter() - wall, time.thread_time() - cpu))


def order(routes: int, tenants: int) -> dict[str, Any]:
    rng = random.Random(1)
    backends = [{"name": f"s{n}", "warmup": "4s", "warmupPerS": 5} for n in range(routes // 30 + 1)]
    return {
        "gen": 1,
        "parent": 0,
        "backends": backends,
        "limits": {"idleTimeout": "5s"},
        "routes": [
            {
                "name": f"r{n}",
                "host": f"h{n % 900}.example",
                "pathPrefix": f"/p{n}/",
                "kind": "idempotent",
                "backend": f"s{n // 30}",
                "deadline": "30s",
                "tries": 2,
            }
            for n in range(routes)
        ],
        "tenants": [
            {
                "name": f"t{n}",
                "apiKeys": [f"{rng.getrandbits(64):016x}"],
                "prio": n % 3,
                "ratePerS": n % 50,
                "burst": 20,
            }
            for n in range(tenants)
        ],
    }


class Side:
    """A member with its disk, taken on step by step."""

    def __init__(self, folder: Path, me: Member, kept: PersistedState, log: list[Entry]) -> None:
        self.store = RaftStorage(folder)
        self.store.initialize(me.disk_id, kept)
        self.store.write([SaveEntries(1, tuple(log))])
        self.machine = RaftNode(
            me, PersistedState(1, "", kept.snapshot, log), 0.0, random.Random(1)
        )
        self.machine.commit_index, self.state = len(log), State()
        self.snapshot_worker = SnapshotWorker(self.store, self.machine, self.do, lambda: 0.0)
        self.received: Snapshot | None = None

    def do(self, made: Ready) -> None:
        self.store.write(made.writes)
        self.received = made.received_snapshot or self.received
        if made.restored_snapshot:
            self.state = self.snapshot_worker.installed_state

    def run(self, name: str) -> None:
        more = True
        while more:
            with step(name):
                more = self.snapshot_worker.step()


def snapshots(folder: Path, state: State) -> None:
    log = [Entry(n, 1, b"x" * 400) for n in range(1, 129)]
    leader = Side(folder / "a", ME, PersistedState(snapshot=Snapshot(0, 0, (ME, OTHER))), log)
    with step("make: begin"):
        leader.snapshot_worker.create(state.to_dict(), 128)
    leader.run("make: encode, stage, point, sweep")
    made = leader.machine.base_snapshot
    print(f"snapshot: {len(made.state)} bytes")
    other = Side(folder / "b", OTHER, bootstrap_state(()), [])
    out, now = SnapshotTransfer(made, 0.0), 0.0
    while other.received is None:
        now += 0.001
        with step("send: cut two parts"):
            parts = [
                codec.encode_message(m).SerializeToString()
                for m in chunk_messages(1, ME, out, now, with_heartbeat=True)
            ]
        for data in parts:
            with step("receive: take a part, on disk"):
                message = codec.decode_message(codec.pb.LogMessage.FromString(data))
                assert isinstance(message, InstallSnapshot)
                other.do(other.machine.receive(now, message))
                out.acknowledge(now, made.index, len(other.machine.snapshot_receiver._data))
    with step("install: begin"):
        other.snapshot_worker.install(other.received)
    other.run("install: read, point, sweep")
    assert other.state == state and other.machine.base_snapshot == made
    for side in (leader, other):
        side.store.close()
        with step("start: load and read, before the loop"):
            assert (
                State.decode(
                    RaftStorage(folder / ("a" if side is leader else "b")).load().snapshot.state
                )
                == state
            )


def changes(state: State, first: dict[str, Any]) -> None:
    """All at once, as one entry."""
    whole = Command(Verb.REPLACE, "d", first)
    kinds: dict[str, Callable[[], Any]] = {
        "at once: encode a whole configuration": whole.encode,
        "at once: decode it": lambda: Command.decode(data),
        "at once: apply it": lambda: state.apply(whole),
        "at once: encode it for ingresses": state.encoded_content,
        "at once: apply an update of one tenant": lambda: state.apply(update(first, 2)),
    }
    data = whole.encode()
    for name, work in kinds.items():
        with step(name), gc_paused():
            work()
    body = json.dumps(first).encode()
    with step("at once: read the body"), gc_paused():
        json.loads(body)


def update(first: dict[str, Any], gen: int) -> Command:
    order = {"gen": gen, "parent": gen - 1, "upsert": {"tenants": [first["tenants"][0]]}}
    return Command(Verb.UPDATE, f"u{gen}", order)


def commands(folder: Path, state: State, first: dict[str, Any]) -> None:
    """In parts and steps, as `Core` and `Desk` do it, with a disk."""
    side = Side(folder / "c", ME, bootstrap_state([ME]), [])
    applier, count = Applier(State()), 0
    body, content = json.dumps(first).encode(), {n: v for n, v in first.items() if n != "parent"}
    for name, work in (
        ("read the body", loads_steps(body)),
        ("judge, look at it", content_errors_steps(content)),
    ):
        with gc_paused(freeze=name == "read the body"):
            for _ in timed(f"replace: {name}", work):
                pass
    del work
    with step("replace: free what was read"):
        made_of.clear()
    for command in (Command(Verb.REPLACE, "d", first), update(first, 2)):
        kind = command.verb.value
        for _ in timed(
            f"{kind}: judge, what it leads to", applier.state.resulting_content_steps(command)
        ):
            pass
        with step(f"{kind}: begin to encode"):
            made = encode_command(command)
        for data in (
            [made] if isinstance(made, bytes) else timed(f"{kind}: encode, cut a part", made)
        ):
            if not data:
                continue
            count += 1
            entry = Entry(count, 1, data)
            assert len(data) <= fragments.FRAGMENT_BYTES
            with step(f"{kind}: a part on disk"):
                side.store.write([SaveEntries(count, (entry,))])
            applier.enqueue([entry])
            while applier.has_backlog:
                with step(f"{kind}: read and apply a part"):
                    applier.step()
    for _ in timed("told: encode it for ingresses", applier.state.encode_content_steps()):
        pass
    side.store.close()
    assert applier.state.content == state.content


def timed(name: str, work: Iterator[T]) -> Iterator[T]:
    while True:
        with step(name):
            try:
                made = next(work)
            except StopIteration as ended:
                made_of[name] = ended.value
                return
        yield made


def main() -> None:
    routes, tenants = [int(n) for n in sys.argv[1:3]] or [12_000, 160_000]
    state, first = State(), order(routes, tenants)
    gc.collect()
    gc.freeze()
    changes(state, first)
    with step("before: the whole state at once, as format 1"):
        zlib.compress(json.dumps(state.to_dict(), separators=(",", ":")).encode(), 6)
    with tempfile.TemporaryDirectory(dir=".") as folder:
        snapshots(Path(folder), state)
        commands(Path(folder), state, first)
    print(f"{'':48} {'steps':>6} {'longest':>9} {'most cpu':>9} {'over 20':>7} {'in all':>8}")
    for name, found in held.items():
        longest, most = max(wall for wall, _ in found), max(cpu for _, cpu in found)
        over = sum(1 for wall, _ in found if wall > 0.02)
        print(
            f"{name:48} {len(found):6} {longest * 1e3:6.1f} ms {most * 1e3:6.1f} ms {over:7}"
            f" {sum(wall for wall, _ in found):6.2f} s"
        )
    for kind in ("the log", "a snapshot"):
        took, worst = [], 0.0
        for seed in range(10, 15):
            world, _, one = cluster_with_lagging_follower(seed)
            if kind == "a snapshot":
                world.wipe(one)
            world.start(one)
            took.append(world.run_under_load(60.0, until=lambda w=world, o=one: w.is_caught_up(o)))
            worst = max(worst, world.max_queueing_delay)
        print(
            f"1000 changes away, 2 Mbit/s, by {kind}: {min(took):.1f} to {max(took):.1f} "
            "s virtual; "
            f"a beat waits {worst * 1e3:.0f} ms at the most"
        )

    for kind, data in (
        ("one entry", [PADDING[:2_000_000]]),
        ("parts", encode_fragments(2_000_000)),
    ):
        told = replicate_large_command(6, data)
        print(
            f"a command of 2 MB, 2 Mbit/s, as {kind}: {told.seconds:.1f} s virtual; a beat waits"
            f" {told.cluster.max_queueing_delay * 1e3:.0f} ms, another command"
            f" {told.slowest_command:.2f} s at the most;"
            f" there is a leader for {told.leading_fraction:.1%} of the time"
        )


if __name__ == "__main__":
    main()
