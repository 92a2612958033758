"""Hollow ingresses and servers: they say what real ones say to the core, and carry no traffic.

A hollow ingress asks for news, holds a lease, leases units of tenants and has further tries dealt.
What it was told is held once a process where several were told the same."""

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

DRAINS = 100  # tries to have it acknowledged that a server drains
KEPT = 64  # generations whose times are kept
LOOKED = 1.0  # s that a client gives one ingress
CONTENTS = 4  # configurations whose tenants are known


@dataclass(slots=True)
class Shared:
    """What the hollow ingresses of a process were told, once each."""

    # by what was told: the tenants it names
    contents: dict[bytes, int] = field(default_factory=dict)
    told: int = 0  # contents that were told

    def tenants(self, content: bytes) -> int:
        """How many it names."""
        self.told += 1
        if content not in self.contents:
            raw = json.loads(zlib.decompress(content)) if content else {}
            while len(self.contents) > CONTENTS:
                del self.contents[next(iter(self.contents))]
            self.contents[bytes(content)] = len(raw.get("tenants", ()))
        return self.contents[bytes(content)]


class Ingress:
    def __init__(
        self,
        name: str,
        at: Address,
        place: tuple[str, str],
        cores: list[str],
        shared: Shared,
        gauge: Gauge,
        rng: random.Random,
    ) -> None:
        """`place`: its zone and region; `cores`: doors of core machines."""
        self.name, self._at, self.place, self._cores = name, at, place, list(cores)
        self._shared, self._gauge, self._rng = shared, gauge, rng
        self.rpc_peer: RpcPeer | None = None
        self.config_client = ConfigClient(0.0, self._cores)
        self.served_at: dict[int, float] = {}  # by generation: when it was told, of the last few
        self.term, self.term_at = 0, 0.0  # of the leader that its lease is from, and since when
        # s without a lease after the first of a life, since then
        self.lapsed, self.counted_at = (0.0, 0.0)
        self.tenants = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.began = self.well_at = 0.0
        self.failed: Counter[str] = Counter()  # calls, by what and why

    @property
    def lease_end(self) -> float:
        return self.config_client.lease_end

    async def start(self, lease_per_s: float) -> None:
        """A new life."""
        loop = asyncio.get_running_loop()
        rpc_peer = self.rpc_peer = RpcPeer(self._at, lambda envelope: None, self._refuse)
        self._gauge.count_frames(rpc_peer)
        self.began, self.well_at, self.term = time.monotonic(), 0.0, 0
        client = self.config_client = ConfigClient(self.began, self._cores)
        await rpc_peer.listen()
        self.leader_client = LeaderClient(
            rpc_peer,
            lambda: client.control_addresses,
            lambda: client.peer_addresses(rpc_peer.own_address),
        )
        rpc_peer.on_disconnect = self._lost
        self._tasks = [loop.create_task(self._asks()), loop.create_task(self._units(lease_per_s))]

    def stop(self) -> None:
        """Without a word, as a kill does."""
        for task in self._tasks:
            task.cancel()
        if self.rpc_peer:
            self.rpc_peer.stop()
            self.rpc_peer = None

    def _lost(self, address: str) -> None:
        if address == self.leader_client.leader_address:
            self.config_client.connection_lost(time.monotonic())

    async def _refuse(self, envelope: pb.Envelope) -> pb.Envelope:
        raise RejectedError("only passed on here")

    def _node(self) -> pb.Node:
        assert self.rpc_peer
        zone, region = self.place
        return pb.Node(
            name=self.name,
            incarnation=self.rpc_peer.incarnation,
            address=format_address(self._at),
            http_address=format_address((self._at[0], self._at[1] + 1)),
            zone=zone,
            region=region,
            kind="edge",
            ready=bool(self.config_client.cursor.config_version),
        )

    async def _asks(self) -> None:
        while True:
            wait = (
                long_poll_timeout(self.config_client.ingress_count)
                if self.config_client.ingress_count
                else MAX_LONG_POLL_S
            )
            node, asked = self._node(), time.monotonic()
            made = pb.Envelope(watch_request=self.config_client.watch_request(node, asked, wait))
            try:
                answer = await self.leader_client.call(
                    made, WATCH_TIMEOUT_S, response_timeout(wait)
                )
            except CallError as failure:
                self.config_client.request_failed()
                self.failed[f"ask: {failure.code.name}"] += 1
                await asyncio.sleep(self._rng.uniform(0.05, 0.15))
                continue
            if answer.WhichOneof("body") == "watch_response":
                self._apply(answer.watch_response, node, asked, answer.term)

    def _apply(
        self, watch_response: pb.WatchResponse, node: pb.Node, asked: float, term: int
    ) -> None:
        now, before, gen = (
            time.monotonic(),
            self.config_client.lease_end,
            self.config_client.cursor.generation,
        )
        if watch_response.has_content:
            self.tenants, watch_response.content = self._shared.tenants(watch_response.content), b""
        watch_response.ClearField("delta")  # it holds no items, and goes by the gen alone
        if self.config_client.apply(watch_response, node, asked, now, 0) is None:
            return
        if watch_response.generation != gen:
            self.served_at[watch_response.generation] = now
            while len(self.served_at) > KEPT:
                del self.served_at[next(iter(self.served_at))]
        if self.well_at:
            self.lapsed += max(0.0, now - max(before, self.counted_at))
        if term != self.term:
            self.term, self.term_at = term, now
        if watch_response.config_version and not self.well_at:
            self.well_at = now

    async def _units(self, per_s: float) -> None:
        """Leases of tenants' units, and now and then a further try that is dealt."""
        while True:
            await asyncio.sleep(self._rng.expovariate(per_s) if per_s > 0 else 3600.0)
            if not (self.tenants and self.config_client.in_contact(time.monotonic())):
                continue
            if self._rng.random() < 0.05:
                asked = pb.Envelope(budget_request=pb.BudgetRequest(budgets=["further/s0"]))
            else:
                tenant = f"t{self._rng.randrange(self.tenants)}"
                asked = pb.Envelope(
                    quota_request=pb.QuotaRequest(tenant=tenant, amount=1.0, spent=1.0)
                )
            try:
                await self.leader_client.call(asked, LEASE_TIMEOUT_S, LEASE_ATTEMPT_TIMEOUT_S)
            except CallError as failure:
                self.failed[f"units: {failure.code.name}"] += 1


async def look_up(
    address: str, per_s: float, span: float, regions: list[str], rng: random.Random
) -> dict[str, Any]:
    """Clients that look up at a directory's door, each on a connection of its own, for so many
    seconds: how often, what failed, bytes and s of one, and how many addresses one was told of at
    the most."""
    took, failed, most, out, back = list[float](), 0, 0, 0, 0

    def count(sent: int, come: int) -> None:
        nonlocal out, back
        out, back = out + sent, back + come

    async def one() -> None:
        nonlocal failed, most
        began, target = (
            time.monotonic(),
            f"/-/lookup?name=a.example&region={rng.choice(regions)}&zone=x",
        )
        try:
            async with asyncio.timeout(LOOKED):
                _, told = await http_call(address, "GET", target, count=count)
            most = max(most, len(json.loads(told)["addrs"]))
        except (OSError, TimeoutError, ValueError, KeyError):
            failed += 1
        else:
            took.append(time.monotonic() - began)

    until = time.monotonic() + span
    async with asyncio.TaskGroup() as clients:
        while time.monotonic() < until:
            clients.create_task(one())
            await asyncio.sleep(rng.expovariate(per_s))
    times, done = sorted(took), max(1, len(took))
    return {
        "count": len(took),
        "failed": failed,
        "addresses": most,
        "bytes_out": out / done,
        "bytes_in": back / done,
        "p50": quantile(times, 0.5),
        "p99": quantile(times, 0.99),
    }


class Server:
    """Beats as a real one does, drains, ends and comes back with a new id."""

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        control: list[str],
        beat: float,
        rng: random.Random,
        gauge: Gauge,
    ) -> None:
        self._addr = f"127.200.{number // 250 % 250}.{number % 250 + 1}:{8000 + number // 62500}"
        self._service, self._zone, self._control, self._beat, self._rng = (
            service,
            zone,
            control,
            beat,
            rng,
        )
        self._gauge = gauge
        self.beats = self.lost = 0
        self._state, self._near = "ready", ""

    async def run(self, life: float) -> None:
        """Lives of so many seconds each, on average."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.uniform(0, self._beat))
        while True:
            self._id, self._seq, self._state = f"i-{self._rng.getrandbits(40):010x}", 0, "ready"
            ends = loop.time() + self._rng.expovariate(1 / life)
            while loop.time() < ends:
                await self._say()
                await asyncio.sleep(self._beat * self._rng.uniform(0.9, 1.1))
            self._state = "draining"
            for _ in range(DRAINS):
                if await self._say():
                    break
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))
            await asyncio.sleep(3 * self._beat)
            await self._call(f"Instances.Deregister/{self._id}", {})
            await asyncio.sleep(self._rng.uniform(1, 3))

    async def _say(self) -> bool:
        self._seq += 1
        body: dict[str, Any] = {
            "addr": self._addr,
            "details": {"backend": self._service, "gen": "v1", "zone": self._zone, "capacity": 6},
            "status": {"state": self._state, "seq": self._seq, "warmupLeft": "0s"},
        }
        done = await self._call(f"Instances.Heartbeat/{self._id}", body)
        self.beats += 1
        self.lost += not done
        return done

    async def _call(self, call: str, body: dict[str, Any]) -> bool:
        addresses = self._rng.sample(self._control, min(3, len(self._control)))
        for address in [self._near, *addresses] if self._near else addresses:
            try:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    status, told = await http_call(
                        address,
                        "POST",
                        f"/-/{call}",
                        json.dumps(body).encode(),
                        count=self._gauge.count_call,
                    )
            except (OSError, TimeoutError, ValueError):
                self._near = ""
                continue
            if 200 <= status < 300:
                url = json.loads(told).get("beatUrl", "") if told else ""
                self._near = url.removeprefix("http://") or self._near
                return True
        return False
