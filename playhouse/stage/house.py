"""A data-plane ingress's process: the ingress of `ironledge`, fed with the news of the core."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from ironledge import interface as it
from ironledge.brain import Gateway
from ironledge.interface import Outcome
from ironledge.net.backends import Backends
from ironledge.net.bodies import Memory
from ironledge.net.clients import Listener
from ironledge.net.discovery import Entry, Listing
from ironledge.net.engine import Answered, Clock, Engine, Names
from ironledge.net.sockets import Sockets
from playhouse.boxoffice.purse import FURTHER
from playhouse.boxoffice.till import EXPIRY
from playhouse.company.roll import LOST, hold
from playhouse.errors import Code, SystemFailure
from playhouse.events import Event, note
from playhouse.foyer.lookup import lookup
from playhouse.script.playbill import Playbill
from playhouse.settings import Settings, seconds, shown
from playhouse.stage.choice import Rows
from playhouse.stage.dialect import judge
from playhouse.stage.reading import Reading
from playhouse.stagedoor.doors import Answer, Doors, told, wrong
from playhouse.stagedoor.tree import FOYER, READY, Wrong, match
from playhouse.wings import cues_pb2 as pb
from playhouse.wings.links import Wings
from playhouse.wings.reach import Reach

ASK_WITHIN = 3.0  # s for an answer over all tries
DRIFT = 0.02  # of a lease, by which the two clocks may differ
LEASE_WAIT, LEASE_PATIENCE = 0.5, 0.2  # s for the counter's answer over all tries, and for one
DEAL_WAIT = 0.2  # s for units to be dealt
DENIED = 200_000  # us for which no unit is asked for where nobody answered
LEASE_PAUSE = 0.03  # s before it is asked again where it said no
RETRY_AFTER = 300_000  # us that a refused client is told to wait: T0, d_0
CONNECT = 400_000  # us for a connection to a server: a region is 40 ms away and back
IDLE = 6_000_000  # us that an idle connection to a server is kept, if it does not say how long
SERVER_UNACKED = 900  # ms without an acknowledgement after which a server counts as gone
ACCEPTS_ON = (
    0.9  # s before the end of the grace until which connections are taken after SIGTERM: old lists name it
)
ROOM = 1.5  # usual answers' times that a request wants to have before the end, to be begun after SIGTERM
END = 0.4  # s before the end of the grace by which all is answered
NO_CLASS = it.RequestClass("none", 1_000_000, 30_000_000, it.Repeat.UNSAFE, late_worth=0.5)


class Standing(Entry):
    """A server, as the core tells of it."""

    __slots__ = ("capacity", "cold_until", "service")

    def __init__(self, raw: dict[str, Any], service: str, capacity: int, cold_until: int) -> None:
        super().__init__(raw)
        self.service, self.capacity, self.cold_until = service, capacity, cold_until


@dataclass(slots=True)
class Known:
    server: pb.Server
    cold_until: int  # us


class House:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.wings = Wings((settings.ip, settings.own_port), self._hear, self._handle)
        self._cores = [shown(settings.core_door(seed)) for seed in settings.seeds]  # every one ever told of
        self.reach = Reach(self.wings, lambda: self._cores, self._peers)
        self.bill = Playbill({})
        self.servers: dict[str, Known] = {}
        self.nodes: dict[str, pb.Node] = {}  # those here, by name
        self.evacuated: frozenset[str] = frozenset()
        self.lease_end = self.heard_at = float("-inf")
        self._counting = False
        self._settled = False  # in this life it has been told of all servers that there were
        self._seen: tuple[str, int, int, int, int] = ("", 0, 0, 0, 0)
        self._clock = (0, 0.0)  # what the newest cue said of the leader's, in ms, and when it came
        self._told: tuple[str, pb.Node] | None = None  # what the leader knows of it, and in which epoch
        self.wings.lost = self._lost
        self._began = self._loop.time()
        self._leaving, self._until = False, float("inf")  # when it must be done, once it leaves
        self._zones = {zone: number for number, zone in enumerate(sorted(settings.zones))}
        self._regions = {r: number for number, r in enumerate(sorted(set(settings.zones.values())))}
        self._services: dict[str, int] = {}
        self._service_names: dict[int, str] = {}
        self._customers: dict[str, int] = {}
        self._tenants: dict[int, str] = {}
        self._edges = 0  # ingresses that shares are parted over; 0: never told, so none may be spent
        self._tasks: list[asyncio.Task[Any]] = []
        self._calls: set[asyncio.Task[None]] = set()  # leases and deals under way
        self._readyz, self._dir = Doors(self._ready_door), Doors(self._foyer)
        self._stage()

    def _stage(self) -> None:
        settings = self.settings
        first = self._settings_of(self.bill)
        self.gateway = Gateway(first, random.getrandbits(32), Rows)
        self.gateway.in_touch = self.in_touch
        self.sockets = Sockets(settings.descriptors - 200)
        self.engine = Engine(self.gateway, first, Names(first, {}), self._loop, self.clock.now)
        self.engine.refusals = (429, 503)
        self.engine.describe = self._describe
        self.engine.lessor = self.engine.dealer = self
        self.backends = Backends(self.sockets, IDLE, CONNECT)
        self.backends.relays, self.backends.judge, self.backends.strict = True, judge, True
        self.backends.stalled = float("inf")
        self.backends.unacked_ms = SERVER_UNACKED
        self.engine.servers = self.backends
        reading = Reading(self, random.Random(), self.clock.now)
        memory = Memory(settings.memory_mb / 2)
        self.listener = Listener(self.engine, self.sockets, memory, self.clock.now, reading)
        self.listener.up = b""
        rows = self.gateway.fleet
        assert isinstance(rows, Rows)
        self.rows = rows
        self._set_place()

    def _settings_of(self, bill: Playbill) -> it.Settings:
        plans = tuple(
            it.Plan(t.name, t.rate, max(1.0, t.burst) if t.rate else 0.0) for t in bill.tenants.values()
        )
        limits = it.Limits(
            max_attempts=6,
            advises_retry=True,
            max_retry_after=RETRY_AFTER,
            connect_timeout=CONNECT,
            patient=True,
            promises=True,
        )
        counter = it.CounterLimits(
            True,
            round(LEASE_PATIENCE * 1e6),
            calls_out=1e6,
            part=0.25,
            strict=True,
            expiry=round(EXPIRY * 0.95 * 1e6),
        )
        return it.Settings(
            0, max(1, self._edges), self._zones.get(self.settings.zone, 0), 50_000,
            (NO_CLASS, *bill.classes.values()), (it.Plan("", 0.0, 0.0), *plans), limits,
            it.Safety(0, 0, 1.0, 1, 1.0, 1), counter,
        )  # fmt: skip

    async def start(self) -> None:
        await self.wings.listen()
        await self._readyz.listen(self.settings.listen["readyz"])
        if "dir" in self.settings.listen:
            await self._dir.listen(self.settings.listen["dir"])
        await self.listener.listen(*self.settings.listen["http"])
        self._tasks = [self._loop.create_task(self._asks())]

    async def stop(self) -> None:
        """In order: out of what clients are told, then nothing new, then the end; nothing is broken off
        while a server is at work and the grace lasts."""
        grace = self.settings.bounds.grace
        until = self._loop.time() + grace - END
        self._leaving = True
        self.listener.begin_stop()
        farewell = self._loop.create_task(self._say_leaving())
        self._until = until
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
        for task in [*self._tasks, *self._calls]:
            task.cancel()
        self._readyz.stop()
        self._dir.stop()
        self.wings.stop()
        self.backends.stop()

    async def _say_leaving(self) -> None:
        while True:
            epoch, script, _, _, gen = self._seen
            ask = pb.Ask(
                node=self._node(), epoch=epoch, script=script, gen=gen, wait_ms=0, clock_ms=self._clock_ms(),
                counting=self._counting,
            )  # fmt: skip
            try:
                await self.reach.call(pb.Envelope(ask=ask), ASK_WITHIN, 1.0)
                return
            except SystemFailure:
                await asyncio.sleep(0.2)

    def resettle(self, settings: Settings) -> None:
        """The settings file has changed: other seeds; those told of before stay known."""
        self.settings = settings
        self._know_cores(shown(settings.core_door(seed)) for seed in settings.seeds)

    # What is known, for those who ask at the moment they act.

    def may_serve(self) -> bool:
        return self._loop.time() < self.lease_end

    def may_begin(self, cls: int) -> bool:
        """It can be answered before this process ends."""
        return self._loop.time() + ROOM * self.rows.usual[cls] / 1e6 < self._until

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
        return self._edges or 1_000_000

    def in_touch(self) -> bool:
        """The counter counts, and heard of this ingress so lately that it knows it does not spend by
        itself."""
        return self._counting and self._loop.time() < self.heard_at + hold(self._edges) + LOST

    def stands(self, server: str, service: str) -> bool:
        known = self.servers.get(server)
        if known is None or known.server.state != "ready" or known.server.service != service:
            return False
        return known.server.zone not in self.evacuated

    def ready(self) -> bool:
        return self._prepared() and self.may_serve() and not self._leaving

    def _prepared(self) -> bool:
        """It has a configuration, and a server of each service that this names: clients sent here before
        would be refused. A service without any is waited for no longer than servers take to say that they are
        there."""
        if not self.bill.gen or not self.rows.rows:
            return False
        return self._settled or all(self.service(name) in self.rows.rows for name in self.bill.named)

    def _lost(self, door: str) -> None:
        """The leader's connection has ended: there as well, or the leader has."""
        if door == self.reach.hint:
            self.heard_at = float("-inf")

    def _peers(self) -> list[str]:
        return [n.door for n in self.nodes.values() if n.kind == "edge" and n.door != self.wings.own]

    def _know_cores(self, doors: Any) -> None:
        for door in doors:
            if door not in self._cores:
                self._cores.append(door)

    # Doors.

    async def _ready_door(self, method: str, target: str, body: bytes) -> Answer:
        found = match(READY, method, target)
        if isinstance(found, Wrong):
            return wrong(found.status, found.why)
        return told(200 if self.ready() else 503, {"ready": self.ready(), "gen": self.bill.gen})

    async def _foyer(self, method: str, target: str, body: bytes) -> Answer:
        """Goes on without a core, by what was last told."""
        found = match(FOYER, method, target)
        if isinstance(found, Wrong):
            return wrong(found.status, found.why)
        if found.call == "ready":
            return await self._ready_door(method, target, body)
        return lookup(target, list(self.nodes.values()), self.settings.bounds.ttl_max)

    def _hear(self, envelope: pb.Envelope) -> None:
        """Nothing is told here unasked."""

    async def _handle(self, envelope: pb.Envelope) -> pb.Envelope:
        raise SystemFailure(Code.REFUSED, "only passed on here")

    # News.

    def _node(self) -> pb.Node:
        settings = self.settings
        return pb.Node(
            name=settings.name, life=self.wings.life, door=self.wings.own,
            http=shown(settings.listen["http"]), zone=settings.zone, region=settings.region, kind="edge",
            ready=self._prepared(), leaving=self._leaving,
        )  # fmt: skip

    async def _asks(self) -> None:
        while True:
            epoch, script, servers, nodes, gen = self._seen
            node = self._node()
            ask = pb.Ask(
                epoch=epoch, script=script, gen=gen, servers=servers, nodes=nodes,
                wait_ms=round(hold(self._edges) * 1000), counting=self._counting,
                idle_ms=0 if self._edges else round((self._loop.time() - self._began) * 1000),
                clock_ms=self._clock_ms(),
            )  # fmt: skip
            if (epoch, node) == self._told:
                ask.name, ask.life = node.name, node.life
            else:
                ask.node.CopyFrom(node)
            asked = self._loop.time()
            try:
                answer = await self.reach.call(pb.Envelope(ask=ask), ASK_WITHIN, hold(self._edges) + 0.35)
            except SystemFailure as failure:
                self._told = None
                if not self.may_serve():
                    note(Event.NO_HOLDER, "%s", failure)
                await asyncio.sleep(random.uniform(0.05, 0.15))
                continue
            if answer.WhichOneof("body") == "cue":
                try:
                    self._apply(answer.cue, asked)
                    self._told = (answer.cue.epoch, node)
                except Exception as error:
                    note(Event.FAILED, "cue: %r", error)
                    raise
            if self._leaving:
                await asyncio.sleep(0.5)

    def _clock_ms(self) -> int:
        """On the leader's clock, or behind it."""
        said, came = self._clock
        return int(said + (self._loop.time() - came) * 1000 * (1 - DRIFT)) if said else 0

    def _apply(self, cue: pb.Cue, asked: float) -> None:
        if cue.script < self._seen[1]:
            return  # from one that is behind: nothing goes back within a life
        now = self.clock.now()
        if cue.has_script:
            self.evacuated = frozenset(cue.evacuated)
        if cue.has_content:
            self._take_bill(Playbill(json.loads(zlib.decompress(cue.content)) if cue.content else {}))
        if cue.servers_whole:
            self.servers = {}
        for server in cue.server:
            self._know_server(server, now)
        if cue.nodes_whole:
            self.nodes = {}
        for name in cue.node_gone:
            self.nodes.pop(name, None)
        self.nodes.update((n.name, n) for n in cue.node)
        self._know_cores(n.door for n in cue.node if n.kind == "core")
        self._counting, self._settled = cue.counting, self._settled or cue.settled
        self._edges = cue.share_of if cue.counting else max(self._edges, cue.share_of)
        if cue.node or cue.node_gone or cue.nodes_whole or cue.has_content:
            self._set_place()
        if cue.server or cue.servers_whole or cue.has_script:
            self._list_servers()
        self._seen = (cue.epoch, cue.script, cue.servers, cue.nodes, cue.gen)
        self.heard_at = self._loop.time()
        self._clock = (cue.clock_ms, self.heard_at)
        self.lease_end = asked + cue.lease_ms / 1000 * (1 - DRIFT)

    def _know_server(self, server: pb.Server, now: int) -> None:
        if server.state == "gone":
            self.servers.pop(server.id, None)
        else:
            self.servers[server.id] = Known(server, now + server.cold_ms * 1000 if server.cold_ms else 0)

    def _take_bill(self, bill: Playbill) -> None:
        self.bill = bill
        limits = bill.limits
        self.listener.idle_for = seconds(limits.get("idleTimeout", "15s"))
        self.listener.head_for = seconds(limits.get("headerTimeout", "3s"))
        self.engine.retune(self._settings_of(bill), {})
        note(Event.NEWS_APPLIED, "gen %d", bill.gen)

    def _set_place(self) -> None:
        bounds, place = self.settings.bounds, self.rows.place
        place.zone = self._zones.get(self.settings.zone, -1)
        place.region = self._regions.get(self.settings.region, -1)
        place.edges = max(1, self._edges)
        place.edges_in = {}
        for node in self.nodes.values():
            if node.kind == "edge" and not node.leaving:
                zone = self._zones.get(node.zone, -1)
                place.edges_in[zone] = place.edges_in.get(zone, 0) + 1
        place.ratio, place.slack = bounds.retry_ratio, bounds.retry_slack
        self.rows.placed()

    def _list_servers(self) -> None:
        entries: list[Entry] = []
        for known in self.servers.values():
            server = known.server
            away = server.state != "ready" or server.zone in self.evacuated
            raw = {
                "name": server.id, "address": server.addr, "zone": server.zone,
                "status": "draining" if away else "up",
            }  # fmt: skip
            try:
                entries.append(Standing(raw, server.service, server.capacity, known.cold_until))
            except ValueError as error:
                note(Event.FAILED, "server %s: %s", server.id, error)
        self.engine.listed(Listing.of(self._seen[2], entries, True))

    def _describe(self, entry: Entry, number: int) -> it.ListedBackend:
        assert isinstance(entry, Standing)
        state = it.BackendState.READY if entry.status == "up" else it.BackendState.DRAINING
        zone = self._zones.get(entry.zone, -1)
        region = self._regions.get(self.settings.zones.get(entry.zone, ""), -1)
        return it.ListedBackend(
            number, state, zone, 0, 0, 1.0, 0, number, self.service(entry.service), region, entry.capacity,
            entry.cold_until,
        )  # fmt: skip

    # Units that are dealt, and the counter: both are at the leader of the duty.

    def deal(self, units: tuple[it.Unit, ...], dealt: Callable[[int], None]) -> None:
        self._keep(self._deal(units, dealt))

    async def _deal(self, units: tuple[it.Unit, ...], dealt: Callable[[int], None]) -> None:
        asked, until, wait = self.clock.now(), 0, DENIED
        deal = pb.Deal(whole=[f"{kind}/{self._named(kind, number)}" for kind, number in units])
        try:
            if self.in_touch():
                answer = (await self.reach.call(pb.Envelope(deal=deal), DEAL_WAIT, DEAL_WAIT)).dealt
                until = asked + round(answer.life_ms * 1000 * (1 - DRIFT)) if answer.all else 0
                wait = answer.wait_ms * 1000
        except SystemFailure:
            pass
        if not until:
            now = self.clock.now()
            self.rows.denied(units, now, now + wait)
        dealt(until)

    def _named(self, kind: str, number: int) -> str:
        return self._service_names[number] if kind == FURTHER else self.engine.name_of(number)

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def lease(self, customer: int, amount: float, told: float, answered: Answered) -> None:
        self._keep(self._lease(self._tenants.get(customer, ""), amount, told, answered))

    async def _lease(self, tenant: str, amount: float, told: float, answered: Answered) -> None:
        asked = pb.Lease(tenant=tenant, amount=amount, told=told)
        try:
            answer = await self.reach.call(pb.Envelope(lease=asked), LEASE_WAIT, LEASE_PATIENCE)
        except SystemFailure as failure:
            if failure.code not in (Code.SILENT, Code.UNREACHABLE):
                await asyncio.sleep(LEASE_PAUSE)
            answered(Outcome.RESET, 0.0)  # asked anew while there is time, or spent without the counter
            return
        answered(Outcome.OK, 0.0, answer.leased.left)
