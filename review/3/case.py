"""A configuration with a large version number is acknowledged, and nothing is served again."""

from __future__ import annotations

import asyncio
import datetime
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand_ins import (  # noqa: E402
    CannotRunError,
    Clients,
    Operator,
    Platform,
    Record,
    Server,
    configuration,
    log_lines,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CORE = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "weilheim-halle", "memmingen-halle"]
EDGE = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "erlangen-halle"]
SERVERS = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "bamberg-halle", "erlangen-halle"]
RECOVERY_S = 15.0  # `recovery` of the settings
DOWN_S = 0.8  # of the closing fault


async def run(record: Record, platform: Platform) -> int:
    """Runs the case; returns 1 if the rule was broken, else 0."""
    platform.start_all()
    controls = [platform.ctl(m) for m in platform.core]
    operator = Operator(record, {m.name: platform.ctl(m) for m in platform.core})
    await asyncio.sleep(1.5)
    key = "9anu6wsjnbanfqasnmgk"
    tenant = {
        "name": "sese880",
        "apiKeys": [key],
        "prio": 1,
        "ratePerS": 0,
        "burst": 0,
        "homeRegions": [],
    }
    routes = [route("r-1", "jepu9.example", "/lepu270/", "huvo11a")]
    await operator.order("/-/Config.Replace", configuration(1, 0, routes, ["huvo11a"], [tenant]))
    servers = [
        Server(record, f"i-{number:02d}", "huvo11a", zone, controls)
        for number, zone in enumerate(SERVERS)
    ]
    for server in servers:
        await server.start("127.0.0.1")
    await platform.ready()
    directories = [platform.dir(m) for m in platform.edge]
    clients = [
        Clients(record, zone, directories, "/lepu270/2f", "jepu9.example", key) for zone in EDGE
    ]
    for some in clients:
        asyncio.create_task(some.run())  # noqa: RUF006
    await asyncio.sleep(12.0)

    # A new version, numbered by date and time; it adds a route.
    now = datetime.datetime.now(datetime.UTC)
    gen = int(f"{now:%Y%m%d%H%M%S%f}") if TROUBLE else 2
    routes.append(route("r-2", "jepu9.example", "/lepu271/", "huvo11a"))
    body = configuration(gen, 1, routes, ["huvo11a"], [tenant])
    await operator.order("/-/Config.Replace", body)
    await asyncio.sleep(0.2)

    # The closing fault: all processes are killed, and come back.
    killed_at = record.now()
    for machine in platform.machines:
        platform.signal(machine, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    platform.start_all()
    back_at = record.now()
    await asyncio.sleep(RECOVERY_S + 12.0)
    if ended := platform.ended_by_themselves():
        raise CannotRunError(f"ended by themselves: {ended}")
    answers = [answer for some in clients for answer in some.answers]
    before = [status for sent, _, _, status in answers if sent < killed_at]
    # Those sent last may still wait for an answer.
    after = [
        status
        for sent, _, _, status in answers
        if back_at + RECOVERY_S < sent < back_at + RECOVERY_S + 10.0
    ]
    for line in log_lines(platform, "leadership_begins|config_accepted|settings|Error"):
        record.note(f"log of {line}")
    record.note(
        f"requests before the closing fault: {len(before)}, served {before.count(200)}; later than"
        f" {RECOVERY_S} s after the machines were back: {len(after)}, served {after.count(200)}"
    )
    for server in servers:
        await server.stop()
    if 4 * before.count(200) < len(before) or len(after) < 100:
        raise CannotRunError("too few requests before the closing fault or after it")
    return 1 if 4 * after.count(200) < len(after) else 0


if __name__ == "__main__":
    run_case(HERE, CORE, EDGE, run)
