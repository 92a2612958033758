"""Connections between the system's own processes: closing, forwarding, errors of calls."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cairndale.errors import (
    CallError,
    CallTimeoutError,
    FaultCode,
    RejectedError,
    StaleCallError,
    UnreachableError,
)
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import compress_lists
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.leader_client import LeaderClient
from cairndale.rpc.peer import RpcPeer, _fault_of

HOST = "127.0.0.1"


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


async def answer(envelope: pb.Envelope) -> pb.Envelope:
    if envelope.operation_request.path == "no":
        raise RejectedError()
    if envelope.operation_request.path == "not here":
        return pb.Envelope(
            fault_code=FaultCode.NOT_LEADER, forward_to=envelope.operation_request.method
        )
    return pb.Envelope(
        operation_response=pb.OperationResponse(status=200, body=envelope.operation_request.body)
    )


@asynccontextmanager
async def rpc_peer(port: int | None = None) -> AsyncIterator[RpcPeer]:
    peer = RpcPeer((HOST, port or free_port()), lambda envelope: None, answer)
    await peer.listen()
    try:
        yield peer
    finally:
        peer.stop()


def order(path: str = "", method: str = "") -> pb.Envelope:
    return pb.Envelope(operation_request=pb.OperationRequest(path=path, method=method, body=b"x"))


async def test_connection_closed_while_it_is_established_is_not_kept() -> None:
    """Storm 2005: a closed connection was kept as the one to its address, and the address was not
    dialled again."""
    async with rpc_peer() as ours:
        loop, port = asyncio.get_running_loop(), free_port()
        address = f"{HOST}:{port}"

        class ClosedAtOnce(FramedConnection):
            """Closed before the dialling task resumes, as by a relay without a backend."""

            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                super().connection_made(transport)
                self.connection_lost(None)

        closing = await loop.create_server(asyncio.Protocol, HOST, port)
        ours.connection_class = ClosedAtOnce
        with pytest.raises(CallError):
            await ours.call(address, order(), 0.5)
        closing.close()
        await closing.wait_closed()
        ours.connection_class = FramedConnection
        async with rpc_peer(port):
            async with asyncio.timeout(5):
                while True:
                    try:
                        response = await ours.call(address, order(), 0.5)
                        break
                    except CallError:
                        await asyncio.sleep(0.01)
        assert response.operation_response.body == b"x"


# Guards against calls that wait, and a queue that fills, as an address cannot be dialled at all.
@pytest.mark.parametrize("address", ["", "127.0.0.1:99999", f"{HOST}:x", "\0:1"])
async def test_a_call_to_an_address_that_cannot_be_dialled_fails_at_once(address: str) -> None:
    async with rpc_peer() as ours:
        for _ in range(2):
            with pytest.raises(UnreachableError):
                async with asyncio.timeout(0.5):
                    await ours.call(address, order(), 5.0)


async def test_error_of_a_failed_call_says_whether_it_may_have_run() -> None:
    async with rpc_peer() as ours, rpc_peer() as theirs:
        with pytest.raises(CallError) as refused:
            await ours.call(theirs.own_address, order("no"), 1.0)
        assert refused.value.code is FaultCode.REJECTED and not refused.value.may_have_run
        with pytest.raises(CallError) as unreachable:
            await ours.call(f"{HOST}:{free_port()}", order(), 1.0)
        assert (
            unreachable.value.code is FaultCode.UNREACHABLE and not unreachable.value.may_have_run
        )

        async def never(envelope: pb.Envelope) -> pb.Envelope:
            await asyncio.Event().wait()
            raise AssertionError

        theirs._handle_call = never
        with pytest.raises(CallError) as silent:
            await ours.call(theirs.own_address, order(), 0.1)
        assert silent.value.code is FaultCode.TIMED_OUT and silent.value.may_have_run


async def test_invalid_frames_close_the_connection_and_are_counted() -> None:
    async with rpc_peer() as ours:
        host, _, port = ours.own_address.rpartition(":")
        for data in (
            struct.pack(">I", 5) + b"\xff" * 5,
            struct.pack(">I", 2**31),
            struct.pack(">I", 2000),
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), 5)
            writer.close()
        assert ours.rejected == {"malformed": 3}


async def test_call_finds_the_leader_by_redirect_and_bypasses_a_partition_through_a_peer() -> None:
    async with rpc_peer() as ours, rpc_peer() as other, rpc_peer() as leader, rpc_peer() as peer:
        leader_client = LeaderClient(ours, lambda: [other.own_address], lambda: [peer.own_address])

        async def redirect(envelope: pb.Envelope) -> pb.Envelope:
            return pb.Envelope(fault_code=FaultCode.NOT_LEADER, forward_to=leader.own_address)

        other._handle_call = redirect
        assert (
            await leader_client.call(order(), 2.0, 1.0)
        ).operation_response.status == 200 and leader_client.leader_address == leader.own_address
        original_send = ours._pool.send

        def partitioned_send(address: str, envelope: pb.Envelope) -> None:
            if address != leader.own_address:  # direct calls to the leader are lost
                original_send(address, envelope)

        ours._pool.send = partitioned_send  # type: ignore[method-assign]
        assert (await leader_client.call(order(), 2.0, 0.1)).operation_response.status == 200
        assert leader_client.leader_address == leader.own_address and leader_client._is_avoided(
            leader.own_address, ours.now()
        )


async def test_corrupt_lists_are_requested_again_and_never_delivered() -> None:
    async with rpc_peer() as ours, rpc_peer() as leader:
        responses = [
            pb.WatchResponse(config_version=1, compressed_lists=b"no lists"),
            pb.WatchResponse(
                config_version=2,
                compressed_lists=compress_lists(pb.WatchResponse(removed_nodes=["a"])),
            ),
        ]

        async def next_response(envelope: pb.Envelope) -> pb.Envelope:
            return pb.Envelope(watch_response=responses.pop(0))

        leader._handle_call = next_response
        answer = await LeaderClient(ours, lambda: [leader.own_address], list).call(
            pb.Envelope(watch_request=pb.WatchRequest()), 2.0, 1.0
        )
        assert answer.watch_response == pb.WatchResponse(config_version=2, removed_nodes=["a"])


# Guards against a fault that only later versions know, which ended the task of its caller.
def test_an_unknown_fault_code_is_an_error_of_the_call() -> None:
    assert isinstance(_fault_of(pb.Envelope(fault_code=99), "a:1"), CallTimeoutError)
    assert isinstance(_fault_of(pb.Envelope(fault_code=FaultCode.STALE), "a:1"), StaleCallError)
