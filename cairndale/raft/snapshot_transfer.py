"""InstallSnapshot in chunks (Raft 7, PhD 5): sender, receiver and the compacted tail. No I/O.

A sender has at most `WINDOW_CHUNKS` unacknowledged chunks per follower, which bounds how long a
heartbeat can be queued behind them. Each reply carries the next offset that the receiver needs, so
a transfer resumes after a broken connection, a restart of either side, or a change to a leader that
has the same snapshot. The receiver returns a snapshot only when it is complete and its digest
matches."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from cairndale.raft.messages import (
    Entry,
    InstallSnapshot,
    Member,
    SaveSnapshotChunk,
    Snapshot,
    SnapshotHead,
    Write,
    state_digest,
)

CHUNK_BYTES = 16 * 1024  # maximum bytes of the state in one message
# Maximum unacknowledged chunks: 32 KiB take 0.13 s at 2 Mbit/s, less than a heartbeat interval.
WINDOW_CHUNKS = 2
# Time without a reply after which chunks are resent: initial and maximum back-off.
RESEND_MIN_S, RESEND_MAX_S = 0.5, 4.0
STALL_TIMEOUT_S = 10.0  # without progress for this long, a newer snapshot may be sent instead
# Maximum bytes of the entries that are kept after compaction.
TAIL_BYTES = 4 * 1024 * 1024
# The same limit while an older snapshot is being sent: its receiver needs the entries after it.
TAIL_BYTES_WHILE_SENDING = 16 * 1024 * 1024
# Larger entries are not kept; sending a snapshot is cheaper than sending them.
MAX_TAIL_ENTRY_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a state that is due to be sent."""

    offset: int  # bytes
    data: bytes


class SnapshotTransfer:
    """A snapshot that is being sent to one member. Times are in seconds, leader's clock."""

    def __init__(self, snapshot: Snapshot, now: float) -> None:
        self.snapshot = snapshot
        self.head = snapshot.head
        self._next_offset = 0  # acknowledged up to here
        self._sent_offset = 0  # sent up to here
        self._last_progress_at = now
        self._resend_after = RESEND_MIN_S

    @property
    def next_offset(self) -> int:
        """All bytes of the state before this offset are acknowledged."""
        return self._next_offset

    def is_stalled(self, now: float) -> bool:
        """Nothing was acknowledged for `STALL_TIMEOUT_S`."""
        return now - self._last_progress_at > STALL_TIMEOUT_S

    def next_chunks(self, now: float) -> list[Chunk]:
        """The chunks to send now, within the window; includes those whose reply is overdue."""
        has_unacknowledged = self._sent_offset > self._next_offset
        if has_unacknowledged and now - self._last_progress_at >= self._resend_after:
            self._sent_offset = self._next_offset
            self._resend_after = min(2 * self._resend_after, RESEND_MAX_S)
        window_end = self._next_offset + WINDOW_CHUNKS * CHUNK_BYTES
        chunks = []
        while self._sent_offset < min(self.head.size, window_end):
            if self._sent_offset == self._next_offset:
                self._last_progress_at = now
            end = min(self._sent_offset + CHUNK_BYTES, window_end)
            data = self.snapshot.state[self._sent_offset : end]
            chunks.append(Chunk(self._sent_offset, data))
            self._sent_offset += len(data)
        return chunks

    def acknowledge(self, now: float, snapshot_index: int, next_offset: int) -> None:
        """Handles a reply; ignores one for another snapshot or with an offset past its end."""
        is_valid = snapshot_index == self.head.index and 0 <= next_offset <= self.head.size
        if not is_valid or next_offset == self._next_offset:
            return
        if next_offset > self._next_offset:
            self._sent_offset = max(self._sent_offset, next_offset)
        else:
            # The receiver dropped a chunk, or the reply is outdated and the next one corrects it.
            self._sent_offset = next_offset
        self._next_offset = next_offset
        self._last_progress_at = now
        self._resend_after = RESEND_MIN_S


@dataclass(slots=True)
class ReceiveResult:
    """Outcome of receiving a chunk."""

    next_offset: int  # bytes, for the reply
    writes: list[Write] = field(default_factory=list)
    complete: Snapshot | None = None  # set once, when all data are there and the digest matches
    rejected: str = ""  # why the chunk or the snapshot was rejected


class SnapshotReceiver:
    """Assembles the snapshot that is being received.

    `persisted` is the part of a snapshot that was on disk at the start, if any."""

    def __init__(self, persisted: tuple[SnapshotHead, bytes] | None = None) -> None:
        self.head: SnapshotHead | None = None
        self._data = bytearray()
        self._digest: blake2b | None = None  # of the data so far
        self._term = 0
        self._is_complete = False
        if persisted:
            self.head, data = persisted
            self._data += data
            self._digest = state_digest(data)

    def receive(self, message: InstallSnapshot) -> ReceiveResult:
        """Handles a chunk from the leader of the current term."""
        head = message.head
        if head != self.head:
            if self.head and message.term == self._term and head.index < self.head.index:
                # Delayed: the leader has moved on to a newer snapshot since.
                return ReceiveResult(0)
            self.head = head
            self._restart()
        self._term = message.term
        result = ReceiveResult(len(self._data))
        is_beyond_end = message.offset + len(message.data) > head.size
        if is_beyond_end or zlib.crc32(message.data) != message.checksum:
            result.rejected = (
                f"chunk at {message.offset} of the snapshot at {head.index}: bad size or checksum"
            )
            return result
        if message.data and message.offset == len(self._data):
            self._append(message, result)
        if len(self._data) == head.size and not self._is_complete:
            self._finish(head, result)
        result.next_offset = len(self._data)
        return result

    def _append(self, message: InstallSnapshot, result: ReceiveResult) -> None:
        self._data += message.data
        self._digest = self._digest or state_digest()
        self._digest.update(message.data)
        write = SaveSnapshotChunk(message.head, message.offset, message.data, received=True)
        result.writes.append(write)

    def _finish(self, head: SnapshotHead, result: ReceiveResult) -> None:
        digest = self._digest or state_digest()
        if digest.digest() == head.digest:
            self._is_complete = True
            state = bytes(self._data)
            result.complete = Snapshot(head.index, head.term, head.members, state, head.digest)
        else:
            result.rejected = f"snapshot at {head.index}: digest mismatch"
            self._restart()

    def _restart(self) -> None:
        self._data.clear()
        self._digest = None
        self._is_complete = False


class CompactedTail:
    """Committed entries before the snapshot, for followers that are only slightly behind."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._size = 0  # bytes of data
        # Index and term of the entry before the first one; term -1 if unknown.
        self._previous_index = 0
        self._previous_term = -1

    def covers(self, index: int) -> bool:
        """The tail has the entry at this index and knows the term of the entry before it."""
        return bool(self._entries) and self._previous_index < index <= self._entries[-1].index

    def since(self, index: int) -> Sequence[Entry]:
        """The entries from a covered index on."""
        return self._entries[index - self._previous_index - 1 :]

    def term_at(self, index: int) -> int:
        """Term of the entry at this index; -1 if it is unknown."""
        if index == self._previous_index:
            return self._previous_term
        if not self.covers(index):
            return -1
        return self._entries[index - self._previous_index - 1].term

    def add(self, base: Snapshot, entries: Iterable[Entry], is_sending: bool) -> None:
        """Adds the entries between snapshot `base` and the one that replaces it.

        While an older snapshot is being sent, more entries are kept, since its receiver needs the
        entries after it."""
        if not self._entries:
            self._previous_index, self._previous_term = base.index, base.term
        for entry in entries:
            self._entries.append(entry)
            self._size += len(entry.data)
            if len(entry.data) > MAX_TAIL_ENTRY_BYTES:
                self._drop(len(self._entries))
        limit = TAIL_BYTES_WHILE_SENDING if is_sending else TAIL_BYTES
        count, size = 0, self._size
        while size > limit:
            size -= len(self._entries[count].data)
            count += 1
        self._drop(count)

    def _drop(self, count: int) -> None:
        if not count:
            return
        last = self._entries[count - 1]
        self._previous_index, self._previous_term = last.index, last.term
        self._size -= sum(len(entry.data) for entry in self._entries[:count])
        del self._entries[:count]


def choose_transfer(
    now: float, transfers: Iterable[SnapshotTransfer], base: Snapshot, tail: CompactedTail
) -> SnapshotTransfer:
    """Starts a transfer, preferably of a snapshot that is already being sent to another member.

    This requires that the tail has the entries after that snapshot. It keeps the number of
    snapshots in memory low."""
    for other in transfers:
        if tail.covers(other.head.index + 1):
            return SnapshotTransfer(other.snapshot, now)
    return SnapshotTransfer(base, now)


def is_still_useful(
    transfer: SnapshotTransfer, now: float, base: Snapshot, tail: CompactedTail
) -> bool:
    """False if the transfer stalled and its snapshot is neither current nor continued by the tail.

    Any other transfer is completed even if there is a newer snapshot: if snapshots are created
    faster than they can be sent, none would ever arrive otherwise."""
    is_continued = transfer.snapshot is base or tail.covers(transfer.head.index + 1)
    return is_continued or not transfer.is_stalled(now)


def chunk_messages(
    term: int, sender: Member, transfer: SnapshotTransfer, now: float, with_heartbeat: bool
) -> Iterator[InstallSnapshot]:
    """Messages for the chunks that are due; with `with_heartbeat`, an empty one if none is due."""
    chunks = transfer.next_chunks(now)
    if not chunks and with_heartbeat:
        chunks = [Chunk(transfer.next_offset, b"")]
    for chunk in chunks:
        yield InstallSnapshot(
            term,
            sender,
            transfer.head,
            offset=chunk.offset,
            data=chunk.data,
            checksum=zlib.crc32(chunk.data),
            sent_at_us=int(now * 1e6),
        )
