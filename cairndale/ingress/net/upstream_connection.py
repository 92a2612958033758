"""One connection to a backend, and the attempt that it carries.

A connection carries one request at a time. Which connections are opened, reused and closed is
decided elsewhere (`pool.py`, `backends.py`).
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import re
import socket
from collections.abc import Callable
from typing import Protocol

import httptools

from cairndale.ingress.net.engine import AttemptContext, AttemptResult, RequestData
from cairndale.ingress.net.http import (
    HOP_BY_HOP,
    HttpConnection,
    Message,
    ResponseHeadRules,
    encode_end_to_end_fields,
)
from cairndale.ingress.policy.interface import Outcome

# The first part of a response of unknown length is buffered this long before it is streamed.
UNKNOWN_LENGTH_DELAY_S = 0.05
# The timeout parameter of a Keep-Alive field, in whole seconds.
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,;\s])timeout=([0-9]{1,6})")

ResultCallback = Callable[[AttemptResult], None]
# Derives the outcome of an attempt from the response and the request that was sent.
ResponseClassifier = Callable[[Message, bytes], AttemptResult]
# Operators' settings name log levels by `net.backends`.
log = logging.getLogger("cairndale.ingress.net.backends")


class UpstreamPool(Protocol):
    """What connections and attempts need of the pool of their backend."""

    address: tuple[str, int]
    name: str
    last_received_at: float  # when any connection last received something, s

    @property
    def relays_responses(self) -> bool:
        """Whether responses of any status are forwarded, with all fields."""

    @property
    def classifier(self) -> ResponseClassifier | None:
        """Classifies responses, unless the backends speak the platform's protocol."""

    @property
    def written_at_first_byte(self) -> bool:
        """Whether a request counts as written from its first byte on."""

    @staticmethod
    def now() -> float:
        """Return the event loop's time, s."""

    def request_connection(self, exchange: Exchange) -> None:
        """Send the attempt on an idle connection, or queue it for one."""

    def release(self, connection: UpstreamConnection, reusable: bool) -> None:
        """Return a connection to the pool after an exchange."""

    def connection_closed(self, connection: UpstreamConnection, under_request: bool) -> None:
        """Account for a connection that either side has closed."""

    def attempt_cancelled(self, exchange: Exchange) -> None:
        """Remove an attempt from the queue for a connection."""

    def attempt_unanswered(self, since: float) -> None:
        """Distrust idle connections if the backend has sent nothing since the time `since`."""

    def keep_alive_announced(self, seconds: int) -> None:
        """Adapt the idle timeout to the one that the backend announces."""


class Exchange:
    """An attempt: waits for a connection, is written, and ends once, with a result.

    `written`: the attempt may have run at the backend.
    """

    __slots__ = (
        "_on_result",
        "_pool",
        "connection",
        "context",
        "data",
        "finished",
        "fully_sent",
        "sent_at",
        "written",
    )

    def __init__(
        self,
        data: RequestData,
        on_result: ResultCallback,
        context: AttemptContext | None = None,
        pool: UpstreamPool | None = None,
    ) -> None:
        self.data, self._on_result, self.context, self._pool = data, on_result, context, pool
        self.connection: UpstreamConnection | None = None
        self.sent_at = math.inf
        self.written = self.finished = False
        self.fully_sent = False  # its last byte is written or buffered

    def end(self, result: AttemptResult) -> None:
        """Report the result, unless the attempt has ended already."""
        if not self.finished:
            self.finished = True
            self._on_result(result)

    def fail(self) -> None:
        """End without a response; the attempt may have run only if it was written."""
        self.end(AttemptResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def fail_unsent(self) -> None:
        """End because no connection was available, which is not a fault of the backend."""
        self.end(AttemptResult(Outcome.MOOT))

    def write_body(self, data: bytes) -> None:
        """Write a part of the streamed request body."""
        if self.connection and not self.connection.closed:
            self.connection.transport.write(data)

    def body_written(self) -> None:
        """Note that the last byte of the streamed request body has been written."""
        self.written = self.fully_sent = True

    def pause(self, paused: bool) -> None:
        """Pause or resume reading the response, while the client's write buffer is full."""
        if self.connection and not self.connection.closed:
            (
                self.connection.transport.pause_reading
                if paused
                else self.connection.transport.resume_reading
            )()
            self.connection.last_part_at = math.inf if paused else self.connection.pool.now()

    def abort(self) -> bool:
        """Abort the attempt without a result. Return whether it may have run."""
        self.finished = True
        if self.connection is None and self._pool:
            self._pool.attempt_cancelled(self)
        if self.connection:
            if self._pool and not self.connection.streaming:
                self._pool.attempt_unanswered(self.sent_at)
            self.connection.disconnect()
        return self.written


class UpstreamConnection(HttpConnection):
    """One connection to a backend.

    It uses its socket directly beside the transport: a send shows at once how much was written, a
    peek shows whether the connection is still open, and a shutdown takes effect before anything
    else is sent.
    """

    def __init__(self, pool: UpstreamPool, sock: socket.socket) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.pool, self.sock, self.address = pool, sock, pool.address
        self.keep_fields = pool.relays_responses
        self.exchange: Exchange | None = None
        self.reset_unanswered = False  # closed under a request, before any response byte
        self.closed = self.streaming = False  # streaming: a response is streamed to the client
        self.desynchronized = False  # it has received a response to another request
        self.last_request_id = b""  # of the last request that was answered on it
        # When the last part of a streamed response was received; inf while reading is paused.
        self.last_part_at = math.inf
        self._buffer_timer: asyncio.TimerHandle | None = None
        self._head_rules = ResponseHeadRules()

    def send(self, exchange: Exchange) -> None:
        """Write an attempt's request, as far as the socket takes it, and buffer the rest."""
        if (
            exchange.context
            and exchange.context.request_id
            and exchange.context.request_id == self.last_request_id
        ):
            # A duplicate response to the previous attempt, which carries the same id and may still
            # be in transit, would be mistaken for the response to this one.
            self.disconnect()
            self.pool.request_connection(exchange)
            return
        data = exchange.data if isinstance(exchange.data, bytes) else exchange.data()
        if data is None:  # the attempt is withdrawn before its first byte is written
            self.pool.release(self, True)
            exchange.fail_unsent()
            return
        exchange.data = data
        self.exchange, exchange.connection, exchange.sent_at = exchange, self, self.pool.now()
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.disconnect()
            exchange.fail()
            return
        upload = exchange.context.upload if exchange.context else None
        exchange.fully_sent = upload is None
        exchange.written = exchange.fully_sent or self.pool.written_at_first_byte
        if sent < len(data):  # from here on the last byte may be written at any time
            self.transport.write(data[sent:])
        if upload:
            self.transport.set_write_buffer_limits(upload.buffer_limit())
            upload.attach(exchange)

    def is_usable(self) -> bool:
        """Return False if the backend has closed the idle connection or sent unexpected data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            pass
        return False

    def disconnect(self) -> None:
        """Close the connection at once."""
        if not self.closed:
            self.closed = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
            self.pool.connection_closed(self, self.reset_unanswered)

    def pause_writing(self) -> None:
        self._set_upload_paused(True)

    def resume_writing(self) -> None:
        self._set_upload_paused(False)

    def _set_upload_paused(self, paused: bool) -> None:
        if self.exchange and self.exchange.context and self.exchange.context.upload:
            self.exchange.context.upload.pause(paused)

    def data_received(self, data: bytes) -> None:
        self.pool.last_received_at = self.pool.now()
        if self.exchange is None:
            # Unexpected data: the rest of it would be taken for the next response.
            self.disconnect()
            return
        head_begun = self._in_head and self._message_begun
        self._head_rules.read_began(data, head_begun, not self._in_head)
        super().data_received(data)
        self._head_rules.read_ended(self._in_head and self._message_begun)

    def on_status(self, part: bytes) -> None:
        self._head_rules.check_reason(part)

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._head_rules.message_ended()

    def check_head(self, message: Message) -> None:
        version = self._parser.get_http_version()
        self._head_rules.check_head(message.status, version, message.headers)

    def head_received(self, message: Message) -> None:
        """Buffer the start of a response of unknown length for a short time.

        It may be short, and the request can be retried until a part of the response has been
        forwarded. It may also be large and slow, so it is not buffered for long.
        """
        served = self._classify(message).outcome is Outcome.OK
        if message.length is None and served and not message.streamed:
            self._buffer_timer = asyncio.get_running_loop().call_later(
                UNKNOWN_LENGTH_DELAY_S, self._stream_buffered, message
            )

    def _stream_buffered(self, message: Message) -> None:
        if message is self._message and not (self._in_head or message.streamed or self.closed):
            self.stream_body()
            self._run_hooks()

    def body_began(self, message: Message) -> None:
        exchange, result = self.exchange, self._classify(message)
        if result.outcome is Outcome.MOOT:  # a response to another request: ignored
            self.desynchronized = True
        elif result.outcome is not Outcome.OK or exchange is None or exchange.context is None:
            self._finish_early(exchange, result)
        elif exchange.context.on_head(result):
            self.streaming, self.last_part_at = True, self.pool.now()
        else:  # the response is not needed any more
            self._finish_early(exchange, result)

    def body_part_received(self, message: Message, data: bytes) -> None:
        if self.streaming and self.exchange and self.exchange.context:
            if self.last_part_at < math.inf:
                self.last_part_at = self.pool.now()
            self.exchange.context.on_body_part(data)

    def body_ended(self, message: Message) -> None:
        if self.streaming:
            self.streaming = False
            self.message_received(message)

    def _finish_early(self, exchange: Exchange | None, result: AttemptResult) -> None:
        """End the attempt at the response's head, without reading the body."""
        self.exchange = None
        self.disconnect()
        if exchange:
            exchange.end(result)

    def is_stalled(self, since: float) -> bool:
        """Return whether the streamed response has made no progress since `since`."""
        return self.streaming and self.last_part_at < since

    def message_received(self, message: Message) -> None:
        exchange = self.exchange
        if self._buffer_timer:
            self._buffer_timer.cancel()
        result = self._classify(message)
        if (100 <= message.status < 200 or result.outcome is Outcome.MOOT) and exchange:
            self.desynchronized = self.desynchronized or result.outcome is Outcome.MOOT
            return
        self.exchange, self.last_request_id = (
            None,
            exchange.context.request_id if exchange and exchange.context else b"",
        )
        if keep_alive := KEEP_ALIVE_TIMEOUT.search(message.headers.get(b"keep-alive", b"")):
            self.pool.keep_alive_announced(int(keep_alive[1]))
        # The connection cannot be reused if the backend answered before it had read the whole
        # request, or if it sent more than one response: a part of another message, data that is not
        # HTTP, or complete messages. The next request would take them for its response.
        not_reusable = (
            self.transport.get_write_buffer_size() > 0 or self._message_begun or self._framing_lost
        )
        not_reusable = (
            not_reusable
            or bool(self._hooks)
            or self.desynchronized
            or not (exchange and exchange.fully_sent)
        )
        self.pool.release(self, message.keep_alive and not not_reusable)
        if exchange:
            exchange.end(result)

    def _classify(self, message: Message) -> AttemptResult:
        """Return the outcome that a response stands for.

        OK: status 200, or any response of a server that can serve if all responses are relayed.
        MOOT: the response belongs to another request.
        """
        if classify := self.pool.classifier:
            request = self.exchange.data if self.exchange else b""
            result = classify(message, request if isinstance(request, bytes) else b"")
            if result.outcome is Outcome.ERROR and message.status >= 200:
                # The response cannot be attributed: the expected one may still follow.
                self.desynchronized = True
            return result
        headers, status = message.headers, message.status
        load = headers.get(b"server-load", b"")
        if self.keep_fields and status not in (502, 503, 504):
            fields = encode_end_to_end_fields(message, HOP_BY_HOP)
            return AttemptResult(
                Outcome.OK, message.body, length=message.length, status=status, fields=fields
            )
        if status == 200:
            return AttemptResult(
                Outcome.OK, message.body, headers.get(b"content-type", b""), load, message.length
            )
        if status in (503, 504) and headers.get(b"not-started") == b"1":
            return AttemptResult(Outcome.FULL, load=load)
        return AttemptResult(Outcome.ERROR, load=load)  # it may have run

    def message_invalid(self, status: int) -> None:
        log.warning("backend %s: invalid response: %s", self.pool.name, self.parse_error)
        self._connection_gone()

    def eof_received(self) -> None:
        self.connection_ended()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection_gone()

    def _connection_gone(self) -> None:
        if self._buffer_timer:
            self._buffer_timer.cancel()
        exchange, self.exchange = self.exchange, None
        self.reset_unanswered = (
            exchange is not None and not self._message_begun and not self.parse_error
        )
        self.disconnect()
        if exchange:
            exchange.fail()
