"""Enrolment of lease holders: their names are in the replicated state before they get a lease.

A new leader waits for all enrolled names, or for their leases to end, before it relies on what it
knows. So a name must be committed before its first lease, and may be removed only once its last
lease is over.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence
from typing import Protocol

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.control.leadership import Leadership
from cairndale.errors import CallError, CallTimeoutError

BATCH_DELAY_S = 0.02  # in which names that come at the same time are gathered into one round
ENROLMENT_TIMEOUT_S = 3.0  # for which a request waits for a round
REMOVAL_INTERVAL_S = 10.0


class Leader(Protocol):
    """What enrolment needs of the process."""

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, while this process leads."""

    def require_leadership(self) -> Leadership:
        """The leadership. Raises CallError where this process does not lead."""

    async def decide(self, command: Command) -> bool:
        """Commit a command. Raises CallError where its outcome is not known."""


class LeaseEnrolment:
    """Enrols names in rounds, one at a time, and removes those that hold no lease any longer."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._waiting: set[str] = set()  # names for the next round
        self._is_enrolling = False
        self._round_done = asyncio.Event()  # replaced by a new one after each round
        # No lease is granted to these until the outcome of their removal is known.
        self._in_removal: set[str] = set()
        # The newest list of the state, by object, and the same as a set.
        self._enrolled_names: Sequence[str] = []
        self._enrolled: frozenset[str] = frozenset()

    def _is_enrolled(self, name: str) -> bool:
        names = self._leader.state.edges
        if self._enrolled_names is not names:
            self._enrolled_names, self._enrolled = names, frozenset(names)
        return name in self._enrolled and name not in self._in_removal

    async def enrol(self, name: str) -> None:
        """Return once a name is enrolled, so that it may be granted a lease.

        Raises CallTimeoutError after ENROLMENT_TIMEOUT_S without a round, and CallError where the
        outcome is not known or this process does not lead any longer.
        """
        while not self._is_enrolled(name):
            if name not in self._in_removal:
                self._waiting.add(name)
            if self._is_enrolling or name in self._in_removal:
                await self._wait_for_round()
            else:
                await self._run_round()
            self._leader.require_leadership()

    async def _wait_for_round(self) -> None:
        try:
            async with asyncio.timeout(ENROLMENT_TIMEOUT_S):
                await self._round_done.wait()
        except TimeoutError:
            raise CallTimeoutError("not enrolled yet") from None

    async def _run_round(self) -> None:
        self._is_enrolling = True
        try:
            await asyncio.sleep(BATCH_DELAY_S)
            names = tuple(sorted(self._waiting - self._in_removal))
            self._waiting = set()
            if names:
                await self._leader.decide(Command(Verb.ENROL, added_nodes=names))
        finally:
            self._is_enrolling = False
            self._end_round()

    def _end_round(self) -> None:
        done, self._round_done = self._round_done, asyncio.Event()
        done.set()

    async def remove_forever(self) -> None:
        """Remove the names of nodes long gone, every REMOVAL_INTERVAL_S or so."""
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_S * random.uniform(0.8, 1.2))
            if leadership := self._leader.leadership:
                await self._remove_expired(leadership)

    async def _remove_expired(self, leadership: Leadership) -> None:
        leases = leadership.node_registry.leases
        expired = tuple(name for name in self._leader.state.edges if name not in leases)
        self._in_removal = set(expired)
        with contextlib.suppress(CallError):
            if expired:
                await self._leader.decide(Command(Verb.ENROL, removed_nodes=expired))
                self._in_removal = set()
        self._end_round()
