"""The core's log as a pure machine: inputs in, what to write, send and deliver out.

One leader a term appends; the others follow it. A change of term stops delivery, trims what only a minority
of the old term holds, and goes on. An entry is delivered once a majority of the members has it on disk. A
member is a door and a disk: one whose disk was wiped is another member, and its vote counts for nothing
until the others have taken it in, which they do with a majority of their own.

Times are seconds on a clock that never goes back; nothing here depends on the time of day. The caller
carries a `Step` out in order: writes, synced; then sends; then deliveries.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from playhouse.promptbook.messages import (
    AppendEntries,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Join,
    KeepEntries,
    KeepSnapshot,
    Kept,
    Member,
    Message,
    RequestVote,
    Snapshot,
    Step,
    VoteReply,
)


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Times:
    quiet: float = 0.5  # s without the leader before which nobody gives another a vote
    beat: float = 0.15
    turn: float = 0.05  # s that each waits longer than the one before it: two at once would split the votes
    soon: float = 0.1  # s that they spread over where the last leader's life is known to be over
    again: float = 0.4  # s after which an append that was not answered is sent again
    join: float = 0.3
    open: float = 5.0  # s within which a leader's first entry is to be decided
    unheard: float = 2.0  # s without a leader after which a member asks whether it is one
    drift: float = 0.05  # of a span that two clocks may differ by

    @property
    def lease(self) -> float:  # s from a beat's sending for which a majority has promised to follow
        return self.quiet * (1 - 2 * self.drift)


BATCH = 256 * 1024  # bytes of entries in one append, but for one that is larger by itself


@dataclass(slots=True)
class Progress:
    """How far another member is, as far as the leader knows."""

    member: Member
    next: int
    match: int = 0
    out_at: float = -1.0  # when entries were sent that were not answered yet; -1: none are out
    acked: float = float("-inf")  # when the newest beat was sent that it has answered


class Machine:
    def __init__(
        self, me: Member, kept: Kept, now: float, rng: random.Random, times: Times | None = None,
        doors: Iterable[str] = (),
    ) -> None:  # fmt: skip
        """`doors`: where other members may be, for one that is none yet."""
        self.me, self.rng, self.times, self.doors = me, rng, times or Times(), tuple(doors)
        self.term, self.voted_for, self.base, self.log = (
            kept.term,
            kept.voted_for,
            kept.snapshot,
            list(kept.entries),
        )
        self.commit_index = kept.snapshot.index
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.peers: dict[str, Progress] = {}  # by disk; members and those that are to become some
        self.changed_at = 0.0
        self._members: tuple[Member, ...] = ()
        self._members_at = 0  # the entry that named them
        self._before: tuple[Member, ...] = ()  # those before that entry
        self._votes: set[str] = set()
        self._opened = False  # an entry of the term that this one holds was delivered
        self._beat_at = self._join_at = now
        self.heard_at = (
            now  # a start counts: what was promised to a leader before it, is not known any longer
        )
        self._due = 0.0
        self._look_up_members()
        self._reset_election_timer(now)
        self._soon_until = float("-inf")
        if kept.voted_for == me.disk:  # it may have held this term: the promises of that life were to itself
            self._due, self._soon_until = now, now + 3 * self.times.quiet

    # What is known.

    @property
    def members(self) -> tuple[Member, ...]:
        return self._members

    @property
    def last(self) -> int:
        return self.base.index + len(self.log)

    def term_at(self, index: int) -> int:
        if index == self.base.index:
            return self.base.term
        return self.log[index - self.base.index - 1].term if self.base.index < index <= self.last else -1

    def leads(self, now: float) -> bool:
        """This one holds the term, a majority follows it for sure, and it knows all that was ever
        delivered."""
        return self.role is Role.LEADER and self._opened and now < self.lease_end(now)

    def lease_end(self, now: float) -> float:
        """Until when no other can hold a later term."""
        return self.contact(now) + self.times.lease

    def contact(self, now: float) -> float:
        """The newest time of which it is sure that a majority has answered, in this term, what was sent at
        it or after it: a read index rests on that."""
        acked = sorted(
            (now if m == self.me else self.peers[m.disk].acked if m.disk in self.peers else float("-inf"))
            for m in self._members
        )
        return acked[(len(acked) - 1) // 2] if acked else float("-inf")

    def hurry(self, now: float, apart: float) -> Step:
        """A beat at once, if the last one was sent `apart` seconds ago or earlier."""
        step = Step()
        if self.role is Role.LEADER and now >= self._beat_at - self.times.beat + apart:
            self._beat(now, step)
        return step

    def wants_snapshot(self) -> bool:
        """Who the members are is decided, and only the log says so: after a start nobody would know that it
        is, and those before them would be asked as well, of whom one disk is gone."""
        return self.base.index < self._members_at <= self.commit_index

    def is_member(self) -> bool:
        return self.me in self._members

    def _look_up_members(self) -> None:
        found, at, before = self.base.members, self.base.index, self.base.members
        for entry in self.log:
            if entry.members:
                before, found, at = found, entry.members, entry.index
        self._members, self._members_at, self._before = found, at, before

    def _reset_election_timer(self, now: float) -> None:
        others = [m for m in self._members if m != self.leader]
        turn = others.index(self.me) if self.me in others else len(others)
        self._due = now + 1.05 * self.times.quiet + self.times.turn * (turn + 0.4 * self.rng.random())

    # Inputs.

    def tick(self, now: float) -> Step:
        step = Step()
        if self.role is Role.LEADER:
            if now >= self.lease_end(now) + self.times.quiet and now - self.changed_at > 2 * self.times.quiet:
                self._become_follower(now, step, self.term, None)  # nobody follows: others may be better off
            elif not self._opened and now - self.changed_at > self.times.open:
                self._become_follower(
                    now, step, self.term, None
                )  # followed, and nothing is ever decided: as well
                self._due += 2 * self.times.quiet
            elif now >= self._beat_at:
                self._beat(now, step)
        elif not self.is_member():
            self._ask_in(now, step)  # though it is heard: that may be meant for the disk that was here before
        else:
            if now - self.heard_at > self.times.unheard:
                self._ask_in(now, step)  # that it is a member may never have been decided
            if now >= self._due:
                self._campaign(now, step, pre_vote=True)
        return step

    def _ask_in(self, now: float, step: Step) -> None:
        if now >= self._join_at:
            self._join_at = now + self.times.join * (1 + self.rng.random())
            step.sends += [(door, Join(self.term, self.me)) for door in self._others()]

    def propose(self, now: float, data: bytes) -> tuple[int, Step]:
        """Appends; the index, or 0 if this one does not hold the term. Delivery tells what became of it."""
        step = Step()
        if self.role is not Role.LEADER:
            return 0, step
        return self._append_entry(now, step, Entry(self.last + 1, self.term, data)), step

    def received(self, now: float, message: Message) -> Step:
        step = Step()
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
            case Join():
                self._joining(now, step, message)
        return step

    def compact(self, state: bytes) -> Step:
        """The state after all that was delivered takes the place of the entries that led to it."""
        step, index = Step(), self.commit_index
        members = self.base.members
        for entry in self.log[: index - self.base.index]:
            members = entry.members or members
        made = Snapshot(index, self.term_at(index), members, state)
        self.log = self.log[index - self.base.index :]
        self.base = made
        self._look_up_members()
        step.writes.append(KeepSnapshot(made, alone=False))
        return step

    # Views.

    def _others(self) -> list[str]:
        named = [m.door for m in self._members] + list(self.doors)
        return [d for d in dict.fromkeys(named) if d != self.me.door]

    def _campaign(self, now: float, step: Step, pre_vote: bool) -> None:
        self._reset_election_timer(now)
        if pre_vote and now < self._soon_until:  # others may be about to start
            self._due = now + self.times.soon
        self._votes = {self.me.disk}
        self.leader = None
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role, self.term, self.voted_for = Role.CANDIDATE, self.term + 1, self.me.disk
            step.writes.append(HardState(self.term, self.voted_for))
        asked = RequestVote(self.term + pre_vote, self.me, pre_vote, self.last, self.term_at(self.last))
        step.sends += [(m.door, asked) for m in self._members if m != self.me]
        self._count(now, step)

    def _vote_requested(self, now: float, step: Step, message: RequestVote) -> None:
        follows = self.role is Role.LEADER and now < self.lease_end(now)
        follows = follows or (self.role is not Role.LEADER and now - self.heard_at < self.times.quiet)
        # The promise was to give no other a vote. Who it was to asks only in a new life, the old one is
        # over.
        follows = follows and not (self.role is not Role.LEADER and self.voted_for == message.sender.disk)
        current = (message.last_term, message.last_index) >= (self.term_at(self.last), self.last)
        if message.pre_vote:
            granted = message.term > self.term and current and not follows
            # A no tells the term here: whoever lags behind it has to ask above it to be heard at all.
            term = message.term if granted else self.term
            step.sends.append((message.sender.door, VoteReply(term, self.me, True, granted)))
            return
        if follows:
            return  # a majority promised the leader this span: that is what its lease rests on
        if message.term > self.term:
            self._become_follower(now, step, message.term, None)
        granted = message.term == self.term and current and self.voted_for in ("", message.sender.disk)
        granted = granted and self.role is Role.FOLLOWER
        if granted:
            self.voted_for = message.sender.disk
            step.writes.append(HardState(self.term, self.voted_for))
            self._reset_election_timer(now)
        step.sends.append((message.sender.door, VoteReply(self.term, self.me, False, granted)))

    def _vote_replied(self, now: float, step: Step, message: VoteReply) -> None:
        behind = not message.pre_vote or (not message.granted and self.role is Role.PRE_CANDIDATE)
        if message.term > self.term and behind:
            self._become_follower(now, step, message.term, None)
            return
        wanted = self.term + 1 if self.role is Role.PRE_CANDIDATE else self.term
        asks = self.role is (Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE)
        if asks and message.granted and message.term == wanted and message.sender in self._members:
            self._votes.add(message.sender.disk)
            self._count(now, step)

    def _count(self, now: float, step: Step) -> None:
        if len(self._votes) <= len(self._members) // 2:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, step, pre_vote=False)
            return
        self.role, self.leader, self.changed_at, self._opened = Role.LEADER, self.me, now, False
        self.peers = {m.disk: Progress(m, self.last + 1) for m in self._members if m != self.me}
        self._append_entry(now, step, Entry(self.last + 1, self.term, opens=True))

    def _become_follower(self, now: float, step: Step, term: int, leader: Member | None) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            step.writes.append(HardState(term, ""))
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self.changed_at = now
        self.role, self.leader, self.peers = Role.FOLLOWER, leader, {}
        self._reset_election_timer(now)

    # The leader.

    def _append_entry(self, now: float, step: Step, entry: Entry) -> int:
        self.log.append(entry)
        step.writes.append(KeepEntries(entry.index, (entry,)))
        if entry.members:
            self._look_up_members()
        self._beat(now, step)
        self._advance(now, step)
        return entry.index

    def _beat(self, now: float, step: Step) -> None:
        self._beat_at = now + self.times.beat
        for peer in self.peers.values():
            self._send(now, step, peer)

    def _send(self, now: float, step: Step, peer: Progress) -> None:
        sent = int(now * 1e6)
        if peer.next <= self.base.index:
            if peer.out_at < 0 or now - peer.out_at >= 4 * self.times.again:
                peer.out_at = now
                step.sends.append((peer.member.door, InstallSnapshot(self.term, self.me, self.base, sent)))
            return
        entries: list[Entry] = []
        if peer.out_at < 0 or now - peer.out_at >= self.times.again:
            size = 0
            for entry in self.log[peer.next - self.base.index - 1 :]:
                size += len(entry.data)
                if entries and size > BATCH:
                    break
                entries.append(entry)
            peer.out_at = now if entries else -1.0
        before = peer.next - 1
        message = AppendEntries(
            self.term, self.me, before, self.term_at(before), tuple(entries), self.commit_index, sent
        )
        step.sends.append((peer.member.door, message))

    def _append_replied(self, now: float, step: Step, message: AppendReply) -> None:
        if message.term > self.term:
            self._become_follower(now, step, message.term, None)
            return
        peer = self.peers.get(message.sender.disk)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return
        peer.acked = max(peer.acked, message.sent / 1e6)
        if not message.ok:
            peer.next, peer.out_at = max(1, min(message.match + 1, peer.next - 1)), -1.0
            self._send(now, step, peer)
            return
        if message.match > peer.match or peer.next <= message.match:
            peer.match = max(peer.match, message.match)
            peer.next, peer.out_at = max(peer.next, message.match + 1), -1.0
            self._advance(now, step)
            if peer.next <= self.last and self.role is Role.LEADER:
                self._send(now, step, peer)
        self._take_in(now, step)

    def _held(self, index: int, among: tuple[Member, ...]) -> bool:
        """A majority of these has it on disk."""
        have = sum(1 for m in among if m == self.me or ((p := self.peers.get(m.disk)) and p.match >= index))
        return have > len(among) // 2

    def _advance(self, now: float, step: Step) -> None:
        index = self.last
        while index > self.commit_index and self.term_at(index) == self.term:
            held = self._held(index, self._members)
            if (
                self._members_at > self.commit_index and index >= self._members_at
            ):  # those before say yes as well
                held = held and self._held(index, self._before)
            if held:
                self._deliver(index, step)
                self._beat(now, step)
                break
            index -= 1

    def _deliver(self, upto: int, step: Step) -> None:
        for entry in self.log[self.commit_index - self.base.index : upto - self.base.index]:
            step.delivered.append(entry)
            if entry.term == self.term and self.role is Role.LEADER:
                self._opened = True
        self.commit_index = max(self.commit_index, upto)

    def _joining(self, now: float, step: Step, message: Join) -> None:
        if self.role is not Role.LEADER:
            held = next((m for m in self._members if m.disk == self.voted_for), None)
            if held and held.door == message.sender.door and held != message.sender and self.is_member():
                # The last leader's disk is gone, and the life that held the term with it: nobody holds it.
                self.heard_at = float("-inf")
                self._due = min(self._due, now + self.times.soon * self.rng.random())
            if self.leader and self.leader != message.sender:
                step.sends.append((self.leader.door, message))
            return
        if message.sender.disk not in self.peers and message.sender != self.me:
            for disk, peer in list(self.peers.items()):
                if peer.member.door == message.sender.door and peer.member not in self._members:
                    del self.peers[disk]
            # From the snapshot on, if it is the founders' alone: who came before it, only that tells.
            self.peers[message.sender.disk] = Progress(message.sender, 0)
            self._send(now, step, self.peers[message.sender.disk])

    def _take_in(self, now: float, step: Step) -> None:
        """One that has caught up becomes a member, in the place of the one at its door before; one at a
        time."""
        if not self._opened or self._members_at > self.commit_index:
            return
        for peer in list(self.peers.values()):
            if peer.member not in self._members and peer.match >= self.commit_index > 0:
                stay = tuple(m for m in self._members if m.door != peer.member.door)
                gone = [m for m in self._members if m.door == peer.member.door]
                members = tuple(sorted((*stay, peer.member)))
                self._append_entry(now, step, Entry(self.last + 1, self.term, members=members))
                for member in gone:
                    self.peers.pop(member.disk, None)
                return

    # Those who follow.

    def _heard(self, now: float, step: Step, message: AppendEntries | InstallSnapshot) -> bool:
        if message.term < self.term or (message.term == self.term and self.role is Role.LEADER):
            step.sends.append(
                (message.sender.door, AppendReply(self.term, self.me, False, self.last, message.sent))
            )
            return False
        if message.term > self.term or self.role is not Role.FOLLOWER or self.leader != message.sender:
            self._become_follower(now, step, message.term, message.sender)
        if self.voted_for != message.sender.disk:  # whom its promises are to is known after a start as well
            self.voted_for = message.sender.disk
            step.writes.append(HardState(self.term, self.voted_for))
        self.heard_at = now
        self._reset_election_timer(now)
        return True

    def _append_entries(self, now: float, step: Step, message: AppendEntries) -> None:
        if not self._heard(now, step, message):
            return
        entries, before, before_term = list(message.entries), message.prev_index, message.prev_term
        while entries and before < self.base.index:  # covered by the snapshot: delivered, so the same
            before, before_term = entries[0].index, entries[0].term
            entries.pop(0)
        fits = before <= self.base.index if before < self.base.index else self.term_at(before) == before_term
        if not fits:
            hint = min(self.last, before - 1)
            step.sends.append(
                (message.sender.door, AppendReply(self.term, self.me, False, hint, message.sent))
            )
            return
        match = max(before, self.base.index)
        for number, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                del self.log[entry.index - self.base.index - 1 :]
                self.log += entries[number:]
                step.writes.append(KeepEntries(entry.index, tuple(entries[number:])))
                self._look_up_members()
                break
        match = max(match, entries[-1].index) if entries else match
        step.sends.append((message.sender.door, AppendReply(self.term, self.me, True, match, message.sent)))
        if (upto := min(message.commit_index, match)) > self.commit_index:
            self._deliver(upto, step)

    def _install_snapshot(self, now: float, step: Step, message: InstallSnapshot) -> None:
        if not self._heard(now, step, message):
            return
        made = message.snapshot
        if made.index > self.commit_index or not self.base.members:
            self.base, self.log, self.commit_index = made, [], made.index
            self._look_up_members()
            step.writes.append(KeepSnapshot(made, alone=True))
            step.restored = made
        step.sends.append(
            (message.sender.door, AppendReply(self.term, self.me, True, self.commit_index, message.sent))
        )


def founded(members: Iterable[Member]) -> Kept:
    """The disk of a member at the first start of all."""
    return Kept(snapshot=Snapshot(0, 0, tuple(sorted(members))))


def founder(door: str) -> Member:
    """Who stands at a door at the first start of all: known to the others before they have spoken."""
    return Member(door, f"first-{door}")
