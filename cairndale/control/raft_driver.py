"""Drives the Raft state machine: carries out its steps on disk, network and in the process.

`RaftNode` performs no I/O. Each call of it returns a `Ready`, a step that lists the work to do. It
is always carried out in this order: writes are synced to disk, then messages are sent, then
listeners are called. So no other member receives anything that this member's disk may not contain
(Raft, section 5 and figure 2: persistent state is updated on stable storage before an RPC is
answered).
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable

from cairndale.control.clock import Clock
from cairndale.events import Event, log_event
from cairndale.raft import codec
from cairndale.raft.messages import Message, Ready, Write
from cairndale.raft.node import RaftNode
from cairndale.raft.storage import RaftStorage, StorageError
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.peer import RpcPeer

StepListener = Callable[[Ready], None]


class RaftDriver:
    """The one place where steps of this member's Raft state machine are carried out."""

    def __init__(
        self, raft: RaftNode, storage: RaftStorage, rpc_peer: RpcPeer, clock: Clock
    ) -> None:
        self._raft, self._storage, self._rpc_peer, self._clock = raft, storage, rpc_peer, clock
        self._listeners: list[StepListener] = []

    def subscribe(self, listener: StepListener) -> None:
        """Calls `listener` with each step after its writes and sends, in order of subscription.

        A listener may carry out further steps: these complete before the next listener is called.
        """
        self._listeners.append(listener)

    def tick(self) -> None:
        """Lets the state machine handle what is due by time."""
        self.carry_out(self._raft.tick(self._clock.now()))

    def receive(self, message: Message) -> None:
        """Passes another member's message to the state machine."""
        self.carry_out(self._raft.receive(self._clock.now(), message))

    def carry_out(self, step: Ready) -> None:
        """Carries out a step: syncs its writes, sends its messages, then calls the listeners."""
        if step.writes:
            self.persist(step.writes)
        for address, message in step.sends:
            self._rpc_peer.send(address, pb.Envelope(log_message=codec.encode_message(message)))
        if step.rejected_chunk:
            log_event(Event.SNAPSHOT_DROPPED, "%s", step.rejected_chunk)
        if step.corrupt_entry:
            log_event(Event.ENTRY_DROPPED, "%s", step.corrupt_entry)
        for listener in self._listeners:
            listener(step)

    def persist(self, writes: Iterable[Write]) -> None:
        """Returns once all writes are synced to disk.

        If a write fails, for whatever reason, the process exits at once, as if it had been killed:
        a member that cannot persist its votes and entries must not acknowledge any more.
        """
        try:
            self._storage.write(writes)
        except Exception as error:
            log_event(
                Event.DISK_FAILED, "%s", error if isinstance(error, StorageError) else repr(error)
            )
            os._exit(1)
