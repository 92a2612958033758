"""Draws a run as a chart of processes, faults, terms and operations over time, and writes its HTML
report."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

from cairndale.lab.faults.history import HISTORY_FILE, OK, UNKNOWN, Operation, read_operations
from cairndale.lab.faults.host import Result
from cairndale.lab.faults.schedule import LINK_FAULTS
from cairndale.lab.report import INK, STYLE

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

MAX_OPERATIONS = 20_000  # drawn in a chart
MARKERS = {
    "ok": ("|", INK[2]),
    "conflict": ("|", INK[5]),
    "refused": ("x", INK[4]),
    "unknown": ("x", INK[1]),
}


def _term_intervals(operations: Iterable[Operation]) -> dict[tuple[str, int], tuple[int, int]]:
    """First and last time, in us, at which a process acted in a term."""
    found: dict[tuple[str, int], tuple[int, int]] = {}
    for operation in operations:
        if operation.term >= 0 and operation.outcome == OK:
            begin, end = found.get(
                (operation.process, operation.term), (operation.end, operation.end)
            )
            found[operation.process, operation.term] = (
                min(begin, operation.end),
                max(end, operation.end),
            )
    return found


def _processes(
    axes: Axes, result: Result, rows: dict[str, int], operations: list[Operation]
) -> None:
    for bar in result.bars:
        if bar.process in rows:
            colour, hatch = (INK[4], "///") if bar.state == "stopped" else ("#dddddd", "")
            width = max(0.01, bar.end - bar.begin)
            axes.barh(rows[bar.process], width, 0.7, bar.begin, color=colour, hatch=hatch, lw=0)
    for (name, term), (begin, end) in _term_intervals(operations).items():
        if name in rows:
            axes.barh(
                rows[name] + 0.25,
                max(0.02, (end - begin) / 1e6),
                0.18,
                begin / 1e6,
                color=INK[term % 6],
            )
            axes.annotate(f"term {term}", (begin / 1e6, rows[name] + 0.34), fontsize=6)
    by: dict[tuple[str, str], list[float]] = defaultdict(list)
    for operation in operations:
        if operation.process in rows and operation.kind != "aged":
            by[operation.process, operation.outcome].append(
                (operation.begin if operation.outcome == UNKNOWN else operation.end) / 1e6
            )
    for (name, outcome), times in by.items():
        mark, colour = MARKERS[outcome]
        axes.scatter(
            times, [rows[name] - 0.1] * len(times), s=14, marker=mark, c=colour, linewidths=0.7
        )


def _faults(axes: Axes, result: Result, top: int) -> None:
    for number, happened in enumerate(result.happened):
        fault = result.schedule.fault[happened.fault]
        colour, row = INK[1] if fault.kind in LINK_FAULTS else INK[3], top + number
        end = max(happened.end, happened.begin + 0.05)
        axes.axvspan(happened.begin, end, color=colour, alpha=0.08, lw=0)
        axes.barh(row, end - happened.begin, 0.6, happened.begin, color=colour, lw=0)
        text = happened.what
        if fault.kind in LINK_FAULTS:
            arrow = "<->" if fault.both else "->"
            text += f" {','.join(fault.from_)} {arrow} {','.join(fault.to) or 'the others'}"
        axes.annotate(text, (end + 0.05, row), fontsize=7, va="center")


def figure(result: Result, folder: Path) -> Figure:
    operations = []
    for operation in read_operations(folder / HISTORY_FILE):
        operations.append(operation)
        if len(operations) >= MAX_OPERATIONS:
            break
    names = result.schedule.processes()
    rows = {name: n for n, name in enumerate(names)}
    height = 1.5 + 0.42 * (len(names) + len(result.happened))
    chart, axes = plt.subplots(figsize=(13, height), layout="constrained")
    _processes(axes, result, rows, operations)
    _faults(axes, result, len(names))
    labels = [*names, *("fault" for _ in result.happened)]
    axes.set_yticks(range(len(labels)), labels)
    axes.invert_yaxis()
    axes.set_xlabel(
        "s; ticks: operations that ended (green ok, blue conflict, cross unknown or refused)"
    )
    verdict = ", ".join(f"{n} {v}" for n, v in result.verdict.properties.items() if v != "holds")
    axes.set_title(
        f"{result.schedule.name}, seed {result.seed}: {verdict or 'all properties hold'}"
    )
    return chart


def draw(result: Result, folder: Path, path: Path) -> None:
    """Draws the chart as SVG or PNG, by the suffix of the path."""
    chart = figure(result, folder)
    chart.savefig(
        path, bbox_inches="tight", metadata={"Date": None} if path.suffix == ".svg" else None
    )
    plt.close(chart)


def write_report(result: Result, folder: Path) -> Path:
    """Writes one self-contained HTML file with the verdict, its findings, the chart and the
    schedule, and returns its path."""
    chart, out = figure(result, folder), io.BytesIO()
    chart.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(chart)
    image = base64.b64encode(out.getvalue()).decode()
    rows = "".join(
        f"<tr><td>{name}</td><td{'' if verdict == 'holds' else ' class=bad'}>{verdict}</td></tr>"
        for name, verdict in result.verdict.properties.items()
    )
    findings = "".join(
        f"<h3>{html.escape(f.property)}: {html.escape(f.text)}</h3><pre>"
        + html.escape("\n".join(f.events))
        + "</pre>"
        for f in result.verdict.findings
    )
    title = html.escape(f"{result.schedule.name}, seed {result.seed}")
    path = folder / "report.html"
    path.write_text(
        "<!doctype html><meta "
        f"charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>"
        f"<p>{html.escape(result.schedule.title)}</p><table>{rows}</table>"
        f'<img alt="processes over time" src="data:image/svg+xml;base64,{image}">{findings}'
        f"<h2>Schedule</h2><pre>{html.escape(result.plain)}</pre>"
    )
    return path
