"""The host of real programs: starts them, carries out the timeline, ends them and collects the
record of the run."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from cairndale.lab import record as rec
from cairndale.lab.checkout import layout_of
from cairndale.lab.draw import SECOND, Day
from cairndale.lab.live.loader import histogram
from cairndale.lab.live.worker import Spec, Worker, spawn
from cairndale.lab.play import HERE
from cairndale.lab.record import Record
from cairndale.lab.troubles import Step, plan

HOST = "127.0.0.1"
DATAGRAM_PORT_RANGE = (20_000, 32_000)  # below the ephemeral ports, which begin at 32768
MAX_PORT_DRAWS = 100  # random ports to try before giving up
READY_TIMEOUT_S = 20.0  # for a program to be ready
START_DELAY_S = 0.5  # between all programs being ready and the start of the run
KILL_GRACE_S = 0.7  # beyond the longest deadline until SIGKILL (PROTOCOL)
MAX_LATENESS_MS = 20.0  # 99th percentile of the loaders' lateness; beyond it the run is void
MAX_OTHER_CORES = 1.0  # used by other programs; beyond it the run is void
RENEWALS_PER_LEASE = 3  # a lease is renewed every third of its duration
LEASE_MS = 9000
# after the list service accepts a change, until its watchers count as notified
NOTIFICATION_DELAY_US = 1 * SECOND


class LiveError(Exception):
    """The run could not be started or carried out."""


def reserve_port(number: int = 0) -> tuple[socket.socket, int]:
    """Reserves a TCP port, also over restarts of the program that listens on it.

    `number` is the port, or 0 for any free port. Raises OSError."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind((HOST, number))
    return reservation, reservation.getsockname()[1]


def reserve_datagram_port() -> tuple[socket.socket, int]:
    """Draws a port for TCP and UDP, and reserves it for TCP as `reserve_port` does.

    Linux cannot reserve a UDP port for another process. The port is therefore drawn from below the
    ephemeral ports, which the system assigns to sockets that ask for any port, as relays do. Other
    runs that draw here see that the TCP port is reserved.
    """
    drawn = random.Random()
    for _ in range(MAX_PORT_DRAWS):
        number = drawn.randrange(*DATAGRAM_PORT_RANGE)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as free:
                    free.bind((HOST, number))
            return reserve_port(number)
        except OSError:
            continue
    raise LiveError(f"no port of {DATAGRAM_PORT_RANGE[0]} to {DATAGRAM_PORT_RANGE[1]} is free")


async def send_request(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Sends an HTTP request and returns status and body; (0, b"") without an answer in 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                answer = await reader.read(1 << 20)
            finally:
                writer.close()
        return int(answer.split(b" ", 2)[1]), answer.partition(b"\r\n\r\n")[2]
    except (OSError, ValueError, IndexError):
        return 0, b""


@dataclass(slots=True)
class Gateway:
    """A gateway of the run and its processes."""

    index: int
    port: int
    ops: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    # after an upgrade: processes that handed over and have not ended yet
    predecessors: list[subprocess.Popen[bytes]] = field(default_factory=list)
    expected: bool = False  # the end of the process is expected: the timeline ends it
    absent: int = -1  # row in the record while the gateway is absent
    starts: int = 0


@dataclass(slots=True)
class Options:
    """Options of a live run."""

    loaders: int = 1
    keep: Path | None = None  # folder to keep the logs in
    checkout: Path | None = None  # another checkout of this project, whose program is run
    on_second: Callable[[dict[str, Any]], None] | None = None
    rate: float = 0.0  # requests a second, to measure a limit with an even load without members
    length_s: float = 0.0
    null_gateway: bool = False  # measures the loader's own limit, see null.py


class LiveRun:
    """One live run: its processes, timeline and record."""

    def __init__(self, day: Day, folder: Path, options: Options) -> None:
        self.day, self.folder, self.options = day, folder, options
        self.length_s = options.length_s or day.length / SECOND
        self.record = Record()
        self.reservations: list[socket.socket] = []
        self.gateways: list[Gateway] = []
        self.loaders: list[Worker] = []
        self.standins: Worker | None = None
        self.list_service: subprocess.Popen[bytes] | None = None
        self.list_ports = (0, 0)
        self.tasks: set[asyncio.Task[None]] = set()
        self.latest: dict[str, Any] = {"load": {}, "servers": [], "gateways": []}
        self.finished = asyncio.Event()
        self._loader_results: dict[str, dict[str, Any]] = {}
        self.began_ns = 0
        self.void: list[str] = []
        self._changed: dict[str, float] = {}
        self._leases: dict[int, dict[str, Any]] = {}

    def now(self) -> int:
        return (time.monotonic_ns() - self.began_ns) // 1000

    # The run as a whole.

    async def run(self) -> Record:
        """Raises LiveError if a program cannot be started. No process is left in any case."""
        try:
            await self._start()
            before = self._cpu_usage()
            await self._play()
            await self._collect(before)
        finally:
            await self._end()
        return self.record

    def _check(self) -> None:
        """Raises LiveError, before anything starts, if a live run cannot carry out the scenario."""
        gateways, servers = len(self.day.gateway_zones), len(self.day.servers)
        if self._uses_list_service() and any(
            t.kind == "zone_cut" for t in self.day.scenario.trouble
        ):
            raise LiveError(
                "with the list service all gateways share addresses: zones cannot be cut off live"
            )
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        # Each address needs a reserving and a listening socket, and each server may have one or two
        # connections from each gateway.
        needed = 4 * gateways * servers + 200
        if most != resource.RLIM_INFINITY and needed > most:
            raise LiveError(
                f"{gateways} x {servers} needs about {needed} file descriptors in a live run, "
                f"{most} are allowed"
            )

    async def _start(self) -> None:
        self._check()
        spec = self._spec()
        self.standins = Worker("standins", spec, self._on_standins_message)
        ready = await self._ready(self.standins)
        for index in range(len(self.day.gateway_zones)):
            (first, port), (second, ops) = reserve_port(), reserve_port()
            self.reservations += [first, second]
            folder = self.folder / f"g{index}"
            folder.mkdir(parents=True, exist_ok=True)
            self.gateways.append(Gateway(index, port, ops, folder))
        self.known = ready["known"]
        self.agents, self.counters = ready["agents"], ready["counters"]
        if self._uses_list_service():
            await self._start_list_service()
        for gateway in self.gateways:
            self._configure(gateway)
            self._launch(gateway)
        await asyncio.gather(*(self._wait_until_up(g) for g in self.gateways))
        for number in range(self.options.loaders):
            self.loaders.append(
                Worker("loader", self._spec(number), self._loader_message_handler(number))
            )
        for worker in self.loaders:
            await self._ready(worker)

    def _uses_list_service(self) -> bool:
        return self.day.scenario.discovery.use == "list-service"

    def _spec(self, number: int = 0) -> Spec:
        text = (self.folder / "scenario.toml").read_text()
        return Spec(
            text,
            self.day.scenario.name,
            self.day.seed,
            0,
            0,
            str(self.folder),
            len(self.day.gateway_zones),
            number,
            self.options.loaders,
            not self._uses_list_service(),
            self.options.rate,
            self.length_s,
        )

    async def _ready(self, worker: Worker) -> dict[str, Any]:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await worker.ready
        except (TimeoutError, RuntimeError):
            log = (self.folder / f"{worker.name}.log").read_text()[-2000:]
            raise LiveError(
                f"{worker.name} was not ready in {READY_TIMEOUT_S:.0f} s: {log}"
            ) from None

    # Gateways.

    def _configure(self, gateway: Gateway) -> None:
        endpoints = self.known[
            gateway.index * len(self.day.servers) : (gateway.index + 1) * len(self.day.servers)
        ]
        limits = self.day.scenario.limits
        config: dict[str, Any] = {
            "name": f"n{gateway.index}",
            "listen": f"{HOST}:{gateway.port}",
            "ops": f"{HOST}:{gateway.ops}",
            "discovery": f"{HOST}:{self.agents[gateway.index]}",
            "counter": f"{HOST}:{self.counters[gateway.index]}",
            "seed": f"{self.day.seed * 1000 + gateway.index:016x}",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"index": len(self.day.servers), "snapshot": True, "endpoints": endpoints},
            "settings": self.day.raw_settings(gateway.index, self._changed),
        }
        if self._uses_list_service():
            reads = f"{HOST}:{self.list_ports[0]}"
            config |= {"discovery": reads, "directory": {"addresses": [reads]}}
        path = gateway.folder / "config.json"
        temporary = path.with_suffix(".tmp")
        temporary.write_text(json.dumps(config))
        temporary.rename(path)

    def _launch(self, gateway: Gateway, **env: str) -> None:
        checkout = self.options.checkout or HERE
        inherited = {
            k: v for k, v in os.environ.items() if not k.startswith("EDGE_") and k != "PYTHONPATH"
        }
        inherited |= {
            "EDGE_CONFIG": str(gateway.folder / "config.json"),
            "TMPDIR": str(gateway.folder),
        }
        module = (
            "cairndale.lab.live.null" if self.options.null_gateway else layout_of(checkout).program
        )
        with (gateway.folder / "log.txt").open("ab") as log:
            gateway.process = spawn(
                [sys.executable, "-m", module],
                cwd=checkout,
                env=inherited | env,
                stdout=log,
                stderr=log,
            )
        gateway.expected = False
        gateway.starts += 1

    async def _wait_until_up(self, gateway: Gateway) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            process = gateway.process
            if process is None or process.poll() is not None:
                break
            status, _ = await send_request(gateway.port, "GET", "/up")
            if status == 200:
                return
            await asyncio.sleep(0.02)
        log = (gateway.folder / "log.txt").read_text()[-2000:]
        raise LiveError(f"gateway {gateway.index} was not ready in {READY_TIMEOUT_S:.0f} s: {log}")

    # The list service.

    async def _start_list_service(self) -> None:
        (first, reads), (second, writes) = reserve_port(), reserve_port()
        self.reservations += [first, second]
        self.list_ports = (reads, writes)
        folder = self.folder / "list"
        folder.mkdir(exist_ok=True)
        path = folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "data": str(folder / "data"),
                    "reads": f"{HOST}:{reads}",
                    "writes": f"{HOST}:{writes}",
                }
            )
        )
        with (folder / "log.txt").open("ab") as log:
            command = [sys.executable, "-m", "cairndale.discovery", str(path)]
            self.list_service = spawn(command, cwd=HERE, stdout=log, stderr=log)
        end = time.monotonic() + READY_TIMEOUT_S
        while (await send_request(writes, "GET", "/status"))[0] != 200:
            if time.monotonic() > end or self.list_service.poll() is not None:
                raise LiveError(
                    f"the list service did not start: {(folder / 'log.txt').read_text()[-2000:]}"
                )
            await asyncio.sleep(0.02)
        for number, endpoint in enumerate(self.known[: len(self.day.servers)]):
            self._leases[number] = {
                "address": endpoint["address"],
                "zone": endpoint["zone"],
                "type": endpoint["type"],
                "lease_ms": LEASE_MS,
            }
            await self._register(number)
        self._task(self._renew())

    async def _register(self, number: int) -> None:
        await send_request(
            self.list_ports[1],
            "PUT",
            f"/servers/s-{number}",
            json.dumps(self._leases[number]).encode(),
        )

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(LEASE_MS / 1000 / RENEWALS_PER_LEASE)
            for number in list(self._leases):
                await self._register(number)

    async def _publish_status(self, server: int, status: str, started: int) -> None:
        if not self._uses_list_service():
            return
        writes, path = self.list_ports[1], f"/servers/s-{server}"
        if status == "removed":
            self._leases.pop(server, None)
            await send_request(writes, "DELETE", path)
        elif status == "draining":
            await send_request(writes, "POST", f"{path}/drain")
        else:
            lease = self._leases.setdefault(server, dict(next(iter(self._leases.values()))))
            lease["address"] = self.known[server]["address"]
            lease["since_ms"] = (self.unix_us + max(0, started)) // 1000
            await self._register(server)
        for gateway in self.gateways:
            code = rec.STATUS.index(status)
            self.record.tells.add(self.now() + NOTIFICATION_DELAY_US, gateway.index, server, code)

    # Messages of the workers.

    def _on_standins_message(self, message: dict[str, Any]) -> None:
        if "list" in message:
            self._task(self._publish_status(message["list"], message["status"], message["started"]))
        if "servers" in message and "at" in message:
            self.latest["servers"], self.latest["calls"] = message["servers"], message["calls"]

    def _loader_message_handler(self, number: int) -> Callable[[dict[str, Any]], None]:
        def on_message(message: dict[str, Any]) -> None:
            if "load" in message:
                self.latest["load"][number] = message
            if "finished" in message:
                self._loader_results[f"loader-{number}"] = message
                if len(self._loader_results) == self.options.loaders:
                    self.finished.set()

        return on_message

    def _task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_over)

    def _task_over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.void.append(f"the timeline failed: {task.exception()!r}")

    # The timeline.

    async def _play(self) -> None:
        assert self.standins
        self.began_ns = time.monotonic_ns() + int(START_DELAY_S * 1e9)
        self.unix_us = time.time_ns() // 1000 + int(START_DELAY_S * SECOND)
        for gateway in self.gateways:
            self._notify_loaders(gateway=gateway.index, port=gateway.port)
        for worker in [self.standins, *self.loaders]:
            worker.send(began_ns=self.began_ns, unix_us=self.unix_us)
        if not self.options.rate:
            for number, trouble in enumerate(self.day.scenario.trouble):
                begin = int(trouble.at_s * SECOND)
                self.record.marks.add(begin, begin + int(trouble.len_s * SECOND), number)
            for step in plan(self.day):
                if step.on_gateways:
                    self._task(self._run_step(step))
        self._task(self._watch())
        longest = max(c.deadline_us for c in self.day.classes) / SECOND
        end = self.length_s + longest + START_DELAY_S + 5
        try:
            async with asyncio.timeout(end):
                await self.finished.wait()
        except TimeoutError:
            self.void.append("a loader did not finish in time")

    def _notify_loaders(self, **fields: Any) -> None:
        for worker in self.loaders:
            worker.send(**fields)

    async def _run_step(self, step: Step) -> None:
        await asyncio.sleep(max(0, step.at - self.now()) / 1e6)
        if step.verb == "reload":
            self._changed |= step.settings
            for gateway in self.gateways:
                self._configure(gateway)
                if gateway.process:
                    gateway.process.send_signal(signal.SIGHUP)
            return
        gateway = self.gateways[step.target]
        match step.verb:
            case "kill":
                await self._kill(gateway)
            case "restart":
                await self._restart(gateway)
            case "stop":
                self._mark_absent(gateway)
                if gateway.process:
                    gateway.process.send_signal(signal.SIGSTOP)
                self._task(self._notify_after_detection(gateway))
            case "go_on":
                if gateway.process:
                    gateway.process.send_signal(signal.SIGCONT)
                self._mark_present(gateway)
            case "terminate":
                await self._terminate(gateway)
            case "upgrade":
                await self._upgrade(gateway)

    def _mark_absent(self, gateway: Gateway) -> None:
        gateway.absent = self.record.absent.add(gateway.index, self.now(), -1)

    def _mark_present(self, gateway: Gateway) -> None:
        if gateway.absent >= 0:
            self.record.absent.set(gateway.absent, "to", self.now())
            gateway.absent = -1
        self._notify_loaders(gateway=gateway.index, down=False)

    async def _notify_after_detection(self, gateway: Gateway) -> None:
        """Notifies the loaders that the gateway is down, after the front's detection time."""
        starts = gateway.starts
        await asyncio.sleep(self.day.network["front_notice_s"])
        if gateway.absent >= 0 and gateway.starts == starts:
            self._notify_loaders(gateway=gateway.index, down=True)

    async def _kill(self, gateway: Gateway) -> None:
        if gateway.process is None or gateway.absent >= 0:
            return
        gateway.expected = True
        self._mark_absent(gateway)
        gateway.process.kill()
        await self._wait_for_exit(gateway.process)
        self._task(self._notify_after_detection(gateway))

    async def _wait_for_exit(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            await asyncio.sleep(0.005)

    async def _restart(self, gateway: Gateway) -> None:
        self._launch(gateway)
        await self._wait_until_up(gateway)
        self._notify_loaders(gateway=gateway.index, port=gateway.port)
        self._mark_present(gateway)

    async def _terminate(self, gateway: Gateway) -> None:
        """A planned restart: SIGTERM, new connections for another 0.3 s, and SIGKILL only after the
        longest deadline."""
        process = gateway.process
        if process is None or gateway.absent >= 0:
            return
        gateway.expected = True
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        self._notify_loaders(gateway=gateway.index, down=True)
        await self._wait_or_kill(process)
        self._mark_absent(gateway)
        await self._restart(gateway)

    async def _wait_or_kill(self, process: subprocess.Popen[bytes]) -> None:
        longest = min(3.0, max(c.deadline_us for c in self.day.classes) / SECOND)
        try:
            async with asyncio.timeout(longest + KILL_GRACE_S):
                await self._wait_for_exit(process)
        except TimeoutError:
            process.kill()
            await self._wait_for_exit(process)

    async def _upgrade(self, gateway: Gateway) -> None:
        """Starts a second process of the program, with another `ops` port, then ends the first."""
        before = gateway.process
        if before is None or gateway.absent >= 0:
            return
        reservation, ops = reserve_port()
        self.reservations.append(reservation)
        gateway.predecessors.append(before)
        gateway.ops = ops
        self._configure(gateway)
        self._launch(gateway)
        end = time.monotonic() + 6.0
        while (await send_request(ops, "GET", "/status"))[0] != 200:
            if time.monotonic() > end:
                self.record.faults.add(self.now(), 3, gateway.index, -1)
                return
            await asyncio.sleep(0.02)
        before.send_signal(signal.SIGTERM)
        await self._wait_or_kill(before)
        gateway.predecessors.remove(before)

    # Monitoring of the processes.

    async def _watch(self) -> None:
        """Records CPU, memory and descriptors each second, and processes that end unexpectedly."""
        while True:
            rows = []
            for gateway in self.gateways:
                process = gateway.process
                if process is None:
                    continue
                if process.poll() is not None and not gateway.expected:
                    gateway.expected = True
                    self.record.faults.add(self.now(), 3, gateway.index, process.returncode)
                    self._mark_absent(gateway)
                usage = [u for p in [process, *gateway.predecessors] if (u := _usage(p.pid))]
                if usage:
                    cpu, memory, files = (sum(u[n] for u in usage) for n in range(3))
                    self.record.process.add(self.now(), gateway.index, cpu, memory, files)
                    rows.append((gateway.index, cpu, memory, files, gateway.absent < 0))
                else:
                    rows.append((gateway.index, 0, 0, 0, False))
            self.latest["gateways"] = rows
            if self.options.on_second:
                self.options.on_second(self.latest | {"at": self.now()})
            await asyncio.sleep(1.0)

    def _cpu_usage(self) -> tuple[float, float, float]:
        """In s: the monotonic clock, processor time of the machine and of this run's processes."""
        fields = Path("/proc/stat").read_text().split("\n")[0].split()[1:]
        ticks = os.sysconf("SC_CLK_TCK")
        machine = sum(int(f) for n, f in enumerate(fields[:8]) if n not in (3, 4)) / ticks
        processes = [w.process for w in [self.standins, *self.loaders] if w]
        processes += [g.process for g in self.gateways if g.process]
        own = sum(u[0] for p in processes if (u := _usage(p.pid))) / SECOND
        return time.monotonic(), machine, own + time.process_time()

    # The end.

    async def _collect(self, before: tuple[float, float, float]) -> None:
        after = self._cpu_usage()
        dead = sum(self._cpu_of_ended)
        span, machine, own = (b - a for a, b in zip(before, after, strict=True))
        others = max(0.0, machine - own - dead) / max(0.1, span)
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for worker in [*self.loaders, self.standins]:
            if worker:
                await worker.end()
        lateness, latency = histogram(), histogram()
        for number in range(self.options.loaders):
            message = self._loader_results.get(f"loader-{number}", {})
            path = self.folder / f"loader-{number}.npz"
            if not message or not path.exists():
                self.void.append(f"loader {number} did not finish")
                continue
            self.record.merge(Record.load(path))
            lateness.add(HdrHistogram.decode(message["lateness"].encode()))
            latency.add(HdrHistogram.decode(message["latency"].encode()))
            figures = self.record.figures
            for key in ("asked_work", "cpu_s", "crowded"):
                figures[key] = figures.get(key, 0) + message[key]
        path = self.folder / "standins.npz"
        if path.exists():
            self.record.merge(Record.load(path))
        else:
            self.void.append("the stand-ins left no record")
        _mark_useful_sends(self.record)
        late = lateness.get_value_at_percentile(99) / 1000
        if late > MAX_LATENESS_MS:
            self.void.append(
                f"the loader was late: {late:.1f} ms at the 99th percentile, "
                f"{MAX_LATENESS_MS:.0f} ms allowed"
            )
        if self.record.figures.get("crowded"):
            self.void.append("the loader ran out of connections")
        if others > MAX_OTHER_CORES:
            self.void.append(f"other programs used {others:.1f} cores meanwhile")
        self.record.figures |= {
            "late_ms": late,
            "other_cores": others,
            "void": self.void,
            "span_s": span,
            "latency_ms": {
                str(p): latency.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)
            },
        }

    @property
    def _cpu_of_ended(self) -> list[float]:
        """Processor time in s of gateway processes that have ended, as last measured."""
        process = self.record.process
        last: dict[int, list[int]] = {}
        for n in range(len(process)):
            key = int(process["gateway"][n])
            last.setdefault(key, []).append(int(process["cpu_us"][n]))
        found = []
        for values in last.values():
            drops = [a for a, b in itertools.pairwise(values) if b < a]
            found.append(sum(drops) / SECOND)
        return found

    async def _end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways:
            for process in [gateway.process, *gateway.predecessors]:
                if process and process.poll() is None:
                    process.kill()
                    process.wait()
        for worker in [*self.loaders, self.standins]:
            if worker:
                worker.close()
        if self.list_service:
            self.list_service.kill()
            self.list_service.wait()
        for reservation in self.reservations:
            reservation.close()
        if self.options.keep is None:
            with contextlib.suppress(OSError):
                shutil.rmtree(self.folder)


def _usage(pid: int) -> tuple[int, int, int] | None:
    """Processor time in us, memory in kB and descriptors; None if the process has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        cpu = (int(stat[11]) + int(stat[12])) * SECOND // os.sysconf("SC_CLK_TCK")
        memory = int(stat[21]) * os.sysconf("SC_PAGE_SIZE") // 1024
        if stat[0] == "Z":
            return None
        return cpu, memory, len(os.listdir(f"/proc/{pid}/fd"))
    except (OSError, IndexError):
        return None


def _mark_useful_sends(record: Record) -> None:
    """Marks the first answer of each served attempt as useful, and the others as wasted.

    The gateway of a send is set to the one that received the request from the client."""
    sends, tries = record.sends, record.tries
    if not len(sends):
        return
    gateway_of = dict(zip(tries["id"].tolist(), tries["gateway"].tolist(), strict=True))
    served = set(tries["id"][tries["kind"] == rec.SERVED].tolist())
    ids, useful, ended = sends["id"].tolist(), sends["useful"].tolist(), sends["ended"]
    for n in np.argsort(ended, kind="stable").tolist():
        sends.set(n, "gateway", gateway_of.get(ids[n], int(sends["gateway"][n])))
        if useful[n]:
            sends.set(n, "useful", int(ids[n] in served))
            served.discard(ids[n])


async def play(day: Day, text: str, folder: Path, options: Options) -> Record:
    """Carries out one live run of a drawn day in `folder`, kept if `options.keep` is set."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "scenario.toml").write_text(text)
    return await LiveRun(day, folder, options).run()
