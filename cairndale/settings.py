"""What a process is told: the settings file, checked whole, every error at once. Unknown fields are
ignored."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from schema import And, Optional, Or, Schema, SchemaError, Use

from cairndale.raft.voters import Tolerance

DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(ms|s)")
ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})")

Address = tuple[str, int]  # an address of the system's own, or one that others call


class SettingsError(ValueError):
    """Every error of a file, each with its path."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def parse_duration(text: object) -> float:
    """`1500ms` or `2.5s`, in seconds. Raises ValueError."""
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is no time such as 1500ms or 2.5s")
    return float(match[1]) / (1000 if match[2] == "ms" else 1)


def parse_address(text: object) -> Address:
    match = ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None or not 0 < int(match[2]) < 65536:
        raise ValueError(f"{text!r} is no address such as 10.1.0.8:8200")
    return match[1], int(match[2])


def format_address(at: Address) -> str:
    return f"{at[0]}:{at[1]}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures that the rules are kept by; times in seconds."""

    contact: float = 4.0
    ack: float = 6.0
    drain: float = 3.0
    grace: float = 6.0
    apply: float = 3.0
    evacuate: float = 5.0
    revoke: float = 5.0
    fail_closed: bool = False
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 0.0
    quota_window: float = 5.0
    quota_overrun: float = 0.0
    quota_slack: float = 0.0
    warmup_overrun: float = 1.0
    warmup_slack: float = 0.0
    ttl_max: float = 5.0


BOUNDS = {  # field: name in `slo`, whether it is a time
    "contact": ("contact", True),
    "ack": ("ack", True),
    "drain": ("drain", True),
    "grace": ("grace", True),
    "apply": ("apply", True),
    "evacuate": ("evacuate", True),
    "revoke": ("revoke", True),
    "retry_ratio": ("retryRatio", False),
    "retry_window": ("retryWindow", True),
    "retry_slack": ("retrySlack", False),
    "quota_window": ("quotaWindow", True),
    "quota_overrun": ("quotaOverrun", False),
    "quota_slack": ("quotaSlack", False),
    "warmup_overrun": ("warmupOverrun", False),
    "warmup_slack": ("warmupSlack", False),
    "ttl_max": ("ttl_max", True),
}


@dataclass(frozen=True, slots=True)
class Settings:
    name: str
    role: str
    ip: str
    zone: str
    region: str
    serves: frozenset[str]
    listen: dict[str, Address]  # by what is served there: http, readyz, ctl, dir
    ports: tuple[int, int]  # for what the system's processes say to one another
    seeds: tuple[Address, ...]  # `ctl` addresses of machines that serve it
    zones: dict[str, str]  # their regions
    bootstrap: bool
    state_dir: Path | None  # the folder that lasts, on a machine with a disk
    heartbeat_interval_s: float  # s between the beats of a server
    memory_mb: float
    max_open_files: int
    bounds: Bounds = field(default_factory=Bounds)
    tolerance: Tolerance = field(default_factory=Tolerance)

    @property
    def own_port(self) -> int:
        """Those with a disk take the first port of the range, the others the second: two roles may
        share a machine."""
        return self.ports[0] + (0 if self.state_dir else 1)

    def core_address(self, ctl: Address) -> Address:
        """Ports are alike on all machines."""
        return ctl[0], self.ports[0]


TEXT: Any = And(str, len)
TIME: Any = Use(parse_duration)
NUMBER: Any = And(Or(int, float), lambda n: not isinstance(n, bool) and n >= 0)
FIELDS: dict[str, Any] = {  # path: what stands there
    "self.hostname": TEXT,
    "self.role": TEXT,
    "self.ip": TEXT,
    "self.zone": TEXT,
    "self.region": TEXT,
    "self.serves": [Or("edge", "ctl", "dir", str)],
    "self.bootstrap": bool,
    "self.stateDir": Or(None, TEXT),
    "self.limits.memMb": NUMBER,
    "self.limits.nofile": And(int, lambda n: n > 0),
    "network.listen": {Optional(str): Use(parse_address)},
    "network.portRange": And(
        [And(int, lambda n: 0 < n < 65536)], lambda r: len(r) == 2 and r[0] < r[1]
    ),
    "network.peers": [Use(parse_address)],
    "network.zones": {Optional(str): TEXT},
    "infra.heartbeat": TIME,
}
NEEDED = {"edge": ("http", "readyz"), "ctl": ("ctl",), "dir": ("dir",)}


def parse_settings(raw: Any) -> Settings:
    """The settings of a file that was read, or SettingsError with all that is wrong."""
    errors: list[str] = []
    found: dict[str, Any] = {}
    for path, rule in FIELDS.items():
        value = raw
        for key in path.split("."):
            value = value.get(key, errors) if isinstance(value, dict) else errors
        if value is errors:
            errors.append(f"{path}: is missing")
            continue
        try:
            found[path] = Schema(rule).validate(value)
        except SchemaError as error:
            errors.append(f"{path}: {_message(error)}")
    bounds = _bounds(raw, errors)
    tolerance = _tolerance(raw, errors)
    for what in found.get("self.serves", ()):
        for name in NEEDED.get(what, ()):
            if "network.listen" in found and name not in found["network.listen"]:
                errors.append(f"network.listen.{name}: is missing, as {what} is served")
    if errors:
        raise SettingsError(errors)
    state = found["self.stateDir"]
    return Settings(
        found["self.hostname"],
        found["self.role"],
        found["self.ip"],
        found["self.zone"],
        found["self.region"],
        frozenset(found["self.serves"]),
        found["network.listen"],
        (found["network.portRange"][0], found["network.portRange"][1]),
        tuple(found["network.peers"]),
        found["network.zones"],
        found["self.bootstrap"],
        Path(state) if state else None,
        found["infra.heartbeat"],
        float(found["self.limits.memMb"]),
        found["self.limits.nofile"],
        bounds,
        tolerance,
    )


def _message(error: SchemaError) -> str:
    texts = [str(t) for t in error.autos if t] or [str(error)]
    return texts[-1].replace("\n", " ")


def _bounds(raw: Any, errors: list[str]) -> Bounds:
    """What `slo` does not name keeps its default: parts of the rules may not be in force."""
    sla = raw.get("sla") if isinstance(raw, dict) else None
    slo = sla.get("slo", {}) if isinstance(sla, dict) else {}
    if not isinstance(slo, dict):
        errors.append("sla.slo: is no object")
        return Bounds()
    values: dict[str, Any] = {}
    for name, (key, is_time) in BOUNDS.items():
        if key in slo:
            try:
                values[name] = Schema(TIME if is_time else NUMBER).validate(slo[key])
            except SchemaError as error:
                errors.append(f"sla.slo.{key}: {_message(error)}")
    if "failClosed" in slo:
        if not isinstance(slo["failClosed"], bool):
            errors.append(f"sla.slo.failClosed: {slo['failClosed']!r} is neither true nor false")
        else:
            values["fail_closed"] = slo["failClosed"]
    return Bounds(**values)


def _tolerance(raw: Any, errors: list[str]) -> Tolerance:
    """What may be lost at once: one of each, where nothing is said."""
    sla = raw.get("sla") if isinstance(raw, dict) else None
    told = sla.get("tolerance", {}) if isinstance(sla, dict) else {}
    if not isinstance(told, dict):
        errors.append("sla.tolerance: is no object")
        return Tolerance()
    values: dict[str, int] = {}
    for name in ("nodes", "zones", "regions"):
        count = told.get(name, 1)
        if not isinstance(count, int) or isinstance(count, bool) or count < 0:
            errors.append(f"sla.tolerance.{name}: {count!r} is no whole number")
        else:
            values[name] = count
    return Tolerance(**values)


def read_settings(path: str) -> Settings:
    """Of a file. Raises SettingsError."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path or 'CAIRNDALE_CONFIG'}: {error}"]) from None
    return parse_settings(raw)
