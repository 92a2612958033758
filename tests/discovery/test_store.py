"""The list on disk: whatever is called, and wherever it ends, what was acknowledged is there
again."""

from __future__ import annotations

import os
import shutil
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cairndale.discovery import store as store_module
from cairndale.discovery.state import (
    PROMOTION_VERSION_GAP,
    InvalidDataError,
    Record,
    RejectedError,
    State,
    WriteRequest,
    decode_state,
)
from cairndale.discovery.store import FRAME_HEADER, DataFolderError, Store
from tests.testing.discovery import register

FIXED = settings(
    max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


class Crash(BaseException):
    """The process ends here."""


NAMES = st.sampled_from(["a", "b", "c"])
CALLS = st.one_of(
    st.builds(
        register, NAMES, st.integers(1, 3), st.integers(0, 2), st.sampled_from(["", "", "x", "y"])
    ),
    st.builds(
        WriteRequest,
        st.sampled_from(["drain", "remove"]),
        NAMES,
        st.none(),
        st.sampled_from(["", "z"]),
    ),
    st.just("promote"),
    st.just("compact"),
    st.just("restart"),
)


def append_batch(store: Store, requests: list[Any]) -> int | None:
    """As the service does: the calls of one sync; the version answered to the last."""
    new_state, records, answered = store.state.copy(), list[Record](), None
    for request in requests:
        try:
            record, answered = (
                (new_state.promotion_record(), 0)
                if request == "promote"
                else new_state.decide(request)
            )
        except RejectedError:
            continue
        if record:
            new_state.apply(record)
            records.append(record)
    if records:
        store.append(records, new_state)
    return answered


@pytest.mark.parametrize("part", range(3))  # of the bytes: each in a test of its own, side by side
@FIXED
@given(batches=st.lists(st.lists(CALLS, min_size=1, max_size=3), min_size=1, max_size=12))
def test_a_crash_at_every_byte_leaves_a_prefix_with_all_acknowledged(
    batches: list[list[Any]], part: int
) -> None:
    with TemporaryDirectory() as folder:
        data, cut_folder = Path(folder) / "data", Path(folder) / "cut"
        store = Store(data)
        # of the log since its snapshot
        ends: list[tuple[int, dict[str, Any]]] = [(0, store.state.dump())]
        versions = [0]
        for batch in batches:
            if "compact" in batch:
                store.compact(store.state)
                ends = [(0, store.state.dump())]
            elif "restart" in batch:
                store.close()
                store = Store(data)
                assert store.state.dump() == ends[-1][1]
            else:
                append_batch(store, batch)
                if store.log_size > ends[-1][0]:
                    ends.append((store.log_size, store.state.dump()))
                    versions.append(store.state.index)
        store.close()
        assert versions == sorted(set(versions))
        log = (data / "log").read_bytes()
        for size in range(part, len(log) + 1, 3):
            shutil.rmtree(cut_folder, ignore_errors=True)
            shutil.copytree(data, cut_folder)
            (cut_folder / "log").write_bytes(log[:size])
            reopened = Store(cut_folder)
            expected = [dump for end, dump in ends if end <= size][-1]
            assert reopened.state.dump() == expected
            assert reopened.truncated_bytes == size - [end for end, _ in ends if end <= size][-1]
            before = reopened.state.index
            append_batch(reopened, [register("new", id=f"new {size}")])
            reopened.close()
            final = Store(cut_folder)  # what was written over the cut is there, too
            assert final.state.index == before + 1 and final.truncated_bytes == 0
            final.close()


STEPS = ["write", "fsync", "replace", "ftruncate"]


@settings(FIXED, max_examples=20)
@given(st.lists(CALLS.filter(lambda c: isinstance(c, WriteRequest)), min_size=2, max_size=6))
def test_a_crash_at_every_step_of_writing_and_compacting_loses_nothing(
    requests: list[WriteRequest],
) -> None:
    """Steps are the calls on the system: the one after the first `last`, and all behind it, never
    happen."""
    last = 0
    while crashes_after(last, [register("first"), *requests, register("last")]):
        last += 1


def crashes_after(last: int, requests: list[WriteRequest]) -> bool:
    """Writes, and compacts after each second one; False if it came to its end."""
    steps, crashed = 0, False

    def stepped(name: str) -> Any:
        real = getattr(os, name)

        def step(*args: Any) -> Any:
            nonlocal steps
            steps += 1
            if steps > last:
                if name == "write" and len(args[1]) > 1:
                    real(args[0], args[1][: len(args[1]) // 2])
                raise Crash
            return real(*args)

        return step

    with TemporaryDirectory() as folder, pytest.MonkeyPatch.context() as patch:
        data = Path(folder) / "data"
        store = Store(data)
        acknowledged, attempted = store.state.dump(), store.state.dump()
        for name in STEPS:
            patch.setattr(os, name, stepped(name))
        written = 0
        try:
            for request in requests:
                new_state = store.state.copy()
                try:
                    record, _ = new_state.decide(request)
                except RejectedError:
                    continue
                if record:
                    new_state.apply(record)
                    attempted = new_state.dump()
                    store.append([record], new_state)
                    acknowledged, written = attempted, written + 1
                    if written % 2 == 0:
                        store.compact(store.state)
        except Crash:
            crashed = True
        patch.undo()
        store.close()
        reopened = Store(data)
        assert reopened.state.dump() in (acknowledged, attempted)
        reopened.close()
    return crashed


def store_with_servers(folder: Path, count: int = 5) -> Store:
    store = Store(folder)
    for number in range(count):
        append_batch(store, [register(f"s-{number}")])
    return store


@pytest.mark.parametrize("which", range(5))
def test_every_flipped_bit_is_found(tmp_path: Path, which: int) -> None:
    """In the last record: cut back, reported. Further in: no start, and the file and offset are
    named."""
    store_with_servers(tmp_path / "data").close()
    log = bytearray((tmp_path / "data/log").read_bytes())
    starts = [at for at in range(len(log)) if log.startswith(store_module.MAGIC, at)]
    end = [*starts, len(log)][which + 1]
    for at in range(starts[which], end):
        for bit in (0, 5, 7):
            flipped = bytearray(log)
            flipped[at] ^= 1 << bit
            (tmp_path / "data/log").write_bytes(flipped)
            if which == 4:
                store = Store(tmp_path / "data")
                assert store.state.index == 4 and store.truncated_bytes == end - starts[4]
                store.close()
            else:
                with pytest.raises(
                    DataFolderError, match=rf"log: damaged at offset {starts[which]}, with valid"
                ):
                    Store(tmp_path / "data")


def test_damage_elsewhere_is_named(tmp_path: Path) -> None:
    data = tmp_path / "data"
    store_with_servers(data).close()
    whole = {name: (data / name).read_bytes() for name in ("log", "snapshot")}
    frames = whole["log"].split(store_module.MAGIC)[1:]

    def assert_open_fails(match: str, **files: bytes | None) -> None:
        for name, content in (whole | files).items():
            (data / name).unlink(missing_ok=True)
            if content is not None:
                (data / name).write_bytes(content)
        with pytest.raises(DataFolderError, match=match):
            Store(data)

    assert_open_fails("snapshot: damaged at offset 0", snapshot=whole["snapshot"][:-1])
    assert_open_fails("snapshot: damaged at offset 0", snapshot=b"")
    assert_open_fails("snapshot: missing", snapshot=None)
    assert_open_fails("log: missing", log=None)
    without = b"".join(store_module.MAGIC + f for n, f in enumerate(frames) if n != 2)
    assert_open_fails("log: damaged at offset .*: versions after 2 are missing", log=without)


def test_two_processes_cannot_have_one_folder(tmp_path: Path) -> None:
    store = Store(tmp_path / "data")
    with pytest.raises(DataFolderError, match="another process"):
        Store(tmp_path / "data")
    store.close()
    Store(tmp_path / "data").close()


@pytest.mark.parametrize("failing", ["write", "fsync"])
def test_a_disk_that_fails_refuses_writes_and_takes_them_again_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: str
) -> None:
    store = store_with_servers(tmp_path / "data")
    before = store.state.dump()

    def fail(*args: Any) -> Any:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, failing, fail)
        for _ in range(2):
            with pytest.raises(OSError):
                append_batch(store, [register("late")])
        assert store.state.dump() == before
    size = store.log_size
    append_batch(store, [register("late")])
    after = store.state.dump()
    assert after["index"] == before["index"] + 1
    # what a failed sync left is not built upon: a new snapshot, a new log
    assert store.log_size < size
    store.close()
    reopened = Store(tmp_path / "data")
    assert reopened.state.dump() == after
    reopened.close()


def test_an_append_returns_once_it_is_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store, done = store_with_servers(tmp_path / "data"), list[str]()
    for name in ("write", "fsync"):
        real = getattr(os, name)

        def note(*args: Any, real: Any = real, name: str = name) -> Any:
            done.append(name)
            return real(*args)

        monkeypatch.setattr(os, name, note)
    append_batch(store, [register("late")])
    assert done == ["write", "fsync"]
    done.clear()
    # each file is synced before it takes the other's place, then the folder
    store.compact(store.state)
    assert done == ["write", "fsync", "fsync", "fsync", "fsync"]
    store.close()


@pytest.mark.parametrize("failing", ["snapshot", "log"])
def test_a_snapshot_that_has_no_room_does_not_stop_a_log_that_has(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: str
) -> None:
    store = store_with_servers(tmp_path / "data")
    real = store_module.replace_file

    def fail(path: Path, data: bytes) -> None:
        if path.name == failing:
            raise OSError(28, "No space left on device")
        real(path, data)

    with monkeypatch.context() as patch:
        patch.setattr(store_module, "COMPACT_MIN_BYTES", 0)
        patch.setattr(store_module, "COMPACT_RATIO", 0)
        patch.setattr(store_module, "replace_file", fail)
        if failing == "snapshot":
            append_batch(store, [register("late")])
        else:  # which log will be read is not certain: nothing is taken until it is
            with pytest.raises(OSError):
                append_batch(store, [register("late")])
    append_batch(store, [register("later")])
    after = store.state.dump()
    store.close()
    reopened = Store(tmp_path / "data")
    assert reopened.state.dump() == after and "later" in reopened.state.servers
    reopened.close()


def test_a_list_taken_over_whole_is_not_mixed_with_the_log_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A crash between the new snapshot and the new log: the old log is of another lineage."""
    store = store_with_servers(tmp_path / "data")
    other = State("other", index=2)
    real = store_module.replace_file

    def crash(path: Path, data: bytes) -> None:
        if path.name == "log":
            raise Crash
        real(path, data)

    with monkeypatch.context() as patch:
        patch.setattr(store_module, "replace_file", crash)
        with pytest.raises(Crash):
            store.reset(other)
    store.close()
    reopened = Store(tmp_path / "data")
    assert reopened.state.dump() == other.dump()
    reopened.close()


# The state.


def test_ids_make_calls_idempotent_and_stand_for_one_call() -> None:
    state = State("l")

    def do(request: WriteRequest) -> int:
        record, version = state.decide(request)
        if record:
            state.apply(record)
        return version

    assert do(register("a", id="x")) == 1 and do(register("a", id="x")) == 1 and state.index == 1
    with pytest.raises(RejectedError) as refused:
        state.decide(register("b", id="x"))
    assert refused.value.status == 409
    assert (
        do(WriteRequest("remove", "a", id="r")) == 2
        and do(WriteRequest("remove", "a", id="r")) == 2
    )
    with pytest.raises(RejectedError) as refused:
        state.decide(WriteRequest("remove", "a"))
    assert refused.value.status == 404


def test_conditions_hold_on_the_version_of_the_server() -> None:
    state = State("l")
    record, _ = state.decide(register("a", expected=0))
    assert record
    state.apply(record)
    for request in (register("a", 2, expected=0), WriteRequest("drain", "a", expected=7)):
        with pytest.raises(RejectedError) as refused:
            state.decide(request)
        assert refused.value.status == 409 and refused.value.answer["version"] == 1
    assert state.decide(WriteRequest("drain", "a", expected=1))[1] == 2


def test_a_drain_holds_until_the_server_has_started_anew() -> None:
    state = State("l")
    for request in (register("a", since=5), WriteRequest("drain", "a"), register("a", since=5)):
        record, _ = state.decide(request)
        if record:
            state.apply(record)
    assert state.servers["a"].status == "draining" and state.index == 2
    with pytest.raises(RejectedError):
        state.decide(register("a", since=4))
    record, _ = state.decide(register("a", since=6))
    assert record and record.servers[0].status == "up"


def test_a_promotion_leaps_and_what_the_old_leader_gave_since_is_unknown() -> None:
    state = State("l")
    for name in "abc":
        record, _ = state.decide(register(name))
        assert record
        state.apply(record)
    state.apply(state.promotion_record())
    assert (state.epoch, state.index) == (2, 3 + PROMOTION_VERSION_GAP)
    assert (
        state.has_changes_since(2, None)
        and state.has_changes_since(2, 1)
        and state.has_changes_since(3 + PROMOTION_VERSION_GAP, 2)
    )
    assert not state.has_changes_since(4, None)  # given by the old leader only
    assert (
        not state.has_changes_since(2, 2)
        and not state.has_changes_since(3 + PROMOTION_VERSION_GAP, 1)
        and not state.has_changes_since(4 + PROMOTION_VERSION_GAP, None)
    )
    with pytest.raises(InvalidDataError):
        state.apply(Record(4, 1))


def test_the_history_is_bounded_and_its_end_is_known() -> None:
    state = State("l", history_limit=3)
    for number in range(6):
        for request in (
            register(f"s{number}", id=f"r{number}"),
            WriteRequest("remove", f"s{number}"),
        ):
            record, _ = state.decide(request)
            assert record
            state.apply(record)
    assert (
        len(state.removed_versions) == 3 and len(state.writes) == 3 and state.compacted_index == 6
    )
    assert not state.has_changes_since(5, None) and state.has_changes_since(6, None)
    assert decode_state(state.dump(), 2).compacted_index == 8


def test_heads_of_frames_hold_no_mark_by_chance_that_counts() -> None:
    """A payload is ASCII, so the mark cannot occur in one; in a length or sum it does not pass the
    check."""
    assert FRAME_HEADER.size == 10 and all(byte > 127 for byte in store_module.MAGIC)
