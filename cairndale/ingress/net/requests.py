"""What a client's request is for: customer, plan, class, time and units, found where the
configuration says.

Without `request` in the configuration that is the platform's protocol, to the letter. With it the
ingress stands before any HTTP/1.1 servers: fields and answers go on as they came, whatever their
status."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from os import urandom
from urllib.parse import parse_qs

from cairndale.ingress.net.engine import ClientRequest, NameTable
from cairndale.ingress.net.http import HOP_BY_HOP, Message
from cairndale.ingress.policy import interface as it

REQUEST_ID = re.compile(rb"[!-~]{1,128}")
CUSTOMER_COOKIE = re.compile(rb"(?:^|[;,])\s*customer=([0-9a-fA-F]{16})\s*(?=[;,]|$)")
TIMEOUT = re.compile(rb"([0-9]{1,12})([mu])")
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
MAX_CUSTOMER = 1 << 33
ANONYMOUS = b"anonymous"  # the customer of all requests that name none
METHODS = {b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"}
DURATION = re.compile(rb"([0-9]{1,6}(?:\.[0-9]{1,6})?)(ms|us|m|u|s)")
UNIT_US = {b"ms": 1000, b"m": 1000, b"us": 1, b"u": 1, b"s": 1_000_000}

RequestReader = Callable[[Message, NameTable, Sequence[it.RequestClass], int], "ClientRequest"]


class FieldError(Exception):
    pass


class BadRequest(Exception):
    def __init__(self, status: int, what: str, retry_after: int = 0) -> None:
        super().__init__(what)
        self.status, self.retry_after = status, retry_after  # us; 0: no advice


def read_request(
    message: Message, names: NameTable, classes: Sequence[it.RequestClass], began: int
) -> ClientRequest:
    """The client's request, or BadRequest: a plain 4xx tells the client what is wrong with it."""
    headers = message.headers
    if message.method not in (b"GET", b"POST"):
        raise BadRequest(405, "only GET and POST are known here")
    parts = message.target.partition(b"?")[0].split(b"/")
    cls = names.classes.get(parts[1]) if len(parts) > 1 and not parts[0] else None
    if cls is None:
        raise BadRequest(404, "no such class of requests")
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
    wait = TIMEOUT.fullmatch(headers.get(b"request-timeout", b""))
    if wait is None:
        raise BadRequest(400, "Request-Timeout is missing or invalid")
    timeout = min(int(wait[1]) * (1000 if wait[2] == b"m" else 1), classes[cls].deadline)
    units, spread, first = _quota(headers.get(b"x-quota", b""))
    retry = headers.get(b"client-retry") == b"1"
    head = _head(message, id)
    quota, body = (units, spread, first), (message.body, message.upload)
    return ClientRequest(id, cls, plan, customer, *quota, timeout, began, retry, head, *body)


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
    """What a backend is told, up to the time left; the target and the id go on unchanged."""
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
    """us: `500m` and `500000u` as the platform has them, `500ms` and `5s` as people do. Raises
    FieldError."""
    match = DURATION.fullmatch(text)
    if match is None or not (found := round(float(match[1]) * UNIT_US[match[2]])):
        raise FieldError(
            f"found {text.decode('latin-1')!r}; a time over 0 is wanted, as 500ms or 5s"
        )
    return found


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Where things are found: (way, name) pairs, the way one of header, cookie, query, constant."""

    customer: tuple[str, str]
    plan: tuple[str, str]
    timeout: tuple[str, str]
    units: tuple[str, str]
    customers: dict[str, str]  # plan by customer
    paths: tuple[tuple[bytes, bytes], ...]  # a path's beginning and its class, the longest first

    def reader(self) -> RequestReader:
        return self._read

    @staticmethod
    def number(who: bytes) -> int:
        """A customer's number, alike at every ingress."""
        # loads OpenSSL: the platform's start, which has no use for it, would pay
        from hashlib import blake2b

        return int.from_bytes(blake2b(who, digest_size=8).digest()) % MAX_CUSTOMER

    def _read(
        self, message: Message, names: NameTable, classes: Sequence[it.RequestClass], began: int
    ) -> ClientRequest:
        """The client's request, or BadRequest. A customer is its name's hash, alike everywhere."""
        if message.method not in METHODS:
            raise BadRequest(405, "this method is not known here")
        path = message.target.partition(b"?")[0]
        named = next((name for start, name in self.paths if path.startswith(start)), b"")
        cls = names.classes.get(named)
        if cls is None:
            raise BadRequest(404, "no class of requests has this path")
        who = _find(message, *self.customer) or ANONYMOUS
        by = self.customers.get(who.decode("latin-1"), "").encode() or _find(message, *self.plan)
        plan = names.plans.get(by)
        if plan is None:
            raise BadRequest(403, "no plan for this customer")
        timeout = classes[cls].deadline
        if said := _find(message, *self.timeout):
            try:
                timeout = min(timeout, read_timeout(said))
            except FieldError:
                raise BadRequest(400, "the time-out is no time") from None
        units = _find(message, *self.units) or b"1"
        if not NUMBER.fullmatch(units) or not 0 < float(units) < math.inf:
            raise BadRequest(400, "the units are no number over 0")
        id = message.headers.get(b"request-id", b"")
        id = id if REQUEST_ID.fullmatch(id) else urandom(8).hex().encode()
        customer = self.number(who)
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
            began,
            False,
            self._head(message, id),
            message.body,
            message.upload,
        )

    def _head(self, message: Message, id: bytes) -> bytes:
        """All fields but those that belong to one connection, framing and the two that are written
        anew."""
        head = b"%b %b HTTP/1.1\r\nRequest-Id: %b\r\n" % (message.method, message.target, id)
        named = {n.strip().lower() for n in message.headers.get(b"connection", b"").split(b",")}
        left = HOP_BY_HOP | named | {b"request-id", b"request-timeout", b"expect"}
        head += b"".join(b"%b: %b\r\n" % (n, v) for n, v in message.fields if n.lower() not in left)
        if message.upload:
            length = message.upload.length
            framing = b"Transfer-Encoding: chunked\r\n"
            head += framing if length is None else b"Content-Length: %d\r\n" % length
        elif message.body or message.method in (b"POST", b"PUT", b"PATCH"):
            head += b"Content-Length: %d\r\n" % len(message.body)
        return head


def _find(message: Message, way: str, name: str) -> bytes:
    """What a request says there; nothing if it says none."""
    if way == "constant":
        return name.encode()
    if way == "header":
        return message.headers.get(name.lower().encode(), b"")
    if way == "query":
        query = message.target.partition(b"?")[2].decode("latin-1")
        return parse_qs(query, max_num_fields=100).get(name, [""])[0].encode("latin-1", "replace")
    for part in message.headers.get(b"cookie", b"").split(b";"):
        key, _, value = part.strip().partition(b"=")
        if key.decode("latin-1") == name:
            return value
    return b""
