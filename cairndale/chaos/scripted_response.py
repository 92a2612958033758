"""Malformed responses that a request asks the stand-ins of servers for, in its query."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import parse_qs

from cairndale.chaos.malformed import MALFORMED

BYTE_PAUSE_S = 0.0003  # between bytes that the receiver reads one by one
MAX_HEAD_BYTES = 500
DEFAULT_BODY_BYTES = 9
BODY_BYTE = b"%"  # bodies of scripted responses consist of it; other responses have none


@dataclass(frozen=True, slots=True)
class ScriptedResponse:
    """The query `malformed=KIND&size=BYTES&bytewise=1`; `bytewise`: the head, byte by byte."""

    kind: str
    size: int = DEFAULT_BODY_BYTES
    bytewise: bool = False

    @classmethod
    def of_target(cls, target: bytes) -> ScriptedResponse | None:
        """Return what a request's target asks for; None if nothing."""
        query = parse_qs(target.partition(b"?")[2].decode("latin-1"))
        if "malformed" not in query:
            return None
        size = int(query["size"][0]) if "size" in query else DEFAULT_BODY_BYTES
        return cls(query["malformed"][0], size, "bytewise" in query)

    def parts(self, fields: bytes) -> Iterator[bytes]:
        """Return what is to be written, part by part; `fields`: of the server's own."""
        data = MALFORMED[self.kind](fields, BODY_BYTE * self.size)
        head_end = data.rindex(b"\r\n\r\n", 0, MAX_HEAD_BYTES) + 4 if self.bytewise else 0
        yield from (data[at : at + 1] for at in range(head_end))
        yield data[head_end:]

    async def write(self, transport: asyncio.Transport, fields: bytes) -> None:
        """Write the response, until the other side closes the connection."""
        for part in self.parts(fields):
            if transport.is_closing():
                return
            transport.write(part)
            await asyncio.sleep(BYTE_PAUSE_S)
