"""HTTP/1.1 messages off a connection, within limits: what the client side and the backend side
share."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import httptools

from cairndale.ingress.net.bodies import Upload

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_BUFFERED_BODY_BYTES = (
    64 * 1024
)  # a body up to here is collected, and can be sent again or asked for again
READ_BUFFER_BYTES = 64 * 1024  # bytes read at once
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    507: b"Insufficient Storage",
}


HOP_BY_HOP = {  # RFC 9110, 7.6.1, and what frames a message
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"content-length",
}
BODYLESS_STATUSES = (204, 304)  # their answers have no body, and no length of one


def reason_phrase(status: int) -> bytes:
    if (
        status not in REASON_PHRASES
    ):  # only where answers are relayed; the table of all costs every start
        from http import HTTPStatus

        REASON_PHRASES[status] = (
            HTTPStatus(status).phrase.encode() if status in set(HTTPStatus) else b"Other"
        )
    return REASON_PHRASES[status]


def encode_response(status: int, body: bytes, headers: bytes = b"", close: bool = False) -> bytes:
    """A whole answer of known length."""
    end = b"Connection: close\r\n" if close else b""
    if status in BODYLESS_STATUSES:
        return b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (status, reason_phrase(status), headers, end)
    head = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n"
    return head % (status, reason_phrase(status), headers, end, len(body)) + body


class Message:
    """A request (method, target) or an answer (status). Its body is there whole, or comes in
    parts."""

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
        self.minor_version = 1  # of HTTP/1's version
        self.headers: dict[bytes, bytes] = {}
        self.fields: list[tuple[bytes, bytes]] = []  # as they came, where they go on
        # announced; None: chunked, or until the end of the connection
        self.length: int | None = None
        self.body = b""
        self.streamed = False
        self.upload: Upload | None = None
        self.keep_alive = True


class HttpConnection(asyncio.BufferedProtocol):
    """Reads messages. A small body is collected; a large one is handed on in parts, each as it
    comes. Hooks are called once the parser has returned, so that an error in handling one is never
    mistaken for an error in parsing it."""

    transport: asyncio.Transport
    keep_fields = False
    max_head, max_body = MAX_HEAD_BYTES, MAX_BODY_BYTES  # bytes that are taken
    # one for all: what has come is copied out before the next read
    _read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def __init__(self, parser: type[Any]) -> None:
        self._parser = parser(self)
        self._message = Message()
        self._hooks: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._parts: list[bytes] = []
        self._head_bytes = 0  # bytes since the message began, while its head is open
        self._size = 0  # of the head's fields, then of the body
        self._in_head = True
        self._message_begun = False  # some of the next message has come
        self._error_status = 0  # the status that says so
        self._framing_lost = False
        self.parse_error = ""  # what the parser found wrong

    # For the two sides to fill in.

    def message_received(self, message: Message) -> None:
        """A message whose body was collected."""
        raise NotImplementedError

    def message_invalid(self, status: int) -> None:
        """What came is not HTTP, or too large: nothing after it can be read."""
        raise NotImplementedError

    def message_began(self) -> None:
        """The first byte of a message has come."""

    def head_received(self, message: Message) -> None:
        """Its head has come; the body has not."""

    def body_began(self, message: Message) -> None:
        """The body is a large one: `part` and `ended` follow in place of `received`."""
        self._framing_lost = True
        self.message_invalid(413)

    def body_part_received(self, message: Message, data: bytes) -> None:
        """Some of a large body."""

    def body_ended(self, message: Message) -> None:
        """A large body is whole."""

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
        bad = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            bad, self.parse_error = self._error_status or 400, str(error.__context__ or error)
        if self._in_head and self._head_bytes > self.max_head:  # a head that never ends
            bad = bad or 431
        self._framing_lost = bad > 0
        self._run_hooks()
        if bad:
            self.message_invalid(bad)

    def _run_hooks(self) -> None:
        """What is still to be called is seen by those before it: more was read than they are
        about."""
        while self._hooks:
            hook, args = self._hooks.popleft()
            hook(*args)

    def connection_ended(self) -> None:
        """At the sender's orderly end: a body with neither length nor chunks is whole now."""
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
        """From here on the body is handed on as it comes, with what was collected first."""
        message, parts = self._message, self._parts
        message.streamed, self._parts = True, []
        self._hooks.append((self.body_began, (message,)))
        self._hooks += [(self.body_part_received, (message, part)) for part in parts]

    # httptools' callbacks. It wraps what they raise, so limits are noted in `_too_large`.

    def on_message_begin(self) -> None:
        self._message, self._parts, self._size, self._in_head = Message(), [], 0, True
        self._message_begun = True
        self.message_began()

    def on_url(self, part: bytes) -> None:
        self._message.target += part
        self._limit(len(self._message.target), self.max_head, 431)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value) + 4
        # a trailer: read, and no more than a head's worth, but of no use here
        if not self._in_head:
            self._head_bytes += len(name) + len(value) + 4
            self._limit(self._head_bytes, self.max_head, 431)
            return
        value = value.strip(b" 	")
        if self.keep_fields:
            self._message.fields.append((name, value))
        headers, name = self._message.headers, name.lower()
        before = headers.get(name)
        headers[name] = value if before is None else before + b", " + value
        self._limit(self._size, self.max_head, 431)

    def on_headers_complete(self) -> None:
        message, self._in_head, self._head_bytes, self._size = self._message, False, 0, 0
        length, coding = (
            message.headers.get(b"content-length"),
            message.headers.get(b"transfer-encoding"),
        )
        if (length is not None and (coding is not None or not length.isdigit())) or (
            coding is not None and coding.strip().lower() != b"chunked"
        ):
            self._error_status = 400  # each reader could take another end for the right one
            raise ValueError(f"contradictory framing: length {length!r}, coding {coding!r}")
        message.length = int(length) if length is not None else None
        message.minor_version = 0 if self._parser.get_http_version() == "1.0" else 1
        message.keep_alive = self._parser.should_keep_alive()
        if isinstance(self._parser, httptools.HttpRequestParser):
            message.method = self._parser.get_method()
        else:
            message.status = self._parser.get_status_code()
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
        message.body, self._parts = b"".join(self._parts), []
        self._hooks.append(
            (self.body_ended if message.streamed else self.message_received, (message,))
        )

    def _limit(self, size: int, most: int, status: int) -> None:
        if size > most:
            self._error_status = status
            raise ValueError("too large")
