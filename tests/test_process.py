"""Signals received while a process is still importing its modules or reading its settings."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from subprocess import PIPE, STDOUT, Popen
from threading import Timer

import pytest

from cairndale.chaos.world import ROOT, World


@pytest.fixture
def world(tmp_path: Path) -> World:
    return World(tmp_path, cores=1, edges=0, servers=0)


@pytest.mark.parametrize("text", ["{", "[]"])
def test_sighup_while_settings_are_read_does_not_end_the_process(tmp_path: Path, text: str) -> None:
    """The settings file is a pipe: opening it blocks until the process reads it."""
    with started(tmp_path / "pipe") as process:
        with open(tmp_path / "pipe", "w") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write(text)
        output, _ = process.communicate(timeout=20)
    assert process.returncode == 1 and b" 101 settings_invalid" in output, (
        process.returncode,
        output,
    )


def test_settings_that_changed_while_they_were_read_are_reloaded(
    tmp_path: Path, world: World
) -> None:
    (machine,) = world.machines.values()
    with started(tmp_path / "pipe") as process:
        with open(tmp_path / "pipe", "w") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write(json.dumps(world.settings(machine)))  # flushed when the pipe is closed
            os.unlink(tmp_path / "pipe")  # the process still has it open
            world.seeds = ["127.9.9.9:9"]
            (tmp_path / "pipe").write_text(json.dumps(world.settings(machine)))
        assert process.stdout is not None
        lines = []
        for line in process.stdout:
            lines.append(line)
            if b" 100 started" in line:
                process.terminate()
        process.wait(20)
    assert any(b" 102 settings_read: seeds 127.9.9.9:9" in line for line in lines), lines


@contextmanager
def started(path: Path) -> Iterator[Popen[bytes]]:
    """A process whose settings file is a pipe; opening it to write blocks for 20 s at most."""
    os.mkfifo(path)
    unblock = Timer(20, lambda: os.close(os.open(path, os.O_RDONLY | os.O_NONBLOCK)))
    env = {"PATH": os.environ.get("PATH", ""), "CAIRNDALE_CONFIG": str(path)}
    with Popen(
        [sys.executable, "-m", "cairndale"], cwd=ROOT, env=env, stdout=PIPE, stderr=STDOUT
    ) as process:
        unblock.start()
        try:
            yield process
        finally:
            unblock.cancel()
            process.kill()
