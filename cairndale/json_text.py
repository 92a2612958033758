"""JSON of operators and servers: its decoding, and the text that processes can pass on.

JSON may hold an escaped half of a surrogate pair (`\\ud800`), which is no text in UTF-8, so that no
message can carry it. It may be nested more deeply than the interpreter can decode.
"""

from __future__ import annotations

import json
from typing import Any

MAX_NESTING = 500  # levels; each process can decode twice as many
NOT_ENCODABLE = "has half of a surrogate pair, which is not a character"


def decode_json(body: bytes) -> Any:
    """Return the value of a JSON text. Raises ValueError, also if it is nested too deeply."""
    try:
        return json.loads(body)
    except RecursionError as error:
        raise ValueError(str(error)) from None


def is_encodable(text: str) -> bool:
    """Whether a string can be encoded in UTF-8."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
