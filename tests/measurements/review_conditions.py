"""Runs scripts of `review/` under conditions in which operators' machines may differ from this one.

`python -m tests.measurements.review_conditions FOLDER [--cases 4,6,7] [--conditions NAME,...]
[--runs 20] [--lanes 4] [--earlier CHECKOUT] [--old-deps FOLDER]`. Run by hand, on a checkout whose
`target/deps` is built. Each run has a copy of `review/` of its own in FOLDER, so that no record in
the repository is changed. A line of JSON for each run goes to FOLDER/results.jsonl, and a table is
printed.

The processes that a script starts are found as the children of the script's process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
SLOW_RUNNING_S, SLOW_STOPPED_S = 0.01, 0.04  # a slow process gets a fifth of a processor
RUN_WITHIN_S = 180.0
FEW_DESCRIPTORS = 96
PORT_RANGES = ((1_100, 9_000), (9_000, 20_000), (33_000, 60_000), (61_000, 65_500))
OUTCOMES = {0: "held", 1: "failed", 2: "could not run"}
MACHINES = ("core-1", "core-2", "core-3", "edge-1", "edge-2")


@dataclass(frozen=True, slots=True)
class Result:
    """One run of one script; `status` is its exit status, `detail` how the condition was set."""

    case: int
    condition: str
    status: int
    seconds: float
    detail: str
    findings: list[str]


@dataclass(slots=True)
class Checkout:
    """A copy of the repository for one run of one or more scripts."""

    folder: Path
    earlier: Path | None
    old_deps: Path | None
    rng: random.Random
    detail: str = ""
    slowed: str = ""  # "system": the processes of the system; "all": the script, too
    environment: dict[str, str] = field(default_factory=lambda: dict(os.environ))
    command: str = "exec sh run.sh"

    def link(self) -> None:
        """Share the program and its build, and copy the scripts."""
        for name in ("cairndale", "deploy", "target"):
            (self.folder / name).symlink_to(ROOT / name)
        self.copy_scripts()

    def copy_scripts(self) -> None:
        shutil.copytree(ROOT / "review", self.folder / "review")

    def edit_stand_ins(self, old: str, new: str) -> None:
        """Replace a text that occurs once in the copy of the stand-ins."""
        path = self.folder / "review/stand_ins_2.py"
        text = path.read_text()
        if text.count(old) != 1:
            raise ValueError(f"{old!r} does not occur once in {path.name}")
        path.write_text(text.replace(old, new))


def as_it_is(checkout: Checkout) -> None:
    """The scripts as they are."""
    checkout.link()


def slow_system(checkout: Checkout) -> None:
    """The system's processes get a fifth of a processor."""
    checkout.link()
    checkout.slowed = "system"


def slow_machine(checkout: Checkout) -> None:
    """The system's processes and the script get a fifth of a processor."""
    checkout.link()
    checkout.slowed = "all"


def cold_start(checkout: Checkout) -> None:
    """Neither compiled modules nor cached files."""
    ignore = shutil.ignore_patterns("__pycache__")
    for name in ("cairndale", "deploy", "target"):
        shutil.copytree(ROOT / name, checkout.folder / name, ignore=ignore, symlinks=True)
    checkout.copy_scripts()
    os.sync()
    for path in checkout.folder.rglob("*"):
        if path.is_file():
            with path.open("rb") as file:
                os.posix_fadvise(file.fileno(), 0, 0, os.POSIX_FADV_DONTNEED)
    checkout.environment["PYTHONDONTWRITEBYTECODE"] = "1"


def other_ports(checkout: Checkout) -> None:
    """Ports outside the usual range: low ones, and those of outgoing connections."""
    low, high = checkout.rng.choice(PORT_RANGES)
    checkout.link()
    checkout.edit_stand_ins(
        "random.randrange(21_000, 30_000, 16)", f"random.randrange({low}, {high}, 16)"
    )
    checkout.detail = f"ports {low} to {high}"


def bare_environment(checkout: Checkout) -> None:
    """Of the environment nothing but the path to programs, and another time zone."""
    checkout.link()
    checkout.environment = {"PATH": os.environ["PATH"], "TZ": "Pacific/Chatham", "LC_ALL": "C"}


def few_descriptors(checkout: Checkout) -> None:
    """Each process may open few files."""
    checkout.link()
    checkout.command = f"ulimit -n {FEW_DESCRIPTORS} && exec sh run.sh"


def one_earlier_process(checkout: Checkout) -> None:
    """One of the processes runs an earlier version."""
    if checkout.earlier is None:
        raise ValueError("this condition needs --earlier")
    name = checkout.rng.choice(MACHINES)
    checkout.link()
    checkout.edit_stand_ins(
        'shlex.split(self.run_lines["core" if machine.core else "edge"]), cwd=ROOT,',
        'shlex.split(self.run_lines["core" if machine.core else "edge"]),'
        f' cwd={str(checkout.earlier)!r} if machine.name == "{name}" else ROOT,',
    )
    checkout.detail = f"{name} is {checkout.earlier.name}"


def partial_build(checkout: Checkout) -> None:
    """What an interrupted build left, newer than the requirements, is built again."""
    build(checkout, ROOT / "target/deps")
    deps = checkout.folder / "target/deps"
    package = checkout.rng.choice(sorted(p for p in deps.iterdir() if (p / "__init__.py").exists()))
    shutil.rmtree(package)
    (deps / ".made").unlink(missing_ok=True)
    checkout.detail = f"without {package.name}"
    run_build_command(checkout)


def old_build(checkout: Checkout) -> None:
    """A build folder of another kind of machine, newer than the requirements, is built again."""
    if checkout.old_deps is None:
        raise ValueError("this condition needs --old-deps")
    build(checkout, checkout.old_deps)
    run_build_command(checkout)


def build(checkout: Checkout, deps: Path) -> None:
    """Make a checkout with a copy of a build folder."""
    checkout.link()
    (checkout.folder / "target").unlink()
    shutil.copytree(deps, checkout.folder / "target/deps", symlinks=True)
    for requirements in ROOT.glob("requirements*.txt"):
        shutil.copy2(requirements, checkout.folder)
    os.utime(checkout.folder / "target/deps")


def run_build_command(checkout: Checkout) -> None:
    """Build as operators do, by the command of the deploy file."""
    command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
    built = subprocess.run(["sh", "-c", command], cwd=checkout.folder, capture_output=True)
    checkout.detail += f" build status {built.returncode}"


CONDITIONS: dict[str, Callable[[Checkout], None]] = {
    function.__name__.replace("_", "-"): function
    for function in (
        as_it_is,
        slow_system,
        slow_machine,
        cold_start,
        other_ports,
        bare_environment,
        few_descriptors,
        one_earlier_process,
        partial_build,
        old_build,
    )
}


def children(pid: int) -> list[int]:
    """The processes that a process has started and that still run."""
    with suppress(OSError):
        return [
            int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
        ]
    return []


async def slow_down(pid: int, including_script: bool) -> None:
    """Stop and continue processes in turn, until cancelled."""
    while True:
        pids = children(pid) + [pid] * including_script
        for number, pause in ((signal.SIGSTOP, SLOW_STOPPED_S), (signal.SIGCONT, SLOW_RUNNING_S)):
            for victim in pids:
                with suppress(ProcessLookupError):
                    os.kill(victim, number)
            if number is signal.SIGSTOP:
                try:
                    await asyncio.sleep(pause)
                except asyncio.CancelledError:
                    for victim in pids:
                        with suppress(ProcessLookupError):
                            os.kill(victim, signal.SIGCONT)
                    raise
        await asyncio.sleep(SLOW_RUNNING_S)


def findings(record: str) -> list[str]:
    """The lines of a record that name a broken rule, or why a script could not run."""
    lines = (line[9:] for line in record.splitlines())
    return [line for line in lines if re.match(r"[A-Z/]{4,}: |the case could not run", line)]


async def run_script(checkout: Checkout, case: int, condition: str) -> Result:
    folder = checkout.folder / f"review/{case}"
    began_at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        checkout.command,
        cwd=folder,
        env=checkout.environment,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    slowing = None
    if checkout.slowed:
        slowing = asyncio.ensure_future(slow_down(process.pid, checkout.slowed == "all"))
    try:
        async with asyncio.timeout(RUN_WITHIN_S):
            status = await process.wait()
    except TimeoutError:
        process.terminate()
        status = await process.wait()
    finally:
        if slowing:
            slowing.cancel()
            await asyncio.gather(slowing, return_exceptions=True)
    seconds = round(time.monotonic() - began_at, 1)
    found = findings((folder / "record.txt").read_text(errors="replace"))
    return Result(case, condition, status, seconds, checkout.detail, found)


async def run_at_once(
    folder: Path, condition: str, cases: Iterable[int], options: argparse.Namespace, seed: int
) -> list[Result]:
    """Run scripts at the same time, in one copy of the repository."""
    folder.mkdir(parents=True)
    checkout = Checkout(folder, options.earlier, options.old_deps, random.Random(seed))
    CONDITIONS[condition](checkout)
    results = await asyncio.gather(*(run_script(checkout, case, condition) for case in cases))
    if all(result.status == 0 for result in results):
        shutil.rmtree(folder)
    return list(results)


def parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="tests.measurements.review_conditions")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--cases", default="4,6,7")
    parser.add_argument("--conditions", default=",".join(CONDITIONS))
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--lanes", type=int, default=4, help="scripts at a time")
    parser.add_argument("--together", action="store_true", help="the cases of a run at once")
    parser.add_argument("--earlier", type=Path, help="a checkout of an earlier version")
    parser.add_argument("--old-deps", type=Path, help="a build folder of another machine")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


async def run_all(options: argparse.Namespace) -> list[Result]:
    cases = [int(case) for case in options.cases.split(",")]
    groups = [cases] if options.together else [[case] for case in cases]
    lanes = asyncio.Semaphore(options.lanes)
    results: list[Result] = []
    options.folder.mkdir(parents=True, exist_ok=True)

    async def run(condition: str, group: list[int], number: int) -> None:
        name = f"{condition}{'-together' * options.together}"
        folder = options.folder / f"{name}-{'-'.join(map(str, group))}-{number}"
        async with lanes:
            found = await run_at_once(folder, condition, group, options, options.seed + number)
        results.extend(found)
        with (options.folder / "results.jsonl").open("a") as file:
            for result in found:
                file.write(json.dumps(asdict(result) | {"together": options.together}) + "\n")

    conditions = options.conditions.split(",")
    await asyncio.gather(
        *(run(c, g, n) for c in conditions for g in groups for n in range(options.runs))
    )
    return results


def main() -> int:
    """Run the scripts and print how many of them held; 1 if one did not."""
    results = asyncio.run(run_all(parse_options()))
    counts = Counter((r.condition, r.case, OUTCOMES.get(r.status, str(r.status))) for r in results)
    for (condition, case, outcome), count in sorted(counts.items()):
        print(f"{condition:20} case {case}: {outcome} {count}")
    return int(any(result.status for result in results))


if __name__ == "__main__":
    sys.exit(main())
