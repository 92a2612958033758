"""The leader's state and decisions within one term.

`Leadership` performs no I/O; times are seconds on its process's clock. It starts with the endpoint
and node registries that the node replicated as a follower, and ends with the term.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cairndale.configuration.state import State
from cairndale.control.departure_log import newest_ended
from cairndale.control.epoch import Epoch
from cairndale.control.evacuation_log import EvacuationLog
from cairndale.control.fleet_view import fleet_view
from cairndale.control.grants import GrantService
from cairndale.control.ingress_counter import IngressCounter
from cairndale.control.watch_responses import WatchResponseBuilder
from cairndale.errors import StaleCallError
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NEVER, NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_time import MAX_NARROW_MS, leader_time
from cairndale.settings import Bounds, parse_duration

# The usual delay until collected heartbeats are reported: it does not count towards expiry.
REPORT_DELAY_S = 1.0
# Interval between checks for expired endpoints, per endpoint.
EXPIRE_INTERVAL_PER_ENDPOINT_S = 50e-6


class Leadership:
    """The leader's state of one term; none of it is durable or replicated."""

    def __init__(
        self,
        term: int,
        now: float,
        had_predecessor: bool,
        endpoint_registry: EndpointRegistry,
        node_registry: NodeRegistry,
        possible_lease_holders: Iterable[str],
        bounds: Bounds,
        heartbeat_interval: float,
    ) -> None:
        """`had_predecessor`: there may have been an earlier leader.

        `possible_lease_holders` may hold leases that it granted. Both registries are as this node
        last replicated them.
        """
        self.term, self.began = term, now
        self.endpoint_registry, self.node_registry = endpoint_registry, node_registry
        self.evacuation_log = EvacuationLog(now, bounds.ack, had_predecessor)
        self.ingress_counter = IngressCounter(node_registry)
        self.grants = GrantService(
            term,
            now,
            had_predecessor,
            bounds,
            endpoint_registry,
            node_registry,
            self.ingress_counter,
        )
        self._epoch = Epoch(term, now, endpoint_registry.is_empty(), heartbeat_interval)
        self.watch_responses = WatchResponseBuilder(
            self._epoch, endpoint_registry, node_registry, self.grants, self.ingress_counter
        )
        self._heartbeat_interval = heartbeat_interval
        self._expired_at = float("-inf")
        self._state: State | None = None  # as last applied
        self._tenants: Any = None  # as of that state
        self._services: Any = None
        self._take_over(now, possible_lease_holders)

    def _take_over(self, now: float, possible_lease_holders: Iterable[str]) -> None:
        """Starts the expiry times of endpoints and nodes at the beginning of the term."""
        for endpoint in self.endpoint_registry.endpoints.values():
            endpoint.last_heartbeat_at = now
        self.node_registry.begin_term(now, possible_lease_holders)

    def local_time(self, time: pb.TermTime) -> float:
        """A time by this term's clock, in seconds on this process's clock.

        Raises StaleCallError for a time of another term.
        """
        if time.term != self.term:
            raise StaleCallError(f"time of term {time.term}, this leader's term is {self.term}")
        return self.began + time.elapsed_ms / 1000

    def epoch(self, now: float) -> str:
        """The epoch within which versions of the registries are comparable."""
        return self._epoch.name(now)

    def apply_state(self, state: State) -> None:
        """Adopts a changed configuration. A table that is the same object has not changed."""
        self._state = state
        tenants, services = (state.content.get(table, ()) for table in ("tenants", "backends"))
        if tenants is not self._tenants:
            self.grants.set_tenants(tenants)
        if services is not self._services:
            self.grants.set_services(services)
        self._tenants, self._services = tenants, services

    def adopt_departures(self, state: State, now: float) -> None:
        """Adopts the departures of servers that the log has recorded, as the term begins."""
        self.endpoint_registry.adopt_departures(newest_ended(state), now)

    def tick(self, now: float) -> bool:
        """Handles what is due by time. True if nodes must be notified of a change."""
        if self._state:
            self._state.history.digest_next_items(self._state.content)
        begins_counting = self.grants.update_contact(now, force=True)
        has_expired = self._expire(now)
        return begins_counting or has_expired

    def _expire(self, now: float) -> bool:
        interval = EXPIRE_INTERVAL_PER_ENDPOINT_S * len(self.endpoint_registry.endpoints)
        endpoints_changed = False
        if self._epoch.has_settled(now) and now - self._expired_at >= interval:
            self._expired_at = now
            endpoints_changed = self.endpoint_registry.expire(now, self._heartbeat_interval)
        nodes_changed = self.node_registry.expire(now)
        return endpoints_changed or nodes_changed

    def warmups(self, state: State) -> dict[str, float]:
        """The configured warm-up (slow start) in seconds, by service."""
        return {
            b["name"]: parse_duration(b.get("warmup", "0s"))
            for b in state.content.get("backends", ())
        }

    def record_report(self, now: float, report: pb.HeartbeatReport) -> None:
        """Records heartbeats that a follower collected because they reported nothing new.

        Endpoints that are not ready here are skipped: the leader needs their server's next full
        heartbeat.
        """
        for number, (id, seq) in enumerate(zip(report.ids, report.seqs, strict=False)):
            endpoint = self.endpoint_registry.endpoints.get(id)
            if endpoint is None or endpoint.state != "ready" or seq <= endpoint.seq:
                continue
            age = report.ages_ms[number] / 1000 if number < len(report.ages_ms) else 0.0
            received_at = now - max(0.0, age - REPORT_DELAY_S)
            endpoint.seq = seq
            endpoint.last_heartbeat_at = max(endpoint.last_heartbeat_at, received_at)

    def record_watch_request(self, now: float, request: pb.WatchRequest) -> bool:
        """Records a watch request as contact with its node. True if other nodes must be notified.

        Fills in the node if the request contains only its name. Raises StaleCallError if that node
        is not known, or if the request was delayed and no longer describes the node's state.
        """
        self._fill_in_node(request)
        node = request.node
        known = self.node_registry.leases.get(node.name)
        is_first_of_term = known is None or known.requested_at == NEVER
        is_of_term = self._epoch.is_of_term(request.epoch)
        requested_at = None
        if is_of_term and (elapsed_ms := leader_time(request)):
            requested_at = min(now, self.began + elapsed_ms / 1000)
        elif is_of_term and (now - self.began) * 1000 > MAX_NARROW_MS:
            requested_at = now  # a node of an earlier version, which can no longer tell the time
        if self.node_registry.is_outdated(now, node, requested_at):
            raise StaleCallError(f"watch request of {node.name!r} is outdated")
        has_changed = self.node_registry.record_request(
            now, node, request.config_version, requested_at
        )
        lease = self.node_registry.leases[node.name]
        if lease.idle_from == float("inf"):
            lease.idle_from = now - request.idle_ms / 1000
            if request.epoch and node.kind == "edge":
                self.grants.record_share_granted()
        lease.is_current = request.endpoints_version == self.endpoint_registry.version
        lease.uses_quota_counter = is_of_term and request.counter_active and self.grants.is_counting
        begins_counting = self.grants.update_contact(now, force=is_first_of_term)
        return has_changed or begins_counting

    def _fill_in_node(self, request: pb.WatchRequest) -> None:
        if request.HasField("node"):
            return
        known = self.node_registry.leases.get(request.name)
        if known is None or known.node.incarnation != request.incarnation or not known.node.address:
            raise StaleCallError()
        request.node.CopyFrom(known.node)

    def fleet_view(self, now: float, state: State) -> dict[str, Any]:
        """The registries as `Fleet.Show` presents them."""
        return fleet_view(now, self.term, state, self.endpoint_registry, self.node_registry)
