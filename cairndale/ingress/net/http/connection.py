"""Reads HTTP/1.1 messages from a connection, within size limits; for clients and for backends."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import httptools

from cairndale.ingress.net.bodies import Upload
from cairndale.ingress.net.http.response_rules import check_framing, field_value

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Bodies up to this size are buffered, so that the request can be retried; larger ones are streamed.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
READ_BUFFER_BYTES = 64 * 1024


class Message:
    """A request (method, target) or a response (status); its body is complete or streamed."""

    __slots__ = (
        "body",
        "fields",
        "headers",
        "keep_alive",
        "length",
        "method",
        "minor_version",
        "status",
        "streamed",
        "target",
        "upload",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.status = 0
        self.minor_version = 1  # 0 for HTTP/1.0
        self.headers: dict[bytes, bytes] = {}
        self.fields: list[tuple[bytes, bytes]] = []  # as received, if `keep_fields`
        # Content-Length; None: chunked, or until the connection is closed.
        self.length: int | None = None
        self.body = b""
        self.streamed = False
        self.upload: Upload | None = None
        self.keep_alive = True


class HttpConnection(asyncio.BufferedProtocol):
    """A connection that reads messages and calls a hook for each event.

    Small bodies are buffered; large ones are passed on in parts as they are received. Hooks are
    called after the parser has returned, so that an error in a hook is never mistaken for a parse
    error.
    """

    transport: asyncio.Transport
    keep_fields = False
    max_head, max_body = MAX_HEAD_BYTES, MAX_BODY_BYTES  # larger messages are rejected
    # Shared by all connections: received data is copied out before the next read.
    _read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def __init__(self, parser: type[Any]) -> None:
        self._parser = parser(self)
        self._message = Message()
        self._hooks: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._parts: list[bytes] = []
        self._head_bytes = 0  # received since the message began, within the head
        self._size = 0  # bytes of the head's fields, then of the body
        self._in_head = True
        self._message_begun = False  # a part of the next message has been received
        self._error_status = 0  # status for the parse error that a callback raised
        self._framing_lost = False
        self.parse_error = ""

    # Hooks for subclasses.

    def message_received(self, message: Message) -> None:
        """A message with a buffered body is complete."""
        raise NotImplementedError

    def message_invalid(self, status: int) -> None:
        """A message is invalid or too large; nothing after it can be parsed."""
        raise NotImplementedError

    def message_began(self) -> None:
        """The first byte of a message has been received."""

    def check_head(self, message: Message) -> None:
        """Raise ValueError if the head, which the parser accepts, makes the message invalid."""

    def head_received(self, message: Message) -> None:
        """The head of a message is complete; its body is not."""

    def body_began(self, message: Message) -> None:
        """A streamed body begins.

        `body_part_received` and `body_ended` follow in place of `message_received`.
        """
        self._framing_lost = True
        self.message_invalid(413)

    def body_part_received(self, message: Message, data: bytes) -> None:
        """A part of a streamed body has been received."""

    def body_ended(self, message: Message) -> None:
        """A streamed body is complete."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._framing_lost:
            return
        if self._in_head:
            self._head_bytes += len(data)
        error_status = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            error_status, self.parse_error = (
                self._error_status or 400,
                str(error.__context__ or error),
            )
        if self._in_head and self._head_bytes > self.max_head:  # an endless head
            error_status = error_status or 431
        self._framing_lost = error_status > 0
        self._run_hooks()
        if error_status:
            self.message_invalid(error_status)

    def _run_hooks(self) -> None:
        """Call the pending hooks in order; each sees the later ones in `_hooks`.

        A hook can thus tell that more was received after its own message.
        """
        while self._hooks:
            hook, args = self._hooks.popleft()
            hook(*args)

    def connection_ended(self) -> None:
        """Handle the peer's orderly close, which completes a body without length or chunks."""
        message = self._message
        if (
            not self._in_head
            and message.length is None
            and b"transfer-encoding" not in message.headers
        ):
            message.keep_alive = False
            self.on_message_complete()
            self._run_hooks()

    def stream_body(self) -> None:
        """Stream the rest of the body, after the parts that are buffered already."""
        message, parts = self._message, self._parts
        message.streamed, self._parts = True, []
        self._hooks.append((self.body_began, (message,)))
        self._hooks += [(self.body_part_received, (message, part)) for part in parts]

    # Callbacks of httptools. It wraps the exceptions they raise, so the status of the error is
    # stored in `_error_status`.

    def on_message_begin(self) -> None:
        self._message, self._parts, self._size, self._in_head = Message(), [], 0, True
        self._message_begun = True
        self.message_began()

    def on_url(self, part: bytes) -> None:
        self._message.target += part
        self._limit(len(self._message.target), self.max_head, 431)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value) + 4
        # Trailer fields are discarded, and limited to the size of a head.
        if not self._in_head:
            self._head_bytes += len(name) + len(value) + 4
            self._limit(self._head_bytes, self.max_head, 431)
            return
        lower_name = name.lower()
        value = field_value(lower_name, value)
        if self.keep_fields:
            self._message.fields.append((name, value))
        headers, name = self._message.headers, lower_name
        before = headers.get(name)
        headers[name] = value if before is None else before + b", " + value
        self._limit(self._size, self.max_head, 431)

    def on_headers_complete(self) -> None:
        message, self._in_head, self._head_bytes, self._size = self._message, False, 0, 0
        message.length = check_framing(message.headers)
        message.minor_version = 0 if self._parser.get_http_version() == "1.0" else 1
        message.keep_alive = self._parser.should_keep_alive()
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method = self._parser.get_method()
        else:
            message.status = self._parser.get_status_code()
        self.check_head(message)
        self._limit(message.length or 0, self.max_body, 413)
        self._hooks.append((self.head_received, (message,)))
        if (message.length or 0) > MAX_BUFFERED_BODY_BYTES:
            self.stream_body()

    def on_body(self, part: bytes) -> None:
        message = self._message
        self._size += len(part)
        self._limit(self._size, self.max_body, 413)
        if message.streamed:
            self._hooks.append((self.body_part_received, (message, part)))
            return
        self._parts.append(part)
        if self._size > MAX_BUFFERED_BODY_BYTES:
            self.stream_body()

    def on_message_complete(self) -> None:
        message, self._in_head, self._head_bytes, self._message_begun = (
            self._message,
            True,
            0,
            False,
        )
        # A trailer may have told the parser that the connection ends here.
        message.keep_alive = message.keep_alive and self._parser.should_keep_alive()
        message.body, self._parts = b"".join(self._parts), []
        self._hooks.append(
            (self.body_ended if message.streamed else self.message_received, (message,))
        )

    def _limit(self, size: int, limit: int, status: int) -> None:
        if size > limit:
            self._error_status = status
            raise ValueError("too large")
