"""Tables of what was not run: sums for the size, what would carry it, and what the sweep
measured."""

from __future__ import annotations

import json
from typing import Any

from cairndale.chaos.world import ROOT
from cairndale.control.watch_server import SEND_RATE_BYTES_PER_S
from cairndale.lookup.selection import MAX_TTL_S
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.compression import compress_lists
from cairndale.rpc.lease_timing import long_poll_timeout
from cairndale.scale import sums
from cairndale.scale.content import key
from cairndale.scale.run import BEAT, LEASES
from cairndale.scale.sums import TARGET, Contents, Told
from cairndale.scale.sweeps import sweeps
from cairndale.scale.tables import UNITS, format_number, ranged, table

FOLDER = ROOT / "docs" / "capacity"
RENEWED = 1.5  # s between renewals of a lease, as it might be with a lease of 4.5


def plain_table(kept: dict[str, Told]) -> str:
    """Sums that need no slope: what one of each costs, times how many there will be."""
    base = kept[sums.BASE]
    asks = sums.value(base, "hollow ingresses", "messages_out")
    rows = []
    gauge = json.loads((FOLDER / "gauge.json").read_text())
    rows.append(
        (
            "what the gauge itself costs a process, cores and MB",
            f"{gauge['cpu']:.4f}, {gauge['mb']:.0f}",
            f"measured in a process that does nothing else, load {gauge['load']:.0f}",
        )
    )
    contents = Contents.of(TARGET)
    n = TARGET["ingresses"]
    a_second = sums.CHANGES_A_DAY / sums.DAY
    rows.append(
        (
            "one configuration of the size, MB (packed)",
            f"{contents.raw / 1e6:.1f} ({contents.told / 1e6:.1f})",
            "made up here and packed",
        )
    )
    rows.append(
        (
            "it told whole to every ingress, GB a change",
            format_number(contents.told * n / 1e9),
            f"times {n:,}",
        )
    )
    rows.append(
        (
            "so in bytes a second and ingress, KB/s, at the day's mean",
            format_number(contents.told * a_second / 1e3),
            f"times {a_second:.2f} changes a second; 15 are allowed",
        )
    )
    beats = sums.value(base, "hollow servers", "messages_out")
    each = sums.value(base, "hollow servers", "bytes_out") / beats
    back = sums.value(base, "hollow servers", "bytes_in") / beats
    rate = sums.beats_per_s(TARGET["servers"])
    rows.append(
        ("one heartbeat, bytes out and back", f"{each:.0f} and {back:.0f}", f"`{sums.BASE}`")
    )
    rows.append(("heartbeats a second of all servers", format_number(rate), f"one each {BEAT} s"))
    rows.append(("so in at all cores, MB/s", format_number(each * rate / 1e6), ""))
    rows.append(
        ("messages a second out of one hollow ingress", format_number(asks), f"`{sums.BASE}`")
    )
    for edges in (30, 100, 300, 1000, n):
        rows.append(
            (
                f"an ask's hold at {edges:,} ingresses, s",
                format_number(long_poll_timeout(edges)),
                "by its rule; a lease is 4.5",
            )
        )
    failures = sums.a_day([sums.FAILED_A_DAY, sums.RESTARTS_A_DAY])
    rows.append(
        (
            "processes that come or go, one each so many seconds",
            format_number(1 / failures),
            "57 and 10,000 a day",
        )
    )
    rows.append(
        (
            "words of it to all ingresses, messages/s",
            format_number(2 * failures * n),
            "gone and back, told to each",
        )
    )
    rows.append(
        (
            "ingresses that a zone takes along",
            format_number(n / sums.ZONES),
            f"of {sums.ZONES} zones",
        )
    )
    rows.append(
        (
            "ingresses that a region takes along",
            format_number(n / sums.REGIONS),
            f"of {sums.REGIONS} regions",
        )
    )
    rows += _lists_of_all()
    rows += _look_ups(kept)
    return table(("what", "sum", "from"), rows)


def _lists_of_all() -> list[tuple[str, str, str]]:
    """What a return of all costs: who has nothing is told of all others."""
    rows = []
    for count in (1000, 3000, TARGET["ingresses"]):
        nodes = [
            pb.Node(
                name=f"hollow-{n}",
                incarnation=key(n)[:12],
                address=f"10.{n // 250}.{n % 250}.1:7601",
                http_address=f"10.{n // 250}.{n % 250}.1:7602",
                zone=f"z{n % 26}",
                region=f"r{n % 8}",
                kind="edge",
                ready=True,
            )
            for n in range(count)
        ]
        size = len(compress_lists(pb.WatchResponse(nodes=nodes)))
        what = f"all ingresses told of to one, KB, at {count:,}"
        rows.append((what, format_number(size / 1e3), "made up here and packed"))
        within = format_number(size * count / SEND_RATE_BYTES_PER_S)
        rows.append(
            (
                "... told whole to all as they return, s",
                within,
                f"at {SEND_RATE_BYTES_PER_S / 1e6:g} MB/s",
            )
        )
    return rows


def _look_ups(kept: dict[str, Told]) -> list[tuple[str, str, str]]:
    """At the size, if each client makes one request a second and looks up as it is told
    to."""
    n, rows = TARGET["ingresses"], list[tuple[str, str, str]]()
    found = sums.look_ups(kept)
    for ttl, what in ((MAX_TTL_S, "as it is told now"), (5.0, "the most that counts")):
        rate = sums.REQUESTS_PER_S / ttl
        rows.append((f"look-ups a second with a ttl of {ttl:g} s", format_number(rate), what))
        rows.append(("... at each ingress, evenly spread", format_number(rate / n), f"by {n:,}"))
        if found:
            cores = ranged(found.fit.at(n), rate / n)
            rows.append(
                ("... in cores of each ingress", cores, "by the slope of one's cost; extrapolated")
            )
    return rows


def mechanisms_table(kept: dict[str, Told]) -> str:
    """What would carry the size, by the same slopes and sums."""
    n, a_second, rows = (
        TARGET["ingresses"],
        sums.CHANGES_A_DAY / sums.DAY,
        list[tuple[str, str, str]](),
    )
    whole, route = Contents.of(TARGET).told, sums.changed_route_bytes()
    rows.append(
        (
            "differences: one changed route, bytes packed",
            format_number(route),
            f"instead of {format_number(whole)}",
        )
    )
    rows.append(
        (
            "... to every ingress, MB a change",
            format_number(route * n / 1e6),
            f"instead of {format_number(whole * n / 1e6)}",
        )
    )
    rows.append(
        ("... KB/s an ingress at the day's mean", f"{route * a_second / 1e3:.3f}", "15 are allowed")
    )
    for regions, what in ((sums.REGIONS, "one relay a region"), (sums.ZONES, "one relay a zone")):
        for role, cost in (("leader", "cpu"), ("leader", "bytes_out")):
            found = sums.furthest(kept, role, cost)
            if found is None:
                continue
            unit, scale = UNITS[cost]
            each = n / regions
            rows.append(
                (
                    f"{what}: the leader, {unit}",
                    ranged(found.fit.at(regions), scale),
                    f"as with {regions} ingresses, extrapolated downwards",
                )
            )
            rows.append(
                (
                    f"{what}: each relay, {unit}",
                    ranged(found.fit.at(each), scale),
                    f"as a leader with {each:.0f} ingresses",
                )
            )
    rows.append(
        (
            "asks a second at the leader, each ingress by itself",
            format_number(n / RENEWED),
            f"leases renewed each {RENEWED} s",
        )
    )
    rows.append(
        ("... renewed in groups, one a zone", format_number(sums.ZONES / RENEWED), "the same")
    )
    leases = LEASES * n
    rows.append(
        (
            "leases of units a second, in one counter",
            format_number(leases),
            f"{LEASES:g} an ingress, assumed",
        )
    )
    rows.append(("... in eleven shards, each", format_number(leases / sums.MACHINES), "by tenant"))
    beats = sums.beats_per_s(TARGET["servers"])
    rows.append(
        (
            "heartbeats a second at each of eleven machines",
            format_number(beats / sums.MACHINES),
            "evenly spread",
        )
    )
    if found := sums.slope(kept, "servers", "follower", "cpu"):
        share = (kept[sums.BASE]["size"]["cores"] - 1) / sums.MACHINES
        rows.append(
            (
                "... in cores, each",
                ranged(found.fit.at(TARGET["servers"]), share),
                "a follower's slope over servers, by four followers, in eleven parts; extrapolated",
            )
        )
    return table(("what", "sum", "from"), rows)


def sweep_table(kept: dict[str, Told]) -> str:
    """What both measured, side by side: the scale run's busiest core machine is its leader."""
    shared = (
        (
            "busiest core machine, cores",
            "core: processor %",
            0.01,
            lambda t: t["roles"]["leader"]["cpu"],
        ),
        ("busiest core machine, KB/s both ways", "core: kB a second", 1.0, _both_ways),
        ("an order acknowledged, s, longest", "config acked, ms", 1e-3, _acked),
        ("after a kill of all, s", "serving after all were killed, ms", 1e-3, _after_all),
    )
    others = sweeps(FOLDER)
    rows: list[list[Any]] = []
    for what, line, scale, found in shared:
        for size in (30, 100, 300):
            told = (kept.get(f"{cause}-{size}") for cause in ("ingresses", *sums.LATERS))
            cells = [s.at(line, size) for s in others]
            row = [
                what,
                size,
                *(found(one) if one else "not run" for one in told),
                *(_cell(c, scale) for c in cells),
            ]
            rows.append([format_number(c) if isinstance(c, float) else c for c in row])
    heads = [f"sweep {s.name} (`{s.head}`, journal `{s.journal}`)" for s in others]
    return table(
        (
            "what",
            "own machines or hollow ingresses",
            "scale run before news in rounds",
            "scale run with them",
            "scale run with batches",
            *heads,
        ),
        rows,
    )


def _cell(value: float | None, scale: float) -> float | str:
    return "none or not played" if value is None else value * scale


def _acked(told: Told) -> float | str:
    return float(told["changes"]["acked_last"]) if told["changes"]["count"] else "none"


def _both_ways(told: Told) -> float:
    leader = told["roles"]["leader"]
    return float(leader["bytes_out"] + leader["bytes_in"]) / 1000


def _after_all(told: Told) -> float | str:
    if not told["troubles"]:
        return "not run"
    last = float(told["troubles"]["core restarts"]["last"])
    return last if last >= 0 else f"none in {told['troubles'].get('waited', 60.0):.0f}"
