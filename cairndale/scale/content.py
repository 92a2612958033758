"""Configurations of any size for a scale run."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any


def api_key(tenant: int) -> str:
    """Return an API key that compresses as badly as a real one."""
    return blake2b(b"%d" % tenant, digest_size=12).hexdigest()


def content(
    gen: int, routes: int, tenants: int, services: int, revision: int = 0
) -> dict[str, Any]:
    """Return a valid configuration; each `revision` differs in one route."""
    return {
        "gen": gen,
        "routes": [
            {
                "name": f"r{n}",
                "host": f"h{n % 97}.example",
                "pathPrefix": f"/p{n}/",
                "kind": "idempotent" if n % 3 else "mutating",
                "deadline": "4000ms",
                "target_time": f"{1000 + revision % 1000 if n == revision % routes else 1000}ms",
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
            {"name": f"t{n}", "apiKeys": [api_key(n)], "ratePerS": 100, "burst": 100}
            for n in range(tenants)
        ],
    }


def route_update(
    gen: int, parent: int, routes: int, services: int, revision: int
) -> dict[str, Any]:
    """Return an update of one route on top of the version `parent`."""
    full = content(gen, routes, 0, services, revision)
    return {
        "gen": gen,
        "parent": parent,
        "upsert": {"routes": [full["routes"][revision % routes]]},
        "remove": {},
    }
