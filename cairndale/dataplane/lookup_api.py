"""HTTP API of a data-plane node: readiness, and lookups of ingress addresses (`dir`)."""

from __future__ import annotations

from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.readiness import Readiness
from cairndale.events import Event, log_event
from cairndale.http_api.router import (
    LOOKUP_ROUTES,
    READINESS_ROUTES,
    ApiCall,
    RouteFailure,
    match,
)
from cairndale.http_api.server import Response, error_response, json_response
from cairndale.lookup.redirects import RedirectReporter
from cairndale.lookup.selection import LookupResponder
from cairndale.settings import Settings


class LookupApi:
    """Handlers for two HTTP servers: `readiness` and `lookup`.

    Both continue without a leader, using the state that it announced last.
    """

    def __init__(self, config: ConfigClient, readiness: Readiness, settings: Settings) -> None:
        self._config, self._readiness = config, readiness
        redirects = RedirectReporter(lambda text: log_event(Event.CLIENTS_REDIRECTED, "%s", text))
        self._lookups = LookupResponder(settings.name, redirects)
        self._ttl_max = settings.bounds.ttl_max  # s

    def reconfigure(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._ttl_max = settings.bounds.ttl_max

    async def readiness(self, method: str, target: str, body: bytes) -> Response:
        """Return status 200 if clients may be sent here, else 503, with the current generation."""
        found = match(READINESS_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return error_response(found.status, found.reason)
        ready = self._readiness.is_ready()
        return json_response(
            200 if ready else 503, {"ready": ready, "gen": self._config.route_table.gen}
        )

    async def lookup(self, method: str, target: str, body: bytes) -> Response:
        """Return the ingresses that a client should use; also serves the readiness route."""
        found = match(LOOKUP_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return error_response(found.status, found.reason)
        if found.call is ApiCall.READY:
            return await self.readiness(method, target, body)
        config = self._config
        version = (config.cursor.epoch, config.cursor.nodes_version, config.route_table.gen)
        return self._lookups.answer(
            target, config.nodes.values(), self._ttl_max, config.route_table, version
        )
