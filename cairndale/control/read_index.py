"""The read index (Raft, section 8): a leader answers a call once a majority has followed it since.

Why that is enough. A majority answered, in this term, what was sent after the call came. Whoever
leads in a later term needs the vote of one of them, which was given after its answer, so after the
call: when the call came nobody led in a later term, and all that had been committed by then was
committed by this leader, or before its first entry. Its state holds all of that once it is applied
up to the commit index of that moment. Nothing is required of clocks but that this process's own
does not go back; a pause of the process at any line only makes the call longer.

The event loop reads its clock once a turn. What was sent in the turn of a call bears the call's
time, and may have been sent before it, with a pause of the process between the two: so only what
bears a later time counts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cairndale.control.clock import Clock
from cairndale.errors import CallError, NotLeaderError
from cairndale.raft.messages import Ready

QUORUM_TIMEOUT_S = 0.6  # s for a majority to answer; time is left then to pass a call on
HEARTBEAT_DELAY_S = 0.002  # s after a call: the heartbeat has to bear a later time than the call
MIN_HEARTBEAT_INTERVAL_S = 0.01  # s at least between two heartbeats that were sent for calls


class Log(Protocol):
    """What is asked of the Raft state machine."""

    term: int

    def leads(self, now: float) -> bool:
        """Whether this node holds the leader lease."""

    def last_quorum_contact(self, now: float) -> float:
        """When that was sent which a majority has answered last."""

    def heartbeat_soon(self, now: float, apart: float) -> Ready:
        """Heartbeats ahead of time, if the last ones were sent `apart` seconds ago or more."""


@dataclass(frozen=True, slots=True)
class _PendingRead:
    """A call that waits for a majority."""

    called_at: float
    term: int
    index: int
    future: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class _LogStatus:
    """What confirms calls, at one moment."""

    term: int
    leads: bool
    contact: float
    applied: int  # the index of the last applied entry


class ReadIndex:
    """The calls that wait until this node is known to have led after they came.

    `carry_out` carries out a step of the Raft state machine.
    """

    def __init__(
        self,
        raft: Log,
        clock: Clock,
        applied_index: Callable[[], int],
        carry_out: Callable[[Ready], None],
    ) -> None:
        self._raft, self._clock = raft, clock
        self._applied_index, self._carry_out = applied_index, carry_out
        self._pending: set[_PendingRead] = set()
        self._timer: asyncio.TimerHandle | None = None

    def _status(self) -> _LogStatus:
        raft, now = self._raft, self._clock.now()
        return _LogStatus(
            raft.term, raft.leads(now), raft.last_quorum_contact(now), self._applied_index()
        )

    def _is_confirmed(self, pending: _PendingRead, status: _LogStatus) -> bool:
        if status.term != pending.term:
            raise NotLeaderError()
        return (
            status.leads and status.contact > pending.called_at and status.applied >= pending.index
        )

    async def confirm(
        self, called_at: float, term: int, index: int = 0, at_once: bool = True
    ) -> None:
        """Returns once a majority has followed this leader, in `term`, since the time `called_at`.

        The log is applied up to `index` then. `at_once`: a heartbeat is sent for the call, else the
        next one is waited for. Raises NotLeaderError where the term is over or no majority answers
        in time: this node may lead no longer.
        """
        pending = _PendingRead(called_at, term, index, asyncio.get_running_loop().create_future())
        if self._is_confirmed(pending, self._status()):
            return
        self._pending.add(pending)
        try:
            if at_once:
                self._schedule_heartbeat(HEARTBEAT_DELAY_S)
            async with asyncio.timeout(QUORUM_TIMEOUT_S):
                await pending.future
        except TimeoutError:
            raise NotLeaderError("no majority has answered") from None
        finally:
            self._pending.discard(pending)

    def _schedule_heartbeat(self, delay: float) -> None:
        """One heartbeat for all calls that wait."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(delay, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._timer = None
        if not self._pending:
            return
        step = self._raft.heartbeat_soon(self._clock.now(), MIN_HEARTBEAT_INTERVAL_S)
        if step.sends:
            self._carry_out(step)
        else:
            self._schedule_heartbeat(MIN_HEARTBEAT_INTERVAL_S)
            self.resolve()

    def resolve(self) -> None:
        """Ends the calls that are confirmed by now, or whose term is over; after each step.

        The log is asked once for all of them.
        """
        if not self._pending:
            return
        status = self._status()
        for pending in list(self._pending):
            if pending.future.done():
                continue
            try:
                if self._is_confirmed(pending, status):
                    pending.future.set_result(None)
            except CallError as failure:
                pending.future.set_exception(failure)
