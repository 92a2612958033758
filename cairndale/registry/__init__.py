"""Soft state of the leader: endpoints, kept by heartbeats, and nodes, kept by leases."""
