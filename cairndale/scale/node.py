"""A process of a scale run, as the one that runs it sees it."""

from __future__ import annotations

import asyncio
import json
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

from cairndale.chaos.world import ROOT


class Node:
    """A process that is spoken to over its standard streams, an object a line each way."""

    def __init__(self, name: str, process: Process) -> None:
        self.name, self.process = name, process
        self._turn, self._killed = asyncio.Lock(), False

    @classmethod
    async def begin(
        cls, name: str, folder: Path, arguments: list[str], env: dict[str, str]
    ) -> Node:
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

    async def say(self, order: dict[str, Any], within: float = 30.0) -> dict[str, Any]:
        """The answer. Raises OSError where there is none in so many seconds."""
        assert self.process.stdin
        async with self._turn:
            self.process.stdin.write(json.dumps(order).encode() + b"\n")
            return await self.heard(within)

    async def heard(self, within: float = 30.0) -> dict[str, Any]:
        assert self.process.stdout
        try:
            async with asyncio.timeout(within):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise OSError(f"{self.name} does not answer") from None
        if not line:
            raise OSError(f"{self.name} has ended")
        told: dict[str, Any] = json.loads(line)
        return told

    def kill(self) -> None:
        if self.process.returncode is None and not self._killed:
            self._killed = True
            self.process.kill()

    async def end(self) -> None:
        self.kill()
        async with asyncio.timeout(10):
            await self.process.wait()
