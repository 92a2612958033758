"""A large command in the log: fragments, an entry each, of which the last makes it count. Pure.

An entry's data are a fragment if they begin with `FRAGMENT_MARK`, which no whole command does: that
begins with zlib's `x`. Header, all big-endian: mark (1 byte), kind (1), number in the command (4),
CRC-32 of header and payload (4). The payload of the last fragment begins with the digest of all
fragments' data. Fragments of one command follow one another in one term; other entries may stand
between them."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from cairndale.raft.messages import state_digest

# The largest data of an entry. Two fit in one append, which bounds what a heartbeat queues behind.
FRAGMENT_BYTES = 16 * 1024
# Fragments proposed ahead of the commit index: other commands get in between.
MAX_UNCOMMITTED = 4
FRAGMENT_MARK = 2
DIGEST_BYTES = 16
_HEADER = struct.Struct(">BBI")  # mark, kind, number
_CRC = struct.Struct(">I")
PAYLOAD_BYTES = FRAGMENT_BYTES - _HEADER.size - _CRC.size  # in one fragment


class FragmentKind(IntEnum):
    """Place of a fragment in its command; the numbers are the stored format."""

    MORE = 0  # others follow
    LAST = 1
    ABORT = 2  # the command before is given up: its other fragments will not come


@dataclass(frozen=True, slots=True)
class Fragment:
    """A decoded fragment."""

    kind: FragmentKind
    number: int  # in its command, from 0
    data: bytes  # of the last one: the digest, then data


class FragmentError(ValueError):
    """The data are no fragment, or a damaged one."""


def is_fragment(data: bytes) -> bool:
    """Whether an entry's data are a fragment and not a whole command."""
    return data[:1] == bytes([FRAGMENT_MARK])


def is_intact(data: bytes) -> bool:
    """Whether an entry's data are undamaged, as far as they carry a checksum."""
    if not is_fragment(data):
        return True
    try:
        decode_fragment(data)
    except FragmentError:
        return False
    return True


def encode_fragment(kind: FragmentKind, number: int, data: bytes) -> bytes:
    """The data of an entry that holds a fragment."""
    header = _HEADER.pack(FRAGMENT_MARK, kind, number)
    return header + _CRC.pack(zlib.crc32(data, zlib.crc32(header))) + data


def decode_fragment(data: bytes) -> Fragment:
    """The fragment in an entry's data. Raises FragmentError."""
    try:
        mark, kind, number = _HEADER.unpack_from(data)
        (crc,) = _CRC.unpack_from(data, _HEADER.size)
        payload = data[_HEADER.size + _CRC.size :]
        if mark != FRAGMENT_MARK or crc != zlib.crc32(payload, zlib.crc32(data[: _HEADER.size])):
            raise FragmentError("a part is not as it was made")
        return Fragment(FragmentKind(kind), number, payload)
    except (struct.error, ValueError) as error:
        raise FragmentError(str(error)) from error


def split(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """The data of one entry after the other, for a command that comes in pieces.

    Yields empty bytes after each piece: the caller may pause there."""
    digest, pending, number = state_digest(), bytearray(), 0
    size = PAYLOAD_BYTES - DIGEST_BYTES
    for piece in pieces:
        digest.update(piece)
        pending += piece
        while len(pending) > size:
            yield encode_fragment(FragmentKind.MORE, number, bytes(pending[:size]))
            del pending[:size]
            number += 1
        yield b""
    yield encode_fragment(FragmentKind.LAST, number, digest.digest() + pending)
