"""Rules for the heads of HTTP/1.1 responses that the parser does not hold a peer to.

The parser (llhttp, by httptools) rejects names, values, lengths and chunks that break RFC 9112. It
accepts any three digits as a status. Source: RFC 9110 (15).
"""

from __future__ import annotations

from collections.abc import Mapping

VALID_STATUSES = range(100, 600)


class InvalidResponseError(ValueError):
    """A response breaks RFC 9110 or RFC 9112, or has ended early."""


def check_framing(headers: Mapping[bytes, bytes]) -> int | None:
    """Return the Content-Length of a message, None if it has none. Raises ValueError.

    Two recipients of a message that is framed in two ways could disagree on where it ends (request
    smuggling).
    """
    length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
    if (length is not None and (coding is not None or not length.isdigit())) or (
        coding is not None and coding.strip().lower() != b"chunked"
    ):
        raise ValueError(f"contradictory framing: length {length!r}, coding {coding!r}")
    return int(length) if length is not None else None


class ResponseHeadRules:
    """Checks the heads of the responses on one connection, in order."""

    def check_head(self, status: int) -> None:
        """Check a complete head whose framing has been checked. Raises InvalidResponseError."""
        if status not in VALID_STATUSES:
            raise InvalidResponseError(f"status {status:03d} is out of range")
