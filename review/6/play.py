"""A route for a host with a port: which service runs the requests of that host?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.excepthook = lambda *error: (sys.__excepthook__(*error), os._exit(2))  # Python's own status for it is 1
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import HOST, LIMITS, Client, Operator, Platform, Record, Server, main, route, service  # noqa: E402

APPLY_S = 3.0  # `apply`
KEY = "9anu6wsjnbanfqasnmgk"


async def play(record: Record, trouble: bool) -> int:
    platform = Platform(record)
    servers = [Server(platform, name, zone) for name in ("registry-srv", "trial-srv") for zone in ("tun-a", "sfx-a")]
    operator, client = Operator(platform), Client(platform)
    try:
        await platform.begin()
        for server in servers:
            await server.start()
        tenant = {"name": "sese880", "apiKeys": [KEY], "prio": 1, "ratePerS": 0, "burst": 0, "homeRegions": []}
        content = {
            "routes": [route("title", "registry-srv", "mutating")],
            "backends": [service("registry-srv"), service("trial-srv")], "limits": LIMITS, "tenants": [tenant],
        }
        assert await operator.replace(content) == 200
        await platform.until_ready(platform.edges)
        for edge in platform.edges:
            _, _, status = await client.send(edge, "POST", "/title/0", KEY, b"before")
            assert status == 200, status
        # The trial of the registry: the same paths at a host of its own.
        host = f"{HOST}:8206" if trouble else f"trial.{HOST}"
        added = route("title", "trial-srv", "mutating", host=host) | {"name": "title-trial"}
        assert await operator.update(upsert={"routes": [added]}) == 200
        acknowledged_at = record.now()
        await asyncio.sleep(APPLY_S + 1.0)
        sent = []
        for number in range(1, 4):
            for edge in platform.edges:
                sent.append(await client.send(edge, "POST", f"/title/{number}", KEY, b"trial", host=host))
        _, read = await operator.order("GET", "/-/Config.Read")
        record.line(f"operator: hosts and services that are read back: {[(r['host'], r['backend']) for r in read['routes']]}")
        ran_by = {id: server.service for server in servers for _, id, _, _ in server.runs}
        broken = 0
        for id, sent_at, status in sent:
            if ran_by.get(id) != "trial-srv" and (id in ran_by or status == 404):
                broken += 1
                record.line(f"ROUTE/CONFIG: {id} for the host {host}, sent {sent_at - acknowledged_at:.1f} s after the "
                            f"acknowledgement, ran at {ran_by.get(id)}, status {status}")
        return int(broken > 0)
    finally:
        for server in servers:
            server.stop()
        platform.end()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
