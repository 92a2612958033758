"""The processes of a run: what each is started with, and what can be done to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from cairndale.lab.faults.calls import Lost, NotSent, ask
from cairndale.lab.faults.launch import Control, Launch, cut_power
from cairndale.lab.faults.schedule import Schedule
from cairndale.lab.live.host import held_datagram_port, held_port
from cairndale.lab.live.ports import HOST
from cairndale.lab.live.worker import spawn
from cairndale.lab.play import HERE

READY = 20.0  # s for a program to be ready
LOOK = 0.02  # s between looks whether it is
STOP = 6.0  # s from SIGTERM to SIGKILL
PERIOD = 0.2  # s between a member's probes: all that it does goes with that
SEEDS = 3  # members that others join through
LEASE_MS = 3_600_000  # servers of a run do not renew
SETTINGS: dict[str, Any] = {
    "me": 0,
    "fleet_size": 1,
    "period": 1000,
    "failure_domains": ["hall"],
    "flavors": ["big"],
    "services": [
        {"name": "order", "on_time": 500_000, "deadline": 1_000_000, "semantics": "fragile"}
    ],
    "contracts": [{"name": "gold", "quota_rate": 50.0, "burst": 50.0}],
    "ceilings": {
        "max_attempts": 3,
        "cancel": True,
        "connect_timeout": 250_000,
        "retry_after": True,
        "conn_idle": 10_000_000,
        "max_retry_after": 500_000,
        "max_open": 100,
    },
    "safety": {
        "answer_slack": 8000,
        "drain_grace": 250_000,
        "cold_share": 0.2,
        "ramp_time": 10_000_000,
        "tip_multiple": 2.0,
        "fall": 1_000_000,
    },
    "telemetry": {"fields": [], "via": "inline"},
    "domain": {"may_count": True, "count_wait": 30_000},
}
PORTS = {
    "l": ("reads", "writes"),
    "i": ("clients", "ops"),
    "s": ("serve",),
    "m": ("member", "ops"),
    "c": ("serve",),
}
DATAGRAMS = {"m": {"m": ("member",)}}
DIALS: dict[str, dict[str, tuple[str, ...]]] = {  # who meets whom, and where
    "l": {"l": ("reads", "writes")},
    "i": {"l": ("reads",), "s": ("serve",), "c": ("serve",)},
    "m": {"m": ("member",)},
    "w": {"l": ("reads", "writes")},
    "r": {"l": ("reads", "writes")},
    "q": {"i": ("clients",)},
}


@dataclass(slots=True)
class Process:
    name: str
    folder: Path
    ports: dict[str, int]
    process: subprocess.Popen[bytes] | None = None
    # handed over, not yet ended
    leaving: list[subprocess.Popen[bytes]] = field(default_factory=list)
    up: bool = False  # started, and not ended by a fault
    stopped: bool = False
    expected: bool = False  # its end is a fault's doing
    follow: str = ""  # a list service's leader; empty: it leads
    bad_disk: bool = False
    skewed: bool = False
    control: Control | None = None
    # of its folder, and when they were made
    copies: list[tuple[float, Path]] = field(default_factory=list)

    @property
    def kind(self) -> str:
        return self.name[0]

    @property
    def data(self) -> Path:
        return self.folder / "data"

    @property
    def log(self) -> str:
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""


class Processes:
    """All processes of a schedule. Ports are drawn by the system, and held over restarts."""

    def __init__(self, schedule: Schedule, seed: int, folder: Path) -> None:
        self.schedule, self.seed, self.folder = schedule, seed, folder
        self.holders: list[socket.socket] = []
        self.all: dict[str, Process] = {}
        self.routes: dict[str, dict[str, int]] = {}
        self.udp: dict[str, dict[str, int]] = {}
        skewed = {n for f in schedule.fault if f.kind == "clock" for n in schedule.chosen(f.on)}
        for name in schedule.processes():
            ports = {port: self._hold(name[0], port) for port in PORTS[name[0]]}
            made = self.all[name] = Process(name, folder / name, ports, skewed=name in skewed)
            made.data.mkdir(parents=True)
            if name[0] == "l" and name != "l0":
                made.follow = self.address("l0", "reads")
            if name[0] in "lim":
                made.control = Control(made.folder / "control", create=True)

    def _hold(self, kind: str, port: str) -> int:
        """The number of a process's port, by what it serves there."""
        datagrams = DATAGRAMS.get(kind, {}).values()
        takes_datagrams = any(port in ports for ports in datagrams)
        holder, number = held_datagram_port() if takes_datagrams else held_port()
        self.holders.append(holder)
        return number

    def address(self, name: str, port: str) -> str:
        return f"{HOST}:{self.all[name].ports[port]}"

    def of(self, kind: str) -> list[Process]:
        return [p for p in self.all.values() if p.kind == kind]

    def fronts(self) -> Iterator[tuple[str, str, str]]:
        """Who dials whom, and at which port: for each of them there is a relay."""
        for a in [*self.all, *self.schedule.callers()]:
            for b in self.all:
                for port in DIALS.get(a[0], {}).get(b[0], ()) if a != b else ():
                    yield a, b, port

    def datagrams(self) -> Iterator[tuple[str, str, str]]:
        """Who sends whom datagrams, and to which port."""
        for a, it in self.all.items():
            for b in self.all:
                for port in DATAGRAMS.get(it.kind, {}).get(b[0], ()) if a != b else ():
                    yield a, b, port

    def route(self, opened: dict[str, int]) -> None:
        """`opened`: the relays' ports by front."""
        for a, b, port in self.datagrams():
            self.udp.setdefault(a, {})[self.address(b, port)] = opened[f"{a}>{b}#{port}/udp"]
        for a, b, port in self.fronts():
            self.routes.setdefault(a, {})[self.address(b, port)] = opened[f"{a}>{b}#{port}"]

    # Starting.

    def _command(self, it: Process) -> list[str]:
        match it.kind:
            case "l":
                config: dict[str, Any] = {
                    "data": str(it.data),
                    "reads": self.address(it.name, "reads"),
                    "writes": self.address(it.name, "writes"),
                    "lease_ms": [1000, LEASE_MS],
                }
                if it.follow:
                    config["follow"] = it.follow
                return self._wrapped(
                    it, "cairndale.discovery", config, [str(it.folder / "config.json")]
                )
            case "i":
                return self._wrapped(it, "cairndale.ingress", self._ingress(it), [])
            case "m":
                seeds = [
                    self.address(p.name, "member") for p in self.of("m")[:SEEDS] if p is not it
                ]
                told = {
                    "name": it.name,
                    "fleet": "lab",
                    "listen": self.address(it.name, "member"),
                    "folder": str(it.data),
                    "seeds": seeds,
                    "founds": it.name == "m0",
                    "ops": self.address(it.name, "ops"),
                    "period_s": PERIOD,
                }
                path = it.folder / "member.toml"
                path.write_text(tomli_w.dumps(told))
                return self._wrapped(it, "cairndale.gossip", {}, [str(path)])
            case "s":
                return [
                    "cairndale.lab.faults.standins",
                    "server",
                    str(it.ports["serve"]),
                    str(self.folder / f"effects-{it.name}.txt"),
                ]
        return ["cairndale.lab.faults.standins", "counter", str(it.ports["serve"]), "-"]

    def _ingress(self, it: Process) -> dict[str, Any]:
        lists = [self.address(p.name, "reads") for p in self.of("l")]
        counts = bool(self.of("c"))
        settings = SETTINGS | {"me": int(it.name[1:]), "fleet_size": len(self.of("i"))}
        settings["domain"] = SETTINGS["domain"] | {"may_count": counts}
        return {
            "name": it.name,
            "listen": self.address(it.name, "clients"),
            "ops": self.address(it.name, "ops"),
            "seed": f"{self.seed * 1000 + settings['me']:016x}",
            "limits": {},
            "discovery": lists[0],
            "directory": {"addresses": lists[1:]},
            "settings": settings,
        } | ({"counter": self.address("c0", "serve")} if counts else {})

    def _wrapped(
        self, it: Process, module: str, config: dict[str, Any], argv: list[str]
    ) -> list[str]:
        (it.folder / "config.json").write_text(json.dumps(config))
        spec = Launch(
            module,
            argv,
            str(it.folder / "control"),
            str(it.folder / "synced"),
            self.routes.get(it.name, {}),
            self.udp.get(it.name, {}),
            self.schedule.plant,
            it.skewed,
        )
        path = it.folder / "launch.json"
        path.write_bytes(msgspec.json.encode(spec))
        return ["cairndale.lab.faults.launch", str(path)]

    def launch(self, it: Process) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(it.folder / "config.json"), "TMPDIR": str(it.data)}
        with (it.folder / "log.txt").open("ab") as log:
            command = [sys.executable, "-m", *self._command(it)]
            it.process = spawn(command, cwd=HERE, env=env, stdout=log, stderr=log)
        it.expected = it.stopped = False

    async def ready(self, it: Process, process: subprocess.Popen[bytes]) -> bool:
        """Whether that process of it is; False once it has ended, or in `READY` s."""
        path, port = {
            "l": ("/status", "writes"),
            "i": ("/status", "ops"),
            "m": ("/members", "ops"),
        }.get(it.kind, ("/", "serve"))
        loop = asyncio.get_running_loop()
        end = loop.time() + READY
        while process.poll() is None and loop.time() < end:
            if it.kind == "c":
                if await _listens(it.ports[port]):
                    return True
            else:
                with contextlib.suppress(NotSent, Lost):
                    status, _ = await ask(it.ports[port], "GET", path)
                    if status == (200 if it.kind in "lim" else 404):
                        return True
            await asyncio.sleep(LOOK)
        return False

    async def start(self, it: Process) -> bool:
        """Starts it at its address; False if it did not come up."""
        self.launch(it)
        assert it.process
        it.up = await self.ready(it, it.process)
        return it.up

    # Ending.

    async def gone(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            await asyncio.sleep(0.005)

    async def kill(self, it: Process) -> None:
        it.expected, it.up, it.stopped = True, False, False
        for process in (it.process, *it.leaving):
            if process:
                process.kill()
                await self.gone(process)

    async def terminate(self, it: Process) -> None:
        """SIGTERM; SIGKILL where that is not heard in time."""
        it.expected, it.up = True, False
        if it.process:
            it.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP):
                    await self.gone(it.process)
            except TimeoutError:
                await self.kill(it)

    def pause(self, it: Process, stopped: bool) -> None:
        it.stopped = stopped
        for process in (it.process, *it.leaving):
            if process and process.poll() is None:
                process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    async def upgrade(self, it: Process) -> bool:
        """A new process beside it, at another ops address, that takes over; False if it did not."""
        before, it.ports["ops"] = it.process, self._hold(it.name[0], "ops")
        assert before
        it.leaving.append(before)
        self.launch(it)
        assert it.process
        good = await self.ready(it, it.process)
        before.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP):
                await self.gone(before)
        except TimeoutError:
            before.kill()
            await self.gone(before)
        it.leaving.remove(before)
        return good

    # Folders.

    def copy(self, it: Process, now: float) -> None:
        """Puts a copy of its folder aside, as a backup taken while it runs would."""
        target = it.folder / f"copy-{len(it.copies)}"
        # a file that was replaced meanwhile: no copy then
        with contextlib.suppress(OSError, shutil.Error):
            shutil.copytree(
                it.data, target, ignore=shutil.ignore_patterns("*.new", "lock", "*.sock*")
            )
            it.copies.append((now, target))

    def put_back(self, it: Process, what: str, power: bool) -> int:
        """What it finds when it starts again; the bytes lost."""
        if what != "same":
            shutil.rmtree(it.data)
            if what == "old" and it.copies:
                shutil.copytree(it.copies[0][1], it.data)
            else:
                it.data.mkdir()
        elif power and it.kind == "l":
            return cut_power(it.data, it.folder / "synced")
        return 0

    def end(self) -> None:
        for it in self.all.values():
            for process in (it.process, *it.leaving):
                if process and process.poll() is None:
                    process.kill()
                    process.wait()
        for holder in self.holders:
            holder.close()


async def _listens(port: int) -> bool:
    try:
        async with asyncio.timeout(1.0):
            _, writer = await asyncio.open_connection(HOST, port)
        writer.transport.abort()
        return True
    except OSError:
        return False
