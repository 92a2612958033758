"""Starts the system's real processes, controls them, and checks the histories that the stand-ins
recorded."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL, Popen
from typing import Any

from cairndale.chaos.standins import Ledger, Server, http_call
from cairndale.ingress.net.http import IncompleteResponseError, InvalidResponseError

ROOT = Path(__file__).parent.parent.parent
ZONES = {
    "north-a": "north",
    "north-b": "north",
    "south-a": "south",
    "south-b": "south",
    "south-c": "south",
}
KEY, OTHER_KEY = "key-of-north", "key-of-south"
PORTS = 16  # of a machine


def free_port_base() -> int:
    """Return the first of `PORTS` consecutive free ports."""
    for _ in range(200):
        base = random.randrange(20_000, 32_000 - PORTS, PORTS)
        try:
            for port in range(base, base + PORTS):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise OSError("no free ports")


@dataclass(slots=True)
class Machine:
    """A simulated machine, which runs one process of the system."""

    name: str
    ip: str
    zone: str
    core: bool
    process: Popen[bytes] | None = None
    starts: int = 0
    spare: bool = False  # not deployed when the system first starts
    is_deployed: bool = True  # operators and servers know its address
    foreign: bool = False  # it now runs another system, of which it is the only core machine


@dataclass(slots=True)
class Attempt:
    """One attempt of a client's request, and its outcome; status 0 means no response.

    `malformed` says what is wrong with the response, if it breaks RFC 9110 or RFC 9112.
    """

    request: str
    method: str
    status: int
    body: bytes = b""
    path: str = ""
    sent_at: float = 0.0
    malformed: str = ""


@dataclass
class World:
    """A system of real processes with its servers, clients and operators."""

    folder: Path
    cores: int = 3
    edges: int = 2
    servers: int = 2  # for each service
    services: tuple[str, ...] = ("tiles", "books")
    ledger: Ledger = field(default_factory=Ledger)
    attempts: list[Attempt] = field(default_factory=list)
    gen: int = 0
    violations: list[str] = field(default_factory=list)
    warmup: float = 0.0  # s of slow start of servers
    spares: int = 0  # core machines that may replace others, at addresses of their own
    zones: dict[str, str] = field(default_factory=lambda: dict(ZONES))  # regions by zone
    heartbeat: str = "300ms"  # of servers, as the processes are told

    def __post_init__(self) -> None:
        self.port_base, block = free_port_base(), random.randrange(1, 250)
        names = list(self.zones)
        self.machines: dict[str, Machine] = {}
        kinds = ["core"] * self.cores + ["edge"] * self.edges + ["core"] * self.spares
        counts = {"core": 0, "edge": 0}
        for number, kind in enumerate(kinds):
            zone = names[counts[kind] % len(names)]
            counts[kind] += 1
            name, spare = f"{kind}-{counts[kind]}", number >= self.cores + self.edges
            self.machines[name] = Machine(
                name,
                f"127.{block}.0.{number + 1}",
                zone,
                kind == "core",
                spare=spare,
                is_deployed=not spare,
            )
        self._server_ip, self._server_port = f"127.{block}.1.1", self.port_base
        self.started_servers: list[Server] = []
        # addresses of the `ctl` endpoints that operators and servers know
        self.control: list[str] = []
        self.update_control_addresses()
        self.seeds = self.control[:3]

    # The ports of ctl, dir, http and readyz follow the range for traffic between processes.

    def address(self, machine: Machine, port_offset: int) -> str:
        """Return an address of a machine: offset 1 is ctl, 2 dir, 3 http, 4 readyz."""
        return f"{machine.ip}:{self.port_base + 8 + port_offset}"

    def update_control_addresses(self) -> None:
        self.control[:] = [
            self.address(machine, 1)
            for machine in self.machines.values()
            if machine.core and machine.is_deployed
        ]

    def settings(self, machine: Machine) -> dict[str, Any]:
        listen = {"ctl": 1} if machine.core else {"dir": 2, "http": 3, "readyz": 4}
        state = self.folder / (machine.name + "-foreign" * machine.foreign)
        return {
            "self": {
                "hostname": machine.name,
                "role": "control" if machine.core else "dataplane",
                "serves": ["ctl"] if machine.core else ["edge", "dir"],
                "ip": machine.ip,
                "zone": machine.zone,
                "region": self.zones[machine.zone],
                "quorum": machine.core,
                "bootstrap": machine.foreign or (machine.starts == 0 and not machine.spare),
                "stateDir": str(state) if machine.core else None,
                "limits": {"memMb": 300, "nofile": 1024},
            },
            "network": {
                "listen": {name: self.address(machine, offset) for name, offset in listen.items()},
                "portRange": [self.port_base, self.port_base + 7],
                "zones": self.zones,
                "peers": [self.address(machine, 1)] if machine.foreign else self.seeds,
            },
            "infra": {"heartbeat": self.heartbeat},
            "sla": {
                "tolerance": {"nodes": 1, "zones": 1, "regions": 0},
                "slo": {
                    "ack": "6000ms",
                    "drain": "3000ms",
                    "grace": "3s",
                    "failClosed": True,
                    "revoke": "5000ms",
                    "retryRatio": 0.2,
                    "retryWindow": "10s",
                    "retrySlack": 60,
                    "quotaWindow": "5s",
                    "quotaOverrun": 0.1,
                    "quotaSlack": 20,
                    "warmupOverrun": 1.5,
                    "warmupSlack": 5,
                },
            },
        }

    # Processes.

    def take_over(self, name: str) -> None:
        """Give the address of a machine that was removed for good to a core machine of another
        system."""
        self.machines[name].foreign = True
        self.start(name)

    def start(self, name: str) -> None:
        machine = self.machines[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(machine)))
        machine.starts += 1
        env = self.environment(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            machine.process = Popen(
                [sys.executable, "-m", "cairndale"],
                cwd=ROOT,
                env=env,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )

    def environment(self, path: Path) -> dict[str, str]:
        return {"PATH": os.environ.get("PATH", ""), "CAIRNDALE_CONFIG": str(path)}

    def send_signal(self, name: str, signal_number: int) -> None:
        if process := self.machines[name].process:
            process.send_signal(signal_number)

    async def kill(
        self, name: str, signal_number: int = signal.SIGKILL, within: float = 10.0
    ) -> None:
        """Send a signal and wait until the process has ended."""
        machine = self.machines[name]
        if process := machine.process:
            process.send_signal(signal_number)
            async with asyncio.timeout(within):
                while process.poll() is None:
                    await asyncio.sleep(0.01)
            machine.process = None if machine.process is process else machine.process

    async def wipe(self, name: str) -> None:
        """Kill the process and delete its state."""
        await self.kill(name)
        shutil.rmtree(self.folder / name, ignore_errors=True)

    async def begin(self) -> None:
        for name, machine in self.machines.items():
            if machine.is_deployed:
                self.start(name)
        for service in self.services:
            for number in range(self.servers):
                await self.add_server(service, list(self.zones)[number % len(self.zones)])

    async def add_server(self, service: str, zone: str, id: str = "") -> Server:
        """Start a server; `id`: by default a random one."""
        self._server_port += 1
        at = (self._server_ip, self._server_port)
        server = Server(service, zone, at, self.ledger, self.control, warmup=self.warmup, id=id)
        await server.start()
        self.started_servers.append(server)
        return server

    async def end(self) -> None:
        for server in self.started_servers:
            server.crash()
        running = [m for m in self.machines.values() if m.process]
        for machine in running:
            assert machine.process
            machine.process.send_signal(signal.SIGCONT)
            machine.process.kill()
        for machine in running:
            assert machine.process
            machine.process.wait(10)

    # Operators.

    def content(self, **fields: Any) -> dict[str, Any]:
        """Return a configuration with idempotent routes (tiles, open), a mutating one (books) and
        two tenants with a key each."""
        common = {
            "host": "a.example",
            "deadline": "4000ms",
            "target_time": "1000ms",
            "tries": 2,
            "prio": 1,
        }
        return {
            "routes": [
                {
                    "name": "tiles",
                    "pathPrefix": "/tiles/",
                    "kind": "idempotent",
                    "backend": "tiles",
                    **common,
                },
                {
                    "name": "books",
                    "pathPrefix": "/books/",
                    "kind": "mutating",
                    "backend": "books",
                    **common,
                },
                {
                    "name": "open",
                    "pathPrefix": "/open/",
                    "kind": "idempotent",
                    "backend": "tiles",
                    "public": True,
                    **common,
                },
            ],
            "backends": [{"name": s, "healthPath": "/h", "maxConns": 50} for s in self.services],
            "limits": {"headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "tenants": [
                {"name": "north", "apiKeys": [KEY], "ratePerS": 1000, "burst": 1000},
                {"name": "south", "apiKeys": [OTHER_KEY], "ratePerS": 5, "burst": 5},
            ],
        } | fields

    async def order(
        self,
        method: str,
        call: str,
        raw: Any = None,
        within: float = 15.0,
        attempt_timeout: float = 2.0,
    ) -> tuple[int, Any]:
        """Send an operator's call to one node after the other until there is a clear answer.

        Returns status and decoded body. Raises TimeoutError after `within` seconds.
        """
        body = json.dumps(raw).encode() if raw is not None else b""
        async with asyncio.timeout(within):
            while True:
                for address in random.sample(self.control, len(self.control)):
                    try:
                        async with asyncio.timeout(attempt_timeout):
                            status, answer = await http_call(address, method, f"/-/{call}", body)
                    except (OSError, ValueError, TimeoutError):
                        continue
                    if status < 500:
                        return status, json.loads(answer)
                await asyncio.sleep(0.1)

    async def configure(self, **fields: Any) -> tuple[int, Any]:
        """Replace the configuration; return the status and the answer."""
        gen = self.gen + random.randint(1, 3)
        status, answer = await self.order(
            "POST", "Config.Replace", self.content(**fields) | {"gen": gen, "parent": self.gen}
        )
        if status == 200:
            self.gen = gen
        return status, answer

    async def change(self, call: str, **parts: Any) -> tuple[int, Any]:
        """Replace or update the configuration in force; return the status and the answer.

        `call`: `Replace` or `Update`; `parts`: its body, but for the generations.
        """
        body = {"gen": self.gen + 1, "parent": self.gen, **parts}
        status, answer = await self.order("POST", f"Config.{call}", body)
        self.gen += status == 200
        return status, answer

    async def ready(self, edges: int, within: float = 20.0) -> None:
        """Wait until that many ingresses and all running core machines report that they are ready,
        and each of these ingresses names all of them to clients. Raises TimeoutError, which says
        what is missing."""
        missing: list[str] = []
        try:
            async with asyncio.timeout(within):
                while missing := await self._missing(edges):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise TimeoutError(f"not ready: {' '.join(missing)}") from None

    async def _missing(self, edges: int) -> list[str]:
        """Return the machines that are not ready, else the addresses that look-ups lack."""
        running = [machine for machine in self.machines.values() if machine.process]
        answers = await asyncio.gather(*(self._is_ready(machine) for machine in running))
        ready = [m for m, is_ready in zip(running, answers, strict=True) if is_ready]
        ingresses = [machine for machine in ready if not machine.core]
        core_ready = all(machine in ready for machine in running if machine.core)
        if not core_ready or len(ingresses) < edges:
            unready = [self._describe(machine) for machine in running if machine not in ready]
            return unready or [f"{len(ingresses)} of {edges} ingresses run"]
        lists = await asyncio.gather(*(self._listed_addresses(m) for m in ingresses))
        return [
            f"{directory.name} does not name {ingress.name}"
            for directory, listed in zip(ingresses, lists, strict=True)
            for ingress in ingresses
            if self.edge(ingress.name) not in listed
        ]

    async def _listed_addresses(self, directory: Machine) -> set[str]:
        """Return the addresses of ingresses that a directory names to clients of any region."""
        answers = await asyncio.gather(
            *(self._look_up_at(directory, region) for region in set(self.zones.values()))
        )
        return {address for addresses in answers for address in addresses or ()}

    @staticmethod
    def _describe(machine: Machine) -> str:
        code = machine.process.poll() if machine.process else None
        return machine.name if code is None else f"{machine.name} (exit status {code})"

    async def _is_ready(self, machine: Machine) -> bool:
        try:
            async with asyncio.timeout(1.0):
                status, _ = await http_call(
                    self.address(machine, 1 if machine.core else 4), "GET", "/-/readyz"
                )
        except (OSError, ValueError, TimeoutError):
            return False
        return status == 200

    # Clients.

    async def look_up(self, region: str) -> list[str]:
        """Return the addresses of ingresses that the first responding directory names."""
        for machine in self.machines.values():
            if not machine.core and machine.process:
                addresses = await self._look_up_at(machine, region)
                if addresses is not None:
                    return addresses
        return []

    async def _look_up_at(self, directory: Machine, region: str) -> list[str] | None:
        """Return the addresses of ingresses that a directory names; None if it does not respond."""
        target = f"/-/lookup?name=a.example&region={region}&zone=x"
        try:
            async with asyncio.timeout(1.0):
                status, body = await http_call(self.address(directory, 2), "GET", target)
        except (OSError, ValueError, TimeoutError):
            return None
        if status != 200:
            return None
        addresses: list[str] = json.loads(body)["addrs"]
        return addresses

    async def request(
        self,
        method: str,
        path: str,
        key: str = KEY,
        body: bytes = b"",
        at: str = "",
        **headers: str,
    ) -> Attempt:
        """Record one attempt, and send it to a random ingress from a look-up, or to `at`."""
        addresses = [at] if at else await self.look_up(random.choice(["north", "south"]))
        sent_at = asyncio.get_running_loop().time()
        attempt = Attempt(f"{random.getrandbits(64):016x}", method, 0, path=path, sent_at=sent_at)
        self.attempts.append(attempt)
        header_fields = {
            "Host": "a.example",
            "X-Request-Id": attempt.request,
            "X-Deadline-Ms": "3000",
        }
        header_fields |= {"Authorization": f"Token {key}"} if key else {}
        header_fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        if addresses:
            try:
                async with asyncio.timeout(4.0):
                    attempt.status, attempt.body = await http_call(
                        random.choice(addresses), method, path, body, header_fields
                    )
            except (OSError, IncompleteResponseError):
                pass
            except InvalidResponseError as error:
                attempt.malformed = str(error)
        return attempt

    def edge(self, name: str) -> str:
        """Return the address at which an ingress takes client requests."""
        return self.address(self.machines[name], 3)

    # Checks.

    def verdict(self) -> list[str]:
        """Return the violations that the servers' ledger and the clients' attempts show."""
        violations, execution_counts = [], self.ledger.execution_counts()
        known = {attempt.request for attempt in self.attempts}
        for execution in self.ledger.executions:
            if execution.request not in known:
                violations.append(f"{execution.request}: ran, but no client sent it")
            if execution.key:
                violations.append(f"{execution.request}: the API key was forwarded to a server")
        for attempt in self.attempts:
            run_count = execution_counts[attempt.request]
            if attempt.method != "GET" and run_count > 1:
                violations.append(f"{attempt.request}: ran {run_count} times")
            if attempt.status in (408, 421, 429, 503) and run_count:
                violations.append(
                    f"{attempt.request}: status {attempt.status} guarantees that it did not run, "
                    "but it ran"
                )
            if attempt.status == 200 and not run_count:
                violations.append(f"{attempt.request}: status 200, but it never ran")
        return violations + list(self._malformed_response_violations())

    def _malformed_response_violations(self) -> Iterator[str]:
        """No client gets a malformed response, nor a success that was made of one."""
        answered = {(line.request, line.server) for line in self.ledger.executions}
        valid = answered - self.ledger.answered_malformed.keys()
        for attempt in self.attempts:
            server = attempt.body.partition(b":")[0].decode()
            if attempt.malformed:
                yield f"{attempt.request}: the client got a response with {attempt.malformed}"
            elif 200 <= attempt.status < 300 and (attempt.request, server) not in valid:
                yield f"{attempt.request}: {attempt.status} of a malformed response of {server!r}"
