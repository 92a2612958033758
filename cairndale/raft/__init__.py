"""Raft: a replicated log with elections, membership changes, snapshots and durable storage."""
