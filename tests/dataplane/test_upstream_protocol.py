"""What a server's answers, silences and ends say of a request sent to it: unsent, sent, or
answered."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cairndale.dataplane.upstream_protocol import classify_answer
from cairndale.errors import Verdict
from cairndale.ingress.net.bodies import Memory, Upload
from cairndale.ingress.net.engine import Answer, Flow
from cairndale.ingress.policy.interface import Outcome
from tests.ingress.net.test_backends import Fleet
from tests.testing.ingress import PeerServer, answers

ID, OTHERS = b"X-Request-Id: r1\r\n", b"X-Request-Id: r0\r\n"
SENT = b"POST /x HTTP/1.1\r\n" + ID + b"Host: a\r\nContent-Length: 2\r\n\r\nhi"
NOT_RUN, EMPTY = b"X-Not-Run: 1\r\n", b"Content-Length: 0\r\n\r\n"


def said(status: int, fields: bytes, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d Word\r\n%bContent-Length: %d\r\n\r\n%b" % (status, fields, len(body), body)


OWN = said(200, ID, b"own")
UNFRAMED = b"HTTP/1.1 200 Word\r\n" + ID + b"\r\nall"


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Fleet]:
    server = await PeerServer(answers(OWN)).start()
    pool = Fleet(server)
    pool.backends.judge, pool.backends.relays, pool.backends.strict = classify_answer, True, True
    yield pool
    pool.backends.stop()
    server.stop()


async def ended(fleet: Fleet) -> Answer:
    async with asyncio.timeout(5):
        return await fleet.send(SENT)


def reset_by(fleet: Fleet) -> None:
    """The server's first connection ends by a reset, not in order."""
    transport = fleet.server.peers[0].transport
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


SAYS = {
    "its own answer": (OWN, Outcome.OK, Verdict.ANSWERED),
    "its own failure": (said(500, ID), Outcome.OK, Verdict.ANSWERED),
    "go on, then its own": (b"HTTP/1.1 100 Continue\r\n\r\n" + OWN, Outcome.OK, Verdict.ANSWERED),
    "another's, then its own": (said(200, OTHERS, b"no") + OWN, Outcome.OK, Verdict.ANSWERED),
    "another's refusal, then its own": (
        said(503, OTHERS + NOT_RUN) + OWN,
        Outcome.OK,
        Verdict.ANSWERED,
    ),
    "turned away": (said(503, ID + NOT_RUN), Outcome.FULL, Verdict.UNSENT),
    "another server's address": (said(421, ID), Outcome.FULL, Verdict.UNSENT),
    "turned away, nobody knows what": (said(503, NOT_RUN), Outcome.ERROR, Verdict.SENT),
    "another server, nobody knows whose": (said(421, b""), Outcome.ERROR, Verdict.SENT),
    "an answer without an id": (said(200, b"", b"no"), Outcome.ERROR, Verdict.SENT),
    "a body that ends with its connection": (UNFRAMED, Outcome.OK, Verdict.ANSWERED),
    "a body without an end, reset": (UNFRAMED, Outcome.RESET, Verdict.SENT),
    "the end of its connection where a length was due": (
        b"HTTP/1.1 200 Word\r\n" + ID + b"Content-Length: 9\r\n\r\nhalf",
        Outcome.RESET,
        Verdict.SENT,
    ),
    "no HTTP": (b"\x00\x01 nonsense\r\n\r\n", Outcome.RESET, Verdict.SENT),
}


@pytest.mark.parametrize("what", SAYS)
async def test_what_an_answer_says(fleet: Fleet, what: str) -> None:
    reply, outcome, verdict = SAYS[what]

    def heard(peer: object) -> None:
        fleet.server.peers[0].transport.write(reply)
        if "reset" in what:
            reset_by(fleet)
        elif "ends" in what or "the end" in what:
            fleet.server.peers[0].transport.close()

    fleet.server.heard = heard
    answer = await ended(fleet)
    assert (answer.outcome, Verdict.of(answer.outcome)) == (outcome, verdict)
    whole = b"all" if "ends" in what else b"" if what == "its own failure" else b"own"
    assert answer.outcome is not Outcome.OK or answer.body == whole
    fleet.server.heard = answers(OWN)
    assert (await ended(fleet)).body == b"own"
    kept = what in ("its own answer", "its own failure", "go on, then its own", "turned away")
    kept = kept or what == "another server's address"
    assert len(fleet.server.peers) == (1 if kept else 2)


async def test_a_connection_that_the_server_has_forgotten_may_have_run_it(fleet: Fleet) -> None:
    """Nothing shows it before the first byte is written (`idle_race`), and nothing after it shows
    that the server has not read the request."""
    assert (await ended(fleet)).outcome is Outcome.OK
    fleet.server.heard = lambda peer: peer.transport.abort()
    answer = await ended(fleet)
    assert answer.outcome is Outcome.RESET and Verdict.of(answer.outcome) is Verdict.SENT
    assert len(fleet.server.peers) == 1  # it went out on the old one, and no second time


async def test_one_that_was_ended_or_spoke_before_is_not_written_to(fleet: Fleet) -> None:
    assert (await ended(fleet)).outcome is Outcome.OK
    fleet.server.peers[0].transport.write(said(200, ID, b"again"))  # a second answer, to no request
    await fleet.server.until(lambda: len(fleet.server.closed) == 1)
    assert (await ended(fleet)).body == b"own"
    fleet.server.peers[1].transport.close()
    await fleet.server.until(lambda: len(fleet.server.closed) == 2)
    assert (await ended(fleet)).body == b"own" and len(fleet.server.peers) == 3


async def test_a_second_answer_behind_the_first_is_nobodys(fleet: Fleet) -> None:
    fleet.server.heard = answers(OWN + said(200, ID, b"again"))
    assert (await ended(fleet)).body == b"own"
    fleet.server.heard = answers(OWN)
    assert (await ended(fleet)).body == b"own" and len(fleet.server.peers) == 2


async def test_silence_after_the_first_byte_may_have_run_and_before_it_has_not(
    fleet: Fleet,
) -> None:
    fleet.server.heard = lambda peer: None
    fleet.send(SENT)
    waiting = fleet.exchange
    assert waiting.abort() is False  # its connection is not up yet
    fleet.send(SENT)
    written = fleet.exchange
    await fleet.server.until(lambda: any(peer.data for peer in fleet.server.peers))
    assert written.abort() is True
    large = SENT.replace(b"Length: 2", b"Length: 40000000") + b"x" * 39_999_998
    for peer in fleet.server.peers:
        peer.transport.pause_reading()
    fleet.send(large)
    partly = fleet.exchange
    await fleet.server.until(lambda: partly.written)
    assert partly.abort() is True  # not all of it: the server may have begun all the same


@pytest.mark.parametrize("whole", [True, False])
async def test_a_server_that_answers_before_the_body_is_in_gets_no_other_bytes_in_its_place(
    fleet: Fleet, whole: bool
) -> None:
    """`whole`: the rest of the body has gone out by the time of the answer, and is no danger."""
    upload = Upload(200_000, Memory(100), lambda paused: None)
    upload.feed(b"x" * 100_000)
    fleet.server.heard = lambda peer: None
    ending = asyncio.get_running_loop().create_future()
    head = b"POST /x HTTP/1.1\r\n" + ID + b"Content-Length: 200000\r\n\r\n"
    fleet.backends.send(
        1, head, ending.set_result, Flow(upload, lambda answer: True, lambda data: None)
    )
    await fleet.server.until(
        lambda: bool(fleet.server.peers) and len(fleet.server.peers[0].data) == len(head) + 100_000
    )
    if whole:
        upload.feed(b"x" * 100_000)
        upload.finish()
        await fleet.server.until(lambda: len(fleet.server.peers[0].data) == len(head) + 200_000)
    fleet.server.peers[0].transport.write(OWN)
    assert (await asyncio.wait_for(ending, 5)).body == b"own"
    upload.discard()  # as whoever has its answer does with what still comes
    fleet.server.heard = answers(OWN)
    assert (await ended(fleet)).body == b"own"
    assert len(fleet.server.peers) == (1 if whole else 2)


@pytest.mark.parametrize("reset", [True, False])
async def test_a_slow_body_without_a_length_is_whole_by_an_orderly_end_alone(
    fleet: Fleet, reset: bool
) -> None:
    """It goes on in parts before its end has come: a reset then is told to whoever has had some of
    it."""
    ending, parts = asyncio.get_running_loop().create_future(), list[bytes]()
    came = asyncio.Event()

    def part(data: bytes) -> None:
        parts.append(data)
        came.set()

    fleet.server.heard = lambda peer: fleet.server.peers[0].transport.write(UNFRAMED)
    fleet.backends.send(1, SENT, ending.set_result, Flow(None, lambda answer: True, part))
    await asyncio.wait_for(came.wait(), 5)
    if reset:
        reset_by(fleet)
    else:
        fleet.server.peers[0].transport.close()
    answer = await asyncio.wait_for(ending, 5)
    assert answer.outcome is (Outcome.RESET if reset else Outcome.OK) and b"".join(parts) == b"all"
