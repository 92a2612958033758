"""What would hold the loop if done at once, in steps: snapshots made, put on disk, read and
installed.

A job is a generator that pauses after each step. `step` takes the oldest job on; who runs it leaves
the loop free in between (`pause`). Small states are done within the call that brings them."""

from __future__ import annotations

import gc
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from cairndale.configuration import serialization
from cairndale.configuration.state import State
from cairndale.events import Event, log_event
from cairndale.raft.messages import Ready, SaveSnapshotChunk, Snapshot, state_digest
from cairndale.raft.node import RaftNode
from cairndale.raft.storage import RaftStorage, StorageError

AT_ONCE = 2  # steps that a small state takes
STAGED = 64 * 1024  # bytes of a snapshot put on disk in one step
PAUSE = 0.002  # s at least between two steps, and ...
SHARE = 3.0  # ... so many times what the last one took: on a slow disk others still get their turn
RETRY = 5.0  # s after a disk did not take a snapshot

Job = Iterator[None]


@contextmanager
def uncollected(stay: bool = True) -> Iterator[None]:
    """For what makes many objects: the collector would look at all of them again and again, for 0.2
    s each time with 160,000 tenants. They have no cycles and are freed when their last holder goes;
    `stay`: they are never looked at."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if stay:
            gc.freeze()
        if was:
            gc.enable()


class SnapshotWorker:
    def __init__(
        self,
        store: RaftStorage,
        machine: RaftNode,
        carry: Callable[[Ready], None],
        now: Callable[[], float],
    ) -> None:
        """`carry` carries out a step of the machine."""
        self._store, self._machine, self._carry, self._now = store, machine, carry, now
        self._jobs: deque[Job] = deque([self._sweeping()])
        self._makes = False
        self._not_before = float("-inf")
        self.read = State()  # that of the snapshot that is being installed

    def make(self, raw: dict[str, Any], index: int) -> None:
        """A snapshot of the state as it is after this entry. One at a time."""
        if (
            not self._makes
            and index > self._machine.base_snapshot.index
            and self._now() >= self._not_before
        ):
            self._makes = True
            self._begin(self._making(raw, index))

    def install(self, snapshot: Snapshot) -> None:
        self._begin(self._installing(snapshot))

    def _begin(self, job: Job) -> None:
        for _ in range(AT_ONCE):
            if not self._on(job):
                return
        self._jobs.append(job)

    def _on(self, job: Job) -> bool:
        """False once it has ended."""
        try:
            next(job)
        except StopIteration:
            return False
        except StorageError as error:  # what has to be on disk is not among this
            log_event(Event.SNAPSHOT_FAILED, "%s", error)
            self._not_before = self._now() + RETRY
            self._jobs.append(self._sweeping(failed=True))
            return False
        return True

    def step(self) -> bool:
        """A bit of work. False if there is none."""
        if self._jobs:
            job = self._jobs.popleft()
            if self._on(job):
                self._jobs.append(job)
        return bool(self._jobs)

    def work(self) -> float:
        """s until the next bit is to be done."""
        begun = time.perf_counter()
        more = self.step()
        return max(PAUSE, SHARE * (time.perf_counter() - begun)) if more else 10 * PAUSE

    def _making(self, raw: dict[str, Any], index: int) -> Job:
        try:
            made, digest = [], state_digest()
            for part in serialization.encode_parts(raw):
                made.append(part)
                digest.update(part)
                if len(made) > AT_ONCE:
                    yield
            if index <= self._machine.base_snapshot.index:  # one was installed meanwhile
                return
            snapshot = self._machine.make_snapshot(index, b"".join(made), digest.digest())
            if len(snapshot.state) > STAGED:
                for at in range(0, len(snapshot.state), STAGED):
                    yield
                    piece = snapshot.state[at : at + STAGED]
                    self._store.write([SaveSnapshotChunk(snapshot.head, at, piece, received=False)])
                yield
            self._carry(self._machine.compact(snapshot))
        finally:
            self._makes = False
        yield from self._sweeping()

    def _installing(self, snapshot: Snapshot) -> Job:
        try:
            raw: dict[str, Any] = {}
            with uncollected():
                for _ in serialization.decode_parts(snapshot.state, raw):
                    yield
            self.read = State.from_dict(raw)
        except serialization.FormatError as error:
            log_event(Event.SNAPSHOT_DROPPED, "the snapshot at %d: %s", snapshot.index, error)
            return
        step = self._machine.install_snapshot(self._now(), snapshot)
        self._carry(step)
        if step.restored_snapshot:
            log_event(
                Event.SNAPSHOT_INSTALLED, "up to %d, %d bytes", snapshot.index, len(snapshot.state)
            )
        yield from self._sweeping()

    def _sweeping(self, failed: bool = False) -> Job:
        yield
        if failed:
            self._store.drop_made()
        while self._store.sweep():
            yield
