"""Reads the kept digests of `fleetbench sweep`, which measured some of the same costs by size."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path

FILE = "sweeps.json"


@dataclass(frozen=True, slots=True)
class Sweep:
    """One sweep over the number of machines."""

    name: str
    head: str  # the commit at which it was run
    journal: str  # the journal entry that contains it
    sizes: tuple[int, ...]  # numbers of machines
    busiest: dict[str, tuple[float | None, ...]]  # maximum by metric, for each size

    def at(self, what: str, size: int) -> float | None:
        """Return the maximum of a metric at a size; None if it was not run or has no value."""
        return self.busiest[what][self.sizes.index(size)] if size in self.sizes else None


def sweeps(folder: Path) -> list[Sweep]:
    raw = json.loads((folder / FILE).read_text())
    return [
        _sweep(name, entry["head"], entry["journal"], entry["digest"])
        for name, entry in raw.items()
    ]


def _sweep(name: str, head: str, journal: str, digest: list[str]) -> Sweep:
    start = next(n for n, line in enumerate(digest) if line.startswith("middle / busiest"))
    sizes = tuple(int(word) for word in digest[start + 1].split() if word.isdigit())
    busiest = {}
    for line in digest[start + 2 :]:
        if label := re.match(r"(\S.*?)(?:\s{2,}|$)", line):
            cells = re.findall(r"[\d.]+ / ([\d.]+)|(?<=\s)(-)(?=\s)", line[label.end() :])[
                : len(sizes)
            ]
            if len(cells) == len(sizes):
                busiest[label[1]] = tuple(
                    None if is_dash else float(value) for value, is_dash in cells
                )
    return Sweep(name, head, journal, sizes, busiest)
