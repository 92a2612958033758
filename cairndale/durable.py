"""Durable file operations: data is complete and on disk before it is acknowledged."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`. Raises OSError; a part of it may then have been written."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_directory(directory: Path) -> None:
    """Sync a directory, so that changes of its entries are on disk."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically and durably. On failure (OSError) the old file stays."""
    temporary_path = path.with_suffix(path.suffix + ".new")
    try:
        descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary_path, path)
        sync_directory(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            temporary_path.unlink()
        raise
