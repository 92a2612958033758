"""`python -m cairndale.scale.pages`: tables and plot of `docs/CAPACITY.md`, from the runs that are
kept.

A table stands between two lines, `<!-- table NAME -->` and `<!-- end NAME -->`; what was between is
replaced."""

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
from cairndale.scale.sums import TARGET, Slope, Told
from cairndale.scale.tables import FAR, UNITS, name_of

PAGE = ROOT / "docs" / "CAPACITY.md"
TABLES: dict[str, Callable[[dict[str, Told]], str]] = {
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
        for cause in (*sums.CAUSES, *sums.LATERS):
            if found := sums.slope(kept, cause, role, what):
                _draw(axis, found)
        axis.set(title=name_of(role, what), xscale="log", yscale="log", xlabel="of the cause")
        axis.legend(fontsize=7)
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    figure.savefig(file, metadata={"Date": None})
    pyplot.close(figure)


def _draw(axis: Any, found: Slope) -> None:
    scale, sizes = UNITS[found.what][1], [s for _, s, _ in found.points]
    (line,) = axis.plot(sizes, [v * scale for *_, v in found.points], "o", label=found.cause)
    on = [sizes[0], sizes[-1], TARGET[sums.grown(found.cause)]]
    middle, low, high = ([found.fit.at(s)[n] * scale for s in on] for n in range(3))
    axis.plot(on, middle, "--", color=line.get_color())
    if high[-1] <= FAR * middle[-1]:
        axis.fill_between(on, low, high, color=line.get_color(), alpha=0.1)


def main() -> int:
    kept = sums.runs(FOLDER)
    PAGE.write_text(filled(PAGE.read_text(), kept))
    plot(kept, FOLDER / "slopes.svg")
    print(json.dumps(sorted(kept)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
