"""Enrolment of lease holders: a node's name is committed before it is granted a lease.

Before a new leader relies on its own counts, it waits until every enrolled node has contacted it or
has no valid lease any more. So a name must be committed before the node's first lease, and may be
removed only after its last lease has expired.
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

BATCH_DELAY_S = 0.02  # in which concurrent requests are combined into one batch
ENROLMENT_TIMEOUT_S = 3.0
REMOVAL_INTERVAL_S = 10.0


class Leader(Protocol):
    """The part of the control node that enrolment uses."""

    @property
    def state(self) -> State:
        """The replicated state, as of the last applied entry."""

    @property
    def leadership(self) -> Leadership | None:
        """The leadership, or None while this process does not lead."""

    def require_leadership(self) -> Leadership:
        """The leadership. Raises CallError if this process does not lead."""

    async def decide(self, command: Command) -> bool:
        """Commits a command. Raises CallError if its outcome is not known."""


class LeaseEnrolment:
    """Enrols names in batches, one batch at a time, and removes names without a lease."""

    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._waiting: set[str] = set()  # names for the next batch
        self._is_enrolling = False
        self._batch_done = asyncio.Event()  # replaced by a new event after each batch
        # These names are granted no lease until the outcome of their removal is known.
        self._in_removal: set[str] = set()
        # The state's list object that `_enrolled` was built from; a changed list is a new object.
        self._enrolled_names: Sequence[str] = []
        self._enrolled: frozenset[str] = frozenset()

    def _is_enrolled(self, name: str) -> bool:
        names = self._leader.state.edges
        if self._enrolled_names is not names:
            self._enrolled_names, self._enrolled = names, frozenset(names)
        return name in self._enrolled and name not in self._in_removal

    async def enrol(self, name: str) -> None:
        """Returns once a name is enrolled, so that it may be granted a lease.

        Raises CallTimeoutError if no batch is completed within ENROLMENT_TIMEOUT_S, and CallError
        if the outcome is not known or this process no longer leads.
        """
        while not self._is_enrolled(name):
            if name not in self._in_removal:
                self._waiting.add(name)
            if self._is_enrolling or name in self._in_removal:
                await self._wait_for_batch()
            else:
                await self._enrol_batch()
            self._leader.require_leadership()

    async def _wait_for_batch(self) -> None:
        try:
            async with asyncio.timeout(ENROLMENT_TIMEOUT_S):
                await self._batch_done.wait()
        except TimeoutError:
            raise CallTimeoutError(
                f"lease holder not enrolled within {ENROLMENT_TIMEOUT_S} s"
            ) from None

    async def _enrol_batch(self) -> None:
        self._is_enrolling = True
        try:
            await asyncio.sleep(BATCH_DELAY_S)
            names = tuple(sorted(self._waiting - self._in_removal))
            self._waiting = set()
            if names:
                await self._leader.decide(Command(Verb.ENROL, added_nodes=names))
        finally:
            self._is_enrolling = False
            self._notify_batch_done()

    def _notify_batch_done(self) -> None:
        done, self._batch_done = self._batch_done, asyncio.Event()
        done.set()

    async def remove_forever(self) -> None:
        """Removes the names of nodes that have left, about every REMOVAL_INTERVAL_S."""
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
        self._notify_batch_done()
