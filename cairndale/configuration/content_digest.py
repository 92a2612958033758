"""Digests of a configuration's content, which show whether a delta applies to it.

The digest of a content is the sum of its items' digests, modulo 2**64. So it does not depend on
the order of items, and updating it after a change needs only the digests of the changed items.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

from cairndale.configuration.content import TABLES

DIGEST_MODULUS = 1 << 64
# Name of a pseudo-table with all other fields of a content: each field by its name, as a list that
# contains only its value.
TOP_LEVEL_FIELDS = ""

# Keys are sorted: equal items have equal text, whatever the order of their keys.
canonical_json = json.JSONEncoder(separators=(",", ":"), sort_keys=True).encode


class ItemDigest(NamedTuple):
    """The digest of an item; zero for a missing item."""

    value: int = 0
    size: int = 0  # bytes of the item's canonical JSON


NO_DIGEST = ItemDigest()


def item_digest(table: str, name: str, item: Any) -> ItemDigest:
    """The digest of one item: 64 bits of BLAKE2b of table, name and item."""
    text = canonical_json([table, name, item]).encode()
    value = int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
    return ItemDigest(value, len(text))


def iter_items(content: Mapping[str, Any], table: str) -> Iterator[tuple[str, Any]]:
    """The items of a table, or of TOP_LEVEL_FIELDS, each with its name."""
    if table == TOP_LEVEL_FIELDS:
        return (
            (name, [value])
            for name, value in content.items()
            if name not in TABLES and name != "gen"
        )
    return ((item["name"], item) for item in content.get(table, ()))


def iter_item_digests(content: Mapping[str, Any]) -> Iterator[ItemDigest]:
    """The digest of each item of a content."""
    return (
        item_digest(table, name, item)
        for table in (*TABLES, TOP_LEVEL_FIELDS)
        for name, item in iter_items(content, table)
    )
