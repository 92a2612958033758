"""Documents about the model: a JSON Schema, the reference page and a commented example file."""

from __future__ import annotations

from typing import Any, Literal, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Meta

from cairndale.ingress.cli.checked import (
    described_keys,
    list_item_struct,
    struct_type,
    without_none,
)
from cairndale.ingress.cli.model import (
    SIZE_UNITS_BYTES,
    SOURCE_KINDS,
    TIME_UNITS_US,
    Address,
    Config,
    Duration,
    Size,
    Source,
    to_builtins,
)

# Types that are text in a file: the pattern in the schema, and the form for the reference page.
STRING_FORMATS: dict[type, tuple[str, str]] = {
    Duration: (rf"^[0-9]+(\.[0-9]+)?\s*({'|'.join(TIME_UNITS_US)})$", 'a time, as `"250ms"`'),
    Size: (rf"^[0-9]+(\.[0-9]+)?\s*({'|'.join(SIZE_UNITS_BYTES)})$", 'a size, as `"64MiB"`'),
    Address: (r"^.+:[0-9]{1,5}$", "`HOST:PORT`"),
    Source: (
        rf"^({'|'.join(SOURCE_KINDS)}):.+$",
        "`header:NAME`, `cookie:NAME`, `query:NAME` or `constant:VALUE`",
    ),
}


def _schema_hook(kind: type) -> dict[str, Any]:
    if kind in STRING_FORMATS:
        return {"type": "string", "pattern": STRING_FORMATS[kind][0]}
    raise NotImplementedError(kind)


def json_schema(kind: Any = Config) -> dict[str, Any]:
    """The JSON Schema (2020-12) of a configuration or of one of its tables; defaults are given as
    in a file, with their units."""
    header = {"$schema": "https://json-schema.org/draft/2020-12/schema"} if kind is Config else {}
    properties, required = {}, []
    for field in msgspec.structs.fields(kind):
        if struct := struct_type(without_none(field.type)):
            key_schema = json_schema(struct)
        elif struct := list_item_struct(field.type):
            key_schema = {"type": "array", "items": json_schema(struct)}
        else:
            key_schema = msgspec.json.schema(field.type, schema_hook=_schema_hook)
            if field.default is not NODEFAULT and field.default is not None:
                key_schema["default"] = to_builtins(field.default)
        if field.required:
            required.append(field.encode_name)
        properties[field.encode_name] = key_schema
    table = {"type": "object", "properties": properties, "additionalProperties": False}
    return header | table | ({"required": required} if required else {})


def describe_type(hint: Any) -> str:
    """What values a key may have, in words for the reference page."""
    metas = [m for m in getattr(hint, "__metadata__", ()) if isinstance(m, Meta)]
    base = get_args(hint)[0] if metas else hint
    while hasattr(base, "__metadata__"):
        metas = [*(m for m in base.__metadata__ if isinstance(m, Meta)), *metas]
        base = get_args(base)[0]
    options = (
        [k for k in get_args(base) if k is not type(None)]
        if get_origin(base) is not Literal
        else []
    )
    if type(None) in get_args(base):
        base = options[0]
    if get_origin(base) is Literal:
        return " or ".join(f'`"{v}"`' for v in get_args(base))
    if base in STRING_FORMATS:
        return STRING_FORMATS[base][1]
    if get_origin(base) is list:
        return f"a list of: {describe_type(get_args(base)[0])}"
    if get_origin(base) is dict:
        return "a table of text values"
    text = {bool: "`true` or `false`", int: "an integer", float: "a number", str: "text"}.get(
        base, str(base)
    )
    for meta in metas:
        text += f", at least {meta.ge:g}" if meta.ge is not None else ""
        text += f", greater than {meta.gt:g}" if meta.gt is not None else ""
        text += f", at most {meta.le}" if meta.le is not None else ""
    return text


def _default(value: Any) -> str:
    if value is NODEFAULT:
        return "-"
    default = to_builtins(value)
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    return "none" if default is None or default in ({}, []) else f"`{default!r}`".replace("'", '"')


def reference_page() -> str:
    """The text of `docs/configuration-reference.md`."""
    lines = [
        "# Configuration reference",
        "",
        "Generated from the model by `ironledge config reference`; a test checks that this page is "
        "up to date.",
        "The file is TOML, or the same as JSON if its name ends in `.json`. Tables in `[[ ]]` may "
        "be repeated.",
        "The environment (`IRONLEDGE_LIMITS__SOCKETS=512`) overrides the file; `--set "
        "limits.sockets=512`",
        "overrides both.",
        "",
    ]
    section = None
    for key, hint, default, text in described_keys(Config):
        table, _, name = key.rpartition(".")
        if table != section:
            title = (
                f"[[{table[:-2]}]]"
                if table.endswith("[]")
                else f"[{table}]"
                if table
                else "Top level"
            )
            optional = table in ("discovery", "counter")
            lines += ["", f"## {title}", ""] + (["This table is optional.", ""] if optional else [])
            lines += ["| key | | default | allowed |", "| --- | --- | --- | --- |"]
            section = table
        lines.append(
            f"| `{name}` | {text} | {_default(default)} | {describe_type(hint)} |".replace(
                "| - |", "| (required) |"
            )
        )
    return "\n".join(lines) + "\n"


EXAMPLE_CONFIG = """\
# A single ingress in front of two HTTP servers, without discovery and without a shared counter.
# To try it:  python3 -m http.server 9001 &  python3 -m http.server 9002 &
#             ironledge run -c ironledge.toml
#             curl -i 127.0.0.1:8080/ -H 'X-Api-Key: anna'

listen = "127.0.0.1:8080"       # where clients connect
ops = "127.0.0.1:8081"          # for operators' calls: ironledge ops status 127.0.0.1:8081

[[server]]
name = "one"
address = "127.0.0.1:9001"

[[server]]
name = "two"
address = "127.0.0.1:9002"

[[class]]                       # requests of one kind, by the longest matching path prefix
name = "all"
path = "/"
aim = "1s"                      # latency target
deadline = "10s"                # the longest that a client waits for an answer
repeat = "unsafe"               # "safe": may be sent again although it may have been executed

[[plan]]                        # each customer has a quota of its own
name = "default"
rate = 5                        # requests per second ...
burst = 10                      # ... and how many at once

[[plan]]
name = "gold"
rate = 100
burst = 200

[request]                       # where the properties of a request are found in it
customer = "header:X-Api-Key"   # requests without it belong to one customer, `anonymous`
plan = "constant:default"

[customers]                     # customers on other plans
anna = "gold"

# Several ingresses share quotas through a counter, and their list of servers through discovery:
# [fleet]
# gateways = 3
# number = 0
# [counter]
# address = "127.0.0.1:6400"
# [discovery]
# address = "127.0.0.1:8500"
"""
