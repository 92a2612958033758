"""Raft's messages, what a member persists, and the output of the state machine.

These are plain values: `codec.py` has their form on the wire and on disk. Indexes count log entries
from 1; clock readings in messages are microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """An address with a disk. Another disk makes another member; location and role do not."""

    address: str  # host:port
    disk_id: str  # drawn at random when the disk is initialized
    zone: str = field(default="", compare=False)  # empty: not reported yet
    region: str = field(default="", compare=False)
    # A learner is sent the log and counts in no majority (PhD 4.2.1).
    learner: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry: a command, a configuration, or the first entry of a term."""

    index: int
    term: int
    data: bytes = b""
    members: tuple[Member, ...] = ()  # if any: the configuration from this entry on
    is_term_start: bool = False  # the leader's first in its term; without data


@dataclass(frozen=True, slots=True)
class SnapshotHead:
    """Identifies a snapshot: two that were made at the same entry are the same."""

    index: int  # of the last entry that it covers
    term: int  # of that entry
    members: tuple[Member, ...]
    size: int  # bytes of the state
    digest: bytes  # of the state


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after the entry at `index`, with the configuration then."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""
    digest: bytes = field(default=b"", compare=False)  # of the state, if it is known already

    @property
    def head(self) -> SnapshotHead:
        """Computes the digest, unless it is known."""
        digest = self.digest or state_digest(self.state).digest()
        return SnapshotHead(self.index, self.term, self.members, len(self.state), digest)


def state_digest(state: bytes = b"") -> blake2b:
    """The digest that identifies a state, to be updated with what follows."""
    return blake2b(state, digest_size=16)


@dataclass(slots=True)
class PersistedState:
    """What a member's disk holds."""

    term: int = 0
    voted_for: str = ""  # disk id of the member voted for, or followed, in that term
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)  # after the snapshot
    # The first chunks of a snapshot that is being received.
    partial_snapshot: tuple[SnapshotHead, bytes] | None = None


# Messages. `term` is the sender's, but for pre-votes.


@dataclass(frozen=True, slots=True)
class RequestVote:
    """Raft 5.2; with `pre_vote` PhD 9.6: who would vote in this term? It binds nobody."""

    term: int
    sender: Member
    pre_vote: bool
    last_log_index: int
    last_log_term: int
    transfer: bool = False  # asked for by the previous leader, which has released its lease


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply to `RequestVote`; a granted pre-vote carries the term that was asked for."""

    term: int
    sender: Member
    pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Raft 5.3; without entries a heartbeat."""

    term: int
    sender: Member
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_us: int  # the leader's clock; returned in the reply


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to `AppendEntries`, and to a snapshot that is not needed."""

    term: int
    sender: Member
    success: bool
    match_index: int  # all entries up to it are on disk; without success, where to retry at most
    sent_at_us: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A chunk of a snapshot (Raft 7); without data a heartbeat to its receiver."""

    term: int
    sender: Member
    head: SnapshotHead
    offset: int  # of the data in the state, bytes
    data: bytes
    checksum: int  # CRC-32 of the data
    sent_at_us: int  # the leader's clock; returned in the reply


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Reply to `InstallSnapshot`."""

    term: int
    sender: Member
    snapshot_index: int
    next_offset: int  # bytes; all before it are on disk
    sent_at_us: int


@dataclass(frozen=True, slots=True)
class Join:
    """Asks to be added as a learner, and reports the sender's location."""

    term: int
    sender: Member


@dataclass(frozen=True, slots=True)
class Leave:
    """Asks to be removed, since the sender is shutting down."""

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
    """Replaces term and vote."""

    term: int
    voted_for: str  # disk id


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Replaces all entries from `first_index` on."""

    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshotChunk:
    """Part of a snapshot that is not active yet; offset 0 starts over."""

    head: SnapshotHead
    offset: int  # bytes
    data: bytes
    received: bool  # from the leader; else made by this member


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Makes a snapshot the active one, in place of the entries up to its index.

    With `replaces_log` in place of all entries: the log does not agree with it."""

    snapshot: Snapshot
    replaces_log: bool


Write = HardState | SaveEntries | SaveSnapshotChunk | SaveSnapshot


@dataclass(slots=True)
class Ready:
    """What the caller has to do after an input, in the order of the fields.

    `writes` are to be synced to disk before anything is sent or applied."""

    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)  # with the receiver's address
    received_snapshot: Snapshot | None = None  # complete: to be read, then `install_snapshot`
    restored_snapshot: Snapshot | None = None  # replaces the state before entries are applied
    rejected_chunk: str = ""  # why a chunk or a whole snapshot was not accepted; for the log
    corrupt_entry: str = ""  # which entry arrived damaged, to be sent again; for the log
    committed_entries: list[Entry] = field(default_factory=list)  # to be applied
