"""Many runs in parallel: `hunt` over seeds, and `shrink` of a run that failed.

Each run is a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import sys
from collections.abc import AsyncGenerator, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from cairndale.lab.faults.host import Result, result_of
from cairndale.lab.faults.schedule import Fault, Schedule, cross_field_errors, to_toml
from cairndale.lab.live.worker import spawn
from cairndale.lab.play import HERE

RUN_TIMEOUT_S = 120.0  # after which a run is aborted
# settle_s that shrinking tries: a run without agreement waits for all of it
SHRINK_SETTLE_S = 3.0


@dataclass(frozen=True, slots=True)
class RunSpec:
    """A run to carry out, of a shipped or random schedule by name, or of a file."""

    name: str
    seed: int
    folder: Path
    plant: str = ""


@dataclass(slots=True)
class HuntSummary:
    """Results of the runs so far."""

    runs: int = 0
    passed_runs: int = 0
    undecided: int = 0
    failed: list[Path] = field(default_factory=list)  # runs that could not be carried out
    broken: dict[str, list[Path]] = field(default_factory=dict)  # by property

    def add(self, folder: Path, result: Result | None) -> list[str]:
        """Adds a result, and returns the properties that the run broke."""
        self.runs += 1
        if result is None:
            self.failed.append(folder)
            return []
        broken = result.verdict.broken
        for name in broken:
            self.broken.setdefault(name, []).append(folder)
        if result.verdict.passed:
            self.passed_runs += 1
        elif not broken:
            self.undecided += 1
        return broken

    def describe(self) -> str:
        text = f"{self.runs} runs: {self.passed_runs} held, {self.undecided} undecided"
        if self.failed:
            text += f", {len(self.failed)} could not be carried out"
        parts = [f"{len(paths)} broke {name}" for name, paths in sorted(self.broken.items())]
        return ", ".join([text, *parts])


async def play_in_subprocess(spec: RunSpec) -> Result | None:
    """Plays a run in a process of its own; None if it could not be played."""
    spec.folder.parent.mkdir(parents=True, exist_ok=True)
    command = [
        sys.executable,
        "-m",
        "cairndale.lab",
        "faults",
        "run",
        spec.name,
        "--seed",
        str(spec.seed),
    ]
    command += ["--json", "--out", str(spec.folder)] + (
        ["--plant", spec.plant] if spec.plant else []
    )
    with spec.folder.with_suffix(".log").open("wb") as log:
        process = spawn(command, cwd=HERE, stdout=log, stderr=log)
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.05)
    except TimeoutError:
        return None
    finally:
        if process.poll() is None:
            process.kill()  # the kernel ends what it started with it
        process.wait()
    with contextlib.suppress(OSError, msgspec.DecodeError):
        return result_of(spec.folder)
    return None


async def play_all(
    specs: Iterator[RunSpec], jobs: int
) -> AsyncGenerator[tuple[RunSpec, Result | None], None]:
    """Plays runs, `jobs` at a time, and yields each with its result as it ends.

    Closing the generator ends the runs in progress."""
    tasks: dict[asyncio.Task[Result | None], RunSpec] = {}
    loop = asyncio.get_running_loop()
    try:
        while True:
            for spec in itertools.islice(specs, jobs - len(tasks)):
                tasks[loop.create_task(play_in_subprocess(spec))] = spec
            if not tasks:
                return
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                yield tasks.pop(task), task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def hunt(
    name: str,
    seeds: Iterator[int],
    minutes: float,
    jobs: int,
    out: Path,
    plant: str,
    stop_on: str,
    progress: Callable[[HuntSummary], None],
) -> HuntSummary:
    """Plays seeds until the time is over or the property `stop_on` is broken.

    Folders of runs that passed are removed."""
    loop, found = asyncio.get_running_loop(), HuntSummary()
    end = loop.time() + 60 * minutes

    def specs() -> Iterator[RunSpec]:
        for seed in seeds:
            if loop.time() >= end:
                return
            yield RunSpec(name, seed, out / f"{Path(name).stem.replace(':', '-')}-{seed}", plant)

    async with contextlib.aclosing(play_all(specs(), jobs)) as results:
        async for spec, result in results:
            broken = found.add(spec.folder, result)
            if result is not None and result.verdict.passed:
                shutil.rmtree(spec.folder)
                spec.folder.with_suffix(".log").unlink(missing_ok=True)
            progress(found)
            if stop_on and stop_on in broken:
                break
    return found


# Shrinking.


def smaller_schedules(schedule: Schedule) -> Iterator[Schedule]:
    """Smaller schedules, the largest reductions first: fewer faults, a shorter run, fewer processes
    and callers, shorter and simpler faults."""
    copy = msgspec.structs.replace
    faults = schedule.fault
    if schedule.settle_s > SHRINK_SETTLE_S:
        yield copy(schedule, settle_s=SHRINK_SETTLE_S)
    size = len(faults) // 2
    while size:
        for at in range(0, len(faults), size):
            yield copy(schedule, fault=faults[:at] + faults[at + size :])
        size //= 2
    end = max((f.at_s + f.len_s for f in faults), default=0.0)
    if schedule.length_s > end + 1.0:
        yield copy(schedule, length_s=round(end + 0.5, 2))
    first = min((f.at_s for f in faults), default=0.0)
    if first > 1.0:
        moved = [copy(f, at_s=round(f.at_s - first + 0.5, 2)) for f in faults]
        yield copy(schedule, fault=moved, length_s=round(schedule.length_s - first + 0.5, 2))
    fleet, load = schedule.fleet, schedule.load
    for key, least in (("ingresses", 0), ("lists", 1), ("servers", 1)):
        if (count := getattr(fleet, key)) > least:
            yield copy(schedule, fleet=copy(fleet, **{key: count - 1}))
    if fleet.counter:
        yield copy(schedule, fleet=copy(fleet, counter=False))
    for key in ("clients", "readers", "writers"):
        if count := getattr(load, key):
            yield copy(schedule, load=copy(load, **{key: count // 2}))
    for number, fault in enumerate(faults):
        for change in _simpler_faults(fault, schedule):
            yield copy(schedule, fault=[*faults[:number], change, *faults[number + 1 :]])


def _simpler_faults(fault: Fault, schedule: Schedule) -> Iterator[Fault]:
    copy = msgspec.structs.replace
    if fault.len_s > 0.4:
        yield copy(fault, len_s=round(fault.len_s / 2, 2))
    for key, names in (("on", fault.on), ("from_", fault.from_), ("to", fault.to)):
        chosen = schedule.select(names)
        if len(chosen) > 1:
            for half in (chosen[: len(chosen) // 2], chosen[len(chosen) // 2 :]):
                yield copy(fault, **{key: half})
    if fault.power:
        yield copy(fault, power=False)


@dataclass(slots=True)
class Shrunk:
    schedule: Schedule
    failed: int  # runs of the schedule that broke one of the properties ...
    runs: int  # ... out of this many runs
    tried: int  # schedules tried so far


async def shrink(
    result: Result,
    out: Path,
    jobs: int,
    runs_each: int,
    bound: int,
    progress: Callable[[Shrunk], None],
) -> Shrunk:
    """The smallest schedule found that still breaks one of the properties that this run broke.

    At most `bound` schedules are tried, each `runs_each` times, in batches that keep the cores
    busy."""
    target_properties = set(result.verdict.broken)
    numbers = itertools.count()
    best = Shrunk(result.schedule, 0, 0, 0)

    async def count_failures(schedules: Sequence[Schedule]) -> list[int]:
        """The number of failed runs of each schedule."""
        folder = out / "tries"
        folder.mkdir(parents=True, exist_ok=True)
        specs = []
        counts = [0] * len(schedules)
        which: dict[Path, int] = {}
        for n, schedule in enumerate(schedules):
            path = folder / f"try-{next(numbers)}.toml"
            path.write_text(to_toml(schedule))
            for seed in range(runs_each):
                run = RunSpec(str(path), result.seed + seed, path.with_name(f"{path.stem}-{seed}"))
                which[run.folder] = n
                specs.append(run)
        async with contextlib.aclosing(play_all(iter(specs), jobs)) as results:
            async for run, found in results:
                if found is not None and target_properties & set(found.verdict.broken):
                    counts[which[run.folder]] += 1
                shutil.rmtree(run.folder, ignore_errors=True)
        return counts

    (best.failed,) = await count_failures([best.schedule])
    best.runs, best.tried = runs_each, 1
    progress(best)
    batch = max(1, jobs // runs_each)
    improved = True
    while improved and best.tried < bound:
        improved = False
        candidates = (
            c for c in smaller_schedules(best.schedule) if not list(cross_field_errors(c))
        )
        while best.tried < bound and (candidate_batch := list(itertools.islice(candidates, batch))):
            counts = await count_failures(candidate_batch)
            best.tried += len(candidate_batch)
            failing = [(c, s) for c, s in zip(counts, candidate_batch, strict=True) if c]
            if failing:
                best.failed, best.schedule = max(failing, key=lambda g: g[0])
                improved = True
                progress(best)
                break
            progress(best)
    return best


def write_shrunk(found: Shrunk, result: Result, path: Path) -> None:
    broke = ", ".join(result.verdict.broken)
    head = f"# shrunk from {result.schedule.name}, seed {result.seed}: broke {broke}\n"
    head += (
        f"# it failed {found.failed} times of {found.runs}; {found.tried} schedules were tried\n"
    )
    path.write_text(head + to_toml(found.schedule))


def default_jobs() -> int:
    """Two runs for each core, since a run mostly waits."""
    return 2 * (os.cpu_count() or 1)


def as_json(result: Result, folder: Path) -> str:
    """The output of `run --json`."""
    payload = {
        "schedule": result.schedule.name,
        "seed": result.seed,
        "folder": str(folder),
        "properties": result.verdict.properties,
        "calls": result.verdict.calls,
        "findings": msgspec.to_builtins(result.verdict.findings),
        "happened": msgspec.to_builtins(result.happened),
        "agreed_s": result.seen.agreed_s,
    }
    return json.dumps(payload)
