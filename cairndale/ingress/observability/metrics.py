"""Metrics in Prometheus' form. Labels are names of the configuration and the program's own words:
no customer, no id, no text of a peer is ever one."""

from __future__ import annotations

import asyncio
import resource
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from cairndale.ingress.net.engine import ClientRequest, Engine
from cairndale.ingress.net.sockets import Sockets
from cairndale.ingress.policy.interface import Outcome

# s, of the histograms
TIMES = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
SHORT = (0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.03, 0.06)  # s, of a counter call
LAG_EVERY = 0.25  # s between looks at how late the loop is
SERVER_STATES = ("idle", "busy", "dialling", "waiting")


class Metrics:
    """The engine's observer, and what a scrape finds."""

    def __init__(self, engine: Engine, sockets: Sockets, accounts: Callable[[], Any]) -> None:
        self.registry = CollectorRegistry()
        self._engine, self._sockets, self._accounts = engine, sockets, accounts
        self._requests = Counter(
            "ironledge_requests",
            "Requests that are over",
            ["class_", "plan", "outcome"],
            registry=self.registry,
        )
        self._time = Histogram(
            "ironledge_request_seconds",
            "From a request's first byte to its answer",
            ["class_", "outcome"],
            buckets=TIMES,
            registry=self.registry,
        )
        self._tries = Histogram(
            "ironledge_request_attempts",
            "Attempts of a request",
            ["class_"],
            buckets=(0, 1, 2, 3, 4, 6, 10),
            registry=self.registry,
        )
        self._attempts = Counter(
            "ironledge_attempts", "Attempts that have ended", ["outcome"], registry=self.registry
        )
        self._attempt_time = Histogram(
            "ironledge_attempt_seconds",
            "From sending an attempt to its end",
            ["outcome"],
            buckets=TIMES,
            registry=self.registry,
        )
        self._calls = Counter(
            "ironledge_counter_calls", "Calls to the counter", ["outcome"], registry=self.registry
        )
        self._call_time = Histogram(
            "ironledge_counter_call_seconds",
            "Of a call to the counter",
            buckets=SHORT,
            registry=self.registry,
        )
        self._lag = Gauge(
            "ironledge_loop_lag_seconds",
            "How late the event loop was, at the worst since the last scrape",
            registry=self.registry,
        )
        self._worst = 0.0
        self.list_age: Callable[[], float] = lambda: 0.0
        self.pools: Callable[[], list[dict[str, Any]]] = list
        self.registry.register(_Seen(self))
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._watch_loop())

    def stop(self) -> None:
        if self._task:
            self._task.cancel()

    async def _watch_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_EVERY
            await asyncio.sleep(LAG_EVERY)
            self._worst = max(self._worst, loop.time() - due)

    # The engine tells.

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        settings = self._engine.settings
        name = settings.classes[wanted.cls].name
        self._requests.labels(name, settings.plans[wanted.plan].name, outcome).inc()
        self._time.labels(name, outcome).observe(us / 1e6)
        self._tries.labels(name).observe(attempts)

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None:
        self._attempts.labels(outcome.value).inc()
        self._attempt_time.labels(outcome.value).observe(us / 1e6)

    def counter_called(self, outcome: Outcome, us: int) -> None:
        self._calls.labels(outcome.value).inc()
        self._call_time.observe(us / 1e6)

    # A scrape.

    def scrape(self) -> bytes:
        self._lag.set(max(0.0, self._worst))
        self._worst = 0.0
        found: bytes = generate_latest(self.registry)
        return found

    def seen(self) -> Iterator[GaugeMetricFamily]:
        """What is counted only when somebody asks."""
        engine, sockets = self._engine, self._sockets
        yield GaugeMetricFamily(
            "ironledge_open_requests", "Requests under way", value=engine.open_count
        )
        held = GaugeMetricFamily(
            "ironledge_connections", "Descriptors held for connections", labels=["side"]
        )
        held.add_metric(["servers"], sockets.upstream_count)
        held.add_metric(["clients"], max(0, sockets.open_count - sockets.upstream_count))
        yield held
        yield GaugeMetricFamily(
            "ironledge_connections_limit",
            "Up to here connections are opened",
            value=sockets.capacity,
        )
        pools = self.pools()
        states = GaugeMetricFamily(
            "ironledge_pool", "Connections to servers and attempts that wait", labels=["state"]
        )
        for state in SERVER_STATES:
            states.add_metric([state], sum(p[state] for p in pools))
        yield states
        for key in ("dials", "dials_failed", "stale_caught", "stale_missed"):
            name = f"ironledge_pool_{key}"
            yield GaugeMetricFamily(
                name, f"{key.replace('_', ' ')}, since the start", value=sum(p[key] for p in pools)
            )
        entries = engine.entries()
        servers = GaugeMetricFamily("ironledge_servers", "Servers on the list", labels=["status"])
        for status in ("up", "draining"):
            servers.add_metric([status], sum(e.status == status for e in entries))
        yield servers
        yield GaugeMetricFamily(
            "ironledge_list_age_seconds", "Since discovery was last heard", value=self.list_age()
        )
        accounts = list(self._accounts())
        yield GaugeMetricFamily(
            "ironledge_accounts", "Customers that are known here", value=len(accounts)
        )
        leased = sum(a.tokens for a in accounts)
        yield GaugeMetricFamily(
            "ironledge_leased_units", "Leased units that are left", value=leased
        )
        booked = sum(1 for a in accounts if any(slot[1] > 0 for slot in a.ring.slots))
        yield GaugeMetricFamily(
            "ironledge_rings_booked", "Customers with requests told to return", value=booked
        )
        usage = resource.getrusage(resource.RUSAGE_SELF)
        yield GaugeMetricFamily(
            "ironledge_cpu_seconds", "Processor time", value=usage.ru_utime + usage.ru_stime
        )
        yield GaugeMetricFamily("ironledge_memory_bytes", "Memory held", value=_memory())
        yield GaugeMetricFamily(
            "ironledge_clock_seconds", "The wall clock, for the age of a scrape", value=time.time()
        )


def _memory() -> int:
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize()


class _Seen(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[GaugeMetricFamily]:
        return self._metrics.seen()

    def describe(self) -> list[GaugeMetricFamily]:
        """Nothing is collected when it is registered."""
        return []
