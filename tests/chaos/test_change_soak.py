"""A short soak of changes of keys, hosts and names, and the checks that it makes."""

from __future__ import annotations

import random
from typing import Any

import pytest

from cairndale.chaos.change_judge import Probe, change_violations
from cairndale.chaos.change_model import ClientRequest, Version, handling, updated
from cairndale.chaos.change_series import ChangeSeries, draw_request
from cairndale.chaos.change_soak import ChangeSoakPlan, run_change_soak
from cairndale.chaos.standins import Execution, Ledger
from cairndale.chaos.world import Attempt
from cairndale.configuration.validation import change_errors, content_errors

ROUTE = {"name": "r", "host": "a.example", "pathPrefix": "/r/", "kind": "idempotent"}
SERVICES = {"i-tiles": "tiles", "i-books": "books"}
REQUEST = ClientRequest("GET", "a.example", "/r/1", "key")


# Guards against requests handled by an older configuration than one that was acknowledged, or as
# none allows (review/4, /6, /7), and against requests to servers that have left.
async def test_a_short_soak_handles_requests_by_the_configuration_in_force() -> None:
    soak, violations = await run_change_soak(7, ChangeSoakPlan(edges=2, length_s=8.0))
    assert violations == [], soak.actions
    assert len(soak.versions) > 1 and soak.record.drained, soak.actions


def content(service: str, *tenants: str) -> dict[str, Any]:
    """A route to a service, and tenants that have the key."""
    listed = [{"name": name, "apiKeys": ["key"]} for name in tenants]
    return {"routes": [ROUTE | {"backend": service}], "tenants": listed}


def probe(sent_at: float, status: int = 200, incarnation: int = 1) -> Probe:
    attempt = Attempt(f"at {sent_at}", "GET", status, sent_at=sent_at)
    return Probe("edge-1", incarnation, REQUEST, attempt, sent_at + 0.1)


def run(sent_at: float, server: str, tenant: str) -> Execution:
    return Execution(f"at {sent_at}", server, tenant, "", "GET", "/r/1", sent_at)


# Sent at 0, 10 and 20; the last one has no clear answer.
VERSIONS = [
    Version(1, content("tiles", "north"), 0.0, 1.0),
    Version(2, content("books", "north"), 10.0, 11.0),
    Version(3, content("books"), 20.0),
]
TILES, BOOKS = ("i-tiles", "north"), ("i-books", "north")


@pytest.mark.parametrize(
    ("runs", "refused", "violation"),
    [
        ({2.0: TILES, 10.5: TILES, 12.0: BOOKS, 21.0: BOOKS}, {}, ""),
        ({2.0: TILES, 10.5: BOOKS, 12.0: BOOKS}, {21.0: 401, 22.0: 503}, ""),
        ({12.0: TILES}, {}, "by gen 1, though 2 was acknowledged"),
        ({2.0: BOOKS}, {}, "as no version allows"),
        ({2.0: ("i-tiles", "south")}, {}, "as no version allows"),
        ({}, {12.0: 401}, "as no version allows"),
        ({2.0: TILES}, {3.0: 404}, "as no version allows"),
        ({10.2: BOOKS, 10.5: TILES}, {}, "by gen 1, after gen 2"),
        ({22.0: BOOKS}, {21.0: 401}, "by gen 2, after gen 3"),
    ],
)
def test_what_versions_do_not_allow_is_reported(
    runs: dict[float, tuple[str, str]], refused: dict[float, int], violation: str
) -> None:
    ledger = Ledger([run(at, server, tenant) for at, (server, tenant) in runs.items()])
    probes = [probe(at, refused.get(at, 200)) for at in sorted([*runs, *refused])]
    found = list(change_violations(probes, VERSIONS, ledger, SERVICES))
    assert len(found) == bool(violation) and violation in "".join(found), found


def test_another_life_of_an_ingress_may_be_behind_what_was_not_acknowledged() -> None:
    ledger = Ledger([run(10.2, *BOOKS), run(10.5, *TILES)])
    probes = [probe(10.2), probe(10.5, incarnation=2)]
    assert not list(change_violations(probes, VERSIONS, ledger, SERVICES))


def test_series_are_valid_where_they_say_so_and_change_what_requests_get() -> None:
    rng = random.Random(5)
    series = ChangeSeries(rng)
    current = content("tiles", "north") | {"backends": [{"name": n} for n in SERVICES.values()]}
    public = ROUTE | {"name": "open", "pathPrefix": "/open/", "backend": "tiles", "public": True}
    current["routes"].append(public)
    changes_seen = 0
    for gen in range(1, 400):
        change = series.next(current)
        body = change.body | {"gen": gen, "parent": gen - 1}
        errors = change_errors(body, change.call == "Replace", gen - 1)
        errors += content_errors(change.content)
        assert bool(errors) != change.is_valid, (change, errors)
        if change.call == "Update":
            assert updated(current, body["upsert"], body["remove"]) == change.content
        if change.is_valid:
            requests = [draw_request(rng) for _ in range(200)]
            after = change.content
            changes_seen += any(handling(current, r) != handling(after, r) for r in requests)
            current = after
    assert changes_seen > 200, changes_seen
