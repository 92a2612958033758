"""Single calls on connections of their own, without a pool: operators' and replicas' calls."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from dataclasses import dataclass

from cairndale.ingress.net.http.response_reader import ResponseReader
from cairndale.ingress.net.http.response_rules import InvalidResponseError

READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Response:
    """A complete, valid response."""

    status: int
    body: bytes


def encode_call(
    method: str, target: str, host: str, body: bytes = b"", fields: Mapping[str, str] | None = None
) -> bytes:
    """Encode a request after whose response the connection is closed."""
    all_fields = {"Host": host, "Connection": "close", "Content-Length": str(len(body))}
    all_fields |= fields or {}
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in all_fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


class _ResponseCollector:
    """Collects a response from the reads of a connection."""

    def __init__(self, max_body_bytes: int | None) -> None:
        self._max_body_bytes = max_body_bytes
        self._reader, self._body = ResponseReader(), bytearray()

    def receive(self, data: bytes) -> Response | None:
        """Take data, empty for the end of the connection; return the response once complete."""
        if data:
            self._body += self._reader.feed(data)
        else:
            self._reader.end()
        if self._max_body_bytes is not None and len(self._body) > self._max_body_bytes:
            raise InvalidResponseError(f"body longer than {self._max_body_bytes} bytes")
        return Response(self._reader.status, bytes(self._body)) if self._reader.complete else None


async def call(host: str, port: int, request: bytes, max_body_bytes: int | None = None) -> Response:
    """Send an encoded request, and return the response.

    Raises OSError, or InvalidResponseError for a response that is invalid or incomplete.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request)
        collector, response = _ResponseCollector(max_body_bytes), None
        while response is None:
            response = collector.receive(await reader.read(READ_BYTES))
        return response
    finally:
        writer.close()


def call_blocking(host: str, port: int, request: bytes, timeout_s: float) -> Response:
    """Do the same as `call` without an event loop; `timeout_s` limits each step."""
    with socket.create_connection((host, port), timeout_s) as connection:
        connection.sendall(request)
        collector, response = _ResponseCollector(None), None
        while response is None:
            response = collector.receive(connection.recv(READ_BYTES))
        return response
