"""Loads a Raft member's identity and persisted state at start."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from cairndale.configuration.serialization import FormatError
from cairndale.configuration.state import State
from cairndale.events import Event, log_event
from cairndale.raft.messages import Member, PersistedState
from cairndale.raft.node import bootstrap_member, bootstrap_state
from cairndale.raft.storage import RaftStorage, StorageError
from cairndale.settings import Settings, format_address


@dataclass(frozen=True, slots=True)
class MemberState:
    """A member of the Raft cluster, and the state on its disk."""

    member: Member
    persisted: PersistedState
    state: State  # of the latest snapshot, without the log entries after it


def load_member(settings: Settings, storage: RaftStorage, seeds: Sequence[str]) -> MemberState:
    """Reads the member's state; an empty disk is initialised with a new disk id first.

    `seeds` are the addresses of the cluster's first members. Raises StorageError if the disk cannot
    be read or written, or if its state has an unknown format.
    """
    address = format_address((settings.ip, settings.own_port))
    disk_id = storage.disk_id()
    if disk_id:
        persisted = storage.load()
    else:
        disk_id, persisted = _first_state(settings, address, seeds)
        storage.initialize(disk_id, persisted)
        log_event(Event.DISK_NAMED, "%s", disk_id)
    try:
        state = State.decode(persisted.snapshot.state)
    except FormatError as error:
        raise StorageError(f"cannot decode the snapshot's state: {error}") from error
    member = Member(address, disk_id, settings.zone, settings.region)
    return MemberState(member, persisted, state)


def _first_state(
    settings: Settings, address: str, seeds: Sequence[str]
) -> tuple[str, PersistedState]:
    """The disk id and the initial state for an empty disk.

    At the first start of the system this is a bootstrap member, whose id all seeds can derive. At
    any later start it is a new member, whatever an earlier disk of this machine contained.
    """
    if settings.bootstrap and address in seeds:
        disk_id = bootstrap_member(address).disk_id
        return disk_id, bootstrap_state(bootstrap_member(seed) for seed in seeds)
    return f"{random.SystemRandom().getrandbits(64):016x}", bootstrap_state(())
