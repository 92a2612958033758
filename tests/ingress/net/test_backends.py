"""Attempts over loopback sockets: outcomes, connection pools, draining."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio

from cairndale.ingress.net.backends import BackendPool
from cairndale.ingress.net.discovery import EndpointEntry
from cairndale.ingress.net.engine import AttemptContext, AttemptResult
from cairndale.ingress.policy.interface import Outcome
from tests.testing.ingress import HOST, OK, REQUEST, PeerServer, SingleBackend, reply_with


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[SingleBackend]:
    server = await PeerServer(reply_with(OK)).start()
    fleet = SingleBackend(server)
    yield fleet
    fleet.backends.stop()
    server.stop()


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", Outcome.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", Outcome.OK),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
            Outcome.OK,
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: \t2 \t\r\n\r\nhi", Outcome.OK),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 Oh\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 504 Oh\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome.FULL),
        (b"HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"garbage\r\n\r\n", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 70000000\r\n\r\n", Outcome.RESET),
    ],
)
async def test_outcomes_of_responses(fleet: SingleBackend, reply: bytes, outcome: Outcome) -> None:
    fleet.server.on_data = reply_with(reply)
    assert await fleet.outcome() is outcome


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nall there is", Outcome.OK),
    ],
)
async def test_outcomes_of_a_connection_that_the_backend_closes(
    fleet: SingleBackend, reply: bytes, outcome: Outcome
) -> None:
    def on_data(peer: object) -> None:
        fleet.server.peers[0].transport.write(reply)
        fleet.server.peers[0].transport.close()

    fleet.server.on_data = on_data
    assert await fleet.outcome() is outcome


async def test_connection_established_while_this_process_was_suspended_counts(
    fleet: SingleBackend,
) -> None:
    """The timeout has expired when it is noticed, which is not the backend's fault."""
    fleet.backends.update_limits(10_000_000, 0)
    assert await fleet.outcome() is Outcome.OK
    # A connection that is not established still times out.
    with socket.create_server((HOST, 0), backlog=0) as full:
        port = full.getsockname()[1]
        fillers = [socket.socket() for _ in range(4)]
        for sock in fillers:
            sock.setblocking(False)
            sock.connect_ex((HOST, port))
        fleet.update_list(port=port)
        assert await fleet.outcome() is Outcome.CONNECT_FAILED
        for sock in fillers:
            sock.close()


async def test_address_may_be_a_host_name(fleet: SingleBackend) -> None:
    fleet.backends.update_endpoint(
        EndpointEntry({"name": "s-2", "address": f"localhost:{fleet.server.port}", "status": "up"}),
        2,
    )
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    fleet.backends.send(2, REQUEST, done.set_result)
    async with asyncio.timeout(10):
        assert (await done).outcome is Outcome.OK


async def test_refused_connection_means_not_run(fleet: SingleBackend) -> None:
    with socket.create_server((HOST, 0)) as closing:
        port = closing.getsockname()[1]
    fleet.update_list(port=port)
    assert await fleet.outcome() is Outcome.CONNECT_FAILED
    assert fleet.sockets.open_count == 0


async def test_connect_timeout_means_not_run(fleet: SingleBackend) -> None:
    with socket.socket() as full:  # a full backlog: further connections hang
        full.bind((HOST, 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        fleet.update_list(port=full.getsockname()[1])
        assert await fleet.outcome() is Outcome.CONNECT_FAILED
        for filler in fillers:
            filler.close()
    assert fleet.sockets.open_count == 0


async def test_lack_of_descriptors_means_not_run(
    fleet: SingleBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    def none_left(*_: object) -> None:
        raise OSError(24, "Too many open files")

    monkeypatch.setattr("cairndale.ingress.net.backends.socket.socket", none_left)
    assert await fleet.outcome() is Outcome.CONNECT_FAILED
    assert fleet.sockets.open_count == 0


async def test_connections_are_reused_for_one_request_at_a_time(fleet: SingleBackend) -> None:
    assert [await fleet.outcome() for _ in range(3)] == [Outcome.OK] * 3
    assert len(fleet.server.peers) == 1
    both = fleet.send(), fleet.send()
    assert [(await b).outcome for b in both] == [Outcome.OK] * 2
    # The connection of a dial that was not needed is kept.
    await fleet.server.wait_until(lambda: len(fleet.server.peers) == 2)
    assert fleet.sockets.open_count == 2


async def test_no_request_is_sent_on_a_connection_that_the_backend_has_closed(
    fleet: SingleBackend,
) -> None:
    """The socket shows the close before the loop has read it."""
    assert await fleet.outcome() is Outcome.OK
    (connection,) = fleet.backends._pools[1].idle
    fleet.server.peers[0].transport.close()
    while connection.is_usable():  # before the loop reads the close
        fleet.server.peers[0].transport.get_extra_info("socket")
        await asyncio.sleep(0)
    assert await fleet.outcome() is Outcome.OK
    assert len(fleet.server.peers) == 2


async def test_idle_connections_are_closed_before_the_backend_does() -> None:
    server = await PeerServer(reply_with(OK)).start()
    fleet = SingleBackend(server, idle_us=0)
    assert await fleet.outcome() is Outcome.OK
    assert await fleet.outcome() is Outcome.OK
    assert len(server.peers) == 2
    await server.wait_until(lambda: len(server.closed) == 2)
    assert fleet.sockets.open_count == 0
    fleet.backends.stop()
    server.stop()


async def test_abort_shuts_the_connection_down_at_once(
    fleet: SingleBackend,
) -> None:
    seen: list[int] = []
    fleet.server.on_data = lambda peer: seen.append(len(fleet.server.peers))
    fleet.send()
    await fleet.server.wait_until(lambda: len(seen) == 1)
    (connection,) = fleet.backends._pools[1].busy
    assert fleet.exchange.abort() is True
    with pytest.raises(BrokenPipeError):  # shut down by `abort` itself
        connection.sock.send(b"x")
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == 1)
    assert fleet.sockets.open_count == 0


async def test_attempt_aborted_while_connecting_has_not_run(fleet: SingleBackend) -> None:
    fleet.send()
    assert fleet.exchange.abort() is False


async def test_drain_withdraws_unwritten_attempts_and_closes_idle_connections(
    fleet: SingleBackend,
) -> None:
    assert await fleet.outcome() is Outcome.OK
    fleet.server.on_data = lambda peer: None
    written, unwritten = fleet.send(), fleet.send()
    await fleet.server.wait_until(lambda: b"\r\n\r\n" in fleet.server.peers[0].data)
    third = fleet.send()
    fleet.update_list(status="draining")
    assert third.done() and third.result().outcome is Outcome.CONNECT_FAILED
    assert (await fleet.send()).outcome is Outcome.CONNECT_FAILED
    for peer in fleet.server.peers:
        peer.transport.write(OK)
    assert (await written).outcome is Outcome.OK  # a drain lets written requests finish
    assert (await unwritten).outcome in (Outcome.OK, Outcome.CONNECT_FAILED)
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == len(fleet.server.peers))


async def test_backend_may_move_to_another_address(fleet: SingleBackend) -> None:
    assert await fleet.outcome() is Outcome.OK
    other = await PeerServer(reply_with(OK)).start()
    fleet.update_list(port=other.port)
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == 1)
    assert await fleet.outcome() is Outcome.OK
    assert len(other.peers) == 1 and len(fleet.server.peers) == 1
    other.stop()


async def test_probes_are_answered_or_time_out(fleet: SingleBackend) -> None:
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    fleet.backends.probe(1, done.set_result)
    assert (await done).outcome is Outcome.OK
    fleet.server.on_data = lambda peer: None
    silent: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    fleet.backends.probe(1, silent.set_result)
    assert (await silent).outcome is Outcome.TIMEOUT


async def test_connection_with_unexpected_data_is_not_reused(
    fleet: SingleBackend,
) -> None:
    """The start of a second response would corrupt the response to the next request."""
    fleet.server.on_data = reply_with(OK + b"HTTP/1.1 2")
    assert await fleet.outcome() is Outcome.OK
    fleet.server.on_data = reply_with(OK)
    assert await fleet.outcome() is Outcome.OK
    assert len(fleet.server.peers) == 2


# The pool's mechanisms on sockets; its decisions alone are tested in test_pool.py.


async def test_attempt_gets_the_first_free_connection_and_its_dial_is_kept(
    fleet: SingleBackend,
) -> None:
    fleet.server.on_data = lambda peer: None
    first = fleet.send()
    await fleet.server.wait_until(
        lambda: bool(fleet.server.peers) and b"\r\n\r\n" in fleet.server.peers[0].data
    )
    second = fleet.send()
    assert fleet.exchange.abort() is False  # its dial continues
    await fleet.server.wait_until(lambda: len(fleet.server.peers) == 2)
    fleet.server.on_data = reply_with(OK)
    assert await fleet.outcome() is Outcome.OK
    assert len(fleet.server.peers) == 2 and not second.done()
    fleet.server.peers[0].transport.write(OK)
    assert (await first).outcome is Outcome.OK


async def test_reset_under_a_request_closes_idle_connections(
    fleet: SingleBackend,
) -> None:
    """Otherwise a backend that vanished would fail one request for each idle connection."""
    fleet.server.on_data = lambda peer: None
    requests = [fleet.send() for _ in range(3)]
    await fleet.server.wait_until(
        lambda: sum(b"\r\n\r\n" in p.data for p in fleet.server.peers) == 3
    )
    for peer in fleet.server.peers:
        peer.data = b""
        peer.transport.write(OK)
    assert [(await s).outcome for s in requests] == [Outcome.OK] * 3
    fleet.server.on_data = lambda peer: peer.transport.abort()
    assert await fleet.outcome() is Outcome.RESET
    (pool,) = (s.pool for s in fleet.backends._pools.values())
    assert pool.idle == [] and pool.counters.stale_missed == 1
    fleet.server.on_data = reply_with(OK)
    assert await fleet.outcome() is Outcome.OK


async def test_idle_connections_are_closed_after_a_suspension(
    fleet: SingleBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert await fleet.outcome() is Outcome.OK
    fleet.backends._last_sweep = (
        fleet.backends._last_sweep[0] - 60,
        fleet.backends._last_sweep[1] - 60,
    )
    fleet.backends._sweep_pools()
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == 1)
    assert await fleet.outcome() is Outcome.OK and len(fleet.server.peers) == 2


async def test_descriptors_are_reserved_for_backends(
    fleet: SingleBackend,
) -> None:
    sockets = fleet.sockets
    sockets.open_count = sockets.capacity  # all used by clients, none idle
    assert not sockets.has_room() and sockets.has_room_for_upstream()
    assert await fleet.outcome() is Outcome.OK
    fleet.backends.close_idle(1)
    sockets.open_count, sockets.upstream_count = sockets.capacity, sockets.reserved_for_upstreams
    assert not sockets.has_room_for_upstream()
    sockets.open_count = sockets.upstream_count = sockets.max_upstreams
    assert (
        sockets.has_room() and not sockets.has_room_for_upstream()
    )  # the clients' share is reserved, too


async def test_attempt_that_waits_too_long_for_a_full_pool_is_moot(
    fleet: SingleBackend,
) -> None:
    fleet.server.on_data = lambda peer: None
    busy = [fleet.send() for _ in range(2)]
    await fleet.server.wait_until(
        lambda: sum(b"\r\n\r\n" in p.data for p in fleet.server.peers) == 2
    )
    (pool,) = (s.pool for s in fleet.backends._pools.values())
    pool.descriptor_bound = 2.0
    context = AttemptContext(None, lambda answer: True, lambda data: None, timeout_s=0.08)
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    fleet.backends.send(1, REQUEST, done.set_result, context)
    async with asyncio.timeout(10):
        assert (await done).outcome is Outcome.MOOT
    assert len(fleet.server.peers) == 2 and not any(h.done() for h in busy)


async def test_connection_established_as_its_dial_times_out_is_counted_once(
    fleet: SingleBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    made = loop.create_connection

    async def late(*args: Any, **more: Any) -> Any:
        await made(*args, **more)
        raise TimeoutError

    monkeypatch.setattr(BackendPool, "now", staticmethod(loop.time))
    monkeypatch.setattr(
        "cairndale.ingress.net.backends.asyncio.get_running_loop", lambda: LoopWith(loop, late)
    )
    assert await fleet.outcome() is Outcome.CONNECT_FAILED
    monkeypatch.undo()
    await fleet.server.wait_until(lambda: len(fleet.server.closed) == len(fleet.server.peers) == 1)
    assert (fleet.sockets.open_count, fleet.sockets.upstream_count) == (0, 0)


async def test_connection_closed_as_it_is_established_is_not_assigned(
    fleet: SingleBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It would stay busy forever. Data may be read from it before its dial has ended."""
    loop = asyncio.get_running_loop()
    made = loop.create_connection

    async def ended(*args: Any, **more: Any) -> Any:
        transport, connection = await made(*args, **more)
        connection.data_received(b"HTTP/1.1 408 Late\r\n\r\n")
        return transport, connection

    monkeypatch.setattr(BackendPool, "now", staticmethod(loop.time))
    monkeypatch.setattr(
        "cairndale.ingress.net.backends.asyncio.get_running_loop", lambda: LoopWith(loop, ended)
    )
    assert await fleet.outcome() is Outcome.CONNECT_FAILED
    assert (fleet.backends._pools[1].pool.open(), fleet.sockets.open_count) == (0, 0)


class LoopWith:
    """The event loop with another `create_connection`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, late: Any) -> None:
        self._loop, self.create_connection = loop, late

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)
