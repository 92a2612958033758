"""The stored form of the state, and of large commands: a JSON object in parts.

Format 2, which is written: one byte of format, then parts. A part is four bytes of length
(big-endian), then a list of records (JSON, zlib). A record is `[path, value]`: an object at this
path gets these members, a list these items more, and anything else is put there. A part is some
32 KiB of JSON, or one item that is larger, so that encoding or decoding it holds an event loop for
a few milliseconds at most; the caller may pause after each.

Format 1, which is read: the whole object at once (JSON, zlib).
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from typing import Any

FORMAT = b"\x02"
FORMAT_1 = b"\x78"  # how zlib begins
PART_TEXT_BYTES = 32 * 1024  # of JSON after which a part ends
ITEMS_PER_RECORD = 32
MAX_SPLIT_DEPTH = 2  # objects within objects whose members have records of their own
MAX_PART_TEXT_BYTES = 64 * 1024 * 1024  # of JSON in one part: bounds what a foreign one unpacks to

_LENGTH = struct.Struct(">I")

_to_json = json.JSONEncoder(separators=(",", ":")).encode


class FormatError(ValueError):
    """The data is no stored state, or is one of an unknown format."""


def encode(value: dict[str, Any]) -> bytes:
    """The stored form of a JSON object, without a pause."""
    return b"".join(encode_parts(value))


def decode(data: bytes) -> dict[str, Any]:
    """The JSON object of a stored form, without a pause. Raises FormatError."""
    value: dict[str, Any] = {}
    for _ in decode_parts(data, value):
        pass
    return value


def encode_parts(value: dict[str, Any]) -> Iterator[bytes]:
    """The stored form piece by piece: the format, then each part.

    Neither the object nor anything in it may change meanwhile.
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
    """JSON of the records that build the value at this path."""
    if isinstance(value, dict) and len(path) <= MAX_SPLIT_DEPTH:
        yield from _iter_object_records(path, value)
    elif isinstance(value, list):
        yield _to_json([path, []])
        for start in range(0, len(value), ITEMS_PER_RECORD):
            yield _to_json([path, value[start : start + ITEMS_PER_RECORD]])
    else:
        yield _to_json([path, value])


def _iter_object_records(path: tuple[str, ...], value: dict[str, Any]) -> Iterator[str]:
    """Members in order; those that are not split share records."""
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
    """Fills `target` from a stored form of either format, with a pause after each part.

    No data is an empty state. Raises FormatError.
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
    """Fills a JSON object from the stored form (format 2) as that arrives, cut anywhere."""

    def __init__(self, target: dict[str, Any]) -> None:
        self._target = target
        self._buffer = bytearray()
        self._has_format = False

    def feed(self, data: bytes) -> Iterator[None]:
        """Decodes all parts that are complete by now, with a pause after each.

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
            raise FormatError("a part is cut off")

    def _check_format(self) -> int:
        """The position behind the byte of format, if it stands in the buffer."""
        if not self._buffer or self._has_format:
            return 0
        if self._buffer[:1] != FORMAT:
            raise FormatError(f"format {bytes(self._buffer[:1])!r}, where {FORMAT!r} is known")
        self._has_format = True
        return 1

    def _end_of_part(self, start: int) -> int | None:
        """Where the part that starts here ends; None if it is not complete."""
        if len(self._buffer) - start < _LENGTH.size:
            return None
        (size,) = _LENGTH.unpack_from(self._buffer, start)
        end = start + _LENGTH.size + int(size)
        return end if end <= len(self._buffer) else None

    def _decode_part(self, part: bytes) -> None:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(part, MAX_PART_TEXT_BYTES)
        if not decompressor.eof:
            raise FormatError("a part is not whole, or larger than any of ours")
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
