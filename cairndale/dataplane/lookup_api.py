"""The node's own HTTP calls: readiness, and look-ups of ingress addresses (`dir`)."""

from __future__ import annotations

from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.readiness import Readiness
from cairndale.events import Event, log_event
from cairndale.http_api.router import LOOKUP_ROUTES, READINESS_ROUTES, RouteFailure, match
from cairndale.http_api.server import Response, error_response, json_response
from cairndale.lookup.redirects import RedirectReporter
from cairndale.lookup.selection import LookupResponder
from cairndale.settings import Settings


class LookupApi:
    """Handlers for two HTTP servers: `readiness` and `lookup`.

    Both go on without a leader, by what it announced last.
    """

    def __init__(self, config: ConfigClient, readiness: Readiness, settings: Settings) -> None:
        self._config, self._readiness = config, readiness
        redirects = RedirectReporter(lambda it: log_event(Event.CLIENTS_REDIRECTED, "%s", it))
        self._lookups = LookupResponder(settings.name, redirects)
        self._ttl_max = settings.bounds.ttl_max  # s

    def reconfigure(self, settings: Settings) -> None:
        """Take other settings from now on."""
        self._ttl_max = settings.bounds.ttl_max

    async def readiness(self, method: str, target: str, body: bytes) -> Response:
        """Response 200 if clients may be sent here, else 503; with the generation in force."""
        found = match(READINESS_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return error_response(found.status, found.why)
        ready = self._readiness.is_ready()
        return json_response(
            200 if ready else 503, {"ready": ready, "gen": self._config.route_table.gen}
        )

    async def lookup(self, method: str, target: str, body: bytes) -> Response:
        """Response which ingresses a client is sent to, or as `readiness` does."""
        found = match(LOOKUP_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return error_response(found.status, found.why)
        if found.call == "ready":
            return await self.readiness(method, target, body)
        config = self._config
        version = (config.cursor.epoch, config.cursor.nodes_version, config.route_table.gen)
        return self._lookups.answer(
            target, config.nodes.values(), self._ttl_max, config.route_table, version
        )
