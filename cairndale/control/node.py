"""A core machine's process: its part of the promptbook, the duty while it holds it, and the calls
of others."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from cairndale.configuration.serialization import FormatError
from cairndale.configuration.state import Command, State, Verb
from cairndale.control.api import ControlApi
from cairndale.control.applier import AppliedEntry, Applier, encoded
from cairndale.control.follower import Follower
from cairndale.control.heartbeat_batch import hear
from cairndale.control.leadership import Leadership
from cairndale.control.operations import OperationHandler
from cairndale.control.read_index import ReadIndex
from cairndale.control.snapshot_worker import SnapshotWorker
from cairndale.control.watch_server import WatchServer
from cairndale.errors import CallError, CallTimeoutError, FaultCode, NotLeaderError, RejectedError
from cairndale.events import Event, log_event
from cairndale.http_api.server import HttpServer
from cairndale.raft import codec
from cairndale.raft.fragments import WINDOW, FragmentKind, part
from cairndale.raft.messages import Member, Ready
from cairndale.raft.node import RaftNode, founded, founder
from cairndale.raft.replica import Role
from cairndale.raft.storage import RaftStorage, StorageError
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Settings, format_address

TICK = 0.05  # s
LEAVE = 1.0  # s for another to take over what this one holds, when it ends
DECIDE = 3.0  # s for a majority to have a change on disk
ENTRIES = 128  # after each so many in the log a snapshot takes their place ...
BYTES = 4 * 1024 * 1024  # ... or so many bytes of them
APPLY = 0.005  # s for which entries come into force before others get their turn


@dataclass(slots=True)
class Pending:
    index: int
    term: int
    future: asyncio.Future[bool]


class ControlNode:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._loop = asyncio.get_running_loop()
        assert settings.state is not None
        self._store = RaftStorage(settings.state)
        own = (settings.ip, settings.own_port)
        self.rpc_peer = RpcPeer(own, self._hear, self._handle)
        self._addresses = [format_address(settings.core_address(seed)) for seed in settings.seeds]
        disk, kept = self._begin(format_address(own))
        self.me = Member(format_address(own), disk, settings.zone, settings.region)
        rng = random.Random(random.getrandbits(64))
        self.machine = RaftNode(
            self.me, kept, self.now(), rng, addresses=self._addresses, tolerance=settings.tolerance
        )
        try:
            self.state = State.read(kept.snapshot.state)
        except FormatError as error:
            raise StorageError(f"the state cannot be read: {error}") from error
        self.snapshot_worker = SnapshotWorker(self._store, self.machine, self._do, self.now)
        self.endpoint_registry, self.node_registry = EndpointRegistry(), NodeRegistry()
        self.leadership: Leadership | None = None
        self._applier = Applier(self.state, kept.snapshot.index, kept.snapshot.term)
        self._applies = False  # it does, or is about to go on with it
        self._snapshot_due = False  # since an entry within a command's parts
        self._one_in_parts = asyncio.Lock()
        self._pending: dict[int, Pending] = {}
        self._news = asyncio.Event()
        self.leader_client = LeaderClient(self.rpc_peer, self._cores, self._peers)
        self._read_index, self.watch_server, self.operations = (
            ReadIndex(self),
            WatchServer(self),
            OperationHandler(self),
        )
        collector = HeartbeatCollector(settings, self.endpoint_registry, self.node_registry)
        self.follower = Follower(self, collector)
        self.api = ControlApi(self, self.follower, collector)
        self._web = [
            HttpServer(self.api.control, self.api.was_read),
            HttpServer(self.api.lookup_api),
        ]
        self._tasks: list[asyncio.Task[Any]] = []
        self.rpc_peer.system = self._store.system() or self.state.system
        self._named_in = 0  # the term in which this one has drawn the system's name
        self._known_members: tuple[Member, ...] = ()  # by object: roles and places are told as well

    def _begin(self, own: str) -> tuple[str, Any]:
        """An empty disk is given a name. Only at the first start of all is it that of a founder:
        any other is a new member's, whatever the disk before it knew."""
        disk = self._store.disk()
        if disk:
            return disk, self._store.load()
        first = self.settings.bootstrap and own in self._addresses
        disk = founder(own).disk if first else f"{random.SystemRandom().getrandbits(64):016x}"
        kept = founded(founder(address) for address in self._addresses) if first else founded(())
        self._store.begin(disk, kept)
        log_event(Event.DISK_NAMED, "%s", disk)
        return disk, kept

    def now(self) -> float:
        return self._loop.time()

    def _cores(self) -> list[str]:
        return list(dict.fromkeys([*(m.address for m in self.machine.voters), *self._addresses]))

    def _peers(self) -> list[str]:
        return [
            held.node.address
            for held in self.node_registry.leases.values()
            if held.node.kind == "edge"
        ]

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed: other seeds."""
        self.settings = settings
        self._addresses = [format_address(settings.core_address(seed)) for seed in settings.seeds]
        self.machine.addresses, self.machine.tolerance = tuple(self._addresses), settings.tolerance

    async def start(self) -> None:
        await self.rpc_peer.listen()
        listen = self.settings.listen
        for addresses, name in zip(self._web, ("ctl", "dir"), strict=True):
            if name in listen:
                await addresses.listen(listen[name])
        works = [self._ticks, self._upkeep, self.follower.asks, self.follower.reports]
        works += [self.watch_server.run, self.watch_server.strike]
        self._tasks = [self._loop.create_task(work()) for work in works]

    async def stop(self) -> None:
        for addresses in self._web:
            addresses.stop()
        await self._leave()
        await asyncio.sleep(0.2)
        for task in self._tasks:
            task.cancel()
        self.rpc_peer.stop()
        self._store.close()

    # The promptbook.

    async def _leave(self) -> None:
        """Others hold the leadership and, where one can step in, this one's vote; within LEAVE."""
        until = self.now() + LEAVE
        self.machine.leave()
        while not self.machine.is_out() and self.now() < until:
            await asyncio.sleep(TICK)
        leads = self.machine.role is Role.LEADER
        log_event(Event.LEAVING, "leads %s, votes %s", leads, self.machine.may_stand())

    async def _ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            try:
                self._do(self.machine.tick(self.now()))
                if self.leadership and self.leadership.tick(self.now()):
                    self.publish()
                self._draw_name()
            except Exception as error:
                log_event(Event.FAILED, "tick: %r", error)
                raise

    async def _upkeep(self) -> None:
        while True:
            await asyncio.sleep(self.snapshot_worker.work())

    def _write(self, step: Ready) -> None:
        """What is not on disk must not be said: where it cannot be put there this life ends, as by
        a kill."""
        try:
            self._store.write(step.writes)
        except StorageError as error:
            log_event(Event.DISK_FAILED, "%s", error)
            os._exit(1)

    def _do(self, step: Ready) -> None:
        """Carries a step out, in order: on disk, to the others, then here."""
        if step.writes:
            self._write(step)
        for address, message in step.sends:
            self.rpc_peer.tell(address, pb.Envelope(log_message=codec.message_out(message)))
        if step.dropped:
            log_event(Event.SNAPSHOT_DROPPED, "%s", step.dropped)
        if step.spoilt:
            log_event(Event.ENTRY_DROPPED, "%s", step.spoilt)
        if step.restored:
            self.state = self.snapshot_worker.read
            self._applier.restore(self.state, step.restored.index, step.restored.term)
            self._snapshot_due = False
        self._applier.take(step.delivered)
        self._apply()
        if step.received:
            self.snapshot_worker.install(step.received)
        if self.machine.members is not self._known_members:
            self._known_members = self.machine.members
            voters, learners = (
                self.machine.voters,
                [m.address for m in self._known_members if m.learner],
            )
            log_event(Event.MEMBERS, "voters %s learners %s", [m.address for m in voters], learners)
        self._update_leadership()
        self._read_index.look()
        for pending in self._pending.values():
            over = pending.term != self.machine.term or self.machine.leader != self.me
            if over and not pending.future.done():
                pending.future.set_exception(CallTimeoutError("the term is over"))

    def _apply(self) -> None:
        """What was delivered comes into force, in order; with the loop left to others now and
        then."""
        if self._applies or not self._applier.is_behind:
            return
        self._applies, until = True, time.perf_counter() + APPLY
        self._applier.tells = self.machine.role is Role.LEADER
        more = True
        while more:
            if applied := self._applier.step():
                self._in_force(applied)
            more = self._applier.is_behind and time.perf_counter() < until
        self._look_at_name()
        if self._applier.is_whole and self._is_long():
            self.snapshot_worker.make(self.state.raw(), self._applier.index)
        if self._applier.is_behind:
            self._leave_the_loop(self._apply_more)
        else:
            self._applies = False

    def _leave_the_loop(self, more: Callable[[], None]) -> None:
        self._loop.call_soon(more)

    def _apply_more(self) -> None:
        self._applies = False
        self._do(Ready())

    def _in_force(self, applied: AppliedEntry) -> None:
        entry = applied.entry
        self._snapshot_due |= (
            entry.index % ENTRIES == 0
        )  # alike at all members: who leads next has the same
        if self._snapshot_due and self._applier.is_whole:
            self._snapshot_due = False
            self.snapshot_worker.make(self.state.raw(), entry.index)
        pending = self._pending.pop(entry.index, None)
        if pending and not pending.future.done():
            if pending.term == entry.term:
                pending.future.set_result(applied.changed)
            else:  # another's stands in its place; the same call may have come there by another way
                pending.future.set_exception(CallTimeoutError("another leader came first"))
        if applied.changed:
            if self.leadership:
                self.leadership.follow(self.state)
            self.publish()

    def _look_at_name(self) -> None:
        """What the log says is the system's name, from the first entry on that says one."""
        if (name := self.state.system) and name != self.rpc_peer.system:
            with contextlib.suppress(
                StorageError
            ):  # a later life learns it from whom it dials, and the log
                self._store.name_system(name)
            self.rpc_peer.name_system(name)

    def _draw_name(self) -> None:
        if not self.state.system and self.leadership and self._named_in != self.leadership.term:
            self._named_in = self.leadership.term
            name = self.rpc_peer.system or f"{random.SystemRandom().getrandbits(64):016x}"
            _, step = self.machine.propose(self.now(), Command(Verb.NAME, digest=name).out())
            self._do(step)

    def carry_out(self, step: Ready) -> None:
        self._do(step)

    def leads(self) -> bool:
        """And all that was decided before its term is in force here."""
        return self._applier.term == self.machine.term and self.machine.leads(self.now())

    def applied(self) -> int:
        """Up to which entry the log is in force here."""
        return self._applier.index

    def _is_long(self) -> bool:
        log = self.machine.log
        many = len(log) >= 2 * ENTRIES
        return self.machine.wants_snapshot() or many or sum(len(e.data) for e in log) >= BYTES

    def _update_leadership(self) -> None:
        now, leads = self.now(), self.leads()
        if self.machine.leader:
            self.rpc_peer.fence.admits(self.machine.term)
        if leads and (self.leadership is None or self.leadership.term != self.machine.term):
            ever = self.machine.base.index > 0 or any(
                e.opens and e.term < self.machine.term for e in self.machine.log
            )
            self.leadership = Leadership(
                self.machine.term,
                now,
                ever,
                self.endpoint_registry,
                self.node_registry,
                self.state.edges,
                self.settings.bounds,
                self.settings.heartbeat,
            )
            self.leadership.follow(self.state)
            log_event(Event.LEADERSHIP_BEGINS, "term %d", self.machine.term)
            self.publish()
        elif self.leadership and not leads:
            log_event(Event.LEADERSHIP_ENDS, "term %d", self.leadership.term)
            self.leadership = None
            self.publish()

    def publish(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()
        self.watch_server.wake()

    async def news(self, within: float) -> None:
        """Until something has changed, or so many seconds."""
        news = self._news
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.001, within)):
                await news.wait()

    def core_shown(self) -> dict[str, Any]:
        members = [
            [m.address, m.disk, "learner" if m.learner else "voter"] for m in self.machine.members
        ]
        return {"leader": self.me.address, "members": members}

    def held(self, term: int = 0) -> Leadership:
        """The duty, if it is held now, whatever was held when this call began, and if nobody has
        heard of a later term."""
        if self.leadership is None or not self.leads() or self.leadership.term < term:
            raise NotLeaderError()
        return self.leadership

    # What other processes say.

    def _hear(self, envelope: pb.Envelope) -> None:
        match envelope.WhichOneof("body"):
            case "log_message":
                try:
                    message = codec.message_in(envelope.log_message)
                except ValueError:
                    return
                self._do(self.machine.received(self.now(), message))
            case "evacuation_receipt" if self.leadership and self.leadership.term == envelope.term:
                self.leadership.moves.read(
                    envelope.evacuation_receipt.zone, envelope.evacuation_receipt.order
                )

    async def _handle(self, envelope: pb.Envelope) -> pb.Envelope:
        try:
            match envelope.WhichOneof("body"):
                case "watch_request":
                    self.held(envelope.term)
                    watch_response = await self.watch_server.ask(envelope.watch_request)
                    return pb.Envelope(watch_response=watch_response, term=self.held().term)
                case "quota_request" | "budget_request":
                    return self.held(envelope.term).units(self.now(), envelope)
                case "heartbeat_report":
                    leadership, now = self.held(envelope.term), self.now()
                    leadership.beats(now, envelope.heartbeat_report)
                    await self.confirm(now, leadership.term, at_once=False)
                    return pb.Envelope(term=leadership.term)
                case "endpoint_report":
                    return pb.Envelope(
                        term=await self.hear(envelope.endpoint_report, envelope.term)
                    )
                case "operation_request":
                    term, order = self.held(envelope.term).term, envelope.operation_request
                    status, body = await self.operations.settle(
                        order.method, order.path, order.body, order.id
                    )
                    return pb.Envelope(
                        operation_response=pb.OperationResponse(status=status, body=body), term=term
                    )
        except CallError as failure:
            if not isinstance(failure, NotLeaderError):
                raise
            leader = self.machine.leader
            hint = leader.address if leader and leader != self.me else ""
            return pb.Envelope(fault=FaultCode.NOT_LEADER, pass_to=hint)
        raise RejectedError("not known here")

    async def hear(self, arrivals: pb.EndpointReport, term: int = 0) -> int:
        """Beats that say something new; the term in which they were heard, with a majority behind
        it. Raises CallError."""
        leadership, now = self.held(term), self.now()
        if hear(leadership.endpoint_registry, arrivals, now):
            self.publish()
        await self.confirm(now, leadership.term, at_once=False)
        return leadership.term

    async def decide(self, command: Command) -> bool:
        """True once a majority has it on disk and it is in force; False if it is void. Raises
        CallError where that is not known."""
        made = encoded(command)
        if isinstance(made, bytes):
            return await self._outcome(self._propose(made, self.machine.term))
        task = self._loop.create_task(
            self._decide_in_parts(made)
        )  # goes on though nobody waits any longer
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            raise CallTimeoutError("this process ends") from None

    async def _decide_in_parts(self, made: Iterator[bytes]) -> bool:
        async with self._one_in_parts:
            term, ahead, applied = self.machine.term, deque[Pending](), False
            try:
                for data in made:
                    await asyncio.sleep(0)
                    if data:
                        while len(ahead) >= WINDOW:
                            await self._outcome(ahead.popleft())
                        ahead.append(self._propose(data, term))
                for pending in ahead:
                    applied = await self._outcome(pending)
            except CallError:
                for pending in ahead:
                    self._pending.pop(pending.index, None)
                    pending.future.cancel()
                if (
                    self.machine.term == term
                ):  # else there is a new one's first entry, which says the same
                    self._do(self.machine.propose(self.now(), part(FragmentKind.VOID, 0, b""))[1])
                raise
            return applied

    def _propose(self, data: bytes, term: int) -> Pending:
        """Raises CallError where this one does not hold that term, or no longer."""
        step, index = Ready(), 0
        if self.machine.term == term:
            index, step = self.machine.propose(self.now(), data)
        if not index:
            raise NotLeaderError()
        pending = self._pending[index] = Pending(index, term, self._loop.create_future())
        self._do(step)
        return pending

    async def _outcome(self, pending: Pending) -> bool:
        try:
            async with asyncio.timeout(DECIDE):
                return await pending.future
        except TimeoutError:
            raise CallTimeoutError("no majority has it yet") from None
        finally:
            if self._pending.get(pending.index) is pending:
                del self._pending[pending.index]

    async def confirm(
        self, called: float, term: int, decided: bool = False, at_once: bool = True
    ) -> None:
        """Until a majority has answered what was sent after `called`, in the term in which the
        state was looked at, and what was decided by then is in force here; `decided`: and all that
        the log holds now is. Raises CallError."""
        index = self.machine.last if decided else self.machine.commit_index
        await self._read_index.confirm(called, term, index, at_once)
