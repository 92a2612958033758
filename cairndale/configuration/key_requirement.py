"""Keeps requests from running without a tenant's key once the last tenant has been removed.

A configuration without tenants asks for no keys. So a change that leaves no tenant behind would
open every route to everybody, the holders of the removed keys among them. The leader puts a
placeholder in place of the last tenant: a tenant without keys, so that no request belongs to it.
It is an ordinary item of the table. Members, ingresses and stored states of earlier versions keep
it as they keep any other tenant, and ask for a key as long as it is there. Operators neither see
nor name it.

To open a service to everybody, its routes are made `public`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from cairndale.configuration.commands import Verb
from cairndale.configuration.content import Content

PLACEHOLDER_NAME = "cairndale:no-tenant"
# Whether the configuration that the placeholder was added to has a list of tenants itself.
_IS_LISTED = "listed"


def requires_keys(content: Mapping[str, Any]) -> bool:
    """Whether requests need a key, unless their route is public."""
    return bool(content.get("tenants"))


def with_key_requirement(verb: Verb, body: dict[str, Any], in_force: Content) -> dict[str, Any]:
    """The body of a valid change, with the placeholder added or removed where that is needed.

    `in_force`: the content that the change is made on top of.
    """
    if not requires_keys(in_force):
        return body
    if verb is Verb.REPLACE:
        if body.get("tenants"):
            return body
        return {**body, "tenants": [_placeholder(is_listed="tenants" in body)]}
    return _update_with_requirement(body, in_force["tenants"])


def without_placeholder(content: Content) -> Content:
    """The content as its operators know it."""
    tenants = content.get("tenants", [])
    placeholders = [tenant for tenant in tenants if _is_placeholder(tenant)]
    if not placeholders:
        return content
    visible = {**content, "tenants": [t for t in tenants if not _is_placeholder(t)]}
    if not placeholders[0].get(_IS_LISTED, True):
        del visible["tenants"]
    return visible


def reserved_name_errors(body: Mapping[str, Any], is_replace: bool) -> list[str]:
    """The errors of a change that names the placeholder, each with its path.

    Other parts of the body may be of any form.
    """
    if is_replace:
        parts = {"tenants": body.get("tenants")}
    else:
        changes = {name: body.get(name) for name in ("upsert", "remove")}
        parts = {
            f"{name}.tenants": change.get("tenants")
            for name, change in changes.items()
            if isinstance(change, dict)
        }
    return [
        f"{path}[{number}]: the name {PLACEHOLDER_NAME!r} is reserved"
        for path, items in parts.items()
        if isinstance(items, list)
        for number, item in enumerate(items)
        if item == PLACEHOLDER_NAME or (isinstance(item, dict) and _is_placeholder(item))
    ]


def _placeholder(*, is_listed: bool) -> dict[str, Any]:
    return {"name": PLACEHOLDER_NAME, "apiKeys": [], _IS_LISTED: is_listed}


def _is_placeholder(tenant: Mapping[str, Any]) -> bool:
    return tenant.get("name") == PLACEHOLDER_NAME


def _update_with_requirement(
    body: dict[str, Any], tenants: Iterable[Mapping[str, Any]]
) -> dict[str, Any]:
    """The body of an Update on top of a configuration that requires keys."""
    upsert, remove = body.get("upsert", {}), body.get("remove", {})
    added = {tenant["name"] for tenant in upsert.get("tenants", ())}
    removed = set(remove.get("tenants", ()))
    if not added and not removed:
        return body
    names = {tenant["name"] for tenant in tenants}
    if not added and names <= removed | {PLACEHOLDER_NAME}:
        return {**body, "upsert": _with_tenant(upsert, _placeholder(is_listed=True))}
    if PLACEHOLDER_NAME in names:
        return {**body, "remove": _with_tenant(remove, PLACEHOLDER_NAME)}
    return body


def _with_tenant(tables: Mapping[str, Any], tenant: Any) -> dict[str, Any]:
    """The tables of an Update's part, with one more entry for the table of tenants."""
    return {**tables, "tenants": [*tables.get("tenants", ()), tenant]}
