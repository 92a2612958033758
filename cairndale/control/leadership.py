"""What the leader of the duty knows and settles: servers, ingresses, units, and what is news to
whom.

A plain object without I/O; times are seconds on its process's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cairndale.configuration.state import State
from cairndale.control.evacuation_log import Moves
from cairndale.control.idempotency import Repeats
from cairndale.errors import Code, SystemFailure
from cairndale.quota.budget_counter import FURTHER, LIFE, Purse, Whole, further, starts
from cairndale.quota.quota_counter import Till
from cairndale.registry.endpoints import Board, Seen
from cairndale.registry.nodes import LEASE, Roll
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import packed
from cairndale.settings import Bounds, seconds

# beats after a start from nothing, until which servers that are not known may yet be there
SETTLE = 2.5
WAIT = 1.0  # s, at the most, for which one that was dealt nothing is told to wait
UNDER_WAY = 1.0  # s that beats usually take to get here, told together
COUNTED = 20.0  # s that an ingress counts where shares are parted, after it was last here
LOOK = 0.05  # s for which a look over all ingresses holds good: each costs their number
PACKED = 0.2  # s for which lists that were packed hold good: so much longer a server counts as cold
# s, for each ingress, that those of changes do: half of what lies between two rounds
PACKED_EACH = 0.0007
LISTS = 64  # of them that are kept
EXPIRE_EACH = 50e-6  # s, for each server, between looks for those that are silent


def server_out(seen: Seen, now: float) -> pb.Server:
    cold = max(0, round((seen.cold_until - now) * 1000))
    return pb.Server(
        id=seen.id,
        service=seen.service,
        addr=seen.addr,
        zone=seen.zone,
        gen=seen.gen,
        capacity=seen.capacity,
        state=seen.state,
        cold_ms=cold,
        seq=seen.seq,
    )


def encoded(seen: Seen, now: float) -> bytes:
    """`server_out` as it stands in a cue, made once for each change of one that is not cold."""
    if seen.told[0] == seen.changed and seen.cold_until <= now:
        return seen.told[1]
    made = pb.Cue(server=[server_out(seen, now)]).SerializeToString()
    if seen.cold_until <= now:
        seen.told = (seen.changed, made)
    return made


def server_in(made: pb.Server, now: float) -> Seen:
    return Seen(
        made.id,
        made.service,
        made.addr,
        made.zone,
        made.gen,
        made.capacity,
        made.state,
        now + made.cold_ms / 1000,
        made.seq,
        now,
        made.state == "gone",
    )


class Duty:
    def __init__(
        self,
        term: int,
        now: float,
        ever: bool,
        board: Board,
        roll: Roll,
        edges: Iterable[str],
        bounds: Bounds,
        beat: float,
    ) -> None:
        """`ever`: somebody may have held the duty before; `edges`: who may hold leases of theirs.
        `board` and `roll` are as they were last heard."""
        self.term, self.began, self._beat = term, now, beat
        self.board, self.roll, self.till = board, roll, Till(now, bounds, ever)
        self.moves, self._repeats = Moves(now, bounds.ack, ever), Repeats()
        self.purse, self._warm_per_s = Purse(now, ever), dict[str, float]()
        self._from_nothing, self._was_spent = not board.servers, False
        self._bounds, self.counting = bounds, not ever
        self._shared: dict[str, float] = {}  # ingresses of late, and until when they count
        self._shared_at, self._shared_of = (
            float("-inf"),
            -1,
        )  # when that was looked at, and by which roll
        self._looked_at = float("-inf")  # when it was counted who is out of touch
        # By what those who ask have of servers and nodes: when it was packed, up to which numbers,
        # and what.
        self._lists: dict[tuple[int, int, bool], tuple[float, tuple[int, int], bytes]] = {}
        self._expired_at = float("-inf")
        self._state: State | None = None  # as it was last followed
        self._followed: tuple[Any, Any] = (None, None)  # its tenants and backends, by object
        for seen in board.servers.values():
            seen.heard_at = now
        roll.begin(now, edges)

    def epoch(self, now: float) -> str:
        """Numbers of boards and rolls mean something within one. It changes once all servers had
        time to say that they are there: until then nobody is told that one is not."""
        return f"{self.term}" if self.settled(now) else f"{self.term}~"

    def settled(self, now: float) -> bool:
        return not self._from_nothing or now - self.began > SETTLE * self._beat

    def follow(self, state: State) -> None:
        """The configuration has changed. A table that is the same object as before is the same."""
        self._state, before = state, self._followed
        tenants, backends = (state.content.get(table, ()) for table in ("tenants", "backends"))
        self._followed = tenants, backends
        if tenants is not before[0]:
            self.till.quotas(
                {
                    t["name"]: (float(t["ratePerS"]), float(t.get("burst") or 0))
                    for t in tenants
                    if t.get("ratePerS")
                }
            )
        if backends is not before[1]:
            self._warm_per_s = {b["name"]: float(b.get("warmupPerS") or 0) for b in backends}

    def tick(self, now: float) -> bool:
        """True if there is news."""
        if self._state:
            self._state.history.weigh(self._state.content)
        return self._count(now, anew=True) | self._expire(now)

    def _count(self, now: float, anew: bool = False) -> bool:
        """Begins to count once all who may spend without it have been heard, or their leases are
        over: it may be known then that nobody has spent anything. Where one that was heard has, it
        begins at once. True if it begins now."""
        if not anew and 0 <= now - self._looked_at < LOOK:
            return False
        self._looked_at = now
        edges = self.shared_by(now)
        if self.counting:
            self.till.silent(now, self.roll.silent(now, edges), edges)
            return False
        if self._was_spent or self.roll.all_heard(now):
            quotas, self.till = self.till, Till(now, self._bounds, idle=self.roll.idle(now))
            self.till.follow(quotas)
            self.counting = True
            self.till.silent(now, self.roll.silent(now, edges), edges)
        return self.counting

    def _expire(self, now: float) -> bool:
        if not self.settled(now):
            return self.roll.watch(now)
        if now - self._expired_at < EXPIRE_EACH * len(self.board.servers):
            return self.roll.watch(now)
        self._expired_at = now
        return self.board.expire(now, self._beat) | self.roll.watch(now)

    def warmups(self, state: State) -> dict[str, float]:
        return {
            b["name"]: seconds(b.get("warmup", "0s")) for b in state.content.get("backends", ())
        }

    def shared_by(self, now: float) -> int:
        """Ingresses that static parts of a whole are counted over."""
        if self._shared_of != self.roll.joined or not 0 <= now - self._shared_at < LOOK:
            self._shared_at, self._shared_of = now, self.roll.joined
            for held in self.roll.leases.values():
                if held.node.kind == "edge":
                    self._shared[held.node.name] = now + COUNTED
            self._shared = {name: until for name, until in self._shared.items() if until > now}
        return max(1, len(self._shared))

    def units(self, now: float, call: pb.Envelope) -> pb.Envelope:
        """The answer to a call for units of this term, the same to each copy. Raises
        SystemFailure."""
        if call.term != self.term:
            raise SystemFailure(Code.STALE, f"meant for term {call.term}")
        if before := self._repeats.answer(now, call.origin, call.id):
            return before
        answer = pb.Envelope(term=self.term)
        if call.HasField("deal"):
            answer.dealt.CopyFrom(self.deal(now, call.deal))
        elif (left := self.lease(now, call.lease)) is not None:
            answer.leased.left = left
        else:
            raise SystemFailure(Code.REFUSED)
        self._repeats.keep(now, call.origin, call.id, answer)
        return answer

    def lease(self, now: float, lease: pb.Lease) -> float | None:
        """What is left of a tenant's units; None: none are leased, as they are not counted yet or
        have no bound."""
        self._count(now)
        return (
            self.till.lease(now, lease.tenant, lease.amount, lease.told) if self.counting else None
        )

    def deal(self, now: float, deal: pb.Deal) -> pb.Dealt:
        wanted = {name: self._whole(name) for name in deal.whole}
        known = {name: whole for name, whole in wanted.items() if whole}
        wait = self.purse.deal(now, known) if len(known) == len(wanted) else WAIT
        return pb.Dealt(
            all=not wait, life_ms=round(LIFE * 1000), wait_ms=round(min(wait, WAIT) * 1000)
        )

    def _whole(self, name: str) -> Whole | None:
        kind, _, of = name.partition("/")
        if kind == FURTHER:
            return further(self._bounds) if of in self._warm_per_s else None
        seen = self.board.servers.get(of)
        return starts(self._bounds, self._warm_per_s.get(seen.service, 0.0)) if seen else None

    def beats(self, now: float, beats: pb.Beats) -> None:
        """Of servers that said nothing new to one that does not lead, so many ms ago."""
        for number, (id, seq) in enumerate(zip(beats.id, beats.seq, strict=False)):
            seen = self.board.servers.get(id)
            if seen and seen.state == "ready" and seq > seen.seq:
                age = beats.age_ms[number] / 1000 if number < len(beats.age_ms) else 0.0
                seen.seq, seen.heard_at = seq, max(seen.heard_at, now - max(0.0, age - UNDER_WAY))

    def asked(self, now: float, ask: pb.Ask) -> bool:
        """True if it is news to others. Raises SystemFailure where who asks is not known, or has
        asked since: this one was held up somewhere, and says nothing of now."""
        if not ask.HasField("node"):
            known = self.roll.leases.get(ask.name)
            if known is None or known.node.life != ask.life or not known.node.door:
                raise SystemFailure(Code.STALE)
            ask.node.CopyFrom(known.node)
        known = self.roll.leases.get(ask.node.name)
        first = known is None or known.asked_at == float("-inf")  # since the duty began
        is_of_term = ask.epoch.rstrip("~") == f"{self.term}"
        made = min(now, self.began + ask.clock_ms / 1000) if is_of_term and ask.clock_ms else None
        if self.roll.was_held_up(now, ask.node, made):
            raise SystemFailure(Code.STALE, "held up")
        news = self.roll.ask(now, ask.node, ask.script, made)
        held = self.roll.leases[ask.node.name]
        if held.idle_from == float("inf"):
            held.idle_from = now - ask.idle_ms / 1000
            self._was_spent |= (
                bool(ask.epoch) and ask.node.kind == "edge"
            )  # told before, so it may spend
        held.current = ask.servers == self.board.number
        held.counting = is_of_term and ask.counting and self.counting
        news |= self._count(now, anew=first)
        return news

    def has_news(self, now: float, ask: pb.Ask, state: State) -> bool:
        if ask.epoch != self.epoch(now) or ask.script != state.version:
            return True
        if ask.node.kind == "edge" and ask.counting != self.counting:
            return True
        return ask.servers != self.board.number or ask.nodes != self.roll.number

    def cue(self, now: float, ask: pb.Ask, state: State) -> pb.Cue:
        """The news for who asks, and its lease, which begins now."""
        cue = self._answer(now, ask, self.epoch(now), state.version, state.gen)
        cue.settled = self.settled(now)
        if ask.script != state.version:
            cue.evacuated.extend(state.evacuated)
            cue.has_script = True
            if ask.gen != state.gen and ask.node.kind == "edge":  # others have the log
                self._tell_content(cue, ask, state)
        of_term = ask.epoch in (cue.epoch, f"{self.term}~")
        # Once all had time to say that they are there, an ingress need not be told again of those
        # who were.
        cue.rest_gone = of_term and ask.epoch != cue.epoch and ask.node.kind == "edge"
        known = ask.epoch == cue.epoch or cue.rest_gone
        (cue.servers, cue.nodes), cue.lists = self._packed(
            now, ask.servers if known else -1, ask.nodes if of_term else -1
        )
        return cue

    def _tell_content(self, cue: pb.Cue, ask: pb.Ask, state: State) -> None:
        """What differs from the gen that an ingress has, where it takes that and it is known; else
        all."""
        if ask.differences and (found := state.history.since(ask.gen)):
            cue.difference.CopyFrom(
                pb.Difference(
                    before=found.before,
                    gen=found.gen,
                    digest_before=found.digest_before,
                    digest=found.digest,
                    change=found.change,
                )
            )
        else:
            cue.has_content, cue.content = True, state.told()

    def renew(self, now: float, ask: pb.Ask) -> pb.Cue:
        """What it knows stands, and its lease begins anew; news of servers, nodes and the
        configuration may be kept for its next ask."""
        cue = self._answer(now, ask, ask.epoch, ask.script, ask.gen)
        cue.servers, cue.nodes = ask.servers, ask.nodes
        return cue

    def _answer(self, now: float, ask: pb.Ask, epoch: str, script: int, gen: int) -> pb.Cue:
        self.roll.answered(now, ask.node.name)
        if held := self.roll.leases.get(ask.node.name):
            held.idle_until = min(held.idle_until, now)
        return pb.Cue(
            epoch=epoch,
            lease_ms=round(LEASE * 1000),
            script=script,
            gen=gen,
            share_of=self.shared_by(now),
            counting=self.counting,
            clock_ms=max(1, int((now - self.began) * 1000)),
        )

    def _packed(self, now: float, servers: int, nodes: int) -> tuple[tuple[int, int], bytes]:
        """Lists for all who have heard of servers and nodes up to these numbers (-1: of none in
        this term), and up to which they tell. They are told for a while though there is news since:
        who hears them is told that next, and all who are told in one round have the same numbers in
        the next."""
        settled, of = self.settled(now), (self.board.number, self.roll.number)
        key = (servers, nodes, settled)
        at, upto, made = self._lists.get(key, (float("-inf"), of, b""))
        holds = (
            PACKED if min(servers, nodes) < 0 else min(PACKED, PACKED_EACH * self.shared_by(now))
        )
        if not 0 <= now - at < (PACKED if upto == of else holds):
            part, upto = pb.Cue(servers_whole=servers < 0 and settled, nodes_whole=nodes < 0), of
            seen = self.board.since(max(0, servers)) if servers != of[0] else []
            seen = [s for s in seen if servers >= 0 or s.state != "gone" or s.ended]
            part.MergeFromString(b"".join([encoded(s, now) for s in seen]))
            if nodes != of[1]:
                here, gone = self.roll.since(nodes) if nodes >= 0 else (self.roll.here(), [])
                part.node.extend(here)
                part.node_gone.extend(gone)
            made = packed(part)
            if len(self._lists) >= LISTS:
                self._lists.clear()
            self._lists[key] = (now, of, made)
        return upto, made

    def show(self, now: float, state: State) -> dict[str, Any]:
        """For operators."""
        nodes = [
            {
                "name": n,
                "kind": h.node.kind,
                "zone": h.node.zone,
                "ready": h.node.ready,
                "version": h.script,
                "current": h.current,
                "lease_left": round(h.lease_end - now, 1),
            }
            for n, h in sorted(self.roll.leases.items())
        ]
        servers = [
            {
                "id": s.id,
                "service": s.service,
                "zone": s.zone,
                "state": s.state,
                "silent": round(now - s.heard_at, 1),
            }
            for s in self.board.servers.values()
        ]
        return {
            "term": self.term,
            "version": state.version,
            "gen": state.gen,
            "evacuated": state.evacuated,
            "nodes": nodes,
            "servers": servers,
        }
