"""A gateway that answers at once without any decision, to measure the loader's own limit."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import cast

import uvloop

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull"


class NullConnection(asyncio.Protocol):
    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if count := data.count(b"\r\n\r\n"):  # requests have no body here
            self.transport.write(RESPONSE * count)


async def main() -> None:
    config = json.loads(Path(os.environ["EDGE_CONFIG"]).read_text())
    host, _, port = config["listen"].rpartition(":")
    listening = socket.create_server((host, int(port)), backlog=1024, reuse_port=True)
    server = await asyncio.get_running_loop().create_server(NullConnection, sock=listening)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(main())
