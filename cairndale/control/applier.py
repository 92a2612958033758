"""Applies committed log entries to the state in short steps. Performs no I/O.

No step blocks the event loop for long. A large command is stored in the log as several fragments
(`cairndale.raft.fragments`), which are decoded as they are committed; the command is applied with
the last one. Whether it takes effect depends on the log alone, so all members agree: it is void if
its fragments are not consecutive within one term, if it was aborted, or if its digest does not
match.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Generator, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice
from typing import Any

from cairndale.configuration import serialization
from cairndale.configuration.commands import Command
from cairndale.configuration.state import State
from cairndale.control.gc_pause import gc_paused
from cairndale.raft import fragments
from cairndale.raft.fragments import Fragment, FragmentKind
from cairndale.raft.messages import Entry, state_digest

# Earlier versions wrote a command of any size as one entry. The garbage collector is paused for
# entries above this size, because decoding them creates many objects.
LARGE_ENTRY_BYTES = 64 * 1024


def encode_command(command: Command) -> bytes | Iterator[bytes]:
    """The command as the data of one entry, or of several entries (`fragments.split`).

    Each item of the iterator is one step of work. An empty item is not an entry: it only marks a
    point where the caller may yield to the event loop.
    """
    parts = serialization.encode_parts(command.to_dict())
    first = list(islice(parts, 3))  # the format's header, and a second part if there is one
    if len(first) < 3 and len(data := command.encode()) <= fragments.FRAGMENT_BYTES:
        return data
    return fragments.split(chain(first, parts))


@dataclass(frozen=True, slots=True)
class AppliedEntry:
    """A log entry that has been applied."""

    entry: Entry
    changed: bool  # whether it changed the state; False for a void command


@dataclass(slots=True)
class _PartialCommand:
    """A command whose last fragment is not committed yet."""

    count: int = 0  # fragments received so far
    raw: dict[str, Any] = field(default_factory=dict)
    digest: Any = field(default_factory=state_digest)
    decoder: serialization.PartsDecoder = field(init=False)

    def __post_init__(self) -> None:
        self.decoder = serialization.PartsDecoder(self.raw)


class Applier:
    """The replicated state, and the queue of committed entries that are not applied yet.

    `state` includes all entries up to `index`; the entry at `index` is of `term`.
    `encodes_content` is set while this node leads: the configuration is then encoded for ingresses
    in steps while it is applied, instead of all at once when the first ingress requests it.
    """

    def __init__(self, state: State, index: int = 0, term: int = 0) -> None:
        self.encodes_content = False
        self._queue: deque[Entry] = deque()
        self.restore(state, index, term)

    def restore(self, state: State, index: int, term: int) -> None:
        """Replaces the state by that of a snapshot and drops the queued entries."""
        self.state, self.index, self.term = state, index, term
        self._queue.clear()
        self._work: Generator[None, None, bool] | None = None
        self._partial: _PartialCommand | None = None

    @property
    def has_backlog(self) -> bool:
        """Whether committed entries are waiting to be applied."""
        return bool(self._queue)

    @property
    def is_between_commands(self) -> bool:
        """Whether the state reflects the whole log up to `index`.

        It does not between the fragments of a command: a snapshot taken there could not replace the
        fragments before it.
        """
        return self._partial is None and self._work is None

    def enqueue(self, entries: Iterable[Entry]) -> None:
        """Adds committed entries in log order."""
        self._queue.extend(entries)

    def step(self) -> AppliedEntry | None:
        """Does one step of work, if there is any.

        Returns the entry once its last step is done, else None.
        """
        if not self._queue:
            return None
        entry = self._queue[0]
        if self._work is None:
            self._work = self._apply_steps(entry)
        is_part = fragments.is_fragment(entry.data)
        is_large = self._partial or len(entry.data) > LARGE_ENTRY_BYTES or is_part
        try:
            with gc_paused() if is_large else contextlib.nullcontext():
                next(self._work)
        except StopIteration as ended:
            self._queue.popleft()
            self._work, self.index, self.term = None, entry.index, entry.term
            return AppliedEntry(entry, ended.value)
        return None

    def _apply_steps(self, entry: Entry) -> Generator[None, None, bool]:
        if entry.is_term_start:  # earlier fragments were written by the leader of an earlier term
            self._partial = None
            if self.encodes_content:
                yield from self.state.encode_content_steps()
        if not entry.data:
            return False
        if fragments.is_fragment(entry.data):
            command = yield from self._assemble(fragments.decode_fragment(entry.data))
        else:
            command = Command.decode(entry.data)
        return (
            (yield from self.state.apply_steps(command, self.encodes_content)) if command else False
        )

    def _assemble(self, fragment: Fragment) -> Generator[None, None, Command | None]:
        """Decodes a fragment; returns the command if the fragment completes it."""
        if fragment.number == 0 and fragment.kind is not FragmentKind.ABORT:
            self._partial = _PartialCommand()
        partial, self._partial = self._partial, None
        if partial is None or fragment.kind is FragmentKind.ABORT:
            return None
        if fragment.number != partial.count:
            return None
        is_last = fragment.kind is FragmentKind.LAST
        data = fragment.data[fragments.DIGEST_BYTES :] if is_last else fragment.data
        partial.count += 1
        partial.digest.update(data)
        try:
            yield from partial.decoder.feed(data)
            if is_last and partial.digest.digest() == fragment.data[: fragments.DIGEST_BYTES]:
                partial.decoder.finish()
                return Command.from_dict(partial.raw)
        except (ValueError, KeyError, TypeError):
            return None
        self._partial = None if is_last else partial
        return None
