"""Deltas of the configuration, from the leader's history to an ingress.

Compared with ingresses that decode the whole content anew at every change."""

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
from cairndale.ingress.net.http import Message
from cairndale.ingress.policy.account import TenantAccount
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import parse_settings
from tests.control.test_state_models import SETTINGS, content, route

NODE = pb.Node(name="e", incarnation="1", kind="edge", address="d", http_address="h")


def table_view(route_table: RouteTable) -> list[Any]:
    """All that a route table says to those who use it."""
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
    place = n if rng.random() < 0.6 else "x"  # sometimes one takes another's place
    aim, service = f"{rng.randint(1, 40)}s", f"s{rng.randrange(2)}"
    return route(
        f"r{n}", host=f"H{place}", pathPrefix=f"/p{place}/", backend=service, target_time=aim
    )


def initial_command(rng: random.Random, size: int = 60) -> Command:
    routes = [
        random_route(n, rng) | {"host": f"h{n}", "pathPrefix": f"/p{n}/"} for n in range(size)
    ]
    services = [{"name": f"s{n}", "warmupPerS": 5} for n in range(2)]
    tenants = [random_tenant(n, rng) for n in range(size - size // 3)]
    made = content(gen=1, routes=routes, backends=services, tenants=tenants)
    return Command(Verb.REPLACE, "first", made)


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
    places = {r["name"]: r["pathPrefix"] for r in state.content["routes"]}
    removed = [f"r{n}" for n in rng.sample(range(size), rng.randrange(2))]
    upserted: dict[str, dict[str, Any]] = {}
    for n in numbers:
        changed = random_route(n, rng)
        holders = [name for name, place in places.items() if place == changed["pathPrefix"]]
        if all(
            name == changed["name"] or (name in removed and name not in upserted)
            for name in holders
        ):
            upserted[changed["name"]], places[changed["name"]] = changed, changed["pathPrefix"]
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


def with_digest(state: State) -> State:
    while not state.history.digest_next_items(state.content):
        pass
    return state


def respond(state: State, client: ConfigClient, now: float, term: int) -> pb.WatchResponse:
    """What the leader of that term answers to the watch request of that ingress."""
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
    ask = client.watch_request(NODE, now, 0)
    ask.node.CopyFrom(NODE)
    leadership.apply_state(state)
    return leadership.watch_responses.update(now, ask, state)


def replicas(
    rng: random.Random, count: int, restored: float = 0.0
) -> Iterator[tuple[State, State]]:
    """Two members' states that apply the same commands; the second is restored now and then."""
    states = State(), State()
    for number in range(count):
        command = next_command(states[0], rng) if number else initial_command(rng)
        for state in states:
            assert state.apply(Command.decode(command.encode()))
        assert content_errors(states[0].content) == []
        yield states
        if rng.random() < restored:
            states = states[0], State.decode(states[1].encode())


def spoil(config_delta: pb.ConfigDelta, receiver: RouteTable | None, rng: random.Random) -> None:
    """Makes a delta that cannot be read, or does not fit.

    A changed item that the receiver holds already can be left out without harm, so another is."""
    raw = json.loads(zlib.decompress(config_delta.change)) or {"tenants": {}}
    table = rng.choice(list(raw))
    held_items = {} if receiver is None else receiver._tables[table]
    replaced = [
        name
        for name, item in raw[table].items()
        if item is not None
        and not (
            name in held_items
            and held_items[name].digest == content_digest.item_digest(table, name, item).value
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
        case 3 if replaced:
            del raw[table][replaced[0]]
            config_delta.change = zlib.compress(json.dumps(raw).encode())
        case 4:
            config_delta.generation += 1
        case _:
            config_delta.base_digest += 1


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
@example(397)  # a service comes back to what it was while the ingress heard nothing
def test_an_ingress_told_differences_serves_as_one_that_reads_the_whole(seed: int) -> None:
    """Responses are lost or spoilt, another member leads each time, and its content is or is not
    digested by then."""
    rng, client = random.Random(seed), ConfigClient(0.0, [])
    for number, states in enumerate(replicas(rng, 12, restored=0.1)):
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
            spoil(watch_response.delta, client.route_table, rng)
            changed = client.apply(watch_response, NODE, now, now, 0)
            assert changed and changed.rejection_reason and not changed.route_table_changed
            assert (
                table_view(client.route_table) == before
                and client.cursor.generation == before[0]
                and client.last_response_at < now
            )
            watch_response = respond(leader, client, now, number)
            assert watch_response.has_content  # as it asks for the whole
        changed = client.apply(watch_response, NODE, now, now, 0)
        assert changed and changed.route_table_changed and not changed.rejection_reason
        assert (
            table_view(client.route_table) == table_view(RouteTable(leader.content))
            and client.cursor.generation == leader.gen
        )
        assert client.watch_request(NODE, now, 0).accepts_delta and client.lease_end > now


def test_each_leader_tells_one_change_as_a_difference_whatever_the_order_of_items() -> None:
    rng, client = random.Random(2), ConfigClient(0.0, [])
    leadership = Leadership(
        99, 0.0, False, EndpointRegistry(), NodeRegistry(), [], parse_settings(SETTINGS).bounds, 1.5
    )
    for number, states in enumerate(replicas(rng, 30)):
        leader = states[number % 2]
        for state in states:  # as the leader's does, a few items at a time
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
        turned = RouteTable(leader.content | {t: leader.content[t][::-1] for t in TABLES})
        assert (
            turned.digest
            == client.route_table.digest
            == (watch_response.delta.digest or turned.digest)
        )
    ask = client.watch_request(NODE, 200.0, 0)
    ask.node.CopyFrom(NODE)
    ask.node.kind, ask.config_version, ask.generation = "core", 1, 1
    watch_response = leadership.watch_responses.update(200.0, ask, leader)  # which has the log
    assert (
        watch_response.has_evacuated_zones
        and not watch_response.has_content
        and not watch_response.HasField("delta")
    )


def test_what_is_kept_weighed_at_once_and_told_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    rng, state, counted, real = random.Random(3), State(), list[str](), content_digest.item_digest
    assert (
        state.apply(initial_command(rng)) and with_digest(state).history.delta_since(0) is None
    )  # from nothing it is the whole

    def tenant_update(count: int) -> Command:
        items = [random_tenant(n, rng) | {"prio": state.gen} for n in range(count)]
        frame = {"gen": state.gen + 1, "parent": state.gen, "upsert": {"tenants": items}}
        return Command(Verb.UPDATE, f"many {state.gen}", frame)

    assert (
        state.apply(tenant_update(30)) and state.history.delta_since(1) is None
    )  # over an eighth of the whole
    for module, name, bound in (
        (delta_history, "DIGESTED_PER_STEP", 7),
        (delta_history, "MAX_RECORDED_CHANGES", 5),
        (delta, "MAX_CHANGED_ITEMS", 12),
        (delta_history, "MIN_SAVING_FACTOR", 0),
    ):
        monkeypatch.setattr(module, name, bound)
    monkeypatch.setattr(
        content_digest, "item_digest", lambda *of: counted.append(of[1]) or real(*of)
    )
    state = State()
    assert state.apply(initial_command(rng))
    for _ in range(3):
        counted.clear()
        assert not state.history.digest_next_items(state.content) and len(counted) <= 7
    assert (
        state.apply(tenant_update(12)) and state.history.delta_since(1) is None
    )  # amid the digesting
    known = with_digest(state).history.delta_since(1)
    assert known and known.digest == RouteTable(state.content).digest
    gens = [state.gen]
    for _ in range(8):
        assert state.apply(tenant_update(2))
        assert (known := state.history.delta_since(gens[-3:][0])) and known.gen == state.gen
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
    counted.clear()
    assert state.apply(tenant_update(13)) and len(counted) <= 2 * 12
    assert with_digest(state).history.delta_since(state.gen - 2) is None
    assert state.apply(tenant_update(2)) and (known := state.history.delta_since(state.gen - 1))
    assert known.digest == RouteTable(state.content).digest
    state = State()
    assert (
        state.apply(initial_command(rng, 3)) and with_digest(state).history.delta_since(0) is None
    )


def policy_settings(node: DataPlaneNode) -> dict[str, Any]:
    """What engine and request policy hold of what the route table names, by name."""
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
    """Servers as the choice finds them, by service, and those to which connections are kept."""
    return (
        {
            node.numbering.service_name(service): {
                node.ingress.engine.name_of(b.info.id): replace(b.info, id=0, key=0, service=0)
                for b in backends
            }
            for service, backends in node.ingress.selector.ready_by_service.items()
        },
        {node.ingress.engine.name_of(number) for number in node.ingress.selector.backends},
        {node.ingress.engine.name_of(number) for number in node.ingress.backends._pools},
        {entry.name: entry.raw() for entry in node.ingress.engine.entries()},
    )


async def test_an_ingress_reconfigured_by_what_changed_is_as_one_that_takes_everything_anew() -> (
    None
):
    """Tenants with accounts that get other plans, servers that come, go, drain, come back and are
    unsound."""
    rng, node = random.Random(5), DataPlaneNode(parse_settings(SETTINGS))
    known: dict[str, pb.Endpoint] = {}
    for number, states in enumerate(replicas(rng, 40)):
        state, now, plain = (
            with_digest(states[0]),
            node.serving.now(),
            DataPlaneNode(parse_settings(SETTINGS)),
        )
        node.config_client._needs_full_state = whole = rng.random() < 0.2
        watch_response = respond(state, node.config_client, now, 3)
        watch_response.epoch, watch_response.endpoints_version, before = (
            "3",
            number + 1,
            dict(node.ingress.engine.names.plans),
        )
        if rng.random() < 0.1:
            known, watch_response.endpoints_complete = {}, True
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
            known[name] = server
            watch_response.endpoints.append(server)
        node.applier.apply(watch_response, NODE, now)
        here = [server for server in known.values() if server.state != "gone"]
        content = zlib.compress(json.dumps(state.content).encode())
        anew = pb.WatchResponse(
            epoch="3",
            config_version=watch_response.config_version,
            generation=watch_response.generation,
            has_content=True,
            content=content,
        )
        anew.endpoints.extend(here)
        anew.has_evacuated_zones, anew.evacuated_zones[:] = True, watch_response.evacuated_zones
        plain.applier.apply(anew, NODE, now)
        assert watch_response.has_content == (whole or number == 0) and table_view(
            node.config_client.route_table
        ) == table_view(plain.config_client.route_table)
        assert policy_settings(node) == policy_settings(plain) and endpoint_view(
            node
        ) == endpoint_view(plain)
        assert (
            before.items() <= node.ingress.engine.names.plans.items() or not number
        )  # numbers are for good
        for customer, account in node.ingress.policy.accounts.items():
            assert account.plan == policy_settings(node).get(f"t{customer}", account.plan)
        plain.ingress.backends.stop()
        for name in rng.sample(list(node.config_client.route_table.tenants), 5):
            plan = policy_settings(node)[name]
            node.ingress.policy.accounts.setdefault(
                int(name[1:]), TenantAccount(plan, 1, 1, 0)
            ).plan = plan
    node.ingress.backends.stop()


@pytest.mark.parametrize(
    ("out", "put", "goes"),
    [
        ([], {"apiKeys": ["k1"]}, True),
        ([], {"apiKeys": ["k2"]}, False),
        ([], {"apiKeys": ["k1"], "homeRegions": ["elsewhere"]}, False),
        (["t1"], None, False),
    ],
)
async def test_a_request_is_checked_anew_once_the_route_table_has_changed_under_it(
    out: list[str], put: dict[str, Any] | None, goes: bool
) -> None:
    node, state = DataPlaneNode(parse_settings(SETTINGS)), State()
    assert state.apply(
        Command(Verb.REPLACE, "1", content(routes=[route(f"r{n}") for n in range(1, 60)]))
    )
    first = respond(with_digest(state), node.config_client, node.serving.now(), 3)
    first.endpoints.add(
        id="i", service="s1", address="10.1.0.9:80", zone="z", capacity=2, state="ready"
    )
    node.applier.apply(first, NODE, node.serving.now())
    message = Message()
    message.method, message.target = b"GET", b"/r1/x"
    message.headers = {b"host": b"a.example", b"authorization": b"Token k1", b"x-request-id": b"1"}
    engine = node.ingress.engine
    wanted = node.router(message, engine.names, engine.settings.classes, node.clock.now())
    assert wanted.dress and b"X-Tenant: t1" in (wanted.dress("i", 1000) or b"")
    upsert = {"routes": [route("r2")], "tenants": [{"name": "t1"} | put] if put else []}
    frame = {"gen": 9, "parent": 7, "upsert": upsert, "remove": {"tenants": out}}
    assert state.apply(Command(Verb.UPDATE, "2", frame))
    watch_response = respond(state, node.config_client, node.serving.now(), 3)
    assert watch_response.HasField("delta")
    node.applier.apply(watch_response, NODE, node.serving.now())
    assert (wanted.dress("i", 1000) is not None) == goes
    node.ingress.backends.stop()
