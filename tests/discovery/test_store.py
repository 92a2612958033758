"""The data folder: acknowledged writes are there again, wherever the process crashes."""

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
    """Stands for the end of the process."""


NAMES = st.sampled_from(["a", "b", "c"])
OPERATIONS = st.one_of(
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
    """Commits the requests in one sync, as the service does; returns the last version answered."""
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


# Each part takes a third of the sizes, so that they run in parallel.
@pytest.mark.parametrize("part", range(3))
@FIXED
@given(batches=st.lists(st.lists(OPERATIONS, min_size=1, max_size=3), min_size=1, max_size=12))
def test_a_log_truncated_at_any_byte_keeps_all_complete_syncs(
    batches: list[list[Any]], part: int
) -> None:
    with TemporaryDirectory() as folder:
        data, truncated = Path(folder) / "data", Path(folder) / "cut"
        store = Store(data)
        # sizes of the log since its snapshot, each with the state at that size
        log_ends: list[tuple[int, dict[str, Any]]] = [(0, store.state.dump())]
        versions = [0]
        for batch in batches:
            if "compact" in batch:
                store.compact(store.state)
                log_ends = [(0, store.state.dump())]
            elif "restart" in batch:
                store.close()
                store = Store(data)
                assert store.state.dump() == log_ends[-1][1]
            else:
                append_batch(store, batch)
                if store.log_size > log_ends[-1][0]:
                    log_ends.append((store.log_size, store.state.dump()))
                    versions.append(store.state.index)
        store.close()
        assert versions == sorted(set(versions))
        log = (data / "log").read_bytes()
        for size in range(part, len(log) + 1, 3):
            shutil.rmtree(truncated, ignore_errors=True)
            shutil.copytree(data, truncated)
            (truncated / "log").write_bytes(log[:size])
            reopened = Store(truncated)
            expected = [dump for end, dump in log_ends if end <= size][-1]
            assert reopened.state.dump() == expected
            assert (
                reopened.truncated_bytes == size - [end for end, _ in log_ends if end <= size][-1]
            )
            before = reopened.state.index
            append_batch(reopened, [register("new", id=f"new {size}")])
            reopened.close()
            final = Store(truncated)  # has the write after the truncation, too
            assert final.state.index == before + 1 and final.truncated_bytes == 0
            final.close()


SYSTEM_CALLS = ["write", "fsync", "replace", "ftruncate"]


@settings(FIXED, max_examples=20)
@given(
    st.lists(
        OPERATIONS.filter(lambda operation: isinstance(operation, WriteRequest)),
        min_size=2,
        max_size=6,
    )
)
def test_a_crash_at_any_system_call_loses_no_acknowledged_write(
    requests: list[WriteRequest],
) -> None:
    """Crashes at the first system call, then at the second, and so on."""
    allowed_calls = 0
    while crashes_after(allowed_calls, [register("first"), *requests, register("last")]):
        allowed_calls += 1


def crashes_after(allowed_calls: int, requests: list[WriteRequest]) -> bool:
    """Writes, compacts after every second write, and crashes after that many system calls. Returns
    False if there were no more of them."""
    call_count, crashed = 0, False

    def counted(name: str) -> Any:
        real = getattr(os, name)

        def counted_call(*args: Any) -> Any:
            nonlocal call_count
            call_count += 1
            if call_count > allowed_calls:
                if name == "write" and len(args[1]) > 1:
                    real(args[0], args[1][: len(args[1]) // 2])
                raise Crash
            return real(*args)

        return counted_call

    with TemporaryDirectory() as folder, pytest.MonkeyPatch.context() as patch:
        data = Path(folder) / "data"
        store = Store(data)
        acknowledged, attempted = store.state.dump(), store.state.dump()
        for name in SYSTEM_CALLS:
            patch.setattr(os, name, counted(name))
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


@pytest.mark.parametrize("frame_number", range(5))
def test_every_flipped_bit_is_detected(tmp_path: Path, frame_number: int) -> None:
    """In the last record: the log is truncated, and that is reported. Further in: the store does
    not open, and the error names the file and the offset."""
    store_with_servers(tmp_path / "data").close()
    log = bytearray((tmp_path / "data/log").read_bytes())
    starts = [offset for offset in range(len(log)) if log.startswith(store_module.MAGIC, offset)]
    end = [*starts, len(log)][frame_number + 1]
    for offset in range(starts[frame_number], end):
        for bit in (0, 5, 7):
            flipped = bytearray(log)
            flipped[offset] ^= 1 << bit
            (tmp_path / "data/log").write_bytes(flipped)
            if frame_number == 4:
                store = Store(tmp_path / "data")
                assert store.state.index == 4 and store.truncated_bytes == end - starts[4]
                store.close()
            else:
                with pytest.raises(
                    DataFolderError,
                    match=rf"log: damaged at offset {starts[frame_number]}, with valid",
                ):
                    Store(tmp_path / "data")


def test_other_damage_is_reported_with_its_file(tmp_path: Path) -> None:
    data = tmp_path / "data"
    store_with_servers(data).close()
    original_files = {name: (data / name).read_bytes() for name in ("log", "snapshot")}
    frames = original_files["log"].split(store_module.MAGIC)[1:]

    def assert_open_fails(match: str, **files: bytes | None) -> None:
        for name, content in (original_files | files).items():
            (data / name).unlink(missing_ok=True)
            if content is not None:
                (data / name).write_bytes(content)
        with pytest.raises(DataFolderError, match=match):
            Store(data)

    assert_open_fails("snapshot: damaged at offset 0", snapshot=original_files["snapshot"][:-1])
    assert_open_fails("snapshot: damaged at offset 0", snapshot=b"")
    assert_open_fails("snapshot: missing", snapshot=None)
    assert_open_fails("log: missing", log=None)
    log_without_frame = b"".join(store_module.MAGIC + f for n, f in enumerate(frames) if n != 2)
    assert_open_fails(
        "log: damaged at offset .*: versions after 2 are missing", log=log_without_frame
    )


def test_two_processes_cannot_open_one_folder(tmp_path: Path) -> None:
    store = Store(tmp_path / "data")
    with pytest.raises(DataFolderError, match="another process"):
        Store(tmp_path / "data")
    store.close()
    Store(tmp_path / "data").close()


@pytest.mark.parametrize("failing", ["write", "fsync"])
def test_writes_fail_on_a_disk_error_and_succeed_after_it(
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
    # After a failed sync, a new snapshot and a new log are written.
    assert store.log_size < size
    store.close()
    reopened = Store(tmp_path / "data")
    assert reopened.state.dump() == after
    reopened.close()


def test_an_append_returns_once_it_is_synced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store, system_calls = store_with_servers(tmp_path / "data"), list[str]()
    for name in ("write", "fsync"):
        real = getattr(os, name)

        def noted_call(*args: Any, real: Any = real, name: str = name) -> Any:
            system_calls.append(name)
            return real(*args)

        monkeypatch.setattr(os, name, noted_call)
    append_batch(store, [register("late")])
    assert system_calls == ["write", "fsync"]
    system_calls.clear()
    # Each file is synced before it replaces the old one, then the folder is synced.
    store.compact(store.state)
    assert system_calls == ["write", "fsync", "fsync", "fsync", "fsync"]
    store.close()


@pytest.mark.parametrize("failing", ["snapshot", "log"])
def test_a_failed_snapshot_does_not_fail_an_append_but_a_failed_log_does(
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
        else:  # It is not certain which log would be read, so no write is accepted until it is.
            with pytest.raises(OSError):
                append_batch(store, [register("late")])
    append_batch(store, [register("later")])
    after = store.state.dump()
    store.close()
    reopened = Store(tmp_path / "data")
    assert reopened.state.dump() == after and "later" in reopened.state.servers
    reopened.close()


def test_a_state_taken_over_is_not_mixed_with_the_old_log(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a crash between the new snapshot and the new log, the log is of another lineage."""
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


def test_request_ids_make_writes_idempotent_and_are_not_reused() -> None:
    state = State("l")

    def write(request: WriteRequest) -> int:
        record, version = state.decide(request)
        if record:
            state.apply(record)
        return version

    assert (
        write(register("a", id="x")) == 1 and write(register("a", id="x")) == 1 and state.index == 1
    )
    with pytest.raises(RejectedError) as rejection:
        state.decide(register("b", id="x"))
    assert rejection.value.status == 409
    assert (
        write(WriteRequest("remove", "a", id="r")) == 2
        and write(WriteRequest("remove", "a", id="r")) == 2
    )
    with pytest.raises(RejectedError) as rejection:
        state.decide(WriteRequest("remove", "a"))
    assert rejection.value.status == 404


def test_conditional_writes_compare_the_version_of_the_server() -> None:
    state = State("l")
    record, _ = state.decide(register("a", expected=0))
    assert record
    state.apply(record)
    for request in (register("a", 2, expected=0), WriteRequest("drain", "a", expected=7)):
        with pytest.raises(RejectedError) as rejection:
            state.decide(request)
        assert rejection.value.status == 409 and rejection.value.answer["version"] == 1
    assert state.decide(WriteRequest("drain", "a", expected=1))[1] == 2


def test_a_drain_lasts_until_the_server_restarts() -> None:
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


def test_a_promotion_skips_versions_that_the_old_leader_may_assign() -> None:
    state = State("l")
    for name in "abc":
        record, _ = state.decide(register(name))
        assert record
        state.apply(record)
    state.apply(state.promotion_record())
    assert (state.epoch, state.index) == (2, 3 + PROMOTION_VERSION_GAP)
    assert (
        state.knows_changes_since(2, None)
        and state.knows_changes_since(2, 1)
        and state.knows_changes_since(3 + PROMOTION_VERSION_GAP, 2)
    )
    assert not state.knows_changes_since(4, None)  # assigned by the old leader only
    assert (
        not state.knows_changes_since(2, 2)
        and not state.knows_changes_since(3 + PROMOTION_VERSION_GAP, 1)
        and not state.knows_changes_since(4 + PROMOTION_VERSION_GAP, None)
    )
    with pytest.raises(InvalidDataError):
        state.apply(Record(4, 1))


def test_the_history_is_bounded_and_its_oldest_version_is_known() -> None:
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
    assert not state.knows_changes_since(5, None) and state.knows_changes_since(6, None)
    assert decode_state(state.dump(), 2).compacted_index == 8


def test_the_magic_bytes_cannot_occur_in_a_payload() -> None:
    """A payload is ASCII, so the magic bytes cannot occur in it. Where they occur in a length or a
    checksum, no valid frame starts."""
    assert FRAME_HEADER.size == 10 and all(byte > 127 for byte in store_module.MAGIC)
