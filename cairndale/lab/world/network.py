"""Model of the network: latency between zones, partitions and connection resets."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Network:
    """Latencies in us, and the faults in effect."""

    same_zone_us: int  # one-way latency within a zone
    cross_zone_us: int  # one-way latency between zones
    client_us: int  # one-way latency between client and ingress
    jitter: float  # mean of the exponential part, as a share of the latency
    partitioned_zones: set[int] = field(default_factory=set)  # zones isolated from all others
    reset_share: float = 0.0  # share of exchanges that end with a connection reset

    @classmethod
    def from_figures(cls, figures: dict[str, float]) -> Network:
        same_zone_us, cross_zone_us, client_us = (
            int(figures[k] * 1000) for k in ("same_ms", "cross_ms", "client_ms")
        )
        return cls(same_zone_us, cross_zone_us, client_us, figures["jitter"])

    def linked(self, a: int, b: int) -> bool:
        return a == b or not (a in self.partitioned_zones or b in self.partitioned_zones)

    def latency(self, a: int, b: int, draw: float) -> int:
        """One-way latency from zone a to zone b, us; `draw` is in [0, 1). Partitions are not
        considered: check `linked` first."""
        return self._jittered(self.same_zone_us if a == b else self.cross_zone_us, draw)

    def to_client(self, draw: float) -> int:
        return self._jittered(self.client_us, draw)

    def _jittered(self, mean: int, draw: float) -> int:
        return mean + int(mean * self.jitter * -math.log(1 - draw))
