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
        if pre_vote and now < self._soon_until:  # others may be about to start
            self._due = now + self.times.soon
        self._votes = {self.me.disk}
        self.leader = None
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role, self.term, self.voted_for = Role.CANDIDATE, self.term + 1, self.me.disk
            step.writes.append(HardState(self.term, self.voted_for))
        asked = RequestVote(
            self.term + pre_vote, self.me, pre_vote, self.last, self.term_at(self.last), transfer
        )
        step.sends += [
            (address, asked) for address in dict.fromkeys(m.address for m in self._electors())
        ]
        self._count(now, step)

    def _vote_requested(self, now: float, step: Ready, message: RequestVote) -> None:
        """Answered by whoever is asked: the candidate's log says who votes, and may be ahead of
        this one."""
        follows = self.role is Role.LEADER and not self._handed and now < self.lease_end(now)
        follows = follows or (
            self.role is not Role.LEADER and now - self.heard_at < self.times.quiet
        )
        # The promise was to give no other a vote. Who it was to asks only in a new life, the old
        # one is over; or it has given its lease up, and asked for this.
        released = self.voted_for == message.sender.disk or message.transfer
        follows = follows and not (self.role is not Role.LEADER and released)
        current = (message.last_term, message.last_index) >= (self.term_at(self.last), self.last)
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
            message.term == self.term and current and self.voted_for in ("", message.sender.disk)
        )
        granted = granted and self.role is Role.FOLLOWER
        if granted:
            self.voted_for = message.sender.disk
            step.writes.append(HardState(self.term, self.voted_for))
            self._reset_election_timer(now)
        step.sends.append((message.sender.address, VoteReply(self.term, self.me, False, granted)))

    def _vote_replied(self, now: float, step: Ready, message: VoteReply) -> None:
        behind = not message.pre_vote or (not message.granted and self.role is Role.PRE_CANDIDATE)
        if message.term > self.term and behind:
            self._become_follower(now, step, message.term, None)
            return
        wanted = self.term + 1 if self.role is Role.PRE_CANDIDATE else self.term
        asks = self.role is (Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE)
        if asks and message.granted and message.term == wanted:
            self._votes.add(message.sender.disk)
            self._count(now, step)

    def _count(self, now: float, step: Ready) -> None:
        if not self._majority(lambda m: m.disk in self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, step, pre_vote=False)
            return
        self.role, self.leader, self.changed_at, self._opened = Role.LEADER, self.me, now, False
        self._handed, self._handed_at = False, float("-inf")
        others = dict.fromkeys((*self._members, *(() if self._is_settled() else self._before)))
        self.peers = {m.disk: Progress(m, self.last + 1, since=now) for m in others if m != self.me}
        self._append_entry(now, step, Entry(self.last + 1, self.term, opens=True))

    def _become_follower(self, now: float, step: Ready, term: int, leader: Member | None) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            step.writes.append(HardState(term, ""))
        if self.role is not Role.FOLLOWER or leader != self.leader:
            self.changed_at = now
        self.role, self.leader, self.peers = Role.FOLLOWER, leader, {}
        self._reset_election_timer(now)

    # A leader that leaves, or does not vote any longer.

    def _hand_over(self, now: float, step: Ready) -> None:
        """To a voter that holds all there is. The lease is given up before that one is asked, for
        this term for good: so those who promised to follow may vote for it at once."""
        if now - self._handed_at < 2 * self.times.beat:
            return
        able = [
            p
            for p in self.peers.values()
            if p.member in self._voters
            and p.match == self.last
            and now - p.acked < self.times.fit
            and now - p.leaving_at > self.times.fit
        ]
        if able:
            best = max(able, key=lambda p: (p.acked, p.member))
            best.acked = float("-inf")  # the next time, if there is one, it is another's turn
            if not self._handed:
                self._handed, self.changed_at = True, now
            self._handed_at = now
            step.sends.append((best.member.address, TimeoutNow(self.term, self.me)))

    def _told_to_stand(self, now: float, step: Ready, message: TimeoutNow) -> None:
        known = self.role is Role.FOLLOWER and self.leader == message.sender
        if known and message.term == self.term and self.may_stand() and not self.leaving:
            self._campaign(now, step, pre_vote=False, transfer=True)
