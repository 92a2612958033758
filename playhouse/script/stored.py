"""The stored form of the state: a JSON object in parts that are made and read one at a time.

One byte of format, then parts: four bytes of length, then a list of records (JSON, zlib). A record is
`[path, value]`: at this path, a dict gets these members, a list these items more, anything else stands so.
Whoever makes or reads it may pause after each part; a part is some 32 KiB of text, or one item that is
larger. Format 1 is one whole JSON object (zlib).
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

FORMAT = b"\x02"
FORMAT_1 = b"\x78"  # how zlib begins
TEXT = 32 * 1024  # bytes of JSON after which a part ends
MANY = 32  # items that are put into text at once
DEPTH = 2  # objects within objects that are taken apart
MOST = 64 * 1024 * 1024  # bytes of text in one part: more is not ours

_text = json.JSONEncoder(separators=(",", ":")).encode


class FormatError(ValueError):
    """No stored state, or of a format that is not known."""


def parts(raw: dict[str, Any]) -> Iterator[bytes]:
    """The stored form. `raw` is not to change meanwhile, nor anything in it."""
    yield FORMAT
    records: list[str] = []
    size = 0
    for record in _records((), raw):
        records.append(record)
        size += len(record)
        if size >= TEXT:
            yield _part(records)
            records, size = [], 0
    if records:
        yield _part(records)


def _part(records: list[str]) -> bytes:
    data = zlib.compress(f"[{','.join(records)}]".encode(), 6)
    return struct.pack(">I", len(data)) + data


def _records(path: tuple[str, ...], value: Any) -> Iterator[str]:
    if isinstance(value, dict) and len(path) <= DEPTH:
        leaves: dict[str, Any] = {}
        yield _text([path, {}])
        for name, member in value.items():
            inner = isinstance(member, list) or (isinstance(member, dict) and len(path) < DEPTH)
            if inner or len(leaves) >= MANY:
                if leaves:
                    yield _text([path, leaves])
                leaves = {}
            if inner:
                yield from _records((*path, name), member)
            else:
                leaves[name] = member
        if leaves:
            yield _text([path, leaves])
    elif isinstance(value, list):
        yield _text([path, []])
        for at in range(0, len(value), MANY):
            yield _text([path, value[at : at + MANY]])
    else:
        yield _text([path, value])


def read_parts(data: bytes, raw: dict[str, Any]) -> Iterator[None]:
    """Fills `raw`, one part after the other; nothing is an empty state. Raises FormatError."""
    if not data:
        return
    try:
        if data[:1] == FORMAT_1:
            raw |= json.loads(zlib.decompress(data))
            return
        if data[:1] != FORMAT:
            raise FormatError(f"format {data[:1]!r}, where {FORMAT!r} is known")
        at = 1
        while at < len(data):
            (size,) = struct.unpack_from(">I", data, at)
            if at + 4 + size > len(data):
                raise FormatError("a part is cut off")
            packed = zlib.decompressobj()
            text = packed.decompress(data[at + 4 : at + 4 + size], MOST)
            if not packed.eof:
                raise FormatError("a part is not whole, or larger than any of ours")
            for path, value in json.loads(text):
                _put(raw, path, value)
            at += 4 + size
            yield
    except (ValueError, TypeError, KeyError, AttributeError, zlib.error, struct.error) as error:
        raise error if isinstance(error, FormatError) else FormatError(repr(error)) from error


def _put(raw: dict[str, Any], path: list[str], value: Any) -> None:
    at: Any = raw
    if not path:
        raw.update(value)
        return
    for name in path[:-1]:
        at = at[name]
    here = at.get(path[-1])
    if isinstance(value, dict) and isinstance(here, dict):
        here.update(value)
    elif isinstance(value, list) and isinstance(here, list):
        here += value
    else:
        at[path[-1]] = value


def whole(raw: dict[str, Any]) -> bytes:
    return b"".join(parts(raw))


def read(data: bytes) -> dict[str, Any]:
    """All at once. Raises FormatError."""
    raw: dict[str, Any] = {}
    for _ in read_parts(data, raw):
        pass
    return raw
