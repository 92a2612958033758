"""One member, as a pure machine: what is heard and the time go in, what is to be said, asked, kept
and told comes out.

Failures are detected as by SWIM (Das, Gupta and Motivala, DSN 2002): each period one member is
probed, then through others; who does not answer is suspected, and can refute that with a higher
incarnation; news travels on the probes. With Lifeguard's corrections (Dadgar, Phillips and Currey,
DSN-W 2018): a member that is slow itself notices and waits longer, others that hear the probe late
say so (nack), a suspicion lasts the shorter the more members share it, and who is suspected hears
of it first. A member that stays suspect is reported by its observers; who belongs to the fleet is
agreed on as a whole (`cuts.py`), so that all go through the same few views.

Times are s on the caller's monotonic clock; nothing here reads one, or any wall clock.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count

from msgspec import Raw, Struct

from cairndale.gossip.cuts import Acceptor, Alerts, Ballot, Promise, Proposal, wanted_cut
from cairndale.gossip.standing import Standing, judged
from cairndale.gossip.wire import (
    MAX_DATAGRAM,
    Address,
    Body,
    Cut,
    Held,
    News,
    Packet,
    Peer,
    State,
    View,
    raw_news,
    read_news,
)

ALIVE, SUSPECT, FAILED, LEFT = "alive", "suspect", "failed", "left"
ORDER = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEFT: 3}
TOP = 1 << 62  # incarnations end here: one beyond is forged
LEAP = 1 << 20  # by which a word on oneself may be ahead of what one has said: more is forged
HEAD = 400  # bytes of a datagram that are not news
QUEUED = 4096  # news that wait to be passed on; of more the most told goes first
LOST = 1024  # members that are remembered as lost


class Timing(Struct, frozen=True):
    """s, and numbers; the defaults suit a fleet in one site."""

    period: float = 1.0  # a probe each, while this member is well
    timeout: float = 0.3  # until others are asked to probe
    helpers: int = 3  # that are asked
    gossip: float = 0.2  # between news that are passed on beside probes
    fanout: int = 3  # members that they go to
    told: float = 3.0  # times log10 of the fleet that each news is passed on
    # periods, times log10 of the fleet, that a suspicion shared by all lasts ...
    suspicion: float = 4.0
    slack: float = 6.0  # ... and times as long one that nobody shares
    unwell: int = 8  # the most that a member's own health stretches its times by
    sync: float = 15.0  # between whole states exchanged with one member
    heal: float = 10.0  # between tries to reach one that is lost
    round: float = 1.0  # that a proposal waits for its majority, at the least
    # periods after most are reached again until a cut is proposed: many that seem lost are not
    regain: float = 6.0
    fresh: float = 5.0  # periods without any answer after which a member is unsure


class Stored(Struct, frozen=True):
    """What a member knows over a restart. Kept on disk, synced, before anything that follows from
    it is said."""

    name: str = ""
    seat: int = 0
    boot: int = 0
    incarnation: int = 0
    view: View | None = None
    promise: Promise = Promise()
    lost: tuple[Peer, ...] = ()


# Actions.


@dataclass(frozen=True, slots=True)
class Send:
    to: Address
    packet: Packet


@dataclass(frozen=True, slots=True)
class Ask:
    """Exchange whole states with it over TCP; the answer, if one comes, goes to `answered`."""

    to: Address
    state: State


@dataclass(frozen=True, slots=True)
class Keep:
    """On disk before what comes after it in the list."""

    stored: Stored


@dataclass(frozen=True, slots=True)
class Changed:
    """For whoever uses membership: a view, or one's own standing."""

    view: View
    standing: Standing
    added: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()


Action = Send | Ask | Keep | Changed


@dataclass(slots=True)
class Suspicion:
    since: float
    by: set[str]


@dataclass(slots=True)
class Known:
    """What is held of another member."""

    peer: Peer
    incarnation: int = 0
    state: str = ALIVE
    since: float = 0.0
    why: str = "in the view"
    suspicion: Suspicion | None = None
    trip: float = 0.0  # s of the last probe, there and back
    answered: float = -math.inf  # when it last answered here


@dataclass(slots=True)
class Probe:
    name: str
    at: float
    answered: bool = False
    nacks: int = 0
    asked: int = 0


@dataclass(slots=True)
class Queued:
    raw: bytes
    times: int


@dataclass(slots=True)
class Core:
    me: Peer
    fleet: str
    timing: Timing
    rng: random.Random
    seeds: tuple[Address, ...] = ()
    # makes a view of its own where no seed answers: one member of a fleet at most
    founds: bool = False
    boot: int = 1
    incarnation: int = 1
    view: View | None = None
    others: dict[str, Known] = field(default_factory=dict)
    lost: dict[str, Peer] = field(default_factory=dict)  # cut off, and not seen since
    health: int = 0  # 0: well; times are stretched by one more than that
    refused: str = ""  # why this member was not admitted
    leaving: bool = False
    standing: Standing = field(default_factory=lambda: Standing("alone", 0.0, 0))
    counts: dict[str, int] = field(default_factory=dict)
    _acceptor: Acceptor = field(default_factory=lambda: Acceptor(Promise()))
    _alerts: Alerts | None = None
    _proposal: Proposal | None = None
    _rounds: int = 0
    _probes: dict[int, Probe] = field(default_factory=dict)
    # own seq: for whom, their seq
    _helping: dict[int, tuple[str, int, float]] = field(default_factory=dict)
    _order: list[str] = field(default_factory=list)
    _queue: dict[tuple[str, str, str], Queued] = field(default_factory=dict)
    _joining: dict[str, Peer] = field(default_factory=dict)
    _left: set[str] = field(default_factory=set)
    # who was heard with another view, and when
    _differs: dict[str, float] = field(default_factory=dict)
    _seq: int = 0
    _count: int = 0
    _timers: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _ids: count[int] = field(default_factory=count)
    _out: list[Action] = field(default_factory=list)
    _answered_at: float = 0.0
    _unstable_since: float | None = None
    _look_at: float = -1.0  # when what is to be proposed is looked into next
    _chosen: Cut | None = None  # decided by this member's round, and not adopted yet
    _few_at: float = -math.inf  # when most of the view were last out of reach

    # Life.

    def begin(self, now: float, stored: Stored | None = None) -> list[Action]:
        self._answered_at = now
        if stored is not None and stored.seat and stored.name == self.me.name:
            self.me = Peer(self.me.name, stored.seat, self.me.host, self.me.port, self.me.zone)
            self.boot, self.incarnation = stored.boot + 1, stored.incarnation + 1
            self._acceptor.held = stored.promise
            self.lost = {p.name: p for p in stored.lost}
            if stored.view is not None and self.me in stored.view.members:
                self._adopt(now, stored.view, "kept on disk")
            else:
                self._remember(stored.view)
        self._keep()
        self._at(now, self._period)
        self._at(now + self.rng.uniform(0.5, 1) * self.timing.gossip, self._gossip)
        self._at(now + self.rng.uniform(0.5, 1) * self.timing.sync, self._sync)
        self._at(now + self.rng.uniform(0.5, 1) * self.timing.heal, self._heal)
        self._at(now, self._join)
        if self.view is not None:
            self._refute(now, 0)
        return self._done(now)

    def _remember(self, view: View | None) -> None:
        """Members of a view that this one is not part of: somebody to join through."""
        for peer in view.members if view else ():
            if peer.name != self.me.name and len(self.lost) < LOST:
                self.lost[peer.name] = peer

    def leave(self, now: float) -> list[Action]:
        """Said before going: no suspicion, and no word of a loss."""
        self.leaving = True
        self._spread(News("left", self.me.name, self.incarnation, self.me.name))
        for known in self._shuffled(lambda k: k.state == ALIVE):
            self._send(known.peer.address, Body("news"))
        return self._done(now)

    def remove(self, now: float, name: str) -> list[Action]:
        """An operator's word: it is to be cut off, and not missed."""
        known = self.others.get(name)
        self.lost.pop(name, None)
        if known is not None:
            self._heard_state(now, News("left", name, known.incarnation, self.me.name))
        return self._done(now)

    # Time.

    def wake_at(self) -> float:
        return self._timers[0][0] if self._timers else math.inf

    def tick(self, now: float) -> list[Action]:
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2](now)
        return self._done(now)

    def _at(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self._timers, (when, next(self._ids), what))

    def _done(self, now: float) -> list[Action]:
        self._judge(now)
        out, self._out = self._out, []
        return out

    # Saying.

    def _send(self, to: Address, body: Body) -> None:
        self._count += 1
        news = self._news(MAX_DATAGRAM - HEAD - (len(body.cut.removed) if body.cut else 0))
        packet = Packet(self.fleet, self.me.name, self.boot, self._count, body, news)
        self._out.append(Send(to, packet))

    def _spread(self, news: News, raw: bytes | None = None) -> None:
        self._queue[news.key] = Queued(raw or raw_news(news), 0)
        if len(self._queue) > QUEUED:
            del self._queue[max(self._queue, key=lambda k: self._queue[k].times)]

    def _news(self, room: int) -> tuple[Raw, ...]:
        """What was told least goes first, as fits; what was told often enough is
        dropped."""
        if not self._queue:
            return ()
        most = max(1, math.ceil(self.timing.told * math.log10(len(self.others) + 2)))
        found: list[Raw] = []
        for key, queued in sorted(self._queue.items(), key=lambda item: item[1].times):
            if len(queued.raw) + 3 > room:
                continue
            room -= len(queued.raw) + 3
            found.append(Raw(queued.raw))
            queued.times += 1
            if queued.times >= most:
                del self._queue[key]
        return tuple(found)

    def _shuffled(self, fit: Callable[[Known], bool], most: int | None = None) -> list[Known]:
        chosen = [k for k in self.others.values() if fit(k)]
        self.rng.shuffle(chosen)
        return chosen[:most]

    def _keep(self) -> None:
        lost = tuple(self.lost.values())
        stored = Stored(
            self.me.name,
            self.me.seat,
            self.boot,
            self.incarnation,
            self.view,
            self._acceptor.held,
            lost,
        )
        self._out.append(Keep(stored))

    # Probes.

    def _stretch(self) -> int:
        return self.health + 1

    def _ail(self, change: int) -> None:
        self.health = min(self.timing.unwell - 1, max(0, self.health + change))

    def _period(self, now: float) -> None:
        self._at(now + self.timing.period * self._stretch(), self._period)
        for seq in [s for s, h in self._helping.items() if now > h[2]]:
            del self._helping[seq]
        known = self._next()
        if known is None or self.view is None:
            return
        self._seq += 1
        seq = self._seq
        self._probes[seq] = Probe(known.peer.name, now)
        if known.state != ALIVE:  # who is suspected hears of it first
            word = News("suspect", known.peer.name, known.incarnation, self.me.name)
            self._queue[word.key] = Queued(raw_news(word), 0)
        self._send(known.peer.address, self._ping(seq))
        self._at(now + self.timing.timeout * self._stretch(), lambda at: self._unanswered(at, seq))
        self._at(now + self.timing.period * self._stretch() * 0.95, lambda at: self._over(at, seq))

    def _ping(self, seq: int) -> Body:
        view = self.view
        return Body(
            "ping", seq, view=view.number if view else 0, digest=view.digest if view else ""
        )

    def _next(self) -> Known | None:
        """Each in turn, in an order drawn anew for each round; who failed is tried on, as it may
        come back."""
        while self._order:
            known = self.others.get(self._order.pop())
            if known is not None and known.state != LEFT:
                return known
        self._order = [n for n, k in self.others.items() if k.state != LEFT]
        self.rng.shuffle(self._order)
        return self.others.get(self._order.pop()) if self._order else None

    def _unanswered(self, now: float, seq: int) -> None:
        probe = self._probes.get(seq)
        if probe is None or probe.answered:
            return
        helpers = self._shuffled(
            lambda k: k.state == ALIVE and k.peer.name != probe.name, self.timing.helpers
        )
        probe.asked = len(helpers)
        for helper in helpers:
            self._send(helper.peer.address, Body("ask", seq, probe.name))

    def _over(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        if probe is None or probe.answered:
            return
        # Helpers that did not even say that they had no answer: it may be this member that hears
        # nothing.
        self._ail(max(0, probe.asked - probe.nacks) if probe.asked else 1)
        known = self.others.get(probe.name)
        if known is not None:
            self._heard_state(now, News("suspect", probe.name, known.incarnation, self.me.name))

    def _gossip(self, now: float) -> None:
        self._at(now + self.timing.gossip * self._stretch(), self._gossip)
        if self._queue:
            for known in self._shuffled(lambda k: k.state in (ALIVE, SUSPECT), self.timing.fanout):
                if self._queue:
                    self._send(known.peer.address, Body("news"))

    # Hearing.

    def heard(self, now: float, source: Address, packet: Packet) -> list[Action]:
        known = self.others.get(packet.sender)
        if packet.sender == self.me.name or (known is None and self.view is not None):
            self._count_one("not a member")
            if packet.sender in self.lost:  # it does not know yet that it was cut off
                self._ask(self.lost[packet.sender].address)
            return self._done(now)
        for raw in packet.news:
            news = read_news(raw)
            if news is not None:
                self._heard_news(now, news, bytes(raw))
        if known is not None:
            self._heard_body(now, known, source, packet.body)
        return self._done(now)

    def _count_one(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _heard_body(self, now: float, known: Known, source: Address, body: Body) -> None:
        match body.kind:
            case "ping":
                self._send(known.peer.address, Body("ack", body.seq, incarnation=self.incarnation))
                self._compare(now, known, body)
            case "ack":
                self._acknowledged(now, known, body)
            case "ask":
                target = self.others.get(body.name)
                if target is not None:
                    self._seq += 1
                    own = self._seq
                    self._helping[own] = known.peer.name, body.seq, now + 4 * self.timing.period
                    self._send(target.peer.address, self._ping(own))
                    self._at(now + self.timing.timeout, lambda at: self._no_answer(at, own))
            case "nack":
                if (probe := self._probes.get(body.seq)) is not None:
                    probe.nacks += 1
            case "relayed":  # a helper's probe was answered
                if (probe := self._probes.get(body.seq)) is not None and not probe.answered:
                    probe.answered = True
                    self._answered_at = now
                    if (target := self.others.get(probe.name)) is not None:
                        self._lives(now, target, body.incarnation)
            case "prepare" | "accept":
                self._vote(known, body)
            case "promise" | "accepted":
                self._tally(known.peer.name, body)

    def _acknowledged(self, now: float, known: Known, body: Body) -> None:
        helped = self._helping.pop(body.seq, None)
        if helped is not None:
            asker = self.others.get(helped[0])
            if asker is not None:
                self._send(
                    asker.peer.address, Body("relayed", helped[1], incarnation=body.incarnation)
                )
            return
        probe = self._probes.pop(body.seq, None)
        if probe is None or probe.name != known.peer.name:
            return
        probe.answered, known.trip, known.answered = True, now - probe.at, now
        self._answered_at = now
        self._ail(-1)
        self._lives(now, known, body.incarnation)

    def _no_answer(self, now: float, own: int) -> None:
        helped = self._helping.get(own)
        if helped is not None and (asker := self.others.get(helped[0])) is not None:
            self._send(asker.peer.address, Body("nack", helped[1]))

    def _lives(self, now: float, known: Known, incarnation: int) -> None:
        """Its own answer. It does not overrule a suspicion that others share: that takes a higher
        incarnation, which the answer brings once it has heard of the suspicion."""
        if known.incarnation < incarnation < TOP:
            self._heard_state(now, News("alive", known.peer.name, incarnation, known.peer.name))

    def _compare(self, now: float, known: Known, body: Body) -> None:
        view = self.view
        if view is None or (body.view, body.digest) == (view.number, view.digest):
            self._differs.pop(known.peer.name, None)
            return
        self._differs[known.peer.name] = now
        if body.view >= view.number:  # it is ahead, or the two differ
            self._ask(known.peer.address)

    # News.

    def _heard_news(self, now: float, news: News, raw: bytes) -> None:
        if news.kind in ("alive", "suspect", "left"):
            self._heard_state(now, news, raw)
        elif news.kind == "alert":
            if self._alerts is not None and news.view == self._alerts.view.number:
                known = self.others.get(news.name)
                current = known is not None and news.incarnation >= known.incarnation
                if (current or news.name == self.me.name) and self._alerts.add(
                    news.by, news.name, news.incarnation
                ):
                    self._spread(news, raw)
                    if news.name == self.me.name:
                        self._refute(now, news.incarnation)
        elif news.kind == "decided" and self.view is not None:
            if news.view == self.view.number and news.by == self.view.digest:
                self._spread(news, raw)
                self._decided(now, news.cut)
            elif (
                news.view > self.view.number and (source := self.others.get(news.name)) is not None
            ):
                self._ask(source.peer.address)

    def _heard_state(self, now: float, news: News, raw: bytes | None = None) -> None:
        if news.name == self.me.name:
            if news.kind != "alive" and not self.leaving:
                self._refute(now, news.incarnation)
            return
        known = self.others.get(news.name)
        if (
            known is None
            or not 0 <= news.incarnation < TOP
            or news.incarnation > known.incarnation + LEAP
        ):
            return
        if (
            news.kind == "suspect"
            and known.state == SUSPECT
            and news.incarnation == known.incarnation
        ):
            suspicion = known.suspicion
            if (
                suspicion is not None
                and news.by not in suspicion.by
                and len(suspicion.by) <= self.timing.helpers
            ):
                suspicion.by.add(news.by)
                self._spread(news, raw)
                self._plan_failure(known, suspicion)
            return
        # An older word never overrules; of the same incarnation the worse one does.
        newer = news.incarnation > known.incarnation
        worse = news.incarnation == known.incarnation and ORDER[news.kind] > ORDER[known.state]
        if not (newer or worse):
            return
        known.incarnation, known.state, known.since, known.why = (
            news.incarnation,
            news.kind,
            now,
            f"said by {news.by}",
        )
        known.suspicion = None
        self._spread(news, raw)
        if news.kind == "suspect":
            known.suspicion = Suspicion(now, {news.by})
            self._plan_failure(known, known.suspicion)
        elif news.kind == "alive" and self._alerts is not None:
            self._alerts.clear(known.peer.name, news.incarnation)
        elif news.kind == "left":
            self._left.add(known.peer.name)
            self._plan_proposal(now)

    def _refute(self, now: float, incarnation: int) -> None:
        """Word has it that this member is not well: it is, and says so."""
        if incarnation >= TOP - 1 or incarnation > self.incarnation + LEAP:
            self._count_one("forged")
            return
        if incarnation >= self.incarnation:
            self.incarnation = incarnation + 1
            self._ail(1)
            self._keep()
        self._spread(News("alive", self.me.name, self.incarnation, self.me.name))

    def _plan_failure(self, known: Known, suspicion: Suspicion) -> None:
        """Lifeguard's time-out: from long to short as more members share the suspicion."""
        least = (
            self.timing.suspicion * max(1.0, math.log10(len(self.others) + 1)) * self.timing.period
        )
        share = math.log(len(suspicion.by)) / math.log(self.timing.helpers + 1)
        span = max(least, least * self.timing.slack - (least * self.timing.slack - least) * share)
        due = suspicion.since + span * (1 + self.health / 4)
        self._at(due, lambda now: self._failed(now, known, suspicion))

    def _failed(self, now: float, known: Known, suspicion: Suspicion) -> None:
        if known.suspicion is not suspicion or known.state != SUSPECT:
            return
        known.state, known.since, known.why = (
            FAILED,
            now,
            f"suspect to {', '.join(sorted(suspicion.by))}",
        )
        known.suspicion = None
        self._alert(now, known)

    def _alert(self, now: float, known: Known) -> None:
        """As one of its observers this member reports it."""
        if self._alerts is None or self.view is None:
            return
        if self._alerts.add(self.me.name, known.peer.name, known.incarnation):
            number = self.view.number
            self._spread(News("alert", known.peer.name, known.incarnation, self.me.name, number))
        self._plan_proposal(now)

    # Views.

    def _plan_proposal(self, now: float) -> None:
        """Whoever comes first in the view's order proposes at once, others wait in case it is lost
        too."""
        if self.view is None:
            return
        alive = [p.name for p in self.view.members if p.name == self.me.name or self._well(p.name)]
        rank = min(alive.index(self.me.name), 10)
        self._propose_in(now, self.timing.gossip * (1 + rank * 2) * self.rng.uniform(0.8, 1.2))

    def _propose_in(self, now: float, wait: float) -> None:
        """One look at what is to be proposed is planned at a time: the soonest."""
        due = now + wait
        if now <= self._look_at <= due:
            return
        self._look_at = due
        self._at(due, lambda at: self._propose(at, due))

    def _alive(self) -> set[str]:
        return {n for n, k in self.others.items() if k.state == ALIVE}

    def _well(self, name: str) -> bool:
        known = self.others.get(name)
        return known is not None and known.state == ALIVE

    def _wanted(self, now: float) -> Cut | None:
        """The cut to propose now; None where nothing is to be cut, or somebody stands between."""
        if self.view is None or self._alerts is None:
            return None
        if now - self._few_at < self.timing.regain * self.timing.period:
            return None
        sure, unsure = (names - self._alive() for names in self._alerts.lost())
        if unsure:
            if self._unstable_since is None:
                self._unstable_since = now
            if now - self._unstable_since < 10 * self.timing.period:
                return None
            # it stands so for good: others' word is enough
            sure |= {n for n in unsure if not self._well(n)}
        else:
            self._unstable_since = None
        leaving = {n for n in self._left if n in self.others}
        joining = [p for p in self._joining.values() if p not in self.view.members]
        return wanted_cut(self.view, sure, leaving, joining)

    def _propose(self, now: float, due: float) -> None:
        if due != self._look_at:
            return  # planned anew since
        self._look_at = -1.0
        view = self.view
        if view is None or self._proposal is not None:
            return
        cut = self._wanted(now)
        if cut is None:
            if (
                (self._alerts is not None and any(self._alerts.lost()))
                or self._joining
                or self._left
            ):
                self._propose_in(now, self.timing.period)
            return
        self._rounds = max(self._rounds, self._acceptor.of(view).promised[0]) + 1
        ballot = (self._rounds, self.me.name)
        self._proposal = Proposal(view, ballot, cut)
        self._broadcast(Body("prepare", view=view.number, digest=view.digest, ballot=ballot))
        self._at(
            now + self.timing.round * self.rng.uniform(1, 2),
            lambda at: self._round_over(at, ballot),
        )

    def _broadcast(self, body: Body) -> None:
        for known in self.others.values():
            if known.state != LEFT:
                self._send(known.peer.address, body)
        self._vote(None, body)

    def _round_over(self, now: float, ballot: Ballot) -> None:
        """No majority in time: once more, later and with a higher round."""
        if self._proposal is not None and self._proposal.ballot == ballot:
            self._proposal = None
            self._propose_in(now, self.timing.round * self.rng.uniform(0.5, 2))

    def _vote(self, asker: Known | None, body: Body) -> None:
        """`asker` is None where it is this member's own proposal."""
        view = self.view
        if view is None or (body.view, body.digest) != (view.number, view.digest):
            return
        if body.kind == "prepare":
            held = self._acceptor.prepare(view, body.ballot)
            if held is None:
                return
            answer = Body(
                "promise",
                view=view.number,
                digest=view.digest,
                ballot=body.ballot,
                held=held.accepted,
                cut=held.cut,
            )
        else:
            if body.cut is None or self._acceptor.accept(view, body.ballot, body.cut) is None:
                return
            answer = Body("accepted", view=view.number, digest=view.digest, ballot=body.ballot)
        self._keep()
        if asker is None:
            self._tally(self.me.name, answer)
        else:
            self._send(asker.peer.address, answer)

    def _tally(self, name: str, body: Body) -> None:
        proposal, view = self._proposal, self.view
        if (
            proposal is None
            or view is None
            or body.ballot != proposal.ballot
            or body.digest != view.digest
        ):
            return
        if body.kind == "promise":
            cut = proposal.promised(name, body.held, body.cut)
            if cut is not None:
                accept = Body(
                    "accept", view=view.number, digest=view.digest, ballot=proposal.ballot, cut=cut
                )
                self._broadcast(accept)
            return
        decided = proposal.voted(name)
        if decided is not None:
            self._spread(
                News("decided", self.me.name, by=view.digest, view=view.number, cut=decided)
            )
            self._chosen = decided

    def _decided(self, now: float, cut: Cut) -> None:
        if self.view is not None:
            self._adopt(now, self.view.without(cut), "agreed")

    def _adopt(self, now: float, view: View, why: str) -> None:
        """A view that was agreed on. One without this member leaves it outside, to be admitted
        again."""
        before = self.view
        self._proposal, self._unstable_since, self._rounds = None, None, 0
        self._differs.clear()
        known_before = {p.name: p for p in before.members} if before else {}
        members = {p.name: p for p in view.members}
        gone = [n for n in known_before if n not in members and n != self.me.name]
        for name in gone:
            if name not in self._left and len(self.lost) < LOST:
                self.lost[name] = known_before[name]
            self._left.discard(name)
        for name, peer in members.items():
            self.lost.pop(name, None)
            self._joining.pop(name, None)
            known = self.others.get(name)
            if name != self.me.name and (known is None or known.peer != peer):
                self.others[name] = Known(peer, since=now, why=why)
        for name in [n for n in self.others if n not in members]:
            del self.others[name]
        inside = self.me in view.members
        if not inside:
            self._remember(view)
            self.others.clear()
        self.view = view if inside else None
        self._alerts = Alerts(view) if inside else None
        self._keep()
        added = tuple(n for n in members if n not in known_before)
        self._judge(now, tell=(added, tuple(gone)))
        if inside:
            # who was failed in the view before is reported in this one
            for known in self.others.values():
                if known.state == FAILED:
                    self._alert(now, known)
            if self._joining or self._left:
                self._plan_proposal(now)
        else:
            self._at(now + self.timing.gossip, self._join)

    # Whole states.

    def state(self, joins: Peer | None = None, seat: int = 0, refused: str = "") -> State:
        held = tuple(Held(n, k.incarnation, k.state) for n, k in self.others.items())
        own = Held(self.me.name, self.incarnation, LEFT if self.leaving else ALIVE)
        view = self.view or View(0, ())
        lost = tuple(self.lost.values())
        return State(self.fleet, self.me.name, view, (own, *held), lost, joins, seat, refused)

    def _ask(self, to: Address) -> None:
        if not any(isinstance(a, Ask) and a.to == to for a in self._out):
            self._out.append(Ask(to, self.state(joins=self.me if self.view is None else None)))

    def _sync(self, now: float) -> None:
        self._at(now + self.timing.sync * self.rng.uniform(0.8, 1.2), self._sync)
        for known in self._shuffled(lambda k: k.state == ALIVE, 1):
            self._ask(known.peer.address)

    def _heal(self, now: float) -> None:
        """One of those that are lost is tried, on both sides of a cut."""
        self._at(now + self.timing.heal * self.rng.uniform(0.5, 1.5), self._heal)
        away = [p.address for p in self.lost.values()]
        away += [k.peer.address for k in self.others.values() if k.state == FAILED]
        if away:
            self._ask(self.rng.choice(away))

    def _join(self, now: float) -> None:
        if self.view is not None or self.leaving:
            return
        places = [*self.seeds, *(p.address for p in self.lost.values())]
        places = [p for p in dict.fromkeys(places) if p != self.me.address]
        if places:
            self._ask(self.rng.choice(places))
        self._at(now + 2 * self.timing.period * self.rng.uniform(0.5, 1.5), self._join)
        if self.founds and not self.lost and now - self._answered_at > 3 * self.timing.period:
            self._found(now)

    def _found(self, now: float) -> None:
        """No seed answers, and no earlier fleet is known of: this is the first member."""
        if self.me.seat == 0:
            self.me = Peer(self.me.name, 1, self.me.host, self.me.port, self.me.zone)
        self._adopt(now, View(1, (self.me,)), "founded")

    def asked(self, now: float, state: State) -> tuple[State, list[Action]]:
        """Another's whole state has come over TCP: what is answered."""
        seat, refused = 0, ""
        if state.joins is not None:
            seat, refused = self._admit(now, state.joins)
        answer = self.state(seat=seat, refused=refused)
        if not refused:
            self._merge(now, state)
        return answer, self._done(now)

    def _admit(self, now: float, peer: Peer) -> tuple[int, str]:
        """The seat that the joiner should have, 0 if the one that it has will do."""
        if self.view is None:
            return 0, "not admitted myself"
        held = self.view.find(peer.name)
        known = self.others.get(peer.name)
        if peer.name == self.me.name:
            return 0, "the name is mine"
        if held is not None and held == peer:
            return 0, ""
        if (
            held is not None
            and known is not None
            and known.state == ALIVE
            and held.address != peer.address
        ):
            return 0, f"{peer.name} is there, at {held.host}:{held.port}"
        before = held or self.lost.get(peer.name)
        least = before.seat if before is not None else 0
        if peer.seat <= least and not (before is not None and before == peer):
            return least + 1, ""
        if peer.seat == 0:
            return 1, ""
        self._joining[peer.name] = peer
        if held is not None:
            self._left.add(peer.name)
        self._plan_proposal(now)
        return 0, ""

    def answered(self, now: float, to: Address, state: State) -> list[Action]:
        """What came back from an `Ask`."""
        if state.refused:
            self.refused = state.refused
        elif state.seat and self.view is None:
            self.me = Peer(self.me.name, state.seat, self.me.host, self.me.port, self.me.zone)
            self.refused = ""
            self._keep()
            self._at(now, self._join)
        else:
            self._merge(now, state)
        return self._done(now)

    def _merge(self, now: float, state: State) -> None:
        theirs, own = state.view, self.view
        if self.me in theirs.members and (own is None or theirs.number > own.number):
            self._adopt(now, theirs, f"told by {state.sender}")
        elif own is not None and theirs.number > own.number:
            self._adopt(now, theirs, f"told by {state.sender}")  # it is without this member
        if self.view is None:
            return
        for held in state.members:
            if held.state in (ALIVE, SUSPECT, LEFT):
                self._heard_state(now, News(held.state, held.name, held.incarnation, state.sender))
            elif held.state == FAILED:  # to be looked into, not to be taken over
                self._heard_state(now, News("suspect", held.name, held.incarnation, state.sender))

    # Standing.

    def _judge(
        self, now: float, tell: tuple[tuple[str, ...], tuple[str, ...]] | None = None
    ) -> None:
        if self._chosen is not None:
            cut, self._chosen = self._chosen, None
            self._decided(now, cut)
            return
        alive = len(self._alive())
        suspect = sum(1 for k in self.others.values() if k.state == SUSPECT)
        limit = now - self.timing.fresh * self.timing.period * self._stretch()
        differs = sum(1 for at in self._differs.values() if at > limit)
        size = len(self.view.members) if self.view else 0
        if 2 * (alive + suspect + 1) <= size:
            self._few_at = now
        found = judged(
            size=size,
            alive=alive,
            suspect=suspect,
            lost=len(self.lost),
            ill=self.health >= self.timing.unwell // 2,
            differs=2 * differs > len(self.others),
            silent=bool(self.others) and self._answered_at < limit,
            now=now,
            answered_at=self._answered_at,
        )
        changed = found.word != self.standing.word
        self.standing = found
        if self.view is not None and (changed or tell):
            self._out.append(Changed(self.view, found, *(tell or ((), ()))))
        elif changed or tell:
            self._out.append(Changed(View(0, ()), found, *(tell or ((), ()))))

    def shown(self, now: float) -> list[dict[str, object]]:
        """For `ops members`: each member of the view as it is seen from here."""
        watched = self._alerts.watched_by if self._alerts is not None else {}
        rows = [
            {
                "name": n,
                "address": f"{k.peer.host}:{k.peer.port}",
                "zone": k.peer.zone,
                "state": k.state,
                "incarnation": k.incarnation,
                "since_s": round(now - k.since, 1),
                "why": k.why,
                "observers": list(watched.get(n, ())),
                "trip_ms": round(k.trip * 1000, 2),
            }
            for n, k in sorted(self.others.items())
        ]
        rows += [
            {"name": n, "address": f"{p.host}:{p.port}", "zone": p.zone, "state": "lost"}
            for n, p in sorted(self.lost.items())
        ]
        return rows


def bounded(names: Iterable[str], most: int = 10) -> str:
    """For a log line."""
    names = sorted(names)
    more = f" and {len(names) - most} more" if len(names) > most else ""
    return ", ".join(names[:most]) + more
