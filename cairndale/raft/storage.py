"""A member's durable state in lmdb: disk id, term and vote, snapshot and entries.

There are three databases: `meta` (keyed by name), `entries` (by index) and `parts` (by generation
and offset). The chunks of each snapshot have a generation of their own. In `meta`, the pointer
`snapshot` refers to the active snapshot. A new snapshot is written next to it chunk by chunk and
activated in one transaction when it is complete. The names of folders, databases and keys are part
of the format on disk and may differ from the names in the code."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import lmdb
from google.protobuf.message import DecodeError

from cairndale.raft import codec, fragments
from cairndale.raft.messages import (
    Entry,
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

MAP_BYTES = 128 * 1024 * 1024  # maximum size of the lmdb map; the disk has twice as much
FORMAT = b"2"
FORMAT_V1 = b"1"  # stores a snapshot as a single value in `meta`
SWEEP_LIMIT = 64  # maximum chunks and entries removed by one call of `sweep`
# Maximum bytes per value of a snapshot that is written at once rather than chunk by chunk.
MAX_VALUE_BYTES = 64 * 1024

FOLDER = "promptbook"

# Keys of `meta`.
FORMAT_KEY = b"format"
DISK_ID_KEY = b"disk"
SYSTEM_KEY = b"system"
HARD_STATE_KEY = b"promise"  # term (8 bytes, big-endian), then the disk id voted for
# Pointers: a generation (8 bytes, big-endian), then the encoded snapshot head.
ACTIVE = b"snapshot"
BUILDING = b"made"  # being created by this member
RECEIVING = b"received"  # being received from the leader

POINTERS = (ACTIVE, BUILDING, RECEIVING)
_NUMBER = struct.Struct(">Q")


class StorageError(Exception):
    """The disk cannot be read or written. Never raised for an empty disk."""


def _chunk_key(generation: int, offset: int) -> bytes:
    return _NUMBER.pack(generation) + _NUMBER.pack(offset)


def _generation(pointer: bytes) -> int:
    """The generation in a pointer or in a chunk's key."""
    return int(_NUMBER.unpack(pointer[: _NUMBER.size])[0])


def _encoded_head(pointer: bytes) -> bytes:
    return pointer[_NUMBER.size :]


def _head(pointer: bytes) -> SnapshotHead:
    return codec.decode_snapshot_head(_encoded_head(pointer))


def _encode_hard_state(term: int, voted_for: str) -> bytes:
    return _NUMBER.pack(term) + voted_for.encode()


class RaftStorage:
    """Reads and writes the durable state of one member, in a subfolder of `folder`.

    `map_bytes` limits the size on disk. Opening migrates format 1 and drops a snapshot whose
    creation did not finish; with `read_only` it does neither and creates no files. Raises
    StorageError."""

    def __init__(self, folder: Path, read_only: bool = False, map_bytes: int = MAP_BYTES) -> None:
        self._read_only = read_only
        if not read_only:
            folder.mkdir(parents=True, exist_ok=True)
        try:
            self._open(str(folder / FOLDER), map_bytes)
        except (lmdb.Error, DecodeError) as error:
            raise StorageError(str(error)) from error

    def _open(self, path: str, map_bytes: int) -> None:
        writable = not self._read_only
        self._env = lmdb.open(
            path,
            map_size=map_bytes,
            max_dbs=3,
            lock=False,
            readonly=self._read_only,
            create=writable,
        )
        self._meta = self._env.open_db(b"meta", create=writable)
        self._entries = self._env.open_db(b"entries", create=writable)
        with self._env.begin(self._meta) as transaction:
            is_v1 = transaction.get(FORMAT_KEY) == FORMAT_V1
        if is_v1 and self._read_only:
            self._parts = None  # format 1 has no such database
            return
        self._parts = self._env.open_db(b"parts", create=writable)
        if is_v1:
            self._migrate_v1()
        if writable:
            with self._env.begin(self._meta, write=True) as transaction:
                transaction.delete(BUILDING)

    @contextmanager
    def _write_transaction(self) -> Iterator[lmdb.Transaction]:
        """A transaction that is synced when the block ends, or rolled back on an exception.

        Raises StorageError."""
        try:
            with self._env.begin(write=True) as transaction:
                yield transaction
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot write the state: {error!r}") from error

    def disk_id(self) -> str:
        """The disk's id; empty if it has not been initialized.

        Raises StorageError for an unknown format."""
        with self._env.begin(self._meta) as transaction:
            stored_format = transaction.get(FORMAT_KEY)
            if stored_format not in (None, FORMAT) and not (
                stored_format == FORMAT_V1 and self._read_only
            ):
                raise StorageError(f"unsupported format {stored_format!r}, expected {FORMAT!r}")
            return (transaction.get(DISK_ID_KEY) or b"").decode()

    def initialize(self, disk_id: str, persisted: PersistedState) -> None:
        """Writes the id and the initial state to an empty disk. Raises StorageError."""
        try:
            with self._env.begin(write=True) as transaction:
                transaction.put(FORMAT_KEY, FORMAT, db=self._meta)
                transaction.put(DISK_ID_KEY, disk_id.encode(), db=self._meta)
                self._put_hard_state(transaction, persisted.term, persisted.voted_for)
                self._put_snapshot(transaction, persisted.snapshot)
        except lmdb.Error as error:
            raise StorageError(str(error)) from error

    def _migrate_v1(self) -> None:
        with self._env.begin(write=True) as transaction:
            if (value := transaction.get(ACTIVE, db=self._meta)) is not None:
                self._put_snapshot(transaction, codec.decode_snapshot_v1(value))
            transaction.put(FORMAT_KEY, FORMAT, db=self._meta)

    def system_name(self) -> str:
        """Name of the system that the member belongs to; empty if not stored yet."""
        with self._env.begin(self._meta) as transaction:
            return (transaction.get(SYSTEM_KEY) or b"").decode()

    def set_system_name(self, name: str) -> None:
        """Stores the system name. Raises StorageError, with nothing changed."""
        with self._write_transaction() as transaction:
            transaction.put(SYSTEM_KEY, name.encode(), db=self._meta)

    # Reading.

    def load(self) -> PersistedState:
        """Reads the complete state. Raises StorageError if it is damaged or incomplete."""
        try:
            with self._env.begin() as transaction:
                return self._load(transaction)
        except (lmdb.Error, DecodeError, struct.error, UnicodeDecodeError, zlib.error) as error:
            raise StorageError(f"cannot read the state: {error!r}") from error

    def _load(self, transaction: lmdb.Transaction) -> PersistedState:
        hard_state = transaction.get(HARD_STATE_KEY, db=self._meta)
        pointer = self._pointer(transaction, ACTIVE)
        if hard_state is None or pointer is None:
            raise StorageError("initialized disk has no hard state or no snapshot")
        persisted = PersistedState(
            term=_NUMBER.unpack(hard_state[: _NUMBER.size])[0],
            voted_for=bytes(hard_state[_NUMBER.size :]).decode(),
            snapshot=self._load_snapshot(transaction, pointer),
        )
        if (pointer := self._pointer(transaction, RECEIVING)) is not None:
            persisted.partial_snapshot = self._read_chunks(transaction, pointer)
        persisted.entries = self._load_entries(transaction, persisted.snapshot.index)
        return persisted

    def _load_snapshot(self, transaction: lmdb.Transaction, pointer: bytes) -> Snapshot:
        if transaction.get(FORMAT_KEY, db=self._meta) == FORMAT_V1:
            return codec.decode_snapshot_v1(pointer)
        head, state = self._read_chunks(transaction, pointer)
        if len(state) != head.size or state_digest(state).digest() != head.digest:
            raise StorageError(f"snapshot at {head.index}: size or digest mismatch")
        return Snapshot(head.index, head.term, head.members, state, head.digest)

    def _load_entries(self, transaction: lmdb.Transaction, after: int) -> list[Entry]:
        """The entries after an index. Raises StorageError if there is a gap or a damaged entry."""
        entries: list[Entry] = []
        with transaction.cursor(self._entries) as cursor:
            for key, value in cursor:
                entry = codec.decode_entry(bytes(value))
                if entry.index <= after:
                    continue  # covered by the snapshot but not removed yet
                expected_index = after + len(entries) + 1
                if entry.index != expected_index or _NUMBER.unpack(key)[0] != expected_index:
                    raise StorageError(
                        f"found entry {entry.index} where entry {expected_index} was expected"
                    )
                if not fragments.is_intact(entry.data):
                    raise StorageError(f"entry {entry.index}: checksum mismatch")
                entries.append(entry)
        return entries

    def _read_chunks(
        self, transaction: lmdb.Transaction, pointer: bytes
    ) -> tuple[SnapshotHead, bytes]:
        """The head of a snapshot, and its state up to the first gap."""
        generation, head = _generation(pointer), _head(pointer)
        chunks, offset = [], 0
        with transaction.cursor(self._parts) as cursor:
            while offset < head.size and cursor.set_key(_chunk_key(generation, offset)):
                chunks.append(cursor.value())
                offset += len(chunks[-1])
        return head, b"".join(chunks)

    # Writing.

    def write(self, writes: Iterable[Write]) -> None:
        """Applies all writes in one transaction, which is synced when this returns.

        Raises StorageError, with nothing changed."""
        with self._write_transaction() as transaction:
            for write in writes:
                self._apply_write(transaction, write)

    def _apply_write(self, transaction: lmdb.Transaction, write: Write) -> None:
        match write:
            case HardState(term, voted_for):
                self._put_hard_state(transaction, term, voted_for)
            case SaveEntries(first_index, entries):
                self._delete_entries_from(transaction, first_index)
                for entry in entries:
                    key = _NUMBER.pack(entry.index)
                    transaction.put(key, codec.encode_entry(entry), db=self._entries)
            case SaveSnapshotChunk():
                self._put_chunk(transaction, write)
            case SaveSnapshot(snapshot, replaces_log):
                self._save_snapshot(transaction, snapshot)
                if replaces_log:
                    self._delete_entries_from(transaction, snapshot.index + 1)

    def _put_hard_state(self, transaction: lmdb.Transaction, term: int, voted_for: str) -> None:
        transaction.put(HARD_STATE_KEY, _encode_hard_state(term, voted_for), db=self._meta)

    def _delete_entries_from(self, transaction: lmdb.Transaction, first_index: int) -> None:
        with transaction.cursor(self._entries) as cursor:
            while cursor.set_range(_NUMBER.pack(first_index)):
                cursor.delete()

    def _put_chunk(self, transaction: lmdb.Transaction, chunk: SaveSnapshotChunk) -> None:
        key = RECEIVING if chunk.received else BUILDING
        pointer = self._pointer(transaction, key)
        head = codec.encode_snapshot_head(chunk.head)
        if chunk.offset == 0 or pointer is None or _encoded_head(pointer) != head:
            pointer = _NUMBER.pack(self._new_generation(transaction)) + head
            transaction.put(key, pointer, db=self._meta)
        chunk_key = _chunk_key(_generation(pointer), chunk.offset)
        transaction.put(chunk_key, chunk.data, db=self._parts)

    def _save_snapshot(self, transaction: lmdb.Transaction, snapshot: Snapshot) -> None:
        """Activates the snapshot, and drops a partially received one unless that is newer."""
        if not self._activate(transaction, snapshot.head):
            self._put_snapshot(transaction, snapshot)
        receiving = self._pointer(transaction, RECEIVING)
        if receiving and _head(receiving).index <= snapshot.index:
            transaction.delete(RECEIVING, db=self._meta)

    def _pointer(self, transaction: lmdb.Transaction, key: bytes) -> bytes | None:
        value = transaction.get(key, db=self._meta)
        return None if value is None else bytes(value)

    def _new_generation(self, transaction: lmdb.Transaction) -> int:
        """Higher than the generation of any pointer, and of any chunk not removed yet."""
        pointers = [self._pointer(transaction, key) for key in POINTERS]
        highest = max((_generation(pointer) for pointer in pointers if pointer), default=0)
        with transaction.cursor(self._parts) as cursor:
            if cursor.last():
                highest = max(highest, _generation(bytes(cursor.key())))
        return highest + 1

    def _activate(self, transaction: lmdb.Transaction, head: SnapshotHead) -> bool:
        """Activates a snapshot whose chunks are on disk; returns False if any is missing."""
        encoded_head = codec.encode_snapshot_head(head)
        for key in (BUILDING, RECEIVING):
            pointer = self._pointer(transaction, key)
            if pointer is None or _encoded_head(pointer) != encoded_head:
                continue
            _, state = self._read_chunks(transaction, pointer)
            if len(state) == head.size:
                transaction.put(ACTIVE, pointer, db=self._meta)
                transaction.delete(key, db=self._meta)
                return True
        return False

    def _put_snapshot(self, transaction: lmdb.Transaction, snapshot: Snapshot) -> None:
        """Writes a complete snapshot and activates it."""
        generation = self._new_generation(transaction)
        for offset in range(0, len(snapshot.state), MAX_VALUE_BYTES):
            data = snapshot.state[offset : offset + MAX_VALUE_BYTES]
            transaction.put(_chunk_key(generation, offset), data, db=self._parts)
        pointer = _NUMBER.pack(generation) + codec.encode_snapshot_head(snapshot.head)
        transaction.put(ACTIVE, pointer, db=self._meta)

    # Clean-up.

    def discard_unfinished(self) -> None:
        """Drops the snapshot that is being created. Raises StorageError."""
        with self._write_transaction() as transaction:
            transaction.delete(BUILDING, db=self._meta)

    def sweep(self) -> bool:
        """Removes some unreferenced chunks and some entries that the snapshot covers.

        Returns False when there is nothing more to remove. Raises StorageError."""
        with self._write_transaction() as transaction:
            remaining = self._sweep_chunks(transaction, SWEEP_LIMIT)
            remaining = self._sweep_entries(transaction, remaining)
        return not remaining

    def _sweep_chunks(self, transaction: lmdb.Transaction, limit: int) -> int:
        """Removes up to `limit` unreferenced chunks; returns the unused part of the limit."""
        pointers = [self._pointer(transaction, key) for key in POINTERS]
        in_use = {_generation(pointer) for pointer in pointers if pointer}
        with transaction.cursor(self._parts) as cursor:
            found = cursor.first()
            while found and limit:
                generation = _generation(bytes(cursor.key()))
                if generation in in_use:
                    found = cursor.set_range(_chunk_key(generation + 1, 0))
                    continue
                cursor.delete()
                limit -= 1
                found = bool(cursor.key())
        return limit

    def _sweep_entries(self, transaction: lmdb.Transaction, limit: int) -> int:
        """Removes up to `limit` covered entries; returns the unused part of the limit."""
        active = self._pointer(transaction, ACTIVE)
        covered = _head(active).index if active else 0
        with transaction.cursor(self._entries) as cursor:
            while limit and cursor.first() and _NUMBER.unpack(cursor.key())[0] <= covered:
                cursor.delete()
                limit -= 1
        return limit

    def close(self) -> None:
        """Closes the database; the object must not be used afterwards."""
        self._env.close()
