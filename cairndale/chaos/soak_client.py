"""A client that keeps using its open connection until the process at the other end closes it."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field

from cairndale.chaos.soak_judge import AbortedRequest, ObservedLookup, SoakRecord
from cairndale.chaos.standins import http_call
from cairndale.chaos.world import KEY, Attempt
from cairndale.ingress.net.http import InvalidResponseError, ResponseReader

PATHS = {"/tiles/1": "GET", "/books/1": "POST", "/open/1": "GET"}
HOST = "a.example"
LOOKUP_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 5.0
DEADLINE_MS = 3000
MAX_PAUSE_S = 0.1
READ_BYTES = 65536


class _Connection:
    """One open connection to an ingress."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.address = address
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: str) -> _Connection:
        """Raises OSError, or TimeoutError after `LOOKUP_TIMEOUT_S`."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(LOOKUP_TIMEOUT_S):
            return cls(address, *await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        self._writer.close()

    async def exchange(self, request: bytes) -> tuple[int, bytes, bool]:
        """Return status, body, and whether the connection may be used again.

        Raises EOFError or OSError if the connection ends before a complete response, TimeoutError
        after `RESPONSE_TIMEOUT_S`, InvalidResponseError for a malformed response.
        """
        response, body = ResponseReader(), b""
        self._writer.write(request)
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while not response.complete:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    raise EOFError
                body += response.feed(data)
        return response.status, body, response.keep_alive


@dataclass
class SoakClient:
    """Sends requests one after the other over one connection.

    Attributes:
        directories: addresses that answer look-ups.
        regions: of ingresses, by the address at which they take requests.
        attempts: receives each attempt with its outcome.
    """

    region: str
    zone: str
    directories: list[str]
    regions: dict[str, str]
    record: SoakRecord
    attempts: list[Attempt]
    rng: random.Random
    _connection: _Connection | None = field(default=None, init=False)

    async def run(self, until: float) -> None:
        """Send requests until the time `until` on the event loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            if self._connection is None:
                await self._connect()
            if self._connection is not None:
                await self._send(self._connection, self.rng.choice(sorted(PATHS)))
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connection:
            self._connection.close()
            self._connection = None

    async def _connect(self) -> None:
        """Look up the ingresses and connect to one; without success, stay disconnected."""
        if addresses := await self._look_up():
            try:
                self._connection = await _Connection.open(self.rng.choice(addresses))
            except (OSError, TimeoutError):
                return

    async def _look_up(self) -> list[str]:
        loop = asyncio.get_running_loop()
        target = f"/-/lookup?name={HOST}&region={self.region}&zone={self.zone}"
        sent_at = loop.time()
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                status, body = await http_call(self.rng.choice(self.directories), "GET", target)
        except (OSError, ValueError, TimeoutError):
            return []
        if status != 200:
            return []
        addresses: list[str] = json.loads(body)["addrs"]
        regions = frozenset(self.regions[address] for address in addresses)
        self.record.lookups.append(ObservedLookup(self.region, sent_at, loop.time(), regions))
        return addresses

    async def _send(self, connection: _Connection, path: str) -> None:
        loop = asyncio.get_running_loop()
        attempt = Attempt(
            f"{random.getrandbits(64):016x}", PATHS[path], 0, path=path, sent_at=loop.time()
        )
        self.attempts.append(attempt)
        head = [
            f"{attempt.method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {attempt.request}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Token {KEY}",
            "Content-Length: 0",
        ]
        request = "\r\n".join([*head, "", ""]).encode()
        try:
            attempt.status, attempt.body, keep = await connection.exchange(request)
        except InvalidResponseError as error:
            attempt.malformed, keep = str(error), False
        except (EOFError, OSError, TimeoutError):
            self.record.aborted_requests.append(
                AbortedRequest(attempt.request, connection.address, attempt.sent_at, loop.time())
            )
            keep = False
        if not keep:
            self._disconnect()
