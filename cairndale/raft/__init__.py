"""The core's replicated log (election, append entries, snapshots): one order over its terms, safe
on disk."""
