"""JSON of operators and servers: its decoding, and the text that processes can pass on unchanged.

JSON may hold an escaped half of a surrogate pair (`\\ud800`), which is no text in UTF-8, so that no
message can carry it. It may be nested more deeply than the interpreter can decode.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_NESTING = 500  # levels; each process can decode twice as many
NOT_ENCODABLE = "has half of a surrogate pair, which is not a character"
# C0 and C1 controls, DEL, and the separators of lines and paragraphs.
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")
_BYTE_ORDER_MARK = "\ufeff"  # some receivers trim it as white space


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


def line_error(text: str) -> str:
    """Why one line of a log cannot carry a text unchanged; empty if it can."""
    return "has a control character or a line break" if _CONTROL_CHARACTER.search(text) else ""


def field_error(text: str) -> str:
    """Why a field of HTTP cannot carry a text unchanged as its value; empty if it can.

    Receivers remove white space around a value (RFC 9110, section 5.5), many of them any that
    Unicode has. Bytes beyond ASCII are carried as they are.
    """
    if not text:
        return "is empty"
    if not is_encodable(text):
        return NOT_ENCODABLE
    if text != text.strip() or _BYTE_ORDER_MARK in (text[0], text[-1]):
        return "begins or ends with white space"
    return line_error(text)


def escape_line(text: str) -> str:
    """The text with each control character as an escape sequence, as one line of a log."""
    return _CONTROL_CHARACTER.sub(lambda match: ascii(match[0])[1:-1], text)
