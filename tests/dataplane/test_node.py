"""Data-plane node: readiness, quota units, drain and forwarding, driven by discovery responses."""

from __future__ import annotations

import asyncio
import json
import zlib
from typing import Any
from unittest.mock import Mock

import pytest

from cairndale.dataplane.node import DataPlaneNode
from cairndale.errors import CallTimeoutError
from cairndale.ingress.policy.interface import Outcome
from cairndale.quota.budget_counter import RETRY, WARMUP
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import parse_settings
from cairndale.supervision import run_restarting
from tests.control.test_state_models import SETTINGS, content, route
from tests.testing.ingress import HOST, PeerServer


def watch_response(epoch: str, services: dict[str, str], **fields: Any) -> pb.WatchResponse:
    """An incremental response with these endpoints (service by id)."""
    listed = [
        pb.Endpoint(
            id=id, service=service, address="10.1.0.9:80", zone="z", capacity=2, state="ready"
        )
        for id, service in services.items()
    ]
    return pb.WatchResponse(
        epoch=epoch, lease_ms=4500, config_version=1, endpoints=listed, ingress_count=1, **fields
    )


async def test_ingress_is_ready_once_each_service_has_an_endpoint_or_all_had_time() -> None:
    """Guards against an ingress that is announced to clients while it knows endpoints of one
    service only: it rejected requests to the other services."""
    configuration = content(
        routes=[
            route(),
            route("r2", backend="s2"),
            route("r3", split=[{"backend": "s1", "weight": 1}]),
        ],
        backends=[{"name": "s1"}, {"name": "s2"}, {"name": "unused"}],
    )
    encoded = zlib.compress(json.dumps(configuration).encode())
    for last, settled in (({"j": "s2"}, False), ({}, True)):
        node = DataPlaneNode(parse_settings(SETTINGS))
        now = node.serving.now()
        node.applier.apply(
            watch_response("1~", {}, has_content=True, content=encoded), node.describe(), now
        )
        assert not node.readiness.is_ready() and not node.describe().ready
        node.applier.apply(watch_response("1~", {"i": "s1"}), node.describe(), now)
        assert not node.readiness.is_ready() and not node.describe().ready
        node.applier.apply(
            watch_response("1" if settled else "1~", last, endpoints_settled=settled),
            node.describe(),
            now,
        )
        assert node.readiness.is_ready() and node.describe().ready
        # A later leader, which does not know all endpoints yet.
        node.applier.apply(watch_response("2~", {}), node.describe(), now)
        assert node.readiness.is_ready()
        node.ingress.backends.stop()


def node_in_contact(**fields: Any) -> DataPlaneNode:
    node = DataPlaneNode(parse_settings(SETTINGS))
    encoded = zlib.compress(json.dumps(content(**fields)).encode())
    response = watch_response(
        "1",
        {"i": "s1"},
        has_content=True,
        content=encoded,
        counter_active=True,
        endpoints_settled=True,
    )
    node.applier.apply(response, node.describe(), node.serving.now())
    return node


# Guards against requests to a server that a field cannot name, which an earlier leader lists.
async def test_servers_that_no_field_can_name_are_not_used() -> None:
    node = node_in_contact()
    listed = {"i ": "s1", "i\r\nX-Tenant: other": "s1", "i 2": "s1"}
    node.applier.apply(watch_response("1", listed), node.describe(), node.serving.now())
    assert [id for id in ("i", *listed) if node.ingress.engine.is_known(id)] == ["i", "i 2"]
    node.ingress.backends.stop()


async def test_lease_is_requested_again_if_the_empty_bucket_refills_within_the_pause() -> None:
    """A new leader's token buckets are empty: without the second request the first clients were
    rejected far below their quota."""
    tenants = [
        {"name": name, "apiKeys": [name], "ratePerS": rate, "burst": rate}
        for name, rate in (("fast", 1000), ("slow", 5))
    ]
    node = node_in_contact(tenants=tenants)
    requests, outcomes = list[tuple[str, float, float]](), list[tuple[Outcome, float | None]]()
    # Units granted, of two requested: none, both, none twice, one, none; then no response.
    answers = [-2.0, 0.5, -2.0, -2.0, -1.0, -2.0, None]

    async def call(
        envelope: pb.Envelope, timeout_s: float, attempt_timeout_s: float
    ) -> pb.Envelope:
        lease = envelope.quota_request
        requests.append((lease.tenant, lease.amount, lease.spent))
        if (left := answers.pop(0)) is None:
            raise CallTimeoutError()
        return pb.Envelope(quota_response=pb.QuotaResponse(remaining=left))

    node.leader_client.call = call  # type: ignore[method-assign]
    for tenant in ("fast", "fast", "fast", "slow", "fast"):
        customer = node.numbering.tenant_number(tenant)
        node.quota_client.lease(
            customer, 2.0, 1.5, lambda outcome, _, left=None: outcomes.append((outcome, left))
        )
        await asyncio.gather(*node.quota_client.calls)
    twice = [("fast", 2.0, 1.5), ("fast", 2.0, 0.0)]
    assert requests == [*twice, *twice, ("fast", 2.0, 1.5), ("slow", 2.0, 1.5), ("fast", 2.0, 1.5)]
    ok = [(Outcome.OK, left) for left in (0.5, -2.0, -1.0, -2.0)]
    assert outcomes == [*ok, (Outcome.RESET, None)]
    node.ingress.backends.stop()


async def test_grants_are_requested_by_unit_name_and_a_denial_stays_in_force() -> None:
    node = node_in_contact()
    requests, granted = list[pb.BudgetRequest](), list[int]()
    answers: list[pb.BudgetResponse | None] = [
        pb.BudgetResponse(granted=True, valid_ms=300),
        pb.BudgetResponse(retry_after_ms=700),
        None,
        pb.BudgetResponse(granted=True, valid_ms=300),
    ]

    async def call(
        envelope: pb.Envelope, timeout_s: float, attempt_timeout_s: float
    ) -> pb.Envelope:
        requests.append(envelope.budget_request)
        if (answer := answers.pop(0)) is None:
            raise CallTimeoutError()
        return pb.Envelope(budget_response=answer)

    node.leader_client.call = call  # type: ignore[method-assign]
    units = ((RETRY, node.numbering.service_number("s1")), (WARMUP, 1))
    began = node.clock.now()
    for _ in range(3):
        node.quota_client.acquire(units, granted.append)
        await asyncio.gather(*node.quota_client.calls)
    assert [list(request.budgets) for request in requests] == [["further/s1", "starts/i"]] * 3
    assert began < granted[0] <= node.clock.now() + 300_000 and granted[1:] == [0, 0]
    assert node.ingress.selector.is_denied(units[0], began + 150_000)
    node.config_client.last_response_at = float("-inf")  # isolated: no grant is requested
    node.quota_client.acquire(units, granted.append)
    await asyncio.gather(*node.quota_client.calls)
    assert len(requests) == 3 and granted[3] == 0
    node.ingress.backends.stop()


async def test_late_in_a_drain_requests_start_only_if_they_end_before_the_grace_period() -> None:
    """Requests of the first 3 s after SIGTERM may be aborted at the end of the grace period, later
    ones never."""
    node = DataPlaneNode(parse_settings(SETTINGS))
    encoded = zlib.compress(json.dumps(content()).encode())
    node.applier.apply(
        watch_response("1", {"i": "s1"}, has_content=True, content=encoded),
        node.describe(),
        node.serving.now(),
    )
    began, at = node.serving.now(), 0.0
    node.serving.now = lambda: began + at
    grace, usual, long = node.settings.bounds.grace, 1_000_000, 30_000_000
    node.ingress.selector.average_latencies[1] = usual
    assert node.serving.may_begin(1, long)
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0)
    begins = {}
    for tenth in range(round(grace * 10) + 1):
        at = tenth / 10
        begins[tenth] = node.serving.may_begin(1, long), node.serving.may_begin(1, 1_600_000)
    stopping.cancel()
    last = max(tenth for tenth, (any_, _) in begins.items() if any_)
    assert 25 <= last < 30 and all(begins[t] == (True, True) for t in range(last + 1))
    last = max(tenth for tenth, (_, short) in begins.items() if short)
    assert grace * 10 - 22 <= last <= grace * 10 - 16
    node.ingress.backends.stop()


async def serving_node(server: PeerServer, **fields: Any) -> tuple[DataPlaneNode, int]:
    """A node with this server as its endpoint and quota for every request, and its HTTP port."""
    node = DataPlaneNode(parse_settings(SETTINGS))
    configuration = content(routes=[route(deadline="60s")], **fields)
    response = watch_response(
        "1",
        {},
        has_content=True,
        content=zlib.compress(json.dumps(configuration).encode()),
        counter_active=True,
    )
    address = f"{HOST}:{server.port}"
    response.endpoints.append(
        pb.Endpoint(id="i", service="s1", address=address, zone="z", capacity=2, state="ready")
    )
    node.applier.apply(response, node.describe(), node.serving.now())
    lessor = node.ingress.engine.lease_client = Mock()
    lessor.lease = lambda customer, amount, spent, answered: answered(Outcome.OK, 0.0, 50.0)
    return node, await node.listener.listen(HOST, 0)


def request_bytes(more: bytes = b"") -> bytes:
    head = b"GET /r1/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\nX-Deadline-Ms: 60000\r\n"
    return head + more + b"Authorization: Token k1\r\n\r\n"


async def test_request_to_the_server_is_aborted_when_the_client_disconnects() -> None:
    server = await PeerServer().start()
    node, port = await serving_node(server)
    _, client = await asyncio.open_connection(HOST, port)
    client.write(request_bytes())
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    client.close()
    await server.wait_until(lambda: len(server.closed) == 1)
    assert node.ingress.engine.open_count == 0
    node.listener.stop_listening()
    node.ingress.backends.stop()
    server.stop()


@pytest.mark.parametrize("max_header_bytes", [0, 65536])
async def test_configuration_limits_the_size_of_a_request_head(max_header_bytes: int) -> None:
    server = await PeerServer().start()
    node, port = await serving_node(server, limits={"maxHeaderBytes": max_header_bytes})
    reader, client = await asyncio.open_connection(HOST, port)
    client.write(request_bytes(b"X-Long: %b\r\n" % (b"x" * 40_000)))
    if max_header_bytes:
        await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    else:
        assert (await asyncio.wait_for(reader.readline(), 10)).split()[1] == b"431"
    client.close()
    node.listener.stop_listening()
    node.ingress.backends.stop()
    server.stop()


# Guards against a watch task that ends by an exception: its node stops serving for good (review/3).
async def test_the_watch_goes_on_after_a_request_and_a_response_that_fail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = DataPlaneNode(parse_settings(SETTINGS))
    encoded = zlib.compress(json.dumps(content()).encode())
    response = watch_response("1", {"i": "s1"}, has_content=True, content=encoded)
    response.config_version = 7
    requests: list[pb.WatchRequest] = []
    applied = asyncio.Event()

    async def call(request: pb.Envelope, *_: float) -> pb.Envelope:
        requests.append(request.watch_request)
        await asyncio.sleep(0.01)
        if len(requests) > 2:
            applied.set()
        return pb.Envelope(watch_response=response)

    monkeypatch.setattr(node.leader_client, "call", call)
    fail_once(monkeypatch, node.config_client, "watch_request")
    fail_once(monkeypatch, node.ingress.engine, "update_endpoints")
    task = asyncio.create_task(run_restarting("configuration watch", node._watch.run))
    async with asyncio.timeout(10.0):
        await applied.wait()
    task.cancel()
    # The node serves on, but does not acknowledge what it applied in part, and asks for all of it.
    assert node.config_client.may_serve(node.serving.now())
    assert [request.config_version for request in requests[:3]] == [0, 6, 7]
    assert not requests[1].accepts_delta and requests[1].generation == 0
    assert node.config_client.route_table.gen and "i" in node.config_client.endpoints
    node.ingress.backends.stop()


# Guards against a request for units that fails unexpectedly and leaves its requester waiting.
async def test_failed_requests_for_units_are_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    node, answers = node_in_contact(), list[Any]()

    async def call(request: pb.Envelope, *_: float) -> pb.Envelope:
        raise ZeroDivisionError("on purpose")

    monkeypatch.setattr(node.leader_client, "call", call)
    number = node.numbering.tenant_number("t1")
    node.quota_client.lease(number, 1.0, 0.0, lambda *answer: answers.append(answer))
    node.quota_client.acquire(
        ((RETRY, node.numbering.service_number("s1")),), lambda until: answers.append(until)
    )
    async with asyncio.timeout(10.0):
        await asyncio.gather(*node.quota_client.calls)
    assert answers == [0, (Outcome.RESET, 0.0)]
    node.ingress.backends.stop()


def fail_once(monkeypatch: pytest.MonkeyPatch, owner: object, name: str) -> None:
    """Lets the next call of this method raise."""
    original, calls = getattr(owner, name), [0]

    def method(*args: Any) -> Any:
        calls[0] += 1
        if calls[0] == 1:
            raise ZeroDivisionError("on purpose")
        return original(*args)

    monkeypatch.setattr(owner, name, method)
