"""Demonstration: runs the whole system on loopback for 16 s with injected faults, and prints a line
of request outcomes a second and a verdict. Then servers answer by malformed responses."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import urlencode

from cairndale.chaos.malformed import MALFORMED
from cairndale.chaos.world import Attempt, World

CLIENTS = 24
MEAN_PAUSE_S = 0.1  # between a client's requests
LENGTH_S = 16
# For each request. A rejected request may always be retried; after other failures only if it is
# idempotent.
MAX_ATTEMPTS = 3
SOUND_PAUSE_S = 0.02  # between requests for malformed responses


class Demo:
    """Clients and scheduled faults, with the outcomes of requests by second."""

    def __init__(self, world: World) -> None:
        self.world, self.second = world, 0
        self.outcomes: list[Counter[str]] = [Counter() for _ in range(LENGTH_S + 10)]
        self.events: dict[int, str] = {}

    async def client(self, until: float) -> None:
        loop, world = asyncio.get_running_loop(), self.world
        while loop.time() < until:
            read = random.random() < 0.6
            started_second = self.second
            for _ in range(MAX_ATTEMPTS):
                attempt: Attempt = await world.request(
                    *(("GET", "/tiles/1") if read else ("POST", "/books/1"))
                )
                if attempt.status == 200 or not (read or attempt.status in (429, 503)):
                    break
                await asyncio.sleep(0.2)
            self.outcomes[started_second][
                "served" if attempt.status == 200 else f"{attempt.status or 'no answer'}"
            ] += 1
            await asyncio.sleep(random.uniform(0, 2 * MEAN_PAUSE_S))

    async def inject_faults(self) -> None:
        world = self.world
        _, fleet = await world.order("GET", "Fleet.Show")
        leader = next(
            n for n, m in world.machines.items() if fleet["leader"].startswith(f"{m.ip}:")
        )
        actions: dict[int, tuple[str, Callable[[], Awaitable[object]]]] = {
            3: ("edge-1 is killed", lambda: world.kill("edge-1")),
            5: ("edge-1 restarts", lambda: self._start("edge-1")),
            6: (f"{leader}, the leader, is killed", lambda: world.kill(leader)),
            9: ("north-a is evacuated", lambda: world.order("POST", "Drain.Begin/north-a")),
            11: (f"{leader} restarts with an empty disk", lambda: self._restart_wiped(leader)),
            13: ("north-a is restored", lambda: world.order("POST", "Drain.Finish/north-a")),
        }
        loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        for self.second in range(LENGTH_S):
            if self.second in actions:
                self.events[self.second], action = actions[self.second]
                await action()
            await asyncio.sleep(max(0.0, began + self.second + 1 - loop.time()))
            self.print_second(self.second)

    async def _start(self, name: str) -> None:
        self.world.start(name)

    async def receive_malformed_responses(self) -> None:
        """Ask the servers for each kind of malformed response, and count what clients get."""
        statuses = Counter[int]()
        for kind in MALFORMED:
            query = urlencode({"malformed": kind})
            statuses[(await self.world.request("POST", f"/books/1?{query}")).status] += 1
            await asyncio.sleep(SOUND_PAUSE_S)
        print(
            f"\n{len(MALFORMED)} kinds of malformed responses to requests that must not run twice: "
            + ", ".join(f"{n} got {status}" for status, n in statuses.most_common())
        )

    async def _restart_wiped(self, name: str) -> None:
        await self.world.wipe(name)
        self.world.start(name)

    def print_second(self, second: int) -> None:
        counts = self.outcomes[second]
        other = ", ".join(
            f"{n} {outcome}" for outcome, n in sorted(counts.items()) if outcome != "served"
        )
        print(
            f"{second:4d} s  {counts['served']:5d} served  {other:28s} "
            f"{self.events.get(second, '')}",
            flush=True,
        )


async def run_demo(folder: Path) -> int:
    world = World(folder, cores=3, edges=3, servers=3)
    print("starting 3 control and 3 data-plane ingresses and 6 servers", flush=True)
    try:
        await world.begin()
        status, answer = await world.configure()
        print(f"first configuration: {status} {answer}", flush=True)
        await world.ready(3)
        demo = Demo(world)
        until = asyncio.get_running_loop().time() + LENGTH_S
        clients = [asyncio.ensure_future(demo.client(until)) for _ in range(CLIENTS)]
        await demo.inject_faults()
        await asyncio.gather(*clients)
        await demo.receive_malformed_responses()
        violations = world.verdict()
        total: Counter[str] = sum(demo.outcomes, Counter())
        runs_by_server = Counter(line.server for line in world.ledger.executions)
        print(
            f"\n{total.total()} requests: "
            + ", ".join(f"{n} {outcome}" for outcome, n in total.most_common())
        )
        print(
            "executions by server: "
            + ", ".join(
                f"{runs_by_server[s.id]} ({s.service} in {s.zone})" for s in world.started_servers
            )
        )
        writes = sum(1 for attempt in world.attempts if attempt.method != "GET")
        print(
            f"{writes} attempts of non-idempotent requests: "
            + ("none ran twice" if not violations else "VIOLATED")
        )
        for line in violations[:10]:
            print(f"  {line}")
        return 1 if violations or total["served"] < 0.9 * total.total() else 0
    finally:
        await world.end()


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run_demo(Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
