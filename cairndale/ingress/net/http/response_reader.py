"""Reads single responses, for clients without a connection pool: list service, command lines."""

from __future__ import annotations

import httptools

from cairndale.ingress.net.http.connection import MAX_HEAD_BYTES
from cairndale.ingress.net.http.response_rules import (
    IncompleteResponseError,
    InvalidResponseError,
    ResponseHeadRules,
    check_framing,
    field_value,
    is_interim,
)


class ResponseReader:
    """Reads one response from the bytes of a connection, and checks it as the ingress does.

    Interim responses (1xx) before it are skipped.
    """

    def __init__(self) -> None:
        self.status = 0  # of the final response, once its head is complete
        self.complete = False
        self.keep_alive = False  # the connection may be used again, once this is complete
        self._parser = httptools.HttpResponseParser(self)
        self._rules = ResponseHeadRules()
        self._headers: dict[bytes, bytes] = {}
        self._head_begun = False
        self._head_bytes = 0
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> bytes:
        """Parse received data, and return the parts of the body in it.

        Raises InvalidResponseError for what is no valid response, or stands behind it.
        """
        self._rules.read_began(data, self._head_begun, self.status != 0)
        if not self.status:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise InvalidResponseError(str(error.__context__ or error)) from error
        self._rules.read_ended(self._head_begun)
        if not self.status and self._head_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError("the head is too long")
        body, self._body = b"".join(self._body), []
        return body

    def end(self) -> None:
        """Note the orderly end of the connection, which completes a body without length or chunks.

        Raises IncompleteResponseError if the response is not complete.
        """
        has_end = self._headers.keys() & {b"content-length", b"transfer-encoding"}
        if not self.complete and (has_end or not self.status):
            raise IncompleteResponseError("the response ended early")
        self.complete = True

    # Callbacks of httptools, which reports exceptions that they raise as its own.

    def on_message_begin(self) -> None:
        if self.complete:
            raise InvalidResponseError("data behind the response")
        self._head_begun = True
        self._headers = {}

    def on_status(self, part: bytes) -> None:
        self._rules.check_reason(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_begun:  # trailers are dropped
            name = name.lower()
            value, before = field_value(name, value), self._headers.get(name)
            self._headers[name] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        self._head_begun = False
        check_framing(self._headers)
        status = self._parser.get_status_code()
        self._rules.check_head(status, self._parser.get_http_version(), self._headers)
        self.status = 0 if is_interim(status) else status

    def on_body(self, part: bytes) -> None:
        self._body.append(part)

    def on_message_complete(self) -> None:
        self.complete = self.status != 0
        self.keep_alive = self._parser.should_keep_alive()
        self._rules.message_ended()


class LineReader:
    """Splits the body of a response that never ends into lines."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial_line = b""

    def feed(self, part: bytes) -> list[bytes]:
        """Return the lines that are complete now. Raises InvalidResponseError for a long one."""
        *lines, self._partial_line = (self._partial_line + part).split(b"\n")
        if len(self._partial_line) > self._max_line_bytes:
            raise InvalidResponseError(f"line longer than {self._max_line_bytes} bytes")
        return lines
