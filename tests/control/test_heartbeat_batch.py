"""Batches of heartbeats against a simple model of their times; the cost of confirmations and of
watch responses."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from cairndale.control import endpoint_codec, heartbeat_batch, watch_responses
from cairndale.control import watch_server as watch_server_module
from cairndale.control.endpoint_codec import endpoint_to_message
from cairndale.control.heartbeat_batch import (
    MAX_BATCH_INTERVAL_S,
    HeartbeatBatch,
    HeartbeatBatcher,
    batch_interval,
    register_endpoints,
)
from cairndale.control.read_index import ReadIndex
from cairndale.errors import CallError, CallTimeoutError
from cairndale.raft.messages import Ready
from cairndale.registry.endpoints import EndpointRegistry, read_heartbeat
from cairndale.rpc import protocol_pb2 as pb
from tests.control.test_recovery import RecoverySimulation, run_simulation
from tests.control.test_state_models import heartbeat
from tests.testing.control_calls import first_change, now, submit_change
from tests.testing.control_cluster import ControlCluster, run_in_virtual_time, use_memory_cluster

LEADER_DELAY_S = 0.3  # until the leader answers a batch


def expected_batches(arrivals: list[float], pause: float) -> list[tuple[float, int]]:
    """The time of each call, and the number of heartbeats in it."""
    calls: list[tuple[float, int]] = []
    at = float("-inf")
    while arrivals:
        at = max(arrivals[0], at + pause)
        together = [one for one in arrivals if one <= at]
        calls, arrivals = [*calls, (at, len(together))], arrivals[len(together) :]
    return calls


@pytest.mark.parametrize(
    ("control_nodes", "heartbeats", "within"),
    [(12, 400, 1.5), (36, 400, 1.5), (5, 9, 30.0), (1, 60, 0.5)],
)
def test_heartbeats_close_in_time_are_batched_as_in_the_model(
    control_nodes: int, heartbeats: int, within: float
) -> None:
    async def scenario() -> None:
        rng, sent, answered = (
            random.Random(control_nodes),
            list[tuple[float, int]](),
            dict[str, float](),
        )

        async def send(batch: HeartbeatBatch) -> None:
            sent.append((now(), len(batch.report(now()).endpoints)))
            await asyncio.sleep(LEADER_DELAY_S)

        batcher, began = HeartbeatBatcher(now, lambda: control_nodes, send), now()
        arrivals = sorted(began + rng.uniform(0.0, within) for _ in range(heartbeats))

        async def server(id: str, at: float) -> None:
            await asyncio.sleep(at - now())
            await batcher.register(read_heartbeat(id, heartbeat(1), now()))
            answered[id] = now() - at

        await asyncio.gather(*(server(f"i{n}", at) for n, at in enumerate(arrivals)))
        model = expected_batches(arrivals, min(MAX_BATCH_INTERVAL_S, 0.01 * control_nodes))
        assert [n for _, n in sent] == [n for _, n in model]
        assert [at for at, _ in sent] == pytest.approx([at for at, _ in model], abs=1e-6)
        assert (
            max(answered.values()) < batch_interval(control_nodes) + LEADER_DELAY_S + 1e-6
            and len(answered) == heartbeats
        )

    run_in_virtual_time(scenario())


def test_a_failed_call_fails_for_all_heartbeats_of_its_batch_and_no_other() -> None:
    async def scenario() -> None:
        calls = 0

        async def send(batch: HeartbeatBatch) -> None:
            nonlocal calls
            calls += 1
            number = calls
            await asyncio.sleep(LEADER_DELAY_S)
            if number == 2:
                raise CallTimeoutError()

        batcher = HeartbeatBatcher(now, lambda: 36, send)

        async def server(id: str, at: float) -> bool:
            await asyncio.sleep(at)
            try:
                await batcher.register(read_heartbeat(id, heartbeat(1), now()))
            except CallError:
                return False
            return True

        done = await asyncio.gather(
            *(server(f"i{n}", at) for n, at in enumerate((0.0, 0.1, 0.2, 0.3)))
        )
        assert done == [True, False, False, True]
        tasks = [
            asyncio.ensure_future(server(f"j{n}", 0.0))
            for n in range(heartbeat_batch.MAX_BATCH_SIZE + 3)
        ]
        # The others fail at once, so that their servers try another node.
        assert sum(await asyncio.gather(*tasks)) == heartbeat_batch.MAX_BATCH_SIZE

    run_in_virtual_time(scenario())


def test_the_leader_ignores_copies_outdated_heartbeats_and_invalid_states() -> None:
    endpoint_registry = EndpointRegistry()
    sent = [
        endpoint_to_message(read_heartbeat(id, heartbeat(seq), 5.0), 5.0)
        for id, seq in (("i", 7), ("j", 3))
    ]
    assert register_endpoints(endpoint_registry, pb.EndpointReport(endpoints=sent), 6.0)
    assert not register_endpoints(endpoint_registry, pb.EndpointReport(endpoints=sent), 7.0)
    older = endpoint_to_message(read_heartbeat("i", heartbeat(6, state="draining"), 5.0), 5.0)
    odd = pb.Endpoint(id="k", service="s", address="10.0.0.1:1", state="gone", capacity=1)
    assert not register_endpoints(endpoint_registry, pb.EndpointReport(endpoints=[older, odd]), 8.0)
    assert {
        s.id: (s.seq, s.state, s.last_heartbeat_at) for s in endpoint_registry.endpoints.values()
    } == {"i": (7, "ready", 7.0), "j": (3, "ready", 7.0)}


@pytest.mark.parametrize("killed", [False, True])
def test_the_first_heartbeats_of_many_servers_take_few_calls(
    killed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`killed`: the leader crashes meanwhile; no server that it acknowledged may be missing at the
    next leader."""
    use_memory_cluster(monkeypatch)

    async def scenario() -> None:
        random.seed(3)
        cluster, calls = ControlCluster(Path("arrivals")), 0
        await cluster.start_all()
        assert await submit_change(cluster, first_change(), 1, cluster.hosts) == 200
        await asyncio.sleep(2.0)
        leader = cluster.leader()
        assert leader
        others = [h for h in cluster.hosts if h != leader.settings.ip]
        send_message = cluster.network.send

        def counting_send(sender: str, receiver: str, envelope: pb.Envelope) -> None:
            nonlocal calls
            calls += not envelope.is_answer and envelope.WhichOneof("body") in (
                "endpoint_report",
                "operation_request",
            )
            send_message(sender, receiver, envelope)

        cluster.network.send = counting_send  # type: ignore[method-assign]
        answer_delays = dict[str, float]()

        async def server(id: str) -> None:
            await asyncio.sleep(random.uniform(0.0, 1.5))
            began, seq = now(), 1
            while await cluster.send_heartbeat(random.choice(others), id, seq, "z1") != 200:
                seq += 1
                await asyncio.sleep(0.05)
            answer_delays[id] = now() - began

        tasks = [asyncio.ensure_future(server(f"i{n}")) for n in range(300)]
        if killed:
            await asyncio.sleep(0.7)
            await cluster.crash(leader.settings.ip)
        await asyncio.gather(*tasks)
        if not killed:
            assert calls < 4 * (1.5 / batch_interval(5) + 2) and max(answer_delays.values()) < 0.45
        await asyncio.sleep(1.0)
        new_leader = cluster.leader()
        assert new_leader and {
            s.id for s in new_leader.endpoint_registry.endpoints.values() if s.state == "ready"
        } >= set(answer_delays)

    run_in_virtual_time(scenario())


def test_the_raft_state_is_queried_once_per_step_for_all_pending_calls() -> None:
    async def scenario() -> None:
        queries = 0

        def contact(at: float) -> float:
            nonlocal queries
            queries += 1
            return reached

        log = SimpleNamespace(
            term=1,
            leads=lambda at: True,
            last_quorum_contact=contact,
            heartbeat_soon=lambda at, min_interval: Ready(),
        )
        clock = SimpleNamespace(now=now)
        read_index: Any = ReadIndex(log, clock, lambda: 4, lambda step: None)  # type: ignore[arg-type]
        began = reached = now()
        tasks = [
            asyncio.ensure_future(read_index.confirm(began + n / 1000, 1, index, at_once=False))
            for n, index in enumerate([0] * 200 + [5] * 100)
        ]
        await asyncio.sleep(0)
        queries, reached = 0, began + 0.25
        read_index.resolve()
        await asyncio.sleep(0)
        assert queries == 1 and sum(task.done() for task in tasks) == 200
        log.term = 2
        read_index.resolve()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert sum(isinstance(result, CallError) for result in results) == 100

    run_in_virtual_time(scenario())


def test_changed_since_agrees_with_a_full_scan() -> None:
    rng, endpoint_registry, follower = random.Random(5), EndpointRegistry(), EndpointRegistry()
    for step in range(3000):
        at, id = step / 10, f"i{rng.randrange(30)}"
        match rng.randrange(12):
            case 0:
                endpoint_registry.mark_ended(id, at)
            case 1:
                endpoint_registry.expire(at, 1.5)
            case 2:
                endpoint_registry.restart_warmup(rng.choice(("z", "y")), at, {"s1": 2.0})
            case _:
                state = rng.choice(("ready", "ready", "ready", "draining"))
                endpoint_registry.record_heartbeat(
                    read_heartbeat(id, heartbeat(step, state, zone=rng.choice(("z", "y"))), at)
                )
        number = rng.choice(
            (0, endpoint_registry.version - 3, endpoint_registry.version - 20, follower.version)
        )
        since = endpoint_registry.changed_since(number)
        assert {s.id for s in since} == {
            s.id for s in endpoint_registry.endpoints.values() if s.changed_at_version > number
        }
        assert len({s.id for s in since}) == len(since)
        for endpoint in since:  # the cached encoding equals a fresh one
            fresh = pb.WatchResponse(endpoints=[endpoint_to_message(endpoint, at)])
            cached = pb.WatchResponse.FromString(endpoint_codec.encode_endpoint(endpoint, at))
            cached.endpoints[0].seq = fresh.endpoints[0].seq
            assert cached == fresh
        if rng.random() < 0.1:
            follower.apply_update(
                endpoint_registry.changed_since(follower.version),
                endpoint_registry.version,
                rng.random() < 0.1,
            )
            assert {s.id for s in follower.changed_since(-1)} == set(follower.endpoints)


def test_endpoints_are_encoded_once_each_and_lists_once_per_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts = {"endpoint_to_message": 0, "compress_lists": 0}

    async def scenario(simulation: RecoverySimulation) -> None:
        await simulation.wait_until(simulation.has_recovered, 8.0)
        await asyncio.sleep(4.0)
        for name in counts:
            module = watch_responses if name == "compress_lists" else endpoint_codec
            monkeypatch.setattr(module, name, counted(name, getattr(module, name)))
        simulation.begin_term()  # a new leader with an empty registry
        began = simulation.now()
        await simulation.wait_until(simulation.has_recovered, 5.0)
        await asyncio.sleep(2 * 1.5)
        assert counts["endpoint_to_message"] <= 1.2 * len(simulation.heartbeat_phases)
        assert counts["compress_lists"] <= 2.5 * (
            simulation.now() - began
        ) / watch_server_module.round_interval(len(simulation.ingresses))

    def counted(name: str, send_message: Any) -> Any:
        def count(*args: Any) -> Any:
            counts[name] += 1
            return send_message(*args)

        return count

    run_simulation(150, 1000, scenario, monkeypatch)


# Guards against servers that get no answer as one heartbeat of their batch cannot be sent.
async def test_a_batch_that_cannot_be_sent_is_answered() -> None:
    async def send(batch: HeartbeatBatch) -> None:
        raise ZeroDivisionError("on purpose")

    batcher = HeartbeatBatcher(now, lambda: 3, send)
    calls = [batcher.register(read_heartbeat(f"i{n}", heartbeat(n), now())) for n in range(1, 4)]
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    assert [type(outcome) for outcome in outcomes] == [CallTimeoutError] * 3
