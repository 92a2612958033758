"""From a client's request to what the engine runs: route, tenant, service, deadline.

The router reads each request by the configuration in force, and checks it anew as the first byte
goes to an endpoint, if the configuration has changed by then.
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
from cairndale.ingress.net.engine import Names, Wanted
from cairndale.ingress.net.http import Message
from cairndale.ingress.net.requests import BadRequest
from cairndale.ingress.policy import interface as it

REQUEST_ID = re.compile(rb"[!-~]{1,200}")
DEADLINE_MS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?")
# Retry-After advice, in us: while this ingress may not serve, and to go to another one at once.
NOT_SERVING_RETRY_US = 300_000
DRAINING_RETRY_US = 20_000
LEAST_DEADLINE_MS = 1  # that an endpoint is given
UNKNOWN_FLEET = 1_000_000  # ingresses, while their count is not known: no share is worth a unit


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Return the regions in which both route and tenant may be served; None: everywhere."""
    both = [h for h in (route.home_regions, tenant.home_regions if tenant else frozenset()) if h]
    return frozenset.intersection(*both) if both else None


def _request_id(headers: Mapping[bytes, bytes]) -> bytes:
    """Return the client's id of the request (`X-Request-Id`). Raises BadRequest."""
    request_id = headers.get(b"x-request-id", b"")
    if not REQUEST_ID.fullmatch(request_id):
        raise BadRequest(400, "X-Request-Id is missing or invalid")
    return request_id


def _timeout_us(headers: Mapping[bytes, bytes], longest_us: int) -> int:
    """Return the client's deadline (`X-Deadline-Ms`), at most the route's. Raises BadRequest."""
    if b"x-deadline-ms" not in headers:
        return longest_us
    client_ms = DEADLINE_MS.fullmatch(headers[b"x-deadline-ms"])
    if client_ms is None:
        raise BadRequest(400, "X-Deadline-Ms is no number")
    return min(longest_us, round(float(client_ms[0]) * 1000))


class RequestRouter:
    """The listener's reader of requests: a callable, once for each request.

    Runs on the hot path: no I/O, and no search that grows with the configuration.
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
        """Return the route, and the tenant unless the route is public.

        Raises BadRequest where the configuration in force does not allow it: 404 without a route,
        401 for an unknown key.
        """
        route_table = self._config.route_table
        route = route_table.find_route(host, target)
        if route is None:
            raise BadRequest(404, "no route")
        if route.public or not route_table.tenants:
            return route, None
        tenant = route_table.find_tenant(authorization)
        if tenant is None:
            raise BadRequest(401, "the key is unknown")
        return route, tenant

    def __call__(
        self, message: Message, names: Names, classes: Sequence[it.RequestClass], began: int
    ) -> Wanted:
        """Return the request as the engine runs it; `began`: us when its first byte came.

        Raises BadRequest with the status for the client: 400, 401, 404, or 503 with the time after
        which to come back.
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
        # Both by position: keywords would cost each request over a microsecond more.
        upstream = UpstreamRequest(
            self, host, target, authorization, route, tenant, service, generation, head, body
        )
        return Wanted(
            request_id,
            cls,
            names.plans[tenant.name.encode() if tenant else b""],
            self._numbering.tenant_number(tenant.name) if tenant else 0,
            1.0,  # units of the tenant's quota
            config.ingress_count or UNKNOWN_FLEET,
            0,  # first gateway: none is preferred
            timeout_us,
            began,
            False,  # clients do not say that they retry
            b"",  # head: made by `upstream`
            body,
            message.upload,
            self._numbering.service_number(service),
            None if regions is None else self._numbering.region_numbers(regions),
            min(route.priority, tenant.priority) if tenant else route.priority,
            upstream,
        )

    def may_forward(self, request: UpstreamRequest, endpoint: str) -> bool:
        """Whether lease, endpoint and configuration allow the request to go there, as it does."""
        config = self._config
        if not self._serving.may_serve() or not config.is_available(endpoint, request.service):
            return False
        return config.route_table.gen == request.generation or self._still_allowed(request)

    def _still_allowed(self, request: UpstreamRequest) -> bool:
        """Whether the configuration in force allows what was read by an earlier one.

        The same tenant, the service still on the route, the same class of repeatability and the
        same regions.
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
    """A request as endpoints get it: the engine calls it as the first byte is to be written."""

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
        """`generation`: of the configuration that it was read by; `head`: as `request_head`'s."""
        self._router = router
        self.host, self.target, self.authorization = host, target, authorization
        self.route, self.tenant, self.service = route, tenant, service
        self.generation = generation
        self._head, self._body = head, body

    def __call__(self, endpoint: str, time_left_us: int) -> bytes | None:
        """Return the bytes for an endpoint; None if what allowed the request holds no longer."""
        if not self._router.may_forward(self, endpoint):
            return None
        fields = b"X-Target-Instance: %b\r\nX-Deadline-Ms: %d\r\n" % (
            endpoint.encode(),
            max(LEAST_DEADLINE_MS, time_left_us // 1000),
        )
        if self.tenant:
            fields += b"X-Tenant: %b\r\n" % self.tenant.name.encode()
        return self._head + fields + b"\r\n" + self._body
