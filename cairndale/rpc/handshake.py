"""Verification of the hello that another process sends."""

from __future__ import annotations

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FRAME_FORMAT


def hello_error(
    hello: pb.Hello, *, own_address: str, dialled_address: str, own_system: str
) -> str | None:
    """Return why a hello is rejected; None if it is accepted.

    A process that does not know the system's name yet may be new to this system, so an empty name
    on either side is accepted.

    Args:
        hello: the other side's.
        own_address: of this process; if the other side has dialled, its hello must name it as the
            recipient.
        dialled_address: the address that this process has dialled; empty if the other side has.
        own_system: the system's name; empty: not known yet.
    """
    if hello.format != FRAME_FORMAT:
        return f"frame format {hello.format}, expected {FRAME_FORMAT}"
    if dialled_address:
        is_recipient = hello.address == dialled_address
    else:
        is_recipient = hello.recipient == own_address
    if not (hello.incarnation and hello.address and is_recipient):
        return f"hello of {hello.address or 'unknown'} to {hello.recipient or dialled_address}"
    return system_error(hello, own_system)


def system_error(hello: pb.Hello, own_system: str) -> str | None:
    """Return the error if the sender is known to be of another system than this process."""
    if hello.system and own_system and hello.system != own_system:
        return f"system {hello.system}, expected {own_system}"
    return None
