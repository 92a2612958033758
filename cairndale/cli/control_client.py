"""HTTP client of the control API, which tries one control node after the other."""

from __future__ import annotations

import http.client
import json
import random
import time
from dataclasses import dataclass
from typing import Any

from cairndale.settings import Address

TIMEOUT_S = 20.0  # for a clear answer, over all attempts
ATTEMPT_TIMEOUT_S = 3.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 2.0  # between rounds over all addresses
# Statuses besides 5xx that say nothing of the call itself.
UNCLEAR_STATUSES = (408, 429)


class UnclearAnswerError(Exception):
    """No control node has answered clearly; what was ordered may yet come into force.

    The text says what the last attempt brought.
    """


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """A clear answer: its HTTP status, and its body as decoded JSON."""

    status: int
    value: Any


def request(addresses: list[Address], method: str, call: str, body: bytes = b"") -> ApiAnswer:
    """The first clear answer of any of these control nodes.

    After a failure or a 5xx the same call goes to the next: it may run more than once, which the
    API's calls allow.

    Args:
        addresses: of control nodes, tried in random order.
        method: of HTTP.
        call: the path after `/-/`.
        body: JSON, or empty.

    Raises:
        UnclearAnswerError: no clear answer within `TIMEOUT_S`.
    """
    deadline, failure, pause_s = time.monotonic() + TIMEOUT_S, "no address", MIN_PAUSE_S
    while addresses and time.monotonic() < deadline:
        for address in random.sample(addresses, len(addresses)):
            try:
                return _attempt(address, method, call, body)
            except UnclearAnswerError as error:
                failure = str(error)
        time.sleep(pause_s * random.uniform(0.5, 1.5))
        pause_s = min(MAX_PAUSE_S, pause_s * 2)
    raise UnclearAnswerError(failure)


def _attempt(address: Address, method: str, call: str, body: bytes) -> ApiAnswer:
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=ATTEMPT_TIMEOUT_S)
    try:
        connection.request(method, f"/-/{call}", body, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read()
        if answer.status < 500 and answer.status not in UNCLEAR_STATUSES:
            return ApiAnswer(answer.status, json.loads(text))
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise UnclearAnswerError(f"{host}:{port}: {error}") from error
    finally:
        connection.close()
    raise UnclearAnswerError(f"{host}:{port} answers {answer.status}")
