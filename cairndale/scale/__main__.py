"""`./demo scale`: one scale run, and what each role cost in it. It ends by itself and leaves no
process or file behind."""

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
from cairndale.scale.run import ScaleRun
from cairndale.scale.sizes import Size, errors_of, memory_of_machine_mb

QUANTILES = ("p50", "p99", "last")
MAX_OVERHEAD_S = 600.0  # that a run may take beyond its measured interval


def parse_arguments(arguments: Sequence[str]) -> tuple[Size, argparse.Namespace]:
    parser = argparse.ArgumentParser(prog="./demo scale", description=__doc__)
    for field in fields(Size):
        value_type = float if field.type == "float" else int
        name = f"--{field.name.replace('_', '-')}"
        parser.add_argument(
            name, type=value_type, default=field.default, help=f"default {field.default}"
        )
    parser.add_argument("--json", type=Path, help="file for the results as JSON")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steady", action="store_true", help="measure only, inject no faults")
    options = parser.parse_args(arguments)
    return Size(**{field.name: getattr(options, field.name) for field in fields(Size)}), options


def format_summary(result: dict[str, Any]) -> str:
    """Return the results as a table for people."""
    lines = [
        f"{'role':17s}{'n':>4s}{'cores':>8s}{'MB':>7s}{'msg/s':>9s}{'KB/s out':>10s}{'KB/s in':>9s}"
        f"{'loop p50':>10s}{'p99':>8s}{'max ms':>9s}"
    ]
    for role, usage in result["roles"].items():
        lines.append(
            f"{role:17s}{usage['processes']:4d}{usage['cpu']:8.3f}{usage['mb']:7.0f}"
            f"{usage['messages_out']:9.1f}"
            f"{usage['bytes_out'] / 1000:10.1f}{usage['bytes_in'] / 1000:9.1f}"
            f"{1000 * usage['late_p50']:10.2f}"
            f"{1000 * usage['late_p99']:8.2f}{1000 * usage['late_most']:9.1f}"
        )
    changes, simulated = result["changes"], result["hollow"]
    acked, served = (
        " ".join(f"{changes[f'{kind}_{at}']:.3f}" for at in QUANTILES)
        for kind in ("acked", "served")
    )
    lines += [
        f"{changes['count']} orders, {result['refused']} more without a clear answer",
        f"s to the acknowledgement, p50 p99 last: {acked}",
        f"s until each ingress serves the change: {served}, {changes['unserved']} never",
        f"hollow ingresses held leases for {100 * simulated['with a lease']:.2f}% of the time",
        f"{simulated['failed']} requests failed, "
        f"{simulated['contents']} full configurations received, "
        f"{simulated['beats']} heartbeats, {simulated['beats_lost']} lost",
    ]
    if lookups := result["look-ups"]:
        lines.append(
            f"{lookups['count']} look-ups, {lookups['failed']} more failed: "
            f"{1e6 * lookups['cpu_each']:.0f} us and "
            f"{lookups['bytes_in']:.0f} bytes each, {lookups['addresses']} addresses at most"
        )
    return "\n".join(lines)


def current_commit() -> str:
    git = subprocess.run(
        ("git", "rev-parse", "--short", "HEAD"), cwd=ROOT, capture_output=True, text=True
    )
    return git.stdout.strip() or "unknown"


async def run_scale(folder: Path, size: Size, seed: int, steady: bool) -> dict[str, Any]:
    began_at = time.monotonic()

    def report(text: str) -> None:
        print(f"{time.monotonic() - began_at:6.1f} s  {text}", flush=True)

    run = ScaleRun(folder, size, seed, report)
    simulated = f"{size.ingresses} hollow ingresses, {size.servers} hollow servers"
    report(f"beginning {size.processes} processes: {simulated}")
    try:
        await run.begin()
        report("all processes have started")
        recovered = await run.wait_recovered(time.monotonic())
        report(
            f"hollow ingresses with a lease and a configuration: {100 * recovered['share']:.0f}%"
        )
        result = await run.measure()
        result["begun"] = recovered
        report(f"measured for {size.seconds:.0f} s")
        result["look-ups"] = await run.measure_lookups()
        result["troubles"] = {}
        if not steady:
            try:
                await run.inject_faults(result["troubles"])
            except (OSError, TimeoutError) as error:  # keep the results so far
                result["troubles"]["given up"] = str(error) or "no answer"
                report(f"fault injection was aborted: {result['troubles']['given up']}")
        return result
    finally:
        await run.end()


def main(arguments: Sequence[str] | None = None) -> int:
    heed_ctrl_c()
    size, options = parse_arguments(sys.argv[1:] if arguments is None else arguments)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if errors := errors_of(size, memory_of_machine_mb(), descriptors):
        for error in errors:
            print(error, file=sys.stderr)
        return 2
    load_before, commit_id = os.getloadavg(), current_commit()
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = run_until_stopped(
                _run_with_timeout(Path(folder), size, options.seed, options.steady)
            )
        except KeyboardInterrupt:
            print("stopped", file=sys.stderr)
            return 130
        except (OSError, TimeoutError) as error:
            print(f"the run was aborted: {error or 'it exceeded its time limit'}", file=sys.stderr)
            return 1
    machine = {
        "processors": os.cpu_count(),
        "load_before": load_before[0],
        "load_after": os.getloadavg()[0],
    }
    result |= {"size": asdict(size), "commit": commit_id, "seed": options.seed, "machine": machine}
    print(format_summary(result))
    if options.json:
        options.json.write_text(json.dumps(result, indent=1) + "\n")
    return 0


async def _run_with_timeout(folder: Path, size: Size, seed: int, steady: bool) -> dict[str, Any]:
    async with asyncio.timeout(size.seconds + MAX_OVERHEAD_S):
        return await run_scale(folder, size, seed, steady)


if __name__ == "__main__":
    sys.exit(main())
