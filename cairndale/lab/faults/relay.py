"""The relays of a run, in one process of their own: `python -m cairndale.lab.faults.relay`.

A front listens for one process that dials another, at one of its ports (`i0>l1#reads`), over TCP or
UDP. What passes goes by the conditions of each direction, which the tool changes with lines of JSON
on standard input; PAIR is a front's name up to `#`:

    {"tcp": [[FRONT, HOST, PORT], ...]}     answered with {"opened": {FRONT: PORT}}; "udp" alike
    {"set": {PAIR: CONDITIONS}}         of that direction, for connections dialled from either end
    {"connect": {PAIR: "open" | "refuse" | "unanswered"}}
    {"reset": [PAIR, ...]}            connections both ways are reset with part of a message through
    {"end": true}

A cut holds back what is under way (as a network does that loses every packet: it comes once the cut
is over) and takes no more from the sender, whose own buffers then fill. What is held for a
direction is bounded."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections import deque
from typing import Any, cast

import msgspec
import uvloop

from cairndale.lab.faults.links import CLEAR, Conditions, Shaper, impair
from cairndale.lab.live.ports import HOST, Port
from cairndale.lab.live.worker import listen_to_tool, send_to_tool

MAX_BUFFERED_BYTES = 256 * 1024  # bytes of one direction beyond which its sender is read no more
MAX_DATAGRAMS_IN_FLIGHT = 10_000  # under way on one front; more are lost
RESET_PREFIX_BYTES = 7  # bytes of a message that still pass before a reset
CONNECT_TIMEOUT_S = 2.0  # s for the other end to take a connection


class Direction:
    """One direction of one connection, from the end that reads to the end that writes."""

    def __init__(self, relays: Relays, name: str, source: Side, sink: Side) -> None:
        self.relays, self.name, self.source, self.sink = relays, name, source, sink
        self._shaper = Shaper()
        self._queue: deque[tuple[float, bytes | None]] = deque()  # None: the end of what is sent
        self._buffered_bytes, self._blocked, self._paused, self._resetting = 0, False, False, False
        self._timer: asyncio.TimerHandle | None = None
        self.done = False  # the end of what is sent has gone on

    def feed(self, data: bytes | None) -> None:
        if self._resetting:
            return
        conditions = self.relays.conditions(self.name)
        if (
            conditions.passes_through
            and not self._queue
            and not self._blocked
            and self.sink.transport is not None
        ):
            self._write(data)
            return
        now = self.relays.loop.time()
        self._queue.append(
            (self._shaper.delivery_time(now, len(data or b""), conditions, self.relays.rng), data)
        )
        self._buffered_bytes += len(data or b"")
        self.flush()

    def _write(self, data: bytes | None) -> None:
        assert self.sink.transport is not None
        if data is None:
            with contextlib.suppress(OSError, RuntimeError):  # it went away meanwhile
                self.sink.transport.write_eof()
            self.done = True
            self.sink.connection.on_direction_done()
        else:
            self.sink.transport.write(data)

    def flush(self) -> None:
        """What is due goes on; then whether more is read."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        now, cut = self.relays.loop.time(), self.relays.conditions(self.name).cut
        while self._queue and not cut and not self._blocked and self.sink.transport is not None:
            delivery_time, data = self._queue[0]
            if delivery_time > now:
                self._timer = self.relays.loop.call_at(delivery_time, self.flush)
                break
            self._queue.popleft()
            self._buffered_bytes -= len(data or b"")
            self._write(data)
        self.source.set_reading_paused(
            cut
            or self._blocked
            or self._buffered_bytes > MAX_BUFFERED_BYTES
            or self.sink.transport is None
        )

    def reschedule(self) -> None:
        """The conditions are others: what is still held goes by those of now, not by those it came
        under."""
        conditions, now, self._shaper = (
            self.relays.conditions(self.name),
            self.relays.loop.time(),
            Shaper(),
        )
        queue, self._queue = self._queue, deque()
        for _, data in queue:
            self._queue.append(
                (
                    self._shaper.delivery_time(now, len(data or b""), conditions, self.relays.rng),
                    data,
                )
            )
        self.flush()

    def set_blocked(self, blocked: bool) -> None:
        self._blocked = blocked
        self.flush()

    def send_partial(self) -> None:
        """The next bytes that come are cut short, and both ends are reset."""
        conditions, self._resetting = self.relays.conditions(self.name), True
        part = b"".join(data for _, data in self._queue if data)[:RESET_PREFIX_BYTES]
        if part and not conditions.cut and self.sink.transport is not None:
            self.sink.transport.write(part)

    def end(self) -> None:
        if self._timer:
            self._timer.cancel()


class Side(asyncio.Protocol):
    """One of the two connections of a relayed one."""

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.closed = self._reading_paused = False
        self.read_direction: Direction  # what is read here goes there
        self.write_direction: Direction  # what is written here comes from there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(MAX_BUFFERED_BYTES)
        self.connection.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self.connection.relays.bytes += len(data)
        self.read_direction.feed(data)

    def eof_received(self) -> bool:
        self.read_direction.feed(None)
        return True  # the other direction goes on

    def set_reading_paused(self, paused: bool) -> None:
        if self.transport is None or paused == self._reading_paused or self.transport.is_closing():
            return
        self._reading_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.write_direction.set_blocked(True)

    def resume_writing(self) -> None:
        self.write_direction.set_blocked(False)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.connection.on_closed(self, exc)

    def reset(self) -> None:
        if self.transport is not None and not self.closed:
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):  # linger of 0: the kernel sends a reset, not an end
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.transport.abort()


class RelayedConnection:
    def __init__(self, relays: Relays, proxy: Proxy) -> None:
        self.relays, self.proxy = relays, proxy
        self.client, self.upstream = Side(self), Side(self)
        forward = Direction(relays, proxy.name, self.client, self.upstream)
        backward = Direction(relays, proxy.reverse_name, self.upstream, self.client)
        self.client.read_direction = self.upstream.write_direction = forward
        self.upstream.read_direction = self.client.write_direction = backward
        self.directions = (forward, backward)
        self._connecting: asyncio.Task[None] | None = None

    def accepted(self) -> Side:
        return self.client

    def on_connected(self, end: Side) -> None:
        if end is self.client:
            self.relays.connections[self] = None
            self._connecting = self.relays.loop.create_task(self._connect_upstream())
        for direction in self.directions:
            direction.flush()

    async def _connect_upstream(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.relays.loop.create_connection(lambda: self.upstream, *self.proxy.target)
        except OSError:  # TimeoutError is one
            self.client.reset()

    def on_closed(self, end: Side, exc: Exception | None) -> None:
        """A reset reaches the other end as one, when it can; one whose way is cut learns of it
        afterwards."""
        other = self.upstream if end is self.client else self.client
        if other.closed or other.transport is None:
            self.end()
        elif self.relays.conditions(end.read_direction.name).cut:
            self.relays.half_closed[self] = other
        elif exc is not None:
            other.reset()
        elif not other.transport.is_closing():
            other.transport.close()

    def on_direction_done(self) -> None:
        if all(direction.done for direction in self.directions):
            for end in (self.client, self.upstream):
                if end.transport is not None and not end.transport.is_closing():
                    end.transport.close()

    def end(self) -> None:
        self.relays.connections.pop(self, None)
        self.relays.half_closed.pop(self, None)
        for direction in self.directions:
            direction.end()
        if self._connecting:
            self._connecting.cancel()

    def reset(self) -> None:
        for direction in self.directions:
            direction.send_partial()
        self.relays.loop.call_later(0.001, self._reset_both)

    def _reset_both(self) -> None:
        self.client.reset()
        self.upstream.reset()


def pair(proxy: str) -> tuple[str, str]:
    """The directions there and back."""
    name = proxy.partition("#")[0]
    a, _, b = name.partition(">")
    return name, f"{b}>{a}"


class Proxy:
    """A port at which one process meets another."""

    def __init__(self, relays: Relays, proxy: str, target: tuple[str, int]) -> None:
        self.target, self.mode = target, "open"
        self.name, self.reverse_name = pair(proxy)
        self.port = Port(lambda: RelayedConnection(relays, self).accepted())

    def set(self, mode: str) -> None:
        if mode == self.mode:
            return
        self.mode = mode
        if mode == "refuse":
            self.port.refuse()
        else:
            self.port.open()
        if mode == "unanswered":
            self.port.stop_answering()


class UdpProxy(asyncio.DatagramProtocol):
    """Datagrams from one process to another leave by the front of the way back, so that answers
    find it."""

    transport: asyncio.DatagramTransport

    def __init__(self, relays: Relays, proxy: str, target: tuple[str, int]) -> None:
        self.relays, self.target = relays, target
        self.name, self.reverse_name = pair(proxy)
        self.in_flight, self._shaper = 0, Shaper()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        loop, conditions = self.relays.loop, self.relays.conditions(self.name)
        self.relays.bytes += len(data)
        for extra_delay_s, copy in impair(data, conditions, self.relays.rng):
            if conditions.passes_through and not extra_delay_s:
                self._send(copy)
            elif self.in_flight < MAX_DATAGRAMS_IN_FLIGHT:
                self.in_flight += 1
                delivery_time = self._shaper.delivery_time(
                    loop.time(), len(copy), conditions, self.relays.rng
                )
                loop.call_at(delivery_time + extra_delay_s, self._send_delayed, copy)

    def _send_delayed(self, data: bytes) -> None:
        self.in_flight -= 1
        if not self.relays.conditions(self.name).cut:
            self._send(data)

    def _send(self, data: bytes) -> None:
        backward = self.relays.udp.get(self.reverse_name)
        (backward or self).transport.sendto(data, self.target)


class Relays:
    def __init__(self, seed: int) -> None:
        self.loop, self.rng = asyncio.get_running_loop(), random.Random(seed)
        self.tcp: dict[str, Proxy] = {}
        self.udp: dict[str, UdpProxy] = {}
        self.connections: dict[RelayedConnection, None] = {}
        self.half_closed: dict[
            RelayedConnection, Side
        ] = {}  # one end has gone, and the other could not be told
        self.bytes = 0
        self._conditions: dict[str, Conditions] = {}

    def conditions(self, name: str) -> Conditions:
        return self._conditions.get(name, CLEAR)

    async def handle_message(self, message: dict[str, Any]) -> bool:
        if "tcp" in message or "udp" in message:
            await self._open_proxies(message)
        for name, raw in message.get("set", {}).items():
            self._conditions[name] = msgspec.convert(raw, Conditions)
        if "set" in message:
            self._reschedule_all()
        modes = message.get("connect", {})
        for proxy in self.tcp.values() if modes else ():
            if proxy.name in modes:
                proxy.set(modes[proxy.name])
        if wanted := set(message.get("reset", ())):
            for connection in list(self.connections):
                if wanted & {connection.proxy.name, connection.proxy.reverse_name}:
                    connection.reset()
        return bool(message.get("end"))

    async def _open_proxies(self, message: dict[str, Any]) -> None:
        opened: dict[str, int] = {}
        for name, host, port in message.get("tcp", ()):
            proxy = self.tcp[name] = Proxy(self, name, (host, port))
            opened[name] = proxy.port.number
        for name, host, port in message.get("udp", ()):
            udp = UdpProxy(self, name, (host, port))
            transport, _ = await self.loop.create_datagram_endpoint(lambda m=udp: m, (HOST, 0))  # type: ignore[misc]
            self.udp[udp.name] = udp
            opened[name] = transport.get_extra_info("sockname")[1]
        send_to_tool(opened=opened)

    def _reschedule_all(self) -> None:
        for connection in list(self.connections):
            for direction in connection.directions:
                direction.reschedule()
        for connection, side in list(self.half_closed.items()):
            if not self.conditions(side.write_direction.name).cut:
                del self.half_closed[connection]
                side.reset()


async def serve() -> None:
    relays = Relays(1)
    send_to_tool(ready=True)
    await listen_to_tool(relays.handle_message)
    send_to_tool(bytes=relays.bytes, cpu_s=time.process_time())


if __name__ == "__main__":
    uvloop.run(serve())
