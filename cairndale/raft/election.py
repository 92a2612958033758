"""Elections: pre-votes, votes, and the leadership handed over."""

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
    def _campaign(self, now: float, step: Ready, pre_vote: bool, transfer: bool = False) -> None:
        self._reset_election_timer(now)
        if pre_vote and now < self._early_election_until:  # others may be about to start
            self._election_due = now + self.timings.early_election_spread
        self._votes = {self.me.disk_id}
        self.leader = None
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role, self.term, self.voted_for = Role.CANDIDATE, self.term + 1, self.me.disk_id
            step.writes.append(HardState(self.term, self.voted_for))
        asked = RequestVote(
            self.term + pre_vote,
            self.me,
            pre_vote,
            self.last_index,
            self.term_at(self.last_index),
            transfer,
        )
        step.sends += [
            (address, asked) for address in dict.fromkeys(m.address for m in self._other_voters())
        ]
        self._count_votes(now, step)

    def _handle_vote_request(self, now: float, step: Ready, message: RequestVote) -> None:
        """Answered by whoever is asked: the candidate's log says who votes, and may be ahead of
        this one."""
        follows = (
            self.role is Role.LEADER and not self._lease_released and now < self.lease_end(now)
        )
        follows = follows or (
            self.role is not Role.LEADER
            and now - self.last_heartbeat_at < self.timings.election_timeout
        )
        # The promise was to give no other a vote. Who it was to asks only in a new life, the old
        # one is over; or it has given its lease up, and asked for this.
        released = self.voted_for == message.sender.disk_id or message.transfer
        follows = follows and not (self.role is not Role.LEADER and released)
        current = (message.last_log_term, message.last_log_index) >= (
            self.term_at(self.last_index),
            self.last_index,
        )
        if message.pre_vote:
            granted = message.term > self.term and current and not follows
            # A no tells the term here: whoever lags behind it has to ask above it to be heard at
            # all.
            term = message.term if granted else self.term
            step.sends.append((message.sender.address, VoteReply(term, self.me, True, granted)))
            return
        if follows:
            return  # a majority promised the leader this span: that is what its lease rests on
        if message.term > self.term:
            self._become_follower(now, step, message.term, None)
        granted = (
            message.term == self.term and current and self.voted_for in ("", message.sender.disk_id)
        )
        granted = granted and self.role is Role.FOLLOWER
        if granted:
            self.voted_for = message.sender.disk_id
            step.writes.append(HardState(self.term, self.voted_for))
            self._reset_election_timer(now)
        step.sends.append((message.sender.address, VoteReply(self.term, self.me, False, granted)))

    def _handle_vote_reply(self, now: float, step: Ready, message: VoteReply) -> None:
        behind = not message.pre_vote or (not message.granted and self.role is Role.PRE_CANDIDATE)
        if message.term > self.term and behind:
            self._become_follower(now, step, message.term, None)
            return
        wanted = self.term + 1 if self.role is Role.PRE_CANDIDATE else self.term
        asks = self.role is (Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE)
        if asks and message.granted and message.term == wanted:
            self._votes.add(message.sender.disk_id)
            self._count_votes(now, step)

    def _count_votes(self, now: float, step: Ready) -> None:
        if not self._has_majority(lambda m: m.disk_id in self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, step, pre_vote=False)
            return
        self.role, self.leader, self.role_changed_at, self._has_committed_in_term = (
            Role.LEADER,
            self.me,
            now,
            False,
        )
        self._lease_released, self._transfer_requested_at = False, float("-inf")
        others = dict.fromkeys(
            (
                *self._members,
                *(() if self._is_configuration_committed() else self._previous_members),
            )
        )
        self.peers = {
            m.disk_id: Progress(m, self.last_index + 1, tracked_since=now)
            for m in others
            if m != self.me
        }
        self._append_entry(now, step, Entry(self.last_index + 1, self.term, is_term_start=True))

    def _become_follower(self, now: float, step: Ready, term: int, leader: Member | None) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            step.writes.append(HardState(term, ""))
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self.role_changed_at = now
        self.role, self.leader, self.peers = Role.FOLLOWER, leader, {}
        self._reset_election_timer(now)

    # A leader that leaves, or does not vote any longer.

    def _transfer_leadership(self, now: float, step: Ready) -> None:
        """To a voter that holds all there is. The lease is given up before that one is asked, for
        this term for good: so those who promised to follow may vote for it at once."""
        if now - self._transfer_requested_at < 2 * self.timings.heartbeat_interval:
            return
        able = [
            p
            for p in self.peers.values()
            if p.member in self._voters
            and p.match_index == self.last_index
            and now - p.last_ack_sent_at < self.timings.caught_up_window
            and now - p.leave_requested_at > self.timings.caught_up_window
        ]
        if able:
            best = max(able, key=lambda p: (p.last_ack_sent_at, p.member))
            best.last_ack_sent_at = float(
                "-inf"
            )  # the next time, if there is one, it is another's turn
            if not self._lease_released:
                self._lease_released, self.role_changed_at = True, now
            self._transfer_requested_at = now
            step.sends.append((best.member.address, TimeoutNow(self.term, self.me)))

    def _handle_timeout_now(self, now: float, step: Ready, message: TimeoutNow) -> None:
        known = self.role is Role.FOLLOWER and self.leader == message.sender
        if known and message.term == self.term and self.may_campaign() and not self.leaving:
            self._campaign(now, step, pre_vote=False, transfer=True)
