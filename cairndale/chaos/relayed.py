"""A run whose processes meet each other through relays (`cairndale/lab/faults/relay.py`), so
that ways between them can be cut. Clients, operators and servers reach them straight."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from subprocess import DEVNULL, PIPE, Popen
from typing import Any

import msgspec

from cairndale.chaos.world import ROOT, Machine, World
from cairndale.lab.faults.launch import Control, LaunchSpec
from cairndale.lab.faults.links import CLEAR, Conditions
from cairndale.lab.live.worker import PipedProcess, spawn

Pairs = list[tuple[str, str]]  # of machines: what the first sends to the second


@dataclass
class RelayedWorld(World):
    plant: str = ""  # MODULE:FUNCTION that puts a known defect into each process

    def __post_init__(self) -> None:
        super().__post_init__()
        self.relay: PipedProcess | None = None
        self.opened: dict[str, int] = {}
        self.relayed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._cuts: dict[str, int] = {}  # by way: cuts that lie on it now

    def _said(self, said: dict[str, Any]) -> None:
        if "opened" in said:
            self.opened = said["opened"]
            self.relayed.set_result(None)

    def own(self, machine: Machine) -> str:
        return f"{machine.ip}:{self.base + (0 if machine.core else 1)}"

    async def begin(self) -> None:
        self.relay = PipedProcess("relay", ["cairndale.lab.faults.relay"], self.folder, self._said)
        await self.relay.ready
        pairs = [
            (a, b) for a in self.machines.values() for b in self.machines.values() if a is not b
        ]
        addresses = {f"{a.name}>{b.name}": self.own(b).rpartition(":") for a, b in pairs}
        self.relay.send(
            tcp=[[pair, host, int(port)] for pair, (host, _, port) in addresses.items()]
        )
        await self.relayed
        await super().begin()

    async def end(self) -> None:
        await super().end()
        if self.relay:
            await self.relay.end()

    def start(self, name: str) -> None:
        machine = self.machines[name]
        path, control = self.folder / f"{name}.json", self.folder / f"{name}.control"
        path.write_text(json.dumps(self.settings(machine)))
        machine.starts += 1
        if not control.exists():
            Control(control, create=True)
        routes = {
            self.own(m): self.opened[f"{name}>{m.name}"]
            for m in self.machines.values()
            if m.name != name
        }
        told = LaunchSpec(
            "cairndale",
            [],
            str(control),
            str(self.folder / f"{name}.synced"),
            routes,
            plant=self.plant,
        )
        spec = self.folder / f"{name}.launch"
        spec.write_bytes(msgspec.json.encode(told))
        env = self.environment(path)
        # by another: a full disk is not to swallow it
        with open(self.folder / f"{name}.log", "ab") as log:
            kept = Popen(["cat"], stdin=PIPE, stdout=log)
        assert kept.stdin
        command = [sys.executable, "-m", "cairndale.lab.faults.launch", str(spec)]
        out = kept.stdin
        machine.process = spawn(command, cwd=ROOT, env=env, stdin=DEVNULL, stdout=out, stderr=out)
        kept.stdin.close()

    def cut(self, pairs: Pairs, silent: bool) -> None:
        """Nothing passes these ways; who dials learns it at once, or is left without an answer."""
        assert self.relay
        fronts = [f"{a}>{b}" for a, b in pairs]
        for front in fronts:
            self._cuts[front] = self._cuts.get(front, 0) + 1
        self.relay.send(set={front: msgspec.to_builtins(Conditions(cut=True)) for front in fronts})
        self.relay.send(connect={front: "unanswered" if silent else "refuse" for front in fronts})
        if not silent:
            self.relay.send(reset=fronts)

    def heal(self, pairs: Pairs) -> None:
        """Ways on which no other cut lies are open again."""
        assert self.relay
        fronts = []
        for front in (f"{a}>{b}" for a, b in pairs):
            self._cuts[front] -= 1
            fronts += [front] * (not self._cuts[front])
        self.relay.send(set={front: msgspec.to_builtins(CLEAR) for front in fronts})
        self.relay.send(connect={front: "open" for front in fronts}, reset=fronts)

    def between(self, some: Iterable[str], others: Iterable[str], ways: str = "both") -> Pairs:
        """`ways`: "both"; "out": what the first send; "in": what they hear."""
        others = list(others)
        out = [(a, b) for a in some for b in others if a != b]
        back = [(b, a) for a, b in out]
        return list(dict.fromkeys(out * (ways != "in") + back * (ways != "out")))

    def fill_disk(self, name: str, full: bool) -> None:
        """No write of the process to a regular file gets through while it is full (the kernel says
        so: its bound on a file's size lies at nothing)."""
        if (process := self.machines[name].process) and process.poll() is None:
            bound = 1 if full else resource.RLIM_INFINITY
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (bound, resource.RLIM_INFINITY))

    def reseed(self, seeds: list[str]) -> None:
        """Other seeds stand in all settings files; who has started is told so (before that a SIGHUP
        ends a process, as it ends any)."""
        self.seeds = seeds
        for name, machine in self.machines.items():
            if machine.process and machine.process.poll() is None:
                (self.folder / f"{name}.json").write_text(json.dumps(self.settings(machine)))
                if (self.folder / f"{name}.log").read_text().count(
                    " 100 started"
                ) == machine.starts:
                    self.tell(name, signal.SIGHUP)
