"""Reports: one self-contained HTML file and a Markdown summary, from the results alone.

Colours are Okabe and Ito's, which the colour-blind tell apart; lines differ in style too, for
print."""

from __future__ import annotations

import base64
import html
import io
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import matplotlib

matplotlib.use("Agg")
import numpy as np
from matplotlib import pyplot as plt

from cairndale.lab.experiment import FIGURES, Difference, differences, interval

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

INK = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#000000", "#F0E442")
LINES = ("-", "--", "-.", ":")
HATCHES = ("", "///", "...", "xxx", "\\\\\\")
MOST_SHOWN = 24  # runs drawn in full
STYLE = """
body{font:15px/1.5 system-ui,sans-serif;color:#111;max-width:1100px;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;
padding:.25em .6em;text-align:right}
td:first-child,th:first-child,td.t,th.t{text-align:left}h2{margin-top:2em}.bad{color:#a00;font-weight:bold}
img{max-width:100%}summary{cursor:pointer;margin:.6em 0}@media print{details{display:block}}
"""


def _image(figure: Figure, alt: str) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    data = base64.b64encode(out.getvalue()).decode()
    return f'<img alt="{html.escape(alt)}" src="data:image/svg+xml;base64,{data}">'


def _marks(axes: Axes, marks: list[Any]) -> None:
    for begin, end, kind in marks:
        axes.axvspan(begin, max(end, begin + 0.2), color="#999999", alpha=0.25, lw=0)
        axes.annotate(
            kind.replace("_", " "),
            (begin, 1),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            rotation=90,
            va="top",
            ha="right",
            color="#333333",
        )


def _smooth(values: list[float], width: int = 3) -> Any:
    array = np.array(values, dtype=float)
    if len(array) < width:
        return array
    padded = np.pad(array, width // 2, mode="edge")
    return np.convolve(padded, np.ones(width) / width, "valid")


def run_figure(row: dict[str, Any]) -> str:
    """Everything of one run over time, the timeline of troubles drawn into each panel."""
    s = row["series"]
    live = bool(s["process"])
    figure, panels = plt.subplots(4 + live, 2, figsize=(12, 13 + 3 * live), layout="constrained")
    axes = panels.flatten()
    seconds = np.arange(len(s["tries"]))
    served = np.array(s["in_time"], dtype=float)
    parts = (
        ("in time", s["in_time"]),
        ("late", s["late"]),
        ("refused, told when", s["refused_advised"]),
        ("refused", s["refused_firm"]),
        ("failed or not reached", s["failed"]),
    )
    bottom = np.zeros(len(seconds))
    for n, (name, values) in enumerate(parts):
        axes[0].bar(
            seconds + 0.5, values, 1.0, bottom, color=INK[n], hatch=HATCHES[n], label=name, lw=0
        )
        bottom += np.array(values, dtype=float)
    axes[0].set_title("Tries a second, by how they ended")
    axes[0].legend(fontsize=7, ncols=3)
    with np.errstate(invalid="ignore"):
        share = served / np.maximum(1, np.array(s["requests"], dtype=float))
    axes[1].plot(seconds + 0.5, _smooth(np.minimum(1.2, share).tolist()), color=INK[0])
    axes[1].set_title("Answered in time over requests asked, each second (mean of 3)")
    axes[1].set_ylim(0, 1.25)
    edges = np.array(s["latency_ms"], dtype=float)
    counts = np.array(s["latency"], dtype=float)
    if counts.sum():
        axes[2].step(edges, np.cumsum(counts) / counts.sum(), where="post", color=INK[0])
    axes[2].set_xscale("log")
    axes[2].set_title("Latency of the served, from the first try's due moment (share within ms)")
    for n, (name, key) in enumerate((("median", "p50_ms"), ("99th percentile", "p99_ms"))):
        values = [np.nan if v is None else v for v in s[key]]
        axes[3].plot(np.arange(len(values)) * 2 + 1, values, LINES[n], color=INK[n], label=name)
    axes[3].set_yscale("log")
    axes[3].set_title("Latency, ms")
    axes[3].legend(fontsize=7)
    refused = np.array(s["refused_firm"]) + np.array(s["refused_advised"])
    axes[4].plot(seconds + 0.5, refused, "-", color=INK[1], label="refused")
    axes[4].plot(
        seconds + 0.5,
        s["refused_with_room"],
        "--",
        color=INK[0],
        label="with half the quota unused",
    )
    axes[4].set_title("Refusals a second, by room left")
    axes[4].legend(fontsize=7)
    held = np.array(s["held"], dtype=float).T
    if held.size:
        image = axes[5].imshow(
            held, aspect="auto", cmap="cividis", vmin=0, vmax=2, interpolation="nearest"
        )
        figure.colorbar(image, ax=axes[5], label="held / slots")
        state = np.array(s["state"]).T
        for value, mark in ((0, "x"), (2, ".")):
            where = np.argwhere(state == value)
            if len(where):
                axes[5].scatter(
                    where[:, 1], where[:, 0], s=5, marker=mark, c="#ffffff", linewidths=0.5
                )
    axes[5].set_title("Servers: load (cross: gone, dot: cold)")
    axes[6].plot(np.arange(len(s["connections"])), s["connections"], "-", color=INK[0], label="all")
    axes[6].plot(
        np.arange(len(s["fullest"])), s["fullest"], "--", color=INK[1], label="fullest server"
    )
    axes[6].plot(np.arange(len(s["dials"])), s["dials"], ":", color=INK[6], label="new a second")
    axes[6].set_title("Connections to servers")
    axes[6].legend(fontsize=7)
    for n, (name, values) in enumerate(s["calls"].items()):
        if any(values):
            axes[7].plot(
                seconds[: len(values)] + 0.5, values, LINES[n % 4], color=INK[n], label=name
            )
    axes[7].set_title("Counter calls a second, by answer")
    if axes[7].get_legend_handles_labels()[0]:
        axes[7].legend(fontsize=7)
    if live:
        for n, (name, seen) in enumerate(s["process"].items()):
            style = {"color": INK[n % 8], "ls": LINES[n % 4], "label": f"gateway {name}"}
            axes[8].plot(seen["at"], seen["cpu"], **style)
            axes[9].plot(seen["at"], seen["memory_mb"], **style)
        axes[8].set_title("Gateways: processor time a second")
        axes[9].set_title("Gateways: memory, MB")
        axes[8].legend(fontsize=7)
    for panel in (n for n in range(len(axes)) if n != 2):
        if panel != 5:
            axes[panel].set_xlim(0, max(1, len(seconds)))
        axes[panel].set_xlabel("s")
        _marks(axes[panel], s["marks"])
    return _image(figure, f"{row['scenario']}, {row['variant']}, seed {row['seed']}, {row['host']}")


def overview_figure(rows: list[dict[str, Any]]) -> str:
    """G of each variant on each scenario: a dot a seed, a bar for the mean."""
    scenarios = sorted({r["scenario"] for r in rows})
    variants = list(dict.fromkeys((r["variant"], r["host"]) for r in rows))
    figure, axes = plt.subplots(figsize=(12, 1.2 + 0.45 * len(scenarios) + 0.3 * len(variants)))
    height = 0.8 / max(1, len(variants))
    for v, (variant, host) in enumerate(variants):
        for n, scenario in enumerate(scenarios):
            values = [
                r["verdict"]["g"]
                for r in rows
                if (r["scenario"], r["variant"], r["host"]) == (scenario, variant, host)
            ]
            y = n + (v + 0.5) * height - 0.4
            label = f"{variant} ({host})" if n == 0 else None
            axes.scatter(
                values,
                [y] * len(values),
                s=12,
                color=INK[v % 8],
                marker="osDv^<>P"[v % 8],
                label=label,
            )
            if values:
                axes.plot(
                    [np.mean(values)] * 2, [y - height / 2, y + height / 2], color=INK[v % 8], lw=2
                )
    axes.set_yticks(range(len(scenarios)), scenarios)
    axes.invert_yaxis()
    axes.set_xlabel("G")
    axes.grid(axis="x", alpha=0.3)
    if variants:
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1, 0.5))
    return _image(figure, "G by scenario and variant")


def _table(head: list[str], rows: list[list[str]]) -> str:
    top = "".join(f"<th>{html.escape(h)}</th>" for h in head)
    body = "".join("<tr>" + "".join(f"<td>{c}</td>" for c in row) + "</tr>" for row in rows)
    return f"<table><tr>{top}</tr>{body}</table>"


def summary_rows(rows: list[dict[str, Any]]) -> list[list[str]]:
    by: dict[tuple[str, str, str], list[dict[str, Any]]] = defaultdict(list)
    for row in rows:
        by[row["scenario"], row["variant"], row["host"]].append(row["verdict"])
    found = []
    for (scenario, variant, host), verdicts in sorted(by.items()):
        mean, low, high = interval([v["g"] for v in verdicts], f"{scenario}.{variant}.{host}")
        broken = sum(bool(v["broken"]) for v in verdicts)
        void = sum(bool(v["void"]) for v in verdicts)

        def of(key: str, verdicts: list[dict[str, Any]] = verdicts) -> float:
            return float(np.mean([v[key] for v in verdicts]))

        found.append(
            [
                scenario,
                variant,
                host,
                str(len(verdicts)),
                f"{mean:.3f}",
                f"{low:.3f} to {high:.3f}" if len(verdicts) > 1 else "-",
                f"{of('whole'):.3f}",
                f"{of('worst_window'):.3f}",
                f"{of('refused_with_room'):.3f}",
                f"{of('beyond_quota'):.3f}",
                f"{of('calls_per_request'):.2f}",
                f"{of('p50_ms'):.0f} / {of('p99_ms'):.0f}",
                str(broken or ""),
                str(void or ""),
            ]
        )
    return found


HEAD = [
    "scenario",
    "variant",
    "host",
    "runs",
    "G",
    "95%",
    "served",
    "worst 10 s",
    "refused with room",
    "beyond quota",
    "calls a request",
    "median / 99% ms",
    "runs with a broken rule",
    "void",
]


def _differences(made: list[Difference]) -> list[list[str]]:
    return [
        [
            d.scenario,
            d.host,
            d.variant,
            d.figure,
            f"{d.base:.4g}",
            f"{d.mean:+.4f}",
            f"{d.low:+.4f} to {d.high:+.4f}",
            str(d.pairs),
        ]
        for d in made
    ]


DIFFERENCE_HEAD = ["scenario", "host", "variant", "figure", "base", "difference", "95%", "pairs"]


def markdown(rows: list[dict[str, Any]], base: str) -> str:
    lines = ["# Results", ""]
    named: set[tuple[str, str, str]] = set()  # one broken rule each; the HTML page has them all
    if not rows:
        return "# Results\n\nNothing has finished yet.\n"
    for head, body in (
        (HEAD, summary_rows(rows)),
        (DIFFERENCE_HEAD, _differences(differences(rows, base, ("g",)))),
    ):
        if body:
            lines += ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
            lines += ["| " + " | ".join(row) + " |" for row in body] + [""]
    for row in rows:
        key = (row["scenario"], row["variant"], row["host"])
        for broken in row["verdict"]["broken"][:1] if key not in named else []:
            named.add(key)
            lines.append(
                f"- {row['scenario']}, {row['variant']}, seed {row['seed']}, {row['host']}: "
                f"**{broken['rule']}**: {broken['text']}"
            )
        lines += [
            f"- {row['scenario']}, seed {row['seed']}: void: {why}"
            for why in row["verdict"]["void"]
        ]
    return "\n".join(lines) + "\n"


def page(rows: list[dict[str, Any]], base: str, title: str) -> str:
    """One HTML file with everything in it. Without results it says so."""
    matplotlib.rcParams.update({"svg.hashsalt": "ironledge", "font.size": 9})
    parts = [
        "<!doctype html><meta "
        f"charset='utf-8'><title>{html.escape(title)}</title><style>{STYLE}</style>"
    ]
    parts.append(f"<h1>{html.escape(title)}</h1>")
    if not rows:
        return "".join([*parts, "<p>Nothing has finished yet.</p>"])
    parts.append(overview_figure(rows))
    parts.append(_table(HEAD, [[html.escape(c) for c in r] for r in summary_rows(rows)]))
    broken = [(r, b) for r in rows for b in r["verdict"]["broken"]]
    if broken:
        parts.append("<h2 class='bad'>Broken rules</h2><ul>")
        parts += [
            f"<li>{html.escape(r['scenario'])}, {html.escape(r['variant'])}, seed {r['seed']}: "
            f"<b>{b['rule']}</b>: {html.escape(b['text'])}</li>"
            for r, b in broken[:100]
        ]
        parts.append("</ul>")
    for row in rows:
        parts += [
            f"<p class='bad'>Void: {html.escape(row['scenario'])}: {html.escape(w)}</p>"
            for w in row["verdict"]["void"]
        ]
    if made := differences(rows, base):
        parts.append(f"<h2>Against {html.escape(base)}, paired by seed</h2>")
        parts.append(
            _table(DIFFERENCE_HEAD, [[html.escape(c) for c in r] for r in _differences(made)])
        )
    shown: set[tuple[str, str, str]] = set()
    parts.append(
        "<h2>Runs over time</h2><p>The first seed of each scenario and variant; grey "
        "spans are troubles.</p>"
    )
    for row in sorted(rows, key=lambda r: (r["scenario"], r["variant"], r["host"], r["seed"])):
        key = (row["scenario"], row["variant"], row["host"])
        if key in shown or len(shown) >= MOST_SHOWN:
            continue
        shown.add(key)
        v = row["verdict"]
        prices = ", ".join(f"{k} {x:.3f}" for k, x in v["prices"].items())
        kinds = ", ".join(f"{k} {n}" for k, n in v["kinds"].items() if n)
        opened, title = "open" if len(rows) == 1 else "", html.escape(" · ".join(key))
        parts.append(
            f"<details {opened}><summary>{title}, seed {row['seed']}: G {v['g']:.3f}</summary>"
        )
        parts.append(
            f"<p>{html.escape(row['title'])}. {row['fleet'][0]} gateways, "
            f"{row['fleet'][1]} servers; "
            f"{v['requests']} requests, {v['tries']} tries ({kinds}). Prices: {prices}.</p>"
        )
        parts.append(f"{run_figure(row)}</details>")
    return "".join(parts)


def write_report(
    rows: list[dict[str, Any]], base: str, folder: Path, title: str
) -> tuple[Path, Path]:
    folder.mkdir(parents=True, exist_ok=True)
    one, two = folder / "report.html", folder / "summary.md"
    for path, text in ((one, page(rows, base, title)), (two, markdown(rows, base))):
        temporary = path.with_suffix(".tmp")
        temporary.write_text(text)
        temporary.rename(path)
    return one, two


def compared(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> list[list[str]]:
    """Two folders: what is in both, paired by scenario, variant, host and seed."""

    def keyed(rows: list[dict[str, Any]]) -> dict[tuple[Any, ...], dict[str, Any]]:
        return {(r["scenario"], r["variant"], r["host"], r["seed"]): r["verdict"] for r in rows}

    a, b = keyed(before), keyed(after)
    by: dict[tuple[Any, ...], list[tuple[Any, ...]]] = defaultdict(list)
    for key in sorted(a.keys() & b.keys()):
        by[key[:3]].append(key)
    found = []
    for (scenario, variant, host), keys in by.items():
        for figure in FIGURES:
            mean, low, high = interval(
                [b[k][figure] - a[k][figure] for k in keys], f"{scenario}.{variant}.{figure}"
            )
            was = float(np.mean([a[k][figure] for k in keys]))
            found.append(
                [
                    scenario,
                    host,
                    variant,
                    figure,
                    f"{was:.4g}",
                    f"{mean:+.4f}",
                    f"{low:+.4f} to {high:+.4f}",
                    str(len(keys)),
                ]
            )
    return found
