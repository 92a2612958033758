"""What a watch is told: the lines for a reader that holds some version. Pure.

Three kinds of reader: `plain`, as PROTOCOL has it; `extended`, which names the lineage it holds and
gets versions, epoch and removals that a snapshot could not otherwise show; `follow`, a replica,
which gets all."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

from cairndale.discovery.state import Server, State

# ms of a replica's silence from its leader, from which on extended readers are told
AGE_TOLD = 4000


@dataclass(frozen=True, slots=True)
class Reader:
    kind: str = "plain"
    epoch: int | None = None
    lineage: str | None = None


@dataclass(frozen=True, slots=True)
class Told:
    """Lines, each with its newline, and the version and epoch that a reader holds after them."""

    lines: bytes
    index: int
    epoch: int
    whole: bool


def _line(what: dict[str, Any]) -> bytes:
    return json.dumps(what, separators=(",", ":")).encode() + b"\n"


def _removed(name: str, version: int, extended: bool) -> dict[str, Any]:
    gone = Server(name, ":0", status="removed", version=version)
    return gone.listed(extended)


def _marks(state: State, reader: Reader) -> dict[str, Any]:
    return {} if reader.kind == "plain" else {"epoch": state.epoch, "lineage": state.lineage}


def whole(state: State, reader: Reader, writes_at: str = "") -> Told:
    extended = reader.kind != "plain"
    what: dict[str, Any] = {
        "index": state.index,
        "snapshot": True,
        "endpoints": [s.listed(extended) for s in state.servers.values()],
    } | _marks(state, reader)
    if extended:
        what["gone"] = list(state.gone.items())
    if reader.kind == "follow":
        what |= {"state": state.dump(), "writes_at": writes_at}
    return Told(_line(what), state.index, state.epoch, True)


def since(state: State, reader: Reader, index: int, writes_at: str = "") -> Told:
    """What has changed after a version, or the whole list where that cannot be told. A follower
    hears with it where writes go."""
    another = reader.lineage is not None and reader.lineage != state.lineage
    if another or not state.knows(index, reader.epoch):
        return whole(state, reader, writes_at)
    extended, marks = reader.kind != "plain", _marks(state, reader)
    servers, removed, back = state.changes(index)
    newer = (
        index < state.index if reader.kind == "follow" else extended and reader.epoch != state.epoch
    )
    if not (servers or removed or newer):
        return Told(b"", state.index, state.epoch, False)
    gone = [_removed(n, state.gone[n], extended) for n in removed]
    lines = b""
    if back and reader.kind != "follow":  # removed and set again: neither half may be missed
        again = [_removed(n, state.gone[n], extended) for n in back]
        lines = _line({"index": index, "snapshot": False, "endpoints": again} | marks)
    what: dict[str, Any] = {
        "index": state.index,
        "snapshot": False,
        "endpoints": gone + [s.listed(extended) for s in servers],
    } | marks
    if reader.kind == "follow":
        what["writes_at"] = writes_at
        what["record"] = {
            "i": state.index,
            "e": state.epoch,
            "set": [asdict(s) for s in servers],
            "gone": [(n, state.gone[n]) for n in removed + back],
            "writes": [w for w in state.writes.values() if w[3] > index],
            "spans": state.spans,
        }
    return Told(lines + _line(what), state.index, state.epoch, False)


def beat(state: State, reader: Reader, age_ms: int, writes_at: str = "") -> bytes:
    """While nothing changes: an empty line, but for those that understand more."""
    if reader.kind == "plain" or (reader.kind == "extended" and age_ms < AGE_TOLD):
        return b"\n"
    what: dict[str, Any] = {
        "index": state.index,
        "snapshot": False,
        "endpoints": [],
        "age_ms": age_ms,
    }
    if reader.kind == "follow":
        what["writes_at"] = writes_at
    return _line(what | _marks(state, reader))
