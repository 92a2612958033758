"""Snapshots in the place of entries: made here, sent to those far behind, installed by these."""

from __future__ import annotations

from cairndale.raft.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    Message,
    Ready,
    SaveSnapshot,
    Snapshot,
    SnapshotReply,
)
from cairndale.raft.replica import Progress, Replica, Role
from cairndale.raft.snapshot_transfer import (
    CompactedTail,
    SnapshotReceiver,
    choose_transfer,
    chunk_messages,
    is_still_useful,
)


class Compaction(Replica):
    # Making one.

    def make_snapshot(self, index: int, state: bytes, digest: bytes = b"") -> Snapshot:
        """That of the state after a delivered entry that is still in the log."""
        members = self.base_snapshot.members
        for entry in self.log[: index - self.base_snapshot.index]:
            members = entry.members or members
        return Snapshot(index, self.term_at(index), members, state, digest)

    def compact(self, made: Snapshot | bytes) -> Ready:
        """A snapshot, or the state after all that was delivered, takes the place of the entries
        that led to it. Nothing, if a newer one is here already."""
        step = Ready()
        made = self.make_snapshot(self.commit_index, made) if isinstance(made, bytes) else made
        if made.index <= self.base_snapshot.index:
            return step
        sending = any(p.transfer for p in self.peers.values())
        self.compacted_tail.add(
            self.base_snapshot, self.log[: made.index - self.base_snapshot.index], sending
        )
        self.log = self.log[made.index - self.base_snapshot.index :]
        self.base_snapshot = made
        self._refresh_members()
        step.writes.append(SaveSnapshot(made, replaces_log=False))
        return step

    # The leader.

    def _is_sending_snapshot(self, now: float) -> bool:
        """Somebody is sent a snapshot, and it may be their word that is wanting."""
        return any(p.transfer and not p.transfer.is_stalled(now) for p in self.peers.values())

    def _send_snapshot(self, now: float, step: Ready, peer: Progress, beat: bool) -> None:
        address = peer.member.address
        if peer.member in self._members and any(
            p.member.address == address and p.member not in self._members
            for p in self.peers.values()
        ):
            return  # another disk is there by now, and is sent it
        if peer.transfer is None or not is_still_useful(
            peer.transfer, now, self.base_snapshot, self.compacted_tail
        ):
            others = [p.transfer for p in self.peers.values() if p.transfer and p is not peer]
            peer.transfer = choose_transfer(now, others, self.base_snapshot, self.compacted_tail)
        for message in chunk_messages(self.term, self.me, peer.transfer, now, beat):
            step.sends.append((address, message))

    def _handle_snapshot_reply(self, now: float, step: Ready, message: SnapshotReply) -> None:
        peer = self._record_reply(now, step, message)
        if peer and peer.transfer:
            peer.transfer.acknowledge(now, message.snapshot_index, message.next_offset)
            self._send_snapshot(now, step, peer, beat=False)

    # Those who follow.

    def _handle_install_snapshot(self, now: float, step: Ready, message: InstallSnapshot) -> None:
        if not self._accept_leader(now, step, message):
            return
        index = message.head.index
        reply: Message = AppendReply(
            self.term, self.me, True, self.commit_index, message.sent_at_us
        )
        if index > self.commit_index or not self.base_snapshot.members:
            taken = self.snapshot_receiver.receive(message)
            step.writes += taken.writes
            step.received_snapshot, step.rejected_chunk = taken.complete, taken.rejected
            reply = SnapshotReply(self.term, self.me, index, taken.next_offset, message.sent_at_us)
        step.sends.append((message.sender.address, reply))

    def install_snapshot(self, now: float, made: Snapshot) -> Ready:
        """One that was received, and whose state has been read, takes the place of what is here."""
        step = Ready()
        if self.role is not Role.LEADER and (
            made.index > self.commit_index or not self.base_snapshot.members
        ):
            follows = (
                self.base_snapshot.members and self.term_at(made.index) == made.term
            )  # the log goes on from it
            self.log = self.log[made.index - self.base_snapshot.index :] if follows else []
            self.base_snapshot, self.commit_index, self.compacted_tail = (
                made,
                made.index,
                CompactedTail(),
            )
            self._refresh_members()
            step.writes.append(SaveSnapshot(made, replaces_log=not follows))
            step.restored_snapshot = made
        self.snapshot_receiver = SnapshotReceiver()
        if self.leader and self.leader != self.me:
            reply = AppendReply(self.term, self.me, True, self.commit_index, 0)
            step.sends.append((self.leader.address, reply))
        return step

    def _accept_leader(
        self, now: float, step: Ready, message: AppendEntries | InstallSnapshot
    ) -> bool:
        raise NotImplementedError
