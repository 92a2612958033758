"""Names and keys that a field of HTTP or a line of the log cannot carry unchanged are refused."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairndale import events
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.state import State
from cairndale.configuration.stepwise import run_to_completion
from cairndale.configuration.validation import content_errors
from cairndale.control.endpoint_codec import endpoint_to_message
from cairndale.control.heartbeat_batch import register_endpoints
from cairndale.dataplane.request_router import RequestRouter
from cairndale.events import Event, log_event
from cairndale.http_api.router import CONTROL_ROUTES, RouteFailure, RouteMatch, match
from cairndale.ingress.net.requests import BadRequest
from cairndale.json_text import NOT_ENCODABLE, escape_line, field_error
from cairndale.registry.endpoints import EndpointRegistry, HeartbeatError, read_heartbeat
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_state_models import content, heartbeat, route

ENDS_BLANK = "begins or ends with white space"
CONTROL = "has a control character or a line break"
# Names that no field carries unchanged, and the reason in the error.
NOT_CARRIED = {
    "t1 ": ENDS_BLANK,
    " t1": ENDS_BLANK,
    "t1\t": ENDS_BLANK,
    "t1\r\n": ENDS_BLANK,
    "t1\u00a0": ENDS_BLANK,
    "\u3000t1": ENDS_BLANK,
    "\ufefft1": ENDS_BLANK,
    " ": ENDS_BLANK,
    "t\n1": CONTROL,
    "t\x001": CONTROL,
    "t\x7f1": CONTROL,
    "t\u00851": CONTROL,
    "t\u20281": CONTROL,
    "t\ud8001": NOT_ENCODABLE,
}
CARRIED = ["t1", "t 1", "t  1", "Höhenprofil", "t,1", 't"1', "t:1", "T1", "\U0001f5fa", "=t\\1"]


# Guards against review/7: requests of a tenant whose name ended with a blank ran as another's.
def test_tenants_that_no_field_can_name_are_refused_all_at_once() -> None:
    tenants = [{"name": name, "apiKeys": [f"k{n}"]} for n, name in enumerate(NOT_CARRIED)]
    assert content_errors(content(tenants=tenants)) == [
        f"tenants[{number}].name: {name!r} {reason}"
        for number, (name, reason) in enumerate(NOT_CARRIED.items())
    ]


def test_errors_of_names_are_told_beside_those_of_other_fields() -> None:
    raw = content(
        routes=[route(host="::1", deadline="soon")],
        backends=[{"name": "s1"}, {"name": "s\n2", "maxConns": -1}],
        tenants=[{"name": "t1 ", "apiKeys": ["k\t1"], "prio": "high"}, {"name": 5, "apiKeys": "k"}],
    )
    assert sorted(error.partition(": ")[0] for error in content_errors(raw)) == [
        "backends[1].maxConns",
        "backends[1].name",
        "routes[0].deadline",
        "routes[0].host",
        "tenants[0].apiKeys[0]",
        "tenants[0].name",
        "tenants[0].prio",
        "tenants[1].apiKeys",
        "tenants[1].name",
    ]


def test_all_other_names_are_taken() -> None:
    tenants = [{"name": name, "apiKeys": [f"k{n}"]} for n, name in enumerate(CARRIED)]
    assert not content_errors(content(tenants=tenants))
    table = RouteTable(content(tenants=tenants))
    assert [t.field_value for t in table.tenants.values()] == [name.encode() for name in CARRIED]


# Guards against keys that are acknowledged and then get 401 (seen by the reviewers of review/7).
def test_keys_that_no_request_can_carry_are_refused_without_showing_them() -> None:
    keys = ["good!", "secret ", "se\tcret", "se cret"]
    errors = content_errors(content(tenants=[{"name": "t1", "apiKeys": keys}]))
    assert errors == [f"tenants[0].apiKeys[1]: {ENDS_BLANK}", f"tenants[0].apiKeys[2]: {CONTROL}"]


@pytest.mark.parametrize("key", CARRIED)
def test_all_other_keys_are_found(key: str) -> None:
    raw = content(tenants=[{"name": "t1", "apiKeys": [key]}])
    assert not content_errors(raw)
    table = RouteTable(raw)
    for scheme in (b"Token ", b"token  "):
        assert table.find_tenant(scheme + key.encode())
        assert not table.find_tenant(scheme + key.encode() + b" x")
    for authorization in (key.encode(), b"Token", b"Token ", b"Token   ", b"Basic " + key.encode()):
        assert not table.find_tenant(authorization)


@pytest.mark.parametrize("name", ["s\n1", "s\u20281", "s\x1b[2J"])
def test_services_that_no_line_can_name_are_refused(name: str) -> None:
    raw = content(backends=[{"name": name}], routes=[])
    assert content_errors(raw) == [f"backends[0].name: {name!r} {CONTROL}"]
    assert not content_errors(content(backends=[{"name": " s "}], routes=[route(backend=" s ")]))


# Guards against a configuration of 23c1936 that no Update can change any longer.
def test_names_of_an_earlier_version_do_not_stop_unrelated_updates() -> None:
    odd = {"name": "t1 ", "apiKeys": ["k1 "]}
    state = State()
    assert state.apply(Command(Verb.REPLACE, "old", content(tenants=[odd])))
    state = State.decode(state.encode())

    def errors(**upsert: Any) -> list[str]:
        update = Command(Verb.UPDATE, "u", {"gen": 8, "parent": 7, "upsert": upsert})
        updated = run_to_completion(state.resulting_content_steps(update))
        return content_errors(updated, state.content)

    assert not errors(tenants=[{"name": "t1", "apiKeys": ["k1"]}], routes=[route("r2")])
    assert len(errors(tenants=[odd | {"prio": 1}])) == 2


def router_for(table: RouteTable) -> RequestRouter:
    config = cast(Any, SimpleNamespace(route_table=table))
    return RequestRouter(config=config, serving=Mock(), numbering=Mock(), rng=Mock())


# Guards against review/7 beside a leader of 23c1936, or with a state that it stored.
@pytest.mark.parametrize("name", NOT_CARRIED)
def test_an_ingress_refuses_requests_of_a_tenant_that_it_cannot_name(name: str) -> None:
    tenants = [{"name": "t1", "apiKeys": ["k1"]}, {"name": name, "apiKeys": ["k2"]}]
    router = router_for(RouteTable(content(tenants=tenants)))
    _, tenant = router.match(b"a.example", b"/r1/x", b"Token k1")
    assert tenant and tenant.field_value == b"t1"
    with pytest.raises(BadRequest) as refusal:
        router.match(b"a.example", b"/r1/x", b"Token k2")
    assert refusal.value.status == 503


# Guards against a server id that adds fields to requests, or that names another server.
@pytest.mark.parametrize("name", NOT_CARRIED)
def test_servers_that_no_field_can_name_are_refused(name: str) -> None:
    with pytest.raises(HeartbeatError, match=r"^id: "):
        read_heartbeat(name, heartbeat(1), 0.0)


# Guards against such a server in a batch of a follower of 23c1936, which does not check ids.
def test_servers_that_an_earlier_follower_reports_are_left_out() -> None:
    registry, report = EndpointRegistry(), pb.EndpointReport()
    for id in ("i", "i ", "i\r\nX-Tenant: other"):
        endpoint = replace(read_heartbeat("i", heartbeat(1), 0.0), id=id)
        report.endpoints.append(endpoint_to_message(endpoint, 0.0))
    assert register_endpoints(registry, report, 0.0)
    assert list(registry.endpoints) == ["i"]


# Guards against requests to a server whose departure was acknowledged (DRAIN): an earlier leader
# listed it, an earlier follower acknowledged it, and the new leader left it out for its id.
def test_the_departure_of_a_server_that_an_earlier_leader_listed_counts() -> None:
    registry, report = EndpointRegistry(), pb.EndpointReport()
    listed = replace(read_heartbeat("i", heartbeat(1), 0.0), id="i ")
    registry.apply_update([listed], version=1, is_full=True)
    endpoint = replace(read_heartbeat("i", heartbeat(2, state="draining"), 0.5), id="i ")
    report.endpoints.append(endpoint_to_message(endpoint, 0.5))
    assert register_endpoints(registry, report, 0.5)
    assert registry.endpoints["i "].state == "draining"


@pytest.mark.parametrize("name", CARRIED)
def test_servers_with_other_names_are_taken(name: str) -> None:
    assert read_heartbeat(name, heartbeat(1), 0.0).id == name


def test_a_host_that_is_no_text_is_refused() -> None:
    errors = content_errors(content(routes=[route(host="\ud800.example")]))
    assert errors == [f"routes[0].host: {chr(0xD800) + '.example'!r} {NOT_ENCODABLE}"]


@pytest.mark.parametrize("call", ["Instances.Heartbeat", "Instances.Deregister", "Drain.Begin"])
def test_names_in_paths_are_text_of_one_line(call: str) -> None:
    for name in ("i%FF", "i%ED%A0%80", "i%0A", "i%E2%80%A8"):
        refused = match(CONTROL_ROUTES, "POST", f"/-/{call}/{name}")
        assert isinstance(refused, RouteFailure) and refused.status == 400, name
    taken = match(CONTROL_ROUTES, "POST", f"/-/{call}/i%20%C3%B6%2F")
    assert isinstance(taken, RouteMatch) and list(taken.args.values()) == ["i ö/"]


# Guards against names that write lines of their own into the log.
@given(st.text(max_size=20))
def test_an_event_is_one_line_of_the_log(name: str) -> None:
    log = Mock(isEnabledFor=lambda level: True)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(events, "_log", log)
        log_event(Event.ENDPOINTS_CHANGED, "%s gone", name)
    line = log.log.call_args.args[1] % log.log.call_args.args[2:]
    assert line.splitlines() == [line] and line.startswith("400 endpoints_changed: ")
    if not field_error(name):
        assert line.endswith(f" {name} gone")
    assert escape_line(escape_line(name)) == escape_line(name)
