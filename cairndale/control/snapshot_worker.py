"""Creates, stores, decodes and installs snapshots in steps that do not hold the event loop.

A job is a generator that pauses after each step. The worker takes the oldest job one step on and
then leaves the loop free for a while. Snapshots of small states are done within the call that asks
for them.
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

INLINE_STEPS = 2  # steps done within the call: enough for a small state
WRITE_CHUNK_BYTES = 64 * 1024  # bytes of a snapshot written to disk in one step
MIN_PAUSE_S = 0.002  # s at least between two steps, and ...
PAUSE_RATIO = 3.0  # ... so many times what the last one took: on a slow disk others get their turn
RETRY_DELAY_S = 5.0  # s after a snapshot could not be written

Job = Iterator[None]


class SnapshotWorker:
    """The one place that works on snapshots; one is created at a time.

    `carry_out` carries out a step of the Raft state machine, `now` is the time in seconds. A
    snapshot that the disk does not take is logged and dropped: the log still holds its entries.
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
        self.installed_state = State()  # of the snapshot that is being installed

    def create(self, raw: dict[str, Any], index: int) -> None:
        """Begins a snapshot of the state as it is after the entry at `index`.

        Does nothing while another is being created, if one of that index exists, or for
        RETRY_DELAY_S seconds after a failure.
        """
        is_newer = index > self._raft.base_snapshot.index
        if not self._is_creating and is_newer and self._now() >= self._retry_at:
            self._is_creating = True
            self._begin(self._create_steps(raw, index))

    def install(self, snapshot: Snapshot) -> None:
        """Begins to install a received snapshot; logs and drops one that cannot be decoded."""
        self._begin(self._install_steps(snapshot))

    def _begin(self, job: Job) -> None:
        for _ in range(INLINE_STEPS):
            if not self._advance(job):
                return
        self._jobs.append(job)

    def _advance(self, job: Job) -> bool:
        """Takes a job one step on; False once it has ended."""
        try:
            next(job)
        except StopIteration:
            return False
        except StorageError as error:  # a job itself writes nothing that must be durable
            log_event(Event.SNAPSHOT_FAILED, "%s", error)
            self._retry_at = self._now() + RETRY_DELAY_S
            self._jobs.append(self._sweep_steps(failed=True))
            return False
        return True

    def step(self) -> bool:
        """Does one step of the oldest job; False once no work is left."""
        if self._jobs:
            job = self._jobs.popleft()
            if self._advance(job):
                self._jobs.append(job)
        return bool(self._jobs)

    def step_and_pause(self) -> float:
        """Does one step; the seconds to wait until the next one."""
        begun = time.perf_counter()
        more = self.step()
        return (
            max(MIN_PAUSE_S, PAUSE_RATIO * (time.perf_counter() - begun))
            if more
            else 10 * MIN_PAUSE_S
        )

    def _create_steps(self, raw: dict[str, Any], index: int) -> Job:
        try:
            made, digest = [], state_digest()
            for part in serialization.encode_parts(raw):
                made.append(part)
                digest.update(part)
                if len(made) > INLINE_STEPS:
                    yield
            if index <= self._raft.base_snapshot.index:  # a newer one was installed meanwhile
                return
            snapshot = self._raft.make_snapshot(index, b"".join(made), digest.digest())
            if len(snapshot.state) > WRITE_CHUNK_BYTES:
                for at in range(0, len(snapshot.state), WRITE_CHUNK_BYTES):
                    yield
                    piece = snapshot.state[at : at + WRITE_CHUNK_BYTES]
                    self._storage.write(
                        [SaveSnapshotChunk(snapshot.head, at, piece, received=False)]
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
            log_event(Event.SNAPSHOT_DROPPED, "the snapshot at %d: %s", snapshot.index, error)
            return
        step = self._raft.install_snapshot(self._now(), snapshot)
        self._carry_out(step)
        if step.restored_snapshot:
            log_event(
                Event.SNAPSHOT_INSTALLED, "up to %d, %d bytes", snapshot.index, len(snapshot.state)
            )
        yield from self._sweep_steps()

    def _sweep_steps(self, failed: bool = False) -> Job:
        yield
        if failed:
            self._storage.discard_unfinished()
        while self._storage.sweep():
            yield
