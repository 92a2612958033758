"""`./demo scale`: a run of one size, and what each role cost in it. It ends by itself and leaves
nothing."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

from cairndale.chaos.world import ROOT
from cairndale.lab.stopping import heed_ctrl_c, run_until_stopped
from cairndale.scale.run import Run
from cairndale.scale.sizes import Size, errors_of, memory_of_machine_mb

TIMES = ("p50", "p99", "last")
LONGEST = 600.0  # s that a whole run may take beyond its measured stretch


def read(arguments: Sequence[str]) -> tuple[Size, argparse.Namespace]:
    parser = argparse.ArgumentParser(prog="./demo scale", description=__doc__)
    for field in fields(Size):
        kind = float if field.type == "float" else int
        name = f"--{field.name.replace('_', '-')}"
        parser.add_argument(name, type=kind, default=field.default, help=f"default {field.default}")
    parser.add_argument("--json", type=Path, help="where the figures go as well")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--steady", action="store_true", help="measure only, bring no trouble about"
    )
    given = parser.parse_args(arguments)
    return Size(**{field.name: getattr(given, field.name) for field in fields(Size)}), given


def table(told: dict[str, Any]) -> str:
    """What people read."""
    lines = [
        f"{'role':17s}{'n':>4s}{'cores':>8s}{'MB':>7s}{'msg/s':>9s}{'KB/s out':>10s}{'KB/s in':>9s}"
        f"{'loop p50':>10s}{'p99':>8s}{'most ms':>9s}"
    ]
    for role, row in told["roles"].items():
        lines.append(
            f"{role:17s}{row['processes']:4d}{row['cpu']:8.3f}{row['mb']:7.0f}{row['messages_out']:9.1f}"
            f"{row['bytes_out'] / 1000:10.1f}{row['bytes_in'] / 1000:9.1f}"
            f"{1000 * row['late_p50']:10.2f}"
            f"{1000 * row['late_p99']:8.2f}{1000 * row['late_most']:9.1f}"
        )
    made, simulated = told["changes"], told["hollow"]
    acked, served = (
        " ".join(f"{made[f'{kind}_{at}']:.3f}" for at in TIMES) for kind in ("acked", "served")
    )
    lines += [
        f"{made['count']} orders, {told['refused']} more without a clear answer",
        f"s to the acknowledgement, p50 p99 last: {acked}",
        f"s to each ingress's serving by it:      {served}, {made['unserved']} never",
        f"hollow ingresses held leases for {100 * simulated['with a lease']:.2f}% of the time",
        f"{simulated['failed']} asks failed, {simulated['contents']} whole configurations told, "
        f"{simulated['beats']} beats, {simulated['beats_lost']} lost",
    ]
    if found := told["look-ups"]:
        lines.append(
            f"{found['count']} look-ups, {found['failed']} more failed: "
            f"{1e6 * found['cpu_each']:.0f} us and "
            f"{found['bytes_in']:.0f} bytes each, {found['addresses']} addresses at the most"
        )
    return "\n".join(lines)


def commit() -> str:
    found = subprocess.run(
        ("git", "rev-parse", "--short", "HEAD"), cwd=ROOT, capture_output=True, text=True
    )
    return found.stdout.strip() or "unknown"


async def play(folder: Path, size: Size, seed: int, steady: bool) -> dict[str, Any]:
    began = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - began:6.1f} s  {text}", flush=True)

    run = Run(folder, size, seed, say)
    simulated = f"{size.ingresses} hollow ingresses, {size.servers} hollow servers"
    say(f"beginning {size.processes} processes: {simulated}")
    try:
        await run.begin()
        say("all processes are there")
        well = await run.all_well(time.monotonic())
        say(f"hollow ingresses with a lease and a configuration: {100 * well['share']:.0f}%")
        told = await run.measure()
        told["begun"] = well
        say(f"measured for {size.seconds:.0f} s")
        told["look-ups"] = await run.look_ups()
        told["troubles"] = {}
        if not steady:
            try:
                await run.troubles(told["troubles"])
            except (OSError, TimeoutError) as error:  # what was measured before stays
                told["troubles"]["given up"] = str(error) or "no answer"
                say(f"the troubles were given up: {told['troubles']['given up']}")
        return told
    finally:
        await run.end()


def main(arguments: Sequence[str] | None = None) -> int:
    heed_ctrl_c()
    size, given = read(sys.argv[1:] if arguments is None else arguments)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if errors := errors_of(size, memory_of_machine_mb(), descriptors):
        for error in errors:
            print(error, file=sys.stderr)
        return 2
    before, at = os.getloadavg(), commit()
    with tempfile.TemporaryDirectory() as folder:
        try:
            told = run_until_stopped(_bounded(Path(folder), size, given.seed, given.steady))
        except KeyboardInterrupt:
            print("stopped", file=sys.stderr)
            return 130
        except (OSError, TimeoutError) as error:
            print(f"the run was given up: {error or 'it took too long'}", file=sys.stderr)
            return 1
    machine = {
        "processors": os.cpu_count(),
        "load_before": before[0],
        "load_after": os.getloadavg()[0],
    }
    told |= {"size": asdict(size), "commit": at, "seed": given.seed, "machine": machine}
    print(table(told))
    if given.json:
        given.json.write_text(json.dumps(told, indent=1) + "\n")
    return 0


async def _bounded(folder: Path, size: Size, seed: int, steady: bool) -> dict[str, Any]:
    async with asyncio.timeout(size.seconds + LONGEST):
        return await play(folder, size, seed, steady)


if __name__ == "__main__":
    sys.exit(main())
