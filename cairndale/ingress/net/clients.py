"""The downstream side: the listener, client connections, and the health check `/up`."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections import deque
from collections.abc import Callable

import httptools

from cairndale.ingress.net.bodies import SOCKET_BUFFER_BYTES, BodyMemory, Upload
from cairndale.ingress.net.engine import AttemptResult, Engine, Exchange
from cairndale.ingress.net.http import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    HttpConnection,
    Message,
    encode_response,
    reason_phrase,
)
from cairndale.ingress.net.requests import BadRequest, RequestReader, read_request
from cairndale.ingress.net.sockets import Sockets, unread_bytes

# For the head of a request; of the first one, from connecting on. A client may take 2 s, and
# connections of peers that do not finish must be closed within 3 s.
HEAD_TIMEOUT_S = 2.5
MIN_BODY_BYTES_PER_S = 32_000  # on average; a client may send as slowly as 64 kB/s
UNREAD_TIMEOUT_S = 8.0  # a client that reads nothing of its response for this long is disconnected
PARTIAL_REQUEST_GRACE_S = 0.5  # a connection with a partial request is not evicted before this age
IDLE_TIMEOUT_S = 2.0  # of a connection without an open request
SWEEP_INTERVAL_S = 0.25  # between checks of these timeouts
LISTEN_BACKLOG = 1024
MAX_PIPELINED_REQUESTS = 8  # requests queued on a connection before it is not read any more


class Listener:
    """The listening socket, and the state that all client connections share."""

    def __init__(
        self,
        engine: Engine,
        sockets: Sockets,
        memory: BodyMemory,
        now: Callable[[], int],
        reader: RequestReader | None = None,
    ) -> None:
        self.engine, self.sockets, self.memory, self.now = engine, sockets, memory, now
        self.request_reader, self.relays_responses = reader or read_request, reader is not None
        self.idle_timeout, self.head_timeout = IDLE_TIMEOUT_S, HEAD_TIMEOUT_S
        # Size limits in bytes, effective from the next request on.
        self.max_head, self.max_body = (MAX_HEAD_BYTES, MAX_BODY_BYTES)
        # The path of the health check; empty if health is served at an address of its own.
        self.health_path = b"/up"
        self.stopping = False
        self._suspended = False  # another process accepts connections, or is about to
        # Idle connections, longest idle first, with the time since when. A connection without any
        # request yet is not idle: its first request is in transit, and if it were closed, the
        # client would use up its only retry.
        self.idle: dict[ClientConnection, int] = {}
        # The same for connections with an incomplete request.
        self.partial: dict[ClientConnection, int] = {}
        self.connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.socket: socket.socket | None = None
        self._resume_task: asyncio.Task[None] | None = None
        sockets.add_evictor(self._evict, first=True)
        sockets.on_closed = self.resume

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address. Return the port."""
        # SO_REUSEPORT, so that a new process can listen even if the old one hands nothing over.
        listening = socket.create_server((host, port), backlog=LISTEN_BACKLOG, reuse_port=True)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):  # inherited by accepted connections
            listening.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        listening.setblocking(False)
        return await self.listen_on(listening)

    async def listen_on(self, listening: socket.socket) -> int:
        """Accept connections from a listening socket. Return its port."""
        self.socket = listening
        await self._accept(listening)
        self._sweep_connections()
        bound: int = listening.getsockname()[1]
        return bound

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), sock=listening.dup(), backlog=LISTEN_BACKLOG
        )

    def accepting(self) -> bool:
        """Return whether it is in service; still True while paused for lack of descriptors."""
        return self.socket is not None and not self.stopping

    def pause(self) -> None:
        """Stop accepting for now, for lack of descriptors.

        Accepting without a free descriptor would close new connections along with their requests.
        In the listen backlog they wait until other connections have been closed.
        """
        if self._server:
            self._server.close()
            self._server = None

    def resume(self) -> None:
        """Accept again, if descriptors are available and no other process accepts."""
        not_resuming = self._resume_task is None or self._resume_task.done()
        if (
            self.socket
            and self._server is None
            and not_resuming
            and not self._suspended
            and not self.sockets.is_exhausted()
        ):
            self._resume_task = asyncio.get_running_loop().create_task(self._accept(self.socket))

    def suspend(self, suspended: bool) -> None:
        """Leave new connections in the listen backlog, for the process that takes over."""
        self._suspended = suspended
        (self.pause if suspended else self.resume)()

    def stop_accepting(self) -> None:
        """Close the listening socket, as another process accepts from now on, and drain.

        Accepted connections without any request so far are kept for their first request.
        """
        self.start_draining()
        if self.socket:
            self.socket.close()
            self.socket = None

    def start_draining(self) -> None:
        """Close idle connections, and the others after their responses; still accept new ones."""
        self.stopping = True
        for connection in list(self.idle):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections, and close those without an open request."""
        self.pause()
        if self._resume_task:
            self._resume_task.cancel()
        if self.socket:
            self.socket.close()
            self.socket = None
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close_if_idle()

    def _sweep_connections(self) -> None:
        """Close connections that have exceeded a timeout.

        Otherwise clients that never finish a request, or keep unused connections, would occupy
        descriptors forever.
        """
        now = self.now()
        for connection in list(self.connections):
            connection.close_if_stuck(now)
        for connection in [
            c for c, since in self.idle.items() if since < now - int(self.idle_timeout * 1e6)
        ]:
            connection.close_if_idle()
        self._sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._sweep_connections
        )

    def _evict(self) -> bool:
        """Close one connection to free its descriptor; return False if there is none to close.

        Idle connections are closed first, then those with an incomplete request.
        """
        if any(connection.close_if_idle() for connection in list(self.idle)):
            return True
        oldest = self.now() - int(PARTIAL_REQUEST_GRACE_S * 1e6)
        late = itertools.takewhile(lambda entry: entry[1] < oldest, list(self.partial.items()))
        return any(connection.close_partial() for connection, _ in late)


class ClientConnection(HttpConnection):
    """One client connection; processes one request at a time, in order."""

    def __init__(self, listener: Listener) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._listener, self._engine = listener, listener.engine
        self.keep_fields = listener.relays_responses
        self._over_capacity = False
        self._began_at = 0
        self._pending_requests: deque[tuple[Message, int]] = deque()
        self._current_id: bytes | None = None  # of the request that the engine processes
        self._incoming_body: Upload | None = None  # the streamed body being received
        # The body of the request answered last; it may still be arriving.
        self._last_upload: Upload | None = None
        self._keep_alive = True
        self._minor = 1
        self._pause_reasons: set[str] = set()  # reading is paused while not empty
        self._paused_at = 0
        self._pending_continues = 0  # requests that wait for a 100 (Continue) response
        self._stream_source: Exchange | None = None  # of the response being streamed
        self._chunked = self._unframed = False
        self._writing_paused = False  # the write buffer is full: the client does not read
        # Size of the write buffer, and since when it has not changed.
        self._unwritten = (0, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        listener = self._listener
        self._over_capacity = not listener.sockets.has_room()
        listener.sockets.open_count += 1
        listener.connections.add(self)
        self._began_at = listener.partial[self] = listener.now()
        if listener.sockets.is_exhausted():
            listener.pause()

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.sockets.connection_closed()
        self._listener.connections.discard(self)
        self._listener.idle.pop(self, None)
        self._listener.partial.pop(self, None)
        self._pending_requests.clear()
        self._body_received()
        self._end_response_stream()
        if self._current_id is not None:
            current, self._current_id = self._current_id, None
            self._engine.client_disconnected(current)

    def message_began(self) -> None:
        self.max_head, self.max_body = self._listener.max_head, self._listener.max_body
        self._began_at = self._listener.now()
        self._listener.idle.pop(self, None)
        if self._current_id is None and not self._pending_requests:
            self._listener.partial.setdefault(self, self._began_at)

    def head_received(self, message: Message) -> None:
        expects_continue = message.headers.get(b"expect", b"").lower() == b"100-continue"
        if expects_continue and message.minor_version > 0 and message.length != 0:
            self._pending_continues += 1
            self._send_continue()

    def _send_continue(self) -> None:
        """Send 100 (Continue), but only between responses: within one, it would be a part of it."""
        is_idle = self._current_id is None and not self._pending_requests
        if self._pending_continues and is_idle and not self.transport.is_closing():
            self._pending_continues = 0
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def message_received(self, message: Message) -> None:
        self._pending_continues = 0
        self._listener.partial.pop(self, None)
        # The request's deadline counts from its last byte.
        self._pending_requests.append((message, self._listener.now()))
        if self._current_id is None and not self._writing_paused:
            self._start_next()
        elif len(self._pending_requests) > MAX_PIPELINED_REQUESTS:
            self._set_reading_paused("queue", True)

    def body_began(self, message: Message) -> None:
        self._incoming_body = message.upload = Upload(
            message.length,
            self._listener.memory,
            lambda paused: self._set_reading_paused("body", paused),
        )
        self._listener.memory.active_bodies += 1
        self._listener.partial.pop(self, None)
        self._pending_requests.append((message, self._began_at))
        if self._current_id is None and not self._writing_paused:
            self._start_next()

    def body_part_received(self, message: Message, data: bytes) -> None:
        if message.upload:
            message.upload.feed(data)

    def body_ended(self, message: Message) -> None:
        self._pending_continues = 0
        if message.upload:
            self._body_received()
            message.upload.finish()
        self._discarded_body_ended()

    def _body_received(self) -> None:
        if self._incoming_body:
            self._incoming_body = None
            self._listener.memory.active_bodies -= 1

    def _set_reading_paused(self, reason: str, paused: bool) -> None:
        """Pause reading from the client while there is any reason for it.

        The time of the pause does not count towards the timeouts for receiving the request.
        """
        before = bool(self._pause_reasons)
        (self._pause_reasons.add if paused else self._pause_reasons.discard)(reason)
        if before == bool(self._pause_reasons) or self.transport.is_closing():
            return
        if self._pause_reasons:
            self._paused_at = self._listener.now()
            self.transport.pause_reading()
        else:
            self._began_at += self._listener.now() - self._paused_at
            self.transport.resume_reading()

    def message_invalid(self, status: int) -> None:
        self._pending_requests.clear()
        self._keep_alive = False
        # If a response is pending, it is sent first.
        if self._current_id is None and not self.transport.is_closing():
            if self._last_upload and not self._last_upload.complete:
                # The request has been answered, and the rest of its body was being discarded.
                self.transport.close()
            else:
                self._write_text(status, b"not understood\n")

    def close_if_stuck(self, now: int) -> None:
        """Close the connection if the client sends or reads too slowly."""
        if self._writing_paused:
            self._check_unread_response(now)
        received = 0 if self._in_head else self._size
        deadline = self._began_at + int(
            (self._listener.head_timeout + received / MIN_BODY_BYTES_PER_S) * 1e6
        )
        if self._pause_reasons or self in self._listener.idle or now < deadline:
            return
        # The rest of the body is overdue: abort the request that the engine processes.
        if self._current_id is not None and self._incoming_body and not self._stream_source:
            current, self._current_id, self._last_upload = self._current_id, None, None
            self._engine.client_disconnected(current)
        if self._current_id is None:
            self._framing_lost = True
            self.message_invalid(408)

    def _check_unread_response(self, now: int) -> None:
        buffered = self.transport.get_write_buffer_size()
        if buffered != self._unwritten[0]:
            self._unwritten = (buffered, now)
        elif buffered and now - self._unwritten[1] > UNREAD_TIMEOUT_S * 1e6:
            self.transport.abort()

    def close_if_idle(self) -> bool:
        """Close the connection if it is between requests. Return whether it was closed.

        It is not closed if the socket holds unread data, as that would lose a request.
        """
        is_idle = (
            self._current_id is None and not self._pending_requests and not self._message_begun
        )
        if not is_idle or self.transport.is_closing() or unread_bytes(self.transport):
            return False
        self._listener.idle.pop(self, None)
        self.transport.close()
        return True

    def close_partial(self) -> bool:
        """Close the connection if it has no complete request. Return whether it was closed.

        It is not closed if the socket holds unread data, as that may complete a request.
        """
        has_request = self._current_id is not None or self._pending_requests
        if has_request or self.transport.is_closing() or unread_bytes(self.transport):
            return False
        self._listener.partial.pop(self, None)
        self.message_invalid(408)
        return True

    def _start_next(self) -> None:
        message, began_at = self._pending_requests.popleft()
        self._set_reading_paused("queue", len(self._pending_requests) > MAX_PIPELINED_REQUESTS)
        self._keep_alive = message.keep_alive and not self._over_capacity
        self._minor, self._last_upload = message.minor_version, message.upload
        if (
            self._listener.health_path
            and message.target.partition(b"?")[0] == self._listener.health_path
        ):
            self._write_text(503 if self._listener.stopping else 200, b"up\n")
            return
        if self._over_capacity:
            self.reject(0, status=503)
            return
        try:
            request = self._listener.request_reader(
                message, self._engine.names, self._engine.settings.classes, began_at
            )
        except BadRequest as error:
            self._write(
                error.status, _retry_after_field(error.retry_after), str(error).encode() + b"\n"
            )
            return
        self._current_id = request.id
        if not self._engine.request_arrived(request, self):
            self._write_text(409, b"a request with this Request-Id is under way\n")

    # Responses of the engine.

    def send_response(self, result: AttemptResult) -> None:
        self._write(result.status, _response_fields(result), result.body)

    def reject(self, retry_after: int, status: int = 429) -> None:
        self._write(status, _retry_after_field(retry_after), b"refused\n")

    def fail(self, timed_out: bool) -> None:
        self._write(504 if timed_out else 502, b"", b"failed\n")

    def _write_text(self, status: int, text: bytes) -> None:
        self._write(status, b"", text)

    def _write(self, status: int, headers: bytes, body: bytes) -> None:
        self._current_id = None
        keep = self._will_keep_alive()
        self.transport.write(encode_response(status, body, headers, close=not keep))
        self._response_sent(keep)

    def _will_keep_alive(self) -> bool:
        return self._keep_alive and not self._listener.stopping and not self._framing_lost

    def _response_sent(self, keep: bool) -> None:
        """After a complete response, start the next request, or close the connection."""
        if self._last_upload and not self._last_upload.complete:
            # Read and discard the rest of the body.
            self._last_upload.discard()
            self._keep_alive = keep
        elif not keep:
            self._pending_requests.clear()
            self.transport.close()
        elif self._pending_requests:
            asyncio.get_running_loop().call_soon(self._resume)
        elif not self._message_begun:
            self._listener.idle[self] = self._listener.now()
        else:
            self._send_continue()

    def _discarded_body_ended(self) -> None:
        """Continue after the body of a request that was answered before its end."""
        if (
            self._current_id is None
            and not self._pending_requests
            and not self.transport.is_closing()
        ):
            self._response_sent(self._will_keep_alive())

    def _resume(self) -> None:
        if (
            self._pending_requests
            and self._current_id is None
            and not (self._writing_paused or self.transport.is_closing())
        ):
            self._start_next()

    # Streamed responses.

    def begin_stream(self, result: AttemptResult, source: Exchange) -> None:
        self._stream_source, memory = source, self._listener.memory
        memory.active_bodies += 1
        self._chunked = result.length is None and self._minor > 0
        self._unframed = result.length is None and not self._chunked
        self._keep_alive = self._keep_alive and not self._unframed
        head = b"HTTP/1.1 %d %b\r\n%b" % (
            result.status,
            reason_phrase(result.status),
            _response_fields(result),
        )
        head += b"" if self._will_keep_alive() else b"Connection: close\r\n"
        if result.length is not None:
            head += b"Content-Length: %d\r\n" % result.length
        elif self._chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        self.transport.set_write_buffer_limits(memory.buffer_limit())
        self.transport.write(head + b"\r\n")

    def write_body(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def end_stream(self) -> None:
        if self._chunked:
            self.transport.write(b"0\r\n\r\n")
        self._end_response_stream()
        self._current_id = None
        self._response_sent(self._will_keep_alive())

    def abort_stream(self) -> None:
        """Abort the response: the client sees it end early or the connection reset."""
        self._end_response_stream()
        self._current_id = None
        sock = self.transport.get_extra_info("socket")
        if self._unframed and sock:  # an orderly close would mark the end of the body
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()

    def _end_response_stream(self) -> None:
        if self._stream_source:
            self._stream_source = None
            self._listener.memory.active_bodies -= 1

    def pause_writing(self) -> None:
        self._writing_paused, self._unwritten = True, (-1, self._listener.now())
        if self._stream_source:
            self._stream_source.pause(True)

    def resume_writing(self) -> None:
        """Continue once the client has read enough; meanwhile no further request was started."""
        self._writing_paused = False
        if self._stream_source:
            self._stream_source.pause(False)
        self._resume()


def _retry_after_field(retry_after: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (retry_after / 1e6) if retry_after else b""


def _response_fields(result: AttemptResult) -> bytes:
    content_type = b"Content-Type: %b\r\n" % result.content_type if result.content_type else b""
    return content_type + result.fields
