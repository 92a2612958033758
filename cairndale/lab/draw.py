"""Random numbers by name: PCG64 streams, so that one change does not shift every draw; and the day
drawn by them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from zlib import crc32

import numpy as np
from msgspec import Struct, structs

from cairndale.lab.scenario import Scenario, ScenarioError, Trouble

SECOND = 1_000_000


def stream(seed: int, name: str) -> np.random.Generator:
    """The generator of that name: alike in every process and for every PYTHONHASHSEED."""
    return np.random.Generator(np.random.PCG64([seed, crc32(name.encode())]))


def _drawn(struct: Struct, seed: int, where: str) -> dict[str, float]:
    """Each number and range of a section as one number; each key has a stream of its own."""
    found: dict[str, float] = {}
    for field in structs.fields(struct):
        value = getattr(struct, field.name)
        if (
            isinstance(value, list)
            and len(value) == 2
            and all(isinstance(v, int | float) for v in value)
        ):
            found[field.name] = float(stream(seed, f"{where}.{field.name}").uniform(*value))
        elif isinstance(value, int | float) and not isinstance(value, bool):
            found[field.name] = float(value)
    return found


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    share: float
    rate: float  # units a second
    burst: float  # units
    price: float
    over_worth: float
    over_cost: float
    spread: float  # share of the gateways
    ceiling_rate: float  # units a second; 0: none
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Class:
    name: str
    share: float
    worth: float
    work_us: float
    cv: float
    aim_us: int
    deadline_us: int


@dataclass(frozen=True, slots=True)
class ServerKind:
    """One server as drawn; see lab/world/server.py for what the figures do."""

    name: str
    zone: int
    cores: int
    speed: float
    slots: int
    queue: int
    thrash: float
    thrash_at: float
    cold_from: float
    cold_us: int
    warm_requests: float
    error_rate: float
    cancel_queued: bool
    drops_expired: bool
    cap: int
    full_tax: float
    handshake_us: float
    handshake_rtts: float


@dataclass(frozen=True, slots=True)
class Day:
    """A scenario with every range drawn by the seed. Times in microseconds from the start."""

    scenario: Scenario
    seed: int
    length: int
    zones: tuple[str, ...]
    servers: tuple[ServerKind, ...]
    gateway_zones: tuple[int, ...]
    plans: tuple[Plan, ...]
    classes: tuple[Class, ...]
    counter: dict[str, float]
    discovery: dict[str, float]
    network: dict[str, float]
    clients: dict[str, float]
    traffic: dict[str, float]
    waits: bool  # clients wait before a retry
    told: tuple[tuple[str, object], ...] = ()  # settings other than the scenario's, by dotted path

    def stream(self, name: str) -> np.random.Generator:
        return stream(self.seed, name)

    def chosen(self, number: int, trouble: Trouble) -> list[int]:
        """The gateways or servers that a trouble meets: at least one, the same for every
        variant."""
        if trouble.server:
            return [int(trouble.server.removeprefix("s-"))]
        on_gateways = trouble.kind in (
            "gateways_killed",
            "gateways_stopped",
            "rolling_restart",
            "upgrade",
        )
        if trouble.kind in ("zone_lost", "zone_cut"):
            zone = self.zone(trouble)
            return [n for n, s in enumerate(self.servers) if s.zone == zone]
        count = len(self.gateway_zones) if on_gateways else len(self.servers)
        some = max(1, round(trouble.part * count))
        order = self.stream(f"trouble.{number}").permutation(count)
        return [int(n) for n in order[:some]]

    def zone(self, trouble: Trouble) -> int:
        return self.zones.index(trouble.zone) if trouble.zone else len(self.zones) - 1

    def capacity(self) -> float:
        """Requests a second that all servers could do, warm and untroubled."""
        work = sum(c.share * c.work_us for c in self.classes) / SECOND
        return sum(s.cores * s.speed for s in self.servers) / work

    def raw_settings(self, me: int, changed: dict[str, float] | None = None) -> dict[str, Any]:
        """What a gateway is told, in the platform's form (WIRE, 'Read your settings')."""
        raw = self._raw(me, changed or {})
        for path, value in self.told:
            *parents, last = path.split(".")
            at: Any = raw
            try:
                for part in parents:
                    at = at[int(part) if isinstance(at, list) else part]
                at[last]  # an unknown key would be told to nobody
                at[last] = value
            except (KeyError, IndexError, ValueError, TypeError):
                raise ScenarioError([f"settings.{path}: is not there"]) from None
        return raw

    def _raw(self, me: int, changed: dict[str, float]) -> dict[str, Any]:
        s = self.scenario
        slowest = min(k.cold_from for k in self.servers)
        return {
            "me": me,
            "fleet_size": len(self.gateway_zones),
            "my_zone": self.gateway_zones[me],
            "period": 4000,
            "failure_domains": list(self.zones),
            "flavors": ["lab"],
            "family": "gate",
            "layers": ["lab"],
            "tier": 0,
            "membership_mode": "push",
            "weight_source": "off",
            "services": [
                {
                    "name": c.name,
                    "on_time": c.aim_us,
                    "deadline": c.deadline_us,
                    "semantics": "retryable",
                    "worth": c.worth,
                    "late_worth": 0.0,
                    "dedup_scope": "all",
                    "memory_span": 5_000_000,
                    "stream": False,
                }
                for c in self.classes
            ],
            "contracts": [
                {
                    "name": p.name,
                    "quota_rate": p.rate * changed.get("rate", 1),
                    "price": p.price,
                    "at_once": 0,
                    "burst": p.burst * changed.get("burst", 1),
                    "beyond_earns": p.over_worth,
                    "overrun_cost": p.over_cost,
                    "never_over_rate": p.ceiling_rate,
                    "never_over_depth": p.ceiling_burst,
                    "tolerance": p.ceiling_slack,
                }
                for p in self.plans
            ],
            "ceilings": {
                "max_attempts": int(changed.get("max_attempts", s.limits.max_attempts)),
                "may_duplicate": s.limits.second_copies,
                "cancel": s.limits.cancel,
                "retry_after": s.limits.retry_after,
                "max_open": s.limits.max_open,
                "max_retry_after": int(s.clients.max_retry_after_ms * 1000),
                "probing": False,
                "may_tell": False,
                "connect_timeout": int(s.server.connect_timeout_ms * 1000),
                "streams_per_conn": 1,
                "conn_idle": int(s.server.idle_s * SECOND),
            },
            "safety": {
                "answer_slack": 16_000,
                "drain_grace": int(s.rules.drain_grace_ms * 1000),
                "cold_share": slowest,
                "ramp_time": max(k.cold_us for k in self.servers),
                "tip_multiple": s.rules.fall_multiple,
                "fall": int(s.rules.fall_ms * 1000),
            },
            "telemetry": {"fields": [], "via": "off"},
            "domain": {
                "may_count": True,
                "count_wait": int(s.counter.timeout_ms * 1000),
                "count_fee": s.prices.counter,
                "units_top": 1,
                "post_paid": False,
                "meter_period": 0,
            },
            "fees": {
                "cross_zone": s.prices.cross_zone,
                "waste": s.prices.waste,
                "late_fail": s.prices.late_fail,
                "probe": 0.0,
                "peer": 0.0,
            },
            "goal": {
                "whole": s.goal.whole,
                "worst_window": s.goal.worst_window,
                "worst_tenant": s.goal.worst_plan,
                "worst_class": 0.0,
            },
            "clients": {"marks_retry": False},
        }


def day(s: Scenario, seed: int) -> Day:
    zones = tuple(s.fleet.zones)
    shared = _drawn(s.server, seed, "server")
    each = stream(seed, "server.each")
    servers = []
    for n in range(s.fleet.servers):
        own = shared | {"speed": float(each.uniform(*_pair(s.server.speed)))}
        cores = s.server.cores
        servers.append(
            ServerKind(
                f"s-{n}",
                n % len(zones),
                cores,
                own["speed"],
                max(1, round(own["slots_per_core"] * cores)),
                round(own["queue_per_core"] * cores),
                own["thrash"],
                own["thrash_at"],
                min(1.0, own["cold_from"]),
                max(1, int(own["cold_s"] * SECOND)),
                own["warm_requests"] * cores,
                own["error_rate"],
                s.server.cancel == "queued",
                s.server.drops_expired,
                max(1, round(own["cap_per_core"] * cores)),
                own["full_tax"],
                own["handshake_us"],
                own["handshake_rtts"],
            )
        )
    plans = []
    for n, p in enumerate(s.plan):
        own = _drawn(p, seed, f"plan.{n}")
        burst = max(2.0, own["rate"] * own["burst_s"])
        if own["ceiling"]:
            burst = max(burst, 4.0 / own["ceiling"])
        slack = max(1.0, s.rules.ceiling_slack * burst * own["ceiling"]) if own["ceiling"] else 0.0
        plans.append(
            Plan(
                p.name,
                p.share,
                own["rate"],
                burst,
                p.price,
                p.over_worth,
                p.over_cost,
                own["spread"],
                own["rate"] * own["ceiling"],
                burst * own["ceiling"],
                slack,
            )
        )
    classes = []
    for n, c in enumerate(s.class_):
        own = _drawn(c, seed, f"class.{n}")
        classes.append(
            Class(
                c.name,
                c.share,
                c.worth,
                own["work_ms"] * 1000,
                own["cv"],
                int(c.aim_ms * 1000),
                int(c.deadline_ms * 1000),
            )
        )
    return Day(
        s,
        seed,
        int(s.length_s * SECOND),
        zones,
        tuple(servers),
        tuple(n % len(zones) for n in range(s.fleet.gateways)),
        tuple(plans),
        tuple(classes),
        _drawn(s.counter, seed, "counter"),
        _drawn(s.discovery, seed, "discovery"),
        _drawn(s.network, seed, "network"),
        _drawn(s.clients, seed, "clients"),
        _drawn(s.traffic, seed, "traffic"),
        bool(stream(seed, "clients.fixed_wait").random() < s.clients.fixed_wait),
    )


def _pair(value: float | list[float]) -> tuple[float, float]:
    return (value[0], value[1]) if isinstance(value, list) else (value, value)
