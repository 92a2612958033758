"""Deltas of the configuration: what differs between two generations, item by item.

Ingresses are sent a delta in place of the whole content. It names the generation and the digest of
the content before and after, so that its receiver finds out whether it fits.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice
from marshal import dumps
from typing import Any

from cairndale.configuration import content_digest
from cairndale.configuration.content import TABLES
from cairndale.configuration.content_digest import (
    NO_DIGEST,
    TOP_LEVEL_FIELDS,
    canonical_json,
    iter_items,
)
from cairndale.configuration.stepwise import Steps

MAX_CHANGED_ITEMS = 2_000  # in one delta; for more the whole content is sent
COMPARED_PER_STEP = 400  # items: some 2 ms
SCANNED_PER_STEP = 4_000  # items of which only the names are looked at: some 2 ms
MAX_CHANGES_TEXT_BYTES = 64 * 1024 * 1024  # of JSON that a delta may unpack to

# By table and name: the item from now on, or None if it is removed.
Changes = dict[str, dict[str, Any]]


class DeltaError(ValueError):
    """A delta does not fit the content that it is applied to, or cannot be read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDelta:
    """A delta as ingresses receive it.

    Attributes:
        base_gen: the generation that it applies to.
        gen: the generation that it leads to.
        base_digest: the digest of the content before.
        digest: the digest of the content after.
        encoded_changes: the changes (JSON, zlib).
    """

    base_gen: int
    gen: int
    base_digest: int
    digest: int
    encoded_changes: bytes

    def decode_changes(self) -> Changes:
        """The changed items. Raises DeltaError."""
        decompressor = zlib.decompressobj()
        try:
            text = decompressor.decompress(self.encoded_changes, MAX_CHANGES_TEXT_BYTES)
            changes = json.loads(text)
        except (ValueError, zlib.error) as error:
            raise DeltaError(str(error)) from error
        if not decompressor.eof or not _are_changes(changes):
            raise DeltaError("no difference, or not a whole one")
        return dict(changes)


def _are_changes(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() <= {*TABLES, TOP_LEVEL_FIELDS}
        and all(isinstance(items, dict) for items in value.values())
    )


def encode_changes(changes: Changes) -> bytes:
    """The JSON of changes, not compressed."""
    return canonical_json(changes).encode()


def merge_changes(successive: Iterable[Changes]) -> Changes:
    """The changes that several, one after the other, come to."""
    merged: Changes = {}
    for changes in successive:
        for table, items in changes.items():
            merged.setdefault(table, {}).update(items)
    return merged


@dataclass(frozen=True, slots=True, kw_only=True)
class GenerationChange:
    """What changed from one generation to the next.

    Attributes:
        base_gen: the generation before.
        gen: the generation after.
        changes: the changed items.
        digest: what the digest of the content grew by; may be negative.
        size: what the content's canonical JSON grew by, in bytes; may be negative.
        count: how many items changed.
    """

    base_gen: int
    gen: int
    changes: Changes
    digest: int
    size: int
    count: int


def compare_steps(
    before: Mapping[str, Any], after: Mapping[str, Any], update: Mapping[str, Any] | None
) -> Steps[GenerationChange | None]:
    """What changed from one content to the next; None if more than MAX_CHANGED_ITEMS did.

    `update`: the body of the Update that led from one to the other, which names what may have
    changed. Without one all items are compared.
    """
    comparison = _Comparison()
    for table in (*TABLES, TOP_LEVEL_FIELDS):
        if before.get(table) is after.get(table) and table != TOP_LEVEL_FIELDS:
            continue
        names = None if update is None else _updated_names(update, table)
        old = yield from _collect_steps(iter_items(before, table), names)
        new = yield from _collect_steps(iter_items(after, table), names)
        if not (yield from comparison.compare_table_steps(table, old, new)):
            return None
    return GenerationChange(
        base_gen=before.get("gen", 0),
        gen=after["gen"],
        changes=comparison.changes,
        digest=comparison.digest,
        size=comparison.size,
        count=comparison.count,
    )


@dataclass(slots=True)
class _Comparison:
    """The changes that were found so far."""

    changes: Changes = field(default_factory=dict)
    digest: int = 0
    size: int = 0
    count: int = 0

    def compare_table_steps(
        self, table: str, old: dict[str, Any], new: dict[str, Any]
    ) -> Steps[bool]:
        """False if too many items differ. `old` is used up."""
        for number, (name, item) in enumerate(new.items()):
            if number % COMPARED_PER_STEP == 0:
                yield
            old_item = old.pop(name, None)
            if old_item is not None and _is_same(old_item, item):
                continue
            if not self._count_in(1):
                return False
            self._change(table, name, old_item, item)
        if not self._count_in(len(old)):
            return False
        for name, old_item in old.items():
            self._change(table, name, old_item, None)
        return True

    def _count_in(self, count: int) -> bool:
        """Counts changed items before their digests are made; False if there are too many."""
        self.count += count
        return self.count <= MAX_CHANGED_ITEMS

    def _change(self, table: str, name: str, old: Any, new: Any) -> None:
        self.changes.setdefault(table, {})[name] = new
        added = NO_DIGEST if new is None else content_digest.item_digest(table, name, new)
        removed = NO_DIGEST if old is None else content_digest.item_digest(table, name, old)
        self.digest += added.value - removed.value
        self.size += added.size - removed.size


def _is_same(one: Any, other: Any) -> bool:
    """Equal with the types: 1 and 1.0 are equal numbers, but two texts."""
    return dumps(one, 2) == dumps(other, 2)


def _updated_names(update: Mapping[str, Any], table: str) -> set[str]:
    names = {item["name"] for item in update.get("upsert", {}).get(table, ())}
    return names.union(update.get("remove", {}).get(table, ()))


def _collect_steps(
    items: Iterator[tuple[str, Any]], names: set[str] | None
) -> Steps[dict[str, Any]]:
    """Items by name: all, or those of `names`."""
    collected: dict[str, Any] = {}
    while chunk := list(islice(items, SCANNED_PER_STEP)):
        collected.update(chunk if names is None else [one for one in chunk if one[0] in names])
        yield
    return collected
