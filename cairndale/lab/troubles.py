"""The timeline: troubles as steps that both hosts carry out, each in its own way."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cairndale.lab.draw import SECOND, Day
from cairndale.lab.scenario import Trouble

GATEWAYS = frozenset({"kill", "restart", "stop", "go_on", "terminate", "upgrade", "reload"})


@dataclass(frozen=True, slots=True)
class Step:
    """`verb` happens to `target` (a gateway, server or zone; -1: the one there is) at `at`, us."""

    at: int
    verb: str
    target: int = -1
    value: float = 0.0
    settings: dict[str, Any] = field(default_factory=dict)

    @property
    def on_gateways(self) -> bool:
        return self.verb in GATEWAYS


def plan(day: Day) -> list[Step]:
    """In order of time; steps of one moment in the order of the file."""
    steps = [s for n, t in enumerate(day.scenario.trouble) for s in _steps(day, n, t)]
    return sorted(steps, key=lambda s: s.at)


def _steps(day: Day, number: int, trouble: Trouble) -> Iterator[Step]:
    begin = int(trouble.at_s * SECOND)
    end, some = begin + int(trouble.len_s * SECOND), day.chosen(number, trouble)
    step_us = int(trouble.step_s * SECOND)

    def both(first: str, second: str, value: float = 0.0) -> Iterator[Step]:
        for target in some:
            yield Step(begin, first, target, value)
        for target in some:
            yield Step(end, second, target)

    match trouble.kind:
        case "gateways_killed":
            yield from both("kill", "restart")
        case "gateways_stopped":
            yield from both("stop", "go_on")
        case "rolling_restart" | "upgrade":
            verb = "terminate" if trouble.kind == "rolling_restart" else "upgrade"
            for position, gateway in enumerate(sorted(some)):
                yield Step(begin + position * step_us, verb, gateway)
        case "zone_cut":
            yield Step(begin, "cut", day.zone(trouble))
            yield Step(end, "mend", day.zone(trouble))
        case "zone_lost" | "servers_lost":
            yield from both("vanish", "begin")
            if trouble.kind == "zone_lost" and day.zone(trouble) == 0:  # where the counter stands
                yield Step(begin, "counter_down")
                yield Step(begin + int(day.counter["back_s"] * SECOND), "counter_up")
        case "slow_servers":
            yield from both("slow", "slow", trouble.size)
        case "fast_errors":
            yield from both("failing", "failing", trouble.size)
        case "release":
            steps = max(1, int((end - begin) / max(1, step_us)))
            for position, server in enumerate(some):
                yield Step(
                    begin + position * steps // max(1, len(some)) * step_us, "replace", server
                )
        case "drain":
            yield from both("drain", "undrain")
        case "discovery_down":
            yield Step(begin, "discovery_down")
            yield Step(end, "discovery_up")
        case "counter_down":
            yield Step(begin, "counter_down")
            yield Step(end, "counter_up")
        case "counter_spoilt" | "resets":
            yield Step(begin, trouble.kind, value=trouble.size)
            yield Step(end, trouble.kind)
        case "reload":
            yield Step(begin, "reload", settings=dict(trouble.set))
        case _:  # burst, hot_member and scan are in the arrivals
            pass
