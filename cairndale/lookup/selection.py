"""Which ingresses a client is sent to: those ready in its region, else all that are, else those
about to stop. Where routes of the host have homes, another region comes in only if it is a home, as
long as one there or in the client's region serves: bodies must not go elsewhere because a list said
so."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from urllib.parse import parse_qs

from cairndale.configuration.route_table import RouteTable
from cairndale.http_api.server import Answer, told, wrong
from cairndale.rpc import protocol_pb2 as pb

MOST = 64
TTL = 1.5  # s at the most: how long one that has left is still called
KEPT = 1024  # answers


def homes_of(route_table: RouteTable | None, host: str) -> frozenset[str]:
    """Regions in which all routes of the host that have homes have one; empty: nothing binds
    them."""
    routes = (
        route_table.routes_by_host.get(host.lower().encode(), {}).values() if route_table else ()
    )
    homes = [route.home_regions for route in routes if route.home_regions]
    return frozenset.intersection(*homes) if homes else frozenset()


def _asked(target: str) -> tuple[str, str, str]:
    """The client's region and zone, and the host that it asks for."""
    query = parse_qs(target.partition("?")[2], max_num_fields=20)
    region, zone, name = (query.get(field, [""])[0] for field in ("region", "zone", "name"))
    return region, zone, name


def _near(nodes: Iterable[pb.Node], region: str, zone: str, homes: frozenset[str]) -> set[str]:
    edges = [n for n in nodes if n.kind == "edge" and n.http_address]
    ready, leaving = (
        [n for n in edges if n.ready and not n.draining],
        [n for n in edges if n.draining],
    )
    near = [n for n in ready if n.region == region] or [n for n in ready if n.zone == zone]
    near = near or [n for n in ready if n.region in homes]
    near = near or [n for n in leaving if homes and n.region in homes | {region}]
    if not near:
        fit = ready or leaving
        near = [n for n in fit if n.region == region] or [n for n in fit if n.zone == zone] or fit
    return {n.http_address for n in near}


def lookup(
    target: str,
    nodes: Iterable[pb.Node],
    ttl_max: float,
    route_table: RouteTable | None = None,
    own: str = "",
) -> Answer:
    """`ttl_max` in s; `bill`: the configuration, where it is known. Of more than MOST, who answers
    by the name of `own` tells others than who answers by another, and the same from answer to
    answer: clients that ask different ones go to all of them."""
    region, zone, name = _asked(target)
    addrs = _near(nodes, region, zone, homes_of(route_table, name))
    if not addrs:
        return wrong(503, "no ingress is ready")
    if len(addrs) > MOST:
        drawn = {a: blake2b(f"{own} {a}".encode(), digest_size=8).digest() for a in addrs}
        addrs = set(sorted(addrs, key=drawn.__getitem__)[:MOST])
    return told(200, {"addrs": sorted(addrs), "ttl": f"{int(min(TTL, ttl_max) * 1000)}ms"})


class Lookups:
    """Answers by one name, kept while the nodes are the same: to make one takes a look at all of
    them."""

    def __init__(self, own: str) -> None:
        self._own, self._version = own, object()
        self._kept: dict[tuple[str, str, str, float], Answer] = {}

    def answer(
        self,
        target: str,
        nodes: Iterable[pb.Node],
        ttl_max: float,
        route_table: RouteTable | None,
        version: object,
    ) -> Answer:
        """`version` is another one when the nodes or the configuration are others."""
        if version != self._version or len(self._kept) >= KEPT:
            self._version, self._kept = version, {}
        key = (*_asked(target), ttl_max)
        if key not in self._kept:
            self._kept[key] = lookup(target, nodes, ttl_max, route_table, self._own)
        return self._kept[key]
