"""Measures what a process costs: frames by kind, bytes, processor time, memory and event loop
delay.

Bytes are those of the frames and the HTTP calls themselves, without the overhead of TCP and IP.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.framing import FramedConnection
from cairndale.rpc.peer import RpcPeer

POLL_INTERVAL_S = 0.01  # between samples of the event loop's delay
MAX_SAMPLES = 200_000


class Gauge:
    """Counts the costs of this process since the last restart of the gauge."""

    def __init__(self) -> None:
        self.frames_out: Counter[str] = Counter()  # frames written, by kind
        self.bytes_out = self.bytes_in = 0
        self.loop_delays: list[float] = []  # s
        self.requests = 0  # HTTP calls made; the bytes above include theirs
        self._started_at, self._started_cpu, self._started_cpu_wait = (
            time.monotonic(),
            time.process_time(),
            cpu_wait_s(),
        )

    async def watch(self) -> None:
        """Sample the event loop's delay, by how late a timer fires, until cancelled."""
        while True:
            due_at = time.monotonic() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            if len(self.loop_delays) < MAX_SAMPLES:
                self.loop_delays.append(max(0.0, time.monotonic() - due_at))

    def count_frames(self, rpc_peer: RpcPeer) -> None:
        """Count the frames of all connections that this peer opens or accepts from now on."""
        gauge = self

        class Counted(FramedConnection):
            def write(self, envelope: pb.Envelope) -> bool:
                gauge.frames_out[envelope.WhichOneof("body") or "fault"] += 1
                gauge.bytes_out += envelope.ByteSize() + 4
                return super().write(envelope)

            def data_received(self, data: bytes) -> None:
                gauge.bytes_in += len(data)
                super().data_received(data)

        rpc_peer.connection_class = Counted

    def count_call(self, sent: int, received: int) -> None:
        """Count one HTTP call of this process, by its bytes."""
        self.requests += 1
        self.bytes_out += sent
        self.bytes_in += received

    def restart(self) -> None:
        """Reset all counters."""
        self.frames_out.clear()
        self.bytes_out = self.bytes_in = self.requests = 0
        self.loop_delays = []
        self._started_at, self._started_cpu, self._started_cpu_wait = (
            time.monotonic(),
            time.process_time(),
            cpu_wait_s(),
        )

    def read(self) -> dict[str, Any]:
        """Return the costs since the last restart: bytes and messages a second, seconds, MB."""
        span = max(1e-6, time.monotonic() - self._started_at)
        delays = sorted(self.loop_delays) or [0.0]
        return {
            "span": span,
            "cpu": (time.process_time() - self._started_cpu) / span,
            "waited": (cpu_wait_s() - self._started_cpu_wait) / span,
            "mb": peak_memory_mb(),
            "bytes_out": self.bytes_out / span,
            "bytes_in": self.bytes_in / span,
            "messages_out": (sum(self.frames_out.values()) + self.requests) / span,
            "kinds": {kind: count / span for kind, count in self.frames_out.items()},
            "late_p50": quantile(delays, 0.5),
            "late_p99": quantile(delays, 0.99),
            "late_most": delays[-1],
        }


def cpu_wait_s() -> float:
    """Return for how many seconds the main thread was runnable while all processors were busy."""
    with open("/proc/self/schedstat") as schedstat:
        return int(schedstat.read().split()[1]) / 1e9


def peak_memory_mb() -> float:
    """Return the peak memory of this process. `getrusage` would return that of its parent where it
    is higher."""
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:")) / 1024


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of sorted values; 0 if there are none."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
