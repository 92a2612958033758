"""The client side of the configuration watch: what the leader has announced, and the serving lease.

State of one data-plane node, without I/O and without a clock of its own. Times are seconds on the
node's steady clock, except where a name ends in `_us`: microseconds on the engine's clock.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from cairndale.configuration.delta import ConfigDelta, DeltaError
from cairndale.configuration.route_table import RouteTable, TableChange
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.lease_timing import (
    MAX_CLOCK_DRIFT,
    NODE_CONTACT_MARGIN_S,
    PROMPT_REQUEST_S,
    long_poll_timeout,
)


@dataclass(frozen=True, slots=True)
class WatchCursor:
    """Up to where the accepted discovery responses have brought this node.

    The watch is resumed from here. Within one epoch no version goes back.
    """

    epoch: str = ""  # of the leader that counts the versions of endpoints and nodes
    config_version: int = 0
    endpoints_version: int = 0
    nodes_version: int = 0
    generation: int = 0  # of the configuration


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint as the leader announced it, and until when it is warming up (slow start)."""

    endpoint: pb.Endpoint
    warmup_until_us: int  # 0: it is warm


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Which parts of the known state a discovery response has changed."""

    route_table_changed: bool = False
    table_change: TableChange | None = None  # None: any item of the route table may have changed
    endpoints_changed: bool = False
    changed_endpoints: frozenset[str] | None = None  # ids; None: any may have changed
    placement_changed: bool = False  # the nodes, or the configuration, among which shares are split
    rejection_reason: str = ""  # not empty: nothing was applied


class ConfigClient:
    """Keeps what the leader announced: route table, endpoints, nodes, and this node's lease.

    Guarantees: neither the configuration version nor anything that came with it goes back within a
    process's life, and a response is applied whole or not at all.
    """

    def __init__(self, now: float, control_addresses: Iterable[str]) -> None:
        self.route_table = RouteTable({})
        self.endpoints: dict[str, KnownEndpoint] = {}  # by id
        self.nodes: dict[str, pb.Node] = {}  # members at present, by name
        self.control_addresses = list(control_addresses)  # every control node's ever announced
        self.evacuated_zones: frozenset[str] = frozenset()
        self.lease_end = self.last_response_at = float("-inf")
        # In this life the leader has listed every endpoint there was.
        self.endpoints_complete = False
        # Ingresses that quota shares are divided by; 0: not known yet, so no share may be spent.
        self.ingress_count = 0
        self.cursor = WatchCursor()
        self._counter_active = False  # the leader's quota counter counts this node's units
        self._started_at = now
        self._isolated_at = now  # when contact last ended otherwise than by silence
        self._listed_this_epoch: set[str] = set()  # ids of endpoints
        # In which epoch the leader was sent which description of this node, and has answered.
        self._identified_as: tuple[str, pb.Node] | None = None
        self._needs_full_state = False  # a delta did not fit
        # The leader's clock in ms as the newest response said, and when that came.
        self._leader_clock = (0, 0.0)

    def may_serve(self, now: float) -> bool:
        """Whether the lease by which this node serves traffic is still held."""
        return now < self.lease_end

    def in_contact(self, now: float) -> bool:
        """Whether the quota counter can still rely on this node spending leased units only.

        It counts, and has heard of this node recently enough to know that it is not isolated.
        """
        return self._counter_active and now < (
            self.last_response_at + long_poll_timeout(self.ingress_count) + NODE_CONTACT_MARGIN_S
        )

    def connection_lost(self, now: float) -> None:
        """Note that the connection to the leader has ended: contact ends at once."""
        if self.in_contact(now):
            self._isolated_at = now
        self.last_response_at = float("-inf")

    def isolated_since(self, now: float) -> float:
        """Since when this node may spend its share of quotas by itself, or a little later.

        `now` while it is in contact, as it may not then.
        """
        if self.in_contact(now):
            return now
        if self._counter_active:
            silent_from = self.last_response_at + long_poll_timeout(self.ingress_count)
            return max(self._isolated_at, silent_from + NODE_CONTACT_MARGIN_S)
        return self._isolated_at

    def is_available(self, endpoint_id: str, service: str) -> bool:
        """Whether the endpoint is ready, serves that service and is in no evacuated zone."""
        known = self.endpoints.get(endpoint_id)
        if known is None or known.endpoint.state != "ready" or known.endpoint.service != service:
            return False
        return known.endpoint.zone not in self.evacuated_zones

    def peer_addresses(self, own: str) -> list[str]:
        """RPC addresses of the other data-plane nodes, which may forward calls to the leader."""
        return [n.address for n in self.nodes.values() if n.kind == "edge" and n.address != own]

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Remember further control nodes; none is ever forgotten."""
        for address in addresses:
            if address not in self.control_addresses:
                self.control_addresses.append(address)

    def watch_request(self, node: pb.Node, now: float, wait: float) -> pb.WatchRequest:
        """Return a request for what is newer than the cursor, and for the lease's renewal.

        `node`: this node's own description; `wait`: s for which the leader may hold the request
        while nothing is newer (long poll).
        """
        cursor = self.cursor
        request = pb.WatchRequest(
            epoch=cursor.epoch,
            config_version=cursor.config_version,
            generation=cursor.generation,
            endpoints_version=cursor.endpoints_version,
            nodes_version=cursor.nodes_version,
            wait_ms=round(wait * 1000),
            counter_active=self._counter_active and now - self.last_response_at <= PROMPT_REQUEST_S,
            leader_clock_ms=self._leader_clock_ms(now),
            idle_ms=0 if self.ingress_count else round((now - self._started_at) * 1000),
            accepts_delta=not self._needs_full_state,
        )
        if (cursor.epoch, node) == self._identified_as:
            request.name, request.incarnation = node.name, node.incarnation
        else:
            request.node.CopyFrom(node)
        return request

    def request_failed(self) -> None:
        """Note that a request was not answered: the next one describes this node in full."""
        self._identified_as = None

    def apply(
        self,
        response: pb.WatchResponse,
        requested_by: pb.Node,
        requested_at: float,
        now: float,
        now_us: int,
    ) -> ConfigUpdate | None:
        """Apply a discovery response, full state or delta, and renew the lease by it.

        `requested_by`, `requested_at`: the description that the request carried or stood for, and
        when it was made; the lease counts from then. `now_us`: the engine's clock.

        Returns None, and changes nothing, for a response whose configuration is older than the one
        in force. A delta that does not fit is rejected with all that came with it
        (`rejection_reason`), and the next request asks for the full state.
        """
        if response.config_version < self.cursor.config_version:
            return None
        table_change = None
        if response.HasField("delta"):
            try:
                table_change = self._apply_delta(response)
            except DeltaError as error:
                self._needs_full_state = True
                return ConfigUpdate(rejection_reason=str(error))
        elif response.has_content:
            self._replace_route_table(response.content)
        zones_changed = self._apply_evacuated_zones(response)
        self._apply_endpoints(response, now_us)
        self._apply_nodes(response)
        self._apply_counter_state(response, now)
        self._advance(response, requested_by, requested_at, now)
        return _update(response, table_change, zones_changed)

    def _leader_clock_ms(self, now: float) -> int:
        """Return an estimate of the leader's clock that is never ahead of it."""
        said_ms, came_at = self._leader_clock
        return int(said_ms + (now - came_at) * 1000 * (1 - MAX_CLOCK_DRIFT)) if said_ms else 0

    def _apply_delta(self, response: pb.WatchResponse) -> TableChange:
        """Raise DeltaError, with nothing changed, where the delta does not fit."""
        delta = response.delta
        if delta.generation != response.generation:
            raise DeltaError(f"to gen {delta.generation}, and not to gen {response.generation}")
        return self.route_table.apply_delta(
            ConfigDelta(
                base_gen=delta.base_generation,
                gen=delta.generation,
                base_digest=delta.base_digest,
                digest=delta.digest,
                encoded_changes=delta.change,
            )
        )

    def _replace_route_table(self, content: bytes) -> None:
        self.route_table = RouteTable(json.loads(zlib.decompress(content)) if content else {})
        self._needs_full_state = False

    def _apply_evacuated_zones(self, response: pb.WatchResponse) -> bool:
        """Return whether other zones are evacuated now."""
        zones = frozenset(response.evacuated_zones)
        if not response.has_evacuated_zones or zones == self.evacuated_zones:
            return False
        self.evacuated_zones = zones
        return True

    def _apply_endpoints(self, response: pb.WatchResponse, now_us: int) -> None:
        if response.endpoints_complete:
            self.endpoints = {}
        # A leader's epoch carries a `~` until it has heard of all endpoints: it stays the same one.
        if response.epoch.rstrip("~") != self.cursor.epoch.rstrip("~"):
            self._listed_this_epoch = set()
        self._listed_this_epoch.update(endpoint.id for endpoint in response.endpoints)
        if response.unlisted_endpoints_gone:
            listed = self._listed_this_epoch
            self.endpoints = {id: known for id, known in self.endpoints.items() if id in listed}
        for endpoint in response.endpoints:
            if endpoint.state == "gone":
                self.endpoints.pop(endpoint.id, None)
            else:
                warmup_until_us = (
                    now_us + endpoint.warmup_left_ms * 1000 if endpoint.warmup_left_ms else 0
                )
                self.endpoints[endpoint.id] = KnownEndpoint(endpoint, warmup_until_us)

    def _apply_nodes(self, response: pb.WatchResponse) -> None:
        if response.nodes_complete:
            self.nodes = {}
        for name in response.removed_nodes:
            self.nodes.pop(name, None)
        self.nodes.update((node.name, node) for node in response.nodes)
        self.add_control_addresses(node.address for node in response.nodes if node.kind == "core")

    def _apply_counter_state(self, response: pb.WatchResponse, now: float) -> None:
        """Take in whether units are counted centrally, and by how many ingresses shares are split.

        Without the counter the count only rises: too high a count spends too little.
        """
        if self._counter_active and not response.counter_active:
            self._isolated_at = now
        self._counter_active = response.counter_active
        count = response.ingress_count
        self.ingress_count = count if response.counter_active else max(self.ingress_count, count)

    def _advance(
        self, response: pb.WatchResponse, requested_by: pb.Node, requested_at: float, now: float
    ) -> None:
        """Move the cursor and renew the lease, which counts from the request on."""
        self.cursor = WatchCursor(
            epoch=response.epoch,
            config_version=response.config_version,
            endpoints_version=response.endpoints_version,
            nodes_version=response.nodes_version,
            generation=response.generation,
        )
        self.endpoints_complete = self.endpoints_complete or response.endpoints_settled
        self._identified_as = (response.epoch, requested_by)
        self.last_response_at, self._leader_clock = now, (response.leader_clock_ms, now)
        self.lease_end = requested_at + response.lease_ms / 1000 * (1 - MAX_CLOCK_DRIFT)


def _update(
    response: pb.WatchResponse, table_change: TableChange | None, zones_changed: bool
) -> ConfigUpdate:
    any_endpoint = response.endpoints_complete or response.unlisted_endpoints_gone or zones_changed
    table_changed = response.has_content or table_change is not None
    nodes_changed = bool(response.nodes) or bool(response.removed_nodes) or response.nodes_complete
    return ConfigUpdate(
        route_table_changed=table_changed,
        table_change=table_change,
        endpoints_changed=bool(response.endpoints) or any_endpoint,
        changed_endpoints=None if any_endpoint else frozenset(e.id for e in response.endpoints),
        placement_changed=nodes_changed or table_changed,
    )
