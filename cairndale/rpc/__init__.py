"""Frames between the system's own processes: connections, calls, passing on."""
