"""Which answers of a control node the operators' client takes for clear."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from cairndale.chaos.malformed import EARLY_HINTS, MALFORMED
from cairndale.cli import control_client
from cairndale.cli.control_client import ApiAnswer, UnclearAnswerError, request
from tests.testing.canned_server import CannedServer
from tests.testing.ingress import HOST

ROOT = Path(__file__).parents[2]
BODY = b'{"gen": 7}'
VALID = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
INCOMPLETE = VALID.replace(b"Length: ", b"Length: 1")  # the JSON is complete, the answer is not
UNFRAMED = b"HTTP/1.0 200 OK\r\n\r\n" + BODY


@pytest.fixture(autouse=True)
def one_round(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_client, "TIMEOUT_S", 0.01)


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("name", [*MALFORMED, "incomplete"])
def test_malformed_answer_is_not_clear(name: str, bytewise: bool) -> None:
    response = INCOMPLETE if name == "incomplete" else MALFORMED[name](b"", BODY)
    with CannedServer(response, bytewise=bytewise) as server, pytest.raises(UnclearAnswerError):
        request([(HOST, server.port)], "POST", "Config.Replace", b"{}")


def test_answer_that_is_nested_too_deeply_is_not_clear() -> None:
    body = b"[" * 100_000
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    with CannedServer(response) as server, pytest.raises(UnclearAnswerError):
        request([(HOST, server.port)], "GET", "Config.Read")


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("response", [VALID, EARLY_HINTS + VALID, UNFRAMED])
def test_valid_answer_is_clear(response: bytes, bytewise: bool) -> None:
    with CannedServer(response, bytewise=bytewise) as server:
        answer = request([(HOST, server.port)], "POST", "Config.Replace", b"{}")
    assert answer == ApiAnswer(200, {"gen": 7})
    assert server.requests[0].startswith(b"POST /-/Config.Replace HTTP/1.1\r\n")
    assert b"Content-Type: application/json\r\n" in server.requests[0]


def test_program_asks_again_after_a_malformed_answer() -> None:
    """The order may have taken effect; the calls allow for a second copy."""
    malformed = MALFORMED["blank behind a name"](b"", b'{"orders": ["wrong"]}')
    valid = VALID.replace(b"10", b"19").replace(BODY, b'{"orders": ["own"]}')
    with CannedServer(malformed, valid) as server:
        command = [sys.executable, "-m", "cairndale.cli", "evacuate", "north-a", "--yes"]
        command += ["--at", f"{HOST}:{server.port}"]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and "['own']" in done.stdout, done
    assert "wrong" not in done.stdout and len(server.requests) == 2


# Guards against an order for another zone than the one that the operator named.
def test_program_sends_the_name_of_the_zone_as_it_is() -> None:
    response = VALID.replace(b"10", b"13").replace(BODY, b'{"orders": 1}')
    with CannedServer(response) as server:
        command = [sys.executable, "-m", "cairndale.cli", "evacuate", "a/b?c d%", "--yes"]
        command += ["--at", f"{HOST}:{server.port}"]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done
    assert server.requests[0].startswith(b"POST /-/Drain.Begin/a%2Fb%3Fc%20d%25 HTTP/1.1\r\n")
