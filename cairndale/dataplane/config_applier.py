"""Applies accepted discovery responses to listener, engine, placement and endpoint list."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cairndale.configuration.route_table import RouteTable, TableChange
from cairndale.configuration.routes import Tenant
from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.endpoint_list import EndpointList
from cairndale.dataplane.ingress_engine import IngressEngine
from cairndale.dataplane.numbering import Numbering
from cairndale.events import Event, log_event
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.http import MAX_BODY_BYTES, MAX_HEAD_BYTES
from cairndale.ingress.policy import interface as it
from cairndale.quota.quota_counter import max_saved_units
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import Settings, parse_duration

# Timeouts of a configuration that does not set them.
DEFAULT_IDLE_TIMEOUT, DEFAULT_HEADER_TIMEOUT = "15s", "3s"


class ConfigApplier:
    """Applies discovery responses; the cost of a delta depends on the size of the change only."""

    def __init__(
        self,
        *,
        config: ConfigClient,
        listener: Listener,
        ingress: IngressEngine,
        endpoints: EndpointList,
        numbering: Numbering,
        settings: Settings,
        now: Callable[[], float],
        now_us: Callable[[], int],
    ) -> None:
        """`now`: s on the node's steady clock; `now_us`: us on the engine's."""
        self._config, self._listener, self._endpoints = config, listener, endpoints
        self._engine, self._selector = ingress.engine, ingress.selector
        self._numbering, self._settings = numbering, settings
        self._now, self._now_us = now, now_us
        self.update_placement()

    def reconfigure(self, settings: Settings) -> None:
        """Use these settings for all responses applied from now on."""
        self._settings = settings
        self._endpoints.reconfigure(settings)

    def apply(self, response: pb.WatchResponse, requested_by: pb.Node, requested_at: float) -> None:
        """Apply a response; an outdated one, or a delta that does not fit, changes nothing.

        `requested_by`, `requested_at`: see `ConfigClient.apply`.
        """
        update = self._config.apply(
            response, requested_by, requested_at, self._now(), self._now_us()
        )
        if update is None:
            return
        if update.rejection_reason:
            log_event(Event.DELTA_DROPPED, "%s", update.rejection_reason)
            return
        if update.route_table_changed:
            self._apply_route_table(self._config.route_table, update.table_change)
        if update.placement_changed:
            self.update_placement()
        if update.endpoints_changed:
            self._endpoints.update(update.changed_endpoints)

    def _apply_route_table(self, route_table: RouteTable, change: TableChange | None) -> None:
        """Set limits, classes and plans; `change`: the changed items, None: possibly all."""
        self._set_limits(route_table.limits)
        if change is None:
            classes = list(route_table.request_classes.values())
            tenants = list(route_table.tenants.values())
        else:
            classes, tenants = [route.request_class for route in change.routes], change.tenants
        fleet_size = max(1, self._config.ingress_count)
        plans = [self._plan(tenant) for tenant in tenants]
        self._engine.update_classes_and_plans(fleet_size, classes, plans)
        log_event(Event.CONFIG_APPLIED, "gen %d", route_table.gen)
        for tenant in tenants:
            if tenant.field_value is None:
                log_event(Event.TENANT_UNUSABLE, "%r", tenant.name)

    def _set_limits(self, limits: dict[str, Any]) -> None:
        """Set the listener's timeouts and size limits, effective from the next request on."""
        listener = self._listener
        listener.idle_timeout = parse_duration(limits.get("idleTimeout", DEFAULT_IDLE_TIMEOUT))
        listener.head_timeout = parse_duration(limits.get("headerTimeout", DEFAULT_HEADER_TIMEOUT))
        listener.max_head = max(MAX_HEAD_BYTES, limits.get("maxHeaderBytes", 0))
        listener.max_body = max(MAX_BODY_BYTES, limits.get("maxBodyBytes", 0))

    def _plan(self, tenant: Tenant) -> it.Plan:
        rate, burst = tenant.rate_per_s, tenant.burst
        return it.Plan(
            name=tenant.name,
            rate=rate,
            burst=max(1.0, burst) if rate else 0.0,
            savings_limit=max_saved_units(rate, burst, self._settings.bounds),
        )

    def update_placement(self) -> None:
        """Update the selector: this ingress's location, and how many ingresses share the limits."""
        settings, numbering = self._settings, self._numbering
        placement = self._selector.placement
        placement.zone = numbering.zone_number(settings.zone)
        placement.region = numbering.region_number(settings.region)
        placement.ingress_count = max(1, self._config.ingress_count)
        by_zone = placement.ingresses_by_zone = {}
        for node in self._config.nodes.values():
            if node.kind == "edge" and not node.draining:
                zone = numbering.zone_number(node.zone)
                by_zone[zone] = by_zone.get(zone, 0) + 1
        placement.retry_ratio = settings.bounds.retry_ratio
        placement.retry_slack = settings.bounds.retry_slack
        self._selector.update_slots()
