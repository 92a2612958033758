"""Counts the ingresses among which quotas and budgets are divided in static shares."""

from __future__ import annotations

from cairndale.registry.nodes import NodeRegistry

INGRESS_COUNT_GRACE_S = 20.0  # for which an ingress is counted after its lease was last present
RECOUNT_INTERVAL_S = 0.05  # limits the cost of a count, which grows with the number of nodes


class IngressCounter:
    """Counts ingresses with a recent lease: shares must not grow as soon as one is missing."""

    def __init__(self, node_registry: NodeRegistry) -> None:
        self._node_registry = node_registry
        self._counted_until: dict[str, float] = {}  # by name
        self._counted_at = float("-inf")
        self._names_added = -1  # of the registry at the latest count

    def count(self, now: float) -> int:
        """The number of ingresses, at least 1.

        It may be RECOUNT_INTERVAL_S old, but always includes new names.
        """
        names_added = self._node_registry.names_added
        is_recent = 0 <= now - self._counted_at < RECOUNT_INTERVAL_S
        if self._names_added != names_added or not is_recent:
            self._counted_at, self._names_added = now, names_added
            self._recount(now)
        return max(1, len(self._counted_until))

    def _recount(self, now: float) -> None:
        for lease in self._node_registry.leases.values():
            if lease.node.kind == "edge":
                self._counted_until[lease.node.name] = now + INGRESS_COUNT_GRACE_S
        counted = self._counted_until
        self._counted_until = {
            name: counted_until for name, counted_until in counted.items() if counted_until > now
        }
