"""Figures of the list service for `docs/directory.md`.

`python -m tests.measurements.measure_discovery`, some two minutes.

A real service on loopback, watched by the ingress's own client. Counts and ratios only; each spell
is of a fixed length, and the ways to watch are measured on the same events one after another."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import signal
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

import uvloop

from cairndale.discovery.state import Record, Server
from cairndale.discovery.store import Store
from cairndale.ingress.net import discovery as discovery_module
from cairndale.ingress.net.discovery import (
    AddressRotation,
    DirectoryConfig,
    Discovery,
    EndpointTable,
    EndpointUpdate,
)
from tests.testing.discovery import HOST, DiscoveryProcess

FLEET, SERVERS, SPELL, DOWN, POLL = 200, 200, 10.0, 5.0, 2.0


class Client:
    """One of the fleet that watches."""

    def __init__(self, port: int, me: int) -> None:
        self.held = EndpointTable(DirectoryConfig(()))
        self.discovery = Discovery((HOST, port), 0, self._changed, FLEET, self.held, me)
        self.discovery.start()

    def _changed(self, change: EndpointUpdate) -> None: ...

    def stop(self) -> None:
        self.discovery.stop()


class Poller:
    """One of a fleet that asks for the whole list every `POLL` seconds, on one connection."""

    tries = 0

    def __init__(self, port: int, me: int) -> None:
        self.port, self.index = port, -1
        self._task = asyncio.create_task(self._poll())

    async def _poll(self) -> None:
        await asyncio.sleep(random.uniform(0, POLL))
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                Poller.tries += 1
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    while True:
                        writer.write(b"GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n")
                        head = await reader.readuntil(b"\r\n\r\n")
                        length = int(head.lower().partition(b"content-length:")[2].split()[0])
                        self.index = json.loads(await reader.readexactly(length))["index"]
                        await asyncio.sleep(POLL)
                finally:
                    writer.close()
            await asyncio.sleep(POLL)

    def stop(self) -> None:
        self._task.cancel()


tries = 0


def counted(real: Callable[..., float]) -> Callable[..., float]:
    def ended(*args: Any, **more: Any) -> float:
        global tries
        tries += 1
        return real(*args, **more)

    return ended


async def fill(program: DiscoveryProcess, count: int) -> None:
    for start in range(0, count, 50):
        numbers = range(start, min(count, start + 50))
        await asyncio.gather(*(program.register(f"s-{n}", 1000 + n) for n in numbers))


async def steady(program: DiscoveryProcess) -> None:
    await asyncio.sleep(SPELL)


async def roll(program: DiscoveryProcess) -> None:
    """Half of the servers, one after another: drained, removed, registered as started anew."""
    for number in range(SERVERS // 2):
        await program.call("POST", f"/servers/s-{number}/drain")
        await program.call("DELETE", f"/servers/s-{number}")
        await program.register(f"s-{number}", 1000 + number, since_ms=5)
        await asyncio.sleep(SPELL / SERVERS)
    await asyncio.sleep(POLL)


async def restart(program: DiscoveryProcess) -> None:
    await program.stop(signal.SIGKILL)
    await asyncio.sleep(DOWN)
    await program.start()
    await asyncio.sleep(SPELL)


async def spell(
    kind: str, what: Callable[[DiscoveryProcess], Awaitable[None]], folder: Path
) -> dict[str, int]:
    """The counts of one way to watch over one spell."""
    global tries
    random.seed(1)
    program = await DiscoveryProcess(folder).start()
    await fill(program, SERVERS)
    clients = [(Poller if kind == "polling" else Client)(program.reads, n) for n in range(FLEET)]
    await asyncio.sleep(2 * POLL)  # all have their first list
    tries = Poller.tries = 0
    before = (await program.status())["counts"]
    await what(program)
    after = (await program.status())["counts"]
    if what is restart:
        before = dict.fromkeys(before, 0)
    made = tries + Poller.tries
    for client in clients:
        client.stop()
    await program.stop()
    counts = {
        k: after[k] - before[k] for k in ("lists", "watches", "connections", "bytes_told", "wholes")
    }
    return counts | {"tries to connect": made}


async def fleets(folder: Path) -> None:
    head = (
        "spell | way | lists | watches | whole lists told | connections | tries to connect | "
        "bytes told"
    )
    print(f"| {head} |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
    for what in (steady, roll, restart):
        for kind in ("watch", "polling", "watch, no back-off"):
            if kind == "watch, no back-off" and what is not restart:
                continue
            pause = (0.0, 0.0) if kind == "watch, no back-off" else discovery_module.BACKOFF_S
            patches = (
                mock.patch.object(discovery_module, "BACKOFF_S", pause),
                mock.patch.object(
                    AddressRotation, "watch_ended", counted(AddressRotation.watch_ended)
                ),
            )
            with patches[0], patches[1]:
                counts = await spell(kind, what, folder / f"{what.__name__} {kind}")
            keys = ("lists", "watches", "wholes", "connections", "tries to connect", "bytes_told")
            shown = [counts[k] for k in keys]
            print(
                f"| {what.__name__} | {kind} | " + " | ".join(f"{n:,}" for n in shown) + " |",
                flush=True,
            )


def memory(program: DiscoveryProcess) -> int:
    """kB that the service has in use now."""
    assert program.process
    text = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


@asynccontextmanager
async def watches(program: DiscoveryProcess, count: int, deaf: bool) -> Any:
    """That many watches that read, or that never do."""
    socks, tasks = [], []
    loop = asyncio.get_running_loop()

    async def read(sock: socket.socket) -> None:
        while await loop.sock_recv(sock, 1 << 16):
            pass

    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, program.reads))
        sock.sendall(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
        socks.append(sock)
        if not deaf:
            tasks.append(asyncio.create_task(read(sock)))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for sock in socks:
            sock.close()


async def rounds(program: DiscoveryProcess, count: int) -> Counter[int]:
    """Changes ten servers at once, and so on; how many versions the slowest watch that reads then
    lacks."""
    seen: Counter[int] = Counter()
    for start in range(0, count * 10, 10):
        numbers = range(start, start + 10)
        changes = (program.register(f"s-{n % SERVERS}", 2000 + n, zone="z" * 60) for n in numbers)
        await asyncio.gather(*changes)
        seen[(await program.status())["versions_behind"]] += 1
    return seen


async def slow_ones(folder: Path) -> None:
    head = "watches that read | that never do | of these stalled at the end | rounds of ten changes"
    last = (
        "the slowest that reads lacks 0 versions, 1 to 10, 11 to 20, more | kB for each that "
        "never does"
    )
    print(f"\n| {head} | {last} |")
    print("| --- | --- | --- | --- | --- | --- |")
    for deaf in (0, 200):
        program = await DiscoveryProcess(folder / f"slow {deaf}").start()
        await fill(program, SERVERS)
        async with watches(program, FLEET, deaf=False):
            await rounds(program, 50)
            before = memory(program)
            async with watches(program, deaf, deaf=True):
                seen = await rounds(program, 200)
                each = (memory(program) - before) / deaf if deaf else 0.0
                stalled = (await program.status())["watches_stalled"]
                parts = ((0, 0), (1, 10), (11, 20), (21, 1 << 60))
                counts = [
                    sum(n for behind, n in seen.items() if a <= behind <= b) for a, b in parts
                ]
                shown = ", ".join(map(str, counts))
                print(f"| {FLEET} | {deaf} | {stalled} | 200 | {shown} | {each:.0f} |", flush=True)
        await program.stop()
    program = await DiscoveryProcess(folder / "many").start()
    await fill(program, SERVERS)
    before = memory(program)
    async with watches(program, 1000, deaf=False):
        await rounds(program, 20)
        print(f"\n1,000 watches that read: {(memory(program) - before) / 1000:.1f} kB each")
    await program.stop()


def replay(folder: Path) -> None:
    print(
        "\n| records | log, bytes | a record | CPU to replay, against 1,000 | the same a record |"
    )
    print("| --- | --- | --- | --- | --- |")
    first = 0.0
    with mock.patch("cairndale.discovery.store.COMPACT_MIN_BYTES", 1 << 40):
        for count in (1000, 10_000, 50_000):
            store = Store(folder / f"log {count}")
            work, records = store.state.copy(), []
            for number in range(count):
                name, address = f"s-{number % 200}", f"{HOST}:{number % 60000 + 1}"
                server = Server(name, address, lease_ms=5000, version=number + 1)
                records.append(Record(number + 1, 1, (server,)))
                work.apply(records[-1])
                if len(records) == 10:
                    store.append(records, work.copy())
                    records = []
            store.close()
            begun = time.process_time()
            again = Store(folder / f"log {count}")
            took = time.process_time() - begun
            first = first or took
            size = again.log_size
            again.close()
            ratio = took / first
            print(
                f"| {count:,} | {size:,} | {size / count:.0f} | {ratio:.1f} | "
                f"{ratio * 1000 / count:.2f} |"
            )


async def main() -> None:
    logging.disable(logging.WARNING)
    with TemporaryDirectory() as folder:
        await fleets(Path(folder))
        await slow_ones(Path(folder))
        replay(Path(folder))


if __name__ == "__main__":
    uvloop.run(main())
