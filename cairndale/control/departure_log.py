"""Departures of servers in the replicated log, where they are recorded before the acknowledgement.

A server's announcement that it drains, or that it has ended, is final for its id: no later server
has the same. Once acknowledged it has to survive any loss that the log survives, since a heartbeat
made before it may arrive after it. It is recorded as a permanently rejected change is, with a key
in place of the digest (`Verb.REJECT`), so that members of earlier versions apply and store it too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from typing import Protocol

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.registry.departures import Departure


class Leader(Protocol):
    """The part of the control node that the departure log uses."""

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    async def decide(self, command: Command) -> bool:
        """Commits a command. Raises CallError if its outcome is not known."""


class DepartureLog:
    """Commits departures while this process leads."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader

    async def record(self, departure: Departure, server_ids: Iterable[str]) -> None:
        """Returns once the departure of each of these servers is committed.

        Raises CallError if that is not certain, or this process does not lead.
        """
        records = self._leader.state.idempotency_records
        commands = [
            Command(Verb.REJECT, _key(departure, server_id))
            for server_id in server_ids
            if _key(departure, server_id) not in records
            and _key(Departure.ENDED, server_id) not in records
        ]
        if commands:
            await asyncio.gather(*(self._leader.decide(command) for command in commands))


def recorded_departure(state: State, server_id: str) -> Departure | None:
    """How far a server has left by the log; None: it has announced nothing."""
    for departure in (Departure.ENDED, Departure.DRAINING):
        if _key(departure, server_id) in state.idempotency_records:
            return departure
    return None


def newest_ended(state: State) -> Iterator[str]:
    """The ids of servers that have ended, the last recorded one first."""
    prefix = _key(Departure.ENDED, "")
    for key in reversed(state.idempotency_records):
        if key.startswith(prefix):
            yield key.removeprefix(prefix)


def _key(departure: Departure, server_id: str) -> str:
    return f"{departure.value}:{server_id}"  # digests of changes have no colon
