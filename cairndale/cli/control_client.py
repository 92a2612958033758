"""HTTP client of the control API, which tries one control node after another."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass
from typing import Any

from cairndale.ingress.net.http import call_blocking, encode_call
from cairndale.settings import Address

TIMEOUT_S = 20.0  # for a clear answer, over all attempts
ATTEMPT_TIMEOUT_S = 3.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 2.0  # between rounds over all addresses
# Statuses besides 5xx that do not tell whether the call was accepted or rejected.
UNCLEAR_STATUSES = (408, 429)


class UnclearAnswerError(Exception):
    """No control node has answered clearly; the order may still take effect.

    The text describes the result of the last attempt.
    """


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """A clear answer: its HTTP status, and its body as decoded JSON."""

    status: int
    value: Any


def request(addresses: list[Address], method: str, call: str, body: bytes = b"") -> ApiAnswer:
    """Return the first clear answer of any of these control nodes.

    After a failure or a 5xx status the same call is sent to the next node. It may therefore be
    executed more than once, which the API's calls allow.

    Args:
        addresses: addresses of control nodes, tried in random order.
        method: HTTP method.
        call: path after `/-/`.
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
    request_data = encode_call(
        method, f"/-/{call}", f"{host}:{port}", body, {"Content-Type": "application/json"}
    )
    try:
        response = call_blocking(host, port, request_data, ATTEMPT_TIMEOUT_S)
        if response.status < 500 and response.status not in UNCLEAR_STATUSES:
            return ApiAnswer(response.status, json.loads(response.body))
    except (OSError, ValueError, RecursionError) as error:  # the last for deeply nested JSON
        raise UnclearAnswerError(f"{host}:{port}: {error}") from error
    raise UnclearAnswerError(f"{host}:{port}: status {response.status}")
