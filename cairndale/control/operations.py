"""What calls of servers and operators come to at the leader.

One change is decided after the other; then all wait together until it is everywhere. Whatever is
answered rests on contact with a majority after the call came (`understudy/contact.py`). A refusal
is final: it is given only once all that this leader's log held is decided, for a reason that no
later state takes back."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Generator
from hashlib import blake2b
from typing import Any, Protocol, TypeVar

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.json_stream import LARGE_BODY_BYTES, loads_steps
from cairndale.configuration.state import REJECTED, State
from cairndale.configuration.validation import iter_content_errors, order_errors
from cairndale.control.gc_pause import gc_paused
from cairndale.control.leadership import Leadership
from cairndale.errors import CallTimeoutError, StaleCallError
from cairndale.events import Event, log_event
from cairndale.http_api.router import CONTROL_ROUTES, RouteFailure, match
from cairndale.http_api.server import Answer, told, wrong
from cairndale.registry.endpoints import HeartbeatError, read_heartbeat
from cairndale.settings import Settings

TURNS = 64  # changes that wait for the one before
PARENT = 0.2  # s for which an order waits for the version that it builds on: that may be under way
HASHED = 1024 * 1024  # bytes of a body that are hashed at once
UNREAD = object()
T = TypeVar("T")

Change = Callable[
    [], Awaitable[tuple[Answer, int]]
]  # the answer, and the version that is to be everywhere


async def in_turns(work: Generator[None, None, T], large: bool = False) -> T:
    """What work in steps comes to; others get their turn after each. `large`: it makes many
    objects."""
    with gc_paused() if large else contextlib.nullcontext():
        while True:
            try:
                next(work)
            except StopIteration as ended:
                made: T = ended.value
                return made
            await asyncio.sleep(0)


class Leader(Protocol):
    """The process whose duty it is, if it is."""

    settings: Settings

    @property
    def state(self) -> State: ...
    def now(self) -> float: ...
    def require_leadership(self) -> Leadership:
        """Raises CallError where the duty is not held, or no longer."""

    async def decide(self, command: Command) -> bool:
        """True once a majority has it on disk and it is in force; False if it is void. Raises
        CallError where that is not known."""

    async def confirm(
        self, called: float, term: int, decided: bool = False, at_once: bool = True
    ) -> None:
        """Until a majority has answered what was sent after `called`, in the term in which the
        state was looked at; `decided`: and all that the log holds now is. Raises CallError."""

    async def wait_for_change(self, timeout: float) -> None:
        """Until something has changed, or so many seconds."""

    def notify_change(self) -> None: ...
    def describe_cluster(self) -> dict[str, Any]: ...


class OperationHandler:
    def __init__(self, leader: Leader) -> None:
        self._leader = leader
        self._turn = asyncio.Lock()
        self._turns = 0

    async def settle(self, method: str, target: str, body: bytes, id: str = "") -> Answer:
        """`id`: of the call, from where it came in. Raises CallError where the duty is not
        held, or no longer."""
        found = match(CONTROL_ROUTES, method, target)
        if isinstance(found, RouteFailure):
            return wrong(found.status, found.why)
        leadership, now = self._leader.require_leadership(), self._leader.now()
        match found.call:
            case "replace" | "update":
                verb = Verb.REPLACE if found.call == "replace" else Verb.UPDATE
                return await self._configuration(verb, body)
            case "evacuate" | "take back":
                verb = Verb.EVACUATE if found.call == "evacuate" else Verb.RESTORE
                return await self._ordered(verb, found.args["zone"], id)
            case "beat" | "end":
                answer = self._heard(leadership, found.call, found.args["id"], body, now)
                await self._leader.confirm(now, leadership.term, at_once=False)
                return answer
        await self._leader.confirm(now, leadership.term)
        state = self._leader.state
        match found.call:
            case "read" if state.gen:
                return told(200, state.content)
            case "read":
                return wrong(404, "no configuration yet")
            case "show":
                return told(
                    200,
                    leadership.fleet_view(self._leader.now(), state)
                    | self._leader.describe_cluster(),
                )
        return wrong(404, "no such call")

    def _heard(self, leadership: Leadership, call: str, id: str, body: bytes, now: float) -> Answer:
        if call == "end":
            if leadership.endpoint_registry.mark_ended(id, now):
                log_event(Event.ENDPOINTS_CHANGED, "%s gone", id)
                self._leader.notify_change()
            return told(200, {})
        try:
            seen = read_heartbeat(id, json.loads(body), now)
        except HeartbeatError as error:
            return wrong(400, *error.errors)
        except ValueError as error:
            return wrong(400, f"not JSON: {error}")
        if leadership.endpoint_registry.record_heartbeat(seen):
            log_event(Event.ENDPOINTS_CHANGED, "%s %s %s", seen.id, seen.service, seen.state)
            self._leader.notify_change()
        return told(200, {})

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

    async def _configuration(self, verb: Verb, body: bytes) -> Answer:
        called = self._leader.now()
        hashed = blake2b(verb.value.encode() + b" ", digest_size=16)
        for at in range(0, len(body), HASHED):
            hashed.update(body[at : at + HASHED])
            if at:
                await asyncio.sleep(0)
        digest = hashed.hexdigest()
        order: Any = UNREAD
        if digest not in self._leader.state.idempotency_records:
            try:
                order = await in_turns(loads_steps(body), len(body) > LARGE_BODY_BYTES)
            except ValueError as error:
                return await self._refused(called, wrong(400, f"not JSON: {error}"))
            await self._parent_comes(order)
        return await self._in_turn(lambda: self._configure(verb, digest, order, called))

    async def _refused(self, called: float, answer: Answer) -> Answer:
        await self._leader.confirm(called, self._leader.require_leadership().term)
        return answer

    async def _parent_comes(self, order: Any) -> None:
        parent, until = (
            order.get("parent") if isinstance(order, dict) else None,
            self._leader.now() + PARENT,
        )
        while (
            isinstance(parent, int)
            and self._leader.state.gen < parent
            and self._leader.now() < until
        ):
            await self._leader.wait_for_change(until - self._leader.now())

    async def _configure(
        self, verb: Verb, digest: str, order: Any, called: float
    ) -> tuple[Answer, int]:
        """Decides it, or finds out what became of it."""
        while True:
            term, state = self._leader.require_leadership().term, self._leader.state
            if (known := state.idempotency_records.get(digest)) == REJECTED:
                return await self._refused(called, wrong(412, "it was refused before")), 0
            if known is not None:
                await self._leader.confirm(called, term)
                return told(200, {"gen": known}), self._leader.state.version
            if order is UNREAD:
                raise StaleCallError("it was known, and is forgotten now")
            judged_on = state.gen
            refusal = await self._judge(verb, digest, order, state)
            if refusal is None:
                break
            await self._leader.confirm(called, term, decided=True)
            state = self._leader.state
            if state.gen == judged_on and digest not in state.idempotency_records:
                log_event(Event.CONFIG_REJECTED, "%s", refusal[1].decode()[:300])
                return refusal, 0
        if not await self._leader.decide(Command(verb, digest, order)):
            known = self._leader.state.idempotency_records.get(
                digest, REJECTED
            )  # it may have stood in the log before
            if known == REJECTED:
                return wrong(412, "another change came first"), 0
            return told(200, {"gen": known}), self._leader.state.version
        log_event(
            Event.CONFIG_ACCEPTED,
            "gen %d, version %d",
            self._leader.state.gen,
            self._leader.state.version,
        )
        return told(200, {"gen": order["gen"]}), self._leader.state.version

    async def _judge(self, verb: Verb, digest: str, order: Any, state: State) -> Answer | None:
        """A refusal, or nothing. Raises CallError where nothing can be said for sure."""
        whole = verb is Verb.REPLACE
        errors = order_errors(order, whole, 0)
        if errors:
            return wrong(400, *errors)  # whatever the state is
        gen, parent, in_force = order["gen"], order["parent"], state.gen
        if parent < gen and state.record_may_be_evicted(gen):
            if whole and (found := await self._content_errors(state, Command(verb, "", order))):
                return wrong(400, *found)
            raise StaleCallError("so old that it is not known what became of it")
        if parent > in_force:  # a state that has it may come: the refusal is to stand there as well
            if await self._leader.decide(Command(Verb.REJECT, digest)):
                raise CallTimeoutError()
            return wrong(412, f"parent: {parent} is not {in_force}, which is in force")
        errors = order_errors(order, whole, in_force)
        if parent != in_force:
            return wrong(412, f"parent: {parent} is not {in_force}, which is in force", *errors)
        if not errors:
            errors = await self._content_errors(state, Command(verb, digest, order))
        return wrong(400, *errors) if errors else None

    async def _content_errors(self, state: State, command: Command) -> list[str]:
        content, errors = await in_turns(state.resulting_content_steps(command)), list[str]()
        with gc_paused(freeze=False):
            for some in iter_content_errors(content):
                errors += some
                await asyncio.sleep(0)
        self._leader.require_leadership()
        return errors

    # What was decided for a call needs no further contact: a majority took it in, in this term,
    # since.

    async def _move(
        self, verb: Verb, zone: str, order: str, call: str, called: float
    ) -> tuple[Answer, int]:
        leadership, state = self._leader.require_leadership(), self._leader.state
        orders, begins = state.evacuated.get(zone, 0), verb is Verb.EVACUATE
        is_new = bool(order) and state.latest_evacuation_orders.get(zone) != order
        if not call and not (is_new and (orders or begins)):
            await self._leader.confirm(called, leadership.term)
            return self._moved(zone, order), state.version
        if is_new and not begins and orders == 1:
            leadership.endpoint_registry.restart_warmup(
                zone, self._leader.now(), leadership.warmups(state)
            )
        await self._leader.decide(Command(verb, order, zone=zone, call_id=call))
        if is_new:
            orders = self._leader.state.evacuated.get(zone, 0)
            log_event(
                Event.ZONE_EVACUATED if begins else Event.ZONE_RESTORED,
                "%s, orders: %d",
                zone,
                orders,
            )
        return self._moved(zone, order), self._leader.state.version

    def _moved(self, zone: str, order: str) -> Answer:
        orders = self._leader.state.evacuated.get(zone, 0)
        return told(200, {"zone": zone, "order": order, "orders": orders})

    async def _ordered(self, verb: Verb, zone: str, call: str) -> Answer:
        leadership, now, state = (
            self._leader.require_leadership(),
            self._leader.now(),
            self._leader.state,
        )
        if zone not in self._leader.settings.zones:
            return await self._refused(now, wrong(404, f"no zone {zone!r}"))
        if call in state.evacuation_calls:  # it has come by another way
            await self._leader.confirm(now, leadership.term)
            await self._everywhere(state.version)
            return self._moved(zone, state.evacuation_calls[call])
        stands = (zone in state.evacuated) == (verb is Verb.EVACUATE)
        order = leadership.evacuation_log.begin_call(now, zone, verb.value, stands, call)
        try:
            return await self._in_turn(lambda: self._move(verb, zone, order, call, now))
        finally:
            leadership.evacuation_log.end_call(zone, order)

    async def _everywhere(self, version: int) -> None:
        """Until every ingress serves by it, or has stopped as its lease is over. Raises
        CallError."""
        until = self._leader.now() + self._leader.settings.bounds.ack
        while not self._leader.require_leadership().node_registry.all_at_version(
            self._leader.now(), version
        ):
            if self._leader.now() > until:
                raise CallTimeoutError("some ingresses have not got it yet")
            await self._leader.wait_for_change(0.03)
