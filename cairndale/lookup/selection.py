"""Which ingresses a client is sent to.

Those whose region is a home of as many of the host's routes as possible, where the client's own
region counts as a home of all: bodies must not leave their homes because of an answer of ours.
Among these the ready ones rather than those that drain, and the client's region rather than others.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple
from urllib.parse import parse_qs

from cairndale.http_api.server import Response, error_response, json_response
from cairndale.lookup.homes import HostHomes, RoutesByHost
from cairndale.lookup.ingresses import IngressGroup, Phase, group_ingresses
from cairndale.lookup.redirects import RedirectReporter
from cairndale.rpc import protocol_pb2 as pb

MAX_ADDRESSES = 64
MAX_TTL_S = 1.5  # for so long an ingress that has left is still called
MAX_CACHED_ANSWERS = 1024


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


class _Rank(NamedTuple):
    """How well ingresses suit a client; the least is the best."""

    excluding_routes: int  # of the host: those with homes, and none here
    phase: Phase
    is_remote: bool


def _select(groups: list[IngressGroup], query: _Query, homes: HostHomes) -> list[IngressGroup]:
    """The groups of ingresses that the client may call; empty if there are none."""
    is_region_served = any(group.region == query.region for group in groups)
    ranked: dict[_Rank, list[IngressGroup]] = {}
    for group in groups:
        is_own = group.region == query.region if is_region_served else group.zone == query.zone
        # Homes that share no region permit no region but the client's own: none is not any.
        excluding_routes = 0 if is_own else homes.count_excluding(group.region)
        rank = _Rank(excluding_routes, group.phase, not is_own)
        ranked.setdefault(rank, []).append(group)
    return ranked[min(ranked)] if ranked else []


class Lookups:
    """Responses of one process, cached while nodes and configuration are the same.

    Of more than `MAX_ADDRESSES` a part is drawn by `own` and the addresses: the same in each
    response of one process, another in those of others, so that clients that ask different ones go
    to all ingresses.

    Args:
        own: the name of the answering process.
        redirects: told where clients are sent to.
    """

    def __init__(self, own: str, redirects: RedirectReporter | None = None) -> None:
        self._own, self._redirects, self._version = own, redirects, object()
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
        """The response to a client that asks which ingresses to call; 503 if there are none.

        Args:
            target: the request's, with region, zone and name in its query.
            nodes: all that are known.
            ttl_max: seconds for which a client may use the response, at the most.
            configuration: that the process knows.
            version: another one when nodes or configuration are others.
        """
        if version != self._version:
            self._groups, self._cache = group_ingresses(nodes), {}
            self._version = version
        key = (_parse(target), ttl_max)
        if key not in self._cache:
            if len(self._cache) >= MAX_CACHED_ANSWERS:
                self._cache = {}
            self._cache[key] = self._make_answer(key[0], ttl_max, configuration)
        return self._cache[key]

    def _make_answer(self, query: _Query, ttl_max: float, configuration: RoutesByHost) -> Response:
        homes = HostHomes.of(configuration, query.host)
        selected = _select(self._groups, query, homes)
        if not selected:
            return error_response(503, "no ingress is ready")
        if self._redirects:
            self._redirects.record(
                region=query.region,
                host=query.host,
                generation=configuration.gen,
                homes=str(homes),
                selected=selected,
                ingresses=self._groups,
            )
        addresses = _draw({a for group in selected for a in group.addresses}, self._own)
        ttl_ms = int(min(MAX_TTL_S, ttl_max) * 1000)
        return json_response(200, {"addrs": sorted(addresses), "ttl": f"{ttl_ms}ms"})


def _draw(addresses: set[str], own: str) -> set[str]:
    """`MAX_ADDRESSES` of them at the most, drawn by their hashes with `own`."""
    if len(addresses) <= MAX_ADDRESSES:
        return addresses
    drawn = {a: blake2b(f"{own} {a}".encode(), digest_size=8).digest() for a in addresses}
    return set(sorted(addresses, key=drawn.__getitem__)[:MAX_ADDRESSES])
