"""The time since a leader's term began, in requests and responses of the configuration watch.

It was given 32 bits, which are used up after 49.7 days of one term. Above `MAX_NARROW_MS` it stands
in a field of 64 bits; processes of earlier versions then take it as not given.
"""

from __future__ import annotations

from cairndale.rpc import protocol_pb2 as pb

# Below 2**32 by three days, for which a process of an earlier version may extrapolate the last time
# that it was told.
MAX_NARROW_MS = (1 << 32) - 3 * 24 * 3600 * 1000


def set_leader_time(message: pb.WatchRequest | pb.WatchResponse, elapsed_ms: int) -> None:
    """Write the time into a message; 0: none is given."""
    if elapsed_ms <= MAX_NARROW_MS:
        message.leader_clock_ms = elapsed_ms
    else:
        message.leader_time_ms = elapsed_ms


def leader_time(message: pb.WatchRequest | pb.WatchResponse) -> int:
    """Return the time in ms, at least 1; 0 if none is given."""
    return message.leader_time_ms or message.leader_clock_ms
