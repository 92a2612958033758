"""The settings file of a process, validated as a whole; all errors are reported at once.

Unknown fields are ignored, so that several programs can share one file.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from schema import And, Optional, Or, Schema, SchemaError, Use

from cairndale.raft.voters import Tolerance

MAX_DURATION_S = 10 * 365 * 24 * 3600.0
MAX_NUMBER = 1e12  # of requests, of a ratio, or MB
MAX_OPEN_FILES = 1 << 30
DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
ADDRESS = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})")

Address = tuple[str, int]  # IPv4 address and port


class SettingsError(ValueError):
    """The settings are invalid.

    Attributes:
        errors: all errors, each with its path in the file.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def parse_duration(text: object) -> float:
    """Return the seconds of a duration such as `1500ms` or `2.5s`. Raises ValueError.

    A duration above `MAX_DURATION_S` means the same as this: timers and clocks have room for it.
    """
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is no time such as 1500ms or 2.5s")
    return min(MAX_DURATION_S, float(match[1]) / (1000 if match[2] == "ms" else 1))


def parse_address(text: object) -> Address:
    """Parse an address such as `10.1.0.8:8200`. Raises ValueError."""
    match = ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None or not 0 < int(match[2]) < 65536:
        raise ValueError(f"{text!r} is no address such as 10.1.0.8:8200")
    return match[1], int(match[2])


def format_address(address: Address) -> str:
    """Return the text of an address, in the form that `parse_address` accepts."""
    ip, port = address
    return f"{ip}:{port}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """The service level objectives of the system: `sla.slo` in the settings file.

    `contact`, `drain`, `apply`, `evacuate`, `revoke` (s) and `fail_closed` are validated and kept,
    but no decision of this program depends on them.

    Attributes:
        ack: s for a change to reach every ingress before its call fails.
        grace: s from SIGTERM to the end of a process.
        retry_ratio: retries allowed per request.
        retry_window: s over which retries are counted.
        retry_slack: retries allowed above the ratio.
        quota_window: s over which a tenant's requests are counted.
        quota_overrun: requests allowed above a quota, as a fraction of it.
        quota_slack: requests allowed above that.
        warmup_overrun: requests allowed to a server in slow start, per request that it can handle.
        warmup_slack: requests allowed above that.
        ttl_max: s that a client may cache a lookup response, at most.
    """

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


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of a process and of the system.

    Attributes:
        name: name of the machine.
        role: role of the machine, as operators call it.
        ip: IPv4 address of the machine.
        zone: zone (failure domain) of the machine.
        region: region of the zone.
        serves: services of the process: `edge`, `ctl`, `dir`.
        listen: listening addresses, by listener: `http`, `readyz`, `ctl`, `dir`.
        ports: the range for calls between the system's own processes.
        seeds: `ctl` addresses of the initial control nodes.
        zones: the region of each zone.
        bootstrap: whether this process bootstraps the control cluster with the seeds.
        state_dir: directory of the replicated state; None on a machine without a disk.
        heartbeat_interval_s: s between two heartbeats of a server.
        memory_mb: memory limit of the process, in MB.
        max_open_files: file descriptor limit of the process.
        bounds: the service level objectives.
        tolerance: the simultaneous failures that the system must tolerate.
    """

    name: str
    role: str
    ip: str
    zone: str
    region: str
    serves: frozenset[str]
    listen: dict[str, Address]
    ports: tuple[int, int]
    seeds: tuple[Address, ...]
    zones: dict[str, str]
    bootstrap: bool
    state_dir: Path | None
    heartbeat_interval_s: float
    memory_mb: float
    max_open_files: int
    bounds: Bounds = field(default_factory=Bounds)
    tolerance: Tolerance = field(default_factory=Tolerance)

    @property
    def own_port(self) -> int:
        """The port for calls of the system's other processes.

        Control nodes use the first port of the range and data-plane nodes the second, as both may
        run on one machine.
        """
        return self.ports[0] + (0 if self.state_dir else 1)

    def core_address(self, ctl: Address) -> Address:
        """Return a control node's address for RPC; all machines use the same port range."""
        return ctl[0], self.ports[0]


def _labelled(label: str, function: Callable[[Any], Any]) -> Callable[[Any], Any]:
    """Return the function under another name, which the schema uses in its error messages.

    Operators know these messages, so they must not change with the names in the code.
    """

    def call(value: Any) -> Any:
        return function(value)

    call.__name__ = label
    return call


_TEXT: Any = And(str, len)
_DURATION: Any = Use(_labelled("seconds", parse_duration))
_ADDRESS: Any = Use(_labelled("address", parse_address))
_NUMBER: Any = And(
    Or(int, float),
    lambda n: not isinstance(n, bool) and n >= 0,
    Use(lambda n: min(n, MAX_NUMBER)),  # a larger one means the same, and sums stay finite
)
_PORT: Any = And(int, lambda n: 0 < n < 65536)
_FIELDS: dict[str, Any] = {  # by path in the file
    "self.hostname": _TEXT,
    "self.role": _TEXT,
    "self.ip": _TEXT,
    "self.zone": _TEXT,
    "self.region": _TEXT,
    "self.serves": [Or("edge", "ctl", "dir", str)],
    "self.bootstrap": bool,
    "self.stateDir": Or(None, _TEXT),
    "self.limits.memMb": _NUMBER,
    "self.limits.nofile": And(int, lambda n: n > 0, Use(lambda n: min(n, MAX_OPEN_FILES))),
    "network.listen": {Optional(str): _ADDRESS},
    "network.portRange": And([_PORT], lambda r: len(r) == 2 and r[0] < r[1]),
    "network.peers": [_ADDRESS],
    "network.zones": {Optional(str): _TEXT},
    "infra.heartbeat": _DURATION,
}
_LISTENERS = {"edge": ("http", "readyz"), "ctl": ("ctl",), "dir": ("dir",)}  # by service
_SLO_FIELDS: dict[str, tuple[str, Any]] = {  # by name in `sla.slo`: the attribute of Bounds
    "contact": ("contact", _DURATION),
    "ack": ("ack", _DURATION),
    "drain": ("drain", _DURATION),
    "grace": ("grace", _DURATION),
    "apply": ("apply", _DURATION),
    "evacuate": ("evacuate", _DURATION),
    "revoke": ("revoke", _DURATION),
    "retryRatio": ("retry_ratio", _NUMBER),
    "retryWindow": ("retry_window", _DURATION),
    "retrySlack": ("retry_slack", _NUMBER),
    "quotaWindow": ("quota_window", _DURATION),
    "quotaOverrun": ("quota_overrun", _NUMBER),
    "quotaSlack": ("quota_slack", _NUMBER),
    "warmupOverrun": ("warmup_overrun", _NUMBER),
    "warmupSlack": ("warmup_slack", _NUMBER),
    "ttl_max": ("ttl_max", _DURATION),
}
_MISSING = object()


def read_settings(path: str) -> Settings:
    """Read the settings from a file. Raises SettingsError."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path or 'CAIRNDALE_CONFIG'}: {error}"]) from error
    return parse_settings(raw)


def parse_settings(raw: Any) -> Settings:
    """Return the settings from a file's parsed JSON. Raises SettingsError with all errors."""
    errors: list[str] = []
    values = _read_fields(raw, errors)
    bounds = _read_bounds(raw, errors)
    tolerance = _read_tolerance(raw, errors)
    errors += _listener_errors(values)
    if errors:
        raise SettingsError(errors)
    first_port, last_port = values["network.portRange"]
    state_dir = values["self.stateDir"]
    return Settings(
        name=values["self.hostname"],
        role=values["self.role"],
        ip=values["self.ip"],
        zone=values["self.zone"],
        region=values["self.region"],
        serves=frozenset(values["self.serves"]),
        listen=values["network.listen"],
        ports=(first_port, last_port),
        seeds=tuple(values["network.peers"]),
        zones=values["network.zones"],
        bootstrap=values["self.bootstrap"],
        state_dir=Path(state_dir) if state_dir else None,
        heartbeat_interval_s=values["infra.heartbeat"],
        memory_mb=float(values["self.limits.memMb"]),
        max_open_files=values["self.limits.nofile"],
        bounds=bounds,
        tolerance=tolerance,
    )


def _read_fields(raw: Any, errors: list[str]) -> dict[str, Any]:
    """Return the valid values by path; append an error for each other field."""
    values: dict[str, Any] = {}
    for path, rule in _FIELDS.items():
        value = _look_up(raw, path)
        if value is _MISSING:
            errors.append(f"{path}: is missing")
            continue
        try:
            values[path] = Schema(rule).validate(value)
        except SchemaError as error:
            errors.append(f"{path}: {_message(error)}")
    return values


def _look_up(raw: Any, path: str) -> Any:
    value = raw
    for key in path.split("."):
        value = value.get(key, _MISSING) if isinstance(value, dict) else _MISSING
    return value


def _message(error: SchemaError) -> str:
    """Return the innermost message of a schema's error, in one line."""
    texts = [str(text) for text in error.autos if text] or [str(error)]
    return texts[-1].replace("\n", " ")


def _listener_errors(values: Mapping[str, Any]) -> list[str]:
    if "network.listen" not in values:
        return []
    return [
        f"network.listen.{name}: is missing, as {served} is served"
        for served in values.get("self.serves", ())
        for name in _LISTENERS.get(served, ())
        if name not in values["network.listen"]
    ]


def _read_sla_section(raw: Any, name: str, errors: list[str]) -> dict[str, Any]:
    """Return an object below `sla`; empty if there is none."""
    sla = raw.get("sla") if isinstance(raw, dict) else None
    section = sla.get(name, {}) if isinstance(sla, dict) else {}
    if isinstance(section, dict):
        return section
    errors.append(f"sla.{name}: is no object")
    return {}


def _read_bounds(raw: Any, errors: list[str]) -> Bounds:
    """Return the objectives; one that is missing in the file, as not in force, has its default."""
    slo = _read_sla_section(raw, "slo", errors)
    values: dict[str, Any] = {}
    for key, (name, rule) in _SLO_FIELDS.items():
        if key not in slo:
            continue
        try:
            values[name] = Schema(rule).validate(slo[key])
        except SchemaError as error:
            errors.append(f"sla.slo.{key}: {_message(error)}")
    fail_closed = slo.get("failClosed", False)
    if isinstance(fail_closed, bool):
        values["fail_closed"] = fail_closed
    else:
        errors.append(f"sla.slo.failClosed: {fail_closed!r} is neither true nor false")
    return Bounds(**values)


def _read_tolerance(raw: Any, errors: list[str]) -> Tolerance:
    """Return the tolerated failures; the default is one of each kind."""
    section = _read_sla_section(raw, "tolerance", errors)
    counts: dict[str, int] = {}
    for name in ("nodes", "zones", "regions"):
        count = section.get(name, 1)
        if not isinstance(count, int) or isinstance(count, bool) or count < 0:
            errors.append(f"sla.tolerance.{name}: {count!r} is no whole number")
        else:
            counts[name] = count
    return Tolerance(**counts)
