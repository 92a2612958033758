"""The return of a whole system and of a zone: the leader's answers to all ingresses in virtual
time, with a processor and links as those of the smallest machines, beside plain ingresses
and servers."""

from __future__ import annotations

import asyncio
import random
import selectors
import socket
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.control import endpoint_codec, watch_responses
from cairndale.control import watch_server as watch_server_module
from cairndale.control.ingress_counter import INGRESS_COUNT_GRACE_S, RECOUNT_INTERVAL_S
from cairndale.control.leadership import Leadership
from cairndale.control.watch_responses import WatchResponseBuilder
from cairndale.control.watch_server import WatchServer
from cairndale.errors import CallError, FaultCode, NotLeaderError
from cairndale.registry.endpoints import Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import compress_lists, decompress_lists
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.lease_timing import (
    LEADER_CONTACT_MARGIN_S,
    MAX_LONG_POLL_S,
    MIN_LONG_POLL_S,
    NODE_CONTACT_MARGIN_S,
    NODE_LEASE_S,
    long_poll_timeout,
    response_timeout,
)
from cairndale.rpc.listener import Listener
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Bounds

SHARE = 0.279  # of a core, that the leader has
# s of a core: one frame, server, ingress, byte
FRAME, SERVER, LOOK, PACK = (150e-6, 4e-6, 0.3e-6, 30e-9)
LINK, THIN = 15e6, 250e3  # bytes a second, of the leader and of an ingress
WAY = 0.02  # s
BEAT = 1.5


class Jump(selectors.SelectSelector):
    """Time passes where all wait."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "all wait for nothing"
        self.now += max(0.0, timeout)
        return []


class Virtual(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jump = Jump()
        super().__init__(self.jump)

    def time(self) -> float:
        return self.jump.now


class Ingress:
    """Holds what it is told, and asks again."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.life = world, name, f"{world.rng.random()}"
        self.cursor: tuple[str, int, int, int, int] = ("", 0, 0, 0, 0)
        self.servers: dict[str, str] = {}
        self.of_term: set[str] = set()
        self.nodes: set[str] = set()
        self.edges, self.lease_end, self.free_at, self.bytes = 0, float("-inf"), 0.0, 0
        self.task = asyncio.get_running_loop().create_task(self.watch_forever())

    async def watch_forever(self) -> None:
        await asyncio.sleep(0.3 * self.world.rng.random())
        while True:
            epoch, config_version, servers, nodes, gen = self.cursor
            node = pb.Node(
                name=self.name,
                incarnation=self.life,
                address=self.name,
                http_address="1.2.3.4:80",
                zone="zone",
                kind="edge",
            )
            wait = long_poll_timeout(self.edges) if self.edges else MAX_LONG_POLL_S
            request = pb.WatchRequest(
                node=node,
                epoch=epoch,
                config_version=config_version,
                generation=gen,
                endpoints_version=servers,
                nodes_version=nodes,
                wait_ms=round(wait * 1000),
            )
            requested_at, loop = self.world.now(), asyncio.get_running_loop()
            call = loop.create_task(self.world.call(self, request))
            done, _ = await asyncio.wait([call], timeout=response_timeout(wait))
            if not done or call.exception():
                self.world.failed += 1
                await asyncio.sleep(0.1 * self.world.rng.random())
                continue
            self.take(call.result(), requested_at)

    def take(self, watch_response: pb.WatchResponse, requested_at: float) -> None:
        decompress_lists(watch_response)
        if watch_response.epoch.rstrip("~") != self.cursor[0].rstrip("~"):
            self.of_term = set()
        if watch_response.endpoints_complete:
            self.servers = {}
        if watch_response.nodes_complete:
            self.nodes = set()
        self.of_term |= {s.id for s in watch_response.endpoints}
        if watch_response.unlisted_endpoints_gone:
            self.servers = {id: state for id, state in self.servers.items() if id in self.of_term}
        for server in watch_response.endpoints:
            self.servers[server.id] = server.state
        self.nodes = (self.nodes - set(watch_response.removed_nodes)) | {
            n.name for n in watch_response.nodes
        }
        self.cursor = (
            watch_response.epoch,
            watch_response.config_version,
            watch_response.endpoints_version,
            watch_response.nodes_version,
            watch_response.generation,
        )
        self.edges, self.lease_end = (
            max(self.edges, watch_response.ingress_count),
            requested_at + NODE_LEASE_S * 0.98,
        )

    @property
    def ready(self) -> set[str]:
        return {id for id, state in self.servers.items() if state == "ready"}


class World:
    def __init__(self, ingresses: int, servers: int) -> None:
        self.rng = random.Random(7)
        self.loop = asyncio.get_running_loop()
        self.state, self.term, self.failed = State(), 0, 0
        routes = [{"name": f"{self.rng.getrandbits(256):x}", "backend": "s"} for _ in range(400)]
        self.state.apply(
            Command(Verb.REPLACE, "d", {"gen": 1, "parent": 0, "routes": routes, "tenants": []})
        )
        names = tuple(f"e{n}" for n in range(ingresses))
        self.state.apply(Command(Verb.ENROL, added_nodes=names))
        self.leadership: Leadership | None = None
        self.watch_server = WatchServer(self)
        # phases of their beats
        self.up = {f"i{n}": self.rng.random() * BEAT for n in range(servers)}
        self.sent_at, self.longest, self.bytes, self.lapsed = 0.0, 0.0, 0, 0
        # s, the longest that what the leader sends has waited behind what it sent before
        self.behind = 0.0
        self.tasks = [
            self.loop.create_task(work())
            for work in (self.watch_server.run, self.ticks, self.send_heartbeats)
        ]
        self.begin()
        self.ingresses = {name: Ingress(self, name) for name in names}

    def begin(self) -> None:
        """A leader who knows nothing."""
        self.term += 1
        self.leadership = Leadership(
            self.term,
            self.now(),
            True,
            EndpointRegistry(),
            NodeRegistry(),
            self.state.edges,
            Bounds(),
            BEAT,
        )
        self.leadership.apply_state(self.state)

    # The leader, as `Prompter` knows it.

    def now(self) -> float:
        return self.loop.time()

    def require_leadership(self) -> Leadership:
        if self.leadership is None:
            raise NotLeaderError()
        return self.leadership

    async def decide(self, command: Command) -> bool:
        await asyncio.sleep(0.06)
        return self.state.apply(command)

    def notify_change(self) -> None:
        self.watch_server.wake()

    def work(self, seconds: float) -> None:
        """Nothing else runs meanwhile."""
        assert isinstance(self.loop, Virtual)
        self.loop.jump.now += seconds / SHARE

    async def call(self, ingress: Ingress, request: pb.WatchRequest) -> pb.WatchResponse:
        await asyncio.sleep(WAY)
        self.work(FRAME)
        watch_response = await self.watch_server.watch(request)
        data = watch_response.SerializeToString()
        self.bytes, ingress.bytes = self.bytes + len(data), ingress.bytes + len(data)
        self.sent_at = max(self.sent_at, self.now()) + len(data) / LINK
        self.behind = max(self.behind, self.sent_at - self.now())
        ingress.free_at = max(ingress.free_at, self.sent_at) + len(data) / THIN
        await asyncio.sleep(ingress.free_at - self.now() + WAY)
        return pb.WatchResponse.FromString(data)

    async def ticks(self) -> None:
        while True:
            due = self.now() + 0.05
            await asyncio.sleep(0.05)
            self.longest = max(self.longest, self.now() - due)
            self.lapsed += sum(1 for e in self.ingresses.values() if 0 < e.lease_end < self.now())
            if self.require_leadership().tick(self.now()):
                self.notify_change()

    async def send_heartbeats(self) -> None:
        checked_at = self.now()
        while True:
            await asyncio.sleep(0.01)
            now = self.now()
            due = [i for i, at in self.up.items() if (now - at) // BEAT > (checked_at - at) // BEAT]
            checked_at = now
            for id in due:
                known = self.require_leadership().endpoint_registry.endpoints.get(id)
                self.work(FRAME if known is None or known.state != "ready" else FRAME / 50)
                zone = f"z{int(id[1:]) % 9}"
                sent = Endpoint(
                    id, "s", f"10.0.0.{id[1:]}:80", zone, "g", 6, "ready", 0.0, int(now * 1e3), now
                )
                if self.require_leadership().endpoint_registry.record_heartbeat(sent):
                    self.notify_change()

    def returned(self) -> bool:
        """Everybody serves: knows the configuration, all servers that there are, and all others."""
        names, up = set(self.ingresses), set(self.up)
        return all(
            e.lease_end > self.now()
            and e.cursor[1] == self.state.version
            and e.ready == up
            and e.nodes == names
            for e in self.ingresses.values()
        )

    async def until(self, what: Callable[[], bool], within: float) -> float:
        began = self.now()
        while not what():
            assert self.now() - began < within, f"not within {within} s"
            await asyncio.sleep(0.05)
        return self.now() - began


def play(
    ingresses: int, servers: int, act: Callable[[World], Any], monkeypatch: pytest.MonkeyPatch
) -> World:
    loop = Virtual()

    async def whole() -> World:
        world = World(ingresses, servers)
        try:
            with charged(world, monkeypatch):
                await act(world)
        finally:
            rest = asyncio.all_tasks() - {asyncio.current_task()}
            for task in rest:
                task.cancel()
            failures = await asyncio.gather(*rest, return_exceptions=True)
        for failure in failures:  # a call that nobody waits for any longer may fail
            assert isinstance(
                failure, asyncio.CancelledError | CallError | pb.WatchResponse | None
            ), failure
        return world

    try:
        return loop.run_until_complete(whole())
    finally:
        loop.close()


@contextmanager
def charged(world: World, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """What the leader does takes its time."""
    to_message, count_isolated, whole, pack = (
        endpoint_codec.endpoint_to_message,
        NodeRegistry.count_isolated,
        WatchResponseBuilder.update,
        watch_responses.compress_lists,
    )

    def charge(seconds: float, done: Any) -> Any:
        world.work(seconds)
        return done

    def of(self: NodeRegistry, now: float, edges: int) -> int:
        return int(charge(3 * LOOK * len(self.leases), count_isolated(self, now, edges)))

    with monkeypatch.context() as patch:
        patch.setattr(
            endpoint_codec, "endpoint_to_message", lambda *args: charge(SERVER, to_message(*args))
        )
        patch.setattr(
            watch_responses,
            "compress_lists",
            lambda part: charge(PACK * part.ByteSize(), pack(part)),
        )
        patch.setattr(NodeRegistry, "count_isolated", of)
        patch.setattr(WatchResponseBuilder, "update", lambda *args: charge(FRAME, whole(*args)))
        yield


async def whole_return(world: World, within: float, most: float) -> None:
    """`most`: s that the leader's own beats to the others may be late."""
    await world.until(world.returned, 8.0)
    await asyncio.sleep(4.0)
    world.longest, world.failed, world.lapsed = 0.0, 0, 0
    world.begin()  # all were killed
    for name, ingress in world.ingresses.items():
        ingress.task.cancel()
        world.ingresses[name] = Ingress(world, name)
    await world.until(world.returned, within)
    await asyncio.sleep(4.0)  # until all servers had time to say that they are there
    assert world.returned() and world.longest < most and not world.lapsed


def test_a_whole_system_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    # a leader's lease is 0.45 s
    play(100, 1000, lambda world: whole_return(world, 5.0, 0.3), monkeypatch)


def test_a_whole_system_of_300_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    """The processor is full of heartbeats for 2 s, in which the leader's beats are late."""
    play(300, 3000, lambda world: whole_return(world, 6.0, 1.0), monkeypatch)


def test_a_zone_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    async def zone(world: World) -> None:
        await world.until(world.returned, 8.0)
        gone = {id: at for id, at in world.up.items() if int(id[1:]) % 9 == 4}
        names = [n for n in world.ingresses if int(n[1:]) % 9 == 4]
        for id in gone:
            del world.up[id]
        for name in names:
            world.ingresses.pop(name).task.cancel()
        await world.until(world.returned, 3.5 * BEAT)
        world.up |= gone
        world.ingresses |= {name: Ingress(world, name) for name in names}
        await world.until(world.returned, 5.0)
        assert not world.lapsed  # the others served all along
        assert world.longest < 0.2

    play(100, 1000, zone, monkeypatch)


def test_changes_that_come_close_together_are_told_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def storm(world: World) -> None:
        await world.until(world.returned, 8.0)
        await asyncio.sleep(5.0)
        world.bytes, sent, began = 0, [], world.now()
        whole = WatchResponseBuilder.update
        monkeypatch.setattr(
            WatchResponseBuilder, "update", lambda *args: (sent.append(args), whole(*args))[1]
        )
        for number in range(100):
            world.require_leadership().endpoint_registry.mark_ended(f"i{number}", world.now())
            del world.up[f"i{number}"]
            world.notify_change()
            await asyncio.sleep(0.02)
        await world.until(world.returned, 1.0)
        rounds = (world.now() - began) / watch_server_module.round_interval(100)
        assert 0 < len(sent) <= 100 * (rounds + 2)
        assert world.bytes / 100 < 8_000  # an ingress: 100 changes of 70 bytes

    play(100, 1000, storm, monkeypatch)


def test_the_log_s_beats_do_not_wait_behind_a_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Told whole to 300: 9 MB, which is 0.6 s of the leader's link, and its lease ends after 0.45
    s."""

    async def changed(world: World) -> None:
        await world.until(world.returned, 8.0)
        await asyncio.sleep(5.0)
        world.behind, world.bytes = 0.0, 0
        routes = [{"name": f"{world.rng.getrandbits(256):x}", "backend": "s"} for _ in range(800)]
        raw = world.state.content | {"gen": 2, "parent": 1, "routes": routes}
        assert world.state.apply(Command(Verb.REPLACE, "d2", raw))
        world.notify_change()
        await world.until(world.returned, 3.0)
        assert world.bytes > 7_500_000 and world.behind < 0.1 and not world.lapsed

    play(300, 0, changed, monkeypatch)


def test_others_have_their_turn_while_all_are_told(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of one server, in a few bytes to each of 300: 0.16 s of the leader's processor."""

    async def sent(world: World) -> None:
        await world.until(world.returned, 8.0)
        await asyncio.sleep(5.0)
        turns, turn = list[float](), WatchServer.answer_due

        def timed(self: WatchServer) -> float:
            before = world.now()
            wait = turn(self)
            turns.append(world.now() - before)
            return wait

        monkeypatch.setattr(WatchServer, "answer_due", timed)
        world.require_leadership().endpoint_registry.mark_ended("i0", world.now())
        del world.up["i0"]
        world.notify_change()
        await world.until(world.returned, 1.5)
        assert max(turns) < 0.02 and sum(turns) > 0.1

    play(300, 10, sent, monkeypatch)


def test_enrolment_takes_all_who_wait_in_one_round(monkeypatch: pytest.MonkeyPatch) -> None:
    async def all_new(world: World) -> None:
        world.state.apply(Command(Verb.ENROL, removed_nodes=tuple(world.state.edges)))
        before, decided = world.decide, []

        async def decide(command: Command) -> bool:
            decided.append(command)
            return await before(command)

        world.decide = decide  # type: ignore[method-assign]
        await world.until(lambda: set(world.state.edges) == set(world.ingresses), 2.0)
        assert len(decided) <= 8

    play(100, 0, all_new, monkeypatch)


def test_an_ask_is_answered_well_inside_its_lease() -> None:
    """A leader that fails right after an ask came, and the next found: whatever the number of
    ingresses."""
    for edges in (0, 1, 10, 30, 100, 300, 1_000, 6_300, 1_000_000):
        assert (
            long_poll_timeout(edges) + response_timeout(long_poll_timeout(edges))
            < 0.62 * NODE_LEASE_S
        )
        assert long_poll_timeout(edges) + NODE_CONTACT_MARGIN_S < NODE_LEASE_S / 2
        assert long_poll_timeout(edges) >= MIN_LONG_POLL_S
    assert LEADER_CONTACT_MARGIN_S + RECOUNT_INTERVAL_S < NODE_CONTACT_MARGIN_S


def test_who_cannot_be_told_yet_keeps_its_lease_and_is_told_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_server_module, "SEND_RATE_BYTES_PER_S", 200_000)
    monkeypatch.setattr(watch_server_module, "SEND_BURST_BYTES", 20_000)

    async def slow(world: World) -> None:
        await world.until(lambda: all(e.lease_end > 0 for e in world.ingresses.values()), 2.0)
        assert not world.returned()
        await world.until(world.returned, 30.0)
        assert not world.lapsed and not world.failed

    play(50, 500, slow, monkeypatch)


def test_all_who_dial_at_once_are_taken_in_few_turns() -> None:
    """The turns of one that many call are long. One a turn is what the loop's own server takes: of
    1,000 that dialled, half had given up before they were taken, and dialled again."""

    async def dialled(many: int) -> int:
        taken, turns = list[asyncio.BaseTransport](), 0

        class ReceiveResult(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                taken.append(transport)

        listener = Listener(("127.0.0.1", 0), ReceiveResult)
        at = listener._socket.getsockname()
        callers = [socket.create_connection(at) for _ in range(many)]
        while len(taken) < many:
            await asyncio.sleep(0)
            turns += 1
        for caller in callers:
            caller.close()
        for transport in taken:
            transport.close()
        listener.close()
        return turns

    assert uvloop.run(dialled(400)) < 20


def test_asks_that_are_kept_leave_room_for_other_calls() -> None:
    """Of 6,300 ingresses, each with one ask of this life and one of the life before."""

    async def kept() -> list[pb.Envelope]:
        async def handle(envelope: pb.Envelope) -> pb.Envelope:
            if envelope.HasField("watch_request"):
                await asyncio.sleep(1.0)
            return pb.Envelope()

        rpc_peer, said = (
            RpcPeer(("10.0.0.1", 1), lambda envelope: None, handle),
            list[pb.Envelope](),
        )
        frames = cast(FramedConnection, SimpleNamespace(peer=None, write=said.append))
        for number in range(2 * 6300):
            rpc_peer.envelope_received(
                frames, pb.Envelope(call_id=number + 1, watch_request=pb.WatchRequest(name="e"))
            )
        rpc_peer.envelope_received(
            frames, pb.Envelope(call_id=1 << 20, quota_request=pb.QuotaRequest(tenant="t"))
        )
        await asyncio.sleep(0.5)
        answered = list(said)
        for number in range(20_000):  # and there is a bound
            rpc_peer.envelope_received(
                frames, pb.Envelope(call_id=number + 1, watch_request=pb.WatchRequest(name="e"))
            )
        assert any(answer.fault_code == FaultCode.QUEUE_FULL for answer in said)
        await asyncio.sleep(2.0)
        return answered

    loop = Virtual()
    try:
        (answer,) = loop.run_until_complete(kept())
    finally:
        loop.close()
    assert answer.call_id == 1 << 20 and not answer.fault_code


def test_others_have_their_turn_while_many_call() -> None:
    """1,000 that come in one turn of the loop are begun in many, and each once, in the order they
    came."""

    async def called() -> tuple[list[int], list[int]]:
        turn, begun = 0, list[tuple[int, int]]()

        async def handle(envelope: pb.Envelope) -> pb.Envelope:
            begun.append((turn, envelope.call_id))
            return pb.Envelope()

        rpc_peer = RpcPeer(("10.0.0.1", 1), lambda envelope: None, handle)
        frames = cast(FramedConnection, SimpleNamespace(peer=None, write=lambda envelope: True))
        for number in range(1000):
            rpc_peer.envelope_received(
                frames, pb.Envelope(call_id=number + 1, watch_request=pb.WatchRequest(name="e"))
            )
        while len(begun) < 1000:
            await asyncio.sleep(0)
            turn += 1
        return [n for _, n in begun], list(Counter(t for t, _ in begun).values())

    order, turns = uvloop.run(called())
    assert order == list(range(1, 1001)) and max(turns) <= 64


def test_those_that_start_together_dial_different_machines() -> None:
    rpc_peer = cast(RpcPeer, SimpleNamespace(own_address="e"))
    made = [
        LeaderClient(rpc_peer, lambda: [f"c{n}" for n in range(5)], lambda: []) for _ in range(200)
    ]
    assert (
        Counter(leader_client._next_control_address() for leader_client in made).most_common(1)[0][
            1
        ]
        < 90
    )


def test_ingresses_are_counted_in_a_return_without_a_look_at_all_for_each() -> None:
    """Against a plain count; a look over all is for every 50 ms, and for a name that is new."""

    class Looked(dict[str, Any]):
        looks = 0

        def values(self) -> Any:
            self.looks += 1
            return super().values()

    rng, node_registry, names = random.Random(4), NodeRegistry(), [f"e{n}" for n in range(300)]
    looked = node_registry.leases = Looked()
    leadership = Leadership(1, 0.0, True, EndpointRegistry(), node_registry, names, Bounds(), BEAT)
    counted = {name: INGRESS_COUNT_GRACE_S for name in names}
    for turn in range(600):
        now, looked.looks = 0.001 * turn, 0
        name = rng.choice(names) if turn % 100 else f"new{turn}"
        node_registry.record_request(now, pb.Node(name=name, incarnation=f"{turn}", kind="edge"), 0)
        counted[name] = now + INGRESS_COUNT_GRACE_S
        before = leadership.ingress_counter._counted_at
        assert leadership.ingress_counter.count(now) == len(counted)
        assert looked.looks == 0 or name.startswith("new") or now - before >= RECOUNT_INTERVAL_S


def test_long_lists_are_not_made_anew_for_each_that_returns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """While 1,000 come back, each of which changes the roll: told by it as it was a little before,
    and all told in the end what a plain reader of the roll finds."""
    made, pack = list[int](), watch_responses.compress_lists
    monkeypatch.setattr(
        watch_responses,
        "compress_lists",
        lambda part: (made.append(part.ByteSize()), pack(part))[1],
    )
    node_registry, endpoint_registry, state, now = NodeRegistry(), EndpointRegistry(), State(), 10.0
    leadership = Leadership(1, 0.0, True, endpoint_registry, node_registry, [], Bounds(), BEAT)

    def node(number: int, life: int) -> pb.Node:
        return pb.Node(
            name=f"e{number}", incarnation=f"{life}", address=f"10.0.{number}:1", kind="edge"
        )

    for number in range(1000):
        node_registry.record_request(0.0, node(number, 1), 0)
    known = node_registry.version
    nodes = {h.node.name: h.node.incarnation for h in node_registry.leases.values()}
    for number in range(1000):
        now += 0.001
        node_registry.record_request(now, node(number, 2), 0)
        watch_response = leadership.watch_responses.update(
            now,
            pb.WatchRequest(epoch=leadership.epoch(now), nodes_version=known, node=node(number, 2)),
            state,
        )
    assert len(made) < 120 and watch_response.nodes_version > known
    decompress_lists(watch_response)
    nodes |= {n.name: n.incarnation for n in watch_response.nodes}
    watch_response = leadership.watch_responses.update(
        now,
        pb.WatchRequest(
            epoch=leadership.epoch(now), nodes_version=watch_response.nodes_version, node=node(0, 2)
        ),
        state,
    )
    decompress_lists(watch_response)
    nodes |= {n.name: n.incarnation for n in watch_response.nodes}
    assert nodes == {h.node.name: h.node.incarnation for h in node_registry.leases.values()}


def test_who_asks_anew_is_told_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """An ask that is given up stays at the leader: what it would be told is not made for nobody."""

    async def anew(world: World) -> None:
        await world.until(world.returned, 8.0)
        node, sent, whole = (
            pb.Node(name="e0", incarnation="x", address="e0", kind="edge"),
            list[str](),
            WatchResponseBuilder.update,
        )
        monkeypatch.setattr(
            WatchResponseBuilder,
            "update",
            lambda *args: (sent.append(args[2].node.incarnation), whole(*args))[1],
        )
        monkeypatch.setattr(world.watch_server._budget, "bytes", -1e9)
        world.ingresses["e0"].task.cancel()
        requests = []
        for _ in range(3):
            requests.append(
                asyncio.create_task(
                    world.watch_server.watch(pb.WatchRequest(node=node, wait_ms=1000))
                )
            )
            await asyncio.sleep(0.1)
        assert [task.done() for task in requests] == [True, True, False]
        assert all("asked anew" in str(task.exception()) for task in requests[:2])
        world.watch_server._budget.bytes = watch_server_module.SEND_BURST_BYTES
        world.notify_change()
        assert (await requests[2]).has_evacuated_zones and sent.count("x") == 1

    play(10, 10, anew, monkeypatch)


def test_lists_that_were_packed_come_out_as_they_were() -> None:
    part = pb.WatchResponse(
        endpoints_complete=True, removed_nodes=["e1"], nodes=[pb.Node(name="e2")]
    )
    part.endpoints.extend(pb.Endpoint(id=f"i{n}", seq=n) for n in range(300))
    watch_response = pb.WatchResponse(epoch="1", compressed_lists=compress_lists(part))
    decompress_lists(watch_response)
    assert watch_response == pb.WatchResponse(epoch="1") or len(watch_response.endpoints) == 300
    watch_response.ClearField("epoch")
    assert watch_response == part
    assert compress_lists(pb.WatchResponse()) == b""
    for broken in (b"x", compress_lists(part)[:-5], compress_lists(part)[:20] + b"y" * 40):
        with pytest.raises(ValueError, match="packed lists"):
            decompress_lists(pb.WatchResponse(compressed_lists=broken))
