"""The clients' side: the listener, requests in, answers out, `/up`."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections import deque
from collections.abc import Callable

import httptools

from cairndale.ingress.net.bodies import KERNEL, Memory, Upload
from cairndale.ingress.net.engine import Answer, Engine, Exchange
from cairndale.ingress.net.http import MAX_BODY, MAX_HEAD, HttpConnection, Message, plain, reason
from cairndale.ingress.net.requests import BadRequest, Reader, read_request
from cairndale.ingress.net.sockets import Sockets, unread

# s for a head, the first from connecting on: a client may take 2, peers are owed an end in 3
HALF_SENT = 2.5
SLOWEST = 32_000  # bytes of body a second, on average: a client may send 64 kB/s
UNREAD = 8.0  # s without a byte taken of an answer that comes in parts
GRACE = 0.5  # s that a connection with no whole request is kept even where room is short
IDLE = 2.0  # s that a connection may stand with no open request
LOOK = 0.25  # s between looks for connections past any of these
BACKLOG = 1024
QUEUED = 8  # requests on one connection that wait for the answer to the one before


class Listener:
    """What all client connections share."""

    def __init__(
        self,
        engine: Engine,
        sockets: Sockets,
        memory: Memory,
        now: Callable[[], int],
        read: Reader | None = None,
    ) -> None:
        self.engine, self.sockets, self.memory, self.now = engine, sockets, memory, now
        self.read, self.relays = read or read_request, read is not None
        self.idle_for, self.head_for = IDLE, HALF_SENT
        # bytes of a request, from the next one on
        self.max_head, self.max_body = (MAX_HEAD, MAX_BODY)
        self.up = b"/up"  # says whether it accepts; nothing where that has an address of its own
        self.stopping = False
        self._aside = False  # another process accepts, or is about to
        # The longest idle first, with the clock since when. One that has carried nothing yet is not
        # among them: its first request is on the way, and a client sends again only once.
        self.idle: dict[ClientConnection, int] = {}
        # the same for those whose request is not whole
        self.partial: dict[ClientConnection, int] = {}
        self.connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None
        self.socket: socket.socket | None = None
        self._resuming: asyncio.Task[None] | None = None
        sockets.on_crowded(self._evict, first=True)
        sockets.freed = self.resume

    async def listen(self, host: str, port: int) -> int:
        # Shared, so that a new process can listen even where the old one passes nothing on.
        made = socket.create_server((host, port), backlog=BACKLOG, reuse_port=True)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):  # for the connections accepted from it
            made.setsockopt(socket.SOL_SOCKET, option, KERNEL)
        made.setblocking(False)
        return await self.listen_on(made)

    async def listen_on(self, listening: socket.socket) -> int:
        self.socket = listening
        await self._accept(listening)
        self._tick()
        bound: int = listening.getsockname()[1]
        return bound

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), sock=listening.dup(), backlog=BACKLOG
        )

    def accepting(self) -> bool:
        """False before it listens and once it stops; a pause for want of descriptors is neither."""
        return self.socket is not None and not self.stopping

    def pause(self) -> None:
        """Accepting with no descriptor left would close what comes in, requests and all; in the
        listener's line it waits for the moments until others are closed."""
        if self._server:
            self._server.close()
            self._server = None

    def resume(self) -> None:
        idle = self._resuming is None or self._resuming.done()
        if (
            self.socket
            and self._server is None
            and idle
            and not self._aside
            and not self.sockets.at_top()
        ):
            self._resuming = asyncio.get_running_loop().create_task(self._accept(self.socket))

    def step_aside(self, aside: bool) -> None:
        """What comes in waits in the listening socket's queue for the process that takes over."""
        self._aside = aside
        (self.pause if aside else self.resume)()

    def retire(self) -> None:
        """Another process accepts from here on. What this one has accepted is owed its first
        request: only those that have carried one are closed."""
        self.begin_stop()
        if self.socket:
            self.socket.close()
            self.socket = None

    def begin_stop(self) -> None:
        """New connections still come in; each is closed after its answer, and those that are idle
        now."""
        self.stopping = True
        for connection in list(self.idle):
            connection.close_if_quiet()

    def stop_listening(self) -> None:
        self.pause()
        if self._resuming:
            self._resuming.cancel()
        if self.socket:
            self.socket.close()
            self.socket = None
        if self._sweep:
            self._sweep.cancel()
        for connection in list(self.connections):
            connection.close_if_quiet()

    def _tick(self) -> None:
        """A client that never finishes sending, or keeps a connection it does not use, would hold
        its descriptor for good."""
        now = self.now()
        for connection in list(self.connections):
            connection.close_if_stuck(now)
        for connection in [
            c for c, since in self.idle.items() if since < now - int(self.idle_for * 1e6)
        ]:
            connection.close_if_quiet()
        self._sweep = asyncio.get_running_loop().call_later(LOOK, self._tick)

    def _evict(self) -> bool:
        """Room for a request: idle connections go first, then those that have not come to send
        theirs."""
        if any(connection.close_if_quiet() for connection in list(self.idle)):
            return True
        oldest = self.now() - int(GRACE * 1e6)
        late = itertools.takewhile(lambda entry: entry[1] < oldest, list(self.partial.items()))
        return any(connection.give_way() for connection, _ in late)


class ClientConnection(HttpConnection):
    """One client connection; answers one request at a time, in order."""

    def __init__(self, listener: Listener) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._listener, self._engine = listener, listener.engine
        self.keep_fields = listener.relays
        self._crowded = False
        self._began = 0
        self._waiting: deque[tuple[Message, int]] = deque()
        self._current: bytes | None = None  # id of the request that the engine has
        self._coming: Upload | None = None  # the body that comes in parts now
        # the body, if it still comes, of the request answered last
        self._answered: Upload | None = None
        self._keep = True
        self._minor = 1
        self._holds: set[str] = set()  # why nothing is read for now
        self._held_at = 0
        self._continues = 0  # requests that wait for a go-ahead before they send a body
        self._source: Exchange | None = None  # of an answer that comes in parts
        self._chunked = self._unframed = False
        self._full = False  # the client takes nothing for now
        self._left = (0, 0)  # bytes that wait to be written to it, and since when as many

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        listener = self._listener
        self._crowded = not listener.sockets.room()
        listener.sockets.open += 1
        listener.connections.add(self)
        self._began = listener.partial[self] = listener.now()
        if listener.sockets.at_top():
            listener.pause()

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.sockets.closed()
        self._listener.connections.discard(self)
        self._listener.idle.pop(self, None)
        self._listener.partial.pop(self, None)
        self._waiting.clear()
        self._came()
        self._end_flow()
        if self._current is not None:
            current, self._current = self._current, None
            self._engine.client_gone(current)

    def began(self) -> None:
        self.max_head, self.max_body = self._listener.max_head, self._listener.max_body
        self._began = self._listener.now()
        self._listener.idle.pop(self, None)
        if self._current is None and not self._waiting:
            self._listener.partial.setdefault(self, self._began)

    def headed(self, message: Message) -> None:
        waits = message.headers.get(b"expect", b"").lower() == b"100-continue"
        if waits and message.minor > 0 and message.length != 0:
            self._continues += 1
            self._go_ahead()

    def _go_ahead(self) -> None:
        """Between answers only, so that it is not taken for a part of one."""
        quiet = self._current is None and not self._waiting
        if self._continues and quiet and not self.transport.is_closing():
            self._continues = 0
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def received(self, message: Message) -> None:
        self._continues = 0
        self._listener.partial.pop(self, None)
        self._waiting.append((message, self._listener.now()))  # its time counts from its last byte
        if self._current is None and not self._full:
            self._next()
        elif len(self._waiting) > QUEUED:
            self._hold("queue", True)

    def opened(self, message: Message) -> None:
        self._coming = message.upload = Upload(
            message.length, self._listener.memory, lambda paused: self._hold("body", paused)
        )
        self._listener.memory.bodies += 1
        self._listener.partial.pop(self, None)
        self._waiting.append((message, self._began))
        if self._current is None and not self._full:
            self._next()

    def part(self, message: Message, data: bytes) -> None:
        if message.upload:
            message.upload.feed(data)

    def ended(self, message: Message) -> None:
        self._continues = 0
        if message.upload:
            self._came()
            message.upload.finish()
        self._rest()

    def _came(self) -> None:
        if self._coming:
            self._coming = None
            self._listener.memory.bodies -= 1

    def _hold(self, why: str, held: bool) -> None:
        """What is not read waits in the socket and holds the client up; its time does not count
        meanwhile."""
        before = bool(self._holds)
        (self._holds.add if held else self._holds.discard)(why)
        if before == bool(self._holds) or self.transport.is_closing():
            return
        if self._holds:
            self._held_at = self._listener.now()
            self.transport.pause_reading()
        else:
            self._began += self._listener.now() - self._held_at
            self.transport.resume_reading()

    def garbage(self, status: int) -> None:
        self._waiting.clear()
        self._keep = False
        # else the answer under way comes first
        if self._current is None and not self.transport.is_closing():
            if self._answered and not self._answered.whole:
                # it has its answer: only the rest of its body was still dropped
                self.transport.close()
            else:
                self._plain(status, b"not understood\n")

    def close_if_stuck(self, now: int) -> None:
        if self._full:
            self._look_at_reader(now)
        sent = 0 if self._in_head else self._size
        due = self._began + int((self._listener.head_for + sent / SLOWEST) * 1e6)
        if self._holds or self in self._listener.idle or now < due:
            return
        # its body has stopped coming
        if self._current is not None and self._coming and not self._source:
            current, self._current, self._answered = self._current, None, None
            self._engine.client_gone(current)
        if self._current is None:
            self._lost_framing = True
            self.garbage(408)

    def _look_at_reader(self, now: int) -> None:
        left = self.transport.get_write_buffer_size()
        if left != self._left[0]:
            self._left = (left, now)
        elif left and now - self._left[1] > UNREAD * 1e6:
            self.transport.abort()

    def close_if_quiet(self) -> bool:
        """Closes it between requests; not if one waits unread in the socket, which would lose
        it."""
        quiet = self._current is None and not self._waiting and not self._begun
        if not quiet or self.transport.is_closing() or unread(self.transport):
            return False
        self._listener.idle.pop(self, None)
        self.transport.close()
        return True

    def give_way(self) -> bool:
        """Closes it though a request may have begun, as none is whole, nor more of one
        unread."""
        whole = self._current is not None or self._waiting
        if whole or self.transport.is_closing() or unread(self.transport):
            return False
        self._listener.partial.pop(self, None)
        self.garbage(408)
        return True

    def _next(self) -> None:
        message, began = self._waiting.popleft()
        self._hold("queue", len(self._waiting) > QUEUED)
        self._keep = message.keep_alive and not self._crowded
        self._minor, self._answered = message.minor, message.upload
        if self._listener.up and message.target.partition(b"?")[0] == self._listener.up:
            self._plain(503 if self._listener.stopping else 200, b"up\n")
            return
        if self._crowded:
            self.refuse(0, status=503)
            return
        try:
            wanted = self._listener.read(
                message, self._engine.names, self._engine.settings.classes, began
            )
        except BadRequest as error:
            self._write(error.status, _advice(error.retry_after), str(error).encode() + b"\n")
            return
        self._current = wanted.id
        if not self._engine.arrived(wanted, self):
            self._plain(409, b"a request with this Request-Id is under way\n")

    # The engine's answers.

    def serve(self, answer: Answer) -> None:
        self._write(answer.status, _fields(answer), answer.body)

    def refuse(self, retry_after: int, status: int = 429) -> None:
        self._write(status, _advice(retry_after), b"refused\n")

    def fail(self, timed_out: bool) -> None:
        self._write(504 if timed_out else 502, b"", b"failed\n")

    def _plain(self, status: int, text: bytes) -> None:
        self._write(status, b"", text)

    def _write(self, status: int, headers: bytes, body: bytes) -> None:
        self._current = None
        keep = self._keeps()
        self.transport.write(plain(status, body, headers, close=not keep))
        self._go_on(keep)

    def _keeps(self) -> bool:
        return self._keep and not self._listener.stopping and not self._lost_framing

    def _go_on(self, keep: bool) -> None:
        """An answer is whole: on to the next request, if there is to be one."""
        if self._answered and not self._answered.whole:  # the rest of its body is read and dropped
            self._answered.discard()
            self._keep = keep
        elif not keep:
            self._waiting.clear()
            self.transport.close()
        elif self._waiting:
            asyncio.get_running_loop().call_soon(self._resume)
        elif not self._begun:
            self._listener.idle[self] = self._listener.now()
        else:
            self._go_ahead()

    def _rest(self) -> None:
        """A body has come whole that was dropped as its answer was out already."""
        if self._current is None and not self._waiting and not self.transport.is_closing():
            self._go_on(self._keeps())

    def _resume(self) -> None:
        if (
            self._waiting
            and self._current is None
            and not (self._full or self.transport.is_closing())
        ):
            self._next()

    # An answer that comes in parts.

    def begin(self, answer: Answer, source: Exchange) -> None:
        self._source, memory = source, self._listener.memory
        memory.bodies += 1
        self._chunked = answer.length is None and self._minor > 0
        self._unframed = answer.length is None and not self._chunked
        self._keep = self._keep and not self._unframed
        head = b"HTTP/1.1 %d %b\r\n%b" % (answer.status, reason(answer.status), _fields(answer))
        head += b"" if self._keeps() else b"Connection: close\r\n"
        if answer.length is not None:
            head += b"Content-Length: %d\r\n" % answer.length
        elif self._chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        self.transport.set_write_buffer_limits(memory.share())
        self.transport.write(head + b"\r\n")

    def more(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        if self._chunked:
            self.transport.write(b"0\r\n\r\n")
        self._end_flow()
        self._current = None
        self._go_on(self._keeps())

    def break_off(self) -> None:
        """The answer cannot be made whole: without its end, or with a reset, the client can
        tell."""
        self._end_flow()
        self._current = None
        sock = self.transport.get_extra_info("socket")
        if self._unframed and sock:  # an orderly end would be that of its body
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def _end_flow(self) -> None:
        if self._source:
            self._source = None
            self._listener.memory.bodies -= 1

    def pause_writing(self) -> None:
        self._full, self._left = True, (-1, self._listener.now())
        if self._source:
            self._source.pause(True)

    def resume_writing(self) -> None:
        """Answers wait for a client that has not taken those before: what it asks next is not
        begun."""
        self._full = False
        if self._source:
            self._source.pause(False)
        self._resume()


def _advice(retry_after: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (retry_after / 1e6) if retry_after else b""


def _fields(answer: Answer) -> bytes:
    kind = b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
    return kind + answer.fields
