"""The protocol between an ingress and its endpoints: forwarded headers, meaning of responses.

HTTP/1.1 (RFC 9110, RFC 9112) with additional fields: `X-Request-Id` pairs a request with its
response, `X-Not-Run` means that the endpoint has not processed the request.
"""

from __future__ import annotations

from cairndale.ingress.net.engine import AttemptResult
from cairndale.ingress.net.http import HOP_BY_HOP, Message, encode_end_to_end_fields
from cairndale.ingress.policy.interface import Outcome

REQUEST_ID = b"x-request-id"
NOT_RUN = b"x-not-run"
# Fields that only the system may set in requests to endpoints, or that endpoints must not receive.
RESERVED = {
    REQUEST_ID,
    b"x-deadline-ms",
    b"x-tenant",
    b"x-target-instance",
    b"authorization",
    b"expect",
    NOT_RUN,
}
NOT_FOR_ENDPOINTS = HOP_BY_HOP | RESERVED
NOT_FOR_CLIENTS = HOP_BY_HOP | {NOT_RUN}


def request_head(message: Message, request_id: bytes) -> bytes:
    """Return the request line and the fields that are the same for every endpoint and attempt.

    All of the client's fields are forwarded except hop-by-hop fields, its API key and fields that
    only the system may set. The caller adds the remaining fields and the empty line that ends the
    head.
    """
    head = b"%b %b HTTP/1.1\r\nX-Request-Id: %b\r\n" % (message.method, message.target, request_id)
    head += encode_end_to_end_fields(message, NOT_FOR_ENDPOINTS)
    if message.upload:
        length = message.upload.length
        return head + (
            b"Transfer-Encoding: chunked\r\n"
            if length is None
            else b"Content-Length: %d\r\n" % length
        )
    if message.body or message.method in (b"POST", b"PUT", b"PATCH"):
        head += b"Content-Length: %d\r\n" % len(message.body)
    return head


def request_id_of(sent: bytes) -> bytes:
    """Return the id of an encoded request: `request_head` puts it into the first field."""
    return sent.partition(b"\r\nX-Request-Id: ")[2].partition(b"\r\n")[0]


def classify_answer(message: Message, sent: bytes) -> AttemptResult:
    """Return the outcome of a sent request, derived from the endpoint's response.

    MOOT: the response belongs to another request. FULL: the response carries the request's id and
    says that the endpoint has not run the request. ERROR: the response carries no id, so nothing
    shows that it belongs to the request. OK: any other response; the endpoint has run the request,
    and the response is forwarded to the client. A response without a length is complete only if its
    connection was closed in order (RFC 9112, 8), which the connection checks.
    """
    headers, status = message.headers, message.status
    if headers.get(REQUEST_ID) != request_id_of(sent):
        return (
            AttemptResult(Outcome.MOOT) if REQUEST_ID in headers else AttemptResult(Outcome.ERROR)
        )
    if status == 421 or NOT_RUN in headers:
        return AttemptResult(Outcome.FULL)
    fields = encode_end_to_end_fields(message, NOT_FOR_CLIENTS)
    return AttemptResult(
        Outcome.OK, message.body, length=message.length, status=status, fields=fields
    )
