"""Whether this ingress may take a request now: by its lease, and by the time left in a drain."""

from __future__ import annotations

from collections.abc import Callable

from cairndale.dataplane.config_client import ConfigClient
from cairndale.dataplane.endpoint_selection import EndpointSelector

END_MARGIN_S = 0.4  # before the end of the grace period by which all is to be answered
# Usual answers' times that must be left before the end for a request to be begun while draining.
USUAL_TIMES_LEFT = 1.5
# From so long after SIGTERM on a request is begun only if its deadline is before the end: what was
# sent later than 3 s after SIGTERM must not be cut, however long its endpoint takes.
LATE_AFTER_S = 2.8


class ServingState:
    """Lets requests in while the lease is held, and none that a drain would have to cut."""

    def __init__(
        self, config: ConfigClient, selector: EndpointSelector, now: Callable[[], float]
    ) -> None:
        """`now`: s on the node's steady clock."""
        self._config, self._selector, self.now = config, selector, now
        self.draining = False
        self.ends_at = float("inf")  # s, by when all is answered, once it drains
        self._late_at = float("inf")  # s, from when on only what ends in time in any case is begun

    def may_serve(self) -> bool:
        """Whether the lease by which this node serves traffic is held."""
        return self._config.may_serve(self.now())

    def may_begin(self, cls: int, timeout_us: int) -> bool:
        """Whether a request of that class can be answered before this process ends.

        `timeout_us`: the most that it may take.
        """
        now = self.now()
        in_time = now < self._late_at or now + timeout_us / 1e6 < self.ends_at
        usual_s = self._selector.average_latencies[cls] / 1e6
        return in_time and now + USUAL_TIMES_LEFT * usual_s < self.ends_at

    def begin_drain(self, grace: float) -> None:
        """Begin the drain; `grace`: s from SIGTERM until the process is ended from outside."""
        now = self.now()
        self.draining = True
        self.ends_at, self._late_at = now + grace - END_MARGIN_S, now + LATE_AFTER_S
