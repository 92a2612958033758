"""What a core machine that does not lead hears of the leader, and whether it is in contact with it.

In contact is: the leader, with a majority behind it, has answered something that was sent from here
less than `CONTACT` of a server's beat ago. So whoever is cut off, in either direction, confirms one
beat of a server's after the cut at most, and that one is told as there is a way."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from cairndale.configuration.state import State
from cairndale.control.endpoint_codec import endpoint_from_message
from cairndale.control.heartbeat_batch import HeartbeatBatch, HeartbeatBatcher
from cairndale.control.leadership import Leadership
from cairndale.errors import CallError
from cairndale.raft.messages import Member
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Settings, format_address

CONTACT = 2 / 3  # of a server's beat, or ...
# ... s, if that is less: under the beat that a server may take to call elsewhere
CONTACT_MOST = 1.0
REPORT = 0.5  # of that, between reports: with the way there and the answer it is renewed in time
REPORT_WAIT = 0.7  # s for the leader's answer, after which the next goes by another way
AGAIN = 0.5  # s that a failure speaks for what comes after it
ASK_WAIT = 1.0  # s that the leader may keep an ask for news
PASS_ON = 0.95  # s for the leader to answer what is passed on to it: callers go elsewhere after one
WAY = 0.4  # s for one way to the leader, where one is out of contact ...
BEAT = 0.45  # ... and for a beat, by whatever way: its server has to get to another in time


class Log(Protocol):
    @property
    def members(self) -> tuple[Member, ...]: ...


class Process(Protocol):
    settings: Settings
    endpoint_registry: EndpointRegistry
    node_registry: NodeRegistry
    rpc_peer: RpcPeer
    leader_client: LeaderClient

    @property
    def state(self) -> State: ...
    @property
    def leadership(self) -> Leadership | None: ...
    @property
    def raft(self) -> Log: ...
    def now(self) -> float: ...
    async def register_endpoints(self, arrivals: pb.EndpointReport, term: int = 0) -> int:
        """At the leader. Raises CallError."""


class Follower:
    """Times are seconds on this process's clock."""

    def __init__(self, process: Process, collector: HeartbeatCollector) -> None:
        self._process, self._collector = process, collector
        self._seen: tuple[str, int, int] = ("", 0, 0)  # epoch, servers, nodes
        self._answered = float("-inf")  # when the newest was sent that the leader has answered
        self._failed = float("-inf")  # when a call was last given up
        self.batcher = HeartbeatBatcher(
            process.now, lambda: len(process.raft.members), self._send_batch
        )

    def span(self) -> float:
        return min(CONTACT_MOST, CONTACT * self._process.settings.heartbeat_interval_s)

    def in_contact(self, now: float) -> bool:
        return now - self._answered < self.span()

    def is_cut_off(self, now: float) -> bool:
        """Out of contact, and a call to the leader was given up so lately that it need not be tried
        again."""
        return not self.in_contact(now) and now - self._failed < AGAIN

    async def call(self, envelope: pb.Envelope, within: float, patience: float) -> pb.Envelope:
        """The leader's answer. Raises CallError."""
        sent = self._process.now()
        try:
            answer = await self._process.leader_client.call(envelope, within, patience)
        except CallError:
            self._failed = self._process.now()
            raise
        self._answered = max(self._answered, sent)
        return answer

    async def _send_batch(self, batch: HeartbeatBatch) -> None:
        """Within the time of the beat that came first. Raises CallError."""
        process, now = self._process, self._process.now()
        report = batch.report(now)
        if process.leadership:  # this one leads by now
            await process.register_endpoints(report)
            return
        is_in_contact = self.in_contact(now)
        within = batch.began_at + (PASS_ON if is_in_contact else BEAT) - now
        await self.call(
            pb.Envelope(endpoint_report=report), within, within if is_in_contact else WAY
        )

    def _node(self) -> pb.Node:
        settings = self._process.settings
        ctl = format_address(settings.listen["ctl"]) if "ctl" in settings.listen else ""
        return pb.Node(
            name=settings.name,
            incarnation=self._process.rpc_peer.life,
            address=format_address((settings.ip, settings.own_port)),
            zone=settings.zone,
            region=settings.region,
            kind="core",
            ready=True,
            control_address=ctl,
        )

    async def asks(self) -> None:
        """News, for good."""
        process = self._process
        while True:
            if process.leadership:
                await asyncio.sleep(0.2)
                continue
            epoch, servers, nodes = self._seen
            ask = pb.WatchRequest(
                node=self._node(),
                epoch=epoch,
                config_version=process.state.version,
                generation=process.state.gen,
                endpoints_version=servers,
                nodes_version=nodes,
                wait_ms=round(ASK_WAIT * 1000),
            )
            try:
                answer = await self.call(pb.Envelope(watch_request=ask), 3.0, ASK_WAIT + 0.6)
            except CallError:
                await asyncio.sleep(0.1)
                continue
            if process.leadership is None and answer.WhichOneof("body") == "watch_response":
                self._take(answer.watch_response)
                if (
                    answer.watch_response.config_version != process.state.version
                ):  # its own log is behind: not at once again
                    await asyncio.sleep(0.05)

    def _take(self, watch_response: pb.WatchResponse) -> None:
        process, now = self._process, self._process.now()
        seen = [endpoint_from_message(s, now) for s in watch_response.endpoints]
        if watch_response.endpoints_version != self._seen[1] or watch_response.endpoints_complete:
            process.endpoint_registry.apply_update(
                seen, watch_response.endpoints_version, watch_response.endpoints_complete
            )
        process.node_registry.apply_update(
            watch_response.nodes,
            watch_response.removed_nodes,
            watch_response.nodes_complete,
            now,
            watch_response.nodes_version,
        )
        for known in process.endpoint_registry.endpoints.values():
            known.last_heartbeat_at = now
        self._seen = (
            watch_response.epoch,
            watch_response.endpoints_version,
            watch_response.nodes_version,
        )

    async def reports(self) -> None:
        """Beats that said nothing new are told of together, for good. What was not answered is
        kept, and told again to whoever leads then. With nothing to tell, the answer alone is what
        counts."""
        process = self._process
        while True:
            await asyncio.sleep(REPORT * self.span() * random.uniform(0.8, 1.2))
            beats = self._collector.report(process.now())
            if process.leadership:
                process.leadership.record_report(process.now(), beats)
                self._collector.acknowledge(beats)
                continue
            try:
                await self.call(pb.Envelope(heartbeat_report=beats), REPORT_WAIT, REPORT_WAIT)
            except CallError:
                continue
            self._collector.acknowledge(beats)
