"""Conversion of file contents to msgspec structs with every error reported at once: the key, the
value found and what is allowed."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator
from types import UnionType
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec
from msgspec import UNSET, Meta, Struct

DecodeHook = Callable[[type, Any], Any]


def about(text: str) -> Meta:
    """The annotation that describes a key to users."""
    return Meta(description=text)


def join_key(parent: str, key: str) -> str:
    """The dotted path of a key in the table `parent`; empty: the top level."""
    return f"{parent}.{key}" if parent else key


def without_none(kind: Any) -> Any:
    """`X` for `X | None`; any other type as it is."""
    if get_origin(kind) in (UnionType, Union):
        return next(k for k in get_args(kind) if k is not type(None))
    return kind


def struct_type(kind: Any) -> type[Struct] | None:
    """The struct that a type is, possibly annotated; None for any other type."""
    kind = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    return kind if isinstance(kind, type) and issubclass(kind, Struct) else None


def list_item_struct(kind: Any) -> type[Struct] | None:
    """The struct of a list's items; None for other types, and for lists of other items."""
    kind = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    return struct_type(get_args(kind)[0]) if get_origin(kind) is list else None


def convert(
    value: Any, kind: Any, path: str, errors: list[str], hook: DecodeHook | None = None
) -> Any:
    """Converts decoded TOML or JSON to a type, and collects every error.

    Args:
        value: decoded TOML or JSON.
        kind: the type to convert to.
        path: the dotted path of `value`; empty: the top level.
        errors: each error is appended as `key: reason`.
        hook: decodes types that msgspec does not know.

    Returns:
        The converted value, or UNSET after an error.
    """
    if (struct := struct_type(without_none(kind))) is not None:
        if not isinstance(value, dict):
            errors.append(f"{path}: found {value!r}: expected a table")
            return UNSET
        fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
        for key in sorted(value.keys() - fields.keys()):
            similar = difflib.get_close_matches(key.lower(), fields, 1)
            errors.append(
                f"{join_key(path, key)}: unknown key"
                + (f"; did you mean {similar[0]!r}?" if similar else "")
            )
        converted: dict[str, Any] = {}
        for key, field in fields.items():
            if key in value:
                converted[field.name] = convert(
                    value[key], field.type, join_key(path, key), errors, hook
                )
            elif field.required:
                errors.append(f"{join_key(path, key)}: is missing")
        complete = all(f.name in converted for f in fields.values() if f.required)
        return struct(**converted) if complete and UNSET not in converted.values() else UNSET
    if list_item_struct(kind) is not None:
        if not isinstance(value, list):
            errors.append(f"{path}: found {value!r}: expected a list of tables")
            return UNSET
        item_type = get_args(get_args(kind)[0] if get_origin(kind) is Annotated else kind)[0]
        rows = [convert(v, item_type, f"{path}[{n}]", errors, hook) for n, v in enumerate(value)]
        return UNSET if UNSET in rows else rows
    try:
        return msgspec.convert(value, kind, dec_hook=hook)
    except msgspec.ValidationError as error:
        reason = str(error).partition(" - at ")[0]
        reason = reason.replace("Expected", "expected", 1).replace("Invalid", "invalid", 1)
        errors.append(f"{path}: found {value!r}: {reason}")
        return UNSET


def described_keys(kind: type[Struct], path: str = "") -> Iterator[tuple[str, Any, Any, str]]:
    """Key, type, default (NODEFAULT: none) and description of every key that has a description."""
    for field in msgspec.structs.fields(kind):
        key, hint = join_key(path, field.encode_name), field.type
        if struct := struct_type(without_none(hint)):
            yield from described_keys(struct, key)
        elif struct := list_item_struct(hint):
            yield from described_keys(struct, f"{key}[]")
        else:
            metas = [m for m in getattr(hint, "__metadata__", ()) if isinstance(m, Meta)]
            texts = [m.description for m in metas if m.description]
            default = field.default
            if field.default_factory is not msgspec.NODEFAULT:
                default = field.default_factory()
            if texts:
                yield key, hint, default, texts[-1]


def line_of_key(text: str, path: str) -> int:
    """The line of a TOML text on which a key is set, or else that of the closest enclosing key or
    table; from 1, and 0 if none is found."""
    tokens = re.findall(r"[^.\[\]]+|\[\d+\]", path)
    names = [token for token in tokens if not token.startswith("[")]
    indexes = [int(token[1:-1]) for token in tokens if token.startswith("[")]
    table: list[str] = []
    entry_indexes: dict[str, int] = {}  # of each array of tables: the index of its current entry
    closest = 0
    for number, line in enumerate(text.splitlines(), 1):
        if match := re.match(r"\s*\[\[?\s*([^\]]+?)\s*\]\]?\s*(#.*)?$", line):
            table = [part.strip().strip("\"'") for part in match[1].split(".")]
            if line.lstrip().startswith("[["):
                name = ".".join(table)
                entry_indexes[name] = entry_indexes.get(name, -1) + 1
            if table == names and (
                not indexes or entry_indexes.get(".".join(table), 0) == indexes[0]
            ):
                closest = closest or number
            continue
        if match := re.match(r"\s*([A-Za-z0-9_\"'-]+)\s*=", line):
            key = [*table, match[1].strip("\"'")]
            same_entry = not indexes or entry_indexes.get(".".join(table), 0) == indexes[0]
            if same_entry and key == names[: len(key)]:
                if key == names:
                    return number
                closest = number
    return closest
