"""A system whose platform starts processes again that have ended by themselves."""

from __future__ import annotations

import asyncio
import shutil
import signal
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from cairndale.chaos.world import ROOT, World

# SIGHUP ends a process until its interpreter runs the program, which takes up to this long.
INTERPRETER_START_S = 1.0
SUPERVISE_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class UnexpectedExit:
    """A process that exited without having been killed or sent SIGTERM.

    Attributes:
        code: subprocess's exit status, negative for a signal.
        uptime_s: seconds from its start until the exit was noticed.
    """

    name: str
    code: int
    uptime_s: float


def exit_violations(exits: Iterable[UnexpectedExit]) -> Iterator[str]:
    """No process exits by itself, except by a SIGHUP before it could handle signals."""
    for exit_ in exits:
        if exit_.code != -signal.SIGHUP or exit_.uptime_s > INTERPRETER_START_S:
            yield (
                f"{exit_.name} exited unexpectedly with status {exit_.code}, {exit_.uptime_s:.2f} s"
                " after its start"
            )


def keep_folder(folder: Path, name: str) -> None:
    """Copy a run's logs, settings and state to `lab-out/`, in place of an earlier copy."""
    kept = ROOT / "lab-out" / name
    shutil.rmtree(kept, ignore_errors=True)
    shutil.copytree(folder, kept)


@dataclass
class SupervisedWorld(World):
    """A `World` with a platform; `supervise` has to run as a task."""

    unexpected_exits: list[UnexpectedExit] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self._started_at: dict[str, float] = {}
        self._stopping: set[str] = set()  # processes that are being killed or sent SIGTERM

    def start(self, name: str) -> None:
        """Start the process and note the time."""
        self._started_at[name] = asyncio.get_running_loop().time()
        super().start(name)

    async def kill(
        self, name: str, signal_number: int = signal.SIGKILL, within: float = 10.0
    ) -> None:
        """Send a signal and wait until the process has ended; it is not started again."""
        self._stopping.add(name)
        try:
            await super().kill(name, signal_number, within)
        finally:
            self._stopping.discard(name)

    async def supervise(self) -> None:
        """Start processes again that have ended by themselves, until cancelled."""
        while True:
            for name, machine in self.machines.items():
                code = machine.process.poll() if machine.process else None
                if code is not None and name not in self._stopping:
                    uptime = asyncio.get_running_loop().time() - self._started_at[name]
                    self.unexpected_exits.append(UnexpectedExit(name, code, uptime))
                    self.start(name)
            await asyncio.sleep(SUPERVISE_POLL_S)
