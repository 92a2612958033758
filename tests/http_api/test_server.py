"""HTTP server: requests whose client has disconnected before they are processed."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from cairndale.chaos.standins import http_call
from cairndale.http_api.server import MAX_ORDER_AGE_S, HttpServer, Response, json_response

CALL = (
    b"POST /-/Drain.Begin/north-a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: "
    b"close\r\n\r\n"
)


async def listen(server: HttpServer) -> tuple[str, int]:
    """Let the server listen on a free port; return its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    await server.listen((host, port))
    return host, port


async def handled_targets(disconnect: bool) -> list[str]:
    """The requests that were processed: one that arrives while the process is busy, and a later
    one. `disconnect`: the first client has closed its connection by then."""
    handled: list[str] = []

    async def handle(method: str, target: str, body: bytes) -> Response:
        handled.append(target)
        return json_response(200, {})

    server = HttpServer(handle)
    address = await listen(server)
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


class Orders:
    """Records the orders that are executed."""

    def __init__(self) -> None:
        self.ages: list[float] = []

    def is_order(self, method: str, target: str) -> bool:
        return target.startswith("/-/Drain.")

    async def execute_order(
        self, method: str, target: str, body: bytes, sent_after: float
    ) -> Response:
        self.ages.append(asyncio.get_running_loop().time() - sent_after)
        return json_response(200, {})


async def order_after(pause_s: float, blocks_process: bool) -> tuple[bytes, Orders]:
    """The response to an order, and the orders executed.

    The order is sent `pause_s` after the previous response on its connection. `blocks_process`: it
    is sent at once on a new connection, and the process reads it only after the pause.
    """

    async def handle(method: str, target: str, body: bytes) -> Response:
        return json_response(200, {})

    orders = Orders()
    server = HttpServer(handle, orders=orders)
    address = await listen(server)
    if blocks_process:
        client = socket.create_connection(address)
        client.sendall(CALL)
        time.sleep(pause_s)
        reader, writer = await asyncio.open_connection(sock=client)
    else:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(CALL.replace(b"Drain.Begin/north-a", b"Config.Read").replace(b"close", b"x"))
        await reader.readuntil(b"\r\n\r\n{}")
        await asyncio.sleep(pause_s)
        writer.write(CALL)
    response = await reader.read()
    writer.close()
    server.stop()
    return response, orders


# Guards against orders that a partition has held up: on a connection that was idle, an order may be
# older than its caller waits, whenever the close of the connection arrives.
def test_order_on_an_idle_connection_is_not_executed_but_redirected() -> None:
    response, orders = uvloop.run(order_after(MAX_ORDER_AGE_S + 0.1, blocks_process=False))
    assert response.startswith(b"HTTP/1.1 307 ") and orders.ages == []
    assert b"\r\nLocation: http://x/-/Drain.Begin/north-a\r\n" in response
    assert b"\r\nConnection: close\r\n" in response


def test_order_on_a_connection_in_use_is_executed() -> None:
    response, orders = uvloop.run(order_after(0.0, blocks_process=False))
    assert response.startswith(b"HTTP/1.1 200 ") and len(orders.ages) == 1
    assert 0.0 <= orders.ages[0] <= MAX_ORDER_AGE_S


# Guards against orders that lie in the socket's buffer while their process is stopped.
def test_order_that_waited_in_the_socket_is_not_executed_but_redirected() -> None:
    response, orders = uvloop.run(order_after(MAX_ORDER_AGE_S + 0.1, blocks_process=True))
    assert response.startswith(b"HTTP/1.1 307 ") and orders.ages == []


async def order_that_is_given_up(close_after_s: float) -> Orders:
    """The orders executed: one arrives on a new connection, whose close comes a little later."""
    orders = Orders()
    server = HttpServer(fail, orders=orders)
    address = await listen(server)
    _, writer = await asyncio.open_connection(*address)
    writer.write(CALL)
    await asyncio.sleep(close_after_s)
    writer.close()
    while server.connections or server.tasks:
        await asyncio.sleep(0.01)
    server.stop()
    return orders


async def fail(method: str, target: str, body: bytes) -> Response:
    raise AssertionError(f"{target} is an order")


# Guards against orders that a proxy or a handshake has held up with their connection (review/1):
# the server sees a new connection, and its close arrives a round trip after the order.
@pytest.mark.parametrize("close_after_s", [0.0, 0.002, 0.04, 0.15])
def test_order_on_a_new_connection_is_not_executed_if_its_caller_has_gone(
    close_after_s: float,
) -> None:
    assert uvloop.run(order_that_is_given_up(close_after_s)).ages == []


# Guards against a call that hangs until its connection is idle, as its handler has failed.
def test_call_whose_handler_fails_is_answered() -> None:
    async def main() -> int:
        async def handle(method: str, target: str, body: bytes) -> Response:
            raise ZeroDivisionError("on purpose")

        server = HttpServer(handle)
        address = await listen(server)
        status, _ = await http_call(f"{address[0]}:{address[1]}", "GET", "/-/Config.Read")
        server.stop()
        return status

    assert uvloop.run(main()) == 500
