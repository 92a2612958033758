"""Reading a file into msgspec structs with every error at once: key, what was found, what is
allowed."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator
from types import UnionType
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec
from msgspec import UNSET, Meta, Struct

Hook = Callable[[type, Any], Any]


def about(text: str) -> Meta:
    """What a key is for."""
    return Meta(description=text)


def at(where: str, key: str) -> str:
    return f"{where}.{key}" if where else key


def plain(kind: Any) -> Any:
    """`X | None` as X."""
    if get_origin(kind) in (UnionType, Union):
        return next(k for k in get_args(kind) if k is not type(None))
    return kind


def struct_of(kind: Any) -> type[Struct] | None:
    kind = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    return kind if isinstance(kind, type) and issubclass(kind, Struct) else None


def list_of(kind: Any) -> type[Struct] | None:
    kind = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    return struct_of(get_args(kind)[0]) if get_origin(kind) is list else None


def sound(value: Any, kind: Any, where: str, errors: list[str], hook: Hook | None = None) -> Any:
    """`value` as `kind`, or UNSET; all that is wrong goes to `errors` as `key: reason`, not the
    first alone."""
    if (struct := struct_of(plain(kind))) is not None:
        if not isinstance(value, dict):
            errors.append(f"{where}: found {value!r}, a table is wanted")
            return UNSET
        fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
        for key in sorted(value.keys() - fields.keys()):
            near = difflib.get_close_matches(key.lower(), fields, 1)
            errors.append(
                f"{at(where, key)}: not known" + (f"; {near[0]!r} is meant?" if near else "")
            )
        made: dict[str, Any] = {}
        for key, field in fields.items():
            if key in value:
                made[field.name] = sound(value[key], field.type, at(where, key), errors, hook)
            elif field.required:
                errors.append(f"{at(where, key)}: is missing")
        whole = all(f.name in made for f in fields.values() if f.required)
        return struct(**made) if whole and UNSET not in made.values() else UNSET
    if list_of(kind) is not None:
        if not isinstance(value, list):
            errors.append(f"{where}: found {value!r}, a list of tables is wanted")
            return UNSET
        inner = get_args(get_args(kind)[0] if get_origin(kind) is Annotated else kind)[0]
        rows = [sound(v, inner, f"{where}[{n}]", errors, hook) for n, v in enumerate(value)]
        return UNSET if UNSET in rows else rows
    try:
        return msgspec.convert(value, kind, dec_hook=hook)
    except msgspec.ValidationError as error:
        reason = str(error).partition(" - at ")[0]
        reason = reason.replace("Expected", "expected", 1).replace("Invalid", "invalid", 1)
        errors.append(f"{where}: found {value!r}: {reason}")
        return UNSET


def described(kind: type[Struct], where: str = "") -> Iterator[tuple[str, Any, Any, str]]:
    """Key, type, default (NODEFAULT: none) and description of every key that has a description."""
    for field in msgspec.structs.fields(kind):
        key, hint = at(where, field.encode_name), field.type
        if struct := struct_of(plain(hint)):
            yield from described(struct, key)
        elif struct := list_of(hint):
            yield from described(struct, f"{key}[]")
        else:
            metas = [m for m in getattr(hint, "__metadata__", ()) if isinstance(m, Meta)]
            texts = [m.description for m in metas if m.description]
            default = field.default
            if field.default_factory is not msgspec.NODEFAULT:
                default = field.default_factory()
            if texts:
                yield key, hint, default, texts[-1]


def line_of(text: str, path: str) -> int:
    """The line of a TOML text on which a key stands, from 1; 0 where that cannot be told."""
    wanted = re.findall(r"[^.\[\]]+|\[\d+\]", path)
    names = [w for w in wanted if not w.startswith("[")]
    numbers = [int(w[1:-1]) for w in wanted if w.startswith("[")]
    table: list[str] = []
    counts: dict[str, int] = {}
    best = 0
    for number, line in enumerate(text.splitlines(), 1):
        if match := re.match(r"\s*\[\[?\s*([^\]]+?)\s*\]\]?\s*(#.*)?$", line):
            table = [part.strip().strip("\"'") for part in match[1].split(".")]
            if line.lstrip().startswith("[["):
                name = ".".join(table)
                counts[name] = counts.get(name, -1) + 1
            if table == names and (not numbers or counts.get(".".join(table), 0) == numbers[0]):
                best = best or number
            continue
        if match := re.match(r"\s*([A-Za-z0-9_\"'-]+)\s*=", line):
            here = [*table, match[1].strip("\"'")]
            right = not numbers or counts.get(".".join(table), 0) == numbers[0]
            if right and here == names[: len(here)]:
                if here == names:
                    return number
                best = number
    return best
