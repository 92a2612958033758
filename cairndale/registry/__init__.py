"""Registries of what is there now: server endpoints by their heartbeats, data-plane nodes by their
leases."""
