"""Removes all tenants of a system, and checks that removed keys open nothing.

An operator removes the last tenants in one of three ways, and adds them again some time later.
Meanwhile clients send requests with the removed keys, with a key that never was one, and without
a key. None of them may run if it was sent more than `revoke` after the acknowledgement, whatever
happens to the processes (RULES: CONFIG and ROUTE; without a key: docs/incidents).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from cairndale.chaos.world import KEY, OTHER_KEY, Attempt, World

REVOKE_S = 5.0  # `revoke` in the settings of the processes
WITHOUT_TENANTS_S = (0.5, 4.0)  # after `revoke`: least and most
REQUEST_PAUSE_S = 0.03
NEVER_A_KEY, NO_KEY = "never-a-key", ""
REFUSED_KEYS = (KEY, OTHER_KEY, NEVER_A_KEY, NO_KEY)
REQUESTS = (("GET", "/tiles/removed"), ("POST", "/books/removed"))


class Removal(Enum):
    """How an operator removes all tenants."""

    UPDATE = "an Update that removes them"
    EMPTY_LIST = "a Replace by an empty list"
    NO_LIST = "a Replace without a list"


@dataclass(frozen=True, slots=True)
class KeylessTime:
    """A time without tenants, in seconds on the loop's clock."""

    acknowledged_at: float
    ended_at: float  # when the operator began to add tenants again

    def forbids(self, attempt: Attempt) -> bool:
        """Whether a request that was sent then must not run."""
        return self.acknowledged_at + REVOKE_S < attempt.sent_at < self.ended_at


def removal_body(how: Removal, content: dict[str, Any]) -> dict[str, Any]:
    """The body of the change, but for its generations."""
    if how is Removal.UPDATE:
        return {"remove": {"tenants": [tenant["name"] for tenant in content["tenants"]]}}
    without = {name: value for name, value in content.items() if name != "tenants"}
    return without | {"tenants": []} if how is Removal.EMPTY_LIST else without


async def send_refused_requests(world: World, rng: random.Random) -> KeylessTime:
    """Sends requests that must not run; call it at the acknowledgement of the removal."""
    loop = asyncio.get_running_loop()
    acknowledged_at = loop.time()
    until = acknowledged_at + REVOKE_S + rng.uniform(*WITHOUT_TENANTS_S)
    edges = [machine.name for machine in world.machines.values() if not machine.core]
    while loop.time() < until:
        method, path = rng.choice(REQUESTS)
        address = world.edge(rng.choice(edges))
        await world.request(method, path, rng.choice(REFUSED_KEYS), at=address)
        await asyncio.sleep(REQUEST_PAUSE_S)
    return KeylessTime(acknowledged_at, loop.time())


def key_violations(world: World, times: list[KeylessTime]) -> Iterator[str]:
    """The requests that ran though there was no tenant, a line each."""
    counts = world.ledger.execution_counts()
    for attempt in world.attempts:
        if counts[attempt.request] and any(time.forbids(attempt) for time in times):
            yield f"{attempt.request}: ran, though all tenants were removed ({attempt.path})"
