"""Compression of the endpoint and node lists in a watch response, once for many receivers."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError

from cairndale.rpc import protocol_pb2 as pb

MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 1  # names and addresses are repetitive: a higher level saves little


def compress_lists(lists: pb.WatchResponse) -> bytes:
    """Return the bytes for `WatchResponse.compressed_lists`; empty if `lists` is empty.

    `lists` has only endpoints, nodes, removed nodes and the flags that say if they are complete.
    """
    return zlib.compress(lists.SerializeToString(), COMPRESSION_LEVEL) if lists.ByteSize() else b""


def decompress_lists(watch_response: pb.WatchResponse) -> None:
    """Replace the compressed lists of a response by their fields.

    Raises:
        ValueError: the bytes are not compressed lists, are truncated, or decompress to more than
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
        raise ValueError(f"packed lists: truncated, or larger than {MAX_DECOMPRESSED_BYTES} bytes")
    watch_response.ClearField("compressed_lists")
    watch_response.MergeFrom(lists)
