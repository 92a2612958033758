"""A configuration as the data plane uses it: routes by host and longest prefix, tenants by key."""

from __future__ import annotations

import random
import re
from dataclasses import dataclass
from typing import Any

from ironledge import interface as it
from ironledge.interface import Repeat
from playhouse.settings import seconds

TOKEN = re.compile(rb"[Tt][Oo][Kk][Ee][Nn] +([!-~]+)")
DEADLINE, AIM = "30s", "1s"  # of a route that names none


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    cls: it.RequestClass
    services: tuple[str, ...]
    weights: tuple[float, ...]
    public: bool
    homes: frozenset[str]  # empty: anywhere
    prio: int

    def service(self, rng: random.Random) -> str:
        return self.services[0] if len(self.services) == 1 else rng.choices(self.services, self.weights)[0]


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    prio: int
    rate: float  # requests a second; 0: no limit
    burst: float
    homes: frozenset[str]


@dataclass(frozen=True, slots=True)
class Service:
    name: str
    warmup: float  # s that a server is cold after a start
    warm_per_s: float  # requests a second that it can handle while cold; 0: unknown
    most: int  # connections that it takes from all callers


def _us(text: str) -> int:
    return max(1, round(seconds(text) * 1e6))


class Playbill:
    def __init__(self, content: dict[str, Any]) -> None:
        self.gen: int = content.get("gen", 0)
        self.hosts: dict[bytes, dict[bytes, Route]] = {}
        self.keys: dict[bytes, Tenant] = {}
        self.tenants: dict[str, Tenant] = {}
        self.services: dict[str, Service] = {}
        self.named: set[str] = set()  # services that routes name
        self.classes: dict[str, it.RequestClass] = {}
        self.limits: dict[str, Any] = content.get("limits", {})
        for raw in content.get("backends", ()):
            self.services[raw["name"]] = Service(
                raw["name"], seconds(raw.get("warmup", "0s")), float(raw.get("warmupPerS", 0)),
                int(raw.get("maxConns", 0)),
            )  # fmt: skip
        for raw in content.get("tenants", ()):
            tenant = Tenant(
                raw["name"], int(raw.get("prio", 0)), float(raw.get("ratePerS") or 0),
                float(raw.get("burst") or 0), frozenset(raw.get("homeRegions") or ()),
            )  # fmt: skip
            self.tenants[tenant.name] = tenant
            for key in raw["apiKeys"]:
                self.keys[key.encode()] = tenant
        for raw in content.get("routes", ()):
            split = raw.get("split") or [{"backend": raw["backend"], "weight": 1}]
            route = Route(
                raw["name"], self._cls(raw), tuple(p["backend"] for p in split),
                tuple(float(p["weight"]) for p in split), bool(raw.get("public")),
                frozenset(raw.get("homeRegions") or ()), int(raw.get("prio", 0)),
            )  # fmt: skip
            self.named.update(route.services)
            self.hosts.setdefault(raw["host"].lower().encode(), {})[raw["pathPrefix"].encode()] = route

    def _cls(self, raw: dict[str, Any]) -> it.RequestClass:
        """Routes of the same kind, times and tries are one class to the module."""
        deadline, aim = raw.get("deadline", DEADLINE), raw.get("target_time", AIM)
        tries = int(raw.get("tries", 1))
        name = f"{raw['kind']} {deadline} {aim} {tries}"
        if name not in self.classes:
            repeat = Repeat.SAFE if raw["kind"] == "idempotent" else Repeat.UNSAFE
            self.classes[name] = it.RequestClass(
                name, _us(aim), _us(deadline), repeat, late_worth=0.5, tries=max(1, tries)
            )
        return self.classes[name]

    def route(self, host: bytes, target: bytes) -> Route | None:
        """The one whose prefix is the longest that begins the path."""
        name = host.lower()
        if name.rpartition(b":")[2].isdigit() and b":" in name:
            name = name.rpartition(b":")[0]
        prefixes = self.hosts.get(name)
        if not prefixes:
            return None
        path = target.partition(b"?")[0]
        end = path.rfind(b"/")
        while end >= 0:
            if found := prefixes.get(path[: end + 1]):
                return found
            end = path.rfind(b"/", 0, end)
        return None

    def tenant(self, authorization: bytes) -> Tenant | None:
        match = TOKEN.fullmatch(authorization)
        return self.keys.get(match[1]) if match else None
