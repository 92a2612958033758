"""What an ingress was told by the core's leader, and the lease by which it may serve by it.

A plain object without I/O; times are seconds on the ingress's steady clock, but for
`warmup_until_us` (the engine's clock)."""

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
    """What the newest discovery response that was accepted has brought this ingress up to.

    The watch is resumed from it. Within one epoch no version goes back.
    """

    epoch: str = ""  # of the leader that counts the versions of endpoints and nodes
    config_version: int = 0
    endpoints_version: int = 0
    nodes_version: int = 0
    generation: int = 0  # of the configuration


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    endpoint: pb.Endpoint
    warmup_until_us: int


@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """What a cue has changed."""

    route_table_changed: bool = False
    table_change: TableChange | None = None  # of the bill; None: all of it may be otherwise
    endpoints_changed: bool = False
    changed_endpoints: frozenset[str] | None = None  # of the servers; None: all of them may be
    placement_changed: bool = False
    rejection_reason: str = ""  # nothing was taken: why


class ConfigClient:
    def __init__(self, now: float, control_addresses: Iterable[str]) -> None:
        self.route_table = RouteTable({})
        self.endpoints: dict[str, KnownEndpoint] = {}
        self.nodes: dict[str, pb.Node] = {}  # those here, by name
        self.control_addresses = list(control_addresses)  # doors of every one ever told of
        self.evacuated_zones: frozenset[str] = frozenset()
        self.lease_end = self.last_response_at = float("-inf")
        # In this life the leader has listed every endpoint there was.
        self.endpoints_complete = False
        # Ingresses that quota shares are divided by; 0: not known yet, so no share may be spent.
        self.ingress_count = 0
        self.cursor = WatchCursor()
        self._counting, self._started_at = False, now
        self._isolated_at = now  # when it last lost touch otherwise than by hearing nothing
        self._listed_this_epoch: set[str] = set()  # servers, in the term of the newest cue
        # what the leader knows of it, and in which epoch
        self._identified_as: tuple[str, pb.Node] | None = None
        self._needs_full_state = False  # a difference did not fit
        # The leader's clock in ms as the newest response said, and when that came.
        self._leader_clock = (0, 0.0)

    # What is known.

    def may_serve(self, now: float) -> bool:
        return now < self.lease_end

    def in_contact(self, now: float) -> bool:
        """The counter counts, and heard of this ingress so lately that it knows it does not spend
        by itself."""
        return (
            self._counting
            and now
            < self.last_response_at + long_poll_timeout(self.ingress_count) + NODE_CONTACT_MARGIN_S
        )

    def connection_lost(self, now: float) -> None:
        """The leader's connection has ended."""
        if self.in_contact(now):
            self._isolated_at = now
        self.last_response_at = float("-inf")

    def isolated_since(self, now: float) -> float:
        """Since when it may spend without the counter, or a little later; now, while it may not."""
        if self.in_contact(now):
            return now
        if self._counting:
            return max(
                self._isolated_at,
                self.last_response_at
                + long_poll_timeout(self.ingress_count)
                + NODE_CONTACT_MARGIN_S,
            )
        return self._isolated_at

    def is_available(self, endpoint: str, service: str) -> bool:
        known = self.endpoints.get(endpoint)
        if known is None or known.endpoint.state != "ready" or known.endpoint.service != service:
            return False
        return known.endpoint.zone not in self.evacuated_zones

    def peer_addresses(self, own: str) -> list[str]:
        return [n.address for n in self.nodes.values() if n.kind == "edge" and n.address != own]

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            if address not in self.control_addresses:
                self.control_addresses.append(address)

    # Asking, and being told.

    def watch_request(self, node: pb.Node, now: float, wait: float) -> pb.WatchRequest:
        """For what is news, which the leader may keep for `wait` s while there is none."""
        cursor = self.cursor
        request = pb.WatchRequest(
            epoch=cursor.epoch,
            config_version=cursor.config_version,
            gen=cursor.generation,
            servers=cursor.endpoints_version,
            nodes=cursor.nodes_version,
            wait_ms=round(wait * 1000),
            counting=self._counting and now - self.last_response_at <= PROMPT_REQUEST_S,
            clock_ms=self._clock_ms(now),
            idle_ms=0 if self.ingress_count else round((now - self._started_at) * 1000),
            differences=not self._needs_full_state,
        )
        if (cursor.epoch, node) == self._identified_as:
            request.name, request.life = node.name, node.life
        else:
            request.node.CopyFrom(node)
        return request

    def request_failed(self) -> None:
        self._identified_as = None

    def _clock_ms(self, now: float) -> int:
        """On the leader's clock, or behind it."""
        said, came = self._leader_clock
        return int(said + (now - came) * 1000 * (1 - MAX_CLOCK_DRIFT)) if said else 0

    def apply(
        self,
        watch_response: pb.WatchResponse,
        requested_by: pb.Node,
        requested_at: float,
        now: float,
        now_us: int,
    ) -> ConfigUpdate | None:
        """`requested_at`: when, and by which `requested_by`; `now_us`: the engine's clock now.
        None: it says nothing new enough, as nothing goes back within a life. A difference that does
        not fit is dropped with all that came with it, and the whole content is asked for next."""
        if watch_response.config_version < self.cursor.config_version:
            return None
        items = None
        if watch_response.HasField("difference"):
            told = watch_response.difference
            try:
                if told.gen != watch_response.gen:
                    raise DeltaError(f"to gen {told.gen}, and not to gen {watch_response.gen}")
                items = self.route_table.change(
                    ConfigDelta(told.before, told.gen, told.digest_before, told.digest, told.change)
                )
            except DeltaError as error:
                self._needs_full_state = True
                return ConfigUpdate(rejection_reason=str(error))
        elif watch_response.has_content:
            self.route_table = RouteTable(
                json.loads(zlib.decompress(watch_response.content))
                if watch_response.content
                else {}
            )
            self._needs_full_state = False
        moved = watch_response.has_config_version and self.evacuated_zones != frozenset(
            watch_response.evacuated
        )
        if moved:
            self.evacuated_zones = frozenset(watch_response.evacuated)
        if watch_response.servers_whole:
            self.endpoints = {}
        if watch_response.epoch.rstrip("~") != self.cursor.epoch.rstrip("~"):
            self._listed_this_epoch = set()
        self._listed_this_epoch.update(server.id for server in watch_response.server)
        if watch_response.rest_gone:
            self.endpoints = {
                id: known for id, known in self.endpoints.items() if id in self._listed_this_epoch
            }
        for server in watch_response.server:
            self._apply_endpoint(server, now_us)
        if watch_response.nodes_whole:
            self.nodes = {}
        for name in watch_response.node_gone:
            self.nodes.pop(name, None)
        self.nodes.update((n.name, n) for n in watch_response.node)
        self.add_control_addresses(n.address for n in watch_response.node if n.kind == "core")
        if self._counting and not watch_response.counting:
            self._isolated_at = now
        self._counting, self.endpoints_complete = (
            watch_response.counting,
            self.endpoints_complete or watch_response.settled,
        )
        self.ingress_count = (
            watch_response.share_of
            if watch_response.counting
            else max(self.ingress_count, watch_response.share_of)
        )
        self.cursor = WatchCursor(
            epoch=watch_response.epoch,
            config_version=watch_response.config_version,
            endpoints_version=watch_response.servers,
            nodes_version=watch_response.nodes,
            generation=watch_response.gen,
        )
        self._identified_as = (watch_response.epoch, requested_by)
        self.last_response_at, self._leader_clock = now, (watch_response.clock_ms, now)
        self.lease_end = requested_at + watch_response.lease_ms / 1000 * (1 - MAX_CLOCK_DRIFT)
        anew, route_table = (
            watch_response.servers_whole or watch_response.rest_gone or moved,
            watch_response.has_content or items is not None,
        )
        return ConfigUpdate(
            route_table,
            items,
            bool(watch_response.server) or anew,
            None if anew else frozenset(server.id for server in watch_response.server),
            bool(watch_response.node)
            or bool(watch_response.node_gone)
            or watch_response.nodes_whole
            or route_table,
        )

    def _apply_endpoint(self, endpoint: pb.Endpoint, now_us: int) -> None:
        if endpoint.state == "gone":
            self.endpoints.pop(endpoint.id, None)
        else:
            self.endpoints[endpoint.id] = KnownEndpoint(
                endpoint, now_us + endpoint.cold_ms * 1000 if endpoint.cold_ms else 0
            )
