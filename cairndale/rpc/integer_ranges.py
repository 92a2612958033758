"""The largest integers that fields of messages hold."""

from __future__ import annotations

MAX_UINT32 = (1 << 32) - 1
MAX_UINT64 = (1 << 64) - 1
