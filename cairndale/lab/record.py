"""What was seen in a run: typed columns, appended to while it goes on, and read by the judge as
arrays."""

from __future__ import annotations

import os
from array import array
from pathlib import Path
from typing import Any

import numpy as np

# Final answers, as a client sees them.
NONE, SERVED, REFUSED, FAILED, BROKEN, UNREACHED, GONE = range(7)
KINDS = ("none", "served", "refused", "failed", "broken", "unreached", "client left")
# How an attempt ended, as its server saw it.
OPEN, OK, ERROR, FULL, DOWN, CANCELLED = range(6)
UP, DRAINING, REMOVED = range(3)  # what a gateway was told of a server
STATUS = ("up", "draining", "removed")

TABLES: dict[str, str] = {
    # a client's try; `due` and `root` are its first try's; times in us from the start, -1: never
    "tries": "id root customer plan cls gateway due sent until ended kind advice",
    # an attempt at a server: `sent` its first byte, `whole` its last byte there
    "sends": "id gateway server sent whole ended outcome work useful",
    "tells": "at gateway server status",
    "falls": "at server",
    "absent": "gateway since to",  # a gateway that is dead or stopped
    "maintenance": "at gateway server out",
    # second by second
    "servers": "at server held connections done warmth alive slots",
    "calls": "at said",
    "dials": "at gateway server",
    "process": "at gateway cpu_us memory_kb descriptors",
    "faults": "at code a b",  # seen by a stand-in: see FAULTS
    "marks": "at to trouble",
}
FAULTS = (
    "a request that no client sent",
    "an answer that no server made",
    "a second answer",
    "a gateway ended",
)


class Table:
    __slots__ = ("columns", "names")

    def __init__(self, names: str) -> None:
        self.names = tuple(names.split())
        self.columns = tuple(array("q") for _ in self.names)

    def add(self, *row: int) -> int:
        """Appends a row; its number."""
        for column, value in zip(self.columns, row, strict=True):
            column.append(value)
        return len(self.columns[0]) - 1

    def set(self, row: int, name: str, value: int) -> None:
        self.columns[self.names.index(name)][row] = value

    def __len__(self) -> int:
        return len(self.columns[0])

    def __getitem__(self, name: str) -> np.ndarray:
        return (
            np.frombuffer(self.columns[self.names.index(name)], dtype=np.int64)
            if len(self)
            else _EMPTY
        )

    def extend(self, arrays: dict[str, np.ndarray]) -> None:
        for name, column in zip(self.names, self.columns, strict=True):
            column.frombytes(np.ascontiguousarray(arrays[name], dtype=np.int64).tobytes())


_EMPTY = np.zeros(0, dtype=np.int64)


class Record:
    def __init__(self) -> None:
        self.tables = {name: Table(columns) for name, columns in TABLES.items()}
        # what no table holds: CPU of the run, lateness of the loader, ...
        self.figures: dict[str, Any] = {}

    def __getattr__(self, name: str) -> Table:
        try:
            tables: dict[str, Table] = self.__dict__["tables"]
            return tables[name]
        except KeyError:
            raise AttributeError(name) from None

    def save(self, path: Path) -> None:
        arrays = {f"{t}.{c}": table[c] for t, table in self.tables.items() for c in table.names}
        temporary = path.with_suffix(".tmp")
        with temporary.open("wb") as file:
            np.savez_compressed(file, allow_pickle=False, **arrays)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(path)

    def merge(self, other: Record) -> None:
        for name, table in self.tables.items():
            table.extend({c: other.tables[name][c] for c in table.names})

    @classmethod
    def load(cls, path: Path) -> Record:
        record = cls()
        with np.load(path, allow_pickle=False) as arrays:
            for name, table in record.tables.items():
                table.extend({c: arrays[f"{name}.{c}"] for c in table.names})
        return record
