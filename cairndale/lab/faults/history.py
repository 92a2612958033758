"""Histories: files of operations, one per line, read in parts that fit into memory."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType
from typing import IO
from zlib import crc32

import msgspec

OK, CONFLICT, REFUSED, UNKNOWN = "ok", "conflict", "refused", "unknown"
PART_BYTES = 4 << 20  # of a history that is checked at once, about 60,000 operations
HISTORY_FILE = "history.jsonl"


class Operation(msgspec.Struct, array_like=True):
    """One operation of a caller. Times are in us on the lab's monotonic clock.

    `write` sets a register to `value`, a number that is used only once; `cas` does so if the
    register holds `expected`. `read` and `aged` returned `value`; an `aged` read states that the
    value was at most `age` us old when the read began. A `request` is for a side effect on a
    server. The outcome `unknown` means that the operation may have taken effect, or may still do
    so.

    Encoded as an array: the order of the fields is the format, their names are not."""

    caller: str
    process: str  # that the operation was sent to
    kind: str
    key: str
    begin: int
    end: int
    outcome: str
    value: int = 0
    expected: int = 0
    age: int = 0
    term: int = -1  # of the process that answered, if it states one

    def describe(self) -> str:
        what = {"cas": f" {self.expected} -> {self.value}", "request": ""}.get(
            self.kind, f" {self.value}"
        )
        age = f", at most {self.age / 1e6:.2f} s old" if self.kind == "aged" else ""
        term = f", term {self.term}" if self.term >= 0 else ""
        end = "open" if self.outcome == UNKNOWN else f"{self.end / 1e6:.3f}"
        return (
            f"{self.begin / 1e6:.3f} to {end} s: {self.caller} at {self.process}: {self.kind} "
            f"{self.key}{what}: "
            f"{self.outcome}{age}{term}"
        )


class HistoryWriter:
    """Writes operations as they end.

    The caller adds operations that are in flight at the end of the run with the outcome
    `unknown`."""

    def __init__(self, folder: Path) -> None:
        self._encoder = msgspec.json.Encoder()
        self._file: IO[bytes] = (folder / HISTORY_FILE).open("wb")
        self.count = 0

    def add(self, operation: Operation) -> None:
        self._file.write(self._encoder.encode(operation) + b"\n")
        self.count += 1

    def __enter__(self) -> HistoryWriter:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._file.close()


def read_operations(path: Path) -> Iterator[Operation]:
    decoder = msgspec.json.Decoder(Operation)
    with path.open("rb") as file:
        for line in file:
            yield decoder.decode(line)


@contextlib.contextmanager
def split_by_key(path: Path, part_bytes: int = PART_BYTES) -> Iterator[list[Path]]:
    """Splits the history into files so that all operations on a key are in one of them.

    The files are removed afterwards."""
    count = max(1, path.stat().st_size // part_bytes)
    if count == 1:
        yield [path]
        return
    paths = [path.with_suffix(f".{n}.part") for n in range(count)]
    try:
        with contextlib.ExitStack() as stack:
            files = [stack.enter_context(p.open("wb")) for p in paths]
            encoder = msgspec.json.Encoder()
            for operation in read_operations(path):
                files[crc32(operation.key.encode()) % count].write(
                    encoder.encode(operation) + b"\n"
                )
        yield paths
    finally:
        for p in paths:
            p.unlink(missing_ok=True)


def by_key(operations: Iterable[Operation]) -> dict[str, list[Operation]]:
    found: dict[str, list[Operation]] = {}
    for operation in operations:
        found.setdefault(operation.key, []).append(operation)
    return found
