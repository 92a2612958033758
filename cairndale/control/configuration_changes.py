"""Operators' changes of the configuration, as the leader decides them.

A change is identified by its digest (its idempotency key), however often and through whichever
nodes it is sent. A rejection is final: it is answered only once everything in this leader's log at
that time is committed, and only for a reason that holds in every later state.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, TypeVar

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.json_stream import LARGE_BODY_BYTES, loads_steps
from cairndale.configuration.key_requirement import with_key_requirement
from cairndale.configuration.rules_level import RULES_LEVEL, changed_items_of_this_level
from cairndale.configuration.state import REJECTED, State
from cairndale.configuration.stepwise import Steps, advance
from cairndale.configuration.validation import change_errors, content_errors_steps
from cairndale.configuration.value_check import value_errors_steps
from cairndale.control.change_queue import ChangeOutcome, ChangeQueue
from cairndale.control.gc_pause import gc_paused
from cairndale.control.leader import Leader
from cairndale.errors import CallTimeoutError, StaleCallError
from cairndale.events import Event, log_event
from cairndale.http_api.server import Response, error_response, json_response

# How long a change waits for its parent generation, which may be about to be committed.
PARENT_TIMEOUT_S = 0.2
HASH_CHUNK_BYTES = 1024 * 1024  # of a body, hashed in one step

T = TypeVar("T")

_NOT_DECODED = object()


@dataclass(frozen=True, slots=True)
class _Change:
    verb: Verb
    digest: str
    body: Any  # decoded JSON; _NOT_DECODED if the outcome was already known at the call


async def run_in_steps(steps: Steps[T], is_large: bool = False) -> T:
    """Runs a job step by step, yielding to other tasks after each step; returns its result.

    `is_large`: the job creates many objects, so the garbage collector is paused.
    """
    with gc_paused() if is_large else contextlib.nullcontext():
        while (finished := advance(steps)) is None:
            await asyncio.sleep(0)
        return finished.result


class ConfigurationChanges:
    """Handles `Config.Replace` and `Config.Update` at the leader."""

    def __init__(self, leader: Leader, queue: ChangeQueue) -> None:
        self._leader, self._queue = leader, queue

    async def handle(self, verb: Verb, body: bytes) -> Response:
        """The answer to a call. Raises CallError if the outcome is not known."""
        called_at = self._leader.now()
        digest = await self._digest(verb, body)
        decoded: Any = _NOT_DECODED
        if digest not in self._leader.state.idempotency_records:
            is_large = len(body) > LARGE_BODY_BYTES
            try:
                decoded = await run_in_steps(loads_steps(body), is_large)
            except (ValueError, RecursionError) as error:
                await self._leader.confirm(called_at, self._leader.require_leadership().term)
                return error_response(400, f"not JSON: {error}")
            await self._wait_for_parent(decoded)
        change = _Change(verb, digest, decoded)
        return await self._queue.run(lambda: self._decide(change, called_at))

    @staticmethod
    async def _digest(verb: Verb, body: bytes) -> str:
        digest = blake2b(verb.value.encode() + b" ", digest_size=16)
        for offset in range(0, len(body), HASH_CHUNK_BYTES):
            digest.update(body[offset : offset + HASH_CHUNK_BYTES])
            if offset:
                await asyncio.sleep(0)
        return digest.hexdigest()

    async def _wait_for_parent(self, body: Any) -> None:
        parent = body.get("parent") if isinstance(body, dict) else None
        if not isinstance(parent, int):
            return
        leader = self._leader
        deadline = leader.now() + PARENT_TIMEOUT_S
        while leader.state.gen < parent and leader.now() < deadline:
            await leader.wait_for_change(deadline - leader.now())

    async def _decide(self, change: _Change, called_at: float) -> ChangeOutcome:
        """Commits or rejects a change, or returns the outcome of an earlier copy of it."""
        leader = self._leader
        while True:
            term, state = leader.require_leadership().term, leader.state
            known = state.idempotency_records.get(change.digest)
            if known is not None:
                return await self._known_outcome(known, called_at, term)
            if change.body is _NOT_DECODED:
                raise StaleCallError(
                    "the idempotency record of this change was evicted during the call"
                )
            validated_gen = state.gen  # the state may change during validation
            rejection = await self._validate(change, state)
            if rejection is None:
                return self._postponement(change) or await self._commit(change)
            await leader.confirm(called_at, term, decided=True)
            state = leader.state
            if state.gen == validated_gen and change.digest not in state.idempotency_records:
                log_event(Event.CONFIG_REJECTED, "%s", rejection[1].decode()[:300])
                return ChangeOutcome(rejection)

    def _postponement(self, change: _Change) -> ChangeOutcome | None:
        """The answer to a valid change that some ingress would not handle requests by.

        Operators send the change again until the ingresses of earlier versions are replaced.
        """
        leader = self._leader
        registry = leader.require_leadership().node_registry
        names = registry.ingresses_below_level(leader.now(), RULES_LEVEL)
        if not names:
            return None
        items = changed_items_of_this_level(change.verb, change.body, leader.state.content)
        if not items:
            return None
        reason = f"{', '.join(names)}: of an earlier version, or not heard yet"
        log_event(Event.CONFIG_POSTPONED, "%s; changed items: %s", reason, ", ".join(items)[:300])
        return ChangeOutcome(error_response(503, f"cannot be in force at {reason}"))

    async def _known_outcome(self, known: int, called_at: float, term: int) -> ChangeOutcome:
        await self._leader.confirm(called_at, term)
        if known == REJECTED:
            return ChangeOutcome(error_response(412, "this change was rejected before"))
        return ChangeOutcome(json_response(200, {"gen": known}), self._leader.state.version)

    async def _commit(self, change: _Change) -> ChangeOutcome:
        """Commits a change. That needs no further confirmation: a majority has stored the entry."""
        # If another change comes into force first, the command has no effect, whatever its body.
        body = with_key_requirement(change.verb, change.body, self._leader.state.content)
        if await self._leader.decide(Command(change.verb, change.digest, body)):
            state = self._leader.state
            log_event(Event.CONFIG_ACCEPTED, "gen %d, version %d", state.gen, state.version)
            return ChangeOutcome(json_response(200, {"gen": change.body["gen"]}), state.version)
        state = self._leader.state
        known = state.idempotency_records.get(change.digest, REJECTED)
        if known == REJECTED:
            return ChangeOutcome(error_response(412, "another change was committed first"))
        # An earlier copy of the change was committed.
        return ChangeOutcome(json_response(200, {"gen": known}), state.version)

    async def _validate(self, change: _Change, state: State) -> Response | None:
        """The rejection of a change, or None if it may be committed.

        Raises CallError if neither is certain.
        """
        body, is_full = change.body, change.verb is Verb.REPLACE
        errors = await run_in_steps(value_errors_steps(body))
        if errors := errors + change_errors(body, is_full, 0):
            return error_response(400, *errors)  # invalid in every state
        gen, parent, gen_in_force = body["gen"], body["parent"], state.gen
        if parent < gen and state.record_may_be_evicted(gen):
            if is_full and (errors := await self._content_errors(change, state)):
                return error_response(400, *errors)
            raise StaleCallError(
                f"the record of generation {gen} may be evicted: its outcome is not known"
            )
        mismatch = f"parent: {parent} is not {gen_in_force}, which is in force"
        if parent > gen_in_force:
            # The parent may be committed later: the rejection must be in the log by then.
            if await self._leader.decide(Command(Verb.REJECT, change.digest)):
                raise CallTimeoutError()
            return error_response(412, mismatch)
        errors = change_errors(body, is_full, gen_in_force)
        if parent != gen_in_force:
            return error_response(412, mismatch, *errors)
        errors = errors or await self._content_errors(change, state)
        return error_response(400, *errors) if errors else None

    async def _content_errors(self, change: _Change, state: State) -> list[str]:
        """Validation errors of the content that would be in force after the change."""
        command = Command(change.verb, change.digest, change.body)
        content = await run_in_steps(state.resulting_content_steps(command))
        with gc_paused(freeze=False):
            errors = await run_in_steps(content_errors_steps(content, state.content))
        self._leader.require_leadership()
        return errors
