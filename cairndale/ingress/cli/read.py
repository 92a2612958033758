"""Reads `ironledge.toml` (or the same as JSON) into the model, and converts between the model and
the platform format.

The platform format is the JSON that `cairndale/ingress/net/config.py` reads."""

from __future__ import annotations

import dataclasses
import json
import os
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, UnsetType

from cairndale.ingress.cli.checked import (
    convert,
    join_key,
    line_of_key,
    list_item_struct,
    struct_type,
    without_none,
)
from cairndale.ingress.cli.model import Config, Duration, Size, decode_hook, to_builtins
from cairndale.ingress.net.requests import FieldError, read_timeout

MAX_FILE_BYTES = 4 << 20
ENV_PREFIX = "IRONLEDGE_"


class InvalidConfigError(Exception):
    """All errors of a configuration, one line each: `FILE:LINE: KEY: REASON`."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedConfig:
    """A valid configuration, and where its values come from."""

    config: Config
    origins: dict[str, str]  # key: the source of its value, if it is not the default
    path: str


def read_text(path: Path) -> str:
    """The file's text.

    Raises InvalidConfigError for a missing file, a directory, a pipe, an encoding other than UTF-8,
    or a file that is too large."""
    try:
        if path.exists() and not path.is_file():
            raise InvalidConfigError([f"{path}: not a regular file"])
        data = path.read_bytes()
    except OSError as error:
        raise InvalidConfigError([f"{path}: {error.strerror}"]) from None
    if len(data) > MAX_FILE_BYTES:
        raise InvalidConfigError(
            [f"{path}: {len(data)} bytes exceed the limit of {MAX_FILE_BYTES} bytes"]
        )
    try:
        return data.decode("utf-8-sig")  # skips a byte-order mark
    except UnicodeDecodeError as error:
        raise InvalidConfigError([f"{path}: not UTF-8 at byte {error.start}"]) from None


def parse_text(path: Path, text: str) -> dict[str, Any]:
    """Parses TOML, or JSON if the path ends in `.json`. Raises InvalidConfigError."""
    try:
        as_json = path.suffix == ".json"
        raw = json.loads(text, parse_constant=_reject_constant) if as_json else tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigError([f"{path}: {error}"]) from None
    if not isinstance(raw, dict):
        raise InvalidConfigError([f"{path}: expected a table at the top level"])
    return raw


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a valid number")


def load(
    path: str, overrides: tuple[str, ...] = (), env: Mapping[str, str] | None = None
) -> LoadedConfig:
    """Reads the file, then the environment (`IRONLEDGE_LIMITS__SOCKETS=512`), then `overrides`
    (`limits.sockets=512`); the latest value of a key wins.

    Raises InvalidConfigError with every error."""
    file = Path(path)
    text = read_text(file)
    raw = parse_text(file, text)
    errors: list[str] = []
    origins = dict.fromkeys(_leaf_keys(raw), str(path))
    environment = os.environ if env is None else env
    for name, value in sorted(environment.items()):
        if name.startswith(ENV_PREFIX):
            key = name.removeprefix(ENV_PREFIX).lower().replace("__", ".")
            _override(raw, key, value, name, errors, origins)
    for override in overrides:
        key, equals, value = override.partition("=")
        if not equals:
            errors.append(f"--set {override}: expected KEY=VALUE")
        else:
            _override(raw, key, value, f"--set {override}", errors, origins)
    config: Config | UnsetType = convert(raw, Config, "", errors, decode_hook)
    if isinstance(config, Config):
        errors += _cross_key_errors(config)
    if errors or not isinstance(config, Config):
        raise InvalidConfigError([_with_location(e, file, text) for e in errors])
    return LoadedConfig(config, origins, str(path))


def _with_location(error: str, file: Path, text: str) -> str:
    if error.startswith(("--set", ENV_PREFIX)):
        return error
    line = line_of_key(text, error.partition(":")[0]) if file.suffix != ".json" else 0
    return f"{file}:{line}: {error}" if line else f"{file}: {error}"


def _leaf_keys(raw: dict[str, Any], parent: str = "") -> Iterator[str]:
    for key, value in raw.items():
        if isinstance(value, dict):
            yield from _leaf_keys(value, join_key(parent, key))
        else:
            yield join_key(parent, key)


def _override(
    raw: dict[str, Any],
    key: str,
    text: str,
    origin: str,
    errors: list[str],
    origins: dict[str, str],
) -> None:
    """Sets one key of `raw` from text; the conversion to the model checks the value."""
    kind: Any = Config
    *parents, last = key.split(".")
    table: Any = raw
    for part in parents:
        field = _field(kind, part)
        kind = without_none(field.type) if field else None
        if kind is None or struct_type(kind) is None:
            errors.append(f"{origin}: {key}: only single keys of tables can be set this way")
            return
        table = table.setdefault(part, {})
        if not isinstance(table, dict):
            return  # the file has no table there, which `convert` reports
    field = _field(kind, last)
    if field is None or list_item_struct(field.type) or struct_type(without_none(field.type)):
        errors.append(f"{origin}: {key}: not a known single key")
        return
    value: Any = text
    if text in ("true", "false"):
        value = text == "true"
    else:
        for number in (int, float):
            try:
                value = number(text)
                break
            except ValueError:
                continue
    table[last], origins[key] = value, origin


def _field(kind: Any, key: str) -> Any:
    struct = struct_type(kind)
    return (
        next((f for f in msgspec.structs.fields(struct) if f.encode_name == key), None)
        if struct
        else None
    )


def _cross_key_errors(config: Config) -> Iterator[str]:
    """Errors that concern several keys."""
    for table, names in (
        ("server", [s.name for s in config.server]),
        ("class", [k.name for k in config.class_]),
        ("plan", [p.name for p in config.plan]),
    ):
        first_by_name: dict[str, int] = {}  # names are compared without case
        for number, name in enumerate(names):
            if name.lower() in first_by_name:
                yield (
                    f"{table}[{number}].name: {name!r} is already the name of "
                    f"{table}[{first_by_name[name.lower()]}]"
                )
            first_by_name.setdefault(name.lower(), number)
    first_by_path: dict[str, int] = {}
    for number, request_class in enumerate(config.class_):
        if request_class.path in first_by_path:
            yield (
                f"class[{number}].path: {request_class.path!r} is already the path of "
                f"class[{first_by_path[request_class.path]}]"
            )
        first_by_path.setdefault(request_class.path, number)
        if not 0 < request_class.aim <= request_class.deadline:
            aim, deadline = to_builtins(request_class.aim), to_builtins(request_class.deadline)
            yield (
                f"class[{number}].aim: {aim} must be greater than 0 "
                f"and at most the deadline, {deadline}"
            )
    if not config.class_:
        yield "class: at least one is required"
    plans = {p.name for p in config.plan}
    if not plans:
        yield "plan: at least one is required"
    for number, plan in enumerate(config.plan):
        if plan.rate and plan.burst < 1:
            yield (
                f"plan[{number}].burst: found {plan.burst:g}; "
                "a plan with a rate needs a burst of at least 1, or no request fits"
            )
        if bool(plan.ceiling_rate) != bool(plan.ceiling_burst):
            yield (
                f"plan[{number}].ceiling_rate: ceiling_rate and ceiling_burst must be set together"
            )
        elif plan.ceiling_rate and (
            plan.ceiling_rate < plan.rate or plan.ceiling_burst < plan.burst
        ):
            yield f"plan[{number}].ceiling_rate: the hard rate limit is below the quota"
    for customer, name in config.customers.items():
        if name not in plans:
            yield (
                f"customers.{customer}: unknown plan {name!r}; "
                f"known plans: {', '.join(sorted(plans))}"
            )
    source_kind, _, constant = config.request.plan.partition(":")
    if source_kind == "constant" and constant not in plans:
        yield f"request.plan: unknown plan {constant!r}; known plans: {', '.join(sorted(plans))}"
    source_kind, _, constant = config.request.timeout.partition(":")
    if source_kind == "constant":
        try:
            read_timeout(constant.encode())
        except FieldError as error:
            yield f"request.timeout: {error}"
    source_kind, _, constant = config.request.units.partition(":")
    if source_kind == "constant" and not _is_positive_number(constant):
        yield f"request.units: found {constant!r}: expected a number greater than 0"
    if not config.server and config.discovery is None:
        yield "server: no servers are listed, and discovery is not configured"
    for number, server in enumerate(config.server):
        if server.zone and server.zone not in config.fleet.zones:
            yield f"server[{number}].zone: {server.zone!r} is not in fleet.zones"
    if config.fleet.zone and config.fleet.zone not in config.fleet.zones:
        yield f"fleet.zone: {config.fleet.zone!r} is not in fleet.zones"
    if config.fleet.number >= config.fleet.gateways:
        yield (
            f"fleet.number: {config.fleet.number} is not less than "
            f"fleet.gateways, {config.fleet.gateways}"
        )
    if config.metrics.on and config.ops is None:
        yield "metrics.on: requires the operators' address (ops)"
    if config.ops is not None and config.ops == config.listen and not config.ops.endswith(":0"):
        yield "ops: must differ from the clients' address (listen)"


def _is_positive_number(text: str) -> bool:
    try:
        return 0 < float(text) < 1e9
    except ValueError:
        return False


def to_platform(config: Config) -> dict[str, Any]:
    """The configuration in the platform format, extended by `request`."""
    zone = config.fleet.zone or config.fleet.zones[0]
    settings = {
        "me": config.fleet.number,
        "fleet_size": config.fleet.gateways,
        "my_zone": config.fleet.zones.index(zone),
        "period": 0,
        "failure_domains": config.fleet.zones,
        "flavors": ["server"],
        "services": [
            {
                "name": k.name,
                "on_time": int(k.aim),
                "deadline": int(k.deadline),
                "semantics": {"safe": "retryable", "unsafe": "fragile"}[k.repeat],
            }
            for k in config.class_
        ],
        "contracts": [
            {
                "name": p.name,
                "quota_rate": p.rate,
                "burst": p.burst,
                "at_once": p.at_once,
                "never_over_rate": p.ceiling_rate,
                "never_over_depth": p.ceiling_burst,
                "tolerance": 0.0,
            }
            for p in config.plan
        ],
        "ceilings": {
            "max_attempts": config.limits.max_attempts,
            "may_duplicate": config.limits.second_copies,
            "cancel": config.limits.cancel,
            "retry_after": config.limits.retry_after,
            "max_open": config.limits.max_open,
            "max_retry_after": int(config.limits.max_retry_after),
            "connect_timeout": int(config.limits.connect_timeout),
            "conn_idle": int(config.limits.idle),
        },
        "safety": {
            "answer_slack": 16_000,
            "drain_grace": 250_000,
            "cold_share": 1.0,
            "ramp_time": 1,
            "tip_multiple": 1000.0,
            "fall": 1,
        },
        "telemetry": {"fields": [], "via": "off"},
        "domain": {
            "may_count": config.counter is not None,
            "count_wait": int(config.counter.timeout) if config.counter else 0,
        },
    }
    platform: dict[str, Any] = {
        "name": config.name,
        "listen": str(config.listen),
        "discovery": str(config.discovery.address) if config.discovery else None,
        "seed": os.urandom(8).hex(),
        "ops": str(config.ops) if config.ops else None,
        "counter": str(config.counter.address) if config.counter else None,
        "limits": {"memory_mb": config.limits.memory / 1e6, "sockets": config.limits.sockets},
        "pool": {
            "age_s": config.pool.age / 1e6,
            "requests": config.pool.requests,
            "queue": config.pool.queue,
            "warm": config.pool.warm,
            "server_share": config.pool.server_share,
        },
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": s.name,
                    "address": str(s.address),
                    "status": "up",
                    "zone": s.zone or config.fleet.zones[0],
                    "type": "server",
                    "weight": s.weight,
                }
                for s in config.server
            ],
        },
        "settings": settings,
        "request": {
            "customer": str(config.request.customer),
            "plan": str(config.request.plan),
            "timeout": str(config.request.timeout),
            "units": str(config.request.units),
            "customers": config.customers,
            "paths": {k.path: k.name for k in config.class_},
        },
    }
    if config.discovery:
        platform["directory"] = {
            "addresses": [str(a) for a in config.discovery.more],
            "shrink": config.discovery.shrink,
            "hold_s": config.discovery.hold / 1e6,
        }
    return platform


def from_platform(raw: dict[str, Any]) -> Config:
    """The model of a configuration in the platform format. Drops what the model has no key for.
    Raises InvalidConfigError."""
    try:
        settings, limits = raw["settings"], raw.get("limits", {})
        ceilings, zones = settings["ceilings"], settings.get("failure_domains") or ["here"]
        values: dict[str, Any] = {
            "listen": raw["listen"],
            "name": raw.get("name", "ironledge"),
            "fleet": {
                "gateways": settings["fleet_size"],
                "number": settings["me"],
                "zones": zones,
                "zone": zones[settings.get("my_zone", 0)],
            },
            "limits": {
                "memory": to_builtins(Size(int(limits.get("memory_mb", 64) * 1e6))),
                "sockets": max(64, limits.get("sockets", 1024)),
                "max_open": ceilings.get("max_open", 0),
                "max_attempts": ceilings.get("max_attempts", 1),
                "second_copies": ceilings.get("may_duplicate", False),
                "cancel": ceilings.get("cancel", False),
                "retry_after": ceilings.get("retry_after", False),
                "connect_timeout": to_builtins(Duration(ceilings.get("connect_timeout", 250_000))),
                "idle": to_builtins(Duration(ceilings.get("conn_idle", 15_000_000))),
                "max_retry_after": to_builtins(Duration(ceilings.get("max_retry_after", 0))),
            },
            "server": [
                {
                    "name": e["name"],
                    "address": e["address"],
                    "zone": e.get("zone", ""),
                    "weight": e.get("weight", 1.0),
                }
                for e in (raw.get("known") or {}).get("endpoints", ())
                if e["status"] == "up"
            ],
            "class": [
                {
                    "name": k["name"],
                    "path": f"/{k['name']}",
                    "aim": to_builtins(Duration(k["on_time"])),
                    "deadline": to_builtins(Duration(k["deadline"])),
                    "repeat": "safe" if k["semantics"] == "retryable" else "unsafe",
                }
                for k in settings["services"]
            ],
            "plan": [
                {
                    "name": p["name"],
                    "rate": p.get("quota_rate", 0),
                    "burst": p.get("burst", 0),
                    "at_once": p.get("at_once", 0),
                    "ceiling_rate": p.get("never_over_rate", 0),
                    "ceiling_burst": p.get("never_over_depth", 0),
                }
                for p in settings["contracts"]
            ],
            "request": {
                "customer": "cookie:customer",
                "plan": "header:X-Plan",
                "timeout": "header:Request-Timeout",
                "units": "header:X-Units",
            },
        }
        if raw.get("ops"):
            values["ops"] = raw["ops"]
        if raw.get("discovery"):
            values["discovery"] = {"address": raw["discovery"]}
        if raw.get("counter"):
            timeout = settings.get("domain", {}).get("count_wait", 30_000)
            values["counter"] = {
                "address": raw["counter"],
                "timeout": to_builtins(Duration(timeout)),
            }
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise InvalidConfigError([f"not in the platform format: {error!r}"]) from None
    errors: list[str] = []
    config: Config | UnsetType = convert(values, Config, "", errors, decode_hook)
    if isinstance(config, Config):
        errors += _cross_key_errors(config)
    if errors or not isinstance(config, Config):
        raise InvalidConfigError(errors)
    return config


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Every key of a model that is set, by its dotted path, with its value as written in a file."""
    if isinstance(value, Struct):
        for field in msgspec.structs.fields(value):
            yield from flatten(getattr(value, field.name), join_key(path, field.encode_name))
    elif isinstance(value, list) and value and isinstance(value[0], Struct):
        for number, entry in enumerate(value):
            yield from flatten(entry, f"{path}[{number}]")
    elif value is not None:
        yield path, to_builtins(value)


def differences(old: Config, new: Config) -> list[tuple[str, Any, Any]]:
    """Keys whose values differ, with both values; None: the key is not set."""
    old_values, new_values = dict(flatten(old)), dict(flatten(new))
    keys = [*old_values, *(k for k in new_values if k not in old_values)]
    return [
        (k, old_values.get(k), new_values.get(k))
        for k in keys
        if old_values.get(k) != new_values.get(k)
    ]
