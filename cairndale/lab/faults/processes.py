"""The processes of a run: their configuration, start, faults and folders."""

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

from cairndale.lab.faults.calls import ConnectFailed, ResponseLost, send_request
from cairndale.lab.faults.launch import Control, LaunchSpec, truncate_to_synced
from cairndale.lab.faults.schedule import Schedule
from cairndale.lab.live.host import reserve_datagram_port, reserve_port
from cairndale.lab.live.ports import HOST
from cairndale.lab.live.worker import spawn
from cairndale.lab.play import HERE

READY_TIMEOUT_S = 20.0  # for a program to be ready
READY_POLL_S = 0.02  # between checks whether a program is ready
TERMINATE_TIMEOUT_S = 6.0  # from SIGTERM to SIGKILL
PROBE_PERIOD_S = 0.2  # of a member; its other intervals are multiples of it
MAX_SEEDS = 3  # members through which others join
LEASE_MS = 3_600_000  # longer than a run: its servers do not renew their leases
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
DATAGRAM_PORTS = {"m": {"m": ("member",)}}
# by kind of process: the kinds and ports that it connects to
DIALED_PORTS: dict[str, dict[str, tuple[str, ...]]] = {
    "l": {"l": ("reads", "writes")},
    "i": {"l": ("reads",), "s": ("serve",), "c": ("serve",)},
    "m": {"m": ("member",)},
    "w": {"l": ("reads", "writes")},
    "r": {"l": ("reads", "writes")},
    "q": {"i": ("clients",)},
}


@dataclass(slots=True)
class Process:
    """A process of the run, over its restarts."""

    name: str
    folder: Path
    ports: dict[str, int]
    popen: subprocess.Popen[bytes] | None = None
    # after an upgrade: processes that handed over and have not ended yet
    predecessors: list[subprocess.Popen[bytes]] = field(default_factory=list)
    up: bool = False  # started, and not ended since
    stopped: bool = False
    expected: bool = False  # its end is expected: a fault or the operator ends it
    follow: str = ""  # address of the leader that a list service follows; empty: it leads
    bad_disk: bool = False
    skewed: bool = False
    control: Control | None = None
    # copies of its data folder, with the time in s at which each was made
    backups: list[tuple[float, Path]] = field(default_factory=list)

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
    """All processes of a schedule. Their ports stay reserved for the whole run."""

    def __init__(self, schedule: Schedule, seed: int, folder: Path) -> None:
        self.schedule, self.seed, self.folder = schedule, seed, folder
        self.reservations: list[socket.socket] = []
        self.all: dict[str, Process] = {}
        self.routes: dict[str, dict[str, int]] = {}
        self.udp: dict[str, dict[str, int]] = {}
        skewed = {n for f in schedule.fault if f.kind == "clock" for n in schedule.select(f.on)}
        for name in schedule.processes():
            ports = {port: self._reserve_port(name[0], port) for port in PORTS[name[0]]}
            process = self.all[name] = Process(name, folder / name, ports, skewed=name in skewed)
            process.data.mkdir(parents=True)
            if name[0] == "l" and name != "l0":
                process.follow = self.address("l0", "reads")
            if name[0] in "lim":
                process.control = Control(process.folder / "control", create=True)

    def _reserve_port(self, kind: str, port: str) -> int:
        """Reserves the port `port` of a process of the kind `kind`, and returns its number."""
        datagram_routes = DATAGRAM_PORTS.get(kind, {}).values()
        takes_datagrams = any(port in ports for ports in datagram_routes)
        reservation, number = reserve_datagram_port() if takes_datagrams else reserve_port()
        self.reservations.append(reservation)
        return number

    def address(self, name: str, port: str) -> str:
        return f"{HOST}:{self.all[name].ports[port]}"

    def of_kind(self, kind: str) -> list[Process]:
        return [p for p in self.all.values() if p.kind == kind]

    def proxies(self) -> Iterator[tuple[str, str, str]]:
        """Client, upstream and port of each TCP connection between processes: each has a proxy."""
        for a in [*self.all, *self.schedule.callers()]:
            for b in self.all:
                for port in DIALED_PORTS.get(a[0], {}).get(b[0], ()) if a != b else ():
                    yield a, b, port

    def datagram_routes(self) -> Iterator[tuple[str, str, str]]:
        """Sender, recipient and port of each exchange of datagrams: each has a UDP proxy."""
        for a, process in self.all.items():
            for b in self.all:
                for port in DATAGRAM_PORTS.get(process.kind, {}).get(b[0], ()) if a != b else ():
                    yield a, b, port

    def route(self, opened: dict[str, int]) -> None:
        """Sets the routes of all processes. `opened`: port numbers of the relays by proxy name."""
        for a, b, port in self.datagram_routes():
            self.udp.setdefault(a, {})[self.address(b, port)] = opened[f"{a}>{b}#{port}/udp"]
        for a, b, port in self.proxies():
            self.routes.setdefault(a, {})[self.address(b, port)] = opened[f"{a}>{b}#{port}"]

    # Starting.

    def _command(self, process: Process) -> list[str]:
        match process.kind:
            case "l":
                config: dict[str, Any] = {
                    "data": str(process.data),
                    "reads": self.address(process.name, "reads"),
                    "writes": self.address(process.name, "writes"),
                    "lease_ms": [1000, LEASE_MS],
                }
                if process.follow:
                    config["follow"] = process.follow
                return self._wrapped(
                    process, "cairndale.discovery", config, [str(process.folder / "config.json")]
                )
            case "i":
                return self._wrapped(process, "cairndale.ingress", self._ingress(process), [])
            case "m":
                seeds = [
                    self.address(p.name, "member")
                    for p in self.of_kind("m")[:MAX_SEEDS]
                    if p is not process
                ]
                member_config = {
                    "name": process.name,
                    "fleet": "lab",
                    "listen": self.address(process.name, "member"),
                    "folder": str(process.data),
                    "seeds": seeds,
                    "founds": process.name == "m0",
                    "ops": self.address(process.name, "ops"),
                    "period_s": PROBE_PERIOD_S,
                }
                path = process.folder / "member.toml"
                path.write_text(tomli_w.dumps(member_config))
                return self._wrapped(process, "cairndale.gossip", {}, [str(path)])
            case "s":
                return [
                    "cairndale.lab.faults.standins",
                    "server",
                    str(process.ports["serve"]),
                    str(self.folder / f"effects-{process.name}.txt"),
                ]
        return ["cairndale.lab.faults.standins", "counter", str(process.ports["serve"]), "-"]

    def _ingress(self, process: Process) -> dict[str, Any]:
        lists = [self.address(p.name, "reads") for p in self.of_kind("l")]
        counts = bool(self.of_kind("c"))
        settings = SETTINGS | {"me": int(process.name[1:]), "fleet_size": len(self.of_kind("i"))}
        settings["domain"] = SETTINGS["domain"] | {"may_count": counts}
        return {
            "name": process.name,
            "listen": self.address(process.name, "clients"),
            "ops": self.address(process.name, "ops"),
            "seed": f"{self.seed * 1000 + settings['me']:016x}",
            "limits": {},
            "discovery": lists[0],
            "directory": {"addresses": lists[1:]},
            "settings": settings,
        } | ({"counter": self.address("c0", "serve")} if counts else {})

    def _wrapped(
        self, process: Process, module: str, config: dict[str, Any], argv: list[str]
    ) -> list[str]:
        (process.folder / "config.json").write_text(json.dumps(config))
        spec = LaunchSpec(
            module,
            argv,
            str(process.folder / "control"),
            str(process.folder / "synced"),
            self.routes.get(process.name, {}),
            self.udp.get(process.name, {}),
            self.schedule.plant,
            process.skewed,
        )
        path = process.folder / "launch.json"
        path.write_bytes(msgspec.json.encode(spec))
        return ["cairndale.lab.faults.launch", str(path)]

    def launch(self, process: Process) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env |= {"EDGE_CONFIG": str(process.folder / "config.json"), "TMPDIR": str(process.data)}
        with (process.folder / "log.txt").open("ab") as log:
            command = [sys.executable, "-m", *self._command(process)]
            process.popen = spawn(command, cwd=HERE, env=env, stdout=log, stderr=log)
        process.expected = process.stopped = False

    async def wait_until_ready(self, process: Process, popen: subprocess.Popen[bytes]) -> bool:
        """Waits until the program is ready; False if it ended or took over `READY_TIMEOUT_S`."""
        path, port = {
            "l": ("/status", "writes"),
            "i": ("/status", "ops"),
            "m": ("/members", "ops"),
        }.get(process.kind, ("/", "serve"))
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_TIMEOUT_S
        while popen.poll() is None and loop.time() < end:
            if process.kind == "c":
                if await _listens(process.ports[port]):
                    return True
            else:
                with contextlib.suppress(ConnectFailed, ResponseLost):
                    status, _ = await send_request(process.ports[port], "GET", path)
                    if status == (200 if process.kind in "lim" else 404):
                        return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def start(self, process: Process) -> bool:
        """Starts the program at its address; False if it did not become ready."""
        self.launch(process)
        assert process.popen
        process.up = await self.wait_until_ready(process, process.popen)
        return process.up

    # Ending.

    async def wait_for_exit(self, popen: subprocess.Popen[bytes]) -> None:
        while popen.poll() is None:
            await asyncio.sleep(0.005)

    async def kill(self, process: Process) -> None:
        process.expected, process.up, process.stopped = True, False, False
        for popen in (process.popen, *process.predecessors):
            if popen:
                popen.kill()
                await self.wait_for_exit(popen)

    async def terminate(self, process: Process) -> None:
        """Sends SIGTERM, and SIGKILL if the program does not end within TERMINATE_TIMEOUT_S."""
        process.expected, process.up = True, False
        if process.popen:
            process.popen.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(TERMINATE_TIMEOUT_S):
                    await self.wait_for_exit(process.popen)
            except TimeoutError:
                await self.kill(process)

    def pause(self, process: Process, stopped: bool) -> None:
        process.stopped = stopped
        for popen in (process.popen, *process.predecessors):
            if popen and popen.poll() is None:
                popen.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    async def upgrade(self, process: Process) -> bool:
        """Starts a successor at another ops address that takes over; False if it was not ready."""
        old, process.ports["ops"] = process.popen, self._reserve_port(process.name[0], "ops")
        assert old
        process.predecessors.append(old)
        self.launch(process)
        assert process.popen
        succeeded = await self.wait_until_ready(process, process.popen)
        old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERMINATE_TIMEOUT_S):
                await self.wait_for_exit(old)
        except TimeoutError:
            old.kill()
            await self.wait_for_exit(old)
        process.predecessors.remove(old)
        return succeeded

    # Folders.

    def back_up(self, process: Process, now: float) -> None:
        """Copies the data folder while the program runs, as a backup would."""
        target = process.folder / f"copy-{len(process.backups)}"
        # no copy is kept if a file was replaced in the meantime
        with contextlib.suppress(OSError, shutil.Error):
            shutil.copytree(
                process.data, target, ignore=shutil.ignore_patterns("*.new", "lock", "*.sock*")
            )
            process.backups.append((now, target))

    def restore_folder(self, process: Process, contents: str, power: bool) -> int:
        """Sets the data folder that the program finds at its next start; returns the bytes lost."""
        if contents != "same":
            shutil.rmtree(process.data)
            if contents == "old" and process.backups:
                shutil.copytree(process.backups[0][1], process.data)
            else:
                process.data.mkdir()
        elif power and process.kind == "l":
            return truncate_to_synced(process.data, process.folder / "synced")
        return 0

    def end(self) -> None:
        for process in self.all.values():
            for popen in (process.popen, *process.predecessors):
                if popen and popen.poll() is None:
                    popen.kill()
                    popen.wait()
        for reservation in self.reservations:
            reservation.close()


async def _listens(port: int) -> bool:
    try:
        async with asyncio.timeout(1.0):
            _, writer = await asyncio.open_connection(HOST, port)
        writer.transport.abort()
        return True
    except OSError:
        return False
