"""Fixtures of tests that run control nodes in one process."""

from __future__ import annotations

import pytest

from tests.testing.control_cluster import use_memory_cluster


@pytest.fixture
def memory_cluster(monkeypatch: pytest.MonkeyPatch) -> None:
    """Control nodes use memory instead of disks and connections."""
    use_memory_cluster(monkeypatch)
