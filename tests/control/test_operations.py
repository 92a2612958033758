"""Contact with a majority before anything is answered; one order at a time, and again: core
machines in virtual time, each cut off in turn, judged against a plain model of the
configuration."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

import cairndale.configuration.state
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import REJECTED, State
from cairndale.control.change_queue import ChangeOutcome
from cairndale.control.configuration_changes import ConfigurationChanges
from cairndale.control.follower import Follower
from cairndale.control.leadership import Leadership
from cairndale.control.operations import OperationHandler
from cairndale.control.read_index import ReadIndex
from cairndale.http_api.server import error_response
from cairndale.registry.endpoints import EndpointRegistry, read_heartbeat
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.settings import parse_settings
from tests.control.test_state_models import SETTINGS, heartbeat
from tests.testing.control_cluster import World, configuration, in_memory, play


@pytest.fixture(autouse=True)
def world_in_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    in_memory(monkeypatch)


# The plain model: a register that is changed by orders, each on top of its parent, each once.


@dataclass
class Done:
    """One try of a call: what was answered, and between when."""

    what: str  # "read" or "order"
    gen: int  # that was read, or that the order brings
    begun: float
    ended: float
    status: int


@dataclass
class History:
    tries: list[Done] = field(default_factory=list)
    sent: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # by gen: parent and body

    def broken(self, chain: list[int]) -> list[str]:
        """`chain`: gens that were in force, in order; the first is 0."""
        wrong, place = [], {gen: n for n, gen in enumerate(chain)}
        for older, newer in pairwise(chain):
            if self.sent[newer][0] != older:
                wrong.append(f"{newer} is in force on top of {older}, not of {self.sent[newer][0]}")
        orders = [t for t in self.tries if t.what == "order"]
        reads = [t for t in self.tries if t.what == "read" and t.status in (200, 404)]
        for one in orders:
            if one.status == 200 and one.gen not in place:
                wrong.append(f"{one.gen} was acknowledged, and was never in force")
            if 400 <= one.status < 500 and one.gen in place:
                wrong.append(f"{one.gen} was refused with {one.status}, and was in force")
        known = [(t.begun, t.ended, place[t.gen]) for t in reads]
        known += [
            (t.begun, t.ended, place[t.gen]) for t in orders if t.status == 200 and t.gen in place
        ]
        for begun, _, at in known:
            for _, ended, before in known:
                if (
                    ended < begun
                    and before > at
                    and (begun, at) in {(r.begun, place[r.gen]) for r in reads}
                ):
                    wrong.append(
                        f"{chain[at]} was read at {begun:.2f}, {chain[before]} known at {ended:.2f}"
                    )
        first = {g: min(t.begun for t in orders if t.gen == g) for g in {t.gen for t in orders}}
        for read in reads:
            if read.gen in first and read.ended < first[read.gen]:
                wrong.append(f"{read.gen} was read before it was sent")
        return wrong


def now() -> float:
    return asyncio.get_running_loop().time()


def settled_state(world: World) -> State:
    leader = world.leader()
    assert leader
    return leader.state


def chain_of(world: World, history: History) -> list[int]:
    """What was in force, as the state remembers it."""
    gens = [gen for gen in settled_state(world).idempotency_records.values() if gen != REJECTED]
    return [0, *gens]


async def order(
    world: World, history: History, host: str, gen: int, call: str = "Config.Replace"
) -> int:
    """One try, as an operator's: a second, and no answer."""
    begun, status = now(), 0
    try:
        async with asyncio.timeout(1.0):
            status, _ = await world.call(host, "POST", call, history.sent[gen][1])
    except (TimeoutError, KeyError):
        pass
    history.tries.append(Done("order", gen, begun, now(), status))
    return status


async def read(world: World, history: History, host: str) -> int:
    begun = now()
    try:
        async with asyncio.timeout(1.0):
            status, body = await world.call(host, "GET", "Config.Read")
    except (TimeoutError, KeyError):
        return 0
    history.tries.append(Done("read", body.get("gen", 0), begun, now(), status))
    return status


def first() -> History:
    return History(sent={1: (0, configuration(1, 0))})


def is_clear(status: int) -> bool:
    return 200 <= status < 500


async def operator(
    world: World,
    history: History,
    gen: int,
    hosts: list[str],
    pause: float = 0.1,
    within: float = 30.0,
) -> int:
    """Sends an order until there is a clear answer, to any machine."""
    until = now() + within
    while now() < until:
        if is_clear(status := await order(world, history, random.choice(hosts), gen)):
            return status
        await asyncio.sleep(pause)
    return 0


async def server(world: World, id: str, zone: str, home: str, hosts: list[str]) -> None:
    """Beats as servers do: where there is no answer, to the next at once."""
    at, seq = home, 0
    while True:
        seq += 1
        began = now()
        while await world.beat(at, id, seq, zone) != 200:
            at = random.choice(hosts)
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.0, 1.5 - (now() - began)))


async def gone(world: World, seen: list[str]) -> None:
    """Notes each living server that a leader calls gone."""
    began = now()
    while True:
        for core in world.cores.values():
            if core.leadership and core.leads():
                seen += [
                    f"{s.id} gone at {now() - began:.1f} s"
                    for s in core.endpoint_registry.endpoints.values()
                    if s.state == "gone"
                ]
        await asyncio.sleep(0.1)


CUTS: dict[str, Callable[[World, str], None]] = {
    "whole": lambda w, h: w.part(
        h, [o for o in [*w.hosts, *(i.host for i in w.ingresses)] if o != h]
    ),
    "cores": lambda w, h: w.part(h, [o for o in w.hosts if o != h]),
    "out": lambda w, h: w.part(h, [o for o in w.hosts if o != h], back=False),
    "in": lambda w, h: w.part(h, [o for o in w.hosts if o != h], there=False),
    "some": lambda w, h: w.part(h, [o for o in w.hosts if o != h][1:3]),
}


async def cut_off(cut: str, number: int, broken: list[str]) -> None:
    """20 s in which one machine is cut off; orders, reads, beats and evacuations at both sides."""
    random.seed(f"{cut}{number}")
    world, history, seen = World(Path("cut")), History(), list[str]()
    await world.begin()
    history.sent[1] = 0, configuration(1, 0)
    assert await operator(world, history, 1, world.hosts) == 200
    leader = world.leader()
    assert leader
    victim = [leader.settings.ip, *(h for h in world.hosts if h != leader.settings.ip)][number]
    others = [h for h in world.hosts if h != victim]
    loop, tasks = asyncio.get_running_loop(), []
    for n in range(6):
        home = victim if n < 3 else others[n % 4]
        zone = f"z{world.hosts.index(home) + 1}"
        tasks.append(loop.create_task(server(world, f"s{n}", zone, home, world.hosts)))
    await asyncio.sleep(3.0)
    tasks.append(loop.create_task(gone(world, seen)))
    CUTS[cut](world, victim)
    began, gen = now(), 1
    if cut == "whole":
        await asyncio.sleep(1.5)
        status, _ = await world.call(victim, "GET", "readyz")
        assert status == 503 and (await world.beat(victim, "s0", 999, "z9")) == 503
        assert (await world.cores[victim].api.lookup_api("GET", "/-/lookup?region=r1", b""))[
            0
        ] == 503
    while now() < began + 20.0:
        for host in (victim, random.choice(others)):
            asked = now()
            await read(world, history, host)
            assert now() - asked <= 1.0
        gen += random.randint(2, 4)
        parent = max(
            g for g in history.sent if any(t.gen == g and t.status == 200 for t in history.tries)
        )
        history.sent[gen], history.sent[gen + 1] = (
            (parent, configuration(gen, parent)),
            (parent, configuration(gen + 1, parent)),
        )
        await asyncio.gather(  # two on one parent, at both sides; each is sent on to any
            operator(world, history, gen, [victim, *others], within=4.0),
            operator(
                world, history, gen + 1, [victim] if random.random() < 0.5 else others, within=4.0
            ),
            read(world, history, victim),
            zone_order(world, "Drain.Begin", "z2", [victim, random.choice(others)]),
        )
        gen += 1
        evacuated = settled_state(world).evacuated if world.leader() else {"z2": 1}
        if "z2" not in evacuated:
            broken.append("z2 is in use after its evacuation was acknowledged")
        await zone_order(world, "Drain.Finish", "z2", [random.choice(others)])
    world.heal()
    await asyncio.sleep(3.0)
    await read(world, history, victim)
    final = settled_state(world)
    broken += history.broken(chain_of(world, history)) + seen[:3]
    broken += [f"z2 evacuated: {final.evacuated}"] if final.evacuated else []
    broken += [] if len(chain_of(world, history)) > 4 else ["no order was taken"]
    for task in tasks:
        task.cancel()


async def near_a_cut(number: int, broken: list[str]) -> None:
    """Servers that beat at a machine that is cut off for 20 s: none is ever called gone."""
    world, seen = World(Path("near")), list[str]()
    await world.begin()
    assert await operator(world, first(), 1, world.hosts) == 200
    leader = world.leader()
    assert leader
    victim = [leader.settings.ip, *(h for h in world.hosts if h != leader.settings.ip)][number]
    zone = world.cores[victim].settings.zone
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(server(world, f"s{n}", zone, victim, world.hosts)) for n in range(8)]
    await asyncio.sleep(3.0)
    tasks.append(loop.create_task(gone(world, seen)))
    for cut in ("whole", "out", "in"):
        CUTS[cut](world, victim)
        await asyncio.sleep(20.0)
        world.heal()
        await asyncio.sleep(5.0)
    broken += seen[:5]
    for task in tasks:
        task.cancel()


@pytest.mark.parametrize("number", range(5))
def test_no_server_is_called_gone_as_the_machine_it_beats_at_is_cut_off(number: int) -> None:
    random.seed(number)
    broken = list[str]()
    play(near_a_cut(number, broken))
    assert not broken


async def zone_order(world: World, call: str, zone: str, hosts: list[str]) -> None:
    """Until it is answered, and the answer is known to be read."""
    for _ in range(60):
        host = random.choice(hosts) if hosts else world.hosts[0]
        target = f"/-/{call}/{zone}"
        try:
            async with asyncio.timeout(1.0):
                answer = await world.cores[host].api.control("POST", target, b"")
        except TimeoutError:
            continue
        if answer[0] == 200:
            leader = world.leader()
            if leader and leader.leadership:  # the receipt came
                leader.leadership.evacuation_log.acknowledge(zone, json.loads(answer[1])["order"])
            return
        hosts = [*hosts, *world.hosts]
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("number", range(5))
def test_each_member_is_cut_off_for_20_s(cut: str, number: int) -> None:
    broken = list[str]()
    play(cut_off(cut, number, broken))
    assert not broken


# What is answered from old state, and what is refused.


async def frozen_reader(found: list[str]) -> None:
    """The leader is frozen behind its checks, and wakes at the next line, with another in its
    place."""
    world, history = World(Path("frozen")), History()
    await world.begin()
    history.sent |= {
        1: (0, configuration(1, 0)),
        2: (1, configuration(2, 1)),
        3: (1, configuration(3, 1)),
    }
    assert await operator(world, history, 1, world.hosts) == 200
    old = world.leader()
    assert old
    host = old.settings.ip
    others = [h for h in world.hosts if h != host]
    world.freeze(host)
    assert await operator(world, history, 2, others) == 200
    asked = [
        asyncio.create_task(read(world, history, host)),
        asyncio.create_task(order(world, history, host, 3)),
        asyncio.create_task(world.beat(host, "s1", 1)),
        asyncio.create_task(world.call(host, "GET", "Fleet.Show")),
    ]
    await asyncio.sleep(0.1)
    world.thaw(host)
    await asyncio.gather(*asked)
    await operator(world, history, 3, [host])
    found += history.broken(chain_of(world, history))
    show = asked[3].result()
    if show[0] == 200 and show[1]["gen"] != 2:
        found.append("old state was shown")
    leader = world.leader()
    assert leader
    if asked[2].result() == 200 and "s1" not in leader.endpoint_registry.endpoints:
        found.append("a beat was confirmed that no leader knows")


def is_append(sender: str, takers: set[str], envelope: pb.Envelope, receiver: str) -> bool:
    line = envelope.log_message
    return (
        line.sender.address == sender
        and bool(line.append_entries.entries)
        and receiver not in takers
    )


async def undecided(found: list[str]) -> None:
    """The first copy stands in the log, and no majority has it; the second is judged meanwhile, and
    a third at the next leader."""
    for far in (None, 0, 1):
        world, history = World(Path("undecided")), History()
        await world.begin()
        history.sent |= {
            g: (0 if g == 1 else 1, configuration(g, 0 if g == 1 else 1)) for g in (1, 2, 3)
        }
        assert await operator(world, history, 1, world.hosts) == 200
        leader = world.leader()
        assert leader
        host, others = leader.settings.ip, [h for h in world.hosts if h != leader.settings.ip]
        takers = {f"{h}:7600" for h in others[: far or 0]}  # with these and itself, no majority
        world.net.loses = partial(is_append, leader.me.address, takers)
        assert await order(world, history, host, 2) == 0
        # the same leader: the first is given up at 3 s, and stands in the log all the same
        if far is None:
            await asyncio.sleep(1.9)
            again = [asyncio.create_task(order(world, history, host, g)) for g in (2, 3, 2)]
            await asyncio.sleep(0.2)
        else:
            again = [asyncio.create_task(order(world, history, host, g)) for g in (2, 3, 2)]
            await asyncio.gather(*again)
            world.part(host, others)
            again = [asyncio.create_task(operator(world, history, g, others)) for g in (3, 2)]
            await asyncio.gather(*again)
        world.net.loses = lambda e, to: False
        await asyncio.gather(*again)
        world.heal()
        for gen in (2, 3):
            if not is_clear(await operator(world, history, gen, world.hosts)):
                found.append(f"{gen} is never answered")
        found += history.broken(chain_of(world, history))


async def ahead_of_its_parent(found: list[str]) -> None:
    """What was refused because its parent is not known stays refused, whoever brings it again, and
    when."""
    world, history = World(Path("ahead")), History()
    await world.begin()
    parents = {1: 0, 9: 1, 12: 9}
    history.sent |= {gen: (parent, configuration(gen, parent)) for gen, parent in parents.items()}
    assert await operator(world, history, 1, world.hosts) == 200
    assert await operator(world, history, 12, world.hosts) == 412
    assert await operator(world, history, 9, world.hosts) == 200
    await order(world, history, world.hosts[2], 12)
    leader = world.leader()
    assert leader
    await world.crash(leader.settings.ip)
    await world.until(world.leader)
    await operator(world, history, 12, [h for h in world.hosts if h in world.cores])
    found += history.broken(chain_of(world, history))


async def forgotten(found: list[str]) -> None:
    """After hundreds of others: what was taken is known, or nothing clear is said."""
    world, history = World(Path("forgotten")), History()
    await world.begin()
    history.sent[1] = 0, configuration(1, 0)
    lost = json.dumps({"gen": 3, "parent": 2, "upsert": {}}).encode()
    for gen in range(1, 301):
        history.sent[gen] = gen - 1, configuration(gen, gen - 1)
        host = random.choice(world.hosts)
        begun, (status, _) = (
            now(),
            await world.call(host, "POST", "Config.Replace", history.sent[gen][1]),
        )
        history.tries.append(Done("order", gen, begun, now(), status))
        assert status == 200
    leader = world.leader()
    assert leader
    await world.crash(leader.settings.ip)
    await world.until(world.leader)
    hosts = list(world.cores)
    for gen in (1, 2, 7, 40, 150, 300):
        if 400 <= (status := await order(world, history, random.choice(hosts), gen)) < 500:
            found.append(f"{gen} was taken, and is refused with {status}")

    async def clear(call: str, body: bytes) -> int:
        """What is answered at last, if that is clear."""
        for _ in range(20):
            status, _ = await world.call(random.choice(hosts), "POST", call, body)
            if is_clear(status):
                return status
            await asyncio.sleep(0.05)
        return 503

    state = settled_state(world)
    assert await clear("Config.Replace", configuration(2, 1)) == (
        503 if state.evicted_gen >= 2 else 412
    )
    assert await clear("Config.Update", lost) == (503 if state.evicted_gen >= 3 else 412)
    again = history.sent[300][1]
    assert await clear("Config.Update", again) in (400, 412)  # the same, to another call ...
    assert await clear("Config.Replace", again + b" ") == 412  # ... or not as it was
    for body, call in (
        (b"{", "Config.Replace"),
        (b'{"gen": 3, "parent": 2}', "Config.Replace"),
        (configuration(7, 6, routes=[{}]), "Config.Replace"),
        (b'{"gen": 3, "parent": 2, "upsert": 5}', "Config.Update"),
    ):
        assert await clear(call, body) in (400, 412), body  # invalid, whatever the state was


SCENES = {
    "frozen": frozen_reader,
    "undecided": undecided,
    "ahead": ahead_of_its_parent,
    "forgotten": forgotten,
}


@pytest.mark.parametrize("scene", SCENES)
def test_nothing_is_answered_from_old_state_and_what_is_refused_stays_so(scene: str) -> None:
    found = list[str]()
    play(SCENES[scene](found))
    assert not found


def test_little_room_to_remember_leaves_no_clear_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cairndale.configuration.state, "MAX_IDEMPOTENCY_RECORDS", 20)
    found = list[str]()
    play(forgotten(found))
    assert not found


# Two orders on one parent, with a change of the leader at each step of the way.


async def two_at_once(step: int, crash: bool, found: list[str]) -> None:
    world, history = World(Path("two")), History()
    await world.begin()
    history.sent |= {
        g: (0 if g == 1 else 1, configuration(g, 0 if g == 1 else 1)) for g in (1, 2, 3)
    }
    assert await operator(world, history, 1, world.hosts) == 200
    leader = world.leader()
    assert leader
    host, due = leader.settings.ip, world.net.steps + step
    others = [h for h in world.hosts if h != host]
    back = asyncio.Event()

    def change(steps: int) -> None:
        if steps == due:
            if crash:
                asyncio.get_running_loop().create_task(world.crash(host))
            else:
                world.part(host, [*others, *(i.host for i in world.ingresses)])
            asyncio.get_running_loop().call_later(2.0, back.set)

    world.net.at_step = change
    clear = await asyncio.gather(
        operator(world, history, 2, [host, *others]), operator(world, history, 3, others[:2])
    )
    await back.wait()
    if crash:
        await world.start(host)
    world.heal()
    await asyncio.sleep(1.5)
    again = await asyncio.gather(*(operator(world, history, g, world.hosts) for g in (2, 3)))
    found += history.broken(chain_of(world, history))
    if sorted(again) != [200, 412] or list(clear) != again:
        found.append(f"answers: {clear}, then {again}")


@pytest.mark.parametrize("crash", [False, True], ids=["cut", "crash"])
@pytest.mark.parametrize("part", range(4))
def test_two_orders_on_one_parent_with_a_change_of_leader_at_each_step(
    crash: bool, part: int
) -> None:
    for step in range(1 + part, 81, 4):
        found = list[str]()
        random.seed(step)
        play(two_at_once(step, crash, found))
        assert not found, step


async def eight_under_way(seed: int, found: list[str]) -> None:
    """Answers are lost, calls come twice, the leader changes again and again."""
    random.seed(seed)
    world, history = World(Path("eight")), History()
    await world.begin()
    world.net.twice = True
    world.net.loses = lambda e, to: (
        e.WhichOneof("body") == "operation_response" and random.random() < 0.3
    )
    history.sent[1] = 0, configuration(1, 0)
    assert await operator(world, history, 1, world.hosts) == 200
    gens = iter(range(2, 10_000))

    async def one() -> None:
        until = now() + 25.0
        while now() < until:
            leader = world.leader()
            gen, parent = next(gens), leader.state.gen if leader else 0
            history.sent[gen] = parent, configuration(gen, parent)
            await operator(world, history, gen, world.hosts, within=8.0)
            if random.random() < 0.3:  # another's, from before
                await order(
                    world, history, random.choice(world.hosts), random.choice(list(history.sent))
                )
            await read(world, history, random.choice(world.hosts))

    async def trouble() -> None:
        while True:
            await asyncio.sleep(random.uniform(1.5, 4.0))
            leader = world.leader()
            if leader and random.random() < 0.5:
                host = leader.settings.ip
                CUTS[random.choice(list(CUTS))](world, host)
                await asyncio.sleep(random.uniform(0.3, 3.0))
                world.heal()
            elif leader:
                host = leader.settings.ip
                await world.crash(host)
                await asyncio.sleep(random.uniform(0.0, 2.0))
                await world.start(host)

    work = asyncio.create_task(trouble())
    await asyncio.gather(*(one() for _ in range(8)))
    work.cancel()
    world.heal()
    for host in world.hosts:
        if host not in world.cores:
            await world.start(host)
    await asyncio.sleep(3.0)
    await read(world, history, world.hosts[0])
    found += history.broken(chain_of(world, history))
    if len(chain_of(world, history)) < 10:
        found.append("hardly anything was taken")


@pytest.mark.parametrize("seed", range(4))
def test_eight_orders_under_way_with_lost_answers_and_changes_of_leader(seed: int) -> None:
    found = list[str]()
    play(eight_under_way(seed, found))
    assert not found


# Evacuations that come by two ways, and late.


async def evacuations(found: list[str]) -> None:
    """Each call comes again 0.7 s later, by another way; the plain model counts the orders."""
    world, model = World(Path("zones")), dict[str, int]()
    await world.begin()
    world.net.twice = True
    for number in range(60):
        zone = random.choice(["z2", "z3"])
        begin = random.random() < 0.5 or not model.get(zone)
        call = "Drain.Begin" if begin else "Drain.Finish"
        await zone_order(world, call, zone, [])
        model[zone] = model.get(zone, 0) + (1 if begin else -1)
        if number % 12 == 5:  # with copies still under way
            leader = world.leader()
            assert leader
            host = leader.settings.ip
            await world.crash(host)
            await world.until(world.leader)
            await world.start(host)
            # calls that nobody is known to have read are the same order for so long
            await asyncio.sleep(6.5)
        elif random.random() < 0.5:
            await asyncio.sleep(random.uniform(0.0, 1.0))
        want = {zone: orders for zone, orders in model.items() if orders}
        if world.leader() and (have := settled_state(world).evacuated) != want:
            found.append(f"after {number + 1} orders {have}, not {want}")
            return


@pytest.mark.parametrize("seed", range(3))
def test_orders_for_zones_that_come_by_two_ways_are_one(seed: int) -> None:
    random.seed(seed)
    found = list[str]()
    play(evacuations(found))
    assert not found


# What is confirmed, and who is named.


async def test_what_no_leader_has_answered_is_kept_and_told_with_its_age() -> None:
    endpoint_registry, node_registry = EndpointRegistry(), NodeRegistry()
    settings = parse_settings(SETTINGS)
    collector = HeartbeatCollector(settings, endpoint_registry, node_registry)
    for id in ("i", "j"):
        endpoint_registry.record_heartbeat(read_heartbeat(id, heartbeat(1), 0.0))
    assert not collector.collect("k", json.dumps(heartbeat(2)).encode(), 1.0)  # unknown
    for id, seq, at in (("i", 2, 1.0), ("j", 2, 1.2), ("i", 3, 2.5)):
        assert collector.collect(id, json.dumps(heartbeat(seq)).encode(), at)
    lost = collector.report(3.0)
    assert (list(lost.ids), list(lost.seqs), list(lost.ages_ms)) == (
        ["i", "j"],
        [3, 2],
        [500, 1800],
    )
    assert collector.report(3.1).seqs == lost.seqs  # there was no answer
    assert collector.collect("i", json.dumps(heartbeat(4)).encode(), 3.2)
    collector.acknowledge(lost)
    assert list(collector.report(3.3).ids) == ["i"] and list(collector.report(3.3).seqs) == [4]
    endpoint_registry.endpoints.clear()
    assert not collector.report(3.4).ids
    leadership = Leadership(
        1, 100.0, False, EndpointRegistry(), NodeRegistry(), [], settings.bounds, 1.5
    )
    leadership.endpoint_registry.record_heartbeat(read_heartbeat("i", heartbeat(1), 96.0))
    leadership.record_report(
        100.0, pb.HeartbeatReport(ids=["i", "x"], seqs=[3, 1], ages_ms=[3000, 0])
    )
    assert (
        leadership.endpoint_registry.endpoints["i"].last_heartbeat_at == 98.0
        and "x" not in leadership.endpoint_registry.endpoints
    )


def test_who_is_cut_off_is_not_named_to_servers() -> None:
    async def scene() -> None:
        world = World(Path("named"))
        await world.begin()
        assert await operator(world, first(), 1, world.hosts) == 200
        await asyncio.sleep(2.0)
        leader = world.leader()
        assert leader
        others = [h for h in world.hosts if h != leader.settings.ip]
        victim, asked = others[0], others[1]
        zone = world.cores[victim].settings.zone

        async def named() -> str:
            raw = {
                "addr": "10.9.0.1:80",
                "details": {"backend": "s1", "gen": "v1", "zone": zone, "capacity": 2},
                "status": {"state": "ready", "seq": round(now() * 1000), "warmupLeft": "0ms"},
            }
            return str(
                (
                    await world.call(
                        asked, "POST", "Instances.Heartbeat/s", json.dumps(raw).encode()
                    )
                )[1]
            )

        assert f"{victim}:8200" in await named()
        CUTS["whole"](world, victim)
        await asyncio.sleep(3.0)
        assert victim not in await named()
        world.heal()
        await asyncio.sleep(3.0)
        assert f"{victim}:8200" in await named()

    play(scene())


# Planted defects, and the scene that is to see each.


def lease_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is answered rests on the lease, checked before the state is taken."""

    async def at_once(self: ReadIndex, *args: object, **fields: object) -> None:
        return

    monkeypatch.setattr(ReadIndex, "confirm", at_once)


def own_board(monkeypatch: pytest.MonkeyPatch) -> None:
    """A beat is confirmed from the own board, at whatever age."""
    monkeypatch.setattr(Follower, "in_contact", lambda self, now: True)


def void_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is void in the log is refused, though its first copy may have been taken there before
    it."""
    decide_change = ConfigurationChanges._decide

    async def refused(self: ConfigurationChanges, *args: Any) -> Any:
        decide, void = self._leader.decide, list[Command]()

        async def noted(command: Command) -> bool:
            if not (applied := await decide(command)):
                void.append(command)
            return applied

        self._leader.decide = noted  # type: ignore[method-assign]
        try:
            outcome = await decide_change(self, *args)
        finally:
            self._leader.decide = decide  # type: ignore[method-assign]
        return ChangeOutcome(error_response(412, "another change came first")) if void else outcome

    monkeypatch.setattr(ConfigurationChanges, "_decide", refused)


def unsaid_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    """A refusal that a later state would take back is nowhere written down."""
    applying = State.apply_steps

    def unsaid(self: State, command: Command, tells: bool) -> Generator[None, None, bool]:
        return (
            (yield from applying(self, command, tells))
            if command.verb is not Verb.REJECT
            else False
        )

    monkeypatch.setattr(State, "apply_steps", unsaid)


def by_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last calls are remembered, and those before count as never taken."""
    monkeypatch.setattr(cairndale.configuration.state, "MAX_IDEMPOTENCY_RECORDS", 20)
    monkeypatch.setattr(State, "record_may_be_evicted", lambda self, gen: False)


def nameless(monkeypatch: pytest.MonkeyPatch) -> None:
    """A call for a zone has no id."""
    handle = OperationHandler.handle
    monkeypatch.setattr(
        OperationHandler,
        "handle",
        lambda self, method, target, body, call_id="": handle(self, method, target, body),
    )


PLANTED: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], Callable[[list[str]], Any]]] = {
    "lease alone": (lease_alone, frozen_reader),
    "own board of one that led": (own_board, partial(near_a_cut, 0)),
    "own board of another": (own_board, partial(near_a_cut, 2)),
    "void is refused": (void_is_refused, undecided),
    "unsaid refusal": (unsaid_refusal, ahead_of_its_parent),
    "by count": (by_count, forgotten),
    "nameless": (nameless, evacuations),
}


@pytest.mark.parametrize("defect", PLANTED)
def test_planted_defects_are_seen(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    random.seed(1)
    plant, scene = PLANTED[defect]
    plant(monkeypatch)
    found = list[str]()
    try:
        play(scene(found))
    except AssertionError as error:
        found.append(str(error))
    assert found


# A leave that was acknowledged outlives the leader that heard it.


async def leave_and_crash(number: int, by: str, broken: list[str]) -> None:
    """One server's leave is acknowledged, and the leader is gone at that moment."""
    random.seed(number)
    world, loop = World(Path("leave")), asyncio.get_running_loop()
    await world.begin()
    assert await operator(world, first(), 1, world.hosts) == 200
    others = [
        loop.create_task(server(world, f"s{n}", "z1", world.hosts[n], world.hosts))
        for n in range(4)
    ]
    for seq in range(1, 4):
        assert await world.beat(random.choice(world.hosts), "s9", seq) == 200
        await asyncio.sleep(1.4 + 0.2 * random.random())
    leader = world.leader()
    assert leader
    lost = leader.settings.ip
    address = lost if by == "leader" else random.choice([h for h in world.hosts if h != lost])
    status = 0
    while status != 200:
        status, _ = await world.call(address, "POST", "Instances.Deregister/s9")
    await world.crash(lost)
    await world.until(lambda: world.leader() is not None)
    taken_over = now()
    while now() < taken_over + 6.0:
        if (
            (held := world.leader())
            and (known := held.endpoint_registry.endpoints.get("s9"))
            and known.state == "ready"
        ):
            broken.append(f"ready {now() - taken_over:.1f} s after the takeover")
            break
        await asyncio.sleep(0.1)
    for task in others:
        task.cancel()


@pytest.mark.parametrize("by", ["leader", "follower"])
@pytest.mark.parametrize("number", range(8))
def test_a_leave_that_was_acknowledged_outlives_its_leader(number: int, by: str) -> None:
    broken = list[str]()
    play(leave_and_crash(number, by, broken))
    assert not broken
