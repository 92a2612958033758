"""HTTP/1.1 messages, of clients and of servers: read from connections, checked, encoded."""

from cairndale.ingress.net.http.client import Response, call, call_blocking, encode_call
from cairndale.ingress.net.http.connection import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    HttpConnection,
    Message,
)
from cairndale.ingress.net.http.encoding import (
    BODYLESS_STATUSES,
    HOP_BY_HOP,
    encode_end_to_end_fields,
    encode_response,
    reason_phrase,
)
from cairndale.ingress.net.http.response_reader import LineReader, ResponseReader
from cairndale.ingress.net.http.response_rules import (
    IncompleteResponseError,
    InvalidResponseError,
    ResponseHeadRules,
)

__all__ = [
    "BODYLESS_STATUSES",
    "HOP_BY_HOP",
    "MAX_BODY_BYTES",
    "MAX_BUFFERED_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "HttpConnection",
    "IncompleteResponseError",
    "InvalidResponseError",
    "LineReader",
    "Message",
    "Response",
    "ResponseHeadRules",
    "ResponseReader",
    "call",
    "call_blocking",
    "encode_call",
    "encode_end_to_end_fields",
    "encode_response",
    "reason_phrase",
]
