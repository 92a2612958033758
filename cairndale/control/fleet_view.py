"""What `Fleet.Show` tells operators of the leader's registries."""

from __future__ import annotations

from typing import Any

from cairndale.configuration.state import State
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NodeRegistry


def fleet_view(
    now: float,
    term: int,
    state: State,
    endpoint_registry: EndpointRegistry,
    node_registry: NodeRegistry,
) -> dict[str, Any]:
    """The answer's JSON object: nodes with their leases, and endpoints; times in seconds."""
    nodes = [
        {
            "name": name,
            "kind": lease.node.kind,
            "zone": lease.node.zone,
            "ready": lease.node.ready,
            "version": lease.config_version,
            "current": lease.is_current,
            "lease_left": round(lease.lease_end - now, 1),
        }
        for name, lease in sorted(node_registry.leases.items())
    ]
    servers = [
        {
            "id": endpoint.id,
            "service": endpoint.service,
            "zone": endpoint.zone,
            "state": endpoint.state,
            "silent": round(now - endpoint.last_heartbeat_at, 1),
        }
        for endpoint in endpoint_registry.endpoints.values()
    ]
    return {
        "term": term,
        "version": state.version,
        "gen": state.gen,
        "evacuated": state.evacuated,
        "nodes": nodes,
        "servers": servers,
    }
