"""The core's log as a pure machine: inputs in, what to write, send and deliver out.

One holder a view appends; the others follow it. A change of view stops delivery, trims what only a minority
of the old view holds, and goes on. An entry is delivered once a majority of the members has it on disk. A
member is a door and a disk: one whose disk was wiped is another member, and its voice counts for nothing
until the others have taken it in, which they do with a majority of their own.

Times are seconds on a clock that never goes back; nothing here depends on the time of day. The caller
carries a `Step` out in order: writes, synced; then sends; then deliveries.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True, order=True)
class Member:
    door: str  # host:port
    disk: str  # drawn anew for each disk


@dataclass(frozen=True, slots=True)
class Entry:
    index: int
    view: int
    data: bytes = b""
    members: tuple[Member, ...] = ()  # of the core from here on, if any are named
    opens: bool = False  # the first of its view


@dataclass(frozen=True, slots=True)
class Snapshot:
    index: int = 0
    view: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""


@dataclass(slots=True)
class Kept:
    """What a disk holds."""

    view: int = 0
    voted: str = ""  # the disk that this one's voice went to in that view
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot


# What members say to one another.


@dataclass(frozen=True, slots=True)
class Canvass:
    view: int
    sender: Member
    trial: bool  # asks who would give their voice; nobody is bound by the answer
    last_index: int
    last_view: int


@dataclass(frozen=True, slots=True)
class Ballot:
    view: int
    sender: Member
    trial: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class Append:
    view: int
    sender: Member
    prev_index: int
    prev_view: int
    entries: tuple[Entry, ...]
    commit: int
    sent: int  # the holder's clock, us: comes back with the answer


@dataclass(frozen=True, slots=True)
class Appended:
    view: int
    sender: Member
    ok: bool
    match: int  # all up to here is on disk; if not ok: where to try again
    sent: int


@dataclass(frozen=True, slots=True)
class Install:
    view: int
    sender: Member
    snapshot: Snapshot
    sent: int


@dataclass(frozen=True, slots=True)
class Join:
    view: int
    sender: Member


Line = Canvass | Ballot | Append | Appended | Install | Join


# What a disk is to keep.


@dataclass(frozen=True, slots=True)
class Promise:
    view: int
    voted: str


@dataclass(frozen=True, slots=True)
class Keep:
    """Entries from `first` on are replaced by these."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class KeepSnapshot:
    """In place of all entries up to its index; with `alone`, of all entries."""

    snapshot: Snapshot
    alone: bool


Write = Promise | Keep | KeepSnapshot


@dataclass(slots=True)
class Step:
    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Line]] = field(default_factory=list)
    restored: Snapshot | None = None  # the state is to become this, before what is delivered
    delivered: list[Entry] = field(default_factory=list)


class Role(Enum):
    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    HOLDER = "holder"


@dataclass(frozen=True, slots=True)
class Times:
    quiet: float = 0.5  # s without the holder before which nobody gives another a voice
    beat: float = 0.15
    turn: float = 0.05  # s that each waits longer than the one before it: two at once would split the voices
    soon: float = 0.1  # s that they spread over where the last holder's life is known to be over
    again: float = 0.4  # s after which an append that was not answered is sent again
    join: float = 0.3
    open: float = 5.0  # s within which a holder's first entry is to be decided
    unheard: float = 2.0  # s without a holder after which a member asks whether it is one
    drift: float = 0.05  # of a span that two clocks may differ by

    @property
    def lease(self) -> float:  # s from a beat's sending for which a majority has promised to follow
        return self.quiet * (1 - 2 * self.drift)


BATCH = 256 * 1024  # bytes of entries in one append, but for one that is larger by itself


@dataclass(slots=True)
class Progress:
    """How far another member is, as far as the holder knows."""

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
        self.view, self.voted, self.base, self.log = kept.view, kept.voted, kept.snapshot, list(kept.entries)
        self.commit = kept.snapshot.index
        self.role = Role.FOLLOWER
        self.holder: Member | None = None
        self.peers: dict[str, Progress] = {}  # by disk; members and those that are to become some
        self.changed_at = 0.0
        self._members: tuple[Member, ...] = ()
        self._members_at = 0  # the entry that named them
        self._before: tuple[Member, ...] = ()  # those before that entry
        self._voices: set[str] = set()
        self._opened = False  # an entry of the view that this one holds was delivered
        self._beat_at = self._join_at = now
        self.heard_at = (
            now  # a start counts: what was promised to a holder before it, is not known any longer
        )
        self._due = 0.0
        self._look_up_members()
        self._wait(now)
        self._soon_until = float("-inf")
        if kept.voted == me.disk:  # it may have held this view: the promises of that life were to itself
            self._due, self._soon_until = now, now + 3 * self.times.quiet

    # What is known.

    @property
    def members(self) -> tuple[Member, ...]:
        return self._members

    @property
    def last(self) -> int:
        return self.base.index + len(self.log)

    def view_at(self, index: int) -> int:
        if index == self.base.index:
            return self.base.view
        return self.log[index - self.base.index - 1].view if self.base.index < index <= self.last else -1

    def holds(self, now: float) -> bool:
        """This one holds the view, a majority follows it for sure, and it knows all that was ever
        delivered."""
        return self.role is Role.HOLDER and self._opened and now < self.lease_end(now)

    def lease_end(self, now: float) -> float:
        """Until when no other can hold a later view."""
        acked = sorted(
            (now if m == self.me else self.peers[m.disk].acked if m.disk in self.peers else float("-inf"))
            for m in self._members
        )
        return acked[(len(acked) - 1) // 2] + self.times.lease if acked else float("-inf")

    def wants_snapshot(self) -> bool:
        """Who the members are is decided, and only the log says so: after a start nobody would know that it
        is, and those before them would be asked as well, of whom one disk is gone."""
        return self.base.index < self._members_at <= self.commit

    def is_member(self) -> bool:
        return self.me in self._members

    def _look_up_members(self) -> None:
        found, at, before = self.base.members, self.base.index, self.base.members
        for entry in self.log:
            if entry.members:
                before, found, at = found, entry.members, entry.index
        self._members, self._members_at, self._before = found, at, before

    def _wait(self, now: float) -> None:
        others = [m for m in self._members if m != self.holder]
        turn = others.index(self.me) if self.me in others else len(others)
        self._due = now + 1.05 * self.times.quiet + self.times.turn * (turn + 0.4 * self.rng.random())

    # Inputs.

    def tick(self, now: float) -> Step:
        step = Step()
        if self.role is Role.HOLDER:
            if now >= self.lease_end(now) + self.times.quiet and now - self.changed_at > 2 * self.times.quiet:
                self._follow(now, step, self.view, None)  # nobody follows: others may be better off
            elif not self._opened and now - self.changed_at > self.times.open:
                self._follow(now, step, self.view, None)  # followed, and nothing is ever decided: as well
                self._due += 2 * self.times.quiet
            elif now >= self._beat_at:
                self._beat(now, step)
        elif not self.is_member():
            self._ask_in(now, step)  # though it is heard: that may be meant for the disk that was here before
        else:
            if now - self.heard_at > self.times.unheard:
                self._ask_in(now, step)  # that it is a member may never have been decided
            if now >= self._due:
                self._canvass(now, step, trial=True)
        return step

    def _ask_in(self, now: float, step: Step) -> None:
        if now >= self._join_at:
            self._join_at = now + self.times.join * (1 + self.rng.random())
            step.sends += [(door, Join(self.view, self.me)) for door in self._others()]

    def propose(self, now: float, data: bytes) -> tuple[int, Step]:
        """Appends; the index, or 0 if this one does not hold the view. Delivery tells what became of it."""
        step = Step()
        if self.role is not Role.HOLDER:
            return 0, step
        return self._append(now, step, Entry(self.last + 1, self.view, data)), step

    def received(self, now: float, line: Line) -> Step:
        step = Step()
        match line:
            case Canvass():
                self._canvassed(now, step, line)
            case Ballot():
                self._ballot(now, step, line)
            case Append():
                self._appending(now, step, line)
            case Appended():
                self._appended(now, step, line)
            case Install():
                self._install(now, step, line)
            case Join():
                self._joining(now, step, line)
        return step

    def compact(self, state: bytes) -> Step:
        """The state after all that was delivered takes the place of the entries that led to it."""
        step, index = Step(), self.commit
        members = self.base.members
        for entry in self.log[: index - self.base.index]:
            members = entry.members or members
        made = Snapshot(index, self.view_at(index), members, state)
        self.log = self.log[index - self.base.index :]
        self.base = made
        self._look_up_members()
        step.writes.append(KeepSnapshot(made, alone=False))
        return step

    # Views.

    def _others(self) -> list[str]:
        named = [m.door for m in self._members] + list(self.doors)
        return [d for d in dict.fromkeys(named) if d != self.me.door]

    def _canvass(self, now: float, step: Step, trial: bool) -> None:
        self._wait(now)
        if trial and now < self._soon_until:  # others may be about to start
            self._due = now + self.times.soon
        self._voices = {self.me.disk}
        self.holder = None
        if trial:
            self.role = Role.TRIAL
        else:
            self.role, self.view, self.voted = Role.CANDIDATE, self.view + 1, self.me.disk
            step.writes.append(Promise(self.view, self.voted))
        asked = Canvass(self.view + trial, self.me, trial, self.last, self.view_at(self.last))
        step.sends += [(m.door, asked) for m in self._members if m != self.me]
        self._count(now, step)

    def _canvassed(self, now: float, step: Step, line: Canvass) -> None:
        follows = self.role is Role.HOLDER and now < self.lease_end(now)
        follows = follows or (self.role is not Role.HOLDER and now - self.heard_at < self.times.quiet)
        # The promise was to give no other a voice. Who it was to asks only in a new life, the old one is
        # over.
        follows = follows and not (self.role is not Role.HOLDER and self.voted == line.sender.disk)
        current = (line.last_view, line.last_index) >= (self.view_at(self.last), self.last)
        if line.trial:
            granted = line.view > self.view and current and not follows
            # A no tells the view here: whoever lags behind it has to ask above it to be heard at all.
            view = line.view if granted else self.view
            step.sends.append((line.sender.door, Ballot(view, self.me, True, granted)))
            return
        if follows:
            return  # a majority promised the holder this span: that is what its lease rests on
        if line.view > self.view:
            self._follow(now, step, line.view, None)
        granted = line.view == self.view and current and self.voted in ("", line.sender.disk)
        granted = granted and self.role is Role.FOLLOWER
        if granted:
            self.voted = line.sender.disk
            step.writes.append(Promise(self.view, self.voted))
            self._wait(now)
        step.sends.append((line.sender.door, Ballot(self.view, self.me, False, granted)))

    def _ballot(self, now: float, step: Step, line: Ballot) -> None:
        behind = not line.trial or (not line.granted and self.role is Role.TRIAL)
        if line.view > self.view and behind:
            self._follow(now, step, line.view, None)
            return
        wanted = self.view + 1 if self.role is Role.TRIAL else self.view
        asks = self.role is (Role.TRIAL if line.trial else Role.CANDIDATE)
        if asks and line.granted and line.view == wanted and line.sender in self._members:
            self._voices.add(line.sender.disk)
            self._count(now, step)

    def _count(self, now: float, step: Step) -> None:
        if len(self._voices) <= len(self._members) // 2:
            return
        if self.role is Role.TRIAL:
            self._canvass(now, step, trial=False)
            return
        self.role, self.holder, self.changed_at, self._opened = Role.HOLDER, self.me, now, False
        self.peers = {m.disk: Progress(m, self.last + 1) for m in self._members if m != self.me}
        self._append(now, step, Entry(self.last + 1, self.view, opens=True))

    def _follow(self, now: float, step: Step, view: int, holder: Member | None) -> None:
        if view > self.view:
            self.view, self.voted = view, ""
            step.writes.append(Promise(view, ""))
        if self.role is not Role.FOLLOWER or holder != self.holder:
            self.changed_at = now
        self.role, self.holder, self.peers = Role.FOLLOWER, holder, {}
        self._wait(now)

    # The holder.

    def _append(self, now: float, step: Step, entry: Entry) -> int:
        self.log.append(entry)
        step.writes.append(Keep(entry.index, (entry,)))
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
                step.sends.append((peer.member.door, Install(self.view, self.me, self.base, sent)))
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
        line = Append(self.view, self.me, before, self.view_at(before), tuple(entries), self.commit, sent)
        step.sends.append((peer.member.door, line))

    def _appended(self, now: float, step: Step, line: Appended) -> None:
        if line.view > self.view:
            self._follow(now, step, line.view, None)
            return
        peer = self.peers.get(line.sender.disk)
        if self.role is not Role.HOLDER or line.view != self.view or peer is None:
            return
        peer.acked = max(peer.acked, line.sent / 1e6)
        if not line.ok:
            peer.next, peer.out_at = max(1, min(line.match + 1, peer.next - 1)), -1.0
            self._send(now, step, peer)
            return
        if line.match > peer.match or peer.next <= line.match:
            peer.match = max(peer.match, line.match)
            peer.next, peer.out_at = max(peer.next, line.match + 1), -1.0
            self._advance(now, step)
            if peer.next <= self.last and self.role is Role.HOLDER:
                self._send(now, step, peer)
        self._take_in(now, step)

    def _held(self, index: int, among: tuple[Member, ...]) -> bool:
        """A majority of these has it on disk."""
        have = sum(1 for m in among if m == self.me or ((p := self.peers.get(m.disk)) and p.match >= index))
        return have > len(among) // 2

    def _advance(self, now: float, step: Step) -> None:
        index = self.last
        while index > self.commit and self.view_at(index) == self.view:
            held = self._held(index, self._members)
            if self._members_at > self.commit and index >= self._members_at:  # those before say yes as well
                held = held and self._held(index, self._before)
            if held:
                self._deliver(index, step)
                self._beat(now, step)
                break
            index -= 1

    def _deliver(self, upto: int, step: Step) -> None:
        for entry in self.log[self.commit - self.base.index : upto - self.base.index]:
            step.delivered.append(entry)
            if entry.view == self.view and self.role is Role.HOLDER:
                self._opened = True
        self.commit = max(self.commit, upto)

    def _joining(self, now: float, step: Step, line: Join) -> None:
        if self.role is not Role.HOLDER:
            held = next((m for m in self._members if m.disk == self.voted), None)
            if held and held.door == line.sender.door and held != line.sender and self.is_member():
                # The last holder's disk is gone, and the life that held the view with it: nobody holds it.
                self.heard_at = float("-inf")
                self._due = min(self._due, now + self.times.soon * self.rng.random())
            if self.holder and self.holder != line.sender:
                step.sends.append((self.holder.door, line))
            return
        if line.sender.disk not in self.peers and line.sender != self.me:
            for disk, peer in list(self.peers.items()):
                if peer.member.door == line.sender.door and peer.member not in self._members:
                    del self.peers[disk]
            # From the snapshot on, if it is the founders' alone: who came before it, only that tells.
            self.peers[line.sender.disk] = Progress(line.sender, 0)
            self._send(now, step, self.peers[line.sender.disk])

    def _take_in(self, now: float, step: Step) -> None:
        """One that has caught up becomes a member, in the place of the one at its door before; one at a
        time."""
        if not self._opened or self._members_at > self.commit:
            return
        for peer in list(self.peers.values()):
            if peer.member not in self._members and peer.match >= self.commit > 0:
                stay = tuple(m for m in self._members if m.door != peer.member.door)
                gone = [m for m in self._members if m.door == peer.member.door]
                members = tuple(sorted((*stay, peer.member)))
                self._append(now, step, Entry(self.last + 1, self.view, members=members))
                for member in gone:
                    self.peers.pop(member.disk, None)
                return

    # Those who follow.

    def _heard(self, now: float, step: Step, line: Append | Install) -> bool:
        if line.view < self.view or (line.view == self.view and self.role is Role.HOLDER):
            step.sends.append((line.sender.door, Appended(self.view, self.me, False, self.last, line.sent)))
            return False
        if line.view > self.view or self.role is not Role.FOLLOWER or self.holder != line.sender:
            self._follow(now, step, line.view, line.sender)
        if self.voted != line.sender.disk:  # whom its promises are to is known after a start as well
            self.voted = line.sender.disk
            step.writes.append(Promise(self.view, self.voted))
        self.heard_at = now
        self._wait(now)
        return True

    def _appending(self, now: float, step: Step, line: Append) -> None:
        if not self._heard(now, step, line):
            return
        entries, before, before_view = list(line.entries), line.prev_index, line.prev_view
        while entries and before < self.base.index:  # covered by the snapshot: delivered, so the same
            before, before_view = entries[0].index, entries[0].view
            entries.pop(0)
        fits = before <= self.base.index if before < self.base.index else self.view_at(before) == before_view
        if not fits:
            hint = min(self.last, before - 1)
            step.sends.append((line.sender.door, Appended(self.view, self.me, False, hint, line.sent)))
            return
        match = max(before, self.base.index)
        for number, entry in enumerate(entries):
            if self.view_at(entry.index) != entry.view:
                del self.log[entry.index - self.base.index - 1 :]
                self.log += entries[number:]
                step.writes.append(Keep(entry.index, tuple(entries[number:])))
                self._look_up_members()
                break
        match = max(match, entries[-1].index) if entries else match
        step.sends.append((line.sender.door, Appended(self.view, self.me, True, match, line.sent)))
        if (upto := min(line.commit, match)) > self.commit:
            self._deliver(upto, step)

    def _install(self, now: float, step: Step, line: Install) -> None:
        if not self._heard(now, step, line):
            return
        made = line.snapshot
        if made.index > self.commit or not self.base.members:
            self.base, self.log, self.commit = made, [], made.index
            self._look_up_members()
            step.writes.append(KeepSnapshot(made, alone=True))
            step.restored = made
        step.sends.append((line.sender.door, Appended(self.view, self.me, True, self.commit, line.sent)))


def founded(members: Iterable[Member]) -> Kept:
    """The disk of a member at the first start of all."""
    return Kept(snapshot=Snapshot(0, 0, tuple(sorted(members))))


def founder(door: str) -> Member:
    """Who stands at a door at the first start of all: known to the others before they have spoken."""
    return Member(door, f"first-{door}")
