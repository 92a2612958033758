"""Several control nodes in one process, in virtual time, on a network that loses what it is told.

There is no sleeping and there are no sockets. A node's disk is kept over its restart.
"""

from __future__ import annotations

import asyncio
import copy
import json
import random
import selectors
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar

import cairndale.control.node
from cairndale.control.node import ControlNode
from cairndale.errors import CallError, CallTimeoutError, FaultCode, RejectedError, error_for_code
from cairndale.raft.messages import (
    HardState,
    PersistedState,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotChunk,
    Write,
)
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.call_kinds import TermFence
from cairndale.rpc.leader_client import LeaderClient
from cairndale.settings import Address, format_address, parse_settings

LATENCY = 0.02  # s between two machines, one way
ZONES = {f"z{n}": f"r{n % 3}" for n in range(1, 6)}


class _VirtualSelector(selectors.SelectSelector):
    """Does not wait: the time jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which begins at 1000 s."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def play(main: Coroutine[Any, Any, None]) -> None:
    """Runs a scene in virtual time, and cancels what it leaves behind."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()


class MemoryStorage:
    """In place of `RaftStorage`: what was written, by folder."""

    disks: ClassVar[dict[Path, tuple[str, PersistedState]]] = {}

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def disk_id(self) -> str:
        return self.disks.get(self.folder, ("", None))[0]

    def initialize(self, disk: str, kept: PersistedState) -> None:
        self.disks[self.folder] = disk, kept

    def load(self) -> PersistedState:
        return copy.copy(self.disks[self.folder][1])

    def system_name(self) -> str:
        return ""

    def set_system_name(self, name: str) -> None:
        pass

    def write(self, writes: list[Write]) -> None:
        kept = self.disks[self.folder][1]
        for write in writes:
            match write:
                case HardState(term, voted_for):
                    kept.term, kept.voted_for = term, voted_for
                case SaveEntries(first, entries):
                    kept.entries = [*(e for e in kept.entries if e.index < first), *entries]
                case SaveSnapshotChunk():
                    pass  # a state this small is written whole
                case SaveSnapshot(snapshot, alone):
                    kept.snapshot = snapshot
                    kept.entries = [
                        e for e in kept.entries if not alone and e.index > snapshot.index
                    ]

    def sweep(self) -> bool:
        return False

    def discard_unfinished(self) -> None:
        pass

    def close(self) -> None:
        pass


@dataclass
class Network:
    """Delivers messages between hosts; what is on its way when a link is cut is lost.

    Links are pairs of sender and receiver: each direction is cut on its own.
    """

    peers: dict[str, RpcPeer] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    # By the kind of body: additional latency in s, each way.
    late: dict[str, float] = field(default_factory=dict)
    twice: bool = False  # each forwarded operation is delivered a second time, later
    # Hosts whose clocks stand: what is sent to them is held back, what they send is lost.
    frozen: set[str] = field(default_factory=set)
    held_back: list[tuple[str, str, pb.Envelope]] = field(default_factory=list)
    loses: Callable[[pb.Envelope, str], bool] = lambda envelope, receiver: False
    steps: int = 0  # messages delivered so far
    at_step: Callable[[int], None] = lambda step: None

    def go(self, sender: str, receiver: str, envelope: pb.Envelope) -> None:
        if sender.partition(":")[0] in self.frozen or self.loses(envelope, receiver):
            return
        made = pb.Envelope()
        made.CopyFrom(envelope)
        loop, kind = asyncio.get_running_loop(), envelope.WhichOneof("body") or ""
        loop.call_later(LATENCY + self.late.get(kind, 0.0), self._deliver, sender, receiver, made)
        if self.twice and kind == "operation_request" and not envelope.is_answer:
            loop.call_later(0.7, self._deliver, sender, receiver, made)

    def _deliver(self, sender: str, receiver: str, envelope: pb.Envelope) -> None:
        ways = (sender.partition(":")[0], receiver.partition(":")[0])
        if ways in self.cut or receiver not in self.peers:
            return
        if ways[1] in self.frozen:
            self.held_back.append((sender, receiver, envelope))
            return
        self.steps += 1
        self.at_step(self.steps)
        self.peers[receiver].envelope_received(sender, envelope)


class RpcPeer:
    """In place of `cairndale.rpc.peer.RpcPeer`: the same calls, on a `Network`."""

    latest = Network()

    def __init__(self, own: Address, hear: Any, handle: Any) -> None:
        self.own_address, self._handle_message, self._handle_call = (
            format_address(own),
            hear,
            handle,
        )
        self._loop, self._next = asyncio.get_running_loop(), 0
        self._calls: dict[int, asyncio.Future[pb.Envelope]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.net, self.fence = self.latest, TermFence()
        self.incarnation, self.system = f"{random.getrandbits(48):x}", ""
        self.net.peers[self.own_address] = self

    def now(self) -> float:
        return self._loop.time()

    async def listen(self) -> None:
        pass

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def envelope_received(self, sender: str, envelope: pb.Envelope) -> None:
        if envelope.is_answer:
            future = self._calls.get(envelope.call_id)
            if future and not future.done():
                future.set_result(envelope)
        elif envelope.call_id:
            task = self._loop.create_task(self._answer(sender, envelope))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._handle_message(envelope)

    async def _answer(self, sender: str, envelope: pb.Envelope) -> None:
        call = envelope.call_id
        try:
            if envelope.forward_to and envelope.forward_to != self.own_address:
                address, envelope.forward_to = envelope.forward_to, ""
                answer = await self.call(address, envelope, 2.0)
            else:
                answer = await self._handle_call(envelope)
        except CallError as failure:
            answer = pb.Envelope(fault_code=failure.code)
        answer.call_id, answer.is_answer = call, True
        self.net.go(self.own_address, sender, answer)

    def set_system_name(self, name: str) -> None:
        self.system = name

    def is_stale(self, envelope: pb.Envelope, address: str) -> bool:
        return not envelope.fault_code and not self.fence.admits(envelope.term)

    def send(self, address: str, envelope: pb.Envelope) -> None:
        self.net.go(self.own_address, address, envelope)

    async def call(self, address: str, envelope: pb.Envelope, within: float) -> pb.Envelope:
        self._next += 1
        number = envelope.call_id = self._next
        future = self._calls[number] = self._loop.create_future()
        self.net.go(self.own_address, address, envelope)
        try:
            async with asyncio.timeout(within):
                answer = await future
        except TimeoutError:
            raise CallTimeoutError(address) from None
        finally:
            del self._calls[number]
        if answer.fault_code and answer.fault_code != FaultCode.NOT_LEADER:
            raise error_for_code(answer.fault_code, address)
        return answer


class HttpServer:
    """In place of the server: tests call the handlers themselves."""

    def __init__(self, *takes: Any) -> None: ...
    async def listen(self, at: Address) -> None: ...
    def stop(self) -> None: ...


class Ingress:
    """Watches the configuration and forwards calls as an ingress does."""

    def __init__(self, world: World, number: int) -> None:
        self.name, self.host = f"edge-{number}", f"10.0.1.{number}"
        self.rpc_peer = RpcPeer((self.host, 7601), lambda envelope: None, self._refuse)
        self.leader_client = LeaderClient(self.rpc_peer, lambda: world.addresses, lambda: [])  # type: ignore[arg-type]
        self.config_version = self.gen = 0
        self.zone = list(ZONES)[number % len(ZONES)]

    async def _refuse(self, envelope: pb.Envelope) -> pb.Envelope:
        raise RejectedError()

    async def ask(self) -> None:
        while True:
            node = pb.Node(
                name=self.name,
                incarnation="1",
                address=f"{self.host}:7601",
                http_address=f"{self.host}:80",
                zone=self.zone,
                region=ZONES[self.zone],
                kind="edge",
                ready=True,
            )
            ask = pb.WatchRequest(
                node=node, config_version=self.config_version, generation=self.gen, wait_ms=250
            )
            try:
                watch_response = (
                    await self.leader_client.call(pb.Envelope(watch_request=ask), 2.0, 0.6)
                ).watch_response
            except CallError:
                await asyncio.sleep(0.1)
                continue
            if watch_response.config_version >= self.config_version:
                self.config_version, self.gen = (
                    watch_response.config_version,
                    watch_response.generation,
                )
            await asyncio.sleep(0.01)


class World:
    """A cluster of control nodes at 10.0.0.1 and on, each in its own zone, and two ingresses."""

    def __init__(self, folder: Path, cores: int = 5, heartbeat: str = "1500ms") -> None:
        self.folder, self.heartbeat = folder, heartbeat
        self.net = RpcPeer.latest = Network()
        MemoryStorage.disks = {}
        self.hosts = [f"10.0.0.{n}" for n in range(1, cores + 1)]
        self.addresses = [f"{host}:7600" for host in self.hosts]
        self.cores: dict[str, ControlNode] = {}
        self.ingresses: list[Ingress] = []
        self.starts = 0
        self._calls: set[asyncio.Task[tuple[int, bytes]]] = set()

    async def begin(self) -> None:
        for host in self.hosts:
            await self.start(host)
        self.ingresses = [Ingress(self, n) for n in (1, 2)]
        self.asks = [asyncio.get_running_loop().create_task(i.ask()) for i in self.ingresses]
        await self.until(lambda: self.leader() is not None)

    def settings(self, host: str) -> dict[str, Any]:
        number = self.hosts.index(host)
        return {
            "self": {
                "hostname": f"core-{number + 1}",
                "role": "core",
                "serves": ["ctl", "dir"],
                "ip": host,
                "zone": list(ZONES)[number],
                "region": ZONES[list(ZONES)[number]],
                "bootstrap": self.starts < len(self.hosts),
                "stateDir": str(self.folder / host),
                "limits": {"memMb": 300, "nofile": 1024},
            },
            "network": {
                "listen": {"ctl": f"{host}:8200", "dir": f"{host}:8201"},
                "portRange": [7600, 7607],
                "peers": [f"{h}:8200" for h in self.hosts],
                "zones": ZONES,
            },
            "infra": {"heartbeat": self.heartbeat},
            "sla": {"slo": {"ack": "6000ms"}},
        }

    async def start(self, host: str) -> ControlNode:
        core = self.cores[host] = ControlNode(parse_settings(self.settings(host)))
        self.starts += 1
        await core.start()
        return core

    async def crash(self, host: str) -> None:
        core = self.cores.pop(host)
        self.net.peers.pop(f"{host}:7600")
        core.cancel()
        core.rpc_peer.stop()

    def leader(self) -> ControlNode | None:
        return next((c for c in self.cores.values() if c.leadership and c.leads()), None)

    async def until(self, what: Any, within: float = 30.0) -> None:
        async with asyncio.timeout(within):
            while not what():
                await asyncio.sleep(0.01)

    # Links and clocks.

    def part(self, one: str, others: list[str], there: bool = True, back: bool = True) -> None:
        """Cuts the links from `one` to the others (`there`) and from them to it (`back`)."""
        self.net.cut |= {(one, other) for other in others if there}
        self.net.cut |= {(other, one) for other in others if back}

    def heal(self) -> None:
        self.net.cut.clear()

    def freeze(self, host: str) -> None:
        """Stops the node's clock, as a pause of the process does: later it goes on where it was."""
        core = self.cores[host]
        now = core.now()
        core.clock.now = lambda: now  # type: ignore[method-assign]
        self.net.frozen.add(host)

    def thaw(self, host: str) -> None:
        del self.cores[host].clock.now
        self.net.frozen.discard(host)
        held, self.net.held_back = self.net.held_back, []
        for sender, receiver, envelope in held:
            self.net._deliver(sender, receiver, envelope)

    # Calls.

    async def call(self, host: str, method: str, call: str, body: bytes = b"") -> tuple[int, Any]:
        """An HTTP call to a host; it goes on there when the caller no longer waits."""
        work = self.cores[host].api.control(method, f"/-/{call}", body)
        task = asyncio.get_running_loop().create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        status, answer = await asyncio.shield(task)
        return status, json.loads(answer)

    async def beat(
        self, host: str, id: str, seq: int, zone: str = "z1", state: str = "ready"
    ) -> int:
        raw = {
            "addr": "10.9.0.1:80",
            "details": {"backend": "s1", "gen": "v1", "zone": zone, "capacity": 2},
            "status": {"state": state, "seq": seq, "warmupLeft": "0ms"},
        }
        body = json.dumps(raw).encode()
        with suppress(TimeoutError):  # a server waits so long
            async with asyncio.timeout(1.0):
                return (await self.call(host, "POST", f"Instances.Heartbeat/{id}", body))[0]
        return 0


def configuration(gen: int, parent: int, **fields: Any) -> bytes:
    made = {
        "gen": gen,
        "parent": parent,
        "routes": [
            {
                "name": "r1",
                "host": "a.example",
                "pathPrefix": "/r1/",
                "kind": "idempotent",
                "backend": "s1",
            }
        ],
        "backends": [{"name": "s1"}],
        "tenants": [{"name": f"t{random.getrandbits(40):x}", "apiKeys": ["k"]}],
    }
    return json.dumps(made | fields).encode()


def in_memory(monkeypatch: Any) -> None:
    """Control nodes have memory for disks, and the `Network` for connections."""
    monkeypatch.setattr(cairndale.control.node, "RpcPeer", RpcPeer)
    monkeypatch.setattr(cairndale.control.node, "RaftStorage", MemoryStorage)
    monkeypatch.setattr(cairndale.control.node, "HttpServer", HttpServer)
