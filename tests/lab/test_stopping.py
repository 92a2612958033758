"""Signals to the lab's tool: what it runs ends in order, whenever they come and whatever it began
with."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.lab.test_lab import ROOT, child_pids, is_running, start_live_run


def ignoring_sigint() -> None:
    """As a shell without job control starts what it puts into the background."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


# the stand-ins begin; an ingress does; the loader does
@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_live_run_that_began_with_sigint_ignored_is_stopped_while_it_starts_its_children(
    tmp_path: Path, number: signal.Signals, count: int
) -> None:
    env = os.environ | {"TMPDIR": str(tmp_path)}
    ran, end = (
        start_live_run(tmp_path, 600, env=env, preexec_fn=ignoring_sigint),
        time.monotonic() + 60,
    )
    try:
        while len(mine := child_pids(ran.pid)) < count:
            assert ran.poll() is None and time.monotonic() < end
        ran.send_signal(number)
        ran.send_signal(number)  # a second one does not break the end off
        said, _ = ran.communicate(timeout=60)
    finally:
        ran.kill()
        ran.wait()
    assert ran.returncode == 130 and said.rstrip().endswith("stopped"), said
    assert not list(tmp_path.glob("lab-*"))  # the run's folder: its removal is the end's last step
    assert not any(is_running(pid) for pid in mine)  # each was waited for before the tool ended


def script(text: str) -> tuple[int, str]:
    head = "import asyncio, os, signal\nfrom cairndale.lab.stopping import run_until_stopped\n"
    command = [sys.executable, "-c", head + text]
    ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    return ran.returncode, ran.stdout + ran.stderr.strip().rpartition("\n")[2]


@pytest.mark.parametrize("number", ["SIGINT", "SIGTERM"])
def test_a_second_signal_does_not_break_the_end_off(number: str) -> None:
    code, said = script(f"""
async def work():
    try:
        os.kill(os.getpid(), signal.{number})
        await asyncio.Event().wait()
    finally:
        os.kill(os.getpid(), signal.{number})
        for _ in range(3):
            await asyncio.sleep(0)
        print("ended in order")

try:
    run_until_stopped(work())
except KeyboardInterrupt:
    print("stopped")
""")
    assert (code, said) == (0, "ended in order\nstopped\n")


def test_a_signal_that_comes_as_the_work_is_through_still_stops_what_would_follow() -> None:
    code, said = script("""
async def work():
    os.kill(os.getpid(), signal.SIGTERM)

try:
    run_until_stopped(work())
    print("went on")
except KeyboardInterrupt:
    print("stopped")
""")
    assert (code, said) == (0, "stopped\n")


def test_a_tool_that_began_with_sigint_ignored_is_stopped_before_its_loop_runs_and_keeps_its_status() -> (  # noqa: E501
    None
):
    code, said = script("""
signal.signal(signal.SIGINT, signal.SIG_IGN)
from cairndale.lab import __main__ as tool

def main(**_):
    os.kill(os.getpid(), signal.SIGINT)
    print("went on")

def stop(message, status, plain=tool._stop):
    for number in (signal.SIGINT, signal.SIGTERM):
        os.kill(os.getpid(), number)
    plain(message, status)

tool.main.main, tool._stop = main, stop
tool.entry()
""")
    assert (code, said) == (130, "stopped")


def test_what_was_not_stopped_hands_back_its_result_and_its_own_errors() -> None:
    code, said = script("""
async def work(what):
    if what:
        raise what
    return 7

print(run_until_stopped(work(None)))
for error in (ValueError, asyncio.CancelledError):
    try:
        run_until_stopped(work(error()))
    except (ValueError, asyncio.CancelledError) as found:
        print(type(found).__name__)
""")
    assert (code, said) == (0, "7\nValueError\nCancelledError\n")
