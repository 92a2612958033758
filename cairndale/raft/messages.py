"""Raft's messages, the persistent state of a member, and the output of the state machine.

These are plain values; `codec.py` encodes them for the wire and the disk. Log indexes start at 1.
Clock readings in messages are in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """A member of the cluster, identified by its address and its disk.

    A new disk at the same address is another member. Location and role are not compared."""

    address: str  # host:port
    disk_id: str  # drawn at random when the disk is initialized
    zone: str = field(default="", compare=False)  # empty: not reported yet
    region: str = field(default="", compare=False)
    # A learner receives the log but is not counted in any majority (PhD 4.2.1).
    learner: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry: a command, a configuration, or the first entry of a term."""

    index: int
    term: int
    data: bytes = b""
    members: tuple[Member, ...] = ()  # the new configuration; empty: not a configuration entry
    is_term_start: bool = False  # the leader's first entry of its term; has no data


@dataclass(frozen=True, slots=True)
class SnapshotHead:
    """Identifies a snapshot. Snapshots made at the same entry have equal heads."""

    index: int  # of the last entry that the snapshot covers
    term: int  # of that entry
    members: tuple[Member, ...]
    size: int  # bytes of the state
    digest: bytes  # of the state


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after the entry at `index`, and the configuration at that entry."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""
    digest: bytes = field(default=b"", compare=False)  # of the state; empty: not computed yet

    @property
    def head(self) -> SnapshotHead:
        """The snapshot's head; computes the digest unless it is known."""
        digest = self.digest or state_digest(self.state).digest()
        return SnapshotHead(self.index, self.term, self.members, len(self.state), digest)


def state_digest(state: bytes = b"") -> blake2b:
    """A hash over `state`; the caller may update it with the rest of the state."""
    return blake2b(state, digest_size=16)


@dataclass(slots=True)
class PersistedState:
    """The durable state of a member."""

    term: int = 0
    voted_for: str = ""  # disk id of the member voted for, or followed, in that term
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)  # after the snapshot
    # The first chunks of a snapshot that is being received.
    partial_snapshot: tuple[SnapshotHead, bytes] | None = None


# Messages. `term` is the sender's current term, except in pre-votes.


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Asks for a vote (Raft 5.2).

    With `pre_vote` it asks whether the receiver would vote for the sender in `term` (PhD 9.6); the
    reply commits the receiver to nothing."""

    term: int
    sender: Member
    pre_vote: bool
    last_log_index: int
    last_log_term: int
    transfer: bool = False  # the previous leader requested this and has released its lease


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to `RequestVote`. A granted pre-vote carries the requested term."""

    term: int
    sender: Member
    pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Raft 5.3. Without entries it is a heartbeat."""

    term: int
    sender: Member
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_us: int  # the leader's clock; returned in the reply


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to `AppendEntries`, or to `InstallSnapshot` if the snapshot is not needed."""

    term: int
    sender: Member
    success: bool
    match_index: int  # all entries up to it are on disk; on failure, the highest index to retry at
    sent_at_us: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A chunk of a snapshot (Raft 7). Without data it is a heartbeat to the receiver."""

    term: int
    sender: Member
    head: SnapshotHead
    offset: int  # position of `data` in the state, bytes
    data: bytes
    checksum: int  # CRC-32 of the data
    sent_at_us: int  # the leader's clock; returned in the reply


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Reply to `InstallSnapshot`."""

    term: int
    sender: Member
    snapshot_index: int
    next_offset: int  # bytes; all bytes before it are on disk
    sent_at_us: int


@dataclass(frozen=True, slots=True)
class Join:
    """Asks to be added as a learner, and reports the sender's location."""

    term: int
    sender: Member


@dataclass(frozen=True, slots=True)
class Leave:
    """Asks to be removed because the sender is shutting down."""

    term: int
    sender: Member


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Leadership transfer (PhD 3.10): the receiver campaigns at once."""

    term: int
    sender: Member


Message = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | Join
    | Leave
    | TimeoutNow
)


# Writes to disk.


@dataclass(frozen=True, slots=True)
class HardState:
    """Replaces the stored term and vote."""

    term: int
    voted_for: str  # disk id


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Replaces all entries from `first_index` on."""

    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshotChunk:
    """A chunk of a snapshot that is not active yet. Offset 0 starts the snapshot over."""

    head: SnapshotHead
    offset: int  # bytes
    data: bytes
    received: bool  # True: from the leader; False: created by this member


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Makes a snapshot the active one; it replaces the entries up to its index.

    With `replaces_log` it replaces all entries, because the log conflicts with it."""

    snapshot: Snapshot
    replaces_log: bool


Write = HardState | SaveEntries | SaveSnapshotChunk | SaveSnapshot


@dataclass(slots=True)
class Ready:
    """The work for the caller after an input, to be done in the order of the fields.

    `writes` must be synced to disk before anything is sent or applied."""

    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)  # with the receiver's address
    received_snapshot: Snapshot | None = None  # complete: decode it, then call `install_snapshot`
    restored_snapshot: Snapshot | None = None  # replaces the state, before entries are applied
    rejected_chunk: str = ""  # why a chunk or a complete snapshot was rejected; to be logged
    corrupt_entry: str = ""  # which entry failed its checksum; the leader resends it; to be logged
    committed_entries: list[Entry] = field(default_factory=list)  # to be applied
