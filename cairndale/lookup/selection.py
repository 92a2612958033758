"""Which ingresses a client is sent to.

Those that are ready in its region; else all that are ready; else those that are draining. Where
routes of the host have home regions, another region is taken only if it is a home, as long as an
ingress there or in the client's region serves: bodies must not leave their homes because of an
answer of ours.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from urllib.parse import parse_qs

from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.routes import Route
from cairndale.http_api.server import Response, error_response, json_response
from cairndale.lookup.redirects import RedirectReporter
from cairndale.rpc import protocol_pb2 as pb

MAX_ADDRESSES = 64
MAX_TTL_S = 1.5  # for so long an ingress that has left is still called
MAX_CACHED_ANSWERS = 1024


def homes_of(route_table: RouteTable | None, host: str) -> frozenset[str]:
    """Regions that are a home of each route of the host that has homes.

    Empty if no route has homes, or if they have none in common: nothing is restricted then.
    """
    homes = [route.home_regions for route in _routes(route_table, host) if route.home_regions]
    return frozenset.intersection(*homes) if homes else frozenset()


def _routes(route_table: RouteTable | None, host: str) -> list[Route]:
    if route_table is None:
        return []
    return list(route_table.routes_by_host.get(host.lower().encode(), {}).values())


def _describe_homes(route_table: RouteTable | None, host: str) -> str:
    """What is known of the homes of a host's routes, for the log."""
    routes = _routes(route_table, host)
    if not routes:
        return "unknown (no route of the host)"
    homes = {route.home_regions for route in routes if route.home_regions}
    if not homes:
        return "none"
    return " and ".join(sorted("/".join(sorted(regions)) for regions in homes))


@dataclass(frozen=True, slots=True)
class _Query:
    """The client's region and zone, and the host that it asks for; each may be empty."""

    region: str
    zone: str
    host: str


def _parse(target: str) -> _Query:
    query = parse_qs(target.partition("?")[2], max_num_fields=20)
    region, zone, host = (query.get(field, [""])[0] for field in ("region", "zone", "name"))
    return _Query(region, zone, host)


def _select(ingresses: list[pb.Node], query: _Query, homes: frozenset[str]) -> list[pb.Node]:
    """The ingresses that the client may call; empty if there are none."""
    ready = [n for n in ingresses if n.ready and not n.draining]
    draining = [n for n in ingresses if n.draining]
    selected = _close_to(ready, query)
    selected = selected or [n for n in ready if n.region in homes]
    selected = selected or [n for n in draining if homes and n.region in homes | {query.region}]
    if not selected:
        serving = ready or draining
        selected = _close_to(serving, query) or serving
    return selected


def _close_to(nodes: list[pb.Node], query: _Query) -> list[pb.Node]:
    return [n for n in nodes if n.region == query.region] or [
        n for n in nodes if n.zone == query.zone
    ]


def lookup(
    target: str,
    nodes: Iterable[pb.Node],
    ttl_max: float,
    route_table: RouteTable | None = None,
    own: str = "",
    redirects: RedirectReporter | None = None,
) -> Response:
    """The response to a client that asks which ingresses to call; 503 if there are none.

    Of more than `MAX_ADDRESSES` a part is drawn by `own` and the addresses: the same in each
    response of one process, another in those of others, so that clients that ask different ones go
    to all ingresses.

    Args:
        target: the request's, with region, zone and name in its query.
        nodes: all that are known.
        ttl_max: seconds for which a client may use the response, at the most.
        route_table: the configuration, where it is known.
        own: the name of the answering process.
        redirects: told where the client is sent to.
    """
    query = _parse(target)
    ingresses = [n for n in nodes if n.kind == "edge" and n.http_address]
    homes = homes_of(route_table, query.host)
    selected = _select(ingresses, query, homes)
    if not selected:
        return error_response(503, "no ingress is ready")
    if redirects:
        redirects.record(
            region=query.region,
            host=query.host,
            generation=route_table.gen if route_table else 0,
            homes=_describe_homes(route_table, query.host),
            selected=selected,
            ingresses=ingresses,
        )
    addresses = _draw({n.http_address for n in selected}, own)
    ttl_ms = int(min(MAX_TTL_S, ttl_max) * 1000)
    return json_response(200, {"addrs": sorted(addresses), "ttl": f"{ttl_ms}ms"})


def _draw(addresses: set[str], own: str) -> set[str]:
    """`MAX_ADDRESSES` of them at the most, drawn by their hashes with `own`."""
    if len(addresses) <= MAX_ADDRESSES:
        return addresses
    drawn = {a: blake2b(f"{own} {a}".encode(), digest_size=8).digest() for a in addresses}
    return set(sorted(addresses, key=drawn.__getitem__)[:MAX_ADDRESSES])


class Lookups:
    """Responses of one process, cached while nodes and configuration are the same.

    To make one takes a look at all nodes.

    Args:
        own: the name of the answering process.
        redirects: told where clients are sent to.
    """

    def __init__(self, own: str, redirects: RedirectReporter | None = None) -> None:
        self._own, self._redirects, self._version = own, redirects, object()
        self._cache: dict[tuple[_Query, float], Response] = {}

    def answer(
        self,
        target: str,
        nodes: Iterable[pb.Node],
        ttl_max: float,
        route_table: RouteTable | None,
        version: object,
    ) -> Response:
        """As `lookup`. `version` is another one when nodes or configuration are others."""
        if version != self._version or len(self._cache) >= MAX_CACHED_ANSWERS:
            self._version, self._cache = version, {}
        key = (_parse(target), ttl_max)
        if key not in self._cache:
            self._cache[key] = lookup(
                target, nodes, ttl_max, route_table, self._own, self._redirects
            )
        return self._cache[key]
