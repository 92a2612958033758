"""Keys stay required once the last tenant is removed, however the configuration gets there."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.key_requirement import (
    PLACEHOLDER_NAME,
    requires_keys,
    with_key_requirement,
    without_placeholder,
)
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.state import State
from cairndale.configuration.validation import change_errors, content_errors
from cairndale.dataplane.config_client import ConfigClient
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_state_models import content, route

NAMES = ("a", "b")
NO_KEY, UNKNOWN_KEY = b"", b"Token never"


def tenant(name: str) -> dict[str, Any]:
    return {"name": name, "apiKeys": [f"k-{name}"]}


tenant_lists = st.sets(st.sampled_from(NAMES)).map(lambda names: [tenant(n) for n in sorted(names)])
replaces = st.one_of(st.none(), tenant_lists).map(
    lambda tenants: (Verb.REPLACE, {} if tenants is None else {"tenants": tenants})
)
updates = st.tuples(tenant_lists, st.lists(st.sampled_from(NAMES), unique=True)).map(
    lambda lists: (
        Verb.UPDATE,
        {"upsert": {"tenants": lists[0]}, "remove": {"tenants": lists[1]}},
    )
)


def body_of(verb: Verb, change: dict[str, Any], gen: int) -> dict[str, Any]:
    body = {"gen": gen, "parent": gen - 1, **change}
    if verb is Verb.REPLACE:
        # Enough items for a delta to be smaller than the full content.
        routes = [route(f"r{number}") for number in range(60)]
        full = content(**body, routes=routes)
        return full if "tenants" in change else {k: v for k, v in full.items() if k != "tenants"}
    return body


def apply(state: State, verb: Verb, body: dict[str, Any], digest: str) -> None:
    assert state.apply(Command(verb, digest, body))
    assert not content_errors(state.content)
    while not state.history.digest_next_items(state.content):
        pass


def received(config: ConfigClient, state: State) -> RouteTable:
    """The route table of an ingress after it has received the state's configuration."""
    response = pb.WatchResponse(config_version=state.version, generation=state.gen)
    delta = state.history.delta_since(config.cursor.generation)
    if delta and config.cursor.generation:
        response.delta.base_generation, response.delta.generation = delta.base_gen, delta.gen
        response.delta.base_digest, response.delta.digest = delta.base_digest, delta.digest
        response.delta.change = delta.encoded_changes
    else:
        response.has_content, response.content = True, state.encoded_content()
    update = config.apply(response, pb.Node(), 0.0, 0.0, 0)
    assert update and not update.rejection_reason
    return config.route_table


def admits_nobody(table: RouteTable) -> bool:
    keys = [NO_KEY, UNKNOWN_KEY, *(b"Token k-%b" % name.encode() for name in NAMES)]
    unknown = [key for key in keys if table.find_tenant(key) is None]
    return not any(table.admits_without_tenant(key) for key in unknown)


# Guards against review/4: with the last tenant, every key was taken away, and all routes were open.
@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.one_of(replaces, updates), st.booleans()), min_size=1, max_size=6))
def test_keys_are_required_from_the_first_tenant_on(
    changes: list[tuple[tuple[Verb, dict[str, Any]], bool]],
) -> None:
    """By every leader of this version; the configuration that is read back is the one sent."""
    state, as_sent = State(), State()
    live = ConfigClient(0.0, [])
    had_tenants = False
    for gen, ((verb, change), restarts) in enumerate(changes, 1):
        if gen == 1:
            verb, change = Verb.REPLACE, {n: v for n, v in change.items() if n == "tenants"}
        body = body_of(verb, change, gen)
        assert not change_errors(body, verb is Verb.REPLACE, state.gen)
        apply(as_sent, verb, body, f"c{gen}")
        apply(state, verb, with_key_requirement(verb, body, state.content), f"c{gen}")
        assert without_placeholder(state.content) == as_sent.content
        had_tenants = had_tenants or requires_keys(as_sent.content)
        assert requires_keys(state.content) == had_tenants
        if restarts:
            state, live = State.decode(state.encode()), ConfigClient(0.0, [])
        for table in (received(live, state), received(ConfigClient(0.0, []), state)):
            assert admits_nobody(table) == had_tenants
            assert table.admits_without_tenant(NO_KEY) == (not had_tenants)


# Guards against review/4 beside a leader of 23c1936, which sends no placeholder.
@settings(max_examples=40, deadline=None)
@given(st.lists(st.one_of(replaces, updates), min_size=1, max_size=5))
def test_an_ingress_requires_keys_beside_an_earlier_leader(
    changes: list[tuple[Verb, dict[str, Any]]],
) -> None:
    state, live, had_tenants = State(), ConfigClient(0.0, []), False
    for gen, (verb, change) in enumerate(changes, 1):
        if gen == 1:
            verb, change = Verb.REPLACE, {n: v for n, v in change.items() if n == "tenants"}
        apply(state, verb, body_of(verb, change, gen), f"c{gen}")
        had_tenants = had_tenants or requires_keys(state.content)
        assert admits_nobody(received(live, state)) == had_tenants


# Guards against keys that open the service after a restart, once 23c1936 has emptied the list.
def test_a_key_is_refused_beside_a_list_that_an_earlier_version_emptied() -> None:
    stored = State()
    apply(stored, Verb.REPLACE, body_of(Verb.REPLACE, {"tenants": [tenant("a")]}, 1), "c1")
    apply(stored, Verb.UPDATE, body_of(Verb.UPDATE, {"remove": {"tenants": ["a"]}}, 2), "c2")
    table = received(ConfigClient(0.0, []), State.decode(stored.encode()))
    assert not table.admits_without_tenant(b"Token k-a")
    assert not table.admits_without_tenant(UNKNOWN_KEY)


def test_a_configuration_that_never_had_tenants_stays_open() -> None:
    never = State()
    apply(never, Verb.REPLACE, body_of(Verb.REPLACE, {}, 1), "c1")
    table = received(ConfigClient(0.0, []), never)
    assert table.admits_without_tenant(NO_KEY) and table.admits_without_tenant(UNKNOWN_KEY)
    assert never.content == without_placeholder(never.content)


@pytest.mark.parametrize(
    "body",
    [
        content(tenants=[tenant(PLACEHOLDER_NAME)]),
        {"gen": 8, "parent": 7, "upsert": {"tenants": [tenant(PLACEHOLDER_NAME)]}},
        {"gen": 8, "parent": 7, "remove": {"tenants": ["a", PLACEHOLDER_NAME]}},
    ],
)
def test_the_placeholder_cannot_be_named(body: dict[str, Any]) -> None:
    errors = change_errors(body, "routes" in body, 0)
    assert any(e.endswith(f"the name {PLACEHOLDER_NAME!r} is reserved") for e in errors)
