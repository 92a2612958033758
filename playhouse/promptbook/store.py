"""What a member of the core keeps on disk, in lmdb: its disk's name, its promise, snapshot and entries."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

import lmdb
from google.protobuf.message import DecodeError

from playhouse.promptbook import codec
from playhouse.promptbook.messages import (
    HardState,
    KeepEntries,
    KeepSnapshot,
    Kept,
    Write,
)

ROOM = 128 * 1024 * 1024  # bytes the map may grow to: the disk has twice that
FORMAT = b"1"


class StoreError(Exception):
    """The disk's state is there and cannot be read: it is not to be taken for an empty one."""


class Store:
    def __init__(self, folder: Path, look: bool = False) -> None:
        """`look`: nothing is changed, and nothing made where there is nothing. Raises StoreError."""
        if not look:
            folder.mkdir(parents=True, exist_ok=True)
        try:
            path = str(folder / "promptbook")
            self._env = lmdb.open(path, map_size=ROOM, max_dbs=2, lock=False, readonly=look, create=not look)
            self._meta = self._env.open_db(b"meta", create=not look)
            self._entries = self._env.open_db(b"entries", create=not look)
        except lmdb.Error as error:
            raise StoreError(str(error)) from error

    def disk(self) -> str:
        """The name that it was given; nothing on an empty one."""
        with self._env.begin(self._meta) as look:
            if (found := look.get(b"format")) not in (None, FORMAT):
                raise StoreError(f"format {found!r}, where {FORMAT!r} is known")
            return (look.get(b"disk") or b"").decode()

    def begin(self, disk: str, kept: Kept) -> None:
        """Names an empty disk."""
        with self._env.begin(write=True) as change:
            change.put(b"format", FORMAT, db=self._meta)
            change.put(b"disk", disk.encode(), db=self._meta)
            change.put(b"promise", struct.pack(">Q", kept.term) + kept.voted_for.encode(), db=self._meta)
            change.put(b"snapshot", codec.snapshot_out(kept.snapshot), db=self._meta)

    def system(self) -> str:
        """The name of the system that it belongs to; nothing until that is known."""
        with self._env.begin(self._meta) as look:
            return (look.get(b"system") or b"").decode()

    def name_system(self, name: str) -> None:
        with self._env.begin(write=True) as change:
            change.put(b"system", name.encode(), db=self._meta)

    def load(self) -> Kept:
        """Raises StoreError."""
        try:
            return self._load()
        except (lmdb.Error, DecodeError, struct.error, UnicodeDecodeError, zlib.error) as error:
            raise StoreError(f"cannot be read: {error!r}") from error

    def _load(self) -> Kept:
        with self._env.begin() as look:
            promise = look.get(b"promise", db=self._meta)
            snapshot = look.get(b"snapshot", db=self._meta)
            if promise is None or snapshot is None:
                raise StoreError("a named disk without promise or snapshot")
            kept = Kept(
                struct.unpack(">Q", promise[:8])[0], promise[8:].decode(), codec.snapshot_in(snapshot)
            )
            with look.cursor(self._entries) as cursor:
                for key, value in cursor:
                    entry = codec.entry_in(value)
                    if entry.index <= kept.snapshot.index:
                        continue
                    due = kept.snapshot.index + len(kept.entries) + 1
                    if entry.index != due or struct.unpack(">Q", key)[0] != due:
                        raise StoreError(f"entry {entry.index} stands where another is due")
                    kept.entries.append(entry)
        return kept

    def write(self, writes: Iterable[Write]) -> None:
        """All of them at once; synced when this returns."""
        with self._env.begin(write=True) as change:
            for write in writes:
                match write:
                    case HardState(term, voted_for):
                        change.put(b"promise", struct.pack(">Q", term) + voted_for.encode(), db=self._meta)
                    case KeepEntries(first, entries):
                        with change.cursor(self._entries) as cursor:
                            while cursor.set_range(struct.pack(">Q", first)):
                                cursor.delete()
                        for entry in entries:
                            key = struct.pack(">Q", entry.index)
                            change.put(key, codec.entry_out(entry), db=self._entries)
                    case KeepSnapshot(snapshot, alone):
                        change.put(b"snapshot", codec.snapshot_out(snapshot), db=self._meta)
                        upto = struct.pack(">Q", snapshot.index)
                        with change.cursor(self._entries) as cursor:
                            while cursor.first() and (alone or cursor.key() <= upto):
                                cursor.delete()

    def close(self) -> None:
        self._env.close()
