"""Worker processes of a live run: they do not outlive the tool, and exchange lines of JSON with
it."""

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
MAX_LINE_BYTES = 1 << 20  # of a line from a worker
END_TIMEOUT_S = 10.0  # for a worker to write its record

_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent(parent: int) -> Callable[[], None]:
    """Returns a function to run in a child before exec, so that the kernel kills the child once
    `parent` ends for any reason."""

    def prepare() -> None:
        os.setpgid(0, 0)  # Ctrl-C reaches only the tool, which ends its children in order
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # the parent ended before the call took effect
            os._exit(1)

    return prepare


def spawn(command: list[str], **options: Any) -> subprocess.Popen[bytes]:
    """Starts a child that dies with this process.

    Call it from the main thread only: for the kernel, the parent is the thread that started the
    child."""
    return subprocess.Popen(command, preexec_fn=die_with_parent(os.getpid()), **options)


class Spec(msgspec.Struct):
    """The specification that every worker of a run receives."""

    scenario: str  # the text of the scenario
    name: str
    seed: int
    began_ns: (
        int  # CLOCK_MONOTONIC at the start of the run; the same for all processes of the machine
    )
    unix_us: int  # the wall clock at that moment
    folder: str
    gateways: int
    number: int = 0  # index of this worker among those of its kind
    workers: int = 1
    per_gateway: bool = True  # servers listen at a separate address for each gateway
    # requests a second in total, for measuring limits: the loader then simulates no members
    rate: float = 0.0
    length_s: float = 0.0

    def now(self) -> int:
        """us since the start of the run."""
        return (time.monotonic_ns() - self.began_ns) // 1000


class PipedProcess:
    """The tool's end of a worker process, which exchanges lines of JSON with the tool."""

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
        """Sends a message; does nothing if the process has ended."""
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
        """Asks the process to write its record and end; kills it after END_TIMEOUT_S."""
        self.send(end=True)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
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
                # flushing may fail if the process has ended
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
    """Sends a message to the tool."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


async def listen_to_tool(on_message: Callable[[dict[str, Any]], Awaitable[bool] | bool]) -> None:
    """Calls `on_message` for each line until it returns True, or the tool has closed its end."""
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
    """Reads the specification of this worker, and raises its limit of open files to the maximum."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Spec)
