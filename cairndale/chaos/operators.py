"""Operators of a storm: they submit orders concurrently and on the same parent version, lose some
responses, and send the same orders again to any machine, also much later."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
from typing import Any

from cairndale.chaos.records import Evacuation, FleetStatus, Order, Read, Record, Submission
from cairndale.chaos.standins import parse_response
from cairndale.chaos.world import World

# Each version names its own tenant for this key, so that servers see the version that was applied.
VERSION_KEY = "key-of-the-version"
RESPONSE_LOSS = 0.25  # share of responses that are lost
CALL_TIMEOUT_S = 2.0
LONG_CALL_TIMEOUT_S = 12.0  # of some calls; outlasts a freeze
RETRY_FOR_S = 15.0  # an order without a clear answer is sent again for this long
MAX_ADDED_ROUTES = 120


async def send(
    address: str, method: str, call: str, body: bytes, within: float, lose_after: float = -1.0
) -> tuple[int, bytes]:
    """Send one call and return status and body; status 0 means no clear answer.

    `lose_after`: seconds after which the connection is reset, so that the response or the request
    is lost; negative: not at all.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(within if lose_after < 0 else min(within, lose_after + 0.001)):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = [
                f"{method} /-/{call} HTTP/1.1",
                f"Host: {address}",
                f"Content-Length: {len(body)}",
            ]
            writer.write("\r\n".join([*head, "Connection: close", "", ""]).encode() + body)
            if lose_after >= 0:
                await asyncio.sleep(within)
            status, answer = parse_response(await reader.read())
            return (status, answer) if status < 500 else (0, answer)
    except (OSError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer:
            # Reset the connection: an orderly close would confirm that the response arrived.
            sock = writer.get_extra_info("socket")
            if sock and lose_after >= 0:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


class Operators:
    """Loops that submit orders, read configurations and evacuate zones, and record all of it."""

    def __init__(self, world: World, record: Record, until: float, mean_pause: float) -> None:
        """`mean_pause`: seconds between the orders of one operator."""
        self.world, self.record, self.until, self.mean_pause = world, record, until, mean_pause
        self.newest_version: tuple[int, str] = (0, "")  # known so far: number and marker
        self._serial = 0
        self._loop = asyncio.get_running_loop()

    def _random_address(self) -> str:
        return random.choice(self.world.control)

    def _note_version(self, gen: int, marker: str) -> None:
        if gen > self.newest_version[0]:
            self.newest_version = (gen, marker)

    # Changes.

    def version_tenant(self, marker: str) -> dict[str, Any]:
        """Return the tenant that marks a version."""
        return {"name": marker, "apiKeys": [VERSION_KEY], "ratePerS": 0, "burst": 0}

    def next_order(self, content: dict[str, Any] | None = None) -> Order:
        """Make an order on top of the newest known version: a Replace with `content`, if given,
        else an Update."""
        parent, old_marker = self.newest_version
        gen = parent + random.randint(1, 3)
        self._serial += 1
        marker = f"v{gen}-{self._serial}"
        if content is not None:
            body = content | {"tenants": [*content["tenants"], self.version_tenant(marker)]}
            body |= {"gen": gen, "parent": parent}
            call = "Config.Replace"
        else:
            upsert: dict[str, Any] = {"tenants": [self.version_tenant(marker)]}
            if random.random() < 0.06:
                upsert["routes"] = [
                    self._route(n) for n in range(random.randint(1, MAX_ADDED_ROUTES))
                ]
            body = {
                "gen": gen,
                "parent": parent,
                "upsert": upsert,
                "remove": {"tenants": [old_marker]},
            }
            call = "Config.Update"
        order = self.record.orders[marker] = Order(marker, gen, parent, call, body)
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

    async def send_once(
        self, order: Order, address: str = "", loss_probability: float = 0.0
    ) -> int:
        """Send an order once, and record the submission; return its status."""
        address = address or self._random_address()
        lose_after = random.uniform(0.0, 0.15) if random.random() < loss_probability else -1.0
        within = LONG_CALL_TIMEOUT_S if random.random() < 0.05 else CALL_TIMEOUT_S
        body, sent_at = json.dumps(order.body).encode(), self._loop.time()
        submission = Submission(address, sent_at, float("inf"), 0)
        order.submissions.append(submission)
        submission.status, _ = await send(address, "POST", order.call, body, within, lose_after)
        submission.received_at = self._loop.time()
        if submission.status == 200:
            self._note_version(order.gen, order.marker)
        return submission.status

    async def submit(
        self, order: Order, within: float = RETRY_FOR_S, loss_probability: float = RESPONSE_LOSS
    ) -> int:
        """Send an order until there is a clear answer or time is up; return its status or 0."""
        deadline, pause = self._loop.time() + within, 0.05
        while self._loop.time() < deadline:
            if status := await self.send_once(order, loss_probability=loss_probability):
                return status
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(0.8, pause * 2)
        return 0

    async def submit_changes(self, content: dict[str, Any]) -> None:
        """Submit changes one after the other."""
        while self._loop.time() < self.until:
            order = self.next_order(content if random.random() < 0.06 else None)
            if await self.submit(order) != 200:
                await self.read(self._random_address())
            await asyncio.sleep(random.uniform(0, 2 * self.mean_pause))

    async def resend_accepted(self) -> None:
        """Send accepted orders again: random ones, and in 10% of cases the very first one."""
        while self._loop.time() < self.until:
            await asyncio.sleep(random.uniform(0.0, 0.3))
            accepted = [
                order for order in self.record.orders.values() if order.acked_at < float("inf")
            ]
            if accepted:
                order = accepted[0] if random.random() < 0.1 else random.choice(accepted)
                await self.send_once(order, loss_probability=0.1)

    # Reads.

    async def read(self, address: str) -> Read | None:
        """Read the configuration and record it; None without a clear answer."""
        sent_at = self._loop.time()
        within = LONG_CALL_TIMEOUT_S if random.random() < 0.2 else CALL_TIMEOUT_S
        status, answer = await send(address, "GET", "Config.Read", b"", within)
        if status not in (200, 404):
            return None
        content: dict[str, Any] = json.loads(answer) if status == 200 else {"gen": 0, "tenants": []}
        marker = next(
            (tenant["name"] for tenant in content["tenants"] if VERSION_KEY in tenant["apiKeys"]),
            "",
        )
        observed = Read(address, sent_at, self._loop.time(), content["gen"], marker)
        self.record.reads.append(observed)
        self._note_version(observed.gen, observed.marker)
        return observed

    async def read_repeatedly(self) -> None:
        while self._loop.time() < self.until:
            await self.read(self._random_address())
            await asyncio.sleep(random.uniform(0.0, 0.1))

    async def show_repeatedly(self) -> None:
        while self._loop.time() < self.until:
            sent_at = self._loop.time()
            status, answer = await send(self._random_address(), "GET", "Fleet.Show", b"", 1.0)
            if status == 200:
                fleet = json.loads(answer)
                ready = {server["id"] for server in fleet["servers"] if server["state"] == "ready"}
                members = [member[0] for member in fleet["members"]]
                self.record.fleet_statuses.append(
                    FleetStatus(
                        sent_at,
                        self._loop.time(),
                        fleet["leader"],
                        members,
                        ready,
                        fleet["evacuated"],
                    )
                )
            await asyncio.sleep(0.2)

    # Zones.

    async def _submit_zone_call(self, call: str) -> bool:
        deadline = self._loop.time() + RETRY_FOR_S
        while self._loop.time() < deadline:
            lose_after = random.uniform(0.0, 0.1) if random.random() < RESPONSE_LOSS else -1.0
            status, _ = await send(
                self._random_address(), "POST", call, b"", CALL_TIMEOUT_S, lose_after
            )
            if status == 200:
                return True
            await asyncio.sleep(random.uniform(0.05, 0.3))
        return False

    async def evacuate_repeatedly(self, zone: str) -> None:
        """Evacuate a zone and restore it, repeatedly. In the end it is restored in any case."""
        while self._loop.time() < self.until:
            await asyncio.sleep(random.uniform(0.2, 2.0))
            if await self._submit_zone_call(f"Drain.Begin/{zone}"):
                evacuation = Evacuation(zone, self._loop.time())
                self.record.evacuations.append(evacuation)
                await asyncio.sleep(random.uniform(0.5, 3.0))
                evacuation.ends_at = self._loop.time()
            if not await self._submit_zone_call(f"Drain.Finish/{zone}"):
                return
