"""`ironledge.toml` (or the same as JSON) into the model, and the model into what the ingress runs
on."""

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

from cairndale.ingress.cli.checked import at, line_of, list_of, plain, sound, struct_of
from cairndale.ingress.cli.model import Config, Duration, Size, hook, written
from cairndale.ingress.net.requests import FieldError, read_timeout

MOST = 4 << 20  # bytes of a configuration
PREFIX = "IRONLEDGE_"


class ConfigErrors(Exception):
    """All that is wrong: `FILE:LINE: KEY: REASON` a line."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    config: Config
    origins: dict[str, str]  # key: where its value comes from, if not from the defaults
    path: str


def text_of(path: Path) -> str:
    """The file's text. Raises ConfigErrors for a folder, a pipe, another encoding, too large a
    file."""
    try:
        if path.exists() and not path.is_file():
            raise ConfigErrors([f"{path}: is no regular file"])
        data = path.read_bytes()
    except OSError as error:
        raise ConfigErrors([f"{path}: {error.strerror}"]) from None
    if len(data) > MOST:
        raise ConfigErrors([f"{path}: {len(data)} bytes; {MOST} at the most"])
    try:
        return data.decode("utf-8-sig")  # a byte-order mark is no part of it
    except UnicodeDecodeError as error:
        raise ConfigErrors([f"{path}: not UTF-8 at byte {error.start}"]) from None


def raw_of(path: Path, text: str) -> dict[str, Any]:
    try:
        as_json = path.suffix == ".json"
        raw = json.loads(text, parse_constant=_no_constant) if as_json else tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigErrors([f"{path}: {error}"]) from None
    if not isinstance(raw, dict):
        raise ConfigErrors([f"{path}: a table is wanted at the top"])
    return raw


def _no_constant(text: str) -> Any:
    raise ValueError(f"{text} is no number here")


def read(path: str, set_: tuple[str, ...] = (), env: Mapping[str, str] | None = None) -> Read:
    """The file, then the environment (`IRONLEDGE_LIMITS__SOCKETS=512`), then `set_`
    (`limits.sockets=512`); the later wins. Raises ConfigErrors with every error at once."""
    file = Path(path)
    text = text_of(file)
    raw = raw_of(file, text)
    errors: list[str] = []
    origins = dict.fromkeys(_leaves(raw), str(path))
    given = os.environ if env is None else env
    for name, value in sorted(given.items()):
        if name.startswith(PREFIX):
            key = name.removeprefix(PREFIX).lower().replace("__", ".")
            _override(raw, key, value, name, errors, origins)
    for entry in set_:
        key, equals, value = entry.partition("=")
        if not equals:
            errors.append(f"--set {entry}: KEY=VALUE is wanted")
        else:
            _override(raw, key, value, f"--set {entry}", errors, origins)
    found: Config | UnsetType = sound(raw, Config, "", errors, hook)
    if isinstance(found, Config):
        errors += _crossed(found)
    if errors or not isinstance(found, Config):
        raise ConfigErrors([_placed(e, file, text) for e in errors])
    return Read(found, origins, str(path))


def _placed(error: str, file: Path, text: str) -> str:
    if error.startswith(("--set", PREFIX)):
        return error
    line = line_of(text, error.partition(":")[0]) if file.suffix != ".json" else 0
    return f"{file}:{line}: {error}" if line else f"{file}: {error}"


def _leaves(raw: dict[str, Any], where: str = "") -> Iterator[str]:
    for key, value in raw.items():
        if isinstance(value, dict):
            yield from _leaves(value, at(where, key))
        else:
            yield at(where, key)


def _override(
    raw: dict[str, Any], key: str, text: str, by: str, errors: list[str], origins: dict[str, str]
) -> None:
    kind: Any = Config
    *parents, last = key.split(".")
    table: Any = raw
    for part in parents:
        field = _field(kind, part)
        kind = plain(field.type) if field else None
        if kind is None or struct_of(kind) is None:
            errors.append(f"{by}: {key}: only single keys of tables can be set so")
            return
        table = table.setdefault(part, {})
        if not isinstance(table, dict):
            return  # the file itself is wrong there, and is told so
    field = _field(kind, last)
    if field is None or list_of(field.type) or struct_of(plain(field.type)):
        errors.append(f"{by}: {key}: not known as a single key")
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
    table[last], origins[key] = value, by


def _field(kind: Any, key: str) -> Any:
    struct = struct_of(kind)
    return (
        next((f for f in msgspec.structs.fields(struct) if f.encode_name == key), None)
        if struct
        else None
    )


def _crossed(c: Config) -> Iterator[str]:
    """What no single key shows."""
    for what, names in (
        ("server", [s.name for s in c.server]),
        ("class", [k.name for k in c.class_]),
        ("plan", [p.name for p in c.plan]),
    ):
        folded: dict[str, int] = {}
        for number, name in enumerate(names):
            if name.lower() in folded:
                yield (
                    f"{what}[{number}].name: {name!r} stands for "
                    f"{what}[{folded[name.lower()]}] as well"
                )
            folded.setdefault(name.lower(), number)
    paths: dict[str, int] = {}
    for number, kind in enumerate(c.class_):
        if kind.path in paths:
            yield f"class[{number}].path: {kind.path!r} is class[{paths[kind.path]}]'s as well"
        paths.setdefault(kind.path, number)
        if not 0 < kind.aim <= kind.deadline:
            aim, deadline = written(kind.aim), written(kind.deadline)
            yield f"class[{number}].aim: {aim} is not over 0 and within the deadline, {deadline}"
    if not c.class_:
        yield "class: at least one is wanted"
    plans = {p.name for p in c.plan}
    if not plans:
        yield "plan: at least one is wanted"
    for number, plan in enumerate(c.plan):
        if plan.rate and plan.burst < 1:
            yield f"plan[{number}].burst: found {plan.burst:g}; with a rate no request fits under 1"
        if bool(plan.ceiling_rate) != bool(plan.ceiling_burst):
            yield f"plan[{number}].ceiling_rate: a ceiling has both a rate and a burst"
        elif plan.ceiling_rate and (
            plan.ceiling_rate < plan.rate or plan.ceiling_burst < plan.burst
        ):
            yield f"plan[{number}].ceiling_rate: the ceiling lies under the quota"
    for customer, name in c.customers.items():
        if name not in plans:
            yield f"customers.{customer}: no plan {name!r}; there are {', '.join(sorted(plans))}"
    way, _, constant = c.request.plan.partition(":")
    if way == "constant" and constant not in plans:
        yield f"request.plan: no plan {constant!r}; there are {', '.join(sorted(plans))}"
    way, _, constant = c.request.timeout.partition(":")
    if way == "constant":
        try:
            read_timeout(constant.encode())
        except FieldError as error:
            yield f"request.timeout: {error}"
    way, _, constant = c.request.units.partition(":")
    if way == "constant" and not _number(constant):
        yield f"request.units: found {constant!r}; a number over 0 is wanted"
    if not c.server and c.discovery is None:
        yield "server: none, and no discovery either"
    for number, server in enumerate(c.server):
        if server.zone and server.zone not in c.fleet.zones:
            yield f"server[{number}].zone: {server.zone!r} is not in fleet.zones"
    if c.fleet.zone and c.fleet.zone not in c.fleet.zones:
        yield f"fleet.zone: {c.fleet.zone!r} is not in fleet.zones"
    if c.fleet.number >= c.fleet.gateways:
        yield f"fleet.number: {c.fleet.number} of {c.fleet.gateways}, counted from 0"
    if c.metrics.on and c.ops is None:
        yield "metrics.on: there is no operators' address (ops) to ask at"
    if c.ops is not None and c.ops == c.listen and not c.ops.endswith(":0"):
        yield "ops: is the clients' address"


def _number(text: str) -> bool:
    try:
        return 0 < float(text) < 1e9
    except ValueError:
        return False


def platform(c: Config) -> dict[str, Any]:
    """The configuration as net/config.py takes it: the platform's form, and `request` beside it."""
    zone = c.fleet.zone or c.fleet.zones[0]
    settings = {
        "me": c.fleet.number,
        "fleet_size": c.fleet.gateways,
        "my_zone": c.fleet.zones.index(zone),
        "period": 0,
        "failure_domains": c.fleet.zones,
        "flavors": ["server"],
        "services": [
            {
                "name": k.name,
                "on_time": int(k.aim),
                "deadline": int(k.deadline),
                "semantics": {"safe": "retryable", "unsafe": "fragile"}[k.repeat],
            }
            for k in c.class_
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
            for p in c.plan
        ],
        "ceilings": {
            "max_attempts": c.limits.max_attempts,
            "may_duplicate": c.limits.second_copies,
            "cancel": c.limits.cancel,
            "retry_after": c.limits.retry_after,
            "max_open": c.limits.max_open,
            "max_retry_after": int(c.limits.max_retry_after),
            "connect_timeout": int(c.limits.connect_timeout),
            "conn_idle": int(c.limits.idle),
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
            "may_count": c.counter is not None,
            "count_wait": int(c.counter.timeout) if c.counter else 0,
        },
    }
    made: dict[str, Any] = {
        "name": c.name,
        "listen": str(c.listen),
        "discovery": str(c.discovery.address) if c.discovery else None,
        "seed": os.urandom(8).hex(),
        "ops": str(c.ops) if c.ops else None,
        "counter": str(c.counter.address) if c.counter else None,
        "limits": {"memory_mb": c.limits.memory / 1e6, "sockets": c.limits.sockets},
        "pool": {
            "age_s": c.pool.age / 1e6,
            "requests": c.pool.requests,
            "queue": c.pool.queue,
            "warm": c.pool.warm,
            "server_share": c.pool.server_share,
        },
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": s.name,
                    "address": str(s.address),
                    "status": "up",
                    "zone": s.zone or c.fleet.zones[0],
                    "type": "server",
                    "weight": s.weight,
                }
                for s in c.server
            ],
        },
        "settings": settings,
        "request": {
            "customer": str(c.request.customer),
            "plan": str(c.request.plan),
            "timeout": str(c.request.timeout),
            "units": str(c.request.units),
            "customers": c.customers,
            "paths": {k.path: k.name for k in c.class_},
        },
    }
    if c.discovery:
        made["directory"] = {
            "addresses": [str(a) for a in c.discovery.more],
            "shrink": c.discovery.shrink,
            "hold_s": c.discovery.hold / 1e6,
        }
    return made


def from_platform(raw: dict[str, Any]) -> Config:
    """The platform's JSON as the model, as that has a place for it. Raises ConfigErrors."""
    try:
        settings, limits = raw["settings"], raw.get("limits", {})
        ceilings, zones = settings["ceilings"], settings.get("failure_domains") or ["here"]
        found: dict[str, Any] = {
            "listen": raw["listen"],
            "name": raw.get("name", "ironledge"),
            "fleet": {
                "gateways": settings["fleet_size"],
                "number": settings["me"],
                "zones": zones,
                "zone": zones[settings.get("my_zone", 0)],
            },
            "limits": {
                "memory": written(Size(int(limits.get("memory_mb", 64) * 1e6))),
                "sockets": max(64, limits.get("sockets", 1024)),
                "max_open": ceilings.get("max_open", 0),
                "max_attempts": ceilings.get("max_attempts", 1),
                "second_copies": ceilings.get("may_duplicate", False),
                "cancel": ceilings.get("cancel", False),
                "retry_after": ceilings.get("retry_after", False),
                "connect_timeout": written(Duration(ceilings.get("connect_timeout", 250_000))),
                "idle": written(Duration(ceilings.get("conn_idle", 15_000_000))),
                "max_retry_after": written(Duration(ceilings.get("max_retry_after", 0))),
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
                    "aim": written(Duration(k["on_time"])),
                    "deadline": written(Duration(k["deadline"])),
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
            found["ops"] = raw["ops"]
        if raw.get("discovery"):
            found["discovery"] = {"address": raw["discovery"]}
        if raw.get("counter"):
            wait = settings.get("domain", {}).get("count_wait", 30_000)
            found["counter"] = {"address": raw["counter"], "timeout": written(Duration(wait))}
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise ConfigErrors([f"not the platform's form: {error!r}"]) from None
    errors: list[str] = []
    made: Config | UnsetType = sound(found, Config, "", errors, hook)
    if isinstance(made, Config):
        errors += _crossed(made)
    if errors or not isinstance(made, Config):
        raise ConfigErrors(errors)
    return made


def flat(value: Any, where: str = "") -> Iterator[tuple[str, Any]]:
    """Every key of a model with its value as it is written."""
    if isinstance(value, Struct):
        for field in msgspec.structs.fields(value):
            yield from flat(getattr(value, field.name), at(where, field.encode_name))
    elif isinstance(value, list) and value and isinstance(value[0], Struct):
        for number, entry in enumerate(value):
            yield from flat(entry, f"{where}[{number}]")
    elif value is not None:
        yield where, written(value)


def differences(a: Config, b: Config) -> list[tuple[str, Any, Any]]:
    """Keys whose values differ; None: it is not there."""
    before, after = dict(flat(a)), dict(flat(b))
    keys = [*before, *(k for k in after if k not in before)]
    return [(k, before.get(k), after.get(k)) for k in keys if before.get(k) != after.get(k)]
