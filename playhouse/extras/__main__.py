"""`./demo scale`: a run of one size, and a table of what each role cost; it ends by itself and leaves nothing."""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

from playhouse.extras.run import Run
from playhouse.extras.sizes import Size, errors_of, memory_of_machine_mb
from playhouse.rehearsal.world import ROOT

LONGEST = 600.0  # s that a whole run may take beyond its measured stretch


def size_of(arguments: Sequence[str]) -> tuple[Size, Path | None, int]:
    parser = argparse.ArgumentParser(prog="./demo scale", description=__doc__)
    for field in fields(Size):
        kind = float if field.type == "float" else int
        name = f"--{field.name.replace('_', '-')}"
        parser.add_argument(name, type=kind, default=field.default, help=f"default {field.default}")
    parser.add_argument("--json", type=Path, help="where the figures go as JSON as well")
    parser.add_argument("--seed", type=int, default=1)
    given = vars(parser.parse_args(arguments))
    file, seed = given.pop("json"), given.pop("seed")
    return Size(**given), file, seed


def table(told: dict[str, Any]) -> str:
    """What people read."""
    lines = [
        f"{'role':17s}{'n':>4s}{'cores':>8s}{'MB':>7s}{'msg/s':>9s}{'KB/s out':>10s}{'KB/s in':>9s}"
        f"{'loop p50':>10s}{'p99':>8s}{'most ms':>9s}"
    ]
    for role, row in told["roles"].items():
        lines.append(
            f"{role:17s}{row['processes']:4d}{row['cpu']:8.3f}{row['mb']:7.0f}{row['messages_out']:9.1f}"
            f"{row['bytes_out'] / 1000:10.1f}{row['bytes_in'] / 1000:9.1f}{1000 * row['late_p50']:10.2f}"
            f"{1000 * row['late_p99']:8.2f}{1000 * row['late_most']:9.1f}"
        )
    made = told["changes"]
    lines.append(
        f"{made['count']} orders: acknowledged after {made['acked_p50']:.3f} s (p50), {made['acked_p99']:.3f} (p99), "
        f"{made['acked_last']:.3f} (last); served by each after {made['served_p50']:.3f}, {made['served_p99']:.3f}, "
        f"{made['served_last']:.3f} s; {told['refused']} without a clear answer"
    )
    return "\n".join(lines)


def commit() -> str:
    found = subprocess.run(("git", "rev-parse", "--short", "HEAD"), cwd=ROOT, capture_output=True, text=True)
    return found.stdout.strip() or "unknown"


async def play(folder: Path, size: Size, seed: int) -> dict[str, Any]:
    began = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)

    run = Run(folder, size, seed, say)
    say(
        f"beginning {size.processes} processes: {size.ingresses} hollow ingresses, {size.servers} hollow servers"
    )
    try:
        await run.begin()
        say("all processes are there")
        well = await run.all_well(WELL_AT_FIRST)
        say(f"all hollow ingresses hold a lease and a configuration after {well:.2f} s")
        told = await run.measure()
        told["begun"] = well
        say(f"measured for {size.seconds:.0f} s")
        told["troubles"] = await run.troubles()
        return told
    finally:
        await run.end()


WELL_AT_FIRST = 60.0  # s


def main(arguments: Sequence[str] | None = None) -> int:
    size, file, seed = size_of(sys.argv[1:] if arguments is None else arguments)
    descriptors, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if errors := errors_of(size, memory_of_machine_mb(), descriptors):
        for error in errors:
            print(error, file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            told = asyncio.run(_bounded(Path(folder), size, seed))
        except (OSError, TimeoutError) as error:
            print(f"the run was given up: {error or 'it took too long'}", file=sys.stderr)
            return 1
    told |= {"size": asdict(size), "commit": commit(), "seed": seed}
    print(table(told))
    if file:
        file.write_text(json.dumps(told, indent=1) + "\n")
    return 0


async def _bounded(folder: Path, size: Size, seed: int) -> dict[str, Any]:
    async with asyncio.timeout(size.seconds + LONGEST):
        return await play(folder, size, seed)


if __name__ == "__main__":
    sys.exit(main())
