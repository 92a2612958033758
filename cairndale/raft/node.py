"""The core's log as a pure machine: inputs in, what to write, send and deliver out.

One leader a term appends; the others follow it. A change of term stops delivery, trims what only a
minority of the old term holds, and goes on. An entry is delivered once a majority of the voters has
it on disk. A member is a door and a disk: one whose disk was wiped is another member, and its vote
counts for nothing until the others have taken it in, which they do with a majority of their own.
`replica.py` has what is known and whose word counts, `election.py` the elections, `membership.py`
the changes of the configuration, `compaction.py` the snapshots; here is the log.

Times are seconds on a clock that never goes back; nothing here depends on the time of day. The
caller carries a `Step` out in order: writes, synced; then sends; then deliveries."""

from __future__ import annotations

from collections.abc import Iterable
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

# Bytes of entries in one append, as heartbeats wait for it; one entry of earlier programs may be
# larger.
MAX_APPEND_BYTES = 2 * fragments.FRAGMENT_BYTES


class RaftNode(Election, Membership, Compaction):
    # Inputs.

    def tick(self, now: float) -> Ready:
        step = Ready()
        if self.role is Role.LEADER:
            self._tick_leader(now, step)
        elif self.leaving:
            if not self.has_left():
                self._send_membership_request(now, step, Leave(self.term, self.me))
        elif not self.is_member():
            self._request_join(
                now, step
            )  # though it is heard: that may be meant for the disk that was here before
        else:
            if (
                now - self.last_heartbeat_at > self.timings.rejoin_timeout
                or not self._is_location_recorded()
            ):
                self._request_join(now, step)  # that it is a member may never have been decided
            if now >= self._election_due and self.may_campaign():
                self._campaign(now, step, pre_vote=True)
        return step

    def _tick_leader(self, now: float, step: Ready) -> None:
        if (
            now >= self.lease_end(now) + self.timings.election_timeout
            and now - self.role_changed_at > 2 * self.timings.election_timeout
        ):
            self._become_follower(
                now, step, self.term, None
            )  # nobody follows: others may be better off
        elif (
            not self._has_committed_in_term
            and now - self.role_changed_at > self.timings.term_start_timeout
            and not self._is_sending_snapshot(now)
        ):
            self._become_follower(now, step, self.term, None)  # followed, and nothing is decided
            self._election_due += 2 * self.timings.election_timeout
        elif self._lease_released and now - self.role_changed_at > self.timings.transfer_timeout:
            self._become_follower(
                now, step, self.term, None
            )  # nobody has taken it: whoever can, may
        else:
            if (
                self._lease_released
                or self.leaving
                or (self._has_committed_in_term and not self.may_campaign())
            ):
                self._transfer_leadership(now, step)
            if now >= self._heartbeat_due:
                self._broadcast(now, step)
            if (
                now >= self._membership_check_due
            ):  # whether or not beats were sent meanwhile, as each entry does
                self._membership_check_due = now + self.timings.heartbeat_interval
                self._prune_peers(now)
                self._propose_members(now, step)

    def propose(self, now: float, data: bytes) -> tuple[int, Ready]:
        """Appends; the index, or 0 if this one does not hold the term. Delivery tells what became
        of it."""
        step = Ready()
        if self.role is not Role.LEADER or self._lease_released or self.leaving:
            return 0, step
        return self._append_entry(now, step, Entry(self.last_index + 1, self.term, data)), step

    def receive(self, now: float, message: Message) -> Ready:
        step = Ready()
        match message:
            case RequestVote():
                self._handle_vote_request(now, step, message)
            case VoteReply():
                self._handle_vote_reply(now, step, message)
            case AppendEntries():
                self._handle_append_entries(now, step, message)
            case AppendReply():
                self._handle_append_reply(now, step, message)
            case InstallSnapshot():
                self._handle_install_snapshot(now, step, message)
            case SnapshotReply():
                self._handle_snapshot_reply(now, step, message)
            case Join():
                self._handle_join(now, step, message)
            case Leave():
                self._handle_leave(now, step, message)
            case TimeoutNow():
                self._handle_timeout_now(now, step, message)
        return step

    # The leader.

    def _append_entry(self, now: float, step: Ready, entry: Entry) -> int:
        self.log.append(entry)
        step.writes.append(SaveEntries(entry.index, (entry,)))
        if entry.members:
            self._refresh_members()
        self._broadcast(now, step)
        self._advance_commit_index(now, step)
        return entry.index

    def _broadcast(self, now: float, step: Ready) -> None:
        self._heartbeat_due = now + self.timings.heartbeat_interval
        for peer in self.peers.values():
            self._send_append(now, step, peer)

    def heartbeat_soon(self, now: float, apart: float) -> Ready:
        """A beat at once, if the last one was sent `apart` seconds ago or earlier."""
        step = Ready()
        if (
            self.role is Role.LEADER
            and now >= self._heartbeat_due - self.timings.heartbeat_interval + apart
        ):
            self._broadcast(now, step)
        return step

    def _send_append(self, now: float, step: Ready, peer: Progress) -> None:
        sent = int(now * 1e6)
        if peer.next_index <= self.base_snapshot.index and not self.compacted_tail.covers(
            peer.next_index
        ):
            self._send_snapshot(now, step, peer, beat=True)
            return
        peer.transfer = None
        entries: list[Entry] = []
        # Sent again only to who has answered something later: one that is away would have its way
        # filled.
        lost = (
            now - peer.in_flight_since >= self.timings.retransmit_timeout
            and peer.last_ack_sent_at >= peer.in_flight_since
        )
        if peer.in_flight_since < 0 or lost:
            size = 0
            at = peer.next_index - self.base_snapshot.index - 1
            for entry in self.log[at:] if at >= 0 else self.compacted_tail.since(peer.next_index):
                size += len(entry.data)
                if entries and size > MAX_APPEND_BYTES:
                    break
                entries.append(entry)
            peer.in_flight_since = now if entries else -1.0
        before = peer.next_index - 1
        message = AppendEntries(
            self.term,
            self.me,
            before,
            self.term_at(before),
            tuple(entries),
            self.commit_index,
            sent,
        )
        step.sends.append((peer.member.address, message))

    def _handle_append_reply(self, now: float, step: Ready, message: AppendReply) -> None:
        if (peer := self._record_reply(now, step, message)) is None:
            return
        if message.success and max(peer.match_index, message.match_index) >= self.commit_index:
            peer.caught_up_at = now
        if not message.success:
            if (
                peer.next_index
            ):  # else it is to have the snapshot first, whatever was meant for the disk before it
                peer.next_index, peer.in_flight_since = (
                    max(1, min(message.match_index + 1, peer.next_index - 1)),
                    -1.0,
                )
            self._send_append(now, step, peer)
            return
        if message.match_index > peer.match_index or peer.next_index <= message.match_index:
            peer.match_index = max(peer.match_index, message.match_index)
            peer.next_index, peer.in_flight_since = (
                max(peer.next_index, message.match_index + 1),
                -1.0,
            )
            self._advance_commit_index(now, step)
            if peer.next_index <= self.last_index and self.role is Role.LEADER:
                self._send_append(now, step, peer)
        if peer.member not in self._members:
            self._propose_members(now, step)

    def _is_on_majority(self, index: int, among: tuple[Member, ...]) -> bool:
        """A majority of these has it on disk."""
        have = sum(
            1
            for m in among
            if m == self.me or ((p := self.peers.get(m.disk_id)) and p.match_index >= index)
        )
        return have > len(among) // 2

    def _advance_commit_index(self, now: float, step: Ready) -> None:
        index = self.last_index
        while index > self.commit_index and self.term_at(index) == self.term:
            if all(self._is_on_majority(index, voters) for voters in self._voter_sets()):
                self._commit(index, step)
                self._broadcast(now, step)
                break
            index -= 1

    def _commit(self, upto: int, step: Ready) -> None:
        for entry in self.log[
            self.commit_index - self.base_snapshot.index : upto - self.base_snapshot.index
        ]:
            step.committed_entries.append(entry)
            if entry.term == self.term and self.role is Role.LEADER:
                self._has_committed_in_term = True
        self.commit_index = max(self.commit_index, upto)

    # Those who follow.

    def _accept_leader(
        self, now: float, step: Ready, message: AppendEntries | InstallSnapshot
    ) -> bool:
        if message.term < self.term or (message.term == self.term and self.role is Role.LEADER):
            step.sends.append(
                (
                    message.sender.address,
                    AppendReply(self.term, self.me, False, self.last_index, message.sent_at_us),
                )
            )
            return False
        if (
            message.term > self.term
            or self.role is not Role.FOLLOWER
            or self.leader != message.sender
        ):
            self._become_follower(now, step, message.term, message.sender)
        if (
            self.voted_for != message.sender.disk_id
        ):  # whom its promises are to is known after a start as well
            self.voted_for = message.sender.disk_id
            step.writes.append(HardState(self.term, self.voted_for))
        self.last_heartbeat_at = now
        self._reset_election_timer(now)
        return True

    def _handle_append_entries(self, now: float, step: Ready, message: AppendEntries) -> None:
        if not self._accept_leader(now, step, message):
            return
        entries, before, before_term = list(message.entries), message.prev_index, message.prev_term
        sound = list(takewhile(lambda entry: fragments.is_intact(entry.data), entries))
        if len(sound) < len(entries):
            step.corrupt_entry, entries = (
                f"entry {entries[len(sound)].index}: not as it was made",
                sound,
            )
        while (
            entries and before < self.base_snapshot.index
        ):  # covered by the snapshot: delivered, so the same
            before, before_term = entries[0].index, entries[0].term
            entries.pop(0)
        fits = (
            before <= self.base_snapshot.index
            if before < self.base_snapshot.index
            else self.term_at(before) == before_term
        )
        if not fits:
            hint = min(self.last_index, before - 1)
            step.sends.append(
                (
                    message.sender.address,
                    AppendReply(self.term, self.me, False, hint, message.sent_at_us),
                )
            )
            return
        match = max(before, self.base_snapshot.index)
        for number, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                del self.log[entry.index - self.base_snapshot.index - 1 :]
                self.log += entries[number:]
                step.writes.append(SaveEntries(entry.index, tuple(entries[number:])))
                self._refresh_members()
                break
        match = max(match, entries[-1].index) if entries else match
        step.sends.append(
            (
                message.sender.address,
                AppendReply(self.term, self.me, True, match, message.sent_at_us),
            )
        )
        if (upto := min(message.commit_index, match)) > self.commit_index:
            self._commit(upto, step)


def bootstrap_state(members: Iterable[Member]) -> PersistedState:
    """The disk of a member at the first start of all."""
    return PersistedState(snapshot=Snapshot(0, 0, tuple(sorted(members))))


def bootstrap_member(address: str) -> Member:
    """Who stands at a door at the first start of all: known to the others before they have
    spoken."""
    return Member(address, f"first-{address}")
