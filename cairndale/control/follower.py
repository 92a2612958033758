"""What a control node does while it does not lead: watch the leader, and report heartbeats to it.

A follower is in contact while the leader, with a majority behind it, has answered a call that was
sent less than `contact_window` ago, which is a part of the servers' heartbeat interval. So a follower
that is cut off, in either direction, confirms one heartbeat of each server at the most after the
cut, and that one is reported once there is a way.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
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

# In contact for this part of a heartbeat interval, and under the time that a server may take to
# call elsewhere.
CONTACT_FRACTION = 2 / 3
MAX_CONTACT_S = 1.0
# Between two reports, of the span of contact: with the way there and the answer it is renewed in
# time.
REPORT_FRACTION = 0.5
REPORT_TIMEOUT_S = 0.7  # after which the next report goes by another way
FAILURE_BACKOFF_S = 0.5  # for which a failed call is taken to speak for the next ones
LONG_POLL_S = 1.0
WATCH_TIMEOUT_S = 3.0  # for a watch request over all attempts
WATCH_ATTEMPT_S = LONG_POLL_S + 0.6
LEADING_POLL_S = 0.2  # between looks whether this node leads no longer
RETRY_PAUSE_S = 0.1
LAG_PAUSE_S = 0.05  # before the next watch request, while the node's own log is behind
FORWARD_TIMEOUT_S = 0.95  # callers go elsewhere after a second
ISOLATED_ATTEMPT_S = 0.4  # for one way to the leader, while out of contact
# For a heartbeat while out of contact, by whatever way: its server has to reach another node in
# time.
ISOLATED_HEARTBEAT_TIMEOUT_S = 0.45


class Log(Protocol):
    """What a follower needs of the replicated log."""

    @property
    def members(self) -> tuple[Member, ...]:
        """The control nodes, as of the newest membership."""


class Process(Protocol):
    """What a follower needs of its process."""

    settings: Settings
    endpoint_registry: EndpointRegistry
    node_registry: NodeRegistry
    rpc_peer: RpcPeer
    leader_client: LeaderClient

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, while this process leads."""

    @property
    def raft(self) -> Log:
        """The replicated log."""

    def now(self) -> float:
        """Seconds on the process's clock."""

    async def register_endpoints(self, arrivals: pb.EndpointReport, term: int = 0) -> int:
        """Register endpoints at the leader, which is this node by now. Raises CallError."""


@dataclass(frozen=True, slots=True)
class RegistryCursor:
    """Up to which versions the leader's registries are known here."""

    epoch: str = ""
    endpoints_version: int = 0
    nodes_version: int = 0


class Follower:
    """Keeps contact with the leader. Times are seconds on this process's clock."""

    def __init__(self, process: Process, collector: HeartbeatCollector) -> None:
        self._process, self._collector = process, collector
        self._cursor = RegistryCursor()
        self._last_contact_at = float("-inf")  # when the newest call with an answer was sent
        self._last_failure_at = float("-inf")  # when a call was last given up
        self.batcher = HeartbeatBatcher(
            process.now, lambda: len(process.raft.members), self._send_batch
        )

    def contact_window(self) -> float:
        """Seconds for which an answered call shows that the node is in contact."""
        return min(MAX_CONTACT_S, CONTACT_FRACTION * self._process.settings.heartbeat_interval_s)

    def in_contact(self, now: float) -> bool:
        """Whether the leader, with a majority behind it, has answered a recent call."""
        return now - self._last_contact_at < self.contact_window()

    def is_isolated(self, now: float) -> bool:
        """Whether the node is out of contact, and a call failed so lately that none need be tried.

        After a while it is tried again.
        """
        return not self.in_contact(now) and now - self._last_failure_at < FAILURE_BACKOFF_S

    async def call(
        self, envelope: pb.Envelope, timeout: float, attempt_timeout: float
    ) -> pb.Envelope:
        """The leader's answer, in `timeout` seconds over all attempts. Raises CallError."""
        sent_at = self._process.now()
        try:
            answer = await self._process.leader_client.call(envelope, timeout, attempt_timeout)
        except CallError:
            self._last_failure_at = self._process.now()
            raise
        self._last_contact_at = max(self._last_contact_at, sent_at)
        return answer

    async def _send_batch(self, batch: HeartbeatBatch) -> None:
        """Send a batch within the time of its first heartbeat. Raises CallError."""
        process, now = self._process, self._process.now()
        report = batch.report(now)
        if process.leadership:
            await process.register_endpoints(report)
            return
        if self.in_contact(now):
            timeout = attempt_timeout = batch.began_at + FORWARD_TIMEOUT_S - now
        else:
            timeout = batch.began_at + ISOLATED_HEARTBEAT_TIMEOUT_S - now
            attempt_timeout = ISOLATED_ATTEMPT_S
        await self.call(pb.Envelope(endpoint_report=report), timeout, attempt_timeout)

    def _own_node(self) -> pb.Node:
        settings = self._process.settings
        control_address = settings.listen.get("ctl")
        return pb.Node(
            name=settings.name,
            incarnation=self._process.rpc_peer.incarnation,
            address=format_address((settings.ip, settings.own_port)),
            zone=settings.zone,
            region=settings.region,
            kind="core",
            ready=True,
            control_address=format_address(control_address) if control_address else "",
        )

    async def watch_forever(self) -> None:
        """Keep copies of the leader's registries, while this node does not lead."""
        process = self._process
        while True:
            if process.leadership:
                await asyncio.sleep(LEADING_POLL_S)
                continue
            request = pb.Envelope(watch_request=self._watch_request())
            try:
                answer = await self.call(request, WATCH_TIMEOUT_S, WATCH_ATTEMPT_S)
            except CallError:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if process.leadership is None and answer.WhichOneof("body") == "watch_response":
                self._apply(answer.watch_response)
                if answer.watch_response.config_version != process.state.version:
                    await asyncio.sleep(LAG_PAUSE_S)

    def _watch_request(self) -> pb.WatchRequest:
        state, cursor = self._process.state, self._cursor
        return pb.WatchRequest(
            node=self._own_node(),
            epoch=cursor.epoch,
            config_version=state.version,
            generation=state.gen,
            endpoints_version=cursor.endpoints_version,
            nodes_version=cursor.nodes_version,
            wait_ms=round(LONG_POLL_S * 1000),
        )

    def _apply(self, response: pb.WatchResponse) -> None:
        process, now = self._process, self._process.now()
        has_endpoints = response.endpoints_version != self._cursor.endpoints_version
        if has_endpoints or response.endpoints_complete:
            process.endpoint_registry.apply_update(
                [endpoint_from_message(message, now) for message in response.endpoints],
                version=response.endpoints_version,
                is_full=response.endpoints_complete,
            )
        process.node_registry.apply_update(
            response.nodes,
            response.removed_nodes,
            is_full=response.nodes_complete,
            now=now,
            version=response.nodes_version,
        )
        for endpoint in process.endpoint_registry.endpoints.values():
            endpoint.last_heartbeat_at = now
        self._cursor = RegistryCursor(
            epoch=response.epoch,
            endpoints_version=response.endpoints_version,
            nodes_version=response.nodes_version,
        )

    async def report_forever(self) -> None:
        """Report heartbeats that said nothing new, together.

        What was not answered is reported again, to whoever leads then. An empty report is sent as
        well: its answer shows that the node is in contact.
        """
        process = self._process
        while True:
            interval = REPORT_FRACTION * self.contact_window()
            await asyncio.sleep(interval * random.uniform(0.8, 1.2))
            report = self._collector.report(process.now())
            if process.leadership:
                process.leadership.record_report(process.now(), report)
                self._collector.acknowledge(report)
                continue
            call = pb.Envelope(heartbeat_report=report)
            try:
                await self.call(call, REPORT_TIMEOUT_S, REPORT_TIMEOUT_S)
            except CallError:
                continue
            self._collector.acknowledge(report)
