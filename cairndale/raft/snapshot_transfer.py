"""InstallSnapshot in chunks (Raft 7, PhD 5): sender, receiver and the compacted tail. No I/O.

A sender has at most `WINDOW_CHUNKS` unacknowledged chunks per follower, which bounds how long a
heartbeat can queue behind them. Each reply carries the next offset wanted, so a transfer resumes
after a broken connection, a restart of either side, or a change to a leader that has the same
snapshot. The receiver yields a snapshot only when it is complete and its digest agrees."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

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

CHUNK_BYTES = 16 * 1024  # bytes of the state in one message
WINDOW_CHUNKS = 2  # parts on their way: 32 KiB, which 2 Mbit/s carry in 0.13 s, within one beat
# s without an answer after which chunks are sent again: at first, and at the most
RESEND_MIN_S, RESEND_MAX_S = 0.5, 4.0
STALL_TIMEOUT_S = 10.0  # s without progress after which a newer snapshot may take its place
TAIL_BYTES = 4 * 1024 * 1024  # bytes of entries persisted behind a snapshot ...
TAIL_BYTES_WHILE_SENDING = 16 * 1024 * 1024  # ... and while an older one is being sent
MAX_TAIL_ENTRY_BYTES = 256 * 1024  # bytes: one behind which a snapshot is the shorter way


class SnapshotTransfer:
    """A snapshot on its way to one other member. Times are seconds on the leader's clock."""

    def __init__(self, snapshot: Snapshot, now: float) -> None:
        self.snapshot, self.head = snapshot, snapshot.head
        self._next_offset = self._sent_offset = 0  # offsets
        self._last_progress_at, self._resend_after = now, RESEND_MIN_S

    @property
    def next_offset(self) -> int:
        return self._next_offset

    def is_stalled(self, now: float) -> bool:
        return now - self._last_progress_at > STALL_TIMEOUT_S

    def next_chunks(self, now: float) -> list[tuple[int, bytes]]:
        """Those to be sent now, with their offsets."""
        if (
            self._sent_offset > self._next_offset
            and now - self._last_progress_at >= self._resend_after
        ):
            self._sent_offset, self._resend_after = (
                self._next_offset,
                min(2 * self._resend_after, RESEND_MAX_S),
            )
        made = []
        while (
            self._sent_offset < self.head.size
            and self._sent_offset - self._next_offset < WINDOW_CHUNKS * CHUNK_BYTES
        ):
            if self._sent_offset == self._next_offset:
                self._last_progress_at = now
            data = self.snapshot.state[
                self._sent_offset : min(
                    self._sent_offset + CHUNK_BYTES, self._next_offset + WINDOW_CHUNKS * CHUNK_BYTES
                )
            ]
            made.append((self._sent_offset, data))
            self._sent_offset += len(data)
        return made

    def acknowledge(self, now: float, index: int, next_offset: int) -> None:
        if (
            index != self.head.index
            or not 0 <= next_offset <= self.head.size
            or next_offset == self._next_offset
        ):
            return
        # Less than before: a part was dropped there, or it is an answer that was late, and the next
        # sets it right.
        self._sent_offset = (
            max(self._sent_offset, next_offset) if next_offset > self._next_offset else next_offset
        )
        self._next_offset, self._last_progress_at, self._resend_after = (
            next_offset,
            now,
            RESEND_MIN_S,
        )


@dataclass(slots=True)
class ReceiveResult:
    next_offset: int  # offset, for the answer
    writes: list[Write] = field(default_factory=list)
    complete: Snapshot | None = None
    rejected: str = ""


class SnapshotReceiver:
    """The snapshot that is being received."""

    def __init__(self, persisted: tuple[SnapshotHead, bytes] | None = None) -> None:
        self.head: SnapshotHead | None = None
        self._data, self._term = bytearray(), 0
        if persisted:
            self.head, self._data = persisted[0], bytearray(persisted[1])
        self._digest = state_digest(persisted[1]) if persisted else None  # grows with the data
        self._is_complete = False

    def receive(self, message: InstallSnapshot) -> ReceiveResult:
        """A part from the leader of this term."""
        head, data = message.head, message.data
        if head != self.head:
            if self.head and message.term == self._term and head.index < self.head.index:
                return ReceiveResult(0)  # late, from before the leader turned to a newer one
            self.head = head
            self._restart()
        self._term = message.term
        taken = ReceiveResult(len(self._data))
        if zlib.crc32(data) != message.checksum or message.offset + len(data) > head.size:
            taken.rejected = (
                f"part at {message.offset} of the snapshot at {head.index}: not as it was sent"
            )
            return taken
        if data and message.offset == len(self._data):
            self._data += data
            self._digest = self._digest or state_digest()
            self._digest.update(data)
            taken.writes.append(SaveSnapshotChunk(head, message.offset, data, received=True))
        if len(self._data) == head.size and not self._is_complete:
            if (self._digest or state_digest()).digest() == head.digest:
                self._is_complete = True
                taken.complete = Snapshot(
                    head.index, head.term, head.members, bytes(self._data), head.digest
                )
            else:
                taken.rejected = f"the snapshot at {head.index}: the digest does not agree"
                self._restart()
        taken.next_offset = len(self._data)
        return taken

    def _restart(self) -> None:
        self._data.clear()
        self._digest, self._is_complete = None, False


class CompactedTail:
    """Delivered entries that a snapshot has taken the place of: who is a little behind is sent
    these."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._size = 0
        self._before = (0, -1)  # index and term of the entry before these

    def covers(self, index: int) -> bool:
        """The entry at this index is here, and the term of the one before it is known."""
        return bool(self._entries) and self._before[0] < index <= self._entries[-1].index

    def since(self, index: int) -> Sequence[Entry]:
        return self._entries[index - self._before[0] - 1 :]

    def term_at(self, index: int) -> int:
        """-1 where it is not known."""
        if index == self._before[0]:
            return self._before[1]
        return self._entries[index - self._before[0] - 1].term if self.covers(index) else -1

    def add(self, base: Snapshot, entries: Iterable[Entry], sending: bool) -> None:
        """Entries after this snapshot, which another takes the place of. `sending`: an older one is
        on its way to somebody, who wants what comes after it."""
        if not self._entries:
            self._before = (base.index, base.term)
        for entry in entries:
            self._entries.append(entry)
            self._size += len(entry.data)
            if len(entry.data) > MAX_TAIL_ENTRY_BYTES:
                self._drop(len(self._entries))
        most, gone, size = TAIL_BYTES_WHILE_SENDING if sending else TAIL_BYTES, 0, self._size
        while size > most:
            size -= len(self._entries[gone].data)
            gone += 1
        self._drop(gone)

    def _drop(self, count: int) -> None:
        if count:
            last = self._entries[count - 1]
            self._before = (last.index, last.term)
            self._size -= sum(len(entry.data) for entry in self._entries[:count])
            del self._entries[:count]


def choose_transfer(
    now: float, transfers: Iterable[SnapshotTransfer], base: Snapshot, tail: CompactedTail
) -> SnapshotTransfer:
    """What one that has none is sent: what is on its way to others already, if it serves, so that
    few are held in memory."""
    for other in transfers:
        if tail.covers(other.head.index + 1):
            return SnapshotTransfer(other.snapshot, now)
    return SnapshotTransfer(base, now)


def is_still_useful(
    transfer: SnapshotTransfer, now: float, base: Snapshot, tail: CompactedTail
) -> bool:
    """It is sent to its end though there is a newer one, else one that is renewed faster than it is
    sent would never arrive; but not where nothing moves and what follows it is gone."""
    followed = transfer.snapshot is base or tail.covers(transfer.head.index + 1)
    return followed or not transfer.is_stalled(now)


def chunk_messages(
    term: int, sender: Member, transfer: SnapshotTransfer, now: float, beat: bool
) -> Iterator[InstallSnapshot]:
    """The parts that are due; with `beat` at least a word."""
    sent, parts = int(now * 1e6), transfer.next_chunks(now)
    for offset, data in parts or ([(transfer.next_offset, b"")] if beat else []):
        yield InstallSnapshot(term, sender, transfer.head, offset, data, zlib.crc32(data), sent)
