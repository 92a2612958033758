"""Creates, stores, decodes and installs snapshots in steps that do not block the event loop.

A job is a generator that yields after each step. The worker advances the oldest job by one step and
then leaves the loop to other tasks for a while. Snapshots of small states are completed within the
call that starts them.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from cairndale.configuration import serialization
from cairndale.configuration.state import State
from cairndale.control.gc_pause import gc_paused
from cairndale.events import Event, log_event
from cairndale.raft.messages import Ready, SaveSnapshotChunk, Snapshot, state_digest
from cairndale.raft.node import RaftNode
from cairndale.raft.storage import RaftStorage, StorageError

INLINE_STEPS = 2  # done within the call that starts a job: enough for a small state
WRITE_CHUNK_BYTES = 64 * 1024  # of a snapshot, written to disk in one step
MIN_PAUSE_S = 0.002  # between two steps
PAUSE_RATIO = 3.0  # of a pause to the duration of the step before: leaves time on a slow disk
RETRY_DELAY_S = 5.0  # after a snapshot could not be written

Job = Iterator[None]


class SnapshotWorker:
    """Runs all snapshot jobs; one snapshot is created at a time.

    `carry_out` carries out a step of the Raft state machine, `now` returns the time in seconds. If
    a snapshot cannot be written, that is logged and the snapshot is dropped: the log still contains
    its entries.
    """

    def __init__(
        self,
        storage: RaftStorage,
        raft: RaftNode,
        carry_out: Callable[[Ready], None],
        now: Callable[[], float],
    ) -> None:
        self._storage, self._raft, self._carry_out, self._now = storage, raft, carry_out, now
        self._jobs: deque[Job] = deque([self._sweep_steps()])
        self._is_creating = False
        self._retry_at = float("-inf")
        self.installed_state = State()  # of the snapshot that was decoded last

    def create(self, raw: dict[str, Any], index: int) -> None:
        """Starts a snapshot of the state after the entry at `index`.

        Does nothing while another is being created, if one of that index or later exists, or for
        RETRY_DELAY_S seconds after a failure.
        """
        is_newer = index > self._raft.base_snapshot.index
        if not self._is_creating and is_newer and self._now() >= self._retry_at:
            self._is_creating = True
            self._begin(self._create_steps(raw, index))

    def install(self, snapshot: Snapshot) -> None:
        """Starts to install a received snapshot; logs and drops one that cannot be decoded."""
        self._begin(self._install_steps(snapshot))

    def _begin(self, job: Job) -> None:
        for _ in range(INLINE_STEPS):
            if not self._advance(job):
                return
        self._jobs.append(job)

    def _advance(self, job: Job) -> bool:
        """Advances a job by one step; False once it has ended."""
        try:
            next(job)
        except StopIteration:
            return False
        except Exception as error:  # jobs write nothing that must be durable by then
            text = str(error) if isinstance(error, StorageError) else repr(error)
            log_event(Event.SNAPSHOT_FAILED, "%s", text)
            self._retry_at = self._now() + RETRY_DELAY_S
            self._jobs.append(self._sweep_steps(failed=True))
            return False
        return True

    def step(self) -> bool:
        """Advances the oldest job by one step; False once no work is left."""
        if self._jobs:
            job = self._jobs.popleft()
            if self._advance(job):
                self._jobs.append(job)
        return bool(self._jobs)

    def step_and_pause(self) -> float:
        """Does one step; returns the seconds to pause until the next one."""
        begun = time.perf_counter()
        more = self.step()
        return (
            max(MIN_PAUSE_S, PAUSE_RATIO * (time.perf_counter() - begun))
            if more
            else 10 * MIN_PAUSE_S
        )

    def _create_steps(self, raw: dict[str, Any], index: int) -> Job:
        try:
            parts, digest = [], state_digest()
            for part in serialization.encode_parts(raw):
                parts.append(part)
                digest.update(part)
                if len(parts) > INLINE_STEPS:
                    yield
            if index <= self._raft.base_snapshot.index:  # a newer one was installed meanwhile
                return
            snapshot = self._raft.make_snapshot(index, b"".join(parts), digest.digest())
            if len(snapshot.state) > WRITE_CHUNK_BYTES:
                for offset in range(0, len(snapshot.state), WRITE_CHUNK_BYTES):
                    yield
                    chunk = snapshot.state[offset : offset + WRITE_CHUNK_BYTES]
                    self._storage.write(
                        [SaveSnapshotChunk(snapshot.head, offset, chunk, received=False)]
                    )
                yield
            self._carry_out(self._raft.compact(snapshot))
        finally:
            self._is_creating = False
        yield from self._sweep_steps()

    def _install_steps(self, snapshot: Snapshot) -> Job:
        try:
            raw: dict[str, Any] = {}
            with gc_paused():
                for _ in serialization.decode_parts(snapshot.state, raw):
                    yield
            self.installed_state = State.from_dict(raw)
        except serialization.FormatError as error:
            log_event(
                Event.SNAPSHOT_DROPPED,
                "snapshot at index %d cannot be decoded: %s",
                snapshot.index,
                error,
            )
            return
        step = self._raft.install_snapshot(self._now(), snapshot)
        self._carry_out(step)
        if step.restored_snapshot:
            log_event(
                Event.SNAPSHOT_INSTALLED,
                "snapshot at index %d, %d bytes",
                snapshot.index,
                len(snapshot.state),
            )
        yield from self._sweep_steps()

    def _sweep_steps(self, failed: bool = False) -> Job:
        yield
        if failed:
            self._storage.discard_unfinished()
        while self._storage.sweep():
            yield
