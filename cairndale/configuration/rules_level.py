"""Which configurations an ingress of an earlier version handles requests by as this version does.

An ingress reports the level of the rules that it follows. A change is acknowledged once all
ingresses handle requests by it, so one with an item of a level that some ingress does not follow
has to wait until that ingress is replaced.

Level 0 (up to 23c1936) has two differences. A route is found if its host, in lower case, is that of
the request without the port: so a route of a host with a port, or in another form than the normal
one, is not found by all its requests. An API key has printable ASCII characters only, and no blank.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cairndale.configuration.commands import Verb
from cairndale.configuration.content import Content
from cairndale.configuration.hosts import normalize_host

RULES_LEVEL = 1  # of this version

Item = Mapping[str, Any]


def changed_items_of_this_level(verb: Verb, body: Content, in_force: Content) -> list[str]:
    """The names of items that a valid change adds or alters, and that need `RULES_LEVEL`."""
    tables = body if verb is Verb.REPLACE else body.get("upsert", {})
    return [
        item["name"]
        for table, needs_this_level in _NEEDS_THIS_LEVEL.items()
        for item in _changed(
            filter(needs_this_level, tables.get(table, ())),
            filter(needs_this_level, in_force.get(table, ())),
        )
    ]


def _changed(items: Iterable[Item], in_force: Iterable[Item]) -> list[Item]:
    changed = list(items)
    if not changed:
        return []
    known = {item["name"]: item for item in in_force}
    return [item for item in changed if known.get(item["name"]) != item]


def _has_host_of_this_level(route: Item) -> bool:
    host: str = route["host"]
    if ":" not in host and not host.endswith("."):
        return False
    normal = normalize_host(host.encode())
    return bool(normal.port) or str(normal) != host.lower()


def _has_key_of_this_level(tenant: Item) -> bool:
    return not all(map(_is_level_0_key, tenant["apiKeys"]))


def _is_level_0_key(key: str) -> bool:
    return key.isascii() and key.isprintable() and " " not in key


_NEEDS_THIS_LEVEL: Mapping[str, Callable[[Item], bool]] = {
    "routes": _has_host_of_this_level,
    "tenants": _has_key_of_this_level,
}
