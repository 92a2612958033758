"""A data-plane ingress's process: the ingress of `ironledge`, fed with the news of the core."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from cairndale.configuration.route_table import RouteTable, TableChange, Tenant
from cairndale.dataplane.config_client import ConfigClient, KnownEndpoint
from cairndale.dataplane.endpoint_selection import EndpointSelector
from cairndale.dataplane.engine import ReconfigurableEngine, ReconfigurablePolicy
from cairndale.dataplane.quota_client import LEASE_TRY_TIMEOUT_S, QuotaClient
from cairndale.dataplane.request_router import RequestRouter
from cairndale.dataplane.upstream_protocol import judge
from cairndale.errors import CallError, RejectedError
from cairndale.events import Event, log_event
from cairndale.http_api.router import LOOKUP_ROUTES, READY, RouteFailure, match
from cairndale.http_api.server import Answer, HttpServer, told, wrong
from cairndale.ingress.net.backends import Backends
from cairndale.ingress.net.bodies import Memory
from cairndale.ingress.net.clients import Listener
from cairndale.ingress.net.discovery import Entry, Listing
from cairndale.ingress.net.engine import Clock, Names
from cairndale.ingress.net.http import MAX_BODY, MAX_HEAD
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy import interface as it
from cairndale.lookup.selection import Lookups
from cairndale.quota.budget_counter import RETRY
from cairndale.quota.quota_counter import QUOTA_GRANT_LIFE_S, max_saved_units
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.lease_timing import MAX_LONG_POLL_S, long_poll_timeout, response_timeout
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Settings, format_address, parse_duration

WATCH_TIMEOUT_S = 3.0  # s for an answer over all tries
RETRY_AFTER = 300_000  # us that a refused client is told to wait: T0, d_0
CONNECT = 400_000  # us for a connection to a server: a region is 40 ms away and back
IDLE = 6_000_000  # us that an idle connection to a server is kept, if it does not say how long
SERVER_UNACKED = 900  # ms without an acknowledgement after which a server counts as gone
# s before the end of the grace until which connections are taken after SIGTERM: old lists name it
ACCEPTS_ON = 0.9
# usual answers' times that a request wants to have before the end, to be begun after SIGTERM
ROOM = 1.5
# s after SIGTERM after which one is begun only if its time is over before the end: what was sent
LATE = 2.8
# later than 3 s after SIGTERM must not be cut, however long its server takes
END = 0.4  # s before the end of the grace by which all is answered
NO_CLASS = it.RequestClass("none", 1_000_000, 30_000_000, it.Repeat.UNSAFE, late_worth=0.5)


class ListedEndpoint(Entry):
    """A server, as the core tells of it."""

    __slots__ = ("capacity", "cold_until", "service")

    def __init__(self, raw: dict[str, Any], service: str, capacity: int, cold_until: int) -> None:
        super().__init__(raw)
        self.service, self.capacity, self.cold_until = service, capacity, cold_until


class DataPlaneNode:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.rpc_peer = RpcPeer((settings.ip, settings.own_port), self._hear, self._handle)
        seeds = [format_address(settings.core_address(seed)) for seed in settings.seeds]
        self.config_client = ConfigClient(self._loop.time(), seeds)
        self.leader_client = LeaderClient(
            self.rpc_peer,
            lambda: self.config_client.control_addresses,
            lambda: self.config_client.peer_addresses(self.rpc_peer.own),
        )
        self.rpc_peer.lost = self._lost
        self._lookups = Lookups(settings.name)
        self._leaving, self._until = False, float("inf")  # when it must be done, once it leaves
        self._late = float("inf")  # from when on it begins only what is over by then in any case
        self._zones = {zone: number for number, zone in enumerate(sorted(settings.zones))}
        self._regions = {r: number for number, r in enumerate(sorted(set(settings.zones.values())))}
        self._services: dict[str, int] = {}
        self._service_names: dict[int, str] = {}
        self._customers: dict[str, int] = {}
        self._tenants: dict[int, str] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._readyz, self._dir = HttpServer(self._ready_door), HttpServer(self._lookup_api)
        self._stage()

    def _stage(self) -> None:
        settings = self.settings
        first = self._first_settings()
        self.policy = ReconfigurablePolicy(first, random.getrandbits(32), EndpointSelector)
        self.policy.in_touch, self.policy.alone_since = self.in_touch, self._alone_since
        self.sockets = Sockets(settings.max_open_files - 200)
        self.engine = ReconfigurableEngine(
            self.policy, first, Names(first, {}), self._loop, self.clock.now
        )
        self.policy.plan_number = self.engine.number_of_plan
        self.engine.refusals, self.engine.ends_passing = (429, 503), True
        self.engine.describe = self._describe
        self.backends = Backends(self.sockets, IDLE, CONNECT)
        self.backends.relays, self.backends.judge, self.backends.strict = True, judge, True
        self.backends.stalled = float("inf")
        self.backends.unacked_ms = SERVER_UNACKED
        self.engine.servers = self.backends
        reading = RequestRouter(self, random.Random(), self.clock.now)
        memory = Memory(settings.memory_mb / 2)
        self.listener = Listener(self.engine, self.sockets, memory, self.clock.now, reading)
        self.listener.up = b""
        selector = self.policy.selector
        self.selector = selector
        self.units = QuotaClient(
            self.leader_client,
            self.clock.now,
            self.in_touch,
            self._named,
            lambda n: self._tenants.get(n, ""),
            lambda name: t.rate_per_s if (t := self.route_table.tenants.get(name)) else 0.0,
            selector.deny,
        )
        self.engine.lessor = self.engine.dealer = self.units
        self._set_place()

    def _first_settings(self) -> it.Settings:
        """Without a configuration."""
        limits = it.Limits(
            max_attempts=6,
            advises_retry=True,
            max_retry_after=RETRY_AFTER,
            connect_timeout=CONNECT,
            patient=True,
            promises=True,
            may_cancel=True,
        )
        counter = it.CounterLimits(
            True,
            round(LEASE_TRY_TIMEOUT_S * 1e6),
            calls_out=1e6,
            part=0.25,
            strict=True,
            expiry=round(QUOTA_GRANT_LIFE_S * 0.95 * 1e6),
        )
        return it.Settings(
            0,
            self._fleet_size(),
            self._zones.get(self.settings.zone, 0),
            50_000,
            (NO_CLASS,),
            (it.Plan("", 0.0, 0.0),),
            limits,
            it.Safety(0, 0, 1.0, 1, 1.0, 1),
            counter,
        )

    def _plan(self, tenant: Tenant) -> it.Plan:
        rate, burst = tenant.rate_per_s, tenant.burst
        most = max_saved_units(rate, burst, self.settings.bounds)
        return it.Plan(tenant.name, rate, max(1.0, burst) if rate else 0.0, saved_most=most)

    def _fleet_size(self) -> int:
        return max(1, self.config_client.ingress_count)

    async def start(self) -> None:
        await self.rpc_peer.listen()
        await self._readyz.listen(self.settings.listen["readyz"])
        if "dir" in self.settings.listen:
            await self._dir.listen(self.settings.listen["dir"])
        await self.listener.listen(*self.settings.listen["http"])
        self._tasks = [self._loop.create_task(self._asks())]

    async def stop(self) -> None:
        """In order: out of what clients are told, then nothing new, then the end; nothing is broken
        off while a server is at work and the grace lasts."""
        grace = self.settings.bounds.grace
        until = self._loop.time() + grace - END
        self._leaving = True
        self.listener.begin_stop()
        farewell = self._loop.create_task(self._say_leaving())
        self._until, self._late = until, until + END - grace + LATE
        await asyncio.sleep(max(0.0, grace - ACCEPTS_ON))
        self.listener.stop_listening()
        done = asyncio.Event()
        self.engine.idle = done.set
        if self.engine.open:
            try:
                async with asyncio.timeout_at(until):
                    await done.wait()
            except TimeoutError:
                self.engine.give_up()
        while self.listener.connections and self._loop.time() < until + 0.2:
            await asyncio.sleep(0.01)
        farewell.cancel()
        for task in [*self._tasks, *self.units.calls]:
            task.cancel()
        self._readyz.stop()
        self._dir.stop()
        self.rpc_peer.stop()
        self.backends.stop()

    async def _say_leaving(self) -> None:
        while True:
            ask = pb.Envelope(
                watch_request=self.config_client.watch_request(self._node(), self._loop.time(), 0.0)
            )
            try:
                await self.leader_client.call(ask, WATCH_TIMEOUT_S, 1.0)
                return
            except CallError:
                await asyncio.sleep(0.2)

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed: other seeds; those told of before stay known."""
        self.settings = settings
        self.config_client.add_control_addresses(
            format_address(settings.core_address(seed)) for seed in settings.seeds
        )

    # What is known, for those who ask at the moment they act.

    def may_serve(self) -> bool:
        return self.config_client.may_serve(self._loop.time())

    def may_begin(self, cls: int, timeout: int) -> bool:
        """It can be answered before this process ends. `timeout`: us that it may take at the
        most."""
        now = self._loop.time()
        in_time = now < self._late or now + timeout / 1e6 < self._until
        return in_time and now + ROOM * self.selector.usual_latency[cls] / 1e6 < self._until

    def service(self, name: str) -> int:
        number = self._services.setdefault(name, len(self._services) + 1)
        self._service_names[number] = name
        return number

    def regions(self, homes: frozenset[str]) -> frozenset[int]:
        return frozenset(self._regions[h] for h in homes if h in self._regions)

    def customer(self, tenant: str) -> int:
        number = self._customers.setdefault(tenant, len(self._customers) + 1)
        self._tenants[number] = tenant
        return number

    def spread(self) -> int:
        return self.config_client.ingress_count or 1_000_000

    @property
    def route_table(self) -> RouteTable:
        return self.config_client.route_table

    def in_touch(self) -> bool:
        return self.config_client.in_contact(self._loop.time())

    def _alone_since(self) -> int:
        """us since when it may spend without the counter, or a little later; now, while it may
        not."""
        now = self._loop.time()
        return self.clock.now() - round(
            max(0.0, now - self.config_client.isolated_since(now)) * 1e6
        )

    def stands(self, server: str, service: str) -> bool:
        return self.config_client.is_available(server, service)

    def ready(self) -> bool:
        return self._prepared() and self.may_serve() and not self._leaving

    def _prepared(self) -> bool:
        """It has a configuration, and a server of each service that this names: clients sent here
        before would be refused. A service without any is waited for no longer than servers take to
        say that they are there."""
        if not self.route_table.gen or not self.selector.ready_by_service:
            return False
        return self.config_client.endpoints_complete or all(
            self.service(name) in self.selector.ready_by_service
            for name in self.route_table.service_references
        )

    def _lost(self, address: str) -> None:
        """The leader's connection has ended: there as well, or the leader has."""
        if address == self.leader_client.hint:
            self.config_client.connection_lost(self._loop.time())

    # Doors.

    async def _ready_door(self, method: str, target: str, body: bytes) -> Answer:
        found = match(READY, method, target)
        if isinstance(found, RouteFailure):
            return wrong(found.status, found.why)
        return told(
            200 if self.ready() else 503, {"ready": self.ready(), "gen": self.route_table.gen}
        )

    async def _lookup_api(self, method: str, target: str, body: bytes) -> Answer:
        """Goes on without a core, by what was last told."""
        found = match(LOOKUP_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return wrong(found.status, found.why)
        if found.call == "ready":
            return await self._ready_door(method, target, body)
        nodes, cursor = self.config_client.nodes.values(), self.config_client.cursor
        return self._lookups.answer(
            target,
            nodes,
            self.settings.bounds.ttl_max,
            self.route_table,
            (cursor.epoch, cursor.nodes_version, self.route_table.gen),
        )

    def _hear(self, envelope: pb.Envelope) -> None:
        """Nothing is told here unasked."""

    async def _handle(self, envelope: pb.Envelope) -> pb.Envelope:
        raise RejectedError("only passed on here")

    # News.

    def _node(self) -> pb.Node:
        settings = self.settings
        return pb.Node(
            name=settings.name,
            incarnation=self.rpc_peer.life,
            address=self.rpc_peer.own,
            http_address=format_address(settings.listen["http"]),
            zone=settings.zone,
            region=settings.region,
            kind="edge",
            ready=self._prepared(),
            draining=self._leaving,
        )

    async def _asks(self) -> None:
        while True:
            wait = (
                long_poll_timeout(self.config_client.ingress_count)
                if self.config_client.ingress_count
                else MAX_LONG_POLL_S
            )  # at first it may take a while
            node, asked = self._node(), self._loop.time()
            ask = pb.Envelope(watch_request=self.config_client.watch_request(node, asked, wait))
            try:
                answer = await self.leader_client.call(ask, WATCH_TIMEOUT_S, response_timeout(wait))
            except CallError as failure:
                self.config_client.request_failed()
                if not self.may_serve():
                    log_event(Event.NO_LEADER, "%s", failure)
                await asyncio.sleep(random.uniform(0.05, 0.15))
                continue
            if answer.WhichOneof("body") == "watch_response":
                try:
                    self._apply(answer.watch_response, node, asked)
                except Exception as error:
                    log_event(Event.FAILED, "cue: %r", error)
                    raise
            if self._leaving:
                await asyncio.sleep(0.5)

    def _apply(self, watch_response: pb.WatchResponse, node: pb.Node, asked: float) -> None:
        changed = self.config_client.apply(
            watch_response, node, asked, self._loop.time(), self.clock.now()
        )
        if changed is None:
            return
        if changed.rejection_reason:
            log_event(Event.DELTA_DROPPED, "%s", changed.rejection_reason)
            return
        if changed.route_table_changed:
            self._take_bill(self.config_client.route_table, changed.table_change)
        if changed.placement_changed:
            self._set_place()
        if changed.endpoints_changed:
            self._list_servers(changed.changed_endpoints)

    def _take_bill(self, route_table: RouteTable, items: TableChange | None) -> None:
        limits = route_table.limits
        self.listener.idle_for = parse_duration(limits.get("idleTimeout", "15s"))
        self.listener.head_for = parse_duration(limits.get("headerTimeout", "3s"))
        self.listener.max_head = max(MAX_HEAD, limits.get("maxHeaderBytes", 0))
        self.listener.max_body = max(MAX_BODY, limits.get("maxBodyBytes", 0))
        classes = (
            route_table.request_classes.values()
            if items is None
            else [route.request_class for route in items.routes]
        )
        tenants = route_table.tenants.values() if items is None else items.tenants
        self.engine.adjust(self._fleet_size(), classes, [self._plan(tenant) for tenant in tenants])
        log_event(Event.CONFIG_APPLIED, "gen %d", route_table.gen)

    def _set_place(self) -> None:
        bounds, placement = self.settings.bounds, self.selector.placement
        placement.zone = self._zones.get(self.settings.zone, -1)
        placement.region = self._regions.get(self.settings.region, -1)
        placement.ingress_count = max(1, self.config_client.ingress_count)
        placement.ingresses_by_zone = {}
        for node in self.config_client.nodes.values():
            if node.kind == "edge" and not node.draining:
                zone = self._zones.get(node.zone, -1)
                placement.ingresses_by_zone[zone] = placement.ingresses_by_zone.get(zone, 0) + 1
        placement.retry_ratio, placement.retry_slack = bounds.retry_ratio, bounds.retry_slack
        self.selector.update_slots()

    def _list_servers(self, named: frozenset[str] | None) -> None:
        """Those named, of which some may be gone; None: all there are, and no others."""
        servers, entries = self.config_client.endpoints, list[Entry]()
        for id in servers if named is None else named:
            try:
                if id in servers:
                    entries.append(self._standing(servers[id]))
                    continue
            except ValueError as error:
                log_event(Event.FAILED, "server %s: %s", id, error)
            if self.engine.knows(id):
                entries.append(ListedEndpoint({"name": id, "status": "removed"}, "", 0, 0))
        self.engine.listed(
            Listing.of(self.config_client.cursor.endpoints_version, entries, named is None)
        )

    def _standing(self, known: KnownEndpoint) -> ListedEndpoint:
        server = known.endpoint
        away = server.state != "ready" or server.zone in self.config_client.evacuated_zones
        raw = {
            "name": server.id,
            "address": server.address,
            "zone": server.zone,
            "status": "draining" if away else "up",
        }
        return ListedEndpoint(raw, server.service, server.capacity, known.warmup_until_us)

    def _describe(self, entry: Entry, number: int) -> it.ListedBackend:
        assert isinstance(entry, ListedEndpoint)
        if entry.status == "removed":
            return it.ListedBackend(number, it.BackendState.GONE, -1, 0, 0, 1.0, 0, number)
        state = it.BackendState.READY if entry.status == "up" else it.BackendState.DRAINING
        zone = self._zones.get(entry.zone, -1)
        region = self._regions.get(self.settings.zones.get(entry.zone, ""), -1)
        return it.ListedBackend(
            number,
            state,
            zone,
            0,
            0,
            1.0,
            0,
            number,
            self.service(entry.service),
            region,
            entry.capacity,
            entry.cold_until,
        )

    def _named(self, kind: str, number: int) -> str:
        return self._service_names[number] if kind == RETRY else self.engine.name_of(number)
