"""What calls of servers and operators come to at the leader.

One change is decided after the other; then all wait together until it is everywhere.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from typing import Any, Protocol

from playhouse.callboard.board import BeatError, read_beat
from playhouse.errors import Code, SystemFailure
from playhouse.events import Event, note
from playhouse.script.check import content_looks, order_errors
from playhouse.script.state import Command, State, Verb
from playhouse.settings import Settings
from playhouse.stagedoor.doors import Answer, told, wrong
from playhouse.stagedoor.tree import CONTROL, Wrong, match
from playhouse.understudy.duty import Duty

TURNS = 64  # changes that wait for the one before

Change = Callable[[], Awaitable[tuple[Answer, int]]]  # the answer, and the version that is to be everywhere


class Leader(Protocol):
    """The process whose duty it is, if it is."""

    settings: Settings
    state: State

    def now(self) -> float: ...
    def held(self) -> Duty:
        """Raises SystemFailure where the duty is not held, or no longer."""

    async def decide(self, command: Command) -> bool:
        """True once a majority has it on disk and it is in force; False if it is void. Raises SystemFailure
        where that is not known."""

    async def news(self, within: float) -> None:
        """Until something has changed, or so many seconds."""

    def publish(self) -> None: ...
    def core_shown(self) -> dict[str, Any]: ...


class Desk:
    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._turn = asyncio.Lock()
        self._turns = 0

    async def settle(self, method: str, target: str, body: bytes) -> Answer:
        """Raises SystemFailure where the duty is not held, or no longer."""
        found = match(CONTROL, method, target)
        if isinstance(found, Wrong):
            return wrong(found.status, found.why)
        duty, now = self._leader.held(), self._leader.now()
        match found.call:
            case "beat":
                try:
                    seen = read_beat(found.args["id"], json.loads(body), now)
                except BeatError as error:
                    return wrong(400, *error.errors)
                except ValueError as error:
                    return wrong(400, f"not JSON: {error}")
                if duty.board.beat(seen):
                    note(Event.SERVER_NEWS, "%s %s %s", seen.id, seen.service, seen.state)
                    self._leader.publish()
                return told(200, {})
            case "end":
                if duty.board.end(found.args["id"], now):
                    note(Event.SERVER_NEWS, "%s gone", found.args["id"])
                    self._leader.publish()
                return told(200, {})
            case "read":
                return (
                    told(200, self._leader.state.content)
                    if self._leader.state.gen
                    else wrong(404, "no configuration yet")
                )
            case "show":
                return told(200, duty.show(now, self._leader.state) | self._leader.core_shown())
            case "replace" | "update":
                verb = Verb.REPLACE if found.call == "replace" else Verb.UPDATE
                return await self._in_turn(lambda: self._configure(verb, body))
            case "evacuate" | "take back":
                verb = Verb.EVACUATE if found.call == "evacuate" else Verb.TAKE_BACK
                return await self._ordered(verb, found.args["zone"])
        return wrong(404, "no such call")

    async def _in_turn(self, change: Change) -> Answer:
        """One change is decided after the other; then all wait together until it is everywhere."""
        if self._turns >= TURNS:
            return wrong(503, "too many changes wait")
        self._turns += 1
        try:
            async with self._turn:
                answer, version = await change()
        finally:
            self._turns -= 1
        if version:
            await self._everywhere(version)
        done: Answer = answer
        return done

    async def _configure(self, verb: Verb, body: bytes) -> tuple[Answer, int]:
        self._leader.held()
        digest = blake2b(verb.value.encode() + b" " + body, digest_size=16).hexdigest()
        state = self._leader.state
        if digest in state.known:
            return told(200, {"gen": state.known[digest]}), state.version
        try:
            order = json.loads(body)
        except ValueError as error:
            return wrong(400, f"not JSON: {error}"), 0
        errors = order_errors(order, verb is Verb.REPLACE, state.gen)
        if isinstance(order, dict) and isinstance(order.get("parent"), int) and order["parent"] != state.gen:
            return wrong(412, f"parent: {order['parent']} is not {state.gen}, which is in force", *errors), 0
        command = Command(verb, digest, order)
        if not errors:
            for some in content_looks(state.result(command)):
                errors += some
                await asyncio.sleep(0)
            self._leader.held()
        if errors:
            note(Event.CONFIG_REFUSED, "%s", "; ".join(errors[:5]))
            return wrong(400, *errors), 0
        if not await self._leader.decide(command):
            return wrong(412, "another change came first"), 0
        note(Event.CONFIG_TAKEN, "gen %d, version %d", self._leader.state.gen, self._leader.state.version)
        return told(200, {"gen": order["gen"]}), self._leader.state.version

    async def _move(self, verb: Verb, zone: str, order: str) -> tuple[Answer, int]:
        duty, orders = self._leader.held(), self._leader.state.evacuated.get(zone, 0)
        begins = verb is Verb.EVACUATE
        if order and self._leader.state.moves.get(zone) != order and (orders or begins):
            if not begins and orders == 1:
                duty.board.chill(zone, self._leader.now(), duty.warmups(self._leader.state))
            await self._leader.decide(Command(verb, order, zone=zone))
            orders = self._leader.state.evacuated.get(zone, 0)
            note(Event.ZONE_EVACUATED if begins else Event.ZONE_TAKEN_BACK, "%s, orders: %d", zone, orders)
        return told(200, {"zone": zone, "order": order, "orders": orders}), self._leader.state.version

    async def _ordered(self, verb: Verb, zone: str) -> Answer:
        if zone not in self._leader.settings.zones:
            return wrong(404, f"no zone {zone!r}")
        duty = self._leader.held()
        stands = (zone in self._leader.state.evacuated) == (verb is Verb.EVACUATE)
        order = duty.moves.came(self._leader.now(), zone, verb.value, stands)
        try:
            return await self._in_turn(lambda: self._move(verb, zone, order))
        finally:
            duty.moves.over(zone, order)

    async def _everywhere(self, version: int) -> None:
        """Until every ingress serves by it, or has stopped as its lease is over. Raises SystemFailure."""
        until = self._leader.now() + self._leader.settings.bounds.ack
        while not self._leader.held().roll.all_at(self._leader.now(), version):
            if self._leader.now() > until:
                raise SystemFailure(Code.SILENT, "some ingresses have not got it yet")
            await self._leader.news(0.03)
