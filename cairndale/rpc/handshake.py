"""What a process requires of the hello that another sends, before it talks to it."""

from __future__ import annotations

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FRAME_FORMAT


def hello_error(
    hello: pb.Hello, *, own_address: str, dialled_address: str, own_system: str
) -> str | None:
    """Why the sender is not one to talk to; None if it is.

    A process that does not know the system's name yet may be new to this system, so an empty name
    on either side is accepted.

    Args:
        hello: the other side's.
        own_address: of this process; one that has dialled must have meant it.
        dialled_address: the address that this process has dialled; empty if the other has.
        own_system: the system's name; empty: not known yet.
    """
    if hello.format != FRAME_FORMAT:
        return f"format {hello.format}, where {FRAME_FORMAT} is known"
    if dialled_address:
        is_recipient = hello.address == dialled_address
    else:
        is_recipient = hello.recipient == own_address
    if not (hello.incarnation and hello.address and is_recipient):
        return f"{hello.address or 'nobody'} to {hello.recipient or dialled_address}"
    return system_error(hello, own_system)


def system_error(hello: pb.Hello, own_system: str) -> str | None:
    """Why the sender is of another system than this process; None if it may be of the same."""
    if hello.system and own_system and hello.system != own_system:
        return f"system {hello.system}, where this one is {own_system}"
    return None
