"""The quota counter client and the discovery watch over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from cairndale.ingress.net import counter as counter_module
from cairndale.ingress.net import discovery as discovery_module
from cairndale.ingress.net.counter import QuotaCounterClient
from cairndale.ingress.net.discovery import Discovery, EndpointUpdate
from cairndale.ingress.policy.interface import Outcome
from tests.testing.ingress import HOST, Peer, PeerServer

LONG, SHORT = 10_000_000, 20_000


class Calls:
    """Calls to a counter, and their answers."""

    def __init__(self, server: PeerServer, timeout_us: int) -> None:
        self.counter, self.server = QuotaCounterClient((HOST, server.port), timeout_us), server
        self.answers: list[tuple[str, Outcome, float]] = []
        self.changed = asyncio.Event()

    async def connect(self) -> None:
        self.counter.start()
        async with asyncio.timeout(10):
            while self.counter._connection is None:
                await asyncio.sleep(0)

    def add(self, label: str, amount: float = 1.0, ttl_us: int = 4_000_000) -> None:
        def answered(outcome: Outcome, total: float) -> None:
            self.answers.append((label, outcome, total))
            self.changed.set()

        self.counter.add(0xAB, amount, ttl_us, answered)

    async def answered(self, count: int) -> list[tuple[str, Outcome, float]]:
        async with asyncio.timeout(10):
            while len(self.answers) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.answers


@pytest_asyncio.fixture
async def server() -> AsyncIterator[PeerServer]:
    server = await PeerServer().start()
    yield server
    server.stop()


async def lines(server: PeerServer, count: int) -> list[bytes]:
    def received() -> list[bytes]:
        return [x for p in server.peers for x in p.data.split(b"\r\n") if x.startswith(b"add")]

    await server.wait_until(lambda: len(received()) >= count)
    return received()


async def test_calls_are_pipelined_and_answered_in_order(server: PeerServer) -> None:
    calls = Calls(server, LONG)
    await calls.connect()
    calls.add("a", -2.5)
    calls.add("b", 1 / 3, 90_000_000)
    calls.add("c")
    calls.add("d")
    sent = await lines(server, 4)
    assert sent[0] == b"add 00000000000000ab -2.500000 4000"
    assert sent[1] == b"add 00000000000000ab 0.333333 60000"
    server.peers[0].transport.write(b"ok 37.99")
    server.peers[0].transport.write(b"9998\r\nbusy\r\nerror\r\nok 1\r\n")
    assert await calls.answered(4) == [
        ("a", Outcome.OK, 37.999998),
        ("b", Outcome.FULL, 0.0),
        ("c", Outcome.FULL, 0.0),
        ("d", Outcome.OK, 1.0),
    ]
    calls.counter.stop()


async def test_late_answer_is_not_taken_for_the_next_calls(server: PeerServer) -> None:
    calls = Calls(server, SHORT)
    await calls.connect()
    calls.add("late")
    await lines(server, 1)
    assert await calls.answered(1) == [("late", Outcome.TIMEOUT, 0.0)]
    server.on_data = lambda peer: peer.transport.write(b"ok 5\r\nok 6\r\n")
    calls.add("next")
    assert (await calls.answered(2))[1] == ("next", Outcome.OK, 6.0)
    calls.counter.stop()


async def test_answer_within_the_timeout_slack_counts(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_module, "TIMEOUT_SLACK_S", 10.0)
    calls = Calls(server, 0)  # times out at once, but for the slack
    calls.counter.update_timeout(0)
    await calls.connect()
    calls.add("a")
    await lines(server, 1)
    server.peers[0].transport.write(b"ok 5\r\n")
    assert await calls.answered(1) == [("a", Outcome.OK, 5.0)]
    calls.counter.stop()


@pytest.mark.parametrize(
    "reply",
    [
        *(
            b"ok %b\r\n" % total
            for total in (b"nan", b"inf", b"1_0", b" 1", b"1 ", b"\x0b1", b"1\x1f")
        ),
        *(b"what\r\n", b"pong\r\n", b"ok\r\n", b"x" * 1000),
    ],
)
async def test_invalid_answer_closes_the_connection_and_reconnects(
    server: PeerServer, reply: bytes
) -> None:
    calls = Calls(server, LONG)
    await calls.connect()
    calls.add("a")
    await lines(server, 1)
    server.peers[0].transport.write(reply)
    # The call was written, so the amount may have been added.
    assert await calls.answered(1) == [("a", Outcome.TIMEOUT, 0.0)]
    await server.wait_until(lambda: len(server.peers) == 2)
    calls.counter.stop()


async def test_call_without_a_connection_fails_unsent(server: PeerServer) -> None:
    calls = Calls(server, LONG)
    calls.add("a")
    assert calls.answers == [("a", Outcome.CONNECT_FAILED, 0.0)]


async def test_after_a_reset_calls_wait_for_the_new_connection(server: PeerServer) -> None:
    calls = Calls(server, LONG)
    await calls.connect()
    server.on_data = lambda peer: peer.transport.write(b"ok 1\r\n")
    calls.add("a")
    await calls.answered(1)
    server.on_data = lambda peer: None
    calls.add("lost")
    await lines(server, 2)
    server.on_data = lambda peer: peer.transport.write(b"ok 2\r\n")
    transport = server.peers[0].transport
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    transport.abort()
    await calls.answered(2)
    calls.add("pending")
    assert (await calls.answered(3))[1:] == [
        ("lost", Outcome.RESET, 0.0),
        ("pending", Outcome.OK, 2.0),
    ]
    calls.counter.stop()


async def test_pending_calls_fail_if_the_counter_is_unreachable(server: PeerServer) -> None:
    calls = Calls(server, LONG)
    await calls.connect()
    server.on_data = lambda peer: peer.transport.write(b"ok 1\r\n")
    calls.add("a")
    await calls.answered(1)
    server.stop()
    line = calls.counter._connection
    assert line
    await line.closed.wait()
    calls.add("pending")
    assert (await calls.answered(2))[1] == ("pending", Outcome.CONNECT_FAILED, 0.0)
    calls.counter.stop()


async def test_new_address_gets_new_calls_and_the_old_answers_old_ones(
    server: PeerServer,
) -> None:
    calls, other = Calls(server, LONG), await PeerServer().start()
    await calls.connect()
    calls.add("old")
    await lines(server, 1)
    calls.counter.update_address((HOST, other.port))
    calls.add("new")
    await lines(other, 1)
    other.peers[0].transport.write(b"ok 2\r\n")
    await calls.answered(1)
    server.peers[0].transport.write(b"ok 1\r\n")
    assert await calls.answered(2) == [("new", Outcome.OK, 2.0), ("old", Outcome.OK, 1.0)]
    assert len(server.peers) == 1
    calls.counter.stop()
    await server.wait_until(lambda: len(server.closed) == 1)
    other.stop()


async def test_idle_connection_is_pinged_and_an_unresponsive_one_closed(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_module, "PING_INTERVAL_S", 0.01)
    monkeypatch.setattr(counter_module, "ANSWER_TIMEOUT_S", 0.05)
    calls = Calls(server, LONG)
    await calls.connect()
    await server.wait_until(lambda: bool(server.peers) and b"ping\r\n" in server.peers[0].data)
    await server.wait_until(lambda: len(server.peers) == 2)
    calls.counter.stop()


# The watch.


def line(index: int, full: bool, *names: str) -> bytes:
    endpoints = [{"name": n, "address": f"{HOST}:1", "status": "up"} for n in names]
    return json.dumps({"index": index, "snapshot": full, "endpoints": endpoints}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class WatchClient:
    """A discovery client that records the updates."""

    def __init__(self, server: PeerServer, fleet_size: int = 1) -> None:
        self.updates: list[EndpointUpdate] = []
        self.changed = asyncio.Event()
        self.discovery = Discovery((HOST, server.port), 41, self._changed, fleet_size)
        self.discovery.start()

    def _changed(self, update: EndpointUpdate) -> None:
        self.updates.append(update)
        self.changed.set()

    async def received(self, count: int) -> list[EndpointUpdate]:
        async with asyncio.timeout(10):
            while len(self.updates) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.updates


async def test_watch_resumes_from_the_last_known_version(
    server: PeerServer,
) -> None:
    watched = WatchClient(server)
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    assert server.peers[0].data.startswith(b"GET /discovery/hosts?watch=1&from=41 HTTP/1.1\r\n")
    both = line(42, False, "a") + b"\n" + line(43, True, "a", "b")
    server.peers[0].transport.write(HEAD + chunk(both[:30]) + chunk(both[30:]))
    updates = await watched.received(2)
    assert [(x.index, x.full, [e.name for e in x.entries]) for x in updates] == [
        (42, False, ["a"]),
        (43, True, ["a", "b"]),
    ]
    server.peers[0].transport.close()
    await server.wait_until(lambda: len(server.peers) == 2 and b"\r\n\r\n" in server.peers[1].data)
    assert b"from=43 " in server.peers[1].data
    watched.discovery.stop()


async def test_pause_after_rejections_doubles_until_a_line_is_received(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    waits: list[tuple[float, float]] = []

    def uniform(low: float, high: float) -> float:
        waits.append((low, high))
        return 0.0

    def answer(peer: Peer) -> None:
        crowded = len(server.peers) != 6
        busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        peer.transport.write(busy if crowded else HEAD + chunk(b"\n"))
        peer.transport.close()

    server.on_data = answer
    monkeypatch.setattr(discovery_module.random, "uniform", uniform)
    watched = WatchClient(server, fleet_size=40)
    await server.wait_until(lambda: len(server.peers) > 7)
    watched.discovery.stop()
    assert waits[:5] == [(0, 4.0), (0, 8.0), (0, 16.0), (0, 32.0), (0, 32.0)]
    assert waits[5:7] == [
        (0.5, 1.0),
        (0, 4.0),
    ]  # line received: short pause; rejected again: from the start


async def test_watch_without_heartbeats_is_reopened(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_module, "WATCH_TIMEOUT_S", 0.05)
    watched = WatchClient(server)
    await server.wait_until(lambda: len(server.peers) == 2)
    watched.discovery.stop()


@pytest.mark.parametrize(
    "bad", [b"no json\n", b'{"index":1}\n', b"[]\n", b'{"index":1,"snapshot":0,"endpoints":[1]}\n']
)
async def test_invalid_line_closes_the_watch_and_reopens_it(server: PeerServer, bad: bytes) -> None:
    watched = WatchClient(server)
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    server.peers[0].transport.write(HEAD + chunk(bad))
    await server.wait_until(lambda: len(server.peers) == 2)
    assert watched.updates == []
    watched.discovery.stop()
