"""Changes that ingresses of earlier versions cannot handle requests by."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from cairndale.configuration.commands import Verb
from cairndale.configuration.rules_level import RULES_LEVEL, changed_items_of_this_level
from cairndale.rpc.lease_timing import NODE_LEASE_S
from tests.testing.control_cluster import ControlCluster, configuration, run_in_virtual_time

pytestmark = pytest.mark.usefixtures("memory_cluster")

ROUTE = {"pathPrefix": "/r/", "kind": "idempotent", "backend": "s1"}
PORTED = ROUTE | {"name": "ported", "host": "a.example:8206"}
PLAIN = ROUTE | {"name": "plain", "host": "B.example"}


def update(gen: int, *routes: dict[str, Any], parent: int = 1) -> bytes:
    return json.dumps({"gen": gen, "parent": parent, "upsert": {"routes": routes}}).encode()


def play(scenario: Callable[[ControlCluster, str], Awaitable[None]], name: str) -> None:
    """Runs a scenario on a cluster with a configuration; one of two ingresses is of 23c1936."""

    async def run() -> None:
        cluster = ControlCluster(Path(name), node_count=3)
        await cluster.start_all()
        cluster.ingresses[0].rules_level = 0
        await asyncio.sleep(1.0)  # until the leader knows
        host = cluster.hosts[0]
        assert (await send(cluster, host, configuration(1, 0), "Replace"))[0] == 200
        await scenario(cluster, host)

    run_in_virtual_time(run())


async def send(
    cluster: ControlCluster, host: str, body: bytes, call: str = "Update"
) -> tuple[int, Any]:
    """Sends a change for a second, as operators do; the last answer."""
    for _ in range(10):
        status, answer = await cluster.call(host, "POST", f"Config.{call}", body)
        if status < 500:
            break
        await asyncio.sleep(0.1)
    return status, answer


# Guards against review/6 in a rolling upgrade: a route of a host with a port was acknowledged, and
# an ingress of 23c1936 went on to send its requests to the service of the host without one.
def test_a_route_with_a_port_waits_for_ingresses_of_earlier_versions() -> None:
    async def scenario(cluster: ControlCluster, host: str) -> None:
        for body, call in (
            (update(2, PORTED), "Update"),
            (configuration(2, 1, routes=[PORTED]), "Replace"),
        ):
            status, answer = await send(cluster, host, body, call)
            assert status == 503 and "edge-1: of an earlier" in str(answer), answer
            _, read = await cluster.call(host, "GET", "Config.Read")
            assert read["gen"] == 1
        assert (await send(cluster, host, update(3, PLAIN)))[0] == 200
        cluster.ingresses[0].rules_level = RULES_LEVEL  # replaced by one of this version
        await asyncio.sleep(1.0)
        assert (await send(cluster, host, update(4, PORTED, parent=3)))[0] == 200

    play(scenario, "upgrade")


def test_a_route_with_a_port_is_taken_once_the_earlier_ingress_is_gone() -> None:
    async def scenario(cluster: ControlCluster, host: str) -> None:
        cluster.watch_tasks[0].cancel()
        assert (await send(cluster, host, update(2, PORTED)))[0] == 503  # it may serve for a while
        await asyncio.sleep(NODE_LEASE_S)
        assert (await send(cluster, host, update(2, PORTED)))[0] == 200

    play(scenario, "gone")


def test_other_changes_go_on_beside_a_route_with_a_port() -> None:
    async def scenario(cluster: ControlCluster, host: str) -> None:
        cluster.ingresses[0].rules_level = RULES_LEVEL
        await asyncio.sleep(1.0)
        assert (await send(cluster, host, update(2, PORTED)))[0] == 200
        cluster.ingresses[0].rules_level = 0  # put back to an earlier version
        await asyncio.sleep(1.0)
        assert (await send(cluster, host, update(3, PORTED, PLAIN, parent=2)))[0] == 200
        other = PORTED | {"host": "a.example:8207"}
        assert (await send(cluster, host, update(4, other, parent=3)))[0] == 503

    play(scenario, "other")


# Guards against the same for an acknowledged key, to which an ingress of 23c1936 answers 401, and
# for a host in a form that it compares as another one.
@pytest.mark.parametrize(
    ("table", "field", "value", "needs_this_level"),
    [
        ("routes", "host", "a.example:8206", True),
        ("routes", "host", "a.example.", True),
        ("routes", "host", "a.example:", True),
        ("routes", "host", "[0::1]", True),
        ("routes", "host", "A.Example", False),
        ("routes", "host", "[::1]", False),
        ("tenants", "apiKeys", ["k", "a key"], True),
        ("tenants", "apiKeys", ["Schlüssel"], True),
        ("tenants", "apiKeys", ["9anu6wsjnbanfqasnmgk", "!~"], False),
        ("tenants", "apiKeys", [], False),
    ],
)
def test_what_ingresses_of_earlier_versions_handle_otherwise(
    table: str, field: str, value: Any, needs_this_level: bool
) -> None:
    item = {"name": "x", "host": "a.example", field: value}
    found = ["x"] if needs_this_level else []
    update, replace = {"upsert": {table: [item]}}, {table: [item]}
    assert changed_items_of_this_level(Verb.UPDATE, update, {}) == found
    assert changed_items_of_this_level(Verb.REPLACE, replace, {}) == found
    assert changed_items_of_this_level(Verb.REPLACE, replace, {table: [item]}) == []
    assert changed_items_of_this_level(Verb.UPDATE, update, {table: [item | {"prio": 1}]}) == found
