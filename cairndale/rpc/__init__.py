"""Calls between the system's own processes: frames, connections, call kinds, leader client."""
