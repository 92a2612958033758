"""What a process costs: frames and bytes by kind, processor time, memory, and how late its event loop is."""

from __future__ import annotations

import asyncio
import resource
import time
from collections import Counter
from typing import Any

from playhouse.wings import cues_pb2 as pb
from playhouse.wings.links import Frames, Wings

STEP = 0.01  # s between looks at the event loop
MOST = 200_000  # looks that are kept


class Gauge:
    def __init__(self) -> None:
        self.out: Counter[str] = Counter()  # frames written, by kind
        self.bytes_out = self.bytes_in = 0
        self.late: list[float] = []  # s
        self._at, self._cpu = time.monotonic(), time.process_time()

    async def watch(self) -> None:
        """How much later than asked a timer goes off, for as long as it runs."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + STEP
            await asyncio.sleep(STEP)
            if len(self.late) < MOST:
                self.late.append(max(0.0, loop.time() - due))

    def count_frames(self, wings: Wings) -> None:
        """Of the connections that these make from now on, and of those that come to them."""
        gauge = self

        class Counted(Frames):
            def write(self, envelope: pb.Envelope) -> bool:
                gauge.out[envelope.WhichOneof("body") or "fault"] += 1
                gauge.bytes_out += envelope.ByteSize() + 4
                return super().write(envelope)

            def data_received(self, data: bytes) -> None:
                gauge.bytes_in += len(data)
                super().data_received(data)

        wings.frames = Counted

    def restart(self) -> None:
        self.out.clear()
        self.bytes_out = self.bytes_in = 0
        self.late = []
        self._at, self._cpu = time.monotonic(), time.process_time()

    def read(self) -> dict[str, Any]:
        """Since the last restart; bytes and messages a second, s, MB."""
        span = max(1e-6, time.monotonic() - self._at)
        late = sorted(self.late) or [0.0]
        return {
            "span": span, "cpu": (time.process_time() - self._cpu) / span,
            "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
            "bytes_out": self.bytes_out / span, "bytes_in": self.bytes_in / span,
            "messages_out": sum(self.out.values()) / span,
            "kinds": {kind: n / span for kind, n in self.out.items()},
            "late_p50": quantile(late, 0.5), "late_p99": quantile(late, 0.99), "late_most": late[-1],
        }  # fmt: skip


def quantile(ordered: list[float], share: float) -> float:
    """Of values in order; 0 of none."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
