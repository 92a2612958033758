"""What callers did and what came of it: a file of calls, one a line, read in parts that fit into
memory."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import TracebackType
from typing import IO
from zlib import crc32

import msgspec

OK, CONFLICT, REFUSED, UNKNOWN = "ok", "conflict", "refused", "unknown"
PART_BYTES = 4 << 20  # bytes of a history that are judged at once, about 60,000 calls
HISTORY_FILE = "history.jsonl"


class Operation(msgspec.Struct, array_like=True):
    """One call of the lab's. Times in us on the lab's monotonic clock.

    `write` sets a register to `value`, a number never used twice; `cas` does where it holds
    `expected`; `read` and `aged` have found `value`, the latter stated to be `age` us old at most
    when it began; a `request` is for an effect on a server. Outcome `unknown`: it may have been
    carried out, or may yet be."""

    caller: str
    process: str  # the process that it was made at
    kind: str
    key: str
    begin: int
    end: int
    outcome: str
    value: int = 0
    expected: int = 0
    age: int = 0
    term: int = -1  # the term in which whoever answered acted, where it says so

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
    """Calls as they end. What is open as the run ends is written by whoever made it, as unknown."""

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
    """Files that together hold the history, all calls of a key in one of them; removed
    afterwards."""
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
