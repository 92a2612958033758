"""Proposes commands to the Raft log and waits for their outcome.

A proposal is pending under its entry's index until an entry is applied at that index. If that is
the proposal's own entry, its outcome is known. If it is an entry of another leader, the command may
have been committed at another index, so the outcome is unknown (`CallTimeoutError`). It is also
unknown if the term ends first or no majority answers in time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from cairndale.configuration.commands import Command
from cairndale.control.applier import AppliedEntry, encode_command
from cairndale.control.clock import Clock
from cairndale.control.raft_driver import RaftDriver
from cairndale.errors import CallError, CallTimeoutError, NotLeaderError
from cairndale.raft.fragments import MAX_UNCOMMITTED, FragmentKind, encode_fragment
from cairndale.raft.messages import Ready
from cairndale.raft.node import RaftNode

DECISION_TIMEOUT_S = 3.0  # for an entry to be committed and applied


@dataclass(frozen=True, slots=True, eq=False)
class PendingProposal:
    """An entry that this leader has proposed and that is not applied yet."""

    index: int
    term: int
    future: asyncio.Future[bool]  # whether the entry changed the state


class Proposals:
    """The commands that this node has proposed as leader and whose outcome is pending."""

    def __init__(self, raft: RaftNode, driver: RaftDriver, clock: Clock) -> None:
        self._raft, self._driver, self._clock = raft, driver, clock
        self._pending: dict[int, PendingProposal] = {}  # by index
        self._fragments_lock = asyncio.Lock()  # one fragmented command at a time
        self._tasks: set[asyncio.Task[bool]] = set()

    async def decide(self, command: Command) -> bool:
        """Returns once a majority has the command on disk and it is applied here.

        True if it changed the state, False if it is void. Raises NotLeaderError if it was not
        proposed, and CallTimeoutError if its outcome is not known.
        """
        data = encode_command(command)
        if isinstance(data, bytes):
            return await self._outcome(self._propose(data, self._raft.term))
        # The task continues if the caller is cancelled: a partial command would delay snapshots.
        task = asyncio.get_running_loop().create_task(self._decide_in_fragments(data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            raise CallTimeoutError(
                "process is stopping; the outcome of the command is not known"
            ) from None

    def cancel(self) -> None:
        """Cancels fragmented commands when the process stops."""
        for task in self._tasks:
            task.cancel()

    def resolve(self, applied: AppliedEntry) -> None:
        """Completes the proposal that is pending under the applied entry's index, if any."""
        entry = applied.entry
        pending = self._pending.pop(entry.index, None)
        if pending and not pending.future.done():
            if pending.term == entry.term:
                pending.future.set_result(applied.changed)
            else:  # another leader's entry: the command may have been committed at another index
                pending.future.set_exception(
                    CallTimeoutError("another leader's entry was committed at this index")
                )

    def fail_stale_proposals(self) -> None:
        """Fails all proposals of terms that this node no longer leads."""
        for pending in self._pending.values():
            is_over = pending.term != self._raft.term or self._raft.leader != self._raft.me
            if is_over and not pending.future.done():
                pending.future.set_exception(CallTimeoutError("the leader's term has ended"))

    async def _decide_in_fragments(self, fragments: Iterator[bytes]) -> bool:
        async with self._fragments_lock:
            term, window, changed = self._raft.term, deque[PendingProposal](), False
            try:
                for data in fragments:
                    await asyncio.sleep(0)
                    if data:
                        while len(window) >= MAX_UNCOMMITTED:
                            await self._outcome(window.popleft())
                        window.append(self._propose(data, term))
                for pending in window:
                    changed = await self._outcome(pending)
            except CallError:
                for pending in window:
                    self._pending.pop(pending.index, None)
                    pending.future.cancel()
                # In a later term the first entry of its leader already voids the fragments.
                if self._raft.term == term:
                    abort = encode_fragment(FragmentKind.ABORT, 0, b"")
                    self._driver.carry_out(self._raft.propose(self._clock.now(), abort)[1])
                raise
            return changed

    def _propose(self, data: bytes, term: int) -> PendingProposal:
        """Appends an entry to the log. Raises NotLeaderError if this node does not lead `term`."""
        step, index = Ready(), 0
        if self._raft.term == term:
            index, step = self._raft.propose(self._clock.now(), data)
        if not index:
            raise NotLeaderError()
        pending = PendingProposal(index, term, asyncio.get_running_loop().create_future())
        # Registered before the step is carried out: a cluster of one applies the entry within it.
        self._pending[index] = pending
        self._driver.carry_out(step)
        return pending

    async def _outcome(self, pending: PendingProposal) -> bool:
        try:
            async with asyncio.timeout(DECISION_TIMEOUT_S):
                return await pending.future
        except TimeoutError:
            raise CallTimeoutError(
                f"no majority has stored the entry within {DECISION_TIMEOUT_S} s"
            ) from None
        finally:
            if self._pending.get(pending.index) is pending:
                del self._pending[pending.index]
