"""Responses that break RFC 9110 or RFC 9112, as a server in trouble may send them.

None of them may reach a client as a response. Each is made from the fields and the body that the
server would have sent in a valid one.
"""

from __future__ import annotations

from collections.abc import Callable

ResponseBuilder = Callable[[bytes, bytes], bytes]


def _sized(
    status_line: bytes = b"HTTP/1.1 200 OK",
    length_name: bytes = b"Content-Length",
    extra: bytes = b"",
    before: bytes = b"",
) -> ResponseBuilder:
    """A response with a length; `extra`: a field line, `before`: an interim response."""

    def build(fields: bytes, body: bytes) -> bytes:
        head = b"%b%b\r\n%b%b%b: %d\r\n\r\n"
        return head % (before, status_line, fields, extra, length_name, len(body)) + body

    return build


def _chunked(
    status_line: bytes = b"HTTP/1.1 200 OK",
    coding: bytes = b"chunked",
    size_prefix: bytes = b"",
    end: bytes = b"0\r\n\r\n",
    extra: bytes = b"",
) -> ResponseBuilder:
    def build(fields: bytes, body: bytes) -> bytes:
        head = b"%b\r\n%b%bTransfer-Encoding: %b\r\n\r\n" % (status_line, fields, extra, coding)
        return head + b"%b%x\r\n%b\r\n" % (size_prefix, len(body), body) + end

    return build


EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
SWITCHING = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"

# Malformed in the status line or the fields: nothing of them may be relayed.
MALFORMED_HEADS: dict[str, ResponseBuilder] = {
    **{f"status {code}": _sized(b"HTTP/1.1 %b OK" % code.encode()) for code in ("000", "099")},
    **{f"status {code}": _sized(b"HTTP/1.1 %b OK" % code.encode()) for code in ("600", "999")},
    "status of two digits": _sized(b"HTTP/1.1 20 OK"),
    "status 000 after a 1xx": _sized(b"HTTP/1.1 000 OK", before=EARLY_HINTS),
    "status 000 in chunks": _chunked(b"HTTP/1.1 000 OK"),
    "version 0.9": _sized(b"HTTP/0.9 200 OK"),
    "version 2.0": _sized(b"HTTP/2.0 200 OK"),
    "protocol RTSP": _sized(b"RTSP/1.0 200 OK"),
    "protocol ICE": _sized(b"ICE/1.1 200 OK"),
    "protocol ICE after a 1xx": _sized(b"ICE/1.1 200 OK", before=EARLY_HINTS),
    "control byte in the reason": _sized(b"HTTP/1.1 200 O\x00K"),
    "blank in a name": _sized(extra=b"X Y: 1\r\n"),
    "blank before a name": _sized(extra=b" X: 1\r\n"),
    "blank behind a name": _sized(length_name=b"Content-Length "),
    "tab behind a name": _sized(length_name=b"Content-Length\t"),
    "blank behind a name after a 1xx": _sized(extra=b"X : 1\r\n", before=EARLY_HINTS),
    "NUL in a name": _sized(length_name=b"Content-\x00Length"),
    "control byte in a name": _sized(length_name=b"Content-Length\x0b"),
    "blank in the name of the coding": _chunked(extra=b"Transfer -Encoding: chunked\r\n"),
    "no name": _sized(extra=b": 1\r\n"),
    "no colon": _sized(extra=b"X\r\n"),
    "control byte in a value": _sized(extra=b"X: a\x01b\r\n"),
    "carriage return in a value": _sized(extra=b"X: a\rb\r\n"),
    "folded value": _sized(extra=b"X: a\r\n b\r\n"),
    "two lengths": _sized(extra=b"Content-Length: 1\r\n"),
    "signed length": _sized(length_name=b"Content-Length: +1\r\nX"),
    "length and coding": _chunked(extra=b"Content-Length: 1\r\n"),
    "unknown coding": _chunked(coding=b"gzip, chunked"),
    "coding in HTTP/1.0": _chunked(b"HTTP/1.0 200 OK"),
    "204 with a length": _sized(b"HTTP/1.1 204 No Content"),
    "204 with a coding": _chunked(b"HTTP/1.1 204 No Content"),
    "protocol switched unasked": _sized(before=SWITCHING),
    "version 2.0 in a 1xx": _sized(before=EARLY_HINTS.replace(b"HTTP/1.1", b"HTTP/2.0")),
    "blank in a name of a 1xx": _sized(before=EARLY_HINTS.replace(b"Link", b"Li nk")),
    "1xx with a length": _sized(before=EARLY_HINTS.replace(b"Link: </a>", b"Content-Length: 9")),
}
# Malformed behind the head: a part may be relayed, never as a complete response.
MALFORMED_ENDS: dict[str, ResponseBuilder] = {
    "chunk size no number": _chunked(size_prefix=b"0x"),
    "chunk longer than its size": _chunked(end=b"surplus\r\n0\r\n\r\n"),
    "blank in the name of a trailer": _chunked(end=b"0\r\nX Y: 1\r\n\r\n"),
    "control byte in the name of a trailer": _chunked(end=b"0\r\nX\x01: 1\r\n\r\n"),
    "length in a trailer": _chunked(end=b"0\r\nContent-Length: 1\r\n\r\n"),
}
MALFORMED = MALFORMED_HEADS | MALFORMED_ENDS
