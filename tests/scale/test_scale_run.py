"""The scale run: its counts against independent ones, the fit on known points, rejected sizes, and
its shutdown."""

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
from cairndale.scale.content import content, route_update
from cairndale.scale.fit import fit_power_law
from cairndale.scale.sizes import Size, errors_of
from cairndale.scale.sweeps import sweeps
from cairndale.scale.tally import change_latencies, recovery_times, role_usage, update_delays
from tests.control.test_state_models import content as configuration
from tests.control.test_state_models import route

# The fit.


def test_a_power_law_is_recovered():
    fit = fit_power_law([30, 100, 300, 1000], [0.5 * n**1.43 for n in (30, 100, 300, 1000)])
    assert fit.power == pytest.approx(1.43) and fit.factor == pytest.approx(0.5)
    assert max(map(abs, fit.residuals)) < 1e-9 and fit.error == pytest.approx(0, abs=1e-9)
    assert fit.predict(6300) == pytest.approx([0.5 * 6300**1.43] * 3)


def test_residuals_error_and_range_match_known_points():
    """The logarithms of evenly spaced points are off a line by d, -2d, d: the slope is that of the
    line, and the errors are known."""
    d = 0.1
    fit = fit_power_law([1, math.e, math.e**2], [math.exp(d), math.exp(1 - 2 * d), math.exp(2 + d)])
    assert fit.power == pytest.approx(1)
    assert fit.residuals == pytest.approx((d, -2 * d, d))
    assert fit.error == pytest.approx(math.sqrt(6 * d * d / 1 / 2))
    middle, low, high = fit.predict(math.e**3)
    log_margin = 2 * fit.error * 3 + 2 * d
    assert math.log(high / middle) == pytest.approx(log_margin) and math.log(
        middle / low
    ) == pytest.approx(log_margin)


UNFITTABLE = [([3], [4]), ([3, 3], [4, 5]), ([1, 2], [0, 1]), ([0, 2], [1, 1])]


def test_two_points_leave_the_range_unbounded():
    middle, low, high = fit_power_law([10, 100], [1, 10]).predict(1000)
    assert middle == pytest.approx(100) and (low, high) == (0, math.inf)


@pytest.mark.parametrize(("sizes", "values"), UNFITTABLE)
def test_points_without_a_slope_are_rejected(sizes, values):
    with pytest.raises(ValueError):
        fit_power_law(sizes, values)


# Summaries of records.


def test_change_latencies_match_a_plain_search():
    rng = random.Random(5)
    updates = [(10.0 * n, n) for n in range(1, 9)]
    served = [
        {
            str(gen): called_at + rng.uniform(0.1, 9.0)
            for called_at, gen in updates
            if rng.random() < 0.7
        }
        for _ in range(30)
    ]
    expected = []
    for ingress in served:
        for called_at, gen in updates:
            later = [ingress[str(g)] for g in range(gen, 9) if str(g) in ingress]
            expected.append(min(later) - called_at if later else None)
    assert list(update_delays(updates, served)) == pytest.approx(expected)
    expected_delays = sorted(p for p in expected if p is not None)
    latencies = change_latencies([(1.0, 1.5), (2.0, 4.0), (5.0, 5.1)], updates, served)
    assert (latencies["count"], latencies["acked_p50"], latencies["acked_last"]) == pytest.approx(
        (3, 0.5, 2.0)
    )
    assert (
        latencies["served_last"] == pytest.approx(expected_delays[-1])
        and latencies["unserved"] == expected.count(None) > 0
    )


def test_a_generation_served_before_the_call_does_not_count():
    assert list(update_delays([(10.0, 3)], [{"3": 9.0}, {"2": 11.0}, {"4": 12.0}])) == [
        None,
        None,
        2.0,
    ]


def test_recovery_is_complete_with_the_last_ingress():
    assert recovery_times([0.1, 0.2, 0.3, 0.9], 4) == {
        "p50": 0.3,
        "p99": 0.9,
        "last": 0.9,
        "share": 1.0,
    }
    assert recovery_times([0.1, 0.2, 0.3], 4) == {
        "p50": 0.3,
        "p99": -1.0,
        "last": -1.0,
        "share": 0.75,
    }
    assert recovery_times([], 4)["p50"] == -1.0


def test_role_usage_is_the_mean_of_costs_and_the_maximum_of_delays():
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
    usage = role_usage([row, other])
    assert usage["waited"] == pytest.approx(0.2)
    assert usage["cpu"] == pytest.approx(0.3) and usage["mb"] == 50 and usage["late_most"] == 0.3
    assert (
        usage["kinds"] == {"watch_request": 1.0, "watch_response": 2.0} and usage["processes"] == 2
    )


def make_result(**sizes):
    size = {"ingresses": 30, "servers": 100, "tenants": 200, "routes": 60} | sizes
    bytes_out = 2.0 * size["ingresses"] + 0.5 * size["servers"]
    roles = {"leader": {"bytes_out": bytes_out, "processes": 1}}
    return {"size": size, "roles": roles, "hollow": {"with a lease": 1.0}, "changes": {"count": 3}}


def test_additive_causes_are_separated_and_added_up():
    """Over a base of nearly zero, the slopes of the causes add up to the cost at the target."""
    base = make_result(ingresses=1e-6, servers=1e-6)
    kept = {sums.BASE: base}
    kept |= {f"ingresses-{n}": make_result(ingresses=n, servers=1e-6) for n in (100, 300)}
    kept |= {f"servers-{n}": make_result(ingresses=1e-6, servers=n) for n in (400, 1600)}
    assert [n for n, _ in sums.runs_of_cause(kept, "servers")] == [
        sums.BASE,
        "servers-400",
        "servers-1600",
    ]
    middle, low, high = sums.at_target(kept, "leader", "bytes_out")
    assert low <= middle <= high and middle == pytest.approx(2.0 * 6300 + 0.5 * 20_000, rel=0.35)
    ingresses_only = {f"ingresses-{n}": make_result(ingresses=n, servers=0) for n in (30, 100, 300)}
    # the base is counted once
    assert sums.at_target(ingresses_only, "leader", "bytes_out")[0] == pytest.approx(2.0 * 6300)
    # a run without leases is no point of a slope
    kept["ingresses-300"]["hollow"] = {"with a lease": 0.5}
    slope = sums.slope(kept, "ingresses", "leader", "bytes_out")
    assert slope is not None and [p[0] for p in slope.points] == [sums.BASE, "ingresses-100"]


def test_the_widest_series_is_extrapolated_and_the_newest_of_equal_ones():
    kept = {f"rounds-{n}": make_result(ingresses=n, servers=0) for n in (30, 100, 1000)}
    kept |= {f"batches-{n}": make_result(ingresses=n, servers=0) for n in (30, 100, 300)}
    assert sums.widest_slope(kept, "leader", "bytes_out").cause == "rounds"
    kept["batches-1000"] = make_result(ingresses=1000, servers=0)
    assert sums.widest_slope(kept, "leader", "bytes_out").cause == "batches"
    assert sums.widest_slope({}, "leader", "bytes_out") is None


def test_the_page_matches_the_kept_runs():
    """Fails if a figure was changed by hand, or a run was kept without updating the page."""
    page = pages.PAGE.read_text()
    kept = sums.load_runs(pages.FOLDER)
    assert pages.fill_tables(page, kept) == page and page.count("<!-- table ") == len(pages.TABLES)
    name, result = next(iter(kept.items()))
    result["roles"]["leader"]["cpu"] += 1.0
    changed = pages.fill_tables(page, kept)
    assert changed != page and f"`{name}`" in changed
    with pytest.raises(ValueError, match="nothing"):
        pages.fill_tables("<!-- table nothing --><!-- end nothing -->", kept)


def test_a_sweep_is_read_from_its_digest():
    sweep = {s.head: s for s in sweeps(pages.FOLDER)}["b744691"]
    assert sweep.sizes == (30, 100, 300) and sweep.at("core: processor %", 300) == 97.9
    assert sweep.at("config acked, ms", 100) == 2690 and sweep.at("config acked, ms", 300) is None
    assert sweep.at("core: processor %", 10) is None


# Look-ups.


def test_cached_lookups_match_uncached_ones_and_together_name_all_ingresses():
    rng, nodes, responders = random.Random(6), {}, [LookupResponder(f"own{n}") for n in range(60)]
    uncached, route_table = (
        LookupResponder("own0"),
        RouteTable(configuration(routes=[route(homeRegions=["r1"])])),
    )

    def compute(target: str) -> Response:
        return LookupResponder("own0").answer(target, nodes.values(), 5.0, route_table, None)

    for turn in range(60):  # ingresses join, change and leave, fewer and more than fit one answer
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
                answer = responders[0].answer(target, nodes.values(), 5.0, route_table, turn)
                assert answer == compute(target)
                assert uncached.answer(target, nodes.values(), 5.0, route_table, object()) == answer
    before = responders[0].answer("/-/lookup?region=none", nodes.values(), 5.0, route_table, -1)
    # the answer comes from the cache, so the nodes are not read
    assert responders[0].answer("/-/lookup?region=none", (), 5.0, route_table, -1) == before
    serving = {n.http_address for n in nodes.values() if n.ready and not n.draining}
    answers = [
        k.answer("/-/lookup?x=y", nodes.values(), 5.0, route_table, 0)[1] for k in responders
    ]
    named = [set(json.loads(answer)["addrs"]) for answer in answers]
    assert (
        len(serving) > 100
        and all(len(addresses) == 64 for addresses in named)
        and set.union(*named) == serving
    )
    removed = next(n for n in nodes.values() if n.http_address in named[0])
    del nodes[removed.name]
    _, answer_after = compute("/-/lookup?x=y")
    assert (
        len(named[0] - set(json.loads(answer_after)["addrs"])) == 1
    )  # the others' connections stay


# Configurations.


def test_a_route_update_changes_one_route():
    before, after = content(1, 7, 3, 2, 10), content(2, 7, 3, 2, 11)
    update = route_update(2, 1, 7, 2, 11)
    (changed,) = update["upsert"]["routes"]
    assert [r for r in after["routes"] if r["name"] == changed["name"]] == [changed]
    assert changed not in before["routes"] and len(after["tenants"]) == 3 and update["parent"] == 1


class CountingEntry:
    """A named entry that counts how often it is compared."""

    count = 0

    def __init__(self, name: str, rate: int) -> None:
        self.name, self.rate = name, rate

    def __eq__(self, other: object) -> bool:
        CountingEntry.count += 1
        return isinstance(other, CountingEntry) and (self.name, self.rate) == (
            other.name,
            other.rate,
        )

    def __hash__(self) -> int:
        return hash((self.name, self.rate))


def test_changed_settings_of_many_tenants_are_applied_in_one_pass():
    """The result equals that of a plain search, with a number of comparisons that is linear, not
    quadratic, in the tenants."""
    rng = random.Random(3)
    before = [CountingEntry(f"t{n}", rng.randrange(3)) for n in range(300)]
    now = [CountingEntry(f"t{n}", rng.randrange(3)) for n in range(100, 400)]
    by_name = {entry.name: entry for entry in now}
    carried_over = [by_name.get(entry.name, entry) for entry in before]
    expected = tuple(carried_over + [entry for entry in now if entry not in carried_over])
    CountingEntry.count = 0
    followed = _merge_by_name(before, now)
    settings = SimpleNamespace(classes=(), plans=followed, fleet_size=1, load_fields=())
    names = NameTable(settings, {}, SimpleNamespace(classes=(), plans=tuple(now)))
    assert CountingEntry.count < 4 * 400
    assert followed == expected
    assert names.plans == {e.name.encode(): n for n, e in enumerate(expected) if e in now}


# Sizes.


def test_all_size_errors_are_reported_at_once(capsys):
    wrong = {"ingresses": 0, "servers": 50_000, "seconds": 0, "regions": 99, "services": 60_000}
    assert scale.main([f"--{name}={value}" for name, value in wrong.items()]) == 2
    errors = capsys.readouterr().err.splitlines()
    reported = {line.split()[0] for line in errors}
    assert reported == {f"--{name}" for name in wrong}
    assert all("at least" in line or "at most" in line for line in errors)


def test_an_oversized_run_is_told_what_would_fit():
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


def session_processes(leader: int) -> list[int]:
    """Return the processes of the session that this process leads."""
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


def start_run(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "cairndale.scale", *arguments],
        cwd=ROOT,
        text=True,
        start_new_session=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def test_a_small_run_succeeds_and_counts_correctly(tmp_path):
    file = tmp_path / "result.json"
    run = start_run(
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
    assert session_processes(run.pid) == []
    result = json.loads(file.read_text())
    roles, simulated = result["roles"], result["hollow"]
    assert "leader" in out and {
        r: roles[r]["processes"] for r in ("leader", "follower", "real ingress")
    } == {"leader": 1, "follower": 2, "real ingress": 1}
    assert (simulated["ingresses"], simulated["servers"], simulated["tenants"]) == (20, 50, 20 * 40)
    assert (
        result["changes"]["count"] >= 1
        and result["changes"]["unserved"] == 0
        and result["refused"] == 0
    )

    # Senders and receivers must count the same: each request is answered, and all bytes sent are
    # received.
    def per_s(role: str, kind: str) -> float:
        return roles[role]["kinds"].get(kind, 0.0) * roles[role]["processes"]

    watch_requests_per_s = sum(
        per_s(role, "watch_request") for role in ("hollow ingresses", "real ingress", "follower")
    )
    assert per_s("leader", "watch_response") == pytest.approx(watch_requests_per_s, rel=0.25)
    assert per_s("leader", "quota_response") == pytest.approx(
        per_s("hollow ingresses", "quota_request"), rel=0.4
    )
    sent = sum(
        row["bytes_out"] * row["processes"]
        for role, row in roles.items()
        if role != "hollow servers"
    )
    received = sum(
        row["bytes_in"] * row["processes"]
        for role, row in roles.items()
        if role != "hollow servers"
    )
    assert received == pytest.approx(sent, rel=0.25)
    heartbeats_per_s = 50 / 1.5
    assert roles["hollow servers"]["messages_out"] == pytest.approx(heartbeats_per_s, rel=0.4)
    assert simulated["beats_lost"] == 0 and 0.98 <= simulated["with a lease"] <= 1
    heartbeat_bytes = roles["hollow servers"]["bytes_out"] / roles["hollow servers"]["messages_out"]
    assert 200 < heartbeat_bytes < 400
    assert result["commit"] and result["machine"]["processors"] == os.cpu_count()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_stopped_run_leaves_no_process(number):
    run = start_run("--ingresses", "20", "--servers", "50", "--cores", "3", "--real", "0")
    assert run.stdout and "beginning" in run.stdout.readline()
    until = time.monotonic() + 30
    while len(session_processes(run.pid)) < 3 and time.monotonic() < until:
        time.sleep(0.02)
    run.send_signal(number)
    _, err = run.communicate(timeout=30)
    assert run.returncode == 130 and "stopped" in err
    assert session_processes(run.pid) == []
