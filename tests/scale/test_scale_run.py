"""The scale run: its counts against plain ones, the fit on made-up points, what it refuses, and its
end."""

import json
import math
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest

from cairndale.chaos.world import ROOT
from cairndale.configuration.route_table import RouteTable
from cairndale.http_api.server import Response
from cairndale.ingress.net.engine import NameTable, _merge_by_name
from cairndale.lookup.selection import LookupResponder
from cairndale.rpc import protocol_pb2 as pb
from cairndale.scale import __main__ as scale
from cairndale.scale import pages, sums
from cairndale.scale.content import content, turned
from cairndale.scale.fit import fitted
from cairndale.scale.sizes import Size, errors_of
from cairndale.scale.sweeps import sweeps
from cairndale.scale.tally import changes, returned, spread, summed
from tests.control.test_state_models import content as configuration
from tests.control.test_state_models import route

# The fit.


def test_a_power_is_found_again():
    made = fitted([30, 100, 300, 1000], [0.5 * n**1.43 for n in (30, 100, 300, 1000)])
    assert made.power == pytest.approx(1.43) and made.factor == pytest.approx(0.5)
    assert max(map(abs, made.residuals)) < 1e-9 and made.error == pytest.approx(0, abs=1e-9)
    assert made.at(6300) == pytest.approx([0.5 * 6300**1.43] * 3)


def test_residuals_and_the_range_are_those_of_the_points():
    """Points off a line by e^d, -2 e^d, e^d at even distances: the slope stays, the errors are
    known."""
    d = 0.1
    made = fitted([1, math.e, math.e**2], [math.exp(d), math.exp(1 - 2 * d), math.exp(2 + d)])
    assert made.power == pytest.approx(1)
    assert made.residuals == pytest.approx((d, -2 * d, d))
    assert made.error == pytest.approx(math.sqrt(6 * d * d / 1 / 2))
    middle, low, high = made.at(math.e**3)
    off = 2 * made.error * 3 + 2 * d
    assert math.log(high / middle) == pytest.approx(off) and math.log(
        middle / low
    ) == pytest.approx(off)


NONE = [([3], [4]), ([3, 3], [4, 5]), ([1, 2], [0, 1]), ([0, 2], [1, 1])]


def test_two_points_leave_the_range_without_bound():
    middle, low, high = fitted([10, 100], [1, 10]).at(1000)
    assert middle == pytest.approx(100) and (low, high) == (0, math.inf)


@pytest.mark.parametrize(("sizes", "values"), NONE)
def test_what_has_no_slope_is_refused(sizes, values):
    with pytest.raises(ValueError):
        fitted(sizes, values)


# What is made of records.


def test_orders_are_followed_to_each_ingress_against_a_plain_search():
    rng = random.Random(5)
    updates = [(10.0 * n, n) for n in range(1, 9)]
    served = [
        {str(gen): before + rng.uniform(0.1, 9.0) for before, gen in updates if rng.random() < 0.7}
        for _ in range(30)
    ]
    plain = []
    for ingress in served:
        for before, gen in updates:
            later = [ingress[str(g)] for g in range(gen, 9) if str(g) in ingress]
            plain.append(min(later) - before if later else None)
    assert list(spread(updates, served)) == pytest.approx(plain)
    told = sorted(p for p in plain if p is not None)
    made = changes([(1.0, 1.5), (2.0, 4.0), (5.0, 5.1)], updates, served)
    assert (made["count"], made["acked_p50"], made["acked_last"]) == pytest.approx((3, 0.5, 2.0))
    assert (
        made["served_last"] == pytest.approx(told[-1]) and made["unserved"] == plain.count(None) > 0
    )


def test_what_an_ingress_served_by_before_the_call_is_not_taken_for_it():
    assert list(spread([(10.0, 3)], [{"3": 9.0}, {"2": 11.0}, {"4": 12.0}])) == [None, None, 2.0]


def test_a_return_is_over_when_the_last_is_there():
    assert returned([0.1, 0.2, 0.3, 0.9], 4) == {"p50": 0.3, "p99": 0.9, "last": 0.9, "share": 1.0}
    assert returned([0.1, 0.2, 0.3], 4) == {"p50": 0.3, "p99": -1.0, "last": -1.0, "share": 0.75}
    assert returned([], 4)["p50"] == -1.0


def test_a_role_is_the_mean_of_its_processes_and_the_worst_of_their_delays():
    row = {
        "cpu": 0.2,
        "waited": 0.1,
        "bytes_out": 10,
        "bytes_in": 4,
        "messages_out": 2,
        "mb": 30,
        "late_p50": 0.1,
        "late_p99": 0.2,
        "late_most": 0.3,
        "kinds": {"watch_request": 2.0},
    }
    other = row | {
        "cpu": 0.4,
        "waited": 0.3,
        "mb": 50,
        "late_most": 0.1,
        "kinds": {"watch_response": 4.0},
    }
    made = summed([row, other])
    assert made["waited"] == pytest.approx(0.2)
    assert made["cpu"] == pytest.approx(0.3) and made["mb"] == 50 and made["late_most"] == 0.3
    assert made["kinds"] == {"watch_request": 1.0, "watch_response": 2.0} and made["processes"] == 2


def run_of(**grown):
    size = {"ingresses": 30, "servers": 100, "tenants": 200, "routes": 60} | grown
    out = 2.0 * size["ingresses"] + 0.5 * size["servers"]
    roles = {"leader": {"bytes_out": out, "processes": 1}}
    return {"size": size, "roles": roles, "hollow": {"with a lease": 1.0}, "changes": {"count": 3}}


def test_causes_that_add_up_are_told_apart_and_added_up_again():
    """The slopes of each cause over a base that is nearly nothing give the whole at the target."""
    base = run_of(ingresses=1e-6, servers=1e-6)
    kept = {sums.BASE: base}
    kept |= {f"ingresses-{n}": run_of(ingresses=n, servers=1e-6) for n in (100, 300)}
    kept |= {f"servers-{n}": run_of(ingresses=1e-6, servers=n) for n in (400, 1600)}
    assert [n for n, _ in sums.of_cause(kept, "servers")] == [
        sums.BASE,
        "servers-400",
        "servers-1600",
    ]
    middle, low, high = sums.at_target(kept, "leader", "bytes_out")
    assert low <= middle <= high and middle == pytest.approx(2.0 * 6300 + 0.5 * 20_000, rel=0.35)
    alone = {f"ingresses-{n}": run_of(ingresses=n, servers=0) for n in (30, 100, 300)}
    # the base is in once
    assert sums.at_target(alone, "leader", "bytes_out")[0] == pytest.approx(2.0 * 6300)
    # what does not work is no point of a slope
    kept["ingresses-300"]["hollow"] = {"with a lease": 0.5}
    made = sums.slope(kept, "ingresses", "leader", "bytes_out")
    assert made is not None and [p[0] for p in made.points] == [sums.BASE, "ingresses-100"]


def test_of_later_runs_those_that_reach_furthest_are_carried_on():
    kept = {f"rounds-{n}": run_of(ingresses=n, servers=0) for n in (30, 100, 1000)}
    kept |= {f"batches-{n}": run_of(ingresses=n, servers=0) for n in (30, 100, 300)}
    assert sums.furthest(kept, "leader", "bytes_out").cause == "rounds"
    kept["batches-1000"] = run_of(ingresses=1000, servers=0)
    assert sums.furthest(kept, "leader", "bytes_out").cause == "batches"
    assert sums.furthest({}, "leader", "bytes_out") is None


def test_the_page_says_what_the_runs_say():
    """Whoever changes a figure by hand, or a run without the page, is seen here."""
    page = pages.PAGE.read_text()
    kept = sums.runs(pages.FOLDER)
    assert pages.filled(page, kept) == page and page.count("<!-- table ") == len(pages.TABLES)
    name, told = next(iter(kept.items()))
    told["roles"]["leader"]["cpu"] += 1.0
    changed = pages.filled(page, kept)
    assert changed != page and f"`{name}`" in changed
    with pytest.raises(ValueError, match="nothing"):
        pages.filled("<!-- table nothing --><!-- end nothing -->", kept)


def test_a_sweep_is_read_from_its_digest():
    found = {s.head: s for s in sweeps(pages.FOLDER)}["b744691"]
    assert found.sizes == (30, 100, 300) and found.at("core: processor %", 300) == 97.9
    assert found.at("config acked, ms", 100) == 2690 and found.at("config acked, ms", 300) is None
    assert found.at("core: processor %", 10) is None


# Look-ups.


def test_answers_that_are_kept_are_those_of_a_plain_look_and_name_all_ingresses_between_them():
    rng, nodes, kept = random.Random(6), {}, [LookupResponder(f"own{n}") for n in range(60)]
    plain, route_table = (
        LookupResponder("own0"),
        RouteTable(configuration(routes=[route(homeRegions=["r1"])])),
    )

    def fresh(target: str) -> Response:
        return LookupResponder("own0").answer(target, nodes.values(), 5.0, route_table, None)

    for turn in range(60):  # they come, change and go, within one answer and beyond
        for _ in range(5):
            name = f"e{rng.randrange(260)}"
            nodes[name] = pb.Node(
                name=name,
                kind="edge",
                http_address=f"10.0.0.{name[1:]}:80",
                region=f"r{rng.randrange(2)}",
                zone="z",
                ready=rng.random() < 0.9,
                draining=rng.random() < 0.05,
            )
        nodes.pop(f"e{rng.randrange(260)}", None)
        for region in ("r0", "r1", "none"):
            target = f"/-/lookup?name={rng.choice(('x', 'a.example'))}&region={region}&zone=y"
            for _ in range(2):
                answer = kept[0].answer(target, nodes.values(), 5.0, route_table, turn)
                assert answer == fresh(target)
                assert plain.answer(target, nodes.values(), 5.0, route_table, object()) == answer
    before = kept[0].answer("/-/lookup?region=none", nodes.values(), 5.0, route_table, -1)
    # nothing is looked at for it
    assert kept[0].answer("/-/lookup?region=none", (), 5.0, route_table, -1) == before
    fit = {n.http_address for n in nodes.values() if n.ready and not n.draining}
    answers = [k.answer("/-/lookup?x=y", nodes.values(), 5.0, route_table, 0)[1] for k in kept]
    told = [set(json.loads(answer)["addrs"]) for answer in answers]
    assert len(fit) > 100 and all(len(t) == 64 for t in told) and set.union(*told) == fit
    gone = next(n for n in nodes.values() if n.http_address in told[0])
    del nodes[gone.name]
    _, later = fresh("/-/lookup?x=y")
    assert len(told[0] - set(json.loads(later)["addrs"])) == 1  # the others' connections stay


# Configurations.


def test_an_update_changes_one_route_of_the_whole():
    before, after = content(1, 7, 3, 2, 10), content(2, 7, 3, 2, 11)
    update = turned(2, 1, 7, 2, 11)
    (changed,) = update["upsert"]["routes"]
    assert [r for r in after["routes"] if r["name"] == changed["name"]] == [changed]
    assert changed not in before["routes"] and len(after["tenants"]) == 3 and update["parent"] == 1


class Compared:
    """A named entry that counts how often it is compared."""

    count = 0

    def __init__(self, name: str, rate: int) -> None:
        self.name, self.rate = name, rate

    def __eq__(self, other: object) -> bool:
        Compared.count += 1
        return isinstance(other, Compared) and (self.name, self.rate) == (other.name, other.rate)

    def __hash__(self) -> int:
        return hash((self.name, self.rate))


def test_other_settings_of_many_tenants_are_taken_up_in_one_pass():
    """Against the plain search, and with comparisons that grow as the tenants do and not as their
    square."""
    rng = random.Random(3)
    before = [Compared(f"t{n}", rng.randrange(3)) for n in range(300)]
    now = [Compared(f"t{n}", rng.randrange(3)) for n in range(100, 400)]
    by_name = {entry.name: entry for entry in now}
    kept = [by_name.get(entry.name, entry) for entry in before]
    plain = tuple(kept + [entry for entry in now if entry not in kept])
    Compared.count = 0
    found = _merge_by_name(before, now)
    settings = SimpleNamespace(classes=(), plans=found, fleet_size=1, load_fields=())
    names = NameTable(settings, {}, SimpleNamespace(classes=(), plans=tuple(now)))
    assert Compared.count < 4 * 400
    assert found == plain
    assert names.plans == {e.name.encode(): n for n, e in enumerate(plain) if e in now}


# Sizes.


def test_all_that_is_wrong_is_said_at_once(capsys):
    wrong = {"ingresses": 0, "servers": 50_000, "seconds": 0, "regions": 99, "services": 60_000}
    assert scale.main([f"--{name}={value}" for name, value in wrong.items()]) == 2
    told = capsys.readouterr().err.splitlines()
    said = {line.split()[0] for line in told}
    assert said == {f"--{name}" for name in wrong}
    assert all("at least" in line or "at most" in line for line in told)


def test_what_is_too_large_is_told_what_would_fit():
    size, machine = Size(ingresses=10_000, servers=40_000, services=10), 6000.0
    error, *others = errors_of(size, machine, 20_000)
    assert {e.split()[1] for e in (error, *others)} == {"processes:", "MB:"}
    words = error.split()
    fits = replace(
        size,
        ingresses=int(words[words.index("--ingresses") + 1]),
        servers=int(words[words.index("--servers") + 1]),
    )
    assert fits.ingresses > 1000 and errors_of(fits, machine, 20_000) == []
    assert errors_of(Size(), machine, 20_000) == []
    assert "descriptors" in errors_of(Size(), machine, 100)[0]


# A run.


def session(leader: int) -> list[int]:
    """Processes of the session that this one leads."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                state = (entry / "stat").read_text().rpartition(")")[2].split()[0]
                if state != "Z" and os.getsid(int(entry.name)) == leader:
                    found.append(int(entry.name))
            except (OSError, IndexError):
                continue
    return found


def begin(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "cairndale.scale", *arguments],
        cwd=ROOT,
        text=True,
        start_new_session=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def test_a_small_run_ends_well_and_counts_right(tmp_path):
    file = tmp_path / "told.json"
    run = begin(
        "--ingresses",
        "20",
        "--servers",
        "50",
        "--tenants",
        "40",
        "--seconds",
        "3",
        "--changes-per-s",
        "2",
        "--cores",
        "3",
        "--real",
        "1",
        "--steady",
        "--json",
        str(file),
    )
    out, err = run.communicate(timeout=90)
    assert run.returncode == 0, err
    assert session(run.pid) == []
    told = json.loads(file.read_text())
    roles, simulated = told["roles"], told["hollow"]
    assert "leader" in out and {
        r: roles[r]["processes"] for r in ("leader", "follower", "real ingress")
    } == {"leader": 1, "follower": 2, "real ingress": 1}
    assert (simulated["ingresses"], simulated["servers"], simulated["tenants"]) == (20, 50, 20 * 40)
    assert (
        told["changes"]["count"] >= 1 and told["changes"]["unserved"] == 0 and told["refused"] == 0
    )

    # One count at both ends: whatever asks is answered, and the bytes that the leader sends come
    # somewhere.
    def per_s(role: str, kind: str) -> float:
        return roles[role]["kinds"].get(kind, 0.0) * roles[role]["processes"]

    asked = sum(
        per_s(role, "watch_request") for role in ("hollow ingresses", "real ingress", "follower")
    )
    assert per_s("leader", "watch_response") == pytest.approx(asked, rel=0.25)
    assert per_s("leader", "quota_response") == pytest.approx(
        per_s("hollow ingresses", "quota_request"), rel=0.4
    )
    sent = sum(
        row["bytes_out"] * row["processes"]
        for role, row in roles.items()
        if role != "hollow servers"
    )
    come = sum(
        row["bytes_in"] * row["processes"]
        for role, row in roles.items()
        if role != "hollow servers"
    )
    assert come == pytest.approx(sent, rel=0.25)
    beats = 50 / 1.5  # a second
    assert roles["hollow servers"]["messages_out"] == pytest.approx(beats, rel=0.4)
    assert simulated["beats_lost"] == 0 and 0.98 <= simulated["with a lease"] <= 1
    body = roles["hollow servers"]["bytes_out"] / roles["hollow servers"]["messages_out"]
    assert 200 < body < 400  # of one heartbeat
    assert told["commit"] and told["machine"]["processors"] == os.cpu_count()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_one_that_is_stopped_leaves_no_process(number):
    run = begin("--ingresses", "20", "--servers", "50", "--cores", "3", "--real", "0")
    assert run.stdout and "beginning" in run.stdout.readline()
    until = time.monotonic() + 30
    while len(session(run.pid)) < 3 and time.monotonic() < until:
        time.sleep(0.02)
    run.send_signal(number)
    _, err = run.communicate(timeout=30)
    assert run.returncode == 130 and "stopped" in err
    assert session(run.pid) == []
