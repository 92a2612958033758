"""What `fleetbench sweep` said of the same things, by sizes, read from the digests that are kept of
it."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path

FILE = "sweeps.json"


@dataclass(frozen=True, slots=True)
class Sweep:
    name: str
    head: str  # the commit it was run at
    journal: str  # the entry that holds it
    sizes: tuple[int, ...]  # own machines
    busiest: dict[str, tuple[float | None, ...]]  # by what, of the busiest or longest

    def at(self, what: str, size: int) -> float | None:
        """None: not played, or it had none."""
        return self.busiest[what][self.sizes.index(size)] if size in self.sizes else None


def sweeps(folder: Path) -> list[Sweep]:
    raw = json.loads((folder / FILE).read_text())
    return [
        _sweep(name, told["head"], told["journal"], told["digest"]) for name, told in raw.items()
    ]


def _sweep(name: str, head: str, journal: str, digest: list[str]) -> Sweep:
    start = next(n for n, line in enumerate(digest) if line.startswith("middle / busiest"))
    sizes = tuple(int(word) for word in digest[start + 1].split() if word.isdigit())
    busiest = {}
    for line in digest[start + 2 :]:
        if found := re.match(r"(\S.*?)(?:\s{2,}|$)", line):
            told = re.findall(r"[\d.]+ / ([\d.]+)|(?<=\s)(-)(?=\s)", line[found.end() :])[
                : len(sizes)
            ]
            if len(told) == len(sizes):
                busiest[found[1]] = tuple(None if dash else float(value) for value, dash in told)
    return Sweep(name, head, journal, sizes, busiest)
