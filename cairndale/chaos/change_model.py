"""How a configuration handles a request, by the pages and without the system's own code.

Versions are contents as operators send them. A request is run by the service of its route, as the
tenant that holds its key, or refused with 404 (no route) or 401 (no such key).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any

NEVER = float("inf")
TABLES = ("routes", "backends", "tenants")

Content = dict[str, Any]
Items = Mapping[str, list[Any]]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """What a client sends; `key` is empty if it sends none."""

    method: str
    host: str
    path: str
    key: str


@dataclass(frozen=True, slots=True)
class Handling:
    """What is done with a request.

    Attributes:
        service: the service that runs it; empty if none does.
        tenant: the tenant that servers are told.
        status: of the refusal; 0 if a service runs the request.
    """

    service: str = ""
    tenant: str = ""
    status: int = 0


@dataclass(slots=True)
class Version:
    """A configuration that operators have sent; times are seconds on the event loop's clock.

    Attributes:
        acknowledged_at: NEVER without a clear answer: then it may be in force or not.
    """

    gen: int
    content: Content
    sent_at: float
    acknowledged_at: float = NEVER


def handling(content: Content, request: ClientRequest) -> Handling:
    """What machines do with a request while this configuration is in force."""
    route = _find_route(content["routes"], request)
    if route is None:
        return Handling(status=404)
    if route.get("public"):
        return Handling(route["backend"])
    for tenant in content.get("tenants", ()):
        if request.key and request.key in tenant["apiKeys"]:
            return Handling(route["backend"], tenant["name"])
    return Handling(status=401)


def updated(content: Content, upsert: Items, remove: Items) -> Content:
    """The content after an Update, which changes items by name."""
    result = dict(content)
    for table in TABLES:
        new = {item["name"]: item for item in upsert.get(table, ())}
        gone = set(remove.get(table, ()))
        if new or gone:
            kept = [item for item in content.get(table, []) if item["name"] not in gone]
            result[table] = [new.pop(item["name"], item) for item in kept] + list(new.values())
    return result


def _find_route(routes: Iterable[Mapping[str, Any]], request: ClientRequest) -> Any:
    """The route with the longest prefix; a route of the host with the port goes first."""
    name, port = _split_host(request.host)
    found = [
        route
        for route in routes
        if _split_host(route["host"]) in ((name, port), (name, ""))
        and request.path.startswith(route["pathPrefix"])
    ]
    return max(
        found,
        key=lambda route: (bool(_split_host(route["host"])[1]), len(route["pathPrefix"])),
        default=None,
    )


@cache
def _split_host(host: str) -> tuple[str, str]:
    """Name and port; upper case and a dot at the end of the name make no difference."""
    name, colon, port = host.rpartition(":")
    if not colon or not (port.isdigit() or not port):
        name, port = host, ""
    return name.lower().removesuffix("."), port
