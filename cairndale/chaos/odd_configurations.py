"""Items of configurations with values that are rare, but valid."""

from __future__ import annotations

import random
from typing import Any

GENERATION_STEPS = (1, 2**32, 2**63, 2**64 + 1, 10**30)
DURATIONS = ("0.30000000000000004s", "4294968s", "999999999999s", "9" * 400 + "ms")
QUANTITIES = (0, 0.5, 5e-324, 1.7e308, 2**64, 10**400)
COUNTS = (0, 1, 2**32, 2**64, 10**400)
NAMES = ("odd", "Zürich 東京", "n" * 2000, '"/\\ :')
UNREADABLE_TEXT = "\ud800"  # half of a surrogate pair, which no message can carry


def odd_route(rng: random.Random, services: tuple[str, str]) -> dict[str, Any]:
    """A route to one of two services, whose weights differ by any factor."""
    return {
        "name": rng.choice(NAMES),
        "host": rng.choice(NAMES),
        "pathPrefix": f"/{rng.choice(NAMES)}/",
        "prio": rng.choice(COUNTS),
        "tries": rng.choice(COUNTS),
        "kind": "idempotent",
        "deadline": rng.choice(DURATIONS),
        "split": [
            {"backend": services[0], "weight": rng.choice(QUANTITIES)},
            {"backend": services[1], "weight": 1e308},
        ],
    }


def odd_tenant(rng: random.Random) -> dict[str, Any]:
    """A tenant with a quota of any size."""
    return {
        "name": rng.choice(NAMES),
        "apiKeys": [rng.choice(NAMES)],
        "prio": rng.choice(COUNTS),
        "ratePerS": rng.choice(QUANTITIES),
        "burst": rng.choice(QUANTITIES),
    }
