"""Messages and state are readable both ways beside commit 69dc9dd.

The files in `69dc9dd` were written by that commit's own code (`generate_69dc9dd.py`).
`protocol.desc` has its messages, so that what this version writes is read here as that one does.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from cairndale.configuration.commands import Command
from cairndale.configuration.state import State
from cairndale.control.departure_log import newest_ended, recorded_departure
from cairndale.control.endpoint_codec import endpoint_from_message, endpoint_to_message
from cairndale.registry.departures import Departure
from cairndale.registry.endpoints import Endpoint
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.leader_time import MAX_NARROW_MS, leader_time, set_leader_time

GOLDEN = Path(__file__).parent / "69dc9dd"
OLD_FILE = descriptor_pb2.FileDescriptorProto.FromString((GOLDEN / "protocol.desc").read_bytes())
OLD_POOL = descriptor_pool.DescriptorPool()
OLD_POOL.AddSerializedFile(OLD_FILE.SerializeToString())


def as_old(message: Any) -> Any:
    """The message as 69dc9dd reads it."""
    descriptor = OLD_POOL.FindMessageTypeByName(message.DESCRIPTOR.full_name)
    return message_factory.GetMessageClass(descriptor).FromString(message.SerializeToString())


def test_fields_keep_their_numbers_and_types() -> None:
    for old in OLD_FILE.message_type:
        new = pb.DESCRIPTOR.message_types_by_name[old.name].fields_by_name
        for old_field in old.field:
            new_field = new[old_field.name]
            assert (new_field.number, new_field.type) == (old_field.number, old_field.type)


def test_departures_are_rejected_changes_to_69dc9dd() -> None:
    data, state = (GOLDEN / "departures.state").read_bytes(), State()
    for key in ("draining:i-1", "deregistered:i-1", "deregistered:i-2"):
        command = (GOLDEN / "departures.command").read_bytes()
        raw = Command.decode(command).to_dict() | {"digest": key}
        state.apply(Command.from_dict(raw))
    assert state.encode() == data and State.decode(data) == state
    assert list(newest_ended(state)) == ["i-2", "i-1"]
    assert recorded_departure(state, "i-1") is Departure.ENDED
    assert recorded_departure(state, "i-3") is None


def test_an_order_of_69dc9dd_has_no_time_and_ours_is_read_there() -> None:
    received = pb.OperationRequest.FromString((GOLDEN / "operation.message").read_bytes())
    assert received.path == "/-/Drain.Begin/z" and not received.HasField("sent_after")
    received.sent_after.term, received.sent_after.elapsed_ms = 7, -20
    assert as_old(received).request_id == "ab12"


@pytest.mark.parametrize("elapsed_ms", [0, 1, MAX_NARROW_MS, MAX_NARROW_MS + 1, 1 << 40])
def test_the_time_of_a_term_is_read_as_given_or_as_none(elapsed_ms: int) -> None:
    for message in (pb.WatchRequest(), pb.WatchResponse()):
        set_leader_time(message, elapsed_ms)
        assert leader_time(type(message).FromString(message.SerializeToString())) == elapsed_ms
        narrow = elapsed_ms if elapsed_ms <= MAX_NARROW_MS else 0
        assert as_old(message).leader_clock_ms == narrow


@pytest.mark.parametrize("seq", [5, (1 << 64) - 1, 1 << 64])
def test_a_sequence_number_is_read_or_taken_for_the_largest(seq: int) -> None:
    endpoint = Endpoint("i", "s", "a:1", "z", "", 2, "ready", 1e9, seq, 0.0)
    message = endpoint_to_message(endpoint, 0.0)
    assert as_old(message).seq == min(seq, (1 << 64) - 1)
    assert as_old(message).warmup_left_ms == (1 << 32) - 1
    assert endpoint_from_message(message, 0.0).seq == seq
