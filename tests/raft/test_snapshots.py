"""Snapshots in chunks: creation, transfer, storage and installation, which is all or nothing."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import zlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from cairndale.configuration import serialization
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.serialization import FormatError
from cairndale.configuration.state import State
from cairndale.control.snapshot_worker import RETRY_DELAY_S, WRITE_CHUNK_BYTES, SnapshotWorker
from cairndale.raft import codec
from cairndale.raft.messages import (
    Entry,
    InstallSnapshot,
    Member,
    PersistedState,
    Ready,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotChunk,
    Snapshot,
    Write,
    state_digest,
)
from cairndale.raft.node import RaftNode, bootstrap_member, bootstrap_state
from cairndale.raft.snapshot_transfer import (
    CHUNK_BYTES,
    WINDOW_CHUNKS,
    ReceiveResult,
    SnapshotReceiver,
    SnapshotTransfer,
    chunk_messages,
)
from cairndale.raft.storage import BUILDING, RaftStorage, StorageError

ME = Member("a:1", "x")


# Encoding.


def state_with_history(seed: int, tenants: int = 700) -> State:
    rng, state = random.Random(seed), State()
    items = [
        {"name": f"t{n}", "apiKeys": [f"{rng.getrandbits(64):x}"], "more": {"a": [n, None]}}
        for n in range(tenants)
    ]
    routes = [
        {"name": f"r{n}", "host": "höst", "pathPrefix": "/" * rng.randint(1, 9)} for n in range(90)
    ]
    order = {
        "gen": 1,
        "parent": 0,
        "routes": routes,
        "backends": [],
        "tenants": items,
        "limits": {"x": 1},
    }
    state.apply(Command(Verb.REPLACE, "first", order))
    for n in range(2, 60):
        update = {"gen": n, "parent": n - 1, "upsert": {"tenants": [rng.choice(items) | {"n": n}]}}
        state.apply(Command(Verb.UPDATE, f"d{n}", update))
        state.apply(Command(Verb.EVACUATE, f"e{n}", zone=f"z{n % 7}"))
    state.apply(Command(Verb.ENROL, added_nodes=("e1", "e2")))
    return state


def test_encoded_state_is_the_one_at_the_start_of_the_encoding() -> None:
    state = state_with_history(1)
    before = State.decode(state.encode())
    parts = serialization.encode_parts(state.to_dict())
    first = next(parts)
    state.apply(Command(Verb.EVACUATE, "later", zone="z"))
    state.apply(
        Command(Verb.UPDATE, "l", {"gen": 99, "parent": state.gen, "remove": {"tenants": ["t5"]}})
    )
    data = first + b"".join(parts)
    assert State.decode(data) == before != state and json.dumps(before.content) == json.dumps(
        State.decode(data).content
    )
    assert (
        State.decode(data).encode() == before.encode() == data
    )  # identical on each member at this entry
    assert State.decode(b"") == State() == State.decode(State().encode())


def test_each_encoding_step_is_bounded() -> None:
    """Checks the limit of 20 ms per step in units of work.

    `tests/measurements/measure_snapshots.py` measures the time that these take."""
    parts = list(serialization.encode_parts(state_with_history(2, tenants=9000).to_dict()))
    texts = [len(zlib.decompress(part[4:])) for part in parts[1:]]
    assert (
        len(texts) > 10
        and max(texts) < serialization.PART_TEXT_BYTES + serialization.ITEMS_PER_RECORD * 200
    )
    assert sum(1 for _ in serialization.decode_parts(b"".join(parts), {})) == len(texts)


def test_format_1_is_decoded_and_an_unknown_format_rejected() -> None:
    state = state_with_history(3)
    assert State.decode(zlib.compress(json.dumps(state.to_dict()).encode())) == state
    data = state.encode()
    foreign = serialization.FORMAT + serialization._encode_part(['[["content","a"],{"a":1}]'])
    for wrong in (b"\x09" + data, data[:-1], data[:50] + b"?" + data[51:], b"\x78abc", foreign):
        with pytest.raises(FormatError):
            State.decode(wrong)
    with pytest.raises(FormatError):
        State.decode(serialization.encode(state.to_dict() | {"of a later version": 1}))


# Transfer over a link that drops, duplicates and reorders messages, and disconnects.


def random_snapshot(seed: int, size: int, index: int = 7) -> Snapshot:
    return Snapshot(index, 2, (ME,), random.Random(seed).randbytes(size))


def transfer(
    seed: int, receiver_class: type[SnapshotReceiver], garbled: bool = False
) -> tuple[Snapshot, Snapshot | None, float]:
    """The snapshot sent, the one received, and the time; receiver and sender sometimes restart."""
    rng, snapshot, now = (
        random.Random(seed),
        random_snapshot(seed, random.Random(seed).randint(0, 6) * 9000 + seed),
        0.0,
    )
    receiver, disk_data, outgoing = receiver_class(), bytearray(), SnapshotTransfer(snapshot, 0.0)
    link: list[tuple[float, Any]] = []
    while now < 300.0:
        now += 0.05
        for message in chunk_messages(3, ME, outgoing, now, with_heartbeat=True):
            link += [
                (now + rng.random() * 0.3, message) for _ in range(rng.choice((0, 1, 1, 1, 2)))
            ]
        assert outgoing._sent_offset - outgoing._next_offset <= WINDOW_CHUNKS * CHUNK_BYTES
        for queued in [item for item in link if item[0] <= now]:
            link.remove(queued)
            message = queued[1]
            if isinstance(message, int):
                outgoing.acknowledge(now, snapshot.index, message)
                continue
            if garbled and message.data and rng.random() < 0.3:
                data = bytes([message.data[0] ^ 1]) + message.data[1:]
                fix_checksum = rng.random() < 0.1  # with a matching checksum
                checksum = zlib.crc32(data) if fix_checksum else message.checksum
                message = replace(message, data=data, checksum=checksum)
            result = receiver.receive(message)
            for write in result.writes:
                assert isinstance(write, SaveSnapshotChunk)
                disk_data[write.offset :] = write.data
            if result.complete:
                return snapshot, result.complete, now
            if rng.random() < 0.9:
                link.append((now + rng.random() * 0.3, result.next_offset))
        if rng.random() < 0.01:
            receiver = receiver_class((snapshot.head, bytes(disk_data)))
        if rng.random() < 0.01:
            outgoing, link = SnapshotTransfer(snapshot, now), []
    return snapshot, None, now


@pytest.mark.parametrize("seed", range(60))
def test_received_snapshot_equals_the_sent_one(seed: int) -> None:
    for garbled in (False, True):
        sent, received, _ = transfer(seed, SnapshotReceiver, garbled)
        assert received == sent, "wrong snapshot or none received"


class NoDigest(SnapshotReceiver):
    def receive(self, message: InstallSnapshot) -> ReceiveResult:
        if self._data and len(self._data) + len(message.data) == message.head.size:
            self._digest = state_digest(bytes(self._data) + message.data)
            message = replace(message, head=replace(message.head, digest=self._digest.digest()))
            self._digest, self.head = state_digest(bytes(self._data)), message.head
        return super().receive(message)


def test_receiver_that_ignores_the_digest_is_detected() -> None:
    assert any(
        received not in (None, sent)
        for sent, received, _ in (transfer(n, NoDigest, True) for n in range(60))
    )


def test_newer_snapshot_replaces_an_older_one_whose_late_chunks_are_ignored() -> None:
    older, newer, receiver = (
        random_snapshot(1, 3 * CHUNK_BYTES),
        random_snapshot(2, 3 * CHUNK_BYTES, index=9),
        SnapshotReceiver(),
    )
    first = list(chunk_messages(3, ME, SnapshotTransfer(older, 0.0), 0.0, with_heartbeat=True))
    second = list(chunk_messages(3, ME, SnapshotTransfer(newer, 0.0), 0.0, with_heartbeat=True))
    assert [
        receiver.receive(m).next_offset for m in (first[0], second[0], first[1], second[1])
    ] == [
        CHUNK_BYTES,
        CHUNK_BYTES,
        0,
        2 * CHUNK_BYTES,
    ]
    later_term = replace(first[0], term=4)  # its leader has only the older snapshot
    assert receiver.receive(later_term).next_offset == CHUNK_BYTES and receiver.head == older.head


def test_entries_after_a_snapshot_in_the_log_are_kept() -> None:
    """Acknowledged entries are not dropped for a snapshot that arrives late."""
    log = [Entry(n, 1, b"%d" % n, is_term_start=n == 1) for n in range(1, 21)]
    for snapshot, last in ((Snapshot(10, 1, (ME,), b"s"), 20), (Snapshot(10, 2, (ME,), b"s"), 10)):
        node = RaftNode(
            bootstrap_member("b:1"),
            PersistedState(1, "", Snapshot(0, 0, (ME,)), log),
            0.0,
            random.Random(1),
        )
        ready = node.install_snapshot(1.0, snapshot)
        assert (
            node.last_index == last
            and node.commit_index == 10
            and ready.restored_snapshot == snapshot
        )
        assert ready.writes == [SaveSnapshot(snapshot, replaces_log=last == 10)]


# On disk.


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(n, term, b"%d" % n) for n in range(first, last + 1))


OLD = Snapshot(4, 1, (ME,), b"old state")


def initialized_storage(
    folder: Path, storage_class: type[RaftStorage] = RaftStorage
) -> RaftStorage:
    storage = storage_class(folder)
    storage.initialize("x", bootstrap_state([ME]))
    storage.write([SaveEntries(1, entries(1, 30))])
    storage.write([SaveSnapshot(OLD, False)])
    return storage


def installation_writes(new: Snapshot, replaces_log: bool) -> list[list[Write]]:
    size = len(new.state)
    parts = [
        SaveSnapshotChunk(new.head, offset, new.state[offset : offset + CHUNK_BYTES], True)
        for offset in range(0, size, CHUNK_BYTES)
    ]
    return [*([part] for part in parts), [SaveSnapshot(new, replaces_log)]]


class PowerLossError(Exception):
    pass


class PowerLossEnv:
    """An lmdb environment that loses power after `after` changes."""

    def __init__(self, env: Any, after: int) -> None:
        self._env, self.changes_left = env, after

    def __getattr__(self, name: str) -> Any:
        value = getattr(self._env, name)
        if name not in ("begin", "put", "delete", "cursor"):
            return value

        def call(*args: Any, **kwargs: Any) -> Any:
            if name in ("put", "delete"):
                self.changes_left -= 1
                if self.changes_left < 0:
                    raise PowerLossError
            result = value(*args, **kwargs)
            return result if name in ("put", "delete") else PowerLossScope(result, self)

        return call


class PowerLossScope(PowerLossEnv):
    """A transaction or cursor of such an environment."""

    def __init__(self, env: Any, parent: PowerLossEnv) -> None:
        self._env, self._parent = env, parent

    @property
    def changes_left(self) -> int:  # type: ignore[override]
        return self._parent.changes_left

    @changes_left.setter
    def changes_left(self, value: int) -> None:
        self._parent.changes_left = value

    def __enter__(self) -> PowerLossScope:
        self._env.__enter__()
        return self

    def __exit__(self, *exc_info: Any) -> Any:
        return self._env.__exit__(*exc_info)


def check_power_loss(folder: Path, storage_class: type[RaftStorage], replaces_log: bool) -> int:
    """Loses power before each change of an installation.

    The disk holds the old or the new state then, and the installation can be repeated. Returns the
    number of changes."""
    new = random_snapshot(5, 3 * CHUNK_BYTES + 5, index=20)
    if replaces_log:
        new = replace(new, term=2)
    for after in range(200):
        storage = initialized_storage(folder / f"{replaces_log}{after}", storage_class)
        old_state, env = storage.load(), storage._env
        new_state = PersistedState(0, "", new, [] if replaces_log else list(entries(21, 30)))
        storage._env = PowerLossEnv(env, after)
        try:
            for writes in installation_writes(new, replaces_log):
                storage.write(writes)
            while storage.sweep():
                pass
        except PowerLossError:
            pass
        else:
            storage._env = env
            assert storage.load() == new_state
            return after
        finally:
            env.close()
        reopened = RaftStorage(folder / f"{replaces_log}{after}")
        loaded = reopened.load()
        assert replace(loaded, partial_snapshot=None) in (old_state, new_state), (
            f"neither old nor new state after {after} changes"
        )
        # The installation succeeds when it is repeated.
        for writes in installation_writes(new, replaces_log):
            reopened.write(writes)
        assert replace(reopened.load(), partial_snapshot=None) == new_state
        while reopened.sweep():
            pass
        with reopened._env.begin() as transaction:
            generations = {bytes(key[:8]) for key, _ in transaction.cursor(reopened._parts)}
        assert len(generations) == 1, "unreferenced chunks"
        reopened.close()
    raise AssertionError("the installation does not end")


def test_power_loss_at_each_change_of_an_installation(tmp_path: Path) -> None:
    assert check_power_loss(tmp_path, RaftStorage, replaces_log=False) > 10
    assert check_power_loss(tmp_path, RaftStorage, replaces_log=True) > 10


class ActivatesEarly(RaftStorage):
    """Activates a snapshot before all of its chunks are written."""

    def _apply_write(self, transaction: Any, write: Write) -> None:
        super()._apply_write(transaction, write)
        if isinstance(write, SaveSnapshotChunk) and write.offset:
            transaction.put(
                b"snapshot", self._pointer(transaction, b"received") or b"", db=self._meta
            )


class TruncatesEarly(RaftStorage):
    """Deletes the entries that a snapshot covers before it is complete."""

    def _apply_write(self, transaction: Any, write: Write) -> None:
        super()._apply_write(transaction, write)
        if isinstance(write, SaveSnapshotChunk):
            with transaction.cursor(self._entries) as cursor:
                while cursor.first() and int.from_bytes(cursor.key(), "big") <= write.head.index:
                    cursor.delete()


@pytest.mark.parametrize("defective_storage", [ActivatesEarly, TruncatesEarly])
def test_injected_storage_defects_are_detected(
    defective_storage: type[RaftStorage], tmp_path: Path
) -> None:
    with pytest.raises((AssertionError, StorageError)):
        check_power_loss(tmp_path, defective_storage, replaces_log=False)


def test_transfer_resumes_after_a_restart_with_the_chunks_on_disk(tmp_path: Path) -> None:
    new, storage = random_snapshot(6, 5 * CHUNK_BYTES, index=20), initialized_storage(tmp_path)
    for writes in installation_writes(new, True)[:3]:
        storage.write(writes)
    storage.write([SaveSnapshot(Snapshot(9, 1, (ME,), b"own snapshot"), False)])
    storage.close()
    persisted = RaftStorage(tmp_path).load()
    receiver = SnapshotReceiver(persisted.partial_snapshot)
    probe = InstallSnapshot(3, ME, new.head, 0, b"", 0, 0)
    assert receiver.receive(probe).next_offset == 3 * CHUNK_BYTES


def test_disk_of_format_1_is_migrated_and_a_later_format_rejected(tmp_path: Path) -> None:
    storage = initialized_storage(tmp_path)
    expected = storage.load()
    with storage._env.begin(write=True) as transaction:  # as version 1 wrote it
        head = codec.encode_snapshot_head(replace(OLD.head, size=0, digest=b""))
        data = codec.pb.InstallSnapshot.FromString(head)
        data.data = OLD.state
        transaction.put(b"snapshot", data.SerializeToString(), db=storage._meta)
        transaction.put(b"format", b"1", db=storage._meta)
        transaction.drop(storage._parts)
    storage.close()
    before = (tmp_path / "promptbook/data.mdb").read_bytes()
    reader = RaftStorage(tmp_path, read_only=True)
    assert reader.disk_id() == "x" and reader.load() == expected
    reader.close()
    assert (tmp_path / "promptbook/data.mdb").read_bytes() == before
    for _ in range(2):
        storage = RaftStorage(tmp_path)
        assert storage.disk_id() == "x" and storage.load() == expected
        storage.close()
    storage = RaftStorage(tmp_path)
    with storage._env.begin(write=True) as transaction:
        transaction.put(b"format", b"3", db=storage._meta)
    with pytest.raises(StorageError, match="format"):
        storage.disk_id()


def test_damaged_snapshot_is_reported(tmp_path: Path) -> None:
    storage = initialized_storage(tmp_path)
    with storage._env.begin(write=True) as transaction:
        cursor = transaction.cursor(storage._parts)
        assert cursor.last()
        transaction.put(cursor.key(), b"bad state", db=storage._parts)
    with pytest.raises(StorageError, match="snapshot at 4: size or digest mismatch"):
        storage.load()


class SnapshotHarness:
    """A member with a disk whose snapshot worker is stepped by hand."""

    def __init__(self, storage: RaftStorage, state: State) -> None:
        self.now, self.state = 0.0, state
        log = list(entries(1, 9))
        storage.initialize("x", PersistedState(1, "", Snapshot(0, 0, (ME,)), []))
        storage.write([SaveEntries(1, tuple(log))])
        self.node = RaftNode(
            ME, PersistedState(1, "x", Snapshot(0, 0, (ME,)), log), 0.0, random.Random(1)
        )
        self.node.commit_index = 9
        self.storage, self.sizes = storage, list[int]()
        self.snapshot_worker = SnapshotWorker(storage, self.node, self.execute, lambda: self.now)

    def execute(self, ready: Ready) -> None:
        self.storage.write(ready.writes)

    def run(self) -> int:
        for count in range(100_000):
            if not self.snapshot_worker.step():
                return count
        raise AssertionError("the snapshot worker does not end")


def test_snapshot_is_created_in_steps_while_entries_are_appended(
    tmp_path: Path, monkeypatch: Any
) -> None:
    state = state_with_history(7, tenants=20_000)
    before, storage = state.encode(), RaftStorage(tmp_path)
    harness = SnapshotHarness(storage, state)
    written: list[int] = []
    write = storage.write

    def count_written(writes: Any) -> None:
        written.append(sum(len(w.data) for w in writes if isinstance(w, SaveSnapshotChunk)))
        write(writes)

    monkeypatch.setattr(storage, "write", count_written)
    harness.snapshot_worker.create(state.to_dict(), 9)
    state.apply(Command(Verb.EVACUATE, "meanwhile", zone="z"))
    harness.node.log.append(Entry(10, 1, b"10"))
    storage.write([SaveEntries(10, (Entry(10, 1, b"10"),))])
    assert harness.node.base_snapshot.index == 0 and storage.load().snapshot.index == 0
    assert harness.run() > 10 and max(written) <= WRITE_CHUNK_BYTES
    persisted = storage.load()
    assert (
        persisted.snapshot.state == before
        and persisted.entries == [Entry(10, 1, b"10")] == harness.node.log
    )
    assert harness.node.compacted_tail.covers(1) and not harness.node.compacted_tail.covers(10)
    with storage._env.begin() as transaction:
        assert (
            transaction.stat(storage._entries)["entries"] == 1
            and transaction.get(BUILDING, db=storage._meta) is None
        )


def test_full_disk_keeps_its_old_snapshot_and_accepts_entries(tmp_path: Path, capfd: Any) -> None:
    storage = RaftStorage(tmp_path, map_bytes=512 * 1024)
    harness = SnapshotHarness(storage, state_with_history(8, tenants=30_000))
    for n in range(3):
        harness.now += 2 * RETRY_DELAY_S
        harness.snapshot_worker.create(harness.state.to_dict(), 9)
        harness.run()
        index = 10 + n
        storage.write([SaveEntries(index, (Entry(index, 1, b"on"),))])
        persisted = storage.load()
        assert (
            persisted.snapshot.index == harness.node.base_snapshot.index == 0
            and persisted.entries[-1].index == index
        )
    harness.now += 2 * RETRY_DELAY_S
    harness.snapshot_worker.create(State().to_dict(), 9)
    harness.run()
    assert storage.load().snapshot.index == 9


def test_failed_write_ends_the_process(tmp_path: Path) -> None:
    """A file size limit simulates a full disk: the state stays intact and an event is logged."""
    text = """
import resource, sys
from pathlib import Path
from cairndale import events
from cairndale.control.raft_driver import RaftDriver
from cairndale.raft.messages import *
from cairndale.raft.storage import RaftStorage
events.set_up_logging()
storage = RaftStorage(Path(sys.argv[1]))
driver = RaftDriver(None, storage, None, None)
storage.initialize("x", PersistedState(1, "", Snapshot(0, 0, (Member("a:1", "x"),))))
resource.setrlimit(resource.RLIMIT_FSIZE, (300_000, 300_000))
for n in range(1, 1000):
    driver.carry_out(Ready(writes=[SaveEntries(n, (Entry(n, 1, b"x" * 2000),))]))
    print(n, flush=True)
"""
    process = subprocess.run(
        [sys.executable, "-c", text, str(tmp_path)], capture_output=True, text=True
    )
    assert process.returncode == 1 and "120 disk_failed" in process.stderr, process.stderr
    acknowledged = int(process.stdout.split()[-1])
    persisted = RaftStorage(tmp_path).load()
    assert (
        acknowledged > 10
        and len(persisted.entries) == acknowledged
        and persisted.snapshot.index == 0
    )
