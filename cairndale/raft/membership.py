"""Changes of the configuration: who comes, who leaves, who votes.

A change is one entry, appended by the leader once its term's first entry and the change before are
decided. Who joins is given the log first; once it holds all that was decided, it is a learner, and
votes from the configuration on that says so."""

from __future__ import annotations

from dataclasses import astuple, replace

from cairndale.raft.messages import Entry, Join, Leave, Member, Ready
from cairndale.raft.replica import Progress, Replica, Role
from cairndale.raft.voters import next_voters

JOINING = 32  # that are given the log and are no members yet
SILENT = 8  # learners that are silent and still known


class Membership(Replica):
    def leave(self) -> None:
        """This one is about to end: as a leader it hands over, else it asks to be taken out."""
        self.leaving, self._join_at = True, float("-inf")

    def is_out(self) -> bool:
        """Neither the leader nor, as is known here, one whose word is needed."""
        return self.role is not Role.LEADER and not self.may_stand()

    def _others(self) -> list[str]:
        named = [m.address for m in self._members] + list(self.addresses)
        return [d for d in dict.fromkeys(named) if d != self.me.address]

    def _ask(self, now: float, step: Ready, asked: Join | Leave) -> None:
        """The leader, if it is known, else whoever may know it."""
        if now >= self._join_at:
            self._join_at = now + self.times.join * (1 + self.rng.random())
            heard = self.leader and now - self.heard_at < self.times.quiet and self.is_member()
            addresses = [self.leader.address] if self.leader and heard else self._others()
            step.sends += [(address, asked) for address in addresses]

    def _ask_in(self, now: float, step: Ready) -> None:
        self._ask(now, step, Join(self.term, self.me))

    def _place_is_told(self) -> bool:
        told = next((m for m in self._members if m == self.me), self.me)
        return (told.zone, told.region) == (self.me.zone, self.me.region)

    def _joining(self, now: float, step: Ready, message: Join) -> None:
        if self.role is not Role.LEADER:
            held = next((m for m in self._members if m.disk == self.voted_for), None)
            if (
                held
                and held.address == message.sender.address
                and held != message.sender
                and self.is_member()
            ):
                # The last leader's disk is gone, and the life that held the term with it: nobody
                # holds it.
                self.heard_at = float("-inf")
                self._due = min(self._due, now + self.times.soon * self.rng.random())
            if self.leader and self.leader != message.sender:
                step.sends.append((self.leader.address, message))
            return
        if message.sender.address == self.me.address:
            return
        if message.sender.disk not in self.peers:
            for disk, other in list(self.peers.items()):
                if (
                    other.member.address == message.sender.address
                    and other.member not in self._members
                ):
                    del self.peers[disk]
            if sum(p.member not in self._members for p in self.peers.values()) >= JOINING:
                return
            # From the snapshot on, if it is the founders' alone: who came before it, only that
            # tells.
            self.peers[message.sender.disk] = Progress(message.sender, 0, since=now)
            self._send(now, step, self.peers[message.sender.disk])
        peer = self.peers[message.sender.disk]
        if peer.member.address != message.sender.address:  # the same disk, elsewhere
            peer.member, peer.out_at = message.sender, -1.0
        self._places[message.sender.disk] = message.sender
        peer.leaving_at = float("-inf")

    def _asked_to_leave(self, now: float, step: Ready, message: Leave) -> None:
        if self.role is not Role.LEADER:
            if self.leader and self.leader != message.sender:
                step.sends.append((self.leader.address, message))
        elif peer := self.peers.get(message.sender.disk):
            peer.leaving_at = now
            self._take_in(now, step)

    def _take_in(self, now: float, step: Ready) -> None:
        """The next change, if there is one."""
        if not self._may_change():
            return
        members = self._next_members(now)
        if [astuple(m) for m in members] == [astuple(m) for m in self._members]:
            return
        gone = [
            m
            for m in self._members
            if m not in members and any(m.address == o.address for o in members)
        ]
        self._append_entry(now, step, Entry(self.last + 1, self.term, members=members))
        for member in gone:  # another disk stands at its door
            self.peers.pop(member.disk, None)

    def _may_change(self) -> bool:
        """One at a time, and none before this term's first entry is decided."""
        return self._opened and self._is_settled() and not self._handed and not self.leaving

    def _next_members(self, now: float) -> tuple[Member, ...]:
        times, peers = self.times, self.peers
        here = {m.disk: m for m in self._members}
        for (
            peer
        ) in peers.values():  # those that came, each in the place of the one at its door before
            level = peer.match >= self.commit_index > 0 and now - peer.level_at < times.fit
            if peer.member.disk not in here and level and peer.leaving_at == float("-inf"):
                before = [m for m in here.values() if m.address == peer.member.address]
                for member in before:
                    del here[member.disk]
                here[peer.member.disk] = replace(
                    peer.member, learner=all(m.learner for m in before)
                )
        leaving = {d for d in here if d in peers and now - peers[d].leaving_at < times.fit}
        silent = {d: peers[d].silent(now) for d in here if d in peers}
        aside = sorted(
            (d for d, m in here.items() if m.learner and d in silent), key=lambda d: silent[d]
        )
        still = sum(silent[d] <= times.silent for d in aside)
        for place, disk in enumerate(aside):
            if disk in leaving or silent[disk] > times.forget or place >= still + SILENT:
                del here[disk]
        for disk, member in here.items():
            if told := self._places.get(disk):
                here[disk] = replace(told, learner=member.learner)
        fit = {d for d in here if d in peers and now - peers[d].level_at < times.fit}
        lost = {d for d in here if silent.get(d, 0.0) > times.silent}
        steady = {d for d in fit if now - peers[d].since > times.silent}
        votes = frozenset(m.disk for m in self._voters)
        places = tuple((m.disk, m.zone, m.region, m.learner) for m in here.values())
        if (seen := (places, fit, steady, lost, leaving, self.tolerance)) != self._left_as_it_is:
            chosen = next_voters(
                tuple(here.values()), fit, steady, lost, leaving, self.me.disk, self.tolerance
            )
            self._left_as_it_is = seen if chosen == votes else None
            votes = chosen
        members = (replace(m, learner=d not in votes) for d, m in here.items())
        return tuple(sorted(m for m in members if not (m.learner and m.disk in leaving)))

    def _prune(self, now: float) -> None:
        """Forgets those who neither belong to the configuration nor answer, and places of
        others."""
        known = {m.disk for m in (*self._members, *(() if self._is_settled() else self._before))}
        for disk, peer in list(self.peers.items()):
            if disk not in known and peer.silent(now) > 2 * self.times.silent:
                del self.peers[disk]
        for disk in set(self._places) - known - set(self.peers) - {self.me.disk}:
            del self._places[disk]
