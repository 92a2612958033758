"""Handle of a process of a scale run."""

from __future__ import annotations

import asyncio
import json
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

from cairndale.chaos.world import ROOT


class WorkerProcess:
    """A worker process, controlled over its standard streams by one JSON object a line each way."""

    def __init__(self, name: str, process: Process) -> None:
        self.name, self.process = name, process
        self._lock, self._is_killed = asyncio.Lock(), False

    @classmethod
    async def begin(
        cls, name: str, folder: Path, arguments: list[str], env: dict[str, str]
    ) -> WorkerProcess:
        with open(folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cairndale.scale.worker",
                *arguments,
                stdin=PIPE,
                stdout=PIPE,
                stderr=log,
                cwd=ROOT,
                env=env,
                limit=1 << 26,
            )
        return cls(name, process)

    async def request(self, order: dict[str, Any], within: float = 30.0) -> dict[str, Any]:
        """Send an order and return the answer. Raises OSError if none comes within that time."""
        assert self.process.stdin
        async with self._lock:
            self.process.stdin.write(json.dumps(order).encode() + b"\n")
            return await self.read_answer(within)

    async def read_answer(self, within: float = 30.0) -> dict[str, Any]:
        """Return the next answer. Raises OSError if none comes within that time."""
        assert self.process.stdout
        try:
            async with asyncio.timeout(within):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise OSError(f"{self.name} did not answer within {within:.0f} s") from None
        if not line:
            raise OSError(f"{self.name} has exited")
        answer: dict[str, Any] = json.loads(line)
        return answer

    def kill(self) -> None:
        if self.process.returncode is None and not self._is_killed:
            self._is_killed = True
            self.process.kill()

    async def end(self) -> None:
        self.kill()
        async with asyncio.timeout(10):
            await self.process.wait()
