"""The list on disk: a snapshot, and a log of what came after it. A version exists once its frame is
synced.

    log frame: two bytes of mark, length, CRC-32 of length and payload, payload
    payload: JSON of the lineage, the version before, and the records synced together

All records of one sync are one frame, so that whatever a crash leaves of it, no sound frame follows
a broken one. A broken frame at the end is what a crash leaves; one with a sound frame after it is
damage."""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import secrets
import struct
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from zlib import crc32

from cairndale.discovery.state import Broken, Record, State, record_from, state_from
from cairndale.durable import replace_file, sync_directory, write_all

# never within a payload, which is ASCII: where a frame begins can be found again
MARK = b"\xc5\xd1"
HEAD = struct.Struct(">2sII")
MAX_FRAME = 64 * 1024 * 1024
COMPACT = 4 * 1024 * 1024  # bytes of log that a snapshot is made after, at the least ...
COMPACT_RATIO = 4  # ... and so many times the last snapshot's


class Unusable(Exception):
    """The data folder cannot be used: what is wrong, with file and offset."""


def _frame(payload: bytes) -> bytes:
    length = len(payload)
    return HEAD.pack(MARK, length, crc32(payload, crc32(struct.pack(">I", length)))) + payload


def _read_frame(data: bytes, at: int) -> bytes | None:
    """The payload of the frame there, or None if none is whole."""
    if len(data) - at < HEAD.size:
        return None
    mark, length, sum = HEAD.unpack_from(data, at)
    payload = data[at + HEAD.size : at + HEAD.size + length] if length <= MAX_FRAME else b""
    sound = mark == MARK and len(payload) == length
    return payload if sound and crc32(payload, crc32(struct.pack(">I", length))) == sum else None


class Store:
    """One data folder, open in one process. All calls are made from one thread at a time, and may
    block."""

    def __init__(self, folder: Path, history: int = 1024) -> None:
        self._folder, self._history = folder, history
        self._snapshot, self._log, self._role = folder / "snapshot", folder / "log", folder / "role"
        self._descriptor = -1
        self._sure = True  # that the log ends where it should
        self._snapshot_size = self.log_size = 0
        self.cut = 0  # bytes of a broken last frame that were cut off at the start
        self.replayed = 0  # records that the log held
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        except OSError as error:
            raise Unusable(f"{folder}: {error.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.state = self._load()
            self.role = self._load_role()
        except BlockingIOError:
            os.close(self._lock)
            raise Unusable(f"{folder}: another process uses this data folder") from None
        except BaseException as error:
            self.close()
            if isinstance(error, OSError):
                raise Unusable(f"{error.filename or folder}: {error.strerror}") from None
            raise

    def close(self) -> None:
        for descriptor in (self._descriptor, self._lock):
            if descriptor >= 0:
                os.close(descriptor)
        self._descriptor = self._lock = -1

    # Reading.

    def _load(self) -> State:
        # a new folder: the log is made first, so that neither is ever alone
        if not self._snapshot.exists():
            if self._log.exists() and self._log.stat().st_size:
                raise Unusable(f"{self._snapshot}: missing, though there is a log")
            replace_file(self._log, b"")
            self._write_snapshot(State(secrets.token_hex(8)))
        elif not self._log.exists():
            raise Unusable(f"{self._log}: missing, though there is a snapshot")
        state = self._load_snapshot(self._snapshot.read_bytes())
        data = self._log.read_bytes()
        self._descriptor = os.open(self._log, os.O_WRONLY)
        end = self._replay(state, data)
        self.cut = len(data) - end
        if self.cut:
            os.ftruncate(self._descriptor, end)
        os.lseek(self._descriptor, end, os.SEEK_SET)
        os.fsync(self._descriptor)
        sync_directory(self._folder)
        self.log_size = end
        return state

    def _load_snapshot(self, data: bytes) -> State:
        self._snapshot_size = len(data)
        payload = _read_frame(data, 0)
        if payload is None or HEAD.size + len(payload) != len(data):
            raise Unusable(f"{self._snapshot}: damaged at offset 0")
        try:
            return state_from(json.loads(payload), self._history)
        except (Broken, ValueError) as error:
            raise Unusable(f"{self._snapshot}: {error}") from None

    def _replay(self, state: State, data: bytes) -> int:
        """Applies the log; where it ends."""
        at = 0
        while at < len(data):
            payload = _read_frame(data, at)
            if payload is None:
                if self._sound_after(data, at):
                    raise Unusable(
                        f"{self._log}: damaged at offset {at}, with sound records after it"
                    )
                return at
            try:
                lineage, before, records = json.loads(payload)
                if lineage == state.lineage:  # else it was replaced as a whole, and the log not yet
                    if before > state.index:
                        raise Broken(f"versions after {state.index} are missing")
                    for record in map(record_from, records):
                        if record.index > state.index:  # else the snapshot holds it already
                            state.apply(record)
                            self.replayed += 1
            except (Broken, ValueError, TypeError) as error:
                raise Unusable(f"{self._log}: damaged at offset {at}: {error}") from None
            at += HEAD.size + len(payload)
        return at

    @staticmethod
    def _sound_after(data: bytes, at: int) -> bool:
        while (at := data.find(MARK, at + 1)) >= 0:
            if _read_frame(data, at) is not None:
                return True
        return False

    def _load_role(self) -> dict[str, Any]:
        try:
            role = json.loads(self._role.read_bytes())
        except FileNotFoundError:
            return {}
        except ValueError:
            raise Unusable(f"{self._role}: damaged at offset 0") from None
        if not isinstance(role, dict):
            raise Unusable(f"{self._role}: damaged at offset 0")
        return role

    # Writing.

    def append(self, records: Sequence[Record], after: State) -> None:
        """Returns once they are on disk; `after` is the state with them. On OSError none of them
        counts."""
        payload = [self.state.lineage, self.state.index, [r.raw() for r in records]]
        frame = _frame(json.dumps(payload, separators=(",", ":")).encode())
        if self._sure and self.log_size > max(COMPACT, COMPACT_RATIO * self._snapshot_size):
            with contextlib.suppress(OSError):  # no room for a snapshot: the log may have some yet
                self.compact(self.state)
        if not self._sure:
            self.compact(self.state)
        try:
            write_all(self._descriptor, frame)
            os.fsync(self._descriptor)
        except OSError:
            # What a failed sync leaves on disk is unknown: the next write begins with a new log.
            self._sure = False
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, self.log_size)
                os.lseek(self._descriptor, self.log_size, os.SEEK_SET)
            raise
        self.log_size += len(frame)
        self.state = after

    def reset(self, state: State) -> None:
        """Another list in place of this one: a follower's, as its leader has told it."""
        self.compact(state)

    def compact(self, state: State) -> None:
        """The whole list as the snapshot, then an empty log. Between the two, the log holds what is
        old."""
        self._write_snapshot(state)
        self.state = state
        self._sure = False  # until the log that is written to is the one that will be read
        replace_file(self._log, b"")
        descriptor = os.open(self._log, os.O_WRONLY)
        os.close(self._descriptor)
        self._descriptor, self.log_size, self._sure = descriptor, 0, True

    def _write_snapshot(self, state: State) -> None:
        data = _frame(json.dumps(state.dump(), separators=(",", ":")).encode())
        replace_file(self._snapshot, data)
        self._snapshot_size = len(data)

    def keep_role(self, **role: Any) -> None:
        """What this process is, for when it starts again."""
        replace_file(self._role, json.dumps(role).encode())
        self.role = role
