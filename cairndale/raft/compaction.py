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
    messages,
    offer,
    still_serves,
)


class Compaction(Replica):
    # Making one.

    def snapshot(self, index: int, state: bytes, digest: bytes = b"") -> Snapshot:
        """That of the state after a delivered entry that is still in the log."""
        members = self.base.members
        for entry in self.log[: index - self.base.index]:
            members = entry.members or members
        return Snapshot(index, self.term_at(index), members, state, digest)

    def compact(self, made: Snapshot | bytes) -> Ready:
        """A snapshot, or the state after all that was delivered, takes the place of the entries
        that led to it. Nothing, if a newer one is here already."""
        step = Ready()
        made = self.snapshot(self.commit_index, made) if isinstance(made, bytes) else made
        if made.index <= self.base.index:
            return step
        sending = any(p.transfer for p in self.peers.values())
        self.tail.add(self.base, self.log[: made.index - self.base.index], sending)
        self.log = self.log[made.index - self.base.index :]
        self.base = made
        self._look_up_members()
        step.writes.append(SaveSnapshot(made, alone=False))
        return step

    # The leader.

    def _catches_up(self, now: float) -> bool:
        """Somebody is sent a snapshot, and it may be their word that is wanting."""
        return any(p.transfer and not p.transfer.is_stalled(now) for p in self.peers.values())

    def _send_snapshot(self, now: float, step: Ready, peer: Progress, beat: bool) -> None:
        address = peer.member.address
        if peer.member in self._members and any(
            p.member.address == address and p.member not in self._members
            for p in self.peers.values()
        ):
            return  # another disk is there by now, and is sent it
        if peer.transfer is None or not still_serves(peer.transfer, now, self.base, self.tail):
            others = [p.transfer for p in self.peers.values() if p.transfer and p is not peer]
            peer.transfer = offer(now, others, self.base, self.tail)
        for message in messages(self.term, self.me, peer.transfer, now, beat):
            step.sends.append((address, message))

    def _snapshot_replied(self, now: float, step: Ready, message: SnapshotReply) -> None:
        peer = self._replier(now, step, message)
        if peer and peer.transfer:
            peer.transfer.replied(now, message.index, message.wanted)
            self._send_snapshot(now, step, peer, beat=False)

    # Those who follow.

    def _install_snapshot(self, now: float, step: Ready, message: InstallSnapshot) -> None:
        if not self._heard(now, step, message):
            return
        index = message.head.index
        reply: Message = AppendReply(self.term, self.me, True, self.commit_index, message.sent)
        if index > self.commit_index or not self.base.members:
            taken = self.incoming.take(message)
            step.writes += taken.writes
            step.received, step.dropped = taken.whole, taken.dropped
            reply = SnapshotReply(self.term, self.me, index, taken.wanted, message.sent)
        step.sends.append((message.sender.address, reply))

    def install(self, now: float, made: Snapshot) -> Ready:
        """One that was received, and whose state has been read, takes the place of what is here."""
        step = Ready()
        if self.role is not Role.LEADER and (
            made.index > self.commit_index or not self.base.members
        ):
            follows = (
                self.base.members and self.term_at(made.index) == made.term
            )  # the log goes on from it
            self.log = self.log[made.index - self.base.index :] if follows else []
            self.base, self.commit_index, self.tail = made, made.index, CompactedTail()
            self._look_up_members()
            step.writes.append(SaveSnapshot(made, alone=not follows))
            step.restored = made
        self.incoming = SnapshotReceiver()
        if self.leader and self.leader != self.me:
            reply = AppendReply(self.term, self.me, True, self.commit_index, 0)
            step.sends.append((self.leader.address, reply))
        return step

    def _heard(self, now: float, step: Ready, message: AppendEntries | InstallSnapshot) -> bool:
        raise NotImplementedError
