"""HTTP server: requests whose client has disconnected before they are processed."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from cairndale.chaos.standins import http_call
from cairndale.http_api.server import HttpServer, Response, json_response

CALL = (
    b"POST /-/Drain.Begin/north-a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: "
    b"close\r\n\r\n"
)


async def handled_targets(disconnect: bool) -> list[str]:
    """The requests that were processed: one that arrives while the process is busy, and a later
    one. `disconnect`: the first client has closed its connection by then."""
    handled: list[str] = []

    async def handle(method: str, target: str, body: bytes) -> Response:
        handled.append(target)
        return json_response(200, {})

    server = HttpServer(handle)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = probe.getsockname()
    await server.listen(address)
    client = socket.create_connection(address)  # nothing is read from it before the next `await`
    client.sendall(CALL)
    if disconnect:
        client.close()
    # Sent after the first request, and answered.
    assert (await http_call(f"{address[0]}:{address[1]}", "POST", "/-/later"))[0] == 200
    client.close()
    server.stop()
    return handled


def test_request_of_a_disconnected_client_is_not_processed() -> None:
    assert uvloop.run(handled_targets(disconnect=True)) == ["/-/later"]


def test_request_of_a_waiting_client_is_processed() -> None:
    assert uvloop.run(handled_targets(disconnect=False)) == ["/-/Drain.Begin/north-a", "/-/later"]


def test_request_of_a_disconnected_client_is_not_processed_on_the_asyncio_loop() -> None:
    assert asyncio.run(handled_targets(disconnect=True)) == ["/-/later"]
