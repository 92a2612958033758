"""The system's name: generated once by a leader, committed to the log, and stored by each member.

Connections between processes carry it, so that processes of different systems never communicate.
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
    """Keeps the system's name on connections and on disk in line with the log."""

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
        """Adopts the name from the replicated state, once the state has one."""
        if (name := self._applier.state.system_name) and name != self._rpc_peer.system:
            # If this fails, a later start learns the name from the log or from a peer.
            with contextlib.suppress(StorageError):
                self._storage.set_system_name(name)
            self._rpc_peer.set_system_name(name)

    def propose(self) -> None:
        """Proposes a name, once per term, if this node leads a system without one."""
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
