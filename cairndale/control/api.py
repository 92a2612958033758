"""HTTP calls of clients, servers and operators to a control node: answered or forwarded."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from typing import Protocol

from cairndale.configuration.content import Content
from cairndale.configuration.state import State
from cairndale.control.call_origin import ORDER_VALIDITY_S, CallOrigin
from cairndale.control.follower import (
    FORWARD_TIMEOUT_S,
    ISOLATED_ATTEMPT_S,
    ISOLATED_HEARTBEAT_TIMEOUT_S,
    Follower,
)
from cairndale.control.leadership import Leadership
from cairndale.control.operations import OperationHandler
from cairndale.errors import CallError, NotLeaderError, StaleCallError
from cairndale.http_api.router import (
    CONTROL_ROUTES,
    LOOKUP_ROUTES,
    ApiCall,
    RouteFailure,
    match,
)
from cairndale.http_api.server import Response, error_response, json_response
from cairndale.lookup.homes import ContentRoutes
from cairndale.lookup.selection import LookupResponder
from cairndale.registry.heartbeats import HeartbeatCollector
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_client import LeaderClient
from cairndale.settings import Settings

# Timeout of a call forwarded to the leader whose body has LARGE_FORWARD_BYTES or more.
LARGE_FORWARD_TIMEOUT_S = 2.5
LARGE_FORWARD_BYTES = 16 * 1024
STALE_RETRY_PAUSE_S = 0.05  # in which this node may learn the time of a new leader
ORDER_CALLS = (ApiCall.EVACUATE, ApiCall.RESTORE)  # orders for a zone


class Process(Protocol):
    """The part of the control node that the API uses."""

    settings: Settings
    node_registry: NodeRegistry
    operations: OperationHandler
    leader_client: LeaderClient

    @property
    def state(self) -> State:
        """The replicated state as of the last applied entry."""

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, or None while this process does not lead."""

    def now(self) -> float:
        """Seconds on the process's clock."""

    def leads(self) -> bool:
        """Whether this process leads and holds the leader lease."""


class ControlApi:
    """The HTTP API of a control node: lookups at `dir`, all other calls at `ctl`."""

    def __init__(self, process: Process, follower: Follower, collector: HeartbeatCollector) -> None:
        self._process, self._follower, self._collector = process, follower, collector
        self._lookups = LookupResponder(process.settings.name)
        self._routes, self._routes_content = ContentRoutes({}), Content()

    def ready(self) -> bool:
        """Whether this node holds the leader lease, or is in contact with the leader that does."""
        process = self._process
        return process.leads() if process.leadership else self._follower.in_contact(process.now())

    def _readiness(self) -> Response:
        is_ready = self.ready()
        return json_response(200 if is_ready else 503, {"ready": is_ready})

    async def lookup_api(self, method: str, target: str, body: bytes) -> Response:
        """Answers a client's call to the `dir` address."""
        route = match(LOOKUP_ROUTES, method, target)
        if isinstance(route, RouteFailure):
            return error_response(route.status, route.reason)
        if route.call is ApiCall.READY:
            return self._readiness()
        if not self.ready():
            return error_response(503, "this control node is not in contact with the leader")
        return self._lookup(target)

    def _lookup(self, target: str) -> Response:
        process, state = self._process, self._process.state
        if state.content is not self._routes_content:
            self._routes, self._routes_content = ContentRoutes(state.content), state.content
        return self._lookups.answer(
            target,
            process.node_registry.listed_nodes(),
            process.settings.bounds.ttl_max,
            self._routes,
            # Registry versions start again with each leader, so no cached answer may be reused.
            version=object(),
        )

    async def control(self, method: str, target: str, body: bytes) -> Response:
        """Answers a server's or an operator's call to the `ctl` address, made just now."""
        route = match(CONTROL_ROUTES, method, target)
        if isinstance(route, RouteFailure):
            return error_response(route.status, route.reason)
        if route.call is ApiCall.READY:
            return self._readiness()
        if route.call in ORDER_CALLS:
            return await self.execute_order(method, target, body, self._process.now())
        if route.call is not ApiCall.HEARTBEAT:
            return await self._execute(method, target, body, FORWARD_TIMEOUT_S)
        status, answer = await self._heartbeat(route.args["id"], method, target, body)
        if status != 200:
            return status, answer
        return json_response(200, self._collector.heartbeat_redirect(body) if self.ready() else {})

    def is_order(self, method: str, target: str) -> bool:
        """Whether a call is an order for a zone, which must not be executed late."""
        route = match(CONTROL_ROUTES, method, target)
        return not isinstance(route, RouteFailure) and route.call in ORDER_CALLS

    async def _heartbeat(self, id: str, method: str, target: str, body: bytes) -> Response:
        """Registers a heartbeat by the cheapest way that applies.

        A follower in contact with the leader collects a heartbeat that reports nothing new, and
        sends any other valid one to the leader in a batch. An invalid heartbeat is handled like any
        other call, so that the leader's answer says what is wrong with it.
        """
        now = self._process.now()
        if self._process.leadership is None:
            if self._follower.in_contact(now) and self._collector.collect(id, body, now):
                return json_response(200, {})
            if self._follower.is_isolated(now):
                return error_response(503, "this control node is not in contact with the leader")
            if heartbeat := self._collector.parse(id, body, now):
                try:
                    await self._follower.batcher.register(heartbeat)
                except CallError as failure:
                    return error_response(503, str(failure))
                return json_response(200, {})
        return await self._execute(method, target, body, ISOLATED_HEARTBEAT_TIMEOUT_S)

    async def execute_order(
        self, method: str, target: str, body: bytes, sent_after: float
    ) -> Response:
        """Executes an order for a zone, which its caller did not send before `sent_after`.

        If the outcome is not known, the caller is told so only once no copy of the order can take
        effect any longer: it may then send the order to another node, and the opposite after that.
        """
        process = self._process
        expires_at = sent_after + ORDER_VALIDITY_S
        origin = CallOrigin(_new_call_id(), sent_after)
        while True:
            try:
                return await self._attempt(method, target, body, origin, FORWARD_TIMEOUT_S)
            except StaleCallError as failure:  # or this node's clock of the leader is
                error = failure
            except CallError as failure:
                await asyncio.sleep(max(0.0, expires_at - process.now()))
                return error_response(503, str(failure))
            if process.now() + STALE_RETRY_PAUSE_S >= expires_at:
                await asyncio.sleep(max(0.0, expires_at - process.now()))
                return error_response(503, str(error))
            await asyncio.sleep(STALE_RETRY_PAUSE_S)

    async def _execute(
        self, method: str, target: str, body: bytes, isolated_timeout: float
    ) -> Response:
        """Executes a call, and answers 503 if the outcome is not known."""
        try:
            origin = CallOrigin(_new_call_id())
            return await self._attempt(method, target, body, origin, isolated_timeout)
        except CallError as failure:
            return error_response(503, str(failure))

    async def _attempt(
        self, method: str, target: str, body: bytes, origin: CallOrigin, isolated_timeout: float
    ) -> Response:
        """Executes a call here if this node leads, else forwards it to the leader.

        A call may be forwarded after its execution here has failed because leadership was lost.
        That is safe: the call has an id, and configuration changes are identified by their digest.
        Raises CallError if the outcome is not known.
        """
        process, called_at = self._process, self._process.now()
        if process.leadership and process.leads():
            with contextlib.suppress(NotLeaderError):
                return await process.operations.handle(method, target, body, origin)
        request = pb.OperationRequest(
            method=method, path=target, body=body, request_id=origin.call_id
        )
        if origin.sent_after is not None:
            request.sent_after.CopyFrom(self._follower.leader_clock.at(origin.sent_after))
        timeout = called_at + FORWARD_TIMEOUT_S - process.now()
        if not self._follower.in_contact(process.now()):
            timeout, attempt_timeout = min(isolated_timeout, timeout), ISOLATED_ATTEMPT_S
        elif len(body) < LARGE_FORWARD_BYTES:
            attempt_timeout = timeout
        else:
            timeout = attempt_timeout = LARGE_FORWARD_TIMEOUT_S
        return await self._forward(request, timeout, attempt_timeout)

    async def _forward(
        self, request: pb.OperationRequest, timeout: float, attempt_timeout: float
    ) -> Response:
        call = pb.Envelope(operation_request=request)
        answer = await self._follower.call(call, timeout, attempt_timeout)
        return answer.operation_response.status, answer.operation_response.body

    def answer_received(self, method: str, target: str, answer: Response) -> None:
        """Notes that a caller has received its answer: a later call for the zone is a new order."""
        route = match(CONTROL_ROUTES, method, target)
        if isinstance(route, RouteFailure) or route.call not in ORDER_CALLS:
            return
        status, body = answer
        if status != 200:
            return
        process = self._process
        receipt = pb.EvacuationReceipt(zone=route.args["zone"], order_id=json.loads(body)["order"])
        if process.leadership:
            process.leadership.evacuation_log.acknowledge(receipt.zone, receipt.order_id)
        elif process.leader_client.leader_address:
            process.leader_client.send(pb.Envelope(evacuation_receipt=receipt))


def _new_call_id() -> str:
    return f"{random.getrandbits(64):016x}"
