"""The promptbook's lines, entries and snapshots as protobuf, and back."""

from __future__ import annotations

from collections.abc import Iterable

from playhouse.promptbook.machine import (
    Append,
    Appended,
    Ballot,
    Canvass,
    Entry,
    Install,
    Join,
    Line,
    Member,
    Snapshot,
)
from playhouse.wings import cues_pb2 as pb


def _members_out(members: Iterable[Member]) -> list[pb.Member]:
    return [pb.Member(door=m.door, disk=m.disk) for m in members]


def _members_in(members: Iterable[pb.Member]) -> tuple[Member, ...]:
    return tuple(Member(m.door, m.disk) for m in members)


def _entry_pb(entry: Entry) -> pb.Entry:
    return pb.Entry(
        index=entry.index,
        view=entry.view,
        data=entry.data,
        members=_members_out(entry.members),
        opens=entry.opens,
    )


def _entry_of(made: pb.Entry) -> Entry:
    return Entry(made.index, made.view, made.data, _members_in(made.members), made.opens)


def entry_out(entry: Entry) -> bytes:
    data: bytes = _entry_pb(entry).SerializeToString()
    return data


def entry_in(data: bytes) -> Entry:
    return _entry_of(pb.Entry.FromString(data))


def _install(snapshot: Snapshot, sent: int = 0) -> pb.Install:
    members = _members_out(snapshot.members)
    return pb.Install(
        index=snapshot.index, at_view=snapshot.view, members=members, state=snapshot.state, sent=sent
    )


def _snapshot(made: pb.Install) -> Snapshot:
    return Snapshot(made.index, made.at_view, _members_in(made.members), made.state)


def snapshot_out(snapshot: Snapshot) -> bytes:
    data: bytes = _install(snapshot).SerializeToString()
    return data


def snapshot_in(data: bytes) -> Snapshot:
    return _snapshot(pb.Install.FromString(data))


def line_out(line: Line) -> pb.Line:
    made = pb.Line(view=line.view, sender=pb.Member(door=line.sender.door, disk=line.sender.disk))
    match line:
        case Canvass():
            made.canvass.CopyFrom(
                pb.Canvass(trial=line.trial, last_index=line.last_index, last_view=line.last_view)
            )
        case Ballot():
            made.ballot.CopyFrom(pb.Ballot(trial=line.trial, granted=line.granted))
        case Append():
            entries = [_entry_pb(e) for e in line.entries]
            made.append.CopyFrom(
                pb.Append(
                    prev_index=line.prev_index, prev_view=line.prev_view, entries=entries, commit=line.commit,
                    sent=line.sent,
                )
            )  # fmt: skip
        case Appended():
            made.appended.CopyFrom(pb.Appended(ok=line.ok, match=line.match, sent=line.sent))
        case Install():
            made.install.CopyFrom(_install(line.snapshot, line.sent))
        case Join():
            made.join.SetInParent()
    return made


def line_in(made: pb.Line) -> Line:
    """Raises ValueError for one that says nothing."""
    view, sender = made.view, Member(made.sender.door, made.sender.disk)
    match made.WhichOneof("what"):
        case "canvass":
            c = made.canvass
            return Canvass(view, sender, c.trial, c.last_index, c.last_view)
        case "ballot":
            return Ballot(view, sender, made.ballot.trial, made.ballot.granted)
        case "append":
            a = made.append
            entries = tuple(_entry_of(e) for e in a.entries)
            return Append(view, sender, a.prev_index, a.prev_view, entries, a.commit, a.sent)
        case "appended":
            return Appended(view, sender, made.appended.ok, made.appended.match, made.appended.sent)
        case "install":
            return Install(view, sender, _snapshot(made.install), made.install.sent)
        case "join":
            return Join(view, sender)
    raise ValueError("a line that says nothing")
