"""Checks that each process can read a decoded JSON value whole, whatever the value means."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from cairndale.configuration.content import chunks
from cairndale.configuration.stepwise import Steps
from cairndale.json_text import MAX_NESTING, NOT_ENCODABLE, is_encodable

VALUES_PER_STEP = 5_000


def value_errors_steps(value: Any) -> Steps[list[str]]:
    """All errors of a value, each with its path."""
    level, depth = [value], 0
    while level:
        depth += 1
        if depth > MAX_NESTING:
            return [f"nested more deeply than {MAX_NESTING} levels"]
        level_below: list[Any] = []
        for chunk in chunks(level, VALUES_PER_STEP):
            if not all(map(_has_valid_text, chunk)):
                return (yield from _text_errors_steps(value))
            for member in chunk:
                level_below.extend(_members(member))
            yield
        level = level_below
    return []


def _members(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _has_valid_text(value: Any) -> bool:
    """Whether a string, or the names of an object's fields, can be encoded."""
    if isinstance(value, str):
        return is_encodable(value)
    return not isinstance(value, dict) or all(map(is_encodable, value))


def _text_errors_steps(value: Any) -> Steps[list[str]]:
    """The errors of all strings in a value, in its order."""
    errors: list[str] = []
    pending: list[tuple[str, Any]] = [("", value)]
    visited = 0
    while pending:
        path, member = pending.pop()
        if isinstance(member, str) and not is_encodable(member):
            errors.append(f"{path}: {NOT_ENCODABLE}")
        if isinstance(member, dict):
            names = [name for name in member if not is_encodable(name)]
            errors += [f"{_field_path(path, name)}: {NOT_ENCODABLE}" for name in names]
        pending += reversed(list(_located_members(path, member)))
        visited += 1
        if visited % VALUES_PER_STEP == 0:
            yield
    return errors


def _located_members(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for name, member in value.items():
            yield _field_path(path, name), member
    elif isinstance(value, list):
        for number, member in enumerate(value):
            yield f"{path}[{number}]", member


def _field_path(path: str, name: str) -> str:
    shown = name if is_encodable(name) else repr(name)
    return f"{path}.{shown}" if path else shown
