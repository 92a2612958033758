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
    election_timeout: float = 0.5  # s without the leader before which nobody gives another a vote
    heartbeat_interval: float = 0.15
    # s that each waits longer than the one before it: two at once would split the votes
    election_stagger: float = 0.05
    early_election_spread: float = (
        0.1  # s that they spread over where the last leader's life is known to be over
    )
    retransmit_timeout: float = 0.4  # s after which an append that was not answered is sent again
    join_interval: float = 0.3
    term_start_timeout: float = 5.0  # s within which a leader's first entry is to be decided
    rejoin_timeout: float = 2.0  # s without a leader after which a member asks whether it is one
    clock_drift: float = 0.05  # of a span that two clocks may differ by
    caught_up_window: float = 0.6  # s since when a learner that is to vote was last up to date
    unresponsive_timeout: float = (
        1.5  # s without a word after which a learner may take a voter's place
    )
    removal_timeout: float = 60.0  # s without a word after which a learner is none any longer
    transfer_timeout: float = 1.0  # s for another to take the leadership over

    @property
    def lease_duration(
        self,
    ) -> float:  # s from a beat's sending for which a majority has promised to follow
        return self.election_timeout * (1 - 2 * self.clock_drift)


@dataclass(slots=True)
class Progress:
    """How far another member is, as the leader knows."""

    member: Member
    next_index: int
    match_index: int = 0
    in_flight_since: float = (
        -1.0
    )  # when entries were sent that were not answered yet; -1: none are out
    last_ack_sent_at: float = float("-inf")  # when the newest beat was sent that it has answered
    transfer: SnapshotTransfer | None = (
        None  # of a snapshot, to one that wants entries that are gone
    )
    tracked_since: float = 0.0  # when this began
    caught_up_at: float = float("-inf")  # when it last held all that was decided
    leave_requested_at: float = float("-inf")  # when it last said that it is about to end

    def silence(self, now: float) -> float:
        """For how long, in s."""
        return now - max(self.last_ack_sent_at, self.tracked_since)


class Replica:
    def __init__(
        self,
        me: Member,
        kept: PersistedState,
        now: float,
        rng: random.Random,
        timings: RaftTimings | None = None,
        addresses: Iterable[str] = (),
        tolerance: Tolerance | None = None,
    ) -> None:
        """`doors`: where other members may be, for one that is none yet."""
        self.me, self.rng, self.timings, self.addresses = (
            me,
            rng,
            timings or RaftTimings(),
            tuple(addresses),
        )
        self.tolerance = tolerance or Tolerance()
        self.term, self.voted_for, self.base_snapshot, self.log = (
            kept.term,
            kept.voted_for,
            kept.snapshot,
            list(kept.entries),
        )
        self.commit_index = kept.snapshot.index
        self.compacted_tail, self.snapshot_receiver = (
            CompactedTail(),
            SnapshotReceiver(kept.partial_snapshot),
        )
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.peers: dict[str, Progress] = {}  # by disk; members and those that are to become some
        self.role_changed_at = 0.0
        self.leaving = False  # about to end: neither stands nor asks to be taken in
        self._members: tuple[Member, ...] = ()
        self._members_index = 0  # the entry that named them
        self._previous_members: tuple[Member, ...] = ()  # those before that entry
        self._voters: tuple[Member, ...] = ()
        self._previous_voters: tuple[Member, ...] = ()
        self._reported_locations: dict[str, Member] = {me.disk_id: me}  # by disk, as it was told
        # what the choice of voters came from, when nothing was to change
        self._unchanged_inputs: object = None
        self._votes: set[str] = set()
        self._has_committed_in_term = (
            False  # an entry of the term that this one holds was delivered
        )
        self._transfer_requested_at = float(
            "-inf"
        )  # when another was last asked to take this term's place
        self._lease_released = False  # this term's lease was given up, for good
        self._heartbeat_due = self._membership_request_due = self._membership_check_due = (
            now  # _membership_check_due: when changes are looked at
        )
        # a start counts: what was promised to a leader before it, is not known any longer
        self.last_heartbeat_at = now
        self._election_due = 0.0
        self._early_election_until = float("-inf")
        self._refresh_members()
        self._reset_election_timer(now)
        if (
            kept.voted_for == me.disk_id
        ):  # it may have held this term: the promises of that life were to itself
            self._election_due, self._early_election_until = (
                now,
                now + 3 * self.timings.election_timeout,
            )

    # What is known.

    @property
    def members(self) -> tuple[Member, ...]:
        return self._members

    @property
    def voters(self) -> tuple[Member, ...]:
        return self._voters

    @property
    def last_index(self) -> int:
        return self.base_snapshot.index + len(self.log)

    def term_at(self, index: int) -> int:
        if index == self.base_snapshot.index:
            return self.base_snapshot.term
        if index < self.base_snapshot.index:
            return self.compacted_tail.term_at(index)
        return (
            self.log[index - self.base_snapshot.index - 1].term if index <= self.last_index else -1
        )

    def leads(self, now: float) -> bool:
        """This one holds the term, a majority follows it for sure, and it knows all that was ever
        delivered."""
        held = self.role is Role.LEADER and self._has_committed_in_term and not self._lease_released
        return held and now < self.lease_end(now)

    def lease_end(self, now: float) -> float:
        """Until when no other can hold a later term."""
        return self.last_quorum_contact(now) + self.timings.lease_duration

    def last_quorum_contact(self, now: float) -> float:
        """The newest time of which it is sure that a majority has answered, in this term, what was
        sent at it or after it: a read index rests on that."""
        return min(self._majority_acked_at(now, voters) for voters in self._voter_sets())

    def _majority_acked_at(self, now: float, voters: tuple[Member, ...]) -> float:
        """When the newest beat was sent that a majority of these has answered."""
        acked_at = sorted(
            (
                now
                if m == self.me
                else self.peers[m.disk_id].last_ack_sent_at
                if m.disk_id in self.peers
                else float("-inf")
            )
            for m in voters
        )
        return acked_at[(len(acked_at) - 1) // 2] if acked_at else float("-inf")

    def wants_snapshot(self) -> bool:
        """Who the members are is decided, and only the log says so: after a start nobody would know
        that it is, and those before them would be asked as well, of whom one disk is gone."""
        return self.base_snapshot.index < self._members_index <= self.commit_index

    def is_member(self) -> bool:
        return self.me in self._members

    def may_campaign(self) -> bool:
        """Votes by the newest configuration, or by the one before while that may still be in
        force."""
        return any(self.me in voters for voters in self._voter_sets())

    def _is_configuration_committed(self) -> bool:
        """The newest configuration is known to be decided."""
        return self._members_index <= self.commit_index

    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        """Sets of voters: what needs a majority needs one of each."""
        return (
            (self._voters,)
            if self._is_configuration_committed()
            else (self._previous_voters, self._voters)
        )

    def _has_majority(self, says: Callable[[Member], bool]) -> bool:
        return all(sum(map(says, voters)) > len(voters) // 2 for voters in self._voter_sets())

    def _other_voters(self) -> tuple[Member, ...]:
        """All whose word counts, but for this one."""
        return tuple(
            dict.fromkeys(m for voters in self._voter_sets() for m in voters if m != self.me)
        )

    def _refresh_members(self) -> None:
        found, at, before = (
            self.base_snapshot.members,
            self.base_snapshot.index,
            self.base_snapshot.members,
        )
        for entry in self.log:
            if entry.members:
                before, found, at = found, entry.members, entry.index
        self._members, self._members_index, self._previous_members = found, at, before
        self._voters = tuple(m for m in found if not m.learner)
        self._previous_voters = tuple(m for m in before if not m.learner)

    def _reset_election_timer(self, now: float) -> None:
        others = [m for m in self._voters if m != self.leader]
        turn = others.index(self.me) if self.me in others else len(others)
        self._election_due = (
            now
            + 1.05 * self.timings.election_timeout
            + self.timings.election_stagger * (turn + 0.4 * self.rng.random())
        )

    def _record_reply(
        self, now: float, step: Ready, message: AppendReply | SnapshotReply
    ) -> Progress | None:
        """Who has answered this leader, in the term that it holds; None where it is nobody that
        counts."""
        if message.term > self.term:
            self._become_follower(now, step, message.term, None)
            return None
        peer = self.peers.get(message.sender.disk_id)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return None
        peer.last_ack_sent_at = max(peer.last_ack_sent_at, message.sent_at_us / 1e6)
        return peer

    # Done by the parts that elect, replicate, and change the configuration.

    def _campaign(self, now: float, step: Ready, pre_vote: bool, transfer: bool = False) -> None:
        raise NotImplementedError

    def _become_follower(self, now: float, step: Ready, term: int, leader: Member | None) -> None:
        raise NotImplementedError

    def _append_entry(self, now: float, step: Ready, entry: Entry) -> int:
        raise NotImplementedError

    def _send_append(self, now: float, step: Ready, peer: Progress) -> None:
        raise NotImplementedError
