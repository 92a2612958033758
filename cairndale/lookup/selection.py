"""Selects the ingresses that a client is sent to.

Ingresses are preferred whose region is a home region of as many of the host's routes as possible.
The client's own region counts as a home region of all routes: a look-up must not be the reason that
request bodies leave their home regions. Among these, ready ingresses are preferred to draining
ones, and the client's own region to other regions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple
from urllib.parse import parse_qs

from cairndale.configuration.hosts import NormalHost, normalize_host
from cairndale.http_api.server import Response, error_response, json_response
from cairndale.lookup.homes import HostHomes, RoutesByHost
from cairndale.lookup.ingresses import IngressGroup, Phase, group_ingresses
from cairndale.lookup.redirects import RedirectReporter
from cairndale.rpc import protocol_pb2 as pb

MAX_ADDRESSES = 64
MAX_TTL_S = 1.5  # how long clients may still call an ingress that has left
MAX_CACHED_RESPONSES = 1024


@dataclass(frozen=True, slots=True)
class _Query:
    """The client's region and zone, and the host that it looks up; each may be empty."""

    region: str
    zone: str
    host: NormalHost


def _parse_query(target: str) -> _Query:
    query = parse_qs(target.partition("?")[2], max_num_fields=20)
    region, zone, host = (query.get(field, [""])[0] for field in ("region", "zone", "name"))
    return _Query(region, zone, normalize_host(host.encode()))


class _Rank(NamedTuple):
    """How well ingresses suit a client; the lowest rank is preferred."""

    excluding_routes: int  # of the host: routes that have home regions, but not this one
    phase: Phase
    is_remote: bool


def _select(groups: list[IngressGroup], query: _Query, homes: HostHomes) -> list[IngressGroup]:
    """The groups of ingresses that the client is sent to; empty if there are no ingresses."""
    is_region_served = any(group.region == query.region for group in groups)
    ranked: dict[_Rank, list[IngressGroup]] = {}
    for group in groups:
        is_own = group.region == query.region if is_region_served else group.zone == query.zone
        # Routes whose home regions have none in common permit only the client's own region: an
        # empty intersection must not be taken for "any region".
        excluding_routes = 0 if is_own else homes.count_excluding(group.region)
        rank = _Rank(excluding_routes, group.phase, not is_own)
        ranked.setdefault(rank, []).append(group)
    return ranked[min(ranked)] if ranked else []


class LookupResponder:
    """Responds to look-ups; responses are cached while nodes and configuration do not change.

    Of more than `MAX_ADDRESSES` addresses, a subset is selected by hashes of `process_name` and the
    address. All responses of one process have the same subset. Different processes have different
    ones, so that clients of different processes reach all ingresses.

    Args:
        process_name: the name of the responding process.
        redirects: records where clients are sent to.
    """

    def __init__(self, process_name: str, redirects: RedirectReporter | None = None) -> None:
        self._process_name, self._redirects, self._version = process_name, redirects, object()
        self._cache: dict[tuple[_Query, float], Response] = {}
        self._groups: list[IngressGroup] = []

    def answer(
        self,
        target: str,
        nodes: Iterable[pb.Node],
        ttl_max: float,
        configuration: RoutesByHost,
        version: object,
    ) -> Response:
        """The response to a client that looks up ingresses; status 503 if there are none.

        Args:
            target: the request target, with region, zone and name in its query.
            nodes: all known nodes.
            ttl_max: the longest time for which a client may use the response, in seconds.
            configuration: the configuration that the process knows.
            version: differs whenever `nodes` or `configuration` have changed.
        """
        if version != self._version:
            self._groups, self._cache = group_ingresses(nodes), {}
            self._version = version
        key = (_parse_query(target), ttl_max)
        if key not in self._cache:
            if len(self._cache) >= MAX_CACHED_RESPONSES:
                self._cache = {}
            self._cache[key] = self._build_response(key[0], ttl_max, configuration)
        return self._cache[key]

    def _build_response(
        self, query: _Query, ttl_max: float, configuration: RoutesByHost
    ) -> Response:
        homes = HostHomes.of(configuration, query.host)
        selected = _select(self._groups, query, homes)
        if not selected:
            return error_response(503, "no ingress is ready")
        if self._redirects:
            self._redirects.record(
                region=query.region,
                host=str(query.host),
                generation=configuration.gen,
                homes=str(homes),
                selected=selected,
                ingresses=self._groups,
            )
        addresses = _select_subset(
            {address for group in selected for address in group.addresses}, self._process_name
        )
        ttl_ms = int(min(MAX_TTL_S, ttl_max) * 1000)
        return json_response(200, {"addrs": sorted(addresses), "ttl": f"{ttl_ms}ms"})


def _select_subset(addresses: set[str], process_name: str) -> set[str]:
    """At most `MAX_ADDRESSES` of the addresses, selected by hash."""
    if len(addresses) <= MAX_ADDRESSES:
        return addresses
    hashes = {
        address: blake2b(f"{process_name} {address}".encode(), digest_size=8).digest()
        for address in addresses
    }
    return set(sorted(addresses, key=hashes.__getitem__)[:MAX_ADDRESSES])
