"""Reads a client request's customer, plan, class, deadline and quota units from its HTTP message.

Without `request` in the configuration, requests follow the platform's protocol exactly. With it,
the ingress is a proxy for any HTTP/1.1 servers: it forwards all header fields, and responses of any
status.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from os import urandom
from urllib.parse import parse_qs

from cairndale.ingress.net.engine import ClientRequest, NameTable
from cairndale.ingress.net.http import HOP_BY_HOP, Message, encode_end_to_end_fields
from cairndale.ingress.policy import interface as it

REQUEST_ID = re.compile(rb"[!-~]{1,128}")
CUSTOMER_COOKIE = re.compile(rb"(?:^|[;,])\s*customer=([0-9a-fA-F]{16})\s*(?=[;,]|$)")
TIMEOUT = re.compile(rb"([0-9]{1,12})([mu])")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
MAX_CUSTOMER = 1 << 33
ANONYMOUS = b"anonymous"  # the customer of requests that name none
# Fields of requests that the ingress sets itself, or that concern one connection.
NOT_FORWARDED = HOP_BY_HOP | {b"request-id", b"request-timeout", b"expect"}
METHODS = {b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"}
DURATION = re.compile(rb"([0-9]{1,6}(?:\.[0-9]{1,6})?)(ms|us|m|u|s)")
UNIT_US = {b"ms": 1000, b"m": 1000, b"us": 1, b"u": 1, b"s": 1_000_000}

RequestReader = Callable[[Message, NameTable, Sequence[it.RequestClass], int], "ClientRequest"]


class FieldError(Exception):
    """A field's value is invalid."""

    pass


class BadRequest(Exception):
    """A request is rejected as invalid, with this status and text."""

    def __init__(self, status: int, reason: str, retry_after: int = 0) -> None:
        super().__init__(reason)
        self.status, self.retry_after = status, retry_after  # us; 0: no advice


def read_request(
    message: Message, names: NameTable, classes: Sequence[it.RequestClass], began_at: int
) -> ClientRequest:
    """Read a request of the platform's protocol.

    Raises BadRequest, whose text tells the client what is invalid.
    """
    headers = message.headers
    if message.method not in (b"GET", b"POST"):
        raise BadRequest(405, "method not allowed: only GET and POST are supported")
    parts = message.target.partition(b"?")[0].split(b"/")
    cls = names.classes.get(parts[1]) if len(parts) > 1 and not parts[0] else None
    if cls is None:
        raise BadRequest(404, "unknown request class")
    plan = names.plans.get(headers.get(b"x-plan", b""))
    if plan is None:
        raise BadRequest(400, "X-Plan is missing or unknown")
    id = headers.get(b"request-id", b"")
    if not REQUEST_ID.fullmatch(id):
        raise BadRequest(400, "Request-Id is missing or invalid")
    cookie = CUSTOMER_COOKIE.search(headers.get(b"cookie", b""))
    customer = int(cookie[1], 16) if cookie else MAX_CUSTOMER
    if customer >= MAX_CUSTOMER:
        raise BadRequest(400, "cookie customer is missing or invalid")
    timeout_match = TIMEOUT.fullmatch(headers.get(b"request-timeout", b""))
    if timeout_match is None:
        raise BadRequest(400, "Request-Timeout is missing or invalid")
    timeout = min(
        int(timeout_match[1]) * (1000 if timeout_match[2] == b"m" else 1), classes[cls].deadline
    )
    units, spread, first = _quota(headers.get(b"x-quota", b""))
    retry = headers.get(b"client-retry") == b"1"
    head = _head(message, id)
    quota, body = (units, spread, first), (message.body, message.upload)
    return ClientRequest(id, cls, plan, customer, *quota, timeout, began_at, retry, head, *body)


def _quota(text: bytes) -> tuple[float, int, int]:
    fields = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
    try:
        values = [fields[name] for name in (b"units", b"spread", b"first")]
        if not all(NUMBER.fullmatch(v) for v in values):
            raise ValueError
        units, spread, first = float(values[0]), int(values[1]), int(values[2])
    except (KeyError, ValueError):
        raise BadRequest(400, "X-Quota is missing or invalid") from None
    if not (units > 0 and math.isfinite(units) and spread > 0):
        raise BadRequest(400, "X-Quota is out of range")
    return units, spread, first


def _head(message: Message, id: bytes) -> bytes:
    """Encode the head for the backend, without the Request-Timeout field and the final CRLF."""
    headers, body = message.headers, message.body
    host = headers.get(b"host", b"backend")
    head = b"%b %b HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\n" % (
        message.method,
        message.target,
        host,
        id,
    )
    if message.upload:
        length = message.upload.length
        head += (
            b"Transfer-Encoding: chunked\r\n"
            if length is None
            else b"Content-Length: %d\r\n" % length
        )
    elif body or message.method == b"POST":
        head += b"Content-Length: %d\r\n" % len(body)
    if kind := headers.get(b"content-type"):
        head += b"Content-Type: %b\r\n" % kind
    return head


def read_timeout(text: bytes) -> int:
    """Parse a duration and return it in us. Raises FieldError.

    Accepts the platform's forms, `500m` (ms) and `500000u` (us), and the common `500ms` and `5s`.
    """
    match = DURATION.fullmatch(text)
    if match is None or not (duration_us := round(float(match[1]) * UNIT_US[match[2]])):
        raise FieldError(
            f"found {text.decode('latin-1')!r}; expected a duration above 0, such as 500ms or 5s"
        )
    return duration_us


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Where a request's values are found: (source, name) pairs.

    A source is one of: header, cookie, query, constant.
    """

    customer: tuple[str, str]
    plan: tuple[str, str]
    timeout: tuple[str, str]
    units: tuple[str, str]
    customers: dict[str, str]  # plans by customer
    paths: tuple[tuple[bytes, bytes], ...]  # path prefixes and their classes, longest prefix first

    def reader(self) -> RequestReader:
        """Return the function that reads requests by these fields."""
        return self._read

    @staticmethod
    def number(name: bytes) -> int:
        """Return a customer's number, derived from its name and so the same at every ingress."""
        # Imported here as it loads OpenSSL, which the platform's ingress does not need at start.
        from hashlib import blake2b

        return int.from_bytes(blake2b(name, digest_size=8).digest()) % MAX_CUSTOMER

    def _read(
        self, message: Message, names: NameTable, classes: Sequence[it.RequestClass], began_at: int
    ) -> ClientRequest:
        """Read a request by the configured fields. Raises BadRequest."""
        if message.method not in METHODS:
            raise BadRequest(405, "method not allowed")
        path = message.target.partition(b"?")[0]
        class_name = next((name for start, name in self.paths if path.startswith(start)), b"")
        cls = names.classes.get(class_name)
        if cls is None:
            raise BadRequest(404, "no request class for this path")
        customer_name = _find(message, *self.customer) or ANONYMOUS
        plan_name = self.customers.get(customer_name.decode("latin-1"), "").encode() or _find(
            message, *self.plan
        )
        plan = names.plans.get(plan_name)
        if plan is None:
            raise BadRequest(403, "no plan for this customer")
        timeout = classes[cls].deadline
        if timeout_text := _find(message, *self.timeout):
            try:
                timeout = min(timeout, read_timeout(timeout_text))
            except FieldError:
                raise BadRequest(400, "the timeout is not a valid duration") from None
        units = _find(message, *self.units) or b"1"
        if not NUMBER.fullmatch(units) or not 0 < float(units) < math.inf:
            raise BadRequest(400, "the units are not a number above 0")
        id = message.headers.get(b"request-id", b"")
        id = id if REQUEST_ID.fullmatch(id) else urandom(8).hex().encode()
        customer = self.number(customer_name)
        spread = max(1, names.fleet_size)
        return ClientRequest(
            id,
            cls,
            plan,
            customer,
            float(units),
            spread,
            0,
            timeout,
            began_at,
            False,
            self._head(message, id),
            message.body,
            message.upload,
        )

    def _head(self, message: Message, id: bytes) -> bytes:
        """Encode the head for the backend, without the Request-Timeout field and the final CRLF.

        All fields are forwarded except hop-by-hop and framing fields, Expect, and the fields that
        the ingress sets itself (Request-Id, Request-Timeout).
        """
        head = b"%b %b HTTP/1.1\r\nRequest-Id: %b\r\n" % (message.method, message.target, id)
        head += encode_end_to_end_fields(message, NOT_FORWARDED)
        if message.upload:
            length = message.upload.length
            framing = b"Transfer-Encoding: chunked\r\n"
            head += framing if length is None else b"Content-Length: %d\r\n" % length
        elif message.body or message.method in (b"POST", b"PUT", b"PATCH"):
            head += b"Content-Length: %d\r\n" % len(message.body)
        return head


def _find(message: Message, source: str, name: str) -> bytes:
    """Return the value that a request has in this place; empty if it has none."""
    if source == "constant":
        return name.encode()
    if source == "header":
        return message.headers.get(name.lower().encode(), b"")
    if source == "query":
        query = message.target.partition(b"?")[2].decode("latin-1")
        return parse_qs(query, max_num_fields=100).get(name, [""])[0].encode("latin-1", "replace")
    for part in message.headers.get(b"cookie", b"").split(b";"):
        key, _, value = part.strip().partition(b"=")
        if key.decode("latin-1") == name:
            return value
    return b""
