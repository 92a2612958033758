"""The follower's side of a control node: watches the leader and reports heartbeats to it.

A follower is in contact while the leader, confirmed by a majority, has answered a call that was
sent less than `contact_window` ago, which is a part of the servers' heartbeat interval. So a
follower that is partitioned, in either direction, confirms at most one more heartbeat of each
server, and reports that one once it is connected again.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

from cairndale.configuration.generation_id import generation_id
from cairndale.configuration.state import State
from cairndale.control.endpoint_codec import endpoint_from_message
from cairndale.control.heartbeat_batch import HeartbeatBatch, HeartbeatBatcher
from cairndale.control.leader_clock import LeaderClock
from cairndale.control.leadership import Leadership
from cairndale.errors import CallError
from cairndale.raft.messages import Member
from cairndale.registry.endpoints import EndpointRegistry
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.leader_time import leader_time
from cairndale.rpc.peer import RpcPeer
from cairndale.settings import Settings, format_address

# The contact window is this fraction of a heartbeat interval, capped so that a server has time to
# call another node.
CONTACT_FRACTION = 2 / 3
MAX_CONTACT_S = 1.0
# The interval between reports, as a fraction of the contact window: leaves time for the round trip.
REPORT_FRACTION = 0.5
REPORT_TIMEOUT_S = 0.7
FAILURE_BACKOFF_S = 0.5  # after a failed call, in which heartbeats are rejected while isolated
LONG_POLL_S = 1.0
WATCH_TIMEOUT_S = 3.0  # for a watch request over all attempts
WATCH_ATTEMPT_S = LONG_POLL_S + 0.6
LEADING_POLL_S = 0.2  # between checks whether this node still leads
RETRY_PAUSE_S = 0.1
LAG_PAUSE_S = 0.05  # before the next watch request, while the own log lags behind the leader's
FORWARD_TIMEOUT_S = 0.95  # callers try another node after a second
ISOLATED_ATTEMPT_S = 0.4  # of one attempt to reach the leader, while out of contact
# Of all attempts for a heartbeat, while out of contact: its server needs time to reach another
# node.
ISOLATED_HEARTBEAT_TIMEOUT_S = 0.45


class Log(Protocol):
    """The part of the replicated log that a follower uses."""

    @property
    def members(self) -> tuple[Member, ...]:
        """The control nodes by the latest membership."""


class Process(Protocol):
    """The part of the control node that a follower uses."""

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
        """The leadership, or None while this process does not lead."""

    @property
    def raft(self) -> Log:
        """The replicated log."""

    def now(self) -> float:
        """Seconds on the process's clock."""

    async def register_endpoints(self, arrivals: pb.EndpointReport, term: int = 0) -> int:
        """Registers endpoints here, now that this node leads. Raises CallError."""


@dataclass(frozen=True, slots=True)
class RegistryCursor:
    """The versions of the leader's registries that this node has received."""

    epoch: str = ""
    endpoints_version: int = 0
    nodes_version: int = 0


class Follower:
    """Stays in contact with the leader. Times are seconds on this process's clock."""

    def __init__(self, process: Process, collector: HeartbeatCollector) -> None:
        self._process, self._collector = process, collector
        self._cursor = RegistryCursor()
        self._last_contact_at = float("-inf")  # sending of the latest answered call
        self._last_failure_at = float("-inf")  # end of the latest failed call
        self.leader_clock = LeaderClock()
        self.batcher = HeartbeatBatcher(
            process.now, lambda: len(process.raft.members), self._send_batch
        )

    def contact_window(self) -> float:
        """Seconds after its sending for which an answered call proves contact."""
        return min(MAX_CONTACT_S, CONTACT_FRACTION * self._process.settings.heartbeat_interval_s)

    def in_contact(self, now: float) -> bool:
        """Whether the leader, confirmed by a majority, has answered a recent call."""
        return now - self._last_contact_at < self.contact_window()

    def is_isolated(self, now: float) -> bool:
        """Whether the node is out of contact and a call has failed within FAILURE_BACKOFF_S.

        Heartbeats are then rejected without an attempt to reach the leader.
        """
        return not self.in_contact(now) and now - self._last_failure_at < FAILURE_BACKOFF_S

    async def call(
        self, envelope: pb.Envelope, timeout: float, attempt_timeout: float
    ) -> pb.Envelope:
        """The leader's answer, within `timeout` seconds over all attempts. Raises CallError."""
        sent_at = self._process.now()
        try:
            answer = await self._process.leader_client.call(envelope, timeout, attempt_timeout)
        except CallError:
            self._last_failure_at = self._process.now()
            raise
        self._last_contact_at = max(self._last_contact_at, sent_at)
        return answer

    async def _send_batch(self, batch: HeartbeatBatch) -> None:
        """Sends a batch, with the timeout counted from its first heartbeat. Raises CallError."""
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
        """Replicates the leader's registries while this node does not lead."""
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
                self.leader_clock.record(
                    answer.term, leader_time(answer.watch_response), process.now()
                )
                if answer.watch_response.config_version != process.state.version:
                    await asyncio.sleep(LAG_PAUSE_S)

    def _watch_request(self) -> pb.WatchRequest:
        state, cursor = self._process.state, self._cursor
        return pb.WatchRequest(
            node=self._own_node(),
            epoch=cursor.epoch,
            config_version=state.version,
            generation=generation_id(state.gen),
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
        """Reports collected heartbeats, which contained nothing new, in batches.

        Heartbeats of a report without an answer are reported again, to the leader of that time. An
        empty report is sent as well, because its answer proves contact.
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
