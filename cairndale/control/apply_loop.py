"""Applies committed entries to the replicated state in turns of bounded duration.

A turn takes at most about MAX_TURN_S and then yields to the event loop, so that a large backlog
does not delay heartbeats. Snapshots are started here after entries have been applied.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Sequence

from cairndale.configuration.state import State
from cairndale.control.applier import AppliedEntry, Applier
from cairndale.control.raft_driver import RaftDriver
from cairndale.control.snapshot_worker import SnapshotWorker
from cairndale.events import Event, log_event
from cairndale.raft.messages import Ready
from cairndale.raft.node import RaftNode
from cairndale.raft.replica import Role

SNAPSHOT_INTERVAL_ENTRIES = 128  # a snapshot is taken at each multiple of this index
MAX_LOG_BYTES = 4 * 1024 * 1024  # of entries since the last snapshot, before the next one is taken
MAX_TURN_S = 0.005


class ApplyLoop:
    """Applies committed entries in log order.

    `on_applied` is called after each entry, `on_turn_end` after each turn.
    """

    def __init__(
        self,
        raft: RaftNode,
        applier: Applier,
        snapshot_worker: SnapshotWorker,
        driver: RaftDriver,
        on_applied: Sequence[Callable[[AppliedEntry], None]],
        on_turn_end: Callable[[], None],
    ) -> None:
        self._raft, self._applier, self._driver = raft, applier, driver
        self._snapshot_worker = snapshot_worker
        self._on_applied, self._on_turn_end = on_applied, on_turn_end
        self._loop = asyncio.get_running_loop()
        self._is_running = False  # a turn is running or scheduled
        self._is_snapshot_due = False  # deferred to the end of a fragmented command

    @property
    def state(self) -> State:
        """The replicated state as of the last applied entry."""
        return self._applier.state

    def applied_index(self) -> int:
        """The index of the last applied entry."""
        return self._applier.index

    def follow(self, step: Ready) -> None:
        """Applies the snapshot and the entries that a Raft step has restored or committed."""
        if step.restored_snapshot:
            self._applier.restore(
                self._snapshot_worker.installed_state,
                step.restored_snapshot.index,
                step.restored_snapshot.term,
            )
            self._is_snapshot_due = False
        self._applier.enqueue(step.committed_entries)
        self._run_turn()

    def _run_turn(self) -> None:
        if self._is_running or not self._applier.has_backlog:
            return
        self._is_running = True
        try:
            self._apply_until(time.perf_counter() + MAX_TURN_S)
            self._on_turn_end()
            if self._applier.is_between_commands and self._is_log_oversized():
                self._snapshot_worker.create(self.state.to_dict(), self._applier.index)
        finally:  # a listener that fails must not end the application of the log
            if self._applier.has_backlog:
                self._yield_to_loop(self._resume)
            else:
                self._is_running = False

    def _apply_until(self, deadline: float) -> None:
        self._applier.encodes_content = self._raft.role is Role.LEADER
        more = True
        while more:
            if applied := self._step():
                self._entry_applied(applied)
            more = self._applier.has_backlog and time.perf_counter() < deadline

    def _step(self) -> AppliedEntry | None:
        """Does one step of work.

        If it fails the process exits at once: it must not go on without an entry that the other
        members have applied. After its restart it applies the entry from the beginning.
        """
        try:
            return self._applier.step()
        except Exception as error:
            log_event(Event.FAILED, "entry %d not applied: %r", self._applier.index + 1, error)
            os._exit(1)

    def _yield_to_loop(self, resume: Callable[[], None]) -> None:
        self._loop.call_soon(resume)

    def _resume(self) -> None:
        """Starts the next turn by an empty Raft step, so that step listeners see the progress."""
        self._is_running = False
        self._driver.carry_out(Ready())

    def _entry_applied(self, applied: AppliedEntry) -> None:
        # Depends on the index alone, so that all members take the same snapshots and the next
        # leader has the one that this leader has.
        self._is_snapshot_due |= applied.entry.index % SNAPSHOT_INTERVAL_ENTRIES == 0
        if self._is_snapshot_due and self._applier.is_between_commands:
            self._is_snapshot_due = False
            self._snapshot_worker.create(self.state.to_dict(), applied.entry.index)
        for listener in self._on_applied:
            listener(applied)

    def _is_log_oversized(self) -> bool:
        log = self._raft.log
        has_many_entries = len(log) >= 2 * SNAPSHOT_INTERVAL_ENTRIES
        return (
            self._raft.wants_snapshot()
            or has_many_entries
            or sum(len(e.data) for e in log) >= MAX_LOG_BYTES
        )
