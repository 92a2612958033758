"""The control node: what the leader decides for all under its lease, and how others reach it."""
