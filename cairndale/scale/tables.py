"""Tables of the measured costs and the slopes fitted to them. Their texts are part of
`docs/CAPACITY.md`."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import isinf
from typing import Any

from cairndale.scale import sums
from cairndale.scale.sums import TARGET, RunResult

MAX_RANGE_FACTOR = 100  # a range whose upper end exceeds the value by more says nothing
SLOPES = (
    ("leader", "cpu"),
    ("leader", "bytes_out"),
    ("leader", "bytes_in"),
    ("leader", "messages_out"),
    ("leader", "late_p99"),
    ("leader", "mb"),
    ("follower", "cpu"),
    ("follower", "bytes_in"),
    ("follower", "mb"),
    ("real ingress", "cpu"),
    ("real ingress", "bytes_in"),
    ("real ingress", "mb"),
    ("hollow ingresses", "messages_out"),
    ("hollow ingresses", "bytes_in"),
    ("hollow ingresses", "bytes_out"),
)
UNITS = {
    "cpu": ("cores", 1.0),
    "bytes_out": ("KB/s out", 1e-3),
    "bytes_in": ("KB/s in", 1e-3),
    "messages_out": ("messages/s out", 1.0),
    "late_p99": ("ms late, p99", 1e3),
    "mb": ("MB", 1.0),
}


def format_number(value: float) -> str:
    """Format a number with three significant digits, or more before the point."""
    if isinf(value):
        return "no bound"
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def label_of(role: str, metric: str) -> str:
    role = "one hollow ingress" if role == "hollow ingresses" else role
    return f"{role}, {UNITS[metric][0]}"


def _late(row: dict[str, Any]) -> str:
    return "/".join(f"{1000 * row[f'late_{at}']:.1f}" for at in ("p50", "p99", "most"))


def _orders(changes: dict[str, Any], kind: str) -> str:
    return (
        "/".join(format_number(changes[f"{kind}_{at}"]) for at in ("p50", "p99", "last"))
        if changes["count"]
        else "none"
    )


def runs_table(kept: dict[str, RunResult]) -> str:
    rows = []
    for name, result in kept.items():
        size, leader, changes = result["size"], result["roles"]["leader"], result["changes"]
        machine = result["machine"]
        rows.append(
            (
                f"`{name}`",
                result["commit"],
                f"{machine['load_before']:.0f}/{machine['load_after']:.0f}",
                "/".join(str(size[c]) for c in ("ingresses", "servers", "tenants", "routes")),
                f"{100 * result['hollow']['with a lease']:.1f}%",
                format_number(leader["cpu"]),
                format_number(leader["waited"]) if "waited" in leader else "not counted",
                format_number(leader["bytes_out"] / 1000),
                format_number(leader["bytes_in"] / 1000),
                format_number(leader["messages_out"]),
                _late(leader),
                f"{changes['count']}+{result['refused']}",
                _orders(changes, "acked"),
                _orders(changes, "served"),
            )
        )
    return table(
        (
            "run",
            "commit",
            "load",
            "ingresses/servers/tenants/routes",
            "time with leases",
            "leader, cores",
            "... waited for, cores",
            "KB/s out",
            "KB/s in",
            "messages/s",
            "loop late, ms p50/p99/most",
            "orders, +unclear",
            "acknowledged, s p50/p99/last",
            "served, s p50/p99/last",
        ),
        rows,
    )


def roles_table(kept: dict[str, RunResult]) -> str:
    rows = []
    for name, result in kept.items():
        for role in result["roles"]:
            value = {
                metric: sums.value(result, role, metric)
                for metric in ("cpu", "bytes_out", "bytes_in", "messages_out")
            }
            row = result["roles"][role]
            label = {
                "hollow ingresses": "one hollow ingress",
                "hollow servers": "one hollow server",
            }.get(role, role)
            rows.append(
                (
                    f"`{name}`",
                    label,
                    format_number(value["messages_out"]),
                    format_number(value["bytes_out"] / 1000),
                    format_number(value["bytes_in"] / 1000),
                    format_number(value["cpu"]),
                    format_number(row["mb"]),
                    _late(row),
                )
            )
    return table(
        (
            "run",
            "role",
            "messages/s out",
            "KB/s out",
            "KB/s in",
            "cores",
            "MB of the process",
            "loop late, ms p50/p99/most",
        ),
        rows,
    )


def _times(faults: RunResult, kind: str) -> str:
    waited = faults.get("waited", 60.0)
    if not (times := faults.get(kind)):
        return f"not run: {faults['given up']}"
    if times["last"] < 0:
        return f"{100 * times['share']:.0f}% there after {waited:.0f} s"
    return "/".join(format_number(times[at]) for at in ("p50", "p99", "last"))


def returns_table(kept: dict[str, RunResult]) -> str:
    rows = []
    kinds = ("leases of the new leader", "fleet restarts", "core restarts", "region returns")
    for name, result in kept.items():
        if faults := result["troubles"]:
            new_leader = faults.get("new leader", -1.0)
            leader = (
                format_number(new_leader)
                if new_leader >= 0
                else f"none in {faults.get('waited', 60.0):.0f} s"
            )
            partitioned_for = f"{faults.get('cut for', 0.0):.0f}"
            rows.append(
                (f"`{name}`", leader, *(_times(faults, kind) for kind in kinds), partitioned_for)
            )
    heads = (
        "all hold its leases",
        "all ingresses restart",
        "the core restarts",
        "a region returns",
    )
    return table(("run", "new leader, s", *(f"{head}, s" for head in heads), "cut for, s"), rows)


def lookups_table(kept: dict[str, RunResult]) -> str:
    rows = [
        (
            f"`{name}`",
            result["size"]["ingresses"],
            format_number(lookups["per_s"]),
            lookups["failed"],
            format_number(1e6 * lookups["cpu_each"]),
            f"{format_number(lookups['bytes_out'])}/{format_number(lookups['bytes_in'])}",
            lookups["addresses"],
            f"{format_number(1000 * lookups['p50'])}/{format_number(1000 * lookups['p99'])}",
        )
        for name, result in kept.items()
        if (lookups := result.get("look-ups"))
    ]
    heads = (
        "look-ups a second",
        "failed",
        "us of a core each",
        "bytes there/back",
        "addresses told, most",
    )
    return table(("run", "hollow ingresses", *heads, "ms at the client p50/p99"), rows)


def ranged(estimate: tuple[float, float, float], scale: float) -> str:
    middle, low, high = (max(0.0, value) * scale for value in estimate)
    if high > MAX_RANGE_FACTOR * max(middle, 1e-9):
        return f"{format_number(middle)} (the range is beyond a factor of {MAX_RANGE_FACTOR})"
    return f"{format_number(middle)} ({format_number(low)} to {format_number(high)})"


def slopes_table(kept: dict[str, RunResult]) -> str:
    rows = []
    for cause in (*sums.CAUSES, *sums.LATER_SERIES):
        target = TARGET[sums.varied_dimension(cause)]
        for role, metric in SLOPES:
            if slope := sums.slope(kept, cause, role, metric):
                scale = UNITS[metric][1]
                rows.append(
                    (
                        cause,
                        label_of(role, metric),
                        ", ".join(f"{s:g}: {format_number(v * scale)}" for _, s, v in slope.points),
                        f"{slope.fit.power:.2f} ± {2 * slope.fit.error:.2f}"
                        if len(slope.points) > 2
                        else f"{slope.fit.power:.2f}, of two points",
                        ", ".join(f"{100 * r:+.0f}%" for r in slope.fit.residuals),
                        f"{target:,}: {ranged(slope.fit.predict(target), scale)}",
                    )
                )
    return table(
        ("cause", "what", "measured", "power", "residuals", "carried on to (extrapolated)"), rows
    )


def size_table(kept: dict[str, RunResult]) -> str:
    """Return the extrapolated costs at the target size, with their budgets."""
    limits = {
        ("real ingress", "cpu"): "0.023",
        ("real ingress", "mb"): "64",
        ("real ingress", "bytes_in"): "15",
        ("hollow ingresses", "bytes_in"): "15",
    }
    rows = []
    for role, metric in SLOPES:
        estimate = sums.at_target(kept, role, metric)
        base = sums.value(kept[sums.BASE], role, metric)
        scale = UNITS[metric][1]
        causes = [s.cause for s in sums.slopes(kept, role, metric)]
        rows.append(
            (
                label_of(role, metric),
                format_number(base * scale),
                ranged(estimate, scale),
                limits.get((role, metric), ""),
                ", ".join(causes),
            )
        )
    return table(
        (
            "role and what",
            f"measured, `{sums.BASE}`",
            "at the size (extrapolated)",
            "budget",
            "causes",
        ),
        rows,
    )
