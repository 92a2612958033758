"""The promptbook's messages, entries and snapshots as protobuf, and back."""

from __future__ import annotations

from collections.abc import Iterable

from cairndale.raft.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    InstallSnapshot,
    Join,
    Leave,
    Member,
    Message,
    RequestVote,
    Snapshot,
    SnapshotHead,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from cairndale.rpc import protocol_pb2 as pb


def _members_out(members: Iterable[Member]) -> list[pb.Member]:
    return [
        pb.Member(
            address=m.address, disk=m.disk_id, zone=m.zone, region=m.region, learner=m.learner
        )
        for m in members
    ]


def _member(made: pb.Member) -> Member:
    return Member(made.address, made.disk, made.zone, made.region, made.learner)


def _members_in(members: Iterable[pb.Member]) -> tuple[Member, ...]:
    """Those of an older format tell neither place nor role: voters at places not known."""
    return tuple(_member(m) for m in members)


def _entry_pb(entry: Entry) -> pb.Entry:
    return pb.Entry(
        index=entry.index,
        term=entry.term,
        data=entry.data,
        members=_members_out(entry.members),
        opens_term=entry.is_term_start,
    )


def _entry_of(made: pb.Entry) -> Entry:
    return Entry(made.index, made.term, made.data, _members_in(made.members), made.opens_term)


def entry_out(entry: Entry) -> bytes:
    data: bytes = _entry_pb(entry).SerializeToString()
    return data


def entry_in(data: bytes) -> Entry:
    return _entry_of(pb.Entry.FromString(data))


def _head_pb(head: SnapshotHead) -> pb.InstallSnapshot:
    return pb.InstallSnapshot(
        index=head.index,
        index_term=head.term,
        members=_members_out(head.members),
        size=head.size,
        digest=head.digest,
    )


def _head_of(made: pb.InstallSnapshot) -> SnapshotHead:
    return SnapshotHead(
        made.index, made.index_term, _members_in(made.members), made.size, made.digest
    )


def head_out(head: SnapshotHead) -> bytes:
    data: bytes = _head_pb(head).SerializeToString()
    return data


def head_in(data: bytes) -> SnapshotHead:
    return _head_of(pb.InstallSnapshot.FromString(data))


def snapshot_in_format_1(data: bytes) -> Snapshot:
    """Whole, as disks of that format hold it."""
    made = pb.InstallSnapshot.FromString(data)
    return Snapshot(made.index, made.index_term, _members_in(made.members), made.data)


def message_out(message: Message) -> pb.LogMessage:
    sender = message.sender
    made = pb.LogMessage(
        term=message.term, sender=pb.Member(address=sender.address, disk=sender.disk_id)
    )
    if isinstance(
        message, Join | Leave
    ):  # the others are sent often: whom they come from is enough
        made.sender.zone, made.sender.region = sender.zone, sender.region
    match message:
        case RequestVote():
            made.request_vote.CopyFrom(
                pb.RequestVote(
                    pre_vote=message.pre_vote,
                    last_index=message.last_log_index,
                    last_term=message.last_log_term,
                    leader_transfer=message.transfer,
                )
            )
        case VoteReply():
            made.vote_reply.CopyFrom(
                pb.VoteReply(pre_vote=message.pre_vote, granted=message.granted)
            )
        case AppendEntries():
            entries = [_entry_pb(e) for e in message.entries]
            made.append_entries.CopyFrom(
                pb.AppendEntries(
                    prev_index=message.prev_index,
                    prev_term=message.prev_term,
                    entries=entries,
                    commit_index=message.commit_index,
                    sent_us=message.sent_at_us,
                )
            )
        case AppendReply():
            made.append_reply.CopyFrom(
                pb.AppendReply(
                    success=message.success,
                    match_index=message.match_index,
                    sent_us=message.sent_at_us,
                )
            )
        case InstallSnapshot():
            part = _head_pb(message.head)
            part.offset, part.data, part.checksum = message.offset, message.data, message.checksum
            part.sent_us = message.sent_at_us
            made.install_snapshot.CopyFrom(part)
        case SnapshotReply():
            made.snapshot_reply.CopyFrom(
                pb.SnapshotReply(
                    index=message.index, next_offset=message.wanted, sent_us=message.sent_at_us
                )
            )
        case Join():
            made.join.SetInParent()
        case Leave():
            made.leave.SetInParent()
        case TimeoutNow():
            made.timeout_now.SetInParent()
    return made


def message_in(made: pb.LogMessage) -> Message:
    """Raises ValueError for one that says nothing."""
    term, sender = made.term, _member(made.sender)
    match made.WhichOneof("body"):
        case "request_vote":
            c = made.request_vote
            return RequestVote(
                term, sender, c.pre_vote, c.last_index, c.last_term, c.leader_transfer
            )
        case "vote_reply":
            return VoteReply(term, sender, made.vote_reply.pre_vote, made.vote_reply.granted)
        case "append_entries":
            a = made.append_entries
            entries = tuple(_entry_of(e) for e in a.entries)
            return AppendEntries(
                term, sender, a.prev_index, a.prev_term, entries, a.commit_index, a.sent_us
            )
        case "append_reply":
            return AppendReply(
                term,
                sender,
                made.append_reply.success,
                made.append_reply.match_index,
                made.append_reply.sent_us,
            )
        case "install_snapshot":
            p = made.install_snapshot
            return InstallSnapshot(
                term, sender, _head_of(p), p.offset, p.data, p.checksum, p.sent_us
            )
        case "snapshot_reply":
            r = made.snapshot_reply
            return SnapshotReply(term, sender, r.index, r.next_offset, r.sent_us)
        case "join":
            return Join(term, sender)
        case "leave":
            return Leave(term, sender)
        case "timeout_now":
            return TimeoutNow(term, sender)
    raise ValueError("a message that says nothing")
