"""Keys, hosts and names in a system of this version and an earlier one (review/4, /6, /7).

Run by hand, as `mixed_versions`, whose systems it uses:

    git worktree add ../23c1936 23c1936
    python -m tests.golden.mixed_rules ../23c1936

Five scenarios: ingresses of this version beside an earlier leader; an earlier follower and an
earlier ingress beside a leader of this version; a state that the earlier version stored; and one
that this version stored, read by the earlier one; the departure of a server whose id this version
refuses. The exit status is 1 after a failure.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from cairndale.chaos.standins import http_call
from cairndale.chaos.world import KEY, OTHER_KEY
from tests.golden.mixed_versions import Program, Scenario, StepError, run, until

ODD_KEY, NEVER_A_KEY, NO_KEY = "key-of-an-odd-name", "never-a-key", ""
ALL_KEYS = (KEY, OTHER_KEY, NEVER_A_KEY, NO_KEY)
PORTED = "a.example:8206"
# Some servers trim an em space from a field, so this version refuses it; others do not.
ODD_SERVER_ID = "i\u2003"
ODD_TENANT = {"name": "north ", "apiKeys": [ODD_KEY]}
READY_WITHIN_S = 40.0
HEARTBEAT_S = 1.5  # as on the platform, of servers that leave
DRAIN_S = 3.0  # `drain` in the settings of the processes
WATCHED_S = 8.0
ROUTES = {
    "ported": {"host": PORTED, "pathPrefix": "/books/", "backend": "tiles"},
    "twin": {"host": "a.example.", "pathPrefix": "/tiles/", "backend": "books"},
}


def routes(*names: str) -> list[dict[str, Any]]:
    return [{"name": name, "kind": "idempotent", **ROUTES[name]} for name in names]


def expect(what: str, found: object, expected: object) -> None:
    if found != expected:
        raise StepError(f"{what}: {found!r} in place of {expected!r}")


class Rules:
    """What operators and clients of a scenario do."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.world = scenario, scenario.world

    async def change(self, call: str, **parts: Any) -> int:
        """The status of a change on top of the configuration in force."""
        status, _ = await self.world.change(call, **parts)
        return status

    async def upsert(self, **tables: Any) -> int:
        return await self.change("Update", upsert=tables)

    async def try_upsert(self, address: str, **tables: Any) -> int:
        """The status of a change that is sent to one control node, once."""
        gen = self.world.gen
        body = json.dumps({"gen": gen + 1, "parent": gen, "upsert": tables}).encode()
        status, _ = await http_call(address, "POST", "/-/Config.Update", body)
        return status

    async def remove(self, **tables: Any) -> None:
        expect(f"remove {tables}", await self.change("Update", remove=tables), 200)

    async def ran(self, edge: str, path: str, key: str = KEY, host: str = "a.example") -> str:
        """Service and tenant that a request ran as; its status where it did not run."""
        attempt = await self.world.request(
            "GET", path, key, at=self.world.edge(edge), Host=host, X_Deadline_Ms="2000"
        )
        runs = [e for e in self.world.ledger.executions if e.request == attempt.request]
        if not runs:
            return str(attempt.status)
        service = next(
            a.service for a in self.world.ledger.arrivals if a.request == runs[0].request
        )
        return f"{service} {runs[0].tenant}".strip()

    async def statuses(self, edge: str, keys: tuple[str, ...] = ALL_KEYS) -> list[str]:
        return [await self.ran(edge, "/tiles/1", key) for key in keys]

    async def restart(self, *names: str) -> None:
        await asyncio.gather(*(self.world.kill(name, signal.SIGKILL) for name in names))
        for name in names:
            self.world.start(name)
        await self.scenario.wait_ready()

    async def restart_all_as(self, program: Program) -> None:
        names = list(self.world.machines)
        await self.scenario.stop(*names)
        self.world.programs = dict.fromkeys(names, program)
        for name in names:
            self.world.start(name)
        await self.scenario.wait_ready()


async def begin(scenario: Scenario) -> Rules:
    await scenario.world.begin()
    status, told = await scenario.world.configure()
    expect(f"the first configuration: {told}", status, 200)
    await scenario.wait_ready()
    return Rules(scenario)


async def earlier_leader(scenario: Scenario, old: Program, new: Program) -> None:
    """The leader takes what this version refuses; ingresses of this version stay safe."""
    for edge in scenario.edges:
        scenario.world.programs[edge] = new
    rules, edge = await begin(scenario), scenario.edges[0]
    expect("the odd tenant", await rules.upsert(tenants=[ODD_TENANT]), 200)
    expect("its requests", await rules.ran(edge, "/books/1", ODD_KEY), "503")
    expect("the other's", await rules.ran(edge, "/books/1", KEY), "books north")
    expect("both routes", await rules.upsert(routes=routes("ported", "twin")), 200)
    expect("the ported host", await rules.ran(edge, "/books/1", host=PORTED), "tiles north")
    for host in ("a.example", "a.example."):
        expect(f"two routes, {host}", await rules.ran(edge, "/tiles/1", host=host), "tiles north")
    await rules.restart(edge)
    expect("names after a restart", await rules.ran(edge, "/books/1", ODD_KEY), "503")
    expect("hosts after one", await rules.ran(edge, "/books/1", host=PORTED), "tiles north")
    await rules.remove(tenants=["north ", "north", "south"])
    expect("removed keys", await rules.statuses(edge), ["401"] * 4)
    await rules.restart(edge)
    expect("removed keys after a restart", await rules.statuses(edge, ALL_KEYS[:3]), ["401"] * 3)
    no_key = await rules.ran(edge, "/tiles/1", NO_KEY)
    scenario.say(f"leader {old.name}", "names, hosts, keys held", f"no key after it: {no_key}")


async def later_leader(scenario: Scenario, old: Program, new: Program) -> None:
    """Calls reach the leader through an earlier follower, too; an earlier ingress asks for keys."""
    old_core, old_edge, new_edge = scenario.cores[-1], scenario.edges[-1], scenario.edges[0]
    scenario.world.programs = dict.fromkeys(scenario.world.machines, new)
    scenario.world.programs |= {old_core: old, old_edge: old}
    rules = await begin(scenario)
    while await scenario.leader() == old_core:
        await rules.restart(old_core)
    all_nodes = scenario.world.control
    for control in (all_nodes, [scenario.world.address(scenario.world.machines[old_core], 1)]):
        scenario.world.control = control
        expect("the odd tenant", await rules.upsert(tenants=[ODD_TENANT]), 400)
        expect("the equal route", await rules.upsert(routes=routes("twin")), 400)
        for address in control:
            status = await rules.try_upsert(address, routes=routes("ported"))
            expect(f"a route that {old_edge} cannot serve", status, 503)
    for edge in (old_edge, new_edge):  # it is in force nowhere
        found = await rules.ran(edge, "/books/1", host=PORTED)
        expect(f"the host with a port at {edge}", found, "books north")
    await rules.remove(tenants=["north", "south"])
    for restarts in (False, True):
        if restarts:
            await rules.restart(old_edge, new_edge)
        for edge in (old_edge, new_edge):
            expect(f"removed keys at {edge}", await rules.statuses(edge), ["401"] * 4)
    _, read = await scenario.world.order("GET", "Config.Read")
    expect("tenants read through the follower", read["tenants"], [])
    expect("a tenant again", await rules.upsert(tenants=[{"name": "x", "apiKeys": [KEY]}]), 200)
    for edge in (old_edge, new_edge):
        found = await rules.statuses(edge)
        expect(f"a key at {edge}", found, ["tiles x", "401", "401", "401"])
    scenario.world.programs[old_edge] = new
    await rules.restart(old_edge)
    expect("the route with a port", await rules.upsert(routes=routes("ported")), 200)
    for edge in (old_edge, new_edge):
        found = await rules.ran(edge, "/books/1", host=PORTED)
        expect(f"the host with a port at {edge}", found, "tiles x")
    scenario.say(f"leader {new.name}", f"held, with {old_core} and {old_edge} of {old.name}")


async def stored_before(scenario: Scenario, old: Program, new: Program) -> None:
    """What the earlier version stored loads, can be changed, and is safe."""
    rules = await begin(scenario)
    expect("the odd tenant", await rules.upsert(tenants=[ODD_TENANT]), 200)
    expect("both routes", await rules.upsert(routes=routes("ported", "twin")), 200)
    await rules.restart_all_as(new)
    for edge in scenario.edges:
        expect("the odd tenant's requests", await rules.ran(edge, "/books/1", ODD_KEY), "503")
        expect("the other's", await rules.ran(edge, "/books/1", KEY), "books north")
        expect(
            "the host with a port", await rules.ran(edge, "/books/1", host=PORTED), "tiles north"
        )
        expect("two equal routes", await rules.ran(edge, "/tiles/1"), "tiles north")
    added = {"name": "more", "host": "b.example", "pathPrefix": "/", **routes("ported")[0]}
    added |= {"name": "more", "host": "b.example"}
    expect("an unrelated change", await rules.upsert(routes=[added]), 200)
    expect(
        "its route", await rules.ran(scenario.edges[0], "/books/", host="b.example"), "tiles north"
    )
    await rules.restart_all_as(old)
    await rules.remove(tenants=["north ", "north", "south"])
    await rules.restart_all_as(new)
    for edge in scenario.edges:
        expect("a list that was emptied", await rules.statuses(edge, ALL_KEYS[:3]), ["401"] * 3)
    no_key = await rules.ran(scenario.edges[0], "/tiles/1", NO_KEY)
    scenario.say(f"state of {old.name}", "loads, is safe, can be changed", f"no key: {no_key}")


async def stored_now(scenario: Scenario, old: Program, new: Program) -> None:
    """The earlier version reads what this one stored, and asks for keys."""
    scenario.world.programs = dict.fromkeys(scenario.world.machines, new)
    rules = await begin(scenario)
    content = {k: v for k, v in scenario.world.content().items() if k != "tenants"}
    expect("no list of tenants", await rules.change("Replace", **content), 200)
    _, read = await scenario.world.order("GET", "Config.Read")
    expect("the configuration that is read", read, content | {"gen": scenario.world.gen})
    for program in (old, new):
        await rules.restart_all_as(program)
        for edge in scenario.edges:
            expect(f"keys at {program.name}", await rules.statuses(edge), ["401"] * 4)
    expect("a tenant again", await rules.upsert(tenants=[{"name": "x", "apiKeys": [KEY]}]), 200)

    async def serves() -> bool:
        return await rules.ran(scenario.edges[0], "/tiles/1", KEY) == "tiles x"

    await until("a request with the new key", serves, READY_WITHIN_S)
    scenario.say(
        f"state of {new.name}", f"{old.name} asks for keys, and so does {new.name} after it"
    )


async def departure(scenario: Scenario, old: Program, new: Program) -> None:
    """The departure of a server whose id this version refuses counts, if it was acknowledged."""
    world, edge = scenario.world, scenario.edges[0]
    world.heartbeat = f"{HEARTBEAT_S}s"
    rules = await begin(scenario)
    server = await world.add_server("tiles", "north-a", id=ODD_SERVER_ID)
    server.heartbeat_interval = HEARTBEAT_S

    async def is_listed() -> bool:
        await rules.ran(edge, "/tiles/1")
        return any(e.server == server.id for e in world.ledger.executions)

    await until("a request at the server", is_listed, READY_WITHIN_S)
    first_leader = await scenario.leader()
    follower = scenario.cores[-1]  # a learner, which never leads
    for name in set(scenario.cores) - {first_leader, follower}:
        world.programs[name] = new
        await rules.restart(name)
    await world.kill(first_leader)
    await scenario.leader()
    server.control = [world.address(world.machines[follower], 1)]
    await server.drain()
    server.stop_heartbeats()
    acknowledged_at = asyncio.get_running_loop().time()
    leader = await scenario.leader()
    while asyncio.get_running_loop().time() < acknowledged_at + WATCHED_S:
        await asyncio.gather(*(rules.ran(edge, "/tiles/1") for edge in scenario.edges))
    late = [e.at - acknowledged_at for e in world.ledger.executions if e.server == server.id]
    last = max(late, default=0.0)
    scenario.say(
        "a departure",
        f"leader {leader} of {world.programs[leader].name}",
        f"last request after {last:.1f} s",
    )
    expect("requests after `drain`", last > DRAIN_S, False)


SCENARIOS: dict[str, Callable[[Scenario, Program, Program], Awaitable[None]]] = {
    "earlier leader": earlier_leader,
    "later leader": later_leader,
    "stored before": stored_before,
    "stored now": stored_now,
    "departure": departure,
}


async def main(old: Program, new: Program) -> int:
    held = [await run(name, play, old, new) for name, play in SCENARIOS.items()]
    return 0 if all(held) else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old", type=Path, help="checkout of the earlier version")
    options = parser.parse_args()
    old_checkout = options.old.resolve()
    own_checkout = Path(__file__).resolve().parents[2]
    sys.exit(
        asyncio.run(
            main(
                Program(old_checkout.name, old_checkout, "cairndale"),
                Program("this version", own_checkout, "cairndale"),
            )
        )
    )
