"""Calls at a core machine's doors whose callers are gone before they are begun."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from cairndale.chaos.standins import ask
from cairndale.http_api.server import HttpServer, Response, json_response

CALL = (
    b"POST /-/Drain.Begin/north-a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: "
    b"close\r\n\r\n"
)


async def calls_taken(end: bool) -> list[str]:
    """What is begun of a call that came while the process did nothing else. `end`: its caller has
    left."""
    taken: list[str] = []

    async def take(method: str, target: str, body: bytes) -> Response:
        taken.append(target)
        return json_response(200, {})

    addresses = HttpServer(take)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        at = probe.getsockname()
    await addresses.listen(at)
    caller = socket.create_connection(at)  # nothing of it is read until this function waits
    caller.sendall(CALL)
    if end:
        caller.close()
    # comes after it, and is answered
    assert (await ask(f"{at[0]}:{at[1]}", "POST", "/-/later"))[0] == 200
    caller.close()
    addresses.stop()
    return taken


def test_a_call_whose_caller_has_gone_is_not_begun() -> None:
    assert uvloop.run(calls_taken(end=True)) == ["/-/later"]


def test_a_call_whose_caller_waits_is_begun() -> None:
    assert uvloop.run(calls_taken(end=False)) == ["/-/Drain.Begin/north-a", "/-/later"]


def test_the_same_on_the_loop_in_python() -> None:
    assert asyncio.run(calls_taken(end=True)) == ["/-/later"]
