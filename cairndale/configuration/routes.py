"""Items of the configuration as the data plane uses them, read from their JSON objects.

Each item has the digest of its JSON (`content_digest`).
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cairndale.configuration.content_digest import item_digest
from cairndale.configuration.hosts import NormalHost, normalize_host
from cairndale.configuration.numbers import bounded_count, bounded_quantity, finite_weights
from cairndale.ingress.policy.interface import Repeat, RequestClass
from cairndale.json_text import field_error
from cairndale.settings import parse_duration

DEFAULT_DEADLINE = "30s"  # of a route without one
DEFAULT_TARGET_TIME = "1s"  # of a route without one
LATE_ANSWER_VALUE = 0.5  # value of a response after the target time, relative to one in time


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Maps requests of a host and path prefix to services.

    Attributes:
        request_class: the kind, times and attempts, shared by routes with the same values.
        services: the services that handle the requests; `weights` has a weight for each.
        public: whether requests need no API key of a tenant.
        home_regions: the regions that may serve the route; empty: any.
        priority: 0 is the highest priority.
        host: the host in its normal form.
        has_normal_host: whether the configuration has the host in this form.
        prefix: the path prefix; begins and ends with a slash.
    """

    name: str
    request_class: RequestClass
    services: tuple[str, ...]
    weights: tuple[float, ...]
    public: bool
    home_regions: frozenset[str]
    priority: int
    host: NormalHost
    has_normal_host: bool
    prefix: bytes
    digest: int

    def service(self, rng: random.Random) -> str:
        """Selects a service for one request at random, by weight."""
        if len(self.services) == 1:
            return self.services[0]
        return rng.choices(self.services, self.weights)[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """A sender of requests, identified by an API key.

    Attributes:
        priority: 0 is the highest priority.
        rate_per_s: requests per second of its quota; 0: no limit.
        burst: requests that the tenant may send at once.
        home_regions: the regions that may serve the tenant; empty: any.
        api_keys: the keys; requests have one of them in the `Authorization` header.
        field_value: the name as the value of `X-Tenant`; None: no field can carry it unchanged.
    """

    name: str
    field_value: bytes | None
    priority: int
    rate_per_s: float
    burst: float
    home_regions: frozenset[str]
    api_keys: tuple[bytes, ...]
    digest: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A cluster of servers that serve the same requests.

    Attributes:
        warmup_s: the duration of a server's slow start, in seconds.
        warmup_requests_per_s: requests that a server can handle in slow start; 0: unknown.
        max_connections: connections that a server accepts in total; 0: unknown.
    """

    name: str
    warmup_s: float
    warmup_requests_per_s: float
    max_connections: int
    digest: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TopLevelField:
    """A top-level field of the content that is not a table, such as `limits`."""

    name: str
    value: Any
    digest: int


Item = Route | Tenant | Service | TopLevelField


def read_item(table: str, name: str, raw: Any, request_classes: Mapping[str, RequestClass]) -> Item:
    """An item of a table, or of TOP_LEVEL_FIELDS, from its JSON.

    `request_classes`: the existing classes by name, which a route with the same values shares.
    Raises ValueError, KeyError, TypeError, AttributeError or IndexError if the JSON is not valid.
    """
    digest = item_digest(table, name, raw).value
    match table:
        case "backends":
            return _read_service(name, raw, digest)
        case "tenants":
            return _read_tenant(name, raw, digest)
        case "routes":
            return _read_route(name, raw, digest, request_classes)
    return TopLevelField(name=name, value=raw[0], digest=digest)


def _read_service(name: str, raw: dict[str, Any], digest: int) -> Service:
    return Service(
        name=name,
        warmup_s=parse_duration(raw.get("warmup", "0s")),
        warmup_requests_per_s=bounded_quantity(raw.get("warmupPerS", 0)),
        max_connections=bounded_count(raw.get("maxConns", 0)),
        digest=digest,
    )


def _read_tenant(name: str, raw: dict[str, Any], digest: int) -> Tenant:
    return Tenant(
        name=name,
        field_value=None if field_error(name) else name.encode(),
        priority=int(raw.get("prio", 0)),
        rate_per_s=bounded_quantity(raw.get("ratePerS") or 0),
        burst=bounded_quantity(raw.get("burst") or 0),
        home_regions=frozenset(raw.get("homeRegions") or ()),
        api_keys=tuple(key.encode() for key in raw["apiKeys"]),
        digest=digest,
    )


def _read_route(
    name: str, raw: dict[str, Any], digest: int, request_classes: Mapping[str, RequestClass]
) -> Route:
    split = raw.get("split") or [{"backend": raw["backend"], "weight": 1}]
    host = normalize_host(raw["host"].encode())
    return Route(
        name=name,
        request_class=_read_request_class(raw, request_classes),
        services=tuple(part["backend"] for part in split),
        weights=finite_weights([part["weight"] for part in split]),
        public=bool(raw.get("public")),
        home_regions=frozenset(raw.get("homeRegions") or ()),
        priority=int(raw.get("prio", 0)),
        host=host,
        has_normal_host=raw["host"] == str(host),
        prefix=raw["pathPrefix"].encode(),
        digest=digest,
    )


def _read_request_class(
    raw: dict[str, Any], request_classes: Mapping[str, RequestClass]
) -> RequestClass:
    """The request class of a route; routes of the same kind, times and attempts share one."""
    deadline = raw.get("deadline", DEFAULT_DEADLINE)
    target_time = raw.get("target_time", DEFAULT_TARGET_TIME)
    attempts = bounded_count(raw.get("tries", 1))
    name = f"{raw['kind']} {deadline} {target_time} {attempts}"
    if existing := request_classes.get(name):
        return existing
    return RequestClass(
        name,
        _parse_duration_us(target_time),
        _parse_duration_us(deadline),
        Repeat.SAFE if raw["kind"] == "idempotent" else Repeat.UNSAFE,
        late_value=LATE_ANSWER_VALUE,
        max_endpoints=max(1, attempts),
    )


def _parse_duration_us(text: str) -> int:
    return max(1, round(parse_duration(text) * 1e6))
