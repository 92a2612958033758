"""What members of the core say to one another, what their disks keep, and a step of the machine."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Member:
    door: str  # host:port
    disk: str  # drawn anew for each disk


@dataclass(frozen=True, slots=True)
class Entry:
    index: int
    term: int
    data: bytes = b""
    members: tuple[Member, ...] = ()  # of the core from here on, if any are named
    opens: bool = False  # the first of its term


@dataclass(frozen=True, slots=True)
class Snapshot:
    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""


@dataclass(slots=True)
class Kept:
    """What a disk holds."""

    term: int = 0
    voted_for: str = ""  # the disk that this one's vote went to in that term
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot


# What members say to one another.


@dataclass(frozen=True, slots=True)
class RequestVote:
    term: int
    sender: Member
    pre_vote: bool  # asks who would give their vote; nobody is bound by the answer
    last_index: int
    last_term: int


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
    sent: int  # the leader's clock, us: comes back with the answer


@dataclass(frozen=True, slots=True)
class AppendReply:
    term: int
    sender: Member
    ok: bool
    match: int  # all up to here is on disk; if not ok: where to try again
    sent: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    term: int
    sender: Member
    snapshot: Snapshot
    sent: int


@dataclass(frozen=True, slots=True)
class Join:
    term: int
    sender: Member


Message = RequestVote | VoteReply | AppendEntries | AppendReply | InstallSnapshot | Join


# What a disk is to keep.


@dataclass(frozen=True, slots=True)
class HardState:
    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class KeepEntries:
    """Entries from `first` on are replaced by these."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class KeepSnapshot:
    """In place of all entries up to its index; with `alone`, of all entries."""

    snapshot: Snapshot
    alone: bool


Write = HardState | KeepEntries | KeepSnapshot


@dataclass(slots=True)
class Step:
    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)
    restored: Snapshot | None = None  # the state is to become this, before what is delivered
    delivered: list[Entry] = field(default_factory=list)
