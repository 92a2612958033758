"""A configuration as the data plane uses it: routes by host and longest prefix, tenants by key."""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cairndale.configuration.delta import (
    DIGEST_MODULUS,
    TOP_LEVEL_FIELDS,
    ConfigDelta,
    DeltaError,
    item_digest,
    iter_items,
)
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Repeat
from cairndale.settings import parse_duration

TOKEN = re.compile(rb"[Tt][Oo][Kk][Ee][Nn] +([!-~]+)")
DEADLINE, AIM = "30s", "1s"  # of a route that names none


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    request_class: it.RequestClass
    services: tuple[str, ...]
    weights: tuple[float, ...]
    public: bool
    home_regions: frozenset[str]  # empty: anywhere
    priority: int
    host: bytes
    prefix: bytes
    digest: int  # of what it was read from

    def service(self, rng: random.Random) -> str:
        return (
            self.services[0]
            if len(self.services) == 1
            else rng.choices(self.services, self.weights)[0]
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    priority: int
    rate_per_s: float  # requests a second; 0: no limit
    burst: float
    home_regions: frozenset[str]
    api_keys: tuple[bytes, ...]
    digest: int


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    warmup_s: float  # s that a server is cold after a start
    warm_per_s: float  # requests a second that it can handle while cold; 0: unknown
    max_connections: int  # connections that it takes from all callers
    digest: int


@dataclass(frozen=True, slots=True)
class Field:
    """What else a content says."""

    name: str
    value: Any
    digest: int


Item = Route | Tenant | Service | Field


@dataclass(frozen=True, slots=True)
class TableChange:
    """Items that stand otherwise than before, as they are now."""

    routes: list[Route]
    tenants: list[Tenant]


def _us(text: str) -> int:
    return max(1, round(parse_duration(text) * 1e6))


def _digest(item: Item | None) -> int:
    return item.digest if item else 0


def _less(counts: Counter[str], names: Iterable[str]) -> None:
    for name in names:
        counts[name] -= 1
        if not counts[name]:
            del counts[name]


class RouteTable:
    """Routes, tenants and services of one generation of the configuration, indexed for requests.

    A delta changes it in place, item by item (`apply_delta`). Whoever keeps what was found here
    compares `gen` to learn whether it may have changed since.
    """

    def __init__(self, content: dict[str, Any]) -> None:
        self.gen: int = content.get("gen", 0)
        self.digest = 0  # as `cairndale.configuration.delta` has it
        self.routes_by_host: dict[bytes, dict[bytes, Route]] = {}
        self.tenants_by_key: dict[bytes, Tenant] = {}
        self.routes: dict[str, Route] = {}
        self.tenants: dict[str, Tenant] = {}
        self.services: dict[str, Service] = {}
        self.service_references: Counter[str] = (
            Counter()
        )  # services that routes name, and how many do
        self.request_classes: dict[str, it.RequestClass] = {}  # of routes
        self._of_class: Counter[str] = Counter()  # how many are of each
        self.fields: dict[str, Field] = {}
        self._tables: dict[str, dict[str, Any]] = {
            "routes": self.routes,
            "tenants": self.tenants,
            "backends": self.services,
            TOP_LEVEL_FIELDS: self.fields,
        }
        for table in self._tables:
            for name, raw in iter_items(content, table):
                if name in self._tables[table]:
                    self._drop(table, name)
                self._put(table, self._read(table, name, raw))

    @property
    def limits(self) -> dict[str, Any]:
        return self.fields["limits"].value if "limits" in self.fields else {}

    def apply_delta(self, delta: ConfigDelta) -> TableChange:
        """Whole or not at all. Raises DeltaError where it does not fit."""
        if (delta.base_gen, delta.base_digest) != (self.gen, self.digest):
            raise DeltaError(
                f"from gen {delta.base_gen}, where gen {self.gen} stands, or by its digest"
            )
        changes, digest = delta.decode_changes(), self.digest
        made: list[tuple[str, str, Item | None]] = []
        try:
            for table, items in changes.items():
                for name, raw in items.items():
                    item = None if raw is None else self._read(table, name, raw)
                    made.append((table, name, item))
                    digest += _digest(item) - _digest(self._tables[table].get(name))
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise DeltaError(f"{name!r} in {table!r}: {error!r}") from None
        if digest % DIGEST_MODULUS != delta.digest:
            raise DeltaError(f"gen {delta.gen}: another digest than was told")
        for table, name, item in made:
            self._drop(table, name)
            if item is not None:
                self._put(table, item)
        self.gen = delta.gen
        now = [item for _, _, item in made]
        return TableChange(
            [i for i in now if isinstance(i, Route)], [i for i in now if isinstance(i, Tenant)]
        )

    def _read(self, table: str, name: str, raw: Any) -> Item:
        digest = item_digest(table, name, raw)[0]
        match table:
            case "backends":
                return Service(
                    name,
                    parse_duration(raw.get("warmup", "0s")),
                    float(raw.get("warmupPerS", 0)),
                    int(raw.get("maxConns", 0)),
                    digest,
                )
            case "tenants":
                return Tenant(
                    name,
                    int(raw.get("prio", 0)),
                    float(raw.get("ratePerS") or 0),
                    float(raw.get("burst") or 0),
                    frozenset(raw.get("homeRegions") or ()),
                    tuple(key.encode() for key in raw["apiKeys"]),
                    digest,
                )
            case "routes":
                split = raw.get("split") or [{"backend": raw["backend"], "weight": 1}]
                return Route(
                    name,
                    self._cls(raw),
                    tuple(p["backend"] for p in split),
                    tuple(float(p["weight"]) for p in split),
                    bool(raw.get("public")),
                    frozenset(raw.get("homeRegions") or ()),
                    int(raw.get("prio", 0)),
                    raw["host"].lower().encode(),
                    raw["pathPrefix"].encode(),
                    digest,
                )
        return Field(name, raw[0], digest)

    def _put(self, table: str, item: Item) -> None:
        self.digest = (self.digest + item.digest) % DIGEST_MODULUS
        self._tables[table][item.name] = item
        if isinstance(item, Tenant):
            for key in item.api_keys:
                self.tenants_by_key[key] = item
        elif isinstance(item, Route):
            self.routes_by_host.setdefault(item.host, {})[item.prefix] = item
            self.request_classes.setdefault(item.request_class.name, item.request_class)
            self._of_class[item.request_class.name] += 1
            self.service_references.update(item.services)

    def _drop(self, table: str, name: str) -> None:
        item: Item | None = self._tables[table].pop(name, None)
        self.digest = (self.digest - _digest(item)) % DIGEST_MODULUS
        if isinstance(item, Tenant):
            for key in item.api_keys:
                if self.tenants_by_key.get(key) is item:
                    del self.tenants_by_key[key]
        elif isinstance(item, Route):
            prefixes = self.routes_by_host[item.host]
            if prefixes.get(item.prefix) is item:
                del prefixes[item.prefix]
            if not prefixes:
                del self.routes_by_host[item.host]
            _less(self._of_class, [item.request_class.name])
            if item.request_class.name not in self._of_class:
                del self.request_classes[item.request_class.name]
            _less(self.service_references, item.services)

    def _cls(self, raw: dict[str, Any]) -> it.RequestClass:
        """Routes of the same kind, times and tries are one class to the module."""
        deadline, aim = raw.get("deadline", DEADLINE), raw.get("target_time", AIM)
        tries = int(raw.get("tries", 1))
        name = f"{raw['kind']} {deadline} {aim} {tries}"
        if known := self.request_classes.get(name):
            return known
        repeat = Repeat.SAFE if raw["kind"] == "idempotent" else Repeat.UNSAFE
        return it.RequestClass(
            name, _us(aim), _us(deadline), repeat, late_worth=0.5, tries=max(1, tries)
        )

    def find_route(self, host: bytes, target: bytes) -> Route | None:
        """The one whose prefix is the longest that begins the path."""
        name = host.lower()
        if name.rpartition(b":")[2].isdigit() and b":" in name:
            name = name.rpartition(b":")[0]
        prefixes = self.routes_by_host.get(name)
        if not prefixes:
            return None
        path = target.partition(b"?")[0]
        end = path.rfind(b"/")
        while end >= 0:
            if found := prefixes.get(path[: end + 1]):
                return found
            end = path.rfind(b"/", 0, end)
        return None

    def find_tenant(self, authorization: bytes) -> Tenant | None:
        match = TOKEN.fullmatch(authorization)
        return self.tenants_by_key.get(match[1]) if match else None
