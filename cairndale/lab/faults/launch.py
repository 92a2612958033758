"""Runs a program of this project with the lab around it: `python -m cairndale.lab.faults.launch
SPEC`.

The program itself is unchanged. The lab controls its environment: its connections (routed through
relays), its clocks and its disk. None of this can be set in the program's own configuration. A
*plant* is a known defect that is put into the program to show that the checker finds it."""

from __future__ import annotations

import asyncio
import errno
import importlib
import mmap
import os
import runpy
import signal
import stat
import struct
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, cast

import msgspec
import uvloop

from cairndale.lab.faults.plants import PLANTS
from cairndale.lab.live.ports import HOST

CONTROL = struct.Struct("<qdqdqq")  # see Control
DISK_FULL, DISK_FAILING = 1, 2
_real_time, _real_monotonic = time.time_ns, time.monotonic_ns
_real_write, _real_fsync = os.write, os.fsync


class LaunchSpec(msgspec.Struct):
    """What the wrapper is to run. Addresses are `HOST:PORT` as the program knows them, the ports of
    `routes` and `datagrams` are those of relays."""

    module: str
    argv: list[str]
    control: str  # path of the control file, see Control
    synced: str  # path of the log of syncs: the bytes of each file that a loss of power would leave
    routes: dict[str, int]
    datagrams: dict[str, int] = {}
    plant: str = ""  # a name in PLANTS, or MODULE:FUNCTION
    skewed: bool = False  # the clocks may run fast or slow, which needs asyncio's own event loop


class Control:
    """Settings in a memory-mapped file: the lab writes them, and this process reads them without a
    system call."""

    def __init__(self, path: Path, create: bool = False) -> None:
        if create:
            path.write_bytes(CONTROL.pack(0, 1.0, 0, 0.0, 0, 0))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), CONTROL.size)

    def read(self) -> tuple[int, float, int, float, int, int]:
        """Offset of the wall clock (us), rate of both clocks, mode of the disk, delay of each sync
        (ms), number of syncs after which the process is killed (0: never), syncs so far."""
        return CONTROL.unpack(self._map[:])

    def change(self, **fields: float) -> None:
        names = ("wall_us", "rate", "disk", "sync_ms", "die_at", "syncs")
        values = dict(zip(names, self.read(), strict=True)) | fields
        self._map[:] = CONTROL.pack(*(values[n] for n in names))

    @property
    def syncs(self) -> int:
        return self.read()[5]


class Clocks:
    """Wall and monotonic clocks with the offset and rate that the lab sets.

    A new rate applies from the time that the clock shows."""

    def __init__(self, control: Control) -> None:
        self._control, self._rate = control, 1.0
        self._real = self._shown = _real_monotonic()
        self._wall = _real_time() - self._real

    def monotonic_ns(self) -> int:
        real, rate = _real_monotonic(), self._control.read()[1]
        shown = self._shown + int((real - self._real) * self._rate)
        if rate != self._rate:
            self._real, self._shown, self._rate = real, shown, rate
        return shown

    def time_ns(self) -> int:
        return self._wall + self.monotonic_ns() + self._control.read()[0] * 1000

    def install(self) -> None:
        time.monotonic_ns, time.time_ns = self.monotonic_ns, self.time_ns
        time.monotonic = lambda: self.monotonic_ns() / 1e9
        time.time = lambda: self.time_ns() / 1e9


class Disk:
    """Simulates a full, slow or failing disk, and records what was synced."""

    def __init__(self, control: Control, synced: Path) -> None:
        self._control = control
        self._log = os.open(synced, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.unsynced = False  # set by a plant: syncs are omitted

    def write(self, fd: int, data: Any, /) -> int:
        if self._control.read()[2] == DISK_FULL and stat.S_ISREG(os.fstat(fd).st_mode):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return _real_write(fd, data)

    def fsync(self, fd: Any, /) -> None:
        _, _, disk, sync_ms, die_at, syncs = self._control.read()
        if sync_ms:
            time.sleep(sync_ms / 1000)
        if disk == DISK_FAILING:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if not self.unsynced:
            _real_fsync(fd)
            status = os.fstat(fd)
            if stat.S_ISREG(status.st_mode):
                _real_write(self._log, b"%d %d\n" % (status.st_ino, status.st_size))
        self._control.change(syncs=syncs + 1)
        if die_at and syncs + 1 >= die_at:  # the data is on disk, and not acknowledged yet
            os.kill(os.getpid(), signal.SIGKILL)

    def install(self) -> None:
        os.write = self.write
        os.fsync = self.fsync  # type: ignore[assignment]


def truncate_to_synced(folder: Path, synced: Path) -> int:
    """Truncates each file of a folder to its synced size, as a loss of power would.

    Returns the number of bytes that were lost."""
    synced_sizes = {}
    if synced.exists():
        for line in synced.read_text().splitlines():
            inode, synced_size = line.split()
            synced_sizes[int(inode)] = int(synced_size)
    lost_bytes = 0
    for path in folder.rglob("*"):
        if path.is_file() and path.name != "lock":
            status = path.stat()
            size = min(status.st_size, synced_sizes.get(status.st_ino, 0))
            lost_bytes += status.st_size - size
            os.truncate(path, size)
    return lost_bytes


class RoutedDatagrams(asyncio.DatagramProtocol):
    """A datagram endpoint of the program, routed through relays.

    The program uses the addresses of its peers, the socket those of the relays."""

    def __init__(self, inner: asyncio.DatagramProtocol, routes: dict[str, int]) -> None:
        self._inner = inner
        self._relay_ports = {_split_address(a): port for a, port in routes.items()}
        self._peers_by_relay_port = {port: address for address, port in self._relay_ports.items()}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._inner.connection_made(cast(asyncio.DatagramTransport, self))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._inner.datagram_received(data, self._peers_by_relay_port.get(addr[1], addr))

    def error_received(self, exc: Exception) -> None:
        self._inner.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        self._inner.connection_lost(exc)

    # Methods of a DatagramTransport.

    def sendto(self, data: Any, addr: Any = None) -> None:
        port = self._relay_ports.get((addr[0], addr[1]))
        self._transport.sendto(data, (addr[0], port) if port else addr)

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        self._transport.abort()

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def loop_class(spec: LaunchSpec) -> Callable[[], asyncio.AbstractEventLoop]:
    """An event loop class whose connections and datagrams go through the relays."""
    base: Any = asyncio.SelectorEventLoop if spec.skewed else uvloop.Loop

    class Loop(base):  # type: ignore[misc]
        async def create_connection(
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            if relay_port := spec.routes.get(f"{host}:{port}"):
                host, port = HOST, relay_port
            return await super().create_connection(factory, host, port, **options)

        async def create_datagram_endpoint(self, factory: Any, *args: Any, **options: Any) -> Any:
            endpoint = RoutedDatagrams(factory(), spec.datagrams)
            await super().create_datagram_endpoint(lambda: endpoint, *args, **options)
            return endpoint, endpoint._inner

        if spec.skewed:

            def time(self) -> float:
                return time.monotonic()

    return Loop


def main() -> None:
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LaunchSpec)
    control, make = Control(Path(spec.control)), loop_class(spec)
    if spec.skewed:
        Clocks(control).install()
    disk = Disk(control, Path(spec.synced))
    disk.install()
    if ":" in spec.plant:  # a plant that another package provides
        module, _, name = spec.plant.partition(":")
        getattr(importlib.import_module(module), name)()
    elif spec.plant:
        PLANTS[spec.plant](disk)

    def run(main: Coroutine[Any, Any, Any]) -> Any:
        with asyncio.Runner(loop_factory=make) as runner:
            return runner.run(main)

    uvloop.run = cast(Any, run)
    sys.argv = [spec.module, *spec.argv]
    runpy.run_module(spec.module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
