"""A record, second by second: what reports draw. Small enough to stand in a result."""

from __future__ import annotations

from typing import Any

import numpy as np
from numpy.typing import NDArray

from cairndale.lab import record as rec
from cairndale.lab.draw import SECOND, Day
from cairndale.lab.record import Record
from cairndale.lab.world.counter import CallStatus

BUCKETS_MS = np.unique(np.round(np.geomspace(1, 60_000, 120)).astype(np.int64))  # of the latencies


def series(day: Day, record: Record) -> dict[str, Any]:
    tries = record.tries
    seconds = max(1, -(-day.length // SECOND))
    first = tries["id"] == tries["root"]
    aim = np.array([c.aim_us for c in day.classes], dtype=np.int64)
    took = tries["ended"] - tries["due"]
    served = tries["kind"] == rec.SERVED
    in_time = served & (took <= aim[tries["cls"]]) if len(tries) else served
    second = np.minimum(tries["sent"] // SECOND, seconds - 1)

    def count(mask: NDArray[np.bool_]) -> list[int]:
        counts: list[int] = np.bincount(second[mask], minlength=seconds)[:seconds].tolist()
        return counts

    kind = tries["kind"]
    found: dict[str, Any] = {
        "requests": count(first),
        "tries": count(np.ones(len(tries), dtype=bool)),
        "in_time": count(in_time),
        "late": count(served & ~in_time),
        "refused_firm": count((kind == rec.REFUSED) & (tries["advice"] == 0)),
        "refused_advised": count((kind == rec.REFUSED) & (tries["advice"] > 0)),
        "failed": count(np.isin(kind, [rec.FAILED, rec.BROKEN, rec.UNREACHED, rec.NONE])),
        "refused_with_room": _with_room(day, record, seconds),
    }
    found["latency"] = np.histogram(took[served] / 1000, np.append(BUCKETS_MS, 1 << 40))[0].tolist()
    found["latency_ms"] = BUCKETS_MS.tolist()
    p50, p99 = [], []
    for n in range(0, seconds, 2):
        some = took[served & (second >= n) & (second < n + 2)]
        p50.append(float(np.percentile(some, 50)) / 1000 if len(some) else None)
        p99.append(float(np.percentile(some, 99)) / 1000 if len(some) else None)
    found["p50_ms"], found["p99_ms"] = p50, p99
    found |= _servers(day, record, seconds)
    calls = record.calls
    at = np.minimum(calls["at"] // SECOND, seconds - 1)
    found["calls"] = {
        said.value: np.bincount(at[calls["said"] == n], minlength=seconds)[:seconds].tolist()
        for n, said in enumerate(CallStatus)
    }
    dials = np.clip(record.dials["at"] // SECOND, 0, seconds - 1)
    found["dials"] = np.bincount(dials, minlength=seconds)[:seconds].tolist()
    found |= _processes(record)
    found["marks"] = [
        [int(a) / SECOND, int(b) / SECOND, day.scenario.trouble[int(n)].kind]
        for a, b, n in zip(
            record.marks["at"], record.marks["to"], record.marks["trouble"], strict=True
        )
    ]
    return found


def _with_room(day: Day, record: Record, seconds: int) -> list[int]:
    """Refusals while half of the member's quota or more was unused, by what had come to servers
    until then."""
    from cairndale.lab.judge import Store, first_sends

    tries, sent = record.tries, first_sends(record)
    events: list[tuple[int, int, int, int]] = []
    columns = (
        tries["id"].tolist(),
        tries["customer"].tolist(),
        tries["plan"].tolist(),
        tries["kind"].tolist(),
    )
    times = tries["sent"].tolist()
    for n, (number, customer, plan, kind) in enumerate(zip(*columns, strict=True)):
        if number in sent:
            events.append((sent[number], 0, customer, plan))
        if kind == rec.REFUSED:
            events.append((times[n], 1, customer, plan))
    stores: dict[int, Store] = {}
    counts = [0] * seconds
    for at, what, customer, plan in sorted(events):
        p = day.plans[plan]
        store = stores.setdefault(customer, Store(p.rate, p.burst, 0))
        level = store.fill(at)
        if what:
            counts[min(seconds - 1, at // SECOND)] += level >= p.burst / 2
        elif level >= 1:
            store.level -= 1
    return counts


def _servers(day: Day, record: Record, seconds: int) -> dict[str, Any]:
    """By server: held over what can be in work, share of its cores in use, alive, warmth;
    connections of all."""
    table, count = record.servers, len(day.servers)
    shape = (seconds + 1, count)
    held, spent, alive, warm = (np.zeros(shape) for _ in range(4))
    connections = np.zeros(shape)
    at = np.minimum(table["at"] // SECOND, seconds)
    who = table["server"]
    held[at, who] = table["held"] / np.maximum(1, table["slots"])
    spent[at, who], alive[at, who] = table["done"], table["alive"]
    warm[at, who], connections[at, who] = table["warmth"] / 1000, table["connections"]
    cores = np.array([s.cores * s.speed for s in day.servers]) * SECOND
    used = np.clip(np.diff(spent, axis=0) / cores, 0, 1)
    return {
        "held": np.round(held[:seconds], 2).tolist(),
        "used": np.round(used, 2).tolist(),
        "state": (alive[:seconds] * (1 + (warm[:seconds] < 1))).astype(int).tolist(),
        "connections": connections[:seconds].sum(axis=1).astype(int).tolist(),
        "fullest": connections[:seconds].max(axis=1, initial=0).astype(int).tolist(),
    }


def _processes(record: Record) -> dict[str, Any]:
    table = record.process
    found: dict[str, Any] = {"process": {}}
    for gateway in sorted(set(table["gateway"].tolist())):
        mine = table["gateway"] == gateway
        cpu = np.diff(table["cpu_us"][mine], prepend=table["cpu_us"][mine][:1])
        found["process"][str(gateway)] = {
            "at": np.round(table["at"][mine] / SECOND, 1).tolist(),
            "cpu": np.round(np.maximum(0, cpu) / SECOND, 3).tolist(),
            "memory_mb": np.round(table["memory_kb"][mine] / 1024, 1).tolist(),
            "descriptors": table["descriptors"][mine].tolist(),
        }
    return found
