"""Linearizability and idempotency of operators' calls: control nodes in virtual time, with network
partitions, crashes and lost messages, checked against a simple model of the configuration."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Generator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

import cairndale.configuration.state
from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
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
from tests.testing.control_calls import (
    CallAttempt,
    CallHistory,
    committed_generations,
    first_change,
    is_final,
    leader_state,
    now,
    run_server,
    send_change,
    send_read,
    send_zone_order,
    submit_change,
)
from tests.testing.control_cluster import (
    ControlCluster,
    configuration,
    run_in_virtual_time,
)

pytestmark = pytest.mark.usefixtures("memory_cluster")


async def record_removed_servers(cluster: ControlCluster, removed: list[str]) -> None:
    """Records running servers that a leader reports as gone."""
    began = now()
    while True:
        for node in cluster.nodes.values():
            if node.leadership and node.leads():
                removed += [
                    f"{s.id} gone at {now() - began:.1f} s"
                    for s in node.endpoint_registry.endpoints.values()
                    if s.state == "gone"
                ]
        await asyncio.sleep(0.1)


PARTITIONS: dict[str, Callable[[ControlCluster, str], None]] = {
    "whole": lambda c, h: c.partition(
        h, [o for o in [*c.hosts, *(i.host for i in c.ingresses)] if o != h]
    ),
    "cores": lambda c, h: c.partition(h, [o for o in c.hosts if o != h]),
    "out": lambda c, h: c.partition(h, [o for o in c.hosts if o != h], incoming=False),
    "in": lambda c, h: c.partition(h, [o for o in c.hosts if o != h], outgoing=False),
    "some": lambda c, h: c.partition(h, [o for o in c.hosts if o != h][1:3]),
}


async def run_with_partition(partition: str, number: int, violations: list[str]) -> None:
    """Calls of all kinds on both sides while one node is partitioned for 20 s."""
    random.seed(f"{partition}{number}")
    cluster, history, removed = ControlCluster(Path("cut")), CallHistory(), list[str]()
    await cluster.start_all()
    history.sent[1] = 0, configuration(1, 0)
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    leader = cluster.leader()
    assert leader
    victim = [leader.settings.ip, *(h for h in cluster.hosts if h != leader.settings.ip)][number]
    others = [h for h in cluster.hosts if h != victim]
    loop, tasks = asyncio.get_running_loop(), []
    for n in range(6):
        home = victim if n < 3 else others[n % 4]
        zone = f"z{cluster.hosts.index(home) + 1}"
        tasks.append(loop.create_task(run_server(cluster, f"s{n}", zone, home, cluster.hosts)))
    await asyncio.sleep(3.0)
    tasks.append(loop.create_task(record_removed_servers(cluster, removed)))
    PARTITIONS[partition](cluster, victim)
    began, gen = now(), 1
    if partition == "whole":
        await asyncio.sleep(1.5)
        status, _ = await cluster.call(victim, "GET", "readyz")
        assert status == 503 and (await cluster.send_heartbeat(victim, "s0", 999, "z9")) == 503
        assert (await cluster.nodes[victim].api.lookup_api("GET", "/-/lookup?region=r1", b""))[
            0
        ] == 503
    while now() < began + 20.0:
        for host in (victim, random.choice(others)):
            asked_at = now()
            await send_read(cluster, history, host)
            assert now() - asked_at <= 1.0
        gen += random.randint(2, 4)
        parent = max(
            g for g in history.sent if any(t.gen == g and t.status == 200 for t in history.attempts)
        )
        history.sent[gen], history.sent[gen + 1] = (
            (parent, configuration(gen, parent)),
            (parent, configuration(gen + 1, parent)),
        )
        # Two changes on one parent, on both sides; each is retried at other nodes.
        await asyncio.gather(
            submit_change(cluster, history, gen, [victim, *others], within=4.0),
            submit_change(
                cluster, history, gen + 1, [victim] if random.random() < 0.5 else others, within=4.0
            ),
            send_read(cluster, history, victim),
            send_zone_order(cluster, "Drain.Begin", "z2", [victim, random.choice(others)]),
        )
        gen += 1
        evacuated = leader_state(cluster).evacuated if cluster.leader() else {"z2": 1}
        if "z2" not in evacuated:
            violations.append("z2 is not evacuated after its evacuation was acknowledged")
        await send_zone_order(cluster, "Drain.Finish", "z2", [random.choice(others)])
    cluster.reconnect()
    await asyncio.sleep(3.0)
    await send_read(cluster, history, victim)
    final = leader_state(cluster)
    violations += history.violations(committed_generations(cluster, history)) + removed[:3]
    violations += [f"z2 evacuated: {final.evacuated}"] if final.evacuated else []
    violations += (
        []
        if len(committed_generations(cluster, history)) > 4
        else ["hardly any change was committed"]
    )
    for task in tasks:
        task.cancel()


async def run_heartbeats_near_partition(number: int, violations: list[str]) -> None:
    """Servers send heartbeats to a node that is partitioned for 20 s: none is reported gone."""
    cluster, removed = ControlCluster(Path("near")), list[str]()
    await cluster.start_all()
    assert await submit_change(cluster, first_change(), 1, cluster.hosts) == 200
    leader = cluster.leader()
    assert leader
    victim = [leader.settings.ip, *(h for h in cluster.hosts if h != leader.settings.ip)][number]
    zone = cluster.nodes[victim].settings.zone
    loop = asyncio.get_running_loop()
    tasks = [
        loop.create_task(run_server(cluster, f"s{n}", zone, victim, cluster.hosts))
        for n in range(8)
    ]
    await asyncio.sleep(3.0)
    tasks.append(loop.create_task(record_removed_servers(cluster, removed)))
    for partition in ("whole", "out", "in"):
        PARTITIONS[partition](cluster, victim)
        await asyncio.sleep(20.0)
        cluster.reconnect()
        await asyncio.sleep(5.0)
    violations += removed[:5]
    for task in tasks:
        task.cancel()


@pytest.mark.parametrize("number", range(5))
def test_no_server_is_reported_gone_while_its_control_node_is_partitioned(number: int) -> None:
    random.seed(number)
    violations = list[str]()
    run_in_virtual_time(run_heartbeats_near_partition(number, violations))
    assert not violations


@pytest.mark.parametrize("partition", PARTITIONS)
@pytest.mark.parametrize("number", range(5))
def test_calls_stay_linearizable_while_one_member_is_partitioned_for_20_s(
    partition: str, number: int
) -> None:
    violations = list[str]()
    run_in_virtual_time(run_with_partition(partition, number, violations))
    assert not violations


# Stale reads and rejected changes.


async def calls_at_frozen_leader(violations: list[str]) -> None:
    """The leader's process is paused after its checks and resumed after another was elected: it
    must not answer from its stale state."""
    cluster, history = ControlCluster(Path("frozen")), CallHistory()
    await cluster.start_all()
    history.sent |= {
        1: (0, configuration(1, 0)),
        2: (1, configuration(2, 1)),
        3: (1, configuration(3, 1)),
    }
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    old = cluster.leader()
    assert old
    host = old.settings.ip
    others = [h for h in cluster.hosts if h != host]
    cluster.freeze(host)
    assert await submit_change(cluster, history, 2, others) == 200
    tasks = [
        asyncio.create_task(send_read(cluster, history, host)),
        asyncio.create_task(send_change(cluster, history, host, 3)),
        asyncio.create_task(cluster.send_heartbeat(host, "s1", 1)),
        asyncio.create_task(cluster.call(host, "GET", "Fleet.Show")),
    ]
    await asyncio.sleep(0.1)
    cluster.unfreeze(host)
    await asyncio.gather(*tasks)
    await submit_change(cluster, history, 3, [host])
    violations += history.violations(committed_generations(cluster, history))
    show = tasks[3].result()
    if show[0] == 200 and show[1]["gen"] != 2:
        violations.append("Fleet.Show returned stale state")
    leader = cluster.leader()
    assert leader
    if tasks[2].result() == 200 and "s1" not in leader.endpoint_registry.endpoints:
        violations.append("a heartbeat was confirmed that the leader does not know")


def is_append(sender: str, allowed: set[str], envelope: pb.Envelope, receiver: str) -> bool:
    """Whether this appends entries to the log of a member other than `allowed`."""
    message = envelope.log_message
    return (
        message.sender.address == sender
        and bool(message.append_entries.entries)
        and receiver not in allowed
    )


async def uncommitted_change(violations: list[str]) -> None:
    """The first copy of a change is in the leader's log but not committed, while a second copy is
    checked there, and a third one at the next leader."""
    for replica_count in (None, 0, 1):
        cluster, history = ControlCluster(Path("undecided")), CallHistory()
        await cluster.start_all()
        history.sent |= {
            g: (0 if g == 1 else 1, configuration(g, 0 if g == 1 else 1)) for g in (1, 2, 3)
        }
        assert await submit_change(cluster, history, 1, cluster.hosts) == 200
        leader = cluster.leader()
        assert leader
        host, others = leader.settings.ip, [h for h in cluster.hosts if h != leader.settings.ip]
        # With these and the leader itself there is no majority.
        allowed = {f"{h}:7600" for h in others[: replica_count or 0]}
        cluster.network.drops = partial(is_append, leader.me.address, allowed)
        assert await send_change(cluster, history, host, 2) == 0
        # At the same leader: the first copy times out after 3 s but remains in the log.
        if replica_count is None:
            await asyncio.sleep(1.9)
            again = [asyncio.create_task(send_change(cluster, history, host, g)) for g in (2, 3, 2)]
            await asyncio.sleep(0.2)
        else:
            again = [asyncio.create_task(send_change(cluster, history, host, g)) for g in (2, 3, 2)]
            await asyncio.gather(*again)
            cluster.partition(host, others)
            again = [
                asyncio.create_task(submit_change(cluster, history, g, others)) for g in (3, 2)
            ]
            await asyncio.gather(*again)
        cluster.network.drops = lambda e, to: False
        await asyncio.gather(*again)
        cluster.reconnect()
        for gen in (2, 3):
            if not is_final(await submit_change(cluster, history, gen, cluster.hosts)):
                violations.append(f"change {gen} never got a final answer")
        violations += history.violations(committed_generations(cluster, history))


async def change_ahead_of_its_parent(violations: list[str]) -> None:
    """A change that was rejected because its parent is unknown stays rejected, wherever and
    whenever it is sent again."""
    cluster, history = ControlCluster(Path("ahead")), CallHistory()
    await cluster.start_all()
    parents = {1: 0, 9: 1, 12: 9}
    history.sent |= {gen: (parent, configuration(gen, parent)) for gen, parent in parents.items()}
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    assert await submit_change(cluster, history, 12, cluster.hosts) == 412
    assert await submit_change(cluster, history, 9, cluster.hosts) == 200
    await send_change(cluster, history, cluster.hosts[2], 12)
    leader = cluster.leader()
    assert leader
    await cluster.crash(leader.settings.ip)
    await cluster.wait_until(cluster.leader)
    await submit_change(cluster, history, 12, [h for h in cluster.hosts if h in cluster.nodes])
    violations += history.violations(committed_generations(cluster, history))


async def evicted_records(violations: list[str]) -> None:
    """After hundreds of changes an old one is answered by its true outcome, or without a final
    answer."""
    cluster, history = ControlCluster(Path("forgotten")), CallHistory()
    await cluster.start_all()
    history.sent[1] = 0, configuration(1, 0)
    never_sent = json.dumps({"gen": 3, "parent": 2, "upsert": {}}).encode()
    for gen in range(1, 301):
        history.sent[gen] = gen - 1, configuration(gen, gen - 1)
        host = random.choice(cluster.hosts)
        begun, (status, _) = (
            now(),
            await cluster.call(host, "POST", "Config.Replace", history.sent[gen][1]),
        )
        history.attempts.append(CallAttempt("order", gen, begun, now(), status))
        assert status == 200
    leader = cluster.leader()
    assert leader
    await cluster.crash(leader.settings.ip)
    await cluster.wait_until(cluster.leader)
    hosts = list(cluster.nodes)
    for gen in (1, 2, 7, 40, 150, 300):
        if 400 <= (status := await send_change(cluster, history, random.choice(hosts), gen)) < 500:
            violations.append(f"change {gen} was committed, and is rejected with {status}")

    async def final_answer(call: str, body: bytes) -> int:
        """The final answer, or 503 if there is none in 20 attempts."""
        for _ in range(20):
            status, _ = await cluster.call(random.choice(hosts), "POST", call, body)
            if is_final(status):
                return status
            await asyncio.sleep(0.05)
        return 503

    state = leader_state(cluster)
    assert await final_answer("Config.Replace", configuration(2, 1)) == (
        503 if state.evicted_gen >= 2 else 412
    )
    assert await final_answer("Config.Update", never_sent) == (
        503 if state.evicted_gen >= 3 else 412
    )
    again = history.sent[300][1]
    assert await final_answer("Config.Update", again) in (
        400,
        412,
    )  # the same body in another call ...
    assert await final_answer("Config.Replace", again + b" ") == 412  # ... or a changed body
    for body, call in (
        (b"{", "Config.Replace"),
        (b'{"gen": 3, "parent": 2}', "Config.Replace"),
        (configuration(7, 6, routes=[{}]), "Config.Replace"),
        (b'{"gen": 3, "parent": 2, "upsert": 5}', "Config.Update"),
    ):
        assert await final_answer(call, body) in (400, 412), body  # invalid in every state


SCENARIOS = {
    "frozen": calls_at_frozen_leader,
    "undecided": uncommitted_change,
    "ahead": change_ahead_of_its_parent,
    "forgotten": evicted_records,
}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_stale_answers_and_rejections_are_final(scenario: str) -> None:
    violations = list[str]()
    run_in_virtual_time(SCENARIOS[scenario](violations))
    assert not violations


def test_evicted_idempotency_records_leave_no_final_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cairndale.configuration.state, "MAX_IDEMPOTENCY_RECORDS", 20)
    violations = list[str]()
    run_in_virtual_time(evicted_records(violations))
    assert not violations


# Two changes on one parent, with a change of leader after each possible message.


async def two_concurrent_changes(step: int, crash: bool, violations: list[str]) -> None:
    cluster, history = ControlCluster(Path("two")), CallHistory()
    await cluster.start_all()
    history.sent |= {
        g: (0 if g == 1 else 1, configuration(g, 0 if g == 1 else 1)) for g in (1, 2, 3)
    }
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    leader = cluster.leader()
    assert leader
    host, due = leader.settings.ip, cluster.network.deliveries + step
    others = [h for h in cluster.hosts if h != host]
    may_return = asyncio.Event()

    def change_leader(deliveries: int) -> None:
        if deliveries == due:
            if crash:
                asyncio.get_running_loop().create_task(cluster.crash(host))
            else:
                cluster.partition(host, [*others, *(i.host for i in cluster.ingresses)])
            asyncio.get_running_loop().call_later(2.0, may_return.set)

    cluster.network.on_delivery = change_leader
    clear = await asyncio.gather(
        submit_change(cluster, history, 2, [host, *others]),
        submit_change(cluster, history, 3, others[:2]),
    )
    await may_return.wait()
    if crash:
        await cluster.start(host)
    cluster.reconnect()
    await asyncio.sleep(1.5)
    again = await asyncio.gather(
        *(submit_change(cluster, history, g, cluster.hosts) for g in (2, 3))
    )
    violations += history.violations(committed_generations(cluster, history))
    if sorted(again) != [200, 412] or list(clear) != again:
        violations.append(f"answers: {clear}, then {again}")


@pytest.mark.parametrize("crash", [False, True], ids=["cut", "crash"])
@pytest.mark.parametrize("part", range(4))
def test_two_changes_on_one_parent_with_a_change_of_leader_at_each_step(
    crash: bool, part: int
) -> None:
    for step in range(1 + part, 81, 4):
        violations = list[str]()
        random.seed(step)
        run_in_virtual_time(two_concurrent_changes(step, crash, violations))
        assert not violations, step


async def eight_concurrent_operators(seed: int, violations: list[str]) -> None:
    """Answers are lost, calls are duplicated, and the leader changes repeatedly."""
    random.seed(seed)
    cluster, history = ControlCluster(Path("eight")), CallHistory()
    await cluster.start_all()
    cluster.network.duplicates_operations = True
    cluster.network.drops = lambda e, to: (
        e.WhichOneof("body") == "operation_response" and random.random() < 0.3
    )
    history.sent[1] = 0, configuration(1, 0)
    assert await submit_change(cluster, history, 1, cluster.hosts) == 200
    gens = iter(range(2, 10_000))

    async def operate() -> None:
        until = now() + 25.0
        while now() < until:
            leader = cluster.leader()
            gen, parent = next(gens), leader.state.gen if leader else 0
            history.sent[gen] = parent, configuration(gen, parent)
            await submit_change(cluster, history, gen, cluster.hosts, within=8.0)
            if random.random() < 0.3:  # an earlier change of any operator
                await send_change(
                    cluster,
                    history,
                    random.choice(cluster.hosts),
                    random.choice(list(history.sent)),
                )
            await send_read(cluster, history, random.choice(cluster.hosts))

    async def inject_faults() -> None:
        while True:
            await asyncio.sleep(random.uniform(1.5, 4.0))
            leader = cluster.leader()
            if leader and random.random() < 0.5:
                host = leader.settings.ip
                PARTITIONS[random.choice(list(PARTITIONS))](cluster, host)
                await asyncio.sleep(random.uniform(0.3, 3.0))
                cluster.reconnect()
            elif leader:
                host = leader.settings.ip
                await cluster.crash(host)
                await asyncio.sleep(random.uniform(0.0, 2.0))
                await cluster.start(host)

    work = asyncio.create_task(inject_faults())
    await asyncio.gather(*(operate() for _ in range(8)))
    work.cancel()
    cluster.reconnect()
    for host in cluster.hosts:
        if host not in cluster.nodes:
            await cluster.start(host)
    await asyncio.sleep(3.0)
    await send_read(cluster, history, cluster.hosts[0])
    violations += history.violations(committed_generations(cluster, history))
    if len(committed_generations(cluster, history)) < 10:
        violations.append("hardly any change was committed by the operators")


@pytest.mark.parametrize("seed", range(4))
def test_eight_operators_with_lost_answers_and_changes_of_leader(seed: int) -> None:
    violations = list[str]()
    run_in_virtual_time(eight_concurrent_operators(seed, violations))
    assert not violations


# Evacuation calls that are duplicated and delayed.


async def duplicated_evacuation_calls(violations: list[str]) -> None:
    """Each forwarded call is delivered again 0.7 s later; the model counts the orders."""
    cluster, model = ControlCluster(Path("zones")), dict[str, int]()
    await cluster.start_all()
    cluster.network.duplicates_operations = True
    for number in range(60):
        zone = random.choice(["z2", "z3"])
        begin = random.random() < 0.5 or not model.get(zone)
        call = "Drain.Begin" if begin else "Drain.Finish"
        await send_zone_order(cluster, call, zone, [])
        model[zone] = model.get(zone, 0) + (1 if begin else -1)
        if number % 12 == 5:  # while duplicates are still in flight
            leader = cluster.leader()
            assert leader
            host = leader.settings.ip
            await cluster.crash(host)
            await cluster.wait_until(cluster.leader)
            await cluster.start(host)
            # In this time unacknowledged calls still count as the same order.
            await asyncio.sleep(6.5)
        elif random.random() < 0.5:
            await asyncio.sleep(random.uniform(0.0, 1.0))
        want = {zone: orders for zone, orders in model.items() if orders}
        if cluster.leader() and (have := leader_state(cluster).evacuated) != want:
            violations.append(f"after {number + 1} orders {have}, not {want}")
            return


@pytest.mark.parametrize("seed", range(3))
def test_duplicated_evacuation_calls_are_one_order(seed: int) -> None:
    random.seed(seed)
    violations = list[str]()
    run_in_virtual_time(duplicated_evacuation_calls(violations))
    assert not violations


# Collected heartbeats, and control nodes that servers are referred to.


async def test_unacknowledged_heartbeats_are_kept_and_reported_with_their_age() -> None:
    endpoint_registry, node_registry = EndpointRegistry(), NodeRegistry()
    settings = parse_settings(SETTINGS)
    collector = HeartbeatCollector(settings, endpoint_registry, node_registry)
    for id in ("i", "j"):
        endpoint_registry.record_heartbeat(read_heartbeat(id, heartbeat(1), 0.0))
    assert not collector.collect("k", json.dumps(heartbeat(2)).encode(), 1.0)  # unknown
    for id, seq, at in (("i", 2, 1.0), ("j", 2, 1.2), ("i", 3, 2.5)):
        assert collector.collect(id, json.dumps(heartbeat(seq)).encode(), at)
    report = collector.report(3.0)
    assert (list(report.ids), list(report.seqs), list(report.ages_ms)) == (
        ["i", "j"],
        [3, 2],
        [500, 1800],
    )
    assert collector.report(3.1).seqs == report.seqs  # there was no answer
    assert collector.collect("i", json.dumps(heartbeat(4)).encode(), 3.2)
    collector.acknowledge(report)
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


def test_servers_are_not_referred_to_a_partitioned_node() -> None:
    async def scenario() -> None:
        cluster = ControlCluster(Path("named"))
        await cluster.start_all()
        assert await submit_change(cluster, first_change(), 1, cluster.hosts) == 200
        await asyncio.sleep(2.0)
        leader = cluster.leader()
        assert leader
        others = [h for h in cluster.hosts if h != leader.settings.ip]
        victim, tasks = others[0], others[1]
        zone = cluster.nodes[victim].settings.zone

        async def named() -> str:
            raw = {
                "addr": "10.9.0.1:80",
                "details": {"backend": "s1", "gen": "v1", "zone": zone, "capacity": 2},
                "status": {"state": "ready", "seq": round(now() * 1000), "warmupLeft": "0ms"},
            }
            return str(
                (
                    await cluster.call(
                        tasks, "POST", "Instances.Heartbeat/s", json.dumps(raw).encode()
                    )
                )[1]
            )

        assert f"{victim}:8200" in await named()
        PARTITIONS["whole"](cluster, victim)
        await asyncio.sleep(3.0)
        assert victim not in await named()
        cluster.reconnect()
        await asyncio.sleep(3.0)
        assert f"{victim}:8200" in await named()

    run_in_virtual_time(scenario())


# Mutations, and the scenario that must detect each.


def skip_read_index(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers rely on the leader lease alone, checked before the state is read."""

    async def at_once(self: ReadIndex, *args: object, **fields: object) -> None:
        return

    monkeypatch.setattr(ReadIndex, "confirm", at_once)


def always_in_contact(monkeypatch: pytest.MonkeyPatch) -> None:
    """A follower confirms heartbeats from its own registry, however old that is."""
    monkeypatch.setattr(Follower, "in_contact", lambda self, now: True)


def reject_void_commands(monkeypatch: pytest.MonkeyPatch) -> None:
    """A void command is answered as rejected, though an earlier copy of it may have been committed
    before."""
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
        return (
            ChangeOutcome(error_response(412, "another change was committed first"))
            if void
            else outcome
        )

    monkeypatch.setattr(ConfigurationChanges, "_decide", refused)


def skip_logged_rejections(monkeypatch: pytest.MonkeyPatch) -> None:
    """A rejection that a later state would contradict is not recorded in the log."""
    applying = State.apply_steps

    def unsaid(self: State, command: Command, tells: bool) -> Generator[None, None, bool]:
        return (
            (yield from applying(self, command, tells))
            if command.verb is not Verb.REJECT
            else False
        )

    monkeypatch.setattr(State, "apply_steps", unsaid)


def forget_old_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only recent changes are remembered, and older ones count as never committed."""
    monkeypatch.setattr(cairndale.configuration.state, "MAX_IDEMPOTENCY_RECORDS", 20)
    monkeypatch.setattr(State, "record_may_be_evicted", lambda self, gen: False)


def drop_call_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    """Calls for a zone have no id."""
    handle = OperationHandler.handle
    monkeypatch.setattr(
        OperationHandler,
        "handle",
        lambda self, method, target, body, call_id="": handle(self, method, target, body),
    )


MUTATIONS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], Callable[[list[str]], Any]]] = {
    "lease alone": (skip_read_index, calls_at_frozen_leader),
    "own board of one that led": (always_in_contact, partial(run_heartbeats_near_partition, 0)),
    "own board of another": (always_in_contact, partial(run_heartbeats_near_partition, 2)),
    "void is refused": (reject_void_commands, uncommitted_change),
    "unsaid refusal": (skip_logged_rejections, change_ahead_of_its_parent),
    "by count": (forget_old_records, evicted_records),
    "nameless": (drop_call_ids, duplicated_evacuation_calls),
}


@pytest.mark.parametrize("defect", MUTATIONS)
def test_mutations_are_detected(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    random.seed(1)
    apply_mutation, scenario = MUTATIONS[defect]
    apply_mutation(monkeypatch)
    violations = list[str]()
    try:
        run_in_virtual_time(scenario(violations))
    except AssertionError as error:
        violations.append(str(error))
    assert violations
