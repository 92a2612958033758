"""Rules for the heads of HTTP/1.1 responses that the parser does not hold a peer to.

The parser (llhttp, by httptools) rejects names, values, lengths and chunks that break RFC 9112. It
accepts any three digits as a status, any bytes as a reason, the versions and protocols that its
other users need, and fields that frame a body where there may be none. Sources: RFC 9110 (2.5, 8.6,
15), RFC 9112 (2.3, 4, 6.1, 6.3).
"""

from __future__ import annotations

import re
from collections.abc import Mapping

VALID_STATUSES = range(100, 600)
VALID_VERSIONS = ("1.0", "1.1")
NO_CONTENT = 204
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # but for the tab


class InvalidResponseError(ValueError):
    """A response breaks RFC 9110 or RFC 9112, or has ended early."""


class IncompleteResponseError(InvalidResponseError):
    """A response has ended early; what came of it is valid."""


def is_interim(status: int) -> bool:
    """Return whether a response of this status (1xx) precedes the final one."""
    return 100 <= status < 200


def field_value(name: bytes, value: bytes) -> bytes:
    """Return a field's value, as the parser has it, without white space around it.

    `name`: in lower case. The parser does not decode a body whose coding is `chunked` and a tab,
    so that tab stays, for `check_framing` to refuse.
    """
    return value.strip(b" " if name == b"transfer-encoding" else b" \t")


def check_framing(headers: Mapping[bytes, bytes]) -> int | None:
    """Return the Content-Length of a message, None if it has none. Raises ValueError.

    Two recipients of a message that is framed in two ways could disagree on where it ends (request
    smuggling).
    """
    length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
    if (length is not None and (coding is not None or not length.isdigit())) or (
        coding is not None and coding.lower() != b"chunked"
    ):
        raise ValueError(f"contradictory framing: length {length!r}, coding {coding!r}")
    return int(length) if length is not None else None


class ResponseHeadRules:
    """Checks the heads of the responses on one connection, in order."""

    def __init__(self) -> None:
        # The data that may hold the head: of the present read, and of those in which it began.
        self._received = b""
        self._begins_read = True  # whether the head stands at the beginning of that data

    def read_began(self, data: bytes, head_begun: bool, body_begun: bool) -> None:
        """Note data before it is parsed; it continues a head, or a body, or neither."""
        if head_begun:
            self._received += data
        else:
            self._received, self._begins_read = data, not body_begun

    def read_ended(self, head_begun: bool) -> None:
        """Release the data, unless it ends within a head."""
        if not head_begun:
            self._received = b""

    def message_ended(self) -> None:
        """Note the end of a response; the next one may begin within the same read."""
        self._begins_read = False

    def check_reason(self, part: bytes) -> None:
        """Check a part of the reason phrase. Raises InvalidResponseError."""
        if CONTROL_BYTE.search(part):
            raise InvalidResponseError("control byte in the reason")

    def check_head(self, status: int, version: str, headers: Mapping[bytes, bytes]) -> None:
        """Check a complete head whose framing has been checked. Raises InvalidResponseError."""
        if status not in VALID_STATUSES:
            raise InvalidResponseError(f"status {status:03d} is out of range")
        if version not in VALID_VERSIONS:
            raise InvalidResponseError(f"version {version}")
        if not self._has_status_line(b"HTTP/%b %d" % (version.encode(), status)):
            raise InvalidResponseError("the protocol is not HTTP")
        is_coded = b"transfer-encoding" in headers
        if is_coded and version == "1.0":
            raise InvalidResponseError("Transfer-Encoding in HTTP/1.0")
        has_body = is_coded or int(headers.get(b"content-length", b"0")) > 0
        if has_body and (is_interim(status) or status == NO_CONTENT):
            raise InvalidResponseError(f"status {status} with a body")

    def _has_status_line(self, status_line: bytes) -> bool:
        """Return whether the head begins like this: the parser does not tell the protocol's name.

        Where in a read a response begins that follows another one is not known; so there the line
        may stand anywhere.
        """
        if self._begins_read:
            return self._received.lstrip(b"\r\n").startswith(status_line)
        return status_line in self._received
