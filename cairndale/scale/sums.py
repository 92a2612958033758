"""Extrapolates the kept runs to sizes that were not run: a power-law slope for each cause, and
plain estimates."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cairndale.scale.content import content, route_update
from cairndale.scale.fit import Fit, fit_power_law
from cairndale.scale.run import HEARTBEAT_INTERVAL_S

BASE = "ingresses-30"  # the run that the series of all causes share
CAUSES = ("ingresses", "servers", "tenants", "routes")
# Later series that vary only the ingresses, oldest first, each with a slope of its own. They were
# run after changes to the leader: "rounds" sends updates in rounds; "batches" also accepts
# connections, starts calls and computes long deltas in batches.
LATER_SERIES = ("rounds", "batches")
TARGET = {
    "ingresses": 6300,
    "servers": 20_000,
    "tenants": 160_000,
    "routes": 12_000,
    "services": 350,
}
LOOKUP_RUNS = ("batches-30", "batches-100", "lookups-300")  # since look-up answers are cached
REQUESTS_PER_S = 390_000
CHANGES_A_DAY, FAILURES_A_DAY, RESTARTS_A_DAY, ZONES, REGIONS = 21_000, 57, 10_000, 26, 8
MACHINES = 11  # allowed for the control plane
DAY = 86_400.0  # s
# A run whose ingresses held a lease for a smaller share of the time did not work, so its costs do
# not count.
MIN_LEASE_SHARE = 0.99

RunResult = dict[str, Any]


def load_runs(folder: Path) -> dict[str, RunResult]:
    """Return the kept runs by name, in order of cause and size."""
    results = {file.stem: json.loads(file.read_text()) for file in folder.glob("*.json")}
    kept = {name: result for name, result in results.items() if "size" in result}
    return {name: kept[name] for name in sorted(kept, key=_sort_key)}


def _sort_key(name: str) -> tuple[str, int]:
    cause, _, size = name.rpartition("-")
    return cause, int(size)


def runs_of_cause(kept: dict[str, RunResult], cause: str) -> list[tuple[str, RunResult]]:
    """Return the runs in which only this cause varies, with the base run."""
    base = "" if cause in LATER_SERIES else BASE
    return [
        (name, result)
        for name, result in kept.items()
        if name == base or name.startswith(f"{cause}-")
    ]


def varied_dimension(cause: str) -> str:
    """Return the field of `Size` in which the runs of a cause differ."""
    return "ingresses" if cause in LATER_SERIES else cause


def is_valid(result: RunResult) -> bool:
    """Whether a run worked, so that its costs count."""
    return bool(result["hollow"]["with a lease"] >= MIN_LEASE_SHARE and result["changes"]["count"])


def value(result: RunResult, role: str, metric: str) -> float:
    """Return the cost of one process of a role, or of one simulated ingress or server, which share
    processes."""
    row = result["roles"][role]
    cost = float(row[metric])
    if role == "hollow ingresses":
        cost *= row["processes"] / result["size"]["ingresses"]
    if role == "hollow servers":
        cost *= row["processes"] / result["size"]["servers"]
    return cost


@dataclass(frozen=True, slots=True)
class Slope:
    """How a cost of a role grows with a cause."""

    cause: str
    role: str
    metric: str
    points: tuple[tuple[str, float, float], ...]  # run, size, value
    fit: Fit

    @property
    def added(self) -> tuple[float, float, float]:
        """Return what growing from the base to the target adds: value, lower and upper bound."""
        base = self.fit.predict(self.points[0][1])[0]
        middle, low, high = self.fit.predict(TARGET[varied_dimension(self.cause)])
        return middle - base, low - base, high - base


def slope(kept: dict[str, RunResult], cause: str, role: str, metric: str) -> Slope | None:
    """Fit the valid runs of a cause; None for fewer than two runs or a cost of zero."""
    points = tuple(
        (name, float(result["size"][varied_dimension(cause)]), value(result, role, metric))
        for name, result in runs_of_cause(kept, cause)
        if is_valid(result)
    )
    points = tuple(sorted(points, key=lambda point: point[1]))
    if len(points) < 2 or any(v <= 0 for _, _, v in points):
        return None
    return Slope(
        cause,
        role,
        metric,
        points,
        fit_power_law([s for _, s, _ in points], [v for _, _, v in points]),
    )


def widest_slope(kept: dict[str, RunResult], role: str, metric: str) -> Slope | None:
    """Return the slope over ingresses from the series with the largest run, the newest of equal
    ones."""
    candidates = [
        candidate
        for cause in ("ingresses", *LATER_SERIES)
        if (candidate := slope(kept, cause, role, metric))
    ]
    return max(reversed(candidates), key=lambda candidate: candidate.points[-1][1], default=None)


def lookup_slope(kept: dict[str, RunResult]) -> Slope | None:
    """Return what one look-up costs a real ingress, in core seconds, over the ingresses."""
    points = sorted(
        (float(result["size"]["ingresses"]), float(lookups["cpu_each"]), name)
        for name, result in kept.items()
        if name in LOOKUP_RUNS and (lookups := result.get("look-ups")) and lookups["cpu_each"] > 0
    )
    if len(points) < 2:
        return None
    fit = fit_power_law([s for s, _, _ in points], [v for _, v, _ in points])
    return Slope(
        LATER_SERIES[-1], "real ingress", "cpu", tuple((n, s, v) for s, v, n in points), fit
    )


def slopes(kept: dict[str, RunResult], role: str, metric: str) -> list[Slope]:
    """Return the slope of each cause; that of ingresses is `widest_slope`."""
    candidates = [
        widest_slope(kept, role, metric),
        *(slope(kept, cause, role, metric) for cause in CAUSES[1:]),
    ]
    return [candidate for candidate in candidates if candidate]


def at_target(kept: dict[str, RunResult], role: str, metric: str) -> tuple[float, float, float]:
    """Return the cost at the target: that of the base run plus what each cause adds by itself, with
    lower and upper bound. Products of causes are left out, and estimated separately."""
    base = value(kept[BASE], role, metric)
    additions = [candidate.added for candidate in slopes(kept, role, metric)]
    low, high = (base + sum(addition[n] for addition in additions) for n in (1, 2))
    return base + sum(addition[0] for addition in additions), max(0.0, low), high


@dataclass(frozen=True, slots=True)
class Contents:
    """The size of one generated configuration, in bytes."""

    raw: int
    compressed: int

    @classmethod
    def of(cls, size: dict[str, int]) -> Contents:
        raw = json.dumps(content(1, size["routes"], size["tenants"], size["services"])).encode()
        return cls(len(raw), len(zlib.compress(raw)))


def changed_route_bytes() -> int:
    """Return the compressed size of an update of one route at the target size."""
    return len(
        zlib.compress(
            json.dumps(route_update(2, 1, TARGET["routes"], TARGET["services"], 7)).encode()
        )
    )


def heartbeats_per_s(servers: int) -> float:
    return servers / HEARTBEAT_INTERVAL_S


def per_second(daily_counts: Iterable[float]) -> float:
    """Convert counts a day to their sum a second."""
    return sum(daily_counts) / DAY
