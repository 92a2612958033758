"""A core machine's process: its part of the promptbook, the duty while it holds it, and the calls of
others."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
from dataclasses import dataclass
from typing import Any

from playhouse.callboard.board import Board
from playhouse.callboard.collector import Collector
from playhouse.company.roll import Roll
from playhouse.errors import Code, SystemFailure
from playhouse.events import Event, note
from playhouse.foyer.lookup import lookup
from playhouse.promptbook import codec
from playhouse.promptbook.machine import Machine, founded, founder
from playhouse.promptbook.messages import (
    Member,
    Step,
)
from playhouse.promptbook.replica import Role
from playhouse.promptbook.store import Store, StoreError
from playhouse.promptbook.upkeep import Upkeep, uncollected
from playhouse.script.state import Command, State, Verb
from playhouse.script.stored import FormatError
from playhouse.settings import Settings, shown
from playhouse.stagedoor.doors import Answer, Doors, told, wrong
from playhouse.stagedoor.tree import CONTROL, FOYER, Wrong, match
from playhouse.understudy.desk import Desk
from playhouse.understudy.duty import Duty, server_in
from playhouse.wings import cues_pb2 as pb
from playhouse.wings.links import Wings
from playhouse.wings.reach import Reach

TICK = 0.05  # s
LEAVE = 1.0  # s for another to take over what this one holds, when it ends
DECIDE = 3.0  # s for a majority to have a change on disk
ENTRIES = 128  # after each so many in the log a snapshot takes their place ...
BYTES = 4 * 1024 * 1024  # ... or so many bytes of them
LARGE = 64 * 1024  # bytes of a command that makes many objects
PASS_ON = 2.5  # s for the leader to answer what is passed on to it
ASK_WAIT = 1.0  # s that the leader may keep an ask for news
REPORT = 0.6  # beats between reports of those that said nothing new
STRIKE = 10.0  # s between looks for ingresses that hold no lease any longer


@dataclass(slots=True)
class Pending:
    term: int
    future: asyncio.Future[bool]


class Core:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._loop = asyncio.get_running_loop()
        assert settings.state is not None
        self._store = Store(settings.state)
        own = (settings.ip, settings.own_port)
        self.wings = Wings(own, self._hear, self._handle)
        self._doors = [shown(settings.core_door(seed)) for seed in settings.seeds]
        disk, kept = self._begin(shown(own))
        self.me = Member(shown(own), disk, settings.zone, settings.region)
        self.machine = Machine(
            self.me, kept, self.now(), random.Random(), doors=self._doors, tolerance=settings.tolerance
        )
        try:
            self.state = State.read(kept.snapshot.state)
        except FormatError as error:
            raise StoreError(f"the state cannot be read: {error}") from error
        self.upkeep = Upkeep(self._store, self.machine, self._do, self.now)
        self.board, self.roll = Board(), Roll()
        self.duty: Duty | None = None
        self._pending: dict[int, Pending] = {}
        self._news = asyncio.Event()
        self._seen: tuple[str, int, int] = ("", 0, 0)  # epoch, servers, nodes
        self._collector = Collector(settings, self.board, self.roll)
        self.reach = Reach(self.wings, self._cores, self._peers)
        self._web = [Doors(self._take, self._was_read), Doors(self._foyer)]
        self._tasks: list[asyncio.Task[Any]] = []
        self.desk = Desk(self)
        self.wings.system = self._store.system() or self.state.system
        self._named_in = 0  # the term in which this one has drawn the system's name
        self._known_members: tuple[Member, ...] = ()  # by object: roles and places are told as well
        self._joining: set[str] = set()
        self._striking: set[str] = set()  # no lease is granted to these until it is known what became of that

    def _begin(self, own: str) -> tuple[str, Any]:
        """An empty disk is given a name. Only at the first start of all is it that of a founder: any other
        is a new member's, whatever the disk before it knew."""
        disk = self._store.disk()
        if disk:
            return disk, self._store.load()
        first = self.settings.bootstrap and own in self._doors
        disk = founder(own).disk if first else f"{random.SystemRandom().getrandbits(64):016x}"
        kept = founded(founder(door) for door in self._doors) if first else founded(())
        self._store.begin(disk, kept)
        note(Event.DISK_NAMED, "%s", disk)
        return disk, kept

    def now(self) -> float:
        return self._loop.time()

    def _cores(self) -> list[str]:
        return list(dict.fromkeys([*(m.door for m in self.machine.voters), *self._doors]))

    def _peers(self) -> list[str]:
        return [held.node.door for held in self.roll.leases.values() if held.node.kind == "edge"]

    def resettle(self, settings: Settings) -> None:
        """The settings file has changed: other seeds."""
        self.settings = settings
        self._doors = [shown(settings.core_door(seed)) for seed in settings.seeds]
        self.machine.doors, self.machine.tolerance = tuple(self._doors), settings.tolerance

    async def start(self) -> None:
        await self.wings.listen()
        listen = self.settings.listen
        for doors, name in zip(self._web, ("ctl", "dir"), strict=True):
            if name in listen:
                await doors.listen(listen[name])
        self._tasks = [
            self._loop.create_task(work())
            for work in (self._ticks, self._upkeep, self._asks, self._reports, self._strike)
        ]

    async def stop(self) -> None:
        for doors in self._web:
            doors.stop()
        await self._leave()
        await asyncio.sleep(0.2)
        for task in self._tasks:
            task.cancel()
        self.wings.stop()
        self._store.close()

    # The promptbook.

    async def _leave(self) -> None:
        """Others hold the leadership and, where one can step in, this one's vote; within LEAVE."""
        until = self.now() + LEAVE
        self.machine.leave()
        while not self.machine.is_out() and self.now() < until:
            await asyncio.sleep(TICK)
        leads = self.machine.role is Role.LEADER
        note(Event.LEAVING, "leads %s, votes %s", leads, self.machine.may_stand())

    async def _ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            try:
                self._do(self.machine.tick(self.now()))
                if self.duty and self.duty.tick(self.now()):
                    self.publish()
                self._draw_name()
            except Exception as error:
                note(Event.FAILED, "tick: %r", error)
                raise

    async def _upkeep(self) -> None:
        while True:
            await asyncio.sleep(self.upkeep.work())

    def _write(self, step: Step) -> None:
        """What is not on disk must not be said: where it cannot be put there this life ends, as by a kill."""
        try:
            self._store.write(step.writes)
        except StoreError as error:
            note(Event.DISK_FAILED, "%s", error)
            os._exit(1)

    def _do(self, step: Step) -> None:
        """Carries a step out, in order: on disk, to the others, then here."""
        if step.writes:
            self._write(step)
        for door, message in step.sends:
            self.wings.tell(door, pb.Envelope(log_message=codec.message_out(message)))
        if step.dropped:
            note(Event.SNAPSHOT_DROPPED, "%s", step.dropped)
        if step.restored:
            self.state = self.upkeep.read
        for entry in step.delivered:
            applied = False
            if entry.data:
                with uncollected() if len(entry.data) > LARGE else contextlib.nullcontext():
                    applied = self.state.apply(Command.read(entry.data))
            if entry.index % ENTRIES == 0:  # alike at all members: who leads next goes on with the same
                self.upkeep.make(self.state.raw(), entry.index)
            pending = self._pending.pop(entry.index, None)
            if pending and not pending.future.done():
                pending.future.set_result(applied and pending.term == entry.term)
            if applied:
                if self.duty:
                    self.duty.follow(self.state)
                self.publish()
        self._look_at_name()
        if step.delivered and self._is_long():
            self.upkeep.make(self.state.raw(), step.delivered[-1].index)
        if step.received:
            self.upkeep.install(step.received)
        if self.machine.members is not self._known_members:
            self._known_members = self.machine.members
            voters, learners = self.machine.voters, [m.door for m in self._known_members if m.learner]
            note(Event.MEMBERS, "voters %s learners %s", [m.door for m in voters], learners)
        self._look_at_duty()

    def _look_at_name(self) -> None:
        """What the log says is the system's name, from the first entry on that says one."""
        if (name := self.state.system) and name != self.wings.system:
            self._store.name_system(name)
            self.wings.name_system(name)

    def _draw_name(self) -> None:
        if not self.state.system and self.duty and self._named_in != self.duty.term:
            self._named_in = self.duty.term
            name = self.wings.system or f"{random.SystemRandom().getrandbits(64):016x}"
            _, step = self.machine.propose(self.now(), Command(Verb.NAME, digest=name).out())
            self._do(step)

    def _is_long(self) -> bool:
        log = self.machine.log
        many = len(log) >= 2 * ENTRIES
        return self.machine.wants_snapshot() or many or sum(len(e.data) for e in log) >= BYTES

    def _look_at_duty(self) -> None:
        now, leads = self.now(), self.machine.leads(self.now())
        if self.machine.leader:
            self.wings.fence.admits(self.machine.term)
        if leads and (self.duty is None or self.duty.term != self.machine.term):
            ever = self.machine.base.index > 0 or any(
                e.opens and e.term < self.machine.term for e in self.machine.log
            )
            self.duty = Duty(
                self.machine.term, now, ever, self.board, self.roll, self.state.edges, self.settings.bounds,
                self.settings.heartbeat,
            )  # fmt: skip
            self.duty.follow(self.state)
            note(Event.DUTY_BEGINS, "term %d", self.machine.term)
            self.publish()
        elif self.duty and not leads:
            note(Event.DUTY_ENDS, "term %d", self.duty.term)
            self.duty = None
            self.publish()

    def publish(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def news(self, within: float) -> None:
        """Until something has changed, or so many seconds."""
        news = self._news
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.001, within)):
                await news.wait()

    def core_shown(self) -> dict[str, Any]:
        members = [[m.door, m.disk, "learner" if m.learner else "voter"] for m in self.machine.members]
        return {"leader": self.me.door, "members": members}

    def held(self, term: int = 0) -> Duty:
        """The duty, if it is held now, whatever was held when this call began, and if nobody has heard of a
        later term."""
        if self.duty is None or not self.machine.leads(self.now()) or self.duty.term < term:
            raise SystemFailure(Code.NOT_LEADER)
        return self.duty

    # What other processes say.

    def _hear(self, envelope: pb.Envelope) -> None:
        match envelope.WhichOneof("body"):
            case "log_message":
                try:
                    message = codec.message_in(envelope.log_message)
                except ValueError:
                    return
                self._do(self.machine.received(self.now(), message))
            case "receipt" if self.duty and self.duty.term == envelope.term:
                self.duty.moves.read(envelope.receipt.zone, envelope.receipt.order)
            case "beats" if self.duty and self.duty.term == envelope.term:
                now = self.now()
                for id, seq in zip(envelope.beats.id, envelope.beats.seq, strict=False):
                    seen = self.duty.board.servers.get(id)
                    if seen and seen.state == "ready" and seq > seen.seq:
                        seen.seq, seen.heard_at = seq, now

    async def _handle(self, envelope: pb.Envelope) -> pb.Envelope:
        try:
            match envelope.WhichOneof("body"):
                case "ask":
                    self.held(envelope.term)
                    cue = await self._ask(envelope.ask)
                    return pb.Envelope(cue=cue, term=self.held().term)
                case "lease" | "deal":
                    return self.held(envelope.term).units(self.now(), envelope)
                case "order":
                    term, order = self.held(envelope.term).term, envelope.order
                    status, body = await self.desk.settle(order.method, order.path, order.body)
                    return pb.Envelope(outcome=pb.Outcome(status=status, body=body), term=term)
        except SystemFailure as failure:
            if failure.code is not Code.NOT_LEADER:
                raise
            leader = self.machine.leader
            hint = leader.door if leader and leader != self.me else ""
            return pb.Envelope(fault=Code.NOT_LEADER, pass_to=hint)
        raise SystemFailure(Code.REFUSED, "not known here")

    async def _ask(self, ask: pb.Ask) -> pb.Cue:
        duty, until = self.held(), self.now() + min(5.0, ask.wait_ms / 1000)
        if not ask.HasField("node") or ask.node.kind == "edge":
            await self._enrol(ask.name or ask.node.name)
            duty = self.held()
        if duty.asked(self.now(), ask):
            self.publish()
        while not duty.has_news(self.now(), ask, self.state) and self.now() < until:
            await self.news(until - self.now())
            duty = self.held()
        return self.held().cue(self.now(), ask, self.state)

    async def _enrol(self, name: str) -> None:
        """Who is to hold a lease is known to whoever may have the duty next. Raises SystemFailure."""
        if name in self.state.edges and name not in self._striking:
            return
        self._joining.add(name)
        await asyncio.sleep(0)  # those who come at the same time are taken in together
        while name not in self.state.edges or name in self._striking:
            if name in self._joining and name not in self._striking:
                names, self._joining = tuple(sorted(self._joining)), set()
                await self.decide(Command(Verb.ENROL, names=names))
            else:
                await asyncio.sleep(0.01)
            self.held()

    async def _strike(self) -> None:
        """Those long gone are enrolled no longer."""
        while True:
            await asyncio.sleep(STRIKE * random.uniform(0.8, 1.2))
            if self.duty:
                gone = tuple(n for n in self.state.edges if n not in self.duty.roll.leases)
                self._striking = set(gone)
                with contextlib.suppress(SystemFailure):
                    if gone:
                        await self.decide(Command(Verb.ENROL, gone=gone))
                        self._striking = set()

    # News of the leader, for one that does not hold the duty.

    def _node(self) -> pb.Node:
        listen = self.settings.listen
        ctl = shown(listen["ctl"]) if "ctl" in listen else ""
        return pb.Node(
            name=self.settings.name, life=self.wings.life, door=self.me.door, zone=self.settings.zone,
            region=self.settings.region, kind="core", ready=True, ctl=ctl,
        )  # fmt: skip

    async def _asks(self) -> None:
        while True:
            if self.duty:
                await asyncio.sleep(0.2)
                continue
            epoch, servers, nodes = self._seen
            ask = pb.Ask(
                node=self._node(), epoch=epoch, script=self.state.version, gen=self.state.gen,
                servers=servers, nodes=nodes, wait_ms=round(ASK_WAIT * 1000),
            )  # fmt: skip
            try:
                answer = await self.reach.call(pb.Envelope(ask=ask), 3.0, ASK_WAIT + 0.6)
            except SystemFailure:
                await asyncio.sleep(0.1)
                continue
            if self.duty is None and answer.WhichOneof("body") == "cue":
                cue, now = answer.cue, self.now()
                seen = [server_in(s, now) for s in cue.server]
                if seen or cue.servers_whole:
                    self.board.take(seen, cue.servers, cue.servers_whole)
                self.roll.take(cue.node, cue.node_gone, cue.nodes_whole, now, cue.nodes)
                for known in self.board.servers.values():
                    known.heard_at = now
                self._seen = (cue.epoch, cue.servers, cue.nodes)
                if cue.script != self.state.version:  # its own log is behind: not asked for again at once
                    await asyncio.sleep(0.05)

    async def _reports(self) -> None:
        """Beats that said nothing new are told of together."""
        while True:
            await asyncio.sleep(REPORT * self.settings.heartbeat * random.uniform(0.8, 1.2))
            if (beats := self._collector.report()) and self.reach.hint and not self.duty:
                self.reach.tell(pb.Envelope(beats=beats))

    # Calls of servers and operators.

    async def _foyer(self, method: str, target: str, body: bytes) -> Answer:
        found = match(FOYER, method, target)
        if isinstance(found, Wrong):
            return wrong(found.status, found.why)
        if found.call == "ready":
            return told(200, {"ready": True})
        return lookup(target, self.roll.here(), self.settings.bounds.ttl_max)

    async def _take(self, method: str, target: str, body: bytes) -> Answer:
        found = match(CONTROL, method, target)
        if isinstance(found, Wrong):
            return wrong(found.status, found.why)
        if found.call == "ready":
            return told(200, {"ready": True})
        if found.call != "beat":
            return await self._pass(method, target, body)
        if self.duty is None and self._collector.plain(found.args["id"], body, self.now()):
            return told(200, self._collector.nearer(body))
        status, answer = await self._pass(method, target, body)
        return told(200, self._collector.nearer(body)) if status == 200 else (status, answer)

    async def _pass(self, method: str, target: str, body: bytes) -> Answer:
        """Settled here if the duty is held here, else by its leader."""
        if self.duty and self.machine.leads(self.now()):
            try:
                return await self.desk.settle(method, target, body)
            except SystemFailure as failure:
                return wrong(503, str(failure))
        order = pb.Order(method=method, path=target, body=body)
        try:
            answer = await self.reach.call(pb.Envelope(order=order), PASS_ON, PASS_ON)
        except SystemFailure as failure:
            return wrong(503, str(failure))
        return answer.outcome.status, answer.outcome.body

    def _was_read(self, method: str, target: str, answer: Answer) -> None:
        """Who gave an order for a zone has its answer: the same call is another order from now on."""
        found = match(CONTROL, method, target)
        if isinstance(found, Wrong) or found.call not in ("evacuate", "take back") or answer[0] != 200:
            return
        receipt = pb.Receipt(zone=found.args["zone"], order=json.loads(answer[1])["order"])
        if self.duty:
            self.duty.moves.read(receipt.zone, receipt.order)
        elif self.reach.hint:
            self.reach.tell(pb.Envelope(receipt=receipt))

    async def decide(self, command: Command) -> bool:
        """True once a majority has it on disk and it is in force; False if it is void. Raises SystemFailure
        where that is not known."""
        index, step = self.machine.propose(self.now(), command.out())
        if not index:
            raise SystemFailure(Code.NOT_LEADER)
        future: asyncio.Future[bool] = self._loop.create_future()
        self._pending[index] = Pending(self.machine.term, future)
        self._do(step)
        try:
            async with asyncio.timeout(DECIDE):
                return await future
        except TimeoutError:
            raise SystemFailure(Code.SILENT, "no majority has it yet") from None
        finally:
            self._pending.pop(index, None)
