"""The content of a configuration: a JSON object with tables of named items, and other fields."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from cairndale.configuration.stepwise import Steps

Content = dict[str, Any]

TABLES = ("routes", "backends", "tenants")
ITEMS_PER_STEP = 4_096  # items that are copied or looked up by name
ENCODED_ITEMS_PER_STEP = 512  # items that are encoded as JSON and compressed

_to_json = json.JSONEncoder(separators=(",", ":")).encode


def chunks(items: Sequence[Any], size: int) -> Iterator[Sequence[Any]]:
    """The items in order, in chunks of at most `size`."""
    for start in range(0, len(items), size):
        yield items[start : start + size]


def updated_content_steps(content: Content, update: Mapping[str, Any]) -> Steps[Content]:
    """The content after an Update: items are replaced in place by name, appended or removed."""
    updated = {**content, "gen": update["gen"]}
    for table in TABLES:
        upserts = yield from _items_by_name_steps(update.get("upsert", {}).get(table, ()))
        removed = set(update.get("remove", {}).get(table, ())) - upserts.keys()
        if upserts or removed:
            items = content.get(table, [])
            updated[table] = yield from _updated_table_steps(items, upserts, removed)
    return updated


def _items_by_name_steps(items: Sequence[Any]) -> Steps[dict[str, Any]]:
    by_name: dict[str, Any] = {}
    for chunk in chunks(items, ITEMS_PER_STEP):
        by_name |= {item["name"]: item for item in chunk}
        yield
    return by_name


def _updated_table_steps(
    items: Sequence[Any], upserts: dict[str, Any], removed: set[str]
) -> Steps[list[Any]]:
    """Consumes `upserts`: what remains after the table's existing items is appended as new."""
    updated: list[Any] = []
    for chunk in chunks(items, ITEMS_PER_STEP):
        kept = (item for item in chunk if item["name"] not in removed)
        updated += [upserts.pop(item["name"], item) for item in kept]
        yield
    return updated + list(upserts.values())


def encode_content_steps(content: Content) -> Steps[bytes]:
    """The content as ingresses receive it: JSON without spaces, compressed with zlib."""
    compressor = zlib.compressobj(6)
    compressed: list[bytes] = []
    for text in _content_texts(content):
        compressed.append(compressor.compress(text.encode()))
        yield
    return b"".join([*compressed, compressor.flush()])


def _content_texts(content: Content) -> Iterator[str]:
    """JSON of the content in parts, each with a bounded number of items."""
    before = "{"
    for name, value in content.items():
        key = f"{before}{_to_json(name)}:"
        if isinstance(value, list):
            yield from _list_texts(f"{key}[", value)
        else:
            yield f"{key}{_to_json(value)}"
        before = ","
    yield "}" if content else "{}"


def _list_texts(before: str, items: list[Any]) -> Iterator[str]:
    for chunk in chunks(items, ENCODED_ITEMS_PER_STEP):
        yield f"{before}{_to_json(chunk)[1:-1]}"
        before = ","
    yield "]" if items else f"{before}]"
