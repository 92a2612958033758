"""Metrics in Prometheus' format.

Labels are names from the configuration and the program's own constants. Customers, ids and text
from peers are never labels."""

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

# Upper bounds of the histograms' buckets, in seconds.
TIME_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
COUNTER_CALL_BUCKETS_S = (0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.03, 0.06)
LAG_SAMPLE_INTERVAL_S = 0.25  # between samples of the event loop's lag
POOL_STATES = ("idle", "busy", "dialling", "waiting")


class Metrics:
    """An observer of the engine, and the metrics that a scrape returns.

    The caller may set `list_age` (seconds since the last contact with discovery) and `pools` (the
    figures of each connection pool).
    """

    def __init__(self, engine: Engine, sockets: Sockets, accounts: Callable[[], Any]) -> None:
        self.registry = CollectorRegistry()
        self._engine, self._sockets, self._accounts = engine, sockets, accounts
        self._requests = Counter(
            "ironledge_requests",
            "Completed requests",
            ["class_", "plan", "outcome"],
            registry=self.registry,
        )
        self._request_time = Histogram(
            "ironledge_request_seconds",
            "Seconds from a request's first byte to its answer",
            ["class_", "outcome"],
            buckets=TIME_BUCKETS_S,
            registry=self.registry,
        )
        self._request_attempts = Histogram(
            "ironledge_request_attempts",
            "Attempts per request",
            ["class_"],
            buckets=(0, 1, 2, 3, 4, 6, 10),
            registry=self.registry,
        )
        self._attempts = Counter(
            "ironledge_attempts", "Completed attempts", ["outcome"], registry=self.registry
        )
        self._attempt_time = Histogram(
            "ironledge_attempt_seconds",
            "Seconds from sending an attempt to its end",
            ["outcome"],
            buckets=TIME_BUCKETS_S,
            registry=self.registry,
        )
        self._counter_calls = Counter(
            "ironledge_counter_calls", "Calls to the counter", ["outcome"], registry=self.registry
        )
        self._counter_call_time = Histogram(
            "ironledge_counter_call_seconds",
            "Duration of a call to the counter in seconds",
            buckets=COUNTER_CALL_BUCKETS_S,
            registry=self.registry,
        )
        self._lag = Gauge(
            "ironledge_loop_lag_seconds",
            "Maximum lag of the event loop since the last scrape",
            registry=self.registry,
        )
        self._max_lag_s = 0.0
        self.list_age: Callable[[], float] = lambda: 0.0
        self.pools: Callable[[], list[dict[str, Any]]] = list
        self.registry.register(_GaugeCollector(self))
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts sampling the event loop's lag."""
        self._task = asyncio.get_running_loop().create_task(self._sample_lag())

    def stop(self) -> None:
        """Stops the sampling."""
        if self._task:
            self._task.cancel()

    async def _sample_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_SAMPLE_INTERVAL_S
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            self._max_lag_s = max(self._max_lag_s, loop.time() - due)

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        """Counts a completed request; `us` is its duration."""
        settings = self._engine.settings
        name = settings.classes[wanted.cls].name
        self._requests.labels(name, settings.plans[wanted.plan].name, outcome).inc()
        self._request_time.labels(name, outcome).observe(us / 1e6)
        self._request_attempts.labels(name).observe(attempts)

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None:
        """Counts a completed attempt; `us` is its duration."""
        self._attempts.labels(outcome.value).inc()
        self._attempt_time.labels(outcome.value).observe(us / 1e6)

    def counter_called(self, outcome: Outcome, us: int) -> None:
        """Counts a completed call to the counter; `us` is its duration."""
        self._counter_calls.labels(outcome.value).inc()
        self._counter_call_time.observe(us / 1e6)

    def scrape(self) -> bytes:
        """All metrics in Prometheus' text format; starts a new period for the maximum lag."""
        self._lag.set(max(0.0, self._max_lag_s))
        self._max_lag_s = 0.0
        text: bytes = generate_latest(self.registry)
        return text

    def collect_gauges(self) -> Iterator[GaugeMetricFamily]:
        """The gauges that are computed only for a scrape."""
        engine, sockets = self._engine, self._sockets
        yield GaugeMetricFamily(
            "ironledge_open_requests", "Requests in flight", value=engine.open_count
        )
        connections = GaugeMetricFamily(
            "ironledge_connections", "Descriptors in use for connections", labels=["side"]
        )
        connections.add_metric(["servers"], sockets.upstream_count)
        connections.add_metric(["clients"], max(0, sockets.open_count - sockets.upstream_count))
        yield connections
        yield GaugeMetricFamily(
            "ironledge_connections_limit", "Maximum number of connections", value=sockets.capacity
        )
        pools = self.pools()
        states = GaugeMetricFamily(
            "ironledge_pool",
            "Connections to servers and waiting attempts, by state",
            labels=["state"],
        )
        for state in POOL_STATES:
            states.add_metric([state], sum(p[state] for p in pools))
        yield states
        for key in ("dials", "dials_failed", "stale_caught", "stale_missed"):
            name = f"ironledge_pool_{key}"
            yield GaugeMetricFamily(
                name, f"{key.replace('_', ' ')}, since the start", value=sum(p[key] for p in pools)
            )
        entries = engine.entries()
        server_counts = GaugeMetricFamily(
            "ironledge_servers", "Servers on the endpoint list", labels=["status"]
        )
        for status in ("up", "draining"):
            server_counts.add_metric([status], sum(e.status == status for e in entries))
        yield server_counts
        yield GaugeMetricFamily(
            "ironledge_list_age_seconds",
            "Seconds since the last contact with discovery",
            value=self.list_age(),
        )
        accounts = list(self._accounts())
        yield GaugeMetricFamily(
            "ironledge_accounts", "Customers with an account at this ingress", value=len(accounts)
        )
        leased = sum(a.tokens for a in accounts)
        yield GaugeMetricFamily(
            "ironledge_leased_units", "Leased quota units that are left", value=leased
        )
        accounts_with_bookings = sum(
            1 for a in accounts if any(slot[1] > 0 for slot in a.ring.slots)
        )
        yield GaugeMetricFamily(
            "ironledge_rings_booked",
            "Customers with rejected requests that were told when to retry",
            value=accounts_with_bookings,
        )
        usage = resource.getrusage(resource.RUSAGE_SELF)
        yield GaugeMetricFamily(
            "ironledge_cpu_seconds", "CPU time in seconds", value=usage.ru_utime + usage.ru_stime
        )
        yield GaugeMetricFamily(
            "ironledge_memory_bytes", "Resident memory in bytes", value=_resident_bytes()
        )
        yield GaugeMetricFamily(
            "ironledge_clock_seconds", "Wall clock, to tell the age of a scrape", value=time.time()
        )


def _resident_bytes() -> int:
    """Resident memory in bytes; 0 if it cannot be read."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize()


class _GaugeCollector(Collector):
    """Lets the registry collect the gauges of `Metrics`."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[GaugeMetricFamily]:
        return self._metrics.collect_gauges()

    def describe(self) -> list[GaugeMetricFamily]:
        """Empty, so that registering collects nothing."""
        return []
