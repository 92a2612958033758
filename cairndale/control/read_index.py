"""The read index (Raft, section 8): a leader answers a call once a majority has confirmed it since.

Why this is linearizable: a majority has answered, in this term, messages sent after the call
arrived. The leader of a later term needs the vote of one of these members, given after that answer
and so after the call. Hence nobody led a later term when the call arrived, and everything committed
by then was committed by this leader or before its first entry. The leader's state contains all of
it once the log is applied up to the commit index of that time. The only requirement on clocks is
that this process's own clock is monotonic; a pause of the process at any line only makes the call
take longer.

The event loop reads its clock once per iteration. A message sent in the same iteration as the call
has the call's timestamp but may have been sent before it, with a pause of the process in between.
So only messages with a later timestamp count.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cairndale.control.clock import Clock
from cairndale.errors import CallError, NotLeaderError
from cairndale.raft.messages import Ready

QUORUM_TIMEOUT_S = 0.6  # for a majority to answer; leaves time to forward the call afterwards
HEARTBEAT_DELAY_S = 0.002  # after a call: the heartbeat needs a later timestamp than the call
MIN_HEARTBEAT_INTERVAL_S = 0.01  # between heartbeats that are sent for calls


class Log(Protocol):
    """The part of the Raft state machine that the read index uses."""

    term: int

    def leads(self, now: float) -> bool:
        """Whether this node holds the leader lease."""

    def last_quorum_contact(self, now: float) -> float:
        """The latest time such that a majority has answered messages sent at or after it."""

    def heartbeat_soon(self, now: float, min_interval: float) -> Ready:
        """Sends heartbeats early unless the last were sent within `min_interval` seconds."""


@dataclass(frozen=True, slots=True)
class _PendingRead:
    """A call that waits for confirmation by a majority."""

    called_at: float
    term: int
    index: int
    future: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class _LogStatus:
    """The Raft state that calls are checked against."""

    term: int
    leads: bool
    contact: float
    applied: int  # the index of the last applied entry


class ReadIndex:
    """Confirms that this node still led after a call arrived.

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
        """Returns once a majority has acknowledged this leader, in `term`, after `called_at`.

        The log is applied up to `index` by then. `at_once` sends a heartbeat for the call, else the
        next regular one is awaited. Raises NotLeaderError if the term has ended or no majority
        answers in time, since this node may no longer lead.
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
            raise NotLeaderError(f"no majority has answered within {QUORUM_TIMEOUT_S} s") from None
        finally:
            self._pending.discard(pending)

    def _schedule_heartbeat(self, delay: float) -> None:
        """Schedules one heartbeat for all pending calls, unless one is scheduled."""
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
        """Completes the calls that are confirmed or whose term has ended; called after each step.

        Queries the Raft state once for all of them.
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
