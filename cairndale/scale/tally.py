"""What is made of the records of a scale run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from cairndale.scale.gauge import quantile


def returned(times: list[float], wanted: int) -> dict[str, float]:
    """`times`, in order: of those that are well again."""
    there = len(times)
    return {
        "p50": times[wanted // 2] if there > wanted // 2 else -1.0,
        "p99": times[int(0.99 * wanted)] if there > int(0.99 * wanted) else -1.0,
        "last": times[-1] if there >= wanted else -1.0,
        "share": there / wanted,
    }


def totals(ingresses: list[dict[str, Any]], servers: list[dict[str, Any]]) -> dict[str, Any]:
    """Over all hollow ones of a run."""
    span = max(row["span"] for row in ingresses)
    summed_up = ("ingresses", "lapsed", "failed", "contents", "tenants")
    made: dict[str, Any] = {k: sum(r[k] for r in ingresses) for k in summed_up}
    made["failures"] = dict(sum((Counter(r["failures"]) for r in ingresses), Counter()))
    made |= {k: sum(r[k] for r in servers) for k in ("servers", "beats", "beats_lost")}
    made["with a lease"] = max(0.0, 1 - made["lapsed"] / (span * max(1, made["ingresses"])))
    return made


def summed(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Of processes of one role: means, but for what is the most."""
    means = ("cpu", "waited", "bytes_out", "bytes_in", "messages_out")
    made: dict[str, Any] = {k: sum(r[k] for r in rows) / len(rows) for k in means}
    made |= {k: max(r[k] for r in rows) for k in ("mb", "late_p50", "late_p99", "late_most")}
    kinds: dict[str, float] = {}
    for row in rows:
        for kind, per_s in row["kinds"].items():
            kinds[kind] = kinds.get(kind, 0.0) + per_s / len(rows)
    made["kinds"], made["processes"] = kinds, len(rows)
    return made


def changes(
    acks: list[tuple[float, float]],
    updates: list[tuple[float, int]],
    served: list[dict[str, float]],
) -> dict[str, Any]:
    """s from an order's call to its acknowledgement, and to each ingress that serves by it.

    `updates`: when each was called, and its generation; `served`: for each ingress, when it was
    told each generation. `unserved`: pairs of an update and an ingress that was not told it, or a
    later one."""
    waits, found = sorted(after - before for before, after in acks), list(spread(updates, served))
    told = sorted(wait for wait in found if wait is not None)
    return {
        "count": len(acks),
        "acked_p50": quantile(waits, 0.5),
        "acked_p99": quantile(waits, 0.99),
        "acked_last": waits[-1] if waits else 0.0,
        "served_p50": quantile(told, 0.5),
        "served_p99": quantile(told, 0.99),
        "served_last": told[-1] if told else 0.0,
        "unserved": len(found) - len(told),
    }


def spread(
    updates: list[tuple[float, int]], served: list[dict[str, float]]
) -> Iterator[float | None]:
    """Of each update at each ingress: s until it was told that generation or a later one; None:
    never."""
    for ingress in served:
        for before, gen in updates:
            times = [at for told, at in ingress.items() if int(told) >= gen and at >= before]
            yield min(times) - before if times else None
