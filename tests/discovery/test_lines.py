"""Lines of watches: whatever a reader missed, one update makes its list the service's."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import example, given, settings
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
    """A reader that keeps a list as PROTOCOL defines, without the versions of servers."""

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
def test_readers_of_all_kinds_converge_to_the_list(steps: list[Any], history_limit: int) -> None:
    state = State("l", history_limit=history_limit)
    readers = [SimulatedReader(kind) for kind in ("plain", "plain", "extended", "extended")]
    for step in [*steps, "tell 0", "tell 1", "tell 2", "tell 3"]:
        if not (isinstance(step, str) and step.startswith("tell")):
            apply_step(state, step)
            continue
        client = readers[int(step[-1])]
        extended = client.reader.kind == "extended"
        update = lines.encode_changes(state, client.reader, client.index)
        client.receive(update.lines)
        assert update.index == state.index
        assert client.entries == {s.name: s.listing_entry(extended) for s in state.servers.values()}
        client.index = max(client.index, update.index) if update.lines else client.index


@FIXED
# A server registered again between two updates keeps its place at the leader, not the follower.
@example(["promote", "tell 0", register("c"), register("a"), register("c", since=1)])
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


def test_a_server_removed_and_registered_again_is_sent_as_both() -> None:
    state = State("l")
    for step in (register("a"), register("b"), WriteRequest("remove", "a"), register("a", since=9)):
        apply_step(state, step)
    client = SimulatedReader("plain")
    client.index, client.entries = 2, {"a": {}, "b": {}}
    update = lines.encode_changes(state, client.reader, 2)
    first, second = (json.loads(line) for line in update.lines.splitlines())
    assert statuses_by_name(first) == {"a": "removed"} and first["index"] == 2
    assert statuses_by_name(second) == {"a": "up"} and second["index"] == 4


def test_readers_whose_changes_are_not_known_get_the_full_list() -> None:
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


def test_plain_readers_get_only_the_fields_of_the_protocol() -> None:
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


def test_a_follower_rejects_older_epochs_other_lineages_and_missing_records() -> None:
    state, promoted_state = State("l"), State("l")
    apply_step(state, register("a"))
    apply_step(promoted_state, register("a"))
    apply_step(promoted_state, "promote")
    for local_state, line in (
        (promoted_state, {"index": 9, "epoch": 1, "lineage": "l"}),
        (state, {"index": 9, "epoch": 1, "lineage": "other"}),
        (state, {"index": 9, "epoch": 1, "lineage": "l"}),  # newer version without a record
        (state, {"index": 9}),
        (state, []),
    ):
        progress = ReplicationProgress()
        try:
            progress.receive(local_state, line, 1.0)
        except InvalidDataError:
            assert progress.last_received_at is None
        else:
            raise AssertionError(line)


def test_the_age_counts_from_the_last_query_whose_version_is_committed() -> None:
    state, progress = State("l", index=4), ReplicationProgress(started_at=10.0)
    assert progress.age(state, 11.0) == replica.UNCONFIRMED_AGE + 1  # no query yet
    progress.record_leader_version(state, 4, 1, "l", 12.0)
    assert progress.age(state, 12.5) == 0.5
    # A heartbeat says nothing about the age: it may have been delayed.
    progress.receive(state, {"index": 4, "epoch": 1, "lineage": "l"}, 13.0)
    assert progress.age(state, 13.0) == 1.0
    progress.record_leader_version(state, 6, 1, "l", 14.0)  # not committed yet
    progress.record_leader_version(state, 9, 2, "l", 14.5)  # of an epoch not received yet
    progress.record_leader_version(state, 4, 1, "other", 14.5)
    assert progress.age(state, 15.0) == 3.0
    state.index = 6
    assert progress.age(state, 15.0) == 1.0
    promoted = {"i": 7, "e": 2, "spans": []}
    progress.receive(state, {"index": 7, "epoch": 2, "lineage": "l", "record": promoted}, 16.0)
    # another leader: nothing is confirmed
    assert progress.age(state, 17.0) == replica.UNCONFIRMED_AGE + 1
    # An older leader does not answer queries: the age counts from the last line.
    progress.leader_supports_version_query = False
    assert progress.age(state, 17.0) == 1.0
