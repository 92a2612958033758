"""How much: the loader's own limit beside one ingress's, and how virtual time grows with the
fleet."""

from __future__ import annotations

import math
import resource
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from cairndale.lab import record as rec
from cairndale.lab.draw import day
from cairndale.lab.live.host import Options, play
from cairndale.lab.policies import policy_factory
from cairndale.lab.scenario import Scenario, parse
from cairndale.lab.simulate import simulate
from cairndale.lab.stopping import run_until_stopped

# share of the requests that has to be answered in time at a rate that counts as carried
WHOLE = 0.99
PROMPT_MS = 20.0  # 99th percentile of the loader's lateness up to which it keeps its times

LIMIT = """
name = "limits"
length_s = 6
[fleet]
gateways = 1
servers = 8
[server]
slots_per_core = 400
queue_per_core = 400
cap_per_core = 4000
handshake_us = 0
thrash = 0
[traffic]
body_bytes = 200
[[plan]]
name = "open"
share = 1.0
rate = 1000
burst_s = 10
"""


@dataclass(frozen=True, slots=True)
class Carried:
    rate: float  # requests a second asked
    answered: float  # share answered 200
    late_ms: float  # the loader's lateness, 99th percentile
    loader_cpu: float  # cores
    gateway_cpu: float  # cores

    @property
    def good(self) -> bool:
        return self.answered >= WHOLE and self.late_ms <= PROMPT_MS


async def _at(rate: float, loaders: int, null: bool, checkout: Path | None) -> Carried:
    drawn = day(parse(LIMIT, "limits"), 1)
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    options = Options(
        loaders=loaders,
        rate=rate,
        length_s=drawn.scenario.length_s,
        null_gateway=null,
        checkout=checkout,
    )
    record = await play(drawn, LIMIT, folder, options)
    tries = record.tries
    served = tries["kind"] == rec.SERVED
    in_time = served & (tries["ended"] - tries["due"] <= drawn.classes[0].aim_us)
    used = record.process["cpu_us"]
    span = max(1e-9, float(record.figures["span_s"]))
    cpu = float(used[-1] - used[0]) / 1e6 / span if len(used) > 1 else 0.0
    return Carried(
        rate,
        float(in_time.sum()) / max(1, len(tries)),
        float(record.figures["late_ms"]),
        float(record.figures["cpu_s"]) / span,
        cpu,
    )


def limit(loaders: int, null: bool, start: float, checkout: Path | None = None) -> list[Carried]:
    """Rates from `start` on, each 1.3 times the one before, until one is not carried."""
    found: list[Carried] = []
    rate = start
    while len(found) < 16:
        found.append(run_until_stopped(_at(rate, loaders, null, checkout)))
        if not found[-1].good:
            break
        rate *= 1.3
    return found


@dataclass(frozen=True, slots=True)
class Grown:
    gateways: int
    servers: int
    requests: int
    cpu_s: float
    memory_mb: float


def grown(scenario: Scenario, fleets: list[tuple[int, int]], seed: int = 1) -> list[Grown]:
    """Processor time of one simulated run for each fleet; memory is the process's highest so
    far."""
    found = []
    for gateways, servers in fleets:
        drawn = day(_sized(scenario, gateways, servers), seed)
        began = time.process_time()
        record = simulate(drawn, policy_factory("module"))
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        found.append(
            Grown(gateways, servers, len(record.tries), time.process_time() - began, memory)
        )
    return found


def _sized(scenario: Scenario, gateways: int, servers: int) -> Scenario:
    """The same day on another fleet: members still come through a few gateways, the counter grows
    with it."""

    made = msgspec.convert(msgspec.to_builtins(scenario), Scenario)
    made.fleet.gateways, made.fleet.servers = gateways, servers
    some = min(1.0, 3 / gateways)
    for plan in made.plan:
        plan.spread = [some, some]
    factor = max(1.0, servers / 9)
    made.counter.parts = max(made.counter.parts, round(made.counter.parts * factor))
    made.counter.per_s = [730 * factor, 730 * factor]
    return made


def exponent(found: list[Grown]) -> float:
    """Of processor time over requests: 1 is linear."""
    if len(found) < 2:
        return math.nan
    x, y = np.log([g.requests for g in found]), np.log([g.cpu_s for g in found])
    return float(np.polyfit(x, y, 1)[0])
