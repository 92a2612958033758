"""An order to take back a zone, held up by a cut, undoes a later evacuation of the zone."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand_ins import (  # noqa: E402
    ACK_S,
    CALL_TIMEOUT_S,
    CannotRunError,
    Clients,
    Connection,
    Link,
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
ZONE = "bamberg-halle"
EVACUATE_S, STRETCH_S, CONTACT_S = 5.0, 8.0, 4.0  # `evacuate`, `stretch`, `contact`
CORE = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "weilheim-halle", "memmingen-halle"]
EDGE = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "erlangen-halle"]
SERVERS = ["rosenheim-halle", "kempten-halle", "bamberg-halle", "bamberg-halle", "erlangen-halle"]
CUT_S = 8.5  # of the link between all callers and one control machine


async def run(record: Record, platform: Platform) -> int:
    """Runs the case; returns 1 if the rule was broken, else 0."""
    platform.start_all()
    # All callers reach a control machine over its link; one of these links is cut.
    links = {m.name: Link(record, m.name, platform.ctl(m)) for m in platform.core}
    for link in links.values():
        await link.start()
    operator = Operator(record, {name: link.address for name, link in links.items()})
    controls = [link.address for link in links.values()]
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
    tasks = [
        asyncio.create_task(
            Clients(record, zone, directories, "/lepu270/2f", "jepu9.example", key).run()
        )
        for zone in EDGE
    ]
    await asyncio.sleep(4.0)

    # The first evacuation of the zone, and its end after a while.
    await operator.order(f"/-/Drain.Begin/{ZONE}")
    far = platform.core[-1].name
    kept = Connection(operator.addresses[far])
    await asyncio.sleep(7.0)
    await kept.open()
    status, _, _ = await kept.call("GET", "/-/Config.Read", b"", {}, CALL_TIMEOUT_S)
    record.note(f"operator: {status} to GET /-/Config.Read from {far}; the connection is kept")
    if TROUBLE:
        links[far].cut()
    cut_at = record.now()
    path = f"/-/Drain.Finish/{ZONE}"
    record.note(f"operator: POST {path} to {far}, on the kept connection")
    try:
        status, _, _ = await kept.call("POST", path, b"", {}, CALL_TIMEOUT_S)
        record.note(f"operator: {status} to {path} from {far}")
    except (OSError, TimeoutError) as error:
        record.note(f"operator: no answer to {path} from {far} in a second: {error!r}")
        status = 0
    kept.close()
    near = platform.core[0].name
    if status != 200:
        await operator.order(path, first=near)
    # An order may be sent again for `ack`: the next order for the zone is given after that time.
    await asyncio.sleep(max(0.0, cut_at + ACK_S + 1.0 - record.now()))

    # The zone is evacuated once more, and stays so until the end.
    acknowledged_at = await operator.order(f"/-/Drain.Begin/{ZONE}", first=near)
    await asyncio.sleep(max(0.0, cut_at + CUT_S - record.now()))
    healed_at = record.now()
    if TROUBLE:
        links[far].heal()
    await asyncio.sleep(24.0)
    for task in tasks:
        task.cancel()
    ended = platform.ended_by_themselves()
    if ended:
        raise CannotRunError(f"ended by themselves: {ended}")
    # The core is whole all the time. Should the cut count as trouble of the core nevertheless, the
    # bound grows by `stretch`, and machines are in touch `contact` after the cut: allowed here.
    allowed_until = max(acknowledged_at + EVACUATE_S + STRETCH_S, healed_at + CONTACT_S)
    late = [
        (at, request, server.id)
        for server in servers
        if server.zone == ZONE
        for at, request in server.arrivals
        if at > allowed_until
    ]
    total = sum(len(s.arrivals) for s in servers)
    for line in log_lines(platform, "evacuated|restored"):
        record.note(f"log of {line}")
    record.note(
        f"requests run: {total}; in {ZONE} after {allowed_until:.3f}, evacuation acknowledged at "
        f"{acknowledged_at:.3f} and not taken back since: {len(late)}"
    )
    for server in servers:
        await server.stop()
    for link in links.values():
        await link.stop()
    if total < 100:
        raise CannotRunError("too few requests were run")
    return 1 if late else 0


if __name__ == "__main__":
    run_case(HERE, CORE, EDGE, run)
