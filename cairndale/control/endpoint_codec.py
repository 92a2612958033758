"""Conversion of endpoints to and from messages between control and data-plane nodes.

Points in time are sent as remaining durations in ms, since clocks of processes are not comparable.
"""

from __future__ import annotations

from cairndale.registry.endpoints import EncodedEndpoint, Endpoint
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.integer_ranges import MAX_UINT32, MAX_UINT64


def endpoint_to_message(endpoint: Endpoint, now: float) -> pb.Endpoint:
    """The message for an endpoint, as of `now`."""
    return pb.Endpoint(
        id=endpoint.id,
        service=endpoint.service,
        address=endpoint.addr,
        zone=endpoint.zone,
        generation=endpoint.gen,
        capacity=endpoint.capacity,
        state=endpoint.state,
        warmup_left_ms=min(MAX_UINT32, max(0, round((endpoint.warmup_until - now) * 1000))),
        seq=min(MAX_UINT64, endpoint.seq),
        wide_seq=_wide_seq(endpoint.seq),
    )


def _wide_seq(seq: int) -> bytes:
    """A sequence number above 64 bits, in as many bytes as it needs; empty for any other."""
    return seq.to_bytes((seq.bit_length() + 7) // 8) if seq > MAX_UINT64 else b""


def encode_endpoint(endpoint: Endpoint, now: float) -> bytes:
    """The endpoint as a serialised field of a `WatchResponse`.

    Cached until the endpoint changes, except while it is warming up: then the encoding depends on
    the time.
    """
    is_warm = endpoint.warmup_until <= now
    if is_warm and endpoint.encoded.version == endpoint.changed_at_version:
        return endpoint.encoded.data
    data = pb.WatchResponse(endpoints=[endpoint_to_message(endpoint, now)]).SerializeToString()
    if is_warm:
        endpoint.encoded = EncodedEndpoint(endpoint.changed_at_version, data)
    return data


def endpoint_from_message(message: pb.Endpoint, now: float) -> Endpoint:
    """The endpoint that a message describes, as if its heartbeat had been received at `now`."""
    return Endpoint(
        id=message.id,
        service=message.service,
        addr=message.address,
        zone=message.zone,
        gen=message.generation,
        capacity=message.capacity,
        state=message.state,
        warmup_until=now + message.warmup_left_ms / 1000,
        seq=int.from_bytes(message.wide_seq) if message.wide_seq else message.seq,
        last_heartbeat_at=now,
        has_ended=message.state == "gone",
    )
