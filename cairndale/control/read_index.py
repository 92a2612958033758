"""The read index: an answer waits until a majority is known to have followed this leader after the
call came.

Why that is enough. A majority answered, in this term, what was sent after the call had come.
Whoever holds a later term needs the vote of one of them, which was given after its answer, so after
the call: when the call came, nobody held a later term, and all that had been decided by then was
decided by this leader or before its first entry. Its state holds all of that once it is applied as
far as was decided when the call came. Nothing is asked of clocks but that this process's own does
not go back, and a freeze at any line only makes the call longer.

A loop looks at its clock once a round. What was sent in the round of a call bears the call's time,
and may have been sent before it, with a freeze between the two: so only what bears a later time
counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cairndale.control.clock import Clock
from cairndale.errors import CallError, NotLeaderError
from cairndale.raft.messages import Ready

PATIENCE = 0.6  # s for a majority to answer: a leader without one has time left to pass a call on
# s after which a beat is sent for those who wait: it is to bear a later time than the call ...
SOON = 0.002
APART = 0.01  # ... and so many at least after the last one


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
class _Waiting:
    called: float
    term: int
    index: int
    future: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class _Stand:
    """How the log stands at one moment."""

    term: int
    leads: bool
    contact: float
    applied: int  # the newest entry that is in force here


class ReadIndex:
    def __init__(
        self,
        raft: Log,
        clock: Clock,
        applied_index: Callable[[], int],
        carry_out: Callable[[Ready], None],
    ) -> None:
        self._raft, self._clock = raft, clock
        self._applied_index, self._carry_out = applied_index, carry_out
        self._waiting: set[_Waiting] = set()
        self._timer: asyncio.TimerHandle | None = None

    def _stand(self) -> _Stand:
        raft, now = self._raft, self._clock.now()
        return _Stand(
            raft.term, raft.leads(now), raft.last_quorum_contact(now), self._applied_index()
        )

    def _is_met(self, waiting: _Waiting, stand: _Stand) -> bool:
        if stand.term != waiting.term:
            raise NotLeaderError()
        return stand.leads and stand.contact > waiting.called and stand.applied >= waiting.index

    async def confirm(self, called: float, term: int, index: int = 0, at_once: bool = True) -> None:
        """Until a majority has answered what was sent later than `called`, in the term in which the
        state was looked at, and the log is in force up to `index`. `at_once`: a beat is sent for
        it, else the next one is waited for. Raises CallError: this one may hold the duty no
        longer."""
        waiting = _Waiting(called, term, index, asyncio.get_running_loop().create_future())
        if self._is_met(waiting, self._stand()):
            return
        self._waiting.add(waiting)
        try:
            if at_once:
                self._hurry(SOON)
            async with asyncio.timeout(PATIENCE):
                await waiting.future
        except TimeoutError:
            raise NotLeaderError("no majority has answered") from None
        finally:
            self._waiting.discard(waiting)

    def _hurry(self, within: float) -> None:
        """One beat for all who wait."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(within, self._beat)

    def _beat(self) -> None:
        self._timer = None
        if not self._waiting:
            return
        step = self._raft.heartbeat_soon(self._clock.now(), APART)
        if step.sends:
            self._carry_out(step)
        else:
            self._hurry(APART)
            self.look()

    def look(self) -> None:
        """After each step. What is asked of the log is asked once for all who wait."""
        if not self._waiting:
            return
        stand = self._stand()
        for waiting in list(self._waiting):
            if waiting.future.done():
                continue
            try:
                if self._is_met(waiting, stand):
                    waiting.future.set_result(None)
            except CallError as failure:
                waiting.future.set_exception(failure)
