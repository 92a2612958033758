"""Deltas of the configuration, from the leader's history to an ingress.

The results are compared with ingresses that decode the full content at every change.
"""

from __future__ import annotations

import json
import random
import zlib
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cairndale.configuration import content_digest, delta, delta_history
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.content import TABLES
from cairndale.configuration.route_table import RouteTable
from cairndale.configuration.state import State
from cairndale.configuration.validation import content_errors
from cairndale.control.leadership import Leadership
from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.node import DataPlaneNode
from cairndale.errors import StaleCallError
from cairndale.ingress.net.http import Message
from cairndale.ingress.policy.account import TenantAccount
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import parse_settings
from tests.control.test_state_models import SETTINGS, content, route

NODE = pb.Node(name="e", incarnation="1", kind="edge", address="d", http_address="h")


def table_view(route_table: RouteTable) -> list[Any]:
    """Everything that users of a route table can read from it."""
    items = [
        route_table.routes_by_host,
        route_table.tenants_by_key,
        route_table.routes,
        route_table.tenants,
        route_table.services,
        route_table.limits,
    ]
    return [
        route_table.gen,
        route_table.digest,
        *items,
        dict(route_table.service_references),
        set(route_table.request_classes.values()),
    ]


def random_tenant(n: int, rng: random.Random) -> dict[str, Any]:
    keys = [f"k{n}", *(f"k{n}.{rng.randrange(3)}" for _ in range(rng.randrange(2)))]
    return {"name": f"t{n}", "apiKeys": keys, "ratePerS": rng.choice([0, 1, 1.0, 50]), "burst": 50}


def random_route(n: int, rng: random.Random) -> dict[str, Any]:
    prefix_id = n if rng.random() < 0.6 else "x"  # sometimes the same as another route's
    target_time, service = f"{rng.randint(1, 40)}s", f"s{rng.randrange(2)}"
    return route(
        f"r{n}",
        host=f"H{prefix_id}",
        pathPrefix=f"/p{prefix_id}/",
        backend=service,
        target_time=target_time,
    )


def initial_command(rng: random.Random, size: int = 60) -> Command:
    routes = [
        random_route(n, rng) | {"host": f"h{n}", "pathPrefix": f"/p{n}/"} for n in range(size)
    ]
    services = [{"name": f"s{n}", "warmupPerS": 5} for n in range(2)]
    tenants = [random_tenant(n, rng) for n in range(size - size // 3)]
    initial_content = content(gen=1, routes=routes, backends=services, tenants=tenants)
    return Command(Verb.REPLACE, "first", initial_content)


def next_command(state: State, rng: random.Random, size: int = 60) -> Command:
    """A valid Replace or Update on top of the content in force."""
    gen = state.gen + rng.randint(1, 3)
    numbers = rng.sample(range(size), rng.randint(1, 3))
    frame: dict[str, Any] = {"gen": gen, "parent": state.gen}
    if rng.random() < 0.2:
        limits = {"idleTimeout": f"{rng.randint(1, 3)}s"}
        tables = {
            t: rng.sample(state.content[t], len(state.content[t])) for t in ("routes", "tenants")
        }
        tables["routes"] = tables["routes"][rng.randrange(3) :]
        return Command(Verb.REPLACE, f"{gen}", state.content | frame | tables | {"limits": limits})
    prefixes = {r["name"]: r["pathPrefix"] for r in state.content["routes"]}
    removed = [f"r{n}" for n in rng.sample(range(size), rng.randrange(2))]
    upserted: dict[str, dict[str, Any]] = {}
    for n in numbers:
        changed = random_route(n, rng)
        current_owners = [
            name for name, prefix in prefixes.items() if prefix == changed["pathPrefix"]
        ]
        if all(
            name == changed["name"] or (name in removed and name not in upserted)
            for name in current_owners
        ):
            upserted[changed["name"]], prefixes[changed["name"]] = changed, changed["pathPrefix"]
    upsert = {
        "routes": list(upserted.values()),
        "tenants": [random_tenant(n, rng) for n in rng.sample(range(size), 2)],
    }
    upsert["backends"] = [{"name": "s1", "warmupPerS": rng.randint(0, 9)}]
    remove = {
        "routes": [n for n in removed if n not in upserted],
        "tenants": [f"t{rng.randrange(size)}"],
    }
    return Command(Verb.UPDATE, f"{gen}", frame | {"upsert": upsert, "remove": remove})


def fully_digested(state: State) -> State:
    while not state.history.digest_next_items(state.content):
        pass
    return state


def respond(state: State, client: ConfigClient, now: float, term: int) -> pb.WatchResponse:
    """The response of the leader of `term` to the watch request of an ingress."""
    leadership = Leadership(
        term,
        now,
        False,
        EndpointRegistry(),
        NodeRegistry(),
        [],
        parse_settings(SETTINGS).bounds,
        1.5,
    )
    watch_request = client.watch_request(NODE, now, 0)
    watch_request.node.CopyFrom(NODE)
    leadership.apply_state(state)
    return leadership.watch_responses.update(now, watch_request, state)


def replicas(
    rng: random.Random, count: int, restore_probability: float = 0.0
) -> Iterator[tuple[State, State]]:
    """Two members' states that apply the same commands; the second is sometimes decoded from its
    stored form."""
    states = State(), State()
    for number in range(count):
        command = next_command(states[0], rng) if number else initial_command(rng)
        for state in states:
            assert state.apply(Command.decode(command.encode()))
        assert content_errors(states[0].content) == []
        yield states
        if rng.random() < restore_probability:
            states = states[0], State.decode(states[1].encode())


def corrupt_delta(
    config_delta: pb.ConfigDelta, receiver: RouteTable | None, rng: random.Random
) -> None:
    """Changes a delta so that it cannot be decoded or does not apply.

    Omitting an item that the receiver already has in its new state would do no harm, so only other
    items are omitted.
    """
    raw = json.loads(zlib.decompress(config_delta.change)) or {"tenants": {}}
    table = rng.choice(list(raw))
    receiver_items = {} if receiver is None else receiver._tables[table]
    changed_names = [
        name
        for name, item in raw[table].items()
        if item is not None
        and not (
            name in receiver_items
            and receiver_items[name].digest == content_digest.item_digest(table, name, item).value
        )
    ]
    match rng.randrange(6):
        case 0:
            config_delta.base_generation -= 1
        case 1:
            config_delta.change = config_delta.change[: rng.randrange(len(config_delta.change))]
        case 2:
            raw[table]["another"] = {"name": "another", "apiKeys": 7, "pathPrefix": "/"}
            config_delta.change = zlib.compress(json.dumps(raw).encode())
        case 3 if changed_names:
            del raw[table][changed_names[0]]
            config_delta.change = zlib.compress(json.dumps(raw).encode())
        case 4:
            config_delta.generation += 1
        case _:
            config_delta.base_digest += 1


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
@example(397)  # a service returns to its former state while the ingress receives no update
def test_an_ingress_with_deltas_has_the_same_route_table_as_one_with_full_contents(
    seed: int,
) -> None:
    """Responses are lost or corrupted, either member leads, and its content may not be digested
    yet."""
    rng, client = random.Random(seed), ConfigClient(0.0, [])
    for number, states in enumerate(replicas(rng, 12, restore_probability=0.1)):
        leader, now, before = (
            states[rng.randrange(2)],
            100.0 + number,
            table_view(client.route_table),
        )
        leader.history.digest_next_items(leader.content)
        if rng.random() < 0.3:
            continue
        watch_response = respond(leader, client, now, number)
        assert watch_response.HasField("delta") != watch_response.has_content
        if watch_response.HasField("delta") and rng.random() < 0.3:
            assert len(watch_response.delta.change) < len(leader.encoded_content())
            corrupt_delta(watch_response.delta, client.route_table, rng)
            changed = client.apply(watch_response, NODE, now, now, 0)
            assert changed and changed.rejection_reason and not changed.route_table_changed
            assert (
                table_view(client.route_table) == before
                and client.cursor.generation == before[0]
                and client.last_response_at < now
            )
            watch_response = respond(leader, client, now, number)
            assert watch_response.has_content  # as the client requests the full content
        changed = client.apply(watch_response, NODE, now, now, 0)
        assert changed and changed.route_table_changed and not changed.rejection_reason
        assert (
            table_view(client.route_table) == table_view(RouteTable(leader.content))
            and client.cursor.generation == leader.gen
        )
        assert client.watch_request(NODE, now, 0).accepts_delta and client.lease_end > now


DAY_S = 24 * 3600.0


def as_of_69dc9dd(message: Any) -> Any:
    """The message without fields that 69dc9dd does not know."""
    for name in ("leader_time_ms", "wide_generation"):
        if name in message.DESCRIPTOR.fields_by_name:
            message.ClearField(name)
    return message


def renew_for_a_while(
    leadership: Leadership, state: State, now: float, silence_s: float, is_old: bool
) -> tuple[ConfigClient, float]:
    """A new node that renews its lease, also after a silence; returns it, and the time after."""
    convert: Any = as_of_69dc9dd if is_old else lambda message: message
    client = ConfigClient(now, [])
    node = pb.Node()
    node.CopyFrom(NODE)
    node.incarnation = f"{now}"
    for step in range(4):
        now += silence_s if step == 2 else 0.25
        leadership.tick(now)
        request = convert(client.watch_request(node, now, 0.25))
        request.node.CopyFrom(node)
        leadership.record_watch_request(now + 0.02, request)
        response = leadership.watch_responses.update(now + 0.02, request, state)
        received = pb.WatchResponse.FromString(convert(response).SerializeToString())
        assert client.apply(received, node, now, now + 0.04, 0)
        assert client.may_serve(now + 4.0)
    late = client.watch_request(node, now - 5.0, 0.25)
    late.node.CopyFrom(node)
    if not is_old:
        with pytest.raises(StaleCallError):
            leadership.record_watch_request(now + 0.1, late)
    return client, now


def new_leadership(state: State) -> Leadership:
    assert state.apply(initial_command(random.Random(5)))
    bounds = parse_settings(SETTINGS).bounds
    leadership = Leadership(7, 0.0, False, EndpointRegistry(), NodeRegistry(), [], bounds, 1.5)
    leadership.apply_state(state)
    return leadership


# Guards against a clock that overflows its field: after 49.7 days of one term the leader and its
# nodes made no further message of the watch.
@pytest.mark.parametrize("is_old", [False, True])
def test_a_leader_of_many_days_still_renews_leases(is_old: bool) -> None:
    state = State()
    leadership = new_leadership(state)
    for days in (1.0, 46.0, 46.7, 46.72, 49.0, 49.7, 49.72, 99.0, 4000.0):
        renew_for_a_while(leadership, state, days * DAY_S, 0.25, is_old)


# Guards against a node that never returns after minutes without a response in one term, as its
# estimate of the leader's clock is behind by the drift that it allows for.
@pytest.mark.parametrize("silence_s", [10.0, 59.0, 61.0, 300.0, 7200.0])
def test_a_node_returns_after_a_long_silence(silence_s: float) -> None:
    state = State()
    renew_for_a_while(new_leadership(state), state, 1000.0, silence_s, False)


WIDE_GENERATIONS = [
    (1 << 63) - 1,
    1 << 63,
    (1 << 64) - 1,
    1 << 64,
    20261204110000123456,
    20261204110000123457,
    20261204110000123456 + (1 << 64),
    10**4299,
]


# Guards against generations that do not fit into the 64 bits of a message: no ingress could be sent
# such a configuration, and service ended for good (review/3).
@pytest.mark.parametrize("accepts_deltas", [True, False])
def test_generations_of_any_size_reach_an_ingress(accepts_deltas: bool) -> None:
    rng, client, state = random.Random(4), ConfigClient(0.0, []), State()
    assert state.apply(initial_command(rng))
    client.apply(respond(state, client, 100.0, 1), NODE, 100.0, 100.0, 0)
    for number, gen in enumerate(WIDE_GENERATIONS):
        update = {"gen": gen, "parent": state.gen, "upsert": {"tenants": [random_tenant(1, rng)]}}
        command = Command(Verb.UPDATE, f"{number}", update)
        assert state.apply(Command.decode(command.encode()))
        if accepts_deltas:
            fully_digested(state)
        watch_response = respond(state, client, 101.0 + number, number)
        assert watch_response.HasField("delta") == accepts_deltas
        received = pb.WatchResponse.FromString(watch_response.SerializeToString())
        changed = client.apply(received, NODE, 101.0 + number, 101.0 + number, 0)
        assert changed and changed.route_table_changed
        assert client.route_table.gen == gen
        assert table_view(client.route_table) == table_view(RouteTable(state.content))
        renewed = client.watch_request(NODE, 101.0 + number, 0)
        assert renewed.generation == watch_response.generation
    assert State.decode(state.encode()) == state


def test_each_leader_sends_a_change_as_delta_whatever_the_order_of_items() -> None:
    rng, client = random.Random(2), ConfigClient(0.0, [])
    leadership = Leadership(
        99, 0.0, False, EndpointRegistry(), NodeRegistry(), [], parse_settings(SETTINGS).bounds, 1.5
    )
    for number, states in enumerate(replicas(rng, 30)):
        leader = states[number % 2]
        for state in states:  # digested a few items at a time, as at a leader
            leadership.apply_state(state)
            leadership.tick(number)
        raw, rates = leader.content, (t for t in leader.content["tenants"] if t["ratePerS"])
        assert leadership.grants._quota_counter._quotas == {
            t["name"]: (t["ratePerS"], t["burst"]) for t in rates
        }
        assert leadership.grants._requests_per_s_in_warmup == {
            b["name"]: b["warmupPerS"] for b in raw["backends"]
        }
        watch_response = respond(leader, client, 100.0 + number, number)
        assert watch_response.has_content == (number == 0)
        client.apply(watch_response, NODE, 100.0, 100.0, 0)
        reversed_table = RouteTable(leader.content | {t: leader.content[t][::-1] for t in TABLES})
        assert (
            reversed_table.digest
            == client.route_table.digest
            == (watch_response.delta.digest or reversed_table.digest)
        )
    watch_request = client.watch_request(NODE, 200.0, 0)
    watch_request.node.CopyFrom(NODE)
    watch_request.node.kind, watch_request.config_version, watch_request.generation = "core", 1, 1
    # A control node has the content from its log.
    watch_response = leadership.watch_responses.update(200.0, watch_request, leader)
    assert (
        watch_response.has_evacuated_zones
        and not watch_response.has_content
        and not watch_response.HasField("delta")
    )


def test_recorded_changes_items_per_step_and_delta_size_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rng, state, digested_names, original = (
        random.Random(3),
        State(),
        list[str](),
        content_digest.item_digest,
    )
    # Without a base generation, the full content is sent.
    assert (
        state.apply(initial_command(rng)) and fully_digested(state).history.delta_since(0) is None
    )

    def tenant_update(count: int) -> Command:
        items = [random_tenant(n, rng) | {"prio": state.gen} for n in range(count)]
        frame = {"gen": state.gen + 1, "parent": state.gen, "upsert": {"tenants": items}}
        return Command(Verb.UPDATE, f"many {state.gen}", frame)

    # The delta would be larger than an eighth of the full content.
    assert state.apply(tenant_update(30)) and state.history.delta_since(1) is None
    for module, name, bound in (
        (delta_history, "DIGESTED_PER_STEP", 7),
        (delta_history, "MAX_RECORDED_CHANGES", 5),
        (delta, "MAX_CHANGED_ITEMS", 12),
        (delta_history, "MIN_SAVING_FACTOR", 0),
    ):
        monkeypatch.setattr(module, name, bound)
    monkeypatch.setattr(
        content_digest, "item_digest", lambda *of: digested_names.append(of[1]) or original(*of)
    )
    state = State()
    assert state.apply(initial_command(rng))
    for _ in range(3):
        digested_names.clear()
        assert not state.history.digest_next_items(state.content) and len(digested_names) <= 7
    # The content is not fully digested yet.
    assert state.apply(tenant_update(12)) and state.history.delta_since(1) is None
    config_delta = fully_digested(state).history.delta_since(1)
    assert config_delta and config_delta.digest == RouteTable(state.content).digest
    gens = [state.gen]
    for _ in range(8):
        assert state.apply(tenant_update(2))
        assert (
            config_delta := state.history.delta_since(gens[-3:][0])
        ) and config_delta.gen == state.gen
        gens.append(state.gen)
    assert [state.history.delta_since(gen) is not None for gen in gens] == [False] * 3 + [
        True
    ] * 5 + [False]
    assert (
        state.apply(tenant_update(7))
        and state.apply(tenant_update(7))
        and state.history.delta_since(state.gen - 1)
    )
    assert state.history.delta_since(state.gen - 2) is None
    digested_names.clear()
    assert state.apply(tenant_update(13)) and len(digested_names) <= 2 * 12
    assert fully_digested(state).history.delta_since(state.gen - 2) is None
    assert state.apply(tenant_update(2)) and (
        config_delta := state.history.delta_since(state.gen - 1)
    )
    assert config_delta.digest == RouteTable(state.content).digest
    state = State()
    assert (
        state.apply(initial_command(rng, 3))
        and fully_digested(state).history.delta_since(0) is None
    )


def policy_view(node: DataPlaneNode) -> dict[str, Any]:
    """The plans of tenants and the request classes in engine and request policy, by name."""
    engine, route_table = node.ingress.engine, node.config_client.route_table
    by_name = {
        name: engine.settings.plans[engine.names.plans[name.encode()]]
        for name in ["", *route_table.tenants]
    }
    classes = {
        name: engine.settings.classes[engine.names.classes[name.encode()]]
        for name in route_table.request_classes
    }
    assert node.ingress.policy.settings is engine.settings
    assert node.ingress.selector.settings is engine.settings
    assert len(node.ingress.selector.average_latencies) == len(engine.settings.classes)
    return by_name | classes


def endpoint_view(node: DataPlaneNode) -> Any:
    """Servers that can be selected, by service, and those to which connections are pooled."""
    return (
        {
            node.numbering.service_name(service): {
                node.ingress.engine.backend_name(b.info.id): replace(b.info, id=0, key=0, service=0)
                for b in backends
            }
            for service, backends in node.ingress.selector.ready_by_service.items()
        },
        {node.ingress.engine.backend_name(number) for number in node.ingress.selector.backends},
        {node.ingress.engine.backend_name(number) for number in node.ingress.backends._pools},
        {entry.name: entry.to_raw() for entry in node.ingress.engine.entries()},
    )


async def test_incremental_reconfiguration_equals_configuration_from_scratch() -> None:
    """Tenants with accounts get other plans; servers are added, removed, drained and added again,
    and some have an invalid address."""
    rng, node = random.Random(5), DataPlaneNode(parse_settings(SETTINGS))
    endpoints: dict[str, pb.Endpoint] = {}
    for number, states in enumerate(replicas(rng, 40)):
        state, now, reference_node = (
            fully_digested(states[0]),
            node.serving.now(),
            DataPlaneNode(parse_settings(SETTINGS)),
        )
        node.config_client._needs_full_state = is_full = rng.random() < 0.2
        watch_response = respond(state, node.config_client, now, 3)
        watch_response.epoch, watch_response.endpoints_version, before = (
            "3",
            number + 1,
            dict(node.ingress.engine.names.plans),
        )
        if rng.random() < 0.1:
            endpoints, watch_response.endpoints_complete = {}, True
        watch_response.evacuated_zones.extend(["y"] if rng.random() < 0.3 else [])
        for name in rng.sample("abcdefgh", 3):
            addr, service = (
                rng.choice(["10.1.0.9:80", "10.1.0.8:80", "10.1.0.8:no"]),
                f"s{rng.randrange(2)}",
            )
            server = pb.Endpoint(
                id=name,
                service=service,
                address=addr,
                zone=rng.choice("yz"),
                capacity=2,
                state=rng.choice(["ready", "ready", "draining", "gone"]),
            )
            endpoints[name] = server
            watch_response.endpoints.append(server)
        node.applier.apply(watch_response, NODE, now)
        current_endpoints = [server for server in endpoints.values() if server.state != "gone"]
        content = zlib.compress(json.dumps(state.content).encode())
        full_response = pb.WatchResponse(
            epoch="3",
            config_version=watch_response.config_version,
            generation=watch_response.generation,
            has_content=True,
            content=content,
        )
        full_response.endpoints.extend(current_endpoints)
        full_response.has_evacuated_zones, full_response.evacuated_zones[:] = (
            True,
            watch_response.evacuated_zones,
        )
        reference_node.applier.apply(full_response, NODE, now)
        assert watch_response.has_content == (is_full or number == 0) and table_view(
            node.config_client.route_table
        ) == table_view(reference_node.config_client.route_table)
        assert policy_view(node) == policy_view(reference_node) and endpoint_view(
            node
        ) == endpoint_view(reference_node)
        # Numbers are never reassigned.
        assert before.items() <= node.ingress.engine.names.plans.items() or not number
        for customer, account in node.ingress.policy.accounts.items():
            assert account.plan == policy_view(node).get(f"t{customer}", account.plan)
        reference_node.ingress.backends.stop()
        for name in rng.sample(list(node.config_client.route_table.tenants), 5):
            plan = policy_view(node)[name]
            node.ingress.policy.accounts.setdefault(
                int(name[1:]), TenantAccount(plan, 1, 1, 0)
            ).plan = plan
    node.ingress.backends.stop()


@pytest.mark.parametrize(
    ("removed_tenants", "changed_fields", "is_forwarded"),
    [
        ([], {"apiKeys": ["k1"]}, True),
        ([], {"apiKeys": ["k2"]}, False),
        ([], {"apiKeys": ["k1"], "homeRegions": ["elsewhere"]}, False),
        (["t1"], None, False),
    ],
)
async def test_a_routed_request_is_checked_again_after_a_change_of_the_route_table(
    removed_tenants: list[str], changed_fields: dict[str, Any] | None, is_forwarded: bool
) -> None:
    node, state = DataPlaneNode(parse_settings(SETTINGS)), State()
    assert state.apply(
        Command(Verb.REPLACE, "1", content(routes=[route(f"r{n}") for n in range(1, 60)]))
    )
    first = respond(fully_digested(state), node.config_client, node.serving.now(), 3)
    first.endpoints.add(
        id="i", service="s1", address="10.1.0.9:80", zone="z", capacity=2, state="ready"
    )
    node.applier.apply(first, NODE, node.serving.now())
    message = Message()
    message.method, message.target = b"GET", b"/r1/x"
    message.headers = {b"host": b"a.example", b"authorization": b"Token k1", b"x-request-id": b"1"}
    engine = node.ingress.engine
    routed_request = node.router(message, engine.names, engine.settings.classes, node.clock.now())
    assert routed_request.build and b"X-Tenant: t1" in (routed_request.build("i", 1000) or b"")
    upsert = {
        "routes": [route("r2")],
        "tenants": [{"name": "t1"} | changed_fields] if changed_fields else [],
    }
    frame = {"gen": 9, "parent": 7, "upsert": upsert, "remove": {"tenants": removed_tenants}}
    assert state.apply(Command(Verb.UPDATE, "2", frame))
    watch_response = respond(state, node.config_client, node.serving.now(), 3)
    assert watch_response.HasField("delta")
    node.applier.apply(watch_response, NODE, node.serving.now())
    assert (routed_request.build("i", 1000) is not None) == is_forwarded
    node.ingress.backends.stop()
