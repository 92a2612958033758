"""Runs an earlier program and the present one together, as a rolling upgrade does.

Run by hand, from the repository's root, with the pinned requirements installed; CI has no checkout
of the old program:

    git worktree add ../eb69f91 eb69f91
    python -m tests.golden.mixed_versions ../eb69f91
    python -m tests.golden.mixed_versions ../69dc9dd --old-module cairndale

Real processes on loopback: five of the control plane, two of the data plane, and stand-in servers
in this one. Two scenarios: the processes are replaced one by one and one is put back; then all are
stopped and started at once, on the state that the old ones left. After each step a configuration
change must be acknowledged, and requests must be served. One line a step says what was measured.
The exit status is 1 after a failure.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL, Popen
from typing import Any

from cairndale.chaos.standins import http_call
from cairndale.chaos.world import World

ROOT = Path(__file__).resolve().parent.parent.parent
CORES, EDGES, SERVERS = (
    5,
    2,
    2,
)  # processes of the control plane, of the data plane, servers of a service
REQUESTS = 20  # of each kind, after each step
AT_ONCE = 10  # of these; with more, servers would have no room
STOP_WITHIN = 20.0  # s for a process to end after SIGTERM
READY_WITHIN = 40.0  # s until all processes that run are ready
SETTLED_WITHIN = 20.0  # s until members and configuration are as they are to be
SCENARIO_WITHIN = 400.0  # s for one scenario
EVACUATED = "south-c"  # a zone that no server and no ingress is in
# Numbers of events (docs/events.md) that tell of data that was not understood or is not as it was
# made; their names differ between the two programs.
BAD_EVENTS = {110, 120, 121, 122, 124, 504, 600, 601, 900}
LOG_TAIL = 2000  # characters of each log that are shown after a failure


class StepError(Exception):
    """A step that did not come to what it must."""


@dataclass(frozen=True, slots=True)
class Program:
    """A version of the program: its name, its checkout, and the module that is run there."""

    name: str
    checkout: Path
    module: str


@dataclass
class MixedWorld(World):
    """A system in which each process runs a program of its own choice."""

    programs: dict[str, Program] = field(default_factory=dict)  # by process

    def start(self, name: str) -> None:
        machine, program = self.machines[name], self.programs[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(machine)))
        machine.starts += 1
        environment = self.environment(path) | {"PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, "-m", program.module]
        with open(self.folder / f"{name}.log", "ab") as log:
            machine.process = Popen(
                command,
                cwd=program.checkout,
                env=environment,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )


def event_number(line: str) -> int:
    """Of a line of a log, which begins with its level and that number; 0 for another line."""
    _, _, rest = line.partition(" ")
    number = rest.partition(" ")[0]
    return int(number) if number.isdecimal() else 0


def shape(value: Any) -> Any:
    """Of an answer: the names in it, the types of its values, and those of a list's first item."""
    if isinstance(value, dict):
        return {name: shape(member) for name, member in value.items()}
    if isinstance(value, list):
        return [shape(member) for member in value[:1]]
    return type(value).__name__


async def until(what: str, holds: Callable[[], Awaitable[bool]], within: float) -> None:
    """Raises StepError if it does not hold in time."""
    try:
        async with asyncio.timeout(within):
            while not await holds():
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise StepError(f"{what}: not within {within:.0f} s") from None


class Scenario:
    """A system, what it is to know, and the checks after each step."""

    def __init__(self, name: str, folder: Path, program: Program) -> None:
        self.name = name
        self.world = MixedWorld(folder, CORES, EDGES, SERVERS)
        self.world.programs = dict.fromkeys(self.world.machines, program)
        self.content: dict[str, Any] = {}
        self.disks: dict[str, str] = {}  # of the control plane's processes, by name
        self.changes = 0

    @property
    def cores(self) -> list[str]:
        return [name for name, machine in self.world.machines.items() if machine.core]

    @property
    def edges(self) -> list[str]:
        return [name for name, machine in self.world.machines.items() if not machine.core]

    def say(self, step: str, *measured: str) -> None:
        print(f"{self.name}: {step}: {', '.join(measured)}", flush=True)

    # What is done.

    async def begin(self) -> None:
        await self.world.begin()
        self.content = self.world.content()
        status, told = await self.world.configure()
        if status != 200:
            raise StepError(f"the first configuration: {status} {told}")
        await self.wait_ready()
        await self.wait_members()
        self.disks = await self.members()

    async def stop(self, *names: str) -> float:
        """Seconds until all of them ended. Raises StepError for an exit status other than 0."""
        began = time.monotonic()
        processes = {name: self.world.machines[name].process for name in names}
        try:
            await asyncio.gather(
                *(self.world.kill(name, signal.SIGTERM, STOP_WITHIN) for name in names)
            )
        except TimeoutError:
            raise StepError(
                f"{' '.join(names)}: running {STOP_WITHIN:.0f} s after SIGTERM"
            ) from None
        for name, process in processes.items():
            if process is None or process.returncode != 0:
                raise StepError(f"{name}: ended with {process and process.returncode}")
        return time.monotonic() - began

    async def replace(self, name: str, program: Program) -> None:
        """Another program in the place of the one that runs, with the same settings and state."""
        before = self.world.programs[name].name
        stopped = await self.stop(name)
        self.world.programs[name] = program
        self.world.start(name)
        ready = await self.wait_ready()
        step = f"{name} from {before} to {program.name}"
        self.say(
            step, f"stopped in {stopped:.2f} s", f"all ready in {ready:.2f} s", *await self.check()
        )

    async def check(self) -> list[str]:
        """What must hold after each step. Raises StepError."""
        await self.wait_members()
        leader = await self.leader()
        acknowledged = await self.change()
        told_at = await self.check_configuration()
        served = await self.check_requests()
        self.check_running()
        return [
            f"leader {leader} ({self.world.programs[leader].name})",
            f"version {self.world.gen} acknowledged in {acknowledged:.3f} s",
            f"read at {told_at} of {CORES}",
            served,
        ]

    # What is waited for and checked.

    async def wait_ready(self) -> float:
        """Seconds until all processes are ready."""
        began = time.monotonic()
        try:
            await self.world.ready(EDGES, READY_WITHIN)
        except TimeoutError as error:
            raise StepError(str(error)) from None
        return time.monotonic() - began

    async def show(self) -> dict[str, Any]:
        """What the leader tells operators of the system."""
        status, shown = await self.world.order("GET", "Fleet.Show")
        if status != 200:
            raise StepError(f"Fleet.Show: {status}")
        return dict(shown)

    async def shown_shape(self) -> Any:
        """Once every server is known, and every process of the data plane."""
        found: list[Any] = []

        async def whole() -> bool:
            found[:] = [await self.show()]
            kinds = [node["kind"] for node in found[0]["nodes"]]
            return (
                len(found[0]["servers"]) == len(self.world.started_servers)
                and kinds.count("edge") == EDGES
            )

        await until("all servers and ingresses in Fleet.Show", whole, SETTLED_WITHIN)
        return shape(found[0])

    async def members(self) -> dict[str, str]:
        """The disk of each member of the control plane, by its name."""
        shown = await self.show()
        disks = {address.partition(":")[0]: disk for address, disk, *_ in shown["members"]}
        return {
            name: disks[ip] for name in self.cores if (ip := self.world.machines[name].ip) in disks
        }

    async def wait_members(self) -> None:
        """Every process of the control plane is a member, with the same disk as before."""

        async def complete() -> bool:
            members = await self.members()
            return set(members) == set(self.cores) and (not self.disks or members == self.disks)

        await until("members with the disks from before", complete, SETTLED_WITHIN)

    async def leader(self) -> str:
        """The process of the control plane that leads now."""
        names = {machine.ip: name for name, machine in self.world.machines.items()}
        found: list[str] = []

        async def known() -> bool:
            found[:] = [
                names[ip] for ip in [(await self.show())["leader"].partition(":")[0]] if ip in names
            ]
            return bool(found)

        await until("a leader", known, SETTLED_WITHIN)
        return found[0]

    async def follower_that_runs(self, program: Program) -> str:
        """A process of the control plane that runs this program; the leader if no other does."""
        leader = await self.leader()
        names = [name for name in self.cores if self.world.programs[name] is program]
        return next((name for name in names if name != leader), leader)

    async def change(self) -> float:
        """Adds a route; seconds until that was acknowledged."""
        self.changes += 1
        added = self.content["routes"][0] | {"name": self.added, "pathPrefix": f"/{self.added}/"}
        order = {"gen": self.world.gen + 1, "parent": self.world.gen, "upsert": {"routes": [added]}}
        began = time.monotonic()
        status, told = await self.world.order("POST", "Config.Update", order)
        if status != 200:
            raise StepError(f"Config.Update: {status} {told}")
        self.world.gen += 1
        self.content["routes"] = [*self.content["routes"], added]
        return time.monotonic() - began

    @property
    def added(self) -> str:
        """The newest route."""
        return f"added-{self.changes}"

    async def evacuate(self) -> None:
        status, told = await self.world.order("POST", f"Drain.Begin/{EVACUATED}")
        if status != 200:
            raise StepError(f"Drain.Begin: {status} {told}")
        await self.check_evacuated()

    async def check_evacuated(self) -> None:
        if (evacuated := (await self.show())["evacuated"]) != {EVACUATED: 1}:
            raise StepError(f"evacuated: {evacuated}")

    async def check_configuration(self) -> int:
        """How many processes of the control plane tell the whole configuration: all. Raises
        StepError otherwise."""
        expected = self.content | {"gen": self.world.gen}
        for name in self.cores:
            address = self.world.address(self.world.machines[name], 1)

            async def told(address: str = address) -> bool:
                status, body = await http_call(address, "GET", "/-/Config.Read")
                return status == 200 and json.loads(body) == expected

            await until(f"the configuration at {name}", told, SETTLED_WITHIN)
        return len(self.cores)

    async def check_requests(self) -> str:
        """Requests of both kinds, and one by the newest route at each ingress. Raises StepError
        unless each was served, and ran once."""
        asked = [self.world.request("GET", f"/tiles/{number}") for number in range(REQUESTS)]
        asked += [
            self.world.request("POST", f"/books/{number}", body=b"x") for number in range(REQUESTS)
        ]
        asked += [
            self.world.request("GET", f"/{self.added}/1", at=self.world.edge(name))
            for name in self.edges
        ]
        heard = []
        for first in range(0, len(asked), AT_ONCE):
            heard += await asyncio.gather(*asked[first : first + AT_ONCE])
        if refused := [f"{one.path} {one.status}" for one in heard if one.status != 200]:
            raise StepError(f"not served: {' '.join(refused)}")
        times = self.world.ledger.execution_counts()
        if repeated := [one.path for one in heard if times[one.request] != 1]:
            raise StepError(f"did not run once: {' '.join(repeated)}")
        return f"{len(heard)} of {len(asked)} requests served, each ran once"

    def check_running(self) -> None:
        for name, machine in self.world.machines.items():
            if machine.process is None or machine.process.poll() is not None:
                raise StepError(f"{name}: not running")

    def check_verdict(self) -> None:
        """Over the whole scenario, from what the servers and the processes wrote down. Raises
        StepError."""
        if broken := [*self.world.verdict(), *self.bad_events()]:
            raise StepError("; ".join(broken))
        requests = f"{len(self.world.attempts)} requests"
        self.say("whole scenario", requests, "nothing broken", "no event of bad data in the logs")

    def bad_events(self) -> list[str]:
        """Lines of the logs, each with its process."""
        found = []
        for name in self.world.machines:
            lines = (self.world.folder / f"{name}.log").read_text().splitlines()
            found += [f"{name}: {line}" for line in lines if event_number(line) in BAD_EVENTS]
        return found


async def one_by_one(scenario: Scenario, old: Program, new: Program) -> None:
    """Each process is replaced, the leader last of the control plane, so that it is once the old
    program that leads new ones and once the other way round. In the end one is put back."""
    await scenario.begin()
    scenario.say(f"all {old.name}", *await scenario.check())
    first_edge, *other_edges = scenario.edges
    await scenario.replace(await scenario.follower_that_runs(old), new)
    await scenario.replace(first_edge, new)
    while old in [scenario.world.programs[name] for name in scenario.cores]:
        await scenario.replace(await scenario.follower_that_runs(old), new)
    for name in other_edges:
        await scenario.replace(name, new)
    await scenario.replace(await scenario.leader(), old)
    scenario.check_verdict()


async def all_at_once(scenario: Scenario, old: Program, new: Program) -> None:
    """All processes end; all start with the new program on the state that is there. A zone stays
    evacuated, and operators are told the same fields."""
    await scenario.begin()
    scenario.say(f"all {old.name}", *await scenario.check())
    await scenario.evacuate()
    shown = await scenario.shown_shape()
    names = [*scenario.cores, *scenario.edges]
    stopped = await scenario.stop(*names)
    for name in names:
        scenario.world.programs[name] = new
        scenario.world.start(name)
    ready = await scenario.wait_ready()
    measured = [
        f"stopped in {stopped:.2f} s",
        f"all ready in {ready:.2f} s",
        *await scenario.check(),
    ]
    await scenario.check_evacuated()
    if (now := await scenario.shown_shape()) != shown:
        raise StepError(f"Fleet.Show told {shown}, and now {now}")
    measured.append(f"{EVACUATED} still evacuated, Fleet.Show has the same fields")
    scenario.say(f"all from {old.name} to {new.name}", *measured)
    scenario.check_verdict()


def show_logs(folder: Path) -> None:
    for log in sorted(folder.glob("*.log")):
        print(f"--- {log.name}\n{log.read_text()[-LOG_TAIL:]}", file=sys.stderr)


async def run(
    name: str,
    play: Callable[[Scenario, Program, Program], Awaitable[None]],
    old: Program,
    new: Program,
) -> bool:
    """Whether the scenario held. Processes that it started have ended afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(name, Path(folder), old)
        try:
            async with asyncio.timeout(SCENARIO_WITHIN):
                await play(scenario, old, new)
        except (StepError, OSError, ValueError, LookupError) as error:  # TimeoutError is an OSError
            print(f"{name}: FAILED: {error!r}", flush=True)
            show_logs(Path(folder))
            return False
        finally:
            await scenario.world.end()
    return True


async def main(old: Program, new: Program) -> int:
    held = [
        await run("one by one", one_by_one, old, new),
        await run("all at once", all_at_once, old, new),
    ]
    return 0 if all(held) else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("old_checkout", type=Path)
    parser.add_argument("new_checkout", type=Path, nargs="?", default=ROOT)
    parser.add_argument("--old-module", default="playhouse", help="the old program's module")
    arguments = parser.parse_args()
    old_checkout = arguments.old_checkout.resolve()
    old_program = Program(old_checkout.name, old_checkout, arguments.old_module)
    new_program = Program("new", arguments.new_checkout.resolve(), "cairndale")
    sys.exit(asyncio.run(main(old_program, new_program)))
