"""The answer to `Fleet.Show`: the leader's view of nodes and endpoints, for operators."""

from __future__ import annotations

from typing import Any

from cairndale.configuration.state import State
from cairndale.registry.endpoints import Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeLease, NodeRegistry


def fleet_view(
    now: float,
    term: int,
    state: State,
    endpoint_registry: EndpointRegistry,
    node_registry: NodeRegistry,
) -> dict[str, Any]:
    """The JSON object of the answer: nodes with their leases, and endpoints; times in seconds."""
    nodes = sorted(node_registry.leases.items())
    endpoints = endpoint_registry.endpoints.values()
    return {
        "term": term,
        "version": state.version,
        "gen": state.gen,
        "evacuated": state.evacuated,
        "nodes": [_node_view(now, name, lease) for name, lease in nodes],
        "servers": [_endpoint_view(now, endpoint) for endpoint in endpoints],
    }


def _node_view(now: float, name: str, lease: NodeLease) -> dict[str, Any]:
    return {
        "name": name,
        "kind": lease.node.kind,
        "zone": lease.node.zone,
        "ready": lease.node.ready,
        "version": lease.config_version,
        "current": lease.is_current,
        "lease_left": round(lease.lease_end - now, 1),
    }


def _endpoint_view(now: float, endpoint: Endpoint) -> dict[str, Any]:
    return {
        "id": endpoint.id,
        "service": endpoint.service,
        "zone": endpoint.zone,
        "state": endpoint.state,
        "silent": round(now - endpoint.last_heartbeat_at, 1),
    }
