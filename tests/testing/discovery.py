"""Shared by tests of the list service: the real program as a process, and clients for it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cairndale.discovery.state import Server, WriteRequest

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
RESERVED_SOCKETS: list[socket.socket] = []  # closed after each test by `conftest.py`
STARTED_PROCESSES: list[subprocess.Popen[str]] = []  # killed after each test by `conftest.py`


def register(
    name: str, port: int = 1, since: int = 0, id: str = "", expected: int | None = None
) -> WriteRequest:
    server = Server(name, f"{HOST}:{port}", since_ms=since, lease_ms=60_000)
    return WriteRequest("register", name, server, id, expected)


@dataclass
class DiscoveryProcess:
    """`python -m cairndale.discovery` on a data folder; it keeps its ports over a restart."""

    folder: Path
    extra_config: dict[str, Any] = field(default_factory=dict)
    process: subprocess.Popen[str] | None = None
    reads: int = field(init=False)
    writes: int = field(init=False)

    def __post_init__(self) -> None:
        """Lets the system choose the ports, and binds them without listening, so that no other
        process gets them during a restart."""
        reserved_sockets = [socket.socket() for _ in range(2)]
        for reserved in reserved_sockets:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((HOST, 0))
        RESERVED_SOCKETS.extend(reserved_sockets)
        self.reads, self.writes = (reserved.getsockname()[1] for reserved in reserved_sockets)

    async def start(self) -> DiscoveryProcess:
        config = {"data": str(self.folder / "data")}
        config |= {"reads": f"{HOST}:{self.reads}", "writes": f"{HOST}:{self.writes}"}
        self.folder.mkdir(exist_ok=True)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config | self.extra_config))
        self.log = (self.folder / "log.txt").open("a")
        log_offset = len(self.log_text())
        command = [sys.executable, "-m", "cairndale.discovery", str(path)]
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=self.log, text=True)
        STARTED_PROCESSES.append(self.process)
        async with asyncio.timeout(60):
            while "reads on" not in (log_text := self.log_text()[log_offset:]):
                code = self.process.poll()
                assert code is None, f"ended with {code}: {self.log_text()[log_offset:]}"
                await asyncio.sleep(0.01)
        assert f"reads on {HOST}:{self.reads}, writes on {HOST}:{self.writes}" in log_text
        return self

    def log_text(self) -> str:
        return (self.folder / "log.txt").read_text()

    def send_signal(self, signal_number: int) -> None:
        assert self.process
        os.kill(self.process.pid, signal_number)

    async def stop(self, signal_number: int = signal.SIGKILL) -> int:
        assert self.process
        if self.process.poll() is None:
            self.send_signal(signal_number)
        code = await asyncio.to_thread(self.process.wait, 30)
        self.log.close()
        return code

    async def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        return await call(self.writes, method, path, body, headers)

    async def register(self, name: str, port: int, **details: Any) -> int:
        body = {"address": f"{HOST}:{port}", "lease_ms": 60_000} | details
        status, answer = await self.call("PUT", f"/servers/{name}", body)
        assert status == 200, answer
        return int(answer["version"])

    async def status(self) -> dict[str, Any]:
        status, answer = await self.call("GET", "/status")
        assert status == 200 and isinstance(answer, dict)
        return answer

    async def wait_for_status(self, **expected: Any) -> dict[str, Any]:
        """Returns the status once it has the expected values."""
        async with asyncio.timeout(60):
            while True:
                status = await self.status()
                if all(status[key] == value for key, value in expected.items()):
                    return status
                await asyncio.sleep(0.02)


async def call(
    port: int, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = {"Host": HOST, "Connection": "close", "Content-Length": str(len(data))} | (
        headers or {}
    )
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    async with asyncio.timeout(60):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            answer = await reader.read()
        finally:
            writer.close()
    head_, _, response_body = answer.partition(b"\r\n\r\n")
    return int(head_.split()[1]), json.loads(response_body)


class WatchClient:
    """A client of a watch, which reads it line by line."""

    def __init__(self, port: int, query: str) -> None:
        self.port, self.query = port, query

    async def __aenter__(self) -> WatchClient:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 24)
        self.writer.write(
            f"GET /discovery/hosts?watch=1&{self.query} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        )
        async with asyncio.timeout(60):
            self.head = await self.reader.readuntil(b"\r\n\r\n")
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.transport.abort()

    async def line(self, empty: bool = False) -> Any:
        """Returns the next line, or None at the end; skips empty lines unless `empty` is set."""
        async with asyncio.timeout(60):
            while True:
                size = int(await self.reader.readline(), 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    return None
                if data.strip() or empty:
                    return json.loads(data) if data.strip() else ""


def statuses_by_name(line: Any) -> dict[str, str]:
    return {e["name"]: e["status"] for e in line["endpoints"]}
