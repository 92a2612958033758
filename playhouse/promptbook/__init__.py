"""The core's log: one order over its views, safe on disk."""
