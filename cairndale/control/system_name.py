"""The system's name: drawn once by a leader, committed to the log, and known to each member.

Connections between processes carry it, so that processes of two systems never talk to each other.
"""

from __future__ import annotations

import contextlib
import random

from cairndale.configuration.commands import Command, Verb
from cairndale.control.applier import Applier
from cairndale.control.clock import Clock
from cairndale.control.leadership_tracker import LeadershipTracker
from cairndale.control.raft_driver import RaftDriver
from cairndale.raft.node import RaftNode
from cairndale.raft.storage import RaftStorage, StorageError
from cairndale.rpc.peer import RpcPeer


class SystemName:
    """Keeps the name of connections, of the disk and of the log the same."""

    def __init__(
        self,
        raft: RaftNode,
        driver: RaftDriver,
        storage: RaftStorage,
        applier: Applier,
        leadership: LeadershipTracker,
        rpc_peer: RpcPeer,
        clock: Clock,
    ) -> None:
        self._raft, self._driver, self._clock = raft, driver, clock
        self._storage, self._applier, self._leadership = storage, applier, leadership
        self._rpc_peer = rpc_peer
        self._proposed_in_term = 0
        rpc_peer.system = storage.system_name() or applier.state.system_name

    def adopt(self) -> None:
        """Takes the name over that the log says, from the first entry that says one."""
        if (name := self._applier.state.system_name) and name != self._rpc_peer.system:
            # If the disk is full, a later start learns it from the log, or from whom it dials.
            with contextlib.suppress(StorageError):
                self._storage.set_system_name(name)
            self._rpc_peer.set_system_name(name)

    def propose(self) -> None:
        """Proposes a name, once a term, as leader of a system that has none."""
        leadership = self._leadership.current
        if (
            self._applier.state.system_name
            or not leadership
            or self._proposed_in_term == leadership.term
        ):
            return
        self._proposed_in_term = leadership.term
        name = self._rpc_peer.system or f"{random.SystemRandom().getrandbits(64):016x}"
        command = Command(Verb.NAME, digest=name)
        _, step = self._raft.propose(self._clock.now(), command.encode())
        self._driver.carry_out(step)
