"""What watches are told: whatever a reader of any kind missed, its list is the service's after one
line."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.discovery import lines, replica
from cairndale.discovery.lines import Reader
from cairndale.discovery.replica import ReplicationProgress
from cairndale.discovery.state import InvalidDataError, Record, RejectedError, State, WriteRequest
from tests.testing.discovery import register, statuses_by_name

FIXED = settings(max_examples=200, deadline=None, derandomize=True)
STEPS = st.one_of(
    st.builds(register, st.sampled_from("abcd"), st.integers(1, 2), st.integers(0, 2)),
    st.builds(WriteRequest, st.sampled_from(["drain", "remove"]), st.sampled_from("abcd")),
    st.sampled_from(["promote", "tell 0", "tell 1", "tell 2", "tell 3"]),
)


def apply_step(state: State, step: Any) -> None:
    try:
        record = state.promotion_record() if step == "promote" else state.decide(step)[0]
    except RejectedError:
        return
    if record:
        state.apply(record)


class SimulatedReader:
    """A reader as PROTOCOL has it: it knows nothing of versions of servers."""

    def __init__(self, kind: str) -> None:
        self.reader, self.index, self.entries = Reader(kind), 0, dict[str, dict[str, Any]]()
        self.removals: list[str] = []

    def receive(self, data: bytes) -> None:
        for raw in data.splitlines():
            line = json.loads(raw)
            assert line["index"] >= self.index
            self.index = line["index"]
            if line["snapshot"]:
                self.entries.clear()
            for entry in line["endpoints"]:
                if entry["status"] == "removed":
                    self.entries.pop(entry["name"], None)
                    self.removals.append(entry["name"])
                else:
                    self.entries[entry["name"]] = entry
            if self.reader.kind != "plain":
                self.reader = Reader(self.reader.kind, line["epoch"], line["lineage"])


@FIXED
@given(st.lists(STEPS, max_size=40), st.integers(1, 3))
def test_readers_of_all_kinds_end_with_the_list(steps: list[Any], history: int) -> None:
    state = State("l", history_limit=history)
    readers = [SimulatedReader(kind) for kind in ("plain", "plain", "extended", "extended")]
    for step in [*steps, "tell 0", "tell 1", "tell 2", "tell 3"]:
        if not (isinstance(step, str) and step.startswith("tell")):
            apply_step(state, step)
            continue
        held = readers[int(step[-1])]
        extended = held.reader.kind == "extended"
        update = lines.encode_changes(state, held.reader, held.index)
        held.receive(update.lines)
        assert update.index == state.index
        assert held.entries == {s.name: s.listing_entry(extended) for s in state.servers.values()}
        held.index = max(held.index, update.index) if update.lines else held.index


@FIXED
@given(st.lists(STEPS, max_size=40))
def test_a_follower_ends_with_the_same_state(steps: list[Any]) -> None:
    state, copy, progress = State("l"), State("mine"), ReplicationProgress()
    for step in [*steps, "tell 0"]:
        if not (isinstance(step, str) and step.startswith("tell")):
            apply_step(state, step)
            continue
        reader = Reader("follow", copy.epoch, copy.lineage)
        for raw in lines.encode_changes(state, reader, copy.index).lines.splitlines():
            new = progress.receive(copy, json.loads(raw), 1.0)
            if isinstance(new, Record):
                copy.apply(new)
            elif new:
                copy = new
        if state.index:
            assert copy.dump() == state.dump()


def test_a_server_that_went_and_came_back_is_told_as_both() -> None:
    state = State("l")
    for step in (register("a"), register("b"), WriteRequest("remove", "a"), register("a", since=9)):
        apply_step(state, step)
    held = SimulatedReader("plain")
    held.index, held.entries = 2, {"a": {}, "b": {}}
    update = lines.encode_changes(state, held.reader, 2)
    first, second = (json.loads(line) for line in update.lines.splitlines())
    assert statuses_by_name(first) == {"a": "removed"} and first["index"] == 2
    assert statuses_by_name(second) == {"a": "up"} and second["index"] == 4


def test_what_cannot_be_told_as_a_change_is_told_whole() -> None:
    state = State("l")
    for name in "abc":
        apply_step(state, register(name))
    apply_step(state, "promote")
    for reader, index in (
        (Reader(), 0),
        (Reader(), 4),
        (Reader(), state.index + 1),
        (Reader(epoch=2), 2),
        (Reader("extended", 1, "other"), 2),
    ):
        assert lines.encode_changes(state, reader, index).is_full, (reader, index)
    for reader, index in ((Reader(), 2), (Reader("extended", 1, "l"), 3), (Reader(), state.index)):
        assert not lines.encode_changes(state, reader, index).is_full, (reader, index)


def test_plain_readers_get_what_the_protocol_names_and_no_more() -> None:
    state = State("l")
    apply_step(state, register("a"))
    line = json.loads(lines.encode_full_list(state, Reader()).lines)
    assert line.keys() == {"index", "snapshot", "endpoints"}
    assert line["endpoints"][0].keys() == {
        "name",
        "address",
        "zone",
        "type",
        "group",
        "status",
        "weight",
        "since_ms",
    }
    assert lines.encode_heartbeat(state, Reader(), 60_000) == b"\n"
    assert json.loads(lines.encode_heartbeat(state, Reader("extended"), 60_000))["age_ms"] == 60_000


def test_a_follower_does_not_go_back_nor_over_to_another_list() -> None:
    state, copy = State("l"), State("l")
    apply_step(state, register("a"))
    apply_step(copy, register("a"))
    apply_step(copy, "promote")
    for held, line in (
        (copy, {"index": 9, "epoch": 1, "lineage": "l"}),
        (state, {"index": 9, "epoch": 1, "lineage": "other"}),
        (state, {"index": 9, "epoch": 1, "lineage": "l"}),  # a newer version, but no record
        (state, {"index": 9}),
        (state, []),
    ):
        progress = ReplicationProgress()
        try:
            progress.receive(held, line, 1.0)
        except InvalidDataError:
            assert progress.last_received_at is None
        else:
            raise AssertionError(line)


def test_a_follower_vouches_for_its_list_from_when_it_asked_and_only_once_it_holds_the_answer() -> (
    None
):
    held, progress = State("l", index=4), ReplicationProgress(started_at=10.0)
    assert progress.age(held, 11.0) == replica.UNCONFIRMED_AGE + 1  # it has asked nothing yet
    progress.record_leader_version(held, 4, 1, "l", 12.0)
    assert progress.age(held, 12.5) == 0.5
    # a beat, however long on its way
    progress.receive(held, {"index": 4, "epoch": 1, "lineage": "l"}, 13.0)
    assert progress.age(held, 13.0) == 1.0
    progress.record_leader_version(held, 6, 1, "l", 14.0)  # not held yet
    progress.record_leader_version(held, 9, 2, "l", 14.5)  # of a term that is not held either
    progress.record_leader_version(held, 4, 1, "other", 14.5)
    assert progress.age(held, 15.0) == 3.0
    held.index = 6
    assert progress.age(held, 15.0) == 1.0
    promoted = {"i": 7, "e": 2, "spans": []}
    progress.receive(held, {"index": 7, "epoch": 2, "lineage": "l", "record": promoted}, 16.0)
    # another leader: nothing is vouched for
    assert progress.age(held, 17.0) == replica.UNCONFIRMED_AGE + 1
    progress.leader_supports_version_query = (
        False  # a leader of before this: from when it was heard, as then
    )
    assert progress.age(held, 17.0) == 1.0
