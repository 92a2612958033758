"""The body of a large call read as JSON in steps: to the same value as `json.loads`, or ValueError as well.

Objects at the top, and lists in them, are gone through here; an item of a list, and what lies deeper, is read
at once.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Generator
from sys import intern
from typing import Any

LARGE = 64 * 1024  # bytes of a body that is not read at once
DECODED = 1024 * 1024  # bytes that one step makes text of
MANY = 500  # items of a list that one step reads
DEPTH = 2  # objects within one another that are gone through

_space = re.compile(r"[ \t\n\r]*")
_decode = json.JSONDecoder().raw_decode

Steps = Generator[None, None, tuple[Any, int]]


def loads(body: bytes) -> Generator[None, None, Any]:
    """Raises ValueError."""
    if len(body) <= LARGE:
        return json.loads(body)
    decoder = codecs.getincrementaldecoder(json.detect_encoding(body))("surrogatepass")
    pieces = []
    for at in range(0, len(body), DECODED):
        pieces.append(decoder.decode(body[at : at + DECODED]))
        yield
    text = "".join([*pieces, decoder.decode(b"", final=True)])
    while pieces:  # to free all at once takes some ms as well
        pieces.pop()
        yield
    value, at = yield from _value(text, _after(text, 0), DEPTH)
    if _after(text, at) != len(text):
        raise json.JSONDecodeError("Extra data", text, at)
    return value


def _after(text: str, at: int) -> int:
    """Where spaces end."""
    found = _space.match(text, at)
    return found.end() if found else at


def _value(text: str, at: int, depth: int) -> Steps:
    if depth and text.startswith("{", at):
        return (yield from _object(text, at, depth))
    if text.startswith("[", at):
        return (yield from _list(text, at))
    return _decode(text, at)


def _goes_on(text: str, at: int, end: str) -> tuple[bool, int]:
    """After a member: whether another comes, and where."""
    at = _after(text, at)
    if text.startswith(end, at):
        return False, at + 1
    if not text.startswith(",", at):
        raise json.JSONDecodeError("Expecting ',' delimiter", text, at)
    return True, _after(text, at + 1)


def _object(text: str, at: int, depth: int) -> Steps:
    made: dict[str, Any] = {}
    at = _after(text, at + 1)
    if text.startswith("}", at):
        return made, at + 1
    more = True
    while more:
        if not text.startswith('"', at):
            raise json.JSONDecodeError("Expecting property name enclosed in double quotes", text, at)
        name, at = _decode(text, at)
        at = _after(text, at)
        if not text.startswith(":", at):
            raise json.JSONDecodeError("Expecting ':' delimiter", text, at)
        made[name], at = yield from _value(text, _after(text, at + 1), depth - 1)
        more, at = _goes_on(text, at, "}")
    return made, at


def _list(text: str, at: int) -> Steps:
    made: list[Any] = []
    at = _after(text, at + 1)
    if text.startswith("]", at):
        return made, at + 1
    more = True
    while more:
        item, at = _decode(text, at)
        if isinstance(item, dict):  # names are held once, as they would be if all were read at once
            item = {intern(name): value for name, value in item.items()}
        made.append(item)
        if len(made) % MANY == 0:
            yield
        more, at = _goes_on(text, at, "]")
    return made, at
