"""Whether a configuration is sound: every error at once, each with its path."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from schema import And, Optional, Or, Schema, SchemaError

from playhouse.settings import seconds

KINDS = ("idempotent", "mutating")
TABLES = ("routes", "backends", "tenants")


def _time(value: object) -> bool:
    seconds(value)
    return True


TEXT: Any = And(str, len)
WHOLE: Any = And(int, lambda n: not isinstance(n, bool) and n >= 0)
NUMBER: Any = And(Or(int, float), lambda n: not isinstance(n, bool) and 0 <= n < float("inf"))
PREFIX: Any = And(str, lambda p: p.startswith("/") and p.endswith("/"))
ITEMS: dict[str, dict[Any, Any]] = {
    "routes": {
        "name": TEXT,
        "host": TEXT,
        "pathPrefix": PREFIX,
        "kind": Or(*KINDS),
        Optional("deadline"): _time,
        Optional("target_time"): _time,
        Optional("prio"): WHOLE,
        Optional("tries"): WHOLE,
        Optional("public"): bool,
        Optional("backend"): TEXT,
        Optional("split"): [{"backend": TEXT, "weight": NUMBER, Optional(str): object}],
        Optional("homeRegions"): [str],
        Optional(str): object,
    },
    "backends": {
        "name": TEXT,
        Optional("healthPath"): And(str, lambda p: p.startswith("/")),
        Optional("maxConns"): WHOLE,
        Optional("warmup"): _time,
        Optional("warmupPerS"): NUMBER,
        Optional(str): object,
    },
    "tenants": {
        "name": TEXT,
        "apiKeys": [TEXT],
        Optional("prio"): WHOLE,
        Optional("ratePerS"): NUMBER,
        Optional("burst"): NUMBER,
        Optional("homeRegions"): [str],
        Optional(str): object,
    },
}
WHOLE_ITEM = {table: Schema(fields) for table, fields in ITEMS.items()}
WANTED = {  # what is told of a field that is not as it should be
    "pathPrefix": "is no path that begins and ends with a slash", "kind": f"is none of {', '.join(KINDS)}",
    "deadline": "is no time such as 1500ms or 2.5s", "target_time": "is no time such as 1500ms or 2.5s",
    "warmup": "is no time such as 1500ms or 2.5s",
}  # fmt: skip


def _item(table: str, at: str, item: Any) -> list[str]:
    if not isinstance(item, dict):
        return [f"{at}: is no object"]
    try:
        WHOLE_ITEM[table].validate(item)
        return []
    except SchemaError:
        pass
    errors = []
    for key, rule in ITEMS[table].items():
        optional = isinstance(key, Optional)
        name = key.schema if optional else key
        if not isinstance(name, str):
            continue
        if name not in item:
            errors += [] if optional else [f"{at}.{name}: is missing"]
            continue
        try:
            Schema(rule).validate(item[name])
        except SchemaError:
            errors.append(f"{at}.{name}: {item[name]!r} {WANTED.get(name, 'is not what stands there')}")
    return errors or [f"{at}: is not sound"]


def _twice(at: str, values: Iterable[tuple[str, Any]]) -> list[str]:
    """Values that stand in two places."""
    seen: dict[Any, str] = {}
    errors = []
    for where, value in values:
        if value in seen:
            errors.append(f"{where}: {at} stands in {seen[value]} as well")
        seen.setdefault(value, where)
    return errors


def content_errors(content: dict[str, Any]) -> list[str]:
    """Of a whole configuration, as it would be in force."""
    errors: list[str] = []
    sound: dict[str, list[tuple[str, dict[str, Any]]]] = {t: [] for t in TABLES}
    for table in TABLES:
        items = content.get(table, [])
        if not isinstance(items, list):
            errors.append(f"{table}: is no list")
            continue
        for number, item in enumerate(items):
            at = f"{table}[{number}]"
            found = _item(table, at, item)
            errors += found
            if not found:
                sound[table].append((at, item))
        errors += _twice("this name", ((f"{at}.name", item["name"]) for at, item in sound[table]))
    services = {item["name"] for _, item in sound["backends"]}
    for at, route in sound["routes"]:
        if ("backend" in route) == bool(route.get("split")):
            errors.append(f"{at}: wants one of backend and split")
        for part in [route] if "backend" in route else route.get("split") or []:
            if part["backend"] not in services:
                errors.append(f"{at}: the service {part['backend']!r} is unknown")
        if route.get("split") and not sum(part["weight"] for part in route["split"]) > 0:
            errors.append(f"{at}.split: no weight is over 0")
    places = ((at, (route["host"].lower(), route["pathPrefix"])) for at, route in sound["routes"])
    errors += _twice("this host and prefix", places)
    keys = ((f"{at}.apiKeys", key) for at, tenant in sound["tenants"] for key in set(tenant["apiKeys"]))
    errors += _twice("one of these keys", keys)
    limits = content.get("limits", {})
    if not isinstance(limits, dict):
        errors.append("limits: is no object")
    else:
        for name in ("headerTimeout", "idleTimeout"):
            try:
                seconds(limits.get(name, "1s"))
            except ValueError as error:
                errors.append(f"limits.{name}: {error}")
        for name in ("maxHeaderBytes", "maxBodyBytes"):
            if not isinstance(limits.get(name, 0), int) or isinstance(limits.get(name, 0), bool):
                errors.append(f"limits.{name}: {limits[name]!r} is no whole number")
    return errors


def order_errors(order: Any, whole: bool, gen: int) -> list[str]:
    """Of the frame of a Replace (`whole`) or an Update, on top of the version `gen`."""
    if not isinstance(order, dict):
        return ["the body is no JSON object"]
    errors = []
    for name in ("gen", "parent"):
        value = order.get(name)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            errors.append(f"{name}: {value!r} is no whole number")
    if not errors and order["gen"] <= gen:
        errors.append(f"gen: {order['gen']} is not above {gen}")
    if whole:
        errors += [f"{name}: is missing" for name in ("routes", "backends") if name not in order]
        return errors
    for part, kind in (("upsert", dict), ("remove", str)):
        tables = order.get(part, {})
        if not isinstance(tables, dict):
            errors.append(f"{part}: is no object")
            continue
        for table, items in tables.items():
            if table not in TABLES:
                errors.append(f"{part}.{table}: is not known")
            elif not isinstance(items, list) or not all(isinstance(i, kind) for i in items):
                errors.append(f"{part}.{table}: is no list of {'items' if kind is dict else 'names'}")
            elif kind is dict and not all(isinstance(i.get("name"), str) for i in items):
                errors.append(f"{part}.{table}: an item has no name")
    return errors
