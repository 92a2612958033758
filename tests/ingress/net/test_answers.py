"""Surplus responses on a connection to a backend are never taken for the next request's."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from cairndale.dataplane.upstream_protocol import classify_answer
from cairndale.ingress.net.engine import AttemptContext, AttemptResult
from cairndale.ingress.net.http import MAX_BUFFERED_BODY_BYTES
from cairndale.ingress.policy.interface import Outcome
from tests.testing.ingress import OK, REQUEST, Peer, PeerServer, SingleBackend, reply_with


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[SingleBackend]:
    server = await PeerServer(reply_with(OK)).start()
    fleet = SingleBackend(server)
    yield fleet
    fleet.backends.stop()
    server.stop()


OWN, SURPLUS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%b" % body for body in (b"own", b"sur")
)


class ResponseCollector:
    """Sends requests and collects the responses.

    A callback may send the next request at once, as the policy's next attempt does.
    """

    def __init__(self, fleet: SingleBackend) -> None:
        self.fleet, self.got = fleet, asyncio.Queue[bytes]()

    def ask(self, then: Callable[[], object] = lambda: None) -> None:
        def on_result(answer: AttemptResult) -> None:
            self.got.put_nowait(answer.body)
            then()

        self.fleet.backends.send(1, REQUEST, on_result)

    async def answer(self) -> bytes:
        async with asyncio.timeout(10):
            return await self.got.get()


@pytest.mark.parametrize("surplus", [SURPLUS, b"HTTP/1.1 103 Early\r\n\r\n" + SURPLUS])
async def test_surplus_response_is_not_taken_for_the_next_requests(
    fleet: SingleBackend, surplus: bytes
) -> None:
    """The next request is sent when the first is answered, after both responses have been read."""
    collector = ResponseCollector(fleet)
    fleet.server.on_data = reply_with(OK + surplus)

    def send_next() -> None:
        fleet.server.on_data = reply_with(OWN)
        collector.ask()

    collector.ask(then=send_next)
    assert [await collector.answer(), await collector.answer()] == [b"warm", b"own"]
    assert len(fleet.server.peers) == 2


@pytest.mark.parametrize("read", [True, False])
async def test_waiting_attempt_gets_no_connection_with_surplus_data(
    fleet: SingleBackend, read: bool
) -> None:
    """`read`: the surplus was read with the previous response; else it is still in the socket."""
    fleet.server.on_data = lambda peer: None
    collector, pool = ResponseCollector(fleet), fleet.backends._pools[1]
    collector.ask()
    await fleet.server.wait_until(
        lambda: bool(fleet.server.peers) and b"\r\n\r\n" in fleet.server.peers[0].data
    )
    (connection,), (peer,) = pool.busy, fleet.server.peers
    collector.ask()
    assert len(pool.pool.waiters) == 1
    fleet.server.on_data = reply_with(OWN)
    if not read:
        os.write(peer.transport.get_extra_info("socket").fileno(), SURPLUS)
    connection.data_received(OK + SURPLUS * read)
    assert [await collector.answer(), await collector.answer()] == [b"warm", b"own"]


async def test_partial_data_on_an_idle_connection_closes_it(
    fleet: SingleBackend,
) -> None:
    """The data is in the parser then, not in the socket, where a peek would find it."""
    fleet.backends.update_limits(600_000_000, 250_000)  # no idle timeout
    assert await fleet.outcome() is Outcome.OK
    fleet.server.peers[0].transport.write(SURPLUS[:20])
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == 1)
    assert fleet.backends._pools[1].idle == []
    assert await fleet.outcome() is Outcome.OK and len(fleet.server.peers) == 2


# The same for the data plane, whose servers' responses carry the request's id.


def sealed(status: bytes, id: bytes, body: bytes, more: bytes = b"") -> bytes:
    head = b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, id, more, len(body)) + body


async def attempt(fleet: SingleBackend, id: bytes) -> tuple[Outcome, bytes]:
    """Make an attempt as the data plane does; return its outcome and the body, streamed or not."""
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    parts: list[bytes] = []
    data = b"GET /a HTTP/1.1\r\nX-Request-Id: %b\r\n\r\n" % id
    context = AttemptContext(None, lambda answer: True, parts.append, request_id=id)
    fleet.backends.send(1, data, done.set_result, context)
    async with asyncio.timeout(10):
        answer = await done
    return answer.outcome, answer.body or b"".join(parts)


@pytest.fixture
def relaying(fleet: SingleBackend) -> SingleBackend:
    (
        fleet.backends.relays_responses,
        fleet.backends.classifier,
        fleet.backends.written_at_first_byte,
    ) = True, classify_answer, True
    return fleet


@pytest.mark.parametrize("id", [b"X-Request-Id: first\r\n", b""])
async def test_surplus_rejection_is_not_taken_for_the_next_requests(
    relaying: SingleBackend, id: bytes
) -> None:
    """It would state that the next request has not run, while its only attempt is about to run."""
    refusal = b"HTTP/1.1 503 Full\r\n%bX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" % id
    relaying.server.on_data = reply_with(sealed(b"200 OK", b"first", b"1") + refusal)
    second: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()

    def send_next(answer: AttemptResult) -> None:
        relaying.server.on_data = reply_with(sealed(b"200 OK", b"second", b"2"))
        relaying.backends.send(
            1, b"GET /a HTTP/1.1\r\nX-Request-Id: second\r\n\r\n", second.set_result
        )

    relaying.backends.send(1, b"GET /a HTTP/1.1\r\nX-Request-Id: first\r\n\r\n", send_next)
    async with asyncio.timeout(10):
        assert ((await second).outcome, second.result().body) == (Outcome.OK, b"2")
    assert len(relaying.server.peers) == 2


async def test_duplicate_rejection_does_not_count_for_the_next_attempt(
    relaying: SingleBackend,
) -> None:
    """It carries the same id.

    If it were taken for the response to the second attempt, a third attempt would run the request
    again.
    """
    full, served = (
        sealed(b"503 Full", b"same", b"", b"X-Not-Run: 1\r\n"),
        sealed(b"200 OK", b"same", b"ran"),
    )
    relaying.server.on_data = reply_with(full)
    assert await attempt(relaying, b"same") == (Outcome.FULL, b"")
    (old,) = relaying.server.peers

    def on_data(peer: Peer) -> None:
        reply_with(full if peer is old else served)(peer)

    relaying.server.on_data = on_data
    assert await attempt(relaying, b"same") == (Outcome.OK, b"ran")
    relaying.server.on_data = reply_with(sealed(b"200 OK", b"other", b"ran"))
    assert await attempt(relaying, b"other") == (Outcome.OK, b"ran")
    assert len(relaying.server.peers) == 2


@pytest.mark.parametrize("size", [9, MAX_BUFFERED_BODY_BYTES + 1])
async def test_response_of_another_request_is_ignored_however_large(
    relaying: SingleBackend, size: int
) -> None:
    own = sealed(b"200 OK", b"new", b"own")
    relaying.server.on_data = reply_with(sealed(b"200 OK", b"old", b"o" * size) + own)
    assert await attempt(relaying, b"new") == (Outcome.OK, b"own")
    relaying.server.on_data = reply_with(sealed(b"200 OK", b"next", b"own"))
    assert await attempt(relaying, b"next") == (Outcome.OK, b"own")
    assert len(relaying.server.peers) == 2
