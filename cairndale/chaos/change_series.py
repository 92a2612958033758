"""Random series of changes of keys, hosts and names, valid and invalid ones.

Each change is drawn for the configuration that is in force. All of them change what some request
gets, so that an invalid one is noticed if it comes into force.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cairndale.chaos.change_model import ClientRequest, Content, Items, updated
from cairndale.chaos.world import KEY, OTHER_KEY

TENANT_NAMES = ("sese880", "sese880-2", "Zürich 東京", "a b", "n" * 300, '"%20;=,', "Sese880")
KEYS = (KEY, OTHER_KEY, "9anu6wsjnbanfqasnmgk", "a key with blanks", "Schlüssel", "k" * 500)
NEVER_A_KEY, NO_KEY = "never-a-key", ""
PREFIXES = ("/tiles/", "/books/", "/trial/", "/trial/deep/")
PORTED_HOSTS = ("a.example:8206", "A.Example:9000", "a.example.:8207", "[::1]:8206")
PLAIN_HOSTS = ("b.example", "B2.EXAMPLE.")
REQUEST_HOSTS = (
    "a.example",
    "A.EXAMPLE.",
    "a.example:",
    "a.example:8206",
    "A.example.:8206",
    "a.example:9000",
    "a.example:8207",
    "b.example",
    "b2.example:8206",
    "[::1]:8206",
    "[::1]",
)
REQUEST_PATHS = ("/tiles/1", "/books/1", "/open/1", "/trial/1", "/trial/deep/1", "/none/1")
# What no field can carry, or no request can name.
INVALID_NAMES = ("sese880 ", "\tsese880", "sese\n880", "", "\ufeffsese880", "cairndale:no-tenant")
INVALID_HOSTS = ("A.EXAMPLE.", "a.example:0", "a.example:70000", ":8206", "::1", "a.example ")
INVALID_KEYS = ("key ", "", "k\x00ey", "\u2003key")
MAX_TENANTS, MAX_ADDED_ROUTES = 5, 5
KEYLESS_SHARE = 0.7  # of the changes of a configuration without tenants that add none


@dataclass(frozen=True, slots=True)
class Change:
    """A change as an operator sends it, without its generations.

    Attributes:
        call: `Update` or `Replace`.
        content: the content that it leads to, without its generation.
    """

    name: str
    call: str
    body: dict[str, Any]
    content: Content
    is_valid: bool = True


@dataclass(slots=True)
class _Draft:
    """Items to add or replace, and names of items to remove."""

    upsert: dict[str, list[Any]] = field(default_factory=dict)
    remove: dict[str, list[Any]] = field(default_factory=dict)


def draw_request(rng: random.Random) -> ClientRequest:
    """A request that shows which configuration is in force, more or less."""
    return ClientRequest(
        rng.choice(("GET", "POST")),
        rng.choice(REQUEST_HOSTS),
        rng.choice(REQUEST_PATHS),
        rng.choice((*KEYS, KEY, KEY, NEVER_A_KEY, NO_KEY)),
    )


def unchanged_routes(count: int) -> list[dict[str, Any]]:
    """Routes that no change and no request names."""
    return [
        _common_route(f"unchanged-{n}", f"{n}.example", f"/{n}/") | {"backend": "tiles"}
        for n in range(count)
    ]


def _common_route(name: str, host: str, prefix: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "kind": "idempotent",
        "deadline": "4000ms",
        "tries": 2,
        "prio": 1,
    }


def _other_service(route: dict[str, Any]) -> str:
    return "books" if route["backend"] == "tiles" else "tiles"


class ChangeSeries:
    """Draws changes; the same `rng` draws the same ones for the same configurations."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._serial = 0
        self._route_drafts: tuple[Callable[[Content], _Draft], ...] = (
            self._add_route,
            self._add_route,
            self._remove_route,
            self._move_route,
            self._swap_hosts,
            self._swap_hosts,
            self._switch_service,
        )
        self._drafts = (
            self._add_tenant,
            self._add_tenant,
            self._remove_tenant,
            self._remove_all_tenants,
            self._move_key,
            self._rename_tenant,
            *self._route_drafts,
        )

    def next(self, content: Content, invalid_share: float = 0.2) -> Change:
        """A change of the content in force."""
        if self.rng.random() < invalid_share:
            return self._invalid_change(content)
        is_keyless = not content.get("tenants") and self.rng.random() < KEYLESS_SHARE
        draw = self.rng.choice(self._route_drafts if is_keyless else self._drafts)
        return self._change(draw.__name__.strip("_"), content, draw(content))

    def _change(self, name: str, content: Content, draft: _Draft) -> Change:
        """The change as an Update, or as a Replace by the content that it leads to."""
        changed = updated(content, draft.upsert, draft.remove)
        if self.rng.random() < 0.7:
            body = {"upsert": draft.upsert, "remove": draft.remove}
            return Change(name, "Update", body, changed)
        if changed.get("tenants") == [] and self.rng.random() < 0.5:
            del changed["tenants"]
        return Change(name, "Replace", dict(changed), changed)

    def _invalid_change(self, content: Content) -> Change:
        """A change that is refused as a whole, though one of its items is valid."""
        draft = self._switch_service(content)
        spoil = self.rng.choice((self._invalid_tenant, self._invalid_route, self._shared_key))
        for table, items in spoil(content).items():
            draft.upsert[table] = [*draft.upsert.get(table, []), *items]
        change = self._change(spoil.__name__.strip("_"), content, draft)
        return Change(change.name, change.call, change.body, change.content, is_valid=False)

    # Tenants.

    def _free_keys(self, content: Content) -> list[str]:
        held = {key for tenant in content.get("tenants", ()) for key in tenant["apiKeys"]}
        return [key for key in KEYS if key not in held]

    def _free_name(self, content: Content) -> str:
        used = {tenant["name"] for tenant in content.get("tenants", ())}
        return self.rng.choice([name for name in TENANT_NAMES if name not in used])

    def _add_tenant(self, content: Content) -> _Draft:
        keys = self._free_keys(content)
        if not keys or len(content.get("tenants", ())) >= MAX_TENANTS:
            return self._remove_tenant(content)
        chosen = self.rng.sample(keys, self.rng.randint(1, min(2, len(keys))))
        return _Draft({"tenants": [{"name": self._free_name(content), "apiKeys": chosen}]})

    def _remove_tenant(self, content: Content) -> _Draft:
        tenants = content.get("tenants")
        if not tenants:
            return self._add_tenant(content)
        return _Draft(remove={"tenants": [self.rng.choice(tenants)["name"]]})

    def _remove_all_tenants(self, content: Content) -> _Draft:
        names = [tenant["name"] for tenant in content.get("tenants", ())]
        return _Draft(remove={"tenants": names}) if names else self._add_tenant(content)

    def _move_key(self, content: Content) -> _Draft:
        """A key goes from one tenant to another, or away if there is one tenant only."""
        tenants = content.get("tenants", [])
        holders = [tenant for tenant in tenants if tenant["apiKeys"]]
        if not holders:
            return self._add_tenant(content)
        holder = self.rng.choice(holders)
        key = self.rng.choice(holder["apiKeys"])
        without = holder | {"apiKeys": [other for other in holder["apiKeys"] if other != key]}
        others = [tenant for tenant in tenants if tenant is not holder]
        if not others:
            return _Draft({"tenants": [without]})
        receiver = self.rng.choice(others)
        return _Draft({"tenants": [without, receiver | {"apiKeys": [*receiver["apiKeys"], key]}]})

    def _rename_tenant(self, content: Content) -> _Draft:
        tenants = content.get("tenants")
        if not tenants:
            return self._add_tenant(content)
        tenant = self.rng.choice(tenants)
        renamed = tenant | {"name": self._free_name(content)}
        return _Draft({"tenants": [renamed]}, {"tenants": [tenant["name"]]})

    # Routes.

    def _added_routes(self, content: Content) -> list[dict[str, Any]]:
        return [route for route in content["routes"] if route["name"].startswith("added-")]

    def _free_place(self, content: Content) -> tuple[str, str] | None:
        """Host and prefix for another route; None if there are enough."""
        used = {(route["host"], route["pathPrefix"]) for route in content["routes"]}
        places = [(host, prefix) for host in PORTED_HOSTS * 2 + PLAIN_HOSTS for prefix in PREFIXES]
        free = [place for place in places if place not in used]
        return (
            self.rng.choice(free) if len(self._added_routes(content)) < MAX_ADDED_ROUTES else None
        )

    def _route(self, host: str, prefix: str) -> dict[str, Any]:
        self._serial += 1
        return _common_route(f"added-{self._serial}", host, prefix) | {
            "backend": self.rng.choice(("tiles", "books")),
            "public": self.rng.random() < 0.2,
        }

    def _add_route(self, content: Content) -> _Draft:
        place = self._free_place(content)
        return _Draft({"routes": [self._route(*place)]}) if place else self._remove_route(content)

    def _remove_route(self, content: Content) -> _Draft:
        added = self._added_routes(content)
        if not added:
            return self._switch_service(content)
        return _Draft(remove={"routes": [self.rng.choice(added)["name"]]})

    def _move_route(self, content: Content) -> _Draft:
        added, place = self._added_routes(content), self._free_place(content)
        if not added or not place:
            return self._switch_service(content)
        host, prefix = place
        moved = self.rng.choice(added) | {"host": host, "pathPrefix": prefix}
        return _Draft({"routes": [moved]})

    def _swap_hosts(self, content: Content) -> _Draft:
        """Two routes take each other's place: none of them may be lost on the way."""
        added = self._added_routes(content)
        if len(added) < 2:
            return self._add_route(content)
        first, second = self.rng.sample(added, 2)
        places = [{n: route[n] for n in ("host", "pathPrefix")} for route in (second, first)]
        return _Draft({"routes": [first | places[0], second | places[1]]})

    def _switch_service(self, content: Content) -> _Draft:
        named = [r for r in content["routes"] if not r["name"].startswith("unchanged-")]
        route = self.rng.choice(named)
        return _Draft({"routes": [route | {"backend": _other_service(route)}]})

    # Invalid items.

    def _invalid_tenant(self, _: Content) -> Items:
        if self.rng.random() < 0.7:
            return {"tenants": [{"name": self.rng.choice(INVALID_NAMES), "apiKeys": []}]}
        return {"tenants": [{"name": "t", "apiKeys": [self.rng.choice(INVALID_KEYS)]}]}

    def _invalid_route(self, _: Content) -> Items:
        return {"routes": [self._route(self.rng.choice(INVALID_HOSTS), "/open/")]}

    def _shared_key(self, _: Content) -> Items:
        keys = [self.rng.choice(KEYS)]
        return {"tenants": [{"name": "twin", "apiKeys": keys}, {"name": "twin-2", "apiKeys": keys}]}
