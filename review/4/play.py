"""The last tenant is removed from the configuration: do its key, and a key that never was, still open the service?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.excepthook = lambda *error: (sys.__excepthook__(*error), os._exit(2))  # Python's own status for it is 1
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import LIMITS, Client, Operator, Platform, Record, Server, main, route, service  # noqa: E402

REVOKE_S = 5.0  # `revoke`
KEY, OTHER_KEY, NEVER_A_KEY = "9anu6wsjnbanfqasnmgk", "cuyj8pjbvk9m68k7b2ex", "zzzzzzzzzzzzzzzzzzzz"


async def play(record: Record, trouble: bool) -> int:
    platform = Platform(record)
    servers = [Server(platform, name, zone) for name in ("survey-srv", "tile-srv") for zone in ("tun-a", "sfx-a")]
    operator, client = Operator(platform), Client(platform)
    try:
        await platform.begin()
        for server in servers:
            await server.start()
        tenant = {"name": "sese880", "apiKeys": [KEY, OTHER_KEY], "prio": 1, "ratePerS": 70, "burst": 70, "homeRegions": []}
        content = {
            "routes": [route("fix", "survey-srv", "mutating"), route("tiles", "tile-srv", "idempotent")],
            "backends": [service("survey-srv"), service("tile-srv")],
            "limits": LIMITS,
            "tenants": [tenant],
        }
        assert await operator.replace(content) == 200
        await platform.until_ready(platform.edges)
        for edge in platform.edges:  # the keys are asked for, as they should be
            _, _, known = await client.send(edge, "POST", "/fix/1", KEY, b"before")
            _, _, unknown = await client.send(edge, "POST", "/fix/2", NEVER_A_KEY, b"before")
            assert (known, unknown) == (200, 401), (known, unknown)
        if trouble:  # all keys are taken away, with their tenant
            assert await operator.update(remove={"tenants": ["sese880"]}) == 200
        else:  # one of two keys is taken away
            assert await operator.update(upsert={"tenants": [tenant | {"apiKeys": [OTHER_KEY]}]}) == 200
        acknowledged_at = record.now()
        record.line(f"operator: the configuration without the key {KEY} is acknowledged")
        await asyncio.sleep(REVOKE_S + 1.0)
        sent = []
        for number in range(3):
            for edge in platform.edges:
                sent.append((KEY, await client.send(edge, "POST", f"/fix/{number}", KEY, b"after")))
                sent.append((KEY, await client.send(edge, "GET", f"/tiles/{number}", KEY)))
                sent.append((NEVER_A_KEY, await client.send(edge, "POST", f"/fix/{number}", NEVER_A_KEY, b"after")))
        _, read = await operator.order("GET", "/-/Config.Read")
        record.line(f"operator: tenants in the configuration that is read back: {read.get('tenants')}")
        run = {id for server in servers for _, id, _, _ in server.runs}
        broken = 0
        for key, (id, sent_at, status) in sent:
            if id in run and sent_at > acknowledged_at + REVOKE_S:
                broken += 1
                record.line(f"CONFIG/ROUTE: {id} with the key {key} ran, status {status}, sent "
                            f"{sent_at - acknowledged_at:.1f} s after the acknowledgement")
        return int(broken > 0)
    finally:
        for server in servers:
            server.stop()
        platform.end()


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
