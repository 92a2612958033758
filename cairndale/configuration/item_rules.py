"""Rules for single items of a configuration: the values of their fields, and their texts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from schema import Optional

from cairndale.configuration.hosts import host_error
from cairndale.field_rules import (
    NOT_A_DURATION,
    ObjectRules,
    Rules,
    is_bool,
    is_count,
    is_duration,
    is_number,
    is_string,
    is_text,
    list_of,
    one_of,
)
from cairndale.json_text import field_error, line_error

ROUTE_KINDS = ("idempotent", "mutating")


def is_prefix(value: object) -> bool:
    """A path that begins and ends with a slash."""
    return isinstance(value, str) and value.startswith("/") and value.endswith("/")


def is_path(value: object) -> bool:
    """A path that begins with a slash."""
    return isinstance(value, str) and value.startswith("/")


def is_split_part(value: object) -> bool:
    """A service of a split, with its weight."""
    return (
        isinstance(value, dict) and is_text(value.get("backend")) and is_number(value.get("weight"))
    )


is_keys = list_of(is_text)

_ROUTE_RULES: Rules = {
    "name": is_text,
    "host": is_text,
    "pathPrefix": is_prefix,
    "kind": one_of(*ROUTE_KINDS),
    Optional("deadline"): is_duration,
    Optional("target_time"): is_duration,
    Optional("prio"): is_count,
    Optional("tries"): is_count,
    Optional("public"): is_bool,
    Optional("backend"): is_text,
    Optional("split"): list_of(is_split_part),
    Optional("homeRegions"): list_of(is_string),
    Optional(str): object,
}
_SERVICE_RULES: Rules = {
    "name": is_text,
    Optional("healthPath"): is_path,
    Optional("maxConns"): is_count,
    Optional("warmup"): is_duration,
    Optional("warmupPerS"): is_number,
    Optional(str): object,
}
_TENANT_RULES: Rules = {
    "name": is_text,
    "apiKeys": is_keys,
    Optional("prio"): is_count,
    Optional("ratePerS"): is_number,
    Optional("burst"): is_number,
    Optional("homeRegions"): list_of(is_string),
    Optional(str): object,
}
_EXPECTATIONS = {
    "pathPrefix": "is not a path that begins and ends with a slash",
    "kind": f"is not one of {', '.join(ROUTE_KINDS)}",
    "deadline": NOT_A_DURATION,
    "target_time": NOT_A_DURATION,
    "warmup": NOT_A_DURATION,
}
_ITEM_RULES = {
    "routes": ObjectRules(_ROUTE_RULES, _EXPECTATIONS),
    "backends": ObjectRules(_SERVICE_RULES, _EXPECTATIONS),
    "tenants": ObjectRules(_TENANT_RULES, _EXPECTATIONS),
}


def item_errors(table: str, path: str, item: Any) -> list[str]:
    """All errors of an item of a table, whatever the other items are; `path`: where it stands."""
    errors = _ITEM_RULES[table].errors(path, item)
    return errors + _text_errors(table, path, item) if isinstance(item, dict) else errors


def _text_errors(table: str, path: str, item: Mapping[str, Any]) -> list[str]:
    """The errors of texts that nothing can carry unchanged; other values have other errors."""
    match table:
        case "routes":
            return _text_error(item, path, "host", _host_reason)
        case "backends":  # the log names it
            return _text_error(item, path, "name", line_error)
        case "tenants":  # `X-Tenant` names it
            errors = _text_error(item, path, "name", field_error)
            return errors + _key_errors(f"{path}.apiKeys", item.get("apiKeys"))
    return []


def _text_error(
    item: Mapping[str, Any], path: str, field: str, reason_of: Callable[[str], str]
) -> list[str]:
    text = item.get(field)
    reason = reason_of(text) if isinstance(text, str) and text else ""
    return [f"{path}.{field}: {text!r} {reason}"] if reason else []


def _host_reason(host: str) -> str:
    return field_error(host) or host_error(host)


def _key_errors(path: str, keys: Any) -> list[str]:
    """The errors of API keys, which are secrets: they are told by their number."""
    if not is_keys(keys):
        return []
    reasons = ((number, field_error(key)) for number, key in enumerate(keys))
    return [f"{path}[{number}]: {reason}" for number, reason in reasons if reason]
