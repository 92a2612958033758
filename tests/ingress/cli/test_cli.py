"""The `ironledge` command line: configuration files, commands against real processes, logs and
metrics."""

from __future__ import annotations

import ast
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
from urllib.parse import quote, unquote

import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET

from cairndale.chaos.malformed import EARLY_HINTS, MALFORMED, MALFORMED_HEADS
from cairndale.ingress.cli import read as config_reader
from cairndale.ingress.cli.__main__ import _call
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
from cairndale.ingress.net.http import MAX_BUFFERED_BODY_BYTES
from cairndale.ingress.net.requests import FieldError, read_timeout
from cairndale.ingress.observability.logs import (
    STABLE_EVENT_NAMES,
    Handler,
    Options,
    Writer,
    event_name,
)
from tests.testing.canned_server import CannedServer
from tests.testing.ingress import RAW

ROOT = Path(__file__).parents[3]
HOST = "127.0.0.1"


def run_command(*args: str, cwd: Path = ROOT, **env: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cairndale.ingress.cli", *args]
    environment = {k: v for k, v in os.environ.items() if not k.startswith("IRONLEDGE_")}
    environment |= {"PYTHONPATH": str(ROOT)} | env
    return subprocess.run(
        command, cwd=cwd, env=environment, capture_output=True, text=True, timeout=60
    )


# The configuration.


@given(
    st.integers(1, 2**40),
    st.sampled_from(sorted(TIME_UNITS_US)),
    st.sampled_from(sorted(SIZE_UNITS_BYTES)),
)
def test_quantities_round_trip(number: int, time_unit: str, size_unit: str) -> None:
    for kind, unit, factors in (
        (Duration, time_unit, TIME_UNITS_US),
        (Size, size_unit, SIZE_UNITS_BYTES),
    ):
        if number * factors[unit] <= 2**53:
            value = decode_hook(kind, f"{number}{unit}")
            assert (
                value == number * factors[unit] and decode_hook(kind, to_builtins(value)) == value
            )


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
def test_configuration_round_trips_through_every_format(
    plans: list[dict[str, Any]], gateways: int, sockets: int, idle: int
) -> None:
    """Converts to TOML, JSON and the platform format and back; the ingress accepts the last."""
    raw = {
        "server": [{"name": "a", "address": "127.0.0.1:9"}],
        "plan": plans,
        "fleet": {"gateways": gateways},
        "limits": {"sockets": sockets, "idle": f"{idle}ms"},
        "request": {"plan": f"constant:{plans[0]['name']}"},
    }
    errors: list[str] = []
    config = convert(raw, Config, "", errors, decode_hook)
    assert not errors and isinstance(config, Config)
    for decoded in (
        tomllib.loads(tomli_w.dumps(to_builtins(config))),
        json.loads(json.dumps(to_builtins(config))),
    ):
        assert (
            config_reader.differences(config, convert(decoded, Config, "", errors, decode_hook))
            == []
        )
    platform_json = json.loads(json.dumps(config_reader.to_platform(config)))
    process_config = config_from(platform_json)
    assert [p.name for p in process_config.settings.plans] == [p["name"] for p in plans]
    assert (
        process_config.discovery is None
        and process_config.sockets == sockets
        and process_config.conn_idle == idle * 1000
    )
    converted = config_reader.from_platform(platform_json)
    assert (converted.plan, converted.limits.idle) == (config.plan, config.limits.idle)
    assert (converted.fleet.gateways, converted.fleet.zones) == (gateways, config.fleet.zones)


def test_platform_format_converts_to_the_model() -> None:
    known = {"index": 1, "snapshot": True, "endpoints": []}
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
    }
    raw |= {"seed": "1", "limits": {}, "settings": RAW, "known": known}
    model = config_reader.from_platform(raw)
    assert [c.name for c in model.class_] == ["read", "order"] and model.class_[0].repeat == "safe"
    assert model.plan[0].rate == 5.0 and model.counter and model.counter.timeout == 30_000


# Texts of invalid files, each with a part of the error that is expected.
INVALID_FILES = [
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
    ('[[plan]]\nname = "p\\n"\nrate = 1\nburst = 1', "2: plan[0].name: found 'p\\n'"),
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


@pytest.mark.parametrize(("text", "expected"), INVALID_FILES)
def test_errors_name_file_line_key_and_allowed_values(
    tmp_path: Path, text: str, expected: str
) -> None:
    path = tmp_path / "bad.toml"
    server = "" if "server" in text else "\n[[server]]\nname = 'a'\naddress = '127.0.0.1:9'\n"
    path.write_text(text + server)
    with pytest.raises(config_reader.InvalidConfigError) as error:
        config_reader.load(str(path), env={})
    assert any(expected in e and e.startswith(str(path)) for e in error.value.errors), (
        error.value.errors
    )


def test_unreadable_files_are_reported_and_a_byte_order_mark_is_skipped(
    tmp_path: Path,
) -> None:
    os.mkfifo(tmp_path / "pipe.toml")
    (tmp_path / "latin.toml").write_bytes(b"name = '\xe4'")
    (tmp_path / "nan.json").write_text('{"pool": {"server_share": NaN}}')
    (tmp_path / "list.json").write_text("[]")
    for name, expected in (
        ("", "not a regular file"),
        ("pipe.toml", "not a regular file"),
        ("none.toml", "No such file"),
        ("latin.toml", "not UTF-8 at byte 8"),
        ("nan.json", "NaN is not a valid number"),
        ("list.json", "expected a table"),
    ):
        with pytest.raises(config_reader.InvalidConfigError, match=expected):
            config_reader.load(str(tmp_path / name), env={})
    (tmp_path / "bom.toml").write_bytes(b"\xef\xbb\xbf" + EXAMPLE_CONFIG.encode())
    assert config_reader.load(str(tmp_path / "bom.toml"), env={}).config.ops == "127.0.0.1:8081"


def test_command_line_overrides_environment_which_overrides_file(
    tmp_path: Path,
) -> None:
    path = tmp_path / "a.toml"
    path.write_text(EXAMPLE_CONFIG)
    env = {
        "IRONLEDGE_LIMITS__SOCKETS": "512",
        "IRONLEDGE_LIMITS__IDLE": "9s",
        "IRONLEDGE_NAME": "edge",
    }
    loaded = config_reader.load(str(path), ("limits.sockets=256",), env)
    assert (loaded.config.limits.sockets, loaded.config.limits.idle, loaded.config.name) == (
        256,
        9_000_000,
        "edge",
    )
    assert loaded.origins["limits.sockets"] == "--set limits.sockets=256"
    assert loaded.origins["limits.idle"] == "IRONLEDGE_LIMITS__IDLE" and loaded.origins[
        "listen"
    ] == str(path)
    with pytest.raises(config_reader.InvalidConfigError) as error:
        config_reader.load(
            str(path),
            ("server=x", "limits.sockets", "nothing.here=1"),
            {"IRONLEDGE_LIMITS__COLOUR": "1"},
        )
    assert len(error.value.errors) == 4


def test_reference_page_and_schema_match_the_model() -> None:
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
def test_timeouts_accept_units_of_the_platform_and_of_the_file(text: bytes, us: int) -> None:
    assert read_timeout(text) == us
    for invalid in (b"", b"5", b"-1s", b"0s", b"1h"):
        with pytest.raises(FieldError):
            read_timeout(invalid)


# The command line.


def test_commands_print_results_and_usage_errors_exit_with_2(tmp_path: Path) -> None:
    help_result = run_command("--help")
    for command in ("run", "check", "config", "ops", "directory", "lab", "demo", "completion"):
        assert command in help_result.stdout
    assert (
        "_ironledge_completion" in run_command("completion", "bash").stdout
        and "#compdef" in run_command("completion", "zsh").stdout
    )
    assert run_command("config", "init", "a.toml", cwd=tmp_path).returncode == 0
    assert (
        run_command("config", "init", "a.toml", cwd=tmp_path).returncode == 1
    )  # does not overwrite
    assert "valid; 2 servers" in run_command("check", "-c", "a.toml", cwd=tmp_path).stdout
    shown = run_command(
        "config", "show", "-c", "a.toml", cwd=tmp_path, IRONLEDGE_NAME="edge"
    ).stdout
    assert re.search(r'^name +"edge" +IRONLEDGE_NAME$', shown, re.M)
    platform_json = run_command(
        "config", "convert", "a.toml", "--to", "platform", cwd=tmp_path
    ).stdout
    (tmp_path / "p.json").write_text(platform_json)
    (tmp_path / "b.toml").write_text(
        run_command("config", "convert", "p.json", cwd=tmp_path).stdout
    )
    assert run_command("check", "-c", "b.toml", cwd=tmp_path).returncode == 0
    (tmp_path / "c.toml").write_text(EXAMPLE_CONFIG.replace("rate = 5 ", "rate = 6 "))
    diff = run_command("config", "diff", "a.toml", "c.toml", cwd=tmp_path)
    assert (diff.returncode, diff.stdout) == (1, "plan[0].rate: 5.0 -> 6.0\n")
    for args in (
        ("check", "-c", "none.toml"),
        ("fly",),
        ("ops", "status"),
        ("config", "convert", "a.toml", "--to", "x"),
    ):
        assert run_command(*args, cwd=tmp_path).returncode == 2


def test_operators_see_that_an_answer_is_malformed() -> None:
    body = b'{"open": 7}'
    for name, build in MALFORMED.items():
        with CannedServer(build(b"", body)) as server:
            row = _call(f"{HOST}:{server.port}", "GET", "/status")
        assert not row["ok"] and row["answer"].startswith("invalid answer: "), (name, row)
    valid = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    deep = b"[" * 100_000  # no JSON that can be read, so it is shown as text
    with CannedServer(b"HTTP/1.1 200 OK\r\n\r\n" + deep) as server:
        assert _call(f"{HOST}:{server.port}", "GET", "/status")["answer"] == deep.decode()
    with CannedServer(MALFORMED["no colon"](b"", body), EARLY_HINTS + valid) as server:
        address = f"{HOST}:{server.port}"
        runs = [run_command("ops", "status", address, "--json") for _ in range(2)]
    assert [(r.returncode, json.loads(r.stdout)[0]["ok"]) for r in runs] == [(1, False), (0, True)]


class EchoHandler(BaseHTTPRequestHandler):
    """A plain server that answers with the request's path, method and header fields."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        if self.path.startswith("/malformed?"):
            name, _, size = unquote(self.path.partition("?")[2]).rpartition(",")
            self.wfile.write(MALFORMED[name](b"", b"b" * int(size)))
            return
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
    """A process that runs a single ingress in front of two plain servers."""

    def __init__(self, folder: Path, extra_config: str = "") -> None:
        self.servers = [ThreadingHTTPServer((HOST, 0), EchoHandler) for _ in range(2)]
        for server in self.servers:
            threading.Thread(target=server.serve_forever, daemon=True).start()
        self.reserved_sockets = [reserve_port() for _ in range(2)]
        self.port, self.ops = (s.getsockname()[1] for s in self.reserved_sockets)
        text = EXAMPLE_CONFIG.replace("127.0.0.1:8080", f"{HOST}:{self.port}").replace(
            "127.0.0.1:8081", f"{HOST}:{self.ops}"
        )
        for number, server in enumerate(self.servers, 1):
            text = text.replace(
                f'127.0.0.1:900{number}"\n\n', f'{HOST}:{server.server_address[1]}"\n\n'
            )
        self.path = folder / "ironledge.toml"
        self.path.write_text(text.replace("rate = 5 ", "rate = 0.01 ") + extra_config)
        self.log = (folder / "log.txt").open("w")
        env = os.environ | {"TMPDIR": str(folder), "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", "cairndale.ingress.cli", "run", "-c", str(self.path)]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=self.log)
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline and self.fetch("/up", port=self.port)[0] != 200:
            time.sleep(0.02)

    def fetch(
        self,
        path: str,
        port: int = 0,
        method: str = "GET",
        data: bytes | None = None,
        **headers: str,
    ) -> Any:
        header_fields = {k.replace("_", "-"): v for k, v in headers.items()}
        request = urllib.request.Request(
            f"http://{HOST}:{port or self.port}{path}", data, header_fields, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                return response.status, response.headers, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.headers, error.read()
        except OSError:
            return 0, {}, b""

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        exit_status = self.process.wait(30)
        self.log.close()
        for server in self.servers:
            server.shutdown()
            server.server_close()
        for reserved in self.reserved_sockets:
            reserved.close()
        return exit_status


def reserve_port() -> socket.socket:
    """A bound socket that keeps a free port from others; the ingress shares it by SO_REUSEPORT."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reserved.bind((HOST, 0))
    return reserved


@pytest.fixture
def ingress(tmp_path: Path) -> Iterator[RunningIngress]:
    running = RunningIngress(tmp_path, '\n[metrics]\non = true\n[log]\nform = "json"\naccess = 1\n')
    yield running
    if running.process.poll() is None:
        running.stop()


def test_single_ingress_forwards_no_malformed_response(ingress: RunningIngress) -> None:
    """Whether it would be buffered or streamed."""
    cases = [(name, 9) for name in MALFORMED]
    cases += [(name, MAX_BUFFERED_BODY_BYTES + 1) for name in MALFORMED_HEADS]
    statuses = {
        case: ingress.fetch(f"/malformed?{quote(f'{case[0]},{case[1]}')}", X_Api_Key=str(case))[0]
        for case in cases
    }
    assert {case: status for case, status in statuses.items() if status != 502} == {}


def test_single_ingress_enforces_quotas_and_forwards_answers_of_plain_servers(
    ingress: RunningIngress, tmp_path: Path
) -> None:
    status, headers, body = ingress.fetch(
        "/a?b=c", X_Api_Key="anna", Accept="x/y", Connection="close"
    )
    echoed = json.loads(body)
    assert (
        status == 200
        and echoed["path"] == "/a?b=c"
        and headers.get_all("Set-Cookie") == ["a=1", "b=2"]
    )
    assert echoed["fields"]["Accept"] == "x/y" and echoed["fields"]["X-Api-Key"] == "anna"
    assert len(echoed["fields"]["Request-Id"]) == 16 and "Connection" not in echoed["fields"]
    assert (
        ingress.fetch("/none", X_Api_Key="anna")[0] == 404
        and ingress.fetch("/void", X_Api_Key="anna")[0] == 204
    )
    put_response = ingress.fetch("/p", method="PUT", data=b"x" * 100_000, X_Api_Key="anna")
    assert put_response[0] == 200 and json.loads(put_response[2])["method"] == "PUT"
    assert [ingress.fetch("/q", X_Api_Key="bob")[0] for _ in range(12)] == [200] * 10 + [429] * 2
    assert ingress.fetch("/q", X_Api_Key="anna")[0] == 200  # a customer on another plan
    assert ingress.fetch("/q", method="BREW")[0] in (400, 405)
    # Operators' calls.
    ops = f"{HOST}:{ingress.ops}"
    rows = json.loads(run_command("ops", "status", ops, f"{HOST}:1", "--json").stdout)
    assert [r["ok"] for r in rows] == [True, False]
    assert run_command("ops", "maintenance", "enter", "one", ops).returncode == 0
    assert run_command("ops", "maintenance", "enter", "nobody", ops).returncode == 1
    assert json.loads(ingress.fetch("/fly", port=ingress.ops)[2]) == {"error": "no such call"}
    pools = json.loads(run_command("ops", "pools", ops, "--json").stdout)[0]["answer"]
    assert {p["name"] for p in pools} == {"one", "two"} and sum(p["asked"] for p in pools) >= 14
    assert (
        json.loads(run_command("ops", "config", ops, "--json").stdout)[0]["answer"]["settings"][
            "fleet_size"
        ]
        == 1
    )
    assert "open" not in run_command("ops", "top", ops, "--count", "1").stderr
    # A scrape contains every metric that the dashboard and the alerts use, and no customer.
    scrape = ingress.fetch("/metrics", port=ingress.ops)[2].decode()
    outcomes = dict(
        re.findall(
            r'requests_total\{class_="all",outcome="(\w+)",plan="default"\} ([\d.]+)', scrape
        )
    )
    assert outcomes == {"served": "10.0", "refused": "2.0"}
    scraped = set(re.findall(r"^(?:# (?:TYPE|HELP) )?(ironledge_\w+)", scrape, re.M))
    for name in ("dashboard.json", "alerts.yaml"):
        text = (ROOT / "deploy/observability" / name).read_text()
        referenced = {
            re.sub(r"_(bucket|sum|count)$", "", n) for n in re.findall(r"ironledge_\w+", text)
        }
        assert referenced - {"ironledge_"} <= scraped | {
            re.sub(r"_total$", "", k) for k in scraped
        }, referenced - scraped
    assert "anna" not in scrape and "bob" not in scrape
    # SIGHUP: an invalid file changes nothing, a valid one takes effect at once.
    valid_config = ingress.path.read_text()
    ingress.path.write_text(valid_config.replace("burst = 10 ", "burst = 'x' "))
    ingress.process.send_signal(signal.SIGHUP)
    until(lambda: "the_configuration_stays_as_it_was" in (tmp_path / "log.txt").read_text())
    assert ingress.fetch("/q", X_Api_Key="bob")[0] == 429
    ingress.path.write_text(valid_config.replace("rate = 0.01 ", "rate = 0 "))
    ingress.process.send_signal(signal.SIGHUP)
    until(lambda: ingress.fetch("/q", X_Api_Key="bob")[0] == 200)
    assert ingress.stop() == 0
    lines = [json.loads(line) for line in (tmp_path / "log.txt").read_text().splitlines()]
    access = [line for line in lines if line["event"] == "request"]
    assert {line["outcome"] for line in access} >= {"served", "refused"} and all(
        line["instance"] for line in lines
    )
    assert not any("anna" in str(line["customer"]) for line in access)
    assert {"listening_on", "maintenance_is", "new_settings_discovery_at"} <= {
        line["event"] for line in lines
    }


def until(condition: Any) -> None:
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


# Logs.


def log_lines(options: Options, act: Any, tmp_path: Path) -> list[str]:
    writer = Writer(options, "n0")
    writer.start()
    act(writer)
    writer.stop()
    return Path(options.file).read_text().splitlines()


@pytest.mark.parametrize("form", ["text", "json"])
def test_log_lines_cannot_be_forged_and_repeats_are_coalesced(tmp_path: Path, form: str) -> None:
    log = logging.Logger("cairndale.ingress.net.x")

    def act(writer: Writer) -> None:
        log.addHandler(Handler(writer))
        log.warning("backend %s: garbage", 'a\nlevel=error event=forged "\x1b[31m')
        for _ in range(41):
            log.info("again and again")
        for number in range(500):  # a flood of records, each with another message
            log.info("backend %d is odd", number)

    lines = log_lines(Options(form=form, file=str(tmp_path / "log")), act, tmp_path)
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


# Templates in cairndale/ingress/net that were reworded, and the event names that had to stay.
REWORDED_TEMPLATES = [
    ("backend %s: invalid response: %s", "backend_answer_not_understood"),
    (
        "process suspended for %.0f s: closing all idle connections",
        "stood_still_for_s_idle_connections",
    ),
    ("backend %s: response stalled, connection closed", "backend_silent_in_the_middle_of"),
    ("counter: invalid answer, connection closed", "counter_answer_not_understood"),
    ("counter: no answer for %.0f s, reconnecting", "counter_silent_for_s_connecting_anew"),
    ("discovery: lineage %s replaces %s", "discovery_list_in_place_of"),
    (
        "discovery: removed %d servers missing from the list",
        "discovery_servers_that_the_list_lacks",
    ),
    ("discovery: receiving updates from %s:%d", "discovery_told_by"),
    ("discovery: endpoint list is %.0f s old and still in use", "discovery_the_list_is_s_old"),
    ("discovery: no data for %.0f s, reconnecting", "discovery_silent_for_s_watching_anew"),
    ("action ignored: %s", "not_for_real_ingresses"),
]


def net_log_templates() -> set[str]:
    return {
        call.args[0].value
        for path in (ROOT / "cairndale/ingress/net").rglob("*.py")
        for call in ast.walk(ast.parse(path.read_text()))
        if isinstance(call, ast.Call)
        and ast.unparse(call.func).startswith("log.")
        and call.args
        and isinstance(call.args[0], ast.Constant)
    }


@pytest.mark.parametrize(("template", "name"), REWORDED_TEMPLATES)
def test_reworded_template_keeps_its_event_name(template: str, name: str) -> None:
    assert event_name(template) == name


def test_every_stable_event_name_is_tested() -> None:
    names = [name for _, name in REWORDED_TEMPLATES]
    assert sorted(names) == sorted(STABLE_EVENT_NAMES.values())


@pytest.mark.parametrize("template", [template for template, _ in REWORDED_TEMPLATES])
def test_reworded_template_stands_in_the_sources(template: str) -> None:
    assert template in net_log_templates()


def test_stuck_log_reader_costs_records_and_blocks_nobody(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "log")
    reader = os.open(tmp_path / "log", os.O_RDONLY | os.O_NONBLOCK)  # never reads
    writer = Writer(Options(file=str(tmp_path / "log"), queue=100), "n0")
    writer.start()
    for number in range(20_000):
        writer.put({"level": "info", "event": "request", "number": number, "text": "x" * 100})
    assert writer.dropped > 10_000 and writer.queue.qsize() <= 100
    os.close(reader)  # a closed pipe does not stop the writer either
    until(lambda: writer.queue.qsize() == 0)
    writer.stop()


def test_log_reopens_after_rotation(tmp_path: Path) -> None:
    def act(writer: Writer) -> None:
        writer.put({"level": "info", "event": "first"})
        until(lambda: "first" in (tmp_path / "log").read_text())
        (tmp_path / "log").rename(tmp_path / "old")
        writer.reopen()
        until(lambda: (tmp_path / "log").exists())
        writer.put({"level": "info", "event": "second"})

    lines = log_lines(Options(file=str(tmp_path / "log")), act, tmp_path)
    assert len(lines) == 1 and "second" in lines[0] and "first" in (tmp_path / "old").read_text()
