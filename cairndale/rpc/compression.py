"""Lists of endpoints and nodes inside a watch response, compressed once for many receivers."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError

from cairndale.rpc import protocol_pb2 as pb

MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 1  # names and addresses look alike: a higher level saves little


def compress_lists(lists: pb.WatchResponse) -> bytes:
    """The bytes for `WatchResponse.compressed_lists`; empty if `lists` is.

    `lists` holds endpoints, nodes, removed nodes and whether they are complete, and nothing else.
    """
    return zlib.compress(lists.SerializeToString(), COMPRESSION_LEVEL) if lists.ByteSize() else b""


def decompress_lists(watch_response: pb.WatchResponse) -> None:
    """Replace compressed lists by the fields that they hold.

    Raises:
        ValueError: the bytes are no compressed lists, are cut short or exceed
            `MAX_DECOMPRESSED_BYTES`; the response is unchanged.
    """
    if not watch_response.compressed_lists:
        return
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(watch_response.compressed_lists, MAX_DECOMPRESSED_BYTES)
        lists = pb.WatchResponse.FromString(data)
    except (zlib.error, DecodeError) as error:
        raise ValueError(f"packed lists: {error}") from None
    if not decompressor.eof:
        raise ValueError("packed lists: they end early, or are too large")
    watch_response.ClearField("compressed_lists")
    watch_response.MergeFrom(lists)
