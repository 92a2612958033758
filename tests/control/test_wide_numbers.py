"""Numbers of operators, servers and clients that are wider than the fields that carry them."""

from __future__ import annotations

import json
import random
import zlib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.numbers import finite_weights
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.routes import Tenant, read_item
from cairndale.configuration.state import State
from cairndale.configuration.validation import change_errors, content_errors
from cairndale.control.endpoint_codec import endpoint_from_message, endpoint_to_message
from cairndale.control.leadership import Leadership
from cairndale.dataplane.node import DataPlaneNode
from cairndale.dataplane.request_router import _timeout_us
from cairndale.ingress.policy.account import TenantAccount
from cairndale.ingress.policy.interface import Plan
from cairndale.registry.endpoints import EndpointRegistry, read_heartbeat
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import parse_settings
from tests.control.test_state_models import SETTINGS, content, heartbeat, route
from tests.testing.control_calls import now, restart_all
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
    run_in_virtual_time,
    use_memory_cluster,
)

DIGITS = 4300  # of the longest number that is read from JSON
COUNTS = st.sampled_from([0, 1, 2**31, 2**32, 2**53 + 1, 2**63, 2**64, 10**309, 10 ** (DIGITS - 1)])
QUANTITIES = st.one_of(COUNTS, st.sampled_from([0.5, 5e-324, 1e300, 1.7e308]))
DURATIONS = st.sampled_from(
    ["0ms", "0.5ms", "1500ms", "0.30000000000000004s", "4294968s", "999999999999s", "9" * 400 + "s"]
)


@st.composite
def odd_contents(draw: st.DrawFn) -> dict[str, Any]:
    """Configurations that the pages call valid, with numbers of any size."""
    split = [{"backend": "s1", "weight": draw(QUANTITIES)} for _ in range(2)]
    split.append({"backend": "s1", "weight": 1})
    odd_route = {"deadline": draw(DURATIONS), "target_time": draw(DURATIONS), "tries": draw(COUNTS)}
    service = {"maxConns": draw(COUNTS), "warmup": draw(DURATIONS), "warmupPerS": draw(QUANTITIES)}
    tenant = {"ratePerS": draw(QUANTITIES), "burst": draw(QUANTITIES), "prio": draw(COUNTS)}
    limits = {"maxHeaderBytes": draw(COUNTS), "maxBodyBytes": draw(COUNTS)}
    limits |= {"headerTimeout": draw(DURATIONS), "idleTimeout": draw(DURATIONS)}
    return content(
        gen=draw(COUNTS.filter(bool)),
        routes=[route(prio=draw(COUNTS), **odd_route), route("r2", backend=None, split=split)],
        backends=[{"name": "s1"} | service],
        tenants=[{"name": "t", "apiKeys": ["k"]} | tenant],
        limits=limits,
    )


def without_none(raw: dict[str, Any]) -> dict[str, Any]:
    routes = [{k: v for k, v in item.items() if v is not None} for item in raw["routes"]]
    return raw | {"routes": routes}


# Guards against a valid configuration whose numbers overflow at the leader or at an ingress.
@settings(max_examples=150, deadline=None, derandomize=True)
@given(odd_contents())
def test_a_configuration_with_odd_numbers_is_taken_and_put_into_force(raw: dict[str, Any]) -> None:
    body = json.loads(json.dumps(without_none(raw) | {"parent": 0}))
    assert not change_errors(body, True, 0) and not content_errors(body)
    state, registry = State(), EndpointRegistry()
    assert state.apply(Command.decode(Command(Verb.REPLACE, "d", body).encode()))
    assert State.decode(state.encode()) == state
    bounds = parse_settings(SETTINGS).bounds
    leadership = Leadership(3, 100.0, False, registry, NodeRegistry(), [], bounds, 1.5)
    leadership.apply_state(state)
    assert registry.record_heartbeat(read_heartbeat("i", heartbeat(1), 100.0))
    registry.restart_warmup("z1", 100.0, leadership.warmups(state))
    node = pb.Node(name="e", incarnation="1", kind="edge")
    request = pb.WatchRequest(node=node, wait_ms=250)
    leadership.record_watch_request(100.1, request)
    response = leadership.watch_responses.update(100.1, request, state)
    assert json.loads(zlib.decompress(response.content)) == state.content
    left = leadership.grants.grant_quota(100.2, pb.QuotaRequest(tenant="t", amount=2))
    assert left is None or -2 <= left < float("inf")
    leadership.grants.grant_budget(100.2, pb.BudgetRequest(budgets=["starts/i", "further/s1"]))
    table = RouteTable(state.content)
    assert all(r.service(random.Random(1)) == "s1" for r in table.routes.values())


async def test_an_ingress_applies_odd_numbers(monkeypatch: pytest.MonkeyPatch) -> None:
    node = DataPlaneNode(parse_settings(SETTINGS))
    wide = 10 ** (DIGITS - 1)
    raw = content(
        gen=wide,
        routes=[route(prio=wide, tries=wide, deadline="9" * 400 + "s")],
        backends=[{"name": "s1", "maxConns": wide, "warmup": "9" * 30 + "s", "warmupPerS": wide}],
        tenants=[{"name": "t", "apiKeys": ["k"], "ratePerS": wide, "burst": wide, "prio": wide}],
        limits={
            "maxHeaderBytes": wide,
            "maxBodyBytes": wide,
            "headerTimeout": "9" * 400 + "s",
            "idleTimeout": "9" * 400 + "ms",
        },
    )
    endpoint = pb.Endpoint(id="i", service="s1", address="10.1.0.9:80", zone="z", state="ready")
    endpoint.warmup_left_ms, endpoint.capacity = (1 << 32) - 1, (1 << 32) - 1
    response = pb.WatchResponse(epoch="1", lease_ms=4500, config_version=1, ingress_count=1)
    response.endpoints.append(endpoint)
    response.has_content, response.content = True, zlib.compress(json.dumps(raw).encode())
    node.applier.apply(response, node.describe(), node.serving.now())
    assert node.config_client.route_table.gen == wide
    assert node.readiness.is_ready()
    node.ingress.backends.stop()


# Guards against a quota whose time to fill overflows: the ingress logged OverflowError, and the
# plans of the tenants after it stayed as they were.
@pytest.mark.parametrize(
    ("rate", "burst"),
    [(5e-324, 1), (5e-324, 10**400), (1e-310, 70), (10**400, 5e-324), (0, 1)],
    ids=["smallest rate", "extremes", "denormal rate", "largest rate", "no limit"],
)
def test_a_quota_of_any_size_fills_in_a_finite_time(rate: float, burst: float) -> None:
    raw = {"apiKeys": ["k"], "ratePerS": rate, "burst": burst}
    tenant = read_item("tenants", "t", raw, {})
    assert isinstance(tenant, Tenant) and (tenant.rate_per_s > 0) == (rate > 0)
    plan = Plan(name="t", rate=tenant.rate_per_s, burst=tenant.burst)
    account = TenantAccount(plan, 2, slot_us=1_000_000, bucket_updated_at=0)
    account.record_arrival(10, 1.0, is_retry=False)
    assert account.window_us >= 1_000_000


NUMBERS_OF_SETTINGS = [
    *(f"sla.slo.{name}" for name in ("retryRatio", "retrySlack", "quotaOverrun", "quotaSlack")),
    *(f"sla.slo.{name}" for name in ("warmupOverrun", "warmupSlack")),
    "self.limits.memMb",
    "self.limits.nofile",
]


# Guards against a process that does not start, or a leader that grants no units, as a number of
# the settings file is wider than a float.
@pytest.mark.parametrize("path", NUMBERS_OF_SETTINGS)
@pytest.mark.parametrize("value", [10**400, 10**30])
async def test_settings_with_odd_numbers_are_taken(path: str, value: int) -> None:
    raw = json.loads(json.dumps(SETTINGS))
    *parents, name = path.split(".")
    section = raw
    for parent in parents:
        section = section[parent]
    section[name] = value
    made = parse_settings(raw)
    node = DataPlaneNode(made)
    leadership = Leadership(
        3, 100.0, False, EndpointRegistry(), NodeRegistry(), [], made.bounds, 1.5
    )
    state = State()
    assert state.apply(Command(Verb.REPLACE, "d", content(gen=1)))
    leadership.apply_state(state)
    for _ in range(3):
        leadership.grants.grant_budget(100.2, pb.BudgetRequest(budgets=["further/s1"]))
    response = pb.WatchResponse(epoch="1", lease_ms=4500, config_version=1, ingress_count=1)
    response.has_content = True
    response.content = zlib.compress(json.dumps(content()).encode())
    node.applier.apply(response, node.describe(), node.serving.now())
    assert node.config_client.route_table.gen == 7
    node.ingress.backends.stop()


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ([90, 10], (90.0, 10.0)),
        ([1e308, 1e308], (1.0, 1.0)),
        ([10**400, 1, 0], (1.0, 0.0, 0.0)),
        ([10**400, 10**400 // 4], (1.0, 0.25)),
    ],
)
def test_weights_keep_their_ratios(weights: list[float], expected: tuple[float, ...]) -> None:
    assert finite_weights(weights) == expected


@pytest.mark.parametrize("text", [b"10000000000", b"9" * 400, b"0.12345678901"])
def test_a_deadline_of_any_length_is_read(text: bytes) -> None:
    assert 0 <= _timeout_us({b"x-deadline-ms": text}, 3_000_000) <= 3_000_000


@pytest.mark.parametrize("seq", [0, 1 << 62, (1 << 64) - 1, 1 << 64, 20261204110000123456, 10**300])
def test_a_sequence_number_of_any_size_is_sent(seq: int) -> None:
    raw = heartbeat(1)
    raw["status"] |= {"seq": seq}
    raw["details"] |= {"capacity": 10**30}
    sent = endpoint_to_message(read_heartbeat("i", raw, 5.0), 5.0)
    received = endpoint_from_message(pb.Endpoint.FromString(sent.SerializeToString()), 5.0)
    assert received.seq == seq and received.capacity >= 1_000_000


async def wide_sequence_numbers(violations: list[str]) -> None:
    """A server numbers its heartbeats by date and time; a late one must not undo its drain."""
    cluster, first = ControlCluster(Path("seq")), 20261204110000123456
    await cluster.start_all()
    for number in range(6):
        host = cluster.hosts[number % len(cluster.hosts)]
        if await cluster.send_heartbeat(host, "s9", first + number) != 200:
            violations.append("a heartbeat is refused")
    leader = cluster.leader()
    assert leader
    server = leader.endpoint_registry.endpoints["s9"]
    await cluster.send_heartbeat(cluster.hosts[0], "s9", first + 9, zone="z2")
    await cluster.send_heartbeat(cluster.hosts[1], "s9", first + 8, zone="z1")
    if (server.seq, server.zone) != (first + 9, "z2"):
        violations.append(f"a late heartbeat is taken: {server.seq} {server.zone}")


# Guards against servers that are never listed, as their sequence number is over 2**62.
def test_servers_may_number_their_heartbeats_by_date_and_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_memory_cluster(monkeypatch)
    violations = list[str]()
    run_in_virtual_time(wide_sequence_numbers(violations))
    assert not violations


async def change_to_a_wide_generation(violations: list[str]) -> None:
    """A configuration is numbered by date and time with microseconds, and changed after that."""
    cluster = ControlCluster(Path("wide"))
    await cluster.start_all()
    parent = 0
    for gen in (1, 20261204110000123456, 20261204110000123457, 10**30):
        begun = now()
        status, _ = await cluster.call(
            cluster.hosts[0], "POST", "Config.Replace", configuration(gen, parent)
        )
        parent = gen
        if status != 200 or now() - begun > 1.0:
            violations.append(f"gen {gen}: {status} after {now() - begun:.1f} s")
        if gen > 1:
            await restart_all(cluster)
    content = (await cluster.call(cluster.hosts[0], "GET", "Config.Read"))[1]
    if content["gen"] != parent:
        violations.append(f"gen {content['gen']} is read back")


# Guards against a large version number that ends all service for good (review/3).
def test_a_change_to_a_wide_generation_is_acknowledged_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_memory_cluster(monkeypatch)
    violations = list[str]()
    run_in_virtual_time(change_to_a_wide_generation(violations))
    assert not violations
