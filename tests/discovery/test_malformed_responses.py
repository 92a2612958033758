"""What a follower of the list service makes of responses that break RFC 9110 or RFC 9112."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import httptools
import pytest
import pytest_asyncio

from cairndale.chaos.malformed import EARLY_HINTS, MALFORMED, MALFORMED_HEADS
from cairndale.discovery import lines, replica
from cairndale.discovery.lines import Reader
from cairndale.discovery.replica import Replica
from cairndale.discovery.state import Record, State
from tests.discovery.test_service import fetch_list
from tests.ingress.net.test_counter import HEAD, chunk
from tests.testing.discovery import DiscoveryProcess, register, statuses_by_name
from tests.testing.ingress import HOST, Peer, PeerServer

BYTE_PAUSE_S = 0.0002


def leader_list(server: str, lineage: str = "l") -> bytes:
    """The line that tells a list of one server to a follower."""
    state = State(lineage)
    record, _ = state.decide(register(server))
    assert record
    state.apply(record)
    return lines.encode_full_list(state, Reader("follow")).lines


class Follower:
    """A follower without disk, whose leader's responses the test scripts."""

    def __init__(self, leader: PeerServer) -> None:
        self.leader, self.state = leader, State("mine")
        self.lists: list[list[str]] = []  # the servers after each change
        stub = SimpleNamespace(state=self.state, role="", leader_address="", writes_at="here:1")
        stub.replicate = self.replicate
        self.service: Any = stub
        self.replica = Replica(self.service, (HOST, leader.port))

    async def replicate(self, records: list[Record], full_state: State | None) -> None:
        for record in records:
            self.service.state.apply(record)
        self.service.state = full_state or self.service.state
        self.lists.append(list(self.service.state.servers))

    async def follow(self, response: bytes, bytewise: bool = False) -> int:
        """Follow until the response ends; return the version of the list."""

        async def write(peer: Peer) -> None:
            for part in [bytes((byte,)) for byte in response] if bytewise else [response]:
                if peer.transport.is_closing():
                    return
                peer.transport.write(part)
                await asyncio.sleep(BYTE_PAUSE_S if bytewise else 0)
            peer.transport.close()

        def on_data(peer: Peer) -> None:
            self.writing = asyncio.ensure_future(write(peer))

        self.leader.on_data = on_data
        async with asyncio.timeout(10):
            await self.replica._follow_once(HOST, self.leader.port)
        return int(self.service.state.index)


@pytest_asyncio.fixture
async def follower() -> AsyncIterator[Follower]:
    leader = await PeerServer().start()
    yield Follower(leader)
    leader.stop()


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("name", MALFORMED_HEADS)
async def test_list_in_a_malformed_response_is_not_followed(
    follower: Follower, name: str, bytewise: bool
) -> None:
    malformed = MALFORMED_HEADS[name](b"", leader_list("a"))
    with pytest.raises((ValueError, httptools.HttpParserError)):
        await follower.follow(malformed, bytewise)
    assert follower.service.state.index == 0


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("before", [b"", EARLY_HINTS])
async def test_list_in_a_valid_response_is_followed(
    follower: Follower, before: bytes, bytewise: bool
) -> None:
    assert await follower.follow(before + HEAD + chunk(leader_list("a")), bytewise) == 1


def answers(*responses: bytes) -> tuple[Callable[[Peer], None], list[bytes]]:
    """An `on_data` that answers one call each with the next response; and those still to come."""
    remaining = list(responses)

    def on_data(peer: Peer) -> None:
        head, _, body = peer.data.partition(b"\r\n\r\n")
        if len(body) >= int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0] or 0):
            if remaining:
                peer.transport.write(remaining.pop(0))
            peer.transport.close()

    return on_data, remaining


def incomplete(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body) + 1, body)


async def test_version_in_a_malformed_response_confirms_nothing(
    follower: Follower, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The age of the list would be taken to be none."""
    monkeypatch.setattr(replica, "VERSION_POLL_INTERVAL", 0.0)
    body = json.dumps({"index": 0, "epoch": 1, "lineage": "mine", "age_ms": 0}).encode()
    malformed = [build(b"", body) for build in MALFORMED.values()]
    malformed = [response for response in malformed if b" 404 " not in response]
    good = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    follower.leader.on_data, remaining = answers(*malformed, incomplete(body), good)
    told = list[int]()
    monkeypatch.setattr(
        type(follower.replica.progress),
        "record_leader_version",
        lambda self, state, *version: told.append(len(remaining)),
    )
    poll = asyncio.ensure_future(follower.replica._poll_version_loop(HOST, follower.leader.port))
    async with asyncio.timeout(30):
        while not (told and not remaining):
            await asyncio.sleep(0.01)
    poll.cancel()
    assert told == [0]


async def test_deposed_leader_is_notified_until_it_answers_validly(
    follower: Follower, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica, "RETRY_BACKOFF", (0.0, 0.0))
    malformed = [build(b"", b"{}") for build in MALFORMED.values()]
    good = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    follower.leader.on_data, remaining = answers(*malformed, incomplete(b"{}"), good)
    async with asyncio.timeout(30):
        await follower.replica._notify_deposed_leader(f"{HOST}:{follower.leader.port}")
    assert remaining == []


async def test_follower_process_follows_valid_responses_only(tmp_path: Path) -> None:
    """After one of the malformed lists, of another lineage, it would not follow the valid one."""
    valid, other = leader_list("a"), leader_list("b", "other")
    watches = [
        *(MALFORMED[name](b"", other) for name in ("status 000", "version 2.0", "folded value")),
        EARLY_HINTS + HEAD + chunk(valid),
    ]
    leader = await PeerServer().start()

    def on_data(peer: Peer) -> None:
        if b"/discovery/hosts" in peer.data and watches:
            peer.transport.write(watches.pop(0))

    leader.on_data = on_data
    process = DiscoveryProcess(tmp_path, extra_config={"follow": f"{HOST}:{leader.port}"})
    await process.start()
    await process.wait_for_status(index=1)
    assert set(statuses_by_name(await fetch_list(process.reads))) == {"a"}
    await process.stop()
    leader.stop()


UNREADABLE_LINES = {
    "version without end": b'{"index": 1e999, "epoch": 1, "lineage": "l"}\n',
    "deep nesting": b"[" * 100_000 + b"\n",
    "short write": leader_list("b").replace(b'"writes":[]', b'"writes":[[]]'),
    "endless version in a record": b'{"index":1,"epoch":1,"lineage":"mine","record":{"i":1e999}}\n',
    "age that is no number": leader_list("b").replace(b'{"index"', b'{"age_ms":NaN,"index"'),
    "age below 0": leader_list("b").replace(b'{"index"', b'{"age_ms":-1,"index"'),
}


@pytest.mark.parametrize("what", UNREADABLE_LINES)
async def test_follower_goes_on_after_a_line_that_it_cannot_read(
    follower: Follower, monkeypatch: pytest.MonkeyPatch, what: str
) -> None:
    monkeypatch.setattr(replica, "RETRY_BACKOFF", (0.0, 0.0))
    bodies = [UNREADABLE_LINES[what], leader_list("a")]
    follower.leader.on_data, remaining = answers(*(HEAD + chunk(body) for body in bodies))
    following = asyncio.ensure_future(follower.replica._follow_loop(HOST, follower.leader.port))
    async with asyncio.timeout(10):
        while not follower.service.state.index and not following.done():
            await asyncio.sleep(0.01)
    assert not following.done(), following.exception()
    assert (follower.lists, remaining) == ([["a"]], [])
    following.cancel()


@pytest.mark.parametrize("age", ["NaN", "-1", "1e999"])
@pytest.mark.parametrize("index", ["0", "1e999", "[" * 100_000])
async def test_unreadable_version_confirms_nothing(
    follower: Follower, monkeypatch: pytest.MonkeyPatch, age: str, index: str
) -> None:
    monkeypatch.setattr(replica, "VERSION_POLL_INTERVAL", 0.0)
    body = b'{"epoch":1,"lineage":"mine","age_ms":%b,"index":%b}' % (age.encode(), index.encode())
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    follower.leader.on_data, remaining = answers(response, response)
    poll = asyncio.ensure_future(follower.replica._poll_version_loop(HOST, follower.leader.port))
    async with asyncio.timeout(10):
        while remaining and not poll.done():
            await asyncio.sleep(0.01)
    assert not poll.done(), poll.exception()
    assert follower.replica.age() >= replica.UNCONFIRMED_AGE
    poll.cancel()
