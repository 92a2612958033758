"""Deltas of the configuration: the differences between two generations, item by item.

A delta is sent to ingresses in place of the full content. It states the generation and the digest
of the content before and after, from which its receiver determines whether it applies.
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

MAX_CHANGED_ITEMS = 2_000  # in one delta; for more changes the full content is sent
COMPARED_PER_STEP = 400  # items; takes about 2 ms
SCANNED_PER_STEP = 4_000  # items of which only the names are read; takes about 2 ms
MAX_CHANGES_TEXT_BYTES = 64 * 1024 * 1024  # of JSON that a delta may decompress to

# By table and name: the new item, or None if it is removed.
Changes = dict[str, dict[str, Any]]


class DeltaError(ValueError):
    """A delta does not apply to the receiver's content, or cannot be decoded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDelta:
    """A delta as ingresses receive it.

    Attributes:
        base_gen: the id of the generation that the delta applies to (`generation_id`).
        gen: the generation that it results in.
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
        """The changed items. Raises DeltaError if they cannot be decoded."""
        decompressor = zlib.decompressobj()
        try:
            text = decompressor.decompress(self.encoded_changes, MAX_CHANGES_TEXT_BYTES)
            changes = json.loads(text)
        except (ValueError, zlib.error) as error:
            raise DeltaError(str(error)) from error
        if not decompressor.eof or not _are_changes(changes):
            raise DeltaError("the changes of the delta are truncated, too large or malformed")
        return dict(changes)


def _are_changes(value: Any) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() <= {*TABLES, TOP_LEVEL_FIELDS}
        and all(isinstance(items, dict) for items in value.values())
    )


def encode_changes(changes: Changes) -> bytes:
    """Changes as JSON, not compressed."""
    return canonical_json(changes).encode()


def merge_changes(successive: Iterable[Changes]) -> Changes:
    """The combined effect of successive changes."""
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
        digest: the increase of the content's digest; may be negative.
        size: the increase of the content's canonical JSON, in bytes; may be negative.
        count: the number of changed items.
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
    """What changed from one content to the next; None if more than MAX_CHANGED_ITEMS changed.

    `update`: the body of the Update that led from one to the other; only the items that it names
    are compared. Without it, all items are compared.
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
    """The changes found so far."""

    changes: Changes = field(default_factory=dict)
    digest: int = 0
    size: int = 0
    count: int = 0

    def compare_table_steps(
        self, table: str, old: dict[str, Any], new: dict[str, Any]
    ) -> Steps[bool]:
        """Returns False if too many items differ. Consumes `old`."""
        for number, (name, item) in enumerate(new.items()):
            if number % COMPARED_PER_STEP == 0:
                yield
            old_item = old.pop(name, None)
            if old_item is not None and _is_same(old_item, item):
                continue
            if not self._add_to_count(1):
                return False
            self._record_change(table, name, old_item, item)
        if not self._add_to_count(len(old)):
            return False
        for name, old_item in old.items():
            self._record_change(table, name, old_item, None)
        return True

    def _add_to_count(self, count: int) -> bool:
        """Counts changed items before their digests are computed; False if there are too many."""
        self.count += count
        return self.count <= MAX_CHANGED_ITEMS

    def _record_change(self, table: str, name: str, old: Any, new: Any) -> None:
        self.changes.setdefault(table, {})[name] = new
        added = NO_DIGEST if new is None else content_digest.item_digest(table, name, new)
        removed = NO_DIGEST if old is None else content_digest.item_digest(table, name, old)
        self.digest += added.value - removed.value
        self.size += added.size - removed.size


def _is_same(first: Any, second: Any) -> bool:
    """Equal including types: 1 and 1.0 compare equal, but differ as JSON."""
    return dumps(first, 2) == dumps(second, 2)


def _updated_names(update: Mapping[str, Any], table: str) -> set[str]:
    names = {item["name"] for item in update.get("upsert", {}).get(table, ())}
    return names.union(update.get("remove", {}).get(table, ()))


def _collect_steps(
    items: Iterator[tuple[str, Any]], names: set[str] | None
) -> Steps[dict[str, Any]]:
    """Items by name: all items, or only those in `names`."""
    collected: dict[str, Any] = {}
    while chunk := list(islice(items, SCANNED_PER_STEP)):
        collected.update(chunk if names is None else [pair for pair in chunk if pair[0] in names])
        yield
    return collected
