"""Whether a configuration is sound: every error at once, each with its path."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Any

from schema import Optional

from cairndale.configuration.content import TABLES
from cairndale.field_rules import (
    NO_TIME,
    Fields,
    Rules,
    is_number,
    is_text,
    is_time,
    is_truth,
    is_whole,
    list_of,
    one_of,
)
from cairndale.settings import parse_duration

KINDS = ("idempotent", "mutating")
MANY = 100  # items that are looked at before others get their turn


def is_prefix(value: object) -> bool:
    return isinstance(value, str) and value.startswith("/") and value.endswith("/")


def is_path(value: object) -> bool:
    return isinstance(value, str) and value.startswith("/")


def is_fragment(value: object) -> bool:
    """Of a split."""
    return (
        isinstance(value, dict) and is_text(value.get("backend")) and is_number(value.get("weight"))
    )


is_kind = one_of(*KINDS)
are_texts = list_of(is_text)
are_names = list_of(lambda value: isinstance(value, str))

ITEMS: dict[str, Rules] = {
    "routes": {
        "name": is_text,
        "host": is_text,
        "pathPrefix": is_prefix,
        "kind": is_kind,
        Optional("deadline"): is_time,
        Optional("target_time"): is_time,
        Optional("prio"): is_whole,
        Optional("tries"): is_whole,
        Optional("public"): is_truth,
        Optional("backend"): is_text,
        Optional("split"): list_of(is_fragment),
        Optional("homeRegions"): are_names,
        Optional(str): object,
    },
    "backends": {
        "name": is_text,
        Optional("healthPath"): is_path,
        Optional("maxConns"): is_whole,
        Optional("warmup"): is_time,
        Optional("warmupPerS"): is_number,
        Optional(str): object,
    },
    "tenants": {
        "name": is_text,
        "apiKeys": are_texts,
        Optional("prio"): is_whole,
        Optional("ratePerS"): is_number,
        Optional("burst"): is_number,
        Optional("homeRegions"): are_names,
        Optional(str): object,
    },
}
WANTED = {  # what is told of a field that is not as it should be
    "pathPrefix": "is no path that begins and ends with a slash",
    "kind": f"is none of {', '.join(KINDS)}",
    "deadline": NO_TIME,
    "target_time": NO_TIME,
    "warmup": NO_TIME,
}
FIELDS = {table: Fields(rules, WANTED) for table, rules in ITEMS.items()}


def _twice(at: str, values: Iterable[tuple[str, Any]]) -> Iterator[list[str]]:
    """Values that stand in two places; with pauses."""
    seen: dict[Any, str] = {}
    errors = []
    for number, (where, value) in enumerate(values, 1):
        if value in seen:
            errors.append(f"{where}: {at} stands in {seen[value]} as well")
        seen.setdefault(value, where)
        if number % (10 * MANY) == 0:
            yield []
    yield errors


def content_errors(content: dict[str, Any]) -> list[str]:
    """Of a whole configuration, as it would be in force."""
    return [error for some in iter_content_errors(content) for error in some]


def iter_content_errors(content: dict[str, Any]) -> Iterator[list[str]]:
    """The same, with a pause after so many items in which a leader of the duty can keep it."""
    errors: list[str] = []
    sound: dict[str, list[tuple[str, dict[str, Any]]]] = {t: [] for t in TABLES}
    for table in TABLES:
        items = content.get(table, [])
        if not isinstance(items, list):
            errors.append(f"{table}: is no list")
            continue
        for number, item in enumerate(items):
            at = f"{table}[{number}]"
            found = FIELDS[table].errors(at, item)
            errors += found
            if not found:
                sound[table].append((at, item))
            if number % MANY == MANY - 1:
                yield []
        for some in _twice(
            "this name", ((f"{at}.name", item["name"]) for at, item in sound[table])
        ):
            errors += some
            yield []
    yield []
    services = {item["name"] for _, item in sound["backends"]}
    for number, (at, route) in enumerate(sound["routes"], 1):
        if number % (10 * MANY) == 0:
            yield []
        if ("backend" in route) == bool(route.get("split")):
            errors.append(f"{at}: wants one of backend and split")
        for part in [route] if "backend" in route else route.get("split") or []:
            if part["backend"] not in services:
                errors.append(f"{at}: the service {part['backend']!r} is unknown")
        if route.get("split") and not sum(part["weight"] for part in route["split"]) > 0:
            errors.append(f"{at}.split: no weight is over 0")
    places = ((at, (route["host"].lower(), route["pathPrefix"])) for at, route in sound["routes"])
    keys = (
        (f"{at}.apiKeys", key) for at, tenant in sound["tenants"] for key in set(tenant["apiKeys"])
    )
    for some in chain(_twice("this host and prefix", places), _twice("one of these keys", keys)):
        errors += some
        yield []
    limits = content.get("limits", {})
    if not isinstance(limits, dict):
        errors.append("limits: is no object")
    else:
        for name in ("headerTimeout", "idleTimeout"):
            try:
                parse_duration(limits.get(name, "1s"))
            except ValueError as error:
                errors.append(f"limits.{name}: {error}")
        for name in ("maxHeaderBytes", "maxBodyBytes"):
            if not isinstance(limits.get(name, 0), int) or isinstance(limits.get(name, 0), bool):
                errors.append(f"limits.{name}: {limits[name]!r} is no whole number")
    yield errors


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
                errors.append(
                    f"{part}.{table}: is no list of {'items' if kind is dict else 'names'}"
                )
            elif kind is dict and not all(isinstance(i.get("name"), str) for i in items):
                errors.append(f"{part}.{table}: an item has no name")
    return errors
