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

ROOM = 128 * 1024 * 1024  # bytes the map may grow to: the disk has twice that
FORMAT, FORMAT_1 = b"2", b"1"
SWEPT = 64  # parts or entries without use that one step removes
PIECE = 64 * 1024  # bytes of a snapshot in one value, where it was not put there part by part
MADE, RECEIVED = b"made", b"received"  # snapshots that are not in force yet


class StorageError(Exception):
    """The disk's state cannot be read or written: it is not to be taken for an empty one."""


def _key(generation: int, offset: int) -> bytes:
    return struct.pack(">QQ", generation, offset)


class RaftStorage:
    def __init__(self, folder: Path, look: bool = False, room: int = ROOM) -> None:
        """`look`: nothing is changed, and nothing made where there is nothing. Raises
        StoreError."""
        if not look:
            folder.mkdir(parents=True, exist_ok=True)
        try:
            path = str(folder / "promptbook")
            self._env = lmdb.open(
                path, map_size=room, max_dbs=3, lock=False, readonly=look, create=not look
            )
            self._meta = self._env.open_db(b"meta", create=not look)
            self._entries = self._env.open_db(b"entries", create=not look)
            with self._env.begin(self._meta) as read:
                old = read.get(b"format") == FORMAT_1
            self._parts = None if look and old else self._env.open_db(b"parts", create=not look)
            if old and not look:
                self._convert()
            if not look:
                with self._env.begin(self._meta, write=True) as change:
                    change.delete(MADE)  # by a life that ended before it was whole
        except (lmdb.Error, DecodeError) as error:
            raise StorageError(str(error)) from error
        self._look = look

    def disk_id(self) -> str:
        """The name that it was given; nothing on an empty one."""
        with self._env.begin(self._meta) as look:
            found = look.get(b"format")
            if found not in (None, FORMAT) and not (found == FORMAT_1 and self._look):
                raise StorageError(f"format {found!r}, where {FORMAT!r} is known")
            return (look.get(b"disk") or b"").decode()

    def begin(self, disk: str, kept: PersistedState) -> None:
        """Names an empty disk. Raises StoreError."""
        try:
            with self._env.begin(write=True) as change:
                change.put(b"format", FORMAT, db=self._meta)
                change.put(b"disk", disk.encode(), db=self._meta)
                change.put(
                    b"promise",
                    struct.pack(">Q", kept.term) + kept.voted_for.encode(),
                    db=self._meta,
                )
                self._put_whole(change, kept.snapshot)
        except lmdb.Error as error:
            raise StorageError(str(error)) from error

    def _convert(self) -> None:
        """From format 1, where the snapshot is one value: in one transaction."""
        with self._env.begin(write=True) as change:
            if (value := change.get(b"snapshot", db=self._meta)) is not None:
                self._put_whole(change, codec.snapshot_in_format_1(value))
            change.put(b"format", FORMAT, db=self._meta)

    # Reading.

    def system(self) -> str:
        """The name of the system that it belongs to; nothing until that is known."""
        with self._env.begin(self._meta) as look:
            return (look.get(b"system") or b"").decode()

    def name_system(self, name: str) -> None:
        """Raises StoreError, and nothing is changed."""
        try:
            with self._env.begin(write=True) as change:
                change.put(b"system", name.encode(), db=self._meta)
        except lmdb.Error as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def load(self) -> PersistedState:
        """Raises StoreError."""
        try:
            return self._load()
        except (lmdb.Error, DecodeError, struct.error, UnicodeDecodeError, zlib.error) as error:
            raise StorageError(f"cannot be read: {error!r}") from error

    def _load(self) -> PersistedState:
        with self._env.begin() as look:
            promise = look.get(b"promise", db=self._meta)
            pointer = look.get(b"snapshot", db=self._meta)
            if promise is None or pointer is None:
                raise StorageError("a named disk without promise or snapshot")
            if look.get(b"format", db=self._meta) == FORMAT_1:
                snapshot = codec.snapshot_in_format_1(pointer)
            else:
                head, state = self._read(look, pointer)
                if len(state) != head.size or state_digest(state).digest() != head.digest:
                    raise StorageError(f"the snapshot at {head.index} is not as it was written")
                snapshot = Snapshot(head.index, head.term, head.members, state, head.digest)
            kept = PersistedState(
                struct.unpack(">Q", promise[:8])[0], promise[8:].decode(), snapshot
            )
            if (pointer := look.get(RECEIVED, db=self._meta)) is not None:
                kept.partial_snapshot = self._read(look, pointer)
            with look.cursor(self._entries) as cursor:
                for key, value in cursor:
                    entry = codec.entry_in(value)
                    if entry.index <= kept.snapshot.index:
                        continue
                    due = kept.snapshot.index + len(kept.entries) + 1
                    if entry.index != due or struct.unpack(">Q", key)[0] != due:
                        raise StorageError(f"entry {entry.index} stands where another is due")
                    if not fragments.is_sound(entry.data):
                        raise StorageError(f"entry {entry.index} is not as it was written")
                    kept.entries.append(entry)
        return kept

    def _read(self, look: lmdb.Transaction, pointer: bytes) -> tuple[SnapshotHead, bytes]:
        """What a pointer leads to, as it goes on without a gap."""
        (generation,), head = struct.unpack(">Q", pointer[:8]), codec.head_in(pointer[8:])
        found, at = [], 0
        with look.cursor(self._parts) as cursor:
            while at < head.size and cursor.set_key(_key(generation, at)):
                found.append(cursor.value())
                at += len(found[-1])
        return head, b"".join(found)

    # Writing.

    def write(self, writes: Iterable[Write]) -> None:
        """All of them at once; synced when this returns. Raises StoreError, and nothing is
        changed."""
        try:
            with self._env.begin(write=True) as change:
                for write in writes:
                    self._write(change, write)
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def _write(self, change: lmdb.Transaction, write: Write) -> None:
        match write:
            case HardState(term, voted_for):
                change.put(b"promise", struct.pack(">Q", term) + voted_for.encode(), db=self._meta)
            case SaveEntries(first, entries):
                self._cut(change, first)
                for entry in entries:
                    key = struct.pack(">Q", entry.index)
                    change.put(key, codec.entry_out(entry), db=self._entries)
            case SaveSnapshotChunk(head, offset, data, received):
                slot = RECEIVED if received else MADE
                pointer = self._pointer(change, slot)
                if offset == 0 or pointer is None or pointer[8:] != codec.head_out(head):
                    pointer = self._next(change) + codec.head_out(head)
                    change.put(slot, pointer, db=self._meta)
                change.put(pointer[:8] + struct.pack(">Q", offset), data, db=self._parts)
            case SaveSnapshot(snapshot, alone):
                if not self._point(change, snapshot.head):
                    self._put_whole(change, snapshot)
                incoming = self._pointer(change, RECEIVED)
                if incoming and codec.head_in(incoming[8:]).index <= snapshot.index:
                    change.delete(RECEIVED, db=self._meta)
                if alone:  # those after it are another order's
                    self._cut(change, snapshot.index + 1)

    def _cut(self, change: lmdb.Transaction, first: int) -> None:
        with change.cursor(self._entries) as cursor:
            while cursor.set_range(struct.pack(">Q", first)):
                cursor.delete()

    def _pointer(self, look: lmdb.Transaction, name: bytes) -> bytes | None:
        """A generation, and the head of the snapshot that has it."""
        found = look.get(name, db=self._meta)
        return None if found is None else bytes(found)

    def _next(self, change: lmdb.Transaction) -> bytes:
        """A generation that no other snapshot ever had while anything of it may be left."""
        used = [self._pointer(change, name) for name in (b"snapshot", MADE, RECEIVED)]
        highest = max(
            (struct.unpack(">Q", pointer[:8])[0] for pointer in used if pointer), default=0
        )
        with change.cursor(self._parts) as cursor:
            if cursor.last():
                highest = max(highest, struct.unpack(">Q", cursor.key()[:8])[0])
        return struct.pack(">Q", highest + 1)

    def _point(self, change: lmdb.Transaction, head: SnapshotHead) -> bool:
        """To one that stands there already, if it is whole."""
        wanted = codec.head_out(head)
        for slot in (MADE, RECEIVED):
            pointer = self._pointer(change, slot)
            if (
                pointer
                and pointer[8:] == wanted
                and len(self._read(change, pointer)[1]) == head.size
            ):
                change.put(b"snapshot", pointer, db=self._meta)
                change.delete(slot, db=self._meta)
                return True
        return False

    def _put_whole(self, change: lmdb.Transaction, snapshot: Snapshot) -> None:
        generation = self._next(change)
        for at in range(0, len(snapshot.state), PIECE):
            key = generation + struct.pack(">Q", at)
            change.put(key, snapshot.state[at : at + PIECE], db=self._parts)
        change.put(b"snapshot", generation + codec.head_out(snapshot.head), db=self._meta)

    def drop_made(self) -> None:
        """What there is of one that was being made. Raises StoreError."""
        try:
            with self._env.begin(self._meta, write=True) as change:
                change.delete(MADE)
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def sweep(self) -> bool:
        """Removes some of what no pointer leads to any longer: parts, and entries that the snapshot
        took the place of. False if nothing is left. Raises StoreError."""
        try:
            with self._env.begin(write=True) as change:
                used = [self._pointer(change, name) for name in (b"snapshot", MADE, RECEIVED)]
                generations = {pointer[:8] for pointer in used if pointer}
                left = SWEPT
                with change.cursor(self._parts) as cursor:
                    found = cursor.first()
                    while found and left:
                        if (generation := cursor.key()[:8]) in generations:
                            after = struct.unpack(">Q", generation)[0] + 1
                            found = cursor.set_range(_key(after, 0))
                            continue
                        cursor.delete()
                        left -= 1
                        found = bool(cursor.key())
                upto = codec.head_in(used[0][8:]).index if used[0] else 0
                with change.cursor(self._entries) as cursor:
                    while left and cursor.first() and struct.unpack(">Q", cursor.key())[0] <= upto:
                        cursor.delete()
                        left -= 1
                return not left
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"cannot be written: {error!r}") from error

    def close(self) -> None:
        self._env.close()
