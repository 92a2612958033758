"""Two tenants whose names differ in a blank at the end: as whose are the requests of the second one run?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.excepthook = lambda *error: (sys.__excepthook__(*error), os._exit(2))  # Python's own status for it is 1
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import LIMITS, Client, Operator, Platform, Record, Server, main, route, service  # noqa: E402

APPLY_S = 3.0  # `apply`
FIRST, FIRST_KEY, SECOND_KEY = "sese880", "9anu6wsjnbanfqasnmgk", "cuyj8pjbvk9m68k7b2ex"


async def play(record: Record, trouble: bool) -> int:
    second = f"{FIRST} " if trouble else f"{FIRST}-2"
    platform = Platform(record)
    servers = [Server(platform, "survey-srv", zone) for zone in ("tun-a", "sfx-a")]
    operator, client = Operator(platform), Client(platform)
    try:
        await platform.begin()
        for server in servers:
            await server.start()
        tenant = {"name": FIRST, "apiKeys": [FIRST_KEY], "prio": 1, "ratePerS": 70, "burst": 70, "homeRegions": []}
        content = {
            "routes": [route("fix", "survey-srv", "mutating")], "backends": [service("survey-srv")],
            "limits": LIMITS, "tenants": [tenant],
        }
        assert await operator.replace(content) == 200
        await platform.until_ready(platform.edges)
        for edge in platform.edges:
            _, _, status = await client.send(edge, "POST", "/fix/0", FIRST_KEY, b"before")
            assert status == 200, status
        added = tenant | {"name": second, "apiKeys": [SECOND_KEY]}
        if await operator.update(upsert={"tenants": [added]}) != 200:
            record.line("the configuration is refused")
            return 0
        await asyncio.sleep(APPLY_S + 1.0)
        sent = []
        for number in range(1, 4):
            for edge in platform.edges:
                sent.append((second, await client.send(edge, "POST", f"/fix/{number}", SECOND_KEY, b"second")))
                sent.append((FIRST, await client.send(edge, "POST", f"/fix/{number}", FIRST_KEY, b"first")))
        tenants = {id: headers.get("x-tenant") for server in servers for _, id, headers, _ in server.runs}
        broken = 0
        for holder, (id, _, status) in sent:
            if id in tenants and tenants[id] != holder:
                broken += 1
                record.line(f"UNASKED: {id} of the tenant {holder!r} ran as one of {tenants[id]!r}, status {status}")
        return int(broken > 0)
    finally:
        for server in servers:
            server.stop()
        platform.end()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
