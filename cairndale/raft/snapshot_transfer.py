"""Install snapshot: a snapshot cut in parts and sent by the leader, put together by a follower.
Pure.

At most `WINDOW` parts are on their way, so that a beat is never behind more than these; what is
wanted next comes with each answer, so that sending goes on where it was after a cut, a change of
the leader to one that has the same snapshot, or a restart of either side. Only a whole snapshot
whose digest agrees is handed on."""

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

PART = 16 * 1024  # bytes of the state in one message
WINDOW = 2  # parts on their way: 32 KiB, which 2 Mbit/s carry in 0.13 s, within one beat
AGAIN = (0.5, 4.0)  # s without an answer after which parts are sent again: at first, at the most
STALLED = 10.0  # s without progress after which a newer snapshot may take its place
TAIL = 4 * 1024 * 1024  # bytes of entries kept behind a snapshot ...
TAIL_SENDING = 16 * 1024 * 1024  # ... and while an older one is being sent
TAIL_ENTRY = 256 * 1024  # bytes: one behind which a snapshot is the shorter way


class SnapshotTransfer:
    """A snapshot on its way to one other member. Times are seconds on the leader's clock."""

    def __init__(self, snapshot: Snapshot, now: float) -> None:
        self.snapshot, self.head = snapshot, snapshot.head
        self._wanted = self._sent = 0  # offsets
        self._at, self._wait = now, AGAIN[0]

    @property
    def wanted(self) -> int:
        return self._wanted

    def is_stalled(self, now: float) -> bool:
        return now - self._at > STALLED

    def parts(self, now: float) -> list[tuple[int, bytes]]:
        """Those to be sent now, with their offsets."""
        if self._sent > self._wanted and now - self._at >= self._wait:
            self._sent, self._wait = self._wanted, min(2 * self._wait, AGAIN[1])
        made = []
        while self._sent < self.head.size and self._sent - self._wanted < WINDOW * PART:
            if self._sent == self._wanted:
                self._at = now
            data = self.snapshot.state[
                self._sent : min(self._sent + PART, self._wanted + WINDOW * PART)
            ]
            made.append((self._sent, data))
            self._sent += len(data)
        return made

    def replied(self, now: float, index: int, wanted: int) -> None:
        if index != self.head.index or not 0 <= wanted <= self.head.size or wanted == self._wanted:
            return
        # Less than before: a part was dropped there, or it is an answer that was late, and the next
        # sets it right.
        self._sent = max(self._sent, wanted) if wanted > self._wanted else wanted
        self._wanted, self._at, self._wait = wanted, now, AGAIN[0]


@dataclass(slots=True)
class ReceiveResult:
    wanted: int  # offset, for the answer
    writes: list[Write] = field(default_factory=list)
    whole: Snapshot | None = None
    dropped: str = ""


class SnapshotReceiver:
    """The snapshot that is being received."""

    def __init__(self, kept: tuple[SnapshotHead, bytes] | None = None) -> None:
        self.head: SnapshotHead | None = None
        self._data, self._term = bytearray(), 0
        if kept:
            self.head, self._data = kept[0], bytearray(kept[1])
        self._digest = state_digest(kept[1]) if kept else None  # grows with the data
        self._handed_on = False

    def take(self, message: InstallSnapshot) -> ReceiveResult:
        """A part from the leader of this term."""
        head, data = message.head, message.data
        if head != self.head:
            if self.head and message.term == self._term and head.index < self.head.index:
                return ReceiveResult(0)  # late, from before the leader turned to a newer one
            self.head = head
            self._begin()
        self._term = message.term
        taken = ReceiveResult(len(self._data))
        if zlib.crc32(data) != message.checksum or message.offset + len(data) > head.size:
            taken.dropped = (
                f"part at {message.offset} of the snapshot at {head.index}: not as it was sent"
            )
            return taken
        if data and message.offset == len(self._data):
            self._data += data
            self._digest = self._digest or state_digest()
            self._digest.update(data)
            taken.writes.append(SaveSnapshotChunk(head, message.offset, data, received=True))
        if len(self._data) == head.size and not self._handed_on:
            if (self._digest or state_digest()).digest() == head.digest:
                self._handed_on = True
                taken.whole = Snapshot(
                    head.index, head.term, head.members, bytes(self._data), head.digest
                )
            else:
                taken.dropped = f"the snapshot at {head.index}: the digest does not agree"
                self._begin()
        taken.wanted = len(self._data)
        return taken

    def _begin(self) -> None:
        self._data.clear()
        self._digest, self._handed_on = None, False


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
            if len(entry.data) > TAIL_ENTRY:
                self._drop(len(self._entries))
        most, gone, size = TAIL_SENDING if sending else TAIL, 0, self._size
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


def offer(
    now: float, transfers: Iterable[SnapshotTransfer], base: Snapshot, tail: CompactedTail
) -> SnapshotTransfer:
    """What one that has none is sent: what is on its way to others already, if it serves, so that
    few are held in memory."""
    for other in transfers:
        if tail.covers(other.head.index + 1):
            return SnapshotTransfer(other.snapshot, now)
    return SnapshotTransfer(base, now)


def still_serves(
    transfer: SnapshotTransfer, now: float, base: Snapshot, tail: CompactedTail
) -> bool:
    """It is sent to its end though there is a newer one, else one that is renewed faster than it is
    sent would never arrive; but not where nothing moves and what follows it is gone."""
    followed = transfer.snapshot is base or tail.covers(transfer.head.index + 1)
    return followed or not transfer.is_stalled(now)


def messages(
    term: int, sender: Member, transfer: SnapshotTransfer, now: float, beat: bool
) -> Iterator[InstallSnapshot]:
    """The parts that are due; with `beat` at least a word."""
    sent, parts = int(now * 1e6), transfer.parts(now)
    for offset, data in parts or ([(transfer.wanted, b"")] if beat else []):
        yield InstallSnapshot(term, sender, transfer.head, offset, data, zlib.crc32(data), sent)
