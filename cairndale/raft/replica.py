"""What a member of the core knows of the log, the others and its own role; whose word makes a
majority.

The configuration, an entry of the log, names voters and learners and holds from where it stands in
the log, decided or not. While the newest is not known to be decided, a majority of the voters
before it has to say yes as well, to votes, commits and the lease. One at a time: the one before the
newest is decided."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from cairndale.raft.messages import AppendReply, Entry, Member, PersistedState, Ready, SnapshotReply
from cairndale.raft.snapshot_transfer import CompactedTail, SnapshotReceiver, SnapshotTransfer
from cairndale.raft.voters import Tolerance


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTimings:
    quiet: float = 0.5  # s without the leader before which nobody gives another a vote
    beat: float = 0.15
    # s that each waits longer than the one before it: two at once would split the votes
    turn: float = 0.05
    soon: float = 0.1  # s that they spread over where the last leader's life is known to be over
    again: float = 0.4  # s after which an append that was not answered is sent again
    join: float = 0.3
    open: float = 5.0  # s within which a leader's first entry is to be decided
    unheard: float = 2.0  # s without a leader after which a member asks whether it is one
    drift: float = 0.05  # of a span that two clocks may differ by
    fit: float = 0.6  # s since when a learner that is to vote was last up to date
    silent: float = 1.5  # s without a word after which a learner may take a voter's place
    forget: float = 60.0  # s without a word after which a learner is none any longer
    hand_over: float = 1.0  # s for another to take the leadership over

    @property
    def lease(self) -> float:  # s from a beat's sending for which a majority has promised to follow
        return self.quiet * (1 - 2 * self.drift)


@dataclass(slots=True)
class Progress:
    """How far another member is, as the leader knows."""

    member: Member
    next: int
    match: int = 0
    out_at: float = -1.0  # when entries were sent that were not answered yet; -1: none are out
    acked: float = float("-inf")  # when the newest beat was sent that it has answered
    transfer: SnapshotTransfer | None = (
        None  # of a snapshot, to one that wants entries that are gone
    )
    since: float = 0.0  # when this began
    level_at: float = float("-inf")  # when it last held all that was decided
    leaving_at: float = float("-inf")  # when it last said that it is about to end

    def silent(self, now: float) -> float:
        """For how long, in s."""
        return now - max(self.acked, self.since)


class Replica:
    def __init__(
        self,
        me: Member,
        kept: PersistedState,
        now: float,
        rng: random.Random,
        times: RaftTimings | None = None,
        addresses: Iterable[str] = (),
        tolerance: Tolerance | None = None,
    ) -> None:
        """`doors`: where other members may be, for one that is none yet."""
        self.me, self.rng, self.times, self.addresses = (
            me,
            rng,
            times or RaftTimings(),
            tuple(addresses),
        )
        self.tolerance = tolerance or Tolerance()
        self.term, self.voted_for, self.base, self.log = (
            kept.term,
            kept.voted_for,
            kept.snapshot,
            list(kept.entries),
        )
        self.commit_index = kept.snapshot.index
        self.tail, self.incoming = CompactedTail(), SnapshotReceiver(kept.incoming)
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.peers: dict[str, Progress] = {}  # by disk; members and those that are to become some
        self.changed_at = 0.0
        self.leaving = False  # about to end: neither stands nor asks to be taken in
        self._members: tuple[Member, ...] = ()
        self._members_at = 0  # the entry that named them
        self._before: tuple[Member, ...] = ()  # those before that entry
        self._voters: tuple[Member, ...] = ()
        self._voters_before: tuple[Member, ...] = ()
        self._places: dict[str, Member] = {me.disk: me}  # by disk, as it was told
        # what the choice of voters came from, when nothing was to change
        self._left_as_it_is: object = None
        self._votes: set[str] = set()
        self._opened = False  # an entry of the term that this one holds was delivered
        self._handed_at = float("-inf")  # when another was last asked to take this term's place
        self._handed = False  # this term's lease was given up, for good
        self._beat_at = self._join_at = self._change_at = (
            now  # _change_at: when changes are looked at
        )
        # a start counts: what was promised to a leader before it, is not known any longer
        self.heard_at = now
        self._due = 0.0
        self._soon_until = float("-inf")
        self._look_up_members()
        self._reset_election_timer(now)
        if (
            kept.voted_for == me.disk
        ):  # it may have held this term: the promises of that life were to itself
            self._due, self._soon_until = now, now + 3 * self.times.quiet

    # What is known.

    @property
    def members(self) -> tuple[Member, ...]:
        return self._members

    @property
    def voters(self) -> tuple[Member, ...]:
        return self._voters

    @property
    def last(self) -> int:
        return self.base.index + len(self.log)

    def term_at(self, index: int) -> int:
        if index == self.base.index:
            return self.base.term
        if index < self.base.index:
            return self.tail.term_at(index)
        return self.log[index - self.base.index - 1].term if index <= self.last else -1

    def leads(self, now: float) -> bool:
        """This one holds the term, a majority follows it for sure, and it knows all that was ever
        delivered."""
        held = self.role is Role.LEADER and self._opened and not self._handed
        return held and now < self.lease_end(now)

    def lease_end(self, now: float) -> float:
        """Until when no other can hold a later term."""
        return self.contact(now) + self.times.lease

    def contact(self, now: float) -> float:
        """The newest time of which it is sure that a majority has answered, in this term, what was
        sent at it or after it: a read index rests on that."""
        return min(self._followed(now, voters) for voters in self._quorums())

    def _followed(self, now: float, voters: tuple[Member, ...]) -> float:
        """When the newest beat was sent that a majority of these has answered."""
        acked = sorted(
            (
                now
                if m == self.me
                else self.peers[m.disk].acked
                if m.disk in self.peers
                else float("-inf")
            )
            for m in voters
        )
        return acked[(len(acked) - 1) // 2] if acked else float("-inf")

    def wants_snapshot(self) -> bool:
        """Who the members are is decided, and only the log says so: after a start nobody would know
        that it is, and those before them would be asked as well, of whom one disk is gone."""
        return self.base.index < self._members_at <= self.commit_index

    def is_member(self) -> bool:
        return self.me in self._members

    def may_stand(self) -> bool:
        """Votes by the newest configuration, or by the one before while that may still be in
        force."""
        return any(self.me in voters for voters in self._quorums())

    def _is_settled(self) -> bool:
        """The newest configuration is known to be decided."""
        return self._members_at <= self.commit_index

    def _quorums(self) -> tuple[tuple[Member, ...], ...]:
        """Sets of voters: what needs a majority needs one of each."""
        return (self._voters,) if self._is_settled() else (self._voters_before, self._voters)

    def _majority(self, says: Callable[[Member], bool]) -> bool:
        return all(sum(map(says, voters)) > len(voters) // 2 for voters in self._quorums())

    def _electors(self) -> tuple[Member, ...]:
        """All whose word counts, but for this one."""
        return tuple(dict.fromkeys(m for voters in self._quorums() for m in voters if m != self.me))

    def _look_up_members(self) -> None:
        found, at, before = self.base.members, self.base.index, self.base.members
        for entry in self.log:
            if entry.members:
                before, found, at = found, entry.members, entry.index
        self._members, self._members_at, self._before = found, at, before
        self._voters = tuple(m for m in found if not m.learner)
        self._voters_before = tuple(m for m in before if not m.learner)

    def _reset_election_timer(self, now: float) -> None:
        others = [m for m in self._voters if m != self.leader]
        turn = others.index(self.me) if self.me in others else len(others)
        self._due = (
            now + 1.05 * self.times.quiet + self.times.turn * (turn + 0.4 * self.rng.random())
        )

    def _replier(
        self, now: float, step: Ready, message: AppendReply | SnapshotReply
    ) -> Progress | None:
        """Who has answered this leader, in the term that it holds; None where it is nobody that
        counts."""
        if message.term > self.term:
            self._become_follower(now, step, message.term, None)
            return None
        peer = self.peers.get(message.sender.disk)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return None
        peer.acked = max(peer.acked, message.sent / 1e6)
        return peer

    # Done by the parts that elect, replicate, and change the configuration.

    def _campaign(self, now: float, step: Ready, pre_vote: bool, transfer: bool = False) -> None:
        raise NotImplementedError

    def _become_follower(self, now: float, step: Ready, term: int, leader: Member | None) -> None:
        raise NotImplementedError

    def _append_entry(self, now: float, step: Ready, entry: Entry) -> int:
        raise NotImplementedError

    def _send(self, now: float, step: Ready, peer: Progress) -> None:
        raise NotImplementedError
