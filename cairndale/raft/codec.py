"""Converts Raft messages, log entries and snapshot heads to protobuf and back.

The field numbers in `protocol.proto` define the format on the wire and on disk. Attributes and
protobuf fields may have different names; only this module maps between them."""

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

# Entries, members and snapshot heads.


def _members_to_pb(members: Iterable[Member]) -> list[pb.Member]:
    return [
        pb.Member(
            address=m.address, disk=m.disk_id, zone=m.zone, region=m.region, learner=m.learner
        )
        for m in members
    ]


def _member_from_pb(member: pb.Member) -> Member:
    return Member(member.address, member.disk, member.zone, member.region, member.learner)


def _members_from_pb(members: Iterable[pb.Member]) -> tuple[Member, ...]:
    """Members stored by versions without zones and learners become voters without a location."""
    return tuple(_member_from_pb(m) for m in members)


def _entry_to_pb(entry: Entry) -> pb.Entry:
    return pb.Entry(
        index=entry.index,
        term=entry.term,
        data=entry.data,
        members=_members_to_pb(entry.members),
        opens_term=entry.is_term_start,
    )


def _entry_from_pb(entry: pb.Entry) -> Entry:
    return Entry(
        entry.index, entry.term, entry.data, _members_from_pb(entry.members), entry.opens_term
    )


def encode_entry(entry: Entry) -> bytes:
    """The entry as it is stored on disk."""
    data: bytes = _entry_to_pb(entry).SerializeToString()
    return data


def decode_entry(data: bytes) -> Entry:
    """The entry in these bytes. Raises protobuf's `DecodeError`."""
    return _entry_from_pb(pb.Entry.FromString(data))


def _head_to_pb(head: SnapshotHead) -> pb.InstallSnapshot:
    return pb.InstallSnapshot(
        index=head.index,
        index_term=head.term,
        members=_members_to_pb(head.members),
        size=head.size,
        digest=head.digest,
    )


def _head_from_pb(head: pb.InstallSnapshot) -> SnapshotHead:
    return SnapshotHead(
        head.index, head.index_term, _members_from_pb(head.members), head.size, head.digest
    )


def encode_snapshot_head(head: SnapshotHead) -> bytes:
    """The head as it is stored on disk: an `InstallSnapshot` without data."""
    data: bytes = _head_to_pb(head).SerializeToString()
    return data


def decode_snapshot_head(data: bytes) -> SnapshotHead:
    """The head in these bytes. Raises protobuf's `DecodeError`."""
    return _head_from_pb(pb.InstallSnapshot.FromString(data))


def decode_snapshot_v1(data: bytes) -> Snapshot:
    """A snapshot in disk format 1, which stored head and state as one value.

    Raises protobuf's `DecodeError`."""
    stored = pb.InstallSnapshot.FromString(data)
    return Snapshot(stored.index, stored.index_term, _members_from_pb(stored.members), stored.data)


# Messages.


def encode_message(message: Message) -> pb.LogMessage:
    """The message as it is sent to another member."""
    sender = pb.Member(address=message.sender.address, disk=message.sender.disk_id)
    if isinstance(message, Join | Leave):
        # Other messages are frequent, and their receivers need only the sender's identity.
        sender.zone, sender.region = message.sender.zone, message.sender.region
    encoded = pb.LogMessage(term=message.term, sender=sender)
    match message:
        case RequestVote():
            encoded.request_vote.CopyFrom(_request_vote_to_pb(message))
        case VoteReply():
            encoded.vote_reply.CopyFrom(
                pb.VoteReply(pre_vote=message.pre_vote, granted=message.granted)
            )
        case AppendEntries():
            encoded.append_entries.CopyFrom(_append_entries_to_pb(message))
        case AppendReply():
            encoded.append_reply.CopyFrom(_append_reply_to_pb(message))
        case InstallSnapshot():
            encoded.install_snapshot.CopyFrom(_install_snapshot_to_pb(message))
        case SnapshotReply():
            encoded.snapshot_reply.CopyFrom(_snapshot_reply_to_pb(message))
        case Join():
            encoded.join.SetInParent()
        case Leave():
            encoded.leave.SetInParent()
        case TimeoutNow():
            encoded.timeout_now.SetInParent()
    return encoded


def _request_vote_to_pb(message: RequestVote) -> pb.RequestVote:
    return pb.RequestVote(
        pre_vote=message.pre_vote,
        last_index=message.last_log_index,
        last_term=message.last_log_term,
        leader_transfer=message.transfer,
    )


def _append_entries_to_pb(message: AppendEntries) -> pb.AppendEntries:
    return pb.AppendEntries(
        prev_index=message.prev_index,
        prev_term=message.prev_term,
        entries=[_entry_to_pb(e) for e in message.entries],
        commit_index=message.commit_index,
        sent_us=message.sent_at_us,
    )


def _append_reply_to_pb(message: AppendReply) -> pb.AppendReply:
    return pb.AppendReply(
        success=message.success,
        match_index=message.match_index,
        sent_us=message.sent_at_us,
    )


def _install_snapshot_to_pb(message: InstallSnapshot) -> pb.InstallSnapshot:
    encoded = _head_to_pb(message.head)
    encoded.offset = message.offset
    encoded.data = message.data
    encoded.checksum = message.checksum
    encoded.sent_us = message.sent_at_us
    return encoded


def _snapshot_reply_to_pb(message: SnapshotReply) -> pb.SnapshotReply:
    return pb.SnapshotReply(
        index=message.snapshot_index,
        next_offset=message.next_offset,
        sent_us=message.sent_at_us,
    )


def decode_message(encoded: pb.LogMessage) -> Message:
    """The message that was sent. Raises ValueError for one without a body."""
    term, sender = encoded.term, _member_from_pb(encoded.sender)
    match encoded.WhichOneof("body"):
        case "request_vote":
            return _request_vote_from_pb(term, sender, encoded.request_vote)
        case "vote_reply":
            reply = encoded.vote_reply
            return VoteReply(term, sender, reply.pre_vote, reply.granted)
        case "append_entries":
            return _append_entries_from_pb(term, sender, encoded.append_entries)
        case "append_reply":
            return _append_reply_from_pb(term, sender, encoded.append_reply)
        case "install_snapshot":
            return _install_snapshot_from_pb(term, sender, encoded.install_snapshot)
        case "snapshot_reply":
            return _snapshot_reply_from_pb(term, sender, encoded.snapshot_reply)
        case "join":
            return Join(term, sender)
        case "leave":
            return Leave(term, sender)
        case "timeout_now":
            return TimeoutNow(term, sender)
    raise ValueError("Raft message has no body")


def _request_vote_from_pb(term: int, sender: Member, request: pb.RequestVote) -> RequestVote:
    return RequestVote(
        term,
        sender,
        pre_vote=request.pre_vote,
        last_log_index=request.last_index,
        last_log_term=request.last_term,
        transfer=request.leader_transfer,
    )


def _append_entries_from_pb(term: int, sender: Member, request: pb.AppendEntries) -> AppendEntries:
    return AppendEntries(
        term,
        sender,
        prev_index=request.prev_index,
        prev_term=request.prev_term,
        entries=tuple(_entry_from_pb(e) for e in request.entries),
        commit_index=request.commit_index,
        sent_at_us=request.sent_us,
    )


def _append_reply_from_pb(term: int, sender: Member, reply: pb.AppendReply) -> AppendReply:
    return AppendReply(
        term,
        sender,
        success=reply.success,
        match_index=reply.match_index,
        sent_at_us=reply.sent_us,
    )


def _install_snapshot_from_pb(
    term: int, sender: Member, request: pb.InstallSnapshot
) -> InstallSnapshot:
    return InstallSnapshot(
        term,
        sender,
        head=_head_from_pb(request),
        offset=request.offset,
        data=request.data,
        checksum=request.checksum,
        sent_at_us=request.sent_us,
    )


def _snapshot_reply_from_pb(term: int, sender: Member, reply: pb.SnapshotReply) -> SnapshotReply:
    return SnapshotReply(
        term,
        sender,
        snapshot_index=reply.index,
        next_offset=reply.next_offset,
        sent_at_us=reply.sent_us,
    )
