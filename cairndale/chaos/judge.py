"""What a storm broke, from the records alone (`records.py`): nothing twice, no promise broken, one
chain of versions, reads of one register, nothing acknowledged lost, none that goes back, nobody
called gone who beats, no clear answer of one that hears nobody."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise
from typing import Any

from cairndale.chaos import register
from cairndale.chaos.records import NEVER, Order, Record, Shown
from cairndale.chaos.standins import Beat
from cairndale.chaos.world import Heard

# s after its acknowledgement by which nothing more comes to a server that drains, while ...
DRAINED = 1.5
# ... no trouble began or ended from so many s before: longer than an ingress's lease, and ...
SETTLED = 5.0
LONG_DRAINED = 9.0  # ... whatever the troubles
EVACUATED = 1.0  # s after which nothing more comes to a zone whose evacuation was acknowledged
ALONE = 5.0  # s without contact after which a machine answers nothing that only a majority can know
GONE = 2.5  # s for which one that beats all the time may not be listed, ...
FLAPS = 3  # ... and how often, in calm
GAP = 1.5  # s between acknowledged beats at most, of one that beats all the time ...
STEADY = 6.0  # ... from so many s before


def broken(record: Record, last: register.Found | None) -> list[str]:
    """All rules but those of `World.verdict` and of the bounds. `last`: what was read back at the
    end."""
    wrong = chain(record) + reads(record, last) + served(record)
    return wrong + drains(record) + moves(record) + gone(record) + alone(record) + record.ended


def chain(record: Record) -> list[str]:
    """Orders that were taken form one chain by parent, and what was refused is not among them."""
    wrong, taken = [], record.taken()
    for order in taken:
        for refusal in order.refusals:
            known = min(
                order.acked, *(r.heard for r in record.reads if r.mark == order.mark), NEVER, NEVER
            )
            again = known < refusal.sent
            how = (
                "was taken, and refused when it was sent again"
                if again
                else "was refused, and taken"
            )
            wrong.append(
                f"{order.mark}: {how} ({refusal.status} from {refusal.address}, "
                f"{refusal.sent - order.sent:.2f} s after it was first sent)"
            )
            break
    for one, other in pairwise(taken):
        if one.gen == other.gen:
            wrong.append(f"{one.mark} and {other.mark} were both taken under one number")
        elif other.parent != one.gen:
            wrong.append(f"{other.mark} was taken on {other.parent}, and {one.mark} came between")
    return wrong


def reads(record: Record, last: register.Found | None) -> list[str]:
    """Orders and reads are those of one register."""
    taken = [o for o in record.taken()]
    writes = [register.Write(o.gen, o.sent, o.acked) for o in taken]
    found = [register.Found(r.gen, r.sent, r.heard) for r in record.reads] + (
        [last] if last else []
    )
    for order in record.orders.values():
        late = [s for s in order.refusals if s.status == 412]
        found += [register.Found(order.parent, s.sent, s.heard, True) for s in late]
    marks = {o.gen: o.mark for o in taken}
    wrong = [
        f"version {r.gen} was read as {r.mark}, and is {marks[r.gen]}"
        for r in record.reads
        if r.mark and r.mark != marks.get(r.gen, r.mark)
    ][:3]
    one = register.first_broken(writes, found)
    return wrong + ([one] if one else [])


def served(record: Record) -> list[str]:
    """No ingress serves by an older version than was acknowledged before, and none goes back in a
    life."""
    wrong, taken = [], record.taken()
    acks = sorted((o.acked, o.gen) for o in taken if o.acked < NEVER)
    shown = {
        line.request: record.orders[line.tenant].gen
        for line in record.ledger.ran
        if line.tenant in record.orders
    }
    last: dict[tuple[str, int], int] = {}
    for probe in record.probes:
        if (gen := shown.get(probe.request)) is None:
            continue
        before = max((g for acked, g in acks if acked < probe.sent), default=0)
        if gen < before:
            wrong.append(f"{probe.edge}: version {gen} though {before} was acknowledged before")
        if gen < last.get((probe.edge, probe.life), 0):
            wrong.append(f"{probe.edge}: went back to version {gen}")
        last[probe.edge, probe.life] = gen
    return wrong


def drains(record: Record) -> list[str]:
    wrong = []
    for id, acked in record.drained:
        calm = record.settled(acked - SETTLED, acked + DRAINED)
        bound = DRAINED if calm else LONG_DRAINED
        late = [
            line for line in record.ledger.arrived if line.server == id and line.at > acked + bound
        ]
        if late:
            wrong.append(
                f"{id} drains, and got {len(late)}, the last {late[-1].at - acked:.1f} s after"
            )
    return wrong


def moves(record: Record) -> list[str]:
    wrong = []
    for move in record.moves:
        late = [
            line
            for line in record.ledger.arrived
            if line.zone == move.zone and move.acked + EVACUATED < line.at < move.over
        ]
        if late:
            wrong.append(
                f"{move.zone} is evacuated, and got {len(late)} requests, "
                f"the last {late[-1].at - move.acked:.1f} s after"
            )
    return wrong


def steady(beats: list[Beat]) -> Iterator[tuple[float, float]]:
    """Spans in which a server was acknowledged all the time, from STEADY s after their begin."""
    begin = end = -NEVER
    for beat in sorted(beats, key=lambda b: b.heard):
        if beat.heard - end > GAP:
            if end > begin + STEADY:
                yield begin + STEADY, end
            begin = beat.heard
        end = beat.heard
    if end > begin + STEADY:
        yield begin + STEADY, end


def missing(shown: list[Shown], id: str, begin: float, end: float) -> list[tuple[float, float]]:
    """Spans within these in which an operator was told of no such server."""
    spans: list[tuple[float, float]] = []
    out = False
    for one in shown:
        if begin <= one.sent and one.heard <= end:
            if id not in one.ready:
                spans = (
                    [*spans[:-1], (spans[-1][0], one.heard)]
                    if out
                    else [*spans, (one.sent, one.heard)]
                )
            out = id not in one.ready
    return spans


def gone(record: Record) -> list[str]:
    """Nobody who beats all the time is called gone for long, or again and again."""
    wrong = []
    beats: dict[str, list[Beat]] = {}
    for beat in record.ledger.beats:
        if beat.state == "ready":
            beats.setdefault(beat.server, []).append(beat)
    shown = sorted(record.shown, key=lambda s: s.sent)
    for id, mine in beats.items():
        for begin, end in steady(mine):
            spans = missing(shown, id, begin, end)
            long = [b - a for a, b in spans if b - a > GONE]
            calm = [s for s in spans if record.settled(s[0] - GONE, s[0])]
            if long:
                wrong.append(
                    f"{id} is acknowledged all the time, and called gone for {max(long):.1f} s"
                )
            elif len(calm) >= FLAPS:
                wrong.append(
                    f"{id} is acknowledged all the time, and called gone {len(calm)} times"
                )
    return wrong


def alone(record: Record) -> list[str]:
    """One that has no contact for long confirms nothing."""
    wrong = []
    said = [(b.address, f"a beat of {b.server}", b.sent, b.heard) for b in record.ledger.beats]
    said += [(r.address, f"a read of {r.gen}", r.sent, r.heard) for r in record.reads]
    said += [
        (s.address, f"{o.mark} with {s.status}", s.sent, s.heard)
        for o in record.orders.values()
        for s in o.sendings
        if s.status
    ]
    said += [(s.address, s.what, s.sent, s.heard) for s in record.said]
    for one in record.isolations:
        mine = [
            s for s in said if s[0] == one.address and s[2] > one.begin + ALONE and s[3] < one.end
        ]
        if mine:
            span, after = one.end - one.begin, mine[0][2] - one.begin
            wrong.append(
                f"{one.address} hears nobody for {span:.0f} s, and after {after:.1f} s "
                f"it answered {mine[0][1]} (so {len(mine)} times)"
            )
    return wrong


def most_within(times: list[float], window: float) -> int:
    most, first, times = 0, 0, sorted(times)
    for count, at in enumerate(times, 1):
        while times[first] <= at - window:
            first += 1
        most = max(most, count - first)
    return most


def bounds(
    record: Record,
    heard: list[Heard],
    slo: dict[str, Any],
    services: tuple[str, ...],
    rate: float,
    burst: float,
    warm_per_s: float,
) -> list[str]:
    """No window with more in it than its bound. `rate` and `burst` are of the tenant "south"."""
    wrong, ledger = [], record.ledger
    greedy = [line.at for line in ledger.ran if line.tenant == "south"]
    bound = (rate * 5.0 + burst) * (1 + slo["quotaOverrun"]) + slo["quotaSlack"]
    if (most := most_within(greedy, 5.0)) > bound:
        wrong.append(f"quota: {most} ran in 5 s, where {bound:.0f} are allowed")
    bound = warm_per_s * slo["warmupOverrun"] + slo["warmupSlack"]
    for id in {line.server for line in ledger.arrived}:
        starts = [line.at for line in ledger.arrived if line.server == id and line.cold]
        if (most := most_within(starts, 1.0)) > bound:
            wrong.append(f"cold: {most} came to {id} in 1 s, where {bound:.0f} are allowed")
    for service in services:
        asked = [h.sent for h in heard if h.path.startswith(f"/{service}/")]
        seen: set[str] = set()
        again = []
        for line in ledger.arrived:
            if line.service == service:
                if line.request in seen:
                    again.append(line.at)
                seen.add(line.request)
        for at in again:
            most = sum(1 for other in again if at - 10.0 < other <= at)
            bound = (
                slo["retryRatio"]
                * max(
                    sum(1 for sent in asked if start <= sent < start + 10.0)
                    for start in (at - 10.0, at - 15.0, at - 20.0)
                )
                + slo["retrySlack"]
            )
            if most > bound:
                wrong.append(
                    f"further tries: {most} at {service} in 10 s, where {bound:.1f} are allowed"
                )
                break
    return wrong


def newest(record: Record) -> Order | None:
    """Of those acknowledged."""
    return max(
        (o for o in record.orders.values() if o.acked < NEVER), key=lambda o: o.gen, default=None
    )
