"""A process of a scale run: simulated ingresses, simulated servers, or a real process of the system
with a gauge.

`python -m cairndale.scale.worker` reads commands from standard input and writes counts to standard
output, one JSON object a line each way. It exits at the end of its input."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from collections import Counter
from typing import Any

import uvloop

from cairndale.events import set_up_logging
from cairndale.scale.gauge import Gauge
from cairndale.scale.simulated import SharedContents, SimulatedIngress, SimulatedServer, look_up

# Between the first starts of simulated ingresses: starting all at once is one of the faults.
START_INTERVAL_S = 0.05


class Worker:
    """The simulated ingresses and servers of one process."""

    def __init__(self, parameters: dict[str, Any]) -> None:
        self.parameters, self.gauge, self.shared = parameters, Gauge(), SharedContents()
        self.rng = random.Random(parameters["seed"])
        self.ingresses = [
            SimulatedIngress(
                i["name"],
                (i["ip"], i["port"]),
                (i["zone"], i["region"]),
                parameters["cores"],
                self.shared,
                self.gauge,
                self.rng,
            )
            for i in parameters.get("ingresses", ())
        ]
        self.servers = [
            SimulatedServer(
                s["number"],
                s["service"],
                s["zone"],
                parameters["control"],
                parameters["beat"],
                self.rng,
                self.gauge,
            )
            for s in parameters.get("servers", ())
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self.gauge.watch())]
        self._tasks += [loop.create_task(s.run(self.parameters["life"])) for s in self.servers]
        for ingress in self.ingresses:
            await ingress.start(self.parameters["lease_per_s"])
            await asyncio.sleep(START_INTERVAL_S)

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute a command and return the answer."""
        match command["do"]:
            case "count":
                usage = self.gauge.read() | self._status()
                self.gauge.restart()
                self.shared.received_contents = 0
                for ingress in self.ingresses:
                    ingress.lease_gap_s, ingress.counted_at = 0.0, time.monotonic()
                    ingress.failures.clear()
                for server in self.servers:
                    server.heartbeats = server.failed_heartbeats = 0
                return usage
            case "served":
                return {"served": [i.served_at for i in self.ingresses]}
            case "look up":
                return await look_up(
                    command["door"], command["per_s"], command["span"], command["regions"], self.rng
                )
            case "restart":  # all at once, as after a loss of power
                for ingress in self.ingresses:
                    ingress.stop()
                for ingress in self.ingresses:
                    await ingress.start(self.parameters["lease_per_s"])
            case "cut":  # partitions all ingresses of a region
                for ingress in self.ingresses:
                    if ingress.location[1] == command["region"]:
                        ingress.stop()
            case "heal":
                for ingress in self.ingresses:
                    if ingress.rpc_peer is None:
                        await ingress.start(self.parameters["lease_per_s"])
        return self._status()

    def _status(self) -> dict[str, Any]:
        now = time.monotonic()
        running = [i for i in self.ingresses if i.rpc_peer]
        ready = [i for i in running if i.ready_at and i.lease_end > now]
        lease_gap_s = sum(
            i.lease_gap_s + max(0.0, now - max(i.lease_end, i.started_at, i.counted_at))
            for i in self.ingresses
        )
        return {
            "ingresses": len(running),
            "well": [[i.term, max(i.ready_at, i.term_at)] for i in ready],
            "lapsed": lease_gap_s,
            "tenants": sum(i.tenants for i in running),
            "servers": len(self.servers),
            "failed": sum(i.failures.total() for i in self.ingresses),
            "failures": dict(sum((i.failures for i in self.ingresses), Counter())),
            "contents": self.shared.received_contents,
            "beats": sum(s.heartbeats for s in self.servers),
            "beats_lost": sum(s.failed_heartbeats for s in self.servers),
        }


async def run_simulated(parameters: dict[str, Any]) -> None:
    """Run simulated ingresses and servers until the end of standard input."""
    worker = Worker(parameters)
    await worker.begin()
    print(json.dumps({"begun": len(worker.ingresses) + len(worker.servers)}), flush=True)
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await worker.handle(json.loads(line))), flush=True)
    for ingress in worker.ingresses:
        ingress.stop()


async def run_real() -> None:
    """Run a real process of the system, and write its costs for each line of standard input."""
    from cairndale import process as system
    from cairndale.rpc.peer import RpcPeer
    from cairndale.settings import read_settings

    gauge = Gauge()
    listen = RpcPeer.listen

    async def listen_counted(self: RpcPeer) -> None:
        gauge.count_frames(self)
        await listen(self)

    RpcPeer.listen = listen_counted  # type: ignore[method-assign]
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    watch_task = loop.create_task(gauge.watch())
    serve_task = loop.create_task(
        system.serve(
            read_settings(os.environ.get(system.SETTINGS_VARIABLE, "")),
            sighup_received=lambda: False,
        )
    )
    print(json.dumps({"begun": 1}), flush=True)
    while await reader.readline():
        print(json.dumps(gauge.read()), flush=True)
        gauge.restart()
    watch_task.cancel()
    serve_task.cancel()


def main() -> int:
    set_up_logging()
    if sys.argv[1:] == ["real"]:
        uvloop.run(run_real())
    else:
        uvloop.run(run_simulated(json.loads(sys.stdin.buffer.readline())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
