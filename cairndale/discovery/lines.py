"""Encodes the lines of a list or a watch, for a reader at a given version. Free of I/O.

There are three kinds of reader. A `plain` reader gets what PROTOCOL defines. An `extended` reader
names the lineage of its list, and also gets server versions, the epoch, and the removals that a
snapshot would not show. A `follow` reader is a replica and gets the complete state."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any

from cairndale.discovery.state import Server, State

# Extended readers are sent the age of a replica's list once it is at least this old.
AGE_REPORT_THRESHOLD_MS = 4000


@dataclass(frozen=True, slots=True)
class Reader:
    """What a reader understands (`plain`, `extended` or `follow`), and the list that it has."""

    kind: str = "plain"
    epoch: int | None = None
    lineage: str | None = None


@dataclass(frozen=True, slots=True)
class WatchUpdate:
    """Encoded lines, each with its newline, and the version and epoch that a reader is at after
    them."""

    lines: bytes
    index: int
    epoch: int
    is_full: bool


def _encode_line(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def _removal_entry(name: str, version: int, extended: bool) -> dict[str, Any]:
    removed_server = Server(name, ":0", status="removed", version=version)
    return removed_server.listing_entry(extended)


def _lineage_fields(state: State, reader: Reader) -> dict[str, Any]:
    return {} if reader.kind == "plain" else {"epoch": state.epoch, "lineage": state.lineage}


def encode_full_list(state: State, reader: Reader, writes_at: str = "") -> WatchUpdate:
    """Returns the complete list as a snapshot line."""
    extended = reader.kind != "plain"
    fields: dict[str, Any] = {
        "index": state.index,
        "snapshot": True,
        "endpoints": [s.listing_entry(extended) for s in state.servers.values()],
    } | _lineage_fields(state, reader)
    if extended:
        fields["gone"] = list(state.removed_versions.items())
    if reader.kind == "follow":
        fields |= {"state": state.dump(), "writes_at": writes_at}
    return WatchUpdate(_encode_line(fields), state.index, state.epoch, True)


def encode_changes(state: State, reader: Reader, index: int, writes_at: str = "") -> WatchUpdate:
    """Returns the changes after version `index`, or the full list if those are not known.

    A follower also gets `writes_at`, the address that takes writes."""
    other_lineage = reader.lineage is not None and reader.lineage != state.lineage
    if other_lineage or not state.knows_changes_since(index, reader.epoch):
        return encode_full_list(state, reader, writes_at)
    extended, lineage_fields = reader.kind != "plain", _lineage_fields(state, reader)
    servers, removed, reregistered = state.changes_since(index)
    must_send = (
        index < state.index if reader.kind == "follow" else extended and reader.epoch != state.epoch
    )
    if not (servers or removed or must_send):
        return WatchUpdate(b"", state.index, state.epoch, False)
    removal_entries = [_removal_entry(n, state.removed_versions[n], extended) for n in removed]
    lines = b""
    # A server that was removed and registered again is sent as both, the removal first.
    if reregistered and reader.kind != "follow":
        removals_first = [
            _removal_entry(n, state.removed_versions[n], extended) for n in reregistered
        ]
        lines = _encode_line(
            {"index": index, "snapshot": False, "endpoints": removals_first} | lineage_fields
        )
    fields: dict[str, Any] = {
        "index": state.index,
        "snapshot": False,
        "endpoints": removal_entries + [s.listing_entry(extended) for s in servers],
    } | lineage_fields
    if reader.kind == "follow":
        fields["writes_at"] = writes_at
        fields["record"] = {
            "i": state.index,
            "e": state.epoch,
            "set": [asdict(s) for s in servers],
            "gone": [(n, state.removed_versions[n]) for n in removed + reregistered],
            "writes": [w for w in state.writes.values() if w[3] > index],
            "spans": state.past_epochs,
        }
    return WatchUpdate(lines + _encode_line(fields), state.index, state.epoch, False)


def encode_heartbeat(state: State, reader: Reader, age_ms: int, writes_at: str = "") -> bytes:
    """Returns the line sent while nothing changes: an empty one, or one with the list's age.

    Followers always get the age; extended readers get it once the list is old."""
    if reader.kind == "plain" or (reader.kind == "extended" and age_ms < AGE_REPORT_THRESHOLD_MS):
        return b"\n"
    fields: dict[str, Any] = {
        "index": state.index,
        "snapshot": False,
        "endpoints": [],
        "age_ms": age_ms,
    }
    if reader.kind == "follow":
        fields["writes_at"] = writes_at
    return _encode_line(fields | _lineage_fields(state, reader))
