"""A member's durable state in lmdb: disk id, term and vote, snapshot and entries.

Three databases: `meta` (by name), `entries` (by index) and `parts` (by generation and offset). A
snapshot's chunks are stored under a generation of its own. In `meta`, the pointer `snapshot` leads
to the active one. Another is written beside it, chunk by chunk, and becomes active in one
transaction when it is complete. Names of folders, databases and keys are the format on disk and
remain as they were first written, whatever the code calls their content."""

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

MAP_BYTES = 128 * 1024 * 1024  # limit of the map's growth; the disk has twice that
FORMAT = b"2"
FORMAT_V1 = b"1"  # a snapshot is one value of `meta`
SWEEP_LIMIT = 64  # chunks or entries that one call of `sweep` removes
VALUE_BYTES = 64 * 1024  # of a snapshot in one value, where it was not written chunk by chunk

FOLDER = "promptbook"

# Keys of `meta`.
FORMAT_KEY = b"format"
DISK_ID_KEY = b"disk"
SYSTEM_KEY = b"system"
HARD_STATE_KEY = b"promise"  # term (8 bytes, big-endian), then the disk id voted for
# Pointers: a generation (8 bytes, big-endian), then the encoded snapshot head.
ACTIVE = b"snapshot"
BUILDING = b"made"  # being made by this member
RECEIVING = b"received"  # being received from the leader

POINTERS = (ACTIVE, BUILDING, RECEIVING)
_NUMBER = struct.Struct(">Q")


class StorageError(Exception):
    """The disk cannot be read or written; it is not to be mistaken for an empty one."""


def _chunk_key(generation: int, offset: int) -> bytes:
    return _NUMBER.pack(generation) + _NUMBER.pack(offset)


def _generation(pointer: bytes) -> int:
    """Of a pointer, or of a chunk's key."""
    return int(_NUMBER.unpack(pointer[: _NUMBER.size])[0])


def _encoded_head(pointer: bytes) -> bytes:
    return pointer[_NUMBER.size :]


def _head(pointer: bytes) -> SnapshotHead:
    return codec.decode_snapshot_head(_encoded_head(pointer))


def _encode_hard_state(term: int, voted_for: str) -> bytes:
    return _NUMBER.pack(term) + voted_for.encode()


class RaftStorage:
    """Reads and writes the durable state of one member, in a folder of `folder`.

    `read_only` changes nothing and creates nothing. `map_bytes` limits the size on disk. Opening
    migrates format 1, unless read-only, and drops a snapshot that was being made. Raises
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
            self._parts = None  # there are none yet
            return
        self._parts = self._env.open_db(b"parts", create=writable)
        if is_v1:
            self._migrate_v1()
        if writable:
            with self._env.begin(self._meta, write=True) as transaction:
                transaction.delete(BUILDING)

    @contextmanager
    def _writing(self) -> Iterator[lmdb.Transaction]:
        """A transaction that is synced when the block ends, or changes nothing.

        Raises StorageError."""
        try:
            with self._env.begin(write=True) as transaction:
                yield transaction
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def disk_id(self) -> str:
        """The disk's id; empty if it has not been initialized.

        Raises StorageError for a format that is not known."""
        with self._env.begin(self._meta) as transaction:
            found = transaction.get(FORMAT_KEY)
            if found not in (None, FORMAT) and not (found == FORMAT_V1 and self._read_only):
                raise StorageError(f"format {found!r}, where {FORMAT!r} is known")
            return (transaction.get(DISK_ID_KEY) or b"").decode()

    def initialize(self, disk_id: str, persisted: PersistedState) -> None:
        """Gives an empty disk its id and first state. Raises StorageError."""
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
        """Name of the system that the member belongs to; empty until it is known."""
        with self._env.begin(self._meta) as transaction:
            return (transaction.get(SYSTEM_KEY) or b"").decode()

    def set_system_name(self, name: str) -> None:
        """Raises StorageError, with nothing changed."""
        with self._writing() as transaction:
            transaction.put(SYSTEM_KEY, name.encode(), db=self._meta)

    # Reading.

    def load(self) -> PersistedState:
        """All that is on disk. Raises StorageError if it is damaged or incomplete."""
        try:
            with self._env.begin() as transaction:
                return self._load(transaction)
        except (lmdb.Error, DecodeError, struct.error, UnicodeDecodeError, zlib.error) as error:
            raise StorageError(f"cannot be read: {error!r}") from error

    def _load(self, transaction: lmdb.Transaction) -> PersistedState:
        hard_state = transaction.get(HARD_STATE_KEY, db=self._meta)
        pointer = self._pointer(transaction, ACTIVE)
        if hard_state is None or pointer is None:
            raise StorageError("a named disk without promise or snapshot")
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
            raise StorageError(f"the snapshot at {head.index} is not as it was written")
        return Snapshot(head.index, head.term, head.members, state, head.digest)

    def _load_entries(self, transaction: lmdb.Transaction, after: int) -> list[Entry]:
        """The entries after an index, which follow one another without a gap."""
        entries: list[Entry] = []
        with transaction.cursor(self._entries) as cursor:
            for key, value in cursor:
                entry = codec.decode_entry(bytes(value))
                if entry.index <= after:
                    continue  # covered by the snapshot, and not swept yet
                due = after + len(entries) + 1
                if entry.index != due or _NUMBER.unpack(key)[0] != due:
                    raise StorageError(f"entry {entry.index} stands where another is due")
                if not fragments.is_intact(entry.data):
                    raise StorageError(f"entry {entry.index} is not as it was written")
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
        """Carries out all writes in one transaction, which is synced when this returns.

        Raises StorageError, with nothing changed."""
        with self._writing() as transaction:
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
        """Activates the snapshot, and drops one that is being received and not newer."""
        if not self._activate(transaction, snapshot.head):
            self._put_snapshot(transaction, snapshot)
        receiving = self._pointer(transaction, RECEIVING)
        if receiving and _head(receiving).index <= snapshot.index:
            transaction.delete(RECEIVING, db=self._meta)

    def _pointer(self, transaction: lmdb.Transaction, key: bytes) -> bytes | None:
        found = transaction.get(key, db=self._meta)
        return None if found is None else bytes(found)

    def _new_generation(self, transaction: lmdb.Transaction) -> int:
        """Later than that of any pointer, and of any chunk that is not swept yet."""
        pointers = [self._pointer(transaction, key) for key in POINTERS]
        highest = max((_generation(pointer) for pointer in pointers if pointer), default=0)
        with transaction.cursor(self._parts) as cursor:
            if cursor.last():
                highest = max(highest, _generation(bytes(cursor.key())))
        return highest + 1

    def _activate(self, transaction: lmdb.Transaction, head: SnapshotHead) -> bool:
        """Activates a snapshot whose chunks are on disk; False if they are not all there."""
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
        """Writes a snapshot and activates it."""
        generation = self._new_generation(transaction)
        for offset in range(0, len(snapshot.state), VALUE_BYTES):
            data = snapshot.state[offset : offset + VALUE_BYTES]
            transaction.put(_chunk_key(generation, offset), data, db=self._parts)
        pointer = _NUMBER.pack(generation) + codec.encode_snapshot_head(snapshot.head)
        transaction.put(ACTIVE, pointer, db=self._meta)

    # Cleaning up.

    def discard_unfinished(self) -> None:
        """Drops the snapshot that is being made. Raises StorageError."""
        with self._writing() as transaction:
            transaction.delete(BUILDING, db=self._meta)

    def sweep(self) -> bool:
        """Removes some chunks that no pointer leads to, and entries that the snapshot covers.

        Returns False if nothing is left to remove. Raises StorageError."""
        with self._writing() as transaction:
            left = self._sweep_chunks(transaction, SWEEP_LIMIT)
            left = self._sweep_entries(transaction, left)
        return not left

    def _sweep_chunks(self, transaction: lmdb.Transaction, limit: int) -> int:
        """Removes up to `limit` chunks; how many fewer were found."""
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
        """Removes up to `limit` entries; how many fewer were found."""
        active = self._pointer(transaction, ACTIVE)
        covered = _head(active).index if active else 0
        with transaction.cursor(self._entries) as cursor:
            while limit and cursor.first() and _NUMBER.unpack(cursor.key())[0] <= covered:
                cursor.delete()
                limit -= 1
        return limit

    def close(self) -> None:
        """Closes the file; the object is not to be used after."""
        self._env.close()
