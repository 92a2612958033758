"""The replicated log as a state machine without I/O.

`RaftNode` is Raft with pre-vote (PhD 9.6), leader leases (PhD 6.4.1), leadership transfer (PhD
3.10) and learners (PhD 4.2.1). A member is identified by its address and its disk:
after a disk is wiped the member is a new one, whose vote counts only after a majority has added it.
This module implements log replication (Raft 5.3); `replica.py` has the state and the quorums,
`election.py` elections, `membership.py` configuration changes, `compaction.py` snapshots.

Times are in seconds on a monotonic clock. The caller executes each `Ready` in order: write and sync
`writes`, then send `sends`, then apply `committed_entries`."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import takewhile

from cairndale.raft import fragments
from cairndale.raft.compaction import Compaction
from cairndale.raft.election import Election
from cairndale.raft.membership import Membership
from cairndale.raft.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Join,
    Leave,
    Member,
    Message,
    PersistedState,
    Ready,
    RequestVote,
    SaveEntries,
    Snapshot,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from cairndale.raft.replica import Progress, Role

# Maximum bytes of entries in one append, which bounds how long a heartbeat is queued. A single
# entry written by an earlier version may be larger; it is sent alone.
MAX_APPEND_BYTES = 2 * fragments.FRAGMENT_BYTES


class RaftNode(Election, Membership, Compaction):
    """One member of the cluster: `tick`, `propose` and `receive` each return a `Ready`."""

    # Inputs.

    def tick(self, now: float) -> Ready:
        """Runs the timers that are due at `now`. Call it several times per heartbeat interval."""
        ready = Ready()
        if self.role is Role.LEADER:
            self._tick_leader(now, ready)
        elif self.leaving:
            if not self.has_left():
                self._send_membership_request(now, ready, Leave(self.term, self.me))
        elif not self.is_member():
            # Even while heartbeats arrive: they may be meant for the previous disk at this address.
            self._request_join(now, ready)
        else:
            self._tick_follower(now, ready)
        return ready

    def _tick_follower(self, now: float, ready: Ready) -> None:
        is_silent = now - self.last_heartbeat_at > self.timings.rejoin_timeout
        if is_silent or not self._is_location_recorded():
            # The entry that added this member may never have been committed, so ask again.
            self._request_join(now, ready)
        if now >= self._election_due and self.may_campaign():
            self._campaign(now, ready, pre_vote=True)

    def _tick_leader(self, now: float, ready: Ready) -> None:
        if self._has_lost_quorum(now):
            self._become_follower(now, ready, self.term, None)
        elif self._has_stalled(now):
            self._become_follower(now, ready, self.term, None)
            # Let others campaign first: this member committed nothing as leader.
            self._election_due += 2 * self.timings.election_timeout
        elif self._has_transfer_timed_out(now):
            self._become_follower(now, ready, self.term, None)
        else:
            self._lead(now, ready)

    def _has_lost_quorum(self, now: float) -> bool:
        """The lease ended an election timeout ago; another member may have better connectivity."""
        timeout = self.timings.election_timeout
        return now >= self.lease_end(now) + timeout and now - self.role_changed_at > 2 * timeout

    def _has_stalled(self, now: float) -> bool:
        """The first entry of this term was not committed in time, and no snapshot is being sent."""
        return (
            not self._has_committed_in_term
            and now - self.role_changed_at > self.timings.term_start_timeout
            and not self._is_sending_snapshot(now)
        )

    def _has_transfer_timed_out(self, now: float) -> bool:
        """The lease was released and no other member has become leader."""
        return self._lease_released and now - self.role_changed_at > self.timings.transfer_timeout

    def _lead(self, now: float, ready: Ready) -> None:
        is_removed = self._has_committed_in_term and not self.may_campaign()
        if self._lease_released or self.leaving or is_removed:
            self._transfer_leadership(now, ready)
        if now >= self._heartbeat_due:
            self._broadcast(now, ready)
        # A separate timer, because each proposal resets the heartbeat timer.
        if now >= self._membership_check_due:
            self._membership_check_due = now + self.timings.heartbeat_interval
            self._prune_peers(now)
            self._propose_members(now, ready)

    def propose(self, now: float, data: bytes) -> tuple[int, Ready]:
        """Appends an entry and returns its index, or 0 if this member cannot accept proposals.

        The entry is committed once a later `Ready.committed_entries` has it with the same index and
        term. If it has an entry of another term at that index, the proposal was lost."""
        ready = Ready()
        if self.role is not Role.LEADER or self._lease_released or self.leaving:
            return 0, ready
        entry = Entry(self.last_index + 1, self.term, data)
        return self._append_entry(now, ready, entry), ready

    def receive(self, now: float, message: Message) -> Ready:
        """Handles a message from another member."""
        ready = Ready()
        match message:
            case RequestVote():
                self._handle_vote_request(now, ready, message)
            case VoteReply():
                self._handle_vote_reply(now, ready, message)
            case AppendEntries():
                self._handle_append_entries(now, ready, message)
            case AppendReply():
                self._handle_append_reply(now, ready, message)
            case InstallSnapshot():
                self._handle_install_snapshot(now, ready, message)
            case SnapshotReply():
                self._handle_snapshot_reply(now, ready, message)
            case Join():
                self._handle_join(now, ready, message)
            case Leave():
                self._handle_leave(now, ready, message)
            case TimeoutNow():
                self._handle_timeout_now(now, ready, message)
        return ready

    def heartbeat_soon(self, now: float, min_interval: float) -> Ready:
        """Sends a heartbeat now unless the last one is less than `min_interval` seconds old.

        A read index (PhD 6.4) waits for the replies."""
        ready = Ready()
        last_sent_at = self._heartbeat_due - self.timings.heartbeat_interval
        if self.role is Role.LEADER and now >= last_sent_at + min_interval:
            self._broadcast(now, ready)
        return ready

    # Leader.

    def _append_entry(self, now: float, ready: Ready, entry: Entry) -> int:
        self.log.append(entry)
        ready.writes.append(SaveEntries(entry.index, (entry,)))
        if entry.members:
            self._refresh_members()
        self._broadcast(now, ready)
        self._advance_commit_index(now, ready)
        return entry.index

    def _broadcast(self, now: float, ready: Ready) -> None:
        self._heartbeat_due = now + self.timings.heartbeat_interval
        for peer in self.peers.values():
            self._send_append(now, ready, peer)

    def _send_append(self, now: float, ready: Ready, peer: Progress) -> None:
        """Sends the entries or the snapshot that the peer needs next, or a heartbeat."""
        is_compacted = peer.next_index <= self.base_snapshot.index
        if is_compacted and not self.compacted_tail.covers(peer.next_index):
            self._send_snapshot(now, ready, peer, with_heartbeat=True)
            return
        peer.transfer = None
        entries: tuple[Entry, ...] = ()
        if self._may_send_entries(now, peer):
            entries = self._entries_from(peer.next_index)
            peer.in_flight_since = now if entries else -1.0
        prev_index = peer.next_index - 1
        message = AppendEntries(
            self.term,
            self.me,
            prev_index=prev_index,
            prev_term=self.term_at(prev_index),
            entries=entries,
            commit_index=self.commit_index,
            sent_at_us=int(now * 1e6),
        )
        ready.sends.append((peer.member.address, message))

    def _may_send_entries(self, now: float, peer: Progress) -> bool:
        """Allows one append with entries in flight per peer, and retransmits it after a timeout.

        Retransmits only if the peer has replied to a message sent no earlier, since retransmissions
        to an unreachable peer would fill the send buffer of its connection."""
        if peer.in_flight_since < 0:
            return True
        is_overdue = now - peer.in_flight_since >= self.timings.retransmit_timeout
        return is_overdue and peer.last_ack_sent_at >= peer.in_flight_since

    def _entries_from(self, index: int) -> tuple[Entry, ...]:
        """Entries from `index` on, up to `MAX_APPEND_BYTES`; at least one if there is any."""
        offset = index - self.base_snapshot.index - 1
        available = self.log[offset:] if offset >= 0 else self.compacted_tail.since(index)
        entries: list[Entry] = []
        size = 0
        for entry in available:
            size += len(entry.data)
            if entries and size > MAX_APPEND_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    def _handle_append_reply(self, now: float, ready: Ready, message: AppendReply) -> None:
        if (peer := self._record_reply(now, ready, message)) is None:
            return
        if not message.success:
            self._back_up(peer, message.match_index)
            self._send_append(now, ready, peer)
            return
        if max(peer.match_index, message.match_index) >= self.commit_index:
            peer.caught_up_at = now
        if message.match_index > peer.match_index or peer.next_index <= message.match_index:
            self._advance_peer(now, ready, peer, message.match_index)
        if peer.member not in self._members:
            self._propose_members(now, ready)

    def _back_up(self, peer: Progress, hint: int) -> None:
        """Decrements the peer's next index after a log mismatch, to the hint or below."""
        # Next index 0 means that the peer needs the snapshot first. A rejection may come from the
        # previous disk at its address and must not change that.
        if peer.next_index:
            peer.next_index = max(1, min(hint + 1, peer.next_index - 1))
            peer.in_flight_since = -1.0

    def _advance_peer(self, now: float, ready: Ready, peer: Progress, match_index: int) -> None:
        peer.match_index = max(peer.match_index, match_index)
        peer.next_index = max(peer.next_index, match_index + 1)
        peer.in_flight_since = -1.0
        self._advance_commit_index(now, ready)
        if peer.next_index <= self.last_index and self.role is Role.LEADER:
            self._send_append(now, ready, peer)

    def _is_on_majority(self, index: int, voters: tuple[Member, ...]) -> bool:
        """A majority of `voters` has the entry at `index` on disk."""
        count = sum(
            1
            for m in voters
            if m == self.me or ((p := self.peers.get(m.disk_id)) and p.match_index >= index)
        )
        return count > len(voters) // 2

    def _advance_commit_index(self, now: float, ready: Ready) -> None:
        """Commits by counting replicas of entries of this term only (Raft 5.4.2).

        Entries of earlier terms are committed along with them."""
        index = self.last_index
        while index > self.commit_index and self.term_at(index) == self.term:
            if all(self._is_on_majority(index, voters) for voters in self._voter_sets()):
                self._commit(index, ready)
                self._broadcast(now, ready)
                break
            index -= 1

    def _commit(self, index: int, ready: Ready) -> None:
        """Commits all entries up to `index`."""
        base = self.base_snapshot.index
        for entry in self.log[self.commit_index - base : index - base]:
            ready.committed_entries.append(entry)
            if entry.term == self.term and self.role is Role.LEADER:
                self._has_committed_in_term = True
        self.commit_index = max(self.commit_index, index)

    # Follower.

    def _accept_leader(
        self, now: float, ready: Ready, message: AppendEntries | InstallSnapshot
    ) -> bool:
        """Follows the sender, or replies with the current term if the sender's term is stale."""
        leader = message.sender
        is_own_term = message.term == self.term and self.role is Role.LEADER
        if message.term < self.term or is_own_term:
            self._reply_to_append(ready, message, success=False, match_index=self.last_index)
            return False
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != leader:
            self._become_follower(now, ready, message.term, leader)
        if self.voted_for != leader.disk_id:
            # Persisted, so that after a restart this member knows whose lease it supports.
            self.voted_for = leader.disk_id
            ready.writes.append(HardState(self.term, self.voted_for))
        self.last_heartbeat_at = now
        self._reset_election_timer(now)
        return True

    def _reply_to_append(
        self,
        ready: Ready,
        message: AppendEntries | InstallSnapshot,
        *,
        success: bool,
        match_index: int,
    ) -> None:
        reply = AppendReply(self.term, self.me, success, match_index, message.sent_at_us)
        ready.sends.append((message.sender.address, reply))

    def _handle_append_entries(self, now: float, ready: Ready, message: AppendEntries) -> None:
        if not self._accept_leader(now, ready, message):
            return
        entries = self._intact_entries(message.entries, ready)
        prev_index, prev_term = message.prev_index, message.prev_term
        base_index = self.base_snapshot.index
        while entries and prev_index < base_index:
            # Covered by the snapshot, so committed and identical on both sides.
            prev_index, prev_term = entries[0].index, entries[0].term
            entries.pop(0)
        if prev_index >= base_index and self.term_at(prev_index) != prev_term:
            hint = min(self.last_index, prev_index - 1)
            self._reply_to_append(ready, message, success=False, match_index=hint)
            return
        self._replace_conflicting(entries, ready)
        match_index = max(prev_index, base_index)
        if entries:
            match_index = max(match_index, entries[-1].index)
        self._reply_to_append(ready, message, success=True, match_index=match_index)
        commit_index = min(message.commit_index, match_index)
        if commit_index > self.commit_index:
            self._commit(commit_index, ready)

    def _intact_entries(self, received: Sequence[Entry], ready: Ready) -> list[Entry]:
        """The entries before the first one with a wrong checksum, which `ready` reports."""
        intact = list(takewhile(lambda entry: fragments.is_intact(entry.data), received))
        if len(intact) < len(received):
            ready.corrupt_entry = f"entry {received[len(intact)].index}: checksum mismatch"
        return intact

    def _replace_conflicting(self, entries: list[Entry], ready: Ready) -> None:
        """Truncates the log at the first conflicting entry and appends the received rest.

        Matching entries stay, with all after them: a delayed message may hold fewer entries than
        the log."""
        for number, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                del self.log[entry.index - self.base_snapshot.index - 1 :]
                self.log += entries[number:]
                ready.writes.append(SaveEntries(entry.index, tuple(entries[number:])))
                self._refresh_members()
                return


def bootstrap_state(members: Iterable[Member]) -> PersistedState:
    """Initial persisted state of each of these members at the first start of the cluster."""
    return PersistedState(snapshot=Snapshot(0, 0, tuple(sorted(members))))


def bootstrap_member(address: str) -> Member:
    """The member at this address at the first start of the cluster.

    Its disk id is derived from the address, so that the bootstrap members know one another's
    identity before they have exchanged a message."""
    return Member(address, f"first-{address}")
