"""A large command's form in the log: parts, an entry each, of which the last decides. Pure.

A part begins with a mark that no whole command begins with (that is zlib's `x`), its kind, its
number in the command, and a CRC of all else in it. The data of the last one stand behind the digest
of all parts' data. Parts of one command follow one another in one term; entries of others may stand
between them."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from cairndale.raft.messages import state_digest

PART = (
    16 * 1024
)  # bytes of an entry's data at the most: two are one append, so that a beat waits for no more
# parts that are not in force yet, while one more is appended: others' commands get in between
WINDOW = 4
MARK = 2
_HEAD, _CRC, DIGEST = struct.Struct(">BBI"), struct.Struct(">I"), 16
ROOM = PART - _HEAD.size - _CRC.size  # bytes in one part


class Kind(IntEnum):
    MORE = 0
    LAST = 1
    VOID = 2  # the one before is given up: its rest will not come


@dataclass(frozen=True, slots=True)
class Part:
    kind: Kind
    number: int  # in its command, from 0
    data: bytes


class PartError(ValueError):
    """No part, or not as it was made."""


def is_part(data: bytes) -> bool:
    return data[:1] == bytes([MARK])


def is_sound(data: bytes) -> bool:
    """Of an entry's data: whether it is as it was made, as far as it tells."""
    try:
        return not is_part(data) or bool(read(data))
    except PartError:
        return False


def part(kind: Kind, number: int, data: bytes) -> bytes:
    head = _HEAD.pack(MARK, kind, number)
    return head + _CRC.pack(zlib.crc32(data, zlib.crc32(head))) + data


def read(data: bytes) -> Part:
    """Raises PartError."""
    try:
        (mark, kind, number), (crc,) = _HEAD.unpack_from(data), _CRC.unpack_from(data, _HEAD.size)
        rest = data[_HEAD.size + _CRC.size :]
        if mark != MARK or crc != zlib.crc32(rest, zlib.crc32(data[: _HEAD.size])):
            raise PartError("a part is not as it was made")
        return Part(Kind(kind), number, rest)
    except (struct.error, ValueError) as error:
        raise PartError(str(error)) from error


def cut(stream: Iterable[bytes]) -> Iterator[bytes]:
    """The data of one entry after the other. Empty: only a pause, after each piece of the
    stream."""
    digest, held, number = state_digest(), bytearray(), 0
    for piece in stream:
        digest.update(piece)
        held += piece
        while len(held) > ROOM - DIGEST:
            yield part(Kind.MORE, number, bytes(held[: ROOM - DIGEST]))
            del held[: ROOM - DIGEST]
            number += 1
        yield b""
    yield part(Kind.LAST, number, digest.digest() + held)
