"""The platform's configuration file, read and checked as a whole: at the start, and anew at
SIGHUP."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cairndale.ingress.net.discovery import (
    DEFAULT_HOLD_S,
    DEFAULT_SHRINK,
    DirectoryConfig,
    EndpointUpdate,
)
from cairndale.ingress.net.pool import PoolOptions
from cairndale.ingress.net.requests import RequestFields
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import check_settings
from cairndale.ingress.wire import WireError, settings_from_json

Address = tuple[str, int]
MAX_ADDRESSES = 32  # of the list service


class ConfigError(Exception):
    pass


@dataclass(frozen=True, slots=True)
class Config:
    listen: Address
    discovery: Address | None  # None: `known` is all there is
    request: RequestFields | None  # None: the platform's protocol
    directory: DirectoryConfig | None
    pool: PoolOptions
    counter: Address | None
    ops: Address | None
    seed: int
    sockets: int
    memory_mb: float
    known: EndpointUpdate
    settings: it.Settings
    raw: dict[str, Any]  # the settings as they came
    conn_idle: int


def _address(value: Any, what: str) -> Address:
    host, colon, port = str(value).rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ConfigError(f"{what}: {value!r} is not HOST:PORT")
    return host, int(port)


def _directory(raw: Any) -> DirectoryConfig | None:
    """Where the list service is, beside `discovery`; absent: the platform's discovery is all there
    is."""
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise ConfigError("directory: not an object")
    if unknown := sorted(raw.keys() - {"addresses", "shrink", "hold_s"}):
        raise ConfigError(f"directory.{unknown[0]}: not known here")
    addresses = raw.get("addresses")
    if not isinstance(addresses, list) or len(addresses) > MAX_ADDRESSES:
        raise ConfigError(f"directory.addresses: not a list of {MAX_ADDRESSES} at the most")
    numbers = {
        "shrink": raw.get("shrink", DEFAULT_SHRINK),
        "hold_s": raw.get("hold_s", DEFAULT_HOLD_S),
    }
    for key, most in (("shrink", 1), ("hold_s", 86_400)):
        value = numbers[key]
        if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= most:
            raise ConfigError(f"directory.{key}: {value!r} is not a number from 0 to {most}")
    found = tuple(_address(a, f"directory.addresses[{n}]") for n, a in enumerate(addresses))
    return DirectoryConfig(found, float(numbers["shrink"]), float(numbers["hold_s"]))


POOL_KEYS = {  # key of `pool`: field, least, most, whole
    "age_s": ("age", 1, 86_400, False),
    "requests": ("requests", 1, 10**9, True),
    "queue": ("queue", 0, 4096, True),
    "warm": ("warm", 0, 64, True),
    "server_share": ("server_share", 0.05, 0.6, False),
}


def _pool(raw: Any) -> PoolOptions:
    """Connections to the backends; what is not said keeps its default."""
    if not isinstance(raw, dict):
        raise ConfigError("pool: not an object")
    if unknown := sorted(raw.keys() - POOL_KEYS.keys()):
        raise ConfigError(f"pool.{unknown[0]}: not known here")
    found: dict[str, Any] = {}
    for key, value in raw.items():
        field, least, most, whole = POOL_KEYS[key]
        sound = isinstance(value, int if whole else int | float) and not isinstance(value, bool)
        if not sound or not least <= value <= most:
            kind = "a whole number" if whole else "a number"
            raise ConfigError(f"pool.{key}: {value!r} is not {kind} from {least} to {most}")
        found[field] = value
    return PoolOptions(**found)


def _request(raw: Any) -> RequestFields:
    """Where things are found in a request, in place of the platform's protocol."""
    if not isinstance(raw, dict):
        raise ConfigError("request: not an object")
    found: dict[str, tuple[str, str]] = {}
    for key in ("customer", "plan", "timeout", "units"):
        way, _, name = str(raw.get(key)).partition(":")
        if way not in ("header", "cookie", "query", "constant") or not name:
            raise ConfigError(f"request.{key}: {raw.get(key)!r} is not WAY:NAME")
        found[key] = (way, name)
    paths, customers = raw.get("paths", {}), raw.get("customers", {})
    for key, value in (("paths", paths), ("customers", customers)):
        if not isinstance(value, dict) or not all(isinstance(v, str) for v in value.values()):
            raise ConfigError(f"request.{key}: not an object of names")
    longest = sorted(paths, key=len, reverse=True)
    return RequestFields(
        **found, customers=customers, paths=tuple((p.encode(), paths[p].encode()) for p in longest)
    )


def _missing_key(before: Any, now: Any, where: str) -> str:
    """The first key that settings had and have no longer: a cut-off file may be sound JSON, and a
    default in a missing key's place would be a rule that nobody set. Named things may come and
    go."""
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return where
        for key, value in before.items():
            if key not in now:
                return f"{where}.{key}"
            if found := _missing_key(value, now[key], f"{where}.{key}"):
                return found
    elif isinstance(before, list) and before and all(isinstance(b, dict) for b in before):
        if not isinstance(now, list):
            return where
        shared = set.intersection(*(set(b) for b in before))
        for number, entry in enumerate(now):
            if lost := sorted(shared - set(entry) if isinstance(entry, dict) else shared):
                return f"{where}[{number}].{lost[0]}"
    return ""


def read_config(path: str, before: Config | None = None) -> Config:
    """The whole file, or ConfigError. Addresses in the environment hold at the start; a file that
    replaces another names where discovery and the counter have moved, and has all that the first
    one had."""
    try:
        top = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(str(error)) from None
    return config_from(top, before)


def config_from(top: Any, before: Config | None = None) -> Config:
    """The same of a file that is read already."""
    env = os.environ if before is None else {}
    try:
        raw = top["settings"]
        if before and (lost := _missing_key(before.raw, raw, "settings")):
            raise ConfigError(f"{lost} is missing")
        if before and before.counter and not top.get("counter"):
            raise ConfigError("counter is missing")
        if before and before.directory and "directory" not in top:
            raise ConfigError("directory is missing")
        known = top.get("known") or {"index": 0, "snapshot": True, "endpoints": []}
        ops = env.get("EDGE_OPS") or top.get("ops")
        discovery = env.get("EDGE_DISCOVERY") or top["discovery"]
        settings = settings_from_json(json.dumps(raw).encode())
        check_settings(settings)
        return Config(
            listen=_address(env.get("EDGE_LISTEN") or top["listen"], "listen"),
            discovery=_address(discovery, "discovery") if discovery is not None else None,
            request=_request(top["request"]) if top.get("request") is not None else None,
            directory=_directory(top.get("directory")),
            pool=_pool(top.get("pool", {})),
            counter=_address(top["counter"], "counter") if top.get("counter") else None,
            ops=_address(ops, "ops") if ops else None,
            seed=int(str(top["seed"]), 16),
            sockets=int(top.get("limits", {}).get("sockets", 1024)),
            memory_mb=float(top.get("limits", {}).get("memory_mb", 64)),
            known=EndpointUpdate(known),
            settings=settings,
            raw=raw,
            conn_idle=int(raw["ceilings"].get("conn_idle", 15_000_000)),
        )
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is missing") from None
    except (OSError, ValueError, TypeError, AttributeError, WireError) as error:
        raise ConfigError(str(error)) from None
