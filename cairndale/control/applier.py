"""Delivered entries come into force, in order and in steps of which none holds the loop. Pure.

A large command stands in the log in parts (`parts.py`) and is read as they are delivered; the last
one decides. What becomes of it rests on the log alone: it is void, alike at all members, if its
parts are not one after the other in one term, if it was given up, or if it is not as it was made.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Generator, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Any

from cairndale.configuration import serialization
from cairndale.configuration.state import Command, State
from cairndale.control.snapshot_worker import uncollected
from cairndale.raft import fragments
from cairndale.raft.messages import Entry, state_digest

LARGE = (
    64 * 1024
)  # bytes of a command in one entry, as earlier programs wrote it, that makes many objects


def encoded(command: Command) -> bytes | Iterator[bytes]:
    """As one entry's data, or that of several (`parts.cut`): a step of work each, empty ones only
    that."""
    pieces = serialization.encode_parts(command.to_dict())
    begun = list(islice(pieces, 3))  # the format, and a second part if there is one
    if len(begun) < 3 and len(data := command.encode()) <= fragments.PART:
        return data
    return fragments.cut(chain(begun, pieces))


@dataclass(frozen=True, slots=True)
class AppliedEntry:
    entry: Entry
    changed: bool  # the state is another one for it


@dataclass(slots=True)
class _PartialCommand:
    """A command of which not all parts have come."""

    count: int = 0
    raw: dict[str, Any] = field(default_factory=dict)
    digest: Any = field(default_factory=state_digest)
    reading: serialization.PartsDecoder = field(init=False)

    def __post_init__(self) -> None:
        self.reading = serialization.PartsDecoder(self.raw)


class Applier:
    def __init__(self, state: State, index: int = 0, term: int = 0) -> None:
        """The state as it is after the entry at this index, of this term."""
        # this one leads: what ingresses are told is there once an entry is in force
        self.tells = False
        self._queue: deque[Entry] = deque()
        self.restore(state, index, term)

    def restore(self, state: State, index: int, term: int) -> None:
        """A snapshot takes the place of all that was delivered up to it."""
        self.state, self.index, self.term = state, index, term
        self._queue.clear()
        self._work: Generator[None, None, bool] | None = None
        self._begun: _PartialCommand | None = None

    @property
    def is_behind(self) -> bool:
        """Something was delivered that is not in force yet."""
        return bool(self._queue)

    @property
    def is_whole(self) -> bool:
        """No command has come in part: the state is all that the log says up to here."""
        return self._begun is None and self._work is None

    def take(self, entries: Iterable[Entry]) -> None:
        self._queue.extend(entries)

    def step(self) -> AppliedEntry | None:
        """A step of work, where there is one; what has come into force with it, if it is an entry's
        last."""
        if not self._queue:
            return None
        entry = self._queue[0]
        if self._work is None:
            self._work = self._applying(entry)
        large = self._begun or len(entry.data) > LARGE or fragments.is_fragment(entry.data)
        try:
            with uncollected() if large else contextlib.nullcontext():
                next(self._work)
        except StopIteration as ended:
            self._queue.popleft()
            self._work, self.index, self.term = None, entry.index, entry.term
            return AppliedEntry(entry, ended.value)
        return None

    def _applying(self, entry: Entry) -> Generator[None, None, bool]:
        if entry.is_term_start:  # who made the parts before it leads no longer
            self._begun = None
            if self.tells:
                yield from self.state.encode_content_steps()
        if not entry.data:
            return False
        if fragments.is_fragment(entry.data):
            command = yield from self._gathered(fragments.read(entry.data))
        else:
            command = Command.decode(entry.data)
        return (yield from self.state.apply_steps(command, self.tells)) if command else False

    def _gathered(self, part: fragments.Fragment) -> Generator[None, None, Command | None]:
        """The command whose last part this is."""
        if part.number == 0 and part.kind is not fragments.FragmentKind.VOID:
            self._begun = _PartialCommand()
        begun, self._begun = self._begun, None
        if begun is None or part.kind is fragments.FragmentKind.VOID or part.number != begun.count:
            return None
        last = part.kind is fragments.FragmentKind.LAST
        data = part.data[fragments.DIGEST :] if last else part.data
        begun.count += 1
        begun.digest.update(data)
        try:
            yield from begun.reading.feed(data)
            if last and begun.digest.digest() == part.data[: fragments.DIGEST]:
                begun.reading.finish()
                return Command.from_dict(begun.raw)
        except (ValueError, KeyError, TypeError):
            return None
        self._begun = None if last else begun
        return None
