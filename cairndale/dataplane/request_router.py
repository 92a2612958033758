"""What a client's request is for, by the configuration in force, and what a server is handed of
it."""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Sequence
from typing import Protocol

from cairndale.configuration.route_table import Route, RouteTable, Tenant
from cairndale.dataplane.upstream_protocol import request_head
from cairndale.ingress.net.engine import Names, Wanted
from cairndale.ingress.net.http import Message
from cairndale.ingress.net.requests import BadRequest
from cairndale.ingress.policy import interface as it

ID = re.compile(rb"[!-~]{1,200}")
MS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?")
BACK = 300_000  # us after which a client is told to come back while this ingress may not serve
AT_ONCE = 20_000  # us after which it may come back, to another ingress
LEAST = 1  # ms that a server is told it has


class RoutingContext(Protocol):
    """What the data plane knows at the moment."""

    @property
    def route_table(self) -> RouteTable: ...
    def may_serve(self) -> bool: ...
    def may_begin(self, cls: int, timeout: int) -> bool: ...
    def service(self, name: str) -> int: ...
    def regions(self, homes: frozenset[str]) -> frozenset[int]: ...
    def customer(self, tenant: str) -> int: ...
    def spread(self) -> int: ...
    def stands(self, server: str, service: str) -> bool:
        """It is there, ready, and serves that."""


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Where both allow it; None: everywhere."""
    both = [h for h in (route.home_regions, tenant.home_regions if tenant else frozenset()) if h]
    return frozenset.intersection(*both) if both else None


class RequestRouter:
    def __init__(self, scene: RoutingContext, rng: random.Random, now: Callable[[], int]) -> None:
        self._scene, self._rng, self._now = scene, rng, now

    def match(self, host: bytes, target: bytes, key: bytes) -> tuple[Route, Tenant | None]:
        """Raises BadRequest where the configuration in force does not allow it."""
        route_table = self._scene.route_table
        route = route_table.find_route(host, target)
        if route is None:
            raise BadRequest(404, "no route")
        if route.public or not route_table.tenants:
            return route, None
        tenant = route_table.find_tenant(key)
        if tenant is None:
            raise BadRequest(401, "the key is unknown")
        return route, tenant

    def __call__(
        self, message: Message, names: Names, classes: Sequence[it.RequestClass], began: int
    ) -> Wanted:
        scene, headers = self._scene, message.headers
        if not scene.route_table.gen or not scene.may_serve():
            raise BadRequest(503, "not in service", BACK)
        host, target, key = (
            headers.get(b"host", b""),
            message.target,
            headers.get(b"authorization", b""),
        )
        route, tenant = self.match(host, target, key)
        id = headers.get(b"x-request-id", b"")
        if not ID.fullmatch(id):
            raise BadRequest(400, "X-Request-Id is missing or invalid")
        wait = (
            MS.fullmatch(headers.get(b"x-deadline-ms", b""))
            if b"x-deadline-ms" in headers
            else None
        )
        if wait is None and b"x-deadline-ms" in headers:
            raise BadRequest(400, "X-Deadline-Ms is no number")
        cls = names.classes[route.request_class.name.encode()]
        timeout = min(
            route.request_class.deadline,
            round(float(wait[0]) * 1000) if wait else route.request_class.deadline,
        )
        if not scene.may_begin(cls, timeout):
            raise BadRequest(503, "about to end", AT_ONCE)
        service = route.service(self._rng)
        homes = allowed_regions(route, tenant)
        regions = None if homes is None else scene.regions(homes)
        plan = names.plans[tenant.name.encode()] if tenant else names.plans[b""]
        customer = scene.customer(tenant.name) if tenant else 0
        made = request_head(message, id)
        body, gen = message.body, scene.route_table.gen

        def dress(server: str, left: int) -> bytes | None:
            """The whole request, as its first byte is written; None if what allowed it holds no
            longer."""
            if not scene.may_serve() or not scene.stands(server, service):
                return None
            if scene.route_table.gen != gen:
                try:
                    route_now, tenant_now = self.match(host, target, key)
                except BadRequest:
                    return None
                same = (tenant_now.name if tenant_now else "") == (tenant.name if tenant else "")
                if (
                    not same
                    or service not in route_now.services
                    or route_now.request_class.repeat != route.request_class.repeat
                ):
                    return None
                if allowed_regions(route_now, tenant_now) != homes:
                    return None
            fields = b"X-Target-Instance: %b\r\nX-Deadline-Ms: %d\r\n" % (
                server.encode(),
                max(LEAST, left // 1000),
            )
            if tenant:
                fields += b"X-Tenant: %b\r\n" % tenant.name.encode()
            return made + fields + b"\r\n" + body

        return Wanted(
            id,
            cls,
            plan,
            customer,
            1.0,
            scene.spread(),
            0,
            timeout,
            began,
            False,
            b"",
            body,
            message.upload,
            scene.service(service),
            regions,
            min(route.priority, tenant.priority) if tenant else route.priority,
            dress,
        )
