"""The leader's queue of watch requests: decides when and in which order they are answered.

A request stays pending until there is an update for it or its long-poll timeout expires. Changes
close in time are sent in one round, because each change concerns all requests. The send rate is
limited so that Raft heartbeats are not delayed on the leader's link, and the number of responses
built in a row so that other tasks get processor time. Nodes that know nothing of this term are
answered first, the others in the order of their waiting time. A request that cannot be answered in
time only gets its node's lease renewed, and the node asks again: no response is built in vain. So
is a request whose update cannot be made.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
from dataclasses import dataclass
from typing import Protocol

from cairndale.configuration.commands import Command
from cairndale.configuration.state import State
from cairndale.control.leadership import Leadership
from cairndale.control.lease_enrolment import LeaseEnrolment
from cairndale.errors import CallError, QueueFullError, RejectedError, StaleCallError
from cairndale.events import Event, log_event
from cairndale.rpc import protocol_pb2 as pb

MAX_PENDING_S = 5.0
RESPONSE_GRACE_S = 1.0  # after its long-poll timeout, until a request fails
# Interval between rounds in which all nodes are sent changes of endpoints and nodes, per ingress.
ROUND_INTERVAL_PER_INGRESS_S = 0.0015
MAX_ROUND_INTERVAL_S = 0.5
SEND_RATE_BYTES_PER_S = 7_500_000  # on average; half of a link of 120 Mbit/s
SEND_BURST_BYTES = 400_000
MAX_RESPONSES_IN_A_ROW = 16  # before yielding to other tasks
MIN_WAIT_S = 0.001
FAILURE_LOG_INTERVAL_S = 1.0
MAX_REFILL_S = 1.0  # the longest elapsed time that one refill accounts for


class Leader(Protocol):
    """The part of the control node that the watch server uses."""

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, or None while this process does not lead."""

    def now(self) -> float:
        """Seconds on the process's clock."""

    def require_leadership(self) -> Leadership:
        """The leadership. Raises CallError if this process does not lead."""

    async def decide(self, command: Command) -> bool:
        """Commits a command. Raises CallError if its outcome is not known."""

    def notify_change(self) -> None:
        """Wakes all tasks that wait for a change."""


def round_interval(ingresses: int) -> float:
    """Seconds between rounds of changes, with this number of ingresses."""
    return min(MAX_ROUND_INTERVAL_S, ROUND_INTERVAL_PER_INGRESS_S * ingresses)


@dataclass(frozen=True, slots=True)
class _UrgentState:
    """State whose changes are sent at once, without waiting for the next round."""

    epoch: str
    config_version: int
    is_counting: bool


@dataclass(slots=True, eq=False)
class _PendingWatch:
    request: pb.WatchRequest
    deadline: float  # when its long-poll timeout expires
    waiting_since: float  # the node's first request since it was last sent an update
    response: asyncio.Future[pb.WatchResponse]


class _SendBudget:
    """A token bucket of bytes, which one response may overdraw."""

    def __init__(self) -> None:
        self.bytes = float(SEND_BURST_BYTES)
        self._refilled_at = float("-inf")

    def refill(self, now: float) -> None:
        elapsed = now - max(self._refilled_at, now - MAX_REFILL_S)
        self.bytes = min(SEND_BURST_BYTES, self.bytes + elapsed * SEND_RATE_BYTES_PER_S)
        self._refilled_at = now

    def time_to_credit(self) -> float:
        """Seconds until the bucket allows a response, at least MIN_WAIT_S."""
        return max(MIN_WAIT_S, -self.bytes / SEND_RATE_BYTES_PER_S)


class WatchServer:
    """Answers watch requests while this process leads. Times are seconds on its clock."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self.enrolment = LeaseEnrolment(leader)
        self._pending: dict[_PendingWatch, None] = {}  # in order of arrival
        self._newest: dict[
            str, _PendingWatch
        ] = {}  # by node; a new request fails the node's earlier one
        self._by_deadline: list[tuple[float, int, _PendingWatch]] = []  # a heap
        self._arrivals = 0  # tie-breaker between equal deadlines
        self._ready: list[_PendingWatch] = []  # have an update
        self._ready_is_sorted = True
        self._waiting_since: dict[str, float] = {}  # by node, while it waits for an update
        self._woken = asyncio.Event()
        self._has_changed = False  # endpoints or nodes, since the last round
        self._last_round_at = float("-inf")
        self._sent_state: _UrgentState | None = None  # as of the last round
        self._budget = _SendBudget()
        self._failure_logged_at = float("-inf")

    def wake(self) -> None:
        """Notes a change, which is sent to the nodes in the next round."""
        self._has_changed = True
        self._woken.set()

    async def watch(self, request: pb.WatchRequest) -> pb.WatchResponse:
        """The response to a request, once there is an update or its long-poll timeout expires.

        A node has one request at a time: a new one fails the earlier one. Raises QueueFullError if
        there is no response within RESPONSE_GRACE_S after the timeout, StaleCallError for an
        outdated or superseded request, and CallError if this process does not lead.
        """
        leader = self._leader
        leader.require_leadership()
        if not request.HasField("node") or request.node.kind == "edge":
            await self.enrolment.enrol(request.name or request.node.name)
        leadership, now = leader.require_leadership(), leader.now()
        if leadership.record_watch_request(now, request):
            leader.notify_change()
        pending = self._enqueue(request, now)
        self._schedule(pending, leadership, now)
        try:
            async with asyncio.timeout(pending.deadline - now + RESPONSE_GRACE_S):
                return await pending.response
        except TimeoutError:
            raise QueueFullError(
                f"no response in time: {len(self._pending)} watch requests are pending"
            ) from None
        finally:
            self._dequeue(pending)

    def _enqueue(self, request: pb.WatchRequest, now: float) -> _PendingWatch:
        name = request.node.name
        pending = _PendingWatch(
            request=request,
            deadline=now + min(MAX_PENDING_S, request.wait_ms / 1000),
            waiting_since=self._waiting_since.setdefault(name, now),
            response=asyncio.get_running_loop().create_future(),
        )
        self._pending[pending] = None
        if (previous := self._newest.get(name)) and not previous.response.done():
            previous.response.set_exception(
                StaleCallError("superseded by a newer watch request of the node")
            )
        self._newest[name] = pending
        self._arrivals += 1
        heapq.heappush(self._by_deadline, (pending.deadline, self._arrivals, pending))
        return pending

    def _dequeue(self, pending: _PendingWatch) -> None:
        self._pending.pop(pending, None)
        name = pending.request.node.name
        if self._newest.get(name) is pending:
            del self._newest[name]

    def _schedule(self, pending: _PendingWatch, leadership: Leadership, now: float) -> None:
        """Wakes the answering task as early as a new request requires."""
        request, state = pending.request, self._leader.state
        if request.epoch != leadership.epoch(now) or request.config_version != state.version:
            self._ready.append(pending)
            self._ready_is_sorted = False
            self._woken.set()
        elif leadership.watch_responses.has_update(now, request, state):
            self.wake()
        elif self._by_deadline[0][2] is pending:
            self._woken.set()

    async def run(self) -> None:
        """Answers requests for as long as the process runs."""
        while True:
            self._woken.clear()
            wait = self.answer_due()
            if wait > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self._woken.wait()
            else:
                await asyncio.sleep(0)

    def answer_due(self) -> float:
        """Answers the requests that are due.

        Returns the seconds until the next call is needed, if nothing changes before.
        """
        now = self._leader.now()
        try:
            leadership = self._leader.require_leadership()
        except CallError as failure:
            self._fail_all(failure)
            return MAX_PENDING_S
        self._begin_round(leadership, now)
        self._budget.refill(now)
        waits = [MAX_PENDING_S]
        if self._ready and self._answer_ready(leadership, now):
            waits.append(0.0)
        elif self._ready:
            waits.append(self._budget.time_to_credit())
        self._renew_overdue(leadership, now)
        if self._by_deadline:
            waits.append(max(MIN_WAIT_S, self._by_deadline[0][0] - now))
        if self._has_changed:
            waits.append(max(MIN_WAIT_S, self._next_round_at(leadership, now) - now))
        return min(waits)

    def _fail_all(self, failure: CallError) -> None:
        for pending in self._pending:
            if not pending.response.done():
                pending.response.set_exception(type(failure)())
        self._ready, self._by_deadline, self._waiting_since = [], [], {}
        self._sent_state = None

    def _next_round_at(self, leadership: Leadership, now: float) -> float:
        return self._last_round_at + round_interval(leadership.ingress_counter.count(now))

    def _begin_round(self, leadership: Leadership, now: float) -> None:
        """Collects all requests that have an update, once per round or urgent change."""
        state = self._leader.state
        urgent = _UrgentState(
            epoch=leadership.epoch(now),
            config_version=state.version,
            is_counting=leadership.grants.is_counting,
        )
        is_round_due = self._has_changed and now >= self._next_round_at(leadership, now)
        if urgent == self._sent_state and not is_round_due:
            return
        self._sent_state, self._has_changed, self._last_round_at = urgent, False, now
        has_update = leadership.watch_responses.has_update
        self._ready = [
            pending
            for pending in self._pending
            if not pending.response.done() and has_update(now, pending.request, state)
        ]
        self._ready_is_sorted = False

    def _answer_ready(self, leadership: Leadership, now: float) -> bool:
        """Answers some of the ready requests; True if more may be answered at once."""
        if not self._ready_is_sorted:
            self._ready.sort(key=lambda p: (p.request.epoch != "", p.waiting_since))
            self._ready_is_sorted = True
        position = 0
        for position, pending in enumerate(self._ready):
            if self._budget.bytes <= 0 or position >= MAX_RESPONSES_IN_A_ROW:
                break
            if not pending.response.done():
                self._send_update(pending, leadership, now)
        else:
            position = len(self._ready)
        del self._ready[:position]
        return bool(self._ready) and self._budget.bytes > 0

    def _send_update(self, pending: _PendingWatch, leadership: Leadership, now: float) -> None:
        """Answers a request with an update.

        If the update cannot be made, the request stays pending: at its deadline the node's lease is
        renewed, so that it serves on with what it has.
        """
        try:
            response = leadership.watch_responses.update(now, pending.request, self._leader.state)
        except Exception as error:
            self._log_failure("update", pending, error, now)
            return
        self._budget.bytes -= response.ByteSize()
        self._waiting_since.pop(pending.request.node.name, None)
        pending.response.set_result(response)

    def _renew_overdue(self, leadership: Leadership, now: float) -> None:
        """Renews the leases of nodes whose long-poll timeout has expired."""
        by_deadline = self._by_deadline
        is_any_overdue = bool(by_deadline) and by_deadline[0][0] <= now
        ready = set(self._ready) if is_any_overdue else set()
        while by_deadline and (by_deadline[0][0] <= now or by_deadline[0][2].response.done()):
            pending = heapq.heappop(by_deadline)[2]
            if pending.response.done():
                continue
            if pending not in ready:  # else the node keeps its place in the order of waiting time
                self._waiting_since.pop(pending.request.node.name, None)
            try:
                renewal = leadership.watch_responses.renewal(now, pending.request)
            except Exception as error:
                self._log_failure("renewal", pending, error, now)
                pending.response.set_exception(RejectedError("the renewal could not be made"))
                continue
            pending.response.set_result(renewal)

    def _log_failure(
        self, response: str, pending: _PendingWatch, error: Exception, now: float
    ) -> None:
        """Logs a response that could not be made, at most one in FAILURE_LOG_INTERVAL_S."""
        if now - self._failure_logged_at >= FAILURE_LOG_INTERVAL_S:
            self._failure_logged_at = now
            node = pending.request.node.name
            log_event(Event.FAILED, "%s for %s could not be made: %r", response, node, error)
