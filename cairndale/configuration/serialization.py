"""The stored form of the state: a JSON object in parts that are made and read one at a time.

One byte of format, then parts: four bytes of length, then a list of records (JSON, zlib). A record
is `[path, value]`: at this path, a dict gets these members, a list these items more, anything else
stands so. Whoever makes or reads it may pause after each part; a part is some 32 KiB of text, or
one item that is larger. Format 1 is one whole JSON object (zlib)."""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Generator, Iterator
from typing import Any, TypeVar

FORMAT = b"\x02"
FORMAT_1 = b"\x78"  # how zlib begins
PART_TEXT_BYTES = 32 * 1024  # bytes of JSON after which a part ends
ITEMS_PER_RECORD = 32  # items that are put into text at once
MAX_SPLIT_DEPTH = 2  # objects within objects that are taken apart
MAX_PART_TEXT_BYTES = 64 * 1024 * 1024  # bytes of text in one part: more is not ours

T = TypeVar("T")

_text = json.JSONEncoder(separators=(",", ":")).encode


class FormatError(ValueError):
    """No stored state, or of a format that is not known."""


def encode_parts(raw: dict[str, Any]) -> Iterator[bytes]:
    """The stored form. `raw` is not to change meanwhile, nor anything in it."""
    yield FORMAT
    records: list[str] = []
    size = 0
    for record in _records((), raw):
        records.append(record)
        size += len(record)
        if size >= PART_TEXT_BYTES:
            yield _encode_part(records)
            records, size = [], 0
    if records:
        yield _encode_part(records)


def _encode_part(records: list[str]) -> bytes:
    data = zlib.compress(f"[{','.join(records)}]".encode(), 6)
    return struct.pack(">I", len(data)) + data


def _records(path: tuple[str, ...], value: Any) -> Iterator[str]:
    if isinstance(value, dict) and len(path) <= MAX_SPLIT_DEPTH:
        leaves: dict[str, Any] = {}
        yield _text([path, {}])
        for name, member in value.items():
            inner = isinstance(member, list) or (
                isinstance(member, dict) and len(path) < MAX_SPLIT_DEPTH
            )
            if inner or len(leaves) >= ITEMS_PER_RECORD:
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
        for at in range(0, len(value), ITEMS_PER_RECORD):
            yield _text([path, value[at : at + ITEMS_PER_RECORD]])
    else:
        yield _text([path, value])


class PartsDecoder:
    """Fills `raw` from the stored form as it comes, cut anywhere."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self._raw, self._buffer, self._format_read = raw, bytearray(), False

    def feed(self, data: bytes) -> Iterator[None]:
        """All that is whole by now, with a pause after each part. Raises FormatError."""
        self._buffer += data
        at = 0
        if self._buffer and not self._format_read:
            if self._buffer[:1] != FORMAT:
                raise FormatError(f"format {bytes(self._buffer[:1])!r}, where {FORMAT!r} is known")
            self._format_read, at = True, 1
        try:
            while len(self._buffer) - at >= 4:
                (size,) = struct.unpack_from(">I", self._buffer, at)
                if at + 4 + size > len(self._buffer):
                    break
                self._decode_part(bytes(self._buffer[at + 4 : at + 4 + size]))
                at += 4 + size
                yield
        except (ValueError, TypeError, KeyError, AttributeError, zlib.error) as error:
            raise error if isinstance(error, FormatError) else FormatError(repr(error)) from error
        del self._buffer[:at]

    def _decode_part(self, part: bytes) -> None:
        packed = zlib.decompressobj()
        text = packed.decompress(part, MAX_PART_TEXT_BYTES)
        if not packed.eof:
            raise FormatError("a part is not whole, or larger than any of ours")
        for path, value in json.loads(text):
            _merge_record(self._raw, path, value)

    def finish(self) -> None:
        """Raises FormatError where there was more to come."""
        if self._buffer:
            raise FormatError("a part is cut off")


def decode_parts(data: bytes, raw: dict[str, Any]) -> Iterator[None]:
    """Fills `raw`, one part after the other; nothing is an empty state. Raises FormatError."""
    if data[:1] == FORMAT_1:
        try:
            raw |= json.loads(zlib.decompress(data))
        except (ValueError, TypeError, zlib.error) as error:
            raise FormatError(repr(error)) from error
        return
    decoder = PartsDecoder(raw)
    yield from decoder.feed(data)
    decoder.finish()


def _merge_record(raw: dict[str, Any], path: list[str], value: Any) -> None:
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


def run_to_completion(work: Generator[None, None, T]) -> T:
    """What work in steps comes to, without the pauses."""
    while True:
        try:
            next(work)
        except StopIteration as ended:
            made: T = ended.value
            return made


def encode(raw: dict[str, Any]) -> bytes:
    return b"".join(encode_parts(raw))


def decode(data: bytes) -> dict[str, Any]:
    """All at once. Raises FormatError."""
    raw: dict[str, Any] = {}
    for _ in decode_parts(data, raw):
        pass
    return raw
