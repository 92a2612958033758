"""Steps of the system feature: actions of operators and clients, and checks of their results."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from behave import given, then, when

from cairndale.chaos.standins import http_call, parse_response
from cairndale.chaos.world import KEY, OTHER_KEY, World


def step(kind: Any, text: str) -> Callable[[Callable[..., Awaitable[None]]], None]:
    def register(work: Callable[..., Awaitable[None]]) -> None:
        def run(context: Any, **args: Any) -> None:
            context.loop.run_until_complete(
                asyncio.wait_for(work(context, context.world, **args), 60)
            )

        def begin(context: Any, **args: Any) -> None:
            context.world = None
            context.loop.run_until_complete(asyncio.wait_for(work(context, None, **args), 60))

        kind(text)(begin if "a system of" in text else run)

    return register


async def until(condition: Callable[[], Awaitable[bool]], timeout_s: float = 20.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


@step(
    given,
    "a system of {cores:d} control nodes and {edges:d} data-plane ingresses with "
    "{servers:d} servers of each service",
)
async def _(context: Any, _: Any, cores: int, edges: int, servers: int) -> None:
    context.world = World(context.folder, cores, edges, servers)
    await context.world.begin()


@step(given, "the first configuration is in force")
async def _(context: Any, world: World) -> None:
    status, answer = await world.configure()
    assert status == 200, answer
    await world.ready(2)


@step(when, "the first configuration is sent to all control nodes at once")
async def _(context: Any, world: World) -> None:
    context.order = world.content() | {"gen": 4, "parent": 0}
    body = json.dumps(context.order).encode()

    async def send(address: str) -> int:
        for _ in range(100):
            try:
                status, _ = await http_call(address, "POST", "/-/Config.Replace", body)
                if status < 500:
                    return status
            except (OSError, ValueError):
                pass
            await asyncio.sleep(0.1)
        return 0

    context.statuses = await asyncio.gather(*(send(address) for address in world.control))
    world.gen = 4


@step(then, "each of them acknowledges it, and it is read back as it was sent")
async def _(context: Any, world: World) -> None:
    assert context.statuses == [200] * len(world.control), context.statuses
    status, read = await world.order("GET", "Config.Read")
    assert status == 200 and read == {k: v for k, v in context.order.items() if k != "parent"}


@step(then, "both data-plane ingresses are ready")
async def _(context: Any, world: World) -> None:
    await world.ready(2)


async def send(context: Any, world: World, safe: int, unsafe: int) -> None:
    requests = [world.request("GET", f"/tiles/{n}?q=1") for n in range(safe)]
    requests += [world.request("POST", f"/books/{n}", body=b"b%d" % n) for n in range(unsafe)]
    random.shuffle(requests)
    context.responses = []
    for start in range(0, len(requests), 10):  # more at once would exceed the servers' capacity
        context.responses += await asyncio.gather(*requests[start : start + 10])


@step(when, "clients send {safe:d} idempotent and {unsafe:d} non-idempotent requests")
async def _(context: Any, world: World, safe: int, unsafe: int) -> None:
    await send(context, world, safe, unsafe)


@step(when, "clients send {unsafe:d} non-idempotent requests")
async def _(context: Any, world: World, unsafe: int) -> None:
    await send(context, world, 0, unsafe)


def all_served(context: Any, world: World) -> None:
    statuses = [response.status for response in context.responses]
    assert statuses == [200] * len(statuses), statuses


@step(then, "every request is served, and ran once")
async def _(context: Any, world: World) -> None:
    all_served(context, world)
    times = world.ledger.execution_counts()
    assert all(times[response.request] == 1 for response in context.responses)


@step(then, "servers received the tenant of each key, but no key")
async def _(context: Any, world: World) -> None:
    assert world.ledger.executions and all(
        line.tenant == "north" and not line.key for line in world.ledger.executions
    )


@step(when, 'a server of "{service}" reports that it is draining, and all ingresses know it')
async def _(context: Any, world: World, service: str) -> None:
    context.drained = next(s for s in world.started_servers if s.service == service)
    await context.drained.drain()
    # Sent to all ingresses within the bound; the step continues as soon as both have received it.
    await until(lambda: is_up_to_date(world))


async def is_up_to_date(world: World) -> bool:
    """Whether the leader knows every server, and every ingress has the leader's newest version.

    The first heartbeat of a server may arrive later than those of others."""
    status, shown = await world.order("GET", "Fleet.Show")
    nodes = [n for n in shown["nodes"] if n["kind"] == "edge"]
    if not {s.id for s in world.started_servers} <= {s["id"] for s in shown["servers"]}:
        return False
    return status == 200 and all(n["version"] == shown["version"] and n["current"] for n in nodes)


@step(then, "every request is served, and none of them reached the draining server")
async def _(context: Any, world: World) -> None:
    all_served(context, world)
    request_ids = {response.request for response in context.responses}
    assert not [
        line
        for line in world.ledger.executions
        if line.request in request_ids and line.server == context.drained.id
    ]


async def leader(world: World) -> str:
    _, shown = await world.order("GET", "Fleet.Show")
    return next(n for n, m in world.machines.items() if shown["leader"].startswith(f"{m.ip}:"))


@step(when, "the leader is killed")
async def _(context: Any, world: World) -> None:
    context.killed = await leader(world)
    await world.kill(context.killed)


@step(when, "a route is added by an update")
async def _(context: Any, world: World) -> None:
    added = world.content()["routes"][0] | {"name": "new", "pathPrefix": "/new/"}
    order = {"gen": world.gen + 5, "parent": world.gen, "upsert": {"routes": [added]}}
    context.answer = await world.order("POST", "Config.Update", order, within=20.0)
    world.gen += 5


@step(then, "it is acknowledged and served at both data-plane ingresses")
async def _(context: Any, world: World) -> None:
    assert context.answer[0] == 200, context.answer
    for name in ("edge-1", "edge-2"):
        response = await world.request("GET", "/new/1", at=world.edge(name))
        assert response.status == 200, response


@step(when, "the killed node restarts with an empty disk and other seeds")
async def _(context: Any, world: World) -> None:
    await world.wipe(context.killed)
    world.seeds = [
        world.address(m, 1) for m in world.machines.values() if m.core and m.name != context.killed
    ]
    world.start(context.killed)


@step(then, "it is a member of the control cluster again")
async def _(context: Any, world: World) -> None:
    own_members = []

    async def is_member() -> bool:
        _, shown = await world.order("GET", "Fleet.Show")
        own_members[:] = [
            m for m in shown["members"] if m[0].startswith(f"{world.machines[context.killed].ip}:")
        ]
        return len(shown["members"]) == world.cores and not own_members[0][1].startswith("first-")

    await until(is_member)


@step(then, "no guarantee was violated")
async def _(context: Any, world: World) -> None:
    assert world.verdict() == []


@step(when, "all control nodes are killed")
async def _(context: Any, world: World) -> None:
    for name, machine in world.machines.items():
        if machine.core:
            await world.kill(name)


@step(then, "clients can still look up ingresses, and are served there")
async def _(context: Any, world: World) -> None:
    assert sorted(await world.look_up("south")) == sorted(
        world.edge(n) for n in ("edge-1", "edge-2")
    )
    assert (await world.request("GET", "/tiles/1")).status == 200


@step(when, "the data-plane ingresses restart")
async def _(context: Any, world: World) -> None:
    for name, machine in world.machines.items():
        if not machine.core:
            await world.kill(name)
            world.start(name)


@step(when, "the control nodes restart after the ingresses have failed to find a leader")
async def _(context: Any, world: World) -> None:
    async def have_found_no_leader() -> bool:
        logs = [
            (world.folder / f"{n}.log").read_text() for n, m in world.machines.items() if not m.core
        ]
        return all("no_leader" in log for log in logs)

    await until(have_found_no_leader)
    for name, machine in world.machines.items():
        if machine.core:
            world.start(name)


@step(then, "these requests are answered with an error, and none of them runs:")
async def _(context: Any, world: World) -> None:
    for row in context.table:
        response = await world.request(row["method"], row["path"], row["key"], Host=row["host"])
        assert response.status == int(row["status"]), (row, response)
    assert not world.ledger.executions


@step(then, "these requests are served:")
async def _(context: Any, world: World) -> None:
    for row in context.table:
        response = await world.request(row["method"], row["path"], row["key"], Host=row["host"])
        assert response.status == 200, (row, response)


@step(then, "a tenant named by the client is ignored")
async def _(context: Any, world: World) -> None:
    response = await world.request(
        "GET", "/tiles/1", OTHER_KEY, X_Tenant="north", X_Target_Instance="i-none"
    )
    assert response.status == 200 and world.ledger.executions[-1].tenant == "south"
    await world.request("GET", "/open/1", "", X_Tenant="north")
    assert world.ledger.executions[-1].tenant == ""


@step(then, "these calls are rejected and change nothing:")
async def _(context: Any, world: World) -> None:
    _, before = await world.order("GET", "Config.Read")
    for row in context.table:
        for address in world.control:  # at each node: followers forward the call
            status, body = await http_call(
                address, row["method"], f"/-/{row['call']}", row["body"].encode()
            )
            assert status == int(row["status"]) and row["error"] in body.decode(), (
                row,
                status,
                body,
            )
    assert (await world.order("GET", "Config.Read"))[1] == before


@step(then, "a zone that two operators evacuate is used again once both have finished the drain")
async def _(context: Any, world: World) -> None:
    calls = ["Begin", "Begin", "Finish", "Finish"]
    left = []
    for number, call in enumerate(calls):
        address = world.control[number % len(world.control)]
        status, body = await http_call(address, "POST", f"/-/Drain.{call}/north-a", b"")
        left.append((status, json.loads(body)["orders"]))
        await asyncio.sleep(0.05)  # until the receipt of the answer has reached the leader
    assert left == [(200, 1), (200, 2), (200, 1), (200, 0)], left


@step(
    then,
    "of two changes of the same version one is accepted, and is acknowledged again on a retry",
)
async def _(context: Any, world: World) -> None:
    orders = [
        {"gen": world.gen + n, "parent": world.gen, "remove": {"routes": [r]}}
        for n, r in ((3, "open"), (4, "tiles"))
    ]
    answers = await asyncio.gather(
        *(world.order("POST", "Config.Update", order) for order in orders)
    )
    assert sorted(status for status, _ in answers) == [200, 412], answers
    accepted = orders[[status for status, _ in answers].index(200)]
    assert (await world.order("POST", "Config.Update", accepted))[0] == 200
    assert (await world.order("GET", "Config.Read"))[1]["gen"] == accepted["gen"]


SERVER_FAULTS = {
    "send a second response after each": "late",
    "truncate their responses": "cut",
    "reject all requests": "full",
}


@step(when, 'the servers of "{service}" {how}')
async def _(context: Any, world: World, service: str, how: str) -> None:
    for server in world.started_servers:
        if server.service == service:
            server.fault = SERVER_FAULTS.get(how, "")
            server.chunked = how == "answer in chunks"
            server.service_time = 0.5 if how == "take half a second" else server.service_time


@step(then, "{count:d} requests on one connection each get their own response")
async def _(context: Any, world: World, count: int) -> None:
    host, _, port = world.edge("edge-1").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    ids = [f"own-{n}" for n in range(count)]
    for id in ids:
        writer.write(
            f"GET /tiles/{id} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: "
            f"{id}\r\nX-Deadline-Ms: 2000\r\n"
            f"Authorization: Token {KEY}\r\n\r\n".encode()
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        assert b"X-Request-Id: " + id.encode() + b"\r\n" in head and head.startswith(
            b"HTTP/1.1 200"
        ), head
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await reader.readexactly(length)
        await asyncio.sleep(0.03)  # for the surplus response, which belongs to no request
    writer.close()
    assert all(n == 1 for n in (world.ledger.execution_counts()[id] for id in ids))
    world.ledger.executions = [line for line in world.ledger.executions if line.request not in ids]


@step(then, "a non-idempotent request gets {status:d}, and {ran}")
async def _(context: Any, world: World, status: int, ran: str) -> None:
    response = await world.request("POST", "/books/1", body=b"x")
    assert response.status == status, response
    assert world.ledger.execution_counts()[response.request] == (1 if ran == "ran once" else 0)


@step(then, "a chunked body is echoed completely")
async def _(context: Any, world: World) -> None:
    host, _, port = world.edge("edge-1").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    parts = [b"abc" * 1000, b"d", b"ef" * 50_000]
    writer.write(
        b"POST /books/c HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: "
        b"chunks\r\nX-Deadline-Ms: 3000\r\n"
        b"Authorization: Token "
        + KEY.encode()
        + b"\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    )
    for part in parts:
        writer.write(b"%x\r\n%b\r\n" % (len(part), part))
    writer.write(b"0\r\n\r\n")
    status, body = parse_response(await asyncio.wait_for(reader.read(), 5))
    writer.close()
    assert status == 200 and body.partition(b":")[2] == b"".join(parts)
    world.ledger.executions = [line for line in world.ledger.executions if line.request != "chunks"]


@step(when, "a data-plane ingress is stopped while it has requests in flight")
async def _(context: Any, world: World) -> None:
    before = len(world.ledger.executions)
    requests = [
        asyncio.ensure_future(world.request("POST", "/books/1", at=world.edge("edge-1")))
        for _ in range(4)
    ]

    async def are_in_flight() -> bool:
        return len(world.ledger.executions) >= before + 4

    await until(are_in_flight)
    world.send_signal("edge-1", signal.SIGTERM)
    context.responses = await asyncio.gather(*requests)


@step(then, "all of them are answered completely, and clients are no longer sent there")
async def _(context: Any, world: World) -> None:
    all_served(context, world)
    process = world.machines["edge-1"].process
    assert process

    async def has_stopped() -> bool:
        return world.edge("edge-1") not in await world.look_up("north") and process.poll() == 0

    await until(has_stopped)
