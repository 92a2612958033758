"""Several control nodes in one process, in virtual time, on a network with injected message loss.

Nothing sleeps and there are no sockets. A node's disk survives its restart.
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
from cairndale.configuration.rules_level import RULES_LEVEL
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

LATENCY = 0.02  # s, one way between two hosts
ZONES = {f"z{n}": f"r{n % 3}" for n in range(1, 6)}


class _VirtualSelector(selectors.SelectSelector):
    """Never waits: the clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("all tasks are waiting, and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which begins at 1000 s."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Runs a scenario in virtual time, and cancels the tasks that it leaves behind."""
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
    """Replaces `RaftStorage`: the written state in memory, by folder."""

    disks: ClassVar[dict[Path, tuple[str, PersistedState]]] = {}

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def disk_id(self) -> str:
        return self.disks.get(self.folder, ("", None))[0]

    def initialize(self, disk_id: str, persisted: PersistedState) -> None:
        self.disks[self.folder] = disk_id, persisted

    def load(self) -> PersistedState:
        return copy.copy(self.disks[self.folder][1])

    def system_name(self) -> str:
        return ""

    def set_system_name(self, name: str) -> None:
        pass

    def write(self, writes: list[Write]) -> None:
        persisted = self.disks[self.folder][1]
        for write in writes:
            match write:
                case HardState(term, voted_for):
                    persisted.term, persisted.voted_for = term, voted_for
                case SaveEntries(first, entries):
                    persisted.entries = [
                        *(e for e in persisted.entries if e.index < first),
                        *entries,
                    ]
                case SaveSnapshotChunk():
                    pass  # states in these tests are not written in chunks
                case SaveSnapshot(snapshot, alone):
                    persisted.snapshot = snapshot
                    persisted.entries = [
                        e for e in persisted.entries if not alone and e.index > snapshot.index
                    ]

    def sweep(self) -> bool:
        return False

    def discard_unfinished(self) -> None:
        pass

    def close(self) -> None:
        pass


@dataclass
class Network:
    """Delivers messages between hosts; messages in flight on a link that is cut are lost.

    Links are pairs of sender and receiver host: each direction can be cut separately.
    """

    peers: dict[str, RpcPeer] = field(default_factory=dict)
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    # Additional latency in s, one way, by the kind of body.
    extra_latency: dict[str, float] = field(default_factory=dict)
    duplicates_operations: bool = False  # delivers each forwarded operation again, 0.7 s later
    # Hosts with stopped clocks: messages to them are deferred, messages from them are lost.
    frozen: set[str] = field(default_factory=set)
    deferred: list[tuple[str, str, pb.Envelope]] = field(default_factory=list)
    drops: Callable[[pb.Envelope, str], bool] = lambda envelope, receiver: False
    deliveries: int = 0  # messages delivered so far
    on_delivery: Callable[[int], None] = lambda count: None

    def send(self, sender: str, receiver: str, envelope: pb.Envelope) -> None:
        if sender.partition(":")[0] in self.frozen or self.drops(envelope, receiver):
            return
        copied = pb.Envelope()
        copied.CopyFrom(envelope)
        loop, kind = asyncio.get_running_loop(), envelope.WhichOneof("body") or ""
        loop.call_later(
            LATENCY + self.extra_latency.get(kind, 0.0), self._deliver, sender, receiver, copied
        )
        if self.duplicates_operations and kind == "operation_request" and not envelope.is_answer:
            loop.call_later(0.7, self._deliver, sender, receiver, copied)

    def _deliver(self, sender: str, receiver: str, envelope: pb.Envelope) -> None:
        link = (sender.partition(":")[0], receiver.partition(":")[0])
        if link in self.cut_links or receiver not in self.peers:
            return
        if link[1] in self.frozen:
            self.deferred.append((sender, receiver, envelope))
            return
        self.deliveries += 1
        self.on_delivery(self.deliveries)
        self.peers[receiver].envelope_received(sender, envelope)


class RpcPeer:
    """Replaces `cairndale.rpc.peer.RpcPeer`: the same interface, on a `Network`."""

    latest = Network()

    def __init__(self, own_address: Address, handle_message: Any, handle_call: Any) -> None:
        self.own_address, self._handle_message, self._handle_call = (
            format_address(own_address),
            handle_message,
            handle_call,
        )
        self._loop, self._next = asyncio.get_running_loop(), 0
        self._calls: dict[int, asyncio.Future[pb.Envelope]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.network, self.fence = self.latest, TermFence()
        self.incarnation, self.system = f"{random.getrandbits(48):x}", ""
        self.network.peers[self.own_address] = self

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
        self.network.send(self.own_address, sender, answer)

    def set_system_name(self, name: str) -> None:
        self.system = name

    def is_stale(self, envelope: pb.Envelope, address: str) -> bool:
        return not envelope.fault_code and not self.fence.admits(envelope.term)

    def send(self, address: str, envelope: pb.Envelope) -> None:
        self.network.send(self.own_address, address, envelope)

    async def call(self, address: str, envelope: pb.Envelope, within: float) -> pb.Envelope:
        self._next += 1
        number = envelope.call_id = self._next
        future = self._calls[number] = self._loop.create_future()
        self.network.send(self.own_address, address, envelope)
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
    """Replaces the HTTP server: tests call the handlers directly."""

    def __init__(self, *handlers: Any) -> None: ...
    async def listen(self, address: Address) -> None: ...
    def stop(self) -> None: ...


class Ingress:
    """Watches the configuration as an ingress does."""

    def __init__(self, cluster: ControlCluster, number: int) -> None:
        self.name, self.host = f"edge-{number}", f"10.0.1.{number}"
        self.rpc_peer = RpcPeer((self.host, 7601), lambda envelope: None, self._refuse)
        self.leader_client = LeaderClient(self.rpc_peer, lambda: cluster.addresses, lambda: [])  # type: ignore[arg-type]
        self.config_version = self.gen = 0
        self.rules_level = RULES_LEVEL
        self.zone = list(ZONES)[number % len(ZONES)]

    async def _refuse(self, envelope: pb.Envelope) -> pb.Envelope:
        raise RejectedError()

    async def watch_forever(self) -> None:
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
                rules_level=self.rules_level,
            )
            request = pb.WatchRequest(
                node=node, config_version=self.config_version, generation=self.gen, wait_ms=250
            )
            try:
                watch_response = (
                    await self.leader_client.call(pb.Envelope(watch_request=request), 2.0, 0.6)
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


class ControlCluster:
    """A cluster of control nodes, from 10.0.0.1 on, each in its own zone, and two ingresses."""

    def __init__(self, folder: Path, node_count: int = 5, heartbeat: str = "1500ms") -> None:
        self.folder, self.heartbeat = folder, heartbeat
        self.network = RpcPeer.latest = Network()
        MemoryStorage.disks = {}
        self.hosts = [f"10.0.0.{n}" for n in range(1, node_count + 1)]
        self.addresses = [f"{host}:7600" for host in self.hosts]
        self.nodes: dict[str, ControlNode] = {}
        self.ingresses: list[Ingress] = []
        self.start_count = 0
        self._calls: set[asyncio.Task[tuple[int, bytes]]] = set()

    async def start_all(self) -> None:
        for host in self.hosts:
            await self.start(host)
        self.ingresses = [Ingress(self, n) for n in (1, 2)]
        self.watch_tasks = [
            asyncio.get_running_loop().create_task(i.watch_forever()) for i in self.ingresses
        ]
        await self.wait_until(lambda: self.leader() is not None)

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
                "bootstrap": self.start_count < len(self.hosts),
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
        node = self.nodes[host] = ControlNode(parse_settings(self.settings(host)))
        self.start_count += 1
        await node.start()
        return node

    async def crash(self, host: str) -> None:
        node = self.nodes.pop(host)
        self.network.peers.pop(f"{host}:7600")
        node.cancel()
        node.rpc_peer.stop()

    def leader(self) -> ControlNode | None:
        return next((c for c in self.nodes.values() if c.leadership and c.leads()), None)

    async def wait_until(self, condition: Any, within: float = 30.0) -> None:
        async with asyncio.timeout(within):
            while not condition():
                await asyncio.sleep(0.01)

    # Links and clocks.

    def partition(
        self, one: str, others: list[str], outgoing: bool = True, incoming: bool = True
    ) -> None:
        """Cuts the links from `one` to the others (`outgoing`) and in reverse (`incoming`)."""
        self.network.cut_links |= {(one, other) for other in others if outgoing}
        self.network.cut_links |= {(other, one) for other in others if incoming}

    def reconnect(self) -> None:
        self.network.cut_links.clear()

    def freeze(self, host: str) -> None:
        """Stops the node's clock and messages, as a pause of its process does, until `unfreeze`."""
        node = self.nodes[host]
        now = node.now()
        node.clock.now = lambda: now  # type: ignore[method-assign]
        self.network.frozen.add(host)

    def unfreeze(self, host: str) -> None:
        del self.nodes[host].clock.now
        self.network.frozen.discard(host)
        deferred, self.network.deferred = self.network.deferred, []
        for sender, receiver, envelope in deferred:
            self.network._deliver(sender, receiver, envelope)

    # Calls.

    async def call(self, host: str, method: str, call: str, body: bytes = b"") -> tuple[int, Any]:
        """Makes an HTTP call to a host; the call continues there if the caller is cancelled."""
        work = self.nodes[host].api.control(method, f"/-/{call}", body)
        task = asyncio.get_running_loop().create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        status, answer = await asyncio.shield(task)
        return status, json.loads(answer)

    async def send_heartbeat(
        self, host: str, id: str, seq: int, zone: str = "z1", state: str = "ready"
    ) -> int:
        raw = {
            "addr": "10.9.0.1:80",
            "details": {"backend": "s1", "gen": "v1", "zone": zone, "capacity": 2},
            "status": {"state": state, "seq": seq, "warmupLeft": "0ms"},
        }
        body = json.dumps(raw).encode()
        with suppress(TimeoutError):  # a server waits one second
            async with asyncio.timeout(1.0):
                return (await self.call(host, "POST", f"Instances.Heartbeat/{id}", body))[0]
        return 0


def configuration(gen: int, parent: int, **fields: Any) -> bytes:
    content = {
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
    return json.dumps(content | fields).encode()


def use_memory_cluster(monkeypatch: Any) -> None:
    """Makes control nodes use memory instead of disks, and the `Network` for connections."""
    monkeypatch.setattr(cairndale.control.node, "RpcPeer", RpcPeer)
    monkeypatch.setattr(cairndale.control.node, "RaftStorage", MemoryStorage)
    monkeypatch.setattr(cairndale.control.node, "HttpServer", HttpServer)
