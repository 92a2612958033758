"""Membership changes: joining, leaving, and the choice of voters.

A change is one configuration entry, appended by the leader once the first entry of its term and the
previous change are committed. A joining member receives the log first. Once it has all committed
entries it becomes a learner (PhD 4.2.1), and it may become a voter in a later configuration."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import astuple, replace

from cairndale.raft.messages import Entry, Join, Leave, Member, Ready
from cairndale.raft.replica import NEVER, Progress, Replica, Role
from cairndale.raft.voters import MemberHealth, VoterChoiceInputs, next_voters

MAX_JOINING = 32  # members that receive the log but are not in the configuration yet
MAX_UNRESPONSIVE_LEARNERS = 8  # unresponsive learners that are kept in the configuration


class Membership(Replica):
    """The part of a node that joins, leaves, and changes the configuration as leader."""

    # Member.

    def leave(self) -> None:
        """Starts leaving: a leader transfers its leadership, other members ask to be removed."""
        self.leaving = True
        self._membership_request_due = NEVER

    def has_left(self) -> bool:
        """This member may stop: it is not the leader and, as far as it knows, not a voter."""
        return self.role is not Role.LEADER and not self.may_campaign()

    def _known_addresses(self) -> list[str]:
        addresses = dict.fromkeys((*(m.address for m in self._members), *self.addresses))
        return [address for address in addresses if address != self.me.address]

    def _send_membership_request(self, now: float, ready: Ready, request: Join | Leave) -> None:
        """Sends the request to the leader, or to all known addresses if there is none.

        Does nothing until the randomized interval since the last request has passed."""
        if now < self._membership_request_due:
            return
        wait = self.timings.join_interval * (1 + self.rng.random())
        self._membership_request_due = now + wait
        is_recent = now - self.last_heartbeat_at < self.timings.election_timeout
        if self.leader and is_recent and self.is_member():
            addresses = [self.leader.address]
        else:
            addresses = self._known_addresses()
        ready.sends += [(address, request) for address in addresses]

    def _request_join(self, now: float, ready: Ready) -> None:
        self._send_membership_request(now, ready, Join(self.term, self.me))

    def _is_location_recorded(self) -> bool:
        recorded = next((m for m in self._members if m == self.me), self.me)
        return (recorded.zone, recorded.region) == (self.me.zone, self.me.region)

    # Requests from other members.

    def _handle_join(self, now: float, ready: Ready, message: Join) -> None:
        if self.role is Role.LEADER:
            self._track_joining(now, ready, message.sender)
            return
        if self._replaces_last_leader(message.sender):
            # The leader has lost its disk and with it the lease: an election need not wait.
            self.last_heartbeat_at = NEVER
            early_due = now + self.timings.early_election_spread * self.rng.random()
            self._election_due = min(self._election_due, early_due)
        self._forward_to_leader(ready, message)

    def _replaces_last_leader(self, sender: Member) -> bool:
        """`sender` has another disk at the address of the leader this member supports."""
        supported = next((m for m in self._members if m.disk_id == self.voted_for), None)
        return (
            supported is not None
            and supported.address == sender.address
            and supported != sender
            and self.is_member()
        )

    def _forward_to_leader(self, ready: Ready, message: Join | Leave) -> None:
        if self.leader and self.leader != message.sender:
            ready.sends.append((self.leader.address, message))

    def _track_joining(self, now: float, ready: Ready, sender: Member) -> None:
        if sender.address == self.me.address:
            return
        if sender.disk_id not in self.peers and not self._start_tracking(now, ready, sender):
            return
        peer = self.peers[sender.disk_id]
        if peer.member.address != sender.address:  # the same disk at another address
            peer.member = sender
            peer.in_flight_since = -1.0
        self._reported_locations[sender.disk_id] = sender
        peer.leave_requested_at = NEVER

    def _start_tracking(self, now: float, ready: Ready, sender: Member) -> bool:
        """Starts to send the log to a new member, which replaces a joining one at its address.

        Returns False if too many members are joining."""
        for disk_id, peer in list(self.peers.items()):
            if peer.member.address == sender.address and peer.member not in self._members:
                del self.peers[disk_id]
        joining = sum(p.member not in self._members for p in self.peers.values())
        if joining >= MAX_JOINING:
            return False
        # Start with the snapshot, even the bootstrap one: no entry names the bootstrap members.
        peer = Progress(sender, next_index=0, tracked_since=now)
        self.peers[sender.disk_id] = peer
        self._send_append(now, ready, peer)
        return True

    def _handle_leave(self, now: float, ready: Ready, message: Leave) -> None:
        if self.role is not Role.LEADER:
            self._forward_to_leader(ready, message)
        elif peer := self.peers.get(message.sender.disk_id):
            peer.leave_requested_at = now
            self._propose_members(now, ready)

    # Leader.

    def _propose_members(self, now: float, ready: Ready) -> None:
        """Appends the next configuration if it differs from the current one."""
        if not self._may_change_members():
            return
        members = self._next_members(now)
        # `Member` compares address and disk only; here location and role matter too.
        if [astuple(m) for m in members] == [astuple(m) for m in self._members]:
            return
        addresses = {m.address for m in members}
        replaced = [m for m in self._members if m not in members and m.address in addresses]
        self._append_entry(now, ready, Entry(self.last_index + 1, self.term, members=members))
        for member in replaced:
            self.peers.pop(member.disk_id, None)

    def _may_change_members(self) -> bool:
        """Allows one change at a time, and none before an entry of this term is committed.

        The second rule fixes a bug in the single-server change of PhD 4.1 (Ongaro, raft-dev,
        2015)."""
        return (
            self._has_committed_in_term
            and self._is_configuration_committed()
            and not self._lease_released
            and not self.leaving
        )

    def _next_members(self, now: float) -> tuple[Member, ...]:
        members = {m.disk_id: m for m in self._members}
        self._add_joined(now, members)
        leaving = self._leaving(now, members)
        self._remove_learners(now, members, leaving)
        for disk_id, member in members.items():
            if reported := self._reported_locations.get(disk_id):
                members[disk_id] = replace(reported, learner=member.learner)
        voters = self._choose_voters(members, self._health(now, members, leaving))
        chosen = (replace(m, learner=d not in voters) for d, m in members.items())
        return tuple(sorted(m for m in chosen if not (m.learner and m.disk_id in leaving)))

    def _is_caught_up(self, now: float, peer: Progress) -> bool:
        return now - peer.caught_up_at < self.timings.caught_up_window

    def _add_joined(self, now: float, members: dict[str, Member]) -> None:
        """Adds joining members that have all committed entries.

        A new member replaces other members at its address."""
        for disk_id, peer in self.peers.items():
            is_complete = peer.match_index >= self.commit_index > 0
            if (
                peer.member.disk_id in members
                or not is_complete
                or not self._is_caught_up(now, peer)
                or peer.leave_requested_at != NEVER
            ):
                continue
            previous = [m for m in members.values() if m.address == peer.member.address]
            for member in previous:
                del members[member.disk_id]
            is_learner = all(m.learner for m in previous)
            members[disk_id] = replace(peer.member, learner=is_learner)

    def _leaving(self, now: float, members: Collection[str]) -> set[str]:
        window = self.timings.caught_up_window
        return {
            d
            for d in members
            if d in self.peers and now - self.peers[d].leave_requested_at < window
        }

    def _remove_learners(
        self, now: float, members: dict[str, Member], leaving: Collection[str]
    ) -> None:
        """Removes learners that are leaving or have been unresponsive for too long.

        If more than `MAX_UNRESPONSIVE_LEARNERS` are unresponsive, the excess is removed too,
        starting with those without a reply for the longest time."""
        unresponsive_time = {
            d: self.peers[d].unresponsive_time(now)
            for d, m in members.items()
            if m.learner and d in self.peers
        }
        learners = sorted(unresponsive_time, key=lambda d: unresponsive_time[d])
        responsive = sum(
            unresponsive_time[d] <= self.timings.unresponsive_timeout for d in learners
        )
        for rank, disk_id in enumerate(learners):
            is_expired = unresponsive_time[disk_id] > self.timings.removal_timeout
            if disk_id in leaving or is_expired or rank >= responsive + MAX_UNRESPONSIVE_LEARNERS:
                del members[disk_id]

    def _health(
        self, now: float, members: dict[str, Member], leaving: Collection[str]
    ) -> MemberHealth:
        timeout = self.timings.unresponsive_timeout
        peers = {d: self.peers[d] for d in members if d in self.peers}
        caught_up = frozenset(d for d, p in peers.items() if self._is_caught_up(now, p))
        return MemberHealth(
            caught_up=caught_up,
            stable=frozenset(d for d in caught_up if now - peers[d].tracked_since > timeout),
            unreachable=frozenset(
                d for d, p in peers.items() if p.unresponsive_time(now) > timeout
            ),
            leaving=frozenset(leaving),
        )

    def _choose_voters(self, members: dict[str, Member], health: MemberHealth) -> frozenset[str]:
        voters = frozenset(m.disk_id for m in self._voters)
        locations = tuple((m.disk_id, m.zone, m.region, m.learner) for m in members.values())
        inputs = VoterChoiceInputs(locations, health, self.tolerance)
        if inputs == self._unchanged_inputs:
            return voters
        chosen = next_voters(tuple(members.values()), health, self.me.disk_id, self.tolerance)
        self._unchanged_inputs = inputs if chosen == voters else None
        return chosen

    def _prune_peers(self, now: float) -> None:
        """Drops unresponsive peers outside the configuration, and locations of unknown members."""
        known = {m.disk_id for m in self._effective_members()}
        limit = 2 * self.timings.unresponsive_timeout
        for disk_id, peer in list(self.peers.items()):
            if disk_id not in known and peer.unresponsive_time(now) > limit:
                del self.peers[disk_id]
        known |= {*self.peers, self.me.disk_id}
        for disk_id in set(self._reported_locations) - known:
            del self._reported_locations[disk_id]
