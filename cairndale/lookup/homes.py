"""Home regions of a host's routes, as far as they are known to a look-up.

A client's look-up names a host, but neither a path nor an API key. So ingresses are ranked by how
many of that host's routes their region may serve.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from cairndale.configuration.content_digest import iter_items
from cairndale.configuration.hosts import HostIndex, NormalHost, normalize_host


class RouteHomes(Protocol):
    """The part of a route that look-ups use."""

    @property
    def home_regions(self) -> frozenset[str]:
        """The regions that may serve the route; empty: any."""


class RoutesByHost(Protocol):
    """The part of a configuration that look-ups use; `RouteTable` implements it."""

    gen: int

    def routes_of_host(self, host: NormalHost) -> Sequence[RouteHomes]:
        """The routes that clients of a host may use; without a port, those of all its ports."""


@dataclass(frozen=True, slots=True)
class _ContentRoute:
    name: str
    has_normal_host: bool
    home_regions: frozenset[str]


class ContentRoutes:
    """The routes of a configuration's JSON by host, for a node that needs no route table.

    The constructor iterates over all routes.
    """

    def __init__(self, content: Mapping[str, Any]) -> None:
        self.gen: int = content.get("gen", 0)
        self._by_host: HostIndex[_ContentRoute] = HostIndex()
        for name, raw in iter_items(content, "routes"):
            host = normalize_host(raw["host"].encode())
            homes = frozenset(raw.get("homeRegions") or ())
            route = _ContentRoute(name, raw["host"] == str(host), homes)
            self._by_host.add(host, raw["pathPrefix"].encode(), route)

    def routes_of_host(self, host: NormalHost) -> Sequence[RouteHomes]:
        """See `RoutesByHost`."""
        return self._by_host.all_of_host(host)


@dataclass(frozen=True, slots=True)
class HostHomes:
    """The home regions of a host's routes.

    Attributes:
        by_route: one set for each route that has home regions; none of them is empty.
        has_routes: whether any route of the host is known.
    """

    by_route: tuple[frozenset[str], ...] = ()
    has_routes: bool = False

    @classmethod
    def of(cls, configuration: RoutesByHost, host: NormalHost) -> HostHomes:
        """The home regions of a host (with or without a port) in a configuration."""
        routes = configuration.routes_of_host(host)
        homes = tuple(route.home_regions for route in routes if route.home_regions)
        return cls(homes, bool(routes))

    def count_excluding(self, region: str) -> int:
        """The number of routes that have home regions, but not this one."""
        return sum(region not in homes for homes in self.by_route)

    def __str__(self) -> str:
        """The distinct sets of home regions, for the log."""
        if not self.has_routes:
            return "unknown (no route of the host)"
        return " and ".join(sorted({"/".join(sorted(homes)) for homes in self.by_route})) or "none"
