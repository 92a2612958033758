"""How responses, silence and closed connections of a server classify a sent request."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cairndale.dataplane.upstream_protocol import classify_answer
from cairndale.errors import Verdict
from cairndale.ingress.net.bodies import BodyMemory, Upload
from cairndale.ingress.net.engine import AttemptContext, AttemptResult
from cairndale.ingress.policy.interface import Outcome
from tests.ingress.net.test_backends import SingleBackend
from tests.testing.ingress import PeerServer, reply_with

ID, OTHER_ID = b"X-Request-Id: r1\r\n", b"X-Request-Id: r0\r\n"
SENT = b"POST /x HTTP/1.1\r\n" + ID + b"Host: a\r\nContent-Length: 2\r\n\r\nhi"
NOT_RUN, EMPTY = b"X-Not-Run: 1\r\n", b"Content-Length: 0\r\n\r\n"


def response(status: int, fields: bytes, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d Word\r\n%bContent-Length: %d\r\n\r\n%b" % (status, fields, len(body), body)


OWN = response(200, ID, b"own")
UNFRAMED = b"HTTP/1.1 200 Word\r\n" + ID + b"\r\nall"


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[SingleBackend]:
    server = await PeerServer(reply_with(OWN)).start()
    pool = SingleBackend(server)
    (
        pool.backends.classifier,
        pool.backends.relays_responses,
        pool.backends.written_at_first_byte,
    ) = classify_answer, True, True
    yield pool
    pool.backends.stop()
    server.stop()


async def send_request(fleet: SingleBackend) -> AttemptResult:
    async with asyncio.timeout(5):
        return await fleet.send(SENT)


def reset_by(fleet: SingleBackend) -> None:
    """Close the server's first connection by a reset instead of an orderly end."""
    transport = fleet.server.peers[0].transport
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


RESPONSES = {
    "its own answer": (OWN, Outcome.OK, Verdict.ANSWERED),
    "its own failure": (response(500, ID), Outcome.OK, Verdict.ANSWERED),
    "100 Continue, then its own": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + OWN,
        Outcome.OK,
        Verdict.ANSWERED,
    ),
    "another request's, then its own": (
        response(200, OTHER_ID, b"no") + OWN,
        Outcome.OK,
        Verdict.ANSWERED,
    ),
    "another request's rejection, then its own": (
        response(503, OTHER_ID + NOT_RUN) + OWN,
        Outcome.OK,
        Verdict.ANSWERED,
    ),
    "rejected": (response(503, ID + NOT_RUN), Outcome.FULL, Verdict.UNSENT),
    "another server's address": (response(421, ID), Outcome.FULL, Verdict.UNSENT),
    "rejected, without an id": (response(503, NOT_RUN), Outcome.ERROR, Verdict.SENT),
    "another server, without an id": (response(421, b""), Outcome.ERROR, Verdict.SENT),
    "an answer without an id": (response(200, b"", b"no"), Outcome.ERROR, Verdict.SENT),
    "a body that ends with its connection": (UNFRAMED, Outcome.OK, Verdict.ANSWERED),
    "a body without an end, reset": (UNFRAMED, Outcome.RESET, Verdict.SENT),
    "the end of its connection where a length was due": (
        b"HTTP/1.1 200 Word\r\n" + ID + b"Content-Length: 9\r\n\r\nhalf",
        Outcome.RESET,
        Verdict.SENT,
    ),
    "not HTTP": (b"\x00\x01 nonsense\r\n\r\n", Outcome.RESET, Verdict.SENT),
}


@pytest.mark.parametrize("what", RESPONSES)
async def test_outcome_and_verdict_of_a_response(fleet: SingleBackend, what: str) -> None:
    reply, outcome, verdict = RESPONSES[what]

    def reply_to(peer: object) -> None:
        fleet.server.peers[0].transport.write(reply)
        if "reset" in what:
            reset_by(fleet)
        elif "ends" in what or "the end" in what:
            fleet.server.peers[0].transport.close()

    fleet.server.on_data = reply_to
    answer = await send_request(fleet)
    assert (answer.outcome, Verdict.of(answer.outcome)) == (outcome, verdict)
    expected = b"all" if "ends" in what else b"" if what == "its own failure" else b"own"
    assert answer.outcome is not Outcome.OK or answer.body == expected
    fleet.server.on_data = reply_with(OWN)
    assert (await send_request(fleet)).body == b"own"
    reused = what in ("its own answer", "its own failure", "100 Continue, then its own", "rejected")
    reused = reused or what == "another server's address"
    assert len(fleet.server.peers) == (1 if reused else 2)


async def test_request_on_a_connection_that_the_server_aborts_may_have_run(
    fleet: SingleBackend,
) -> None:
    """The client cannot detect the abort before it writes the first byte (`idle_race`), nor know
    afterwards that the server has not read the request."""
    assert (await send_request(fleet)).outcome is Outcome.OK
    fleet.server.on_data = lambda peer: peer.transport.abort()
    answer = await send_request(fleet)
    assert answer.outcome is Outcome.RESET and Verdict.of(answer.outcome) is Verdict.SENT
    assert len(fleet.server.peers) == 1  # sent on the old connection only, and not retried


async def test_connection_that_was_closed_or_sent_unsolicited_data_is_not_reused(
    fleet: SingleBackend,
) -> None:
    assert (await send_request(fleet)).outcome is Outcome.OK
    fleet.server.peers[0].transport.write(
        response(200, ID, b"again")
    )  # a second answer, to no request
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == 1)
    assert (await send_request(fleet)).body == b"own"
    fleet.server.peers[1].transport.close()
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == 2)
    assert (await send_request(fleet)).body == b"own" and len(fleet.server.peers) == 3


async def test_second_response_after_the_first_is_discarded(fleet: SingleBackend) -> None:
    fleet.server.on_data = reply_with(OWN + response(200, ID, b"again"))
    assert (await send_request(fleet)).body == b"own"
    fleet.server.on_data = reply_with(OWN)
    assert (await send_request(fleet)).body == b"own" and len(fleet.server.peers) == 2


async def test_unanswered_request_may_have_run_only_once_its_first_byte_was_written(
    fleet: SingleBackend,
) -> None:
    fleet.server.on_data = lambda peer: None
    fleet.send(SENT)
    waiting = fleet.exchange
    assert waiting.abort() is False  # its connection is not established yet
    fleet.send(SENT)
    written = fleet.exchange
    await fleet.server.wait_until(lambda: any(peer.data for peer in fleet.server.peers))
    assert written.abort() is True
    large = SENT.replace(b"Length: 2", b"Length: 40000000") + b"x" * 39_999_998
    for peer in fleet.server.peers:
        peer.transport.pause_reading()
    fleet.send(large)
    partly = fleet.exchange
    await fleet.server.wait_until(lambda: partly.written)
    assert partly.abort() is True  # only a part is written, but the server may have started


@pytest.mark.parametrize("is_complete", [True, False])
async def test_connection_is_not_reused_if_the_response_came_before_the_complete_body(
    fleet: SingleBackend, is_complete: bool
) -> None:
    """Bytes of the next request would be read as the rest of the body. `is_complete`: the complete
    body was sent before the response, so that the connection can be reused."""
    upload = Upload(200_000, BodyMemory(100), lambda paused: None)
    upload.feed(b"x" * 100_000)
    fleet.server.on_data = lambda peer: None
    ending = asyncio.get_running_loop().create_future()
    head = b"POST /x HTTP/1.1\r\n" + ID + b"Content-Length: 200000\r\n\r\n"
    fleet.backends.send(
        1, head, ending.set_result, AttemptContext(upload, lambda answer: True, lambda data: None)
    )
    await fleet.server.wait_until(
        lambda: bool(fleet.server.peers) and len(fleet.server.peers[0].data) == len(head) + 100_000
    )
    if is_complete:
        upload.feed(b"x" * 100_000)
        upload.finish()
        await fleet.server.wait_until(
            lambda: len(fleet.server.peers[0].data) == len(head) + 200_000
        )
    fleet.server.peers[0].transport.write(OWN)
    assert (await asyncio.wait_for(ending, 5)).body == b"own"
    upload.discard()  # as the listener does with the rest of a body after the response
    fleet.server.on_data = reply_with(OWN)
    assert (await send_request(fleet)).body == b"own"
    assert len(fleet.server.peers) == (1 if is_complete else 2)


@pytest.mark.parametrize("reset", [True, False])
async def test_body_without_a_length_is_complete_only_by_an_orderly_close(
    fleet: SingleBackend, reset: bool
) -> None:
    """The body is forwarded in parts before its end is known: after a reset the outcome is RESET,
    although parts of it were forwarded."""
    ending, parts = asyncio.get_running_loop().create_future(), list[bytes]()
    received = asyncio.Event()

    def part(data: bytes) -> None:
        parts.append(data)
        received.set()

    fleet.server.on_data = lambda peer: fleet.server.peers[0].transport.write(UNFRAMED)
    fleet.backends.send(1, SENT, ending.set_result, AttemptContext(None, lambda answer: True, part))
    await asyncio.wait_for(received.wait(), 5)
    if reset:
        reset_by(fleet)
    else:
        fleet.server.peers[0].transport.close()
    answer = await asyncio.wait_for(ending, 5)
    assert answer.outcome is (Outcome.RESET if reset else Outcome.OK) and b"".join(parts) == b"all"
