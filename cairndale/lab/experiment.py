"""Experiments: variants x scenarios x seeds x hosts, a process a run, on all cores; resumable;
paired by seed.

A result stands in its file once it is whole; a run whose file is there is not played again. What it
rests on (the scenario's text, variant, seed, host, sources) is marked beside it: with other ones it
is played anew."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from cairndale.lab.checkout import LAYOUTS
from cairndale.lab.draw import stream
from cairndale.lab.live.worker import die_with_parent
from cairndale.lab.play import HERE, Run, Variant, write

BOOTSTRAPS = 10_000
TIMEOUT = 3600.0  # s for one run
FIGURES = (
    "g",
    "whole",
    "worst_window",
    "worst_plan",
    "calls_per_request",
    "refused_with_room",
    "beyond_quota",
    "p99_ms",
)


class ExperimentError(Exception):
    pass


@dataclass(slots=True)
class Plan:
    scenarios: dict[str, str]  # text by name
    variants: list[Variant]
    seeds: list[int]
    hosts: list[str]
    folder: Path
    jobs: int
    records: bool = False
    loaders: int = 1

    def runs(self) -> list[Run]:
        """In an order that finishes pairs early: all variants of a seed before the next."""
        found = []
        for seed in self.seeds:
            for name, text in self.scenarios.items():
                for variant in self.variants:
                    for host in self.hosts:
                        if host == "live" and variant.policy != "module":
                            continue  # the program itself runs there, no baseline
                        run = Run(
                            text,
                            name,
                            variant.text,
                            variant.policy,
                            seed,
                            host,
                            "",
                            variant.checkout,
                            list(variant.told),
                            "",
                            self.loaders,
                        )
                        run.result = str(self.folder / "runs" / f"{run.key()}.json")
                        run.record = (
                            str(self.folder / "runs" / f"{run.key()}.npz") if self.records else ""
                        )
                        found.append(run)
        return found


@dataclass(slots=True)
class Progress:
    done: int = 0
    kept: int = 0  # finished before this call
    total: int = 0
    failed: list[str] = field(default_factory=list)
    running: dict[str, float] = field(default_factory=dict)


def fingerprint(checkout: str = "") -> str:
    """Of all sources that a result rests on: a finished run of other sources is not taken for one
    of these."""
    total = hashlib.sha256()
    roots = [HERE / "cairndale"]
    if checkout:
        roots += [Path(checkout) / layout.root for layout in LAYOUTS]
    for root in roots:
        for path in sorted(root.rglob("*.py")):
            total.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return total.hexdigest()[:16]


def finished(run: Run, sources: str) -> bool:
    try:
        mark = json.loads(Path(run.result + ".mark").read_bytes())
    except (OSError, ValueError):
        return False
    return mark == _mark(run, sources) and Path(run.result).exists()


def _mark(run: Run, sources: str) -> dict[str, Any]:
    text = hashlib.sha256(run.scenario.encode()).hexdigest()[:16]
    return {
        "sources": sources,
        "scenario": text,
        "told": [list(t) for t in run.told],
        "key": run.key(),
    }


async def carry_out(plan: Plan, told: Callable[[Progress], None]) -> Progress:
    """Plays what is not finished yet. Cancelled, it ends what runs and keeps what is finished."""
    (plan.folder / "runs").mkdir(parents=True, exist_ok=True)
    sources = {v.checkout: fingerprint(v.checkout) for v in plan.variants}
    runs = plan.runs()
    progress = Progress(total=len(runs))
    waiting = [r for r in runs if not finished(r, sources[r.checkout])]
    progress.kept = progress.done = len(runs) - len(waiting)
    told(progress)
    live = asyncio.Lock()  # live runs want the machine to themselves
    free = asyncio.Semaphore(max(1, plan.jobs))

    async def one(run: Run) -> None:
        async with free, live if run.host == "live" else contextlib.nullcontext():
            progress.running[run.key()] = asyncio.get_running_loop().time()
            told(progress)
            why = await _play(run)
            progress.running.pop(run.key(), None)
            if why:
                progress.failed.append(f"{run.key()}: {why}")
            else:
                write(Path(run.result + ".mark"), _mark(run, sources[run.checkout]))
                progress.done += 1
            told(progress)

    # Live runs come after all others: nothing else may use the cores meanwhile.
    for host in ("sim", "live"):
        async with asyncio.TaskGroup() as group:
            for run in waiting:
                if run.host == host:
                    group.create_task(one(run))
    return progress


async def _play(run: Run) -> str:
    """Why there is no result; empty if there is one."""
    spec = Path(run.result + ".spec")
    write(spec, run)
    env = {
        k: v for k, v in os.environ.items() if k not in ("OMP_NUM_THREADS", "OPENBLAS_NUM_THREADS")
    }
    env |= {"OMP_NUM_THREADS": "1", "OPENBLAS_NUM_THREADS": "1"}  # a core a run
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cairndale.lab.play",
        str(spec),
        cwd=HERE,
        env=env,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=die_with_parent(os.getpid()),
    )
    try:
        async with asyncio.timeout(TIMEOUT):
            _, errors = await process.communicate()
    except TimeoutError:
        return f"took over {TIMEOUT:.0f} s"
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        spec.unlink(missing_ok=True)
    if process.returncode == 0:
        return ""
    lines = errors.decode(errors="replace").strip().splitlines()
    return f"ended with {process.returncode}: {lines[-1] if lines else 'no word'}"


def results(folder: Path) -> list[dict[str, Any]]:
    """All results of a folder, in the order of their names. Raises ExperimentError for one that is
    damaged."""
    found = []
    for path in sorted((folder / "runs").glob("*.json")):
        try:
            found.append(msgspec.json.decode(path.read_bytes()))
        except (OSError, msgspec.DecodeError) as error:
            raise ExperimentError(f"{path}: {error}") from None
    return found


# Comparing.


@dataclass(slots=True)
class Difference:
    """Paired by seed: the variant's figure less the base's, with a 95% bootstrap interval of the
    mean."""

    scenario: str
    host: str
    variant: str
    figure: str
    base: float
    mean: float
    low: float
    high: float
    pairs: int


def interval(values: list[float], name: str) -> tuple[float, float, float]:
    """Mean and the 2.5th and 97.5th percentile of the means of resamples; one value has no
    interval."""
    array = np.array(values, dtype=float)
    if len(array) < 2:
        mean = float(array.mean()) if len(array) else float("nan")
        return mean, mean, mean
    rng = stream(0, f"bootstrap.{name}")
    means = array[rng.integers(len(array), size=(BOOTSTRAPS, len(array)))].mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return float(array.mean()), float(low), float(high)


def differences(
    rows: Iterable[dict[str, Any]], base: str, figures: tuple[str, ...] = FIGURES
) -> list[Difference]:
    by: dict[tuple[str, str, int], dict[str, dict[str, Any]]] = defaultdict(dict)
    for row in rows:
        by[row["scenario"], row["host"], row["seed"]][row["variant"]] = row["verdict"]
    paired: dict[tuple[str, str, str, str], list[tuple[float, float]]] = defaultdict(list)
    for (scenario, host, _), found in by.items():
        if base not in found:
            continue
        for variant, verdict in found.items():
            for figure in figures:
                paired[scenario, host, variant, figure].append(
                    (found[base][figure], verdict[figure])
                )
    made = []
    for (scenario, host, variant, figure), pairs in paired.items():
        if variant == base:
            continue
        mean, low, high = interval([b - a for a, b in pairs], f"{scenario}.{variant}.{figure}")
        was = float(np.mean([a for a, _ in pairs]))
        made.append(Difference(scenario, host, variant, figure, was, mean, low, high, len(pairs)))
    return made


def failures(rows: list[dict[str, Any]], base: str, conditions: list[str]) -> list[str]:
    """What `--fail-on` finds: `broken` (a rule, in any run of the base or of the module), `void`,
    or `FIGURE<-X` (a variant's mean loses more than X against the base on some scenario)."""
    found = []
    for condition in conditions:
        if condition in ("broken", "void"):
            key = "broken" if condition == "broken" else "void"
            for row in rows:
                if row["verdict"][key] and (key == "void" or row["variant"].startswith("module")):
                    first = row["verdict"][key][0]
                    text = first if isinstance(first, str) else f"{first['rule']}: {first['text']}"
                    found.append(
                        f"{row['scenario']} {row['variant']} seed {row['seed']} "
                        f"{row['host']}: {text}"
                    )
            continue
        figure, sign, limit = condition.partition("<-")
        try:
            most = float(limit)
        except ValueError:
            sign = ""
        if not sign or figure not in FIGURES:
            raise ExperimentError(
                f"--fail-on {condition!r}: broken, void or FIGURE<-X, of {', '.join(FIGURES)}"
            )
        for d in differences(rows, base, (figure,)):
            if d.mean < -most:
                found.append(
                    f"{d.scenario} {d.variant} {d.host}: {figure} {d.mean:+.4f} against {base} "
                    f"({d.low:+.4f} to {d.high:+.4f}, {d.pairs} pairs)"
                )
    return found
