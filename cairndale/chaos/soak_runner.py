"""Runs soaks with several seeds, and keeps the logs of those that had violations."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol, TypeVar

from cairndale.chaos.supervised_world import keep_folder
from cairndale.chaos.world import Attempt

MAX_SHOWN_VIOLATIONS = 8  # of one soak


class RunnableSoak(Protocol):
    """A soak whose seed and size are set; `actions` has a line for what it did, in order."""

    attempts: list[Attempt]
    actions: list[str]

    async def run(self) -> list[str]:
        """Run the soak; return the violations, a line each."""

    async def end(self) -> None:
        """End all processes."""


SoakT = TypeVar("SoakT", bound=RunnableSoak)


async def run_and_keep_logs(soak: SoakT, folder: str, name: str) -> tuple[SoakT, list[str]]:
    """Run a soak in its folder; return it and the violations.

    With violations the folder is kept as `lab-out/NAME`, and they stand in its `violations.txt`.
    """
    violations = ["the soak did not end"]
    try:
        violations = await soak.run()
    finally:
        await soak.end()
        if violations:
            lines = [*violations, "", *soak.actions]
            (Path(folder) / "violations.txt").write_text("\n".join(lines))
            keep_folder(Path(folder), name)
    return soak, violations


def parse_options(prog: str, edges: int, length_s: float) -> argparse.Namespace:
    """Read `seed`, `count`, `edges` and `length` from the command line."""
    parser = argparse.ArgumentParser(prog=prog)
    parser.add_argument("seed", type=int, nargs="?", default=1)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument("--edges", type=int, default=edges, help="data-plane nodes")
    parser.add_argument("--length", type=float, default=length_s, help="seconds of load")
    return parser.parse_args()


def run_seeds(
    seeds: range,
    run: Callable[[int], Coroutine[Any, Any, tuple[SoakT, list[str]]]],
    describe: Callable[[SoakT], str],
) -> int:
    """Run a soak with each seed and print its result; return 1 if one had violations, else 0."""
    failed = 0
    for seed in seeds:
        soak, violations = asyncio.run(run(seed))
        failed += bool(violations)
        served = sum(attempt.status == 200 for attempt in soak.attempts)
        print(
            f"seed {seed}: {len(soak.attempts)} attempts, {served} served, {describe(soak)},"
            f" {len(violations)} violations",
            flush=True,
        )
        for line in violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"  {line}", flush=True)
    print(f"{len(seeds)} soaks, {failed} with violations")
    return 1 if failed else 0
