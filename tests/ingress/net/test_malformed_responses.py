"""A response that breaks RFC 9110 or RFC 9112 is no answer to an attempt."""

from __future__ import annotations

import asyncio
import string
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cairndale.chaos.malformed import EARLY_HINTS, MALFORMED
from cairndale.dataplane.upstream_protocol import classify_answer
from cairndale.ingress.net.engine import AttemptResult
from cairndale.ingress.net.http import InvalidResponseError, ResponseReader
from cairndale.ingress.policy.interface import Outcome
from tests.testing.ingress import PeerServer, SingleBackend, reply_with

ID = b"X-Request-Id: r1\r\n"
SENT = b"POST /x HTTP/1.1\r\n" + ID + b"Host: a\r\nContent-Length: 2\r\n\r\nhi"
OK = b"HTTP/1.1 200 OK\r\n" + ID + b"Content-Length: 3\r\n\r\nown"
# Unusual, and yet to be taken: the client gets a response of the ingress's own making.
UNUSUAL = {
    "no reason": OK.replace(b"200 OK", b"200"),
    "empty reason": OK.replace(b"200 OK", b"200 "),
    "reason beyond ASCII": OK.replace(b"200 OK", b"200 \xc3\xa0 la\tcarte"),
    "empty lines before": b"\r\n\r\n" + OK,
    "HTTP/1.0": OK.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "HTTP/1.0 after a 1xx": EARLY_HINTS + OK.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "1xx, then its own": b"HTTP/1.1 199 What\r\nContent-Length: 0\r\n\r\n" + OK,
    "204 of length 0": b"HTTP/1.1 204 None\r\n" + ID + b"Content-Length: 0\r\n\r\n",
    "304 of the length of a 200": b"HTTP/1.1 304 Same\r\n" + ID + b"Content-Length: 9\r\n\r\n",
    "304 with a coding": b"HTTP/1.1 304 Same\r\n" + ID + b"Transfer-Encoding: chunked\r\n\r\n",
    "highest status": OK.replace(b"200 OK", b"599 What"),
    "a name of all characters": OK.replace(b"Content", b"!#$%&'*+-.^_`|~09AZaz: 1\r\nContent"),
}


@pytest_asyncio.fixture(params=["data plane", "relaying ingress", "platform's protocol"])
async def fleet(request: pytest.FixtureRequest) -> AsyncIterator[SingleBackend]:
    fleet = SingleBackend(await PeerServer().start())
    fleet.backends.relays_responses = request.param != "platform's protocol"
    fleet.backends.classifier = classify_answer if request.param == "data plane" else None
    yield fleet
    fleet.backends.stop()
    fleet.server.stop()


async def outcome(fleet: SingleBackend, response: bytes, bytewise: bool) -> Outcome:
    """Send a request, and hand its connection the response, whole or byte by byte."""
    requests = sum(peer.data.count(SENT) for peer in fleet.server.peers)
    result = fleet.send(SENT)
    await fleet.server.wait_until(
        lambda: sum(peer.data.count(SENT) for peer in fleet.server.peers) > requests
    )
    (connection,) = fleet.backends._pools[1].busy
    for part in [bytes((byte,)) for byte in response] if bytewise else [response]:
        if not connection.closed:
            connection.data_received(part)
    assert result.done()
    return result.result().outcome


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_response_is_no_answer(
    fleet: SingleBackend, name: str, bytewise: bool
) -> None:
    """The attempt may have run, and its connection is closed, whether it was new or in use."""
    malformed = MALFORMED[name](ID, b"a body")
    assert await outcome(fleet, malformed, bytewise) is Outcome.RESET
    assert await outcome(fleet, OK, bytewise) is Outcome.OK
    assert await outcome(fleet, malformed, bytewise) is Outcome.RESET
    assert await outcome(fleet, OK, bytewise) is Outcome.OK
    assert len(fleet.server.peers) == 3


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("name", UNUSUAL)
async def test_unusual_response_is_an_answer(
    fleet: SingleBackend, name: str, bytewise: bool
) -> None:
    is_relayed = fleet.backends.relays_responses or b" 200" in UNUSUAL[name]
    expected = Outcome.OK if is_relayed else Outcome.ERROR
    assert await outcome(fleet, UNUSUAL[name], bytewise) is expected


async def test_own_response_may_follow_the_end_of_anothers_within_a_read(
    fleet: SingleBackend,
) -> None:
    """The status line of the own response is in no read in which another head was received."""
    fleet.backends.classifier = classify_answer
    another = b"HTTP/1.1 404 No\r\nX-Request-Id: r0\r\nContent-Length: 4\r\n\r\nbo"
    result = fleet.send(SENT)
    await fleet.server.wait_until(
        lambda: bool(fleet.server.peers) and SENT in fleet.server.peers[0].data
    )
    (connection,) = fleet.backends._pools[1].busy
    for part in (another, b"dy" + OK):
        connection.data_received(part)
    assert (result.result().outcome, result.result().body) == (Outcome.OK, b"own")


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("trailer", [b"Connection: close", b"Transfer-Encoding: gzip", b"A: b"])
async def test_trailer_does_not_spoil_the_next_response(
    fleet: SingleBackend, trailer: bytes, bytewise: bool
) -> None:
    """Trailers are dropped, but the parser rejects what follows some of them."""
    head = OK.partition(b"Content-Length")[0]
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n%b\r\n\r\n" % trailer
    assert await outcome(fleet, chunked, bytewise) is Outcome.OK
    assert await outcome(fleet, OK, bytewise) is Outcome.OK
    assert len(fleet.server.peers) == (1 if trailer == b"A: b" else 2)


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_answer_to_a_probe_is_no_load_report(
    fleet: SingleBackend, name: str
) -> None:
    report = ID + b"Server-Load: queue=3\r\n"
    fleet.server.on_data = reply_with(MALFORMED[name](report, b"a body"))
    answered: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    fleet.backends.probe(1, answered.set_result)
    async with asyncio.timeout(10):
        result = await answered
    assert (result.outcome, result.load) == (Outcome.RESET, b"")


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_response_does_not_promise_that_the_request_has_not_run(
    fleet: SingleBackend, name: str
) -> None:
    """Otherwise a request that must not run twice would be sent to another server."""
    promise = ID + b"X-Not-Run: 1\r\nNot-Started: 1\r\n"
    malformed = MALFORMED[name](promise, b"a body").replace(b" 200 ", b" 503 ")
    assert await outcome(fleet, malformed, False) is Outcome.RESET


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize(
    ("blank", "expected"),
    [(b"", Outcome.OK), (b" ", Outcome.OK), (b"\t", Outcome.RESET), (b" \t ", Outcome.RESET)],
)
async def test_coding_is_one_that_the_parser_decodes(
    fleet: SingleBackend, blank: bytes, expected: Outcome, bytewise: bool
) -> None:
    """The parser doesn't decode what has a tab behind `chunked`, though that is valid."""
    head = OK.partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked%b\r\n\r\n" % blank
    assert await outcome(fleet, head + b"3\r\nown\r\n0\r\n\r\n", bytewise) is expected


TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~" + (string.ascii_letters + string.digits).encode())
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
PLACES = {  # what stands before and after a field line
    "head": (b"HTTP/1.1 200 OK\r\n", b"Content-Length: 0\r\n\r\n"),
    "head after a 1xx": (EARLY_HINTS + b"HTTP/1.1 200 OK\r\n", b"Content-Length: 0\r\n\r\n"),
    "1xx": (b"HTTP/1.1 103 Early\r\n", b"\r\n" + OK),
    "trailer": (CHUNKED, b"\r\n"),
}


def is_accepted(response: bytes, step: int) -> bool:
    reader = ResponseReader()
    try:
        for at in range(0, len(response), step):
            reader.feed(response[at : at + step])
        reader.end()
    except InvalidResponseError:
        return False
    return True


@pytest.mark.parametrize("place", PLACES)
def test_every_byte_of_names_and_values_is_held_to_the_grammar(place: str) -> None:
    """The parser does it, on some processors by other instructions for 16 bytes and more."""
    before, after = PLACES[place]
    for number in range(256):
        byte = bytes((number,))
        names = [b"X%b", b"%bX", b"X%bY", b"A-name-of-over-16-bytes-%b-in-all"]
        lines = {template % byte + b": 1\r\n": number in TOKEN_BYTES for template in names}
        if byte == b":":
            lines = {b": 1\r\n": False}
        is_value = byte == b"\t" or (number >= 32 and number != 127)
        for padding in (b"", b"a" * 15, b"a" * 40):
            lines[b"X: a%b%b%bb\r\n" % (padding, byte, padding)] = is_value
        for line, expected in lines.items():
            for step in (len(before + line + after), 1):
                assert is_accepted(before + line + after, step) == expected, (line, step)
