"""Snapshots in parts: made, sent, put on disk and installed whole or not at all, beside a plain
whole one."""

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


# The stored form.


def grown(seed: int, tenants: int = 700) -> State:
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
        change = {"gen": n, "parent": n - 1, "upsert": {"tenants": [rng.choice(items) | {"n": n}]}}
        state.apply(Command(Verb.UPDATE, f"d{n}", change))
        state.apply(Command(Verb.EVACUATE, f"e{n}", zone=f"z{n % 7}"))
    state.apply(Command(Verb.ENROL, added_nodes=("e1", "e2")))
    return state


def test_the_state_comes_back_and_is_made_as_it_was_when_that_began() -> None:
    state = grown(1)
    before = State.decode(state.encode())
    made = serialization.encode_parts(state.to_dict())
    first = next(made)
    state.apply(Command(Verb.EVACUATE, "later", zone="z"))
    state.apply(
        Command(Verb.UPDATE, "l", {"gen": 99, "parent": state.gen, "remove": {"tenants": ["t5"]}})
    )
    data = first + b"".join(made)
    assert State.decode(data) == before != state and json.dumps(before.content) == json.dumps(
        State.decode(data).content
    )
    assert (
        State.decode(data).encode() == before.encode() == data
    )  # alike at whoever was at this entry
    assert State.decode(b"") == State() == State.decode(State().encode())


def test_no_step_has_more_to_do_than_its_share() -> None:
    """The bound of 20 ms in units of work; `tests/measurements/measure_snapshots.py` says what
    these take."""
    parts = list(serialization.encode_parts(grown(2, tenants=9000).to_dict()))
    texts = [len(zlib.decompress(part[4:])) for part in parts[1:]]
    assert (
        len(texts) > 10
        and max(texts) < serialization.PART_TEXT_BYTES + serialization.ITEMS_PER_RECORD * 200
    )
    assert sum(1 for _ in serialization.decode_parts(b"".join(parts), {})) == len(texts)


def test_a_state_of_format_1_is_read_and_one_that_is_not_known_refused() -> None:
    state = grown(3)
    assert State.decode(zlib.compress(json.dumps(state.to_dict()).encode())) == state
    data = state.encode()
    foreign = serialization.FORMAT + serialization._encode_part(['[["content","a"],{"a":1}]'])
    for wrong in (b"\x09" + data, data[:-1], data[:50] + b"?" + data[51:], b"\x78abc", foreign):
        with pytest.raises(FormatError):
            State.decode(wrong)
    with pytest.raises(FormatError):
        State.decode(serialization.encode(state.to_dict() | {"of a later version": 1}))


# Sending and receiving, over a way that loses, doubles, turns round and cuts.


def plain(seed: int, size: int, index: int = 7) -> Snapshot:
    return Snapshot(index, 2, (ME,), random.Random(seed).randbytes(size))


def send(
    seed: int, made: type[SnapshotReceiver], garbled: bool = False
) -> tuple[Snapshot, Snapshot | None, float]:
    """What is handed on, and after how long; the receiver and the sender start anew now and
    then."""
    rng, sent, now = (
        random.Random(seed),
        plain(seed, random.Random(seed).randint(0, 6) * 9000 + seed),
        0.0,
    )
    incoming, disk, out = made(), bytearray(), SnapshotTransfer(sent, 0.0)
    way: list[tuple[float, Any]] = []
    while now < 300.0:
        now += 0.05
        for message in chunk_messages(3, ME, out, now, with_heartbeat=True):
            way += [(now + rng.random() * 0.3, message) for _ in range(rng.choice((0, 1, 1, 1, 2)))]
        assert out._sent_offset - out._next_offset <= WINDOW_CHUNKS * CHUNK_BYTES
        for item in [w for w in way if w[0] <= now]:
            way.remove(item)
            message = item[1]
            if isinstance(message, int):
                out.acknowledge(now, sent.index, message)
                continue
            if garbled and message.data and rng.random() < 0.3:
                data = bytes([message.data[0] ^ 1]) + message.data[1:]
                fixed = rng.random() < 0.1  # by somebody who knows how
                checksum = zlib.crc32(data) if fixed else message.checksum
                message = replace(message, data=data, checksum=checksum)
            taken = incoming.receive(message)
            for write in taken.writes:
                assert isinstance(write, SaveSnapshotChunk)
                disk[write.offset :] = write.data
            if taken.complete:
                return sent, taken.complete, now
            if rng.random() < 0.9:
                way.append((now + rng.random() * 0.3, taken.next_offset))
        if rng.random() < 0.01:
            incoming = made((sent.head, bytes(disk)))
        if rng.random() < 0.01:
            out, way = SnapshotTransfer(sent, now), []
    return sent, None, now


@pytest.mark.parametrize("seed", range(60))
def test_what_is_handed_on_is_what_was_sent(seed: int) -> None:
    for garbled in (False, True):
        sent, got, _ = send(seed, SnapshotReceiver, garbled)
        assert got == sent, "another one, or none"


class NoDigest(SnapshotReceiver):
    def receive(self, message: InstallSnapshot) -> ReceiveResult:
        if self._data and len(self._data) + len(message.data) == message.head.size:
            self._digest = state_digest(bytes(self._data) + message.data)
            message = replace(message, head=replace(message.head, digest=self._digest.digest()))
            self._digest, self.head = state_digest(bytes(self._data)), message.head
        return super().receive(message)


def test_a_receiver_that_does_not_look_at_the_digest_is_seen() -> None:
    assert any(
        got not in (None, sent) for sent, got, _ in (send(n, NoDigest, True) for n in range(60))
    )


def test_a_newer_one_takes_the_place_and_what_is_late_of_the_older_does_not() -> None:
    old, new, incoming = (
        plain(1, 3 * CHUNK_BYTES),
        plain(2, 3 * CHUNK_BYTES, index=9),
        SnapshotReceiver(),
    )
    first = list(chunk_messages(3, ME, SnapshotTransfer(old, 0.0), 0.0, with_heartbeat=True))
    second = list(chunk_messages(3, ME, SnapshotTransfer(new, 0.0), 0.0, with_heartbeat=True))
    assert [
        incoming.receive(m).next_offset for m in (first[0], second[0], first[1], second[1])
    ] == [
        CHUNK_BYTES,
        CHUNK_BYTES,
        0,
        2 * CHUNK_BYTES,
    ]
    later_term = replace(first[0], term=4)  # its leader has only this one
    assert incoming.receive(later_term).next_offset == CHUNK_BYTES and incoming.head == old.head


def test_a_log_that_goes_on_from_the_snapshot_stays() -> None:
    """What was said to be on disk is not given up for a snapshot that came late."""
    log = [Entry(n, 1, b"%d" % n, is_term_start=n == 1) for n in range(1, 21)]
    for kept, last in ((Snapshot(10, 1, (ME,), b"s"), 20), (Snapshot(10, 2, (ME,), b"s"), 10)):
        made = RaftNode(
            bootstrap_member("b:1"),
            PersistedState(1, "", Snapshot(0, 0, (ME,)), log),
            0.0,
            random.Random(1),
        )
        step = made.install_snapshot(1.0, kept)
        assert (
            made.last_index == last and made.commit_index == 10 and step.restored_snapshot == kept
        )
        assert step.writes == [SaveSnapshot(kept, replaces_log=last == 10)]


# On disk.


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(n, term, b"%d" % n) for n in range(first, last + 1))


OLD = Snapshot(4, 1, (ME,), b"old state")


def disk(folder: Path, made: type[RaftStorage] = RaftStorage) -> RaftStorage:
    store = made(folder)
    store.initialize("x", bootstrap_state([ME]))
    store.write([SaveEntries(1, entries(1, 30))])
    store.write([SaveSnapshot(OLD, False)])
    return store


def install(new: Snapshot, replaces_log: bool) -> list[list[Write]]:
    size = len(new.state)
    parts = [
        SaveSnapshotChunk(new.head, at, new.state[at : at + CHUNK_BYTES], True)
        for at in range(0, size, CHUNK_BYTES)
    ]
    return [*([part] for part in parts), [SaveSnapshot(new, replaces_log)]]


class KillError(Exception):
    pass


class Killed:
    """An lmdb environment that loses power before so many changes."""

    def __init__(self, env: Any, after: int) -> None:
        self._env, self.left = env, after

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._env, name)
        if name not in ("begin", "put", "delete", "cursor"):
            return found

        def call(*args: Any, **kwargs: Any) -> Any:
            if name in ("put", "delete"):
                self.left -= 1
                if self.left < 0:
                    raise KillError
            made = found(*args, **kwargs)
            return made if name in ("put", "delete") else Within(made, self)

        return call


class Within(Killed):
    """A transaction or a cursor of it."""

    def __init__(self, env: Any, of: Killed) -> None:
        self._env, self._of = env, of

    @property
    def left(self) -> int:  # type: ignore[override]
        return self._of.left

    @left.setter
    def left(self, value: int) -> None:
        self._of.left = value

    def __enter__(self) -> Within:
        self._env.__enter__()
        return self

    def __exit__(self, *why: Any) -> Any:
        return self._env.__exit__(*why)


def kills(folder: Path, made: type[RaftStorage], replaces_log: bool) -> int:
    """Power is lost before each change of an install: what is there then is the old state or the
    new one."""
    new = plain(5, 3 * CHUNK_BYTES + 5, index=20)
    if replaces_log:
        new = replace(new, term=2)
    for after in range(200):
        store = disk(folder / f"{replaces_log}{after}", made)
        whole, env = store.load(), store._env
        wanted = PersistedState(0, "", new, [] if replaces_log else list(entries(21, 30)))
        store._env = Killed(env, after)
        try:
            for writes in install(new, replaces_log):
                store.write(writes)
            while store.sweep():
                pass
        except KillError:
            pass
        else:
            store._env = env
            assert store.load() == wanted
            return after
        finally:
            env.close()
        again = RaftStorage(folder / f"{replaces_log}{after}")
        found = again.load()
        assert replace(found, partial_snapshot=None) in (whole, wanted), (
            f"neither old nor new after {after}"
        )
        # And it goes on from there.
        for writes in install(new, replaces_log):
            again.write(writes)
        assert replace(again.load(), partial_snapshot=None) == wanted
        while again.sweep():
            pass
        with again._env.begin() as look:
            left = {bytes(key[:8]) for key, _ in look.cursor(again._parts)}
        assert len(left) == 1, "parts that nothing leads to"
        again.close()
    raise AssertionError("no end")


def test_power_lost_at_each_change_of_an_install(tmp_path: Path) -> None:
    assert kills(tmp_path, RaftStorage, replaces_log=False) > 10
    assert kills(tmp_path, RaftStorage, replaces_log=True) > 10


class PointsEarly(RaftStorage):
    """To a snapshot of which some parts are there."""

    def _apply_write(self, change: Any, write: Write) -> None:
        super()._apply_write(change, write)
        if isinstance(write, SaveSnapshotChunk) and write.offset:
            change.put(b"snapshot", self._pointer(change, b"received") or b"", db=self._meta)


class TrimsEarly(RaftStorage):
    """The entries that a snapshot is to take the place of, before it is whole."""

    def _apply_write(self, change: Any, write: Write) -> None:
        super()._apply_write(change, write)
        if isinstance(write, SaveSnapshotChunk):
            with change.cursor(self._entries) as cursor:
                while cursor.first() and int.from_bytes(cursor.key(), "big") <= write.head.index:
                    cursor.delete()


@pytest.mark.parametrize("planted", [PointsEarly, TrimsEarly])
def test_planted_defects_of_the_disk_are_seen(planted: type[RaftStorage], tmp_path: Path) -> None:
    with pytest.raises((AssertionError, StorageError)):
        kills(tmp_path, planted, replaces_log=False)


def test_a_restart_goes_on_with_the_parts_on_disk(tmp_path: Path) -> None:
    new, store = plain(6, 5 * CHUNK_BYTES, index=20), disk(tmp_path)
    for writes in install(new, True)[:3]:
        store.write(writes)
    store.write([SaveSnapshot(Snapshot(9, 1, (ME,), b"made here meanwhile"), False)])
    store.close()
    kept = RaftStorage(tmp_path).load()
    incoming = SnapshotReceiver(kept.partial_snapshot)
    probe = InstallSnapshot(3, ME, new.head, 0, b"", 0, 0)
    assert incoming.receive(probe).next_offset == 3 * CHUNK_BYTES


def test_a_disk_of_format_1_is_converted_and_one_of_a_later_format_refused(tmp_path: Path) -> None:
    store = disk(tmp_path)
    kept = store.load()
    with store._env.begin(write=True) as change:  # as the version before wrote it
        head = codec.encode_snapshot_head(replace(OLD.head, size=0, digest=b""))
        data = codec.pb.InstallSnapshot.FromString(head)
        data.data = OLD.state
        change.put(b"snapshot", data.SerializeToString(), db=store._meta)
        change.put(b"format", b"1", db=store._meta)
        change.drop(store._parts)
    store.close()
    before = (tmp_path / "promptbook/data.mdb").read_bytes()
    look = RaftStorage(tmp_path, read_only=True)
    assert look.disk_id() == "x" and look.load() == kept
    look.close()
    assert (tmp_path / "promptbook/data.mdb").read_bytes() == before
    for _ in range(2):
        store = RaftStorage(tmp_path)
        assert store.disk_id() == "x" and store.load() == kept
        store.close()
    store = RaftStorage(tmp_path)
    with store._env.begin(write=True) as change:
        change.put(b"format", b"3", db=store._meta)
    with pytest.raises(StorageError, match="format"):
        store.disk_id()


def test_a_snapshot_that_is_not_as_it_was_written_is_told(tmp_path: Path) -> None:
    store = disk(tmp_path)
    with store._env.begin(write=True) as change:
        cursor = change.cursor(store._parts)
        assert cursor.last()
        change.put(cursor.key(), b"bad state", db=store._parts)
    with pytest.raises(StorageError, match="not as it was written"):
        store.load()


class Steps:
    """A member's disk and state, and its upkeep, taken on by hand."""

    def __init__(self, store: RaftStorage, state: State) -> None:
        self.now, self.state = 0.0, state
        log = list(entries(1, 9))
        store.initialize("x", PersistedState(1, "", Snapshot(0, 0, (ME,)), []))
        store.write([SaveEntries(1, tuple(log))])
        self.machine = RaftNode(
            ME, PersistedState(1, "x", Snapshot(0, 0, (ME,)), log), 0.0, random.Random(1)
        )
        self.machine.commit_index = 9
        self.store, self.sizes = store, list[int]()
        self.snapshot_worker = SnapshotWorker(store, self.machine, self.do, lambda: self.now)

    def do(self, step: Ready) -> None:
        self.store.write(step.writes)

    def run(self) -> int:
        for count in range(100_000):
            if not self.snapshot_worker.step():
                return count
        raise AssertionError("no end")


def test_a_snapshot_is_made_in_steps_while_changes_go_on(tmp_path: Path, monkeypatch: Any) -> None:
    state = grown(7, tenants=20_000)
    before, store = state.encode(), RaftStorage(tmp_path)
    steps = Steps(store, state)
    written: list[int] = []
    write = store.write

    def counted(writes: Any) -> None:
        written.append(sum(len(w.data) for w in writes if isinstance(w, SaveSnapshotChunk)))
        write(writes)

    monkeypatch.setattr(store, "write", counted)
    steps.snapshot_worker.create(state.to_dict(), 9)
    state.apply(Command(Verb.EVACUATE, "meanwhile", zone="z"))
    steps.machine.log.append(Entry(10, 1, b"10"))
    store.write([SaveEntries(10, (Entry(10, 1, b"10"),))])
    assert steps.machine.base_snapshot.index == 0 and store.load().snapshot.index == 0
    assert steps.run() > 10 and max(written) <= WRITE_CHUNK_BYTES
    kept = store.load()
    assert (
        kept.snapshot.state == before and kept.entries == [Entry(10, 1, b"10")] == steps.machine.log
    )
    assert steps.machine.compacted_tail.covers(1) and not steps.machine.compacted_tail.covers(10)
    with store._env.begin() as look:
        assert (
            look.stat(store._entries)["entries"] == 1 and look.get(BUILDING, db=store._meta) is None
        )


def test_a_full_disk_keeps_its_old_snapshot_and_the_log_goes_on(tmp_path: Path, capfd: Any) -> None:
    store = RaftStorage(tmp_path, map_bytes=512 * 1024)
    steps = Steps(store, grown(8, tenants=30_000))
    for n in range(3):
        steps.now += 2 * RETRY_DELAY_S
        steps.snapshot_worker.create(steps.state.to_dict(), 9)
        steps.run()
        index = 10 + n
        store.write([SaveEntries(index, (Entry(index, 1, b"on"),))])
        kept = store.load()
        assert (
            kept.snapshot.index == steps.machine.base_snapshot.index == 0
            and kept.entries[-1].index == index
        )
    steps.now += 2 * RETRY_DELAY_S
    steps.snapshot_worker.create(State().to_dict(), 9)
    steps.run()
    assert store.load().snapshot.index == 9


def test_what_must_be_on_disk_and_is_not_ends_the_process(tmp_path: Path) -> None:
    """ENOSPC's like, brought about by a limit on the size of files: old state, whole, and an
    event."""
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
    ran = subprocess.run(
        [sys.executable, "-c", text, str(tmp_path)], capture_output=True, text=True
    )
    assert ran.returncode == 1 and "120 disk_failed" in ran.stderr, ran.stderr
    said = int(ran.stdout.split()[-1])
    kept = RaftStorage(tmp_path).load()
    assert said > 10 and len(kept.entries) == said and kept.snapshot.index == 0
