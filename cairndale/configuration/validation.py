"""Validates a configuration or a change to it; returns all errors, each with its path."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from cairndale.configuration.content import TABLES, Content
from cairndale.configuration.hosts import normalize_host
from cairndale.configuration.item_rules import item_errors
from cairndale.configuration.key_requirement import reserved_name_errors
from cairndale.configuration.stepwise import Steps, run_to_completion
from cairndale.field_rules import is_count
from cairndale.settings import parse_duration

ITEMS_PER_STEP = 100  # items whose fields are checked; the leader renews its lease in between
LOOKUPS_PER_STEP = 1_000  # look-ups of a value among the values of other items
DURATION_LIMITS = ("headerTimeout", "idleTimeout")
SIZE_LIMITS = ("maxHeaderBytes", "maxBodyBytes")


def content_errors(content: Content, in_force: Content | None = None) -> list[str]:
    """All errors of a complete configuration, as it would be in force.

    `in_force`: the configuration that an Update is made on top of. Items that the Update keeps, the
    same objects in both, are not checked on their own again: rules that are stricter than those of
    the version that accepted them must not stop unrelated changes.
    """
    return run_to_completion(content_errors_steps(content, in_force))


def content_errors_steps(content: Content, in_force: Content | None = None) -> Steps[list[str]]:
    """Like `content_errors`, in steps: a large configuration takes longer than a leader's lease."""
    return (yield from _ContentCheck(content, _ids_of_items(in_force or {})).run_steps())


def _ids_of_items(content: Content) -> set[int]:
    """The identities of the items, which are objects, in the tables of a valid content."""
    return {id(item) for table in TABLES for item in content.get(table, ())}


# A path, and the item or value at this path. A tuple, as with objects the whole check takes a
# quarter longer.
_Located = tuple[str, Any]
# A path, the item there, and a value of this item.
_LocatedValue = tuple[str, dict[str, Any], Any]


@dataclass(slots=True)
class _ContentCheck:
    """One check of a content: first the fields of items, then constraints between valid items."""

    content: Content
    kept: set[int]  # identities of items that are in force
    errors: list[str] = field(default_factory=list)
    valid: dict[str, list[_Located]] = field(
        default_factory=lambda: {table: [] for table in TABLES}
    )

    def run_steps(self) -> Steps[list[str]]:
        for table in TABLES:
            yield from self._check_table_steps(table)
        yield
        yield from self._check_services_steps()
        yield from self._check_unique_steps("this host and prefix", self._host_prefixes())
        yield from self._check_unique_steps("one of these keys", self._api_keys())
        self.errors += _limits_errors(self.content.get("limits", {}))
        return self.errors

    def _check_table_steps(self, table: str) -> Steps[None]:
        items = self.content.get(table, [])
        if not isinstance(items, list):
            self.errors.append(f"{table}: is not a list")
            return
        valid = self.valid[table]
        for number, item in enumerate(items):
            path = f"{table}[{number}]"
            if id(item) in self.kept:
                valid.append((path, item))
            elif errors := item_errors(table, path, item):
                self.errors += errors
            else:
                valid.append((path, item))
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
        names = ((f"{path}.name", item, item["name"]) for path, item in valid)
        yield from self._check_unique_steps("this name", names)

    def _check_services_steps(self) -> Steps[None]:
        """Each route names existing services, in exactly one of `backend` and `split`."""
        services = {service["name"] for _, service in self.valid["backends"]}
        for number, (path, route) in enumerate(self.valid["routes"], 1):
            if number % LOOKUPS_PER_STEP == 0:
                yield
            self.errors += _service_errors(path, route, services)

    def _host_prefixes(self) -> Iterator[_LocatedValue]:
        for path, route in self.valid["routes"]:
            yield path, route, (normalize_host(route["host"].encode()), route["pathPrefix"])

    def _api_keys(self) -> Iterator[_LocatedValue]:
        for path, tenant in self.valid["tenants"]:
            for key in set(tenant["apiKeys"]):
                yield f"{path}.apiKeys", tenant, key

    def _check_unique_steps(self, label: str, values: Iterator[_LocatedValue]) -> Steps[None]:
        """Each value occurs in one item only, unless all of these items are kept."""
        first_uses: dict[Any, tuple[str, bool]] = {}
        for number, (path, item, value) in enumerate(values, 1):
            first_path, first_is_kept = first_uses.setdefault(value, (path, id(item) in self.kept))
            if first_path != path and not (first_is_kept and id(item) in self.kept):
                self.errors.append(f"{path}: {label} is also used in {first_path}")
            if number % LOOKUPS_PER_STEP == 0:
                yield
        yield


def _service_errors(path: str, route: Mapping[str, Any], services: set[str]) -> list[str]:
    errors: list[str] = []
    split = route.get("split")
    if ("backend" in route) == bool(split):
        errors.append(f"{path}: needs exactly one of backend and split")
    for part in [route] if "backend" in route else split or []:
        if part["backend"] not in services:
            errors.append(f"{path}: the service {part['backend']!r} is unknown")
    if split and not any(part["weight"] > 0 for part in split):
        errors.append(f"{path}.split: no weight is greater than 0")
    return errors


def _limits_errors(limits: Any) -> list[str]:
    if not isinstance(limits, dict):
        return ["limits: is not an object"]
    errors: list[str] = []
    for name in DURATION_LIMITS:
        try:
            parse_duration(limits.get(name, "1s"))
        except ValueError as error:
            errors.append(f"limits.{name}: {error}")
    for name in SIZE_LIMITS:
        size = limits.get(name, 0)
        if not isinstance(size, int) or isinstance(size, bool):
            errors.append(f"limits.{name}: {size!r} is not an integer")
    return errors


def change_errors(body: Any, is_replace: bool, gen: int) -> list[str]:
    """All errors of a Replace or Update that do not depend on the content in force.

    `gen`: the generation that the change's generation has to be above.
    """
    if not isinstance(body, dict):
        return ["the body is not a JSON object"]
    errors = _generation_errors(body, gen) + reserved_name_errors(body, is_replace)
    if is_replace:
        errors += [f"{name}: is missing" for name in ("routes", "backends") if name not in body]
        return errors
    for part, item_type in (("upsert", dict), ("remove", str)):
        errors += _update_part_errors(part, body.get(part, {}), item_type)
    return errors


def _generation_errors(body: Mapping[str, Any], gen: int) -> list[str]:
    errors: list[str] = []
    for name in ("gen", "parent"):
        if not is_count(value := body.get(name)):
            errors.append(f"{name}: {value!r} is not a non-negative integer")
    if not errors and body["gen"] <= gen:
        errors.append(f"gen: {body['gen']} is not above {gen}")
    return errors


def _update_part_errors(part: str, tables: Any, item_type: type) -> list[str]:
    if not isinstance(tables, dict):
        return [f"{part}: is not an object"]
    errors: list[str] = []
    for table, items in tables.items():
        path = f"{part}.{table}"
        if table not in TABLES:
            errors.append(f"{path}: is unknown")
        elif not isinstance(items, list) or not all(isinstance(item, item_type) for item in items):
            errors.append(f"{path}: is not a list of {'items' if item_type is dict else 'names'}")
        elif item_type is dict and not all(isinstance(item.get("name"), str) for item in items):
            errors.append(f"{path}: an item has no name")
    return errors
