"""A data-plane node as discovery responses change it: readiness, units, drain, requests."""

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
from tests.control.test_state_models import SETTINGS, content, route
from tests.testing.ingress import HOST, PeerServer


def watch_response(epoch: str, services: dict[str, str], **fields: Any) -> pb.WatchResponse:
    """A response with endpoints (service by id), beyond what was announced before."""
    listed = [
        pb.Endpoint(
            id=id, service=service, address="10.1.0.9:80", zone="z", capacity=2, state="ready"
        )
        for id, service in services.items()
    ]
    return pb.WatchResponse(
        epoch=epoch, lease_ms=4500, config_version=1, endpoints=listed, ingress_count=1, **fields
    )


async def test_an_ingress_is_ready_once_it_knows_a_server_of_each_service_or_all_had_time() -> None:
    """One that knew servers of one service only was named to clients, and refused what went to
    another."""
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
        # a later leader, who has not heard of all yet
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


async def test_a_store_that_refills_in_a_moment_is_asked_again_before_anybody_is_refused() -> None:
    """A new leader's stores are empty: who asked first was refused, far below its quota."""
    tenants = [
        {"name": name, "apiKeys": [name], "ratePerS": rate, "burst": rate}
        for name, rate in (("fast", 1000), ("slow", 5))
    ]
    node = node_in_contact(tenants=tenants)
    requests, outcomes = list[tuple[str, float, float]](), list[tuple[Outcome, float | None]]()
    # of two units: none, both, none twice, one, none
    answers = [-2.0, 0.5, -2.0, -2.0, -1.0, -2.0, None]

    async def call(envelope: pb.Envelope, within: float, patience: float) -> pb.Envelope:
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


async def test_units_are_asked_for_by_name_and_a_no_holds_for_a_while() -> None:
    node = node_in_contact()
    requests, granted = list[pb.BudgetRequest](), list[int]()
    answers: list[pb.BudgetResponse | None] = [
        pb.BudgetResponse(granted=True, valid_ms=300),
        pb.BudgetResponse(retry_after_ms=700),
        None,
        pb.BudgetResponse(granted=True, valid_ms=300),
    ]

    async def call(envelope: pb.Envelope, within: float, patience: float) -> pb.Envelope:
        requests.append(envelope.budget_request)
        if (answer := answers.pop(0)) is None:
            raise CallTimeoutError()
        return pb.Envelope(budget_response=answer)

    node.leader_client.call = call  # type: ignore[method-assign]
    units = ((RETRY, node.numbering.service_number("s1")), (WARMUP, 1))
    began = node.clock.now()
    for _ in range(3):
        node.quota_client.deal(units, granted.append)
        await asyncio.gather(*node.quota_client.calls)
    assert [list(deal.budgets) for deal in requests] == [["further/s1", "starts/i"]] * 3
    assert began < granted[0] <= node.clock.now() + 300_000 and granted[1:] == [0, 0]
    assert node.ingress.selector.is_denied(units[0], began + 150_000)
    node.config_client.last_response_at = float("-inf")  # isolated: no grant is requested
    node.quota_client.deal(units, granted.append)
    await asyncio.gather(*node.quota_client.calls)
    assert len(requests) == 3 and granted[3] == 0
    node.ingress.backends.stop()


async def test_what_is_sent_late_after_sigterm_is_begun_only_if_it_is_over_by_the_end() -> None:
    """What was sent in the first 3 s may be cut at the end of the grace, what came later never."""
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


async def serving(server: PeerServer, **fields: Any) -> tuple[DataPlaneNode, int]:
    """An ingress in front of that server, with units for whoever asks; and the port that clients
    call."""
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
    lessor = node.ingress.engine.lessor = Mock()
    lessor.lease = lambda customer, amount, spent, answered: answered(Outcome.OK, 0.0, 50.0)
    return node, await node.listener.listen(HOST, 0)


def request_bytes(more: bytes = b"") -> bytes:
    head = b"GET /r1/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\nX-Deadline-Ms: 60000\r\n"
    return head + more + b"Authorization: Token k1\r\n\r\n"


async def test_a_server_is_not_left_at_work_for_a_client_that_has_gone() -> None:
    server = await PeerServer().start()
    node, port = await serving(server)
    _, client = await asyncio.open_connection(HOST, port)
    client.write(request_bytes())
    await server.until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    client.close()
    await server.until(lambda: len(server.closed) == 1)
    assert node.ingress.engine.open == 0
    node.listener.stop_listening()
    node.ingress.backends.stop()
    server.stop()


@pytest.mark.parametrize("most", [0, 65536])
async def test_a_head_may_be_as_large_as_the_configuration_says(most: int) -> None:
    server = await PeerServer().start()
    node, port = await serving(server, limits={"maxHeaderBytes": most})
    reader, client = await asyncio.open_connection(HOST, port)
    client.write(request_bytes(b"X-Long: %b\r\n" % (b"x" * 40_000)))
    if most:
        await server.until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    else:
        assert (await asyncio.wait_for(reader.readline(), 10)).split()[1] == b"431"
    client.close()
    node.listener.stop_listening()
    node.ingress.backends.stop()
    server.stop()
