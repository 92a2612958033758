"""State of one member: its log, its role, the progress of the other members, and the quorums.

A configuration is a log entry that lists voters and learners. It takes effect when it is appended,
committed or not (Raft 6, PhD 4.1). Until it is known to be committed, votes, commits and the lease
also need a majority of the previous voters, as in joint consensus (PhD 4.3). Changes are made one
at a time: only the newest configuration may be uncommitted."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from cairndale.raft.messages import AppendReply, Entry, Member, PersistedState, Ready, SnapshotReply
from cairndale.raft.snapshot_transfer import CompactedTail, SnapshotReceiver, SnapshotTransfer
from cairndale.raft.voters import Tolerance, VoterChoiceInputs

NEVER = float("-inf")  # a time earlier than any other


class Role(Enum):
    """A member's role in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTimings:
    """Timers of a member, in seconds, except `clock_drift`."""

    # A member that has received no heartbeat for this long may vote for another leader.
    election_timeout: float = 0.5
    heartbeat_interval: float = 0.15
    # Added per position in the configuration to a voter's election timer, to avoid split votes.
    election_stagger: float = 0.05
    # If the last leader is known to have lost its disk, campaigns are spread over this span. A
    # member that may have been the leader before it restarted retries its campaign after it.
    early_election_spread: float = 0.1
    # An append without a reply is retransmitted after this.
    retransmit_timeout: float = 0.4
    # Minimum time between two requests to join or leave; with jitter up to twice as long.
    join_interval: float = 0.3
    # A leader steps down if the first entry of its term is not committed within this.
    term_start_timeout: float = 5.0
    # A member that has received no heartbeat for this long asks again to be added.
    rejoin_timeout: float = 2.0
    # Maximum relative difference between the rates of two clocks.
    clock_drift: float = 0.05
    # A member counts as caught up for this long after it last had all committed entries.
    caught_up_window: float = 0.6
    # A voter without a reply for this long may be replaced by a learner.
    unresponsive_timeout: float = 1.5
    # A learner without a reply for this long is removed.
    removal_timeout: float = 60.0
    # Another member has to become leader within this after the lease was released.
    transfer_timeout: float = 1.0

    @property
    def lease_duration(self) -> float:
        """Seconds for which a majority supports the leader, from when a heartbeat was sent."""
        return self.election_timeout * (1 - 2 * self.clock_drift)


@dataclass(slots=True)
class Progress:
    """The leader's view of another member. Times are in seconds on the leader's clock."""

    member: Member
    next_index: int  # of the next entry to send; 0: send the snapshot first
    match_index: int = 0  # all entries up to here are on the member's disk
    in_flight_since: float = -1.0  # when entries without a reply were sent; -1: none in flight
    last_ack_sent_at: float = NEVER  # send time of the newest message with a reply
    transfer: SnapshotTransfer | None = None  # snapshot transfer in progress
    tracked_since: float = 0.0
    caught_up_at: float = NEVER  # when the member last had all committed entries
    leave_requested_at: float = NEVER

    def unresponsive_time(self, now: float) -> float:
        """Seconds since the last message that the member replied to was sent."""
        return now - max(self.last_ack_sent_at, self.tracked_since)


class Replica(ABC):
    """State and quorums of a member.

    `addresses` are contacted to join as long as this member has no configuration. After a restart
    it grants no vote to others for one election timeout, since it may have supported a leader's
    lease shortly before."""

    def __init__(
        self,
        me: Member,
        persisted: PersistedState,
        now: float,
        rng: random.Random,
        timings: RaftTimings | None = None,
        addresses: Iterable[str] = (),
        tolerance: Tolerance | None = None,
    ) -> None:
        self.me = me
        self.rng = rng
        self.timings = timings or RaftTimings()
        self.addresses = tuple(addresses)
        self.tolerance = tolerance or Tolerance()
        self.leaving = False  # shutting down: neither campaigns nor joins
        self._restore_log(persisted)
        self._init_role(now)
        self._init_configuration(now)
        self._reset_election_timer(now)
        if persisted.voted_for == me.disk_id:
            # This member may have been the leader. The lease that others support is then its own,
            # and it need not wait until that has expired.
            self._election_due = now
            self._early_election_until = now + 3 * self.timings.election_timeout

    def _restore_log(self, persisted: PersistedState) -> None:
        self.term = persisted.term
        self.voted_for = persisted.voted_for
        self.base_snapshot = persisted.snapshot
        self.log = list(persisted.entries)
        self.commit_index = persisted.snapshot.index
        self.compacted_tail = CompactedTail()
        self.snapshot_receiver = SnapshotReceiver(persisted.partial_snapshot)

    def _init_role(self, now: float) -> None:
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.role_changed_at = 0.0
        self.last_heartbeat_at = now
        self.peers: dict[str, Progress] = {}  # by disk id; includes joining members
        self._votes: set[str] = set()  # disk ids
        self._has_committed_in_term = False  # an entry of this term, as leader
        self._lease_released = False  # for the rest of the term
        self._transfer_requested_at = NEVER
        self._heartbeat_due = now
        self._election_due = 0.0
        self._early_election_until = NEVER

    def _init_configuration(self, now: float) -> None:
        self._members: tuple[Member, ...] = ()
        self._members_index = 0  # of the entry that lists them
        self._previous_members: tuple[Member, ...] = ()  # in effect before that entry
        self._voters: tuple[Member, ...] = ()
        self._previous_voters: tuple[Member, ...] = ()
        # Members by disk id, with the location that each reported last.
        self._reported_locations: dict[str, Member] = {self.me.disk_id: self.me}
        # Inputs of the last choice of voters if it changed nothing, to skip the same computation.
        self._unchanged_inputs: VoterChoiceInputs | None = None
        self._membership_request_due = now
        self._membership_check_due = now
        self._refresh_members()

    # Log and lease.

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners of the newest configuration in the log."""
        return self._members

    @property
    def voters(self) -> tuple[Member, ...]:
        """Voters of the newest configuration in the log."""
        return self._voters

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log, or of the snapshot if there is none after it."""
        return self.base_snapshot.index + len(self.log)

    def term_at(self, index: int) -> int:
        """Term of the entry at `index`; -1 if it is unknown."""
        if index == self.base_snapshot.index:
            return self.base_snapshot.term
        if index < self.base_snapshot.index:
            return self.compacted_tail.term_at(index)
        if index > self.last_index:
            return -1
        return self.log[index - self.base_snapshot.index - 1].term

    def leads(self, now: float) -> bool:
        """This member is leader with a valid lease, and knows which entries are committed."""
        is_leader = self.role is Role.LEADER and self._has_committed_in_term
        return is_leader and not self._lease_released and now < self.lease_end(now)

    def lease_end(self, now: float) -> float:
        """The time until which no other member can become leader (PhD 6.4.1)."""
        return self.last_quorum_contact(now) + self.timings.lease_duration

    def last_quorum_contact(self, now: float) -> float:
        """The latest time t such that, in this term, a majority has replied to a message sent at t
        or later. Used for read indexes (PhD 6.4)."""
        return min(self._majority_acked_at(now, voters) for voters in self._voter_sets())

    def _majority_acked_at(self, now: float, voters: tuple[Member, ...]) -> float:
        """Send time of the newest message that a majority of `voters` has replied to."""
        acked_at = sorted(self._acked_at(now, m) for m in voters)
        return acked_at[(len(acked_at) - 1) // 2] if acked_at else NEVER

    def _acked_at(self, now: float, member: Member) -> float:
        if member == self.me:
            return now
        peer = self.peers.get(member.disk_id)
        return peer.last_ack_sent_at if peer else NEVER

    def wants_snapshot(self) -> bool:
        """The newest configuration is committed, but no snapshot contains it yet.

        After a restart it would not be known to be committed, so a majority of the previous voters
        would be needed too, and one of them may have lost its disk."""
        return self.base_snapshot.index < self._members_index <= self.commit_index

    # Configuration.

    def is_member(self) -> bool:
        """This member is in the newest configuration, as voter or learner."""
        return self.me in self._members

    def may_campaign(self) -> bool:
        """This member is a voter of the newest configuration, or of the previous one while the
        newest is not committed."""
        return any(self.me in voters for voters in self._voter_sets())

    def _is_configuration_committed(self) -> bool:
        return self._members_index <= self.commit_index

    def _effective_members(self) -> tuple[Member, ...]:
        """Members of the newest configuration, and of the previous one until that is committed."""
        if self._is_configuration_committed():
            return self._members
        return tuple(dict.fromkeys((*self._members, *self._previous_members)))

    def _voter_sets(self) -> tuple[tuple[Member, ...], ...]:
        """The sets of voters; a quorum needs a majority of each."""
        if self._is_configuration_committed():
            return (self._voters,)
        return (self._previous_voters, self._voters)

    def _has_majority(self, predicate: Callable[[Member], bool]) -> bool:
        return all(sum(map(predicate, voters)) > len(voters) // 2 for voters in self._voter_sets())

    def _other_voters(self) -> tuple[Member, ...]:
        """The voters of all voter sets except this member."""
        voters = (m for voters in self._voter_sets() for m in voters if m != self.me)
        return tuple(dict.fromkeys(voters))

    def _refresh_members(self) -> None:
        """Finds the newest configuration and the previous one in the log or the snapshot."""
        newest = previous = self.base_snapshot.members
        index = self.base_snapshot.index
        for entry in self.log:
            if entry.members:
                newest, previous = entry.members, newest
                index = entry.index
        self._members = newest
        self._members_index = index
        self._previous_members = previous
        self._voters = tuple(m for m in newest if not m.learner)
        self._previous_voters = tuple(m for m in previous if not m.learner)

    def _reset_election_timer(self, now: float) -> None:
        """Staggers the timeout by the voter's position in the configuration, with some jitter."""
        others = [m for m in self._voters if m != self.leader]
        turn = others.index(self.me) if self.me in others else len(others)
        stagger = self.timings.election_stagger * (turn + 0.4 * self.rng.random())
        self._election_due = now + 1.05 * self.timings.election_timeout + stagger

    def _record_reply(
        self, now: float, ready: Ready, message: AppendReply | SnapshotReply
    ) -> Progress | None:
        """Records a reply and returns the sender's progress.

        Returns None if this member is not leader in the reply's term or does not know the sender.
        A later term makes this member a follower."""
        if message.term > self.term:
            self._become_follower(now, ready, message.term, None)
            return None
        peer = self.peers.get(message.sender.disk_id)
        if self.role is not Role.LEADER or message.term != self.term or peer is None:
            return None
        peer.last_ack_sent_at = max(peer.last_ack_sent_at, message.sent_at_us / 1e6)
        return peer

    # Implemented by `Election` and `RaftNode`.

    @abstractmethod
    def _campaign(
        self, now: float, ready: Ready, pre_vote: bool, transfer: bool = False
    ) -> None: ...

    @abstractmethod
    def _become_follower(
        self, now: float, ready: Ready, term: int, leader: Member | None
    ) -> None: ...

    @abstractmethod
    def _append_entry(self, now: float, ready: Ready, entry: Entry) -> int: ...

    @abstractmethod
    def _send_append(self, now: float, ready: Ready, peer: Progress) -> None: ...
