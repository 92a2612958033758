"""Decodes the JSON of a large request body in steps, to the same value as `json.loads`.

The outer objects and the lists in them are decoded member by member. An item of a list, and a value
that is nested more deeply, is decoded at once.
"""

from __future__ import annotations

import codecs
import json
import re
from sys import intern
from typing import Any

from cairndale.configuration.stepwise import Steps

LARGE_BODY_BYTES = 64 * 1024  # largest body that is decoded in one step
DECODED_BYTES_PER_STEP = 1024 * 1024  # bytes of the body that are converted to text at once
LOOKAHEAD_CHARS = 64 * 1024  # characters buffered ahead of the position, until the body ends
ITEMS_PER_STEP = 500  # items of a list
MAX_SPLIT_DEPTH = 2  # levels of nested objects that are decoded member by member
MIN_CHARS_AFTER_VALUE = 3  # with fewer, a number may be incomplete: 1|e+5

_SPACES = re.compile(r"[ \t\n\r]*")
_decode_value = json.JSONDecoder().raw_decode


def loads_steps(body: bytes) -> Steps[Any]:
    """The value of a JSON text. Returns and raises the same as `json.loads`."""
    if len(body) <= LARGE_BODY_BYTES:
        return json.loads(body)
    reader = _TextReader(body)
    value = yield from _value_steps(reader, MAX_SPLIT_DEPTH)
    if reader.peek():
        raise reader.error("Extra data")
    return value


class _TextReader:
    """The text of a body, of which one window is decoded at a time."""

    def __init__(self, body: bytes) -> None:
        encoding = json.detect_encoding(body)
        self._decoder = codecs.getincrementaldecoder(encoding)("surrogatepass")
        self._body = body
        self._bytes_read = 0
        self._window = ""
        self._position = 0  # in the window

    def peek(self) -> str:
        """The next character that is not white space; empty at the end."""
        while True:
            while len(self._window) - self._position < LOOKAHEAD_CHARS and self._read_more():
                pass
            if spaces := _SPACES.match(self._window, self._position):
                self._position = spaces.end()
            if self._position < len(self._window) or not self._read_more():
                return self._window[self._position : self._position + 1]

    def accept(self, character: str) -> bool:
        """Consumes the character if it is the next one; returns whether it was."""
        if self.peek() != character:
            return False
        self._position += 1
        return True

    def read_value(self) -> Any:
        """The complete next value. Raises JSONDecodeError."""
        self.peek()
        while True:
            try:
                value, end = _decode_value(self._window, self._position)
            except json.JSONDecodeError:
                if not self._read_more():
                    raise
                continue
            if len(self._window) - end > MIN_CHARS_AFTER_VALUE or not self._read_more():
                self._position = end
                return value

    def error(self, message: str) -> json.JSONDecodeError:
        """An error at the current position."""
        return json.JSONDecodeError(message, self._window, self._position)

    def _read_more(self) -> bool:
        """Extends the window and drops consumed text; False if the body is read to its end."""
        if self._bytes_read > len(self._body):
            return False
        chunk = self._body[self._bytes_read : self._bytes_read + DECODED_BYTES_PER_STEP]
        self._bytes_read += DECODED_BYTES_PER_STEP
        text = self._decoder.decode(chunk, final=self._bytes_read > len(self._body))
        self._window = self._window[self._position :] + text
        self._position = 0
        return True


def _value_steps(reader: _TextReader, depth: int) -> Steps[Any]:
    if depth and reader.accept("{"):
        return (yield from _object_steps(reader, depth))
    if reader.accept("["):
        return (yield from _list_steps(reader))
    return reader.read_value()


def _object_steps(reader: _TextReader, depth: int) -> Steps[dict[str, Any]]:
    members: dict[str, Any] = {}
    has_more = not reader.accept("}")
    while has_more:
        if reader.peek() != '"':
            raise reader.error("Expecting property name enclosed in double quotes")
        name = reader.read_value()
        if not reader.accept(":"):
            raise reader.error("Expecting ':' delimiter")
        members[name] = yield from _value_steps(reader, depth - 1)
        has_more = _has_next(reader, "}")
    return members


def _list_steps(reader: _TextReader) -> Steps[list[Any]]:
    items: list[Any] = []
    has_more = not reader.accept("]")
    while has_more:
        item = reader.read_value()
        if isinstance(item, dict):  # share equal names in memory, as `json.loads` does
            item = {intern(name): value for name, value in item.items()}
        items.append(item)
        if len(items) % ITEMS_PER_STEP == 0:
            yield
        has_more = _has_next(reader, "]")
    return items


def _has_next(reader: _TextReader, end: str) -> bool:
    """Whether another member follows; False at the end of the object or list."""
    if reader.accept(end):
        return False
    if not reader.accept(","):
        raise reader.error("Expecting ',' delimiter")
    return True
