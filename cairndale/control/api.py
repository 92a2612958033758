"""Calls of servers and operators as they come to a core machine: answered there, or passed on."""

from __future__ import annotations

import json
import random
from typing import Protocol

from cairndale.control.follower import BEAT, PASS_ON, WAY, Follower
from cairndale.control.leadership import Leadership
from cairndale.control.operations import OperationHandler
from cairndale.errors import CallError, NotLeaderError
from cairndale.http_api.router import CONTROL_ROUTES, LOOKUP_ROUTES, RouteFailure, match
from cairndale.http_api.server import Answer, told, wrong
from cairndale.lookup.selection import lookup
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.settings import Settings

PASS_LARGE = 2.5  # s for the leader to answer what is passed on to it with a body ...
LARGE = 16 * 1024  # ... of so many bytes


class Process(Protocol):
    settings: Settings
    node_registry: NodeRegistry
    operations: OperationHandler
    leader_client: LeaderClient

    @property
    def leadership(self) -> Leadership | None: ...
    def now(self) -> float: ...
    def leads(self) -> bool: ...


class ControlApi:
    def __init__(self, process: Process, follower: Follower, collector: HeartbeatCollector) -> None:
        self._process, self._follower, self._collector = process, follower, collector

    def ready(self) -> bool:
        """A majority is behind it, or behind the leader that it is in contact with."""
        process = self._process
        return process.leads() if process.leadership else self._follower.in_contact(process.now())

    def _ready(self) -> Answer:
        ready = self.ready()
        return told(200 if ready else 503, {"ready": ready})

    async def lookup_api(self, method: str, target: str, body: bytes) -> Answer:
        """Calls of clients, at `dir`."""
        found = match(LOOKUP_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return wrong(found.status, found.why)
        if found.call == "ready":
            return self._ready()
        if not self.ready():
            return wrong(503, "out of contact")
        return lookup(
            target,
            self._process.node_registry.listed_nodes(),
            self._process.settings.bounds.ttl_max,
        )

    async def control(self, method: str, target: str, body: bytes) -> Answer:
        """Calls of servers and operators, at `ctl`."""
        found = match(CONTROL_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return wrong(found.status, found.why)
        if found.call == "ready":
            return self._ready()
        if found.call != "beat":
            return await self._settle(method, target, body)
        now = self._process.now()
        plain = self._process.leadership is None and self._follower.in_contact(now)
        if plain and self._collector.collect(found.args["id"], body, now):
            return told(200, self._nearer(body))
        if self._process.leadership is None and self._follower.is_cut_off(now):
            return wrong(503, "out of contact")
        if self._process.leadership is None and (
            seen := self._collector.parse(found.args["id"], body, now)
        ):
            try:
                await self._follower.batcher.register(seen)
            except CallError as failure:
                return wrong(503, str(failure))
            return told(200, self._nearer(body))
        status, answer = await self._settle(method, target, body, BEAT)
        return told(200, self._nearer(body)) if status == 200 else (status, answer)

    def _nearer(self, body: bytes) -> dict[str, str]:
        return self._collector.closer_target(body) if self.ready() else {}

    async def _settle(self, method: str, target: str, body: bytes, most: float = PASS_ON) -> Answer:
        """Settled here if the duty is held here, else by its leader. Passing it on after it was
        settled here in vain does no harm: it has an id, and configurations are known by what they
        are."""
        process, came, id = self._process, self._process.now(), f"{random.getrandbits(64):016x}"
        if process.leadership and process.leads():
            try:
                return await process.operations.settle(method, target, body, id)
            except CallError as failure:
                if not isinstance(failure, NotLeaderError):
                    return wrong(503, str(failure))
        order = pb.OperationRequest(method=method, path=target, body=body, request_id=id)
        within = came + PASS_ON - process.now()
        if self._follower.in_contact(process.now()):
            patience = within = within if len(body) < LARGE else PASS_LARGE
        else:
            within, patience = min(most, within), WAY
        try:
            answer = await self._follower.call(
                pb.Envelope(operation_request=order), within, patience
            )
        except CallError as failure:
            return wrong(503, str(failure))
        return answer.operation_response.status, answer.operation_response.body

    def was_read(self, method: str, target: str, answer: Answer) -> None:
        """Who gave an order for a zone has its answer: the same call is another order from now
        on."""
        found = match(CONTROL_ROUTES, method, target)
        if (
            isinstance(found, RouteFailure)
            or found.call not in ("evacuate", "take back")
            or answer[0] != 200
        ):
            return
        process = self._process
        receipt = pb.EvacuationReceipt(
            zone=found.args["zone"], order_id=json.loads(answer[1])["order"]
        )
        if process.leadership:
            process.leadership.evacuation_log.acknowledge(receipt.zone, receipt.order_id)
        elif process.leader_client.hint:
            process.leader_client.tell(pb.Envelope(evacuation_receipt=receipt))
