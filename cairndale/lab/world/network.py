"""Ways between zones, and what cuts them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Network:
    same: int  # us one way within a zone
    cross: int  # us between zones
    client: int  # us between client and gateway
    jitter: float  # mean of the exponential part, as a share of the way
    cut: set[int] = field(default_factory=set)  # zones without links to the others
    resets: float = 0.0  # share of exchanges whose connection breaks under them

    @classmethod
    def drawn(cls, figures: dict[str, float]) -> Network:
        same, cross, client = (int(figures[k] * 1000) for k in ("same_ms", "cross_ms", "client_ms"))
        return cls(same, cross, client, figures["jitter"])

    def linked(self, a: int, b: int) -> bool:
        return a == b or not (a in self.cut or b in self.cut)

    def way(self, a: int, b: int, draw: float) -> int:
        """us from zone a to zone b; `draw` in [0, 1). Ask `linked` first: what is cut off says
        nothing."""
        return self._late(self.same if a == b else self.cross, draw)

    def to_client(self, draw: float) -> int:
        return self._late(self.client, draw)

    def _late(self, way: int, draw: float) -> int:
        return way + int(way * self.jitter * -math.log(1 - draw))
