"""Beats that say something new are passed on together, beside a plain model of when; what waits for
contact is looked at once a step."""

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
from tests.control.test_operations import first, now, operator
from tests.control.test_recovery import World as Fleet
from tests.control.test_recovery import play as play_fleet
from tests.control.test_state_models import heartbeat
from tests.testing.control_cluster import World, in_memory, play

WAY = 0.3  # s until the leader has answered, in the plain scenes


def plainly(came: list[float], pause: float) -> list[tuple[float, int]]:
    """When each call is made, and how many beats go with it."""
    calls: list[tuple[float, int]] = []
    at = float("-inf")
    while came:
        at = max(came[0], at + pause)
        together = [one for one in came if one <= at]
        calls, came = [*calls, (at, len(together))], came[len(together) :]
    return calls


@pytest.mark.parametrize(
    ("control_nodes", "heartbeats", "within"),
    [(12, 400, 1.5), (36, 400, 1.5), (5, 9, 30.0), (1, 60, 0.5)],
)
def test_what_comes_close_together_goes_together_as_in_the_plain_model(
    control_nodes: int, heartbeats: int, within: float
) -> None:
    async def scene() -> None:
        rng, sent, answered = (
            random.Random(control_nodes),
            list[tuple[float, int]](),
            dict[str, float](),
        )

        async def tell(batch: HeartbeatBatch) -> None:
            sent.append((now(), len(batch.report(now()).endpoints)))
            await asyncio.sleep(WAY)

        made, began = HeartbeatBatcher(now, lambda: control_nodes, tell), now()
        came = sorted(began + rng.uniform(0.0, within) for _ in range(heartbeats))

        async def server(id: str, at: float) -> None:
            await asyncio.sleep(at - now())
            await made.register(read_heartbeat(id, heartbeat(1), now()))
            answered[id] = now() - at

        await asyncio.gather(*(server(f"i{n}", at) for n, at in enumerate(came)))
        model = plainly(came, min(MAX_BATCH_INTERVAL_S, 0.01 * control_nodes))
        assert [n for _, n in sent] == [n for _, n in model]
        assert [at for at, _ in sent] == pytest.approx([at for at, _ in model], abs=1e-6)
        assert (
            max(answered.values()) < batch_interval(control_nodes) + WAY + 1e-6
            and len(answered) == heartbeats
        )

    play(scene())


def test_a_call_that_fails_fails_for_all_who_went_with_it_and_for_nobody_else() -> None:
    async def scene() -> None:
        calls = 0

        async def tell(batch: HeartbeatBatch) -> None:
            nonlocal calls
            calls += 1
            number = calls
            await asyncio.sleep(WAY)
            if number == 2:
                raise CallTimeoutError()

        made = HeartbeatBatcher(now, lambda: 36, tell)

        async def server(id: str, at: float) -> bool:
            await asyncio.sleep(at)
            try:
                await made.register(read_heartbeat(id, heartbeat(1), now()))
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
        # The rest goes to another machine at once.
        assert sum(await asyncio.gather(*tasks)) == heartbeat_batch.MAX_BATCH_SIZE

    play(scene())


def test_the_leader_hears_a_copy_or_an_older_word_once_and_nothing_unsound() -> None:
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
def test_the_first_beats_of_many_servers_take_few_calls(
    killed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`killed`: at the same moment the leader is, and nothing that it had acknowledged may be
    missing."""
    in_memory(monkeypatch)

    async def scene() -> None:
        random.seed(3)
        world, calls = World(Path("arrivals")), 0
        await world.begin()
        assert await operator(world, first(), 1, world.hosts) == 200
        await asyncio.sleep(2.0)
        leader = world.leader()
        assert leader
        others = [h for h in world.hosts if h != leader.settings.ip]
        whole = world.net.go

        def go(sender: str, receiver: str, envelope: pb.Envelope) -> None:
            nonlocal calls
            calls += not envelope.is_answer and envelope.WhichOneof("body") in (
                "endpoint_report",
                "operation_request",
            )
            whole(sender, receiver, envelope)

        world.net.go = go  # type: ignore[method-assign]
        acked = dict[str, float]()

        async def server(id: str) -> None:
            await asyncio.sleep(random.uniform(0.0, 1.5))
            began, seq = now(), 1
            while await world.beat(random.choice(others), id, seq, "z1") != 200:
                seq += 1
                await asyncio.sleep(0.05)
            acked[id] = now() - began

        tasks = [asyncio.ensure_future(server(f"i{n}")) for n in range(300)]
        if killed:
            await asyncio.sleep(0.7)
            await world.crash(leader.settings.ip)
        await asyncio.gather(*tasks)
        if not killed:
            assert calls < 4 * (1.5 / batch_interval(5) + 2) and max(acked.values()) < 0.45
        await asyncio.sleep(1.0)
        holder = world.leader()
        assert holder and {
            s.id for s in holder.endpoint_registry.endpoints.values() if s.state == "ready"
        } >= set(acked)

    play(scene())


def test_what_waits_for_contact_is_looked_at_once_a_step() -> None:
    async def scene() -> None:
        asked = 0

        def contact(at: float) -> float:
            nonlocal asked
            asked += 1
            return reached

        log = SimpleNamespace(
            term=1,
            leads=lambda at: True,
            last_quorum_contact=contact,
            heartbeat_soon=lambda at, min_interval: Ready(),
        )
        clock = SimpleNamespace(now=now)
        made: Any = ReadIndex(log, clock, lambda: 4, lambda step: None)  # type: ignore[arg-type]
        began = reached = now()
        tasks = [
            asyncio.ensure_future(made.confirm(began + n / 1000, 1, index, at_once=False))
            for n, index in enumerate([0] * 200 + [5] * 100)
        ]
        await asyncio.sleep(0)
        asked, reached = 0, began + 0.25
        made.resolve()
        await asyncio.sleep(0)
        assert asked == 1 and sum(task.done() for task in tasks) == 200
        log.term = 2
        made.resolve()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        assert sum(isinstance(one, CallError) for one in ended) == 100

    play(scene())


def test_what_changed_since_is_as_in_the_plain_model() -> None:
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
        for endpoint in since:  # and what was made before is what would be made now
            fresh = pb.WatchResponse(endpoints=[endpoint_to_message(endpoint, at)])
            made = pb.WatchResponse.FromString(endpoint_codec.encode_endpoint(endpoint, at))
            made.endpoints[0].seq = fresh.endpoints[0].seq
            assert made == fresh
        if rng.random() < 0.1:
            follower.apply_update(
                endpoint_registry.changed_since(follower.version),
                endpoint_registry.version,
                rng.random() < 0.1,
            )
            assert {s.id for s in follower.changed_since(-1)} == set(follower.endpoints)


def test_servers_are_encoded_once_each_and_lists_once_a_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts = {"endpoint_to_message": 0, "compress_lists": 0}

    async def scene(world: Fleet) -> None:
        await world.until(world.returned, 8.0)
        await asyncio.sleep(4.0)
        for name in counts:
            module = watch_responses if name == "compress_lists" else endpoint_codec
            monkeypatch.setattr(module, name, counted(name, getattr(module, name)))
        world.begin()  # a later leader that knows of no server
        began = world.now()
        await world.until(world.returned, 5.0)
        await asyncio.sleep(2 * 1.5)
        assert counts["endpoint_to_message"] <= 1.2 * len(world.up)
        assert counts["compress_lists"] <= 2.5 * (
            world.now() - began
        ) / watch_server_module.round_interval(len(world.ingresses))

    def counted(name: str, whole: Any) -> Any:
        def count(*args: Any) -> Any:
            counts[name] += 1
            return whole(*args)

        return count

    play_fleet(150, 1000, scene, monkeypatch)
