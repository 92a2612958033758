"""Changes of the configuration: who comes, who leaves, who votes.

A change is one entry, appended by the leader once its term's first entry and the change before are
decided. Who joins is given the log first; once it holds all that was decided, it is a learner, and
votes from the configuration on that says so."""

from __future__ import annotations

from dataclasses import astuple, replace

from cairndale.raft.messages import Entry, Join, Leave, Member, Ready
from cairndale.raft.replica import Progress, Replica, Role
from cairndale.raft.voters import next_voters

MAX_JOINING = 32  # that are given the log and are no members yet
MAX_SILENT_LEARNERS = 8  # learners that are silent and still known


class Membership(Replica):
    def leave(self) -> None:
        """This one is about to end: as a leader it hands over, else it asks to be taken out."""
        self.leaving, self._membership_request_due = True, float("-inf")

    def has_left(self) -> bool:
        """Neither the leader nor, as is known here, one whose word is needed."""
        return self.role is not Role.LEADER and not self.may_campaign()

    def _known_addresses(self) -> list[str]:
        named = [m.address for m in self._members] + list(self.addresses)
        return [d for d in dict.fromkeys(named) if d != self.me.address]

    def _send_membership_request(self, now: float, step: Ready, asked: Join | Leave) -> None:
        """The leader, if it is known, else whoever may know it."""
        if now >= self._membership_request_due:
            self._membership_request_due = now + self.timings.join_interval * (
                1 + self.rng.random()
            )
            heard = (
                self.leader
                and now - self.last_heartbeat_at < self.timings.election_timeout
                and self.is_member()
            )
            addresses = [self.leader.address] if self.leader and heard else self._known_addresses()
            step.sends += [(address, asked) for address in addresses]

    def _request_join(self, now: float, step: Ready) -> None:
        self._send_membership_request(now, step, Join(self.term, self.me))

    def _is_location_recorded(self) -> bool:
        told = next((m for m in self._members if m == self.me), self.me)
        return (told.zone, told.region) == (self.me.zone, self.me.region)

    def _handle_join(self, now: float, step: Ready, message: Join) -> None:
        if self.role is not Role.LEADER:
            held = next((m for m in self._members if m.disk_id == self.voted_for), None)
            if (
                held
                and held.address == message.sender.address
                and held != message.sender
                and self.is_member()
            ):
                # The last leader's disk is gone, and the life that held the term with it: nobody
                # holds it.
                self.last_heartbeat_at = float("-inf")
                self._election_due = min(
                    self._election_due, now + self.timings.early_election_spread * self.rng.random()
                )
            if self.leader and self.leader != message.sender:
                step.sends.append((self.leader.address, message))
            return
        if message.sender.address == self.me.address:
            return
        if message.sender.disk_id not in self.peers:
            for disk, other in list(self.peers.items()):
                if (
                    other.member.address == message.sender.address
                    and other.member not in self._members
                ):
                    del self.peers[disk]
            if sum(p.member not in self._members for p in self.peers.values()) >= MAX_JOINING:
                return
            # From the snapshot on, if it is the founders' alone: who came before it, only that
            # tells.
            self.peers[message.sender.disk_id] = Progress(message.sender, 0, tracked_since=now)
            self._send_append(now, step, self.peers[message.sender.disk_id])
        peer = self.peers[message.sender.disk_id]
        if peer.member.address != message.sender.address:  # the same disk, elsewhere
            peer.member, peer.in_flight_since = message.sender, -1.0
        self._reported_locations[message.sender.disk_id] = message.sender
        peer.leave_requested_at = float("-inf")

    def _handle_leave(self, now: float, step: Ready, message: Leave) -> None:
        if self.role is not Role.LEADER:
            if self.leader and self.leader != message.sender:
                step.sends.append((self.leader.address, message))
        elif peer := self.peers.get(message.sender.disk_id):
            peer.leave_requested_at = now
            self._propose_members(now, step)

    def _propose_members(self, now: float, step: Ready) -> None:
        """The next change, if there is one."""
        if not self._may_change_members():
            return
        members = self._next_members(now)
        if [astuple(m) for m in members] == [astuple(m) for m in self._members]:
            return
        gone = [
            m
            for m in self._members
            if m not in members and any(m.address == o.address for o in members)
        ]
        self._append_entry(now, step, Entry(self.last_index + 1, self.term, members=members))
        for member in gone:  # another disk stands at its door
            self.peers.pop(member.disk_id, None)

    def _may_change_members(self) -> bool:
        """One at a time, and none before this term's first entry is decided."""
        return (
            self._has_committed_in_term
            and self._is_configuration_committed()
            and not self._lease_released
            and not self.leaving
        )

    def _next_members(self, now: float) -> tuple[Member, ...]:
        timings, peers = self.timings, self.peers
        here = {m.disk_id: m for m in self._members}
        for (
            peer
        ) in peers.values():  # those that came, each in the place of the one at its door before
            level = (
                peer.match_index >= self.commit_index > 0
                and now - peer.caught_up_at < timings.caught_up_window
            )
            if (
                peer.member.disk_id not in here
                and level
                and peer.leave_requested_at == float("-inf")
            ):
                before = [m for m in here.values() if m.address == peer.member.address]
                for member in before:
                    del here[member.disk_id]
                here[peer.member.disk_id] = replace(
                    peer.member, learner=all(m.learner for m in before)
                )
        leaving = {
            d
            for d in here
            if d in peers and now - peers[d].leave_requested_at < timings.caught_up_window
        }
        silent = {d: peers[d].silence(now) for d in here if d in peers}
        aside = sorted(
            (d for d, m in here.items() if m.learner and d in silent), key=lambda d: silent[d]
        )
        still = sum(silent[d] <= timings.unresponsive_timeout for d in aside)
        for place, disk in enumerate(aside):
            if (
                disk in leaving
                or silent[disk] > timings.removal_timeout
                or place >= still + MAX_SILENT_LEARNERS
            ):
                del here[disk]
        for disk, member in here.items():
            if told := self._reported_locations.get(disk):
                here[disk] = replace(told, learner=member.learner)
        fit = {
            d for d in here if d in peers and now - peers[d].caught_up_at < timings.caught_up_window
        }
        lost = {d for d in here if silent.get(d, 0.0) > timings.unresponsive_timeout}
        steady = {d for d in fit if now - peers[d].tracked_since > timings.unresponsive_timeout}
        votes = frozenset(m.disk_id for m in self._voters)
        places = tuple((m.disk_id, m.zone, m.region, m.learner) for m in here.values())
        if (seen := (places, fit, steady, lost, leaving, self.tolerance)) != self._unchanged_inputs:
            chosen = next_voters(
                tuple(here.values()), fit, steady, lost, leaving, self.me.disk_id, self.tolerance
            )
            self._unchanged_inputs = seen if chosen == votes else None
            votes = chosen
        members = (replace(m, learner=d not in votes) for d, m in here.items())
        return tuple(sorted(m for m in members if not (m.learner and m.disk_id in leaving)))

    def _prune_peers(self, now: float) -> None:
        """Forgets those who neither belong to the configuration nor answer, and places of
        others."""
        known = {
            m.disk_id
            for m in (
                *self._members,
                *(() if self._is_configuration_committed() else self._previous_members),
            )
        }
        for disk, peer in list(self.peers.items()):
            if disk not in known and peer.silence(now) > 2 * self.timings.unresponsive_timeout:
                del self.peers[disk]
        for disk in set(self._reported_locations) - known - set(self.peers) - {self.me.disk_id}:
            del self._reported_locations[disk]
