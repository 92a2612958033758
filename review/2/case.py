"""A server that has left in order gets requests again once all control processes were killed."""

from __future__ import annotations

import asyncio
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
    call_once,
    configuration,
    log_lines,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CORE = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "weilheim-halle", "memmingen-halle"]
EDGE = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "erlangen-halle"]
SERVERS = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "bamberg-halle", "erlangen-halle"]
DRAIN_S, CONTACT_S = 3.0, 4.0  # `drain` and `contact` of the settings
RESTART_S = 0.8  # all processes of the core come back within a second
LATE_S = 2.5  # by which the server's last heartbeat is late
SERVES_ON_S = 9.0  # after the acknowledgement of its end


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
    await asyncio.sleep(6.0)

    # The server ends in order: it says so, serves on for some seconds, and ends.
    leaving = servers[2]
    leaving.stop_beats()
    late_heartbeat = leaving.heartbeat()  # made before the end was told, and late on its way
    if not await leaving.deregister():
        raise CannotRunError("the end of the server was not acknowledged")
    acknowledged_at = record.note(f"server {leaving.id}: Deregister was acknowledged")
    await asyncio.sleep(0.2)
    settled_at = 0.0
    if TROUBLE:
        for machine in platform.core:
            platform.signal(machine, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for machine in platform.core:
            platform.start(machine)
        settled_at = record.now() + CONTACT_S
    await asyncio.sleep(max(0.0, acknowledged_at + LATE_S - record.now()))
    path = f"/-/Instances.Heartbeat/{leaving.id}"
    for address in controls:
        try:
            status, _ = await call_once(address, "POST", path, late_heartbeat)
        except (OSError, TimeoutError):
            continue
        record.note(f"server {leaving.id}: its heartbeat of seq {leaving.seq} came late: {status}")
        if status == 200:
            break
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_ON_S - record.now()))
    await leaving.stop()
    record.note(f"server {leaving.id}: ended")
    await asyncio.sleep(1.0)
    if ended := platform.ended_by_themselves():
        raise CannotRunError(f"ended by themselves: {ended}")
    # Later than `drain` after the acknowledgement, and sent by the client when all are in touch.
    sent = {id: sent_at for some in clients for sent_at, id, _, _ in some.answers}
    begin = max(acknowledged_at + DRAIN_S, settled_at)
    late = [
        request
        for at, request in leaving.arrivals
        if at > acknowledged_at + DRAIN_S and sent.get(request, 0.0) > begin
    ]
    total = sum(len(s.arrivals) for s in servers)
    for line in log_lines(platform, "leadership_begins|endpoints"):
        record.note(f"log of {line}")
    record.note(
        f"requests run: {total}; by {leaving.id} after {begin:.3f}, the machines being in "
        f"touch and the end acknowledged at {acknowledged_at:.3f}: {len(late)}"
    )
    for server in servers:
        await server.stop()
    if total < 100:
        raise CannotRunError("too few requests were run")
    return 1 if late else 0


if __name__ == "__main__":
    run_case(HERE, CORE, EDGE, run)
