"""Resolves a client's request for the engine: route, tenant, service and deadline.

Each request is routed by the configuration in force. If the configuration has changed by the time
the first byte is sent to an endpoint, the request is checked again.
"""

from __future__ import annotations

import random
import re
from collections.abc import Mapping, Sequence

from cairndale.configuration.routes import Route, Tenant
from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.numbering import Numbering
from cairndale.dataplane.serving_state import ServingState
from cairndale.dataplane.upstream_protocol import request_head
from cairndale.ingress.net.engine import ClientRequest, NameTable
from cairndale.ingress.net.http import Message
from cairndale.ingress.net.requests import BadRequest
from cairndale.ingress.policy import interface as it

REQUEST_ID = re.compile(rb"[!-~]{1,200}")
DEADLINE_MS = re.compile(rb"[0-9]+(?:\.[0-9]+)?")
# Retry-After in us: while this ingress may not serve, and while it drains, so that the client tries
# another ingress at once.
NOT_SERVING_RETRY_US = 300_000
DRAINING_RETRY_US = 20_000
MIN_DEADLINE_MS = 1  # sent to an endpoint
# Ingresses, while their number is unknown: so large that no quota share amounts to one unit.
UNKNOWN_FLEET_SIZE = 1_000_000


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Return the regions in which both route and tenant may be served; None: everywhere."""
    restrictions = [
        allowed
        for allowed in (route.home_regions, tenant.home_regions if tenant else frozenset())
        if allowed
    ]
    return frozenset.intersection(*restrictions) if restrictions else None


def _request_id(headers: Mapping[bytes, bytes]) -> bytes:
    """Return the client's id of the request (`X-Request-Id`). Raises BadRequest."""
    request_id = headers.get(b"x-request-id", b"")
    if not REQUEST_ID.fullmatch(request_id):
        raise BadRequest(400, "X-Request-Id is missing or invalid")
    return request_id


def _timeout_us(headers: Mapping[bytes, bytes], longest_us: int) -> int:
    """Return the client's deadline (`X-Deadline-Ms`), at most `longest_us`. Raises BadRequest."""
    if b"x-deadline-ms" not in headers:
        return longest_us
    client_ms = DEADLINE_MS.fullmatch(headers[b"x-deadline-ms"])
    if client_ms is None:
        raise BadRequest(400, "X-Deadline-Ms is no number")
    return round(min(longest_us, float(client_ms[0]) * 1000))


class RequestRouter:
    """The listener's request reader, called once for each request.

    Runs on the hot path: no I/O, and no search whose cost grows with the configuration.
    """

    def __init__(
        self,
        *,
        config: ConfigClient,
        serving: ServingState,
        numbering: Numbering,
        rng: random.Random,
    ) -> None:
        self._config, self._serving, self._numbering = config, serving, numbering
        self._rng = rng

    def match(
        self, host: bytes, target: bytes, authorization: bytes
    ) -> tuple[Route, Tenant | None]:
        """Return the route, and the tenant unless the route is public or there are no tenants.

        Raises BadRequest if the configuration in force does not allow the request: 404 if there is
        no route, 401 if the API key is unknown, 503 if servers cannot be told the tenant.
        """
        route_table = self._config.route_table
        route = route_table.find_route(host, target)
        if route is None:
            raise BadRequest(404, "no route")
        if route.public:
            return route, None
        tenant = route_table.find_tenant(authorization)
        if tenant is None and not route_table.admits_without_tenant(authorization):
            raise BadRequest(401, "the key is unknown")
        if tenant and tenant.field_value is None:  # another tenant's name might reach the server
            raise BadRequest(503, "the tenant's name cannot be sent to servers")
        return route, tenant

    def __call__(
        self, message: Message, names: NameTable, classes: Sequence[it.RequestClass], began: int
    ) -> ClientRequest:
        """Return the request in the engine's form; `began`: when its first byte was received, us.

        Raises BadRequest with the status for the client: 400, 401, 404, or 503 with the time after
        which to retry.
        """
        headers, config = message.headers, self._config
        if not config.route_table.gen or not self._serving.may_serve():
            raise BadRequest(503, "not in service", NOT_SERVING_RETRY_US)
        host, target = headers.get(b"host", b""), message.target
        authorization = headers.get(b"authorization", b"")
        route, tenant = self.match(host, target, authorization)
        request_id = _request_id(headers)
        timeout_us = _timeout_us(headers, route.request_class.deadline)
        cls = names.classes[route.request_class.name.encode()]
        if not self._serving.may_begin(cls, timeout_us):
            raise BadRequest(503, "about to end", DRAINING_RETRY_US)
        service = route.service(self._rng)
        regions = allowed_regions(route, tenant)
        head, body = request_head(message, request_id), message.body
        generation = config.route_table.gen
        # Positional arguments in both calls: keywords cost over a microsecond more per request.
        upstream = UpstreamRequest(
            self, host, target, authorization, route, tenant, service, generation, head, body
        )
        return ClientRequest(
            request_id,
            cls,
            names.plans[tenant.name.encode() if tenant else b""],
            self._numbering.tenant_number(tenant.name) if tenant else 0,
            1.0,  # units of the tenant's quota
            config.ingress_count or UNKNOWN_FLEET_SIZE,
            0,  # first gateway: none is preferred
            timeout_us,
            began,
            False,  # clients do not mark retries
            b"",  # head: built by `upstream`
            body,
            message.upload,
            self._numbering.service_number(service),
            None if regions is None else self._numbering.region_numbers(regions),
            min(route.priority, tenant.priority) if tenant else route.priority,
            upstream,
        )

    def may_forward(self, request: UpstreamRequest, endpoint: str) -> bool:
        """Whether lease, endpoint and configuration allow forwarding the request there now."""
        config = self._config
        if not self._serving.may_serve() or not config.is_available(endpoint, request.service):
            return False
        return config.route_table.gen == request.generation or self._is_still_allowed(request)

    def _is_still_allowed(self, request: UpstreamRequest) -> bool:
        """Whether the configuration in force allows a request that was routed by an earlier one.

        It does if the tenant is the same, the route still has the service, and the request class's
        repeatability and the allowed regions are unchanged.
        """
        route, tenant = request.route, request.tenant
        try:
            route_now, tenant_now = self.match(request.host, request.target, request.authorization)
        except BadRequest:
            return False
        return (
            (tenant_now.name if tenant_now else "") == (tenant.name if tenant else "")
            and request.service in route_now.services
            and route_now.request_class.repeat == route.request_class.repeat
            and allowed_regions(route_now, tenant_now) == allowed_regions(route, tenant)
        )


class UpstreamRequest:
    """Encodes a request for an endpoint; the engine calls it just before writing the first byte."""

    __slots__ = (
        "_body",
        "_head",
        "_router",
        "authorization",
        "generation",
        "host",
        "route",
        "service",
        "target",
        "tenant",
    )

    def __init__(
        self,
        router: RequestRouter,
        host: bytes,
        target: bytes,
        authorization: bytes,
        route: Route,
        tenant: Tenant | None,
        service: str,
        generation: int,
        head: bytes,
        body: bytes,
    ) -> None:
        """`generation`: of the configuration used for routing; `head`: from `request_head`."""
        self._router = router
        self.host, self.target, self.authorization = host, target, authorization
        self.route, self.tenant, self.service = route, tenant, service
        self.generation = generation
        self._head, self._body = head, body

    def __call__(self, endpoint: str, time_left_us: int) -> bytes | None:
        """Return the bytes for an endpoint; None if the request may no longer be forwarded."""
        if not self._router.may_forward(self, endpoint):
            return None
        fields = b"X-Target-Instance: %b\r\nX-Deadline-Ms: %d\r\n" % (
            endpoint.encode(),
            max(MIN_DEADLINE_MS, time_left_us // 1000),
        )
        if self.tenant and self.tenant.field_value:
            fields += b"X-Tenant: %b\r\n" % self.tenant.field_value
        return self._head + fields + b"\r\n" + self._body
