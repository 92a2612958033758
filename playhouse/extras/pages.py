"""`python -m playhouse.extras.pages`: tables and plot of `docs/CAPACITY.md`, from the runs that are kept.

A table stands between two lines, `<!-- table NAME -->` and `<!-- end NAME -->`; what was between is replaced.
"""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable, Iterable, Sequence
from math import isinf
from pathlib import Path
from typing import Any

from playhouse.company.roll import hold
from playhouse.extras import sums
from playhouse.extras.sums import TARGET, Contents, Slope, Told
from playhouse.extras.sweeps import sweeps
from playhouse.rehearsal.world import ROOT

FOLDER, PAGE = ROOT / "docs" / "capacity", ROOT / "docs" / "CAPACITY.md"
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


def shown(value: float) -> str:
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


def _name(role: str, what: str) -> str:
    role = "one hollow ingress" if role == "hollow ingresses" else role
    return f"{role}, {UNITS[what][0]}"


def _late(row: dict[str, Any]) -> str:
    return "/".join(f"{1000 * row[f'late_{at}']:.1f}" for at in ("p50", "p99", "most"))


def _orders(made: dict[str, Any], kind: str) -> str:
    return "/".join(shown(made[f"{kind}_{at}"]) for at in ("p50", "p99", "last")) if made["count"] else "none"


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
                shown(leader["cpu"]),
                shown(leader["bytes_out"] / 1000),
                shown(leader["bytes_in"] / 1000),
                shown(leader["messages_out"]),
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
            one = {"hollow ingresses": "one hollow ingress", "hollow servers": "one hollow server"}.get(
                role, role
            )
            rows.append(
                (
                    f"`{name}`",
                    one,
                    shown(value["messages_out"]),
                    shown(value["bytes_out"] / 1000),
                    shown(value["bytes_in"] / 1000),
                    shown(value["cpu"]),
                    shown(row["mb"]),
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


def _times(times: dict[str, float], waited: float) -> str:
    if times["last"] < 0:
        return f"{100 * times['share']:.0f}% there after {waited:.0f} s"
    return "/".join(shown(times[at]) for at in ("p50", "p99", "last"))


def returns_table(kept: dict[str, Told]) -> str:
    rows = []
    for name, told in kept.items():
        if trouble := told["troubles"]:
            first, waited = trouble["new leader"], trouble.get("waited", 60.0)
            rows.append(
                (
                    f"`{name}`",
                    shown(first) if first >= 0 else f"none in {waited:.0f} s",
                    _times(trouble["leases of the new leader"], waited),
                    _times(trouble["fleet restarts"], waited),
                    _times(trouble["core restarts"], waited),
                    f"{_times(trouble['region returns'], waited)}, cut for {trouble['cut for']:.0f}",
                )
            )
    return table(
        (
            "run",
            "new leader, s",
            "its leases at all, s p50/p99/last",
            "all ingresses restart",
            "the core restarts",
            "a region returns",
        ),
        rows,
    )


def _ranged(found: tuple[float, float, float], scale: float) -> str:
    return f"{shown(found[0] * scale)} ({shown(max(0.0, found[1]) * scale)} to {shown(found[2] * scale)})"


def slopes_table(kept: dict[str, Told]) -> str:
    rows = []
    for cause in sums.CAUSES:
        for role, what in SLOPES:
            if found := sums.slope(kept, cause, role, what):
                scale = UNITS[what][1]
                rows.append(
                    (
                        cause,
                        _name(role, what),
                        ", ".join(f"{s:g}: {shown(v * scale)}" for _, s, v in found.points),
                        f"{found.fit.power:.2f} ± {2 * found.fit.error:.2f}"
                        if len(found.points) > 2
                        else f"{found.fit.power:.2f}, of two points",
                        ", ".join(f"{100 * r:+.0f}%" for r in found.fit.residuals),
                        f"{TARGET[cause]:,}: {_ranged(found.fit.at(TARGET[cause]), scale)}",
                    )
                )
    return table(("cause", "what", "measured", "power", "residuals", "carried on to (extrapolated)"), rows)


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
        causes = [c for c in sums.CAUSES if sums.slope(kept, c, role, what)]
        rows.append(
            (
                _name(role, what),
                shown(base * scale),
                _ranged(found, scale),
                limits.get((role, what), ""),
                ", ".join(causes),
            )
        )
    return table(
        ("role and what", f"measured, `{sums.BASE}`", "at the size (extrapolated)", "budget", "causes"), rows
    )


def plain_table(kept: dict[str, Told]) -> str:
    """Sums that need no slope: what one of each costs, times how many there will be."""
    base = kept[sums.BASE]
    asks = sums.value(base, "hollow ingresses", "messages_out")
    rows = []
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
        ("it told whole to every ingress, GB a change", shown(contents.told * n / 1e9), f"times {n:,}")
    )
    rows.append(
        (
            "so in bytes a second and ingress, KB/s, at the day's mean",
            shown(contents.told * a_second / 1e3),
            f"times {a_second:.2f} changes a second; 15 are allowed",
        )
    )
    beats = sums.value(base, "hollow servers", "messages_out")
    each = sums.value(base, "hollow servers", "bytes_out") / beats
    back = sums.value(base, "hollow servers", "bytes_in") / beats
    rate = sums.beats_per_s(TARGET["servers"])
    rows.append(("one heartbeat, bytes out and back", f"{each:.0f} and {back:.0f}", f"`{sums.BASE}`"))
    rows.append(("heartbeats a second of all servers", shown(rate), f"one each {sums.BEAT} s"))
    rows.append(("so in at all cores, MB/s", shown(each * rate / 1e6), ""))
    rows.append(("messages a second out of one hollow ingress", shown(asks), f"`{sums.BASE}`"))
    for edges in (30, 100, 300, 1000, n):
        rows.append(
            (f"an ask's hold at {edges:,} ingresses, s", shown(hold(edges)), "by its rule; a lease is 4.5")
        )
    failures = sums.a_day([sums.FAILED_A_DAY, sums.RESTARTS_A_DAY])
    rows.append(
        ("processes that come or go, one each so many seconds", shown(1 / failures), "57 and 10,000 a day")
    )
    rows.append(
        ("words of it to all ingresses, messages/s", shown(2 * failures * n), "gone and back, told to each")
    )
    rows.append(("ingresses that a zone takes along", shown(n / sums.ZONES), f"of {sums.ZONES} zones"))
    rows.append(
        ("ingresses that a region takes along", shown(n / sums.REGIONS), f"of {sums.REGIONS} regions")
    )
    return table(("what", "sum", "from"), rows)


def sweep_table(kept: dict[str, Told]) -> str:
    """What both measured, side by side: the scale run's busiest core machine is its leader."""
    shared = (
        ("busiest core machine, cores", "core: processor %", 0.01, lambda t: t["roles"]["leader"]["cpu"]),
        ("busiest core machine, KB/s both ways", "core: kB a second", 1.0, _both_ways),
        ("an order acknowledged, s, longest", "config acked, ms", 1e-3, lambda t: t["changes"]["acked_last"]),
        ("after a kill of all, s", "serving after all were killed, ms", 1e-3, _after_all),
    )
    others = sweeps(FOLDER)
    rows: list[list[Any]] = []
    for what, line, scale, found in shared:
        for size in (30, 100, 300):
            told = kept.get(f"ingresses-{size}")
            cells = [s.at(line, size) for s in others]
            row = [what, size, found(told) if told else "not run", *(_cell(c, scale) for c in cells)]
            rows.append([shown(c) if isinstance(c, float) else c for c in row])
    heads = [f"sweep {s.name} (`{s.head}`, journal `{s.journal}`)" for s in others]
    return table(("what", "own machines or hollow ingresses", "scale run", *heads), rows)


def _cell(value: float | None, scale: float) -> float | str:
    return "none or not played" if value is None else value * scale


def _both_ways(told: Told) -> float:
    leader = told["roles"]["leader"]
    return float(leader["bytes_out"] + leader["bytes_in"]) / 1000


def _after_all(told: Told) -> float | str:
    if not told["troubles"]:
        return "not run"
    last = float(told["troubles"]["core restarts"]["last"])
    return last if last >= 0 else f"none in {told['troubles'].get('waited', 60.0):.0f}"


TABLES: dict[str, Callable[[dict[str, Told]], str]] = {
    "runs": runs_table,
    "roles": roles_table,
    "returns": returns_table,
    "slopes": slopes_table,
    "size": size_table,
    "plain": plain_table,
    "sweep": sweep_table,
}


def filled(page: str, kept: dict[str, Told]) -> str:
    """Raises ValueError for a table that nobody makes."""

    def made(found: re.Match[str]) -> str:
        if found[1] not in TABLES:
            raise ValueError(f"no table {found[1]}")
        return f"<!-- table {found[1]} -->\n{TABLES[found[1]](kept)}\n<!-- end {found[1]} -->"

    return re.sub(r"<!-- table (\w+) -->.*?<!-- end \1 -->", made, page, flags=re.DOTALL)


def plot(kept: dict[str, Told], file: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    drawn = (
        ("leader", "cpu"),
        ("leader", "bytes_out"),
        ("leader", "messages_out"),
        ("hollow ingresses", "bytes_in"),
    )
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5), layout="constrained")
    for axis, (role, what) in zip(axes.flat, drawn, strict=True):
        for cause in sums.CAUSES:
            if found := sums.slope(kept, cause, role, what):
                _draw(axis, found)
        axis.set(title=_name(role, what), xscale="log", yscale="log", xlabel="of the cause")
        axis.legend(fontsize=7)
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)


def _draw(axis: Any, found: Slope) -> None:
    scale, sizes = UNITS[found.what][1], [s for _, s, _ in found.points]
    (line,) = axis.plot(sizes, [v * scale for *_, v in found.points], "o", label=found.cause)
    on = [sizes[0], sizes[-1], TARGET[found.cause]]
    middle, low, high = ([found.fit.at(s)[n] * scale for s in on] for n in range(3))
    axis.plot(on, middle, "--", color=line.get_color())
    if not isinf(high[-1]):
        axis.fill_between(on, low, high, color=line.get_color(), alpha=0.1)


def main() -> int:
    kept = sums.runs(FOLDER)
    PAGE.write_text(filled(PAGE.read_text(), kept))
    plot(kept, FOLDER / "slopes.svg")
    print(json.dumps(sorted(kept)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
