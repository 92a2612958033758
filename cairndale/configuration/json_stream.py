"""The body of a large call read as JSON in steps: to the same value as `json.loads`, or ValueError
as well.

Objects at the top, and lists in them, are gone through here; an item of a list, and what lies
deeper, is read at once."""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Generator
from sys import intern
from typing import Any

LARGE_BODY_BYTES = 64 * 1024  # bytes of a body that is not read at once
DECODED_BYTES_PER_STEP = 1024 * 1024  # bytes that one step makes text of
LOOKAHEAD_CHARS = 64 * 1024  # characters that are held ahead, where there are more
ITEMS_PER_STEP = 500  # items of a list that one step reads
DEPTH = 2  # objects within one another that are gone through

_spaces = re.compile(r"[ \t\n\r]*")
_decode = json.JSONDecoder().raw_decode


def loads_steps(body: bytes) -> Generator[None, None, Any]:
    """Raises ValueError."""
    if len(body) <= LARGE_BODY_BYTES:
        return json.loads(body)
    text = _Text(body)
    value = yield from _value(text, DEPTH)
    if text.next():
        raise text.wrong("Extra data")
    return value


class _Text:
    """A body as text, of which a little is held at a time."""

    def __init__(self, body: bytes) -> None:
        self._decoder = codecs.getincrementaldecoder(json.detect_encoding(body))("surrogatepass")
        self._body, self._taken, self._held, self._at = body, 0, "", 0

    def _more(self) -> bool:
        """False if all is held."""
        if self._taken > len(self._body):
            return False
        some = self._body[self._taken : self._taken + DECODED_BYTES_PER_STEP]
        self._taken += DECODED_BYTES_PER_STEP
        self._held = self._held[self._at :] + self._decoder.decode(
            some, final=self._taken > len(self._body)
        )
        self._at = 0
        return True

    def next(self) -> str:
        """The next character that is no space; nothing at the end."""
        while True:
            while len(self._held) - self._at < LOOKAHEAD_CHARS and self._more():
                pass
            if found := _spaces.match(self._held, self._at):
                self._at = found.end()
            if self._at < len(self._held) or not self._more():
                return self._held[self._at : self._at + 1]

    def take(self, wanted: str) -> bool:
        """Whether that is next; it is passed then."""
        found = self.next() == wanted
        self._at += found
        return found

    def value(self) -> Any:
        """All of the next one."""
        self.next()
        while True:
            try:
                value, at = _decode(self._held, self._at)
                if len(self._held) - at > 3 or not self._more():  # else a number may go on: 1|e+5
                    self._at = at
                    return value
            except json.JSONDecodeError:
                if not self._more():
                    raise

    def wrong(self, why: str) -> json.JSONDecodeError:
        return json.JSONDecodeError(why, self._held, self._at)


def _value(text: _Text, depth: int) -> Generator[None, None, Any]:
    if depth and text.take("{"):
        return (yield from _object(text, depth))
    if text.take("["):
        return (yield from _list(text))
    return text.value()


def _goes_on(text: _Text, end: str) -> bool:
    """After a member: whether another comes."""
    if text.take(end):
        return False
    if not text.take(","):
        raise text.wrong("Expecting ',' delimiter")
    return True


def _object(text: _Text, depth: int) -> Generator[None, None, dict[str, Any]]:
    made: dict[str, Any] = {}
    more = not text.take("}")
    while more:
        if text.next() != '"':
            raise text.wrong("Expecting property name enclosed in double quotes")
        name = text.value()
        if not text.take(":"):
            raise text.wrong("Expecting ':' delimiter")
        made[name] = yield from _value(text, depth - 1)
        more = _goes_on(text, "}")
    return made


def _list(text: _Text) -> Generator[None, None, list[Any]]:
    made: list[Any] = []
    more = not text.take("]")
    while more:
        item = text.value()
        if isinstance(item, dict):  # names are held once, as they would be if all were read at once
            item = {intern(name): value for name, value in item.items()}
        made.append(item)
        if len(made) % ITEMS_PER_STEP == 0:
            yield
        more = _goes_on(text, "]")
    return made
