"""Writes the golden files in `tests/golden/23c1936`: states that commit 23c1936 stored.

Run by hand, inside a checkout of that commit, with its pinned requirements installed:

    git worktree add ../23c1936 23c1936
    PYTHONPATH=../23c1936 python tests/golden/generate_23c1936.py tests/golden/23c1936

The files are evidence of the old program: they are never made anew from a later one.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State


def route(name: str, host: str) -> dict[str, Any]:
    common = {"pathPrefix": "/p/", "kind": "mutating", "backend": "s"}
    return {"name": name, "host": host, **common}


# What later versions refuse: hosts of one normal form, an address without brackets, odd names.
ODD = {
    "gen": 1,
    "parent": 0,
    "routes": [
        route("dot", "a.example."),
        route("plain", "a.example"),
        route("port", "a.example:8206"),
        route("address", "::1"),
    ],
    "backends": [{"name": "s"}],
    "tenants": [
        {"name": "t", "apiKeys": ["k"]},
        {"name": "t ", "apiKeys": ["k2", "blank "]},
    ],
}
EMPTIED = {"gen": 2, "parent": 1, "remove": {"tenants": ["t", "t "]}}


def main(folder: Path) -> None:
    """Writes all files."""
    folder.mkdir(parents=True, exist_ok=True)
    state = State()
    state.apply(Command(Verb.REPLACE, "odd", ODD))
    (folder / "odd.state").write_bytes(state.encode())
    state.apply(Command(Verb.UPDATE, "emptied", EMPTIED))
    (folder / "emptied.state").write_bytes(state.encode())


if __name__ == "__main__":
    main(Path(sys.argv[1]))
