"""What the runs that are kept say of sizes that nobody has run: a slope for each cause, and plain
sums."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cairndale.scale.content import content, turned
from cairndale.scale.fit import Fit, fitted
from cairndale.scale.run import BEAT

BASE = "ingresses-30"  # the run that each cause's runs share
CAUSES = ("ingresses", "servers", "tenants", "routes")
# Runs of ingresses alone after the leader was mended, oldest first, each with a slope of its own:
# news in rounds; connections taken, calls begun and long differences made for many at once.
LATERS = ("rounds", "batches")
TARGET = {
    "ingresses": 6300,
    "servers": 20_000,
    "tenants": 160_000,
    "routes": 12_000,
    "services": 350,
}
LOOK_UPS = ("batches-30", "batches-100", "lookups-300")  # runs after answers to look-ups were kept
REQUESTS_PER_S = 390_000
CHANGES_A_DAY, FAILED_A_DAY, RESTARTS_A_DAY, ZONES, REGIONS = 21_000, 57, 10_000, 26, 8
MACHINES = 11  # of control, that are allowed
DAY = 86_400.0  # s
# share of the time with a lease, under which a run's costs are those of what does not work
LEASED = 0.99

Told = dict[str, Any]


def runs(folder: Path) -> dict[str, Told]:
    """Those that are kept, by name, from small to large."""
    read = {file.stem: json.loads(file.read_text()) for file in folder.glob("*.json")}
    whole = {name: told for name, told in read.items() if "size" in told}
    return {name: whole[name] for name in sorted(whole, key=_order)}


def _order(name: str) -> tuple[str, int]:
    cause, _, size = name.rpartition("-")
    return cause, int(size)


def of_cause(kept: dict[str, Told], cause: str) -> list[tuple[str, Told]]:
    """The runs in which only this one grows, from the base on."""
    base = "" if cause in LATERS else BASE
    return [(n, told) for n, told in kept.items() if n == base or n.startswith(f"{cause}-")]


def grown(cause: str) -> str:
    """What of its size a cause's runs differ in."""
    return "ingresses" if cause in LATERS else cause


def holds(told: Told) -> bool:
    return bool(told["hollow"]["with a lease"] >= LEASED and told["changes"]["count"])


def value(told: Told, role: str, what: str) -> float:
    """Of one process of a role; of one ingress where it is hollow ones that share processes."""
    row = told["roles"][role]
    found = float(row[what])
    if role == "hollow ingresses":
        found *= row["processes"] / told["size"]["ingresses"]
    if role == "hollow servers":
        found *= row["processes"] / told["size"]["servers"]
    return found


@dataclass(frozen=True, slots=True)
class Slope:
    cause: str
    role: str
    what: str
    points: tuple[tuple[str, float, float], ...]  # run, size, value
    fit: Fit

    @property
    def added(self) -> tuple[float, float, float]:
        """What growing from the base to the target adds: the middle, and from where to where."""
        before = self.fit.at(self.points[0][1])[0]
        middle, low, high = self.fit.at(TARGET[grown(self.cause)])
        return middle - before, low - before, high - before


def slope(kept: dict[str, Told], cause: str, role: str, what: str) -> Slope | None:
    """Over the runs that hold; None where there are not two, or what is counted was nothing."""
    points = tuple(
        (name, float(told["size"][grown(cause)]), value(told, role, what))
        for name, told in of_cause(kept, cause)
        if holds(told)
    )
    points = tuple(sorted(points, key=lambda point: point[1]))
    if len(points) < 2 or any(v <= 0 for _, _, v in points):
        return None
    return Slope(
        cause, role, what, points, fitted([s for _, s, _ in points], [v for _, _, v in points])
    )


def furthest(kept: dict[str, Told], role: str, what: str) -> Slope | None:
    """Of ingresses alone, by the runs that reach furthest; of those, by the newest."""
    found = [made for cause in ("ingresses", *LATERS) if (made := slope(kept, cause, role, what))]
    return max(reversed(found), key=lambda made: made.points[-1][1], default=None)


def look_ups(kept: dict[str, Told]) -> Slope | None:
    """What one costs a real ingress, in s of a core, over ingresses."""
    points = sorted(
        (float(told["size"]["ingresses"]), float(found["cpu_each"]), name)
        for name, told in kept.items()
        if name in LOOK_UPS and (found := told.get("look-ups")) and found["cpu_each"] > 0
    )
    if len(points) < 2:
        return None
    made = fitted([s for s, _, _ in points], [v for _, v, _ in points])
    return Slope(LATERS[-1], "real ingress", "cpu", tuple((n, s, v) for s, v, n in points), made)


def slopes(kept: dict[str, Told], role: str, what: str) -> list[Slope]:
    """Of each cause; of ingresses by those that reach furthest."""
    found = [furthest(kept, role, what), *(slope(kept, cause, role, what) for cause in CAUSES[1:])]
    return [made for made in found if made]


def at_target(kept: dict[str, Told], role: str, what: str) -> tuple[float, float, float]:
    """The base run's, and what each cause adds by itself: middle, low, high. Products of causes are
    left out: they are counted apart."""
    base = value(kept[BASE], role, what)
    added = [found.added for found in slopes(kept, role, what)]
    low, high = (base + sum(a[n] for a in added) for n in (1, 2))
    return base + sum(a[0] for a in added), max(0.0, low), high


@dataclass(frozen=True, slots=True)
class Contents:
    """One configuration of the target size, as it is made up here."""

    raw: int  # bytes
    told: int  # bytes, packed

    @classmethod
    def of(cls, size: dict[str, int]) -> Contents:
        raw = json.dumps(content(1, size["routes"], size["tenants"], size["services"])).encode()
        return cls(len(raw), len(zlib.compress(raw)))


def changed_route_bytes() -> int:
    """Of an update of one route at the target size, packed."""
    return len(
        zlib.compress(json.dumps(turned(2, 1, TARGET["routes"], TARGET["services"], 7)).encode())
    )


def beats_per_s(servers: int) -> float:
    return servers / BEAT


def a_day(events: Iterable[float]) -> float:
    """Events a second, of counts a day."""
    return sum(events) / DAY
