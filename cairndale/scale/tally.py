"""Summarizes the records of a scale run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from cairndale.scale.gauge import quantile


def recovery_times(times: list[float], expected: int) -> dict[str, float]:
    """Return quantiles of the sorted recovery times; -1 where too few have recovered."""
    count = len(times)
    return {
        "p50": times[expected // 2] if count > expected // 2 else -1.0,
        "p99": times[int(0.99 * expected)] if count > int(0.99 * expected) else -1.0,
        "last": times[-1] if count >= expected else -1.0,
        "share": count / expected,
    }


def simulated_totals(
    ingresses: list[dict[str, Any]], servers: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the totals over all simulated ingresses and servers of a run."""
    span = max(row["span"] for row in ingresses)
    summed_keys = ("ingresses", "lapsed", "failed", "contents", "tenants")
    totals: dict[str, Any] = {key: sum(row[key] for row in ingresses) for key in summed_keys}
    totals["failures"] = dict(sum((Counter(row["failures"]) for row in ingresses), Counter()))
    totals |= {key: sum(row[key] for row in servers) for key in ("servers", "beats", "beats_lost")}
    totals["with a lease"] = max(0.0, 1 - totals["lapsed"] / (span * max(1, totals["ingresses"])))
    return totals


def role_usage(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the usage of a role: means over its processes; maxima of memory and loop delays."""
    mean_keys = ("cpu", "waited", "bytes_out", "bytes_in", "messages_out")
    usage: dict[str, Any] = {key: sum(row[key] for row in rows) / len(rows) for key in mean_keys}
    usage |= {
        key: max(row[key] for row in rows) for key in ("mb", "late_p50", "late_p99", "late_most")
    }
    kinds: dict[str, float] = {}
    for row in rows:
        for kind, per_s in row["kinds"].items():
            kinds[kind] = kinds.get(kind, 0.0) + per_s / len(rows)
    usage["kinds"], usage["processes"] = kinds, len(rows)
    return usage


def change_latencies(
    acks: list[tuple[float, float]],
    updates: list[tuple[float, int]],
    served: list[dict[str, float]],
) -> dict[str, Any]:
    """Return quantiles of the seconds from the call of an order to its acknowledgement, and to each
    ingress that serves it.

    `updates`: the time of each call and the generation that it makes; `served`: for each ingress,
    when it received each generation. `unserved` in the result counts pairs of an update and an
    ingress that received neither it nor a later one.
    """
    ack_latencies, delays = (
        sorted(acked_at - called_at for called_at, acked_at in acks),
        list(update_delays(updates, served)),
    )
    served_delays = sorted(wait for wait in delays if wait is not None)
    return {
        "count": len(acks),
        "acked_p50": quantile(ack_latencies, 0.5),
        "acked_p99": quantile(ack_latencies, 0.99),
        "acked_last": ack_latencies[-1] if ack_latencies else 0.0,
        "served_p50": quantile(served_delays, 0.5),
        "served_p99": quantile(served_delays, 0.99),
        "served_last": served_delays[-1] if served_delays else 0.0,
        "unserved": len(delays) - len(served_delays),
    }


def update_delays(
    updates: list[tuple[float, int]], served: list[dict[str, float]]
) -> Iterator[float | None]:
    """Return, for each update and ingress, the seconds until the ingress received that generation
    or a later one; None if it never did."""
    for ingress in served:
        for called_at, generation in updates:
            times = [
                at
                for served_generation, at in ingress.items()
                if int(served_generation) >= generation and at >= called_at
            ]
            yield min(times) - called_at if times else None
