"""The configuration as the data plane uses it: routes by host and path prefix, tenants by key."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from cairndale.configuration.content_digest import DIGEST_MODULUS, TOP_LEVEL_FIELDS, iter_items
from cairndale.configuration.delta import ConfigDelta, DeltaError
from cairndale.configuration.generation_id import generation_id
from cairndale.configuration.hosts import HostIndex, NormalHost, normalize_host
from cairndale.configuration.routes import Item, Route, Service, Tenant, TopLevelField, read_item
from cairndale.ingress.policy.interface import RequestClass

AUTHORIZATION = re.compile(rb"[Tt][Oo][Kk][Ee][Nn] +([^ ].*)")


@dataclass(frozen=True, slots=True)
class TableChange:
    """The new state of routes and tenants that were added or changed."""

    routes: list[Route]
    tenants: list[Tenant]


@dataclass(frozen=True, slots=True)
class _ItemChange:
    """The new state of an item, or None if it is removed."""

    table: str
    name: str
    item: Item | None


class RouteTable:
    """Routes, tenants and services of one generation of the configuration, indexed for requests.

    A delta changes the table in place, item by item (`apply_delta`). Callers that cache a result of
    this table compare `gen` to detect that it may have changed.

    Attributes:
        gen: the generation; 0: no configuration.
        digest: the digest of the content (`content_digest`).
        routes, tenants, services, fields: the items by name.
        routes_by_host: routes by host (the virtual host) and path prefix.
        tenants_by_key: tenants by API key.
        request_classes: the classes of the routes, by name.
        service_references: the number of references from routes to a service, by service name.
        had_tenants: whether this table, or one that it replaces, has ever had a tenant.
    """

    def __init__(self, content: dict[str, Any], *, had_tenants: bool = False) -> None:
        """`had_tenants`: of the table that this one replaces."""
        self.gen: int = content.get("gen", 0)
        self.digest = 0
        self.routes: dict[str, Route] = {}
        self.tenants: dict[str, Tenant] = {}
        self.services: dict[str, Service] = {}
        self.fields: dict[str, TopLevelField] = {}
        self.routes_by_host: HostIndex[Route] = HostIndex()
        self.tenants_by_key: dict[bytes, Tenant] = {}
        self.request_classes: dict[str, RequestClass] = {}
        self.service_references: Counter[str] = Counter()
        self.had_tenants = had_tenants
        self._lists_tenants = "tenants" in content
        self._class_references: Counter[str] = Counter()
        self._tables: dict[str, dict[str, Any]] = {
            "routes": self.routes,
            "tenants": self.tenants,
            "backends": self.services,
            TOP_LEVEL_FIELDS: self.fields,
        }
        for table, items in self._tables.items():
            for name, raw in iter_items(content, table):
                if name in items:
                    self._remove(table, name)
                self._add(table, self._read(table, name, raw))

    @property
    def limits(self) -> dict[str, Any]:
        """The listener's limits by their configuration names."""
        return self.fields["limits"].value if "limits" in self.fields else {}

    def routes_of_host(self, host: NormalHost) -> Sequence[Route]:
        """The routes that clients of a host may use; without a port, those of all its ports."""
        return self.routes_by_host.all_of_host(host)

    def find_route(self, host: bytes, target: bytes) -> Route | None:
        """The route with the longest prefix of the path; `host` is a request's `Host` field.

        Routes of the host with the request's port go first, those of the host at any port second.
        """
        path = target.partition(b"?")[0]
        for routes in self.routes_by_host.prefixes(normalize_host(host)):
            end = path.rfind(b"/")
            while end >= 0:
                if route := routes.get(path[: end + 1]):
                    return route
                end = path.rfind(b"/", 0, end)
        return None

    def find_tenant(self, authorization: bytes) -> Tenant | None:
        """The tenant whose API key is in this value of the `Authorization` header."""
        match = AUTHORIZATION.fullmatch(authorization)
        return self.tenants_by_key.get(match[1]) if match else None

    def admits_without_tenant(self, authorization: bytes) -> bool:
        """Whether a request that belongs to no tenant may use routes that are not public.

        It may while there have never been tenants. An empty list of tenants may have been emptied
        before this process received it, so a key is not accepted beside it.
        """
        if self.had_tenants:
            return False
        return not (self._lists_tenants and AUTHORIZATION.fullmatch(authorization))

    def apply_delta(self, delta: ConfigDelta) -> TableChange:
        """Applies a delta atomically. Raises DeltaError if it does not apply to this content."""
        if (delta.base_gen, delta.base_digest) != (generation_id(self.gen), self.digest):
            raise DeltaError(
                f"the delta applies to gen {delta.base_gen}, digest {delta.base_digest:016x};"
                f" here is gen {self.gen}, digest {self.digest:016x}"
            )
        changes = self._read_changes(delta)
        if self._digest_after(changes) != delta.digest:
            raise DeltaError(
                f"gen {delta.gen}: the digest after the delta differs from {delta.digest:016x}"
            )
        for change in changes:
            self._remove(change.table, change.name)
            if change.item is not None:
                self._add(change.table, change.item)
        self.gen = delta.gen
        items = [change.item for change in changes]
        return TableChange(
            routes=[item for item in items if isinstance(item, Route)],
            tenants=[item for item in items if isinstance(item, Tenant)],
        )

    def _read_changes(self, delta: ConfigDelta) -> list[_ItemChange]:
        changes: list[_ItemChange] = []
        for table, items in delta.decode_changes().items():
            for name, raw in items.items():
                try:
                    item = None if raw is None else self._read(table, name, raw)
                except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
                    raise DeltaError(f"item {name!r} of {table!r} is invalid: {error!r}") from error
                changes.append(_ItemChange(table, name, item))
        return changes

    def _digest_after(self, changes: list[_ItemChange]) -> int:
        digest = self.digest
        for change in changes:
            digest += _digest_of(change.item)
            digest -= _digest_of(self._tables[change.table].get(change.name))
        return digest % DIGEST_MODULUS

    def _read(self, table: str, name: str, raw: Any) -> Item:
        return read_item(table, name, raw, self.request_classes)

    def _add(self, table: str, item: Item) -> None:
        self.digest = (self.digest + item.digest) % DIGEST_MODULUS
        self._tables[table][item.name] = item
        if isinstance(item, Tenant):
            self.had_tenants = True
            for key in item.api_keys:
                self.tenants_by_key[key] = item
        elif isinstance(item, Route):
            self.routes_by_host.add(item.host, item.prefix, item)
            self.request_classes.setdefault(item.request_class.name, item.request_class)
            self._class_references[item.request_class.name] += 1
            self.service_references.update(item.services)

    def _remove(self, table: str, name: str) -> None:
        """Removes the item of this name, if it exists."""
        item: Item | None = self._tables[table].pop(name, None)
        self.digest = (self.digest - _digest_of(item)) % DIGEST_MODULUS
        if isinstance(item, Tenant):
            for key in item.api_keys:
                if self.tenants_by_key.get(key) is item:  # else it was assigned to another tenant
                    del self.tenants_by_key[key]
        elif isinstance(item, Route):
            self._remove_route(item)

    def _remove_route(self, route: Route) -> None:
        self.routes_by_host.remove(route.host, route.prefix, route)
        class_name = route.request_class.name
        _release(self._class_references, [class_name])
        if class_name not in self._class_references:
            del self.request_classes[class_name]
        _release(self.service_references, route.services)


def _digest_of(item: Item | None) -> int:
    return item.digest if item else 0


def _release(references: Counter[str], names: Iterable[str]) -> None:
    """Removes one reference to each name, and the names without references."""
    for name in names:
        references[name] -= 1
        if not references[name]:
            del references[name]
