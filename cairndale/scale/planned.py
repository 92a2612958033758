"""Tables beyond the runs: estimates for the target size, mechanisms that would support it, and a
comparison with the sweep. Their texts are part of `docs/CAPACITY.md`."""

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
from cairndale.scale.content import api_key
from cairndale.scale.run import HEARTBEAT_INTERVAL_S, QUOTA_LEASES_PER_S
from cairndale.scale.sums import TARGET, Contents, RunResult
from cairndale.scale.sweeps import sweeps
from cairndale.scale.tables import UNITS, format_number, ranged, table

FOLDER = ROOT / "docs" / "capacity"
RENEWAL_INTERVAL_S = 1.5  # assumed between renewals of a lease of 4.5 s


def plain_table(kept: dict[str, RunResult]) -> str:
    """Return estimates that need no slope: the cost of one of each, times their number."""
    base = kept[sums.BASE]
    requests_per_s = sums.value(base, "hollow ingresses", "messages_out")
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
    ingress_count = TARGET["ingresses"]
    changes_per_s = sums.CHANGES_A_DAY / sums.DAY
    rows.append(
        (
            "one configuration of the size, MB (packed)",
            f"{contents.raw / 1e6:.1f} ({contents.compressed / 1e6:.1f})",
            "made up here and packed",
        )
    )
    rows.append(
        (
            "it told whole to every ingress, GB a change",
            format_number(contents.compressed * ingress_count / 1e9),
            f"times {ingress_count:,}",
        )
    )
    rows.append(
        (
            "so in bytes a second and ingress, KB/s, at the day's mean",
            format_number(contents.compressed * changes_per_s / 1e3),
            f"times {changes_per_s:.2f} changes a second; 15 are allowed",
        )
    )
    messages_per_s = sums.value(base, "hollow servers", "messages_out")
    bytes_sent = sums.value(base, "hollow servers", "bytes_out") / messages_per_s
    bytes_received = sums.value(base, "hollow servers", "bytes_in") / messages_per_s
    heartbeats_per_s = sums.heartbeats_per_s(TARGET["servers"])
    rows.append(
        (
            "one heartbeat, bytes out and back",
            f"{bytes_sent:.0f} and {bytes_received:.0f}",
            f"`{sums.BASE}`",
        )
    )
    rows.append(
        (
            "heartbeats a second of all servers",
            format_number(heartbeats_per_s),
            f"one each {HEARTBEAT_INTERVAL_S} s",
        )
    )
    rows.append(
        ("so in at all cores, MB/s", format_number(bytes_sent * heartbeats_per_s / 1e6), "")
    )
    rows.append(
        (
            "messages a second out of one hollow ingress",
            format_number(requests_per_s),
            f"`{sums.BASE}`",
        )
    )
    for count in (30, 100, 300, 1000, ingress_count):
        rows.append(
            (
                f"an ask's hold at {count:,} ingresses, s",
                format_number(long_poll_timeout(count)),
                "by its rule; a lease is 4.5",
            )
        )
    failures = sums.per_second([sums.FAILURES_A_DAY, sums.RESTARTS_A_DAY])
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
            format_number(2 * failures * ingress_count),
            "gone and back, told to each",
        )
    )
    rows.append(
        (
            "ingresses that a zone takes along",
            format_number(ingress_count / sums.ZONES),
            f"of {sums.ZONES} zones",
        )
    )
    rows.append(
        (
            "ingresses that a region takes along",
            format_number(ingress_count / sums.REGIONS),
            f"of {sums.REGIONS} regions",
        )
    )
    rows += _full_list_rows()
    rows += _lookup_rows(kept)
    return table(("what", "sum", "from"), rows)


def _full_list_rows() -> list[tuple[str, str, str]]:
    """Return the cost of sending full endpoint lists when all ingresses reconnect."""
    rows = []
    for count in (1000, 3000, TARGET["ingresses"]):
        nodes = [
            pb.Node(
                name=f"hollow-{n}",
                incarnation=api_key(n)[:12],
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
        label = f"all ingresses told of to one, KB, at {count:,}"
        rows.append((label, format_number(size / 1e3), "made up here and packed"))
        within = format_number(size * count / SEND_RATE_BYTES_PER_S)
        rows.append(
            (
                "... told whole to all as they return, s",
                within,
                f"at {SEND_RATE_BYTES_PER_S / 1e6:g} MB/s",
            )
        )
    return rows


def _lookup_rows(kept: dict[str, RunResult]) -> list[tuple[str, str, str]]:
    """Return the look-up load at the target size, if each client makes one request a second and
    looks up again after the ttl that it is given."""
    ingress_count, rows = TARGET["ingresses"], list[tuple[str, str, str]]()
    slope = sums.lookup_slope(kept)
    for ttl, basis in ((MAX_TTL_S, "as it is told now"), (5.0, "the most that counts")):
        lookups_per_s = sums.REQUESTS_PER_S / ttl
        rows.append(
            (f"look-ups a second with a ttl of {ttl:g} s", format_number(lookups_per_s), basis)
        )
        rows.append(
            (
                "... at each ingress, evenly spread",
                format_number(lookups_per_s / ingress_count),
                f"by {ingress_count:,}",
            )
        )
        if slope:
            cores = ranged(slope.fit.predict(ingress_count), lookups_per_s / ingress_count)
            rows.append(
                ("... in cores of each ingress", cores, "by the slope of one's cost; extrapolated")
            )
    return rows


def mechanisms_table(kept: dict[str, RunResult]) -> str:
    """Return what mechanisms for the target size would cost, by the same slopes and estimates."""
    ingress_count, changes_per_s, rows = (
        TARGET["ingresses"],
        sums.CHANGES_A_DAY / sums.DAY,
        list[tuple[str, str, str]](),
    )
    full_bytes, route_bytes = Contents.of(TARGET).compressed, sums.changed_route_bytes()
    rows.append(
        (
            "differences: one changed route, bytes packed",
            format_number(route_bytes),
            f"instead of {format_number(full_bytes)}",
        )
    )
    rows.append(
        (
            "... to every ingress, MB a change",
            format_number(route_bytes * ingress_count / 1e6),
            f"instead of {format_number(full_bytes * ingress_count / 1e6)}",
        )
    )
    rows.append(
        (
            "... KB/s an ingress at the day's mean",
            f"{route_bytes * changes_per_s / 1e3:.3f}",
            "15 are allowed",
        )
    )
    for regions, label in ((sums.REGIONS, "one relay a region"), (sums.ZONES, "one relay a zone")):
        for role, cost in (("leader", "cpu"), ("leader", "bytes_out")):
            slope = sums.widest_slope(kept, role, cost)
            if slope is None:
                continue
            unit, scale = UNITS[cost]
            ingresses_per_relay = ingress_count / regions
            rows.append(
                (
                    f"{label}: the leader, {unit}",
                    ranged(slope.fit.predict(regions), scale),
                    f"as with {regions} ingresses, extrapolated downwards",
                )
            )
            rows.append(
                (
                    f"{label}: each relay, {unit}",
                    ranged(slope.fit.predict(ingresses_per_relay), scale),
                    f"as a leader with {ingresses_per_relay:.0f} ingresses",
                )
            )
    rows.append(
        (
            "asks a second at the leader, each ingress by itself",
            format_number(ingress_count / RENEWAL_INTERVAL_S),
            f"leases renewed each {RENEWAL_INTERVAL_S} s",
        )
    )
    rows.append(
        (
            "... renewed in groups, one a zone",
            format_number(sums.ZONES / RENEWAL_INTERVAL_S),
            "the same",
        )
    )
    leases = QUOTA_LEASES_PER_S * ingress_count
    rows.append(
        (
            "leases of units a second, in one counter",
            format_number(leases),
            f"{QUOTA_LEASES_PER_S:g} an ingress, assumed",
        )
    )
    rows.append(("... in eleven shards, each", format_number(leases / sums.MACHINES), "by tenant"))
    heartbeats_per_s = sums.heartbeats_per_s(TARGET["servers"])
    rows.append(
        (
            "heartbeats a second at each of eleven machines",
            format_number(heartbeats_per_s / sums.MACHINES),
            "evenly spread",
        )
    )
    if slope := sums.slope(kept, "servers", "follower", "cpu"):
        share = (kept[sums.BASE]["size"]["cores"] - 1) / sums.MACHINES
        rows.append(
            (
                "... in cores, each",
                ranged(slope.fit.predict(TARGET["servers"]), share),
                "a follower's slope over servers, by four followers, in eleven parts; extrapolated",
            )
        )
    return table(("what", "sum", "from"), rows)


def sweep_table(kept: dict[str, RunResult]) -> str:
    """Return what scale runs and sweeps both measured, side by side. The busiest core machine of a
    scale run is its leader."""
    shared = (
        (
            "busiest core machine, cores",
            "core: processor %",
            0.01,
            lambda result: result["roles"]["leader"]["cpu"],
        ),
        ("busiest core machine, KB/s both ways", "core: kB a second", 1.0, _both_ways),
        ("an order acknowledged, s, longest", "config acked, ms", 1e-3, _acked),
        ("after a kill of all, s", "serving after all were killed, ms", 1e-3, _after_all),
    )
    others = sweeps(FOLDER)
    rows: list[list[Any]] = []
    for metric, line, scale, measured in shared:
        for size in (30, 100, 300):
            results = (kept.get(f"{cause}-{size}") for cause in ("ingresses", *sums.LATER_SERIES))
            cells = [sweep.at(line, size) for sweep in others]
            row = [
                metric,
                size,
                *(measured(result) if result else "not run" for result in results),
                *(_cell(cell, scale) for cell in cells),
            ]
            rows.append([format_number(cell) if isinstance(cell, float) else cell for cell in row])
    heads = [f"sweep {sweep.name} (`{sweep.head}`, journal `{sweep.journal}`)" for sweep in others]
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


def _acked(result: RunResult) -> float | str:
    return float(result["changes"]["acked_last"]) if result["changes"]["count"] else "none"


def _both_ways(result: RunResult) -> float:
    leader = result["roles"]["leader"]
    return float(leader["bytes_out"] + leader["bytes_in"]) / 1000


def _after_all(result: RunResult) -> float | str:
    if not result["troubles"]:
        return "not run"
    last = float(result["troubles"]["core restarts"]["last"])
    return last if last >= 0 else f"none in {result['troubles'].get('waited', 60.0):.0f}"
