"""The `ironledge` command line: configuration files, commands against real processes, logs and
metrics."""

from __future__ import annotations

import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET

from cairndale.ingress.cli import read as config_reader
from cairndale.ingress.cli.checked import convert
from cairndale.ingress.cli.model import (
    SIZE_UNITS_BYTES,
    TIME_UNITS_US,
    Config,
    Duration,
    Size,
    decode_hook,
    to_builtins,
)
from cairndale.ingress.cli.schema import EXAMPLE_CONFIG, json_schema, reference_page
from cairndale.ingress.net.config import config_from
from cairndale.ingress.net.requests import FieldError, read_timeout
from cairndale.ingress.observability.logs import Handler, Options, Writer, event_name
from tests.testing.ingress import RAW

ROOT = Path(__file__).parents[3]
HOST = "127.0.0.1"


def run_command(*args: str, cwd: Path = ROOT, **env: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cairndale.ingress.cli", *args]
    around = {k: v for k, v in os.environ.items() if not k.startswith("IRONLEDGE_")}
    around |= {"PYTHONPATH": str(ROOT)} | env
    return subprocess.run(command, cwd=cwd, env=around, capture_output=True, text=True, timeout=60)


# The configuration.


@given(
    st.integers(1, 2**40),
    st.sampled_from(sorted(TIME_UNITS_US)),
    st.sampled_from(sorted(SIZE_UNITS_BYTES)),
)
def test_quantities_come_back_as_they_were(number: int, time_unit: str, size_unit: str) -> None:
    for kind, unit, table in (
        (Duration, time_unit, TIME_UNITS_US),
        (Size, size_unit, SIZE_UNITS_BYTES),
    ):
        if number * table[unit] <= 2**53:
            value = decode_hook(kind, f"{number}{unit}")
            assert value == number * table[unit] and decode_hook(kind, to_builtins(value)) == value


NAMES = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)
PLANS = st.fixed_dictionaries(
    {"name": NAMES, "rate": st.floats(0.1, 1e4), "burst": st.floats(1, 1e4)}
)


@given(
    plans=st.lists(PLANS, min_size=1, max_size=4, unique_by=lambda p: p["name"]),
    gateways=st.integers(1, 50),
    sockets=st.integers(64, 4096),
    idle=st.integers(1, 10**6),
)
@settings(max_examples=60, deadline=None)
def test_a_configuration_is_the_same_in_every_form(
    plans: list[dict[str, Any]], gateways: int, sockets: int, idle: int
) -> None:
    """TOML, JSON and the platform's form, there and back; and the ingress takes what is made of
    it."""
    raw = {
        "server": [{"name": "a", "address": "127.0.0.1:9"}],
        "plan": plans,
        "fleet": {"gateways": gateways},
        "limits": {"sockets": sockets, "idle": f"{idle}ms"},
        "request": {"plan": f"constant:{plans[0]['name']}"},
    }
    errors: list[str] = []
    made = convert(raw, Config, "", errors, decode_hook)
    assert not errors and isinstance(made, Config)
    for again in (
        tomllib.loads(tomli_w.dumps(to_builtins(made))),
        json.loads(json.dumps(to_builtins(made))),
    ):
        assert (
            config_reader.differences(made, convert(again, Config, "", errors, decode_hook)) == []
        )
    platform = json.loads(json.dumps(config_reader.to_platform(made)))
    running = config_from(platform)
    assert [p.name for p in running.settings.plans] == [p["name"] for p in plans]
    assert (
        running.discovery is None
        and running.sockets == sockets
        and running.conn_idle == idle * 1000
    )
    back = config_reader.from_platform(platform)
    assert (back.plan, back.limits.idle) == (made.plan, made.limits.idle)
    assert (back.fleet.gateways, back.fleet.zones) == (gateways, made.fleet.zones)


def test_the_platforms_own_file_has_a_form_for_people() -> None:
    known = {"index": 1, "snapshot": True, "endpoints": []}
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
    }
    raw |= {"seed": "1", "limits": {}, "settings": RAW, "known": known}
    made = config_reader.from_platform(raw)
    assert [c.name for c in made.class_] == ["read", "order"] and made.class_[0].repeat == "safe"
    assert made.plan[0].rate == 5.0 and made.counter and made.counter.timeout == 30_000


BROKEN = [
    ("lisen = 'x'", "1: lisen: unknown key; did you mean 'listen'?"),
    ("listen = 'here'", "1: listen: found 'here': expected HOST:PORT"),
    (
        "[limits]\nmemory = '3 bags'",
        "2: limits.memory: found '3 bags': expected a number with a unit",
    ),
    ("[limits]\nidle = 15", "2: limits.idle: found 15"),
    ("[limits]\nsockets = 3", "2: limits.sockets: found 3: expected `int` >= 64"),
    ("[limits]\nmax_attempts = 2.5", "limits.max_attempts: found 2.5"),
    ("[fleet]\nnumber = 3", "2: fleet.number: 3 is not less than fleet.gateways, 1"),
    ("[fleet]\nzone = 'attic'", "2: fleet.zone: 'attic' is not in fleet.zones"),
    ("[[class]]\nname = 'a'\naim = '20s'", "3: class[0].aim: 20s must be greater than 0"),
    (
        "[[class]]\nname = 'a'\n[[class]]\nname = 'A'\npath = '/b'",
        "4: class[1].name: 'A' is already the name",
    ),
    (
        "[[class]]\nname = 'a'\n[[class]]\nname = 'b'",
        "class[1].path: '/' is already the path of class[0]",
    ),
    ("[[plan]]\nname = 'p'\nrate = -1\nburst = 1", "3: plan[0].rate: found -1"),
    ("[[plan]]\nname = 'p'\nrate = 5\nburst = 0.5", "4: plan[0].burst"),
    (
        "[[plan]]\nname = 'default'\nrate = 5\nburst = 9\nceiling_rate = 9",
        "5: plan[0].ceiling_rate: ceiling_rate and ceiling_burst",
    ),
    ("[customers]\nanna = 'gold'", "2: customers.anna: unknown plan 'gold'"),
    ("[request]\nplan = 'constant:gold'", "2: request.plan: unknown plan 'gold'"),
    ("[request]\ntimeout = 'constant:soon'", "2: request.timeout: found 'soon'"),
    ("[request]\nunits = 'constant:many'", "2: request.units: found 'many'"),
    ("[request]\ncustomer = 'body'", "2: request.customer: found 'body': expected header:NAME"),
    ("[discovery]\nadress = 'x'", "discovery.address: is missing"),
    ("server = []", "server: no servers are listed, and discovery"),
    ("ops = '127.0.0.1:8080'", "1: ops: must differ from the clients' address"),
    ("[metrics]\non = true", "2: metrics.on: requires the operators' address"),
    ("[log]\nform = 'xml'", "2: log.form: found 'xml'"),
    ("[pool]\nserver_share = nan", "2: pool.server_share"),
    ("x = [1", "bad.toml"),
]


@pytest.mark.parametrize(("text", "wanted"), BROKEN)
def test_what_is_wrong_is_said_with_file_line_key_and_what_is_allowed(
    tmp_path: Path, text: str, wanted: str
) -> None:
    path = tmp_path / "bad.toml"
    server = "" if "server" in text else "\n[[server]]\nname = 'a'\naddress = '127.0.0.1:9'\n"
    path.write_text(text + server)
    with pytest.raises(config_reader.ConfigErrors) as error:
        config_reader.load(str(path), env={})
    assert any(wanted in e and e.startswith(str(path)) for e in error.value.errors), (
        error.value.errors
    )


def test_files_that_are_none_are_said_to_be_so_and_a_byte_order_mark_is_not_minded(
    tmp_path: Path,
) -> None:
    os.mkfifo(tmp_path / "pipe.toml")
    (tmp_path / "latin.toml").write_bytes(b"name = '\xe4'")
    (tmp_path / "nan.json").write_text('{"pool": {"server_share": NaN}}')
    (tmp_path / "list.json").write_text("[]")
    for name, wanted in (
        ("", "not a regular file"),
        ("pipe.toml", "not a regular file"),
        ("none.toml", "No such file"),
        ("latin.toml", "not UTF-8 at byte 8"),
        ("nan.json", "NaN is not a valid number"),
        ("list.json", "expected a table"),
    ):
        with pytest.raises(config_reader.ConfigErrors, match=wanted):
            config_reader.load(str(tmp_path / name), env={})
    (tmp_path / "bom.toml").write_bytes(b"\xef\xbb\xbf" + EXAMPLE_CONFIG.encode())
    assert config_reader.load(str(tmp_path / "bom.toml"), env={}).config.ops == "127.0.0.1:8081"


def test_the_command_line_goes_before_the_environment_and_that_before_the_file(
    tmp_path: Path,
) -> None:
    path = tmp_path / "a.toml"
    path.write_text(EXAMPLE_CONFIG)
    env = {
        "IRONLEDGE_LIMITS__SOCKETS": "512",
        "IRONLEDGE_LIMITS__IDLE": "9s",
        "IRONLEDGE_NAME": "edge",
    }
    found = config_reader.load(str(path), ("limits.sockets=256",), env)
    assert (found.config.limits.sockets, found.config.limits.idle, found.config.name) == (
        256,
        9_000_000,
        "edge",
    )
    assert found.origins["limits.sockets"] == "--set limits.sockets=256"
    assert found.origins["limits.idle"] == "IRONLEDGE_LIMITS__IDLE" and found.origins[
        "listen"
    ] == str(path)
    with pytest.raises(config_reader.ConfigErrors) as error:
        config_reader.load(
            str(path),
            ("server=x", "limits.sockets", "nothing.here=1"),
            {"IRONLEDGE_LIMITS__COLOUR": "1"},
        )
    assert len(error.value.errors) == 4


def test_the_page_the_schema_and_the_model_are_of_one_piece() -> None:
    assert (ROOT / "docs/configuration-reference.md").read_text() == reference_page()
    schema = json_schema()
    assert set(schema["properties"]) == {
        f.encode_name for f in __import__("msgspec").structs.fields(Config)
    }
    assert schema["properties"]["server"]["items"]["required"] == ["name", "address"]
    errors: list[str] = []
    assert (
        convert(tomllib.loads(EXAMPLE_CONFIG), Config, "", errors, decode_hook) is not UNSET
        and not errors
    )


@pytest.mark.parametrize(
    ("text", "us"), [(b"500m", 500_000), (b"20u", 20), (b"1.5s", 1_500_000), (b"7ms", 7000)]
)
def test_times_of_the_platform_and_of_people_are_read(text: bytes, us: int) -> None:
    assert read_timeout(text) == us
    for bad in (b"", b"5", b"-1s", b"0s", b"1h"):
        with pytest.raises(FieldError):
            read_timeout(bad)


# The command line.


def test_commands_say_what_they_do_and_bad_ones_end_with_2(tmp_path: Path) -> None:
    helped = run_command("--help")
    for command in ("run", "check", "config", "ops", "directory", "lab", "demo", "completion"):
        assert command in helped.stdout
    assert (
        "_ironledge_completion" in run_command("completion", "bash").stdout
        and "#compdef" in run_command("completion", "zsh").stdout
    )
    assert run_command("config", "init", "a.toml", cwd=tmp_path).returncode == 0
    assert run_command("config", "init", "a.toml", cwd=tmp_path).returncode == 1  # not written over
    assert "valid; 2 servers" in run_command("check", "-c", "a.toml", cwd=tmp_path).stdout
    shown = run_command(
        "config", "show", "-c", "a.toml", cwd=tmp_path, IRONLEDGE_NAME="edge"
    ).stdout
    assert re.search(r'^name +"edge" +IRONLEDGE_NAME$', shown, re.M)
    made = run_command("config", "convert", "a.toml", "--to", "platform", cwd=tmp_path).stdout
    (tmp_path / "p.json").write_text(made)
    (tmp_path / "b.toml").write_text(
        run_command("config", "convert", "p.json", cwd=tmp_path).stdout
    )
    assert run_command("check", "-c", "b.toml", cwd=tmp_path).returncode == 0
    (tmp_path / "c.toml").write_text(EXAMPLE_CONFIG.replace("rate = 5 ", "rate = 6 "))
    differs = run_command("config", "diff", "a.toml", "c.toml", cwd=tmp_path)
    assert (differs.returncode, differs.stdout) == (1, "plan[0].rate: 5.0 -> 6.0\n")
    for args in (
        ("check", "-c", "none.toml"),
        ("fly",),
        ("ops", "status"),
        ("config", "convert", "a.toml", "--to", "x"),
    ):
        assert run_command(*args, cwd=tmp_path).returncode == 2


class Echo(BaseHTTPRequestHandler):
    """A plain server: says what it was asked, and with which fields."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = json.dumps(
            {"path": self.path, "method": self.command, "fields": dict(self.headers)}
        ).encode()
        self.send_response(
            404 if self.path.startswith("/none") else 204 if self.path.startswith("/void") else 200
        )
        self.send_header("Set-Cookie", "a=1")
        self.send_header("Set-Cookie", "b=2")
        if not self.path.startswith("/void"):
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if not self.path.startswith("/void"):
            self.wfile.write(body)

    def do_PUT(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self.do_GET()

    def log_message(self, *args: Any) -> None: ...


class RunningIngress:
    """An ingress of its own before two plain servers."""

    def __init__(self, folder: Path, more: str = "") -> None:
        self.servers = [ThreadingHTTPServer((HOST, 0), Echo) for _ in range(2)]
        for server in self.servers:
            threading.Thread(target=server.serve_forever, daemon=True).start()
        self.holders = [reserve_port() for _ in range(2)]
        self.port, self.ops = (h.getsockname()[1] for h in self.holders)
        text = EXAMPLE_CONFIG.replace("127.0.0.1:8080", f"{HOST}:{self.port}").replace(
            "127.0.0.1:8081", f"{HOST}:{self.ops}"
        )
        for number, server in enumerate(self.servers, 1):
            text = text.replace(
                f'127.0.0.1:900{number}"\n\n', f'{HOST}:{server.server_address[1]}"\n\n'
            )
        self.path = folder / "ironledge.toml"
        self.path.write_text(text.replace("rate = 5 ", "rate = 0.01 ") + more)
        self.log = (folder / "log.txt").open("w")
        env = os.environ | {"TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", "cairndale.ingress.cli", "run", "-c", str(self.path)]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=self.log)
        end = time.monotonic() + 60
        while time.monotonic() < end and self.ask("/up", port=self.port)[0] != 200:
            time.sleep(0.02)

    def ask(
        self,
        path: str,
        port: int = 0,
        method: str = "GET",
        data: bytes | None = None,
        **headers: str,
    ) -> Any:
        fields = {k.replace("_", "-"): v for k, v in headers.items()}
        request = urllib.request.Request(
            f"http://{HOST}:{port or self.port}{path}", data, fields, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                return answer.status, answer.headers, answer.read()
        except urllib.error.HTTPError as error:
            return error.code, error.headers, error.read()
        except OSError:
            return 0, {}, b""

    def end(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        code = self.process.wait(30)
        self.log.close()
        for server in self.servers:
            server.shutdown()
            server.server_close()
        for holder in self.holders:
            holder.close()
        return code


def reserve_port() -> socket.socket:
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    made.bind((HOST, 0))
    return made


@pytest.fixture
def ingress(tmp_path: Path) -> Iterator[RunningIngress]:
    made = RunningIngress(tmp_path, '\n[metrics]\non = true\n[log]\nform = "json"\naccess = 1\n')
    yield made
    if made.process.poll() is None:
        made.end()


def test_an_ingress_on_its_own_holds_quotas_before_plain_servers_and_passes_on_what_they_say(
    ingress: RunningIngress, tmp_path: Path
) -> None:
    status, headers, body = ingress.ask(
        "/a?b=c", X_Api_Key="anna", Accept="x/y", Connection="close"
    )
    said = json.loads(body)
    assert (
        status == 200
        and said["path"] == "/a?b=c"
        and headers.get_all("Set-Cookie") == ["a=1", "b=2"]
    )
    assert said["fields"]["Accept"] == "x/y" and said["fields"]["X-Api-Key"] == "anna"
    assert len(said["fields"]["Request-Id"]) == 16 and "Connection" not in said["fields"]
    assert (
        ingress.ask("/none", X_Api_Key="anna")[0] == 404
        and ingress.ask("/void", X_Api_Key="anna")[0] == 204
    )
    put = ingress.ask("/p", method="PUT", data=b"x" * 100_000, X_Api_Key="anna")
    assert put[0] == 200 and json.loads(put[2])["method"] == "PUT"
    assert [ingress.ask("/q", X_Api_Key="bob")[0] for _ in range(12)] == [200] * 10 + [429] * 2
    assert ingress.ask("/q", X_Api_Key="anna")[0] == 200  # a customer of another plan
    assert ingress.ask("/q", method="BREW")[0] in (400, 405)
    # Its operators.
    ops = f"{HOST}:{ingress.ops}"
    rows = json.loads(run_command("ops", "status", ops, f"{HOST}:1", "--json").stdout)
    assert [r["ok"] for r in rows] == [True, False]
    assert run_command("ops", "maintenance", "enter", "one", ops).returncode == 0
    assert run_command("ops", "maintenance", "enter", "nobody", ops).returncode == 1
    assert json.loads(ingress.ask("/fly", port=ingress.ops)[2]) == {"error": "no such call"}
    pools = json.loads(run_command("ops", "pools", ops, "--json").stdout)[0]["answer"]
    assert {p["name"] for p in pools} == {"one", "two"} and sum(p["asked"] for p in pools) >= 14
    assert (
        json.loads(run_command("ops", "config", ops, "--json").stdout)[0]["answer"]["settings"][
            "fleet_size"
        ]
        == 1
    )
    assert "open" not in run_command("ops", "top", ops, "--count", "1").stderr
    # Every metric that the dashboard and the alerts name is in a scrape, and no customer is.
    scrape = ingress.ask("/metrics", port=ingress.ops)[2].decode()
    outcomes = dict(
        re.findall(
            r'requests_total\{class_="all",outcome="(\w+)",plan="default"\} ([\d.]+)', scrape
        )
    )
    assert outcomes == {"served": "10.0", "refused": "2.0"}
    known = set(re.findall(r"^(?:# (?:TYPE|HELP) )?(ironledge_\w+)", scrape, re.M))
    for name in ("dashboard.json", "alerts.yaml"):
        text = (ROOT / "deploy/observability" / name).read_text()
        named = {re.sub(r"_(bucket|sum|count)$", "", n) for n in re.findall(r"ironledge_\w+", text)}
        assert named - {"ironledge_"} <= known | {re.sub(r"_total$", "", k) for k in known}, (
            named - known
        )
    assert "anna" not in scrape and "bob" not in scrape
    # SIGHUP: a broken file changes nothing, a sound one holds at once.
    good = ingress.path.read_text()
    ingress.path.write_text(good.replace("burst = 10 ", "burst = 'x' "))
    ingress.process.send_signal(signal.SIGHUP)
    until(lambda: "the_configuration_stays_as_it_was" in (tmp_path / "log.txt").read_text())
    assert ingress.ask("/q", X_Api_Key="bob")[0] == 429
    ingress.path.write_text(good.replace("rate = 0.01 ", "rate = 0 "))
    ingress.process.send_signal(signal.SIGHUP)
    until(lambda: ingress.ask("/q", X_Api_Key="bob")[0] == 200)
    assert ingress.end() == 0
    lines = [json.loads(line) for line in (tmp_path / "log.txt").read_text().splitlines()]
    access = [line for line in lines if line["event"] == "request"]
    assert {line["outcome"] for line in access} >= {"served", "refused"} and all(
        line["instance"] for line in lines
    )
    assert not any("anna" in str(line["customer"]) for line in access)
    assert {"listening_on", "maintenance_is", "new_settings_discovery_at"} <= {
        line["event"] for line in lines
    }


def until(holds: Any) -> None:
    end = time.monotonic() + 30
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.02)


# Logs.


def written_by(options: Options, act: Any, tmp_path: Path) -> list[str]:
    writer = Writer(options, "n0")
    writer.start()
    act(writer)
    writer.stop()
    return Path(options.file).read_text().splitlines()


@pytest.mark.parametrize("form", ["text", "json"])
def test_no_line_can_be_forged_and_repeats_are_gathered(tmp_path: Path, form: str) -> None:
    log = logging.Logger("cairndale.ingress.net.x")

    def act(writer: Writer) -> None:
        log.addHandler(Handler(writer))
        log.warning("backend %s: garbage", 'a\nlevel=error event=forged "\x1b[31m')
        for _ in range(41):
            log.info("again and again")
        for number in range(500):  # a flood, each line another
            log.info("backend %d is odd", number)

    lines = written_by(Options(form=form, file=str(tmp_path / "log")), act, tmp_path)
    odd = [line for line in lines if "backend_is_odd" in line]
    lines = [line for line in lines if line not in odd]
    assert len(lines) == 3 and "\x1b" not in "".join(lines) and 20 <= len(odd) <= 25
    assert all("forged" not in line or "backend_garbage" in line for line in lines)
    assert "repeated=40" in lines[2] or json.loads(lines[2])["repeated"] == 40
    if form == "json":
        assert [json.loads(line)["event"] for line in lines] == [
            "backend_garbage",
            "again_and_again",
            "again_and_again",
        ]
    assert event_name("maintenance: %s is %s") == "maintenance_is" and event_name("%s") == "event"


def test_a_reader_that_is_stuck_costs_records_and_nobody_waits(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "log")
    reader = os.open(tmp_path / "log", os.O_RDONLY | os.O_NONBLOCK)  # and never reads
    writer = Writer(Options(file=str(tmp_path / "log"), queue=100), "n0")
    writer.start()
    for number in range(20_000):
        writer.put({"level": "info", "event": "request", "number": number, "text": "x" * 100})
    assert writer.dropped > 10_000 and writer.queue.qsize() <= 100
    os.close(reader)  # a closed pipe is no reason to end either
    until(lambda: writer.queue.qsize() == 0)
    writer.stop()


def test_a_log_that_was_moved_away_is_opened_anew(tmp_path: Path) -> None:
    def act(writer: Writer) -> None:
        writer.put({"level": "info", "event": "first"})
        until(lambda: "first" in (tmp_path / "log").read_text())
        (tmp_path / "log").rename(tmp_path / "old")
        writer.reopen()
        until(lambda: (tmp_path / "log").exists())
        writer.put({"level": "info", "event": "second"})

    lines = written_by(Options(file=str(tmp_path / "log")), act, tmp_path)
    assert len(lines) == 1 and "second" in lines[0] and "first" in (tmp_path / "old").read_text()
