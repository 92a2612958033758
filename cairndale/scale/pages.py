"""`python -m cairndale.scale.pages`: updates the tables and the plot of `docs/CAPACITY.md` from the
kept runs.

The text between the lines `<!-- table NAME -->` and `<!-- end NAME -->` is replaced by the
table."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cairndale.chaos.world import ROOT
from cairndale.scale import planned, sums, tables
from cairndale.scale.planned import FOLDER
from cairndale.scale.sums import TARGET, RunResult, Slope
from cairndale.scale.tables import MAX_RANGE_FACTOR, UNITS, label_of

PAGE = ROOT / "docs" / "CAPACITY.md"
TABLES: dict[str, Callable[[dict[str, RunResult]], str]] = {
    "runs": tables.runs_table,
    "roles": tables.roles_table,
    "returns": tables.returns_table,
    "lookups": tables.lookups_table,
    "slopes": tables.slopes_table,
    "size": tables.size_table,
    "plain": planned.plain_table,
    "sweep": planned.sweep_table,
    "mechanisms": planned.mechanisms_table,
}


def fill_tables(page: str, kept: dict[str, RunResult]) -> str:
    """Return the page with its tables filled. Raises ValueError for an unknown table."""

    def replace_table(match: re.Match[str]) -> str:
        if match[1] not in TABLES:
            raise ValueError(f"no table {match[1]}")
        return f"<!-- table {match[1]} -->\n{TABLES[match[1]](kept)}\n<!-- end {match[1]} -->"

    return re.sub(r"<!-- table (\w+) -->.*?<!-- end \1 -->", replace_table, page, flags=re.DOTALL)


def plot(kept: dict[str, RunResult], file: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    plotted = (
        ("leader", "cpu"),
        ("leader", "bytes_out"),
        ("leader", "messages_out"),
        ("hollow ingresses", "bytes_in"),
    )
    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5), layout="constrained")
    for axis, (role, metric) in zip(axes.flat, plotted, strict=True):
        for cause in (*sums.CAUSES, *sums.LATER_SERIES):
            if slope := sums.slope(kept, cause, role, metric):
                _draw(axis, slope)
        axis.set(title=label_of(role, metric), xscale="log", yscale="log", xlabel="of the cause")
        axis.legend(fontsize=7)
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)


def _draw(axis: Any, slope: Slope) -> None:
    scale, sizes = UNITS[slope.metric][1], [s for _, s, _ in slope.points]
    (line,) = axis.plot(sizes, [v * scale for *_, v in slope.points], "o", label=slope.cause)
    sizes_at_ends = [sizes[0], sizes[-1], TARGET[sums.varied_dimension(slope.cause)]]
    middle, low, high = ([slope.fit.predict(s)[n] * scale for s in sizes_at_ends] for n in range(3))
    axis.plot(sizes_at_ends, middle, "--", color=line.get_color())
    if high[-1] <= MAX_RANGE_FACTOR * middle[-1]:
        axis.fill_between(sizes_at_ends, low, high, color=line.get_color(), alpha=0.1)


def main() -> int:
    kept = sums.load_runs(FOLDER)
    PAGE.write_text(fill_tables(PAGE.read_text(), kept))
    plot(kept, FOLDER / "slopes.svg")
    print(json.dumps(sorted(kept)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
