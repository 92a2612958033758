"""Readiness: whether clients may be sent to this ingress, as load balancers' probes ask."""

from __future__ import annotations

from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.endpoint_selection import EndpointSelector
from cairndale.dataplane.numbering import Numbering
from cairndale.dataplane.serving_state import ServingState


class Readiness:
    """Derives readiness from the state of other components; has no state of its own."""

    def __init__(
        self,
        config: ConfigClient,
        serving: ServingState,
        selector: EndpointSelector,
        numbering: Numbering,
    ) -> None:
        self._config, self._serving = config, serving
        self._selector, self._numbering = selector, numbering

    def is_ready(self) -> bool:
        """Whether this ingress is prepared, holds its lease and does not drain."""
        serving = self._serving
        return self.is_prepared() and serving.may_serve() and not serving.draining

    def is_prepared(self) -> bool:
        """Whether there is a configuration, and an endpoint of each service that it references.

        Clients sent here earlier would be rejected. The wait for a service without endpoints ends
        once all endpoints have had time to register with a new leader.
        """
        by_service = self._selector.ready_by_service
        route_table = self._config.route_table
        if not route_table.gen or not by_service:
            return False
        return self._config.endpoints_complete or all(
            self._numbering.service_number(name) in by_service
            for name in route_table.service_references
        )
