"""A process of a scale run: hollow ingresses, hollow servers, or a real process of the system under
a gauge.

`python -m cairndale.scale.worker` reads orders on standard input and writes what it counts on
standard output, an object of JSON a line each way. It ends when its input does."""

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
from cairndale.scale.simulated import Ingress, Server, Shared, look_up

PACE = 0.05  # s between the first starts of hollow ingresses: all at once is one of the troubles


class Worker:
    def __init__(self, made: dict[str, Any]) -> None:
        self.made, self.gauge, self.shared = made, Gauge(), Shared()
        self.rng = random.Random(made["seed"])
        self.ingresses = [
            Ingress(
                i["name"],
                (i["ip"], i["port"]),
                (i["zone"], i["region"]),
                made["cores"],
                self.shared,
                self.gauge,
                self.rng,
            )
            for i in made.get("ingresses", ())
        ]
        self.servers = [
            Server(
                s["number"],
                s["service"],
                s["zone"],
                made["control"],
                made["beat"],
                self.rng,
                self.gauge,
            )
            for s in made.get("servers", ())
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self.gauge.watch())]
        self._tasks += [loop.create_task(s.run(self.made["life"])) for s in self.servers]
        for ingress in self.ingresses:
            await ingress.start(self.made["lease_per_s"])
            await asyncio.sleep(PACE)

    async def obey(self, order: dict[str, Any]) -> dict[str, Any]:
        match order["do"]:
            case "count":
                told = self.gauge.read() | self._told()
                self.gauge.restart()
                self.shared.told = 0
                for ingress in self.ingresses:
                    ingress.lapsed, ingress.counted_at = 0.0, time.monotonic()
                    ingress.failed.clear()
                for server in self.servers:
                    server.beats = server.lost = 0
                return told
            case "served":
                return {"served": [i.served_at for i in self.ingresses]}
            case "look up":
                return await look_up(
                    order["door"], order["per_s"], order["span"], order["regions"], self.rng
                )
            case "restart":  # all at once, as after a loss of power
                for ingress in self.ingresses:
                    ingress.stop()
                for ingress in self.ingresses:
                    await ingress.start(self.made["lease_per_s"])
            case "cut":  # those of a region hear nobody and are not heard
                for ingress in self.ingresses:
                    if ingress.place[1] == order["region"]:
                        ingress.stop()
            case "heal":
                for ingress in self.ingresses:
                    if ingress.rpc_peer is None:
                        await ingress.start(self.made["lease_per_s"])
        return self._told()

    def _told(self) -> dict[str, Any]:
        now = time.monotonic()
        here = [i for i in self.ingresses if i.rpc_peer]
        well = [i for i in here if i.well_at and i.lease_end > now]
        lapsed = sum(
            i.lapsed + max(0.0, now - max(i.lease_end, i.began, i.counted_at))
            for i in self.ingresses
        )
        return {
            "ingresses": len(here),
            "well": [[i.term, max(i.well_at, i.term_at)] for i in well],
            "lapsed": lapsed,
            "tenants": sum(i.tenants for i in here),
            "servers": len(self.servers),
            "failed": sum(i.failed.total() for i in self.ingresses),
            "failures": dict(sum((i.failed for i in self.ingresses), Counter())),
            "contents": self.shared.told,
            "beats": sum(s.beats for s in self.servers),
            "beats_lost": sum(s.lost for s in self.servers),
        }


async def simulated(made: dict[str, Any]) -> None:
    worker = Worker(made)
    await worker.begin()
    print(json.dumps({"begun": len(worker.ingresses) + len(worker.servers)}), flush=True)
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await worker.obey(json.loads(line))), flush=True)
    for ingress in worker.ingresses:
        ingress.stop()


async def real() -> None:
    """A process of the system, with a line of what it costs for each line that comes in."""
    from cairndale import process as system
    from cairndale.rpc.peer import RpcPeer
    from cairndale.settings import read_settings

    gauge = Gauge()
    begin = RpcPeer.listen

    async def counted(self: RpcPeer) -> None:
        gauge.count_frames(self)
        await begin(self)

    RpcPeer.listen = counted  # type: ignore[method-assign]
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    watch = loop.create_task(gauge.watch())
    playing = loop.create_task(
        system.serve(
            read_settings(os.environ.get(system.SETTINGS_VARIABLE, "")),
            sighup_received=lambda: False,
        )
    )
    print(json.dumps({"begun": 1}), flush=True)
    while await reader.readline():
        print(json.dumps(gauge.read()), flush=True)
        gauge.restart()
    watch.cancel()
    playing.cancel()


def main() -> int:
    set_up_logging()
    if sys.argv[1:] == ["real"]:
        uvloop.run(real())
    else:
        uvloop.run(simulated(json.loads(sys.stdin.buffer.readline())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
