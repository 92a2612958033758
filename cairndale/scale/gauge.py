"""What a process costs: frames and bytes by kind, processor time, memory, and how late its event
loop is.

Bytes are those of the frames and the calls themselves, without what TCP and IP add.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.peer import RpcPeer

STEP = 0.01  # s between looks at the event loop
MOST = 200_000  # looks that are kept


class Gauge:
    def __init__(self) -> None:
        self.out: Counter[str] = Counter()  # frames written, by kind
        self.bytes_out = self.bytes_in = 0
        self.late: list[float] = []  # s
        self.requests = 0  # HTTP calls made, with their bytes in those above
        self._at, self._cpu, self._waited = time.monotonic(), time.process_time(), waited_s()

    async def watch(self) -> None:
        """How much later than asked a timer goes off, for as it runs."""
        while True:
            due = time.monotonic() + STEP
            await asyncio.sleep(STEP)
            if len(self.late) < MOST:
                self.late.append(max(0.0, time.monotonic() - due))

    def count_frames(self, rpc_peer: RpcPeer) -> None:
        """Of the connections that these make from now on, and of those that come to them."""
        gauge = self

        class Counted(FramedConnection):
            def write(self, envelope: pb.Envelope) -> bool:
                gauge.out[envelope.WhichOneof("body") or "fault"] += 1
                gauge.bytes_out += envelope.ByteSize() + 4
                return super().write(envelope)

            def data_received(self, data: bytes) -> None:
                gauge.bytes_in += len(data)
                super().data_received(data)

        rpc_peer.connection_class = Counted

    def count_call(self, out: int, come: int) -> None:
        """One HTTP call of ours."""
        self.requests += 1
        self.bytes_out += out
        self.bytes_in += come

    def restart(self) -> None:
        self.out.clear()
        self.bytes_out = self.bytes_in = self.requests = 0
        self.late = []
        self._at, self._cpu, self._waited = time.monotonic(), time.process_time(), waited_s()

    def read(self) -> dict[str, Any]:
        """Since the last restart; bytes and messages a second, s, MB."""
        span = max(1e-6, time.monotonic() - self._at)
        late = sorted(self.late) or [0.0]
        return {
            "span": span,
            "cpu": (time.process_time() - self._cpu) / span,
            "waited": (waited_s() - self._waited) / span,
            "mb": most_mb(),
            "bytes_out": self.bytes_out / span,
            "bytes_in": self.bytes_in / span,
            "messages_out": (sum(self.out.values()) + self.requests) / span,
            "kinds": {kind: n / span for kind, n in self.out.items()},
            "late_p50": quantile(late, 0.5),
            "late_p99": quantile(late, 0.99),
            "late_most": late[-1],
        }


def waited_s() -> float:
    """s that this process's main thread was ready to run and had no processor, as others had them
    all."""
    with open("/proc/self/schedstat") as told:
        return int(told.read().split()[1]) / 1e9


def most_mb() -> float:
    """The most memory this process has held. `getrusage` would tell of its parent's where that was
    more."""
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:")) / 1024


def quantile(ordered: list[float], share: float) -> float:
    """Of values in order; 0 of none."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
