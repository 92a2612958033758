"""Leader election (Raft 5.2) with pre-vote (PhD 9.6), and leadership transfer (PhD 3.10)."""

from __future__ import annotations

from cairndale.raft.messages import (
    Entry,
    HardState,
    Member,
    Ready,
    RequestVote,
    TimeoutNow,
    VoteReply,
)
from cairndale.raft.replica import Progress, Replica, Role


class Election(Replica):
    """The part of a node that campaigns, votes and transfers leadership."""

    def _campaign(self, now: float, ready: Ready, pre_vote: bool, transfer: bool = False) -> None:
        self._reset_election_timer(now)
        if pre_vote and now < self._early_election_until:
            # Other members may be restarting too and not yet able to vote: retry early.
            self._election_due = now + self.timings.early_election_spread
        self._votes = {self.me.disk_id}
        self.leader = None
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self.term += 1
            self.voted_for = self.me.disk_id
            ready.writes.append(HardState(self.term, self.voted_for))
        request = RequestVote(
            self.term + 1 if pre_vote else self.term,
            self.me,
            pre_vote=pre_vote,
            last_log_index=self.last_index,
            last_log_term=self.term_at(self.last_index),
            transfer=transfer,
        )
        addresses = dict.fromkeys(m.address for m in self._other_voters())
        ready.sends += [(address, request) for address in addresses]
        self._count_votes(now, ready)

    # Voter.

    def _handle_vote_request(self, now: float, ready: Ready, message: RequestVote) -> None:
        """Replies to any candidate, whether or not it is a voter here.

        The candidate's own log determines the voters, and it may be ahead of this member's log."""
        supports_leader = self._supports_leader(now, message)
        last = (self.term_at(self.last_index), self.last_index)
        is_up_to_date = (message.last_log_term, message.last_log_index) >= last
        if message.pre_vote:
            granted = message.term > self.term and is_up_to_date and not supports_leader
            # A rejection carries this member's term, so that a candidate in an earlier term moves
            # on to it; it could not win a vote otherwise.
            term = message.term if granted else self.term
            self._reply_to_vote(ready, message, term, granted)
        elif not supports_leader:
            self._vote(now, ready, message, is_up_to_date)

    def _supports_leader(self, now: float, message: RequestVote) -> bool:
        """This member has to reject a vote, since it supports a leader whose lease may be valid.

        A follower supports its leader for one election timeout after the last heartbeat."""
        if self.role is Role.LEADER:
            return not self._lease_released and now < self.lease_end(now)
        # This member supports the lease of one leader. If that leader itself asks for a vote, it
        # has restarted and no longer has the lease. With `transfer`, the leader has released its
        # lease and asked the candidate to campaign.
        is_released = self.voted_for == message.sender.disk_id or message.transfer
        is_recent = now - self.last_heartbeat_at < self.timings.election_timeout
        return is_recent and not is_released

    def _vote(self, now: float, ready: Ready, message: RequestVote, is_up_to_date: bool) -> None:
        if message.term > self.term:
            self._become_follower(now, ready, message.term, None)
        granted = (
            message.term == self.term
            and is_up_to_date
            and self.voted_for in ("", message.sender.disk_id)
            and self.role is Role.FOLLOWER
        )
        if granted:
            self.voted_for = message.sender.disk_id
            ready.writes.append(HardState(self.term, self.voted_for))
            self._reset_election_timer(now)
        self._reply_to_vote(ready, message, self.term, granted)

    def _reply_to_vote(self, ready: Ready, message: RequestVote, term: int, granted: bool) -> None:
        reply = VoteReply(term, self.me, message.pre_vote, granted)
        ready.sends.append((message.sender.address, reply))

    # Candidate.

    def _handle_vote_reply(self, now: float, ready: Ready, message: VoteReply) -> None:
        # The term of a granted pre-vote is the requested one, which no member has entered yet.
        is_current_term = not message.pre_vote or (
            not message.granted and self.role is Role.PRE_CANDIDATE
        )
        if message.term > self.term and is_current_term:
            self._become_follower(now, ready, message.term, None)
            return
        requested_term = self.term + 1 if self.role is Role.PRE_CANDIDATE else self.term
        is_asking = self.role is (Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE)
        if is_asking and message.granted and message.term == requested_term:
            self._votes.add(message.sender.disk_id)
            self._count_votes(now, ready)

    def _count_votes(self, now: float, ready: Ready) -> None:
        if not self._has_majority(lambda m: m.disk_id in self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, ready, pre_vote=False)
        else:
            self._become_leader(now, ready)

    def _become_leader(self, now: float, ready: Ready) -> None:
        self.role = Role.LEADER
        self.leader = self.me
        self.role_changed_at = now
        self._has_committed_in_term = False
        self._lease_released = False
        self._transfer_requested_at = float("-inf")
        self.peers = {
            m.disk_id: Progress(m, self.last_index + 1, tracked_since=now)
            for m in self._effective_members()
            if m != self.me
        }
        # A leader learns which entries are committed by committing one of its own term (Raft 8).
        self._append_entry(now, ready, Entry(self.last_index + 1, self.term, is_term_start=True))

    def _become_follower(self, now: float, ready: Ready, term: int, leader: Member | None) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            ready.writes.append(HardState(term, ""))
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self.role_changed_at = now
        self.role = Role.FOLLOWER
        self.leader = leader
        self.peers = {}
        self._reset_election_timer(now)

    # Leadership transfer.

    def _transfer_leadership(self, now: float, ready: Ready) -> None:
        """Asks an up-to-date voter to campaign at once.

        The lease is released first, for the rest of the term, so that the voters that support it
        may vote for the target immediately."""
        if now - self._transfer_requested_at < 2 * self.timings.heartbeat_interval:
            return
        targets = [p for p in self.peers.values() if self._may_take_over(now, p)]
        if not targets:
            return
        target = max(targets, key=lambda p: (p.last_ack_sent_at, p.member))
        target.last_ack_sent_at = float("-inf")  # the next attempt goes to another member
        if not self._lease_released:
            self._lease_released = True
            self.role_changed_at = now
        self._transfer_requested_at = now
        ready.sends.append((target.member.address, TimeoutNow(self.term, self.me)))

    def _may_take_over(self, now: float, peer: Progress) -> bool:
        window = self.timings.caught_up_window
        return (
            peer.member in self._voters
            and peer.match_index == self.last_index
            and now - peer.last_ack_sent_at < window
            and now - peer.leave_requested_at > window
        )

    def _handle_timeout_now(self, now: float, ready: Ready, message: TimeoutNow) -> None:
        is_from_leader = self.role is Role.FOLLOWER and self.leader == message.sender
        may_start = self.may_campaign() and not self.leaving
        if is_from_leader and message.term == self.term and may_start:
            self._campaign(now, ready, pre_vote=False, transfer=True)
