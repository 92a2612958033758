"""Dispatches Raft messages, and calls to the leader, to their handlers."""

from __future__ import annotations

from cairndale.control.call_origin import CallOrigin
from cairndale.control.change_notifier import ChangeNotifier
from cairndale.control.clock import Clock
from cairndale.control.departure_log import DepartureLog
from cairndale.control.heartbeat_batch import register_endpoints
from cairndale.control.leadership_tracker import LeadershipTracker
from cairndale.control.operations import OperationHandler
from cairndale.control.raft_driver import RaftDriver
from cairndale.control.read_index import ReadIndex
from cairndale.control.watch_server import WatchServer
from cairndale.errors import FaultCode, NotLeaderError, RejectedError
from cairndale.raft import codec
from cairndale.raft.node import RaftNode
from cairndale.registry.departures import Departure
from cairndale.rpc import protocol_pb2 as pb


class RequestDispatcher:
    """Handles what arrives at the RPC port of a control node."""

    def __init__(
        self,
        raft: RaftNode,
        driver: RaftDriver,
        leadership: LeadershipTracker,
        read_index: ReadIndex,
        watch_server: WatchServer,
        operations: OperationHandler,
        departures: DepartureLog,
        notifier: ChangeNotifier,
        clock: Clock,
    ) -> None:
        self._raft, self._driver, self._leadership = raft, driver, leadership
        self._read_index, self._watch_server = read_index, watch_server
        self._operations, self._departures = operations, departures
        self._notifier, self._clock = notifier, clock

    def receive(self, envelope: pb.Envelope) -> None:
        """Handles a one-way message; a Raft message that cannot be decoded is dropped."""
        leadership = self._leadership.current
        match envelope.WhichOneof("body"):
            case "log_message":
                try:
                    message = codec.decode_message(envelope.log_message)
                except ValueError:
                    return
                self._driver.receive(message)
            case "evacuation_receipt" if leadership and leadership.term == envelope.term:
                receipt = envelope.evacuation_receipt
                leadership.evacuation_log.acknowledge(receipt.zone, receipt.order_id)

    async def answer(self, envelope: pb.Envelope) -> pb.Envelope:
        """Answers a call.

        While this node does not lead, the answer is the fault NOT_LEADER with the leader's address,
        if that is known. Raises CallError for all other failures.
        """
        try:
            return await self._answer_as_leader(envelope)
        except NotLeaderError:
            leader = self._raft.leader
            hint = leader.address if leader and leader != self._raft.me else ""
            return pb.Envelope(fault_code=FaultCode.NOT_LEADER, forward_to=hint)

    async def _answer_as_leader(self, envelope: pb.Envelope) -> pb.Envelope:
        tracker = self._leadership
        match envelope.WhichOneof("body"):
            case "watch_request":
                tracker.require(envelope.term)
                watch_response = await self._watch_server.watch(envelope.watch_request)
                return pb.Envelope(watch_response=watch_response, term=tracker.require().term)
            case "quota_request" | "budget_request":
                return tracker.require(envelope.term).grants.answer(self._clock.now(), envelope)
            case "heartbeat_report":
                leadership, now = tracker.require(envelope.term), self._clock.now()
                leadership.record_report(now, envelope.heartbeat_report)
                await self._confirm(now, leadership.term)
                return pb.Envelope(term=leadership.term)
            case "endpoint_report":
                term = await self.register_endpoints(envelope.endpoint_report, envelope.term)
                return pb.Envelope(term=term)
            case "operation_request":
                return await self._answer_operation(envelope)
        raise RejectedError(f"unknown call {envelope.WhichOneof('body')!r}")

    async def _answer_operation(self, envelope: pb.Envelope) -> pb.Envelope:
        leadership, operation = self._leadership.require(envelope.term), envelope.operation_request
        sent_after = None
        if operation.HasField("sent_after"):
            sent_after = leadership.local_time(operation.sent_after)
        status, body = await self._operations.handle(
            operation.method,
            operation.path,
            operation.body,
            CallOrigin(operation.request_id, sent_after),
        )
        response = pb.OperationResponse(status=status, body=body)
        return pb.Envelope(operation_response=response, term=leadership.term)

    async def register_endpoints(self, report: pb.EndpointReport, term: int = 0) -> int:
        """Registers endpoints that were reported to another control node.

        Returns the term in which they are registered, once a majority has confirmed it and has the
        departures of those that drain on disk. Raises NotLeaderError if this node does not lead in
        a term of at least `term`, or loses leadership meanwhile, and CallError if a departure may
        not be recorded.
        """
        leadership, now = self._leadership.require(term), self._clock.now()
        if register_endpoints(leadership.endpoint_registry, report, now):
            self._notifier.notify()
        draining = [message.id for message in report.endpoints if message.state == "draining"]
        await self._departures.record(Departure.DRAINING, draining)
        await self._confirm(now, leadership.term)
        return leadership.term

    async def _confirm(self, called_at: float, term: int) -> None:
        """Waits for the answers to the next regular heartbeat, which confirm many calls at once."""
        await self._read_index.confirm(called_at, term, self._raft.commit_index, at_once=False)
