"""Lets ingress processes of commit eb69f91 and of the present program take over from each other.

Run by hand, from the repository's root, with the pinned requirements installed; CI has no checkout
of the old program:

    git worktree add ../eb69f91 eb69f91
    python -m tests.golden.mixed_handover ../eb69f91

Real ingress processes on loopback, and stand-ins for servers, counter and discovery in this one.
An old process starts; a new one with the same $TMPDIR takes over from it under load; an old one
from that; and so on, TURNS times. After each hand-over:

- the process before has ended by itself, with status 0, and nothing in its log tells of a fault;
- every request of the load was served, and those sent again ran once;
- units that were leased at the process before are spent at the next without a call to the counter;
- what a hand-over tells of an account is as it was, and as the other program tells of its own;
- a server that operators took out is out, in the file as well, and a call there is added to it.

`unheard` and `back`, which are 0 in this run, are not told apart, nor is `slot` looked at; states
of servers and pools are not either. One line a step says what was measured, its times to 0.05 s.
The exit status is 1 after a failure.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter as Tally
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL, Popen
from typing import Any

from tests.golden.mixed_versions import ROOT, Program, StepError, show_logs, until
from tests.testing.ingress import HOST, OK, RAW, Peer, PeerServer, read_answer, request

TURNS = 6  # hand-overs: old to new, new to old, ...
# For up to 0.05 s after a hand-over either program counts attempts at both processes, so that some
# may count twice; the servers that are never out have room for all of the load twice.
SERVERS = 6
OUT, TOGGLED = "s-3", "s-2"  # taken out by operators: throughout, and for a moment in each turn
WORKERS = 8  # of the load, half of them with a new connection for each request
PAUSE = 0.01  # s of a worker between its requests
SERVED_IN = (0.01, 0.04)  # s that a server takes: the least, the most
LOAD_FOR = 1.0  # s of load before and after each hand-over
PROBES = 3  # customers that lease units before each hand-over
PROBE_UNITS = 1000  # of each request of theirs; the load's cost 1
PROBE_CALL = 500.0  # units; a larger call to the counter is for one of these customers
CLOSE = 0.01  # parts by which two amounts may differ that time has passed over
BEAT = 2.0  # s between the empty lines of a watch
STARTED_WITHIN = 20.0  # s for a process to listen
ENDED_WITHIN = 15.0  # s for a process to end
ANSWERED_WITHIN = 10.0  # s for an answer
RUN_WITHIN = 180.0  # s for the whole run
SOCKET, MAINTENANCE = "ironledge.sock", "ironledge-maintenance.json"
PEEKED = "hand-over: the other process has ended"  # in a log, after each look at the accounts
BAD_LINES = ("Traceback", "ERROR", "WARNING", "CRITICAL")
# Of an account; its times are compared with each other.
NATIVE_KEYS = ("spread", "level", "share", "tokens", "rate", "chance", "usual", "ceiling", "sure")
UNUSED_KEYS = ("unheard", "back", "back_for")

Account = dict[str, Any]  # by the keys of the hand-over


def settings() -> dict[str, Any]:
    """Plans with which the values of an account differ from each other, and room for the load."""
    probed = {
        "name": "probed",
        "quota_rate": 125.0,
        "burst": 100_000.0,
        "never_over_rate": 0.1,  # so low that the run takes no time by it
        "never_over_depth": 300_000.0,
    }
    loaded = {"name": "loaded", "quota_rate": 1000.0, "burst": 1000.0}
    domain = {"may_count": True, "count_wait": 100_000}
    return RAW | {"fleet_size": 2, "contracts": [probed, loaded], "domain": domain}


def probe(customer: int, turn: str) -> bytes:
    return request(
        f"p{customer}-{turn}",
        "order",
        "4000m",
        X_Plan="probed",
        Cookie=f"customer={customer:016x}",
        X_Quota=f"units={PROBE_UNITS},spread=2,first=0",
    )


def first_line(answer: bytes) -> str:
    return answer.partition(b"\r\n")[0].decode("latin-1")


def free_port() -> int:
    with socket.create_server((HOST, 0)) as found:
        port: int = found.getsockname()[1]
        return port


class Servers:
    """Profile servers, and how often each request came to one."""

    def __init__(self) -> None:
        self.ran: Tally[bytes] = Tally()
        self.at: Tally[str] = Tally()
        self.all: dict[str, PeerServer] = {}
        self._draws = random.Random(1)

    async def start(self) -> None:
        for number in range(1, SERVERS + 1):
            name = f"s-{number}"
            self.all[name] = await PeerServer(self._heard(name)).start()

    def _heard(self, name: str) -> Callable[[Peer], None]:
        def heard(peer: Peer) -> None:
            while b"\r\n\r\n" in peer.data:
                head, _, peer.data = peer.data.partition(b"\r\n\r\n")
                self.ran[head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]] += 1
                self.at[name] += 1
                takes = self._draws.uniform(*SERVED_IN)
                asyncio.get_running_loop().call_later(takes, answer, peer)

        def answer(peer: Peer) -> None:
            if not peer.transport.is_closing():
                peer.transport.write(OK)

        return heard

    def listed(self) -> dict[str, Any]:
        entries = [
            {"name": name, "address": f"{HOST}:{server.port}", "status": "up", "since_ms": 0}
            for name, server in self.all.items()
        ]
        return {"index": 2, "snapshot": True, "endpoints": entries}

    def stop(self) -> None:
        for server in self.all.values():
            server.stop()


class Counting:
    """The counter: a total by name, and how many calls came."""

    def __init__(self) -> None:
        self.totals: defaultdict[bytes, float] = defaultdict(float)
        self.calls = self.probe_calls = 0

    def heard(self, peer: Peer) -> None:
        *lines, peer.data = peer.data.split(b"\r\n")
        for line in lines:
            if line == b"ping":
                peer.transport.write(b"pong\r\n")
                continue
            _, name, amount, _ = line.split(b" ")
            self.totals[name] += float(amount)
            self.calls += 1
            self.probe_calls += abs(float(amount)) >= PROBE_CALL
            peer.transport.write(b"ok %.7g\r\n" % self.totals[name])


class Agent:
    """Discovery's agent: tells the whole list to each watch, then beats."""

    def __init__(self, servers: Servers) -> None:
        self._servers = servers

    def heard(self, peer: Peer) -> None:
        if b"\r\n\r\n" in peer.data:
            peer.data = b""
            peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._tell(peer, json.dumps(self._servers.listed()).encode() + b"\n")

    def _tell(self, peer: Peer, line: bytes) -> None:
        if not peer.transport.is_closing():
            peer.transport.write(b"%x\r\n%b\r\n" % (len(line), line))
            asyncio.get_running_loop().call_later(BEAT, self._tell, peer, b"\n")


@dataclass
class Load:
    """Requests that go on through the whole run, each until it is answered."""

    port: int
    served: int = 0
    again: list[bytes] = field(default_factory=list)  # ids sent on a connection that had just ended
    failed: list[str] = field(default_factory=list)
    crossed: int = 0  # answered by a process that another one has taken over from
    slowest: float = 0.0  # s
    stage: str = ""  # of the run, for what is told of a failure
    _number: int = 0
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._work(n % 2 == 0, n)) for n in range(WORKERS)]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _work(self, keeps: bool, worker: int) -> None:
        """One request after another; `keeps`: on one connection, for as long as that is kept."""
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while True:
            self._number += 1
            id, began, stage = f"l{self._number}", time.monotonic(), self.stage
            kind = ("read", "order")[self._number % 2]
            quota = "units=1,spread=2,first=0"
            customer = f"customer={1000 + worker:016x}"
            asked = request(id, kind, "3000m", X_Plan="loaded", Cookie=customer, X_Quota=quota)
            try:
                stream, answer = await self._ask(stream, asked, id)
                if not answer.startswith(b"HTTP/1.1 200 "):
                    self.failed.append(f"{id}: {answer!r} in: {stage} to {self.stage}")
                else:
                    self.served += 1
                leaving = b"connection: close" in answer.lower()
                self.crossed += leaving
                if not keeps or leaving:
                    stream[1].close()
                    stream = None
            except (OSError, EOFError) as error:  # TimeoutError is one of the first
                self.failed.append(f"{id}: {error!r} in: {stage} to {self.stage}")
                stream = None
            self.slowest = max(self.slowest, time.monotonic() - began)
            await asyncio.sleep(PAUSE)

    async def _ask(
        self,
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
        asked: bytes,
        id: str,
    ) -> tuple[tuple[asyncio.StreamReader, asyncio.StreamWriter], bytes]:
        """As HTTP/1.1 has it, a connection that was kept may end at any time between requests: one
        that ends without a byte of the answer is followed by another connection."""
        if stream and not stream[0].at_eof():
            try:
                stream[1].write(asked)
                return stream, await read_answer(stream[0])
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                self.again.append(id.encode())
                stream[1].close()
        elif stream:
            stream[1].close()
        async with asyncio.timeout(ANSWERED_WITHIN):
            made = await asyncio.open_connection(HOST, self.port)
        made[1].write(asked)
        return made, await read_answer(made[0])


class Process:
    """One ingress process."""

    def __init__(self, program: Program, number: int, folder: Path, config: dict[str, Any]) -> None:
        self.program, self.name = program, f"{number} ({program.name})"
        self.ops, self.log = free_port(), folder / f"{number}.log"
        self.peeks = 0
        path = folder / f"{number}.json"
        path.write_text(json.dumps(config | {"ops": f"{HOST}:{self.ops}"}))
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "PYTHONPATH"))}
        kept |= {"EDGE_CONFIG": str(path), "TMPDIR": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, "-m", program.module]
        with open(self.log, "wb") as log:
            self.process = Popen(
                command, cwd=program.checkout, env=kept, stdin=DEVNULL, stdout=log, stderr=log
            )

    async def listens(self) -> int:
        """The port that it took, as its log tells."""
        found: list[int] = []

        async def told() -> bool:
            if self.process.poll() is not None:
                raise StepError(f"{self.name}: ended with {self.process.returncode}")
            lines = [x for x in self.log.read_text().splitlines() if ": listening on " in x]
            found[:] = [int(line.rpartition(":")[2]) for line in lines]
            return bool(found)

        await until(f"{self.name} listening", told, STARTED_WITHIN)
        return found[0]

    async def ended(self) -> None:
        """By itself or after a signal, with status 0 and no fault in its log. Raises StepError."""

        async def over() -> bool:
            return self.process.poll() is not None

        await until(f"{self.name} ended", over, ENDED_WITHIN)
        if self.process.returncode != 0:
            raise StepError(f"{self.name}: ended with {self.process.returncode}")
        self.check_log()

    def check_log(self) -> None:
        """Raises StepError for a fault; each look at the accounts leaves one line that is none."""
        lines = self.log.read_text().splitlines()
        peeked = [line for line in lines if line.endswith(PEEKED)]
        bad = [x for x in lines if x.startswith(BAD_LINES) and x not in peeked]
        if bad or len(peeked) > self.peeks:
            raise StepError(f"{self.name}: {bad or peeked}")

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(ENDED_WITHIN)

    async def call(self, method: str, path: str) -> int:
        """The status of an operators' call."""
        answer = await ask(self.ops, f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        return int(answer.split()[1])

    async def accounts(self, path: Path) -> dict[int, Account]:
        """What it would hand over, by customer: asked for as a process that takes over does, which
        then never serves."""
        self.peeks += 1

        def look() -> Any:
            with socket.socket(socket.AF_UNIX) as conn:
                conn.settimeout(ANSWERED_WITHIN)
                conn.connect(str(path))
                _, descriptors, _, _ = socket.recv_fds(conn, 1, 1)
                os.close(descriptors[0])
                conn.sendall(b'"take"\n')
                with conn.makefile("rb") as lines:
                    return json.loads(lines.readline())

        state = await asyncio.to_thread(look)
        return {
            customer: values for customer, _, _, values in state["ingress"]["module"]["accounts"]
        }


async def ask(port: int, data: bytes) -> bytes:
    """An answer on a connection of its own."""
    async with asyncio.timeout(ANSWERED_WITHIN):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(data)
            return await read_answer(reader)
        finally:
            writer.close()


class Run:
    """The ingress, its stand-ins, and the checks of each turn."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.servers, self.counting = Servers(), Counting()
        self.counter = PeerServer(self.counting.heard)
        self.discovery = PeerServer(Agent(self.servers).heard)
        self.started: list[Process] = []
        self.native: dict[str, Account] = {}  # a probe's, just made, by the program that made it
        self.customers = 0  # probes so far
        self.crossed: Tally[str] = Tally()  # requests under way as a program handed over
        self.load = Load(0)

    async def begin(self, program: Program) -> None:
        await self.servers.start()
        await self.counter.start()
        await self.discovery.start()
        first = self.start(program)
        self.load.port = await first.listens()
        if (status := await first.call("POST", f"/maintenance/enter?who={OUT}")) != 200:
            raise StepError(f"maintenance: {status}")
        self.check_kept([OUT])
        self.load.start()

    async def end(self) -> None:
        await self.load.stop()
        for process in self.started:
            process.kill()
        for server in (self.counter, self.discovery):
            if server.port:
                server.stop()
        self.servers.stop()

    def start(self, program: Program) -> Process:
        """Its file says any port and an empty list: it has both from the process before, if it
        takes over."""
        nothing = {"index": 0, "snapshot": True, "endpoints": []}
        config = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:{self.discovery.port}",
            "counter": f"{HOST}:{self.counter.port}",
            "seed": "8c1f",
            "limits": {},
            "settings": settings(),
            "known": nothing,
        }
        self.started.append(Process(program, len(self.started), self.folder, config))
        return self.started[-1]

    async def turn(self, program: Program) -> None:
        """The newest process is replaced by one of this program."""
        before = self.started[-1]
        served, crossed = self.load.served, self.load.crossed
        self.load.stage = f"before {program.name} begins"
        await asyncio.sleep(LOAD_FOR)
        self.load.stage = "leases and a look at accounts"
        probes, leases = await self.lease(before)
        accounts = await before.accounts(self.folder / SOCKET)
        self.load.stage, began = "hand-over", time.monotonic()
        after = self.start(program)
        port = await after.listens()
        taken = time.monotonic() - began
        if port != self.load.port:
            raise StepError(f"{after.name} listens on {port}, not on {self.load.port}")
        await before.ended()
        over = time.monotonic() - began
        self.load.stage = "leases are spent"
        await self.spend(probes)
        self.load.stage = "a look at accounts"
        await self.check_accounts(before, accounts, after, probes)
        self.load.stage = f"{TOGGLED} out"
        await self.check_maintenance(after)
        self.load.stage = f"after {program.name} began"
        await asyncio.sleep(LOAD_FOR)
        self.check_load()
        crossed = self.load.crossed - crossed
        self.crossed[before.program.name] += crossed
        measured = [
            f"listening after {taken:.2f} s",
            f"the one before ended with 0 after {over:.2f} s",
            f"{self.load.served - served} requests served ({crossed} by the one that left),"
            f" {len(self.load.failed)} failed, {len(self.load.again)} sent again so far,"
            f" slowest so far {self.load.slowest:.3f} s",
            f"{len(probes)} probes with {leases} calls for leases, spent with 0",
            f"{len(accounts)} accounts handed over",
            f"{OUT} out and {self.servers.at[OUT]} requests there",
        ]
        print(f"{before.name} to {after.name}: {', '.join(measured)}", flush=True)

    async def lease(self, process: Process) -> tuple[list[int], int]:
        """New customers that have asked once each, and so have leased units for another request;
        and the calls that were made for these."""
        probes = [self.customers + number for number in range(1, PROBES + 1)]
        self.customers += PROBES
        before = self.counting.probe_calls
        for customer in probes:
            await self.ask_probe(customer, "first")
        if (calls := self.counting.probe_calls - before) != PROBES:
            raise StepError(f"{process.name}: {calls} calls for {PROBES} leases")
        return probes, calls

    async def spend(self, probes: list[int]) -> None:
        """Their second requests. Raises StepError if the counter is asked for them."""
        before = self.counting.probe_calls
        for customer in probes:
            await self.ask_probe(customer, "second")
        if calls := self.counting.probe_calls - before:
            raise StepError(f"{calls} calls for {len(probes)} leases that were handed over")

    async def ask_probe(self, customer: int, turn: str) -> None:
        answer = await ask(self.load.port, probe(customer, turn))
        if not answer.startswith(b"HTTP/1.1 200 "):
            raise StepError(f"probe {customer}: {first_line(answer)}")

    async def check_accounts(
        self, before: Process, accounts: dict[int, Account], after: Process, probes: list[int]
    ) -> None:
        """Of each probe: as its own program makes it, as the other program does, and after the
        hand-over less the units spent since. Raises StepError."""
        now = await after.accounts(self.folder / SOCKET)
        if missing := accounts.keys() - now.keys():
            raise StepError(f"{after.name}: customers {sorted(missing)} were not handed over")
        for customer in probes:
            made, kept = accounts[customer], now[customer]
            self.native.setdefault(before.program.name, made)
            for name, native in self.native.items():
                same(f"made by {before.name} and by {name}", made, native)
            expected = spent(made)
            same(f"customer {customer}, expected at {after.name} and there", expected, kept)
            # the total never told of it; then the request came; then its lease
            if not made["heard_at"] < 0 < made["demand_at"] < made["level_at"] < kept["level_at"]:
                raise StepError(f"customer {customer}: times of {made} and {kept}")

    async def check_maintenance(self, process: Process) -> None:
        """The file is as it was; another server added to it and taken from it leaves it so."""
        self.check_kept([OUT])
        for call, names in (("enter", sorted([OUT, TOGGLED])), ("exit", [OUT])):
            if (status := await process.call("POST", f"/maintenance/{call}?who={TOGGLED}")) != 200:
                raise StepError(f"{process.name}: maintenance/{call}: {status}")
            self.check_kept(names)

    def check_kept(self, names: list[str]) -> None:
        kept = json.loads((self.folder / MAINTENANCE).read_text())
        if kept != names:
            raise StepError(f"{MAINTENANCE} has {kept}, not {names}")
        if self.servers.at[OUT]:
            raise StepError(f"{self.servers.at[OUT]} requests at {OUT}, which is out")

    def check_load(self) -> None:
        if self.load.failed:
            raise StepError(f"requests failed: {self.load.failed[:10]}")
        if twice := [id for id in self.load.again if self.servers.ran[id] != 1]:
            raise StepError(f"sent again, did not run once: {twice[:10]}")

    async def finish(self) -> None:
        """The load ends, and the last process with SIGTERM; it takes its socket away."""
        await self.load.stop()
        self.check_load()
        last = self.started[-1]
        last.process.send_signal(signal.SIGTERM)
        await last.ended()
        if (self.folder / SOCKET).exists():
            raise StepError(f"{SOCKET} is still there")
        self.check_kept([OUT])
        made = sorted(self.native)
        if idle := [name for name in made if not self.crossed[name]]:
            raise StepError(f"no request was ever under way as {' and '.join(idle)} handed over")
        print(
            f"whole run: {self.load.served} requests served, {len(self.load.failed)} failed, "
            f"{len(self.load.again)} sent again, {self.counting.calls} calls to the counter, "
            f"accounts alike as made by {' and '.join(made)}, {last.name} ended with 0",
            flush=True,
        )


def spent(made: Account) -> Account:
    """A probe's account after a hand-over, a second request, and another look: a look and a
    hand-over each leave one half of what is left of the ceiling."""
    return made | {
        "tokens": made["tokens"] - PROBE_UNITS,
        "usual": 2 * made["usual"],
        "ceiling": (made["ceiling"] / 2 - PROBE_UNITS) / 2,
        "sure": (made["sure"] / 2 - PROBE_UNITS) / 2,
    }


def same(what: str, one: Account, other: Account) -> None:
    """But for what little time does. Raises StepError."""
    if one.keys() != other.keys():
        raise StepError(f"{what}: keys {sorted(one.keys() ^ other.keys())}")
    for key in (*NATIVE_KEYS, *UNUSED_KEYS):
        alike = type(one[key]) is type(other[key])
        if not alike or not math.isclose(one[key], other[key], rel_tol=CLOSE):
            raise StepError(f"{what}: {key} is {one[key]} and {other[key]}")


async def main(old: Program, new: Program) -> int:
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder))
        try:
            async with asyncio.timeout(RUN_WITHIN):
                await run.begin(old)
                for number in range(TURNS):
                    await run.turn(old if number % 2 else new)
                await run.finish()
        except (StepError, OSError, ValueError, LookupError) as error:  # TimeoutError is an OSError
            print(f"FAILED: {error!r}", flush=True)
            show_logs(Path(folder))
            return 1
        finally:
            await run.end()
    return 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("old_checkout", type=Path)
    parser.add_argument("new_checkout", type=Path, nargs="?", default=ROOT)
    arguments = parser.parse_args()
    old_program = Program("eb69f91", arguments.old_checkout.resolve(), "ironledge")
    new_program = Program("new", arguments.new_checkout.resolve(), "cairndale.ingress")
    sys.exit(asyncio.run(main(old_program, new_program)))
