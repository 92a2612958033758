"""Those who give orders in a storm: many at once, on the same parent, with answers that are lost on
their way, and the same orders again at any machine, also long after."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
from typing import Any

from cairndale.chaos.records import Move, Order, Read, Record, Sending, Shown
from cairndale.chaos.standins import parsed
from cairndale.chaos.world import World

MARK = "key-of-the-version"  # its tenant's name tells servers which order a request was taken by
LOST = 0.25  # of answers that are lost on their way
PATIENCE = 2.0  # s for an answer; some wait for ...
LONG = 12.0  # ... so long, over a freeze
KEEP_ON = 15.0  # s that an order without a clear answer is sent again
BIG = 120  # routes


async def send(
    address: str, method: str, call: str, body: bytes, within: float, lost: float = -1.0
) -> tuple[int, bytes]:
    """One call; a status of 0 is no clear answer. `lost`: s after which its answer, or its way
    there, is."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(within if lost < 0 else min(within, lost + 0.001)):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                f"{method} /-/{call} HTTP/1.1",
                f"Host: {address}",
                f"Content-Length: {len(body)}",
            ]
            writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode() + body)
            if lost >= 0:
                await asyncio.sleep(within)
            status, told = parsed(await reader.read())
            return (status, told) if status < 500 else (0, told)
    except (OSError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer:
            # A reset, not an end in order: that would say that the answer came.
            sock = writer.get_extra_info("socket")
            if sock and lost >= 0:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


class Operators:
    def __init__(self, world: World, record: Record, until: float, pace: float) -> None:
        """`pace`: s between an operator's orders, on average."""
        self.world, self.record, self.until, self.pace = world, record, until, pace
        self.in_force: tuple[int, str] = (0, "")  # the newest that is known: number and mark
        self._serial = 0
        self._loop = asyncio.get_running_loop()

    def _door(self) -> str:
        return random.choice(self.world.control)

    def _now_in_force(self, gen: int, mark: str) -> None:
        if gen > self.in_force[0]:
            self.in_force = (gen, mark)

    # Changes.

    def marked(self, mark: str) -> dict[str, Any]:
        return {"name": mark, "apiKeys": [MARK], "ratePerS": 0, "burst": 0}

    def made(self, content: dict[str, Any] | None = None) -> Order:
        """An order on top of what is in force. `content`: the whole of a Replace."""
        parent, old = self.in_force
        gen = parent + random.randint(1, 3)
        self._serial += 1
        mark = f"v{gen}-{self._serial}"
        if content is not None:
            body = content | {"tenants": [*content["tenants"], self.marked(mark)]}
            body |= {"gen": gen, "parent": parent}
            call = "Config.Replace"
        else:
            upsert: dict[str, Any] = {"tenants": [self.marked(mark)]}
            if random.random() < 0.06:
                upsert["routes"] = [self._route(n) for n in range(random.randint(1, BIG))]
            body = {"gen": gen, "parent": parent, "upsert": upsert, "remove": {"tenants": [old]}}
            call = "Config.Update"
        order = self.record.orders[mark] = Order(mark, gen, parent, call, body)
        return order

    def _route(self, number: int) -> dict[str, Any]:
        common = {
            "host": "b.example",
            "deadline": "4000ms",
            "target_time": "1000ms",
            "tries": 2,
            "prio": 1,
        }
        common |= {"kind": "idempotent", "backend": "tiles"}
        return {"name": f"big-{number}", "pathPrefix": f"/big-{number}/"} | common

    async def give(self, order: Order, address: str = "", loses: float = 0.0) -> int:
        """Sends it once."""
        address = address or self._door()
        lost = random.uniform(0.0, 0.15) if random.random() < loses else -1.0
        within = LONG if random.random() < 0.05 else PATIENCE
        body, sent = json.dumps(order.body).encode(), self._loop.time()
        mine = Sending(address, sent, float("inf"), 0)
        order.sendings.append(mine)
        mine.status, _ = await send(address, "POST", order.call, body, within, lost)
        mine.heard = self._loop.time()
        if mine.status == 200:
            self._now_in_force(order.gen, order.mark)
        return mine.status

    async def settle(self, order: Order, within: float = KEEP_ON, loses: float = LOST) -> int:
        """Until there is a clear answer, or for so long."""
        end, pause = self._loop.time() + within, 0.05
        while self._loop.time() < end:
            if status := await self.give(order, loses=loses):
                return status
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(0.8, pause * 2)
        return 0

    async def changes(self, content: dict[str, Any]) -> None:
        """One after the other."""
        while self._loop.time() < self.until:
            order = self.made(content if random.random() < 0.06 else None)
            if await self.settle(order) != 200:
                await self.read(self._door())
            await asyncio.sleep(random.uniform(0, 2 * self.pace))

    async def again(self) -> None:
        """Old orders that were taken, sent again: newer ones and very old ones alike."""
        while self._loop.time() < self.until:
            await asyncio.sleep(random.uniform(0.0, 0.3))
            known = [o for o in self.record.orders.values() if o.acked < float("inf")]
            if known:
                order = known[0] if random.random() < 0.1 else random.choice(known)
                await self.give(order, loses=0.1)

    # Reads.

    async def read(self, address: str) -> Read | None:
        sent = self._loop.time()
        within = LONG if random.random() < 0.2 else PATIENCE
        status, told = await send(address, "GET", "Config.Read", b"", within)
        if status not in (200, 404):
            return None
        content: dict[str, Any] = json.loads(told) if status == 200 else {"gen": 0, "tenants": []}
        mark = next((t["name"] for t in content["tenants"] if MARK in t["apiKeys"]), "")
        found = Read(address, sent, self._loop.time(), content["gen"], mark)
        self.record.reads.append(found)
        self._now_in_force(found.gen, found.mark)
        return found

    async def reads(self) -> None:
        while self._loop.time() < self.until:
            await self.read(self._door())
            await asyncio.sleep(random.uniform(0.0, 0.1))

    async def shows(self) -> None:
        while self._loop.time() < self.until:
            sent = self._loop.time()
            status, told = await send(self._door(), "GET", "Fleet.Show", b"", 1.0)
            if status == 200:
                raw = json.loads(told)
                ready = {s["id"] for s in raw["servers"] if s["state"] == "ready"}
                members = [m[0] for m in raw["members"]]
                self.record.shown.append(
                    Shown(sent, self._loop.time(), raw["leader"], members, ready, raw["evacuated"])
                )
            await asyncio.sleep(0.2)

    # Zones.

    async def _zone_order(self, call: str) -> bool:
        end = self._loop.time() + KEEP_ON
        while self._loop.time() < end:
            lost = random.uniform(0.0, 0.1) if random.random() < LOST else -1.0
            status, _ = await send(self._door(), "POST", call, b"", PATIENCE, lost)
            if status == 200:
                return True
            await asyncio.sleep(random.uniform(0.05, 0.3))
        return False

    async def zones(self, zone: str) -> None:
        """A zone is evacuated and taken back, again and again. Taken back at the end in any
        case."""
        while self._loop.time() < self.until:
            await asyncio.sleep(random.uniform(0.2, 2.0))
            if await self._zone_order(f"Drain.Begin/{zone}"):
                move = Move(zone, self._loop.time())
                self.record.moves.append(move)
                await asyncio.sleep(random.uniform(0.5, 3.0))
                move.over = self._loop.time()
            if not await self._zone_order(f"Drain.Finish/{zone}"):
                return
