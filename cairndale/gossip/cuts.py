"""Agreement on who belongs to the fleet: observers' alerts gathered into a cut, and one cut agreed
on a view.

The gathering is Rapid's (Suresh et al., Stable and Consistent Membership at Scale with Rapid, ATC
2018): each member has several observers, the next ones on as many rings; a member with many alerts
is lost for sure, one with few is noise, and while one stands in between nothing is proposed, so
that a whole cut is decided at once. The decision on a view is single-decree Paxos among its members
(Lamport, The Part-Time Parliament, TOCS 1998); what an acceptor has promised is on disk before it
says so, so that a member that starts again is bound by it. Rapid's fast round is left out: it needs
three quarters of the members, and half of them may be what is lost."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

from msgspec import Struct

from cairndale.gossip.wire import Cut, Peer, View, cut_of, removed

RINGS = 8  # observers of a member, at the most
HIGH, LOW = 0.75, 0.3  # shares of its observers' alerts: lost for sure, and not just noise
ADDED = 8  # members that one cut admits at the most: they travel in a datagram

Ballot = tuple[int, str]  # a round, and who leads it
NONE: Ballot = (0, "")


def observers(view: View) -> dict[str, tuple[str, ...]]:
    """Of each member: those that watch it, the one before it on each ring. The same at every
    member."""
    names = [p.name for p in view.members]
    rings = min(RINGS, len(names) - 1)
    found: dict[str, dict[str, None]] = {name: {} for name in names}
    for ring in range(max(0, rings)):
        order = sorted(names, key=lambda n: sha256(f"{ring} {n}".encode()).digest())
        for number, name in enumerate(order):
            found[name][order[number - 1]] = None
    return {name: tuple(own) for name, own in found.items()}


@dataclass(slots=True)
class Alerts:
    """Who says that whom has failed, in one view."""

    view: View
    watched_by: dict[str, tuple[str, ...]] = field(init=False)
    # by subject: observer, incarnation
    _alerts: dict[str, dict[str, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.watched_by = observers(self.view)

    def add(self, observer: str, subject: str, incarnation: int) -> bool:
        """True if it is new."""
        if observer not in self.watched_by.get(subject, ()):
            return False
        own = self._alerts.setdefault(subject, {})
        if own.get(observer, -1) >= incarnation:
            return False
        own[observer] = incarnation
        return True

    def clear(self, subject: str, incarnation: int) -> None:
        """It has said since that it lives."""
        own = self._alerts.get(subject, {})
        for observer in [o for o, i in own.items() if i < incarnation]:
            del own[observer]

    def counts(self) -> dict[str, tuple[int, int]]:
        """Alerts of each subject, and its observers. An observer that is itself lost or nearly so
        cannot tell: it counts as if it had."""
        low = {s for s, own in self._alerts.items() if len(own) >= self._low(s)}
        return {
            subject: (
                len(own.keys() | (low & set(self.watched_by[subject]))),
                len(self.watched_by[subject]),
            )
            for subject, own in self._alerts.items()
            if own
        }

    def _low(self, subject: str) -> int:
        return max(1, math.ceil(LOW * len(self.watched_by[subject])))

    def lost(self) -> tuple[set[str], set[str]]:
        """Those that are lost for sure, and those that may yet be."""
        sure, unsure = set(), set()
        for subject, (count, of) in self.counts().items():
            if count >= math.ceil(HIGH * of):
                sure.add(subject)
            elif count >= self._low(subject):
                unsure.add(subject)
        return sure, unsure


class Promise(Struct, frozen=True, array_like=True):
    """What an acceptor keeps on disk, of the view that is to be followed."""

    view: int = 0
    digest: str = ""
    promised: Ballot = NONE
    accepted: Ballot = NONE
    cut: Cut | None = None


@dataclass(slots=True)
class Acceptor:
    held: Promise

    def of(self, view: View) -> Promise:
        if (self.held.view, self.held.digest) != (view.number, view.digest):
            self.held = Promise(view.number, view.digest)
        return self.held

    def prepare(self, view: View, ballot: Ballot) -> Promise | None:
        """What is now to be kept and told; None if more is promised already."""
        held = self.of(view)
        if ballot <= held.promised:
            return None
        self.held = Promise(held.view, held.digest, ballot, held.accepted, held.cut)
        return self.held

    def accept(self, view: View, ballot: Ballot, cut: Cut) -> Promise | None:
        held = self.of(view)
        if ballot < held.promised:
            return None
        self.held = Promise(held.view, held.digest, ballot, ballot, cut)
        return self.held


@dataclass(slots=True)
class Proposal:
    """A round that this member leads."""

    view: View
    ballot: Ballot
    wanted: Cut
    promises: dict[str, tuple[Ballot, Cut | None]] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    cut: Cut | None = None  # what is put to the vote, once a majority has promised

    @property
    def majority(self) -> int:
        return len(self.view.members) // 2 + 1

    def promised(self, name: str, held: Ballot, cut: Cut | None) -> Cut | None:
        """The cut to put to the vote, at the promise that makes the majority: one that may have
        been accepted before goes first."""
        if self.cut is not None or self.view.find(name) is None:
            return None
        self.promises[name] = held, cut
        if len(self.promises) < self.majority:
            return None
        best = max(self.promises.values(), key=lambda p: p[0])
        self.cut = best[1] if best[0] > NONE and best[1] is not None else self.wanted
        return self.cut

    def voted(self, name: str) -> Cut | None:
        """The cut that is decided, at the vote that decides."""
        if self.cut is None or self.view.find(name) is None:
            return None
        before = len(self.accepted) >= self.majority
        self.accepted.add(name)
        return self.cut if len(self.accepted) >= self.majority and not before else None


def wanted_cut(
    view: View, lost: Iterable[str], leaving: Iterable[str], joining: Iterable[Peer]
) -> Cut | None:
    """What this member would propose; None if nothing changes."""
    gone = {n for n in (*lost, *leaving) if view.find(n)}
    added = sorted((p for p in joining if p not in view.members), key=lambda p: p.name)[:ADDED]
    cut = cut_of(view, gone, tuple(added))
    return cut if removed(view, cut) or added else None
