"""Large and slow bodies over loopback sockets, both ways: streaming, framing, flow control."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cairndale.ingress.net.bodies import MAX_BUFFER_BYTES, MIN_BUFFER_BYTES, BodyMemory, Upload
from cairndale.ingress.policy import interface as it
from tests.ingress.net.test_clients import endpoint_update, sweep_later
from tests.testing.ingress import (
    HOST,
    OK,
    Ingress,
    Peer,
    PeerServer,
    ScriptedPolicy,
    read_answer,
    reply_with,
    request,
    send_first,
)

LARGE = bytes(range(256)) * 4096  # 1 MiB
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest_asyncio.fixture
async def backend() -> AsyncIterator[PeerServer]:
    server = await PeerServer(lambda peer: None).start()
    yield server
    server.stop()


@pytest_asyncio.fixture
async def ingress(backend: PeerServer) -> AsyncIterator[Ingress]:
    ingress = Ingress(ScriptedPolicy(send_first))
    await ingress.start()
    ingress.engine.update_endpoints(endpoint_update(backend.port))
    yield ingress
    ingress.stop()


async def send_request(
    ingress: Ingress, backend: PeerServer, data: bytes
) -> tuple[asyncio.StreamReader, Peer]:
    reader, writer = await asyncio.open_connection(HOST, ingress.port, limit=1 << 24)
    ingress.writer = writer  # type: ignore[attr-defined]
    writer.write(data)
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    return reader, backend.peers[0]


async def body_of(reader: asyncio.StreamReader) -> bytes:
    """Read a response, and return its body, whichever way it is framed."""
    async with asyncio.timeout(20):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        assert head.startswith(b"http/1.1 200 ")
        if b"content-length:" in head:
            return await reader.readexactly(int(head.partition(b"content-length:")[2].split()[0]))
        if b"transfer-encoding: chunked" not in head:
            return await reader.read()
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body


async def test_large_response_is_streamed(ingress: Ingress, backend: PeerServer) -> None:
    reader, peer = await send_request(ingress, backend, request())
    peer.transport.write(HEAD % len(LARGE) + LARGE[:1000])
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(1000) == LARGE[:1000]
    assert b"Content-Length: 1048576" in head and not ingress.script.of_kind(it.AttemptEnded)
    assert len(ingress.script.of_kind(it.StreamStarted)) == 1
    peer.transport.write(LARGE[1000:])
    assert await reader.readexactly(len(LARGE) - 1000) == LARGE[1000:]
    (ended,) = await ingress.script.wait_for(it.AttemptEnded)
    assert ended.outcome is it.Outcome.OK and ended.final and ingress.engine.open_count == 0
    backend.on_data = reply_with(OK)
    ingress.writer.write(request("next"))  # type: ignore[attr-defined]
    # Both connections are reused.
    assert (await read_answer(reader)).endswith(b"warm") and len(backend.peers) == 1


@pytest.mark.parametrize("cut", [1, 7, 100_000])
async def test_chunks_with_trailers_split_anywhere(
    ingress: Ingress, backend: PeerServer, cut: int
) -> None:
    body = LARGE[: 300 if cut < 100 else 200_000]
    chunks = [body[n : n + 90] for n in range(0, len(body), 90)]
    parts = b"".join(b"%x;a=b\r\n%b\r\n" % (len(piece), piece) for piece in chunks)
    reader, peer = await send_request(ingress, backend, request())
    data = (
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + CHUNKED + parts + b"0\r\nDigest: none\r\nX: y\r\n\r\n"
    )
    for at in range(0, len(data), cut):
        peer.transport.write(data[at : at + cut])
        await asyncio.sleep(0)
    assert await body_of(reader) == body
    (ended,) = await ingress.script.wait_for(it.AttemptEnded)
    assert ended.outcome is it.Outcome.OK


@pytest.mark.parametrize("size", [100, len(LARGE)])
async def test_response_that_ends_with_its_connection(
    ingress: Ingress, backend: PeerServer, size: int
) -> None:
    reader, peer = await send_request(ingress, backend, request())
    peer.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE[:size])
    peer.transport.close()
    assert await body_of(reader) == LARGE[:size]


async def test_slow_response_of_unknown_length_is_not_buffered(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, peer = await send_request(ingress, backend, request())
    peer.transport.write(CHUNKED + b"3\r\nabc\r\n")
    async with asyncio.timeout(10):
        assert (await reader.readuntil(b"abc\r\n")).endswith(b"\r\n\r\n3\r\nabc\r\n")
    peer.transport.write(b"0\r\n\r\n")
    assert await reader.readexactly(5) == b"0\r\n\r\n"


async def test_http_1_0_client_gets_a_body_that_ends_with_the_connection(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, peer = await send_request(ingress, backend, request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    peer.transport.write(CHUNKED + b"100000\r\n" + LARGE + b"\r\n0\r\n\r\n")
    assert await body_of(reader) == LARGE


async def test_incomplete_body_without_length_resets_an_http_1_0_client(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, peer = await send_request(ingress, backend, request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    peer.transport.write(CHUNKED + b"100000\r\n" + LARGE[:100_000])
    async with asyncio.timeout(10):
        await reader.readuntil(b"\r\n\r\n")
        peer.transport.abort()
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)


@pytest.mark.parametrize("head", [HEAD % len(LARGE), CHUNKED + b"100000\r\n"])
async def test_aborted_response_is_visible_to_the_client_and_not_retried(
    ingress: Ingress, backend: PeerServer, head: bytes
) -> None:
    def rule(event: it.Event) -> list[it.Action]:
        ended = isinstance(event, it.AttemptEnded) and event.outcome is not it.Outcome.MOOT
        return [it.SendAttempt(1, 1, 0)] if ended or isinstance(event, it.RequestArrived) else []

    ingress.script.rule = rule
    reader, peer = await send_request(ingress, backend, request())
    peer.transport.write(head + LARGE[:100_000])
    async with asyncio.timeout(10):
        await reader.readuntil(b"\r\n\r\n")
    peer.transport.abort()
    ends = await ingress.script.wait_for(it.AttemptEnded)
    assert ends[-1].final and len(backend.peers) == 1
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await reader.readexactly(len(LARGE))
    assert ingress.engine.open_count == 0 and ingress.listener.memory.active_bodies == 0


async def test_client_that_does_not_read_pauses_its_backend(
    ingress: Ingress, backend: PeerServer
) -> None:
    body = LARGE * 16
    reader, writer = await asyncio.open_connection(HOST, ingress.port, limit=1024)
    writer.write(request())
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    backend.peers[0].transport.write(HEAD % len(body) + body)
    while not (busy := ingress.backends._pools[1].busy) or next(iter(busy)).last_part_at < 1e18:
        await asyncio.sleep(0.001)  # until the backend's connection is paused
    (connection,) = ingress.listener.connections
    assert connection.transport.get_write_buffer_size() < 4 * MAX_BUFFER_BYTES
    assert await body_of(reader) == body
    writer.close()


async def test_client_disconnect_within_a_response_cancels_the_attempt(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, peer = await send_request(ingress, backend, request())
    peer.transport.write(HEAD % len(LARGE) + LARGE[:1000])
    await reader.readuntil(b"\r\n\r\n")
    ingress.writer.transport.abort()  # type: ignore[attr-defined]
    (ended,) = await ingress.script.wait_for(it.AttemptEnded)
    assert ended.outcome is it.Outcome.CANCELLED and ended.final
    await backend.wait_until(lambda: len(backend.closed) == 1)
    assert ingress.engine.open_count == 0 and ingress.listener.memory.active_bodies == 0


def upload(size: int, **other: str) -> bytes:
    data = request(cls="order", **({"content_length": str(size)} | other))
    return data.replace(b"Content-Length: 0\r\n", b"")


async def test_large_request_is_streamed_and_its_deadline_counts_from_its_end(
    ingress: Ingress, backend: PeerServer
) -> None:
    _, peer = await send_request(ingress, backend, upload(len(LARGE)) + LARGE[:500_000])
    await backend.wait_until(lambda: len(peer.data) > 400_000)
    assert ingress.script.of_kind(it.RequestArrived)[
        0
    ].body_streaming and not ingress.script.of_kind(it.BodyCompleted)
    ingress.writer.write(LARGE[500_000:])  # type: ignore[attr-defined]
    await backend.wait_until(lambda: peer.data.endswith(LARGE))
    head = peer.data[: -len(LARGE)]
    assert b"Content-Length: 1048576\r\n" in head and head.endswith(b"\r\n\r\n")
    (completed,) = ingress.script.of_kind(it.BodyCompleted)
    assert completed.time_left == 3_000_000
    peer.transport.write(OK)
    (ended,) = await ingress.script.wait_for(it.AttemptEnded)
    assert ended.outcome is it.Outcome.OK and ended.body_consumed


async def test_request_of_unknown_length_is_forwarded_chunked(
    ingress: Ingress, backend: PeerServer
) -> None:
    sent = (
        upload(0, content_length="-", Transfer_Encoding="chunked") + b"100000\r\n" + LARGE + b"\r\n"
    )
    reader, peer = await send_request(ingress, backend, sent + b"0\r\nX: trailer\r\n\r\n")
    await backend.wait_until(lambda: peer.data.endswith(b"\r\n0\r\n\r\n"))
    head, _, rest = peer.data.partition(b"\r\n\r\n")
    assert b"Transfer-Encoding: chunked" in head and b"Content-Length" not in head
    body = b""
    while rest[:1] != b"0":
        size, _, rest = rest.partition(b"\r\n")
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
    assert body == LARGE
    peer.transport.write(OK)
    assert (await read_answer(reader)).endswith(b"warm")


async def test_backend_that_does_not_read_pauses_the_client(
    ingress: Ingress, backend: PeerServer
) -> None:
    backend.on_data = lambda peer: peer.transport.pause_reading()
    reader, peer = await send_request(ingress, backend, upload(16 * len(LARGE)) + LARGE * 16)
    (connection,) = ingress.listener.connections
    while not connection._pause_reasons:
        await asyncio.sleep(0.001)
    (upstream,) = ingress.backends._pools[1].busy
    assert upstream.transport.get_write_buffer_size() < 4 * MAX_BUFFER_BYTES
    sweep_later(ingress, 60)  # the timeout does not count while reading is paused
    assert not connection.transport.is_closing()
    backend.on_data = lambda peer: None
    peer.transport.resume_reading()
    await backend.wait_until(lambda: len(peer.data) > 16 * len(LARGE))
    peer.transport.write(OK)
    assert (await read_answer(reader)).endswith(b"warm")


async def test_rejection_is_sent_before_the_body_is_complete(ingress: Ingress) -> None:
    ingress.script.rule = lambda e: (
        [it.Refuse(e.request)] if isinstance(e, it.RequestArrived) else []
    )
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(upload(len(LARGE)) + LARGE[:1000])
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 429 ")
    writer.write(LARGE[1000:] + request("next"))
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 429 ")
    assert ingress.listener.memory.active_bodies == 0
    writer.close()


async def test_consumed_body_is_not_sent_by_another_attempt(
    ingress: Ingress, backend: PeerServer
) -> None:
    def rule(event: it.Event) -> list[it.Action]:
        if isinstance(event, it.AttemptEnded) and not event.final:
            # The last byte was never written.
            assert event.body_consumed and event.outcome is it.Outcome.CONNECT_FAILED
            return [it.SendAttempt(event.request, 1, 0), it.Fail(event.request)]
        return send_first(event)

    ingress.script.rule = rule
    reader, peer = await send_request(ingress, backend, upload(len(LARGE)) + LARGE[:200_000])
    await backend.wait_until(lambda: len(peer.data) > 100_000)
    peer.transport.abort()
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 502 ")
    assert [e.outcome for e in ingress.script.of_kind(it.AttemptEnded)][1] is it.Outcome.MOOT
    assert len(backend.peers) == 1


@pytest.mark.parametrize("size", [5, 100_000])
async def test_client_that_expects_continue_receives_it(
    ingress: Ingress, backend: PeerServer, size: int
) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(upload(size, Expect="100-continue"))
    async with asyncio.timeout(10):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(LARGE[:size])
    await backend.wait_until(
        lambda: bool(backend.peers) and backend.peers[0].data.endswith(LARGE[:size])
    )
    assert b"xpect" not in backend.peers[0].data[:500]
    backend.peers[0].transport.write(OK)
    assert (await read_answer(reader)).endswith(b"warm")
    writer.close()


@pytest.mark.parametrize(
    "fields",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: -5",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
    ],
)
async def test_contradictory_framing_is_rejected(ingress: Ingress, fields: str) -> None:
    data = request(cls="order").replace(b"Content-Length: 0", fields.encode())
    answer = await ingress.ask(data + b"5\r\nhello\r\n0\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400 ") and b"Connection: close" in answer
    assert not ingress.script.of_kind(it.RequestArrived)


async def test_slow_body_is_awaited_but_a_stalled_one_times_out(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, peer = await send_request(ingress, backend, upload(len(LARGE)) + LARGE[:320_000])
    await backend.wait_until(lambda: len(peer.data) > 320_000)
    sweep_later(ingress, 7)  # 320 kB at 64 kB/s take 5 s
    assert len(ingress.listener.connections) == 1 and not ingress.script.of_kind(it.ClientGone)
    sweep_later(ingress, 7)
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 408 ")
    await ingress.script.wait_for(it.ClientGone)


def test_buffer_limit_shrinks_with_the_number_of_bodies() -> None:
    memory, holds = BodyMemory(64), list[bool]()
    assert memory.buffer_limit() == MAX_BUFFER_BYTES
    memory.active_bodies = 10**6
    assert memory.buffer_limit() == MIN_BUFFER_BYTES
    body = Upload(None, memory, holds.append)
    body.feed(b"x" * MIN_BUFFER_BYTES)
    assert holds == [True]
    body.discard()
    assert holds == [True, False]


async def test_client_that_reads_no_responses_is_paused_and_disconnected(
    ingress: Ingress, backend: PeerServer
) -> None:
    body = LARGE[:60_000]
    backend.on_data = reply_with(HEAD % len(body) + body)
    _, writer = await asyncio.open_connection(HOST, ingress.port, limit=1024)
    writer.write(b"".join(request(f"r{number}") for number in range(200)))
    while (
        not (connections := ingress.listener.connections)
        or not next(iter(connections))._writing_paused
    ):
        await asyncio.sleep(0.001)
    (connection,) = connections
    assert (
        connection.transport.get_write_buffer_size() < 4 * MAX_BUFFER_BYTES
        and connection._pending_requests
    )
    for _ in range(2):  # the first sweep notes the buffered size, the second finds it unchanged
        sweep_later(ingress, 10)
    assert connection.transport.is_closing()
    writer.close()
