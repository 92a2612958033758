"""End-to-end tests of the lab: determinism, judge, scenarios, experiments, reports, live runs."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cairndale.ingress.policy import interface as it
from cairndale.lab import draw, experiment, paper, report, scenario
from cairndale.lab import record as rec
from cairndale.lab.judge import Verdict, judge
from cairndale.lab.live.standins import Port
from cairndale.lab.play import Run, Variant, VariantError, play, slug
from cairndale.lab.policies import BASELINES, Unlimited, policy_factory
from cairndale.lab.record import Record
from cairndale.lab.simulate import GlobalView, simulate

ROOT = Path(__file__).parents[2]
SHORT = """
name = "short"
length_s = 8
[fleet]
gateways = 4
servers = 6
[[trouble]]
kind = "gateways_killed"
at_s = 2
len_s = 1
[[trouble]]
kind = "release"
at_s = 3
len_s = 3
part = 0.5
[[trouble]]
kind = "zone_cut"
at_s = 5
len_s = 2
"""


def run_lab(*args: str, **kwargs: Any) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cairndale.lab", *args]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, **kwargs)


# Simulated runs.


def test_same_seed_gives_identical_records_for_any_hash_seed(
    tmp_path: Path,
) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    script = (
        "import sys, hashlib; from cairndale.lab import draw, policies, scenario, simulate\n"
        "day = draw.day(scenario.load(sys.argv[1]), 4)\n"
        "r = simulate.simulate(day, policies.policy_factory('module'))\n"
        "t = b''.join(c.tobytes() for n in sorted(r.tables) for c in r.tables[n].columns)\n"
        "print(hashlib.sha256(t).hexdigest(), len(r.tries))"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", script, str(tmp_path / "short.toml")],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env=os.environ | {"PYTHONHASHSEED": seed},
            timeout=60,
        ).stdout
        for seed in ("0", "77")
    ]
    assert outputs[0] == outputs[1] and int(outputs[0].split()[1]) > 300


@pytest.mark.parametrize("name", sorted(set(scenario.shipped()) - {"fleet-200"}))
def test_policy_breaks_no_rule_in_shipped_scenarios(name: str) -> None:
    day = draw.day(scenario.load(name), 2)
    record = simulate(day, policy_factory("module"))
    verdict = judge(day, record)
    assert verdict.broken == [] and verdict.kinds["none"] == 0
    assert 0.5 < verdict.g < 1 and verdict.sends > 100
    served = record.tries["kind"] == rec.SERVED
    assert (record.tries["ended"][served] <= record.tries["until"][served] + 10_000).all()


# The judge.


def test_judge_reports_the_rule_that_a_faulty_policy_breaks() -> None:
    class NewestServerOnly(Unlimited):
        """Sends every request to the server that started last."""

        def choose(self, ready: list[it.ListedBackend]) -> it.ListedBackend:
            return max(ready, key=lambda b: b.started)

    release = SHORT.replace("len_s = 3\npart = 0.5", "len_s = 3\npart = 0.1").replace(
        "zone_cut", "drain"
    )
    release = release.replace("length_s = 8", "length_s = 20").replace(
        "servers = 6", "servers = 12"
    )

    def factory(
        policy_class: type[Unlimited],
    ) -> Callable[[it.Settings, int, GlobalView], Unlimited]:
        return lambda settings, seed, view: policy_class(settings, seed, view)

    day = draw.day(scenario.parse(release, "release"), 1)
    broken: dict[str, set[str]] = {}
    for name, make in {
        "sound": policy_factory("module"),
        "cold": factory(NewestServerOnly),
        "ceiling": policy_factory("let-all-in"),
    }.items():
        broken[name] = set(judge(day, simulate(day, make)).counts)
    assert broken["sound"] == set()
    assert (
        "ceiling" in broken["ceiling"]
        and "cold" in broken["cold"]
        and "cold" not in broken["ceiling"]
    )


def valid_record() -> tuple[draw.Day, Record]:
    """Two requests of one member, both served in time, with no rule broken."""
    day, record = draw.day(scenario.parse(SHORT, "short"), 1), Record()
    for n in (1, 2):
        at = n * 1_000_000
        record.tries.add(n, n, 77, 0, 0, 0, at, at, at + 3_000_000, at + 200_000, rec.SERVED, 0)
        record.sends.add(n, 0, 0, at + 1000, at + 2000, at + 199_000, rec.OK, 150_000, 1)
    return day, record


def sent_to_draining_server(record: Record) -> None:
    record.tells.add(1_500_000, 0, 0, rec.DRAINING)
    record.sends.add(2, 0, 0, 1_500_000 + 250_001, 1_800_000, -1, rec.OPEN, 0, 0)


def sent_to_server_in_maintenance(record: Record) -> None:
    record.maintenance.add(1_000_000, 0, 0, 1)
    record.tells.add(1_100_000, 0, 0, rec.UP)  # maintenance takes precedence over the endpoint list


def never_answered(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, -1, rec.NONE, 0)


def answered_late(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, 5_700_000, rec.FAILED, 0)


def answer_truncated(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, 2_100_000, rec.BROKEN, 0)


def answer_without_server(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, 2_100_000, rec.SERVED, 0)


def sent_without_request(record: Record) -> None:
    record.sends.add(99, 0, 1, 2_000_000, 2_001_000, 2_100_000, rec.OK, 1000, 0)


def too_many_attempts(record: Record) -> None:
    for n in range(6):
        record.sends.add(2, 0, n % 3, 2_000_000 + n, 2_001_000 + n, -1, rec.OPEN, 0, 0)


def above_rate_limit(record: Record) -> None:
    for n in range(3, 60):
        record.tries.add(
            n, n, 77, 0, 0, 0, 3_000_000, 3_000_000, 6_000_000, 3_100_000, rec.SERVED, 0
        )
        record.sends.add(n, 0, 0, 3_000_000, 3_001_000, 3_090_000, rec.OK, 1000, 1)


def above_memory_limit(record: Record) -> None:
    record.process.add(1_000_000, 0, 0, 193 * 1024, 100)


@pytest.mark.parametrize(
    ("add_violation", "rule"),
    [
        (lambda record: None, ""),
        (sent_to_draining_server, "drain"),
        (sent_to_server_in_maintenance, "drain"),
        (never_answered, "lost"),
        (answered_late, "lost"),
        (answer_truncated, "lost"),
        (answer_without_server, "lost"),
        (sent_without_request, "duplicates"),
        (too_many_attempts, "duplicates"),
        (above_rate_limit, "ceiling"),
        (above_memory_limit, "limits"),
        (lambda record: record.falls.add(3_000_000, 1), "cold"),
        (lambda record: record.faults.add(3_000_000, 3, 0, 1), "crash"),
        (lambda record: record.faults.add(3_000_000, 2, 5, 0), "answers"),
    ],
)
def test_judge_reports_the_rule_that_a_record_breaks(
    add_violation: Callable[[Record], Any], rule: str
) -> None:
    day, record = valid_record()
    add_violation(record)
    verdict = judge(day, record)
    assert set(verdict.counts) == ({rule} if rule else set())
    assert all(b.text for b in verdict.broken)


def test_judge_ignores_requests_of_a_crashed_ingress_and_client_disconnects() -> None:
    day, record = valid_record()
    never_answered(record)
    answer_truncated(record)
    record.absent.add(0, 1_900_000, 2_500_000)
    record.tries.add(4, 4, 77, 0, 0, 0, 5_000_000, 5_000_000, 8_000_000, -1, rec.GONE, 0)
    assert judge(day, record).broken == []


def test_value_is_timely_answers_over_requests_within_quota() -> None:
    day, record = valid_record()
    assert judge(day, record).whole == 1.0
    late = record.tries.add(
        3, 3, 77, 0, 0, 0, 3_000_000, 3_000_000, 6_000_000, 4_300_000, rec.SERVED, 0
    )
    record.sends.add(3, 0, 0, 3_001_000, 3_002_000, 4_299_000, rec.OK, 150_000, 1)
    verdict = judge(day, record)
    assert (
        late == 2
        and verdict.whole == pytest.approx(2 / 3)
        and verdict.worst_plan == pytest.approx(2 / 3)
    )
    record.tries.add(4, 3, 77, 0, 0, 0, 3_000_000, 3_500_000, 6_000_000, 4_100_000, rec.SERVED, 0)
    record.sends.add(4, 0, 0, 3_501_000, 3_502_000, 4_099_000, rec.OK, 150_000, 1)
    assert judge(day, record).whole == 1.0  # a client's retry counts toward its original request


# Scenarios.


def test_all_scenario_errors_are_reported_with_their_keys_before_the_run(
    tmp_path: Path,
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(
        'name = "bad"\nlength_s = 10\ncolour = 1\n[fleet]\nservers = 0\n'
        '[trafic]\n[server]\ncores = "three"\n'
        '[clients]\nretries = [3, 1]\n[[trouble]]\nkind = "drain"\nat_s = 8\nserver = "s-99"\n'
        '[[trouble]]\nkind = "hot"\nat_s = -1\n'
        '[[plan]]\nname = "p"\nshare = 0.5\nrate = -1\nburst_s = 1\n'
    )
    result = run_lab("experiment", str(path), "--out", str(tmp_path / "out"))
    assert result.returncode == 2 and not (tmp_path / "out").exists()
    for key in (
        "colour: unknown key",
        "did you mean 'traffic'",
        "fleet.servers",
        "server.cores",
        "trouble[1].kind",
        "trouble[1].at_s",
        "plan[0].rate",
    ):
        assert key in result.stderr
    assert all(line.startswith("bad.toml: ") for line in result.stderr.splitlines())
    path.write_text(
        'name = "bad"\nlength_s = 10\n[clients]\nretries = [3, 1]\n'
        '[[trouble]]\nkind = "drain"\nat_s = 8\n'
        'server = "s-99"\n[[trouble]]\nkind = "zone_cut"\nat_s = 1\nzone = "hall"\n'
    )
    with pytest.raises(scenario.ScenarioError) as error:
        scenario.load(str(path))
    assert (
        len(error.value.errors) == 4
    )  # retries range, drain beyond the end, unknown server, unknown zone


def test_parameters_state_their_origin_and_docs_list_scenarios_and_baselines() -> None:
    known = ("site", "bench", "protocol", "brief", "guess", "deployment", "page")
    for key, _, text in scenario.parameters():
        assert (
            key.startswith("trouble[]") or any(k in text for k in known) or text in ("s", "names")
        ), key
    text = (ROOT / "docs/lab.md").read_text()
    assert all(f"`{name}`" in text for name in (*scenario.shipped(), *BASELINES))


def test_variants_are_parsed_and_invalid_ones_rejected() -> None:
    variant = Variant.parse(f"module@{ROOT}+ceilings.max_attempts=2", list(BASELINES))
    assert (variant.policy, variant.checkout, variant.told) == (
        "module",
        str(ROOT),
        (("ceilings.max_attempts", 2),),
    )
    for invalid in ("modul", "module@/nowhere", "module+x", "module+x=y"):
        with pytest.raises(VariantError):
            Variant.parse(invalid, list(BASELINES))
    run = Run(SHORT, "short", "module", "module", 1, "sim", "", told=[("ceilings.max_attemps", 2)])
    with pytest.raises(scenario.ScenarioError):
        play(run)
    assert len({slug(t) for t in ("a@/x", "a@/y", "a@_x")}) == 3


# Experiments.


def plan(folder: Path, seeds: list[int]) -> experiment.Plan:
    variants = [Variant.parse(v, list(BASELINES)) for v in ("module", "even-split")]
    text = SHORT.replace("length_s = 8", "length_s = 7")
    return experiment.Plan({"short": text}, variants, seeds, ["sim"], folder, 2)


async def test_resumed_experiment_equals_an_uninterrupted_one(
    tmp_path: Path,
) -> None:
    uninterrupted = await experiment.carry_out(plan(tmp_path / "whole", [1, 2]), lambda _: None)
    assert (uninterrupted.done, uninterrupted.kept, uninterrupted.failed) == (4, 0, [])
    await experiment.carry_out(plan(tmp_path / "parts", [1]), lambda _: None)
    files = {p: p.stat().st_mtime_ns for p in (tmp_path / "parts/runs").iterdir()}
    (tmp_path / "parts/runs/short--module--s2--sim.json.1.tmp").write_text("half")
    resumed = await experiment.carry_out(plan(tmp_path / "parts", [1, 2]), lambda _: None)
    assert (resumed.done, resumed.kept) == (4, 2)
    assert all(
        p.stat().st_mtime_ns == when for p, when in files.items()
    )  # no finished run is repeated
    figures = [
        {
            (r["variant"], r["seed"]): (r["verdict"], r["series"])
            for r in experiment.results(tmp_path / name)
        }
        for name in ("whole", "parts")
    ]
    assert figures[0] == figures[1]
    rows = experiment.results(tmp_path / "whole")
    (difference,) = (d for d in experiment.differences(rows, "module", ("g",)))
    assert (
        difference.pairs == 2
        and difference.low <= difference.mean <= difference.high
        and difference.mean < 0
    )
    assert experiment.failures(rows, "module", ["g<-0.001"]) and not experiment.failures(
        rows, "module", ["broken"]
    )
    with pytest.raises(experiment.ExperimentError):
        experiment.failures(rows, "module", ["speed<-1"])


async def test_failed_run_is_reported_and_other_results_are_kept(tmp_path: Path) -> None:
    experiment_plan = plan(tmp_path, [1])
    experiment_plan.variants[0] = Variant("module@/nowhere", "module", "/nowhere")
    progress = await experiment.carry_out(experiment_plan, lambda _: None)
    assert progress.done == 1 and len(progress.failed) == 1 and "No such file" in progress.failed[0]


def test_reports_handle_no_results_one_result_and_nothing_served(tmp_path: Path) -> None:
    assert "Nothing has finished" in report.page([], "module", "empty")
    one = play(
        Run(
            SHORT.replace("length_s = 8", "length_s = 7"), "short", "module", "module", 1, "sim", ""
        )
    )
    none = json.loads(json.dumps(one)) | {"variant": "none", "verdict": Verdict().row()}
    none["series"] |= {
        "p50_ms": [None] * 4,
        "p99_ms": [None] * 4,
        "latency": [0] * len(one["series"]["latency"]),
    }
    page, summary = report.write_report([one, none], "module", tmp_path, "two")
    text = page.read_text()
    assert text.count("<img") == 3 and "http" not in text.replace("http://www.w3.org", "")
    assert "| short | module |" in summary.read_text()
    assert report.compared([one], [one])[0][5] == "+0.0000"


def test_paper_filters_differ_only_when_tokens_are_scarce() -> None:
    arrivals = paper.arrivals(1, 100.0, 200)
    assert 60 < len(arrivals) / 200 < 140 and (arrivals[1:] >= arrivals[:-1]).all()
    filters = {
        "bucket": paper.Bucket(120, 120),
        "firm": paper.Bucket(120, 120, True),
        "abacus": paper.Abacus(120, 120),
    }
    results = {
        name: paper.run(request_filter.decide, arrivals, 1, 75.0)
        for name, request_filter in filters.items()
    }
    assert (
        results["bucket"].throughput >= results["abacus"].throughput >= results["firm"].throughput
    )
    assert results["bucket"].delay > results["abacus"].delay > results["firm"].delay == 0.0
    assert results["bucket"].rejected == results["firm"].timed_out == 0.0
    for unlimited in (paper.Bucket(1e6, 1e6), paper.Abacus(1e6, 1e6)):
        assert paper.run(unlimited.decide, arrivals, 1, 75.0).throughput == 1.0


# Live runs.


def child_pids(pid: int) -> list[int]:
    pids = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except (OSError, IndexError):
                continue
            if parent == pid:
                pids.append(int(entry.name))
    return pids


def start_live_run(folder: Path, length: int, **kwargs: Any) -> subprocess.Popen[str]:
    text = (
        SHORT.split("[[trouble]]")[0]
        .replace("length_s = 8", f"length_s = {length}")
        .replace("gateways = 4", "gateways = 2")
    )
    text += '[[trouble]]\nkind = "gateways_killed"\nat_s = 0.7\nlen_s = 0.5\npart = 0.5\n'
    (folder / "short.toml").write_text(text)
    command = [sys.executable, "-m", "cairndale.lab", "run", str(folder / "short.toml"), "--live"]
    return subprocess.Popen(
        [*command, "--out", str(folder / "out")],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        **kwargs,
    )


def test_live_run_with_a_killed_ingress_keeps_the_rules_and_writes_its_report(
    tmp_path: Path,
) -> None:
    process = start_live_run(tmp_path, 2)
    output, _ = process.communicate(timeout=60)
    (path,) = (tmp_path / "out/runs").glob("*.json")
    row = json.loads(path.read_text())
    verdict = row["verdict"]
    assert verdict["broken"] == [], output
    assert verdict["kinds"]["served"] > 30 and verdict["kinds"]["none"] == 0
    assert (
        verdict["kinds"]["unreached"] + verdict["kinds"]["broken"] > 0
    )  # requests of the killed ingress
    assert row["series"]["process"].keys() == {"0", "1"}
    assert (tmp_path / "out/report.html").exists() and process.returncode == (
        1 if verdict["void"] else 0
    )


def test_unsupported_live_runs_are_rejected_before_start(tmp_path: Path) -> None:
    lists = '[discovery]\nuse = "list-service"\n'
    for text, expected in (
        (SHORT + lists, "zones cannot be cut off"),
        (SHORT.replace("= 4", "= 256").replace("servers = 6", "servers = 256"), "descriptors"),
    ):
        (tmp_path / "short.toml").write_text(text)
        limits = {"preexec_fn": lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))}
        result = run_lab(
            "run", str(tmp_path / "short.toml"), "--live", "--out", str(tmp_path / "out"), **limits
        )
        assert result.returncode == 1 and expected in result.stderr, result.stderr


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_of_a_live_run_outlives_the_tool(tmp_path: Path, number: signal.Signals) -> None:
    process, end = start_live_run(tmp_path, 60), time.monotonic() + 60
    # The stand-ins, two ingresses and the loader.
    while len(pids := child_pids(process.pid)) < 4 and time.monotonic() < end:
        time.sleep(0.05)
    assert len(pids) == 4
    process.send_signal(number)
    code = process.wait(timeout=60)
    assert code == (130 if number == signal.SIGINT else -signal.SIGKILL)
    while any(is_running(pid) for pid in pids) and time.monotonic() < end:
        time.sleep(0.02)
    assert not any(is_running(pid) for pid in pids)


def is_running(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_ingress_does_not_import_the_lab_or_its_libraries() -> None:
    script = (
        "import sys, cairndale.ingress.__main__, cairndale.ingress.adapter; "
        "print(sorted(sys.modules))"
    )
    output = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, timeout=60
    ).stdout
    loaded = {m.split(".")[0] if not m.startswith("cairndale") else m for m in eval(output)}
    libraries = {
        "click",
        "rich",
        "numpy",
        "msgspec",
        "matplotlib",
        "hdrh",
        "structlog",
        "prometheus_client",
    }
    assert not loaded & libraries
    excluded = ("cairndale.lab", "cairndale.ingress.cli", "cairndale.ingress.observability")
    assert not any(m.startswith(excluded) for m in loaded)


async def test_port_can_refuse_go_silent_and_reopen_with_the_same_number() -> None:
    class Greeter(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            transport.write(b"hi")  # type: ignore[attr-defined]

    port = Port(Greeter)

    async def connect_result() -> str:
        try:
            async with asyncio.timeout(0.3):
                reader, writer = await asyncio.open_connection("127.0.0.1", port.number)
                greeting = (await reader.read(2)).decode()
                writer.close()
                return greeting
        except OSError as error:  # TimeoutError is one
            return type(error).__name__

    results = [await connect_result()]
    for act in (port.refuse, port.open, port.stop_answering, port.open, port.refuse):
        act()
        results.append(await connect_result())
    assert results == [
        "hi",
        "ConnectionRefusedError",
        "hi",
        "TimeoutError",
        "hi",
        "ConnectionRefusedError",
    ]
