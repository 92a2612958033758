"""Home regions of a host's routes, as far as a look-up can know them.

A client that asks where to go names a host, neither a path nor an API key. So an ingress suits it
as well as its region suits the routes of that host.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.configuration.route_table import RouteTable


@dataclass(frozen=True, slots=True)
class HostHomes:
    """The home regions of each route of a host that has any.

    Attributes:
        by_route: one set for each such route; none of them is empty.
        has_routes: whether the host has routes at all, as far as is known.
    """

    by_route: tuple[frozenset[str], ...] = ()
    has_routes: bool = False

    @classmethod
    def of(cls, route_table: RouteTable | None, host: str) -> HostHomes:
        """The homes of a host (with or without a port), by a configuration; None: not known."""
        if route_table is None:
            return cls()
        routes = route_table.routes_of_host(host.encode()).values()
        homes = tuple(route.home_regions for route in routes if route.home_regions)
        return cls(homes, bool(routes))

    def count_excluding(self, region: str) -> int:
        """How many routes have homes, and not this region among them."""
        return sum(region not in homes for homes in self.by_route)

    def __str__(self) -> str:
        """The different sets of homes, for the log."""
        if not self.has_routes:
            return "unknown (no route of the host)"
        return " and ".join(sorted({"/".join(sorted(homes)) for homes in self.by_route})) or "none"
