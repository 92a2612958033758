"""The judge: from what the stand-ins saw alone, never from the program's own accounts.

Quotas, worth and prices as BRIEF and BENCH have them; the rules of BRIEF and PROTOCOL. A broken
rule names the request, the times and the server."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np

from cairndale.lab import record as rec
from cairndale.lab.draw import SECOND, Day
from cairndale.lab.record import Record

WINDOW = 10 * SECOND  # the worst one weighs (site [goal])
# share of its worth that a request costs which was held and never sent (PROTOCOL, 'Figures')
HELD_PRICE = 0.3
MOST_BROKEN = 20  # broken rules named, a rule
LIVE_CEILING = 150_000  # us of a ceiling's rate by which its slack grows on sockets (PROTOCOL)


@dataclass(slots=True)
class Broken:
    rule: str
    text: str


@dataclass(slots=True)
class Verdict:
    """What a run came to. Shares are of 1; `g` is what the bench calls G, before floor and top."""

    g: float = 0.0
    whole: float = 0.0
    worst_window: float = 0.0
    worst_plan: float = 0.0
    plans: dict[str, float] = field(default_factory=dict)
    prices: dict[str, float] = field(default_factory=dict)
    requests: int = 0
    tries: int = 0
    kinds: dict[str, int] = field(default_factory=dict)
    sends: int = 0
    beyond_quota: float = 0.0  # share of the units sent on
    refused_with_room: float = 0.0  # share of the tries: refused while half of the quota was unused
    calls_per_request: float = 0.0
    dials_per_send: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    broken: list[Broken] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)  # broken rules, by rule
    nearest_ceiling: float = 1.0  # the lowest store of a ceiling over its burst
    void: list[str] = field(default_factory=list)  # why the figures cannot be trusted

    def row(self) -> dict[str, Any]:
        return asdict(self)


class Store:
    __slots__ = ("at", "burst", "level", "rate")

    def __init__(self, rate: float, burst: float, at: int) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, at

    def fill(self, now: int) -> float:
        self.level = min(self.burst, self.level + self.rate * max(0, now - self.at) / SECOND)
        self.at = max(self.at, now)
        return self.level


def first_sends(record: Record) -> dict[int, int]:
    """When each try's first attempt had come whole to a server, us: it takes its units then."""
    ids, whole = record.sends["id"], record.sends["whole"]
    order = np.lexsort((whole, ids))
    order = order[whole[order] >= 0]
    sent, first = np.unique(ids[order], return_index=True)
    return dict(zip(sent.tolist(), whole[order][first].tolist(), strict=True))


class Judge:
    def __init__(self, day: Day, record: Record, live: bool = False) -> None:
        self.day, self.record, self.live = day, record, live
        self.verdict = Verdict()
        self.slack = int(day.scenario.rules.socket_slack_ms * 1000) if live else 0

    def judge(self) -> Verdict:
        v, tries = self.verdict, self.record.tries
        v.tries, v.sends = len(tries), len(self.record.sends)
        v.requests = int(np.sum(tries["id"] == tries["root"]))
        v.kinds = {k: int(np.sum(tries["kind"] == n)) for n, k in enumerate(rec.KINDS)}
        self.first = first_sends(self.record)
        self._quotas()
        self._worth()
        self._answers()
        self._drains()
        self._servers()
        self._stand_ins()
        for broken in v.broken:
            v.counts[broken.rule] = v.counts.get(broken.rule, 0) + 1
        return v

    def break_(self, rule: str, text: str) -> None:
        if sum(b.rule == rule for b in self.verdict.broken) < MOST_BROKEN:
            self.verdict.broken.append(Broken(rule, text))

    # Quotas and ceilings.

    def _quotas(self) -> None:
        tries, v = self.record.tries, self.verdict
        ids, customers, plans = (
            tries["id"].tolist(),
            tries["customer"].tolist(),
            tries["plan"].tolist(),
        )
        due, kinds, gateway = (
            tries["sent"].tolist(),
            tries["kind"].tolist(),
            tries["gateway"].tolist(),
        )
        events: dict[int, list[tuple[int, int, int]]] = defaultdict(list)
        for row, number in enumerate(ids):
            at = self.first.get(number)
            if at is not None:
                events[customers[row]].append((at, 0, row))
            if kinds[row] == rec.REFUSED:
                events[customers[row]].append((due[row], 1, row))
        self.inside: dict[int, bool] = {}
        room = beyond = units = 0
        lowest = 1.0
        for customer, found in events.items():
            plan = self.day.plans[plans[found[0][2]]]
            store, ceiling = (
                Store(plan.rate, plan.burst, 0),
                Store(plan.ceiling_rate, plan.ceiling_burst, 0),
            )
            slack = plan.ceiling_slack + (
                plan.ceiling_rate * LIVE_CEILING / SECOND if self.live else 0.0
            )
            for at, what, row in sorted(found):
                if what == 1:
                    room += store.fill(at) >= plan.burst / 2
                    continue
                units += 1
                inside = self.inside[ids[row]] = store.fill(at) >= 1.0
                store.level -= inside
                beyond += not inside
                if plan.ceiling_rate:
                    ceiling.fill(at)
                    ceiling.level -= 1.0
                    lowest = min(lowest, ceiling.level / plan.ceiling_burst)
                    if ceiling.level < -slack - 1e-9:
                        self.break_(
                            "ceiling",
                            f"request {ids[row]} of member {customer} ({plan.name}) "
                            "through gateway "
                            f"{gateway[row]} came "
                            f"to a server at {at / SECOND:.3f} s with the ceiling's store at "
                            f"{ceiling.level:.2f} "
                            f"(no lower than {-slack:.2f})",
                        )
        v.beyond_quota, v.nearest_ceiling = beyond / max(1, units), lowest
        v.refused_with_room = room / max(1, len(ids))

    # Worth.

    def _worth(self) -> None:
        """Offered: what one gateway that saw all first tries would let in, and `over_worth` of the
        rest."""
        tries, v, day = self.record.tries, self.verdict, self.day
        columns = {
            c: tries[c].tolist()
            for c in ("id", "root", "customer", "plan", "cls", "due", "ended", "kind")
        }
        firsts = [
            n for n, (a, b) in enumerate(zip(columns["id"], columns["root"], strict=True)) if a == b
        ]
        firsts.sort(key=lambda n: (columns["due"][n], columns["id"][n]))
        stores: dict[int, Store] = {}
        worth: dict[int, float] = {}
        within: dict[int, bool] = {}
        windows = max(1, -(-day.length // WINDOW))
        offered, served = np.zeros(windows), np.zeros(windows)
        by_plan = np.zeros((2, len(day.plans)))
        for n in firsts:
            plan, at = day.plans[columns["plan"][n]], columns["due"][n]
            full = day.classes[columns["cls"][n]].worth * plan.price
            store = stores.setdefault(columns["customer"][n], Store(plan.rate, plan.burst, 0))
            inside = within[columns["root"][n]] = store.fill(at) >= 1.0
            store.level -= inside
            worth[columns["root"][n]] = full
            offered[min(windows - 1, at // WINDOW)] += full if inside else plan.over_worth * full
            by_plan[0, columns["plan"][n]] += full if inside else 0.0
        best: dict[int, float] = {}
        over = late = held = 0.0
        latencies, ended_late = [], set()
        sent_on = self.first
        for n, number in enumerate(columns["id"]):
            root, plan = columns["root"][n], day.plans[columns["plan"][n]]
            cls, full = day.classes[columns["cls"][n]], worth.get(columns["root"][n], 0.0)
            took = columns["ended"][n] - columns["due"][n]
            if columns["kind"][n] == rec.SERVED:
                latencies.append(took)
                if took <= cls.aim_us:
                    gain = full if self.inside.get(number, False) else plan.over_worth * full
                    best[n] = gain
                    if gain > best.get(-1 - root, -1.0):
                        best[-1 - root] = gain
            if number in sent_on and not self.inside.get(number, True):
                over += plan.over_cost * full
            unserved = columns["kind"][n] != rec.SERVED
            if unserved and columns["kind"][n] != rec.GONE and number not in sent_on:
                began, until = int(tries["sent"][n]), int(tries["until"][n])
                if columns["ended"][n] < 0 or columns["ended"][n] - began > (until - began) / 2:
                    held += HELD_PRICE * full * (columns["kind"][n] != rec.UNREACHED)
            if unserved and (columns["ended"][n] < 0 or took > cls.aim_us):
                ended_late.add(root)
        for n in firsts:
            gain = best.get(-1 - columns["root"][n], 0.0)
            served[min(windows - 1, columns["due"][n] // WINDOW)] += gain
            if within[columns["root"][n]]:
                by_plan[1, columns["plan"][n]] += gain
            elif gain == 0.0:
                continue
            late += (
                worth[columns["root"][n]]
                if gain == 0.0 and columns["root"][n] in ended_late
                else 0.0
            )
        total = max(1e-9, float(offered.sum()))
        v.whole = min(1.0, float(served.sum()) / total)
        used = offered > offered.max(initial=0.0) * 0.05
        v.worst_window = min(1.0, float(np.min(served[used] / offered[used], initial=1.0)))
        shares = by_plan[1] / np.maximum(1e-9, by_plan[0])
        v.plans = {p.name: min(1.0, float(s)) for p, s in zip(day.plans, shares, strict=True)}
        v.worst_plan = min(
            (s for (p, s), o in zip(v.plans.items(), by_plan[0], strict=True) if o > 0), default=1.0
        )
        self._prices(total, over, late, held)
        goal = day.scenario.goal
        g = (
            goal.whole * v.whole
            + goal.worst_window * v.worst_window
            + goal.worst_plan * v.worst_plan
        )
        v.g = g - sum(v.prices.values())
        if latencies:
            v.p50_ms, v.p99_ms = (
                float(q) / 1000 for q in np.percentile(np.array(latencies), [50, 99])
            )

    def _prices(self, offered: float, over: float, late: float, held: float) -> None:
        v, day, sends, prices = self.verdict, self.day, self.record.sends, self.day.scenario.prices
        first = max(1, v.requests)
        zones = np.array([s.zone for s in day.servers])
        mine = np.array(day.gateway_zones)
        crossed = int(np.sum(zones[sends["server"]] != mine[sends["gateway"]])) if len(sends) else 0
        wasted = float(np.sum(sends["work"][sends["useful"] == 0])) if len(sends) else 0.0
        asked = float(self.record.figures.get("asked_work", 0.0)) or 1.0
        v.calls_per_request = len(self.record.calls) / first
        v.dials_per_send = len(self.record.dials) / max(1, v.sends)
        v.prices = {
            "counter": prices.counter * v.calls_per_request,
            "cross_zone": prices.cross_zone * crossed / first,
            "waste": prices.waste * wasted / asked,
            "late_fail": prices.late_fail * min(1.0, late / offered),
            "over_quota": over / offered,
            "held": held / offered,
        }

    # Rules.

    def _answers(self) -> None:
        """One final answer for each try, in time; none is owed by a gateway that was not there."""
        tries, rules = self.record.tries, self.day.scenario.rules
        slack = int(rules.answer_slack_ms * 1000) + self.slack
        gone: dict[int, list[tuple[int, int]]] = defaultdict(list)
        absent = self.record.absent
        for gateway, since, to in zip(
            absent["gateway"], absent["since"], absent["to"], strict=True
        ):
            gone[int(gateway)].append((int(since), int(to) if to >= 0 else 1 << 62))
        kind, ended, until = tries["kind"], tries["ended"], tries["until"]
        suspect = (kind == rec.NONE) | ((ended > until + slack) & (kind != rec.GONE))
        over = self.day.length + max(c.deadline_us for c in self.day.classes)
        for n in np.nonzero(suspect)[0].tolist():
            gateway, sent = int(tries["gateway"][n]), int(tries["sent"][n])
            end = int(until[n]) + slack
            away = any(a <= end and b >= sent for a, b in gone[gateway])
            if gateway < 0 or away or end > over:
                continue
            when = "never" if kind[n] == rec.NONE else f"at {ended[n] / SECOND:.3f} s"
            self.break_(
                "lost",
                f"request {int(tries['id'][n])} taken by gateway {gateway} at "
                f"{sent / SECOND:.3f} s was "
                f"answered {when}; "
                f"its time ended at {int(until[n]) / SECOND:.3f} s",
            )
        for n in np.nonzero(kind == rec.BROKEN)[0].tolist():
            gateway, at = int(tries["gateway"][n]), int(ended[n])
            if not any(a <= at + SECOND and b >= int(tries["sent"][n]) for a, b in gone[gateway]):
                self.break_(
                    "lost",
                    f"request {int(tries['id'][n])}: gateway {gateway} ended its "
                    "connection without an "
                    f"answer at "
                    f"{at / SECOND:.3f} s",
                )

    def _drains(self) -> None:
        """Nothing new later than the grace after a gateway was told, by list or by its
        operators."""
        sends, grace = (
            self.record.sends,
            int(self.day.scenario.rules.drain_grace_ms * 1000) + self.slack,
        )
        spells: dict[tuple[int, int], list[tuple[int, int, str]]] = defaultdict(list)
        since: dict[tuple[int, int], tuple[int, str]] = {}
        tells = self.record.tells
        rows = [
            (int(a), int(g), int(s), int(st) != rec.UP, rec.STATUS[int(st)])
            for a, g, s, st in zip(
                tells["at"], tells["gateway"], tells["server"], tells["status"], strict=True
            )
        ]
        hands = self.record.maintenance
        rows += [
            (int(a), int(g), -1 - int(s), bool(out), "in maintenance")
            for a, g, s, out in zip(
                hands["at"], hands["gateway"], hands["server"], hands["out"], strict=True
            )
        ]
        for at, gateway, server, out, why in sorted(rows):
            if out:
                since.setdefault((gateway, server), (at, why))
            elif (gateway, server) in since:
                begun, why = since.pop((gateway, server))
                spells[gateway, server].append((begun, at, why))
        for (gateway, server), (begun, why) in since.items():
            spells[gateway, server].append((begun, 1 << 62, why))
        if not spells or not len(sends):
            return
        gateways, servers, sent = sends["gateway"], sends["server"], sends["sent"]
        for (gateway, key), found in spells.items():
            server = key if key >= 0 else -1 - key
            mine = np.nonzero((gateways == gateway) & (servers == server))[0]
            for begun, to, why in found:
                for n in mine[(sent[mine] > begun + grace) & (sent[mine] < to)].tolist():
                    self.break_(
                        "drain",
                        f"request {int(sends['id'][n])} was sent to "
                        f"{self.day.servers[server].name} by "
                        f"gateway {gateway} "
                        f"at {sent[n] / SECOND:.3f} s; it was told {why} at {begun / SECOND:.3f} s",
                    )

    def _servers(self) -> None:
        falls = self.record.falls
        for at, server in zip(falls["at"].tolist(), falls["server"].tolist(), strict=True):
            sends = self.record.sends
            window = (
                (sends["server"] == server)
                & (sends["whole"] >= at - 3 * SECOND)
                & (sends["whole"] <= at)
            )
            by, counts = np.unique(sends["gateway"][window], return_counts=True)
            self.break_(
                "cold",
                f"{self.day.servers[server].name} was pushed over at {at / SECOND:.3f} s by "
                f"{int(counts.sum())} sends of "
                f"{len(by)} gateways in 3 s",
            )
        limits = self.day.scenario.limits
        process = self.record.process
        for name, most, unit in (
            ("memory_kb", limits.memory_mb * 1024, "kB"),
            ("descriptors", limits.sockets, ""),
        ):
            high = process[name]
            if len(high) and int(high.max()) > most:
                n = int(high.argmax())
                self.break_(
                    "limits",
                    f"gateway {int(process['gateway'][n])} held {int(high[n])} {unit} {name} at "
                    f"{int(process['at'][n]) / SECOND:.1f} s, {int(most)} allowed",
                )

    def _stand_ins(self) -> None:
        """What a stand-in saw that may never be, and attempts beyond those allowed."""
        faults, sends = self.record.faults, self.record.sends
        for at, code, a, b in zip(
            faults["at"], faults["code"], faults["a"], faults["b"], strict=True
        ):
            rule = ("duplicates", "lost", "answers", "crash")[int(code)]
            self.break_(
                rule, f"{rec.FAULTS[int(code)]}: {int(a)}, {int(b)} at {int(at) / SECOND:.3f} s"
            )
        known = np.isin(sends["id"], self.record.tries["id"])
        for n in np.nonzero(~known)[0].tolist():
            self.break_(
                "duplicates",
                f"{self.day.servers[int(sends['server'][n])].name} got request "
                f"{int(sends['id'][n])} "
                f"from gateway "
                f"{int(sends['gateway'][n])} at {int(sends['sent'][n]) / SECOND:.3f} s, "
                "which no client sent",
            )
        ids, counts = np.unique(sends["id"][sends["whole"] >= 0], return_counts=True)
        troubles = self.day.scenario.trouble
        allowed = [int(t.set["max_attempts"]) for t in troubles if "max_attempts" in t.set]
        most = max([self.day.scenario.limits.max_attempts, *allowed])
        for n in np.nonzero(counts > most)[0].tolist():
            self.break_(
                "duplicates",
                f"request {int(ids[n])} came to servers {int(counts[n])} times, {most} allowed",
            )
        tries = self.record.tries
        served = set(tries["id"][tries["kind"] == rec.SERVED].tolist())
        made = set(sends["id"][sends["outcome"] == rec.OK].tolist())
        for number in sorted(served - made)[:MOST_BROKEN]:
            self.break_("lost", f"request {number} was served with an answer that no server made")


def judge(day: Day, record: Record, live: bool = False) -> Verdict:
    return Judge(day, record, live).judge()
