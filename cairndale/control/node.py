"""The control node's process: wires its parts together, starts and stops them.

`ControlNode.__init__` subscribes the parts to the steps of the Raft state machine; the order of
subscription is the order in which they handle each step.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from cairndale.configuration.commands import Command
from cairndale.configuration.state import State
from cairndale.control.api import ControlApi
from cairndale.control.applier import Applier
from cairndale.control.apply_loop import ApplyLoop
from cairndale.control.change_notifier import ChangeNotifier
from cairndale.control.clock import Clock
from cairndale.control.departure_log import DepartureLog, recorded_departure
from cairndale.control.follower import Follower
from cairndale.control.leadership import Leadership
from cairndale.control.leadership_tracker import LeadershipTracker
from cairndale.control.member_state import load_member
from cairndale.control.operations import OperationHandler
from cairndale.control.proposals import Proposals
from cairndale.control.raft_driver import RaftDriver
from cairndale.control.read_index import ReadIndex
from cairndale.control.request_dispatch import RequestDispatcher
from cairndale.control.snapshot_worker import SnapshotWorker
from cairndale.control.system_name import SystemName
from cairndale.control.watch_server import WatchServer
from cairndale.events import Event, log_event
from cairndale.http_api.server import HttpServer
from cairndale.raft.messages import Member, Ready
from cairndale.raft.node import RaftNode
from cairndale.raft.replica import Role
from cairndale.raft.storage import RaftStorage
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Settings, SettingsError, format_address
from cairndale.supervision import run_restarting

TICK_INTERVAL_S = 0.05  # of the Raft state machine
LEAVE_TIMEOUT_S = 1.0  # for other members to take over leadership and vote before the process ends
FLUSH_DELAY_S = 0.2  # for peers to read the last messages before connections are closed


class ControlNode:
    """A member of the control cluster: replicates the state, and leads when it is elected.

    Raises SettingsError without a state directory, and StorageError if the state on disk cannot be
    read.
    """

    def __init__(self, settings: Settings) -> None:
        if settings.state_dir is None:
            raise SettingsError(["self.stateDir: required for a control node"])
        self.settings = settings
        self.clock = Clock()
        self._storage = RaftStorage(settings.state_dir)
        self.rpc_peer = RpcPeer((settings.ip, settings.own_port), self._receive, self._answer)
        self._seeds = self._seed_addresses(settings)
        loaded = load_member(settings, self._storage, self._seeds)
        self.me = loaded.member
        self.raft = RaftNode(
            self.me,
            loaded.persisted,
            self.clock.now(),
            random.Random(random.getrandbits(64)),
            addresses=self._seeds,
            tolerance=settings.tolerance,
        )
        self.endpoint_registry = EndpointRegistry(lambda id: recorded_departure(self.state, id))
        self.node_registry = NodeRegistry()
        self.notifier = ChangeNotifier()
        self.driver = RaftDriver(self.raft, self._storage, self.rpc_peer, self.clock)
        self.snapshot_worker = SnapshotWorker(
            self._storage, self.raft, self.driver.carry_out, self.clock.now
        )
        self.proposals = Proposals(self.raft, self.driver, self.clock)
        snapshot = loaded.persisted.snapshot
        self.applier = Applier(loaded.state, index=snapshot.index, term=snapshot.term)
        self.leadership_tracker = LeadershipTracker(
            settings=settings,
            raft=self.raft,
            applier=self.applier,
            endpoint_registry=self.endpoint_registry,
            node_registry=self.node_registry,
            fence=self.rpc_peer.fence,
            notifier=self.notifier,
            clock=self.clock,
        )
        self.system_name = SystemName(
            raft=self.raft,
            driver=self.driver,
            storage=self._storage,
            applier=self.applier,
            leadership=self.leadership_tracker,
            rpc_peer=self.rpc_peer,
            clock=self.clock,
        )
        self.apply_loop = ApplyLoop(
            raft=self.raft,
            applier=self.applier,
            snapshot_worker=self.snapshot_worker,
            driver=self.driver,
            on_applied=(self.proposals.resolve, self.leadership_tracker.entry_applied),
            on_turn_end=self.system_name.adopt,
        )
        self.read_index = ReadIndex(
            self.raft, self.clock, self.apply_loop.applied_index, self.driver.carry_out
        )
        self.leader_client = LeaderClient(
            self.rpc_peer, self._control_addresses, self._ingress_addresses
        )
        self.watch_server = WatchServer(self)
        self.operations = OperationHandler(self)
        collector = HeartbeatCollector(settings, self.endpoint_registry, self.node_registry)
        self.follower = Follower(self, collector)
        self.api = ControlApi(self, self.follower, collector)
        self.dispatcher = RequestDispatcher(
            raft=self.raft,
            driver=self.driver,
            leadership=self.leadership_tracker,
            read_index=self.read_index,
            watch_server=self.watch_server,
            operations=self.operations,
            departures=DepartureLog(self),
            notifier=self.notifier,
            clock=self.clock,
        )
        self._http_servers = {
            "ctl": HttpServer(self.api.control, self.api.answer_received, self.api),
            "dir": HttpServer(self.api.lookup_api),
        }
        self._logged_members: tuple[Member, ...] = ()
        self._tasks: list[asyncio.Task[None]] = []

        self.notifier.subscribe(self.watch_server.wake)
        self.driver.subscribe(self.apply_loop.follow)
        self.driver.subscribe(self._install_snapshot)
        self.driver.subscribe(self._log_members)
        self.driver.subscribe(lambda _: self.leadership_tracker.update())
        self.driver.subscribe(lambda _: self.read_index.resolve())
        self.driver.subscribe(lambda _: self.proposals.fail_stale_proposals())

    # Process life cycle.

    async def start(self) -> None:
        """Starts to listen and joins the cluster. Raises OSError if a port is in use."""
        await self.rpc_peer.listen()
        for name, server in self._http_servers.items():
            if name in self.settings.listen:
                await server.listen(self.settings.listen[name])
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(run_restarting(name, work))
            for name, work in (
                ("tick", self._tick_forever),
                ("snapshots", self._make_snapshots_forever),
                ("follower watch", self.follower.watch_forever),
                ("heartbeat reports", self.follower.report_forever),
                ("watch server", self.watch_server.run),
                ("removal of lease holders", self.watch_server.enrolment.remove_forever),
            )
        ]

    async def stop(self) -> None:
        """Stops listening, hands over leadership and vote if possible, and stops all tasks."""
        for server in self._http_servers.values():
            server.stop()
        await self._leave()
        await asyncio.sleep(FLUSH_DELAY_S)
        self.cancel()
        self.rpc_peer.stop()
        self._storage.close()

    def cancel(self) -> None:
        """Cancels all tasks without handing anything over."""
        for task in self._tasks:
            task.cancel()
        self.proposals.cancel()

    def reconfigure(self, settings: Settings) -> None:
        """Adopts changed settings: the seeds, the tolerance, and settings of later leaderships."""
        self.settings = settings
        self._seeds = self._seed_addresses(settings)
        self.raft.addresses, self.raft.tolerance = tuple(self._seeds), settings.tolerance
        self.leadership_tracker.reconfigure(settings)

    async def _leave(self) -> None:
        """Waits until other members have taken over leadership and vote, or LEAVE_TIMEOUT_S."""
        deadline = self.now() + LEAVE_TIMEOUT_S
        self.raft.leave()
        while not self.raft.has_left() and self.now() < deadline:
            await asyncio.sleep(TICK_INTERVAL_S)
        leads = self.raft.role is Role.LEADER
        log_event(
            Event.LEAVING, "still leader: %s, still a voter: %s", leads, self.raft.may_campaign()
        )

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.driver.tick()
            self.leadership_tracker.tick()
            self.system_name.propose()

    async def _make_snapshots_forever(self) -> None:
        while True:
            await asyncio.sleep(self.snapshot_worker.step_and_pause())

    # Handlers of Raft steps that belong to no single part.

    def _install_snapshot(self, step: Ready) -> None:
        if step.received_snapshot:
            self.snapshot_worker.install(step.received_snapshot)

    def _log_members(self, _: Ready) -> None:
        members = self.raft.members
        if members is self._logged_members:  # the same object: no member has changed
            return
        self._logged_members = members
        voters = [m.address for m in self.raft.voters]
        learners = [m.address for m in members if m.learner]
        log_event(Event.MEMBERS, "voters %s learners %s", voters, learners)

    # Messages and calls of other processes.

    def _receive(self, envelope: pb.Envelope) -> None:
        self.dispatcher.receive(envelope)

    async def _answer(self, envelope: pb.Envelope) -> pb.Envelope:
        return await self.dispatcher.answer(envelope)

    # Addresses through which the leader can be reached.

    @staticmethod
    def _seed_addresses(settings: Settings) -> list[str]:
        return [format_address(settings.core_address(seed)) for seed in settings.seeds]

    def _control_addresses(self) -> list[str]:
        voters = (m.address for m in self.raft.voters)
        return list(dict.fromkeys([*voters, *self._seeds]))

    def _ingress_addresses(self) -> list[str]:
        leases = self.node_registry.leases.values()
        return [lease.node.address for lease in leases if lease.node.kind == "edge"]

    # The interface that the parts which serve calls use (see `leader.Leader`).

    @property
    def state(self) -> State:
        """The replicated state as of the last applied entry."""
        return self.apply_loop.state

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, or None while this node does not lead."""
        return self.leadership_tracker.current

    def now(self) -> float:
        """Seconds on this process's clock."""
        return self.clock.now()

    def leads(self) -> bool:
        """Whether this node leads and has applied all entries committed before its term."""
        return self.leadership_tracker.leads()

    def require_leadership(self, term: int = 0) -> Leadership:
        """The leadership; raises NotLeaderError (see `LeadershipTracker.require`)."""
        return self.leadership_tracker.require(term)

    async def decide(self, command: Command) -> bool:
        """Proposes a command and waits for its outcome (see `Proposals.decide`)."""
        return await self.proposals.decide(command)

    async def confirm(
        self, called_at: float, term: int, decided: bool = False, at_once: bool = True
    ) -> None:
        """Returns once a majority has acknowledged this leader, in `term`, after `called_at`.

        All entries that were committed at the time of this call are applied by then; with
        `decided`, all entries that the log contained. `at_once` sends a heartbeat for the call,
        else the next regular one is awaited. Raises NotLeaderError.
        """
        index = self.raft.last_index if decided else self.raft.commit_index
        await self.read_index.confirm(called_at, term, index, at_once)

    async def register_endpoints(self, arrivals: pb.EndpointReport, term: int = 0) -> int:
        """Registers endpoints at the leader (see `RequestDispatcher.register_endpoints`)."""
        return await self.dispatcher.register_endpoints(arrivals, term)

    def notify_change(self) -> None:
        """Wakes all tasks that wait for a change."""
        self.notifier.notify()

    async def wait_for_change(self, timeout: float) -> None:
        """Returns at the next change, or after `timeout` seconds."""
        await self.notifier.wait(timeout)

    def describe_cluster(self) -> dict[str, Any]:
        """The cluster's members, for operators."""
        members = [
            [m.address, m.disk_id, "learner" if m.learner else "voter"] for m in self.raft.members
        ]
        return {"leader": self.me.address, "members": members}
