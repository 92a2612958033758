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
BATCH = 2 * fragments.PART


class RaftNode(Election, Membership, Compaction):
    # Inputs.

    def tick(self, now: float) -> Ready:
        step = Ready()
        if self.role is Role.LEADER:
            self._tick_leader(now, step)
        elif self.leaving:
            if not self.is_out():
                self._ask(now, step, Leave(self.term, self.me))
        elif not self.is_member():
            self._ask_in(
                now, step
            )  # though it is heard: that may be meant for the disk that was here before
        else:
            if now - self.heard_at > self.times.unheard or not self._place_is_told():
                self._ask_in(now, step)  # that it is a member may never have been decided
            if now >= self._due and self.may_stand():
                self._campaign(now, step, pre_vote=True)
        return step

    def _tick_leader(self, now: float, step: Ready) -> None:
        if (
            now >= self.lease_end(now) + self.times.quiet
            and now - self.changed_at > 2 * self.times.quiet
        ):
            self._become_follower(
                now, step, self.term, None
            )  # nobody follows: others may be better off
        elif (
            not self._opened
            and now - self.changed_at > self.times.open
            and not self._catches_up(now)
        ):
            self._become_follower(now, step, self.term, None)  # followed, and nothing is decided
            self._due += 2 * self.times.quiet
        elif self._handed and now - self.changed_at > self.times.hand_over:
            self._become_follower(
                now, step, self.term, None
            )  # nobody has taken it: whoever can, may
        else:
            if self._handed or self.leaving or (self._opened and not self.may_stand()):
                self._hand_over(now, step)
            if now >= self._beat_at:
                self._beat(now, step)
            if (
                now >= self._change_at
            ):  # whether or not beats were sent meanwhile, as each entry does
                self._change_at = now + self.times.beat
                self._prune(now)
                self._take_in(now, step)

    def propose(self, now: float, data: bytes) -> tuple[int, Ready]:
        """Appends; the index, or 0 if this one does not hold the term. Delivery tells what became
        of it."""
        step = Ready()
        if self.role is not Role.LEADER or self._handed or self.leaving:
            return 0, step
        return self._append_entry(now, step, Entry(self.last + 1, self.term, data)), step

    def received(self, now: float, message: Message) -> Ready:
        step = Ready()
        match message:
            case RequestVote():
                self._vote_requested(now, step, message)
            case VoteReply():
                self._vote_replied(now, step, message)
            case AppendEntries():
                self._append_entries(now, step, message)
            case AppendReply():
                self._append_replied(now, step, message)
            case InstallSnapshot():
                self._install_snapshot(now, step, message)
            case SnapshotReply():
                self._snapshot_replied(now, step, message)
            case Join():
                self._joining(now, step, message)
            case Leave():
                self._asked_to_leave(now, step, message)
            case TimeoutNow():
                self._told_to_stand(now, step, message)
        return step

    # The leader.

    def _append_entry(self, now: float, step: Ready, entry: Entry) -> int:
        self.log.append(entry)
        step.writes.append(SaveEntries(entry.index, (entry,)))
        if entry.members:
            self._look_up_members()
        self._beat(now, step)
        self._advance(now, step)
        return entry.index

    def _beat(self, now: float, step: Ready) -> None:
        self._beat_at = now + self.times.beat
        for peer in self.peers.values():
            self._send(now, step, peer)

    def hurry(self, now: float, apart: float) -> Ready:
        """A beat at once, if the last one was sent `apart` seconds ago or earlier."""
        step = Ready()
        if self.role is Role.LEADER and now >= self._beat_at - self.times.beat + apart:
            self._beat(now, step)
        return step

    def _send(self, now: float, step: Ready, peer: Progress) -> None:
        sent = int(now * 1e6)
        if peer.next <= self.base.index and not self.tail.covers(peer.next):
            self._send_snapshot(now, step, peer, beat=True)
            return
        peer.transfer = None
        entries: list[Entry] = []
        # Sent again only to who has answered something later: one that is away would have its way
        # filled.
        lost = now - peer.out_at >= self.times.again and peer.acked >= peer.out_at
        if peer.out_at < 0 or lost:
            size = 0
            at = peer.next - self.base.index - 1
            for entry in self.log[at:] if at >= 0 else self.tail.since(peer.next):
                size += len(entry.data)
                if entries and size > BATCH:
                    break
                entries.append(entry)
            peer.out_at = now if entries else -1.0
        before = peer.next - 1
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

    def _append_replied(self, now: float, step: Ready, message: AppendReply) -> None:
        if (peer := self._replier(now, step, message)) is None:
            return
        if message.ok and max(peer.match, message.match) >= self.commit_index:
            peer.level_at = now
        if not message.ok:
            if (
                peer.next
            ):  # else it is to have the snapshot first, whatever was meant for the disk before it
                peer.next, peer.out_at = max(1, min(message.match + 1, peer.next - 1)), -1.0
            self._send(now, step, peer)
            return
        if message.match > peer.match or peer.next <= message.match:
            peer.match = max(peer.match, message.match)
            peer.next, peer.out_at = max(peer.next, message.match + 1), -1.0
            self._advance(now, step)
            if peer.next <= self.last and self.role is Role.LEADER:
                self._send(now, step, peer)
        if peer.member not in self._members:
            self._take_in(now, step)

    def _held(self, index: int, among: tuple[Member, ...]) -> bool:
        """A majority of these has it on disk."""
        have = sum(
            1 for m in among if m == self.me or ((p := self.peers.get(m.disk)) and p.match >= index)
        )
        return have > len(among) // 2

    def _advance(self, now: float, step: Ready) -> None:
        index = self.last
        while index > self.commit_index and self.term_at(index) == self.term:
            if all(self._held(index, voters) for voters in self._quorums()):
                self._deliver(index, step)
                self._beat(now, step)
                break
            index -= 1

    def _deliver(self, upto: int, step: Ready) -> None:
        for entry in self.log[self.commit_index - self.base.index : upto - self.base.index]:
            step.delivered.append(entry)
            if entry.term == self.term and self.role is Role.LEADER:
                self._opened = True
        self.commit_index = max(self.commit_index, upto)

    # Those who follow.

    def _heard(self, now: float, step: Ready, message: AppendEntries | InstallSnapshot) -> bool:
        if message.term < self.term or (message.term == self.term and self.role is Role.LEADER):
            step.sends.append(
                (
                    message.sender.address,
                    AppendReply(self.term, self.me, False, self.last, message.sent),
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
            self.voted_for != message.sender.disk
        ):  # whom its promises are to is known after a start as well
            self.voted_for = message.sender.disk
            step.writes.append(HardState(self.term, self.voted_for))
        self.heard_at = now
        self._reset_election_timer(now)
        return True

    def _append_entries(self, now: float, step: Ready, message: AppendEntries) -> None:
        if not self._heard(now, step, message):
            return
        entries, before, before_term = list(message.entries), message.prev_index, message.prev_term
        sound = list(takewhile(lambda entry: fragments.is_sound(entry.data), entries))
        if len(sound) < len(entries):
            step.spoilt, entries = f"entry {entries[len(sound)].index}: not as it was made", sound
        while (
            entries and before < self.base.index
        ):  # covered by the snapshot: delivered, so the same
            before, before_term = entries[0].index, entries[0].term
            entries.pop(0)
        fits = (
            before <= self.base.index
            if before < self.base.index
            else self.term_at(before) == before_term
        )
        if not fits:
            hint = min(self.last, before - 1)
            step.sends.append(
                (message.sender.address, AppendReply(self.term, self.me, False, hint, message.sent))
            )
            return
        match = max(before, self.base.index)
        for number, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                del self.log[entry.index - self.base.index - 1 :]
                self.log += entries[number:]
                step.writes.append(SaveEntries(entry.index, tuple(entries[number:])))
                self._look_up_members()
                break
        match = max(match, entries[-1].index) if entries else match
        step.sends.append(
            (message.sender.address, AppendReply(self.term, self.me, True, match, message.sent))
        )
        if (upto := min(message.commit_index, match)) > self.commit_index:
            self._deliver(upto, step)


def founded(members: Iterable[Member]) -> PersistedState:
    """The disk of a member at the first start of all."""
    return PersistedState(snapshot=Snapshot(0, 0, tuple(sorted(members))))


def founder(address: str) -> Member:
    """Who stands at a door at the first start of all: known to the others before they have
    spoken."""
    return Member(address, f"first-{address}")
