"""Log compaction (Raft 7, PhD 5): a snapshot replaces the entries that it covers.

Each member creates its own snapshots. The leader sends one to a follower whose next entry is
neither in the leader's log nor in its compacted tail."""

from __future__ import annotations

from abc import abstractmethod

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
    """The part of a node that creates, sends and installs snapshots."""

    # Creation.

    def make_snapshot(self, index: int, state: bytes, digest: bytes = b"") -> Snapshot:
        """A snapshot of `state`, which is the state after the entry at `index`.

        The entry has to be committed and still in the log. `digest` is the digest of `state`, if
        it has been computed already."""
        members = self.base_snapshot.members
        for entry in self.log[: index - self.base_snapshot.index]:
            members = entry.members or members
        return Snapshot(index, self.term_at(index), members, state, digest)

    def compact(self, snapshot: Snapshot | bytes) -> Ready:
        """Replaces the entries up to the snapshot's index by the snapshot.

        If `snapshot` is bytes, it is the state after the last committed entry. A snapshot that is
        not newer than the current one is ignored."""
        ready = Ready()
        if isinstance(snapshot, bytes):
            snapshot = self.make_snapshot(self.commit_index, snapshot)
        if snapshot.index <= self.base_snapshot.index:
            return ready
        count = snapshot.index - self.base_snapshot.index
        is_sending = any(p.transfer for p in self.peers.values())
        self.compacted_tail.add(self.base_snapshot, self.log[:count], is_sending)
        self.log = self.log[count:]
        self.base_snapshot = snapshot
        self._refresh_members()
        ready.writes.append(SaveSnapshot(snapshot, replaces_log=False))
        return ready

    # Leader.

    def _is_sending_snapshot(self, now: float) -> bool:
        """A transfer is in progress; its receiver may be the voter that the quorum lacks."""
        return any(p.transfer and not p.transfer.is_stalled(now) for p in self.peers.values())

    def _send_snapshot(
        self, now: float, ready: Ready, peer: Progress, *, with_heartbeat: bool
    ) -> None:
        if self._is_superseded(peer):
            return
        base, tail = self.base_snapshot, self.compacted_tail
        if peer.transfer is None or not is_still_useful(peer.transfer, now, base, tail):
            others = [p.transfer for p in self.peers.values() if p.transfer and p is not peer]
            peer.transfer = choose_transfer(now, others, base, tail)
        messages = chunk_messages(self.term, self.me, peer.transfer, now, with_heartbeat)
        ready.sends += [(peer.member.address, message) for message in messages]

    def _is_superseded(self, peer: Progress) -> bool:
        """A new disk at this peer's address is joining; the snapshot goes to that one instead."""
        return peer.member in self._members and any(
            p.member.address == peer.member.address and p.member not in self._members
            for p in self.peers.values()
        )

    def _handle_snapshot_reply(self, now: float, ready: Ready, message: SnapshotReply) -> None:
        peer = self._record_reply(now, ready, message)
        if peer and peer.transfer:
            peer.transfer.acknowledge(now, message.snapshot_index, message.next_offset)
            self._send_snapshot(now, ready, peer, with_heartbeat=False)

    # Follower.

    def _handle_install_snapshot(self, now: float, ready: Ready, message: InstallSnapshot) -> None:
        if not self._accept_leader(now, ready, message):
            return
        reply: Message
        if self._needs(message.head.index):
            result = self.snapshot_receiver.receive(message)
            ready.writes += result.writes
            ready.received_snapshot = result.complete
            ready.rejected_chunk = result.rejected
            reply = SnapshotReply(
                self.term, self.me, message.head.index, result.next_offset, message.sent_at_us
            )
        else:
            reply = AppendReply(self.term, self.me, True, self.commit_index, message.sent_at_us)
        ready.sends.append((message.sender.address, reply))

    def _needs(self, index: int) -> bool:
        """A snapshot at `index` is ahead of this member, or carries its first configuration."""
        return index > self.commit_index or not self.base_snapshot.members

    def install_snapshot(self, now: float, snapshot: Snapshot) -> Ready:
        """Replaces log and state with a snapshot that was received and decoded.

        If the log contains the snapshot's last entry, the entries after it are kept (Raft 7), since
        this member may have acknowledged them. The snapshot is ignored if this member has caught up
        or become leader meanwhile."""
        ready = Ready()
        if self.role is not Role.LEADER and self._needs(snapshot.index):
            self._restore(snapshot, ready)
        self.snapshot_receiver = SnapshotReceiver()
        if self.leader and self.leader != self.me:
            reply = AppendReply(self.term, self.me, True, self.commit_index, 0)
            ready.sends.append((self.leader.address, reply))
        return ready

    def _restore(self, snapshot: Snapshot, ready: Ready) -> None:
        keeps_log = self.base_snapshot.members and self.term_at(snapshot.index) == snapshot.term
        if keeps_log:
            self.log = self.log[snapshot.index - self.base_snapshot.index :]
        else:
            self.log = []
        self.base_snapshot = snapshot
        self.commit_index = snapshot.index
        self.compacted_tail = CompactedTail()
        self._refresh_members()
        ready.writes.append(SaveSnapshot(snapshot, replaces_log=not keeps_log))
        ready.restored_snapshot = snapshot

    @abstractmethod
    def _accept_leader(
        self, now: float, ready: Ready, message: AppendEntries | InstallSnapshot
    ) -> bool: ...
