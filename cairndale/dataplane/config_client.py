"""Client side of the configuration watch: the state announced by the leader and the serving lease.

State of one data-plane node, without I/O and without a clock of its own. Times are seconds on the
node's monotonic clock; names that end in `_us` are microseconds on the engine's clock.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from cairndale.configuration.delta import ConfigDelta, DeltaError
from cairndale.configuration.route_table import RouteTable, TableChange
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.integer_ranges import MAX_UINT32
from cairndale.rpc.leader_time import leader_time, set_leader_time
from cairndale.rpc.lease_timing import (
    MAX_CLOCK_DRIFT,
    NODE_CONTACT_MARGIN_S,
    PROMPT_REQUEST_S,
    long_poll_timeout,
)

# From the last response on. The leader has forgotten the node's lease by then, and the drift is far
# below what makes a request outdated (`NodeRegistry.is_outdated`).
MAX_CLOCK_READING_AGE_S = 60.0


@dataclass(frozen=True, slots=True)
class WatchCursor:
    """The versions that this node has accepted; the watch is resumed from here.

    Within one epoch versions never decrease.
    """

    epoch: str = ""  # of the leader that numbers the versions of endpoints and nodes
    config_version: int = 0
    endpoints_version: int = 0
    nodes_version: int = 0
    generation: int = 0  # of the configuration


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint as the leader announced it, and the end of its slow start."""

    endpoint: pb.Endpoint
    warmup_until_us: int  # 0: not in slow start


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """Which parts of the known state a discovery response has changed."""

    route_table_changed: bool = False
    table_change: TableChange | None = None  # None: any item of the route table may have changed
    endpoints_changed: bool = False
    changed_endpoints: frozenset[str] | None = None  # ids; None: any may have changed
    placement_changed: bool = False  # the nodes that shares are split among, or the configuration
    rejection_reason: str = ""  # if not empty, nothing was applied


class ConfigClient:
    """Keeps the state announced by the leader: route table, endpoints, nodes and this node's lease.

    Guarantees: while the process runs, neither the configuration version nor any state received
    with it goes back, and a response is applied completely or not at all.
    """

    def __init__(self, now: float, control_addresses: Iterable[str]) -> None:
        self.route_table = RouteTable({})
        self.endpoints: dict[str, KnownEndpoint] = {}  # by id
        self.nodes: dict[str, pb.Node] = {}  # members at present, by name
        self.control_addresses = list(control_addresses)  # of all control nodes ever announced
        self.evacuated_zones: frozenset[str] = frozenset()
        self.lease_end = self.last_response_at = float("-inf")
        # Whether a leader has sent a full endpoint list since this process started.
        self.endpoints_complete = False
        # Number of ingresses that share quotas; 0: not known yet, so no share may be spent.
        self.ingress_count = 0
        self.cursor = WatchCursor()
        self._min_config_version = 0  # the newest version of an applied response
        self._counter_active = False  # the leader's quota counter counts this node's units
        self._started_at = now
        self._isolated_at = now  # when contact last ended other than by a timeout
        self._listed_in_epoch: set[str] = set()  # ids of endpoints
        # The epoch and the description of this node that the leader last acknowledged.
        self._identified_as: tuple[str, pb.Node] | None = None
        self._needs_full_state = False  # a delta did not fit
        # The leader's clock in ms, from the newest response, and when that was received.
        self._leader_clock = (0, 0.0)

    def may_serve(self, now: float) -> bool:
        """Whether the lease that allows this node to serve traffic is still valid."""
        return now < self.lease_end

    def in_contact(self, now: float) -> bool:
        """Whether the quota counter can still rely on this node spending leased units only.

        That is so while the counter is active and the last contact is recent enough to rule out
        that this node is isolated.
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
        """Return the time from which this node may spend its own quota shares, or a little later.

        Returns `now` while the node is in contact, as it may not spend them then.
        """
        if self.in_contact(now):
            return now
        if self._counter_active:
            silent_from = self.last_response_at + long_poll_timeout(self.ingress_count)
            return max(self._isolated_at, silent_from + NODE_CONTACT_MARGIN_S)
        return self._isolated_at

    def is_available(self, endpoint_id: str, service: str) -> bool:
        """Whether the endpoint is ready, serves that service and is not in an evacuated zone."""
        known = self.endpoints.get(endpoint_id)
        if known is None or known.endpoint.state != "ready" or known.endpoint.service != service:
            return False
        return known.endpoint.zone not in self.evacuated_zones

    def peer_addresses(self, own: str) -> list[str]:
        """RPC addresses of the other data-plane nodes, which may forward calls to the leader."""
        return [n.address for n in self.nodes.values() if n.kind == "edge" and n.address != own]

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Add the addresses of further control nodes; none is ever removed."""
        for address in addresses:
            if address not in self.control_addresses:
                self.control_addresses.append(address)

    def watch_request(self, node: pb.Node, now: float, wait: float) -> pb.WatchRequest:
        """Return a request for all updates after the cursor, which also renews the lease.

        `node`: this node's own description; `wait`: the long-poll timeout in s, for which the
        leader may keep the request open while there is no update.
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
            idle_ms=0 if self.ingress_count else self._idle_ms(now),
            accepts_delta=not self._needs_full_state,
        )
        set_leader_time(request, self._leader_clock_ms(now))
        if (cursor.epoch, node) == self._identified_as:
            request.name, request.incarnation = node.name, node.incarnation
        else:
            request.node.CopyFrom(node)
        return request

    def request_failed(self) -> None:
        """Note a request without response: the next one carries this node's full description."""
        self._identified_as = None

    def response_failed(self, response: pb.WatchResponse, requested_at: float) -> None:
        """Note a response that could not be applied, or only in part.

        The lease is renewed: this node serves on with what it has, and does not acknowledge the
        response's version. The next request asks for the full state.
        """
        self._identified_as = None
        self._needs_full_state = True
        version = min(self.cursor.config_version, response.config_version - 1)
        self.cursor = WatchCursor(config_version=max(0, version))
        self._renew_lease(response, requested_at)

    def apply(
        self,
        response: pb.WatchResponse,
        requested_by: pb.Node,
        requested_at: float,
        now: float,
        now_us: int,
    ) -> ConfigUpdate | None:
        """Apply a discovery response, full state or delta, and renew the lease.

        `requested_by`, `requested_at`: the node description that the request carried or referred
        to, and when the request was made; the lease counts from then. `now_us`: the engine's clock.

        Returns None, and changes nothing, if the response's configuration is older than the one in
        force. A delta that does not fit is rejected together with the rest of its response
        (`rejection_reason`), and the next request asks for the full state.
        """
        if response.config_version < self._min_config_version:
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

    def _idle_ms(self, now: float) -> int:
        """Return a lower bound of the time since the start, in which no quota was spent."""
        return min(MAX_UINT32, round((now - self._started_at) * 1000))

    def _leader_clock_ms(self, now: float) -> int:
        """Return an estimate of the leader's clock that is never ahead of it; 0: there is none.

        After a long time without a response the estimate is so far behind, by the drift that it
        allows for, that the leader would take each request for outdated.
        """
        last_clock_ms, received_at = self._leader_clock
        if not last_clock_ms or now - received_at > MAX_CLOCK_READING_AGE_S:
            return 0
        return int(last_clock_ms + (now - received_at) * 1000 * (1 - MAX_CLOCK_DRIFT))

    def _apply_delta(self, response: pb.WatchResponse) -> TableChange:
        """Apply the delta. Raises DeltaError, with nothing changed, if it does not fit."""
        delta = response.delta
        if delta.generation != response.generation:
            raise DeltaError(
                f"delta leads to gen {delta.generation}, response to gen {response.generation}"
            )
        return self.route_table.apply_delta(
            ConfigDelta(
                base_gen=delta.base_generation,
                gen=int(response.wide_generation or delta.generation),
                base_digest=delta.base_digest,
                digest=delta.digest,
                encoded_changes=delta.change,
            )
        )

    def _replace_route_table(self, content: bytes) -> None:
        self.route_table = RouteTable(
            json.loads(zlib.decompress(content)) if content else {},
            had_tenants=self.route_table.had_tenants,
        )
        self._needs_full_state = False

    def _apply_evacuated_zones(self, response: pb.WatchResponse) -> bool:
        """Return whether the set of evacuated zones has changed."""
        zones = frozenset(response.evacuated_zones)
        if not response.has_evacuated_zones or zones == self.evacuated_zones:
            return False
        self.evacuated_zones = zones
        return True

    def _apply_endpoints(self, response: pb.WatchResponse, now_us: int) -> None:
        if response.endpoints_complete:
            self.endpoints = {}
        # The `~` at the end of an epoch, present until the leader knows all endpoints, does not
        # make it another epoch.
        if response.epoch.rstrip("~") != self.cursor.epoch.rstrip("~"):
            self._listed_in_epoch = set()
        self._listed_in_epoch.update(endpoint.id for endpoint in response.endpoints)
        if response.unlisted_endpoints_gone:
            listed = self._listed_in_epoch
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
        """Update the state of the quota counter and the number of ingresses that share quotas.

        Without the counter the number only rises: too high a number spends too little.
        """
        if self._counter_active and not response.counter_active:
            self._isolated_at = now
        self._counter_active = response.counter_active
        count = response.ingress_count
        self.ingress_count = count if response.counter_active else max(self.ingress_count, count)

    def _advance(
        self, response: pb.WatchResponse, requested_by: pb.Node, requested_at: float, now: float
    ) -> None:
        """Move the cursor and renew the lease, which counts from the time of the request."""
        self.cursor = WatchCursor(
            epoch=response.epoch,
            config_version=response.config_version,
            endpoints_version=response.endpoints_version,
            nodes_version=response.nodes_version,
            generation=response.generation,
        )
        self.endpoints_complete = self.endpoints_complete or response.endpoints_settled
        self._identified_as = (response.epoch, requested_by)
        self.last_response_at, self._leader_clock = now, (leader_time(response), now)
        self._min_config_version = response.config_version
        self._renew_lease(response, requested_at)

    def _renew_lease(self, response: pb.WatchResponse, requested_at: float) -> None:
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
