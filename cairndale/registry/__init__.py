"""Soft state of the leader: endpoints by their heartbeats, data-plane nodes by their leases."""
