"""Splits a large command into fragments, one log entry each. No I/O.

A command takes effect with its last fragment. An entry holds a fragment if its data begin with
`FRAGMENT_MAGIC`; an unfragmented command begins with zlib's `x`. The header is big-endian: magic
(1 byte), kind (1), sequence number in the command (4), CRC-32 of header and payload (4). The
payload of the last fragment begins with the digest of the complete command. The fragments of a
command are in order and in one term; other entries may be interleaved with them."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

from cairndale.raft.messages import state_digest

# Maximum data of an entry. Two fit in one append, which bounds how long a heartbeat is queued.
FRAGMENT_BYTES = 16 * 1024
# Fragments proposed ahead of the commit index, so that other commands can be interleaved.
MAX_UNCOMMITTED = 4
FRAGMENT_MAGIC = 2
DIGEST_BYTES = 16
_HEADER = struct.Struct(">BBI")  # magic, kind, number
_CRC = struct.Struct(">I")
PAYLOAD_BYTES = FRAGMENT_BYTES - _HEADER.size - _CRC.size  # in one fragment


class FragmentKind(IntEnum):
    """Position of a fragment in its command. The numbers are part of the stored format."""

    MORE = 0  # more fragments follow
    LAST = 1
    ABORT = 2  # abandons the current command: no further fragments of it will follow


@dataclass(frozen=True, slots=True)
class Fragment:
    """A decoded fragment."""

    kind: FragmentKind
    number: int  # in its command, from 0
    data: bytes  # in the last fragment: the digest, then data


class FragmentError(ValueError):
    """The data are not a fragment, or the fragment is damaged."""


def is_fragment(data: bytes) -> bool:
    """Whether an entry's data are a fragment rather than a complete command."""
    return data[:1] == bytes([FRAGMENT_MAGIC])


def is_intact(data: bytes) -> bool:
    """Whether an entry's data match their checksum; true for data without one."""
    if not is_fragment(data):
        return True
    try:
        decode_fragment(data)
    except FragmentError:
        return False
    return True


def encode_fragment(kind: FragmentKind, number: int, data: bytes) -> bytes:
    """The data of an entry that holds a fragment."""
    header = _HEADER.pack(FRAGMENT_MAGIC, kind, number)
    return header + _CRC.pack(zlib.crc32(data, zlib.crc32(header))) + data


def decode_fragment(data: bytes) -> Fragment:
    """The fragment in an entry's data. Raises FragmentError."""
    try:
        magic, kind, number = _HEADER.unpack_from(data)
        (crc,) = _CRC.unpack_from(data, _HEADER.size)
        payload = data[_HEADER.size + _CRC.size :]
        if magic != FRAGMENT_MAGIC or crc != zlib.crc32(payload, zlib.crc32(data[: _HEADER.size])):
            raise FragmentError("fragment has a wrong magic byte or checksum")
        return Fragment(FragmentKind(kind), number, payload)
    except (struct.error, ValueError) as error:
        raise FragmentError(str(error)) from error


def split(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the entry data of each fragment of a command that is encoded piece by piece.

    Also yields empty bytes after each piece, where the caller may pause."""
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
