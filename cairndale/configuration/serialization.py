"""The stored form of the state and of large commands: a JSON object split into parts.

Format 2 is written and read. It is one byte that identifies the format, then parts. A part is its
length in four bytes (big-endian), then a list of records (JSON, zlib). A record is `[path, value]`:
a value that is an object is merged into the object at this path, a list is appended to the list
there, and any other value is set there. A part has about 32 KiB of JSON, or one larger item, so
that encoding or decoding it blocks an event loop for a few milliseconds at most; the caller may
yield to the event loop after each part.

Format 1 is only read. It is the complete object at once (JSON, zlib).
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

FORMAT = b"\x02"
FORMAT_1 = b"\x78"  # the first byte of zlib data
PART_TEXT_BYTES = 32 * 1024  # of JSON, after which a part ends
ITEMS_PER_RECORD = 32
MAX_SPLIT_DEPTH = 2  # levels of nested objects whose members have separate records
# Of JSON in one part; limits what a part of other origin decompresses to.
MAX_PART_TEXT_BYTES = 64 * 1024 * 1024

_LENGTH = struct.Struct(">I")

_to_json = json.JSONEncoder(separators=(",", ":")).encode


class FormatError(ValueError):
    """The data is not a stored state, or its format is unknown."""


def encode(value: dict[str, Any]) -> bytes:
    """The stored form of a JSON object, encoded in one go."""
    return b"".join(encode_parts(value))


def decode(data: bytes) -> dict[str, Any]:
    """The JSON object of a stored form, decoded in one go. Raises FormatError."""
    value: dict[str, Any] = {}
    for _ in decode_parts(data, value):
        pass
    return value


def encode_parts(value: dict[str, Any]) -> Iterator[bytes]:
    """The stored form in pieces: the format byte, then each part.

    The object and the values in it must not change until the iteration ends.
    """
    yield FORMAT
    records: list[str] = []
    size = 0
    for record in _iter_records((), value):
        records.append(record)
        size += len(record)
        if size >= PART_TEXT_BYTES:
            yield _encode_part(records)
            records, size = [], 0
    if records:
        yield _encode_part(records)


def _encode_part(records: list[str]) -> bytes:
    data = zlib.compress(f"[{','.join(records)}]".encode(), 6)
    return _LENGTH.pack(len(data)) + data


def _iter_records(path: tuple[str, ...], value: Any) -> Iterator[str]:
    """The JSON of the records that make up the value at this path."""
    if isinstance(value, dict) and len(path) <= MAX_SPLIT_DEPTH:
        yield from _iter_object_records(path, value)
    elif isinstance(value, list):
        yield _to_json([path, []])
        for start in range(0, len(value), ITEMS_PER_RECORD):
            yield _to_json([path, value[start : start + ITEMS_PER_RECORD]])
    else:
        yield _to_json([path, value])


def _iter_object_records(path: tuple[str, ...], value: dict[str, Any]) -> Iterator[str]:
    """Records of the members in order; members that are not split share records."""
    yield _to_json([path, {}])
    unsplit: dict[str, Any] = {}
    for name, member in value.items():
        is_split = isinstance(member, list) or (
            isinstance(member, dict) and len(path) < MAX_SPLIT_DEPTH
        )
        if unsplit and (is_split or len(unsplit) >= ITEMS_PER_RECORD):
            yield _to_json([path, unsplit])
            unsplit = {}
        if is_split:
            yield from _iter_records((*path, name), member)
        else:
            unsplit[name] = member
    if unsplit:
        yield _to_json([path, unsplit])


def decode_parts(data: bytes, target: dict[str, Any]) -> Iterator[None]:
    """Fills `target` from a stored form of either format, and yields after each part.

    Empty data is an empty state. Raises FormatError.
    """
    if data[:1] == FORMAT_1:
        try:
            target |= json.loads(zlib.decompress(data))
        except (ValueError, TypeError, zlib.error) as error:
            raise FormatError(repr(error)) from error
        return
    decoder = PartsDecoder(target)
    yield from decoder.feed(data)
    decoder.finish()


class PartsDecoder:
    """Fills a JSON object from the stored form (format 2), received in chunks of any size."""

    def __init__(self, target: dict[str, Any]) -> None:
        self._target = target
        self._buffer = bytearray()
        self._has_format = False

    def feed(self, data: bytes) -> Iterator[None]:
        """Decodes all parts that are complete so far, and yields after each.

        Raises FormatError.
        """
        self._buffer += data
        position = self._check_format()
        try:
            while (end := self._end_of_part(position)) is not None:
                self._decode_part(bytes(self._buffer[position + _LENGTH.size : end]))
                position = end
                yield
        except FormatError:
            raise
        except (ValueError, TypeError, KeyError, AttributeError, zlib.error) as error:
            raise FormatError(repr(error)) from error
        del self._buffer[:position]

    def finish(self) -> None:
        """Raises FormatError if the last part is not complete."""
        if self._buffer:
            raise FormatError(f"the last part is truncated: {len(self._buffer)} bytes left over")

    def _check_format(self) -> int:
        """The position after the format byte, if that is in the buffer."""
        if not self._buffer or self._has_format:
            return 0
        if self._buffer[:1] != FORMAT:
            raise FormatError(f"unknown format {bytes(self._buffer[:1])!r}, expected {FORMAT!r}")
        self._has_format = True
        return 1

    def _end_of_part(self, start: int) -> int | None:
        """The end of the part at `start`; None if the part is not complete."""
        if len(self._buffer) - start < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer, start)
        end = start + _LENGTH.size + int(size)
        return end if end <= len(self._buffer) else None

    def _decode_part(self, part: bytes) -> None:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(part, MAX_PART_TEXT_BYTES)
        if not decompressor.eof:
            raise FormatError(
                f"a part is truncated, or larger than {MAX_PART_TEXT_BYTES} bytes of JSON"
            )
        for path, value in json.loads(text):
            _merge_record(self._target, path, value)


def _merge_record(target: dict[str, Any], path: list[str], value: Any) -> None:
    if not path:
        target.update(value)
        return
    parent: Any = target
    for name in path[:-1]:
        parent = parent[name]
    existing = parent.get(path[-1])
    if isinstance(value, dict) and isinstance(existing, dict):
        existing.update(value)
    elif isinstance(value, list) and isinstance(existing, list):
        existing += value
    else:
        parent[path[-1]] = value
