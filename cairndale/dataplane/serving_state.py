"""Admission by the state of this ingress: its serving lease, and the time left in a drain."""

from __future__ import annotations

from collections.abc import Callable

from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.endpoint_selection import EndpointSelector

DRAIN_END_MARGIN_S = 0.4  # all requests are to be answered this long before the grace period ends
# While draining, a request is started only if this many average response times are left.
MIN_LATENCIES_LEFT = 1.5
# From this long after SIGTERM, a request is started only if its deadline is before the end of the
# drain: a request sent later than 3 s after SIGTERM must not be aborted, however long it takes.
STRICT_ADMISSION_AFTER_S = 2.8


class ServingState:
    """Admits requests while the lease is valid, except those that a drain would have to abort."""

    def __init__(
        self, config: ConfigClient, selector: EndpointSelector, now: Callable[[], float]
    ) -> None:
        """`now`: s on the node's steady clock."""
        self._config, self._selector, self.now = config, selector, now
        self.draining = False
        self.ends_at = float("inf")  # s; while draining: all requests are to be answered by then
        # s; from then on only requests whose deadline is before `ends_at` are started.
        self._strict_from = float("inf")

    def may_serve(self) -> bool:
        """Whether the lease that allows this node to serve traffic is valid."""
        return self._config.may_serve(self.now())

    def may_begin(self, cls: int, timeout_us: int) -> bool:
        """Whether a request of that class can be answered before this process ends.

        `timeout_us`: the longest that it may take.
        """
        now = self.now()
        in_time = now < self._strict_from or now + timeout_us / 1e6 < self.ends_at
        average_latency_s = self._selector.average_latencies[cls] / 1e6
        return in_time and now + MIN_LATENCIES_LEFT * average_latency_s < self.ends_at

    def begin_drain(self, grace: float) -> None:
        """Begin the drain; `grace`: s from SIGTERM until the process is killed."""
        now = self.now()
        self.draining = True
        self.ends_at, self._strict_from = (
            now + grace - DRAIN_END_MARGIN_S,
            now + STRICT_ADMISSION_AFTER_S,
        )
