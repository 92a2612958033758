"""Reads and validates the configuration file, at the start and again at SIGHUP."""

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
MAX_ADDRESSES = 32  # of replicas of the list service


class ConfigError(Exception):
    """The configuration is invalid; nothing of it is applied."""

    pass


@dataclass(frozen=True, slots=True)
class Config:
    """A valid configuration of an ingress."""

    listen: Address
    discovery: Address | None  # None: only the endpoints in `known`
    request: RequestFields | None  # None: the platform's protocol
    directory: DirectoryConfig | None
    pool: PoolOptions
    counter: Address | None
    ops: Address | None
    seed: int
    sockets: int
    memory_mb: float
    known: EndpointUpdate  # endpoint list to start with
    settings: it.Settings
    raw: dict[str, Any]  # the settings as read
    conn_idle: int  # idle timeout of connections to backends, us


def _address(value: Any, key: str) -> Address:
    host, colon, port = str(value).rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ConfigError(f"{key}: {value!r} is not HOST:PORT")
    return host, int(port)


def _directory(raw: Any) -> DirectoryConfig | None:
    """Parse `directory`, the list service; None if only the platform's discovery is used."""
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
    for key, maximum in (("shrink", 1), ("hold_s", 86_400)):
        value = numbers[key]
        if (
            not isinstance(value, int | float)
            or isinstance(value, bool)
            or not 0 <= value <= maximum
        ):
            raise ConfigError(f"directory.{key}: {value!r} is not a number from 0 to {maximum}")
    replicas = tuple(_address(a, f"directory.addresses[{n}]") for n, a in enumerate(addresses))
    return DirectoryConfig(replicas, float(numbers["shrink"]), float(numbers["hold_s"]))


POOL_KEYS = {  # key of `pool`: (field, minimum, maximum, whether it is an integer)
    "age_s": ("age", 1, 86_400, False),
    "requests": ("requests", 1, 10**9, True),
    "queue": ("queue", 0, 4096, True),
    "warm": ("warm", 0, 64, True),
    "server_share": ("server_share", 0.05, 0.6, False),
}


def _pool(raw: Any) -> PoolOptions:
    """Parse `pool`, the limits of connection pools; absent keys have their defaults."""
    if not isinstance(raw, dict):
        raise ConfigError("pool: not an object")
    if unknown := sorted(raw.keys() - POOL_KEYS.keys()):
        raise ConfigError(f"pool.{unknown[0]}: not known here")
    options: dict[str, Any] = {}
    for key, value in raw.items():
        field, minimum, maximum, is_integer = POOL_KEYS[key]
        is_number = isinstance(value, int if is_integer else int | float) and not isinstance(
            value, bool
        )
        if not is_number or not minimum <= value <= maximum:
            expected = "a whole number" if is_integer else "a number"
            raise ConfigError(
                f"pool.{key}: {value!r} is not {expected} from {minimum} to {maximum}"
            )
        options[field] = value
    return PoolOptions(**options)


def _request(raw: Any) -> RequestFields:
    """Parse `request`: where a request's values are found, instead of the platform's protocol."""
    if not isinstance(raw, dict):
        raise ConfigError("request: not an object")
    locations: dict[str, tuple[str, str]] = {}
    for key in ("customer", "plan", "timeout", "units"):
        source, _, name = str(raw.get(key)).partition(":")
        if source not in ("header", "cookie", "query", "constant") or not name:
            raise ConfigError(f"request.{key}: {raw.get(key)!r} is not WAY:NAME")
        locations[key] = (source, name)
    paths, customers = raw.get("paths", {}), raw.get("customers", {})
    for key, value in (("paths", paths), ("customers", customers)):
        if not isinstance(value, dict) or not all(isinstance(v, str) for v in value.values()):
            raise ConfigError(f"request.{key}: not an object of names")
    longest_first = sorted(paths, key=len, reverse=True)
    return RequestFields(
        **locations,
        customers=customers,
        paths=tuple((p.encode(), paths[p].encode()) for p in longest_first),
    )


def _missing_key(before: Any, after: Any, where: str) -> str:
    """Return the first key that the settings had before and lack now; empty if there is none.

    A truncated file may still be valid JSON, and a default for a missing key would be a rule that
    nobody has set. Entries of lists may be added and removed, but keep their common keys.
    """
    if isinstance(before, dict):
        if not isinstance(after, dict):
            return where
        for key, value in before.items():
            if key not in after:
                return f"{where}.{key}"
            if missing := _missing_key(value, after[key], f"{where}.{key}"):
                return missing
    elif isinstance(before, list) and before and all(isinstance(b, dict) for b in before):
        if not isinstance(after, list):
            return where
        shared = set.intersection(*(set(b) for b in before))
        for number, entry in enumerate(after):
            if missing_keys := sorted(shared - set(entry) if isinstance(entry, dict) else shared):
                return f"{where}[{number}].{missing_keys[0]}"
    return ""


def read_config(path: str, before: Config | None = None) -> Config:
    """Read and validate the configuration file. Raises ConfigError.

    At the start, addresses in the environment take precedence. A file that replaces the
    configuration `before` may change the addresses of discovery and the counter, and must have all
    the keys that `before` had.
    """
    try:
        top = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(str(error)) from None
    return config_from(top, before)


def config_from(top: Any, before: Config | None = None) -> Config:
    """Validate a configuration that has been read already; see `read_config`."""
    env = os.environ if before is None else {}
    try:
        raw = top["settings"]
        if before and (missing := _missing_key(before.raw, raw, "settings")):
            raise ConfigError(f"{missing} is missing")
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
