"""The host of real programs: starts them, carries the timeline out, ends them, and gathers what was
seen."""

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
DRAWN_PORTS = (20_000, 32_000)  # below the ephemeral ports, which begin at 32768
DRAWS = 100  # of a port that may be taken
READY = 20.0  # s for a program to be ready
LEAD = 0.5  # s between all being ready and the run's 0
GRACE = 0.7  # s beyond the longest deadline until SIGKILL (PROTOCOL)
LATE_MS = 20.0  # 99th percentile of the loaders' lateness from which the run is void
OTHERS = 1.0  # cores that other programs may use before the run is void
RENEW = 3  # a lease is renewed every third of its term
LEASE_MS = 9000
TOLD_AFTER = 1 * SECOND  # us after the list service holds a change that its watchers count as told


class LiveError(Exception):
    """The run could not be begun or carried out."""


def held_port(number: int = 0) -> tuple[socket.socket, int]:
    """A TCP port that stays ours between draw and bind, and over restarts of the program that
    listens on it. `number`: which; 0: any that the system gives. Raises OSError."""
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    holder.bind((HOST, number))
    return holder, holder.getsockname()[1]


def held_datagram_port() -> tuple[socket.socket, int]:
    """A port for TCP and UDP, held for TCP as `held_port` does it.

    Linux lets nobody hold a UDP port for another process, so it is drawn from below the ephemeral
    ports: the system gives it to no socket that asks for any port, as the relays' do. Other runs
    that draw here see that its TCP half is held.
    """
    drawn = random.Random()
    for _ in range(DRAWS):
        number = drawn.randrange(*DRAWN_PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as free:
                    free.bind((HOST, number))
            return held_port(number)
        except OSError:
            continue
    raise LiveError(f"no port of {DRAWN_PORTS[0]} to {DRAWN_PORTS[1]} is free")


async def call(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """One call; (0, b"") where nobody answers in a second."""
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
    index: int
    port: int
    ops: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    # handed over, not yet ended
    leaving: list[subprocess.Popen[bytes]] = field(default_factory=list)
    expected: bool = False  # its end is the timeline's doing
    absent: int = -1  # row of the record while it is away
    starts: int = 0


@dataclass(slots=True)
class Options:
    loaders: int = 1
    keep: Path | None = None  # folder that the logs stay in
    checkout: Path | None = None  # another checkout of this project whose program runs
    on_second: Callable[[dict[str, Any]], None] | None = None
    rate: float = 0.0  # measuring a limit: an even load, no members
    length_s: float = 0.0
    null_gateway: bool = False  # measuring the loader's own limit: nothing behind it but an answer


class Live:
    def __init__(self, day: Day, folder: Path, options: Options) -> None:
        self.day, self.folder, self.options = day, folder, options
        self.length_s = options.length_s or day.length / SECOND
        self.record = Record()
        self.holders: list[socket.socket] = []
        self.gateways: list[Gateway] = []
        self.loaders: list[Worker] = []
        self.standins: Worker | None = None
        self.list_service: subprocess.Popen[bytes] | None = None
        self.list_ports = (0, 0)
        self.tasks: set[asyncio.Task[None]] = set()
        self.seen: dict[str, Any] = {"load": {}, "servers": [], "gateways": []}
        self.finished = asyncio.Event()
        self._through: dict[str, dict[str, Any]] = {}
        self.began_ns = 0
        self.void: list[str] = []
        self._changed: dict[str, float] = {}
        self._leases: dict[int, dict[str, Any]] = {}

    def now(self) -> int:
        return (time.monotonic_ns() - self.began_ns) // 1000

    # The whole run.

    async def run(self) -> Record:
        """Raises LiveError if a program cannot be started. However it ends, no process is left."""
        try:
            await self._start()
            before = self._busy()
            await self._play()
            await self._gather(before)
        finally:
            await self._end()
        return self.record

    def _check(self) -> None:
        """What a live run cannot do is said before anything starts."""
        gateways, servers = len(self.day.gateway_zones), len(self.day.servers)
        if self._lists() and any(t.kind == "zone_cut" for t in self.day.scenario.trouble):
            raise LiveError(
                "with the list service all gateways share addresses: zones cannot be cut off live"
            )
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        # Each address is held and listened at; each server may have a connection or two of each
        # gateway.
        needed = 4 * gateways * servers + 200
        if most != resource.RLIM_INFINITY and needed > most:
            raise LiveError(
                f"{gateways} x {servers} needs some {needed} descriptors live, {most} are allowed"
            )

    async def _start(self) -> None:
        self._check()
        spec = self._spec()
        self.standins = Worker("standins", spec, self._heard)
        said = await self._ready(self.standins)
        for index in range(len(self.day.gateway_zones)):
            (one, port), (two, ops) = held_port(), held_port()
            self.holders += [one, two]
            folder = self.folder / f"g{index}"
            folder.mkdir(parents=True, exist_ok=True)
            self.gateways.append(Gateway(index, port, ops, folder))
        self.known = said["known"]
        self.agents, self.counters = said["agents"], said["counters"]
        if self._lists():
            await self._start_list_service()
        for gateway in self.gateways:
            self._configure(gateway)
            self._launch(gateway)
        await asyncio.gather(*(self._until_up(g) for g in self.gateways))
        for number in range(self.options.loaders):
            self.loaders.append(Worker("loader", self._spec(number), self._loader_heard(number)))
        for worker in self.loaders:
            await self._ready(worker)

    def _lists(self) -> bool:
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
            not self._lists(),
            self.options.rate,
            self.length_s,
        )

    async def _ready(self, worker: Worker) -> dict[str, Any]:
        try:
            async with asyncio.timeout(READY):
                return await worker.ready
        except (TimeoutError, RuntimeError):
            log = (self.folder / f"{worker.name}.log").read_text()[-2000:]
            raise LiveError(f"{worker.name} was not ready in {READY:.0f} s: {log}") from None

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
        if self._lists():
            reads = f"{HOST}:{self.list_ports[0]}"
            config |= {"discovery": reads, "directory": {"addresses": [reads]}}
        path = gateway.folder / "config.json"
        temporary = path.with_suffix(".tmp")
        temporary.write_text(json.dumps(config))
        temporary.rename(path)

    def _launch(self, gateway: Gateway, **env: str) -> None:
        checkout = self.options.checkout or HERE
        kept = {
            k: v for k, v in os.environ.items() if not k.startswith("EDGE_") and k != "PYTHONPATH"
        }
        kept |= {"EDGE_CONFIG": str(gateway.folder / "config.json"), "TMPDIR": str(gateway.folder)}
        module = (
            "cairndale.lab.live.null" if self.options.null_gateway else layout_of(checkout).program
        )
        with (gateway.folder / "log.txt").open("ab") as log:
            gateway.process = spawn(
                [sys.executable, "-m", module], cwd=checkout, env=kept | env, stdout=log, stderr=log
            )
        gateway.expected = False
        gateway.starts += 1

    async def _until_up(self, gateway: Gateway) -> None:
        end = time.monotonic() + READY
        while time.monotonic() < end:
            process = gateway.process
            if process is None or process.poll() is not None:
                break
            status, _ = await call(gateway.port, "GET", "/up")
            if status == 200:
                return
            await asyncio.sleep(0.02)
        log = (gateway.folder / "log.txt").read_text()[-2000:]
        raise LiveError(f"gateway {gateway.index} was not ready in {READY:.0f} s: {log}")

    # The list service.

    async def _start_list_service(self) -> None:
        (one, reads), (two, writes) = held_port(), held_port()
        self.holders += [one, two]
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
        end = time.monotonic() + READY
        while (await call(writes, "GET", "/status"))[0] != 200:
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
        await call(
            self.list_ports[1],
            "PUT",
            f"/servers/s-{number}",
            json.dumps(self._leases[number]).encode(),
        )

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(LEASE_MS / 1000 / RENEW)
            for number in list(self._leases):
                await self._register(number)

    async def _list(self, server: int, status: str, started: int) -> None:
        if not self._lists():
            return
        writes, path = self.list_ports[1], f"/servers/s-{server}"
        if status == "removed":
            self._leases.pop(server, None)
            await call(writes, "DELETE", path)
        elif status == "draining":
            await call(writes, "POST", f"{path}/drain")
        else:
            lease = self._leases.setdefault(server, dict(next(iter(self._leases.values()))))
            lease["address"] = self.known[server]["address"]
            lease["since_ms"] = (self.unix_us + max(0, started)) // 1000
            await self._register(server)
        for gateway in self.gateways:
            code = rec.STATUS.index(status)
            self.record.tells.add(self.now() + TOLD_AFTER, gateway.index, server, code)

    # What the workers say.

    def _heard(self, said: dict[str, Any]) -> None:
        if "list" in said:
            self._task(self._list(said["list"], said["status"], said["started"]))
        if "servers" in said and "at" in said:
            self.seen["servers"], self.seen["calls"] = said["servers"], said["calls"]

    def _loader_heard(self, number: int) -> Callable[[dict[str, Any]], None]:
        def heard(said: dict[str, Any]) -> None:
            if "load" in said:
                self.seen["load"][number] = said
            if "finished" in said:
                self._through[f"loader-{number}"] = said
                if len(self._through) == self.options.loaders:
                    self.finished.set()

        return heard

    def _task(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self._task_over)

    def _task_over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.void.append(f"the timeline failed: {task.exception()!r}")

    # The timeline.

    async def _play(self) -> None:
        assert self.standins
        self.began_ns = time.monotonic_ns() + int(LEAD * 1e9)
        self.unix_us = time.time_ns() // 1000 + int(LEAD * SECOND)
        for gateway in self.gateways:
            self._tell_loaders(gateway=gateway.index, port=gateway.port)
        for worker in [self.standins, *self.loaders]:
            worker.tell(began_ns=self.began_ns, unix_us=self.unix_us)
        if not self.options.rate:
            for number, trouble in enumerate(self.day.scenario.trouble):
                begin = int(trouble.at_s * SECOND)
                self.record.marks.add(begin, begin + int(trouble.len_s * SECOND), number)
            for step in plan(self.day):
                if step.on_gateways:
                    self._task(self._do_at(step))
        self._task(self._watch())
        longest = max(c.deadline_us for c in self.day.classes) / SECOND
        end = self.length_s + longest + LEAD + 5
        try:
            async with asyncio.timeout(end):
                await self.finished.wait()
        except TimeoutError:
            self.void.append("a loader was not through in time")

    def _tell_loaders(self, **what: Any) -> None:
        for worker in self.loaders:
            worker.tell(**what)

    async def _do_at(self, step: Step) -> None:
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
                self._away(gateway)
                if gateway.process:
                    gateway.process.send_signal(signal.SIGSTOP)
                self._task(self._notice(gateway))
            case "go_on":
                if gateway.process:
                    gateway.process.send_signal(signal.SIGCONT)
                self._back(gateway)
            case "terminate":
                await self._terminate(gateway)
            case "upgrade":
                await self._upgrade(gateway)

    def _away(self, gateway: Gateway) -> None:
        gateway.absent = self.record.absent.add(gateway.index, self.now(), -1)

    def _back(self, gateway: Gateway) -> None:
        if gateway.absent >= 0:
            self.record.absent.set(gateway.absent, "to", self.now())
            gateway.absent = -1
        self._tell_loaders(gateway=gateway.index, down=False)

    async def _notice(self, gateway: Gateway) -> None:
        """The front finds out that this gateway has died."""
        starts = gateway.starts
        await asyncio.sleep(self.day.network["front_notice_s"])
        if gateway.absent >= 0 and gateway.starts == starts:
            self._tell_loaders(gateway=gateway.index, down=True)

    async def _kill(self, gateway: Gateway) -> None:
        if gateway.process is None or gateway.absent >= 0:
            return
        gateway.expected = True
        self._away(gateway)
        gateway.process.kill()
        await self._gone(gateway.process)
        self._task(self._notice(gateway))

    async def _gone(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            await asyncio.sleep(0.005)

    async def _restart(self, gateway: Gateway) -> None:
        self._launch(gateway)
        await self._until_up(gateway)
        self._tell_loaders(gateway=gateway.index, port=gateway.port)
        self._back(gateway)

    async def _terminate(self, gateway: Gateway) -> None:
        """A planned restart: SIGTERM, connections for 0.3 s more, SIGKILL only after the longest
        deadline."""
        process = gateway.process
        if process is None or gateway.absent >= 0:
            return
        gateway.expected = True
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        self._tell_loaders(gateway=gateway.index, down=True)
        await self._until_gone(process)
        self._away(gateway)
        await self._restart(gateway)

    async def _until_gone(self, process: subprocess.Popen[bytes]) -> None:
        longest = min(3.0, max(c.deadline_us for c in self.day.classes) / SECOND)
        try:
            async with asyncio.timeout(longest + GRACE):
                await self._gone(process)
        except TimeoutError:
            process.kill()
            await self._gone(process)

    async def _upgrade(self, gateway: Gateway) -> None:
        """The program is started again beside itself, with another `ops`; then the old one ends."""
        before = gateway.process
        if before is None or gateway.absent >= 0:
            return
        holder, ops = held_port()
        self.holders.append(holder)
        gateway.leaving.append(before)
        gateway.ops = ops
        self._configure(gateway)
        self._launch(gateway)
        end = time.monotonic() + 6.0
        while (await call(ops, "GET", "/status"))[0] != 200:
            if time.monotonic() > end:
                self.record.faults.add(self.now(), 3, gateway.index, -1)
                return
            await asyncio.sleep(0.02)
        before.send_signal(signal.SIGTERM)
        await self._until_gone(before)
        gateway.leaving.remove(before)

    # What is seen of the processes.

    async def _watch(self) -> None:
        """Each second: CPU, memory, descriptors; and that nobody has ended unasked."""
        while True:
            rows = []
            for gateway in self.gateways:
                process = gateway.process
                if process is None:
                    continue
                if process.poll() is not None and not gateway.expected:
                    gateway.expected = True
                    self.record.faults.add(self.now(), 3, gateway.index, process.returncode)
                    self._away(gateway)
                usage = [u for p in [process, *gateway.leaving] if (u := _usage(p.pid))]
                if usage:
                    cpu, memory, files = (sum(u[n] for u in usage) for n in range(3))
                    self.record.process.add(self.now(), gateway.index, cpu, memory, files)
                    rows.append((gateway.index, cpu, memory, files, gateway.absent < 0))
                else:
                    rows.append((gateway.index, 0, 0, 0, False))
            self.seen["gateways"] = rows
            if self.options.on_second:
                self.options.on_second(self.seen | {"at": self.now()})
            await asyncio.sleep(1.0)

    def _busy(self) -> tuple[float, float, float]:
        """s: the clock, processor time of the whole machine, and of this run's processes."""
        fields = Path("/proc/stat").read_text().split("\n")[0].split()[1:]
        ticks = os.sysconf("SC_CLK_TCK")
        machine = sum(int(f) for n, f in enumerate(fields[:8]) if n not in (3, 4)) / ticks
        processes = [w.process for w in [self.standins, *self.loaders] if w]
        processes += [g.process for g in self.gateways if g.process]
        own = sum(u[0] for p in processes if (u := _usage(p.pid))) / SECOND
        return time.monotonic(), machine, own + time.process_time()

    # The end.

    async def _gather(self, before: tuple[float, float, float]) -> None:
        after = self._busy()
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
            said = self._through.get(f"loader-{number}", {})
            path = self.folder / f"loader-{number}.npz"
            if not said or not path.exists():
                self.void.append(f"loader {number} did not finish")
                continue
            self.record.merge(Record.load(path))
            lateness.add(HdrHistogram.decode(said["lateness"].encode()))
            latency.add(HdrHistogram.decode(said["latency"].encode()))
            figures = self.record.figures
            for key in ("asked_work", "cpu_s", "crowded"):
                figures[key] = figures.get(key, 0) + said[key]
        path = self.folder / "standins.npz"
        if path.exists():
            self.record.merge(Record.load(path))
        else:
            self.void.append("the stand-ins left no record")
        _useful(self.record)
        late = lateness.get_value_at_percentile(99) / 1000
        if late > LATE_MS:
            self.void.append(
                f"the loader was late: {late:.1f} ms at the 99th percentile, {LATE_MS:.0f} allowed"
            )
        if self.record.figures.get("crowded"):
            self.void.append("the loader ran out of connections")
        if others > OTHERS:
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
        """Processor time of gateways that have ended since, as last seen."""
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
            for process in [gateway.process, *gateway.leaving]:
                if process and process.poll() is None:
                    process.kill()
                    process.wait()
        for worker in [*self.loaders, self.standins]:
            if worker:
                worker.close()
        if self.list_service:
            self.list_service.kill()
            self.list_service.wait()
        for holder in self.holders:
            holder.close()
        if self.options.keep is None:
            with contextlib.suppress(OSError):
                shutil.rmtree(self.folder)


def _usage(pid: int) -> tuple[int, int, int] | None:
    """us of processor time, kB held, descriptors; None if it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        cpu = (int(stat[11]) + int(stat[12])) * SECOND // os.sysconf("SC_CLK_TCK")
        memory = int(stat[21]) * os.sysconf("SC_PAGE_SIZE") // 1024
        if stat[0] == "Z":
            return None
        return cpu, memory, len(os.listdir(f"/proc/{pid}/fd"))
    except (OSError, IndexError):
        return None


def _useful(record: Record) -> None:
    """Of a try's answers the first is the one that counts, if it was served at all; the rest was in
    vain. The gateway of a send is the one that the client gave the request to."""
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
    """One live run of a drawn day. `folder` is made, and kept if `options.keep` is set."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "scenario.toml").write_text(text)
    return await Live(day, folder, options).run()
