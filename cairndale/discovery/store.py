"""The state on disk: a snapshot, and a write-ahead log of the records after it. A version is
committed once its frame is synced.

    log frame: two magic bytes, length, CRC-32 of length and payload, payload
    payload: JSON of the lineage, the previous version, and the records synced together

All records of one sync are in one frame, so a crash never leaves a valid frame after an incomplete
one. An incomplete frame at the end is the result of a crash and is truncated; an invalid frame with
a valid one after it is corruption."""

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

from cairndale.discovery.state import InvalidDataError, Record, State, decode_record, decode_state
from cairndale.durable import replace_file, sync_directory, write_all

# Payloads are ASCII and never contain these bytes, so the start of a frame can be found by search.
MAGIC = b"\xc5\xd1"
FRAME_HEADER = struct.Struct(">2sII")
MAX_FRAME_BYTES = 64 * 1024 * 1024
COMPACT_MIN_BYTES = 4 * 1024 * 1024  # The log is compacted once it is larger than this ...
COMPACT_RATIO = 4  # ... and than the last snapshot times this.


class DataFolderError(Exception):
    """The data folder cannot be used; the message names the file and the offset."""


def _frame(payload: bytes) -> bytes:
    length = len(payload)
    return (
        FRAME_HEADER.pack(MAGIC, length, crc32(payload, crc32(struct.pack(">I", length)))) + payload
    )


def _read_frame(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the frame at that offset, or None if it is not valid."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    magic, length, checksum = FRAME_HEADER.unpack_from(data, offset)
    payload = (
        data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
        if length <= MAX_FRAME_BYTES
        else b""
    )
    valid = magic == MAGIC and len(payload) == length
    return (
        payload if valid and crc32(payload, crc32(struct.pack(">I", length))) == checksum else None
    )


class Store:
    """The data folder of one process, which locks it. Methods may block, and must not be called
    from two threads at once."""

    def __init__(self, folder: Path, history_limit: int = 1024) -> None:
        self._folder, self._history_limit = folder, history_limit
        self._snapshot_path, self._log_path, self._role_path = (
            folder / "snapshot",
            folder / "log",
            folder / "role",
        )
        self._log_descriptor = -1
        self._log_end_known = True  # False: the log may hold data of a failed write
        self._snapshot_size = self.log_size = 0
        self.truncated_bytes = 0  # bytes of an incomplete last frame, truncated at the start
        self.replayed = 0  # records applied from the log at the start
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock_descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        except OSError as error:
            raise DataFolderError(f"{folder}: {error.strerror}") from None
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.state = self._load()
            self.role = self._load_role()
        except BlockingIOError:
            os.close(self._lock_descriptor)
            raise DataFolderError(f"{folder}: another process uses this data folder") from None
        except BaseException as error:
            self.close()
            if isinstance(error, OSError):
                raise DataFolderError(f"{error.filename or folder}: {error.strerror}") from None
            raise

    def close(self) -> None:
        """Closes the log and releases the lock on the folder."""
        for descriptor in (self._log_descriptor, self._lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self._log_descriptor = self._lock_descriptor = -1

    # Reading.

    def _load(self) -> State:
        # In a new folder the log is created before the snapshot, so a snapshot always has a log.
        if not self._snapshot_path.exists():
            if self._log_path.exists() and self._log_path.stat().st_size:
                raise DataFolderError(f"{self._snapshot_path}: missing, but there is a log")
            replace_file(self._log_path, b"")
            self._write_snapshot(State(secrets.token_hex(8)))
        elif not self._log_path.exists():
            raise DataFolderError(f"{self._log_path}: missing, but there is a snapshot")
        state = self._load_snapshot(self._snapshot_path.read_bytes())
        data = self._log_path.read_bytes()
        self._log_descriptor = os.open(self._log_path, os.O_WRONLY)
        end = self._replay(state, data)
        self.truncated_bytes = len(data) - end
        if self.truncated_bytes:
            os.ftruncate(self._log_descriptor, end)
        os.lseek(self._log_descriptor, end, os.SEEK_SET)
        os.fsync(self._log_descriptor)
        sync_directory(self._folder)
        self.log_size = end
        return state

    def _load_snapshot(self, data: bytes) -> State:
        self._snapshot_size = len(data)
        payload = _read_frame(data, 0)
        if payload is None or FRAME_HEADER.size + len(payload) != len(data):
            raise DataFolderError(f"{self._snapshot_path}: damaged at offset 0")
        try:
            return decode_state(json.loads(payload), self._history_limit)
        except (InvalidDataError, ValueError) as error:
            raise DataFolderError(f"{self._snapshot_path}: {error}") from None

    def _replay(self, state: State, data: bytes) -> int:
        """Applies the log's records; returns the offset where its valid frames end."""
        offset = 0
        while offset < len(data):
            payload = _read_frame(data, offset)
            if payload is None:
                if self._has_valid_frame_after(data, offset):
                    raise DataFolderError(
                        f"{self._log_path}: damaged at offset {offset}, with valid records after it"
                    )
                return offset
            try:
                lineage, previous_index, records = json.loads(payload)
                if lineage == state.lineage:  # else the log predates a `reset`
                    if previous_index > state.index:
                        raise InvalidDataError(f"versions after {state.index} are missing")
                    for record in map(decode_record, records):
                        if record.index > state.index:  # else it is in the snapshot
                            state.apply(record)
                            self.replayed += 1
            except (InvalidDataError, ValueError, TypeError) as error:
                raise DataFolderError(
                    f"{self._log_path}: damaged at offset {offset}: {error}"
                ) from None
            offset += FRAME_HEADER.size + len(payload)
        return offset

    @staticmethod
    def _has_valid_frame_after(data: bytes, offset: int) -> bool:
        while (offset := data.find(MAGIC, offset + 1)) >= 0:
            if _read_frame(data, offset) is not None:
                return True
        return False

    def _load_role(self) -> dict[str, Any]:
        try:
            role = json.loads(self._role_path.read_bytes())
        except FileNotFoundError:
            return {}
        except ValueError:
            raise DataFolderError(f"{self._role_path}: damaged at offset 0") from None
        if not isinstance(role, dict):
            raise DataFolderError(f"{self._role_path}: damaged at offset 0")
        return role

    # Writing.

    def append(self, records: Sequence[Record], new_state: State) -> None:
        """Returns once the records are synced; `new_state` includes them. On OSError none of them
        is committed."""
        payload = [self.state.lineage, self.state.index, [r.to_dict() for r in records]]
        frame = _frame(json.dumps(payload, separators=(",", ":")).encode())
        if self._log_end_known and self.log_size > max(
            COMPACT_MIN_BYTES, COMPACT_RATIO * self._snapshot_size
        ):
            with contextlib.suppress(OSError):  # no space for a snapshot: the log may still fit
                self.compact(self.state)
        if not self._log_end_known:
            self.compact(self.state)
        try:
            write_all(self._log_descriptor, frame)
            os.fsync(self._log_descriptor)
        except OSError:
            # What a failed sync leaves on disk is unknown, so the next write starts a new log.
            self._log_end_known = False
            with contextlib.suppress(OSError):
                os.ftruncate(self._log_descriptor, self.log_size)
                os.lseek(self._log_descriptor, self.log_size, os.SEEK_SET)
            raise
        self.log_size += len(frame)
        self.state = new_state

    def reset(self, state: State) -> None:
        """Replaces the state: a follower received a full state from its leader."""
        self.compact(state)

    def compact(self, state: State) -> None:
        """Writes a snapshot, then an empty log.

        A crash between the two leaves a log that replay ignores: its records are in the snapshot
        already, or of another lineage."""
        self._write_snapshot(state)
        self.state = state
        self._log_end_known = False  # until the open log is the new one
        replace_file(self._log_path, b"")
        descriptor = os.open(self._log_path, os.O_WRONLY)
        os.close(self._log_descriptor)
        self._log_descriptor, self.log_size, self._log_end_known = descriptor, 0, True

    def _write_snapshot(self, state: State) -> None:
        data = _frame(json.dumps(state.dump(), separators=(",", ":")).encode())
        replace_file(self._snapshot_path, data)
        self._snapshot_size = len(data)

    def save_role(self, **role: Any) -> None:
        """Stores the process's role for its next start."""
        replace_file(self._role_path, json.dumps(role).encode())
        self.role = role
