"""Files that are there as a whole, on disk, before anything is said of them."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


def write_all(descriptor: int, data: bytes) -> None:
    """Raises OSError; some of it may be written then."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_directory(folder: Path) -> None:
    """So that the names in it are on disk as well."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """In place of what is there, in one step, and durably; on failure what is there stays."""
    made = path.with_suffix(path.suffix + ".new")
    try:
        descriptor = os.open(made, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(made, path)
        sync_directory(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            made.unlink()
        raise
