"""Encodes responses, and knows which fields concern a single connection."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from cairndale.ingress.net.http.connection import Message

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


HOP_BY_HOP = {  # RFC 9110, 7.6.1, and the fields that frame a message
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
BODYLESS_STATUSES = (204, 304)  # responses without body and without Content-Length


NO_OPTIONS = frozenset({b""})  # the options of an absent or empty `Connection` field


def _connection_options(headers: Mapping[bytes, bytes]) -> AbstractSet[bytes]:
    """Return the fields that `Connection` lists: they are hop-by-hop (RFC 9110, 7.6.1)."""
    named = headers.get(b"connection")
    if not named:
        return NO_OPTIONS
    return {name.strip().lower() for name in named.split(b",")}


def encode_end_to_end_fields(message: Message, excluded: AbstractSet[bytes]) -> bytes:
    """Encode the fields to forward, as received: all but `excluded` and what `Connection` lists.

    `excluded`: names in lower case, among them `HOP_BY_HOP`.
    """
    per_hop = _connection_options(message.headers)
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for name, value in message.fields
        if name.lower() not in excluded and name.lower() not in per_hop
    )


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status."""
    if status not in REASON_PHRASES:
        # Only for relayed responses: importing the full table would delay every start.
        from http import HTTPStatus

        REASON_PHRASES[status] = (
            HTTPStatus(status).phrase.encode() if status in set(HTTPStatus) else b"Other"
        )
    return REASON_PHRASES[status]


def encode_response(status: int, body: bytes, headers: bytes = b"", close: bool = False) -> bytes:
    """Encode a complete response."""
    connection = b"Connection: close\r\n" if close else b""
    if status in BODYLESS_STATUSES:
        return b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (status, reason_phrase(status), headers, connection)
    head = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n"
    return head % (status, reason_phrase(status), headers, connection, len(body)) + body
