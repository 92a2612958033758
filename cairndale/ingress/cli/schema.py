"""What is generated from the model: a JSON Schema, the reference page, a commented file to begin
with."""

from __future__ import annotations

from typing import Any, Literal, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Meta

from cairndale.ingress.cli.checked import described, list_of, plain, struct_of
from cairndale.ingress.cli.model import (
    SIZES,
    SOURCES,
    TIMES,
    Address,
    Config,
    Duration,
    Size,
    Source,
    written,
)

FORMS: dict[type, tuple[str, str]] = {
    Duration: (rf"^[0-9]+(\.[0-9]+)?\s*({'|'.join(TIMES)})$", 'a time, as `"250ms"`'),
    Size: (rf"^[0-9]+(\.[0-9]+)?\s*({'|'.join(SIZES)})$", 'a size, as `"64MiB"`'),
    Address: (r"^.+:[0-9]{1,5}$", "`HOST:PORT`"),
    Source: (
        rf"^({'|'.join(SOURCES)}):.+$",
        "`header:NAME`, `cookie:NAME`, `query:NAME` or `constant:VALUE`",
    ),
}


def _schema_hook(kind: type) -> dict[str, Any]:
    if kind in FORMS:
        return {"type": "string", "pattern": FORMS[kind][0]}
    raise NotImplementedError(kind)


def schema(kind: Any = Config) -> dict[str, Any]:
    """JSON Schema (2020-12) of a configuration; defaults as they stand in a file, with their
    units."""
    top = {"$schema": "https://json-schema.org/draft/2020-12/schema"} if kind is Config else {}
    properties, required = {}, []
    for field in msgspec.structs.fields(kind):
        if struct := struct_of(plain(field.type)):
            found = schema(struct)
        elif struct := list_of(field.type):
            found = {"type": "array", "items": schema(struct)}
        else:
            found = msgspec.json.schema(field.type, schema_hook=_schema_hook)
            if field.default is not NODEFAULT and field.default is not None:
                found["default"] = written(field.default)
        if field.required:
            required.append(field.encode_name)
        properties[field.encode_name] = found
    made = {"type": "object", "properties": properties, "additionalProperties": False}
    return top | made | ({"required": required} if required else {})


def allowed(hint: Any) -> str:
    """What a key may hold, for people."""
    metas = [m for m in getattr(hint, "__metadata__", ()) if isinstance(m, Meta)]
    base = get_args(hint)[0] if metas else hint
    while hasattr(base, "__metadata__"):
        metas = [*(m for m in base.__metadata__ if isinstance(m, Meta)), *metas]
        base = get_args(base)[0]
    kinds = (
        [k for k in get_args(base) if k is not type(None)]
        if get_origin(base) is not Literal
        else []
    )
    if type(None) in get_args(base):
        base = kinds[0]
    if get_origin(base) is Literal:
        return " or ".join(f'`"{v}"`' for v in get_args(base))
    if base in FORMS:
        return FORMS[base][1]
    if get_origin(base) is list:
        return f"a list of: {allowed(get_args(base)[0])}"
    if get_origin(base) is dict:
        return "a table of names"
    text = {bool: "`true` or `false`", int: "a whole number", float: "a number", str: "text"}.get(
        base, str(base)
    )
    for meta in metas:
        text += f", {meta.ge:g} or more" if meta.ge is not None else ""
        text += f", over {meta.gt:g}" if meta.gt is not None else ""
        text += f", {meta.le} at the most" if meta.le is not None else ""
    return text


def _default(value: Any) -> str:
    if value is NODEFAULT:
        return "-"
    shown = written(value)
    if isinstance(shown, bool):
        return f"`{str(shown).lower()}`"
    return "none" if shown is None or shown in ({}, []) else f"`{shown!r}`".replace("'", '"')


def reference() -> str:
    """`docs/configuration-reference.md`."""
    lines = [
        "# Configuration reference",
        "",
        "Made from the model by `ironledge config reference`; a test holds the two "
        "together. The file is",
        "TOML, or the same as JSON where its name ends in `.json`. Tables in `[[ ]]` may "
        "come several times.",
        "The environment (`IRONLEDGE_LIMITS__SOCKETS=512`) goes before the file, `--set "
        "limits.sockets=512`",
        "before both.",
        "",
    ]
    section = None
    for key, hint, default, text in described(Config):
        table, _, name = key.rpartition(".")
        if table != section:
            title = (
                f"[[{table[:-2]}]]"
                if table.endswith("[]")
                else f"[{table}]"
                if table
                else "The top"
            )
            optional = table in ("discovery", "counter")
            lines += ["", f"## {title}", ""] + (
                ["May be left out as a whole.", ""] if optional else []
            )
            lines += ["| key | | default | allowed |", "| --- | --- | --- | --- |"]
            section = table
        lines.append(
            f"| `{name}` | {text} | {_default(default)} | {allowed(hint)} |".replace(
                "| - |", "| (wanted) |"
            )
        )
    return "\n".join(lines) + "\n"


FIRST = """\
# An ingress before two HTTP servers, on its own: no discovery, no counter.
# Try it:  python3 -m http.server 9001 &  python3 -m http.server 9002 &
#          ironledge run -c ironledge.toml
#          curl -i 127.0.0.1:8080/ -H 'X-Api-Key: anna'

listen = "127.0.0.1:8080"       # where clients connect
ops = "127.0.0.1:8081"          # where you ask how it is: ironledge ops status 127.0.0.1:8081

[[server]]
name = "one"
address = "127.0.0.1:9001"

[[server]]
name = "two"
address = "127.0.0.1:9002"

[[class]]                       # requests of one kind, by the beginning of their path: the longest
name = "all"
path = "/"
aim = "1s"                      # an answer within this is a good one
deadline = "10s"                # no client waits longer
repeat = "unsafe"               # "safe": may be sent again though it may have run

[[plan]]                        # each customer has a quota of its own
name = "default"
rate = 5                        # requests a second ...
burst = 10                      # ... and how many at once

[[plan]]
name = "gold"
rate = 100
burst = 200

[request]                       # where things are found in a request
customer = "header:X-Api-Key"   # without it the request belongs to one customer, `anonymous`
plan = "constant:default"

[customers]                     # plans by customer, where they have another one
anna = "gold"

# Several ingresses share quotas through a counter, and servers through the list service:
# [fleet]
# gateways = 3
# number = 0
# [counter]
# address = "127.0.0.1:6400"
# [discovery]
# address = "127.0.0.1:8500"
"""
