"""Lists of servers and nodes inside a cue: encoded and packed once for all who are told the
same."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError

from cairndale.rpc import protocol_pb2 as pb

MOST = 64 * 1024 * 1024  # bytes of lists that are unpacked
LEVEL = 1  # names and addresses look alike: more work saves little


def packed(part: pb.WatchResponse) -> bytes:
    """`part` holds lists and nothing else."""
    return zlib.compress(part.SerializeToString(), LEVEL) if part.ByteSize() else b""


def unpack(watch_response: pb.WatchResponse) -> None:
    """Puts packed lists in their places. Raises ValueError where they are none."""
    if not watch_response.compressed_lists:
        return
    packer = zlib.decompressobj()
    try:
        data = packer.decompress(watch_response.compressed_lists, MOST)
        part = pb.WatchResponse.FromString(data)
    except (zlib.error, DecodeError) as error:
        raise ValueError(f"packed lists: {error}") from None
    if not packer.eof:
        raise ValueError("packed lists: they end early, or are too large")
    watch_response.ClearField("compressed_lists")
    watch_response.MergeFrom(part)
