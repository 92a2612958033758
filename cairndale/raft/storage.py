"""What a member of the core keeps on disk, in lmdb: its disk's name, its promise, snapshot and
entries.

A snapshot stands in parts under a generation of its own. `snapshot` in `meta` points at the one in
force; another is put beside it, part by part, and takes its place in one transaction once it is
whole."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

import lmdb
from google.protobuf.message import DecodeError

from cairndale.raft import codec, fragments
from cairndale.raft.messages import (
    HardState,
    PersistedState,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotChunk,
    Snapshot,
    SnapshotHead,
    Write,
    state_digest,
)

MAP_BYTES = 128 * 1024 * 1024  # bytes the map may grow to: the disk has twice that
FORMAT, FORMAT_V1 = b"2", b"1"
SWEEP_LIMIT = 64  # parts or entries without use that one step removes
VALUE_BYTES = 64 * 1024  # bytes of a snapshot in one value, where it was not put there part by part
BUILDING, RECEIVING = b"made", b"received"  # snapshots that are not in force yet


class StorageError(Exception):
    """The disk's state cannot be read or written: it is not to be taken for an empty one."""


def _chunk_key(generation: int, offset: int) -> bytes:
    return struct.pack(">QQ", generation, offset)


class RaftStorage:
    def __init__(self, folder: Path, read_only: bool = False, map_bytes: int = MAP_BYTES) -> None:
        """`read_only`: nothing is changed, and nothing made where there is nothing. Raises
        StorageError."""
        if not read_only:
            folder.mkdir(parents=True, exist_ok=True)
        try:
            path = str(folder / "promptbook")
            self._env = lmdb.open(
                path,
                map_size=map_bytes,
                max_dbs=3,
                lock=False,
                readonly=read_only,
                create=not read_only,
            )
            self._meta = self._env.open_db(b"meta", create=not read_only)
            self._entries = self._env.open_db(b"entries", create=not read_only)
            with self._env.begin(self._meta) as read:
                old = read.get(b"format") == FORMAT_V1
            self._parts = (
                None if read_only and old else self._env.open_db(b"parts", create=not read_only)
            )
            if old and not read_only:
                self._migrate_v1()
            if not read_only:
                with self._env.begin(self._meta, write=True) as transaction:
                    transaction.delete(BUILDING)  # by a life that ended before it was whole
        except (lmdb.Error, DecodeError) as error:
            raise StorageError(str(error)) from error
        self._read_only = read_only

    def disk_id(self) -> str:
        """The name that it was given; nothing on an empty one."""
        with self._env.begin(self._meta) as transaction:
            found = transaction.get(b"format")
            if found not in (None, FORMAT) and not (found == FORMAT_V1 and self._read_only):
                raise StorageError(f"format {found!r}, where {FORMAT!r} is known")
            return (transaction.get(b"disk") or b"").decode()

    def initialize(self, disk: str, persisted: PersistedState) -> None:
        """Names an empty disk. Raises StorageError."""
        try:
            with self._env.begin(write=True) as transaction:
                transaction.put(b"format", FORMAT, db=self._meta)
                transaction.put(b"disk", disk.encode(), db=self._meta)
                transaction.put(
                    b"promise",
                    struct.pack(">Q", persisted.term) + persisted.voted_for.encode(),
                    db=self._meta,
                )
                self._put_snapshot(transaction, persisted.snapshot)
        except lmdb.Error as error:
            raise StorageError(str(error)) from error

    def _migrate_v1(self) -> None:
        """From format 1, where the snapshot is one value: in one transaction."""
        with self._env.begin(write=True) as transaction:
            if (value := transaction.get(b"snapshot", db=self._meta)) is not None:
                self._put_snapshot(transaction, codec.decode_snapshot_v1(value))
            transaction.put(b"format", FORMAT, db=self._meta)

    # Reading.

    def system_name(self) -> str:
        """The name of the system that it belongs to; nothing until that is known."""
        with self._env.begin(self._meta) as transaction:
            return (transaction.get(b"system") or b"").decode()

    def set_system_name(self, name: str) -> None:
        """Raises StorageError, and nothing is changed."""
        try:
            with self._env.begin(write=True) as transaction:
                transaction.put(b"system", name.encode(), db=self._meta)
        except lmdb.Error as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def load(self) -> PersistedState:
        """Raises StorageError."""
        try:
            return self._load()
        except (lmdb.Error, DecodeError, struct.error, UnicodeDecodeError, zlib.error) as error:
            raise StorageError(f"cannot be read: {error!r}") from error

    def _load(self) -> PersistedState:
        with self._env.begin() as transaction:
            promise = transaction.get(b"promise", db=self._meta)
            pointer = transaction.get(b"snapshot", db=self._meta)
            if promise is None or pointer is None:
                raise StorageError("a named disk without promise or snapshot")
            if transaction.get(b"format", db=self._meta) == FORMAT_V1:
                snapshot = codec.decode_snapshot_v1(pointer)
            else:
                head, state = self._read_snapshot(transaction, pointer)
                if len(state) != head.size or state_digest(state).digest() != head.digest:
                    raise StorageError(f"the snapshot at {head.index} is not as it was written")
                snapshot = Snapshot(head.index, head.term, head.members, state, head.digest)
            persisted = PersistedState(
                struct.unpack(">Q", promise[:8])[0], promise[8:].decode(), snapshot
            )
            if (pointer := transaction.get(RECEIVING, db=self._meta)) is not None:
                persisted.partial_snapshot = self._read_snapshot(transaction, pointer)
            with transaction.cursor(self._entries) as cursor:
                for key, value in cursor:
                    entry = codec.decode_entry(value)
                    if entry.index <= persisted.snapshot.index:
                        continue
                    due = persisted.snapshot.index + len(persisted.entries) + 1
                    if entry.index != due or struct.unpack(">Q", key)[0] != due:
                        raise StorageError(f"entry {entry.index} stands where another is due")
                    if not fragments.is_intact(entry.data):
                        raise StorageError(f"entry {entry.index} is not as it was written")
                    persisted.entries.append(entry)
        return persisted

    def _read_snapshot(
        self, transaction: lmdb.Transaction, pointer: bytes
    ) -> tuple[SnapshotHead, bytes]:
        """What a pointer leads to, as it goes on without a gap."""
        (generation,), head = (
            struct.unpack(">Q", pointer[:8]),
            codec.decode_snapshot_head(pointer[8:]),
        )
        found, at = [], 0
        with transaction.cursor(self._parts) as cursor:
            while at < head.size and cursor.set_key(_chunk_key(generation, at)):
                found.append(cursor.value())
                at += len(found[-1])
        return head, b"".join(found)

    # Writing.

    def write(self, writes: Iterable[Write]) -> None:
        """All of them at once; synced when this returns. Raises StorageError, and nothing is
        changed."""
        try:
            with self._env.begin(write=True) as transaction:
                for write in writes:
                    self._apply_write(transaction, write)
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def _apply_write(self, transaction: lmdb.Transaction, write: Write) -> None:
        match write:
            case HardState(term, voted_for):
                transaction.put(
                    b"promise", struct.pack(">Q", term) + voted_for.encode(), db=self._meta
                )
            case SaveEntries(first, entries):
                self._delete_entries_from(transaction, first)
                for entry in entries:
                    key = struct.pack(">Q", entry.index)
                    transaction.put(key, codec.encode_entry(entry), db=self._entries)
            case SaveSnapshotChunk(head, offset, data, received):
                slot = RECEIVING if received else BUILDING
                pointer = self._pointer(transaction, slot)
                if (
                    offset == 0
                    or pointer is None
                    or pointer[8:] != codec.encode_snapshot_head(head)
                ):
                    pointer = self._new_generation(transaction) + codec.encode_snapshot_head(head)
                    transaction.put(slot, pointer, db=self._meta)
                transaction.put(pointer[:8] + struct.pack(">Q", offset), data, db=self._parts)
            case SaveSnapshot(snapshot, alone):
                if not self._activate(transaction, snapshot.head):
                    self._put_snapshot(transaction, snapshot)
                incoming = self._pointer(transaction, RECEIVING)
                if incoming and codec.decode_snapshot_head(incoming[8:]).index <= snapshot.index:
                    transaction.delete(RECEIVING, db=self._meta)
                if alone:  # those after it are another order's
                    self._delete_entries_from(transaction, snapshot.index + 1)

    def _delete_entries_from(self, transaction: lmdb.Transaction, first: int) -> None:
        with transaction.cursor(self._entries) as cursor:
            while cursor.set_range(struct.pack(">Q", first)):
                cursor.delete()

    def _pointer(self, transaction: lmdb.Transaction, name: bytes) -> bytes | None:
        """A generation, and the head of the snapshot that has it."""
        found = transaction.get(name, db=self._meta)
        return None if found is None else bytes(found)

    def _new_generation(self, transaction: lmdb.Transaction) -> bytes:
        """A generation that no other snapshot ever had while anything of it may be left."""
        used = [self._pointer(transaction, name) for name in (b"snapshot", BUILDING, RECEIVING)]
        highest = max(
            (struct.unpack(">Q", pointer[:8])[0] for pointer in used if pointer), default=0
        )
        with transaction.cursor(self._parts) as cursor:
            if cursor.last():
                highest = max(highest, struct.unpack(">Q", cursor.key()[:8])[0])
        return struct.pack(">Q", highest + 1)

    def _activate(self, transaction: lmdb.Transaction, head: SnapshotHead) -> bool:
        """To one that stands there already, if it is whole."""
        wanted = codec.encode_snapshot_head(head)
        for slot in (BUILDING, RECEIVING):
            pointer = self._pointer(transaction, slot)
            if (
                pointer
                and pointer[8:] == wanted
                and len(self._read_snapshot(transaction, pointer)[1]) == head.size
            ):
                transaction.put(b"snapshot", pointer, db=self._meta)
                transaction.delete(slot, db=self._meta)
                return True
        return False

    def _put_snapshot(self, transaction: lmdb.Transaction, snapshot: Snapshot) -> None:
        generation = self._new_generation(transaction)
        for at in range(0, len(snapshot.state), VALUE_BYTES):
            key = generation + struct.pack(">Q", at)
            transaction.put(key, snapshot.state[at : at + VALUE_BYTES], db=self._parts)
        transaction.put(
            b"snapshot", generation + codec.encode_snapshot_head(snapshot.head), db=self._meta
        )

    def discard_unfinished(self) -> None:
        """What there is of one that was being made. Raises StorageError."""
        try:
            with self._env.begin(self._meta, write=True) as transaction:
                transaction.delete(BUILDING)
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def sweep(self) -> bool:
        """Removes some of what no pointer leads to any longer: parts, and entries that the snapshot
        took the place of. False if nothing is left. Raises StorageError."""
        try:
            with self._env.begin(write=True) as transaction:
                used = [
                    self._pointer(transaction, name) for name in (b"snapshot", BUILDING, RECEIVING)
                ]
                generations = {pointer[:8] for pointer in used if pointer}
                left = SWEEP_LIMIT
                with transaction.cursor(self._parts) as cursor:
                    found = cursor.first()
                    while found and left:
                        if (generation := cursor.key()[:8]) in generations:
                            after = struct.unpack(">Q", generation)[0] + 1
                            found = cursor.set_range(_chunk_key(after, 0))
                            continue
                        cursor.delete()
                        left -= 1
                        found = bool(cursor.key())
                upto = codec.decode_snapshot_head(used[0][8:]).index if used[0] else 0
                with transaction.cursor(self._entries) as cursor:
                    while left and cursor.first() and struct.unpack(">Q", cursor.key())[0] <= upto:
                        cursor.delete()
                        left -= 1
                return not left
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def close(self) -> None:
        self._env.close()
