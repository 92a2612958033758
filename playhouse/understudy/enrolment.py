"""Ingresses that may hold leases stand in the log, so that whoever has the duty next knows who they are."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Protocol

from playhouse.errors import SystemFailure
from playhouse.script.state import Command, State, Verb
from playhouse.understudy.duty import Duty

STRIKE = 10.0  # s between looks for ingresses that hold no lease any longer


class Leader(Protocol):
    state: State
    duty: Duty | None

    def held(self) -> Duty: ...
    async def decide(self, command: Command) -> bool: ...


class Enrolment:
    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._joining: set[str] = set()
        self._striking: set[str] = set()  # no lease is granted to these until it is known what became of that

    async def enrol(self, name: str) -> None:
        """Who is to hold a lease is known to whoever may have the duty next. Raises SystemFailure."""
        leader = self._leader
        if name in leader.state.edges and name not in self._striking:
            return
        self._joining.add(name)
        await asyncio.sleep(0)  # those who come at the same time are taken in together
        while name not in leader.state.edges or name in self._striking:
            if name in self._joining and name not in self._striking:
                names, self._joining = tuple(sorted(self._joining)), set()
                await leader.decide(Command(Verb.ENROL, names=names))
            else:
                await asyncio.sleep(0.01)
            leader.held()

    async def strike(self) -> None:
        """Those long gone are enrolled no longer; for good."""
        leader = self._leader
        while True:
            await asyncio.sleep(STRIKE * random.uniform(0.8, 1.2))
            if leader.duty:
                gone = tuple(n for n in leader.state.edges if n not in leader.duty.roll.leases)
                self._striking = set(gone)
                with contextlib.suppress(SystemFailure):
                    if gone:
                        await leader.decide(Command(Verb.ENROL, gone=gone))
                        self._striking = set()
