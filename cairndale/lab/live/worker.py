"""Processes of a live run: started so that none outlives the tool, told and heard by lines of
JSON."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import IO, Any

import msgspec

PR_SET_PDEATHSIG = 1  # <sys/prctl.h>
MAX_LINE_BYTES = 1 << 20  # bytes of a line from a worker
END_TIMEOUT = 10.0  # s for a worker to write its record

_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent(parent: int) -> Callable[[], None]:
    """Run in a child before exec: the kernel kills it once `parent` ends, however that ends."""

    def prepare() -> None:
        os.setpgid(0, 0)  # the terminal's Ctrl-C is the tool's, which ends what it started in order
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # it ended before the call took hold
            os._exit(1)

    return prepare


def spawn(command: list[str], **options: Any) -> subprocess.Popen[bytes]:
    """From the main thread only: the kernel counts the thread that started a child as its
    parent."""
    return subprocess.Popen(command, preexec_fn=die_with_parent(os.getpid()), **options)


class Spec(msgspec.Struct):
    """What every worker of a run is told."""

    scenario: str  # its text
    name: str
    seed: int
    began_ns: int  # CLOCK_MONOTONIC at the run's 0, alike in every process of the machine
    unix_us: int  # the wall clock at that moment
    folder: str
    gateways: int
    number: int = 0  # of this worker among those of its kind
    workers: int = 1
    per_gateway: bool = True  # servers listen at an address of its own for each gateway
    # a loader that knows no members: requests a second in all, for measuring limits
    rate: float = 0.0
    length_s: float = 0.0

    def now(self) -> int:
        """us since the run's 0."""
        return (time.monotonic_ns() - self.began_ns) // 1000


class PipedProcess:
    """The tool's end of a process that is told and heard by lines."""

    def __init__(
        self,
        name: str,
        command: list[str],
        folder: Path,
        on_message: Callable[[dict[str, Any]], None],
    ) -> None:
        self._on_message, self.name = on_message, name
        self._log: IO[bytes] = (folder / f"{name}.log").open("wb")
        self.process = spawn(
            [sys.executable, "-m", *command],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
        )
        self.ready: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._reader = asyncio.get_running_loop().create_task(self._read())

    def send(self, **fields: Any) -> None:
        """Nothing is said to one that has ended; `ended` or `ready` tell of that."""
        if self.process.stdin and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.stdin.write(json.dumps(fields).encode() + b"\n")
                self.process.stdin.flush()

    async def _read(self) -> None:
        assert self.process.stdout
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, self.process.stdout)
        while line := await reader.readline():
            message = json.loads(line)
            if "ready" in message and not self.ready.done():
                self.ready.set_result(message)
            self._on_message(message)
        if not self.ready.done():
            self.ready.set_exception(
                RuntimeError(f"{self.name} ended before it was ready; see its log")
            )

    async def end(self) -> None:
        """Asked to write its record, then ended; killed if it does not."""
        self.send(end=True)
        try:
            async with asyncio.timeout(END_TIMEOUT):
                await self._reader
                while self.process.poll() is None:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            self.process.kill()
        self.close()

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._reader.cancel()
        if self.ready.done() and not self.ready.cancelled():
            self.ready.exception()
        for pipe in (self.process.stdin, self._log):
            if pipe:
                # what was still to be said to one that has ended
                with contextlib.suppress(OSError):
                    pipe.close()


class Worker(PipedProcess):
    """A worker of a live run."""

    def __init__(
        self, module: str, spec: Spec, on_message: Callable[[dict[str, Any]], None]
    ) -> None:
        name, folder = f"{module}-{spec.number}", Path(spec.folder)
        path = folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        super().__init__(name, [f"cairndale.lab.live.{module}", str(path)], folder, on_message)


def send_to_tool(**fields: Any) -> None:
    """To the tool."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


async def listen_to_tool(on_message: Callable[[dict[str, Any]], Awaitable[bool] | bool]) -> None:
    """Calls `heard` for each line until it returns True, or the tool has closed its end."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        result = on_message(json.loads(line))
        if isinstance(result, bool):
            done = result
        else:
            done = await result
        if done:
            return


def spec_from_argv() -> Spec:
    """What this worker is told; all the descriptors that are allowed are its own from here on."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Spec)
