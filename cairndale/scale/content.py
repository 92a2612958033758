"""Configurations of any size for a scale run."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any


def key(tenant: int) -> str:
    """As little to be packed as a real one."""
    return blake2b(b"%d" % tenant, digest_size=12).hexdigest()


def content(gen: int, routes: int, tenants: int, services: int, turn: int = 0) -> dict[str, Any]:
    """A sound configuration; `turn` changes one route."""
    return {
        "gen": gen,
        "routes": [
            {
                "name": f"r{n}",
                "host": f"h{n % 97}.example",
                "pathPrefix": f"/p{n}/",
                "kind": "idempotent" if n % 3 else "mutating",
                "deadline": "4000ms",
                "target_time": f"{1000 + turn % 1000 if n == turn % routes else 1000}ms",
                "tries": 2,
                "prio": n % 3,
                "backend": f"s{n % services}",
            }
            for n in range(routes)
        ],
        "backends": [
            {"name": f"s{n}", "healthPath": "/h", "maxConns": 100} for n in range(services)
        ],
        "limits": {"headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "tenants": [
            {"name": f"t{n}", "apiKeys": [key(n)], "ratePerS": 100, "burst": 100}
            for n in range(tenants)
        ],
    }


def turned(gen: int, parent: int, routes: int, services: int, turn: int) -> dict[str, Any]:
    """An update of one route, on top of `parent`."""
    whole = content(gen, routes, 0, services, turn)
    return {
        "gen": gen,
        "parent": parent,
        "upsert": {"routes": [whole["routes"][turn % routes]]},
        "remove": {},
    }
