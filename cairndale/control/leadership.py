"""What the leader of the duty knows and settles: servers, ingresses, units, and what is news to
whom.

A plain object without I/O; times are seconds on its process's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cairndale.configuration.state import State
from cairndale.control.evacuation_log import EvacuationLog
from cairndale.control.idempotency import IdempotencyCache
from cairndale.errors import RejectedError, StaleCallError
from cairndale.quota.budget_counter import (
    BUDGET_GRANT_LIFE_S,
    RETRY,
    Budget,
    BudgetCounter,
    retry_budget,
    warmup_budget,
)
from cairndale.quota.quota_counter import QuotaCounter
from cairndale.registry.endpoints import EncodedEndpoint, Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import packed
from cairndale.rpc.lease_timing import NODE_LEASE_S
from cairndale.settings import Bounds, parse_duration

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


def server_out(seen: Endpoint, now: float) -> pb.Endpoint:
    cold = max(0, round((seen.warmup_until - now) * 1000))
    return pb.Endpoint(
        id=seen.id,
        service=seen.service,
        address=seen.addr,
        zone=seen.zone,
        generation=seen.gen,
        capacity=seen.capacity,
        state=seen.state,
        warmup_left_ms=cold,
        seq=seen.seq,
    )


def encoded(seen: Endpoint, now: float) -> bytes:
    """`server_out` as it stands in a cue, made once for each change of one that is not cold."""
    is_warm = seen.warmup_until <= now
    if is_warm and seen.encoded.version == seen.changed_at_version:
        return seen.encoded.data
    made = pb.WatchResponse(endpoints=[server_out(seen, now)]).SerializeToString()
    if is_warm:
        seen.encoded = EncodedEndpoint(seen.changed_at_version, made)
    return made


def server_in(made: pb.Endpoint, now: float) -> Endpoint:
    return Endpoint(
        made.id,
        made.service,
        made.address,
        made.zone,
        made.generation,
        made.capacity,
        made.state,
        now + made.warmup_left_ms / 1000,
        made.seq,
        now,
        made.state == "gone",
    )


class Leadership:
    def __init__(
        self,
        term: int,
        now: float,
        ever: bool,
        endpoint_registry: EndpointRegistry,
        node_registry: NodeRegistry,
        edges: Iterable[str],
        bounds: Bounds,
        beat: float,
    ) -> None:
        """`ever`: somebody may have held the duty before; `edges`: who may hold leases of theirs.
        `board` and `roll` are as they were last heard."""
        self.term, self.began, self._beat = term, now, beat
        self.endpoint_registry, self.node_registry, self.quota_counter = (
            endpoint_registry,
            node_registry,
            QuotaCounter(now, bounds, ever),
        )
        self.moves, self._repeats = EvacuationLog(now, bounds.ack, ever), IdempotencyCache()
        self.budget_counter, self._warm_per_s = BudgetCounter(now, ever), dict[str, float]()
        self._from_nothing, self._was_spent = not endpoint_registry.endpoints, False
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
        for seen in endpoint_registry.endpoints.values():
            seen.last_heartbeat_at = now
        node_registry.begin_term(now, edges)

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
            self.quota_counter.set_quotas(
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
            self._state.history.digest_next_items(self._state.content)
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
            self.quota_counter.set_ingresses(
                now, edges, self.node_registry.count_isolated(now, edges)
            )
            return False
        if self._was_spent or self.node_registry.all_contacted(now):
            quotas, self.quota_counter = (
                self.quota_counter,
                QuotaCounter(now, self._bounds, idle_time=self.node_registry.common_idle_time(now)),
            )
            self.quota_counter.copy_quotas(quotas)
            self.counting = True
            self.quota_counter.set_ingresses(
                now, edges, self.node_registry.count_isolated(now, edges)
            )
        return self.counting

    def _expire(self, now: float) -> bool:
        if not self.settled(now):
            return self.node_registry.expire(now)
        if now - self._expired_at < EXPIRE_EACH * len(self.endpoint_registry.endpoints):
            return self.node_registry.expire(now)
        self._expired_at = now
        return self.endpoint_registry.expire(now, self._beat) | self.node_registry.expire(now)

    def warmups(self, state: State) -> dict[str, float]:
        return {
            b["name"]: parse_duration(b.get("warmup", "0s"))
            for b in state.content.get("backends", ())
        }

    def shared_by(self, now: float) -> int:
        """Ingresses that static parts of a whole are counted over."""
        if (
            self._shared_of != self.node_registry.names_added
            or not 0 <= now - self._shared_at < LOOK
        ):
            self._shared_at, self._shared_of = now, self.node_registry.names_added
            for held in self.node_registry.leases.values():
                if held.node.kind == "edge":
                    self._shared[held.node.name] = now + COUNTED
            self._shared = {name: until for name, until in self._shared.items() if until > now}
        return max(1, len(self._shared))

    def units(self, now: float, call: pb.Envelope) -> pb.Envelope:
        """The answer to a call for units of this term, the same to each copy. Raises
        CallError."""
        if call.term != self.term:
            raise StaleCallError(f"meant for term {call.term}")
        if before := self._repeats.answer(now, call.origin, call.request_id):
            return before
        answer = pb.Envelope(term=self.term)
        if call.HasField("budget_request"):
            answer.budget_response.CopyFrom(self.deal(now, call.budget_request))
        elif (left := self.lease(now, call.quota_request)) is not None:
            answer.quota_response.remaining = left
        else:
            raise RejectedError()
        self._repeats.keep(now, call.origin, call.request_id, answer)
        return answer

    def lease(self, now: float, lease: pb.QuotaRequest) -> float | None:
        """What is left of a tenant's units; None: none are leased, as they are not counted yet or
        have no bound."""
        self._count(now)
        return (
            self.quota_counter.grant(now, lease.tenant, lease.amount, lease.spent)
            if self.counting
            else None
        )

    def deal(self, now: float, deal: pb.BudgetRequest) -> pb.BudgetResponse:
        wanted = {name: self._whole(name) for name in deal.budgets}
        known = {name: whole for name, whole in wanted.items() if whole}
        wait = self.budget_counter.grant(now, known) if len(known) == len(wanted) else WAIT
        return pb.BudgetResponse(
            granted=not wait,
            valid_ms=round(BUDGET_GRANT_LIFE_S * 1000),
            retry_after_ms=round(min(wait, WAIT) * 1000),
        )

    def _whole(self, name: str) -> Budget | None:
        kind, _, of = name.partition("/")
        if kind == RETRY:
            return retry_budget(self._bounds) if of in self._warm_per_s else None
        seen = self.endpoint_registry.endpoints.get(of)
        return (
            warmup_budget(self._bounds, self._warm_per_s.get(seen.service, 0.0)) if seen else None
        )

    def beats(self, now: float, beats: pb.HeartbeatReport) -> None:
        """Of servers that said nothing new to one that does not lead, so many ms ago."""
        for number, (id, seq) in enumerate(zip(beats.ids, beats.seqs, strict=False)):
            seen = self.endpoint_registry.endpoints.get(id)
            if seen and seen.state == "ready" and seq > seen.seq:
                age = beats.ages_ms[number] / 1000 if number < len(beats.ages_ms) else 0.0
                seen.seq, seen.last_heartbeat_at = (
                    seq,
                    max(seen.last_heartbeat_at, now - max(0.0, age - UNDER_WAY)),
                )

    def asked(self, now: float, ask: pb.WatchRequest) -> bool:
        """True if it is news to others. Raises CallError where who asks is not known, or has
        asked since: this one was held up somewhere, and says nothing of now."""
        if not ask.HasField("node"):
            known = self.node_registry.leases.get(ask.name)
            if known is None or known.node.incarnation != ask.incarnation or not known.node.address:
                raise StaleCallError()
            ask.node.CopyFrom(known.node)
        known = self.node_registry.leases.get(ask.node.name)
        first = known is None or known.requested_at == float("-inf")  # since the duty began
        is_of_term = ask.epoch.rstrip("~") == f"{self.term}"
        made = (
            min(now, self.began + ask.leader_clock_ms / 1000)
            if is_of_term and ask.leader_clock_ms
            else None
        )
        if self.node_registry.is_outdated(now, ask.node, made):
            raise StaleCallError("held up")
        news = self.node_registry.record_request(now, ask.node, ask.config_version, made)
        held = self.node_registry.leases[ask.node.name]
        if held.idle_from == float("inf"):
            held.idle_from = now - ask.idle_ms / 1000
            self._was_spent |= (
                bool(ask.epoch) and ask.node.kind == "edge"
            )  # told before, so it may spend
        held.is_current = ask.endpoints_version == self.endpoint_registry.version
        held.uses_quota_counter = is_of_term and ask.counter_active and self.counting
        news |= self._count(now, anew=first)
        return news

    def has_news(self, now: float, ask: pb.WatchRequest, state: State) -> bool:
        if ask.epoch != self.epoch(now) or ask.config_version != state.version:
            return True
        if ask.node.kind == "edge" and ask.counter_active != self.counting:
            return True
        return (
            ask.endpoints_version != self.endpoint_registry.version
            or ask.nodes_version != self.node_registry.version
        )

    def watch_response(self, now: float, ask: pb.WatchRequest, state: State) -> pb.WatchResponse:
        """The news for who asks, and its lease, which begins now."""
        watch_response = self._answer(now, ask, self.epoch(now), state.version, state.gen)
        watch_response.endpoints_settled = self.settled(now)
        if ask.config_version != state.version:
            watch_response.evacuated_zones.extend(state.evacuated)
            watch_response.has_evacuated_zones = True
            if ask.generation != state.gen and ask.node.kind == "edge":  # others have the log
                self._tell_content(watch_response, ask, state)
        of_term = ask.epoch in (watch_response.epoch, f"{self.term}~")
        # Once all had time to say that they are there, an ingress need not be told again of those
        # who were.
        watch_response.unlisted_endpoints_gone = (
            of_term and ask.epoch != watch_response.epoch and ask.node.kind == "edge"
        )
        known = ask.epoch == watch_response.epoch or watch_response.unlisted_endpoints_gone
        (
            (watch_response.endpoints_version, watch_response.nodes_version),
            watch_response.compressed_lists,
        ) = self._packed(
            now, ask.endpoints_version if known else -1, ask.nodes_version if of_term else -1
        )
        return watch_response

    def _tell_content(
        self, watch_response: pb.WatchResponse, ask: pb.WatchRequest, state: State
    ) -> None:
        """What differs from the gen that an ingress has, where it takes that and it is known; else
        all."""
        if ask.accepts_delta and (found := state.history.delta_since(ask.generation)):
            watch_response.delta.CopyFrom(
                pb.ConfigDelta(
                    base_generation=found.base_gen,
                    generation=found.gen,
                    base_digest=found.base_digest,
                    digest=found.digest,
                    change=found.encoded_changes,
                )
            )
        else:
            watch_response.has_content, watch_response.content = True, state.encoded_content()

    def renew(self, now: float, ask: pb.WatchRequest) -> pb.WatchResponse:
        """What it knows stands, and its lease begins anew; news of servers, nodes and the
        configuration may be kept for its next ask."""
        watch_response = self._answer(now, ask, ask.epoch, ask.config_version, ask.generation)
        watch_response.endpoints_version, watch_response.nodes_version = (
            ask.endpoints_version,
            ask.nodes_version,
        )
        return watch_response

    def _answer(
        self, now: float, ask: pb.WatchRequest, epoch: str, config_version: int, gen: int
    ) -> pb.WatchResponse:
        self.node_registry.renew_lease(now, ask.node.name)
        if held := self.node_registry.leases.get(ask.node.name):
            held.idle_until = min(held.idle_until, now)
        return pb.WatchResponse(
            epoch=epoch,
            lease_ms=round(NODE_LEASE_S * 1000),
            config_version=config_version,
            generation=gen,
            ingress_count=self.shared_by(now),
            counter_active=self.counting,
            leader_clock_ms=max(1, int((now - self.began) * 1000)),
        )

    def _packed(self, now: float, servers: int, nodes: int) -> tuple[tuple[int, int], bytes]:
        """Lists for all who have heard of servers and nodes up to these numbers (-1: of none in
        this term), and up to which they tell. They are told for a while though there is news since:
        who hears them is told that next, and all who are told in one round have the same numbers in
        the next."""
        settled, of = (
            self.settled(now),
            (self.endpoint_registry.version, self.node_registry.version),
        )
        key = (servers, nodes, settled)
        at, upto, made = self._lists.get(key, (float("-inf"), of, b""))
        holds = (
            PACKED if min(servers, nodes) < 0 else min(PACKED, PACKED_EACH * self.shared_by(now))
        )
        if not 0 <= now - at < (PACKED if upto == of else holds):
            part, upto = (
                pb.WatchResponse(
                    endpoints_complete=servers < 0 and settled, nodes_complete=nodes < 0
                ),
                of,
            )
            seen = self.endpoint_registry.changed_since(max(0, servers)) if servers != of[0] else []
            seen = [s for s in seen if servers >= 0 or s.state != "gone" or s.has_ended]
            part.MergeFromString(b"".join([encoded(s, now) for s in seen]))
            if nodes != of[1]:
                here, gone = (
                    self.node_registry.changed_since(nodes)
                    if nodes >= 0
                    else (self.node_registry.listed_nodes(), [])
                )
                part.nodes.extend(here)
                part.removed_nodes.extend(gone)
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
                "version": h.config_version,
                "current": h.is_current,
                "lease_left": round(h.lease_end - now, 1),
            }
            for n, h in sorted(self.node_registry.leases.items())
        ]
        servers = [
            {
                "id": s.id,
                "service": s.service,
                "zone": s.zone,
                "state": s.state,
                "silent": round(now - s.last_heartbeat_at, 1),
            }
            for s in self.endpoint_registry.endpoints.values()
        ]
        return {
            "term": self.term,
            "version": state.version,
            "gen": state.gen,
            "evacuated": state.evacuated,
            "nodes": nodes,
            "servers": servers,
        }
