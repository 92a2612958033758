"""Encodes responses, and knows which fields concern a single connection."""

from __future__ import annotations

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
