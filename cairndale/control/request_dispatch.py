"""Hands what other processes send to its handlers: Raft messages, calls to the leader."""

from __future__ import annotations

from cairndale.control.change_notifier import ChangeNotifier
from cairndale.control.clock import Clock
from cairndale.control.heartbeat_batch import register_endpoints
from cairndale.control.leadership_tracker import LeadershipTracker
from cairndale.control.operations import OperationHandler
from cairndale.control.raft_driver import RaftDriver
from cairndale.control.read_index import ReadIndex
from cairndale.control.watch_server import WatchServer
from cairndale.errors import FaultCode, NotLeaderError, RejectedError
from cairndale.raft import codec
from cairndale.raft.node import RaftNode
from cairndale.rpc import protocol_pb2 as pb


class RequestDispatcher:
    """The receiving end of the RPC port of a control node."""

    def __init__(
        self,
        raft: RaftNode,
        driver: RaftDriver,
        leadership: LeadershipTracker,
        read_index: ReadIndex,
        watch_server: WatchServer,
        operations: OperationHandler,
        notifier: ChangeNotifier,
        clock: Clock,
    ) -> None:
        self._raft, self._driver, self._leadership = raft, driver, leadership
        self._read_index, self._watch_server = read_index, watch_server
        self._operations, self._notifier, self._clock = operations, notifier, clock

    def receive(self, envelope: pb.Envelope) -> None:
        """Acts upon a message that wants no answer; what cannot be read is dropped."""
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
        """The answer to a call.

        A call that this node is no leader for is answered with that fault and, where it is known,
        the leader's address. Raises CallError for all other failures.
        """
        try:
            return await self._answer_as_leader(envelope)
        except NotLeaderError:
            leader = self._raft.leader
            hint = leader.address if leader and leader != self._raft.me else ""
            return pb.Envelope(fault_code=FaultCode.NOT_LEADER, forward_to=hint)

    async def _answer_as_leader(self, envelope: pb.Envelope) -> pb.Envelope:
        leads = self._leadership
        match envelope.WhichOneof("body"):
            case "watch_request":
                leads.require(envelope.term)
                watch_response = await self._watch_server.watch(envelope.watch_request)
                return pb.Envelope(watch_response=watch_response, term=leads.require().term)
            case "quota_request" | "budget_request":
                return leads.require(envelope.term).grants.answer(self._clock.now(), envelope)
            case "heartbeat_report":
                leadership, now = leads.require(envelope.term), self._clock.now()
                leadership.record_report(now, envelope.heartbeat_report)
                await self._confirm(now, leadership.term)
                return pb.Envelope(term=leadership.term)
            case "endpoint_report":
                term = await self.register_endpoints(envelope.endpoint_report, envelope.term)
                return pb.Envelope(term=term)
            case "operation_request":
                term, order = leads.require(envelope.term).term, envelope.operation_request
                status, body = await self._operations.handle(
                    order.method, order.path, order.body, order.request_id
                )
                response = pb.OperationResponse(status=status, body=body)
                return pb.Envelope(operation_response=response, term=term)
        raise RejectedError("not known here")

    async def register_endpoints(self, report: pb.EndpointReport, term: int = 0) -> int:
        """Registers endpoints that were reported to another control node.

        Returns the term in which they are registered, once a majority has confirmed it. Raises
        NotLeaderError where this node does not lead in a term of at least `term`, or loses the lead
        meanwhile.
        """
        leadership, now = self._leadership.require(term), self._clock.now()
        if register_endpoints(leadership.endpoint_registry, report, now):
            self._notifier.notify()
        await self._confirm(now, leadership.term)
        return leadership.term

    async def _confirm(self, called_at: float, term: int) -> None:
        """Waits for the next heartbeat's answers, which confirm many calls at once."""
        await self._read_index.confirm(called_at, term, self._raft.commit_index, at_once=False)
