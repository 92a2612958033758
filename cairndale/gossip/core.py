"""The membership protocol of one member, as a deterministic state machine without I/O: received
messages and the time go in; messages to send, state to persist and notifications come out.

Failures are detected as in SWIM (Das, Gupta and Motivala, DSN 2002): in each period one member is
probed directly, then indirectly through other members. A member that does not answer is suspected,
and can refute the suspicion with a higher incarnation. Gossip updates are piggybacked on probes.

Lifeguard's extensions (Dadgar, Phillips and Currey, DSN-W 2018) are included: a member that is slow
itself notices this and extends its timeouts (local health multiplier), helpers of an indirect probe
that get no answer in time report that (nack), a suspicion times out earlier the more members
confirm it, and a suspected member is notified first (buddy system).

A member that stays suspect is reported by its observers. The membership of the fleet changes by
agreement on a whole view (`cuts.py`), so that all members go through the same few views.

Times are in seconds on the caller's monotonic clock; this module reads no clock.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count

import msgspec
from msgspec import Raw, Struct

from cairndale.gossip.cuts import Acceptor, AcceptorState, Alerts, Ballot, Proposal, proposed_change
from cairndale.gossip.standing import Standing, assess_standing
from cairndale.gossip.wire import (
    MAX_DATAGRAM_BYTES,
    Address,
    Body,
    FullState,
    GossipUpdate,
    MemberState,
    Packet,
    Peer,
    View,
    ViewChange,
    decode_update,
    encode_update,
)

ALIVE, SUSPECT, FAILED, LEFT = "alive", "suspect", "failed", "left"
SEVERITY = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEFT: 3}
MAX_INCARNATION = 1 << 62  # updates with this incarnation or a higher one are taken as forged
# An update whose incarnation is ahead of the known one by more than this is taken as forged.
MAX_INCARNATION_STEP = 1 << 20
HEADER_RESERVE_BYTES = 400  # of a datagram, not available for gossip updates
MAX_QUEUED_UPDATES = 4096  # beyond this, the update with the most transmissions is dropped
MAX_UNREACHABLE = 1024  # removed members that are remembered, to reconnect to
INDIRECT_PROBE_EXPIRY_PERIODS = 4  # probe periods that a helper waits for the ack of its ping
PROBE_DEADLINE_FRACTION = 0.95  # of a probe period, after which a probe without an ack has failed
MAX_PROPOSER_RANK = 10  # limits the delay of proposals by members late in the view's order
# Probe periods for which a member with alerts between the watermarks delays the next view change.
MAX_UNSTABLE_PERIODS = 10


class Timing(Struct, frozen=True):
    """Settings of the protocol: times in seconds, and counts. The defaults suit a fleet within one
    site."""

    probe_period: float = 1.0  # one member is probed per period, while this member is healthy
    probe_timeout: float = 0.3  # without an ack, until an indirect probe is started
    indirect_probe_helpers: int = 3  # members that are asked to probe indirectly
    gossip_interval: float = 0.2  # between sends of gossip updates apart from probes
    gossip_fanout: int = 3  # members that each of these sends goes to
    # times log10 of the fleet size: how often a member sends each update
    transmit_multiplier: float = 3.0
    # times log10 of the fleet size, in probe periods: timeout of a fully confirmed suspicion
    suspicion_multiplier: float = 4.0
    # times the timeout above: timeout of a suspicion that no other member confirms
    suspicion_max_multiplier: float = 6.0
    max_health_multiplier: int = 8  # upper limit of Lifeguard's local health multiplier
    sync_interval: float = 15.0  # between exchanges of full state, each with one member
    reconnect_interval: float = 10.0  # between attempts to reach an unreachable or failed member
    ballot_timeout: float = 1.0  # shortest time that a proposer waits for a majority
    # Probe periods between reaching a majority again and proposing a view change: just after a
    # partition, many members that seem to have failed have not.
    recovery_periods: float = 6.0
    answer_timeout_periods: float = 5.0  # without any answer, after which a member is unsure


class PersistentState(Struct, frozen=True):
    """What a member keeps on disk over a restart. It is synced to disk before any message that
    depends on it is sent."""

    name: str = ""
    generation: int = msgspec.field(name="seat", default=0)
    boot_epoch: int = msgspec.field(name="boot", default=0)
    incarnation: int = 0
    view: View | None = None
    acceptor: AcceptorState = msgspec.field(name="promise", default=AcceptorState())
    unreachable: tuple[Peer, ...] = msgspec.field(name="lost", default=())


# Actions.


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    to: Address
    packet: Packet


@dataclass(frozen=True, slots=True)
class RequestExchange:
    """Exchange full states with another member over TCP. Its answer, if there is one, goes to
    `Core.receive_exchange_answer`."""

    to: Address
    state: FullState


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the state to disk before the actions that follow in the list are carried out."""

    stored: PersistentState


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Notify the user of the membership: the view, or this member's standing, has changed."""

    view: View
    standing: Standing
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


Action = Send | RequestExchange | Persist | MembershipChanged


@dataclass(slots=True)
class Suspicion:
    """A suspicion, and the members that have reported it."""

    since: float
    reporters: set[str]


@dataclass(slots=True)
class KnownMember:
    """What this member knows of another one."""

    peer: Peer
    incarnation: int = 0
    state: str = ALIVE
    since: float = 0.0
    reason: str = "in the view"
    suspicion: Suspicion | None = None
    round_trip: float = 0.0  # s, of the last probe that was answered directly
    last_answered_at: float = -math.inf  # when it last answered a probe of this member


@dataclass(slots=True)
class Probe:
    """A probe of this member that is in flight."""

    name: str
    sent_at: float
    answered: bool = False
    nacks: int = 0
    helpers_asked: int = 0


@dataclass(slots=True)
class QueuedUpdate:
    """An encoded gossip update that is still to be sent, and how often it has been."""

    raw: bytes
    transmissions: int


@dataclass(slots=True)
class Core:
    """The state machine of one member. Each public method that takes an event returns the actions
    that the caller has to carry out, in order."""

    local: Peer  # this member
    fleet: str
    timing: Timing
    rng: random.Random
    seeds: tuple[Address, ...] = ()
    # creates the first view if no seed answers; to be set on at most one member of a fleet
    may_bootstrap: bool = False
    boot_epoch: int = 1
    incarnation: int = 1
    view: View | None = None
    others: dict[str, KnownMember] = field(default_factory=dict)
    # removed from the view as failed, and not admitted again since
    unreachable: dict[str, Peer] = field(default_factory=dict)
    health_score: int = 0  # 0: healthy; the local health multiplier is one more
    refusal: str = ""  # why this member was not admitted
    leaving: bool = False
    standing: Standing = field(default_factory=lambda: Standing("alone", 0.0, 0))
    drop_counts: dict[str, int] = field(default_factory=dict)
    _acceptor: Acceptor = field(default_factory=lambda: Acceptor(AcceptorState()))
    _alerts: Alerts | None = None
    _proposal: Proposal | None = None
    _ballot_number: int = 0
    _probes: dict[int, Probe] = field(default_factory=dict)
    # sequence number of this member's ping -> (requesting member, sequence number of its request,
    # time at which this entry expires)
    _indirect_probes: dict[int, tuple[str, int, float]] = field(default_factory=dict)
    _probe_order: list[str] = field(default_factory=list)
    _update_queue: dict[tuple[str, str, str], QueuedUpdate] = field(default_factory=dict)
    _joining: dict[str, Peer] = field(default_factory=dict)
    _left: set[str] = field(default_factory=set)  # members that left, but are still in the view
    # members whose pings carried another view -> when the last of these was received
    _view_mismatches: dict[str, float] = field(default_factory=dict)
    _probe_seq: int = 0
    _packets_sent: int = 0
    _timers: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _ids: count[int] = field(default_factory=count)
    _actions: list[Action] = field(default_factory=list)
    _last_answer_at: float = 0.0
    _unstable_since: float | None = None
    _proposal_due_at: float = -1.0  # of the next scheduled proposal; negative: none is scheduled
    _decided_change: ViewChange | None = None  # by this member's ballot, and not yet applied
    _last_without_majority_at: float = -math.inf  # last time that no majority was reachable

    # Start and leave.

    def start(self, now: float, stored: PersistentState | None = None) -> list[Action]:
        """Restores the persisted state, if it is of this member, and starts all timers."""
        self._last_answer_at = now
        if stored is not None and stored.generation and stored.name == self.local.name:
            self.local = Peer(
                self.local.name,
                stored.generation,
                self.local.host,
                self.local.port,
                self.local.zone,
            )
            self.boot_epoch, self.incarnation = stored.boot_epoch + 1, stored.incarnation + 1
            self._acceptor.state = stored.acceptor
            self.unreachable = {p.name: p for p in stored.unreachable}
            if stored.view is not None and self.local in stored.view.members:
                self._adopt_view(now, stored.view, "kept on disk")
            else:
                self._remember_members(stored.view)
        self._persist()
        self._call_at(now, self._start_probe)
        self._call_at(now + self.rng.uniform(0.5, 1) * self.timing.gossip_interval, self._gossip)
        self._call_at(now + self.rng.uniform(0.5, 1) * self.timing.sync_interval, self._sync)
        self._call_at(
            now + self.rng.uniform(0.5, 1) * self.timing.reconnect_interval, self._reconnect
        )
        self._call_at(now, self._join)
        if self.view is not None:
            self._refute(now, 0)
        return self._finish(now)

    def _remember_members(self, view: View | None) -> None:
        """Remembers the members of a view that does not include this member, to join through."""
        for peer in view.members if view else ():
            if peer.name != self.local.name and len(self.unreachable) < MAX_UNREACHABLE:
                self.unreachable[peer.name] = peer

    def leave(self, now: float) -> list[Action]:
        """Announces that this member leaves, so that it is neither suspected nor reported as
        failed."""
        self.leaving = True
        self._enqueue_update(
            GossipUpdate("left", self.local.name, self.incarnation, self.local.name)
        )
        for member in self._random_members(lambda m: m.state == ALIVE):
            self._send(member.peer.address, Body("news"))
        return self._finish(now)

    def remove(self, now: float, name: str) -> list[Action]:
        """Removes a member at an operator's request, as if it had left."""
        member = self.others.get(name)
        self.unreachable.pop(name, None)
        if member is not None:
            self._apply_update(now, GossipUpdate("left", name, member.incarnation, self.local.name))
        return self._finish(now)

    # Time.

    def wake_at(self) -> float:
        """When `tick` is to be called next."""
        return self._timers[0][0] if self._timers else math.inf

    def tick(self, now: float) -> list[Action]:
        """Runs the timers that are due."""
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2](now)
        return self._finish(now)

    def _call_at(self, when: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._ids), callback))

    def _finish(self, now: float) -> list[Action]:
        self._update_standing(now)
        actions, self._actions = self._actions, []
        return actions

    # Sending.

    def _send(self, to: Address, body: Body) -> None:
        self._packets_sent += 1
        updates = self._take_updates(
            MAX_DATAGRAM_BYTES
            - HEADER_RESERVE_BYTES
            - (len(body.change.removed) if body.change else 0)
        )
        packet = Packet(
            self.fleet, self.local.name, self.boot_epoch, self._packets_sent, body, updates
        )
        self._actions.append(Send(to, packet))

    def _enqueue_update(self, update: GossipUpdate, raw: bytes | None = None) -> None:
        self._update_queue[update.key] = QueuedUpdate(raw or encode_update(update), 0)
        if len(self._update_queue) > MAX_QUEUED_UPDATES:
            del self._update_queue[
                max(self._update_queue, key=lambda k: self._update_queue[k].transmissions)
            ]

    def _take_updates(self, capacity: int) -> tuple[Raw, ...]:
        """Takes queued updates for a datagram, those with the fewest transmissions first, as many
        as fit. Updates that have reached their maximum of transmissions leave the queue."""
        if not self._update_queue:
            return ()
        max_transmissions = max(
            1, math.ceil(self.timing.transmit_multiplier * math.log10(len(self.others) + 2))
        )
        taken: list[Raw] = []
        for key, queued in sorted(
            self._update_queue.items(), key=lambda item: item[1].transmissions
        ):
            if len(queued.raw) + 3 > capacity:
                continue
            capacity -= len(queued.raw) + 3
            taken.append(Raw(queued.raw))
            queued.transmissions += 1
            if queued.transmissions >= max_transmissions:
                del self._update_queue[key]
        return tuple(taken)

    def _random_members(
        self, matches: Callable[[KnownMember], bool], limit: int | None = None
    ) -> list[KnownMember]:
        chosen = [m for m in self.others.values() if matches(m)]
        self.rng.shuffle(chosen)
        return chosen[:limit]

    def _persist(self) -> None:
        unreachable = tuple(self.unreachable.values())
        stored = PersistentState(
            self.local.name,
            self.local.generation,
            self.boot_epoch,
            self.incarnation,
            self.view,
            self._acceptor.state,
            unreachable,
        )
        self._actions.append(Persist(stored))

    # Probes.

    def _health_multiplier(self) -> int:
        return self.health_score + 1

    def _adjust_health(self, delta: int) -> None:
        self.health_score = min(
            self.timing.max_health_multiplier - 1, max(0, self.health_score + delta)
        )

    def _start_probe(self, now: float) -> None:
        self._call_at(now + self.timing.probe_period * self._health_multiplier(), self._start_probe)
        for seq in [s for s, request in self._indirect_probes.items() if now > request[2]]:
            del self._indirect_probes[seq]
        member = self._next_target()
        if member is None or self.view is None:
            return
        self._probe_seq += 1
        seq = self._probe_seq
        self._probes[seq] = Probe(member.peer.name, now)
        if member.state != ALIVE:  # Lifeguard's buddy system: notify the suspected member first
            suspicion = GossipUpdate(
                "suspect", member.peer.name, member.incarnation, self.local.name
            )
            self._update_queue[suspicion.key] = QueuedUpdate(encode_update(suspicion), 0)
        self._send(member.peer.address, self._ping(seq))
        self._call_at(
            now + self.timing.probe_timeout * self._health_multiplier(),
            lambda at: self._probe_indirectly(at, seq),
        )
        self._call_at(
            now + self.timing.probe_period * self._health_multiplier() * PROBE_DEADLINE_FRACTION,
            lambda at: self._finish_probe(at, seq),
        )

    def _ping(self, seq: int) -> Body:
        view = self.view
        return Body(
            "ping", seq, view=view.number if view else 0, digest=view.digest if view else ""
        )

    def _next_target(self) -> KnownMember | None:
        """The members in turn, in an order shuffled anew for each pass. Failed members are still
        probed, as they may recover."""
        while self._probe_order:
            member = self.others.get(self._probe_order.pop())
            if member is not None and member.state != LEFT:
                return member
        self._probe_order = [n for n, m in self.others.items() if m.state != LEFT]
        self.rng.shuffle(self._probe_order)
        return self.others.get(self._probe_order.pop()) if self._probe_order else None

    def _probe_indirectly(self, now: float, seq: int) -> None:
        probe = self._probes.get(seq)
        if probe is None or probe.answered:
            return
        helpers = self._random_members(
            lambda m: m.state == ALIVE and m.peer.name != probe.name,
            self.timing.indirect_probe_helpers,
        )
        probe.helpers_asked = len(helpers)
        for helper in helpers:
            self._send(helper.peer.address, Body("ask", seq, probe.name))

    def _finish_probe(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None or probe.answered:
            return
        # Helpers that sent not even a nack suggest that this member itself receives messages late
        # or not at all (Lifeguard).
        self._adjust_health(max(0, probe.helpers_asked - probe.nacks) if probe.helpers_asked else 1)
        member = self.others.get(probe.name)
        if member is not None:
            self._apply_update(
                now, GossipUpdate("suspect", probe.name, member.incarnation, self.local.name)
            )

    def _gossip(self, now: float) -> None:
        self._call_at(now + self.timing.gossip_interval * self._health_multiplier(), self._gossip)
        if self._update_queue:
            for member in self._random_members(
                lambda m: m.state in (ALIVE, SUSPECT), self.timing.gossip_fanout
            ):
                if self._update_queue:
                    self._send(member.peer.address, Body("news"))

    # Receiving.

    def receive(self, now: float, source: Address, packet: Packet) -> list[Action]:
        """Processes a packet."""
        member = self.others.get(packet.sender)
        if packet.sender == self.local.name or (member is None and self.view is not None):
            self._count_drop("not a member")
            if packet.sender in self.unreachable:  # it does not know yet that it was removed
                self._request_exchange(self.unreachable[packet.sender].address)
            return self._finish(now)
        for raw in packet.updates:
            update = decode_update(raw)
            if update is not None:
                self._receive_update(now, update, bytes(raw))
        if member is not None:
            self._receive_body(now, member, source, packet.body)
        return self._finish(now)

    def _count_drop(self, reason: str) -> None:
        self.drop_counts[reason] = self.drop_counts.get(reason, 0) + 1

    def _receive_body(self, now: float, member: KnownMember, source: Address, body: Body) -> None:
        match body.kind:
            case "ping":
                self._send(member.peer.address, Body("ack", body.seq, incarnation=self.incarnation))
                self._compare_views(now, member, body)
            case "ack":
                self._receive_ack(now, member, body)
            case "ask":  # SWIM's ping-req
                target = self.others.get(body.name)
                if target is not None:
                    self._probe_seq += 1
                    helper_seq = self._probe_seq
                    self._indirect_probes[helper_seq] = (
                        member.peer.name,
                        body.seq,
                        now + INDIRECT_PROBE_EXPIRY_PERIODS * self.timing.probe_period,
                    )
                    self._send(target.peer.address, self._ping(helper_seq))
                    self._call_at(
                        now + self.timing.probe_timeout, lambda at: self._send_nack(at, helper_seq)
                    )
            case "nack":
                if (probe := self._probes.get(body.seq)) is not None:
                    probe.nacks += 1
            case "relayed":  # the ack of a helper's probe
                if (probe := self._probes.get(body.seq)) is not None and not probe.answered:
                    probe.answered = True
                    self._last_answer_at = now
                    if (target := self.others.get(probe.name)) is not None:
                        self._confirm_alive(now, target, body.incarnation)
            case "prepare" | "accept":
                self._answer_proposer(member, body)
            case "promise" | "accepted":
                self._receive_acceptor_reply(member.peer.name, body)

    def _receive_ack(self, now: float, member: KnownMember, body: Body) -> None:
        request = self._indirect_probes.pop(body.seq, None)
        if request is not None:
            requester = self.others.get(request[0])
            if requester is not None:
                self._send(
                    requester.peer.address,
                    Body("relayed", request[1], incarnation=body.incarnation),
                )
            return
        probe = self._probes.pop(body.seq, None)
        if probe is None or probe.name != member.peer.name:
            return
        probe.answered, member.round_trip, member.last_answered_at = True, now - probe.sent_at, now
        self._last_answer_at = now
        self._adjust_health(-1)
        self._confirm_alive(now, member, body.incarnation)

    def _send_nack(self, now: float, helper_seq: int) -> None:
        request = self._indirect_probes.get(helper_seq)
        if request is not None and (requester := self.others.get(request[0])) is not None:
            self._send(requester.peer.address, Body("nack", request[1]))

    def _confirm_alive(self, now: float, member: KnownMember, incarnation: int) -> None:
        """Applies the incarnation in a member's own ack. An ack does not override a suspicion: that
        takes a higher incarnation, which the acks carry once the member has received the
        suspicion."""
        if member.incarnation < incarnation < MAX_INCARNATION:
            self._apply_update(
                now, GossipUpdate("alive", member.peer.name, incarnation, member.peer.name)
            )

    def _compare_views(self, now: float, member: KnownMember, body: Body) -> None:
        view = self.view
        if view is None or (body.view, body.digest) == (view.number, view.digest):
            self._view_mismatches.pop(member.peer.name, None)
            return
        self._view_mismatches[member.peer.name] = now
        if body.view >= view.number:  # its view is newer, or differs at the same number
            self._request_exchange(member.peer.address)

    # Gossip updates.

    def _receive_update(self, now: float, update: GossipUpdate, raw: bytes) -> None:
        if update.kind in ("alive", "suspect", "left"):
            self._apply_update(now, update, raw)
        elif update.kind == "alert":
            if self._alerts is not None and update.view == self._alerts.view.number:
                member = self.others.get(update.name)
                current = member is not None and update.incarnation >= member.incarnation
                if (current or update.name == self.local.name) and self._alerts.add(
                    update.reported_by, update.name, update.incarnation
                ):
                    self._enqueue_update(update, raw)
                    if update.name == self.local.name:
                        self._refute(now, update.incarnation)
        elif update.kind == "decided" and self.view is not None:
            if update.view == self.view.number and update.reported_by == self.view.digest:
                self._enqueue_update(update, raw)
                self._apply_decision(now, update.change)
            elif (
                update.view > self.view.number
                and (source := self.others.get(update.name)) is not None
            ):
                self._request_exchange(source.peer.address)

    def _apply_update(self, now: float, update: GossipUpdate, raw: bytes | None = None) -> None:
        if update.name == self.local.name:
            if update.kind != "alive" and not self.leaving:
                self._refute(now, update.incarnation)
            return
        member = self.others.get(update.name)
        if (
            member is None
            or not 0 <= update.incarnation < MAX_INCARNATION
            or update.incarnation > member.incarnation + MAX_INCARNATION_STEP
        ):
            return
        if (
            update.kind == "suspect"
            and member.state == SUSPECT
            and update.incarnation == member.incarnation
        ):
            suspicion = member.suspicion
            if (
                suspicion is not None
                and update.reported_by not in suspicion.reporters
                and len(suspicion.reporters) <= self.timing.indirect_probe_helpers
            ):
                suspicion.reporters.add(update.reported_by)
                self._enqueue_update(update, raw)
                self._schedule_failure(member, suspicion)
            return
        # A lower incarnation never overrides; at the same incarnation the more severe state does.
        newer = update.incarnation > member.incarnation
        worse = (
            update.incarnation == member.incarnation
            and SEVERITY[update.kind] > SEVERITY[member.state]
        )
        if not (newer or worse):
            return
        member.incarnation, member.state, member.since, member.reason = (
            update.incarnation,
            update.kind,
            now,
            f"said by {update.reported_by}",
        )
        member.suspicion = None
        self._enqueue_update(update, raw)
        if update.kind == "suspect":
            member.suspicion = Suspicion(now, {update.reported_by})
            self._schedule_failure(member, member.suspicion)
        elif update.kind == "alive" and self._alerts is not None:
            self._alerts.clear(member.peer.name, update.incarnation)
        elif update.kind == "left":
            self._left.add(member.peer.name)
            self._schedule_proposal(now)

    def _refute(self, now: float, incarnation: int) -> None:
        """Refutes a report that this member is not alive, by a higher incarnation."""
        if (
            incarnation >= MAX_INCARNATION - 1
            or incarnation > self.incarnation + MAX_INCARNATION_STEP
        ):
            self._count_drop("forged")
            return
        if incarnation >= self.incarnation:
            self.incarnation = incarnation + 1
            self._adjust_health(1)
            self._persist()
        self._enqueue_update(
            GossipUpdate("alive", self.local.name, self.incarnation, self.local.name)
        )

    def _schedule_failure(self, member: KnownMember, suspicion: Suspicion) -> None:
        """Schedules Lifeguard's suspicion timeout, which shortens as more members confirm the
        suspicion."""
        min_timeout = (
            self.timing.suspicion_multiplier
            * max(1.0, math.log10(len(self.others) + 1))
            * self.timing.probe_period
        )
        confirmation = math.log(len(suspicion.reporters)) / math.log(
            self.timing.indirect_probe_helpers + 1
        )
        timeout = max(
            min_timeout,
            min_timeout * self.timing.suspicion_max_multiplier
            - (min_timeout * self.timing.suspicion_max_multiplier - min_timeout) * confirmation,
        )
        due = suspicion.since + timeout * (1 + self.health_score / 4)
        self._call_at(due, lambda now: self._mark_failed(now, member, suspicion))

    def _mark_failed(self, now: float, member: KnownMember, suspicion: Suspicion) -> None:
        if member.suspicion is not suspicion or member.state != SUSPECT:
            return
        member.state, member.since, member.reason = (
            FAILED,
            now,
            f"suspect to {', '.join(sorted(suspicion.reporters))}",
        )
        member.suspicion = None
        self._report_failure(now, member)

    def _report_failure(self, now: float, member: KnownMember) -> None:
        """Spreads an alert, if this member is one of the failed member's observers."""
        if self._alerts is None or self.view is None:
            return
        if self._alerts.add(self.local.name, member.peer.name, member.incarnation):
            number = self.view.number
            self._enqueue_update(
                GossipUpdate("alert", member.peer.name, member.incarnation, self.local.name, number)
            )
        self._schedule_proposal(now)

    # Views.

    def _schedule_proposal(self, now: float) -> None:
        """Schedules a proposal by this member's rank among the alive members, in the order of the
        view: the first proposes soonest; later ones wait, and act if the earlier ones have failed
        too."""
        if self.view is None:
            return
        alive = [
            p.name for p in self.view.members if p.name == self.local.name or self._is_alive(p.name)
        ]
        rank = min(alive.index(self.local.name), MAX_PROPOSER_RANK)
        self._propose_after(
            now, self.timing.gossip_interval * (1 + rank * 2) * self.rng.uniform(0.8, 1.2)
        )

    def _propose_after(self, now: float, delay: float) -> None:
        """Schedules a proposal. Only one is scheduled at a time: the earliest."""
        due = now + delay
        if now <= self._proposal_due_at <= due:
            return
        self._proposal_due_at = due
        self._call_at(due, lambda at: self._propose(at, due))

    def _alive_names(self) -> set[str]:
        return {n for n, m in self.others.items() if m.state == ALIVE}

    def _is_alive(self, name: str) -> bool:
        member = self.others.get(name)
        return member is not None and member.state == ALIVE

    def _next_change(self, now: float) -> ViewChange | None:
        """The view change to propose now. None if nothing changes, if a majority has been reachable
        only for a short time, or if alerts about some member are between the two watermarks."""
        if self.view is None or self._alerts is None:
            return None
        if (
            now - self._last_without_majority_at
            < self.timing.recovery_periods * self.timing.probe_period
        ):
            return None
        failed, unstable = (
            names - self._alive_names() for names in self._alerts.stable_and_unstable()
        )
        if unstable:
            if self._unstable_since is None:
                self._unstable_since = now
            if now - self._unstable_since < MAX_UNSTABLE_PERIODS * self.timing.probe_period:
                return None
            # Their alerts have stayed between the watermarks: remove those members too.
            failed |= {n for n in unstable if not self._is_alive(n)}
        else:
            self._unstable_since = None
        leaving = {n for n in self._left if n in self.others}
        joining = [p for p in self._joining.values() if p not in self.view.members]
        return proposed_change(self.view, failed, leaving, joining)

    def _propose(self, now: float, due: float) -> None:
        if due != self._proposal_due_at:
            return  # it was rescheduled since
        self._proposal_due_at = -1.0
        view = self.view
        if view is None or self._proposal is not None:
            return
        change = self._next_change(now)
        if change is None:
            if (
                (self._alerts is not None and any(self._alerts.stable_and_unstable()))
                or self._joining
                or self._left
            ):
                self._propose_after(now, self.timing.probe_period)
            return
        self._ballot_number = (
            max(self._ballot_number, self._acceptor.state_for(view).promised_ballot[0]) + 1
        )
        ballot = (self._ballot_number, self.local.name)
        self._proposal = Proposal(view, ballot, change)
        self._broadcast(Body("prepare", view=view.number, digest=view.digest, ballot=ballot))
        self._call_at(
            now + self.timing.ballot_timeout * self.rng.uniform(1, 2),
            lambda at: self._ballot_timed_out(at, ballot),
        )

    def _broadcast(self, body: Body) -> None:
        for member in self.others.values():
            if member.state != LEFT:
                self._send(member.peer.address, body)
        self._answer_proposer(None, body)

    def _ballot_timed_out(self, now: float, ballot: Ballot) -> None:
        """Without a majority in time, proposes again later, with a higher ballot."""
        if self._proposal is not None and self._proposal.ballot == ballot:
            self._proposal = None
            self._propose_after(now, self.timing.ballot_timeout * self.rng.uniform(0.5, 2))

    def _answer_proposer(self, proposer: KnownMember | None, body: Body) -> None:
        """Answers a prepare or accept message as a Paxos acceptor. `proposer` is None for this
        member's own proposal."""
        view = self.view
        if view is None or (body.view, body.digest) != (view.number, view.digest):
            return
        if body.kind == "prepare":
            state = self._acceptor.prepare(view, body.ballot)
            if state is None:
                return
            answer = Body(
                "promise",
                view=view.number,
                digest=view.digest,
                ballot=body.ballot,
                accepted_ballot=state.accepted_ballot,
                change=state.change,
            )
        else:
            if body.change is None or self._acceptor.accept(view, body.ballot, body.change) is None:
                return
            answer = Body("accepted", view=view.number, digest=view.digest, ballot=body.ballot)
        self._persist()
        if proposer is None:
            self._receive_acceptor_reply(self.local.name, answer)
        else:
            self._send(proposer.peer.address, answer)

    def _receive_acceptor_reply(self, name: str, body: Body) -> None:
        proposal, view = self._proposal, self.view
        if (
            proposal is None
            or view is None
            or body.ballot != proposal.ballot
            or body.digest != view.digest
        ):
            return
        if body.kind == "promise":
            change = proposal.add_promise(name, body.accepted_ballot, body.change)
            if change is not None:
                accept = Body(
                    "accept",
                    view=view.number,
                    digest=view.digest,
                    ballot=proposal.ballot,
                    change=change,
                )
                self._broadcast(accept)
            return
        decided = proposal.add_acceptance(name)
        if decided is not None:
            self._enqueue_update(
                GossipUpdate(
                    "decided",
                    self.local.name,
                    reported_by=view.digest,
                    view=view.number,
                    change=decided,
                )
            )
            self._decided_change = decided

    def _apply_decision(self, now: float, change: ViewChange) -> None:
        if self.view is not None:
            self._adopt_view(now, self.view.apply(change), "agreed")

    def _adopt_view(self, now: float, view: View, reason: str) -> None:
        """Adopts a view that was agreed on. If it does not include this member, the member is left
        without a view and asks to be admitted again."""
        previous_view = self.view
        self._proposal, self._unstable_since, self._ballot_number = None, None, 0
        self._view_mismatches.clear()
        previous_members = {p.name: p for p in previous_view.members} if previous_view else {}
        members = {p.name: p for p in view.members}
        removed = [n for n in previous_members if n not in members and n != self.local.name]
        for name in removed:
            if name not in self._left and len(self.unreachable) < MAX_UNREACHABLE:
                self.unreachable[name] = previous_members[name]
            self._left.discard(name)
        for name, peer in members.items():
            self.unreachable.pop(name, None)
            self._joining.pop(name, None)
            member = self.others.get(name)
            if name != self.local.name and (member is None or member.peer != peer):
                self.others[name] = KnownMember(peer, since=now, reason=reason)
        for name in [n for n in self.others if n not in members]:
            del self.others[name]
        is_member = self.local in view.members
        if not is_member:
            self._remember_members(view)
            self.others.clear()
        self.view = view if is_member else None
        self._alerts = Alerts(view) if is_member else None
        self._persist()
        added = tuple(n for n in members if n not in previous_members)
        self._update_standing(now, added_and_removed=(added, tuple(removed)))
        if is_member:
            # members that had failed in the previous view are reported again in this one
            for member in self.others.values():
                if member.state == FAILED:
                    self._report_failure(now, member)
            if self._joining or self._left:
                self._schedule_proposal(now)
        else:
            self._call_at(now + self.timing.gossip_interval, self._join)

    # Exchange of full state.

    def full_state(
        self, joining: Peer | None = None, generation: int = 0, refusal: str = ""
    ) -> FullState:
        """Everything that this member knows of the fleet, for an exchange."""
        member_states = tuple(
            MemberState(n, m.incarnation, m.state) for n, m in self.others.items()
        )
        own_state = MemberState(self.local.name, self.incarnation, LEFT if self.leaving else ALIVE)
        view = self.view or View(0, ())
        unreachable = tuple(self.unreachable.values())
        return FullState(
            self.fleet,
            self.local.name,
            view,
            (own_state, *member_states),
            unreachable,
            joining,
            generation,
            refusal,
        )

    def _request_exchange(self, to: Address) -> None:
        if not any(isinstance(a, RequestExchange) and a.to == to for a in self._actions):
            self._actions.append(
                RequestExchange(
                    to, self.full_state(joining=self.local if self.view is None else None)
                )
            )

    def _sync(self, now: float) -> None:
        self._call_at(now + self.timing.sync_interval * self.rng.uniform(0.8, 1.2), self._sync)
        for member in self._random_members(lambda m: m.state == ALIVE, 1):
            self._request_exchange(member.peer.address)

    def _reconnect(self, now: float) -> None:
        """Attempts an exchange with one unreachable or failed member. Members on both sides of a
        network partition do so."""
        self._call_at(
            now + self.timing.reconnect_interval * self.rng.uniform(0.5, 1.5), self._reconnect
        )
        addresses = [p.address for p in self.unreachable.values()]
        addresses += [m.peer.address for m in self.others.values() if m.state == FAILED]
        if addresses:
            self._request_exchange(self.rng.choice(addresses))

    def _join(self, now: float) -> None:
        if self.view is not None or self.leaving:
            return
        addresses = [*self.seeds, *(p.address for p in self.unreachable.values())]
        addresses = [p for p in dict.fromkeys(addresses) if p != self.local.address]
        if addresses:
            self._request_exchange(self.rng.choice(addresses))
        self._call_at(now + 2 * self.timing.probe_period * self.rng.uniform(0.5, 1.5), self._join)
        if (
            self.may_bootstrap
            and not self.unreachable
            and now - self._last_answer_at > 3 * self.timing.probe_period
        ):
            self._bootstrap(now)

    def _bootstrap(self, now: float) -> None:
        """Creates the first view: no seed answers, and no earlier fleet is known."""
        if self.local.generation == 0:
            self.local = Peer(self.local.name, 1, self.local.host, self.local.port, self.local.zone)
        self._adopt_view(now, View(1, (self.local,)), "founded")

    def receive_exchange(self, now: float, state: FullState) -> tuple[FullState, list[Action]]:
        """Processes a full state received over TCP, and returns the full state to answer with."""
        generation, refusal = 0, ""
        if state.joining is not None:
            generation, refusal = self._admit(now, state.joining)
        answer = self.full_state(generation=generation, refusal=refusal)
        if not refusal:
            self._merge_state(now, state)
        return answer, self._finish(now)

    def _admit(self, now: float, peer: Peer) -> tuple[int, str]:
        """Returns the generation that the joining member has to take (0: its own is valid), and why
        it is refused (empty: it is not)."""
        if self.view is None:
            return 0, "not admitted myself"
        admitted = self.view.find(peer.name)
        known = self.others.get(peer.name)
        if peer.name == self.local.name:
            return 0, "the name is mine"
        if admitted is not None and admitted == peer:
            return 0, ""
        if (
            admitted is not None
            and known is not None
            and known.state == ALIVE
            and admitted.address != peer.address
        ):
            return 0, f"{peer.name} is there, at {admitted.host}:{admitted.port}"
        earlier = admitted or self.unreachable.get(peer.name)
        last_generation = earlier.generation if earlier is not None else 0
        if peer.generation <= last_generation and not (earlier is not None and earlier == peer):
            return last_generation + 1, ""
        if peer.generation == 0:
            return 1, ""
        self._joining[peer.name] = peer
        if admitted is not None:
            self._left.add(peer.name)
        self._schedule_proposal(now)
        return 0, ""

    def receive_exchange_answer(self, now: float, to: Address, state: FullState) -> list[Action]:
        """Processes the answer to a `RequestExchange`."""
        if state.refusal:
            self.refusal = state.refusal
        elif state.generation and self.view is None:
            self.local = Peer(
                self.local.name, state.generation, self.local.host, self.local.port, self.local.zone
            )
            self.refusal = ""
            self._persist()
            self._call_at(now, self._join)
        else:
            self._merge_state(now, state)
        return self._finish(now)

    def _merge_state(self, now: float, state: FullState) -> None:
        remote_view, local_view = state.view, self.view
        if self.local in remote_view.members and (
            local_view is None or remote_view.number > local_view.number
        ):
            self._adopt_view(now, remote_view, f"told by {state.sender}")
        elif local_view is not None and remote_view.number > local_view.number:
            # this member was removed
            self._adopt_view(now, remote_view, f"told by {state.sender}")
        if self.view is None:
            return
        for remote in state.members:
            if remote.state in (ALIVE, SUSPECT, LEFT):
                self._apply_update(
                    now, GossipUpdate(remote.state, remote.name, remote.incarnation, state.sender)
                )
            elif remote.state == FAILED:  # only a reason to suspect it, not taken over as failed
                self._apply_update(
                    now, GossipUpdate("suspect", remote.name, remote.incarnation, state.sender)
                )

    # Standing.

    def _update_standing(
        self, now: float, added_and_removed: tuple[tuple[str, ...], tuple[str, ...]] | None = None
    ) -> None:
        if self._decided_change is not None:
            change, self._decided_change = self._decided_change, None
            self._apply_decision(now, change)
            return
        alive = len(self._alive_names())
        suspect = sum(1 for m in self.others.values() if m.state == SUSPECT)
        oldest_fresh_at = (
            now
            - self.timing.answer_timeout_periods
            * self.timing.probe_period
            * self._health_multiplier()
        )
        mismatches = sum(1 for at in self._view_mismatches.values() if at > oldest_fresh_at)
        size = len(self.view.members) if self.view else 0
        if 2 * (alive + suspect + 1) <= size:
            self._last_without_majority_at = now
        standing = assess_standing(
            size=size,
            alive=alive,
            suspect=suspect,
            unreachable=len(self.unreachable),
            unhealthy=self.health_score >= self.timing.max_health_multiplier // 2,
            views_differ=2 * mismatches > len(self.others),
            no_recent_answer=bool(self.others) and self._last_answer_at < oldest_fresh_at,
            now=now,
            last_answer_at=self._last_answer_at,
        )
        changed = standing.status != self.standing.status
        self.standing = standing
        if self.view is not None and (changed or added_and_removed):
            self._actions.append(
                MembershipChanged(self.view, standing, *(added_and_removed or ((), ())))
            )
        elif changed or added_and_removed:
            self._actions.append(
                MembershipChanged(View(0, ()), standing, *(added_and_removed or ((), ())))
            )

    def member_rows(self, now: float) -> list[dict[str, object]]:
        """Rows of the operator's page: each other member of the view, and each unreachable member,
        as this member sees it."""
        observers = self._alerts.observers_by_subject if self._alerts is not None else {}
        rows = [
            {
                "name": n,
                "address": f"{m.peer.host}:{m.peer.port}",
                "zone": m.peer.zone,
                "state": m.state,
                "incarnation": m.incarnation,
                "since_s": round(now - m.since, 1),
                "why": m.reason,
                "observers": list(observers.get(n, ())),
                "trip_ms": round(m.round_trip * 1000, 2),
            }
            for n, m in sorted(self.others.items())
        ]
        rows += [
            {"name": n, "address": f"{p.host}:{p.port}", "zone": p.zone, "state": "lost"}
            for n, p in sorted(self.unreachable.items())
        ]
        return rows


def summarize_names(names: Iterable[str], limit: int = 10) -> str:
    """Formats names for a log line: the first `limit` of them, and how many more there are."""
    names = sorted(names)
    more = f" and {len(names) - limit} more" if len(names) > limit else ""
    return ", ".join(names[:limit]) + more
