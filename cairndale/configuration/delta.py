"""What changed of the configuration from one gen to the next: told in place of the whole content.

A content is weighed by a sum over its items, whatever their order: the sum of their digests (64
bits) and of their texts' lengths. A difference names the gen and the digest before it and after it,
so that who takes it finds out whether it fits."""

from __future__ import annotations

import json
import zlib
from collections import deque
from collections.abc import Generator, Iterable, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
from marshal import dumps
from typing import Any

from cairndale.configuration.validation import TABLES

MAX_RECORDED_CHANGES = 256  # gens back to which differences are known
MAX_CHANGED_ITEMS = (
    2_000  # that a difference may put or remove, over all its steps; for more the whole is told
)
DIGESTED_PER_STEP = 400  # items weighed at once: some 2 ms ...
COMPARED_PER_STEP, SCANNED_PER_STEP = 400, 4_000  # ... or compared, or looked at for their names
MIN_SAVING_FACTOR = (
    8  # a difference is told where its text is this many times shorter than the whole's, or more
)
MAX_CHANGES_TEXT_BYTES = 64 * 1024 * 1024  # bytes of text of a difference that are unpacked
TOP_LEVEL_FIELDS = (
    ""  # in the place of a table: what else a content says, each by its name as a list of one
)
DIGEST_MODULUS = 1 << 64

Changes = dict[
    str, dict[str, Any]
]  # by table and name: the item from now on, or None if it is gone

_text = json.JSONEncoder(separators=(",", ":"), sort_keys=True).encode


class DeltaError(ValueError):
    """A difference that does not fit what it is to be applied to."""


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    base_gen: int
    gen: int
    base_digest: int
    digest: int
    encoded_changes: bytes  # JSON, zlib

    def decode_changes(self) -> Changes:
        """Raises DeltaError."""
        packer = zlib.decompressobj()
        try:
            made = json.loads(packer.decompress(self.encoded_changes, MAX_CHANGES_TEXT_BYTES))
            sound = isinstance(made, dict) and made.keys() <= {*TABLES, TOP_LEVEL_FIELDS}
            if not (
                packer.eof and sound and all(isinstance(named, dict) for named in made.values())
            ):
                raise DeltaError("no difference, or not a whole one")
        except (ValueError, zlib.error) as error:
            raise DeltaError(str(error)) from None
        return dict(made)


def item_digest(table: str, name: str, item: Any) -> tuple[int, int]:
    """An item's digest, and the bytes of its text."""
    text = _text([table, name, item]).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big"), len(text)


def iter_items(content: Mapping[str, Any], table: str) -> Iterator[tuple[str, Any]]:
    """A table's items, or the fields, each with its name."""
    if table == TOP_LEVEL_FIELDS:
        return ((n, [value]) for n, value in content.items() if n not in TABLES and n != "gen")
    return ((item["name"], item) for item in content.get(table, ()))


def iter_item_digests(content: Mapping[str, Any]) -> Iterator[tuple[int, int]]:
    """Of each item."""
    return (
        item_digest(table, name, item)
        for table in (*TABLES, TOP_LEVEL_FIELDS)
        for name, item in iter_items(content, table)
    )


@dataclass(frozen=True, slots=True)
class GenerationChange:
    """From one gen to the next."""

    base_gen: int
    gen: int
    changes: Changes
    digest: int  # added to the content's
    size: int
    count: int  # of items


def compare_steps(
    before: Mapping[str, Any], after: Mapping[str, Any], order: Mapping[str, Any] | None
) -> Generator[None, None, GenerationChange | None]:
    """In steps. `order`: the update that led from one to the other; without one they are compared
    whole. None: too many items differ."""
    changes: Changes = {}
    digest = size = count = 0
    for table in (*TABLES, TOP_LEVEL_FIELDS):
        if before.get(table) is after.get(table) and table != TOP_LEVEL_FIELDS:
            continue
        only: set[str] | None = None
        if order is not None:
            only = {item["name"] for item in order.get("upsert", {}).get(table, ())}
            only.update(order.get("remove", {}).get(table, ()))
        gone = yield from _collect_steps(iter_items(before, table), only)
        new = yield from _collect_steps(iter_items(after, table), only)
        for at, (name, item) in enumerate(new.items()):
            if at % COMPARED_PER_STEP == 0:
                yield
            was = gone.pop(name, None)
            if was is not None and dumps(was, 2) == dumps(
                item, 2
            ):  # by type too: 1 and 1.0 are two texts
                continue
            count += 1
            if count > MAX_CHANGED_ITEMS:
                return None
            changes.setdefault(table, {})[name] = item
            more, less = (
                item_digest(table, name, item),
                (0, 0) if was is None else item_digest(table, name, was),
            )
            digest, size = digest + more[0] - less[0], size + more[1] - less[1]
        count += len(gone)
        if count > MAX_CHANGED_ITEMS:
            return None
        for name, was in gone.items():
            changes.setdefault(table, {})[name] = None
            less = item_digest(table, name, was)
            digest, size = digest - less[0], size - less[1]
    return GenerationChange(before.get("gen", 0), after["gen"], changes, digest, size, count)


def _collect_steps(
    items: Iterator[tuple[str, Any]], only: set[str] | None
) -> Generator[None, None, dict[str, Any]]:
    """Items by name, in steps; `only` those, if any are named."""
    picked: dict[str, Any] = {}
    while chunk := list(islice(items, SCANNED_PER_STEP)):
        picked.update(chunk if only is None else [one for one in chunk if one[0] in only])
        yield
    return picked


class DeltaHistory:
    """The newest steps, alike at every member of the core that applied them, and what the content
    in force weighs: counted a few items at a time, as nobody waits for it."""

    def __init__(self) -> None:
        self._recorded: deque[GenerationChange] = deque(maxlen=MAX_RECORDED_CHANGES)
        self._digest = self._size = 0
        self._undigested: Iterator[tuple[int, int]] | None = None  # of what is being weighed
        self._is_digested = False
        self._deltas: dict[
            int, ConfigDelta | None
        ] = {}  # by the gen that they begin at, up to the newest

    def record(self, made: GenerationChange | None) -> None:
        """Another content came in the place of the one before, by this step; None: that is not
        known."""
        self._deltas = {}
        if made is None:
            self._recorded.clear()
            self._undigested, self._is_digested = None, False
            return
        self._recorded.append(made)
        self._add(made.digest, made.size)  # also while what was before is being weighed

    def _add(self, digest: int, size: int) -> None:
        self._digest, self._size = (self._digest + digest) % DIGEST_MODULUS, self._size + size

    def digest_next_items(self, content: Mapping[str, Any]) -> bool:
        """Some more items of the content in force; True once all are. Before, no difference is
        known."""
        if not self._is_digested:
            if self._undigested is None:
                self._undigested, self._digest, self._size = iter_item_digests(content), 0, 0
            chunk = list(islice(self._undigested, DIGESTED_PER_STEP))
            self._add(sum(digest for digest, _ in chunk), sum(size for _, size in chunk))
            self._is_digested = len(chunk) < DIGESTED_PER_STEP
            self._deltas = {}
        return self._is_digested

    def delta_since(self, gen: int) -> ConfigDelta | None:
        """From there to the newest; None: not known, or not worth it."""
        if gen not in self._deltas:
            self._deltas[gen] = self._make_delta(gen) if self._is_digested else None
        return self._deltas[gen]

    def _make_delta(self, gen: int) -> ConfigDelta | None:
        steps = list(self._recorded)
        at = next((n for n, one in enumerate(steps) if one.base_gen == gen), len(steps))
        if at == len(steps) or sum(one.count for one in steps[at:]) > MAX_CHANGED_ITEMS:
            return None
        text = _text(merge_changes(one.changes for one in steps[at:])).encode()
        if len(text) * MIN_SAVING_FACTOR > self._size:
            return None
        before = (self._digest - sum(one.digest for one in steps[at:])) % DIGEST_MODULUS
        return ConfigDelta(gen, steps[-1].gen, before, self._digest, zlib.compress(text, 6))


def merge_changes(some: Iterable[Changes]) -> Changes:
    """One after the other."""
    merged: Changes = {}
    for changes in some:
        for table, items in changes.items():
            merged.setdefault(table, {}).update(items)
    return merged
