"""The relays of a run, in one process of their own: `python -m cairndale.lab.faults.relay`.

A proxy listens for one process that connects to a port of another (`i0>l1#reads`), over TCP or UDP.
It forwards data under the conditions of each direction, which the tool changes with lines of JSON
on standard input. PAIR is the name of a proxy up to `#`:

    {"tcp": [[PROXY, HOST, PORT], ...]}   answered with {"opened": {PROXY: PORT}}; "udp" likewise
    {"set": {PAIR: CONDITIONS}}           for that direction, whichever end opened the connection
    {"connect": {PAIR: "open" | "refuse" | "unanswered"}}
    {"reset": [PAIR, ...]}                resets connections of either direction in mid-message
    {"end": true}

A cut delays TCP data that is in flight until the cut is over, as retransmission does on a network
that loses every packet. No more is read from the sender, whose own buffers then fill. The data
buffered for a direction is bounded."""

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

MAX_BUFFERED_BYTES = 256 * 1024  # of one direction; beyond it, reading from its sender pauses
MAX_DATAGRAMS_IN_FLIGHT = 10_000  # on one proxy; more are dropped
RESET_PREFIX_BYTES = 7  # of a message that are still forwarded before a reset
CONNECT_TIMEOUT_S = 2.0  # for the upstream end to accept a connection


class Direction:
    """One direction of one relayed connection, from the side read from to the side written to."""

    def __init__(self, relays: Relays, name: str, source: Side, sink: Side) -> None:
        self.relays, self.name, self.source, self.sink = relays, name, source, sink
        self._shaper = Shaper()
        self._queue: deque[tuple[float, bytes | None]] = deque()  # None: end of stream
        self._buffered_bytes, self._blocked, self._paused, self._resetting = 0, False, False, False
        self._timer: asyncio.TimerHandle | None = None
        self.done = False  # the end of the stream has been forwarded

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
            with contextlib.suppress(OSError, RuntimeError):  # it was closed in the meantime
                self.sink.transport.write_eof()
            self.done = True
            self.sink.connection.on_direction_done()
        else:
            self.sink.transport.write(data)

    def flush(self) -> None:
        """Forwards the data that is due, and pauses or resumes reading from the source."""
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
        """Reschedules the buffered data after a change of conditions: the current ones apply, not
        those at its arrival."""
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
        """Forwards the first bytes of the buffered data and drops the rest, before a reset."""
        conditions, self._resetting = self.relays.conditions(self.name), True
        part = b"".join(data for _, data in self._queue if data)[:RESET_PREFIX_BYTES]
        if part and not conditions.cut and self.sink.transport is not None:
            self.sink.transport.write(part)

    def end(self) -> None:
        if self._timer:
            self._timer.cancel()


class Side(asyncio.Protocol):
    """One of the two TCP connections that make up a relayed connection."""

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.closed = self._reading_paused = False
        self.read_direction: Direction  # receives the data read from this side
        self.write_direction: Direction  # supplies the data written to this side

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
            with contextlib.suppress(
                OSError
            ):  # with a linger time of 0 the kernel sends RST, not FIN
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.transport.abort()


class RelayedConnection:
    """A connection from a client through a proxy to its upstream process."""

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

    def on_connected(self, side: Side) -> None:
        if side is self.client:
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

    def on_closed(self, side: Side, exc: Exception | None) -> None:
        """Closes or resets the other side as this one was; if the direction is cut, only once the
        cut is over."""
        other = self.upstream if side is self.client else self.client
        if other.closed or other.transport is None:
            self.end()
        elif self.relays.conditions(side.read_direction.name).cut:
            self.relays.half_closed[self] = other
        elif exc is not None:
            other.reset()
        elif not other.transport.is_closing():
            other.transport.close()

    def on_direction_done(self) -> None:
        if all(direction.done for direction in self.directions):
            for side in (self.client, self.upstream):
                if side.transport is not None and not side.transport.is_closing():
                    side.transport.close()

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
    """The names of both directions of a proxy: forward and backward."""
    name = proxy.partition("#")[0]
    a, _, b = name.partition(">")
    return name, f"{b}>{a}"


class Proxy:
    """A TCP proxy: a port at which one process reaches a port of another."""

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
    """A UDP proxy. Datagrams leave through the socket of the proxy for the reverse direction, so
    that answers go to that one."""

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
    """All proxies of a run, and the conditions of their links."""

    def __init__(self, seed: int) -> None:
        self.loop, self.rng = asyncio.get_running_loop(), random.Random(seed)
        self.tcp: dict[str, Proxy] = {}
        self.udp: dict[str, UdpProxy] = {}
        self.connections: dict[RelayedConnection, None] = {}
        # the side that is still open, where a cut delays the close of the other
        self.half_closed: dict[RelayedConnection, Side] = {}
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
        if pairs := set(message.get("reset", ())):
            for connection in list(self.connections):
                if pairs & {connection.proxy.name, connection.proxy.reverse_name}:
                    connection.reset()
        return bool(message.get("end"))

    async def _open_proxies(self, message: dict[str, Any]) -> None:
        opened: dict[str, int] = {}
        for name, host, port in message.get("tcp", ()):
            proxy = self.tcp[name] = Proxy(self, name, (host, port))
            opened[name] = proxy.port.number
        for name, host, port in message.get("udp", ()):
            udp = UdpProxy(self, name, (host, port))
            transport, _ = await self.loop.create_datagram_endpoint(lambda u=udp: u, (HOST, 0))  # type: ignore[misc]
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
