"""Agreement on the membership of the fleet: multi-node cut detection, and consensus on one change
per view.

Cut detection follows Rapid (Suresh et al., Stable and Consistent Membership at Scale with Rapid,
ATC 2018): each member has several observers, its neighbours on as many rings. A member with many
alerts has failed, and few alerts are noise. While the number of alerts about any member lies in
between, nothing is proposed, so that all members that failed together are removed by one change.

The change of a view is decided by single-decree Paxos among the members of the view (Lamport, The
Part-Time Parliament, TOCS 1998). An acceptor writes its promise to disk before it sends it, so that
it stays bound by the promise after a restart. Rapid's fast round is omitted: it needs three
quarters of the members, and up to half of them may have failed."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

from msgspec import Struct

from cairndale.gossip.wire import Peer, View, ViewChange, build_view_change, removed_names

MAX_OBSERVERS = 8  # of a member (Rapid's K)
# Fractions of a member's observers whose alerts mean that it has failed, and that it may have
# failed (Rapid's H and L, relative to K).
HIGH_WATERMARK, LOW_WATERMARK = 0.75, 0.3
MAX_JOINS_PER_CHANGE = 8  # the added members must fit into a datagram

Ballot = tuple[int, str]  # proposal number, and the name of the proposer
NO_BALLOT: Ballot = (0, "")


def observers(view: View) -> dict[str, tuple[str, ...]]:
    """Maps each member to its observers: its predecessor on each ring. All members of a view derive
    the same mapping."""
    names = [p.name for p in view.members]
    rings = min(MAX_OBSERVERS, len(names) - 1)
    observers_by_member: dict[str, dict[str, None]] = {name: {} for name in names}
    for ring in range(max(0, rings)):
        order = sorted(names, key=lambda n: sha256(f"{ring} {n}".encode()).digest())
        for number, name in enumerate(order):
            observers_by_member[name][order[number - 1]] = None
    return {name: tuple(member_observers) for name, member_observers in observers_by_member.items()}


@dataclass(slots=True)
class Alerts:
    """The alerts of observers about failed members, within one view."""

    view: View
    observers_by_subject: dict[str, tuple[str, ...]] = field(init=False)
    # subject -> observer -> incarnation of the subject that the alert is about
    _alerts: dict[str, dict[str, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.observers_by_subject = observers(self.view)

    def add(self, observer: str, subject: str, incarnation: int) -> bool:
        """Records an alert. Returns whether it comes from an observer of the subject and is new."""
        if observer not in self.observers_by_subject.get(subject, ()):
            return False
        by_observer = self._alerts.setdefault(subject, {})
        if by_observer.get(observer, -1) >= incarnation:
            return False
        by_observer[observer] = incarnation
        return True

    def clear(self, subject: str, incarnation: int) -> None:
        """Drops the alerts about earlier incarnations: the subject has refuted them."""
        by_observer = self._alerts.get(subject, {})
        for observer in [o for o, i in by_observer.items() if i < incarnation]:
            del by_observer[observer]

    def report_counts(self) -> dict[str, tuple[int, int]]:
        """Maps each subject to its number of alerts and of observers. An observer that has itself
        failed, or may have, cannot report: it is counted as if it had sent an alert."""
        likely_failed = {
            s
            for s, by_observer in self._alerts.items()
            if len(by_observer) >= self._low_watermark(s)
        }
        return {
            subject: (
                len(by_observer.keys() | (likely_failed & set(self.observers_by_subject[subject]))),
                len(self.observers_by_subject[subject]),
            )
            for subject, by_observer in self._alerts.items()
            if by_observer
        }

    def _low_watermark(self, subject: str) -> int:
        return max(1, math.ceil(LOW_WATERMARK * len(self.observers_by_subject[subject])))

    def stable_and_unstable(self) -> tuple[set[str], set[str]]:
        """Subjects that have failed (alerts at or above the high watermark), and subjects that may
        have failed (alerts between the two watermarks)."""
        stable, unstable = set(), set()
        for subject, (alert_count, observer_count) in self.report_counts().items():
            if alert_count >= math.ceil(HIGH_WATERMARK * observer_count):
                stable.add(subject)
            elif alert_count >= self._low_watermark(subject):
                unstable.add(subject)
        return stable, unstable


class AcceptorState(Struct, frozen=True, array_like=True):
    """What a Paxos acceptor keeps on disk about the decision on the successor of a view."""

    view: int = 0
    digest: str = ""
    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    change: ViewChange | None = None


@dataclass(slots=True)
class Acceptor:
    """A Paxos acceptor. The caller persists each returned state before it answers the proposer."""

    state: AcceptorState

    def state_for(self, view: View) -> AcceptorState:
        """The state for the decision on this view; a new one if the last was for another."""
        if (self.state.view, self.state.digest) != (view.number, view.digest):
            self.state = AcceptorState(view.number, view.digest)
        return self.state

    def prepare(self, view: View, ballot: Ballot) -> AcceptorState | None:
        """Returns the state to persist, or None if this ballot or a higher one was promised."""
        state = self.state_for(view)
        if ballot <= state.promised_ballot:
            return None
        self.state = AcceptorState(
            state.view, state.digest, ballot, state.accepted_ballot, state.change
        )
        return self.state

    def accept(self, view: View, ballot: Ballot, change: ViewChange) -> AcceptorState | None:
        """Returns the state to persist, or None if a higher ballot was promised."""
        state = self.state_for(view)
        if ballot < state.promised_ballot:
            return None
        self.state = AcceptorState(state.view, state.digest, ballot, ballot, change)
        return self.state


@dataclass(slots=True)
class Proposal:
    """A ballot of which this member is the proposer."""

    view: View
    ballot: Ballot
    preferred: ViewChange
    promises: dict[str, tuple[Ballot, ViewChange | None]] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    change: ViewChange | None = None  # sent in accept messages, once a majority has promised

    @property
    def majority(self) -> int:
        return len(self.view.members) // 2 + 1

    def add_promise(
        self, name: str, accepted_ballot: Ballot, accepted_change: ViewChange | None
    ) -> ViewChange | None:
        """Returns the change to propose, at the promise that completes the majority: the change
        accepted at the highest earlier ballot, if any acceptor reports one."""
        if self.change is not None or self.view.find(name) is None:
            return None
        self.promises[name] = accepted_ballot, accepted_change
        if len(self.promises) < self.majority:
            return None
        best = max(self.promises.values(), key=lambda p: p[0])
        self.change = best[1] if best[0] > NO_BALLOT and best[1] is not None else self.preferred
        return self.change

    def add_acceptance(self, name: str) -> ViewChange | None:
        """Returns the decided change, at the acceptance that completes the majority."""
        if self.change is None or self.view.find(name) is None:
            return None
        had_majority = len(self.accepted_by) >= self.majority
        self.accepted_by.add(name)
        return self.change if len(self.accepted_by) >= self.majority and not had_majority else None


def proposed_change(
    view: View, failed: Iterable[str], leaving: Iterable[str], joining: Iterable[Peer]
) -> ViewChange | None:
    """The change that this member would propose; None if nothing changes."""
    removed = {n for n in (*failed, *leaving) if view.find(n)}
    added = sorted((p for p in joining if p not in view.members), key=lambda p: p.name)[
        :MAX_JOINS_PER_CHANGE
    ]
    change = build_view_change(view, removed, tuple(added))
    return change if removed_names(view, change) or added else None
