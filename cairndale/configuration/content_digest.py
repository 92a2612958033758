"""Digests of a configuration's content, by which a delta finds out whether it fits.

The digest of a content is the sum of its items' digests, modulo 2**64. So it does not depend on
the order of items, and a change of some items needs only the digests of these.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

from cairndale.configuration.content import TABLES

DIGEST_MODULUS = 1 << 64
# Stands for a table of what else a content says: each field by its name, as a list of its value.
TOP_LEVEL_FIELDS = ""

# Keys are sorted: equal items have equal text, whatever order their keys came in.
canonical_json = json.JSONEncoder(separators=(",", ":"), sort_keys=True).encode


class ItemDigest(NamedTuple):
    """The digest of an item, or of nothing."""

    value: int = 0
    size: int = 0  # bytes of the item's canonical JSON


NO_DIGEST = ItemDigest()


def item_digest(table: str, name: str, item: Any) -> ItemDigest:
    """The digest of one item: 64 bits of BLAKE2b over table, name and item."""
    text = canonical_json([table, name, item]).encode()
    value = int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
    return ItemDigest(value, len(text))


def iter_items(content: Mapping[str, Any], table: str) -> Iterator[tuple[str, Any]]:
    """The name and the item of each item of a table, or of TOP_LEVEL_FIELDS."""
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
