"""Figures of the command line for `docs/observability.md`.

`python -m tests.measurements.measure_ingress [CHECKOUT]`.

Counts and paired ratios. With a checkout: start and memory of the platform's `run` there and here,
by turns. Otherwise: processor time a request of one ingress before an echoing server, with nothing
on, with metrics, with JSON access logs; and how many log records a second go through before some
are dropped."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from cairndale.ingress.cli.schema import EXAMPLE_CONFIG
from cairndale.ingress.observability.logs import Options, Writer
from tests.ingress.cli.test_cli import reserve_port
from tests.testing.ingress import HOST, OK, RAW, PeerServer, reply_with

ROOT = Path(__file__).parents[2]
REQUESTS, ROUNDS = 4000, 5


def started(checkout: Path) -> tuple[float, float, int]:
    """s of processor time until `/up` says yes, s of the clock, kB held."""
    folder = Path(tempfile.mkdtemp())
    holder = reserve_port()
    port = holder.getsockname()[1]
    known = {"index": 1, "snapshot": True, "endpoints": []}
    config: dict[str, Any] = {
        "name": "n0",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:1",
        "counter": f"{HOST}:1",
    }
    config |= {"seed": "1", "limits": {}, "settings": RAW, "known": known}
    (folder / "c.json").write_text(json.dumps(config))
    env = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    env |= {"EDGE_CONFIG": str(folder / "c.json"), "TMPDIR": str(folder)}
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "cairndale.ingress"], cwd=checkout, env=env, stderr=subprocess.PIPE
    )
    assert process.stderr
    while b"listening on" not in process.stderr.readline():
        pass
    took = time.monotonic() - began
    cpu, memory = usage(process.pid)
    process.send_signal(signal.SIGTERM)
    process.wait()
    holder.close()
    return cpu, took, memory


def usage(pid: int) -> tuple[float, int]:
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
    return cpu, int(stat[21]) * os.sysconf("SC_PAGE_SIZE") // 1024


async def spent(more: str) -> float:
    """us of processor time for a request."""
    folder = Path(tempfile.mkdtemp())
    server, holders = await PeerServer(reply_with(OK)).start(), [reserve_port(), reserve_port()]
    port, ops = (h.getsockname()[1] for h in holders)
    text = EXAMPLE_CONFIG.replace("127.0.0.1:8080", f"{HOST}:{port}").replace(
        "127.0.0.1:8081", f"{HOST}:{ops}"
    )
    for number in (1, 2):
        text = text.replace(f'127.0.0.1:900{number}"\n\n', f'{HOST}:{server.port}"\n\n')
    (folder / "a.toml").write_text(text.replace("rate = 100", "rate = 0") + more)
    env = os.environ | {"TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "cairndale.ingress.cli", "run", "-c", str(folder / "a.toml")]
    with (folder / "log").open("w") as log:
        process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=log)
    end = time.monotonic() + 30
    while "listening" not in (folder / "log").read_text() and time.monotonic() < end:
        await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(HOST, port)

    async def ask(count: int) -> None:
        for _ in range(count):
            writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\nX-Api-Key: anna\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split()[0]))

    await ask(500)
    before, _ = usage(process.pid)
    await ask(REQUESTS)
    after, _ = usage(process.pid)
    writer.close()
    process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(process.wait)
    server.stop()
    for holder in holders:
        holder.close()
    return (after - before) / REQUESTS * 1e6


def records() -> tuple[int, int]:
    """Records a second that are written while none is dropped, and those offered when some first
    are."""
    rate = 2000
    while True:
        folder = Path(tempfile.mkdtemp())
        writer = Writer(Options(form="json", file=str(folder / "log")), "n0")
        writer.start()
        began = time.monotonic()
        for step in range(200):  # two seconds, in hundredths
            for _ in range(rate // 100):
                writer.put(
                    {
                        "level": "info",
                        "event": "request",
                        "id": "x" * 16,
                        "ms": 1.0,
                        "outcome": "served",
                    }
                )
            time.sleep(max(0.0, began + (step + 1) / 100 - time.monotonic()))
        writer.stop()
        if writer.dropped:
            return rate // 2, rate
        rate *= 2


def main() -> None:
    if len(sys.argv) > 1:
        other = Path(sys.argv[1]).resolve()
        rows: dict[Path, list[tuple[float, float, int]]] = {other: [], ROOT: []}
        for _ in range(8):
            for checkout, found in rows.items():
                found.append(started(checkout))
        for n, what in enumerate(("processor time to /up, s", "clock to /up, s", "memory, kB")):
            a, b = (statistics.median(r[n] for r in found) for found in rows.values())
            print(f"{what}: {a:.3f} there, {b:.3f} here, {b / a:.3f}")
        return
    access = '\n[log]\nform = "json"\naccess = '
    kinds = {"nothing on": "", "metrics": "\n[metrics]\non = true\n"}
    kinds |= {"access 1 in 100": f"{access}0.01\n", "access 1 in 1": f"{access}1\n"}
    figures: dict[str, list[float]] = {kind: [] for kind in kinds}
    for _ in range(ROUNDS):
        for kind, more in kinds.items():
            figures[kind].append(asyncio.run(spent(more)))
    base = figures["nothing on"]
    for kind, values in figures.items():
        ratio = statistics.median(v / b for v, b in zip(values, base, strict=True))
        print(f"{kind}: {statistics.median(values):.0f} us a request, {ratio:.2f} of nothing on")
    written, dropped = records()
    print(f"log records a second: {written} written, at {dropped} some are dropped")


if __name__ == "__main__":
    main()
