"""What members of the core say to one another, what their disks keep, and a step of the machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """A door and a disk: with another disk it is another member; not so with another place or
    role."""

    address: str  # host:port
    disk_id: str  # drawn anew for each disk
    zone: str = field(default="", compare=False)  # empty: not told yet
    region: str = field(default="", compare=False)
    learner: bool = field(
        default=False, compare=False
    )  # is given the log, and counts in no majority


@dataclass(frozen=True, slots=True)
class Entry:
    index: int
    term: int
    data: bytes = b""
    members: tuple[
        Member, ...
    ] = ()  # the configuration from here on, if any are named: voters, learners
    is_term_start: bool = False  # the first of its term


@dataclass(frozen=True, slots=True)
class SnapshotHead:
    """Which snapshot: members that made theirs at the same entry have the same one."""

    index: int
    term: int
    members: tuple[Member, ...]
    size: int  # bytes of the state
    digest: bytes  # of the state


@dataclass(frozen=True, slots=True)
class Snapshot:
    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""
    digest: bytes = field(default=b"", compare=False)  # of the state, where it is known already

    @property
    def head(self) -> SnapshotHead:
        digest = self.digest or state_digest(self.state).digest()
        return SnapshotHead(self.index, self.term, self.members, len(self.state), digest)


def state_digest(state: bytes = b"") -> blake2b:
    return blake2b(state, digest_size=16)


@dataclass(slots=True)
class PersistedState:
    """What a disk holds."""

    term: int = 0
    voted_for: str = ""  # the disk that this one's vote went to in that term
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot
    # the first parts of one that is being received
    partial_snapshot: tuple[SnapshotHead, bytes] | None = None


# What members say to one another.


@dataclass(frozen=True, slots=True)
class RequestVote:
    term: int
    sender: Member
    pre_vote: bool  # asks who would give their vote; nobody is bound by the answer
    last_log_index: int
    last_log_term: int
    transfer: bool = False  # the leader of the term before asked for it, and has given its lease up


@dataclass(frozen=True, slots=True)
class VoteReply:
    term: int
    sender: Member
    pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    term: int
    sender: Member
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_us: int  # the leader's clock, us: comes back with the answer


@dataclass(frozen=True, slots=True)
class AppendReply:
    term: int
    sender: Member
    success: bool
    match_index: int  # all up to here is on disk; if not ok: where to try again
    sent_at_us: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """One part of a snapshot; without data, a beat to one that is being sent it."""

    term: int
    sender: Member
    head: SnapshotHead
    offset: int  # of the data in the state
    data: bytes
    checksum: int  # of the data
    sent_at_us: int  # the leader's clock, us: comes back with the answer


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    term: int
    sender: Member
    snapshot_index: int
    next_offset: int  # all before this offset is on disk
    sent_at_us: int


@dataclass(frozen=True, slots=True)
class Join:
    """Asks to be taken in as a learner; tells its place."""

    term: int
    sender: Member


@dataclass(frozen=True, slots=True)
class Leave:
    """Is about to end: to be taken out, if another can step in."""

    term: int
    sender: Member


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """The leader hands over: the receiver is to stand at once."""

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


# What a disk is to keep.


@dataclass(frozen=True, slots=True)
class HardState:
    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Entries from `first_index` on are replaced by these."""

    first_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshotChunk:
    """Part of a snapshot that is not in force yet; offset 0 begins anew."""

    head: SnapshotHead
    offset: int
    data: bytes
    received: bool  # from the leader; else made here


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """In place of all entries up to its index; with `replaces_log`, of all entries."""

    snapshot: Snapshot
    replaces_log: bool


Write = HardState | SaveEntries | SaveSnapshotChunk | SaveSnapshot


@dataclass(slots=True)
class Ready:
    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)
    received_snapshot: Snapshot | None = (
        None  # whole: once its state has been read, it is to be installed
    )
    restored_snapshot: Snapshot | None = (
        None  # the state is to become this, before what is delivered
    )
    rejected_chunk: str = ""  # what came and was not taken, and why
    corrupt_entry: str = ""  # entries that came not as they were made, and are asked for again
    committed_entries: list[Entry] = field(default_factory=list)
