"""Tables of what was measured, and of the slopes through it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import isinf
from typing import Any

from cairndale.scale import sums
from cairndale.scale.sums import TARGET, Told

FAR = 100  # times the middle, beyond which an upper end says nothing
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
    """Three digits."""
    if isinf(value):
        return "no bound"
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def name_of(role: str, what: str) -> str:
    role = "one hollow ingress" if role == "hollow ingresses" else role
    return f"{role}, {UNITS[what][0]}"


def _late(row: dict[str, Any]) -> str:
    return "/".join(f"{1000 * row[f'late_{at}']:.1f}" for at in ("p50", "p99", "most"))


def _orders(made: dict[str, Any], kind: str) -> str:
    return (
        "/".join(format_number(made[f"{kind}_{at}"]) for at in ("p50", "p99", "last"))
        if made["count"]
        else "none"
    )


def runs_table(kept: dict[str, Told]) -> str:
    rows = []
    for name, told in kept.items():
        size, leader, made = told["size"], told["roles"]["leader"], told["changes"]
        machine = told["machine"]
        rows.append(
            (
                f"`{name}`",
                told["commit"],
                f"{machine['load_before']:.0f}/{machine['load_after']:.0f}",
                "/".join(str(size[c]) for c in ("ingresses", "servers", "tenants", "routes")),
                f"{100 * told['hollow']['with a lease']:.1f}%",
                format_number(leader["cpu"]),
                format_number(leader["waited"]) if "waited" in leader else "not counted",
                format_number(leader["bytes_out"] / 1000),
                format_number(leader["bytes_in"] / 1000),
                format_number(leader["messages_out"]),
                _late(leader),
                f"{made['count']}+{told['refused']}",
                _orders(made, "acked"),
                _orders(made, "served"),
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


def roles_table(kept: dict[str, Told]) -> str:
    rows = []
    for name, told in kept.items():
        for role in told["roles"]:
            value = {
                what: sums.value(told, role, what)
                for what in ("cpu", "bytes_out", "bytes_in", "messages_out")
            }
            row = told["roles"][role]
            one = {
                "hollow ingresses": "one hollow ingress",
                "hollow servers": "one hollow server",
            }.get(role, role)
            rows.append(
                (
                    f"`{name}`",
                    one,
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


def _times(trouble: Told, what: str) -> str:
    waited = trouble.get("waited", 60.0)
    if not (times := trouble.get(what)):
        return f"not run: {trouble['given up']}"
    if times["last"] < 0:
        return f"{100 * times['share']:.0f}% there after {waited:.0f} s"
    return "/".join(format_number(times[at]) for at in ("p50", "p99", "last"))


def returns_table(kept: dict[str, Told]) -> str:
    rows = []
    kinds = ("leases of the new leader", "fleet restarts", "core restarts", "region returns")
    for name, told in kept.items():
        if trouble := told["troubles"]:
            first = trouble.get("new leader", -1.0)
            leader = (
                format_number(first)
                if first >= 0
                else f"none in {trouble.get('waited', 60.0):.0f} s"
            )
            cut = f"{trouble.get('cut for', 0.0):.0f}"
            rows.append((f"`{name}`", leader, *(_times(trouble, kind) for kind in kinds), cut))
    heads = (
        "all hold its leases",
        "all ingresses restart",
        "the core restarts",
        "a region returns",
    )
    return table(("run", "new leader, s", *(f"{head}, s" for head in heads), "cut for, s"), rows)


def lookups_table(kept: dict[str, Told]) -> str:
    rows = [
        (
            f"`{name}`",
            told["size"]["ingresses"],
            format_number(found["per_s"]),
            found["failed"],
            format_number(1e6 * found["cpu_each"]),
            f"{format_number(found['bytes_out'])}/{format_number(found['bytes_in'])}",
            found["addresses"],
            f"{format_number(1000 * found['p50'])}/{format_number(1000 * found['p99'])}",
        )
        for name, told in kept.items()
        if (found := told.get("look-ups"))
    ]
    heads = (
        "look-ups a second",
        "failed",
        "us of a core each",
        "bytes there/back",
        "addresses told, most",
    )
    return table(("run", "hollow ingresses", *heads, "ms at the client p50/p99"), rows)


def ranged(found: tuple[float, float, float], scale: float) -> str:
    middle, low, high = (max(0.0, value) * scale for value in found)
    if high > FAR * max(middle, 1e-9):
        return f"{format_number(middle)} (the range is beyond a factor of {FAR})"
    return f"{format_number(middle)} ({format_number(low)} to {format_number(high)})"


def slopes_table(kept: dict[str, Told]) -> str:
    rows = []
    for cause in (*sums.CAUSES, *sums.LATERS):
        target = TARGET[sums.grown(cause)]
        for role, what in SLOPES:
            if found := sums.slope(kept, cause, role, what):
                scale = UNITS[what][1]
                rows.append(
                    (
                        cause,
                        name_of(role, what),
                        ", ".join(f"{s:g}: {format_number(v * scale)}" for _, s, v in found.points),
                        f"{found.fit.power:.2f} ± {2 * found.fit.error:.2f}"
                        if len(found.points) > 2
                        else f"{found.fit.power:.2f}, of two points",
                        ", ".join(f"{100 * r:+.0f}%" for r in found.fit.residuals),
                        f"{target:,}: {ranged(found.fit.at(target), scale)}",
                    )
                )
    return table(
        ("cause", "what", "measured", "power", "residuals", "carried on to (extrapolated)"), rows
    )


def size_table(kept: dict[str, Told]) -> str:
    """Sums of causes at the target."""
    limits = {
        ("real ingress", "cpu"): "0.023",
        ("real ingress", "mb"): "64",
        ("real ingress", "bytes_in"): "15",
        ("hollow ingresses", "bytes_in"): "15",
    }
    rows = []
    for role, what in SLOPES:
        found = sums.at_target(kept, role, what)
        base = sums.value(kept[sums.BASE], role, what)
        scale = UNITS[what][1]
        causes = [s.cause for s in sums.slopes(kept, role, what)]
        rows.append(
            (
                name_of(role, what),
                format_number(base * scale),
                ranged(found, scale),
                limits.get((role, what), ""),
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
