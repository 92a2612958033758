"""The lab as a whole: determinism, the judge, scenarios, experiments, reports."""

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
from cairndale.lab.policies import BASELINES, Plain, maker
from cairndale.lab.record import Record
from cairndale.lab.simulate import Sight, simulate

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


def lab(*args: str, **more: Any) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cairndale.lab", *args]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, **more)


# Virtual time.


def test_the_same_seed_gives_the_same_bytes_in_every_process_whatever_the_hash_seed(
    tmp_path: Path,
) -> None:
    (tmp_path / "short.toml").write_text(SHORT)
    script = (
        "import sys, hashlib; from cairndale.lab import draw, policies, scenario, simulate\n"
        "r = simulate.simulate(draw.day(scenario.load(sys.argv[1]), 4), policies.maker('module'))\n"
        "t = b''.join(c.tobytes() for n in sorted(r.tables) for c in r.tables[n].columns)\n"
        "print(hashlib.sha256(t).hexdigest(), len(r.tries))"
    )
    said = [
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
    assert said[0] == said[1] and int(said[0].split()[1]) > 300


@pytest.mark.parametrize("name", sorted(set(scenario.shipped()) - {"fleet-200"}))
def test_the_module_breaks_no_rule_on_a_shipped_scenario_and_every_try_ends(name: str) -> None:
    day = draw.day(scenario.load(name), 2)
    record = simulate(day, maker("module"))
    verdict = judge(day, record)
    assert verdict.broken == [] and verdict.kinds["none"] == 0
    assert 0.5 < verdict.g < 1 and verdict.sends > 100
    served = record.tries["kind"] == rec.SERVED
    assert (record.tries["ended"][served] <= record.tries["until"][served] + 10_000).all()


# The judge.


def test_a_gateway_that_breaks_one_rule_is_caught_at_that_rule_and_the_sound_one_is_not() -> None:
    class ToTheCold(Plain):
        """Sends all to the server that has started last."""

        def choose(self, ready: list[it.ListedBackend]) -> it.ListedBackend:
            return max(ready, key=lambda b: b.started)

    release = SHORT.replace("len_s = 3\npart = 0.5", "len_s = 3\npart = 0.1").replace(
        "zone_cut", "drain"
    )
    release = release.replace("length_s = 8", "length_s = 20").replace(
        "servers = 6", "servers = 12"
    )

    def plain(made: type[Plain]) -> Callable[[it.Settings, int, Sight], Plain]:
        return lambda settings, seed, sight: made(settings, seed, sight)

    day = draw.day(scenario.parse(release, "release"), 1)
    broken: dict[str, set[str]] = {}
    for name, make in {
        "sound": maker("module"),
        "cold": plain(ToTheCold),
        "ceiling": maker("let-all-in"),
    }.items():
        broken[name] = set(judge(day, simulate(day, make)).counts)
    assert broken["sound"] == set()
    assert (
        "ceiling" in broken["ceiling"]
        and "cold" in broken["cold"]
        and "cold" not in broken["ceiling"]
    )


def scripted() -> tuple[draw.Day, Record]:
    """Two requests of one member, both served in time, by the book."""
    day, record = draw.day(scenario.parse(SHORT, "short"), 1), Record()
    for n in (1, 2):
        at = n * 1_000_000
        record.tries.add(n, n, 77, 0, 0, 0, at, at, at + 3_000_000, at + 200_000, rec.SERVED, 0)
        record.sends.add(n, 0, 0, at + 1000, at + 2000, at + 199_000, rec.OK, 150_000, 1)
    return day, record


def drained(record: Record) -> None:
    record.tells.add(1_500_000, 0, 0, rec.DRAINING)
    record.sends.add(2, 0, 0, 1_500_000 + 250_001, 1_800_000, -1, rec.OPEN, 0, 0)


def in_maintenance(record: Record) -> None:
    record.maintenance.add(1_000_000, 0, 0, 1)
    record.tells.add(1_100_000, 0, 0, rec.UP)  # what the list says does not count


def never_answered(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, -1, rec.NONE, 0)


def answered_late(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, 5_700_000, rec.FAILED, 0)


def cut_off(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, 2_100_000, rec.BROKEN, 0)


def made_up(record: Record) -> None:
    record.tries.add(3, 3, 77, 0, 0, 0, 2_000_000, 2_000_000, 5_000_000, 2_100_000, rec.SERVED, 0)


def unasked(record: Record) -> None:
    record.sends.add(99, 0, 1, 2_000_000, 2_001_000, 2_100_000, rec.OK, 1000, 0)


def too_often(record: Record) -> None:
    for n in range(6):
        record.sends.add(2, 0, n % 3, 2_000_000 + n, 2_001_000 + n, -1, rec.OPEN, 0, 0)


def over_the_ceiling(record: Record) -> None:
    for n in range(3, 60):
        record.tries.add(
            n, n, 77, 0, 0, 0, 3_000_000, 3_000_000, 6_000_000, 3_100_000, rec.SERVED, 0
        )
        record.sends.add(n, 0, 0, 3_000_000, 3_001_000, 3_090_000, rec.OK, 1000, 1)


def over_its_memory(record: Record) -> None:
    record.process.add(1_000_000, 0, 0, 193 * 1024, 100)


@pytest.mark.parametrize(
    ("breaks", "rule"),
    [
        (lambda record: None, ""),
        (drained, "drain"),
        (in_maintenance, "drain"),
        (never_answered, "lost"),
        (answered_late, "lost"),
        (cut_off, "lost"),
        (made_up, "lost"),
        (unasked, "duplicates"),
        (too_often, "duplicates"),
        (over_the_ceiling, "ceiling"),
        (over_its_memory, "limits"),
        (lambda record: record.falls.add(3_000_000, 1), "cold"),
        (lambda record: record.faults.add(3_000_000, 3, 0, 1), "crash"),
        (lambda record: record.faults.add(3_000_000, 2, 5, 0), "answers"),
    ],
)
def test_the_judge_names_the_one_rule_that_a_record_breaks(
    breaks: Callable[[Record], Any], rule: str
) -> None:
    day, record = scripted()
    breaks(record)
    verdict = judge(day, record)
    assert set(verdict.counts) == ({rule} if rule else set())
    assert all(b.text for b in verdict.broken)


def test_what_a_dead_gateway_had_taken_is_not_held_against_it_and_the_clients_own_leaving_neither() -> (  # noqa: E501
    None
):
    day, record = scripted()
    never_answered(record)
    cut_off(record)
    record.absent.add(0, 1_900_000, 2_500_000)
    record.tries.add(4, 4, 77, 0, 0, 0, 5_000_000, 5_000_000, 8_000_000, -1, rec.GONE, 0)
    assert judge(day, record).broken == []


def test_worth_is_what_was_answered_in_time_inside_the_quota_over_what_was_asked_inside_it() -> (
    None
):
    day, record = scripted()
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
    assert judge(day, record).whole == 1.0  # a client's retry belongs to its first try


# Scenarios.


def test_every_error_of_a_scenario_is_said_at_once_with_its_key_and_nothing_is_started(
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
    ran = lab("experiment", str(path), "--out", str(tmp_path / "out"))
    assert ran.returncode == 2 and not (tmp_path / "out").exists()
    for key in (
        "colour: not known",
        "'traffic' is meant",
        "fleet.servers",
        "server.cores",
        "trouble[1].kind",
        "trouble[1].at_s",
        "plan[0].rate",
    ):
        assert key in ran.stderr
    assert all(line.startswith("bad.toml: ") for line in ran.stderr.splitlines())
    path.write_text(
        'name = "bad"\nlength_s = 10\n[clients]\nretries = [3, 1]\n'
        '[[trouble]]\nkind = "drain"\nat_s = 8\n'
        'server = "s-99"\n[[trouble]]\nkind = "zone_cut"\nat_s = 1\nzone = "hall"\n'
    )
    with pytest.raises(scenario.ScenarioError) as error:
        scenario.load(str(path))
    assert len(error.value.errors) == 4  # the range, the end, the server, the zone


def test_every_parameter_says_its_origin_and_the_page_names_every_scenario_and_baseline() -> None:
    known = ("site", "bench", "protocol", "brief", "guess", "deployment", "page")
    for key, _, text in scenario.parameters():
        assert (
            key.startswith("trouble[]") or any(k in text for k in known) or text in ("s", "names")
        ), key
    text = (ROOT / "docs/lab.md").read_text()
    assert all(f"`{name}`" in text for name in (*scenario.shipped(), *BASELINES))


def test_a_variant_is_a_baseline_a_checkout_or_other_settings_and_anything_else_is_refused() -> (
    None
):
    made = Variant.parse(f"module@{ROOT}+ceilings.max_attempts=2", list(BASELINES))
    assert (made.policy, made.checkout, made.told) == (
        "module",
        str(ROOT),
        (("ceilings.max_attempts", 2),),
    )
    for bad in ("modul", "module@/nowhere", "module+x", "module+x=y"):
        with pytest.raises(VariantError):
            Variant.parse(bad, list(BASELINES))
    run = Run(SHORT, "short", "module", "module", 1, "sim", "", told=[("ceilings.max_attemps", 2)])
    with pytest.raises(scenario.ScenarioError):
        play(run)
    assert len({slug(t) for t in ("a@/x", "a@/y", "a@_x")}) == 3


# Experiments.


def plan(folder: Path, seeds: list[int]) -> experiment.Plan:
    variants = [Variant.parse(v, list(BASELINES)) for v in ("module", "even-split")]
    text = SHORT.replace("length_s = 8", "length_s = 7")
    return experiment.Plan({"short": text}, variants, seeds, ["sim"], folder, 2)


async def test_an_experiment_that_was_stopped_goes_on_and_ends_as_an_unbroken_one(
    tmp_path: Path,
) -> None:
    whole = await experiment.carry_out(plan(tmp_path / "whole", [1, 2]), lambda _: None)
    assert (whole.done, whole.kept, whole.failed) == (4, 0, [])
    await experiment.carry_out(plan(tmp_path / "parts", [1]), lambda _: None)
    files = {p: p.stat().st_mtime_ns for p in (tmp_path / "parts/runs").iterdir()}
    (tmp_path / "parts/runs/short--module--s2--sim.json.1.tmp").write_text("half")
    rest = await experiment.carry_out(plan(tmp_path / "parts", [1, 2]), lambda _: None)
    assert (rest.done, rest.kept) == (4, 2)
    assert all(p.stat().st_mtime_ns == when for p, when in files.items())  # nothing played twice
    figures = [
        {
            (r["variant"], r["seed"]): (r["verdict"], r["series"])
            for r in experiment.results(tmp_path / name)
        }
        for name in ("whole", "parts")
    ]
    assert figures[0] == figures[1]
    rows = experiment.results(tmp_path / "whole")
    (found,) = (d for d in experiment.differences(rows, "module", ("g",)))
    assert found.pairs == 2 and found.low <= found.mean <= found.high and found.mean < 0
    assert experiment.failures(rows, "module", ["g<-0.001"]) and not experiment.failures(
        rows, "module", ["broken"]
    )
    with pytest.raises(experiment.ExperimentError):
        experiment.failures(rows, "module", ["speed<-1"])


async def test_a_run_that_fails_is_named_and_the_others_are_kept(tmp_path: Path) -> None:
    made = plan(tmp_path, [1])
    made.variants[0] = Variant("module@/nowhere", "module", "/nowhere")
    progress = await experiment.carry_out(made, lambda _: None)
    assert progress.done == 1 and len(progress.failed) == 1 and "No such file" in progress.failed[0]


def test_reports_stand_with_no_result_with_one_and_without_anything_served(tmp_path: Path) -> None:
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


def test_the_papers_filters_agree_where_nothing_is_scarce_and_differ_as_it_says_where_tokens_are() -> (  # noqa: E501
    None
):
    new = paper.arrivals(1, 100.0, 200)
    assert 60 < len(new) / 200 < 140 and (new[1:] >= new[:-1]).all()
    made = {
        "bucket": paper.Bucket(120, 120),
        "firm": paper.Bucket(120, 120, True),
        "abacus": paper.Abacus(120, 120),
    }
    came = {name: paper.run(f.decide, new, 1, 75.0) for name, f in made.items()}
    assert came["bucket"].throughput >= came["abacus"].throughput >= came["firm"].throughput
    assert came["bucket"].delay > came["abacus"].delay > came["firm"].delay == 0.0
    assert came["bucket"].rejected == came["firm"].timed_out == 0.0
    for wide in (paper.Bucket(1e6, 1e6), paper.Abacus(1e6, 1e6)):
        assert paper.run(wide.decide, new, 1, 75.0).throughput == 1.0


# Live.


def children(pid: int) -> list[int]:
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except (OSError, IndexError):
                continue
            if parent == pid:
                found.append(int(entry.name))
    return found


def started(folder: Path, length: int, **more: Any) -> subprocess.Popen[str]:
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
        **more,
    )


def test_a_live_run_with_a_killed_ingress_keeps_the_rules_and_leaves_its_report(
    tmp_path: Path,
) -> None:
    ran = started(tmp_path, 2)
    said, _ = ran.communicate(timeout=60)
    (path,) = (tmp_path / "out/runs").glob("*.json")
    row = json.loads(path.read_text())
    verdict = row["verdict"]
    assert verdict["broken"] == [], said
    assert verdict["kinds"]["served"] > 30 and verdict["kinds"]["none"] == 0
    assert verdict["kinds"]["unreached"] + verdict["kinds"]["broken"] > 0  # the killed one's
    assert row["series"]["process"].keys() == {"0", "1"}
    assert (tmp_path / "out/report.html").exists() and ran.returncode == (
        1 if verdict["void"] else 0
    )


def test_what_cannot_be_done_live_is_said_before_anything_starts(tmp_path: Path) -> None:
    lists = '[discovery]\nuse = "list-service"\n'
    for text, wanted in (
        (SHORT + lists, "zones cannot be cut off"),
        (SHORT.replace("= 4", "= 256").replace("servers = 6", "servers = 256"), "descriptors"),
    ):
        (tmp_path / "short.toml").write_text(text)
        more = {"preexec_fn": lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))}
        ran = lab(
            "run", str(tmp_path / "short.toml"), "--live", "--out", str(tmp_path / "out"), **more
        )
        assert ran.returncode == 1 and wanted in ran.stderr, ran.stderr


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_of_a_live_run_outlives_the_tool(tmp_path: Path, number: signal.Signals) -> None:
    ran, end = started(tmp_path, 60), time.monotonic() + 60
    # stand-ins, two ingresses, the loader
    while len(mine := children(ran.pid)) < 4 and time.monotonic() < end:
        time.sleep(0.05)
    assert len(mine) == 4
    ran.send_signal(number)
    code = ran.wait(timeout=60)
    assert code == (130 if number == signal.SIGINT else -signal.SIGKILL)
    while any(alive(pid) for pid in mine) and time.monotonic() < end:
        time.sleep(0.02)
    assert not any(alive(pid) for pid in mine)


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_the_ingress_imports_neither_the_lab_nor_its_libraries() -> None:
    script = (
        "import sys, cairndale.ingress.__main__, cairndale.ingress.adapter; "
        "print(sorted(sys.modules))"
    )
    said = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, timeout=60
    ).stdout
    loaded = {m.split(".")[0] if not m.startswith("cairndale") else m for m in eval(said)}
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
    ours = ("cairndale.lab", "cairndale.ingress.cli", "cairndale.ingress.observability")
    assert not any(m.startswith(ours) for m in loaded)


async def test_a_port_refuses_is_silent_and_comes_back_under_the_same_number() -> None:
    class Greeter(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            transport.write(b"hi")  # type: ignore[attr-defined]

    port = Port(Greeter)

    async def said() -> str:
        try:
            async with asyncio.timeout(0.3):
                reader, writer = await asyncio.open_connection("127.0.0.1", port.number)
                found = (await reader.read(2)).decode()
                writer.close()
                return found
        except OSError as error:  # TimeoutError is one
            return type(error).__name__

    seen = [await said()]
    for act in (port.refuse, port.open, port.stop_answering, port.open, port.refuse):
        act()
        seen.append(await said())
    assert seen == [
        "hi",
        "ConnectionRefusedError",
        "hi",
        "TimeoutError",
        "hi",
        "ConnectionRefusedError",
    ]
