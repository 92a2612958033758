"""Client connections over loopback sockets: responses, invalid input, draining, eviction."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cairndale.ingress.net.discovery import EndpointUpdate
from cairndale.ingress.policy import interface as it
from tests.testing.ingress import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    ScriptedPolicy,
    read_answer,
    reply_with,
    request,
    send_first,
)


@pytest_asyncio.fixture
async def backend() -> AsyncIterator[PeerServer]:
    server = await PeerServer(reply_with(OK)).start()
    yield server
    server.stop()


@pytest_asyncio.fixture
async def ingress(backend: PeerServer) -> AsyncIterator[Ingress]:
    ingress = Ingress(ScriptedPolicy(send_first))
    await ingress.start()
    ingress.engine.update_endpoints(endpoint_update(backend.port))
    yield ingress
    ingress.stop()


def endpoint_update(
    port: int, status: str = "up", index: int = 1, full: bool = True
) -> EndpointUpdate:
    entry = {
        "name": "s-1",
        "address": f"{HOST}:{port}",
        "status": status,
        "zone": "hall",
        "type": "big",
    }
    return EndpointUpdate({"index": index, "snapshot": full, "endpoints": [entry]})


async def test_request_is_served_and_reported_to_the_policy(
    ingress: Ingress, backend: PeerServer
) -> None:
    backend.on_data = lambda peer: None
    task = asyncio.create_task(
        ingress.ask(request(X_Quota="units=1.5,spread=3,first=2", Client_Retry="1"))
    )
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    sent = backend.peers[0].data
    backend.peers[0].transport.write(OK)
    answer = await task
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nwarm")
    assert sent.startswith(b"GET /read/x?y=1 HTTP/1.1\r\n") and b"\r\nRequest-Id: a1\r\n" in sent
    (arrived,) = ingress.script.of_kind(it.RequestArrived)
    assert (arrived.units, arrived.spread, arrived.first_ingress, arrived.is_retry) == (
        1.5,
        3,
        2,
        True,
    )
    assert arrived.customer == 7 and 2_900_000 < arrived.time_left <= 3_000_000
    (ended,) = ingress.script.of_kind(it.AttemptEnded)
    assert ended.outcome is it.Outcome.OK and ended.final and ended.load == (3.0,)


@pytest.mark.parametrize(
    ("data", "status", "closed"),
    [
        (b"nonsense\r\n\r\n", b"400", True),
        (b"GET /read HTTP/1.1\r\n" + b"A: b\r\n" * 4000 + b"\r\n", b"431", True),
        (b"GET /read HTTP/1.1\r\nA: " + b"b" * 20_000, b"431", True),
        (b"POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 70000000\r\n\r\n", b"413", True),
        (request(cls="nothing"), b"404", False),
        (request(X_Plan="tin"), b"400", False),
        (request(Request_Id="-"), b"400", False),
        (request(Request_Id="a b"), b"400", False),
        (request(Cookie="customer=12"), b"400", False),
        (request(Cookie="customer=ffffffffffffffff"), b"400", False),
        (request(timeout="soon"), b"400", False),
        (request(X_Quota="units=-1,spread=1,first=0"), b"400", False),
        (request(X_Quota="units=0,spread=1,first=0"), b"400", False),
        (request(X_Quota="-"), b"400", False),
        (request().replace(b"GET", b"HEAD"), b"405", False),
    ],
)
async def test_invalid_input_gets_a_4xx_and_affects_no_other_request(
    ingress: Ingress, caplog: pytest.LogCaptureFixture, data: bytes, status: bytes, closed: bool
) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(data)
    answer = await read_answer(reader)
    assert answer.split(b" ")[1] == status
    if closed:
        assert b"Connection: close" in answer
    elif status != b"405":
        writer.write(request())
        assert (await read_answer(reader)).startswith(b"HTTP/1.1 200 ")
    assert (await ingress.ask(request("b2"))).startswith(b"HTTP/1.1 200 ")
    assert "Traceback" not in caplog.text
    writer.close()


async def test_id_of_an_open_request_is_rejected(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = lambda peer: None
    first = asyncio.create_task(ingress.ask(request("same")))
    await ingress.script.wait_for(it.RequestArrived)
    assert (await ingress.ask(request("same"))).startswith(b"HTTP/1.1 409 ")
    # Closing the second connection does not affect the first one's request.
    assert not ingress.script.of_kind(it.ClientGone)
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    backend.peers[0].transport.write(OK)
    assert (await first).endswith(b"warm")


async def test_pipelined_requests_are_answered_in_order(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("a1") + b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" + request("a2"))
    bodies = [(await read_answer(reader)).partition(b"\r\n\r\n")[2] for _ in range(3)]
    assert bodies == [b"warm", b"up\n", b"warm"]
    writer.close()


async def test_client_disconnect_cancels_its_attempt(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = lambda peer: None
    script = ingress.script
    cancel = [it.CancelAttempt(1, 0)]
    script.rule = lambda event: cancel if isinstance(event, it.ClientGone) else send_first(event)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request())
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    writer.close()
    (ended,) = await script.wait_for(it.AttemptEnded)
    assert ended.outcome is it.Outcome.CANCELLED and ended.final
    await backend.wait_until(lambda: len(backend.closed) == 1)


async def test_unanswered_request_fails_before_its_deadline(ingress: Ingress) -> None:
    ingress.script.rule = lambda event: []
    answer = await ingress.ask(request(timeout="150m"))
    assert answer.startswith(b"HTTP/1.1 504 ")
    await ingress.script.wait_for(it.ClientGone)


async def test_rejection_carries_retry_after_and_max_open_bypasses_the_policy(
    ingress: Ingress,
) -> None:
    ingress.script.rule = lambda event: [it.Refuse(1, 250_000)]
    answer = await ingress.ask(request())
    assert answer.startswith(b"HTTP/1.1 429 ") and b"Retry-After: 0.250\r\n" in answer
    ingress.engine.open_count = 100
    assert (await ingress.ask(request("b2"))).startswith(b"HTTP/1.1 429 ")
    assert len(ingress.script.of_kind(it.RequestArrived)) == 1
    ingress.engine.open_count = 0


async def test_policy_error_does_not_end_the_process(ingress: Ingress) -> None:
    def broken(event: it.Event) -> list[it.Action]:
        raise RuntimeError("made up")

    ingress.script.rule = broken
    assert (await ingress.ask(request(timeout="150m"))).startswith(b"HTTP/1.1 504 ")
    ingress.script.rule = send_first
    assert (await ingress.ask(request("b2"))).startswith(b"HTTP/1.1 200 ")


async def test_draining_closes_idle_connections_and_finishes_open_requests(
    ingress: Ingress, backend: PeerServer
) -> None:
    backend.on_data = lambda peer: None
    idle, idle_writer = await asyncio.open_connection(HOST, ingress.port)
    idle_writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await read_answer(idle)).startswith(b"HTTP/1.1 200 ")
    pending = asyncio.create_task(ingress.ask(request()))
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    ingress.listener.start_draining()
    async with asyncio.timeout(10):
        assert await idle.read() == b""
    backend.on_data = reply_with(OK)
    late = await ingress.ask(request("late"))
    backend.peers[0].transport.write(OK)
    for answer in (late, await pending):
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer
    idle_writer.close()


async def test_low_on_descriptors_evicts_idle_connections_then_rejects(
    backend: PeerServer,
) -> None:
    # Capacity for 3 connections, and for 4 more to be rejected.
    ingress = Ingress(ScriptedPolicy(send_first), limit=34)
    await ingress.start()
    ingress.engine.update_endpoints(endpoint_update(backend.port))
    assert (ingress.sockets.capacity, ingress.sockets.accept_limit) == (3, 7)
    idle = [await asyncio.open_connection(HOST, ingress.port) for _ in range(3)]
    for reader, writer in idle:
        writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_answer(reader)
    # One idle client is evicted for this connection, another for the one to the backend.
    answer = await ingress.ask(request())
    assert answer.startswith(b"HTTP/1.1 200 ")
    async with asyncio.timeout(10):
        assert await idle[0][0].read() == b"" and await idle[1][0].read() == b""
    ingress.script.rule = lambda event: []
    writers = []
    for number in range(3):
        _, writer = await asyncio.open_connection(HOST, ingress.port)
        writer.write(request(f"busy{number}"))
        writers.append(writer)
    await ingress.script.wait_for(it.RequestArrived, 4)
    answer = await ingress.ask(request("over"))
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close\r\n" in answer
    for _, writer in [*idle, *[(None, w) for w in writers]]:
        writer.close()
    ingress.stop()


async def test_connection_with_an_unread_request_is_not_evicted(ingress: Ingress) -> None:
    """Low on descriptors, 20 first requests were lost, as their new connections counted as idle."""
    fresh, writer = await asyncio.open_connection(HOST, ingress.port)
    while not ingress.listener.connections:
        await asyncio.sleep(0)
    (connection,) = ingress.listener.connections
    assert connection not in ingress.listener.idle and not ingress.listener._evict()
    writer.write(request("first"))
    assert (await read_answer(fresh)).startswith(b"HTTP/1.1 200 ")
    assert connection in ingress.listener.idle
    writer.write(b"G")  # in the socket; the loop has not read it yet
    assert not ingress.listener._evict()
    writer.write(request("second")[1:])
    assert (await read_answer(fresh)).startswith(b"HTTP/1.1 200 ")
    assert ingress.listener._evict()
    async with asyncio.timeout(10):
        assert await fresh.read() == b""
    writer.close()


async def test_clients_wait_in_the_backlog_without_descriptors(backend: PeerServer) -> None:
    ingress = Ingress(ScriptedPolicy(send_first), limit=30)  # capacity 0, and 3 to be rejected
    await ingress.start()
    assert (ingress.sockets.capacity, ingress.sockets.accept_limit) == (0, 3)
    connections = [await asyncio.open_connection(HOST, ingress.port) for _ in range(6)]
    while len(ingress.listener.connections) < 3:
        await asyncio.sleep(0)
    for reader, writer in connections:
        writer.write(request())
        assert (await read_answer(reader)).startswith(b"HTTP/1.1 503 ")
        writer.close()
    assert len(connections) == 6 and not ingress.script.events
    ingress.stop()


async def test_connection_with_a_partial_next_request_is_not_idle(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("first") + request("second")[:20])
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 200 ")
    assert not ingress.listener.idle and not ingress.listener._evict()
    writer.write(request("second")[20:])
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 200 ")
    writer.close()


def sweep_later(ingress: Ingress, seconds: float) -> None:
    """Run the listener's next sweep with its clock advanced by `seconds`."""
    now = ingress.listener.now
    ingress.listener.now = lambda: now() + int(seconds * 1e6)
    if ingress.listener._sweep_timer:
        ingress.listener._sweep_timer.cancel()
    ingress.listener._sweep_connections()


@pytest.mark.parametrize("sent", [b"", b"GET /read/x HTTP/1.1\r\nHost:"])
async def test_client_without_a_complete_request_is_closed_within_3_s(
    ingress: Ingress, sent: bytes
) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(sent)
    while not ingress.listener.connections:
        await asyncio.sleep(0)
    (connection,) = ingress.listener.connections
    while sent and not connection._message_begun:
        await asyncio.sleep(0)
    sweep_later(ingress, 2.5)  # the next sweep may come half a second later
    assert connection.transport.is_closing()
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 408 ")
    async with asyncio.timeout(10):
        assert await reader.read() == b""
    writer.close()


async def test_idle_connection_times_out_but_a_new_one_is_kept(
    ingress: Ingress,
) -> None:
    connections = [await asyncio.open_connection(HOST, ingress.port) for _ in range(2)]
    connections[0][1].write(request())
    assert (await read_answer(connections[0][0])).startswith(b"HTTP/1.1 200 ")
    sweep_later(ingress, 1.9)
    assert len(ingress.listener.idle) == 1
    sweep_later(ingress, 0.2)
    async with asyncio.timeout(10):
        assert await connections[0][0].read() == b""
    for _, writer in connections:
        writer.close()


async def test_idle_clients_are_evicted_before_idle_backend_connections(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request())
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 200 ")
    ingress.sockets.capacity = (
        ingress.sockets.open_count
    )  # one idle client, one idle connection to a backend
    assert ingress.sockets.has_room()
    async with asyncio.timeout(10):
        assert await reader.read() == b""
    assert [len(pool.idle) for pool in ingress.backends._pools.values()] == [1]
    writer.close()


async def test_partial_requests_are_evicted_after_idle_connections(
    ingress: Ingress,
) -> None:
    connections = [await asyncio.open_connection(HOST, ingress.port) for _ in range(4)]
    connections[0][1].write(request())
    assert (await read_answer(connections[0][0])).startswith(b"HTTP/1.1 200 ")  # idle
    connections[1][1].write(b"GET /read/x HTTP/1.1\r\nHo")  # partial; the others are silent
    while not any(c._message_begun for c in ingress.listener.connections):
        await asyncio.sleep(0)
    ingress.sockets.capacity = ingress.sockets.open_count
    assert ingress.sockets.has_room()  # the idle client
    async with asyncio.timeout(10):
        assert await connections[0][0].read() == b""
    assert not ingress.listener._evict()  # the others are new: their requests may be in transit
    now = ingress.listener.now
    ingress.listener.now = lambda: now() + 600_000
    assert [ingress.listener._evict() for _ in range(4)] == [True, True, True, False]
    assert (await read_answer(connections[1][0])).startswith(b"HTTP/1.1 408 ")
    for _, writer in connections:
        writer.close()


async def test_complete_request_is_never_evicted(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = lambda peer: None
    pending = asyncio.create_task(ingress.ask(request()))
    await ingress.script.wait_for(it.RequestArrived)
    now = ingress.listener.now
    ingress.listener.now = lambda: now() + 60_000_000
    assert not ingress.listener._evict()
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    backend.peers[0].transport.write(OK)
    assert (await pending).startswith(b"HTTP/1.1 200 ")
