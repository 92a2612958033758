"""Simulated ingresses and servers: they send to the core what real ones send, and carry no traffic.

A simulated ingress watches the configuration, holds a lease, leases quota units of tenants and
requests retry budgets. Configurations that several ingresses of a process received are stored
once."""

from __future__ import annotations

import asyncio
import json
import random
import time
import zlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from cairndale.chaos.standins import HEARTBEAT_TIMEOUT_S, http_call
from cairndale.configuration.rules_level import RULES_LEVEL
from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.config_watch import WATCH_TIMEOUT_S
from cairndale.dataplane.quota_client import LEASE_ATTEMPT_TIMEOUT_S, LEASE_TIMEOUT_S
from cairndale.errors import CallError, RejectedError
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.lease_timing import MAX_LONG_POLL_S, long_poll_timeout, response_timeout
from cairndale.rpc.peer import RpcPeer
from cairndale.scale.gauge import Gauge, quantile
from cairndale.settings import Address, format_address

DRAIN_ATTEMPTS = 100  # to report that a server is draining
MAX_KEPT_GENERATIONS = 64  # generations of which an ingress keeps the time of arrival
LOOKUP_TIMEOUT_S = 1.0
MAX_CACHED_CONTENTS = 4  # configurations of which the number of tenants is cached


@dataclass(slots=True)
class SharedContents:
    """The configurations that the simulated ingresses of a process received, stored once each."""

    tenant_counts: dict[bytes, int] = field(default_factory=dict)  # by compressed configuration
    received_contents: int = 0

    def tenant_count(self, content: bytes) -> int:
        """Count a received configuration, and return the number of its tenants."""
        self.received_contents += 1
        if content not in self.tenant_counts:
            configuration = json.loads(zlib.decompress(content)) if content else {}
            while len(self.tenant_counts) > MAX_CACHED_CONTENTS:
                del self.tenant_counts[next(iter(self.tenant_counts))]
            self.tenant_counts[bytes(content)] = len(configuration.get("tenants", ()))
        return self.tenant_counts[bytes(content)]


class SimulatedIngress:
    """An ingress as the core sees it."""

    def __init__(
        self,
        name: str,
        address: Address,
        location: tuple[str, str],
        cores: list[str],
        shared: SharedContents,
        gauge: Gauge,
        rng: random.Random,
    ) -> None:
        """`location`: its zone and region; `cores`: addresses of core machines."""
        self.name, self._address, self.location, self._cores = (
            name,
            address,
            location,
            list(cores),
        )
        self._shared, self._gauge, self._rng = shared, gauge, rng
        self.rpc_peer: RpcPeer | None = None
        self.config_client = ConfigClient(0.0, self._cores)
        self.served_at: dict[int, float] = {}  # time of arrival of the last generations
        self.term, self.term_at = 0, 0.0  # of the leader that granted the lease, and since when
        # time without a lease since `counted_at`, after the first lease of an incarnation
        self.lease_gap_s, self.counted_at = (0.0, 0.0)
        self.tenants = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.started_at = self.ready_at = 0.0
        self.failures: Counter[str] = Counter()  # failed calls, by kind and error code

    @property
    def lease_end(self) -> float:
        return self.config_client.lease_end

    async def start(self, lease_per_s: float) -> None:
        """Start a new incarnation."""
        loop = asyncio.get_running_loop()
        rpc_peer = self.rpc_peer = RpcPeer(self._address, lambda envelope: None, self._reject)
        self._gauge.count_frames(rpc_peer)
        self.started_at, self.ready_at, self.term = time.monotonic(), 0.0, 0
        client = self.config_client = ConfigClient(self.started_at, self._cores)
        await rpc_peer.listen()
        self.leader_client = LeaderClient(
            rpc_peer,
            lambda: client.control_addresses,
            lambda: client.peer_addresses(rpc_peer.own_address),
        )
        rpc_peer.on_disconnect = self._connection_lost
        self._tasks = [
            loop.create_task(self._watch()),
            loop.create_task(self._lease_quota(lease_per_s)),
        ]

    def stop(self) -> None:
        """Stop without notifying the core, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        if self.rpc_peer:
            self.rpc_peer.stop()
            self.rpc_peer = None

    def _connection_lost(self, address: str) -> None:
        if address == self.leader_client.leader_address:
            self.config_client.connection_lost(time.monotonic())

    async def _reject(self, envelope: pb.Envelope) -> pb.Envelope:
        raise RejectedError("a simulated ingress takes no calls")

    def _node(self) -> pb.Node:
        assert self.rpc_peer
        zone, region = self.location
        return pb.Node(
            name=self.name,
            incarnation=self.rpc_peer.incarnation,
            address=format_address(self._address),
            http_address=format_address((self._address[0], self._address[1] + 1)),
            zone=zone,
            region=region,
            kind="edge",
            ready=bool(self.config_client.cursor.config_version),
            rules_level=RULES_LEVEL,
        )

    async def _watch(self) -> None:
        while True:
            wait = (
                long_poll_timeout(self.config_client.ingress_count)
                if self.config_client.ingress_count
                else MAX_LONG_POLL_S
            )
            node, asked_at = self._node(), time.monotonic()
            request = pb.Envelope(
                watch_request=self.config_client.watch_request(node, asked_at, wait)
            )
            try:
                answer = await self.leader_client.call(
                    request, WATCH_TIMEOUT_S, response_timeout(wait)
                )
            except CallError as failure:
                self.config_client.request_failed()
                self.failures[f"ask: {failure.code.name}"] += 1
                await asyncio.sleep(self._rng.uniform(0.05, 0.15))
                continue
            if answer.WhichOneof("body") == "watch_response":
                self._apply(answer.watch_response, node, asked_at, answer.term)

    def _apply(
        self, watch_response: pb.WatchResponse, node: pb.Node, asked_at: float, term: int
    ) -> None:
        now, lease_end_before, generation_before = (
            time.monotonic(),
            self.config_client.lease_end,
            self.config_client.cursor.generation,
        )
        if watch_response.has_content:
            self.tenants, watch_response.content = (
                self._shared.tenant_count(watch_response.content),
                b"",
            )
        watch_response.ClearField("delta")  # only the generation counts; no items are stored
        if self.config_client.apply(watch_response, node, asked_at, now, 0) is None:
            return
        if watch_response.generation != generation_before:
            self.served_at[watch_response.generation] = now
            while len(self.served_at) > MAX_KEPT_GENERATIONS:
                del self.served_at[next(iter(self.served_at))]
        if self.ready_at:
            self.lease_gap_s += max(0.0, now - max(lease_end_before, self.counted_at))
        if term != self.term:
            self.term, self.term_at = term, now
        if watch_response.config_version and not self.ready_at:
            self.ready_at = now

    async def _lease_quota(self, per_s: float) -> None:
        """Lease quota units of tenants, and in 5% of calls request a retry budget."""
        while True:
            await asyncio.sleep(self._rng.expovariate(per_s) if per_s > 0 else 3600.0)
            if not (self.tenants and self.config_client.in_contact(time.monotonic())):
                continue
            if self._rng.random() < 0.05:
                request = pb.Envelope(budget_request=pb.BudgetRequest(budgets=["further/s0"]))
            else:
                tenant = f"t{self._rng.randrange(self.tenants)}"
                request = pb.Envelope(
                    quota_request=pb.QuotaRequest(tenant=tenant, amount=1.0, spent=1.0)
                )
            try:
                await self.leader_client.call(request, LEASE_TIMEOUT_S, LEASE_ATTEMPT_TIMEOUT_S)
            except CallError as failure:
                self.failures[f"units: {failure.code.name}"] += 1


async def look_up(
    address: str, per_s: float, span: float, regions: list[str], rng: random.Random
) -> dict[str, Any]:
    """Run clients that look up ingresses at one directory for `span` seconds, each on a connection
    of its own.

    Returns the numbers of completed and failed look-ups, the largest number of addresses in an
    answer, bytes for each look-up, and latencies in seconds.
    """
    latencies, failed, max_addresses, bytes_out, bytes_in = list[float](), 0, 0, 0, 0

    def count(sent: int, received: int) -> None:
        nonlocal bytes_out, bytes_in
        bytes_out, bytes_in = bytes_out + sent, bytes_in + received

    async def send_lookup() -> None:
        nonlocal failed, max_addresses
        began_at, target = (
            time.monotonic(),
            f"/-/lookup?name=a.example&region={rng.choice(regions)}&zone=x",
        )
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                _, answer = await http_call(address, "GET", target, count=count)
            max_addresses = max(max_addresses, len(json.loads(answer)["addrs"]))
        except (OSError, TimeoutError, ValueError, KeyError):
            failed += 1
        else:
            latencies.append(time.monotonic() - began_at)

    deadline = time.monotonic() + span
    async with asyncio.TaskGroup() as clients:
        while time.monotonic() < deadline:
            clients.create_task(send_lookup())
            await asyncio.sleep(rng.expovariate(per_s))
    ordered, completed = sorted(latencies), max(1, len(latencies))
    return {
        "count": len(latencies),
        "failed": failed,
        "addresses": max_addresses,
        "bytes_out": bytes_out / completed,
        "bytes_in": bytes_in / completed,
        "p50": quantile(ordered, 0.5),
        "p99": quantile(ordered, 0.99),
    }


class SimulatedServer:
    """A server as the core sees it: sends heartbeats, drains, and restarts with a new id."""

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        control: list[str],
        heartbeat_interval: float,
        rng: random.Random,
        gauge: Gauge,
    ) -> None:
        self._addr = f"127.200.{number // 250 % 250}.{number % 250 + 1}:{8000 + number // 62500}"
        self._service, self._zone, self._control, self._heartbeat_interval, self._rng = (
            service,
            zone,
            control,
            heartbeat_interval,
            rng,
        )
        self._gauge = gauge
        self.heartbeats = self.failed_heartbeats = 0
        self._state, self._preferred_address = "ready", ""

    async def run(self, mean_lifetime: float) -> None:
        """Run incarnations with exponentially distributed lifetimes, until cancelled."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.uniform(0, self._heartbeat_interval))
        while True:
            self._id, self._seq, self._state = f"i-{self._rng.getrandbits(40):010x}", 0, "ready"
            ends_at = loop.time() + self._rng.expovariate(1 / mean_lifetime)
            while loop.time() < ends_at:
                await self._send_heartbeat()
                await asyncio.sleep(self._heartbeat_interval * self._rng.uniform(0.9, 1.1))
            self._state = "draining"
            for _ in range(DRAIN_ATTEMPTS):
                if await self._send_heartbeat():
                    break
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))
            await asyncio.sleep(3 * self._heartbeat_interval)
            await self._call(f"Instances.Deregister/{self._id}", {})
            await asyncio.sleep(self._rng.uniform(1, 3))

    async def _send_heartbeat(self) -> bool:
        self._seq += 1
        body: dict[str, Any] = {
            "addr": self._addr,
            "details": {"backend": self._service, "gen": "v1", "zone": self._zone, "capacity": 6},
            "status": {"state": self._state, "seq": self._seq, "warmupLeft": "0s"},
        }
        is_acknowledged = await self._call(f"Instances.Heartbeat/{self._id}", body)
        self.heartbeats += 1
        self.failed_heartbeats += not is_acknowledged
        return is_acknowledged

    async def _call(self, call: str, body: dict[str, Any]) -> bool:
        addresses = self._rng.sample(self._control, min(3, len(self._control)))
        for address in (
            [self._preferred_address, *addresses] if self._preferred_address else addresses
        ):
            try:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    status, answer = await http_call(
                        address,
                        "POST",
                        f"/-/{call}",
                        json.dumps(body).encode(),
                        count=self._gauge.count_call,
                    )
            except (OSError, TimeoutError, ValueError):
                self._preferred_address = ""
                continue
            if 200 <= status < 300:
                url = json.loads(answer).get("beatUrl", "") if answer else ""
                self._preferred_address = url.removeprefix("http://") or self._preferred_address
                return True
        return False
