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

FRAGMENT_BYTES = (
    16 * 1024
)  # bytes of an entry's data at the most: two are one append, so that a beat waits for no more
# parts that are not in force yet, while one more is appended: others' commands get in between
MAX_UNCOMMITTED = 4
FRAGMENT_MARK = 2
_HEADER, _CRC, DIGEST_BYTES = struct.Struct(">BBI"), struct.Struct(">I"), 16
PAYLOAD_BYTES = FRAGMENT_BYTES - _HEADER.size - _CRC.size  # bytes in one part


class FragmentKind(IntEnum):
    MORE = 0
    LAST = 1
    ABORT = 2  # the one before is given up: its rest will not come


@dataclass(frozen=True, slots=True)
class Fragment:
    kind: FragmentKind
    number: int  # in its command, from 0
    data: bytes


class FragmentError(ValueError):
    """No part, or not as it was made."""


def is_fragment(data: bytes) -> bool:
    return data[:1] == bytes([FRAGMENT_MARK])


def is_intact(data: bytes) -> bool:
    """Of an entry's data: whether it is as it was made, as it tells."""
    try:
        return not is_fragment(data) or bool(decode_fragment(data))
    except FragmentError:
        return False


def encode_fragment(kind: FragmentKind, number: int, data: bytes) -> bytes:
    head = _HEADER.pack(FRAGMENT_MARK, kind, number)
    return head + _CRC.pack(zlib.crc32(data, zlib.crc32(head))) + data


def decode_fragment(data: bytes) -> Fragment:
    """Raises PartError."""
    try:
        (mark, kind, number), (crc,) = (
            _HEADER.unpack_from(data),
            _CRC.unpack_from(data, _HEADER.size),
        )
        rest = data[_HEADER.size + _CRC.size :]
        if mark != FRAGMENT_MARK or crc != zlib.crc32(rest, zlib.crc32(data[: _HEADER.size])):
            raise FragmentError("a part is not as it was made")
        return Fragment(FragmentKind(kind), number, rest)
    except (struct.error, ValueError) as error:
        raise FragmentError(str(error)) from error


def split(stream: Iterable[bytes]) -> Iterator[bytes]:
    """The data of one entry after the other. Empty: only a pause, after each piece of the
    stream."""
    digest, held, number = state_digest(), bytearray(), 0
    for piece in stream:
        digest.update(piece)
        held += piece
        while len(held) > PAYLOAD_BYTES - DIGEST_BYTES:
            yield encode_fragment(
                FragmentKind.MORE, number, bytes(held[: PAYLOAD_BYTES - DIGEST_BYTES])
            )
            del held[: PAYLOAD_BYTES - DIGEST_BYTES]
            number += 1
        yield b""
    yield encode_fragment(FragmentKind.LAST, number, digest.digest() + held)
