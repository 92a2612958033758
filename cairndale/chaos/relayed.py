"""A system whose processes reach each other through relays (`cairndale/lab/faults/relay.py`), so
that links between them can be partitioned. Clients, operators and servers connect directly."""

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

Links = list[tuple[str, str]]  # from the first machine to the second


@dataclass
class RelayedWorld(World):
    """A system with a relay for each direction between two machines."""

    plant: str = ""  # MODULE:FUNCTION that applies a known defect in each process

    def __post_init__(self) -> None:
        super().__post_init__()
        self.relay: PipedProcess | None = None
        self.relay_ports: dict[str, int] = {}
        self.relay_opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._partition_counts: dict[str, int] = {}  # by link: partitions that include it now

    def _handle_relay_message(self, message: dict[str, Any]) -> None:
        if "opened" in message:
            self.relay_ports = message["opened"]
            self.relay_opened.set_result(None)

    def peer_address(self, machine: Machine) -> str:
        """Return the address at which other processes of the system reach a machine."""
        return f"{machine.ip}:{self.port_base + (0 if machine.core else 1)}"

    async def begin(self) -> None:
        self.relay = PipedProcess(
            "relay", ["cairndale.lab.faults.relay"], self.folder, self._handle_relay_message
        )
        await self.relay.ready
        machine_pairs = [
            (a, b) for a in self.machines.values() for b in self.machines.values() if a is not b
        ]
        addresses = {
            f"{a.name}>{b.name}": self.peer_address(b).rpartition(":") for a, b in machine_pairs
        }
        self.relay.send(
            tcp=[[pair, host, int(port)] for pair, (host, _, port) in addresses.items()]
        )
        await self.relay_opened
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
            self.peer_address(m): self.relay_ports[f"{name}>{m.name}"]
            for m in self.machines.values()
            if m.name != name
        }
        launch = LaunchSpec(
            "cairndale",
            [],
            str(control),
            str(self.folder / f"{name}.synced"),
            routes,
            plant=self.plant,
        )
        launch_file = self.folder / f"{name}.launch"
        launch_file.write_bytes(msgspec.json.encode(launch))
        env = self.environment(path)
        # Another process writes the log, so that a full disk does not lose it.
        with open(self.folder / f"{name}.log", "ab") as log:
            log_writer = Popen(["cat"], stdin=PIPE, stdout=log)
        assert log_writer.stdin
        command = [sys.executable, "-m", "cairndale.lab.faults.launch", str(launch_file)]
        log_pipe = log_writer.stdin
        machine.process = spawn(
            command, cwd=ROOT, env=env, stdin=DEVNULL, stdout=log_pipe, stderr=log_pipe
        )
        log_writer.stdin.close()

    def partition(self, links: Links, silent: bool) -> None:
        """Block these links. New connections get no answer if `silent`, else they are refused and
        open ones are reset."""
        assert self.relay
        link_names = [f"{a}>{b}" for a, b in links]
        for link_name in link_names:
            self._partition_counts[link_name] = self._partition_counts.get(link_name, 0) + 1
        self.relay.send(
            set={link_name: msgspec.to_builtins(Conditions(cut=True)) for link_name in link_names}
        )
        self.relay.send(
            connect={link_name: "unanswered" if silent else "refuse" for link_name in link_names}
        )
        if not silent:
            self.relay.send(reset=link_names)

    def heal(self, links: Links) -> None:
        """Reopen those of these links that no other partition includes."""
        assert self.relay
        restored = []
        for link_name in (f"{a}>{b}" for a, b in links):
            self._partition_counts[link_name] -= 1
            restored += [link_name] * (not self._partition_counts[link_name])
        self.relay.send(set={link_name: msgspec.to_builtins(CLEAR) for link_name in restored})
        self.relay.send(connect={link_name: "open" for link_name in restored}, reset=restored)

    def links_between(
        self, nodes: Iterable[str], others: Iterable[str], direction: str = "both"
    ) -> Links:
        """Return the links between two groups. `direction`: "out" is from `nodes` to `others`,
        "in" the reverse, "both" is both."""
        others = list(others)
        outgoing = [(a, b) for a in nodes for b in others if a != b]
        incoming = [(b, a) for a, b in outgoing]
        return list(dict.fromkeys(outgoing * (direction != "in") + incoming * (direction != "out")))

    def fill_disk(self, name: str, full: bool) -> None:
        """Make writes of the process to regular files fail while `full`, by a file size limit of 1
        byte that the kernel enforces."""
        if (process := self.machines[name].process) and process.poll() is None:
            size_limit = 1 if full else resource.RLIM_INFINITY
            resource.prlimit(
                process.pid, resource.RLIMIT_FSIZE, (size_limit, resource.RLIM_INFINITY)
            )

    def update_seeds(self, seeds: list[str]) -> None:
        """Write other seeds to all settings files, and send SIGHUP to the processes that have
        started: before that point the signal would end them."""
        self.seeds = seeds
        for name, machine in self.machines.items():
            if machine.process and machine.process.poll() is None:
                (self.folder / f"{name}.json").write_text(json.dumps(self.settings(machine)))
                if (self.folder / f"{name}.log").read_text().count(
                    " 100 started"
                ) == machine.starts:
                    self.send_signal(name, signal.SIGHUP)
